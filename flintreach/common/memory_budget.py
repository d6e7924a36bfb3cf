"""Bounds on memory that is taken for a while, so that the process stays within its memory limit."""

from collections import deque
from dataclasses import dataclass, field

from gevent.event import Event


@dataclass(eq=False, slots=True)
class WaitingReservation:
    """A reservation that waits for `size` more bytes."""

    reservation: "Reservation"
    size: int
    granted: Event = field(default_factory=Event)


class MemoryBudget:
    """Memory that tasks of one kind share.

    A single task may take more than the capacity while no other has taken any: otherwise it could never be
    handled.  Its size has other limits.

    Args:
        capacity_bytes: bytes that may be reserved; 0 for no limit.

    Attributes:
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
    """The memory that one task has reserved, until `release`, or at the latest until it is dropped.

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
