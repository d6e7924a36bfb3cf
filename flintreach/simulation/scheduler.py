"""The scheduler of a simulation: virtual time, a seeded schedule, a trace of events and their checksums.

The lowest layer of this package.  Processes (`process.py`), the network (`network.py`) and disks (`disk.py`)
hand it calls to run at a virtual time; it runs them one by one.  Nothing here sleeps or reads a real clock,
so one seed plays the same events each time.
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
START_S = 1000  # virtual time at which a simulation begins
DEFAULT_TRACE_EVENTS = 40


class InvariantViolation(Exception):
    """An invariant does not hold; its arguments are the invariant's name and what was seen."""


class Simulation:
    """The scheduler.

    Attributes:
        seed: from which all draws follow.
        rng: the draws of the network, the disks and the schedule.
        now_ns: virtual time in nanoseconds.
        events: how many calls were run.
        timers: heap of (time in ns, order of entry, call, arguments).
        ready: calls with their arguments that run before time goes on, first come first served.
        hub: the greenlet of the scheduler, to which tasks switch where they wait.
        digest: checksum of all events.
        frames: checksum of the messages between processes alone; it stays where only a note's words change.
        notes: the last events for a trace, as (time in ns, who, what).
        violation: what `fail` was given first.
        running: the process whose code is running.
    """

    def __init__(self, seed: int, trace_length: int = DEFAULT_TRACE_EVENTS) -> None:
        """Begin at `START_S` with nothing to run; `trace_length` is how many events `notes` keeps."""
        self.seed = seed
        self.rng = random.Random(seed)
        self.now_ns = START_S * NS_PER_SECOND
        self.order = 0
        self.events = 0
        self.timers: list[tuple[int, int, Callable[..., Any], tuple]] = []
        self.ready: deque[tuple[Callable[..., Any], tuple]] = deque()
        self.hub = greenlet.getcurrent()
        self.digest = 0
        self.frames = 0
        self.notes: deque[tuple[int, str, str]] = deque(maxlen=trace_length)
        self.violation: InvariantViolation | None = None
        self.running: Process | None = None

    def call_at(self, when_ns: int, call: Callable[..., Any], *args: Any) -> None:
        """Run a call at a virtual time, in nanoseconds; calls of one time run in the order of entry."""
        self.order += 1
        heapq.heappush(self.timers, (when_ns, self.order, call, args))

    def call_after(self, delay_ns: int, call: Callable[..., Any], *args: Any) -> None:
        """Run a call when some nanoseconds have passed."""
        self.call_at(self.now_ns + delay_ns, call, *args)

    def run(self, until_ns: int) -> None:
        """Play events until a virtual time, in nanoseconds.

        Raises:
            InvariantViolation: an invariant that ends the run does not hold, now or from an earlier run.
        """
        # Local names: this loop runs some hundred thousand times in a trial.
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
        """Fold a message that arrives into both checksums."""
        self.digest = self.checksum(self.digest, data)
        self.frames = self.checksum(self.frames, data)

    def checksum(self, previous: int, data: bytes) -> int:
        """Fold the time and some bytes into a checksum."""
        return zlib.crc32(data, zlib.crc32(self.now_ns.to_bytes(8, "big"), previous))

    def note(self, who: str, what: str) -> None:
        """Record an event that matters to a reader of a trace."""
        self.digest = self.checksum(self.digest, f"{who} {what}".encode())
        self.notes.append((self.now_ns, who, what))

    def fail(self, error: InvariantViolation) -> None:
        """End the run before the next event; only the first error counts."""
        self.violation = self.violation or error

    @property
    def elapsed_s(self) -> float:
        """Virtual seconds since the beginning."""
        return seconds_since_start(self.now_ns)


def seconds_since_start(time_ns: int) -> float:
    """Seconds from the beginning of a simulation to a virtual time in nanoseconds."""
    return time_ns / NS_PER_SECOND - START_S
