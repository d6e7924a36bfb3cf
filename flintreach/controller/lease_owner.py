"""The owner of one service's key ranges: a loop that grants them to endpoints, and asks for them back.

What is granted to whom, and when it is safe to, is decided in `flintreach.sharding.range_lease`, which does
no I/O. This module carries it out: the allocation as a value of the register, each decision as a call to an
endpoint over HTTP. `key_ranges` runs one `LeaseOwner` for each sharded service.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from socket import SO_LINGER, SOL_SOCKET, socket

import gevent
import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from flintreach.api import calls
from flintreach.common.keys import KEY_RANGES_PREFIX
from flintreach.common.log import say
from flintreach.config.settings import parse_address
from flintreach.consensus.register import Register
from flintreach.sharding.range_assignment import Allocation, LoadDistribution, Range
from flintreach.sharding.range_lease import CallKind, RangeLeases
from flintreach.transport.peer_connection import RESET, configure_socket

# Prefix of a service's allocation in the register, and of its ranges among the published updates; as earlier
# releases wrote it.

PATHS = {CallKind.GRANT: calls.GRANT, CallKind.RELEASE: calls.RELEASE}
CHANGE_S = 0.9  # for a change of the register
CONNECT_S = 0.5
READ_S = 0.9
CALL_S = 0.95  # for a whole call
UNACKNOWLEDGED_MS = 900  # the kernel drops a call that its receiver has not acknowledged for so long


class CallOutcome(Enum):
    """What became of one call to an endpoint."""

    ANSWERED = auto()
    NO_ANSWER = auto()  # it may have arrived all the same
    NOT_SENT = auto()  # decided too long ago: by now another owner may have given the keys away


@dataclass(frozen=True, slots=True)
class CallResult:
    """The outcome of a call.

    Attributes:
        outcome: whether there was an answer.
        status: of the answer, by HTTP; 0 where there was none.
        handover: what the endpoint that released the keys leaves for their next holder, None where the
            answer has none.
    """

    outcome: CallOutcome
    status: int = 0
    handover: str | None = None

    @property
    def lease_status(self) -> int | None:
        """The status as `RangeLeases.record_result` takes it: None where the call was not sent."""
        return None if self.outcome is CallOutcome.NOT_SENT else self.status


NO_ANSWER = CallResult(CallOutcome.NO_ANSWER)
NOT_SENT = CallResult(CallOutcome.NOT_SENT)


def answered(status: int, handover: str | None) -> CallResult:
    """The result of a call that an endpoint answered."""
    return CallResult(CallOutcome.ANSWERED, status, handover)


class LeaseExpiredError(OSError):
    """This process may no longer act for the keys; an OSError, as the connection pool passes such on."""


class LeaseOwner:
    """This process's part in the keys of one service: owner, or ready to take over.

    Attributes:
        state: what this process may do, and what it has done, as a state machine.
        published_rows: the ranges as they were last published, None before.
        soon: keys were released since the last step: the next is to follow at once.
    """

    def __init__(
        self,
        owner_name: str,
        service: str,
        register: Register,
        max_lease_ms: float,
        eligible: Callable[[], dict[str, tuple[float, str]]],
        ended: Callable[[str], bool],
        publish: Callable[[list[int], list[list]], object],
        load: Callable[[], tuple[LoadDistribution, set[str]]],
    ) -> None:
        """Take part in the keys of a service, from the next `tick` on.

        Args:
            owner_name: name of this process.
            service: whose keys are granted.
            register: where the allocation stands.
            max_lease_ms: the longest term of a lease that the settings allow, in milliseconds.
            eligible: gives the endpoints that may be granted keys: their ids, with weight and address.
            ended: whether the endpoint of an id has surely ended.
            publish: tells proxies a version and the ranges that are held.
            load: gives the load by key, and the ids of the endpoints that are busy.
        """
        self.key = f"{KEY_RANGES_PREFIX}{service}"
        self.service = service
        self.register = register
        self.runtime = register.runtime
        self.eligible = eligible
        self.ended = ended
        self.publish = publish
        self.load = load
        self.state = RangeLeases(owner_name, max_lease_ms / 1000)
        self.published_rows: list[list] | None = None
        self.soon = False

    def tick(self) -> None:
        """One step: renew the ownership, change the allocation where that is due, call endpoints.

        Nothing is done where another process owns the keys and is at work.
        """
        started_at = self.runtime.now()
        if not self.state.should_update(self._local_allocation(), started_at):
            return
        allocation = self._change_allocation(started_at)
        if allocation is None:
            self.state.record_commit_failure()
            return
        if self.state.record_commit(allocation, started_at, self.runtime.now()):
            say("lease_acquired", service=self.service, epoch=allocation.epoch)
        self._publish(allocation)
        for kind, key_range in self.state.due_calls(self.runtime.now()):
            self.runtime.spawn(self.call, kind, key_range)

    def _local_allocation(self) -> Allocation:
        """The allocation as this process's disk has it."""
        acceptor = self.register.acceptor
        slot = acceptor.slots.get(self.key) if acceptor else None
        return Allocation.decode(slot.value if slot else None)

    def _change_allocation(self, started_at: float) -> Allocation | None:
        """Change the allocation in the register; None where that is not known to stand, or not ours to do."""
        eligible = self.eligible()
        load, busy_ids = self.load()
        self.soon = False
        changed = False

        def step(old_value: bytes | None) -> bytes | None:
            # The register may call this several times before one value stands: the last call counts.
            nonlocal changed
            allocation = Allocation.decode(old_value)
            changed = self.state.update_allocation(
                allocation, started_at, eligible, self.ended, load, busy_ids
            )
            return allocation.encode() if changed else None

        done, value = self.register.change(self.key, step, CHANGE_S)
        if not done or not changed:
            return None
        return Allocation.decode(value)

    def _publish(self, allocation: Allocation) -> None:
        rows = [
            [key_range.low, key_range.high, key_range.holder, key_range.state]
            for key_range in allocation.ranges
            if key_range.holder
        ]
        if rows != self.published_rows:
            self.published_rows = rows
            self.publish([allocation.epoch, allocation.renewals], rows)

    def call(self, kind: str, key_range: Range) -> None:
        """Make a call that is due, and note what became of it.

        Args:
            kind: a `CallKind`.
            key_range: the keys, with the endpoint that holds them.
        """
        result = NO_ANSWER
        try:
            result = self.exchange(kind, key_range)
        finally:
            # Also where the call failed in an unforeseen way: the range would stay busy for good.
            self.soon |= self.state.record_result(
                kind, key_range, result.lease_status, result.handover or "", self.runtime.now()
            )

    def exchange(self, kind: str, key_range: Range) -> CallResult:
        """Call the endpoint that holds a range, once, over HTTP.

        Args:
            kind: a `CallKind`.
            key_range: the keys, with the endpoint's id and address.

        Returns:
            What became of the call.
        """
        client = HTTPClient(
            *parse_address(key_range.address),
            connection_timeout=CONNECT_S,
            network_timeout=READ_S,
            concurrency=1,
        )

        def connected(connection: socket) -> None:
            # Asked here and no sooner: this process may have slept while the connection came up. And where
            # none comes up nothing was sent, so the time of a dead holder does not begin anew.
            if not self.state.authorize_send(kind, key_range, self.runtime.now()):
                raise LeaseExpiredError
            # A call that was given up must not arrive later: after a close in order the kernel would send it
            # for minutes.
            configure_socket(connection, UNACKNOWLEDGED_MS).setsockopt(SOL_SOCKET, SO_LINGER, RESET)

        client._connection_pool.after_connect = connected  # the pool's own hook, meant to be overridden
        # The id guards against another endpoint that has the address by now.
        headers = {"Content-Type": "application/json", "X-Expect-Endpoint": key_range.holder}
        try:
            with gevent.Timeout(CALL_S):
                answer = client.request("POST", PATHS[kind], self._request_body(kind, key_range), headers)
                answer.read()
                return answered(answer.status_code, answer.get("x-handover"))
        except LeaseExpiredError:
            return NOT_SENT
        except (OSError, HTTPParseError, gevent.Timeout):
            return NO_ANSWER
        finally:
            client.close()

    def _request_body(self, kind: str, key_range: Range) -> bytes:
        body: dict[str, int | str] = {
            "from_edition": key_range.low,
            "to_edition": key_range.high,
            "fence": key_range.fence,
        }
        if kind == CallKind.GRANT:
            body["hold_ms"] = int(self.state.lease_s * 1000)
            if key_range.handover:
                body["handover"] = key_range.handover
        return msgspec.json.encode(body)
