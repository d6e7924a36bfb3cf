"""The memory that a proxy's requests and responses in progress may take, by its memory limit.

A message reserves memory before it is read, by its announced length if it has one.  While there is no room,
it is not read, and TCP holds its sender up.  Long bodies have budgets of their own, so that a few of them do
not keep short requests out.  Responses have one of their own, as a response must not wait for memory that
only the requests before it can release.
"""

from dataclasses import dataclass

from flintreach.common.memory_budget import MemoryBudget, Reservation

BYTES_PER_MB = 1 << 20

# Memory that messages may not take: the program itself, and connections up to the limit of descriptors.
FIXED_MB = 96
MIN_MESSAGE_SHARE = 0.25  # of the limit, for messages on a machine with little memory

# Shares of the memory for messages: requests with short bodies, long request bodies, long response bodies.
REQUEST_SHARE = 0.25
REQUEST_BODY_SHARE = 0.4
RESPONSE_BODY_SHARE = 0.35

# Memory of a request in progress beside its body: its greenlets, its head, and a short response.
REQUEST_OVERHEAD_BYTES = 24 << 10

# Longer bodies are counted by the budgets for long bodies.
MAX_SHORT_BODY_BYTES = 64 << 10

# A buffer that grows as data arrives is up to this much larger than its content.
GROWTH_FACTOR = 1.125

NO_LIMIT = 0.0  # for `message_memory`


@dataclass(frozen=True, slots=True)
class MessageMemory:
    """The budgets of a proxy.

    Attributes:
        requests: for requests with their short bodies and the short responses to them.
        request_bodies: for long bodies of requests.
        response_bodies: for long bodies of responses.
    """

    requests: MemoryBudget
    request_bodies: MemoryBudget
    response_bodies: MemoryBudget

    def used_bytes(self) -> int:
        """Bytes reserved in all budgets."""
        return self.requests.used_bytes + self.request_bodies.used_bytes + self.response_bodies.used_bytes


def message_memory(limit_mb: float) -> MessageMemory:
    """The budgets of a process with a memory limit.

    Args:
        limit_mb: memory that the process may use, in MB; `NO_LIMIT` for no limit.
    """
    available_bytes = max(limit_mb - FIXED_MB, limit_mb * MIN_MESSAGE_SHARE) * BYTES_PER_MB
    return MessageMemory(
        MemoryBudget(int(available_bytes * REQUEST_SHARE)),
        MemoryBudget(int(available_bytes * REQUEST_BODY_SHARE)),
        MemoryBudget(int(available_bytes * RESPONSE_BODY_SHARE)),
    )


class RequestMemory:
    """The memory that one request has reserved.

    Args:
        memory: the budgets.
    """

    __slots__ = ("request", "body")

    def __init__(self, memory: MessageMemory) -> None:
        self.request = Reservation(memory.requests)
        self.body = Reservation(memory.request_bodies)

    def grow_to(self, body_bytes: int, timeout_s: float) -> bool:
        """Reserve memory for the request with a body of `body_bytes`; see `Reservation.grow_to`."""
        if body_bytes <= MAX_SHORT_BODY_BYTES:
            return self.request.grow_to(REQUEST_OVERHEAD_BYTES + body_bytes, timeout_s)
        return self.body.grow_to(int(body_bytes * GROWTH_FACTOR), timeout_s)

    def release(self) -> None:
        """Give the memory back; further calls have no effect."""
        self.body.release()
        self.request.release()
