"""The roster on a socket: datagrams in, datagrams out, joining by seeds that may be old or down."""

import msgspec
from gevent import socket

from flintreach.membership.member_list import MS, Member, Roster
from flintreach.transport.runtime import Host

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode


class Lookout:
    """`seeds()`: addresses to join by, asked anew each time: the settings file may change."""

    def __init__(self, me: Member, seeds, tick_ms: int = 100, host: Host | None = None):
        self.host = host or Host()
        self.roster = Roster(me, self.host.chance.randrange, self.host.now_ns())
        self.seeds, self.tick_ms, self.watchers = seeds, tick_ms, []
        self.seen = -1
        self.open()

    def open(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(self.roster.me.address)

    def start(self) -> None:
        self.host.spawn(self.listen)
        self.host.spawn(self.run)

    def say(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self.sock.sendto(data, address)
        except OSError:  # a full link drops datagrams; the next period asks again
            pass

    def send(self, out) -> None:
        for address, message in out:
            self.say(PACK(message), tuple(address))

    def listen(self) -> None:
        while True:
            try:
                data, source = self.sock.recvfrom(65536)
            except OSError:
                continue
            self.heard(data, source)

    def heard(self, data: bytes, source: tuple[str, int]) -> None:
        """One datagram, whatever it holds."""
        try:
            self.send(self.roster.hear(source, UNPACK(data), self.host.now_ns()))
        except (msgspec.DecodeError, TypeError, ValueError):
            return
        self.tell()

    def run(self) -> None:
        joined_at: int | None = None
        while True:
            now = self.host.now_ns()
            alone = len(self.roster.alive("refuge")) - (self.roster.me.role == "refuge") < 1
            # Alone a pilot asks often; later now and then, so that two halves with other seeds meet.
            if joined_at is None or now >= joined_at + (100 if alone else 3000) * MS:
                joined_at = now
                self.send(self.roster.join(self.seeds()))
            self.send(self.roster.tick(now))
            self.tell()
            self.host.sleep(self.tick_ms / 1000)

    def tell(self) -> None:
        if self.roster.version != self.seen:
            self.seen = self.roster.version
            for watcher in self.watchers:
                watcher()

    def change(self, **changes) -> None:
        """Tell others something new of this process, at once to a few of them."""
        self.roster.tell_of_me(self.host.now_ns(), **changes)
        others = [m for m in self.roster.alive() if m is not self.roster.me]
        for member in sorted(others, key=lambda m: (m.role != "refuge", self.host.chance.random()))[:6]:
            self.send([(member.address, self.roster.message("ping", 0))])
