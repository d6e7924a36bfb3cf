"""What the clients of a soak sent and got, and when its machines were disturbed; the checker reads it."""

from dataclasses import dataclass
from enum import StrEnum

from flintreach.demo.cluster import Machine

NS_PER_S = 1_000_000_000


class RequestKind(StrEnum):
    """Routes of the demo's configuration; the first part of a request's path."""

    LOOK = "look"  # a safe read of the plain service
    FILE = "file"  # a write to the plain service, which must not be repeated
    FETCH = "fetch"  # a repeatable call of the sharded service


@dataclass(slots=True)
class SentRequest:
    """One request of a client.

    Attributes:
        id: in its header `X-Try-Id`.
        machine: the proxy to which it was sent.
        kind: its route.
        sent_at_ns: steady nanoseconds, as all times here.
        persistent: whether its connection is used for many requests.
        status: of its answer; None if there was none.
        ended_at_ns: when its answer, or the end of its connection, came.
        left_at_ns: when its client closed the connection, without an answer yet.
    """

    id: str
    machine: Machine
    kind: RequestKind
    sent_at_ns: int
    persistent: bool = False
    status: int | None = None
    ended_at_ns: int | None = None
    left_at_ns: int | None = None

    @property
    def unanswered(self) -> bool:
        """Whether the connection ended without an answer, and not by the client."""
        return self.status is None and self.ended_at_ns is not None and self.left_at_ns is None


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A time in which a machine was killed or paused; steady nanoseconds."""

    machine: Machine
    began_at_ns: int
    ended_at_ns: int


class History:
    """All requests of the clients, and all disturbances.

    Attributes:
        sent: requests by their id.
        disturbances: in the order of their ends.
    """

    def __init__(self) -> None:
        self.sent: dict[str, SentRequest] = {}
        self.disturbances: list[Disturbance] = []

    def disturbed(self, machine: Machine, since_ns: int, until_ns: int) -> bool:
        """Whether a machine was killed or paused at any moment from `since_ns` to `until_ns`."""
        return any(
            disturbance.machine is machine
            and disturbance.began_at_ns <= until_ns
            and disturbance.ended_at_ns >= since_ns
            for disturbance in self.disturbances
        )
