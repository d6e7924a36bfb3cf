"""What control-plane code takes from the process that it runs in: clock, waits, tasks, connections, chance.

The same code runs in a program, over gevent (`Runtime`), and in a simulation with a clock and connections of
its own (`simulation/process.py`).  Nothing under `consensus`, `dissemination` or `controller`, except
`controller/program.py`, reads the time, sleeps or dials by any other way than `RuntimeInterface`.
"""

import random
import time
from collections.abc import Callable, Iterable
from contextlib import AbstractContextManager
from typing import Any, Protocol

import gevent
from gevent.event import Event
from gevent.lock import RLock

from flintreach.transport.peer_connection import Address, MessageHandlers, PeerConnection, dial
from flintreach.transport.traffic_meter import TrafficMeter


class TaskInterface(Protocol):
    """Something under way beside its caller."""

    def result(self, timeout: float) -> Any:
        """Wait for the end, and give what it returned.

        Args:
            timeout: seconds to wait at most.

        Returns:
            None where it has not ended within `timeout`, or failed.
        """


class EventInterface(Protocol):
    """A flag that tasks can wait for."""

    def set(self) -> None:
        """Raise the flag, and wake all that wait."""

    def clear(self) -> None:
        """Lower the flag."""

    def is_set(self) -> bool:
        """Whether the flag is up."""

    def wait(self, timeout: float | None = None) -> bool:
        """Wait until the flag is up; False where `timeout` seconds passed before."""


class LockInterface(AbstractContextManager, Protocol):
    """A lock that the task which has it may take again."""

    def acquire(self, blocking: bool = True, timeout: float | None = None) -> bool:
        """Take the lock; False where `timeout` seconds passed before it was free."""

    def release(self) -> None:
        """Give the lock back."""


class RuntimeInterface(Protocol):
    """What a process offers to the code that runs in it.  Times are seconds, if not named otherwise."""

    rng: Any  # with the functions of module `random`

    def now(self) -> float:
        """Give the steady clock in seconds."""

    def now_ns(self) -> int:
        """Give the steady clock in nanoseconds."""

    def sleep(self, seconds: float) -> None:
        """Let other tasks run for some seconds."""

    def spawn(self, function: Callable[..., Any], *args: Any) -> TaskInterface:
        """Run a function beside the caller."""

    def event(self) -> EventInterface:
        """Make an event."""

    def lock(self) -> LockInterface:
        """Make a lock."""

    def dial(self, address: Address, handlers: MessageHandlers, timeout: float) -> PeerConnection:
        """Connect to another process.

        Raises:
            OSError: no connection came up within `timeout` seconds.
        """

    def run_all(self, calls: Iterable[Callable[[], Any]], timeout: float) -> None:
        """Run calls beside each other; return when all have ended or `timeout` seconds are over."""


class Task:
    """`TaskInterface` over a greenlet."""

    def __init__(self, greenlet: gevent.Greenlet) -> None:
        """Wrap a greenlet that was started."""
        self.greenlet = greenlet

    def result(self, timeout: float) -> Any:
        """Wait for the end, and give what it returned; see `TaskInterface`."""
        self.greenlet.join(timeout)
        return self.greenlet.value if self.greenlet.ready() else None


class Runtime:
    """`RuntimeInterface` over gevent, for a real process.

    Attributes:
        meter: counts the traffic of all connections of the process.
    """

    rng = random

    def __init__(self) -> None:
        """Begin with a meter at zero."""
        self.meter = TrafficMeter()

    def now(self) -> float:
        """Give the steady clock in seconds."""
        return time.monotonic()

    def now_ns(self) -> int:
        """Give the steady clock in nanoseconds."""
        return time.monotonic_ns()

    def sleep(self, seconds: float) -> None:
        """Let other tasks run for some seconds."""
        gevent.sleep(seconds)

    def spawn(self, function: Callable[..., Any], *args: Any) -> Task:
        """Run a function beside the caller."""
        return Task(gevent.spawn(function, *args))

    def event(self) -> Event:
        """Make an event."""
        return Event()

    def lock(self) -> RLock:
        """Make a lock."""
        return RLock()

    def dial(self, address: Address, handlers: MessageHandlers, timeout: float) -> PeerConnection:
        """Connect to another process.

        Raises:
            OSError: no connection came up within `timeout` seconds.
        """
        return dial(address, handlers, timeout, meter=self.meter)

    def run_all(self, calls: Iterable[Callable[[], Any]], timeout: float) -> None:
        """Run calls beside each other; return when all have ended or `timeout` seconds are over."""
        gevent.joinall([gevent.spawn(call) for call in calls], timeout=timeout)
