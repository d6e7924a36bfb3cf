"""Admission of large answers: on a thin link all else would wait behind those under way at once.

No more bytes are asked for than the link brings within a short time; a request that comes later waits in
turn, and is rejected with a time to come back where that would take up too much of its latency target.  Pure,
but for the callbacks it is given.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

# Large answers that are under way fill the link for so long.
LINK_WINDOW_S = 0.5

# Part of a route's latency target for which a request may wait for its turn.
MAX_WAIT_FRACTION = 0.5

# From so many bytes on an answer is large.
LARGE_ANSWER_BYTES = 16384

# What an answer of a large_by_default route is taken for before any was seen.
DEFAULT_LARGE_ANSWER_BYTES = 65536

# Weight of the past in the average size of a route's answers.
SIZE_SMOOTHING = 8


@dataclass(frozen=True, slots=True, eq=False)
class WaitingAnswer:
    """One that waits for its turn: the bytes it is expected to have, and what wakes it."""

    size: int
    wake: Callable[[], None]


class LinkAdmission:
    """Who may bring a large answer over this machine's link now.

    Args:
        mbps: megabits a second of the link; 0: the settings don't tell it, and all may.

    Attributes:
        window_bytes: what may be under way at once.
        in_flight_bytes: what is.
        queue: those that wait, first come first.
        average_sizes: route -> average size of its answers.
    """

    def __init__(self, mbps: float) -> None:
        self.window_bytes = mbps * 1e6 / 8 * LINK_WINDOW_S
        self.in_flight_bytes = 0
        self.queue: deque[WaitingAnswer] = deque()
        self.average_sizes: dict[str, int] = {}

    def expected_size(self, route: str, large_by_default: bool) -> int:
        """Bytes that an answer is expected to have, 0 where it needs no admission.

        Args:
            route: name of its route.
            large_by_default: whether answers of the route's kind are large as a rule.
        """
        average = self.average_sizes.get(route, DEFAULT_LARGE_ANSWER_BYTES if large_by_default else 0)
        return average if self.window_bytes and average >= LARGE_ANSWER_BYTES else 0

    def observe(self, route: str, size: int) -> None:
        """Learn from the size of an answer."""
        average = self.average_sizes.get(route, size)
        self.average_sizes[route] = average + (size - average) // SIZE_SMOOTHING

    def fits(self, size: int) -> bool:
        """Whether an answer may be under way beside the others; alone any may."""
        return not self.in_flight_bytes or self.in_flight_bytes + size <= self.window_bytes

    def acquire(self, size: int, wake: Callable[[], None]) -> bool:
        """Whether an answer is admitted at once; else it waits, and `wake` is called when it is admitted."""
        if not self.queue and self.fits(size):
            self.in_flight_bytes += size
            return True
        self.queue.append(WaitingAnswer(size, wake))
        return False

    def cancel(self, wake: Callable[[], None]) -> bool:
        """Stop waiting.

        Returns:
            False where it was admitted meanwhile: then it must `release`.
        """
        remaining = deque(waiting for waiting in self.queue if waiting.wake is not wake)
        was_waiting = len(remaining) < len(self.queue)
        self.queue = remaining
        return was_waiting

    def release(self, size: int) -> None:
        """Give back what an answer was admitted with, and admit those that wait and now fit."""
        self.in_flight_bytes -= size
        while self.queue and self.fits(self.queue[0].size):
            admitted = self.queue.popleft()
            self.in_flight_bytes += admitted.size
            admitted.wake()
