"""Since when a refuge surely holds all that was acknowledged, as a state machine without input or output.

A refuge asks each other one for a mark, over the link on which that one tells its news: the stamps that its
disk accepted of the orders' keys.  The answer comes behind all news told before it on the same stream.  What
was acknowledged before the asking stands on a quorum of disks; a quorum of marks has one of these among them,
and so tells of it, at the latest, by a stamp.  A mark counts from the time of its ASKING, and only once
nothing that it tells of is unlearned: an answer may lie in a buffer while this process sleeps.

This is the read index of D. Ongaro's "Consensus: Bridging Theory and Practice" (section 6.4), with the age
of the last round kept instead of a round for each call.  Times are seconds of this process's steady clock.
"""

from flintreach.consensus.quorum import Address, Voters

KEYS = ("timetable", "evac", "voters")  # what the marks tell of: changed by orders, never all the time
NOTHING, NEVER = (0, ""), 86400.0  # NEVER: the age of a contact that there has not been
OPEN = 16  # marks of one refuge that wait for something to be learned
PATIENCE_S = 0.3  # for which a stamp on a minority may be a change under way
GAP_S, AFTER_S = 0.4, 0.25  # between two looks at the clock, for a sleep; in which all read may be old

Stamp = tuple[int, str]


class QuorumContact:
    def __init__(self):
        self.asked: dict[Address, float] = {}  # refuge -> asking time of its last mark without news to us
        self.marks: dict[Address, dict[str, Stamp]] = {}  # refuge -> what its last mark told
        self.open: dict[Address, list[tuple[float, dict[str, Stamp]]]] = {}
        self.learned: dict[str, Stamp] = {}  # all that was decided up to these ballots is known here
        self.since: dict[tuple[str, Stamp], float] = {}  # when something unlearned was first told

    def heard(self, address: Address, asked: float, stamps: dict[str, Stamp], now: float) -> None:
        """A refuge's mark; this refuge's own disk counts as one that is asked at each turn."""
        self.marks[address] = stamps
        self.open[address] = [*self.open.get(address, ()), (asked, stamps)][-OPEN:]
        self.settle(address)
        told = {(key, self.newest(key)[0]) for key in KEYS if self.unlearned(key)}
        self.since = {mark: self.since.get(mark, now) for mark in told}

    def learn(self, key: str, stamp: Stamp) -> None:
        """All that was decided of a key up to a ballot is known here now."""
        if stamp > self.learned.get(key, NOTHING):
            self.learned[key] = stamp
            for address in self.open:
                self.settle(address)

    def settle(self, address: Address) -> None:
        rows = self.open[address]
        for asked, stamps in rows:
            if all(stamp <= self.learned.get(key, NOTHING) for key, stamp in stamps.items()):
                self.asked[address] = max(asked, self.asked.get(address, asked))
        self.open[address] = [row for row in rows if row[0] > self.asked.get(address, -NEVER)]

    def newest(self, key: str) -> tuple[Stamp, list[Address]]:
        """The newest stamp that any last mark told of a key, and whose marks did."""
        stamp = max((stamps.get(key, NOTHING) for stamps in self.marks.values()), default=NOTHING)
        return stamp, sorted(a for a, stamps in self.marks.items() if stamps.get(key, NOTHING) == stamp)

    def unlearned(self, key: str) -> bool:
        return self.newest(key)[0] > self.learned.get(key, NOTHING)

    def waited(self, key: str, now: float) -> bool:
        """Whether a stamp has been told for so long that no change under way explains it."""
        return now - self.since.get((key, self.newest(key)[0]), now) >= PATIENCE_S

    def age(self, voters: Voters, now: float) -> float:
        """Seconds since a time up to which all that was acknowledged is known here; NEVER if there is none.

        >>> contact, voters = QuorumContact(), Voters(1, ((("a", 1), ""), (("b", 1), ""), (("c", 1), "")))
        >>> for at, name in ((5.0, "a"), (3.0, "b"), (1.0, "c")):
        ...     contact.heard((name, 1), at, {}, at)
        >>> contact.age(voters, 9.0)
        6.0
        """
        for at in sorted(self.asked.values(), reverse=True):
            if voters.met(address for address, asked in self.asked.items() if asked >= at):
                return now - at
        return NEVER


class SuspendDetector:
    """Notices that this process slept: frozen, or without its processor.

    What it then reads in the first moments may be from before, of callers that have gone on long ago.
    """

    def __init__(self, now: float):
        self.last, self.woke, self.sleeps = now, -NEVER, 0

    def look(self, now: float) -> bool:
        """Whether what is read now was sent while this process ran.  To be called some times within GAP_S,
        and before each call is answered."""
        if now - self.last > GAP_S:
            self.woke = now
            self.sleeps += 1
        self.last = now
        return now - self.woke >= AFTER_S
