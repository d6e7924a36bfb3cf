"""The roster on a socket: datagrams in, datagrams out, joining by seeds that may be old or down."""

import msgspec
from gevent import socket

from flintreach.membership.member_list import MS, Member, MemberList
from flintreach.transport.runtime import Runtime

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode


class FailureDetector:
    """`seeds()`: addresses to join by, asked anew each time: the settings file may change."""

    def __init__(self, me: Member, seeds, tick_ms: int = 100, runtime: Runtime | None = None):
        self.runtime = runtime or Runtime()
        self.member_list = MemberList(me, self.runtime.chance.randrange, self.runtime.now_ns())
        self.seeds, self.tick_ms, self.watchers = seeds, tick_ms, []
        self.seen = -1
        self.open()

    def open(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(self.member_list.me.address)

    def start(self) -> None:
        self.runtime.spawn(self.listen)
        self.runtime.spawn(self.run)

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
            self.send(self.member_list.hear(source, UNPACK(data), self.runtime.now_ns()))
        except (msgspec.DecodeError, TypeError, ValueError):
            return
        self.tell()

    def run(self) -> None:
        joined_at: int | None = None
        while True:
            now = self.runtime.now_ns()
            alone = len(self.member_list.alive("refuge")) - (self.member_list.me.role == "refuge") < 1
            # Alone a pilot asks often; later now and then, so that two halves with other seeds meet.
            if joined_at is None or now >= joined_at + (100 if alone else 3000) * MS:
                joined_at = now
                self.send(self.member_list.join(self.seeds()))
            self.send(self.member_list.tick(now))
            self.tell()
            self.runtime.sleep(self.tick_ms / 1000)

    def tell(self) -> None:
        if self.member_list.version != self.seen:
            self.seen = self.member_list.version
            for watcher in self.watchers:
                watcher()

    def change(self, **changes) -> None:
        """Tell others something new of this process, at once to a few of them."""
        self.member_list.tell_of_me(self.runtime.now_ns(), **changes)
        others = [m for m in self.member_list.alive() if m is not self.member_list.me]
        for member in sorted(others, key=lambda m: (m.role != "refuge", self.runtime.chance.random()))[:6]:
            self.send([(member.address, self.member_list.message("ping", 0))])
