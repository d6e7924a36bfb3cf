"""Admission control for large responses, which would otherwise delay all other traffic on a slow link.

The bytes requested at a time are limited to what the link carries in a short window.  Further requests are
queued, and are rejected with a Retry-After time if the wait would use up too much of their latency target.
Performs no I/O apart from calling the given callbacks.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

# Large responses in flight may occupy the link for up to this time.
LINK_WINDOW_S = 0.5

# Fraction of a route's latency target for which a request may be queued.
MAX_WAIT_FRACTION = 0.5

# Minimum size of a response that needs admission.
LARGE_ANSWER_BYTES = 16384

# Assumed size for routes with large responses before any was measured.
DEFAULT_LARGE_ANSWER_BYTES = 65536

# A new response has a weight of 1 / SIZE_SMOOTHING in the average size of its route.
SIZE_SMOOTHING = 8


@dataclass(frozen=True, slots=True, eq=False)
class WaitingAnswer:
    """A queued response: its expected size in bytes, and the callback that wakes its request."""

    size: int
    wake: Callable[[], None]


class LinkAdmission:
    """Limits the large responses that are in flight on this machine's link.

    Args:
        mbps: capacity of the link in megabits per second; 0 if the settings do not give it, which admits all.

    Attributes:
        window_bytes: maximum number of bytes in flight.
        in_flight_bytes: current number of bytes in flight.
        queue: queued responses in order of arrival.
        average_sizes: route -> smoothed size of its responses in bytes.
    """

    def __init__(self, mbps: float) -> None:
        self.window_bytes = mbps * 1e6 / 8 * LINK_WINDOW_S
        self.in_flight_bytes = 0
        self.queue: deque[WaitingAnswer] = deque()
        self.average_sizes: dict[str, int] = {}

    def expected_size(self, route: str, large_by_default: bool) -> int:
        """Returns the expected size of a response in bytes, or 0 if it needs no admission.

        Args:
            route: name of the route.
            large_by_default: whether responses are assumed large before any was measured.
        """
        average = self.average_sizes.get(route, DEFAULT_LARGE_ANSWER_BYTES if large_by_default else 0)
        return average if self.window_bytes and average >= LARGE_ANSWER_BYTES else 0

    def observe(self, route: str, size: int) -> None:
        """Updates the average response size of a route."""
        average = self.average_sizes.get(route, size)
        self.average_sizes[route] = average + (size - average) // SIZE_SMOOTHING

    def fits(self, size: int) -> bool:
        """Returns whether a response fits in the window; a single response always does."""
        return not self.in_flight_bytes or self.in_flight_bytes + size <= self.window_bytes

    def acquire(self, size: int, wake: Callable[[], None]) -> bool:
        """Returns whether a response is admitted now; otherwise queues it and calls `wake` on admission."""
        if not self.queue and self.fits(size):
            self.in_flight_bytes += size
            return True
        self.queue.append(WaitingAnswer(size, wake))
        return False

    def cancel(self, wake: Callable[[], None]) -> bool:
        """Removes a response from the queue.

        Returns:
            False if it had already been admitted; the caller must then `release` it.
        """
        remaining = deque(waiting for waiting in self.queue if waiting.wake is not wake)
        was_waiting = len(remaining) < len(self.queue)
        self.queue = remaining
        return was_waiting

    def release(self, size: int) -> None:
        """Releases the bytes of an admitted response, and admits queued ones that now fit."""
        self.in_flight_bytes -= size
        while self.queue and self.fits(self.queue[0].size):
            admitted = self.queue.popleft()
            self.in_flight_bytes += admitted.size
            admitted.wake()
