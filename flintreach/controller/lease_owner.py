"""Keys handed out to the endpoints of sharded services: the loop that acts on `bunks.keeping`."""

from socket import SO_LINGER, SOL_SOCKET

import gevent
import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from flintreach.api import calls
from flintreach.common.log import say
from flintreach.config.settings import parse_address
from flintreach.sharding.range_assignment import Allocation
from flintreach.sharding.range_lease import CallKind, RangeLeases
from flintreach.transport.peer_connection import RESET, configure_socket

PATHS = {CallKind.GRANT: calls.GRANT, CallKind.RELEASE: calls.RELEASE}
MUTE_MS = 900  # a call without a sign of its arrival for so long is dropped by this machine


class Late(OSError):
    """Decided too long ago to be sent."""


def allocation(value: bytes | None) -> Allocation:
    return Allocation.decode(value)


class LeaseOwner:
    """The keys of one service.  `able()`: endpoint -> (weight, addr) of those that may be given keys;
    `ended(id)`: whether an endpoint is surely down; `tell(version, rows)`: news for those who carry;
    `heat()`: (Heat, ids of busy endpoints)."""

    def __init__(self, name, service, register, hold_cap_ms, able, ended, tell, heat):
        self.key, self.register, self.service = f"bunks/{service}", register, service
        self.runtime = register.runtime
        self.able, self.ended, self.tell, self.heat = able, ended, tell, heat
        self.state, self.told, self.soon = RangeLeases(name, hold_cap_ms / 1000), None, False

    def tick(self) -> None:
        stands = self.register.acceptor and self.register.acceptor.slots.get(self.key)
        began = self.runtime.now()
        if not self.state.due(allocation(stands.value if stands else None), began):
            return
        able, (heat, busy), ours, self.soon = self.able(), self.heat(), [], False

        def step(old):
            held = allocation(old)
            ours[:] = [self.state.step(held, began, able, self.ended, heat, busy)]
            return held.encode() if ours[0] else None

        done, value = self.register.change(self.key, step, 0.9)
        if not done or not ours[0]:
            self.state.not_committed()
            return
        held = allocation(value)
        if self.state.committed(held, began, self.runtime.now()):
            say("keeper", service=self.service, epoch=held.epoch)
        rows = [[r.low, r.high, r.holder, r.state] for r in held.ranges if r.holder]
        if rows != self.told:
            self.told = rows
            self.tell([held.epoch, held.renewals], rows)
        for kind, r in self.state.calls(self.runtime.now()):
            self.runtime.spawn(self.call, kind, r)

    def call(self, kind: str, r) -> None:
        status, handover = 0, ""
        try:
            status, handover = self.exchange(kind, r)
        finally:
            self.soon |= self.state.answered(kind, r, status, handover or "", self.runtime.now())

    def exchange(self, kind: str, r) -> tuple[int | None, str | None]:
        """(status, handover); status 0 where no answer came, None where the call was too late to be sent."""
        body = {"from_edition": r.low, "to_edition": r.high, "fence": r.fence}
        if kind == CallKind.GRANT:
            body["hold_ms"] = int(self.state.lease_s * 1000)
            if r.handover:
                body["handover"] = r.handover
        client = HTTPClient(
            *parse_address(r.address), connection_timeout=0.5, network_timeout=0.9, concurrency=1
        )

        def connected(sock):
            # Where no connection comes up nothing was sent, and a dead holder's time does not begin anew.
            if not self.state.may_send(kind, r, self.runtime.now()):
                raise Late
            # Given up, it must not arrive later: after a close in order the kernel would send it for minutes.
            configure_socket(sock, MUTE_MS).setsockopt(SOL_SOCKET, SO_LINGER, RESET)

        client._connection_pool.after_connect = connected  # the pool's own hook, meant to be overridden
        try:
            with gevent.Timeout(0.95):
                answer = client.request(
                    "POST",
                    PATHS[kind],
                    msgspec.json.encode(body),
                    {"Content-Type": "application/json", "X-Expect-Endpoint": r.holder},
                )
                answer.read()
                return answer.status_code, answer.get("x-handover")
        except Late:
            return None, None
        except (OSError, HTTPParseError, gevent.Timeout):
            return 0, None
        finally:
            client.close()
