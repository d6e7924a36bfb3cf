"""A worker: it takes connections, reads and checks what they say, and sums it up for the deciding process.

It decides nothing.  Its connections are those of `flintreach.net.clients`, so that one text reads what comes,
whether one process serves or several.  It ends with the deciding process, whatever becomes of that.
"""

import asyncio
import ctypes
import gc
import os
import signal
import socket
import sys
import time

import uvloop

from flintreach.cores import messages
from flintreach.cores.aggregation import Fold, Pace
from flintreach.cores.link import Link
from flintreach.net.clients import Client, Clients
from flintreach.net.clock import Clock
from flintreach.net.limits import Limits
from flintreach.net.reading import nonnegative_int
from flintreach.pilot import interface, reports, settings
from flintreach.pilot.registry import Registry

DIE_WITH_PARENT = 1  # PR_SET_PDEATHSIG of prctl(2)


class Guest(Client):
    """A connection that was handed over, with its number."""

    def __init__(self, clients: Clients, number: int):
        super().__init__(clients)
        self.number = number

    def connection_lost(self, error) -> None:
        super().connection_lost(error)
        self.service.left(self.number)


class Desk:
    """What a connection needs of a service, in a worker."""

    def __init__(self, loop, link: Link, told: messages.Start):
        self.loop, self.link, self.told = loop, link, told
        self.limits = Limits(**told.limits)
        self.settings = settings.read(0, dict(settings.flatten(told.told["settings"])))
        self.zones = {name: place for place, name in enumerate(told.told["settings"].get("areas", ()))}
        self.operations = {operation.name: operation for operation in self.settings.operations}
        self.attempt_timeout = max((op.attempt_timeout for op in self.settings.operations), default=0)
        self.load_names, self.registry = settings.LOAD_FIELDS, Registry(self.settings)
        self.clock = Clock(loop, 0, self.limits)
        objective = min(self.settings.operations, key=lambda op: op.billed_value).objective
        self.fold = Fold(lambda event: reports.classify(event, objective), self.limits.max_pending_events)
        self.pace, self.due, self.timer = Pace(told.ratio, told.wait), False, None
        self.by_number: dict[int, interface.Server] = {}
        self.numbers: dict[interface.Server, int] = {}
        self.counts: dict[str, tuple[int, str]] = {}
        self.gone: list[int] = []
        self.heard_at, self.told_ready = 0, False
        self.clients = Clients(self)

    # What connections ask of it.

    @property
    def ready(self) -> bool:
        """A sign of life is the deciding process's, and no worker's."""
        return self.told_ready and self.clock.now() - self.heard_at <= self.told.stale

    def enqueue(self, event) -> None:
        self.fold.add(event)
        self.stir()

    def queue_full(self) -> bool:
        return self.fold.full

    def proxy(self, number: int) -> interface.Proxy:
        return self.registry.proxy(nonnegative_int(number, self.settings.proxies))

    def count_warning(self, what: str, figures: str = "") -> None:
        number, first = self.counts.get(what, (0, figures))
        self.counts[what] = number + 1, first[:80]

    def left(self, number: int) -> None:
        self.gone.append(number)

    # What the deciding process says.

    def take(self, message) -> None:
        if isinstance(message, messages.Sign):
            self.heard_at, self.told_ready = self.clock.now(), message.ready
            if message.took is not None:
                self.pace.credit(self.heard_at, message.took)
                self.clients.resume()
                self.stir()
            if message.ready:
                self.clients.notify_ready()
        elif isinstance(message, messages.Names):
            for number, name in message.added:
                server = self.registry.server(name)
                self.by_number[number], self.numbers[server] = server, number
            for number in message.gone:
                server = self.by_number.pop(number, None)
                if server and self.numbers.get(server) == number:
                    del self.numbers[server]
                    self.fold.forget(server)

    # What it says.

    def stir(self) -> None:
        """What one turn of the loop brought leaves together."""
        if not self.due:
            self.due = True
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        self.due = False
        if not self.fold:
            return
        now = self.clock.now()
        if self.pace.due(now, bool(self.fold.urgent)):
            servers, slices = [], []
            for event in self.fold.take(self.told.rows):
                self.row(event, servers, slices)
            self.pace.sent()
            self.link.tell(messages.Sums(servers, slices))
        elif not self.pace.out and not self.timer:
            self.timer = self.clock.call_later(self.pace.next - now, self.rested)

    def rested(self) -> None:
        self.timer = None
        self.flush()

    def row(self, event, servers: list, slices: list) -> None:
        if isinstance(event, interface.DemandReport):
            slices.append(
                messages.Slice(
                    event.slice.number if event.slice else -1,
                    event.proxy.number if event.proxy else -1,
                    event.operation.index,
                    event.tries,
                    event.unanswered,
                    event.span,
                    event.kind,
                    event.lines,
                )
            )
        elif event.server in self.numbers:
            servers.append(
                messages.Server(
                    self.numbers[event.server],
                    event.zone,
                    event.tries,
                    event.unanswered,
                    event.latency,
                    event.span,
                    event.kind,
                    event.load,
                )
            )

    def beat(self) -> None:
        """Also the word by which a worker that hangs is known; a deciding process that does not read gets no
        more of them."""
        if not self.link.transport.get_write_buffer_size():
            counts, gone, mates = self.counts, self.gone, self.clients.by_state
            self.counts, self.gone = {}, []
            self.link.tell(
                messages.Beat(
                    counts,
                    gone,
                    len(self.fold),
                    self.clients.lines_read,
                    time.process_time_ns(),
                    (len(mates["stranger"]) + len(mates["asking"]), len(mates["collector"])),
                )
            )
        self.clock.call_later(self.told.sign, self.beat)


class Worker:
    def __init__(self, loop, door: socket.socket):
        self.loop, self.door, self.desk, self.tasks = loop, door, None, set()
        self.link = Link(messages.to_worker, self.take, self.ended)

    def take(self, message) -> None:
        if self.desk is None:
            self.desk = Desk(self.loop, self.link, message)
            self.loop.add_reader(self.door, self.open)
            self.link.tell(messages.Greet(os.getpid()))
            self.desk.beat()
            gc.freeze()
            gc.set_threshold(50_000, 20, 100)  # rows are many, and no cycles
        else:
            self.desk.take(message)

    def open(self) -> None:
        """One datagram is one connection, with its number."""
        try:
            data, handles, _, _ = socket.recv_fds(self.door, 8, 4)
        except BlockingIOError:
            return
        if not data:
            return self.ended("the door is shut")
        for handle in handles[:1]:
            guest = socket.socket(fileno=handle)
            guest.setblocking(False)
            task = self.loop.create_task(self.welcome(guest, int.from_bytes(data, "little")))
            self.tasks.add(task)  # the loop holds it weakly
            task.add_done_callback(self.tasks.discard)

    async def welcome(self, guest: socket.socket, number: int) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: Guest(self.desk.clients, number), guest)
        except OSError:
            self.desk.left(number)

    def ended(self, why: str) -> None:
        """Without the deciding process there is nothing to do: connections are reset and come again."""
        os._exit(0 if why == "ended" else 1)


def begin() -> asyncio.AbstractEventLoop:
    """A process that lives as long as the deciding one; the loop that it runs."""
    # What the operator or the platform signals is for the deciding process, which tells us once.
    for sign in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(sign, signal.SIG_IGN)
    # A worker that hangs, or is stopped, would not see the channel's end.
    parent = os.getppid()
    ctypes.CDLL(None, use_errno=True).prctl(DIE_WITH_PARENT, signal.SIGKILL)
    if os.getppid() != parent:
        os._exit(1)
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    return loop


def main(channel: int, door: int) -> None:
    loop = begin()
    ends = [socket.socket(fileno=number) for number in (channel, door)]
    for end in ends:
        end.setblocking(False)
    worker = Worker(loop, ends[1])
    loop.run_until_complete(loop.create_connection(lambda: worker.link, sock=ends[0]))
    loop.run_forever()


if __name__ == "__main__":
    main(*map(int, sys.argv[1:3]))
