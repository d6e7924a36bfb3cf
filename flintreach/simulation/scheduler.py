"""Discrete-event scheduler of the simulation: virtual time, a seeded schedule, an event trace, checksums.

The lowest layer of this package.  Processes (`process.py`), the network (`network.py`) and disks (`disk.py`)
schedule calls at a virtual time; the scheduler runs them one at a time.  Nothing here sleeps or reads a real
clock, so a seed always produces the same events.
"""

import heapq
import random
import zlib
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import greenlet

if TYPE_CHECKING:
    from flintreach.simulation.process import Process

NS_PER_MS = 1_000_000
NS_PER_SECOND = 1_000_000_000
START_S = 1000  # virtual time at which a simulation starts
DEFAULT_TRACE_EVENTS = 40


class InvariantViolation(Exception):
    """An invariant was violated; the arguments are its name and a description of the violation."""


class Simulation:
    """The event loop and the shared state of one simulation.

    Attributes:
        seed: seed of all random draws.
        rng: generator for the network, the disks and the schedule.
        now_ns: virtual time in nanoseconds.
        events: number of calls run.
        timers: heap of (time in ns, sequence number, call, arguments).
        ready: FIFO queue of calls with their arguments that run before virtual time advances.
        hub: greenlet of the scheduler, to which tasks switch when they block.
        digest: checksum of all events.
        frames: checksum of the messages between processes only, which does not depend on the text of notes.
        trace: the most recent notes, as (time in ns, source, text).
        violation: the first error passed to `fail`.
        current_process: the process whose code is running.
    """

    def __init__(self, seed: int, trace_length: int = DEFAULT_TRACE_EVENTS) -> None:
        """Start at `START_S` with an empty schedule; `trace` keeps the last `trace_length` notes."""
        self.seed = seed
        self.rng = random.Random(seed)
        self.now_ns = START_S * NS_PER_SECOND
        self.sequence = 0
        self.events = 0
        self.timers: list[tuple[int, int, Callable[..., Any], tuple]] = []
        self.ready: deque[tuple[Callable[..., Any], tuple]] = deque()
        self.hub = greenlet.getcurrent()
        self.digest = 0
        self.frames = 0
        self.trace: deque[tuple[int, str, str]] = deque(maxlen=trace_length)
        self.violation: InvariantViolation | None = None
        self.current_process: Process | None = None

    def call_at(self, when_ns: int, call: Callable[..., Any], *args: Any) -> None:
        """Schedule a call at a virtual time in nanoseconds; calls at the same time run in FIFO order."""
        self.sequence += 1
        heapq.heappush(self.timers, (when_ns, self.sequence, call, args))

    def call_after(self, delay_ns: int, call: Callable[..., Any], *args: Any) -> None:
        """Schedule a call after a delay in nanoseconds."""
        self.call_at(self.now_ns + delay_ns, call, *args)

    def run(self, until_ns: int) -> None:
        """Run events up to a virtual time in nanoseconds.

        Raises:
            InvariantViolation: `fail` was called, in this run or an earlier one.
        """
        # Local variables avoid attribute lookups: a trial runs this loop some hundred thousand times.
        ready = self.ready
        timers = self.timers
        pop = heapq.heappop
        while self.violation is None:
            if ready:
                call, args = ready.popleft()
            elif timers and timers[0][0] <= until_ns:
                self.now_ns, _, call, args = pop(timers)
            else:
                self.now_ns = until_ns
                return
            self.events += 1
            call(*args)
        raise self.violation

    def record_message(self, data: bytes) -> None:
        """Update both checksums with a delivered message."""
        self.digest = self.checksum(self.digest, data)
        self.frames = self.checksum(self.frames, data)

    def checksum(self, previous: int, data: bytes) -> int:
        """Extend a checksum with the current time and some bytes."""
        return zlib.crc32(data, zlib.crc32(self.now_ns.to_bytes(8, "big"), previous))

    def note(self, source: str, text: str) -> None:
        """Add an entry to the trace and update the checksum of all events."""
        self.digest = self.checksum(self.digest, f"{source} {text}".encode())
        self.trace.append((self.now_ns, source, text))

    def fail(self, error: InvariantViolation) -> None:
        """Stop the run before the next event; only the first error is kept."""
        self.violation = self.violation or error

    @property
    def elapsed_s(self) -> float:
        """Virtual seconds since the start of the simulation."""
        return seconds_since_start(self.now_ns)


def seconds_since_start(time_ns: int) -> float:
    """Convert a virtual time in nanoseconds to seconds since the start of the simulation."""
    return time_ns / NS_PER_SECOND - START_S
