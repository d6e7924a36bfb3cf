"""Sockets that receive host loads: collectd's datagrams over UDP and Graphite lines over TCP.

The receiver only reads and parses; `HostTracker` decides which values are used.
"""

import asyncio
import hashlib
import os
from collections import OrderedDict, deque

from flintreach.evidence import packet
from flintreach.evidence.block import Block
from flintreach.evidence.packet import InputRejected, ValueList
from flintreach.evidence.tracker import HostTracker
from flintreach.net.buffer import Buffer, Overflow
from flintreach.net.http import parse_address
from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND

MAX_RATE_SOURCES = 256  # source addresses whose datagram rate is tracked
REPLAY_WINDOW = 4096  # most recent authenticated datagrams whose digests are kept to detect replays
MAX_LINE_BYTES = 2048
MAX_LINE_CONNECTIONS = 32
MAX_LINES_PER_TURN = 500  # lines read from one connection before the event loop gets its turn


class RateLimiter:
    """Limits the datagrams per source and second.

    A flood from one source is not parsed and does not use up the share of other sources.

    >>> limiter = RateLimiter(2)
    >>> arrivals = (("a", 0), ("a", 1), ("a", 2), ("b", 2), ("a", SECOND))
    >>> [limiter.admits(source, now) for source, now in arrivals]
    [True, True, False, True, True]
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.sources: OrderedDict[object, tuple[int, int]] = OrderedDict()  # (second, datagrams in it)

    def admits(self, source: object, now: int) -> bool:
        """Count a datagram and return whether it is within the limit."""
        second, number = self.sources.get(source, (-1, 0))
        number = number + 1 if second == now // SECOND else 1
        self.sources[source] = now // SECOND, number
        self.sources.move_to_end(source)
        if len(self.sources) > MAX_RATE_SOURCES:
            self.sources.popitem(last=False)
        return number <= self.limit


def parse_keys(content: str) -> dict[str, str]:
    """Parse collectd's file of users, with `user: password` on each line; other lines are ignored.

    >>> parse_keys("# ours\\nanna: secret\\nbad line\\n bo : x:y \\n")
    {'anna': 'secret', 'bo': 'x:y'}
    """
    keys = {}
    for line in content.splitlines():
        user, colon, password = line.partition(":")
        if colon and user.strip() and not line.lstrip().startswith("#"):
            keys[user.strip()] = password.strip()
    return keys


class DatagramProtocol(asyncio.DatagramProtocol):
    """Passes datagrams to the receiver."""

    def __init__(self, receiver: "HostLoadReceiver"):
        self.receiver = receiver

    def datagram_received(self, data: bytes, source) -> None:
        """Handle a datagram; the source's port is ignored."""
        self.receiver.receive_datagram(data, source[0])


class LineProtocol(asyncio.Protocol):
    """A connection that sends lines.

    A malformed line is dropped; a line that is too long ends the connection.
    """

    def __init__(self, receiver: "HostLoadReceiver"):
        self.receiver = receiver
        self.buffer = Buffer(MAX_LINE_BYTES)
        self.transport = None

    def connection_made(self, transport) -> None:
        """Register the connection and close the least recently active one if there are too many."""
        self.transport = transport
        self.source = transport.get_extra_info("peername")[0]
        self.receiver.line_connections[self] = None
        if len(self.receiver.line_connections) > MAX_LINE_CONNECTIONS:
            next(iter(self.receiver.line_connections)).transport.abort()

    def connection_lost(self, error) -> None:
        """Forget the connection."""
        self.receiver.line_connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        """Buffer the data, mark the connection as the most recently active one and read its lines."""
        self.buffer.append(data)
        if self in self.receiver.line_connections:
            self.receiver.line_connections[self] = self.receiver.line_connections.pop(self)
        self.read_lines()

    def read_lines(self) -> None:
        """Read buffered lines, pausing the connection after MAX_LINES_PER_TURN of them."""
        number = 0
        try:
            for line in self.buffer.lines():
                self.receiver.receive_line(line, self.source)
                number += 1
                if number >= MAX_LINES_PER_TURN:
                    self.transport.pause_reading()
                    self.receiver.service.clock.call_later(0, self.resume)
                    return
        except Overflow:
            self.receiver.count("line too long")
            self.transport.abort()

    def resume(self) -> None:
        """Go on reading after a pause."""
        if not self.transport.is_closing():
            self.transport.resume_reading()
            self.read_lines()


class HostLoadReceiver:
    """Receives host loads and gives the service a `HostLoad` event with its age for each new one.

    Args:
        service: The service that takes the events, log lines and gauges.
        block: The settings.
    """

    def __init__(self, service, block: Block):
        self.service = service
        self.block = block
        self.tracker = HostTracker(block.hosts)
        self.rate_limiter = RateLimiter(block.packets)
        self.keys: dict[str, str] = {}
        self.keys_version: tuple[int, int, int] | None = None  # modification time, size and inode
        self.digests: set[bytes] = set()
        self.digest_order: deque[bytes] = deque()
        self.line_connections: dict[LineProtocol, None] = {}  # least recently active first
        self.server_loads: dict[str, float] = {}  # the latest load that each server reported itself
        self.hosts_by_server = {server: host for host, server in block.hosts.items()}
        self.start_times: dict[str, int] = {}  # the latest known start of each server
        self.logged_states: dict[str, str] = {}
        self.endpoints: list = []  # transports and servers to close
        service.turn_observers.append(self.observe_turn)
        service.tagged_gauge_sources.append(
            lambda: [
                (name, {"host": host}, value)
                for name, host, value in self.tracker.gauges(service.clock.now())
            ]
        )
        service.gauge_sources.append(
            lambda: {
                "evidence.hosts": len(self.tracker.hosts),
                "evidence.fresh": sum(host.state == "fresh" for host in self.tracker.hosts.values()),
            }
        )

    async def start(self) -> None:
        """Load the keys, open the sockets and start the periodic check."""
        loop = self.service.loop
        self.load_keys()
        if self.block.listen:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: DatagramProtocol(self), parse_address(self.block.listen)
            )
            self.endpoints.append(transport)
            self.datagram_address = transport.get_extra_info("sockname")[:2]
            self.service.log.info("evidence: listening", at="{}:{}".format(*self.datagram_address))
        if self.block.lines:
            server = await loop.create_server(lambda: LineProtocol(self), *parse_address(self.block.lines))
            self.endpoints.append(server)
            self.line_address = server.sockets[0].getsockname()[:2]
            self.service.log.info(
                "evidence: listening for Graphite lines", at="{}:{}".format(*self.line_address)
            )
        self.check()

    def stop(self) -> None:
        """Close the sockets."""
        for endpoint in self.endpoints:
            endpoint.close()

    # Input.

    def count(self, what: str) -> None:
        """Count a rejected or unused input for the log."""
        self.tracker.count(what)

    def receive_datagram(self, data: bytes, source: str) -> None:
        """Authenticate and parse a datagram and enter its values."""
        now = self.service.clock.now()
        if not self.rate_limiter.admits(source, now):
            return self.count("datagrams over the rate limit of a source")
        try:
            content, user = packet.authenticate(data, self.keys, self.block.accept == "any")
            if user is not None and self.is_replay(data):
                raise InputRejected("replayed datagram")
            for values in packet.parse_values(content):
                self.receive_values(values, now, user or source)
        except InputRejected as error:
            self.count(str(error))

    def is_replay(self, data: bytes) -> bool:
        """Return whether an authenticated datagram has been received before, and remember it.

        A replay from beyond the window is rejected for the times of its values.
        """
        digest = hashlib.blake2b(data, digest_size=16).digest()
        if digest in self.digests:
            return True
        self.digests.add(digest)
        self.digest_order.append(digest)
        if len(self.digest_order) > REPLAY_WINDOW:
            self.digests.discard(self.digest_order.popleft())
        return False

    def receive_line(self, line: bytes, source: str) -> None:
        """Parse a Graphite line and enter its value as a gauge."""
        try:
            host, path, figure, time = packet.parse_line(line.decode("utf-8", "replace"))
            plugin, _, plugin_instance = path[0].partition("-")
            kind, _, type_instance = path[1].partition("-")
            values = ValueList(
                host,
                plugin,
                plugin_instance,
                kind,
                type_instance,
                time,
                self.block.interval * SECOND,
                (packet.GAUGE,),
                (figure,),
            )
            self.receive_values(values, self.service.clock.now(), source)
        except InputRejected as error:
            self.count(str(error))

    def receive_values(self, values: ValueList, now: int, sender: str) -> None:
        """Enter a value list and pass on the load of its host if it is usable."""
        sample = self.tracker.observe(values, now, sender)
        host = self.tracker.hosts.get(values.host)
        if host and host.state != self.logged_states.get(values.host, "unknown"):
            self.log_host_state(values.host, host.state)
        if sample is None:
            return
        name = self.tracker.servers[sample.host]
        server = self.service.registry.servers.get(name)
        if server is None:  # a host's load must not add its server to the registry
            return self.count("server missing from the server list")
        self.log_host_state(sample.host, self.tracker.compare(sample.host, self.server_loads.get(name)))
        if host.state == "fresh":
            self.service.enqueue(interface.HostLoad(server, sample.busy, sample.age))

    # Events of the service and periodic work.

    def observe_turn(self, now: int, events: list, orders: list, took: int) -> None:
        """Note the loads that servers report, and the restart or removal of servers, from a turn's events."""
        for event in events:
            if type(event) is interface.ServerReport and "util" in event.load:
                self.server_loads[event.server.name] = event.load["util"]
            elif type(event) is interface.ServerList:
                for entry in event.entries:
                    name = entry.server.name
                    host = self.hosts_by_server.get(name)
                    if host and entry.started > self.start_times.get(name, 0):
                        self.start_times[name] = entry.started
                        self.tracker.server_restarted(host)
                    if entry.state == "gone":
                        self.server_loads.pop(name, None)

    def log_host_state(self, host: str, state: str | None) -> None:
        """Log the state of a host; the service suppresses repetitions."""
        if state:
            self.logged_states[host] = state
            self.service.log_state(f"evidence of {host}", state)

    def check(self) -> None:
        """Once per second, age the hosts, log state changes and counted inputs, and reload changed keys."""
        for host, state in self.tracker.update_ages(self.service.clock.now()):
            self.log_host_state(host, state)
        for what, number in self.tracker.counts.items():
            self.service.count_warning(f"evidence: {what}", times=number)
        self.tracker.counts.clear()
        self.load_keys()
        self.service.clock.call_later(SECOND, self.check)

    def load_keys(self) -> None:
        """Load the file of users if it has changed; the old keys stay valid while it cannot be read."""
        if not self.block.keys:
            return
        try:
            status = os.stat(self.block.keys)
            version = status.st_mtime_ns, status.st_size, status.st_ino
            if version != self.keys_version:
                with open(self.block.keys, encoding="utf-8") as file:
                    self.keys = parse_keys(file.read())
                self.keys_version = version
                self.service.log.info("evidence: keys loaded", users=len(self.keys))
        except (OSError, UnicodeDecodeError) as error:
            self.keys_version = None
            self.service.log_state("evidence: keys", "unreadable", str(error)[:80])
