"""Processes of a simulation: what a kill or a freeze acts on, and the runtime that their code runs in.

Code of the control plane takes clock, waits, tasks and connections from a `RuntimeInterface`
(`transport/runtime.py`).  `Runtime` here gives it those of one simulation.  Tasks are greenlets that switch
to the scheduler where they would wait.  Times are nanoseconds within the scheduler, seconds at a `Runtime`.
"""

import random
import traceback
from collections import deque
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, Self

import greenlet

from flintreach.simulation.scheduler import NS_PER_MS, NS_PER_SECOND, Simulation
from flintreach.transport.peer_connection import Address, MessageHandlers

if TYPE_CHECKING:
    from flintreach.simulation.network import Machine, PeerConnection

FIN = object()  # in place of a message: the sender has closed its end of the connection
MAX_TIMER_LATENESS_NS = NS_PER_MS


def ignore_crash(text: str) -> None:
    """Take no notice of a task that an exception ended."""


class Process:
    """What a kill or a freeze acts on: tasks, connections, and calls that wait to be run.

    Attributes:
        machine: where it runs.
        alive: False from its end on.
        frozen: whether it is stopped, as by SIGSTOP.
        started_at_ns: virtual time of its start.
        backlog: calls with their arguments that a freeze holds up.
        tasks: greenlets that have not ended, in the order of their start.
        links: open connections, in the order of their making.
        handlers: of connections that others open; None where nobody listens.
        on_datagram: called with the data and the sender's machine; None where nobody listens.
        on_crash: called with the traceback of a task that an exception ended.
        runtime: what its code takes clock, waits, tasks and connections from.
    """

    def __init__(
        self,
        sim: Simulation,
        machine: "Machine",
        name: str,
        on_crash: Callable[[str], None] = ignore_crash,
    ) -> None:
        """Begin with no task, no connection and nobody who listens."""
        self.sim = sim
        self.machine = machine
        self.name = name
        self.alive = True
        self.frozen = False
        self.started_at_ns = sim.now_ns
        self.backlog: list[tuple[Callable[..., Any], tuple]] = []
        self.tasks: dict[greenlet.greenlet, None] = {}
        self.links: dict[PeerConnection, None] = {}
        self.handlers: MessageHandlers | None = None
        self.on_datagram: Callable[[bytes, Machine], None] | None = None
        self.on_crash = on_crash
        self.runtime = Runtime(self)

    @property
    def is_running(self) -> bool:
        """Whether it has neither ended nor is frozen."""
        return self.alive and not self.frozen

    def dispatch(self, call: Callable[..., Any], *args: Any) -> None:
        """Run a call in this process, now or after a thaw; never after its end."""
        if not self.alive:
            return
        if self.frozen:
            self.backlog.append((call, args))
            return
        interrupted = self.sim.running
        self.sim.running = self
        call(*args)
        self.sim.running = interrupted

    def call_soon(self, call: Callable[..., Any], *args: Any) -> None:
        """Run a call in this process before time goes on, after what is ready already."""
        self.sim.ready.append((self.dispatch, (call, *args)))

    def call_later(self, seconds: float, call: Callable[..., Any], *args: Any) -> None:
        """Run a call in this process when some seconds have passed, and up to a millisecond later."""
        lateness_ns = int(self.sim.rng.random() * MAX_TIMER_LATENESS_NS)
        self.sim.call_after(max(0, int(seconds * NS_PER_SECOND)) + lateness_ns, self.dispatch, call, *args)

    def pause(self) -> Any:
        """Switch from a task to the scheduler.

        Returns:
            What the task is woken with.

        Raises:
            greenlet.GreenletExit: the process has ended.
            RuntimeError: the caller is not a task.
        """
        if not self.alive:
            raise greenlet.GreenletExit
        if greenlet.getcurrent() is self.sim.hub:
            raise RuntimeError("a wait outside of a task")
        return self.sim.hub.switch()

    def freeze(self) -> None:
        """Stop running; clocks go on, and what arrives is buffered."""
        self.frozen = True

    def thaw(self) -> None:
        """Run what came during the freeze."""
        self.frozen = False
        self.machine.recovered_at_ns = self.sim.now_ns
        waiting = self.backlog
        self.backlog = []
        if self.sim.rng.random() < 0.5:
            # Either timers that ran out come before buffered messages, or all comes in the order of arrival.
            waiting.sort(key=lambda entry: not wakes_task(entry[0]))
        for call, args in waiting:
            self.call_soon(call, *args)

    def end(self, notify_peers: bool) -> None:
        """End all tasks and connections at once.

        Args:
            notify_peers: the system closes the connections, as after a kill; without power no peer hears
                of it.
        """
        self.alive = False
        for task in [*self.tasks]:
            task.throw(greenlet.GreenletExit)
        self.tasks.clear()
        for link in [*self.links]:
            if notify_peers and not link.closed:
                link.put(FIN)
            link.closed = True
        self.links.clear()
        self.handlers = None
        self.on_datagram = None


class Waiter:
    """One wait of one task.

    Attributes:
        task: who waits.
        done: whether it was woken.
    """

    __slots__ = "process", "task", "done"

    def __init__(self, process: Process) -> None:
        """Prepare a wait of the running task."""
        self.process = process
        self.task = greenlet.getcurrent()
        self.done = False

    def wake(self, value: Any) -> None:
        """Go on with the task, once; later calls do nothing."""
        if not self.done:
            self.done = True
            self.task.switch(value)

    def wait(self, timeout: float | None) -> Any:
        """Wait to be woken.

        Args:
            timeout: seconds to wait at most; None: for ever.

        Returns:
            What it is woken with; None where `timeout` seconds passed before.
        """
        if timeout is not None:
            self.process.call_later(timeout, self.wake, None)
        return self.process.pause()


def wakes_task(call: Callable[..., Any]) -> bool:
    """Whether a call is the end of a task's wait, in place of a message that arrives."""
    return getattr(call, "__func__", None) is Waiter.wake


class Event:
    """A flag that tasks can wait for; see `transport.runtime.EventInterface`."""

    def __init__(self, process: Process) -> None:
        """Begin with the flag down."""
        self.process = process
        self.is_up = False
        self.waiters: list[Waiter] = []

    def is_set(self) -> bool:
        """Whether the flag is up."""
        return self.is_up

    def set(self) -> None:
        """Raise the flag, and wake all that wait."""
        self.is_up = True
        waiters = self.waiters
        self.waiters = []
        for waiter in waiters:
            self.process.call_soon(waiter.wake, True)

    def clear(self) -> None:
        """Lower the flag."""
        self.is_up = False

    def wait(self, timeout: float | None = None) -> bool:
        """Wait until the flag is up; False where `timeout` seconds passed before."""
        if self.is_up:
            return True
        waiter = Waiter(self.process)
        self.waiters.append(waiter)
        return bool(waiter.wait(timeout))


class Lock:
    """Reentrant, first come first served; see `transport.runtime.LockInterface`."""

    def __init__(self, process: Process) -> None:
        """Begin with the lock free."""
        self.process = process
        self.owner: greenlet.greenlet | None = None
        self.count = 0
        self.waiters: deque[Waiter] = deque()

    def acquire(self, blocking: bool = True, timeout: float | None = None) -> bool:
        """Take the lock; False where it is not free, with `blocking` not within `timeout` seconds."""
        current_task = greenlet.getcurrent()
        if self.owner in (None, current_task):
            self.owner = current_task
            self.count += 1
            return True
        if not blocking:
            return False
        waiter = Waiter(self.process)
        self.waiters.append(waiter)
        return bool(waiter.wait(timeout))

    def release(self) -> None:
        """Give the lock back; who has waited longest owns it next."""
        self.count -= 1
        if self.count or not self.process.alive:
            return
        self.owner = None
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done:
                # It owns the lock from now on, lest another takes it before it runs.
                waiter.done = True
                self.owner = waiter.task
                self.count = 1
                self.process.call_soon(waiter.task.switch, True)
                return

    def __enter__(self) -> Self:
        """Take the lock, however long that takes."""
        self.acquire()
        return self

    def __exit__(self, *_: object) -> None:
        """Give the lock back."""
        self.release()


class Task:
    """A function that runs beside its caller; see `transport.runtime.TaskInterface`.

    Attributes:
        over: whether it has ended by itself, with a result or an exception.
        value: what it returned.
        watchers: called without arguments when it has ended by itself.
    """

    def __init__(self, process: Process, function: Callable[..., Any], args: tuple) -> None:
        """Have the function run soon, unless the process has ended."""
        self.process = process
        self.function = function
        self.args = args
        self.over = False
        self.value: Any = None
        self.watchers: list[Callable[[], None]] = []
        self.greenlet = greenlet.greenlet(self.run, process.sim.hub)
        if process.alive:
            process.tasks[self.greenlet] = None
            process.call_soon(self.greenlet.switch)

    def run(self, *_: object) -> None:
        """Run the function in the task's greenlet, and tell the watchers."""
        try:
            self.value = self.function(*self.args)
        except greenlet.GreenletExit:
            return
        except Exception:
            self.process.on_crash(traceback.format_exc(limit=-4))
        self.process.tasks.pop(self.greenlet, None)
        self.over = True
        for watcher in self.watchers:
            watcher()

    def result(self, timeout: float | None = None) -> Any:
        """Wait for the end; None where it has not come within `timeout` seconds, or was an exception."""
        if not self.over:
            done = Event(self.process)
            self.watchers.append(done.set)
            done.wait(timeout)
        return self.value


class Runtime:
    """`transport.runtime.RuntimeInterface` of one simulated process.

    Attributes:
        rng: draws of the process's own, from the simulation's seed.
        clock_offset_ns: from virtual time to the steady clock of the machine.
    """

    def __init__(self, process: Process) -> None:
        """Take the machine's steady clock as it stands."""
        self.process = process
        self.sim = process.sim
        self.rng = random.Random(process.sim.rng.getrandbits(64))
        self.clock_offset_ns = process.machine.clock_offset_ns

    def now(self) -> float:
        """Give the steady clock in seconds."""
        return (self.sim.now_ns + self.clock_offset_ns) / NS_PER_SECOND

    def now_ns(self) -> int:
        """Give the steady clock in nanoseconds."""
        return self.sim.now_ns + self.clock_offset_ns

    def sleep(self, seconds: float) -> None:
        """Let other tasks run for some seconds."""
        Waiter(self.process).wait(seconds)

    def spawn(self, function: Callable[..., Any], *args: Any) -> Task:
        """Run a function beside the caller."""
        return Task(self.process, function, args)

    def event(self) -> Event:
        """Make an event."""
        return Event(self.process)

    def lock(self) -> Lock:
        """Make a lock."""
        return Lock(self.process)

    def run_all(self, calls: Iterable[Callable[[], Any]], timeout: float) -> None:
        """Run calls beside each other; return when all have ended or `timeout` seconds are over."""
        tasks = [self.spawn(call) for call in calls]
        left = len(tasks)
        done = self.event()

        def count_down() -> None:
            nonlocal left
            left -= 1
            if not left:
                done.set()

        for task in tasks:
            task.watchers.append(count_down)
        if tasks:
            done.wait(timeout)

    def dial(self, address: Address, handlers: MessageHandlers, timeout: float) -> "PeerConnection":
        """Connect to another process; see `network.Network.dial`."""
        return self.process.machine.network.dial(self.process, address, handlers, timeout)
