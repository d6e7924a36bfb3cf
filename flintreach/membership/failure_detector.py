"""The member list on a UDP socket: datagrams in, datagrams out, joining by seeds that may be old or down."""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from gevent import socket

from flintreach.common.keys import ROLE_CONTROLLER
from flintreach.membership.member_list import (
    MS,
    PING,
    Address,
    Datagrams,
    Member,
    MemberList,
)
from flintreach.transport.runtime import Runtime, RuntimeInterface

MAX_DATAGRAM_BYTES = 65536
TICK_MS = 100
JOIN_PERIOD_ALONE_MS = 100
JOIN_PERIOD_MS = 3000
TOLD_AT_ONCE = 6  # members that hear of a change of this process without waiting for a probe

encode = msgspec.msgpack.encode
decode = msgspec.msgpack.decode


class FailureDetector:
    """Runs a member list, and tells watchers when it changed.

    Attributes:
        member_list: what is believed of all processes.
        watchers: called without arguments after changes of the list.
    """

    def __init__(
        self,
        local_member: Member,
        seeds: Callable[[], Iterable[Address]],
        tick_ms: int = TICK_MS,
        runtime: RuntimeInterface | None = None,
    ) -> None:
        """Open the socket; `start` begins to use it.

        Args:
            local_member: this process.
            seeds: gives addresses to join by; asked anew each time, as the settings file may change.
            tick_ms: milliseconds between ticks of the member list.
            runtime: clock, tasks and chance; by default those of gevent.
        """
        self.runtime = runtime or Runtime()
        self.member_list = MemberList(local_member, self.runtime.rng.randrange, self.runtime.now_ns())
        self.seeds = seeds
        self.tick_ms = tick_ms
        self.watchers: list[Callable[[], None]] = []
        self.notified_version = -1
        self.open()

    def open(self) -> None:
        """Bind the socket to this process's address.  Raises OSError."""
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(self.member_list.local_member.address)

    def start(self) -> None:
        """Begin to receive and to probe."""
        self.runtime.spawn(self.listen)
        self.runtime.spawn(self.run)

    def send_datagram(self, data: bytes, address: Address) -> None:
        """Send one datagram, if that is possible now."""
        try:
            self.sock.sendto(data, address)
        except OSError:  # a full link drops datagrams; the next period asks again
            pass

    def send(self, datagrams: Datagrams) -> None:
        """Send messages of the member list."""
        for address, message in datagrams:
            self.send_datagram(encode(message), tuple(address))

    def listen(self) -> None:
        """Receive datagrams, for ever."""
        while True:
            try:
                data, source = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                continue
            self.on_datagram(data, source)

    def on_datagram(self, data: bytes, source: Address) -> None:
        """Take one datagram, whatever it holds."""
        try:
            self.send(self.member_list.receive(source, decode(data), self.runtime.now_ns()))
        except (msgspec.DecodeError, TypeError, ValueError):
            return
        self.notify()

    def run(self) -> None:
        """Join, probe and notify at each tick, for ever."""
        joined_ns: int | None = None
        while True:
            now = self.runtime.now_ns()
            # Alone a process asks often; later now and then, so that two halves with other seeds meet.
            period_ms = JOIN_PERIOD_ALONE_MS if self._knows_no_other_controller() else JOIN_PERIOD_MS
            if joined_ns is None or now >= joined_ns + period_ms * MS:
                joined_ns = now
                self.send(self.member_list.join(self.seeds()))
            self.send(self.member_list.tick(now))
            self.notify()
            self.runtime.sleep(self.tick_ms / 1000)

    def _knows_no_other_controller(self) -> bool:
        """Whether no controller but this process is believed alive."""
        controllers = len(self.member_list.alive(ROLE_CONTROLLER))
        if self.member_list.local_member.role == ROLE_CONTROLLER:
            controllers -= 1
        return controllers < 1

    def notify(self) -> None:
        """Call the watchers if the list has changed since they were called last."""
        if self.member_list.version == self.notified_version:
            return
        self.notified_version = self.member_list.version
        for watcher in self.watchers:
            watcher()

    def update_local(self, **changes: Any) -> None:
        """Change fields of this process, and send that at once to a few others, controllers first.

        Args:
            **changes: new values by field of `Member`.
        """
        member_list = self.member_list
        member_list.update_local(self.runtime.now_ns(), **changes)
        others = [member for member in member_list.alive() if member is not member_list.local_member]
        others.sort(key=lambda member: (member.role != ROLE_CONTROLLER, self.runtime.rng.random()))
        for member in others[:TOLD_AT_ONCE]:
            self.send([(member.address, member_list.message(PING, 0))])
