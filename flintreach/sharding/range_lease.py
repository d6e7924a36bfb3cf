"""The handing out of keys as a state machine, without input or output.

Who may act: the keeper that stands in the register, for SEND after the beginning of its last change of it.
One that slept looks at its clock right before a grant goes out and finds that it may not.  Another takes over
only after it saw the register unchanged for TAKE; what the old keeper sent may arrive for NET more, and
until then nothing changes hands.  Times are seconds of the steady clock of this process.
"""

from collections.abc import Callable

from flintreach.sharding import range_assignment
from flintreach.sharding.range_assignment import FREE, HELD, LEAVING, Allocation, LoadDistribution, Range

SEND, NET, TAKE = 1.0, 1.0, 1.8
HOLD = 5.0  # at most; longer than it takes another keeper to renew what a dead one granted
SLOW, SPARE = 1.03, 0.2  # an endpoint's clock may run slow; what its hold is waited for beyond that
RENEW = 1.2  # between grants of one range
TRIES, AGAIN = 2, 6.0  # calls without an answer before a holder is given up; until it is tried anew
GRANT, RELEASE = "grant", "release"


class RangeLeases:
    """One process's part in the keys of one service."""

    def __init__(self, name: str, hold_cap: float):
        self.name, self.hold = name, min(HOLD, 0.9 * hold_cap)
        self.allocation, self.until, self.epoch = Allocation(), 0.0, -1
        self.seen, self.seen_at = None, 0.0
        # By fence, which the parts of a range that was cut share: when a grant may last have gone out, by
        # this process or one before it, and whether a call is under way.
        self.sent: dict[int, float] = {}
        self.busy: set[int] = set()
        self.acked: dict[tuple, float] = {}  # by range
        self.released: dict[tuple, str] = {}
        self.failed: dict[str, tuple[int, float]] = {}  # by endpoint: calls without an answer, the last one
        self.quiet_until = 0.0

    def due(self, held: Allocation, now: float) -> bool:
        """Whether this process is to change the register: as the keeper, or as the next one."""
        mark = held.epoch, held.beat
        if mark != self.seen:
            self.seen, self.seen_at = mark, now
        if held.keeper not in ("", self.name) and now - self.seen_at < TAKE:
            self.until = 0.0
            return False
        return True

    def step(
        self,
        held: Allocation,
        began: float,
        able: dict[str, tuple[float, str]],
        ended: Callable[[str], bool],
        heat: LoadDistribution,
        busy: set[str],
    ) -> bool:
        """Change what stands in the register; False where another keeper is at work.

        May run several times before one change stands, so it leaves this process's own state alone.
        """
        mine = held.keeper == self.name and held.epoch == self.epoch
        if not mine:
            if held.keeper not in ("", self.name) and (held.epoch, held.beat) != self.seen:
                return False
            held.keeper, held.epoch = self.name, held.epoch + 1
        # Its keepers' holds may differ, by their settings or their texts: the longest is waited for.
        held.hold = max(held.hold, self.hold)
        held.beat += 1
        if mine and began >= self.quiet_until:
            self.free(held, began, ended)
            range_assignment.evict(
                held,
                {
                    r.holder
                    for r in held.ranges
                    if r.holder not in able or self.fails(r.holder, 2 * TRIES, began)
                },
            )
            good = {id: weight for id, (weight, _) in able.items() if not self.fails(id, TRIES, began)}
            range_assignment.fill(held, good, {id: addr for id, (_, addr) in able.items()}, heat)
            range_assignment.spread(held, good, heat, busy)
        return True

    def stands(self, held: Allocation, began: float, now: float) -> bool:
        """A change of ours stands.  Whether this process has just become the keeper."""
        new = held.epoch != self.epoch
        if new:
            # What the keeper before sent may still arrive: nothing changes hands until it can't.
            self.epoch, self.quiet_until = held.epoch, now + (SEND + NET if held.epoch > 1 else 0)
            self.sent = {r.fence: now + SEND for r in held.ranges if r.holder}
            self.acked, self.failed, self.released = {}, {}, {}
        # Notes on ranges and fences that no longer stand: a fence that is gone is never given again.
        places = {r.place for r in held.ranges if r.state == LEAVING}
        self.released = {place: told for place, told in self.released.items() if place in places}
        places, fences = {r.place for r in held.ranges}, {r.fence for r in held.ranges}
        self.acked = {place: at for place, at in self.acked.items() if place in places}
        self.sent = {fence: at for fence, at in self.sent.items() if fence in fences}
        holders = {r.holder for r in held.ranges}
        self.failed = {id: note for id, note in self.failed.items() if id in holders or now - note[1] < AGAIN}
        self.allocation, self.until = held, began + SEND
        return new

    def lost(self) -> None:
        """A change of ours did not stand, as far as is known."""
        self.until = 0.0

    def fails(self, id: str, tries: int, now: float) -> bool:
        count, at = self.failed.get(id, (0, 0.0))
        return count >= tries and now - at < AGAIN

    def free(self, held: Allocation, now: float, ended: Callable[[str], bool]) -> None:
        """Ranges that nobody can believe to hold any more."""
        for r in held.ranges:
            if r.state == LEAVING:
                released = self.released.get(r.place)
                # Without a note nothing went out: what earlier epochs may have sent has one from `stands`.
                over = now > self.sent.get(r.fence, -held.hold * 2) + NET + held.hold * SLOW + SPARE
                if released is not None or over or ended(r.holder):
                    r.state, r.holder, r.handover, r.addr = FREE, "", released or "", ""

    def calls(self, now: float) -> list[tuple[str, Range]]:
        """What is to be called now; each is under way until `answered` hears of it."""
        out = []
        for r in self.allocation.ranges:
            if r.fence in self.busy or not r.addr:
                continue
            if r.state == HELD and now - self.acked.get(r.place, -RENEW) >= RENEW:
                out.append((GRANT, r))
            elif r.state == LEAVING and now >= self.quiet_until and not self.fails(r.holder, TRIES, now):
                out.append((RELEASE, r))
            else:
                continue
            self.busy.add(r.fence)
        return out

    def goes_out(self, kind: str, r: Range, now: float) -> bool:
        """Asked last, when the connection stands: whether the call may be sent.  A grant is then noted."""
        if kind == GRANT:
            # This process may have slept since it decided: another may have given the keys away.
            if now >= self.until:
                return False
            self.sent[r.fence] = now
        return True

    def answered(self, kind: str, r: Range, status: int | None, handover: str, now: float) -> bool:
        """`status` 0: no answer, None: not sent, being late.  Whether the next step should be taken soon."""
        self.busy.discard(r.fence)
        if status is None:
            return False
        good = status == 200
        self.failed[r.holder] = 0 if good else self.failed.get(r.holder, (0, 0.0))[0] + 1, now
        if good and kind == GRANT:
            self.acked[r.place] = now
        elif good:
            self.released[r.place] = handover
        return good and kind == RELEASE
