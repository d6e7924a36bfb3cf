"""The sockets of the evidence: collectd's datagrams, Graphite lines.  They read; the ledger judges."""

import asyncio
import hashlib
import os
from collections import OrderedDict, deque

from flintreach.evidence import packet
from flintreach.evidence.block import Block
from flintreach.evidence.packet import Bad, ValueList
from flintreach.evidence.tracker import HostTracker
from flintreach.net.buffer import Buffer, Overflow
from flintreach.net.http import parse_address
from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND

SOURCES = 256  # addresses whose pace is kept
SEEN = 4096  # datagrams whose digest is kept, so that one played again is found
LINE = 2048  # bytes of a line
SENDERS = 32  # connections that bring lines
LINES = 500  # in a turn of the loop


class Pace:
    """Datagrams by source and second; a stranger's flood costs neither parsing nor others their share.

    >>> pace = Pace(2)
    >>> [pace.admits(source, now) for source, now in (("a", 0), ("a", 1), ("a", 2), ("b", 2), ("a", SECOND))]
    [True, True, False, True, True]
    """

    def __init__(self, most: int):
        self.most, self.sources = most, OrderedDict()

    def admits(self, source: object, now: int) -> bool:
        second, number = self.sources.get(source, (-1, 0))
        number = number + 1 if second == now // SECOND else 1
        self.sources[source] = now // SECOND, number
        self.sources.move_to_end(source)
        if len(self.sources) > SOURCES:
            self.sources.popitem(last=False)
        return number <= self.most


def keys(content: str) -> dict[str, str]:
    """collectd's file of users: `user: password` a line.

    >>> keys("# ours\\nanna: secret\\nbad line\\n bo : x:y \\n")
    {'anna': 'secret', 'bo': 'x:y'}
    """
    found = {}
    for line in content.splitlines():
        user, colon, password = line.partition(":")
        if colon and user.strip() and not line.lstrip().startswith("#"):
            found[user.strip()] = password.strip()
    return found


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, intake: "HostLoadReceiver"):
        self.intake = intake

    def datagram_received(self, data: bytes, source) -> None:
        self.intake.datagram(data, source[0])


class Lines(asyncio.Protocol):
    """One connection that brings lines; a bad line costs itself, one without end its connection."""

    def __init__(self, intake: "HostLoadReceiver"):
        self.intake, self.buffer, self.transport = intake, Buffer(LINE), None

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.source = transport.get_extra_info("peername")[0]
        self.intake.senders[self] = None
        if len(self.intake.senders) > SENDERS:  # the quietest makes room
            next(iter(self.intake.senders)).transport.abort()

    def connection_lost(self, error) -> None:
        self.intake.senders.pop(self, None)

    def data_received(self, data: bytes) -> None:
        self.buffer.append(data)
        if self in self.intake.senders:
            self.intake.senders[self] = self.intake.senders.pop(self)
        self.read()

    def read(self) -> None:
        read = 0
        try:
            for line in self.buffer.lines():
                self.intake.line(line, self.source)
                read += 1
                if read >= LINES:
                    self.transport.pause_reading()
                    self.intake.service.clock.call_later(0, self.go_on)
                    return
        except Overflow:
            self.intake.count("long line")
            self.transport.abort()

    def go_on(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()
            self.read()


class HostLoadReceiver:
    """`service` gets one event a fresh figure: `HostLoad`, with its age."""

    def __init__(self, service, block: Block):
        self.service, self.block, self.ledger = service, block, HostTracker(block.hosts)
        self.pace, self.keys, self.stamp = Pace(block.packets), {}, None
        self.seen, self.order = set(), deque()
        self.senders: dict[Lines, None] = {}
        self.own: dict[str, float] = {}  # load of each server as our sums last told it
        self.by_server = {server: host for host, server in block.hosts.items()}
        self.told: dict[str, int] = {}
        self.states: dict[str, str] = {}  # as last said
        self.ends = []
        service.turn_observers.append(self.tap)
        service.tagged_gauge_sources.append(
            lambda: [
                (name, {"host": host}, value)
                for name, host, value in self.ledger.figures(service.clock.now())
            ]
        )
        service.gauge_sources.append(
            lambda: {
                "evidence.hosts": len(self.ledger.hosts),
                "evidence.fresh": sum(host.state == "fresh" for host in self.ledger.hosts.values()),
            }
        )

    async def start(self) -> None:
        loop = self.service.loop
        self.read_keys()
        if self.block.listen:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: Datagrams(self), parse_address(self.block.listen)
            )
            self.ends.append(transport)
            self.at = transport.get_extra_info("sockname")[:2]
            self.service.log.info("evidence: listening", at="{}:{}".format(*self.at))
        if self.block.lines:
            server = await loop.create_server(lambda: Lines(self), *parse_address(self.block.lines))
            self.ends.append(server)
            self.lines_at = server.sockets[0].getsockname()[:2]
            self.service.log.info("evidence: lines at", at="{}:{}".format(*self.lines_at))
        self.look()

    def stop(self) -> None:
        for end in self.ends:
            end.close()

    # What comes.

    def count(self, what: str) -> None:
        self.ledger.count(what)

    def datagram(self, data: bytes, source: str) -> None:
        now = self.service.clock.now()
        if not self.pace.admits(source, now):
            return self.count("datagrams beyond the pace of a source")
        try:
            content, user = packet.authenticate(data, self.keys, self.block.accept == "any")
            if user is not None and self.played_again(data):
                raise Bad("played again")
            for value in packet.parse_values(content):
                self.value(value, now, user or source)
        except Bad as error:
            self.count(str(error))

    def played_again(self, data: bytes) -> bool:
        digest = hashlib.blake2b(data, digest_size=16).digest()
        if digest in self.seen:
            return True
        self.seen.add(digest)
        self.order.append(digest)
        if len(self.order) > SEEN:  # older ones are refused for their times
            self.seen.discard(self.order.popleft())
        return False

    def line(self, line: bytes, source: str) -> None:
        try:
            host, path, figure, time = packet.line(line.decode("utf-8", "replace"))
            name, _, instance = path[0].partition("-")
            kind, _, what = path[1].partition("-")
            value = ValueList(
                host,
                name,
                instance,
                kind,
                what,
                time,
                self.block.interval * SECOND,
                (packet.GAUGE,),
                (figure,),
            )
            self.value(value, self.service.clock.now(), source)
        except Bad as error:
            self.count(str(error))

    def value(self, value: ValueList, now: int, sender: str) -> None:
        told = self.ledger.observe(value, now, sender)
        host = self.ledger.hosts.get(value.host)
        if host and host.state != self.states.get(value.host, "unknown"):
            self.state(value.host, host.state)
        if told is None:
            return
        name = self.ledger.servers[told.host]
        server = self.service.registry.servers.get(name)
        if server is None:  # a host's figure must not bring its server to the roster
            return self.count("a server that no list names")
        self.state(told.host, self.ledger.compare(told.host, self.own.get(name)))
        if host.state == "fresh":
            self.service.enqueue(interface.HostLoad(server, told.busy, told.age))

    # What the service sees, and the passing of time.

    def tap(self, now: int, events: list, orders: list, took: int) -> None:
        for event in events:
            if type(event) is interface.ServerReport and "util" in event.load:
                self.own[event.server.name] = event.load["util"]
            elif type(event) is interface.ServerList:
                for entry in event.entries:
                    host, before = self.by_server.get(entry.server.name), self.told.get(entry.server.name, 0)
                    if host and entry.started > before:
                        self.told[entry.server.name] = entry.started
                        self.ledger.restarted(host)
                    if entry.state == "gone":
                        self.own.pop(entry.server.name, None)

    def state(self, host: str, state: str | None) -> None:
        if state:
            self.states[host] = state
            self.service.log_state(f"evidence of {host}", state)

    def look(self) -> None:
        for host, state in self.ledger.look(self.service.clock.now()):
            self.state(host, state)
        for what, number in self.ledger.counts.items():
            self.service.count_warning(f"evidence: {what}", times=number)
        self.ledger.counts.clear()
        self.read_keys()
        self.service.clock.call_later(SECOND, self.look)

    def read_keys(self) -> None:
        """The file of users, when it has changed; one that can't be read leaves the old ones in force."""
        if not self.block.keys:
            return
        try:
            told = os.stat(self.block.keys)
            stamp = told.st_mtime_ns, told.st_size, told.st_ino
            if stamp != self.stamp:
                with open(self.block.keys, encoding="utf-8") as file:
                    self.keys, self.stamp = keys(file.read()), stamp
                self.service.log.info("evidence: keys read", users=len(self.keys))
        except (OSError, UnicodeDecodeError) as error:
            self.stamp = None
            self.service.log_state("evidence: keys", "unreadable", str(error)[:80])
