"""Leases on the key ranges of one sharded service: a state machine without I/O.

There are two kinds of leases. The lease owner is the process recorded in the allocation in the register; it
may grant ranges to endpoints for `OWNER_LEASE_S` from the start of its last write there. An endpoint holds a
range for the duration given by the last grant. Three bounds prevent two endpoints from holding the same key:

- Owner lease: the owner checks its clock immediately before it sends a grant. One that was suspended finds
  that its lease has expired and sends nothing, because another process may own the leases by now and have
  reassigned the keys.
- Takeover timeout: another process becomes the owner only after the register was unchanged for
  `TAKEOVER_TIMEOUT_S`, which is longer than the owner lease. Otherwise two owners could grant concurrently.
- Message delay: messages of the previous owner may arrive for up to `MAX_MESSAGE_DELAY_S`, and the new owner
  reassigns nothing until then. Otherwise an endpoint could receive an old grant of keys that have just been
  freed.

All times are seconds of this process's monotonic clock.

See C. Gray, D. Cheriton, "Leases" (1989), also for the allowance for clock drift.
"""

from collections.abc import Callable
from enum import StrEnum

from flintreach.sharding import range_assignment
from flintreach.sharding.range_assignment import Allocation, LoadDistribution, Range, RangeState

OWNER_LEASE_S = 1.0
MAX_MESSAGE_DELAY_S = 1.0
TAKEOVER_TIMEOUT_S = 1.8
MAX_LEASE_S = 5.0  # longer than a new owner needs to renew the grants of a failed one
LEASE_FRACTION_OF_LIMIT = 0.9  # of the longest lease that the settings allow
CLOCK_DRIFT_FACTOR = 1.03  # allowance for endpoint clocks that run slow
EXPIRY_MARGIN_S = 0.2  # added to the lease duration before its range is freed
RENEW_INTERVAL_S = 1.2  # between grants of the same range
# Consecutive failed calls after which an endpoint is assigned no more keys; after twice as many its keys are
# revoked.
MAX_FAILED_CALLS = 2
RETRY_AFTER_S = 6.0  # after its last failed call an endpoint is eligible again

# Call results: HTTP statuses, and the values for calls without one.
STATUS_OK = 200
NO_ANSWER = 0
NOT_SENT = None  # the owner lease had expired

RangeIdentity = tuple[int, int, int]  # `Range.identity`


class CallKind(StrEnum):
    """Kind of call to the holder of a range."""

    GRANT = "grant"
    RELEASE = "release"


class RangeLeases:
    """State of one process for the leases of one service, as the owner or on standby.

    Attributes:
        name: name of this process, recorded in the register while it is the owner.
        lease_s: duration of the leases that it grants to endpoints.
        allocation: the allocation that this process last committed as the owner.
        send_until: end of the owner lease; 0 if this process is not the owner.
        epoch: epoch of this process's last ownership; -1 if it has never been the owner.
        register_version: (epoch, renewals) last read from the register; it changes while an owner is active.
        register_version_at: when `register_version` was first read.
        last_grant_sent: latest time when a grant may have been sent, by this process or an earlier owner, by
            fencing token. The parts of a split range share the token.
        in_flight: fencing tokens of ranges with a call in flight.
        last_grant_acked: when the last grant was acknowledged, by range.
        handovers: handover data from the holder's answer to a release, by range.
        failed_calls: number of consecutive failed calls and the end of the last one, by endpoint.
        moves_blocked_until: no range is reassigned before this time, because messages of the previous owner
            may still arrive.
    """

    def __init__(self, name: str, max_lease_s: float) -> None:
        """Start on standby.

        Args:
            name: name of this process.
            max_lease_s: the longest lease that the settings allow.
        """
        self.name = name
        self.lease_s = min(MAX_LEASE_S, LEASE_FRACTION_OF_LIMIT * max_lease_s)
        self.allocation = Allocation()
        self.send_until = 0.0
        self.epoch = -1
        self.register_version: tuple[int, int] | None = None
        self.register_version_at = 0.0
        self.last_grant_sent: dict[int, float] = {}
        self.in_flight: set[int] = set()
        self.last_grant_acked: dict[RangeIdentity, float] = {}
        self.handovers: dict[RangeIdentity, str] = {}
        self.failed_calls: dict[str, tuple[int, float]] = {}
        self.moves_blocked_until = 0.0

    def should_update(self, stored: Allocation, now: float) -> bool:
        """Whether this process should write the allocation, as the owner or to take over."""
        version = stored.epoch, stored.renewals
        if version != self.register_version:
            self.register_version = version
            self.register_version_at = now
        if stored.owner not in ("", self.name) and now - self.register_version_at < TAKEOVER_TIMEOUT_S:
            self.send_until = 0.0
            return False
        return True

    def update_allocation(
        self,
        stored: Allocation,
        started_at: float,
        eligible: dict[str, tuple[float, str]],
        ended: Callable[[str], bool],
        load: LoadDistribution,
        busy: set[str],
    ) -> bool:
        """Compute the next allocation to write to the register.

        Called once for each attempt of a compare-and-set write, so it does not modify this process's state.

        Args:
            stored: allocation in the register, modified in place.
            started_at: start time of the write.
            eligible: weight and address of each endpoint that may be assigned keys.
            ended: whether an endpoint is known to have terminated, so that it holds no keys.
            load: distribution of the service's load over the keys.
            busy: endpoints with little spare capacity.

        Returns:
            False if another owner is active, and nothing may be written.
        """
        is_owner = stored.owner == self.name and stored.epoch == self.epoch
        if not is_owner:
            if (
                stored.owner not in ("", self.name)
                and (stored.epoch, stored.renewals) != self.register_version
            ):
                return False
            stored.owner = self.name
            stored.epoch += 1
        # Owners may grant leases of different duration, by settings or release. The longest one counts.
        stored.lease_s = max(stored.lease_s, self.lease_s)
        stored.renewals += 1
        if is_owner and started_at >= self.moves_blocked_until:
            self.reassign_ranges(stored, started_at, eligible, ended, load, busy)
        return True

    def reassign_ranges(
        self,
        stored: Allocation,
        now: float,
        eligible: dict[str, tuple[float, str]],
        ended: Callable[[str], bool],
        load: LoadDistribution,
        busy: set[str],
    ) -> None:
        """Free, revoke, assign and rebalance ranges; the arguments are those of `update_allocation`."""
        self.free_expired(stored, now, ended)
        lost_holders = {
            key_range.holder
            for key_range in stored.ranges
            if key_range.holder not in eligible
            or self.is_failing(key_range.holder, 2 * MAX_FAILED_CALLS, now)
        }
        range_assignment.revoke_held_ranges(stored, lost_holders)
        weights = {
            id: weight
            for id, (weight, _) in eligible.items()
            if not self.is_failing(id, MAX_FAILED_CALLS, now)
        }
        addresses = {id: address for id, (_, address) in eligible.items()}
        range_assignment.assign_free_ranges(stored, weights, addresses, load)
        range_assignment.rebalance(stored, weights, load, busy)

    def record_commit(self, stored: Allocation, started_at: float, now: float) -> bool:
        """Record that this process's write was committed.

        Args:
            stored: the committed allocation.
            started_at: start time of the write. The owner lease counts from it, as the answer may be delayed.
            now: time of the answer.

        Returns:
            Whether this process has just become the owner.
        """
        took_over = stored.epoch != self.epoch
        if took_over:
            self.start_epoch(stored, now)
        self.discard_stale_entries(stored, now)
        self.allocation = stored
        self.send_until = started_at + OWNER_LEASE_S
        return took_over

    def start_epoch(self, stored: Allocation, now: float) -> None:
        """Become the owner.

        Grants of the previous owner may still arrive. Until they cannot, no range is reassigned, and every
        holder is assumed to have been sent a grant as late as the previous owner may have done.
        """
        self.epoch = stored.epoch
        self.moves_blocked_until = now + (OWNER_LEASE_S + MAX_MESSAGE_DELAY_S if stored.epoch > 1 else 0)
        self.last_grant_sent = {
            key_range.fence: now + OWNER_LEASE_S for key_range in stored.ranges if key_range.holder
        }
        self.last_grant_acked = {}
        self.failed_calls = {}
        self.handovers = {}

    def discard_stale_entries(self, stored: Allocation, now: float) -> None:
        """Discard state of ranges and fencing tokens that no longer exist; tokens are never reused."""
        revoking = {
            key_range.identity for key_range in stored.ranges if key_range.state == RangeState.REVOKING
        }
        identities = {key_range.identity for key_range in stored.ranges}
        fences = {key_range.fence for key_range in stored.ranges}
        holders = {key_range.holder for key_range in stored.ranges}
        self.handovers = {
            identity: handover for identity, handover in self.handovers.items() if identity in revoking
        }
        self.last_grant_acked = {
            identity: at for identity, at in self.last_grant_acked.items() if identity in identities
        }
        self.last_grant_sent = {fence: at for fence, at in self.last_grant_sent.items() if fence in fences}
        self.failed_calls = {
            id: (count, at)
            for id, (count, at) in self.failed_calls.items()
            if id in holders or now - at < RETRY_AFTER_S
        }

    def record_commit_failure(self) -> None:
        """Record that this process's write failed or its outcome is unknown, so that no grant may be sent."""
        self.send_until = 0.0

    def is_failing(self, id: str, min_failures: int, now: float) -> bool:
        """Whether at least `min_failures` consecutive calls to an endpoint failed, the last one recently."""
        count, at = self.failed_calls.get(id, (0, 0.0))
        return count >= min_failures and now - at < RETRY_AFTER_S

    def free_expired(self, stored: Allocation, now: float, ended: Callable[[str], bool]) -> None:
        """Free the revoked ranges that no endpoint can still consider itself the holder of."""
        for key_range in stored.ranges:
            if key_range.state != RangeState.REVOKING:
                continue
            handover = self.handovers.get(key_range.identity)
            # No entry means that no grant was sent; `start_epoch` adds entries for grants of earlier epochs.
            sent_at = self.last_grant_sent.get(key_range.fence, -stored.lease_s * 2)
            lease_over = (
                now > sent_at + MAX_MESSAGE_DELAY_S + stored.lease_s * CLOCK_DRIFT_FACTOR + EXPIRY_MARGIN_S
            )
            if handover is not None or lease_over or ended(key_range.holder):
                key_range.free(handover or "")

    def due_calls(self, now: float) -> list[tuple[CallKind, Range]]:
        """Calls to make now; each is in flight until its result is passed to `record_result`."""
        calls = []
        for key_range in self.allocation.ranges:
            if key_range.fence in self.in_flight or not key_range.address:
                continue
            kind = self.next_call(key_range, now)
            if kind is not None:
                calls.append((kind, key_range))
                self.in_flight.add(key_range.fence)
        return calls

    def next_call(self, key_range: Range, now: float) -> CallKind | None:
        """Kind of the call to make to the holder of a range now, or None."""
        if key_range.state == RangeState.HELD:
            acked_at = self.last_grant_acked.get(key_range.identity, -RENEW_INTERVAL_S)
            if now - acked_at >= RENEW_INTERVAL_S:
                return CallKind.GRANT
        elif key_range.state == RangeState.REVOKING and now >= self.moves_blocked_until:
            if not self.is_failing(key_range.holder, MAX_FAILED_CALLS, now):
                return CallKind.RELEASE
        return None

    def authorize_send(self, kind: CallKind, key_range: Range, now: float) -> bool:
        """Whether a call may be sent; if so, a grant is recorded as sent.

        To be called last, when the connection is established: this process may have been suspended since it
        decided on the grant, and another process may be the owner by now and have reassigned the keys.
        """
        if kind == CallKind.GRANT:
            if now >= self.send_until:
                return False
            self.last_grant_sent[key_range.fence] = now
        return True

    def record_result(
        self, kind: CallKind, key_range: Range, status: int | None, handover: str, now: float
    ) -> bool:
        """Record the result of a call.

        Args:
            kind: kind of the call.
            key_range: range that the call was about.
            status: HTTP status of the answer, or `NO_ANSWER`, or `NOT_SENT`.
            handover: handover data in the answer to a release, for the next holder.
            now: time of the answer.

        Returns:
            Whether the allocation should be updated soon because a range can be freed.
        """
        self.in_flight.discard(key_range.fence)
        if status is NOT_SENT:
            return False
        succeeded = status == STATUS_OK
        failures = 0 if succeeded else self.failed_calls.get(key_range.holder, (0, 0.0))[0] + 1
        self.failed_calls[key_range.holder] = failures, now
        if not succeeded:
            return False
        if kind == CallKind.GRANT:
            self.last_grant_acked[key_range.identity] = now
            return False
        self.handovers[key_range.identity] = handover
        return True
