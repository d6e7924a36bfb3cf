"""The lease owner of one sharded service: grants leases on key ranges to endpoints, and revokes them.

`flintreach.sharding.range_lease` decides which ranges to grant, to whom and when, and does no I/O. This
module carries out its decisions: the allocation is a value of the register, and each grant or release is an
HTTP call to an endpoint. `key_ranges` runs one `LeaseOwner` for each sharded service.
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
from flintreach.common.log import log_event
from flintreach.config.settings import parse_address
from flintreach.consensus.register import Register
from flintreach.sharding.range_assignment import Allocation, LoadDistribution, Range
from flintreach.sharding.range_lease import CallKind, RangeLeases
from flintreach.transport.peer_connection import RESET, configure_socket

PATHS = {CallKind.GRANT: calls.GRANT_PATH, CallKind.RELEASE: calls.RELEASE_PATH}
REGISTER_TIMEOUT_S = 0.9  # for a change of the register
CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 0.9
CALL_TIMEOUT_S = 0.95  # for a whole call, including the connection set-up
TCP_USER_TIMEOUT_MS = 900  # the kernel drops a call that the receiver has not acknowledged within this time


class CallOutcome(Enum):
    """Outcome of one call to an endpoint."""

    ANSWERED = auto()
    NO_ANSWER = auto()  # the endpoint may have received the call nevertheless
    NOT_SENT = auto()  # the decision had expired: another owner may have granted the keys since


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of one call to an endpoint.

    Attributes:
        outcome: whether the call was sent, and answered.
        status: HTTP status of the answer; 0 if there was none.
        handover: data that the releasing endpoint leaves for the next holder of the keys; None if the answer
            has none.
    """

    outcome: CallOutcome
    status: int = 0
    handover: str | None = None

    @property
    def lease_status(self) -> int | None:
        """Return the status as `RangeLeases.record_result` takes it: None if the call was not sent."""
        return None if self.outcome is CallOutcome.NOT_SENT else self.status


NO_ANSWER = CallResult(CallOutcome.NO_ANSWER)
NOT_SENT = CallResult(CallOutcome.NOT_SENT)


def answered(status: int, handover: str | None) -> CallResult:
    """Return the result of a call that an endpoint answered."""
    return CallResult(CallOutcome.ANSWERED, status, handover)


class LeaseExpiredError(OSError):
    """This process may no longer act as the lease owner.

    Derived from OSError because the connection pool of geventhttpclient lets that pass.
    """


class LeaseOwner:
    """This process as lease owner of one service, or as a standby for it.

    Attributes:
        state: the state machine that decides what this process may do.
        published_rows: the ranges as last published; None before the first publication.
        keys_released: keys were released since the last step, so the next step should follow at once.
    """

    def __init__(
        self,
        owner_name: str,
        service: str,
        register: Register,
        max_lease_ms: float,
        eligible: Callable[[], dict[str, tuple[float, str]]],
        has_ended: Callable[[str], bool],
        publish: Callable[[list[int], list[list]], object],
        load: Callable[[], tuple[LoadDistribution, set[str]]],
    ) -> None:
        """Prepare to own the leases of a service; the first `tick` may acquire them.

        Args:
            owner_name: name of this process.
            service: the sharded service.
            register: holds the allocation.
            max_lease_ms: the longest lease that the settings allow, in milliseconds.
            eligible: returns weight and address of each endpoint that may be granted keys, by id.
            has_ended: returns whether the endpoint with an id has certainly ended.
            publish: publishes a version and the ranges that are held, for proxies.
            load: returns the load by key, and the ids of the endpoints that are busy.
        """
        self.key = f"{KEY_RANGES_PREFIX}{service}"
        self.service = service
        self.register = register
        self.runtime = register.runtime
        self.eligible = eligible
        self.has_ended = has_ended
        self.publish = publish
        self.load = load
        self.state = RangeLeases(owner_name, max_lease_ms / 1000)
        self.published_rows: list[list] | None = None
        self.keys_released = False

    def tick(self) -> None:
        """Renew the ownership, change the allocation if that is due, and make the calls that are due.

        Does nothing while another process is the owner and active.
        """
        started_at = self.runtime.now()
        if not self.state.should_update(self._local_allocation(), started_at):
            return
        allocation = self._change_allocation(started_at)
        if allocation is None:
            self.state.record_commit_failure()
            return
        if self.state.record_commit(allocation, started_at, self.runtime.now()):
            log_event("lease_acquired", service=self.service, epoch=allocation.epoch)
        self._publish(allocation)
        for kind, key_range in self.state.due_calls(self.runtime.now()):
            self.runtime.spawn(self.call, kind, key_range)

    def _local_allocation(self) -> Allocation:
        """Return the allocation on this process's disk."""
        acceptor = self.register.acceptor
        slot = acceptor.slots.get(self.key) if acceptor else None
        return Allocation.decode(slot.value if slot else None)

    def _change_allocation(self, started_at: float) -> Allocation | None:
        """Change the allocation in the register.

        Returns:
            The new allocation; None if it is not known to be committed, or another process is the owner.
        """
        eligible = self.eligible()
        load, busy_ids = self.load()
        self.keys_released = False
        changed = False

        def step(old_value: bytes | None) -> bytes | None:
            # The register may call this once for each attempt to commit: the last call counts.
            nonlocal changed
            allocation = Allocation.decode(old_value)
            changed = self.state.update_allocation(
                allocation, started_at, eligible, self.has_ended, load, busy_ids
            )
            return allocation.encode() if changed else None

        done, value = self.register.change(self.key, step, REGISTER_TIMEOUT_S)
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
        """Make a call that is due, and record its result.

        Args:
            kind: a `CallKind`.
            key_range: the keys, with the endpoint that holds them.
        """
        result = NO_ANSWER
        try:
            result = self.exchange(kind, key_range)
        finally:
            # Also after an unexpected exception: otherwise the range would stay marked as in flight forever.
            self.keys_released |= self.state.record_result(
                kind, key_range, result.lease_status, result.handover or "", self.runtime.now()
            )

    def exchange(self, kind: str, key_range: Range) -> CallResult:
        """Call the endpoint that holds a range over HTTP, without retries.

        Args:
            kind: a `CallKind`.
            key_range: the keys, with the endpoint's id and address.

        Returns:
            The result of the call.
        """
        client = HTTPClient(
            *parse_address(key_range.address),
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=READ_TIMEOUT_S,
            concurrency=1,
        )

        def check_and_configure(connection: socket) -> None:
            # Checked only now, because this process may have been suspended while the connection was set up.
            # If there is no connection, nothing was sent, so the lease of a dead holder is not extended.
            if not self.state.authorize_send(kind, key_range, self.runtime.now()):
                raise LeaseExpiredError
            # A call that timed out must not arrive later: after an orderly close the kernel would retransmit
            # it for minutes, so the connection is reset on close.
            configure_socket(connection, TCP_USER_TIMEOUT_MS).setsockopt(SOL_SOCKET, SO_LINGER, RESET)

        client._connection_pool.after_connect = check_and_configure  # the pool's hook for this purpose
        # The id guards against another endpoint that has taken over the address.
        headers = {"Content-Type": "application/json", "X-Expect-Endpoint": key_range.holder}
        try:
            with gevent.Timeout(CALL_TIMEOUT_S):
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
