"""Runtime of control-plane code: clock, synchronization, tasks, connections and random numbers.

The same code runs in a program, over gevent (`Runtime`), and in a simulation with a simulated clock and
network (`simulation/process.py`).  Code under `consensus`, `dissemination` and `controller`, except
`controller/program.py`, reads the time, sleeps and dials only through `RuntimeInterface`.
"""

import random
import sys
import time
from collections.abc import Callable, Iterable
from contextlib import AbstractContextManager
from typing import Any, Protocol

import gevent
from gevent.event import Event
from gevent.lock import RLock

from flintreach.transport.peer_connection import Address, MessageHandlers, PeerConnection, dial
from flintreach.transport.traffic_meter import TrafficMeter

LOOP_RESTART_DELAY_S = 0.2


class TaskInterface(Protocol):
    """A function running concurrently with its caller."""

    def result(self, timeout: float) -> Any:
        """Wait for the task to finish, and return its result.

        Args:
            timeout: maximum number of seconds to wait.

        Returns:
            The function's return value; None if it failed or did not finish within `timeout`.
        """


class EventInterface(Protocol):
    """A flag that tasks can wait for."""

    def set(self) -> None:
        """Set the flag, and wake all waiting tasks."""

    def clear(self) -> None:
        """Reset the flag."""

    def is_set(self) -> bool:
        """Whether the flag is set."""

    def wait(self, timeout: float | None = None) -> bool:
        """Wait until the flag is set; return False if `timeout` seconds pass first."""


class LockInterface(AbstractContextManager, Protocol):
    """A reentrant lock."""

    def acquire(self, blocking: bool = True, timeout: float | None = None) -> bool:
        """Acquire the lock; return False if `timeout` seconds pass first."""

    def release(self) -> None:
        """Release the lock."""


class RuntimeInterface(Protocol):
    """Services of a process for the code that runs in it.  Times are in seconds unless named otherwise."""

    rng: Any  # provides the functions of module `random`

    def now(self) -> float:
        """Return the monotonic clock in seconds."""

    def now_ns(self) -> int:
        """Return the monotonic clock in nanoseconds."""

    def sleep(self, seconds: float) -> None:
        """Suspend the current task for some seconds."""

    def spawn(self, function: Callable[..., Any], *args: Any) -> TaskInterface:
        """Run a function concurrently with the caller."""

    def spawn_loop(self, loop: Callable[[], Any]) -> None:
        """Run a loop that lasts as long as the process, concurrently with the caller."""

    def event(self) -> EventInterface:
        """Create an event."""

    def lock(self) -> LockInterface:
        """Create a lock."""

    def dial(self, address: Address, handlers: MessageHandlers, timeout: float) -> PeerConnection:
        """Connect to another process.

        Raises:
            OSError: the connection was not established within `timeout` seconds.
        """

    def run_all(self, calls: Iterable[Callable[[], Any]], timeout: float) -> None:
        """Run calls concurrently; return when all have finished or `timeout` seconds have passed."""


def run_loop(loop: Callable[[], Any]) -> None:
    """Run a loop, and start it again after each exception, which is reported like an unhandled one.

    One bad input must not stop for good what a process does periodically.
    """
    while True:
        try:
            loop()
            return
        except Exception:
            gevent.get_hub().handle_error(loop, *sys.exc_info())
        gevent.sleep(LOOP_RESTART_DELAY_S)


class Task:
    """`TaskInterface` over a greenlet."""

    def __init__(self, greenlet: gevent.Greenlet) -> None:
        """Wrap a started greenlet."""
        self.greenlet = greenlet

    def result(self, timeout: float) -> Any:
        """Wait for the greenlet to finish, and return its result; see `TaskInterface`."""
        self.greenlet.join(timeout)
        return self.greenlet.value if self.greenlet.ready() else None


class Runtime:
    """`RuntimeInterface` over gevent, for real processes.

    Attributes:
        meter: counts the traffic of all connections of the process.
    """

    rng = random

    def __init__(self) -> None:
        """Create a runtime with all traffic counters at zero."""
        self.meter = TrafficMeter()

    def now(self) -> float:
        """Return the monotonic clock in seconds."""
        return time.monotonic()

    def now_ns(self) -> int:
        """Return the monotonic clock in nanoseconds."""
        return time.monotonic_ns()

    def sleep(self, seconds: float) -> None:
        """Suspend the current task for some seconds."""
        gevent.sleep(seconds)

    def spawn(self, function: Callable[..., Any], *args: Any) -> Task:
        """Run a function concurrently with the caller."""
        return Task(gevent.spawn(function, *args))

    def spawn_loop(self, loop: Callable[[], Any]) -> None:
        """Run a loop that lasts as long as the process; see `run_loop`."""
        gevent.spawn(run_loop, loop)

    def event(self) -> Event:
        """Create an event."""
        return Event()

    def lock(self) -> RLock:
        """Create a lock."""
        return RLock()

    def dial(self, address: Address, handlers: MessageHandlers, timeout: float) -> PeerConnection:
        """Connect to another process.

        Raises:
            OSError: the connection was not established within `timeout` seconds.
        """
        return dial(address, handlers, timeout, meter=self.meter)

    def run_all(self, calls: Iterable[Callable[[], Any]], timeout: float) -> None:
        """Run calls concurrently; return when all have finished or `timeout` seconds have passed."""
        gevent.joinall([gevent.spawn(call) for call in calls], timeout=timeout)
