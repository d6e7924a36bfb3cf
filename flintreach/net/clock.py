"""Time in whole nanoseconds, and time limits that a stall of the process does not run down."""

import asyncio
import time
import zlib
from collections.abc import Callable

from flintreach.net.limits import Limits
from flintreach.pilot.interface import SECOND


class Clock:
    """The Unix clock at the start, carried on by the monotonic one: it never runs back."""

    def __init__(self, loop: asyncio.AbstractEventLoop, seed: int, limits: Limits):
        self.loop, self.seed, self.limits, self.counter = loop, seed, limits, 0
        self.base = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return self.base + time.monotonic_ns()

    def call_later(self, wait: int, do: Callable[[], None]) -> "Timer":
        return Timer(self.loop, wait, 0, do)

    def start_timeout(self, wait: int, do: Callable[[], None]) -> "Timer":
        """Time is up only when what came meanwhile has been read."""
        return Timer(self.loop, wait, self.limits.timeout_grace, do)

    def draw(self) -> float:
        self.counter += 1
        return zlib.crc32(b"%d %d" % (self.seed, self.counter)) / 2**32

    def retry_later(self, failures: int, do: Callable[[], None]) -> None:
        """Once more after a pause, which doubles with the failures in a row; drawn from its upper half."""
        pause = min(self.limits.max_retry_delay, self.limits.initial_retry_delay << min(failures, 20))
        self.call_later(int(pause * (1 + self.draw()) / 2), do)


class Timer:
    def __init__(self, loop, wait: int, grace: int, do: Callable[[], None]):
        self.loop, self.grace, self.do = loop, grace, do
        self.handle = loop.call_later(max(0, wait) / SECOND, self.due)

    def due(self) -> None:
        # A search may have held the loop beyond the limit while the answer lay unread in the socket, and
        # timers come before sockets in a turn of the loop.
        if self.grace:
            self.handle, self.grace = self.loop.call_later(self.grace / SECOND, self.due), 0
        else:
            self.do()

    def cancel(self) -> None:
        self.handle.cancel()
