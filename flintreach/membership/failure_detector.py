"""Runs the member list on a UDP socket, and joins the group through seeds, which may be outdated or down."""

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
from flintreach.transport.listening import bind_when_available
from flintreach.transport.runtime import Runtime, RuntimeInterface

MAX_DATAGRAM_BYTES = 65536
TICK_MS = 100
JOIN_PERIOD_ISOLATED_MS = 100  # while no other controller is known
JOIN_PERIOD_MS = 3000
IMMEDIATE_UPDATE_TARGETS = 6  # members that receive a local change without waiting for a probe

encode = msgspec.msgpack.encode
decode = msgspec.msgpack.decode


class FailureDetector:
    """Runs a member list, and notifies watchers of changes.

    Attributes:
        member_list: the known processes and their states.
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
            seeds: returns the addresses to join through; called each time, as the settings file may change.
            tick_ms: milliseconds between ticks of the member list.
            runtime: clock, tasks and random numbers; by default those of gevent.
        """
        self.runtime = runtime or Runtime()
        self.member_list = MemberList(local_member, self.runtime.rng.randrange, self.runtime.now_ns())
        self.seeds = seeds
        self.tick_ms = tick_ms
        self.watchers: list[Callable[[], None]] = []
        self.notified_version = -1
        self.open()

    def open(self) -> None:
        """Bind the socket to this process's address, once it is available.

        Raises:
            OSError: the address can't be bound; see `listening.bind_when_available`.
        """
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        address = self.member_list.local_member.address
        bind_when_available(lambda: self.sock.bind(address), address)

    def start(self) -> None:
        """Start receiving and probing."""
        self.runtime.spawn_loop(self.listen)
        self.runtime.spawn_loop(self.run)

    def send_datagram(self, data: bytes, address: Address) -> None:
        """Send one datagram; drop it on a socket error."""
        try:
            self.sock.sendto(data, address)
        except OSError:  # equivalent to packet loss: the next probe period retries
            pass

    def send(self, datagrams: Datagrams) -> None:
        """Encode and send messages of the member list."""
        for address, message in datagrams:
            self.send_datagram(encode(message), tuple(address))

    def listen(self) -> None:
        """Receive datagrams until the process exits."""
        while True:
            try:
                data, source = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                continue
            self.on_datagram(data, source)

    def on_datagram(self, data: bytes, source: Address) -> None:
        """Handle one datagram; malformed ones are ignored."""
        try:
            self.send(self.member_list.receive(source, decode(data), self.runtime.now_ns()))
        except (msgspec.DecodeError, TypeError, ValueError):
            return
        self.notify()

    def run(self) -> None:
        """Join, probe and notify watchers at each tick until the process exits."""
        joined_ns: int | None = None
        while True:
            now = self.runtime.now_ns()
            # An isolated process joins often.  Later joins are periodic, so that two groups that formed
            # around different seeds merge.
            period_ms = JOIN_PERIOD_ISOLATED_MS if self._knows_no_other_controller() else JOIN_PERIOD_MS
            if joined_ns is None or now >= joined_ns + period_ms * MS:
                joined_ns = now
                self.send(self.member_list.join(self.seeds()))
            self.send(self.member_list.tick(now))
            self.notify()
            self.runtime.sleep(self.tick_ms / 1000)

    def _knows_no_other_controller(self) -> bool:
        """Whether no controller other than this process is considered alive."""
        controllers = len(self.member_list.alive(ROLE_CONTROLLER))
        if self.member_list.local_member.role == ROLE_CONTROLLER:
            controllers -= 1
        return controllers < 1

    def notify(self) -> None:
        """Call the watchers if the list has changed since the last notification."""
        if self.member_list.version == self.notified_version:
            return
        self.notified_version = self.member_list.version
        for watcher in self.watchers:
            watcher()

    def update_local(self, **changes: Any) -> None:
        """Change fields of this process, and send the change immediately to a few members, controllers first.

        Args:
            **changes: new values by field of `Member`.
        """
        member_list = self.member_list
        member_list.update_local(self.runtime.now_ns(), **changes)
        others = [member for member in member_list.alive() if member is not member_list.local_member]
        others.sort(key=lambda member: (member.role != ROLE_CONTROLLER, self.runtime.rng.random()))
        for member in others[:IMMEDIATE_UPDATE_TARGETS]:
            self.send([(member.address, member_list.message(PING, 0))])
