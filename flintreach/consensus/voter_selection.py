"""Which disks should vote, as a function of the disks that are known and of the losses to be borne. Pure.

The number follows what the deployment asks for: a set bears the losses if it keeps a majority after the loss
of any `machines` voters, of any `zones` zones or of any `regions` regions. One voter is taken in, left out or
exchanged at a time.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from flintreach.consensus.quorum import Address, Voters

MOST = 9  # voting disks: more make every write dearer and bear no more than the settings ask for
FIRST_S, LESS_S = 0.6, 6.0  # seconds without a new disk at a first start: for enough of them, and for too few
CALM_S = 2.5  # seconds without a disk that came or went before the voters grow


@dataclass(frozen=True, slots=True)
class Losses:
    """What may be lost at once with all that was acknowledged kept."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class Disk:
    """A counted machine with a disk, as the others see it. `caught`: it holds what a quorum holds, and says
    so under the epoch that stands; `leaving`: it said that it ends."""

    address: Address
    zone: str
    region: str
    life: str = ""
    alive: bool = True
    leaving: bool = False
    caught: bool = False


def borne(places: Iterable[tuple[str, str]], losses: Losses) -> bool:
    """Whether voters at these places (zone, region) keep a majority after any of the losses.

    >>> borne([("a", "r"), ("b", "r"), ("c", "r")], Losses(machines=1, zones=1))
    True
    >>> borne([("a", "r"), ("b", "r"), ("c", "r"), ("c", "r")], Losses(machines=1, zones=1))
    False
    """
    places = [*places]
    size = len(places)
    lost = [min(losses.machines, size)]
    for kind, count in ((0, losses.zones), (1, losses.regions)):
        lost.append(sum(n for _, n in Counter(place[kind] for place in places).most_common(count)))
    return size - max(lost) > size // 2


def in_turn(disks: Iterable[Disk]) -> list[Disk]:
    """Zones take turns, addresses decide."""
    zones: dict[str, list[Disk]] = {}
    for disk in sorted(disks, key=lambda disk: disk.address):
        zones.setdefault(disk.zone, []).append(disk)
    rows, found = [zones[zone] for zone in sorted(zones)], []
    while any(rows):
        found += [row.pop(0) for row in rows if row]
    return found


def first(disks: Iterable[Disk], losses: Losses, calm_s: float) -> Voters | None:
    """The voters of a first start, or None while more disks are to be waited for.

    With too few voters the losses that are allowed would leave no majority, or take the only copies: nothing
    is acknowledged before they are enough, or before no new disk has come for `LESS_S`.
    """
    row = in_turn(disk for disk in disks if disk.alive)[:MOST]
    for size in range(len(row), 0, -1):
        if borne([(disk.zone, disk.region) for disk in row[:size]], losses):
            row = row[:size]
            break
    else:
        if calm_s < LESS_S:
            return None
    if not row or calm_s < FIRST_S:
        return None
    return Voters(1, tuple(sorted((disk.address, disk.life) for disk in row)))


def exchanged(voters: Voters, out: Address | None = None, into: Disk | None = None) -> Voters:
    """The joint configuration that follows, with one left out, one taken in, or both."""
    kept = [pair for pair in voters.old if pair[0] != out]
    new = tuple(sorted(kept + ([(into.address, into.life)] if into else [])))
    return Voters(voters.epoch + 1, voters.old, new)


class Wish:
    """What could follow one configuration of a single set."""

    def __init__(self, voters: Voters, disks: Iterable[Disk], losses: Losses):
        self.voters, self.losses = voters, losses
        self.known = {disk.address: disk for disk in disks}
        self.inside = [address for address, _ in voters.old]
        self.spares = [
            disk
            for disk in self.known.values()
            if disk.caught and disk.alive and not disk.leaving and disk.address not in self.inside
        ]
        self.stands = self.bears()
        self.gone = sorted(
            filter(self.is_gone, self.inside), key=lambda address: (not self.known[address].leaving, address)
        )

    def is_gone(self, address: Address) -> bool:
        disk = self.known.get(address)
        return disk is not None and (disk.leaving or not disk.alive)

    def bears(
        self, out: Iterable[Address] = (), into: Disk | None = None, losses: Losses | None = None
    ) -> bool:
        """Whether the voters without some and with another bear the losses."""
        places = []
        for address in self.inside:
            if address not in out:
                disk = self.known.get(address)
                # Where a voter stands that nobody has met is not known: all such count as one place.
                places.append((disk.zone, disk.region) if disk else ("?", "?"))
        return borne(places + ([(into.zone, into.region)] if into else []), losses or self.losses)

    def order(self, out: Address | None = None) -> list[Disk]:
        """Spares, best first: of the zone of the one left out, then of the zone with the fewest voters."""
        zones = Counter(self.known[a].zone for a in self.inside if a in self.known and a != out)
        zone = self.known[out].zone if out in self.known else None
        return sorted(self.spares, key=lambda disk: (disk.zone != zone, zones[disk.zone], disk.address))

    def replaced(self) -> Voters | None:
        """A voter that is gone makes room for a spare: best where all losses stay borne, else where those of
        machines do, as without it one of them has happened for good."""
        for losses in (self.losses, Losses(self.losses.machines)):
            for address in self.gone:
                for spare in self.order(address):
                    if not self.stands or self.bears([address], spare, losses):
                        return exchanged(self.voters, address, spare)
        return None

    def dropped(self) -> Voters | None:
        """A voter that is gone is left out without a successor, only where the rest bears the losses by
        itself and can then lose more than before: of an even number any, of an odd one if more said that they
        leave."""
        leaving = [a for a in self.gone if self.known[a].leaving]
        size = len(self.inside)
        for those in (self.gone[:1] if size % 2 == 0 else [], leaving):
            rest = size - len(those)
            if not those or rest < 2 * self.losses.machines + 1 or not self.bears(those):
                continue
            alive = size - len(self.gone)
            if alive - (rest // 2 + 1) > alive - (size // 2 + 1):
                return exchanged(self.voters, those[0])
        return None

    def grown(self) -> Voters | None:
        """Another voter, as long as that costs no tolerance; with too few, what mends it."""
        order = self.order()
        if len(self.inside) < MOST:
            for spare in order:
                if self.bears((), spare):
                    return exchanged(self.voters, None, spare)
        if self.stands:
            return None
        for spare in order:
            for address in self.inside:
                if self.bears([address], spare):
                    return exchanged(self.voters, address, spare)
        for address in self.inside[::-1]:
            if self.bears([address]):
                return exchanged(self.voters, address)
        return exchanged(self.voters, None, order[0]) if order and len(self.inside) < MOST else None


def wanted(voters: Voters, disks: Iterable[Disk], losses: Losses, calm_s: float) -> Voters | None:
    """The configuration that should follow one that stands alone, or None where it is well as it is.

    `calm_s`: seconds since a disk came or went; growth waits for some, a replacement for none.
    """
    if voters.epoch == 0 or voters.joint:
        return None
    wish = Wish(voters, disks, losses)
    return wish.replaced() or wish.dropped() or (wish.grown() if calm_s >= CALM_S else None)


def ordered(
    voters: Voters, disks: Iterable[Disk], losses: Losses, out: Address | None, into: Address | None
) -> tuple[Voters | None, str]:
    """What follows by an operator's order, or None and why not."""
    if voters.epoch == 0 or voters.joint:
        return None, "the voters are not settled, ask again"
    if out is None and into is None:
        return None, "nobody to leave out or to take in"
    wish = Wish(voters, disks, losses)
    if out is not None and out not in wish.inside:
        return None, f"{out[0]}:{out[1]} does not vote"
    spare = next((disk for disk in wish.spares if disk.address == into), None)
    if into is not None and spare is None:
        return None, f"{into[0]}:{into[1]} is no disk that is alive, caught up and does not vote"
    gone = [] if out is None else [out]
    if len(wish.inside) - len(gone) + (spare is not None) > MOST:
        return None, f"more than {MOST} voters"
    if wish.stands and not wish.bears(gone, spare):
        return None, "the voters that are left would not bear the losses that the settings ask for"
    if len(wish.inside) - len(gone) + (spare is not None) == 0:
        return None, "nobody would be left"
    return exchanged(voters, out, spare), ""
