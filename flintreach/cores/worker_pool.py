"""The deciding process's side: it accepts, hands connections to workers, and takes in what they summed up.

It stands where `flintreach.net.clients.Clients` stands in the plain service.  All that the module decides,
and every order, stay in this process; so no two cores can order the same, or differ about a drain.
"""

import copy
import gc
import os
import pickle
import signal
import socket
import subprocess
import sys
from dataclasses import asdict, replace

from flintreach.cores import messages
from flintreach.cores.block import Block
from flintreach.cores.lifecycle import Life, Owners
from flintreach.cores.link import Link
from flintreach.net.http import parse_address
from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND

ACCEPTED = 64  # connections in one turn of the loop
DOOR_BYTES = 16 << 10  # of handed-over connections that wait for a worker
PORTION = 100  # lines of one client in a turn of a worker's loop
ENDS_WITHIN = 0.3  # seconds for workers to end by themselves


class Hand:
    """A process beside the deciding one, as that sees it."""

    what = ""

    def __init__(self, front: "WorkerPool", number: int, block: Block):
        self.front, self.number, self.service = front, number, front.service
        self.life = Life(block.pause_first, block.pause_longest, block.steady)
        self.process = self.link = self.timer = self.exit = None

    def step(self, what: str, why: str = "") -> None:
        before = self.life.state
        effect = self.life.step(what, self.service.clock.now())
        if effect:
            getattr(self, effect)()
        if before != self.life.state:
            self.service.log_state(f"{self.what} {self.number}", self.life.state, why)

    @property
    def serves(self) -> bool:
        return self.life.state == "serving"

    # Effects.

    def spawn(self) -> None:
        block, loop = self.front.block, self.service.loop
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        self.link, handles, words = self.begin(theirs)
        try:
            self.process = subprocess.Popen(
                [sys.executable, "-m", f"flintreach.cores.{self.what}", *words],
                pass_fds=[handle.fileno() for handle in handles],
                stdin=subprocess.DEVNULL,
            )
        except OSError as error:  # no memory or no process for it: as one that dies at once
            self.service.count_warning(f"{self.what} not started", str(error))
            ours.close()
            self.process = None
            return self.service.clock.call_later(0, self.reaped)
        finally:
            for handle in handles:
                handle.close()
        self.exit = os.pidfd_open(self.process.pid)
        loop.add_reader(self.exit, self.reaped)
        self.wait = loop.create_task(loop.create_connection(lambda link=self.link: link, sock=ours))
        self.wait.add_done_callback(lambda done, link=self.link: self.opened(link))
        self.quiet(10 * block.hang)  # a start takes longer than any silence

    def quiet(self, within: int) -> None:
        """One that is not heard of within that time hangs; our own stall must not count."""
        if self.timer:
            self.timer.cancel()
        self.timer = self.service.clock.start_timeout(within, lambda: self.step("silent"))

    def close(self) -> None:
        self.link.end()
        self.shut()

    def kill(self) -> None:
        self.close()
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)

    def pause(self) -> None:
        self.close()
        self.service.clock.call_later(self.life.pause(), lambda: self.step("due"))

    def shut(self) -> None:
        if self.timer:
            self.timer.cancel()

    # What happens to it.

    def lost(self, why: str) -> None:
        if why.startswith("torn"):
            self.service.count_warning("torn record dropped", why)
        self.step("torn", why)

    def reaped(self) -> None:
        if self.exit is not None:
            self.service.loop.remove_reader(self.exit)
            os.close(self.exit)
            self.exit = None
            self.process.wait()
        self.step("ended", f"status {self.process.returncode}" if self.process else "not started")

    def heard(self) -> None:
        if self.serves:
            self.quiet(self.front.block.hang)

    def opened(self, link: Link) -> None:
        """The first word to it."""


class Worker(Hand):
    what = "worker"

    def __init__(self, front: "WorkerPool", number: int, block: Block):
        super().__init__(front, number, block)
        self.door, self.told = None, set()  # told: numbers of servers that it knows
        self.owed: list[int] = []  # nanoseconds that its records took, until they are handled
        self.waiting = self.lines = self.busy = 0
        self.open_now = 0, 0  # strangers and collectors

    def begin(self, channel: socket.socket) -> tuple:
        self.door, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.door.setblocking(False)
        self.door.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, DOOR_BYTES)
        self.told, self.owed = set(), []
        handles = channel, theirs
        return (
            Link(messages.to_pilot, self.take, self.lost),
            handles,
            [str(handle.fileno()) for handle in handles],
        )

    def opened(self, link: Link) -> None:
        link.tell(self.front.start)

    def open(self) -> None:
        self.front.owners.open(self)
        self.name()
        self.link.tell(messages.Sign(self.service.ready, 0))
        self.front.accepting(True)

    def shut(self) -> None:
        """Its connections were reset with it, and come again to the others."""
        super().shut()
        self.front.read, self.lines = self.front.read + self.lines, 0
        if self.door:
            self.door.close()
            self.door = None
        self.front.owners.close(self)

    def take(self, message) -> None:
        self.heard()
        if isinstance(message, messages.Sums):
            self.sums(message)
        elif isinstance(message, messages.Beat):
            self.waiting, self.lines, self.busy = message.waiting, message.lines, message.busy
            self.open_now = message.open
            for what, (number, figures) in message.counts.items():
                self.service.count_warning(what, figures, number)
            for number in message.gone:
                self.front.owners.left(self, number)
        else:
            self.step("greeted", f"process {message.process}")
            self.heard()

    def sums(self, message: messages.Sums) -> None:
        service, began = self.service, self.service.clock.now()
        slices, proxies = service.registry.slices, service.registry.proxies
        operations = service.settings.operations
        for row in message.servers:
            server = self.front.servers.get(row.number)
            if server is not None:
                service.enqueue(
                    interface.ServerReport(
                        row.zone, server, row.tries, row.unanswered, row.latency, row.span, row.load, row.kind
                    )
                )
        for row in message.slices:
            piece = slices[row.slice] if row.slice >= 0 else None
            proxy = None
            if row.proxy >= 0:
                proxy = proxies.get(row.proxy) or service.proxy(row.proxy)
            service.enqueue(
                interface.DemandReport(
                    piece,
                    proxy,
                    operations[row.operation],
                    row.tries,
                    row.unanswered,
                    row.span,
                    row.kind,
                    row.lines,
                )
            )
        self.owed.append(service.clock.now() - began)
        if not service.turn_scheduled:
            self.front.resume()

    def name(self) -> None:
        names = self.front.names
        added, gone = names.keys() - self.told, self.told - names.keys()
        if added or gone:
            self.told = set(names)
            self.link.tell(
                messages.Names([(number, names[number]) for number in sorted(added)], sorted(gone))
            )

    def give(self, guest: socket.socket, number: int) -> bool:
        try:
            socket.send_fds(self.door, [number.to_bytes(8, "little")], [guest.fileno()])
            return True
        except OSError:  # it takes nothing: it hangs, or has just died
            return False


class Solver(Hand):
    """It has at most one search in hand; one that it does not end is left to the decisions."""

    what = "solver"

    def __init__(self, front: "WorkerPool", number: int, block: Block):
        super().__init__(front, number, block)
        self.search, self.counter = None, 0

    def begin(self, channel: socket.socket) -> tuple:
        link = Link(pickle.loads, self.take, self.lost, pickle.dumps)
        return link, [channel], [str(channel.fileno()), str(self.front.block.sign / SECOND)]

    def open(self) -> None:
        self.quiet(self.front.block.hang)

    def shut(self) -> None:
        super().shut()
        if self.search:
            self.answer(None, self.search.counter)

    def solve(self, search) -> None:
        if self.search:  # given up by the decisions
            self.search = None
        if not self.serves:
            return self.service.enqueue(interface.SearchResult(search, None, search.counter))
        self.search, self.counter = search, self.counter + 1
        self.link.tell((self.counter, replaced(search)))

    def take(self, message) -> None:
        self.heard()
        if message is None:
            self.step("greeted", f"process {self.process.pid}")
        elif message[0] == self.counter and self.search:
            self.answer(*message[1:])

    def answer(self, best: tuple | None, counter: int) -> None:
        search, self.search = self.search, None
        self.service.enqueue(interface.SearchResult(search, best, counter))


def replaced(search):
    """A copy that takes its steps where it is sent."""
    there = copy.copy(search)
    there.offloaded = False
    return there


class WorkerPool:
    def __init__(self, service, block: Block):
        self.service, self.block, self.owners = service, block, Owners()
        self.listener, self.counter, self.made, self.read = None, 0, 0, 0
        self.servers, self.numbers, self.names = service.registry.weak_server_table(), {}, {}
        self.hands = [Worker(self, number, block) for number in range(block.workers)]
        self.solver = Solver(self, 0, block) if block.search else None
        service.settings.offload_search = block.search
        limits, part = service.limits, max(1, block.workers)
        shared = replace(
            limits,
            max_collectors=-(-limits.max_collectors // part),
            max_strangers=-(-limits.max_strangers // part),
            max_buffered_bytes=limits.max_buffered_bytes // part,
            max_lines_per_read=PORTION,
        )
        self.start = messages.Start(
            service.config.document,
            asdict(shared),
            block.rows,
            block.wait,
            part / block.share,
            block.sign,
            block.stale,
        )

    @property
    def lines_read(self) -> int:
        """That workers have read; those of one that ended count too."""
        return self.read + sum(hand.lines for hand in self.hands)

    async def listen(self, at: str) -> tuple[str, int]:
        host, port = parse_address(at)
        self.listener = socket.create_server((host, port), backlog=self.service.limits.listen_backlog)
        self.listener.setblocking(False)
        for hand in self.all():
            hand.step("start")
        gc.set_threshold(5000, 20, 100)  # a full collection over all buckets of sums takes 50 ms
        self.sign()
        return self.listener.getsockname()[:2]

    def accepting(self, on: bool) -> None:
        """Without a worker connections wait in the system's backlog."""
        if on:
            self.service.loop.add_reader(self.listener, self.accept)
        else:
            self.service.loop.remove_reader(self.listener)

    def accept(self) -> None:
        for _ in range(ACCEPTED):
            if not self.owners.held:
                return self.accepting(False)
            try:
                guest, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:  # no descriptor is left: the system holds them until one is
                return self.service.count_warning("connection not accepted", str(error))
            self.counter += 1
            with guest:
                tried = ()
                while (hand := self.owners.give(self.counter, tried)) and not hand.give(guest, self.counter):
                    self.owners.left(hand, self.counter)
                    tried = *tried, hand
                if hand is None:
                    self.service.count_warning("connection refused: no worker takes it")

    def sign(self) -> None:
        """Signs of life to the workers, while the loop turns; and what the list names."""
        self.name()
        for hand in self.hands:
            if hand.serves:
                hand.link.tell(messages.Sign(self.service.ready))
        self.service.clock.call_later(self.block.sign, self.sign)

    def name(self) -> None:
        """Servers that the registry holds, by numbers that are never used twice: one that was forgotten and
        is named again is another, and reports on the old one must not reach it."""
        held, before = dict(self.service.registry.servers), self.counter
        self.made = self.service.registry.servers_created
        gone = [
            name
            for name, number in self.numbers.items()
            if name not in held or held[name] is not self.servers.get(number)
        ]
        for name in gone:
            del self.names[self.numbers.pop(name)]
        for name in held.keys() - self.numbers.keys():
            self.counter += 1
            self.numbers[name] = self.counter
            self.names[self.counter] = name
            self.servers[self.counter] = held[name]
        if gone or self.counter != before:
            for hand in self.hands:
                if hand.serves:
                    hand.name()

    def notify_ready(self) -> None:
        """Workers answer the questions that waited."""
        for hand in self.hands:
            if hand.serves:
                hand.link.tell(messages.Sign(True))

    def resume(self) -> None:
        """After a turn: who brought sums may bring the next, once these have been handled."""
        if self.made != self.service.registry.servers_created:
            self.name()
        for hand in self.hands:
            for took in hand.owed if hand.serves else ():
                hand.link.tell(messages.Sign(self.service.ready, took))
            hand.owed = []

    def gauges(self) -> dict[str, float]:
        """What all workers have, once."""
        hands = [hand for hand in self.hands if hand.serves]
        found = {"workers.serving": len(hands), "workers.waiting": sum(hand.waiting for hand in hands)}
        for place, name in enumerate(("clients.strangers", "clients.collectors")):
            found[name] = sum(hand.open_now[place] for hand in hands)
        return found

    def all(self) -> list[Hand]:
        return [*self.hands, self.solver] if self.solver else self.hands

    def solve(self, search) -> None:
        self.solver.solve(search)

    def close(self) -> None:
        for hand in self.all():
            hand.step("stop")
        for hand in self.all():
            if hand.process:
                try:
                    hand.process.wait(ENDS_WITHIN)
                except subprocess.TimeoutExpired:
                    hand.process.kill()
                    hand.process.wait()
        if self.listener:
            self.accepting(False)
            self.listener.close()
            self.listener = None
