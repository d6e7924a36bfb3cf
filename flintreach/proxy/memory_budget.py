"""Bounds on the memory that messages in progress take, so that the process stays within its memory limit.

A message reserves memory before it is read, by its announced length if it has one.  While there is no room,
it is not read, and TCP holds its sender up.  Long bodies have budgets of their own, so that a few of them do
not keep short requests out.  Responses have one of their own, as a response must not wait for memory that
only the requests before it can release.

Memory is released by `Reservation.release`, or at the latest when the reservation is dropped.
"""

from collections import deque
from dataclasses import dataclass, field

from gevent.event import Event

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


@dataclass(eq=False, slots=True)
class WaitingReservation:
    """A reservation that waits for `size` more bytes."""

    reservation: "Reservation"
    size: int
    granted: Event = field(default_factory=Event)


class MemoryBudget:
    """Memory that messages of one kind share.

    A single message may take more than the capacity while no other has taken any: otherwise it could never be
    handled.  Its size has other limits.

    Attributes:
        capacity_bytes: bytes that may be reserved; 0 for no limit.
        used_bytes: bytes that are reserved.
        waiting: reservations that wait for memory, in order of arrival.
    """

    def __init__(self, capacity_bytes: int = 0) -> None:
        self.capacity_bytes = capacity_bytes
        self.used_bytes = 0
        self.waiting: deque[WaitingReservation] = deque()

    def fits(self, reservation: "Reservation", size: int) -> bool:
        """Whether a reservation may take `size` more bytes."""
        is_alone = self.used_bytes == reservation.size
        return not self.capacity_bytes or is_alone or self.used_bytes + size <= self.capacity_bytes

    def take(self, reservation: "Reservation", size: int) -> None:
        """Add bytes to a reservation."""
        self.used_bytes += size
        reservation.size += size

    def give_back(self, reservation: "Reservation") -> None:
        """Take all bytes from a reservation, and grant the waiting ones that fit."""
        self.used_bytes -= reservation.size
        reservation.size = 0
        self.grant_waiting()

    def withdraw(self, waiting: WaitingReservation) -> None:
        """Remove a reservation from the queue; those behind it may fit."""
        self.waiting.remove(waiting)
        self.grant_waiting()

    def grant_waiting(self) -> None:
        """Grant waiting reservations in order of arrival, up to the first that does not fit."""
        while self.waiting and self.fits(self.waiting[0].reservation, self.waiting[0].size):
            first = self.waiting.popleft()
            self.take(first.reservation, first.size)
            first.granted.set()


class Reservation:
    """The memory that one message has reserved.

    Args:
        budget: the budget that it is taken from.

    Attributes:
        size: bytes reserved.
    """

    __slots__ = ("budget", "size")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.size = 0

    def grow_to(self, size: int, timeout_s: float | None = None) -> bool:
        """Reserve `size` bytes in all, waiting for them if necessary.

        Args:
            size: bytes; a smaller number than is reserved changes nothing.
            timeout_s: how long to wait; None for no limit.

        Returns:
            Whether they are reserved.
        """
        budget = self.budget
        more_bytes = size - self.size
        if more_bytes <= 0:
            return True
        if (self.size or not budget.waiting) and budget.fits(self, more_bytes):
            budget.take(self, more_bytes)
            return True
        waiting = WaitingReservation(self, more_bytes)
        if self.size:
            budget.waiting.appendleft(waiting)  # those behind it may wait for the memory that it holds
        else:
            budget.waiting.append(waiting)
        try:
            return waiting.granted.wait(timeout_s)
        finally:
            if not waiting.granted.is_set():
                budget.withdraw(waiting)

    def release(self) -> None:
        """Give the memory back; further calls have no effect."""
        if self.size:
            self.budget.give_back(self)

    def __del__(self) -> None:
        self.release()


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
