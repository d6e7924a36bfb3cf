"""What the control decisions take from the process they run in: clock, waits, greenlets, links, chance.

The same text runs in a program, over gevent, and in a simulation with a clock and links of its own
(`standins/simulated.py`): nothing under `cairn`, `trail` or `refuge` outside `program.py` reads the time,
sleeps or dials by any other way.
"""

import random
import time
from collections.abc import Callable, Iterable

import gevent
from gevent.event import Event
from gevent.lock import RLock

from flintreach.transport.peer_connection import PeerConnection, dial
from flintreach.transport.traffic_meter import TrafficMeter


class Task:
    """Something under way beside its caller."""

    def __init__(self, greenlet: gevent.Greenlet):
        self.greenlet = greenlet

    def result(self, timeout: float):
        """What it returned; None where it has not ended within `timeout` seconds, or failed."""
        self.greenlet.join(timeout)
        return self.greenlet.value if self.greenlet.ready() else None


class Runtime:
    """A process on gevent.  Times are seconds; `now` is the steady clock."""

    chance = random

    def __init__(self):
        self.meter = TrafficMeter()  # of all links of the process

    def now(self) -> float:
        return time.monotonic()

    def now_ns(self) -> int:
        return time.monotonic_ns()

    def sleep(self, seconds: float) -> None:
        gevent.sleep(seconds)

    def spawn(self, function: Callable, *args) -> Task:
        return Task(gevent.spawn(function, *args))

    def event(self) -> Event:
        """With `set()`, `clear()`, `is_set()` and `wait(timeout) -> bool`."""
        return Event()

    def lock(self) -> RLock:
        """With `acquire(timeout=)`, `release()`, and as a context."""
        return RLock()

    def dial(self, address: tuple[str, int], handlers: dict[str, Callable], timeout: float) -> PeerConnection:
        """A link to another pilot.  Raises OSError."""
        return dial(address, handlers, timeout, meter=self.meter)

    def all(self, calls: Iterable[Callable], timeout: float) -> None:
        """Run calls beside each other; return when all have ended or `timeout` seconds are over."""
        gevent.joinall([gevent.spawn(call) for call in calls], timeout=timeout)
