"""Simulated processes, which can be killed and frozen, and the runtime that their code runs in.

Control-plane code gets its clock, timers, tasks and connections from a `RuntimeInterface`
(`transport/runtime.py`).  `Runtime` implements it on the simulation's scheduler.  Tasks are greenlets that
switch to the scheduler when they block.  The scheduler counts time in nanoseconds, a `Runtime` in seconds.
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

FIN = object()  # takes the place of a message when the sender has closed its end of the connection
MAX_TIMER_LATENESS_NS = NS_PER_MS  # upper bound of the random delay added to each timer


def ignore_crash(text: str) -> None:
    """Ignore a task that ended with an exception."""


class Process:
    """A process with its tasks, its connections and the calls deferred while it is frozen.

    Attributes:
        machine: the machine that it runs on.
        alive: False once the process has ended.
        frozen: whether the process is stopped, as by SIGSTOP.
        started_at_ns: virtual time of the start.
        deferred_calls: calls with their arguments that arrived while the process was frozen.
        tasks: greenlets that have not ended, in the order of their start.
        connections: open connections, in the order of their creation.
        handlers: message handlers for incoming connections; None if the process does not listen.
        on_datagram: called with the data and the sender's machine; None if the process does not listen.
        on_crash: called with the traceback of a task that ended with an exception.
        runtime: the `RuntimeInterface` of the code that runs in this process.
    """

    def __init__(
        self,
        sim: Simulation,
        machine: "Machine",
        name: str,
        on_crash: Callable[[str], None] = ignore_crash,
    ) -> None:
        """Start without tasks, connections or listeners."""
        self.sim = sim
        self.machine = machine
        self.name = name
        self.alive = True
        self.frozen = False
        self.started_at_ns = sim.now_ns
        self.deferred_calls: list[tuple[Callable[..., Any], tuple]] = []
        self.tasks: dict[greenlet.greenlet, None] = {}
        self.connections: dict[PeerConnection, None] = {}
        self.handlers: MessageHandlers | None = None
        self.on_datagram: Callable[[bytes, Machine], None] | None = None
        self.on_crash = on_crash
        self.runtime = Runtime(self)

    @property
    def is_running(self) -> bool:
        """Whether the process is alive and not frozen."""
        return self.alive and not self.frozen

    def dispatch(self, call: Callable[..., Any], *args: Any) -> None:
        """Run a call in this process now, after the thaw if it is frozen, or never if it has ended."""
        if not self.alive:
            return
        if self.frozen:
            self.deferred_calls.append((call, args))
            return
        interrupted = self.sim.current_process
        self.sim.current_process = self
        call(*args)
        self.sim.current_process = interrupted

    def call_soon(self, call: Callable[..., Any], *args: Any) -> None:
        """Run a call in this process before virtual time advances, after the calls that are already ready."""
        self.sim.ready.append((self.dispatch, (call, *args)))

    def call_later(self, seconds: float, call: Callable[..., Any], *args: Any) -> None:
        """Run a call in this process after a delay in seconds, plus a random lateness of up to 1 ms."""
        lateness_ns = int(self.sim.rng.random() * MAX_TIMER_LATENESS_NS)
        self.sim.call_after(max(0, int(seconds * NS_PER_SECOND)) + lateness_ns, self.dispatch, call, *args)

    def suspend(self) -> Any:
        """Suspend the current task and switch to the scheduler.

        Returns:
            The value that the task is resumed with.

        Raises:
            greenlet.GreenletExit: the process has ended.
            RuntimeError: the caller is not a task.
        """
        if not self.alive:
            raise greenlet.GreenletExit
        if greenlet.getcurrent() is self.sim.hub:
            raise RuntimeError("blocking call outside of a task")
        return self.sim.hub.switch()

    def freeze(self) -> None:
        """Stop running; the clocks continue, and calls that arrive are deferred."""
        self.frozen = True

    def thaw(self) -> None:
        """Resume, and run the calls deferred during the freeze."""
        self.frozen = False
        self.machine.recovered_at_ns = self.sim.now_ns
        deferred = self.deferred_calls
        self.deferred_calls = []
        if self.sim.rng.random() < 0.5:
            # In half of the cases expired timers run before buffered messages, else all calls in FIFO order.
            deferred.sort(key=lambda entry: not is_task_wakeup(entry[0]))
        for call, args in deferred:
            self.call_soon(call, *args)

    def end(self, notify_peers: bool) -> None:
        """End all tasks and connections immediately.

        Args:
            notify_peers: close the connections towards the peers, as the operating system does after a kill;
                False for a loss of power, which peers are not notified of.
        """
        self.alive = False
        for task in [*self.tasks]:
            task.throw(greenlet.GreenletExit)
        self.tasks.clear()
        for connection in [*self.connections]:
            if notify_peers and not connection.closed:
                connection.put(FIN)
            connection.closed = True
        self.connections.clear()
        self.handlers = None
        self.on_datagram = None


class Waiter:
    """A single blocking wait of one task.

    Attributes:
        task: the waiting task.
        done: whether the task was woken.
    """

    __slots__ = "process", "task", "done"

    def __init__(self, process: Process) -> None:
        """Prepare a wait of the current task."""
        self.process = process
        self.task = greenlet.getcurrent()
        self.done = False

    def wake(self, value: Any) -> None:
        """Resume the task with a value; only the first call has an effect."""
        if not self.done:
            self.done = True
            self.task.switch(value)

    def wait(self, timeout: float | None) -> Any:
        """Block until `wake` is called or the timeout expires.

        Args:
            timeout: maximum wait in seconds; None waits indefinitely.

        Returns:
            The value passed to `wake`; None on a timeout.
        """
        if timeout is not None:
            self.process.call_later(timeout, self.wake, None)
        return self.process.suspend()


def is_task_wakeup(call: Callable[..., Any]) -> bool:
    """Whether a call wakes a waiting task, as opposed to delivering a message."""
    return getattr(call, "__func__", None) is Waiter.wake


class Event:
    """Simulated `transport.runtime.EventInterface`."""

    def __init__(self, process: Process) -> None:
        """Start with the flag cleared."""
        self.process = process
        self.flag = False
        self.waiters: list[Waiter] = []

    def is_set(self) -> bool:
        """Whether the flag is set."""
        return self.flag

    def set(self) -> None:
        """Set the flag and wake all waiting tasks."""
        self.flag = True
        waiters = self.waiters
        self.waiters = []
        for waiter in waiters:
            self.process.call_soon(waiter.wake, True)

    def clear(self) -> None:
        """Clear the flag."""
        self.flag = False

    def wait(self, timeout: float | None = None) -> bool:
        """Wait until the flag is set; False on a timeout."""
        if self.flag:
            return True
        waiter = Waiter(self.process)
        self.waiters.append(waiter)
        return bool(waiter.wait(timeout))


class Lock:
    """Simulated `transport.runtime.LockInterface`: reentrant, and granted in FIFO order."""

    def __init__(self, process: Process) -> None:
        """Start with the lock released."""
        self.process = process
        self.owner: greenlet.greenlet | None = None
        self.count = 0
        self.waiters: deque[Waiter] = deque()

    def acquire(self, blocking: bool = True, timeout: float | None = None) -> bool:
        """Acquire the lock; False if it is held and `blocking` is False, or on a timeout."""
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
        """Release the lock and pass it to the task that has waited longest."""
        self.count -= 1
        if self.count or not self.process.alive:
            return
        self.owner = None
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done:
                # Ownership passes here: another task could acquire the lock before the waiter runs.
                waiter.done = True
                self.owner = waiter.task
                self.count = 1
                self.process.call_soon(waiter.task.switch, True)
                return

    def __enter__(self) -> Self:
        """Acquire the lock without a timeout."""
        self.acquire()
        return self

    def __exit__(self, *_: object) -> None:
        """Release the lock."""
        self.release()


class Task:
    """Simulated `transport.runtime.TaskInterface`: a function that runs concurrently with its caller.

    Attributes:
        finished: whether the function returned or raised; False if the process ended first.
        return_value: value that the function returned.
        done_callbacks: called without arguments once the task has finished.
    """

    def __init__(self, process: Process, function: Callable[..., Any], args: tuple) -> None:
        """Schedule the function, unless the process has ended."""
        self.process = process
        self.function = function
        self.args = args
        self.finished = False
        self.return_value: Any = None
        self.done_callbacks: list[Callable[[], None]] = []
        self.greenlet = greenlet.greenlet(self.run, process.sim.hub)
        if process.alive:
            process.tasks[self.greenlet] = None
            process.call_soon(self.greenlet.switch)

    def run(self, *_: object) -> None:
        """Run the function in the task's greenlet, then the callbacks."""
        try:
            self.return_value = self.function(*self.args)
        except greenlet.GreenletExit:
            return
        except Exception:
            self.process.on_crash(traceback.format_exc(limit=-4))
        self.process.tasks.pop(self.greenlet, None)
        self.finished = True
        for callback in self.done_callbacks:
            callback()

    def result(self, timeout: float | None = None) -> Any:
        """Wait for the result; None on a timeout or if the function raised."""
        if not self.finished:
            done = Event(self.process)
            self.done_callbacks.append(done.set)
            done.wait(timeout)
        return self.return_value


class Runtime:
    """`transport.runtime.RuntimeInterface` of one simulated process.

    Attributes:
        rng: the process's own generator, seeded from the simulation.
        clock_offset_ns: offset of the machine's monotonic clock from virtual time.
    """

    def __init__(self, process: Process) -> None:
        """Copy the clock offset that the machine has now; a reboot changes the machine's."""
        self.process = process
        self.sim = process.sim
        self.rng = random.Random(process.sim.rng.getrandbits(64))
        self.clock_offset_ns = process.machine.clock_offset_ns

    def now(self) -> float:
        """Return the monotonic clock in seconds."""
        return (self.sim.now_ns + self.clock_offset_ns) / NS_PER_SECOND

    def now_ns(self) -> int:
        """Return the monotonic clock in nanoseconds."""
        return self.sim.now_ns + self.clock_offset_ns

    def sleep(self, seconds: float) -> None:
        """Suspend the current task for some seconds."""
        Waiter(self.process).wait(seconds)

    def spawn(self, function: Callable[..., Any], *args: Any) -> Task:
        """Run a function concurrently with the caller."""
        return Task(self.process, function, args)

    def spawn_loop(self, loop: Callable[[], Any]) -> None:
        """Run a loop once: an exception that ends it is a violation of an invariant."""
        self.spawn(loop)

    def event(self) -> Event:
        """Create an event."""
        return Event(self.process)

    def lock(self) -> Lock:
        """Create a lock."""
        return Lock(self.process)

    def run_all(self, calls: Iterable[Callable[[], Any]], timeout: float) -> None:
        """Run calls concurrently; return when all have finished or `timeout` seconds have passed."""
        tasks = [self.spawn(call) for call in calls]
        remaining = len(tasks)
        done = self.event()

        def count_down() -> None:
            nonlocal remaining
            remaining -= 1
            if not remaining:
                done.set()

        for task in tasks:
            task.done_callbacks.append(count_down)
        if tasks:
            done.wait(timeout)

    def dial(self, address: Address, handlers: MessageHandlers, timeout: float) -> "PeerConnection":
        """Connect to another process; see `network.Network.dial`."""
        return self.process.machine.network.dial(self.process, address, handlers, timeout)
