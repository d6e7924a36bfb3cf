"""Time in whole nanoseconds, timers, and timeouts that a stall of this process does not trigger."""

import asyncio
import time
import zlib
from collections.abc import Callable

from flintreach.net.limits import Limits
from flintreach.pilot.interface import SECOND


class Clock:
    """The Unix time at the start, advanced by the monotonic clock, so that it never runs back.

    Args:
        loop: the event loop that runs timers.
        seed: of the random part of retry delays.
        limits: retry delays and the grace of timeouts.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, seed: int, limits: Limits) -> None:
        self.loop = loop
        self.seed = seed
        self.limits = limits
        self.draws = 0
        self.base = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Nanoseconds of Unix time."""
        return self.base + time.monotonic_ns()

    def call_later(self, wait: int, callback: Callable[[], None]) -> "Timer":
        """Call back after so many nanoseconds."""
        return Timer(self.loop, wait, 0, callback)

    def start_timeout(self, wait: int, callback: Callable[[], None]) -> "Timer":
        """Call back when time is up and data that came meanwhile has been read."""
        return Timer(self.loop, wait, self.limits.timeout_grace, callback)

    def random(self) -> float:
        """The next pseudo-random number from 0 to 1."""
        self.draws += 1
        return zlib.crc32(b"%d %d" % (self.seed, self.draws)) / 2**32

    def retry_later(self, failures: int, callback: Callable[[], None]) -> None:
        """Call back after exponential backoff with jitter: from half of the delay to all of it.

        Args:
            failures: in a row; each doubles the delay, up to the limit.
            callback: makes the next attempt.
        """
        delay = min(self.limits.max_retry_delay, self.limits.initial_retry_delay << min(failures, 20))
        self.call_later(int(delay * (1 + self.random()) / 2), callback)


class Timer:
    """One call-back of the event loop, in nanoseconds.

    Args:
        loop: the event loop.
        wait: until it is due.
        grace: after that, before the call-back; 0 for none.
        callback: is called once, unless the timer is cancelled.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, wait: int, grace: int, callback: Callable[[], None]
    ) -> None:
        self.loop = loop
        self.grace = grace
        self.callback = callback
        self.handle = loop.call_later(max(0, wait) / SECOND, self.on_due)

    def on_due(self) -> None:
        """Call back, or wait for the grace first."""
        # A search may have held the loop beyond the timeout while the answer lay unread in the socket, and
        # timers run before sockets in a turn of the loop.
        if self.grace:
            self.handle = self.loop.call_later(self.grace / SECOND, self.on_due)
            self.grace = 0
        else:
            self.callback()

    def cancel(self) -> None:
        """Drop the call-back."""
        self.handle.cancel()
