"""Records of a soak for the checker: the clients' requests and the disturbances of machines."""

from dataclasses import dataclass
from enum import StrEnum

from flintreach.demo.cluster import Machine

NS_PER_S = 1_000_000_000


class RequestKind(StrEnum):
    """Routes of the demo configuration; the value is the first segment of a request's path."""

    READ = "look"  # safe request to the plain service
    WRITE = "file"  # non-repeatable request to the plain service
    SHARDED_READ = "fetch"  # repeatable request to the sharded service


@dataclass(slots=True)
class SentRequest:
    """A client's request; times are monotonic nanoseconds.

    Attributes:
        id: value of its header `X-Try-Id`.
        machine: the proxy it was sent to.
        kind: its route.
        sent_at_ns: time of sending.
        persistent: whether its connection is persistent.
        status: status of its answer, or None if there was none.
        ended_at_ns: when the answer arrived or the connection was closed.
        disconnected_at_ns: when the client closed the connection before receiving an answer.
    """

    id: str
    machine: Machine
    kind: RequestKind
    sent_at_ns: int
    persistent: bool = False
    status: int | None = None
    ended_at_ns: int | None = None
    disconnected_at_ns: int | None = None

    @property
    def unanswered(self) -> bool:
        """Whether the connection closed without an answer, and was not closed by the client."""
        return self.status is None and self.ended_at_ns is not None and self.disconnected_at_ns is None


@dataclass(frozen=True, slots=True)
class Disturbance:
    """An interval in which a machine was killed or paused, in monotonic nanoseconds."""

    machine: Machine
    began_at_ns: int
    ended_at_ns: int


class History:
    """All client requests and all disturbances of a soak.

    Attributes:
        requests: the requests, by id.
        disturbances: in order of their end times.
    """

    def __init__(self) -> None:
        self.requests: dict[str, SentRequest] = {}
        self.disturbances: list[Disturbance] = []

    def disturbed(self, machine: Machine, since_ns: int, until_ns: int) -> bool:
        """Return whether a machine was killed or paused at any time from `since_ns` to `until_ns`."""
        return any(
            disturbance.machine is machine
            and disturbance.began_at_ns <= until_ns
            and disturbance.ended_at_ns >= since_ns
            for disturbance in self.disturbances
        )
