"""Leases on the key ranges of one sharded service, as a state machine without input or output.

There are two kinds of terms.  The lease owner is the process that stands in the register's allocation: it may
grant ranges to endpoints for `OWNER_LEASE_S` after the beginning of its last change there.  An endpoint holds
a range for the lease that the last grant gave it.  Three bounds keep two endpoints from one key:

- Send bound: an owner that was suspended looks at its clock right before a grant is sent, and finds that it
  may not send: another may have become the owner, and given the keys away.
- Takeover time: another process becomes the owner only after it saw the register unchanged for
  `TAKEOVER_TIMEOUT_S`, which is longer than the send bound; else two owners would grant at a time.
- Network bound: what the old owner sent may arrive for `MAX_MESSAGE_DELAY_S` more; until then the new one
  moves no range.  Else an endpoint could get an old grant of keys that have just become free.

All times are seconds of the steady clock of this process.

Source: C. Gray, D. Cheriton, "Leases" (1989): the term, and the allowance for clocks.
"""

from collections.abc import Callable
from enum import StrEnum

from flintreach.sharding import range_assignment
from flintreach.sharding.range_assignment import Allocation, LoadDistribution, Range, RangeState

OWNER_LEASE_S = 1.0
MAX_MESSAGE_DELAY_S = 1.0
TAKEOVER_TIMEOUT_S = 1.8
MAX_LEASE_S = 5.0  # longer than it takes another owner to renew what a dead one granted
LEASE_PART_OF_BOUND = 0.9  # of the longest lease that the settings permit
CLOCK_DRIFT_FACTOR = 1.03  # an endpoint's clock may run slow by so much
EXPIRY_MARGIN_S = 0.2  # what a lease's end is waited for beyond that
RENEW_INTERVAL_S = 1.2  # between grants of one range
MAX_TRIES = 2  # calls without an answer before an endpoint gets no more keys; twice as many: it loses its own
RETRY_AFTER_S = 6.0  # after the last call without an answer an endpoint is tried again

# In place of the status of an answer.
STATUS_OK = 200
NO_ANSWER = 0
NOT_SENT = None  # the send bound had passed

RangeIdentity = tuple[int, int, int]  # `Range.identity`


class CallKind(StrEnum):
    """What an endpoint is asked for a range."""

    GRANT = "grant"
    RELEASE = "release"


class RangeLeases:
    """One process's part in the leases of one service: as the owner, or as the one to take over.

    Attributes:
        name: this process, as it stands in the register when it is the owner.
        lease_s: the lease that it grants to endpoints.
        allocation: what this process last committed as the owner.
        send_until: end of the send bound; 0 where this process isn't the owner.
        epoch: of this process as the owner; -1: it has not been.
        seen: (epoch, renewals) that the register last showed, to tell whether another owner is at work.
        seen_at: when they were first seen.
        last_grant_sent: fencing token -> when a grant may last have been sent, by this process or an owner
            before it.  The parts of a range that was split share the token.
        in_flight: fencing tokens of ranges with a call under way.
        last_grant_acked: range -> when its last grant was acknowledged.
        handovers: range -> the handover that its holder gave with the release.
        failed_calls: endpoint -> (calls in a row without an answer, when the last of them ended).
        moves_blocked_until: end of the network bound after a takeover; until then no range changes hands.
    """

    def __init__(self, name: str, max_lease_s: float) -> None:
        """Start as a process that isn't the owner.

        Args:
            name: this process.
            max_lease_s: the longest lease that the settings permit.
        """
        self.name = name
        self.lease_s = min(MAX_LEASE_S, LEASE_PART_OF_BOUND * max_lease_s)
        self.allocation = Allocation()
        self.send_until = 0.0
        self.epoch = -1
        self.seen: tuple[int, int] | None = None
        self.seen_at = 0.0
        self.last_grant_sent: dict[int, float] = {}
        self.in_flight: set[int] = set()
        self.last_grant_acked: dict[RangeIdentity, float] = {}
        self.handovers: dict[RangeIdentity, str] = {}
        self.failed_calls: dict[str, tuple[int, float]] = {}
        self.moves_blocked_until = 0.0

    def should_update(self, stored: Allocation, now: float) -> bool:
        """Whether this process is to change the register: as the owner, or as the next one."""
        version = stored.epoch, stored.renewals
        if version != self.seen:
            self.seen = version
            self.seen_at = now
        if stored.owner not in ("", self.name) and now - self.seen_at < TAKEOVER_TIMEOUT_S:
            self.send_until = 0.0
            return False
        return True

    def update_allocation(
        self,
        stored: Allocation,
        began: float,
        eligible: dict[str, tuple[float, str]],
        ended: Callable[[str], bool],
        load: LoadDistribution,
        busy: set[str],
    ) -> bool:
        """Make the next change of what stands in the register.

        It may run several times before one change is committed, so it leaves this process's own state alone.

        Args:
            stored: the allocation in the register, changed in place.
            began: when this change began.
            eligible: endpoint -> (weight, address), of those that may be given keys.
            ended: whether an endpoint is surely down, so that it holds nothing.
            load: where the service's load lies.
            busy: endpoints that have little capacity left.

        Returns:
            False where another owner is at work: nothing may be committed.
        """
        is_owner = stored.owner == self.name and stored.epoch == self.epoch
        if not is_owner:
            if stored.owner not in ("", self.name) and (stored.epoch, stored.renewals) != self.seen:
                return False
            stored.owner = self.name
            stored.epoch += 1
        # The leases of its owners may differ, by their settings or releases: the longest is waited for.
        stored.lease_s = max(stored.lease_s, self.lease_s)
        stored.renewals += 1
        if is_owner and began >= self.moves_blocked_until:
            self.move_ranges(stored, began, eligible, ended, load, busy)
        return True

    def move_ranges(
        self,
        stored: Allocation,
        now: float,
        eligible: dict[str, tuple[float, str]],
        ended: Callable[[str], bool],
        load: LoadDistribution,
        busy: set[str],
    ) -> None:
        """Free, take away, give and balance ranges; arguments as of `update_allocation`."""
        self.free_expired(stored, now, ended)
        lost_holders = {
            key_range.holder
            for key_range in stored.ranges
            if key_range.holder not in eligible or self.is_failing(key_range.holder, 2 * MAX_TRIES, now)
        }
        range_assignment.evict(stored, lost_holders)
        weights = {
            id: weight for id, (weight, _) in eligible.items() if not self.is_failing(id, MAX_TRIES, now)
        }
        addresses = {id: address for id, (_, address) in eligible.items()}
        range_assignment.assign_free_ranges(stored, weights, addresses, load)
        range_assignment.rebalance(stored, weights, load, busy)

    def record_commit(self, stored: Allocation, began: float, now: float) -> bool:
        """Take in that this process's change stands in the register.

        Args:
            stored: what stands there.
            began: when the change began.  The send bound counts from then: the answer may be late.
            now: the time of the answer.

        Returns:
            Whether this process has just become the owner.
        """
        took_over = stored.epoch != self.epoch
        if took_over:
            self.start_epoch(stored, now)
        self.drop_stale_notes(stored, now)
        self.allocation = stored
        self.send_until = began + OWNER_LEASE_S
        return took_over

    def start_epoch(self, stored: Allocation, now: float) -> None:
        """Begin as the owner.

        What the owner before sent may still arrive: no range changes hands until it can't, and every holder
        counts as granted until then.
        """
        self.epoch = stored.epoch
        self.moves_blocked_until = now + (OWNER_LEASE_S + MAX_MESSAGE_DELAY_S if stored.epoch > 1 else 0)
        self.last_grant_sent = {
            key_range.fence: now + OWNER_LEASE_S for key_range in stored.ranges if key_range.holder
        }
        self.last_grant_acked = {}
        self.failed_calls = {}
        self.handovers = {}

    def drop_stale_notes(self, stored: Allocation, now: float) -> None:
        """Forget notes on ranges and fencing tokens that no longer stand: no token is ever given again."""
        leaving = {
            key_range.identity for key_range in stored.ranges if key_range.state == RangeState.REVOKING
        }
        identities = {key_range.identity for key_range in stored.ranges}
        fences = {key_range.fence for key_range in stored.ranges}
        holders = {key_range.holder for key_range in stored.ranges}
        self.handovers = {
            identity: handover for identity, handover in self.handovers.items() if identity in leaving
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
        """Take in that this process's change does not stand, as far as is known: it may send no grant."""
        self.send_until = 0.0

    def is_failing(self, id: str, tries: int, now: float) -> bool:
        """Whether so many calls in a row to an endpoint had no answer, and it isn't yet time to try again."""
        count, at = self.failed_calls.get(id, (0, 0.0))
        return count >= tries and now - at < RETRY_AFTER_S

    def free_expired(self, stored: Allocation, now: float, ended: Callable[[str], bool]) -> None:
        """Free the leaving ranges that nobody can believe to hold any more."""
        for key_range in stored.ranges:
            if key_range.state != RangeState.REVOKING:
                continue
            handover = self.handovers.get(key_range.identity)
            # Without a note nothing was sent: what earlier epochs may have sent has one from `start_epoch`.
            sent_at = self.last_grant_sent.get(key_range.fence, -stored.lease_s * 2)
            lease_over = (
                now > sent_at + MAX_MESSAGE_DELAY_S + stored.lease_s * CLOCK_DRIFT_FACTOR + EXPIRY_MARGIN_S
            )
            if handover is not None or lease_over or ended(key_range.holder):
                key_range.free(handover or "")

    def due_calls(self, now: float) -> list[tuple[CallKind, Range]]:
        """The calls that are to be made now; each is in flight until `record_result` hears of it."""
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
        """What the holder of a range is to be asked now; None: nothing."""
        if key_range.state == RangeState.HELD:
            acked_at = self.last_grant_acked.get(key_range.identity, -RENEW_INTERVAL_S)
            if now - acked_at >= RENEW_INTERVAL_S:
                return CallKind.GRANT
        elif key_range.state == RangeState.REVOKING and now >= self.moves_blocked_until:
            if not self.is_failing(key_range.holder, MAX_TRIES, now):
                return CallKind.RELEASE
        return None

    def authorize_send(self, kind: CallKind, key_range: Range, now: float) -> bool:
        """Whether a call may be sent, asked last, when the connection is up.  A grant is then noted as sent.

        This process may have been suspended since it decided on a grant: another may be the owner by now, and
        have given the keys away.
        """
        if kind == CallKind.GRANT:
            if now >= self.send_until:
                return False
            self.last_grant_sent[key_range.fence] = now
        return True

    def record_result(
        self, kind: CallKind, key_range: Range, status: int | None, handover: str, now: float
    ) -> bool:
        """Take in how a call ended.

        Args:
            kind: of the call.
            key_range: of the call.
            status: HTTP status of the answer, or `NO_ANSWER`, or `NOT_SENT`.
            handover: what came with the answer to a release, for the next holder.
            now: the time of the answer.

        Returns:
            Whether the next step should be taken soon, as a range has become free.
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
