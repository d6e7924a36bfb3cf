"""A simulated network of processes: virtual time, a seeded schedule, links, datagrams and disks.

The text that is played is the shipped one: it takes clock, waits, tasks and links from a `Runtime`
(`rope/host.py`), and this one gives it those of one simulation.  Tasks are greenlets that switch to the
scheduler where they would wait, so nothing here sleeps, opens a socket or reads a real clock; the same seed
plays the same events.  Times are nanoseconds within the scheduler, seconds at a `Runtime`.

What is modelled of TCP: order within a direction, bytes that a cut holds up, an end after MUTE without an
acknowledgement (`rope/link.py` asks the system for that), resets by a process that is gone, silence of a
machine without power, a receiver that sleeps while its system still acknowledges.
"""

import heapq
import random
import traceback
import zlib
from collections import deque
from typing import Any

import greenlet
import msgspec

from flintreach.consensus.acceptor import Slot
from flintreach.membership.failure_detector import FailureDetector
from flintreach.transport.peer_connection import ConnectionClosed

PACK, UNPACK = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder().decode
MS, SECOND = 1_000_000, 1_000_000_000
MUTE = 1500 * MS  # as links ask of the system: what is not acknowledged for so long ends them
FIN = object()
PORT = 7700  # of a refuge, for other pilots


class Broken(Exception):
    """An invariant does not hold; its text says which, and what was seen."""


class Simulation:
    """The scheduler.  `note` keeps the last events for a trace; all events go into `digest`, and the messages
    between processes alone, byte for byte, into `frames`: that one stays when a note gets other words."""

    def __init__(self, seed: int, kept: int = 40):
        self.seed, self.chance = seed, random.Random(seed)
        self.now, self.order, self.events = 1000 * SECOND, 0, 0
        self.timers: list = []
        self.ready: deque = deque()
        self.hub = greenlet.getcurrent()
        self.digest, self.frames, self.notes = 0, 0, deque(maxlen=kept)
        self.broken: Broken | None = None
        self.running: Process | None = None

    def at(self, when: int, call, *args) -> None:
        self.order += 1
        heapq.heappush(self.timers, (when, self.order, call, args))

    def after(self, delay: int, call, *args) -> None:
        self.at(self.now + delay, call, *args)

    def run(self, until: int) -> None:
        """Play until a time (ns).  Raises what `fail` was told."""
        ready, timers, pop = self.ready, self.timers, heapq.heappop
        while self.broken is None:
            if ready:
                call, args = ready.popleft()
            elif timers and timers[0][0] <= until:
                self.now, _, call, args = pop(timers)
            else:
                self.now = until
                return
            self.events += 1
            call(*args)
        raise self.broken

    def mark(self, data: bytes) -> None:
        """A message that arrives."""
        self.digest = self.folded(self.digest, data)
        self.frames = self.folded(self.frames, data)

    def folded(self, digest: int, data: bytes) -> int:
        return zlib.crc32(data, zlib.crc32(self.now.to_bytes(8, "big"), digest))

    def note(self, who: str, what: str) -> None:
        """An event that matters to a reader of a trace."""
        self.digest = self.folded(self.digest, f"{who} {what}".encode())
        self.notes.append((self.now, who, what))

    def fail(self, error: Broken) -> None:
        self.broken = self.broken or error

    @property
    def seconds(self) -> float:
        """Since the beginning."""
        return self.now / SECOND - 1000


class Process:
    """What a kill or a freeze acts on: tasks, links, and what waits to be run.

    `machine` is where it runs; `at_fault(text)` hears of a task that an exception ended.
    """

    def __init__(self, sim: Simulation, machine: "Machine", name: str, at_fault=None):
        self.sim, self.machine, self.name = sim, machine, name
        self.alive, self.frozen, self.began_at = True, False, sim.now
        self.backlog: list = []
        self.tasks: dict = {}
        self.links: dict = {}
        self.handlers: dict | None = None  # of links that others open; None: nobody listens
        self.on_datagram = None
        self.at_fault = at_fault or (lambda text: None)
        self.runtime = Runtime(self)

    def do(self, call, *args) -> None:
        """Run something in this process, now or after a thaw; never after its end."""
        if not self.alive:
            return
        if self.frozen:
            self.backlog.append((call, args))
            return
        held, self.sim.running = self.sim.running, self
        call(*args)
        self.sim.running = held

    def soon(self, call, *args) -> None:
        self.sim.ready.append((self.do, (call, *args)))

    def after(self, seconds: float, call, *args) -> None:
        # Timers fire a little late.
        late = int(self.sim.chance.random() * MS)
        self.sim.after(max(0, int(seconds * SECOND)) + late, self.do, call, *args)

    def pause(self):
        """Switch to the scheduler; what it is woken with."""
        if not self.alive:
            raise greenlet.GreenletExit
        if greenlet.getcurrent() is self.sim.hub:
            raise RuntimeError("a wait outside of a task")
        return self.sim.hub.switch()

    def freeze(self) -> None:
        self.frozen = True

    def thaw(self) -> None:
        """What came meanwhile runs now: clocks went on, and what arrived lies in buffers."""
        self.frozen, self.machine.eased = False, self.sim.now
        waiting, self.backlog = self.backlog, []
        if self.sim.chance.random() < 0.5:
            # Timers that ran out before what lies in buffers, or all in the order in which it came.
            waiting.sort(key=lambda row: getattr(row[0], "__func__", None) is not Waiter.wake)
        for call, args in waiting:
            self.soon(call, *args)

    def end(self, told: bool) -> None:
        """`told`: the system closes its connections; without power nobody hears of it."""
        self.alive = False
        for task in [*self.tasks]:
            task.throw(greenlet.GreenletExit)
        self.tasks.clear()
        for link in [*self.links]:
            if told and not link.closed:
                link.put(FIN)
            link.closed = True
        self.links.clear()
        self.handlers = self.on_datagram = None


class Waiter:
    __slots__ = "process", "task", "done"

    def __init__(self, process: Process):
        self.process, self.task, self.done = process, greenlet.getcurrent(), False

    def wake(self, value) -> None:
        if not self.done:
            self.done = True
            self.task.switch(value)

    def wait(self, timeout: float | None):
        """What it is woken with; None when `timeout` seconds are over."""
        if timeout is not None:
            self.process.after(timeout, self.wake, None)
        return self.process.pause()


class Event:
    def __init__(self, process: Process):
        self.process, self.on, self.waiters = process, False, []

    def is_set(self) -> bool:
        return self.on

    def set(self) -> None:
        self.on = True
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            self.process.soon(waiter.wake, True)

    def clear(self) -> None:
        self.on = False

    def wait(self, timeout: float | None = None) -> bool:
        if self.on:
            return True
        waiter = Waiter(self.process)
        self.waiters.append(waiter)
        return bool(waiter.wait(timeout))


class Lock:
    """Reentrant, first come first served."""

    def __init__(self, process: Process):
        self.process, self.owner, self.count, self.waiters = process, None, 0, deque()

    def acquire(self, blocking: bool = True, timeout: float | None = None) -> bool:
        me = greenlet.getcurrent()
        if self.owner in (None, me):
            self.owner, self.count = me, self.count + 1
            return True
        if not blocking:
            return False
        waiter = Waiter(self.process)
        self.waiters.append(waiter)
        return bool(waiter.wait(timeout))

    def release(self) -> None:
        self.count -= 1
        if self.count or not self.process.alive:
            return
        self.owner = None
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done:
                # It owns the lock from now on, lest another takes it before it runs.
                waiter.done = True
                self.owner, self.count = waiter.task, 1
                self.process.soon(waiter.task.switch, True)
                return

    def __enter__(self):
        self.acquire()
        return self

    def __exit__(self, *_):
        self.release()


class Task:
    def __init__(self, process: Process, function, args):
        self.process, self.function, self.args = process, function, args
        self.over, self.value, self.watchers = False, None, []
        self.greenlet = greenlet.greenlet(self.run, process.sim.hub)
        if process.alive:
            process.tasks[self.greenlet] = None
            process.soon(self.greenlet.switch)

    def run(self, *_) -> None:
        try:
            self.value = self.function(*self.args)
        except greenlet.GreenletExit:
            return
        except Exception:
            self.process.at_fault(traceback.format_exc(limit=-4))
        self.process.tasks.pop(self.greenlet, None)
        self.over = True
        for told in self.watchers:
            told()

    def result(self, timeout: float | None = None):
        if not self.over:
            done = Event(self.process)
            self.watchers.append(done.set)
            done.wait(timeout)
        return self.value


class Runtime:
    """What `transport.runtime.Runtime` is to a program; each machine has a steady clock of its own."""

    def __init__(self, process: Process):
        self.process, self.sim = process, process.sim
        self.chance = random.Random(process.sim.chance.getrandbits(64))
        self.began = process.machine.steady

    def now(self) -> float:
        return (self.sim.now + self.began) / SECOND

    def now_ns(self) -> int:
        return self.sim.now + self.began

    def sleep(self, seconds: float) -> None:
        Waiter(self.process).wait(seconds)

    def spawn(self, function, *args) -> Task:
        return Task(self.process, function, args)

    def event(self) -> Event:
        return Event(self.process)

    def lock(self) -> Lock:
        return Lock(self.process)

    def all(self, calls, timeout: float) -> None:
        tasks = [self.spawn(call) for call in calls]
        left, done = len(tasks), self.event()

        def one():
            nonlocal left
            left -= 1
            if not left:
                done.set()

        for task in tasks:
            task.watchers.append(one)
        if tasks:
            done.wait(timeout)

    def dial(self, address, handlers: dict, timeout: float) -> "PeerConnection":
        return self.process.machine.network.dial(self.process, address, handlers, timeout)


class PeerConnection:
    """One end of a connection, with the interface of `rope.link.Link`."""

    def __init__(self, process: Process, handlers: dict):
        self.process, self.handlers, self.network = process, handlers, process.machine.network
        self.there: PeerConnection | None = None
        self.waiting: dict[int, list] = {}
        self.number, self.closed, self.on_close, self.fresh_at = 0, False, [], 0.0
        self.inbox, self.reading = deque(), False
        self.flight: deque = deque()  # what was sent and has not arrived
        self.owed = 0  # arrivals that a cut holds up
        self.last, self.doubt = 0, None  # arrival of the last message sent; since when none is acknowledged
        process.links[self] = None

    def send(self, kind: str, body: Any = None, number: int = 0) -> None:
        if not self.closed and self.process.alive:
            self.put(PACK([number, kind, body]))

    def put(self, data) -> None:
        self.flight.append(data)
        self.go()

    def go(self) -> None:
        sim, here, there = self.process.sim, self.process.machine, self.there.process.machine
        self.last = max(self.last + 1, sim.now + self.network.delay(here, there))
        sim.at(self.last, self.network.arrive, self)

    def ask(self, kind: str, body: Any = None, timeout: float = 1.0) -> Any:
        if self.closed:
            raise ConnectionClosed
        self.number += 1
        number, waiter = self.number, Waiter(self.process)
        self.waiting[number] = waiter
        self.send(kind, body, number)
        try:
            told = waiter.wait(timeout)
        finally:
            self.waiting.pop(number, None)
        if told is None:
            raise ConnectionClosed
        return told[0]

    def take(self, data) -> None:
        self.inbox.append(data)
        if not self.reading:
            self.reading = True
            self.process.runtime.spawn(self.read)

    def read(self) -> None:
        good = False
        try:
            while self.inbox and not self.closed:
                data = self.inbox.popleft()
                if data is FIN:
                    return
                number, kind, body = UNPACK(data)
                if number < 0:
                    if waiter := self.waiting.get(-number):
                        self.process.soon(waiter.wake, (body,))
                elif handler := self.handlers.get(kind):
                    if number:
                        self.process.runtime.spawn(self.answer, handler, number, body)
                    else:
                        handler(self, body)
            good = True
        except (OSError, msgspec.DecodeError, ValueError, TypeError):
            pass
        finally:
            self.reading = False
            if not good:
                self.close()

    def answer(self, handler, number: int, body) -> None:
        self.send("", handler(self, body), -number)

    def close(self) -> None:
        if self.closed or not self.process.alive:
            return
        self.put(FIN)
        self.ended()

    def ended(self) -> None:
        """Closed at this end, for whatever reason."""
        self.closed = True
        self.process.links.pop(self, None)
        for waiter in [*self.waiting.values()]:
            self.process.soon(waiter.wake, None)
        for told in self.on_close:
            told(self)

    def lost(self) -> None:
        """The system gave it up, with what is under way."""
        self.flight.clear()
        if not self.closed:
            self.ended()


class Machine:
    """Power, addresses, clocks.  `process` is what runs there now."""

    def __init__(self, network: "Network", name: str, ip: str, zone: str, region: str):
        self.network, self.name, self.ip, self.zone, self.region = network, name, ip, zone, region
        self.powered, self.process, self.slow_link = False, None, 0
        self.eased = 0  # when it was last thawed, or a link of it healed
        chance = network.sim.chance
        self.steady, self.clock = chance.randrange(10**6) * SECOND, chance.randrange(-300, 300)  # ns, ms
        network.machines[ip] = self

    @property
    def process_address(self) -> tuple[str, int]:
        """Where other pilots reach a refuge on it."""
        return self.ip, PORT

    def boot(self) -> None:
        self.powered = True
        self.steady = self.network.sim.chance.randrange(100) * SECOND - self.network.sim.now

    def wall_ms(self) -> int:
        """The time of day as this machine has it."""
        return 1_700_000_000_000 + self.network.sim.now // MS + self.clock


class Network:
    """Who reaches whom, how fast.  `cuts`: pairs of addresses, from and to, between which nothing passes,
    each counted as often as it was cut."""

    def __init__(self, sim: Simulation, loss: float):
        self.sim, self.loss, self.machines, self.cuts = sim, loss, {}, {}
        self.trap = None  # called with (from, to, data) at each arrival
        self.stuck: dict[tuple[str, str], dict] = {}  # links with bytes that a cut holds up

    def delay(self, a, b) -> int:
        if a.zone == b.zone:
            base = 300_000
        else:
            base = 1_000_000 if a.region == b.region else 20_000_000
        return int(base * (1 + self.sim.chance.random())) + a.slow_link + b.slow_link

    def cut(self, pairs) -> None:
        for pair in pairs:
            self.cuts[pair] = self.cuts.get(pair, 0) + 1

    def heal(self, pairs) -> None:
        for pair in pairs:
            self.cuts[pair] -= 1
            if not self.cuts[pair]:
                del self.cuts[pair]
                for ip in pair:
                    self.machines[ip].eased = self.sim.now
                for link in self.stuck.pop(pair, {}):
                    owed, link.owed = link.owed, 0
                    for _ in range(owed if link.process.machine.powered else 0):
                        link.go()  # sent again, in order

    def joined(self, a: str, b: str) -> bool:
        return (a, b) not in self.cuts and (b, a) not in self.cuts

    def arrive(self, link: PeerConnection) -> None:
        """The next message reaches the other end, or does not."""
        if not link.flight:
            return
        here, there = link.process.machine, link.there.process.machine
        pair = here.ip, there.ip
        if pair in self.cuts:
            link.owed += 1
            self.stuck.setdefault(pair, {})[link] = None
            self.doubted(link)
            return
        data = link.flight.popleft()
        if not there.powered:
            self.doubted(link)
            return
        if (there.ip, here.ip) in self.cuts:
            self.doubted(link)  # it arrives, but nobody hears that it did
        if link.there.closed or not link.there.process.alive:
            if data is not FIN:
                self.sim.after(self.delay(there, here), self.reset, link)
            return
        if data is not FIN:
            self.sim.mark(data)
            if self.trap is not None:
                self.trap(here, there, data)
                if not link.there.process.alive:
                    return
        link.there.process.do(link.there.take, data)

    def reset(self, link: PeerConnection) -> None:
        if self.joined(link.process.machine.ip, link.there.process.machine.ip):
            link.process.do(link.lost)

    def doubted(self, link: PeerConnection) -> None:
        if link.doubt is None:
            link.doubt = self.sim.now
            self.sim.after(MUTE, self.judge, link)

    def judge(self, link: PeerConnection) -> None:
        link.doubt = None
        there = link.there.process.machine
        if not (self.joined(link.process.machine.ip, there.ip) and there.powered and not link.owed):
            link.flight.clear()
            link.process.do(link.lost)

    def dial(self, process: Process, address, handlers: dict, timeout: float) -> PeerConnection:
        """Raises OSError, at once where a port is dead and after `timeout` seconds where nobody answers."""
        waiter, here = Waiter(process), process.machine
        there = self.machines.get(address[0])

        def knock():
            if not there.powered or not self.joined(here.ip, there.ip):
                return
            found: PeerConnection | str = "refused"
            if there.process is not None and there.process.alive and there.process.handlers is not None:
                found = PeerConnection(process, handlers)
                found.there = PeerConnection(there.process, there.process.handlers)
                found.there.there = found
            self.sim.after(self.delay(there, here), process.do, answered, found)

        def answered(found):
            if waiter.done and found != "refused":
                process.links.pop(found, None)
                found.close()  # it came too late
            waiter.wake(found)

        if there is not None:
            self.sim.after(self.delay(here, there), knock)
        found = waiter.wait(timeout)
        if not isinstance(found, PeerConnection):
            raise ConnectionRefusedError(str(address)) if found else TimeoutError(str(address))
        return found

    def datagram(self, here: Machine, address, data: bytes) -> None:
        chance, there = self.sim.chance, self.machines.get(address[0])
        if there is None or chance.random() < self.loss:
            return
        for _ in range(2 if chance.random() < self.loss / 4 else 1):
            late = int(chance.expovariate(1 / 20) * MS) if chance.random() < 0.1 else 0  # overtaken by others
            self.sim.after(self.delay(here, there) + late, self.landed, here, there, data)

    def landed(self, here: Machine, there: Machine, data: bytes) -> None:
        process = there.process
        if (
            (here.ip, there.ip) not in self.cuts
            and there.powered
            and process is not None
            and process.on_datagram
        ):
            self.sim.mark(data)
            process.do(process.on_datagram, data, here)


class Sightings(FailureDetector):
    """Membership by simulated datagrams."""

    def __init__(self, process: Process, me, seeds):
        self.process = process
        super().__init__(me, seeds, runtime=process.runtime)

    def open(self) -> None:
        port = self.member_list.local_member.port
        self.process.on_datagram = lambda data, machine: self.on_datagram(data, (machine.ip, port))

    def start(self) -> None:
        self.runtime.spawn(self.run)

    def send_datagram(self, data: bytes, address) -> None:
        if self.process.alive:
            self.process.machine.network.datagram(self.process.machine, address, data)


class Disk:
    """What lasts.  `trouble`: "", "full" (refuses writes), "slow" or "hung"."""

    def __init__(self, sim: Simulation):
        self.sim, self.trouble = sim, ""
        self.slots, self.facts, self.endpoint_rows = {}, {}, {}

    def wait(self) -> int:
        chance = self.sim.chance
        most = {"slow": 400, "hung": 4000}.get(self.trouble, 4)
        return int((0.3 + most * chance.random()) * MS)


class Store:
    """`cairn.store.Store` on a simulated disk: one writer, what waits goes down together, all of it or
    nothing.  What a loss of power meets under way is there or not, by lot."""

    def __init__(self, process: Process, disk: Disk, node: str, first_run: bool):
        self.process, self.disk, self.pending, self.writing = process, disk, [], None
        if not disk.facts:
            life = f"{disk.sim.chance.getrandbits(48):012x}"
            whole = "1" if first_run else "0"
            disk.facts = {"format": "1", "node": node, "life": life, "voting": whole, "books": whole}
        self.slots = {key: Slot(s.promised, s.accepted, s.value) for key, s in disk.slots.items()}
        self.facts, self.endpoint_rows = {**disk.facts}, {**disk.endpoint_rows}
        self.incarnation, self.voting = self.facts["life"], self.facts["voting"] == "1"

    def keep(self, slots, facts=None, endpoint_rows=None) -> bool:
        waiter = Waiter(self.process)
        # As it stands now: its caller may go on changing what it handed over.
        self.pending.append(
            (
                {key: s and Slot(s.promised, s.accepted, s.value) for key, s in slots.items()},
                {**(facts or {})},
                {**(endpoint_rows or {})},
                waiter,
            )
        )
        if self.writing is None:
            self.begin()
        return waiter.wait(None)

    def begin(self) -> None:
        self.writing, self.pending = self.pending, []
        self.disk.sim.after(self.disk.wait(), self.done, self.writing)

    def done(self, batch) -> None:
        if self.writing is not batch:
            return  # the power went
        good = self.disk.trouble != "full"
        if good:
            self.commit(batch)
        self.writing = None
        if self.pending:
            self.begin()
        for *_, waiter in batch:
            self.process.do(waiter.wake, good)

    def commit(self, batch) -> None:
        disk = self.disk
        for slots, facts, endpoint_rows, _ in batch:
            disk.slots |= slots
            for key in [key for key, slot in slots.items() if slot is None]:
                del disk.slots[key]
            disk.facts |= facts
            disk.endpoint_rows |= endpoint_rows
            for id in [id for id, row in endpoint_rows.items() if not row]:
                del disk.endpoint_rows[id]

    def end(self) -> None:
        """The process is gone: what was under way may have reached the disk."""
        if self.writing is not None and self.disk.trouble != "full" and self.disk.sim.chance.random() < 0.5:
            self.commit(self.writing)
        self.writing, self.pending = None, []
