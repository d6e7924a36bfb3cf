"""Who votes, at a refuge: the first decision, a new disk's copying, changes that are due, and a handover
before this process ends. What should follow is decided in `cairn.wanted`, how it comes about in
`cairn.turnover`."""

from flintreach.common.log import say
from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.reconfiguration import Reconfiguration
from flintreach.consensus.voter_selection import Disk, Losses, first, ordered, wanted
from flintreach.membership.member_list import LEFT, SUSPECTED

TICK_S, COPY_S = 0.25, 2.0
TURN_S = 1.5  # each refuge further down the row waits so much longer before it acts: two would only duel
UNMET_S = 5.0  # after its start a refuge takes a voter that nobody has met for one that is gone
HANDOVER_S, SPARE_S = 2.0, 1.0  # how long one that ends waits for a successor at least; what is left then
ROLE = "refuge"


class VoterManager:
    def __init__(self, plane):
        self.plane, self.runtime, self.register = plane, plane.runtime, plane.register
        self.reconfiguration = Reconfiguration(self.register, lambda: plane.endpoints.collect())
        self.began = self.runtime.now()
        self.leaving: dict[Address, float] = {}  # until when it counts as one that leaves
        self.seen: frozenset[Address] = frozenset()  # disks that are alive
        self.seen_at = self.due_at = self.began
        self.due, self.told, self.copy_at, self.wish = -1, -1, 0.0, None
        plane.peer_pool.handlers |= {"leaving": self.on_leaving, "replace": self.on_replace}

    @property
    def losses(self) -> Losses:
        told = self.plane.node.tariffs.losses
        return Losses(told.machines, told.zones, told.regions)

    def disks(self) -> dict[Address, Disk]:
        """Counted refuges as the roster has them, and voters that it doesn't know."""
        now, found = self.runtime.now(), {}
        for m in [*self.plane.member_list.members.values()]:
            if m.role == ROLE and m.counted:
                alive, leaving = m.state <= SUSPECTED, now < self.leaving.get(m.address, 0.0)
                if alive or m.address not in found:  # a successor may have the address of one that is dead
                    found[m.address] = Disk(
                        m.address, m.zone, m.region, alive=alive, leaving=leaving or m.state == LEFT
                    )
        unmet = [address for address in self.register.group if address not in found]
        if now - self.began > UNMET_S:
            found |= {address: Disk(address, "?", "?", alive=False) for address in unmet}
        elif unmet:
            self.seen_at = now  # no growth around one that may be gone: its place is for a successor
        seen = frozenset(address for address, disk in found.items() if disk.alive)
        if seen != self.seen:
            self.seen, self.seen_at = seen, now
        return found

    def asked(self, disks: dict[Address, Disk], outside: bool = True) -> list[Disk]:
        """The same with what those that don't vote (or all that are alive) tell of themselves. A voter that
        is told dead is asked as well: news of a death may be wrong, and one that answers must not be
        replaced."""
        register, group = self.register, self.register.group
        others = [
            a
            for a, disk in disks.items()
            if not disk.leaving and (not disk.alive if outside and a in group else disk.alive)
        ]
        answers = register.gather(
            others,
            "disk",
            register.voters.epoch if outside else None,
            lambda got: len(got) == len(others),
            0.3,
        )
        told = {address: answer for address, answer in answers if answer}
        return [
            self.with_word(disk, *told[address]) if address in told else disk
            for address, disk in disks.items()
        ]

    @staticmethod
    def with_word(disk: Disk, life: str, caught: bool) -> Disk:
        return Disk(disk.address, disk.zone, disk.region, life, True, disk.leaving, caught)

    # A first start.

    def find(self) -> None:
        """Learn which disks vote: from others, or at a first start by deciding it with them."""
        plane, runtime, register = self.plane, self.runtime, self.register
        if plane.first_run and not register.voters.sets:
            # Kept: after a kill the settings may name other seeds, and those must not decide a second time.
            register.voters = Voters(0, tuple(sorted((seed, "") for seed in plane.seeds())))
            while register.store and not register.store.keep({}, register.voters.to_facts()):
                runtime.sleep(TICK_S)
        if register.store and (forced := register.store.facts.get("forced")):
            say("voters_forced", what=forced)
        fresh = plane.first_run or (register.store is not None and register.trusted)
        while not register.voters.epoch:
            runtime.sleep(0.05)
            disks = {address: disk for address, disk in self.disks().items() if disk.alive}
            others = [address for address in disks if address != plane.peer_pool.address]
            found = plane.peer_pool.gather(others, "voters", None, bool, 0.3) if others else []
            if found:
                register.adopt(max((Voters.of(row) for _, row in found), key=lambda voters: voters.epoch))
            elif fresh and first(disks.values(), self.losses, runtime.now() - self.seen_at):
                # What an earlier one has decided stands: the disks of the seeds know it.
                wish = first(self.asked(disks, False), self.losses, runtime.now() - self.seen_at)
                if wish:
                    self.reconfiguration.decide(wish)
        self.tell()

    def tell(self) -> None:
        voters = self.register.voters
        self.told = voters.epoch
        say(
            "voters",
            epoch=voters.epoch,
            votes=self.register.votes(),
            sets=[[f"{ip}:{port}" for ip, port in sorted(one)] for one in voters.sets],
        )

    # Later.

    def run(self) -> None:
        while True:
            self.runtime.sleep(TICK_S)
            if self.register.voters.epoch:
                self.turn()
                if self.register.voters.epoch != self.told and not self.register.voters.joint:
                    self.tell()

    def turn(self) -> None:
        register, now = self.register, self.runtime.now()
        me, voters = self.plane.peer_pool.address, register.voters
        if me not in register.group:
            if now >= self.copy_at:
                self.copy_at = now + (COPY_S if self.reconfiguration.catch_up() else 0.0)
            return
        if not register.votes():
            return
        if self.is_due(voters):
            self.go_on(voters)

    def is_due(self, voters: Voters) -> bool:
        """Whether something is to be done, and it is this refuge's turn to do it."""
        disks, now = self.disks(), self.runtime.now()
        self.wish = (
            voters if voters.joint else wanted(voters, self.hoped(disks), self.losses, now - self.seen_at)
        )
        if self.wish is None:
            self.due = -1
            return False
        if self.due != voters.epoch:
            self.due, self.due_at = voters.epoch, now
        me = self.plane.peer_pool.address
        row = sorted(a for a in self.register.group if a in disks and disks[a].alive and not disks[a].leaving)
        place = row.index(me) if me in row else len(row)
        return now - self.due_at >= place * TURN_S

    def hoped(self, disks: dict[Address, Disk]) -> list[Disk]:
        """The disks as if all outside had caught up: that is asked only where something could come of it."""
        return [
            disk if address in self.register.group else self.with_word(disk, "", True)
            for address, disk in disks.items()
        ]

    def go_on(self, voters: Voters) -> None:
        if voters.joint:
            self.reconfiguration.carry_on()
            return
        wish = wanted(voters, self.asked(self.disks()), self.losses, self.runtime.now() - self.seen_at)
        if wish and self.reconfiguration.decide(wish):
            self.reconfiguration.carry_on()

    # Leaving, and orders.

    def on_leaving(self, link, body):
        """Another process will end: [its address, seconds for which its word holds]."""
        address, seconds = body
        self.leaving[tuple(address)] = self.runtime.now() + seconds
        return True

    def leave(self) -> None:
        """Before this process ends: where a spare may take over, or the rest suffices, that is waited for, as
        long as the platform lets it."""
        me, now = self.plane.peer_pool.address, self.runtime.now()
        if me not in self.register.group:
            return
        until = now + max(HANDOVER_S, self.plane.node.bounds.grace_s - SPARE_S)
        self.leaving[me] = until + SPARE_S
        peers = self.plane.peers()
        self.plane.peer_pool.gather(
            peers, "leaving", [list(me), self.leaving[me] - now], lambda got: len(got) == len(peers), 0.3
        )
        while self.runtime.now() < until:
            voters = self.register.voters
            if me not in self.register.group:
                if self.reconfiguration.announce(0.5):
                    break
            # While two sets stand it may be one that both need: it stays until that is over.  A spare that
            # has just started still copies: who ended at once would leave its set a voter short until then.
            elif not voters.joint and not wanted(voters, self.hoped(self.disks()), self.losses, 0.0):
                break
            self.runtime.sleep(0.05)

    def on_replace(self, link, body):
        """An operator's order: [address to leave out or None, address to take in or None]; what came of
        it."""
        out, into = (tuple(place) if place else None for place in body)
        wish, reason = ordered(self.register.voters, self.asked(self.disks()), self.losses, out, into)
        if wish is None:
            return reason
        if self.reconfiguration.decide(wish) and self.reconfiguration.carry_on():
            return ""
        return "begun, not finished" if self.register.voters.joint else "not known yet: look at the voters"

    def rows(self) -> list[dict]:
        """For `flintreach show voters`."""
        voters, disks = self.register.voters, self.disks()
        told = {disk.address: disk for disk in self.asked(disks, False)}
        forced = self.plane.store.facts.get("forced", "") if self.plane.store else ""
        wish = (
            ""
            if self.wish is None
            else " and ".join(" ".join(sorted(f"{ip}:{port}" for ip, port in one)) for one in self.wish.sets)
        )
        rows = []
        for address in sorted({*voters.members(), *disks}):
            disk, lives = told.get(address), sorted(voters.incarnations(address))
            inside = [
                name for name, one in (("old", voters.old), ("new", voters.new)) if address in dict(one)
            ]
            rows.append(
                {
                    "epoch": voters.epoch,
                    "address": f"{address[0]}:{address[1]}",
                    "set": " ".join(inside) if voters.joint else "votes" if inside else "",
                    "life": " ".join(lives),
                    "told_life": disk.incarnation if disk else "",
                    "state": "unknown"
                    if not disk
                    else "leaving"
                    if disk.leaving
                    else "alive"
                    if disk.alive
                    else "dead",
                    "caught_up": bool(disk and disk.caught_up),
                    "wanted": wish,
                    "forced": forced,
                }
            )
        return rows
