"""Which disks should vote, as a pure function of the known disks and of the losses to be borne.

The number follows what the deployment asks for: a set bears the losses if it keeps a majority after the loss
of any `machines` voters, of any `zones` zones or of any `regions` regions. One voter is taken in, left out or
exchanged at a time.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from flintreach.consensus.quorum import Address, Voters

MAX_VOTERS = 9  # more make every write dearer and bear no more than the settings ask for
FIRST_START_CALM_S = 0.6  # without a new disk, at a first start with enough of them
TOO_FEW_CALM_S = 6.0  # without a new disk, at a first start with too few of them
GROWTH_CALM_S = 2.5  # without a disk that came or went, before the voters grow
UNKNOWN_PLACE = ("?", "?")  # zone and region of a voter that nobody has met

Place = tuple[str, str]  # zone and region


@dataclass(frozen=True, slots=True)
class FailureTolerance:
    """What may be lost at once with all that was acknowledged kept."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class VoterCandidate:
    """A machine with a disk that may vote, as the others see it.

    Attributes:
        address: of its process.
        zone: its zone.
        region: its region.
        incarnation: of the disk, "" where it isn't known.
        alive: the membership has it alive.
        leaving: it has said that it ends.
        caught_up: it holds what a quorum holds, and says so under the epoch that stands.
    """

    address: Address
    zone: str
    region: str
    incarnation: str = ""
    alive: bool = True
    leaving: bool = False
    caught_up: bool = False


def borne(places: Iterable[Place], losses: FailureTolerance) -> bool:
    """Whether voters at these places (zone, region) keep a majority after any of the losses.

    >>> borne([("a", "r"), ("b", "r"), ("c", "r")], FailureTolerance(machines=1, zones=1))
    True
    >>> borne([("a", "r"), ("b", "r"), ("c", "r"), ("c", "r")], FailureTolerance(machines=1, zones=1))
    False
    """
    known_places = list(places)
    size = len(known_places)
    zones = Counter(zone for zone, _ in known_places)
    regions = Counter(region for _, region in known_places)
    lost_with_zones = sum(count for _, count in zones.most_common(losses.zones))
    lost_with_regions = sum(count for _, count in regions.most_common(losses.regions))
    worst_loss = max(min(losses.machines, size), lost_with_zones, lost_with_regions)
    return size - worst_loss > size // 2


def in_turn(disks: Iterable[VoterCandidate]) -> list[VoterCandidate]:
    """Disks in the order in which they are taken: zones take turns, within one the addresses decide."""
    zones: dict[str, list[VoterCandidate]] = {}
    for disk in sorted(disks, key=lambda disk: disk.address):
        zones.setdefault(disk.zone, []).append(disk)
    queues = [zones[zone] for zone in sorted(zones)]
    ordered_disks: list[VoterCandidate] = []
    while any(queues):
        ordered_disks += [queue.pop(0) for queue in queues if queue]
    return ordered_disks


def largest_that_bears(disks: list[VoterCandidate], losses: FailureTolerance) -> list[VoterCandidate] | None:
    """As many of the first disks as bear the losses, or None where no number does."""
    for size in range(len(disks), 0, -1):
        if borne([(disk.zone, disk.region) for disk in disks[:size]], losses):
            return disks[:size]
    return None


def choose_initial_voters(
    disks: Iterable[VoterCandidate], losses: FailureTolerance, calm_s: float
) -> Voters | None:
    """The voters of a first start, or None while more disks are to be waited for.

    With too few voters the losses that are allowed would leave no majority, or take the only copies: nothing
    is acknowledged before they are enough, or before no new disk has come for `TOO_FEW_CALM_S`.

    Args:
        disks: the known disks.
        losses: what must be borne.
        calm_s: seconds without a new disk.
    """
    candidates = in_turn(disk for disk in disks if disk.alive)[:MAX_VOTERS]
    chosen = largest_that_bears(candidates, losses)
    if chosen is None:
        if calm_s < TOO_FEW_CALM_S:
            return None
        chosen = candidates
    if not chosen or calm_s < FIRST_START_CALM_S:
        return None
    return Voters(1, tuple(sorted((disk.address, disk.incarnation) for disk in chosen)))


def exchanged(voters: Voters, out: Address | None = None, into: VoterCandidate | None = None) -> Voters:
    """The joint configuration that follows, with one voter left out, one taken in, or both."""
    members = [member for member in voters.old if member[0] != out]
    if into:
        members.append((into.address, into.incarnation))
    return Voters(voters.epoch + 1, voters.old, tuple(sorted(members)))


class VoterPlan:
    """What could follow one configuration of a single set.

    Attributes:
        inside: addresses of the voters.
        spares: disks that may be taken in.
        bears_losses: whether the voters bear the losses as they are.
        gone: voters that are dead or leave, those that leave first.
    """

    def __init__(self, voters: Voters, disks: Iterable[VoterCandidate], losses: FailureTolerance) -> None:
        self.voters = voters
        self.losses = losses
        self.disks = {disk.address: disk for disk in disks}
        self.inside = [address for address, _ in voters.old]
        self.spares = [disk for disk in self.disks.values() if self.is_spare(disk)]
        self.bears_losses = self.bears()
        self.gone = sorted(
            filter(self.is_gone, self.inside), key=lambda address: (not self.disks[address].leaving, address)
        )

    def is_spare(self, disk: VoterCandidate) -> bool:
        """Whether a disk may be taken in."""
        return disk.caught_up and disk.alive and not disk.leaving and disk.address not in self.inside

    def is_gone(self, address: Address) -> bool:
        """Whether a voter is known to be dead, or to leave."""
        disk = self.disks.get(address)
        return disk is not None and (disk.leaving or not disk.alive)

    def bears(
        self,
        out: Iterable[Address] = (),
        into: VoterCandidate | None = None,
        losses: FailureTolerance | None = None,
    ) -> bool:
        """Whether the voters without some and with another bear the losses.

        Args:
            out: voters that are left out.
            into: a disk that is taken in.
            losses: what must be borne, if not all that the deployment asks for.
        """
        places: list[Place] = []
        for address in self.inside:
            if address in out:
                continue
            disk = self.disks.get(address)
            # Where a voter stands that nobody has met is not known: all such count as one place.
            places.append((disk.zone, disk.region) if disk else UNKNOWN_PLACE)
        if into:
            places.append((into.zone, into.region))
        return borne(places, losses or self.losses)

    def ranked_spares(self, out: Address | None = None) -> list[VoterCandidate]:
        """Spares, best first: of the zone of the one left out, then of the zone with the fewest voters."""
        voters_by_zone = Counter(
            self.disks[address].zone for address in self.inside if address in self.disks and address != out
        )
        zone = self.disks[out].zone if out in self.disks else None
        return sorted(
            self.spares, key=lambda disk: (disk.zone != zone, voters_by_zone[disk.zone], disk.address)
        )

    def replaced(self) -> Voters | None:
        """A voter that is gone makes room for a spare.

        Best where all losses stay borne, else where those of machines do: without the spare one of them has
        happened for good.
        """
        for losses in (self.losses, FailureTolerance(self.losses.machines)):
            for address in self.gone:
                for spare in self.ranked_spares(address):
                    if not self.bears_losses or self.bears([address], spare, losses):
                        return exchanged(self.voters, address, spare)
        return None

    def dropped(self) -> Voters | None:
        """A voter that is gone is left out without a successor.

        Only where the rest bears the losses by itself and can then lose more than before: of an even number
        any, of an odd one if more said that they leave.
        """
        size = len(self.inside)
        first_gone = self.gone[:1] if size % 2 == 0 else []
        leaving = [address for address in self.gone if self.disks[address].leaving]
        alive = size - len(self.gone)
        for dropped in (first_gone, leaving):
            rest = size - len(dropped)
            if not dropped or rest < 2 * self.losses.machines + 1 or not self.bears(dropped):
                continue
            spare_votes_after = alive - (rest // 2 + 1)
            spare_votes_before = alive - (size // 2 + 1)
            if spare_votes_after > spare_votes_before:
                return exchanged(self.voters, dropped[0])
        return None

    def grown(self) -> Voters | None:
        """Another voter, as long as that costs no tolerance; with too few, what repairs it."""
        spares = self.ranked_spares()
        has_room = len(self.inside) < MAX_VOTERS
        if has_room:
            for spare in spares:
                if self.bears((), spare):
                    return exchanged(self.voters, None, spare)
        if self.bears_losses:
            return None
        for spare in spares:
            for address in self.inside:
                if self.bears([address], spare):
                    return exchanged(self.voters, address, spare)
        for address in self.inside[::-1]:
            if self.bears([address]):
                return exchanged(self.voters, address)
        return exchanged(self.voters, None, spares[0]) if spares and has_room else None


def choose_next_voters(
    voters: Voters, disks: Iterable[VoterCandidate], losses: FailureTolerance, calm_s: float
) -> Voters | None:
    """The configuration that should follow one that stands alone, or None where it is well as it is.

    Args:
        voters: the configuration that stands.
        disks: the known disks.
        losses: what must be borne.
        calm_s: seconds since a disk came or went; growth waits for some, a replacement for none.
    """
    if voters.epoch == 0 or voters.joint:
        return None
    plan = VoterPlan(voters, disks, losses)
    successor = plan.replaced() or plan.dropped()
    if successor or calm_s < GROWTH_CALM_S:
        return successor
    return plan.grown()


def plan_operator_change(
    voters: Voters,
    disks: Iterable[VoterCandidate],
    losses: FailureTolerance,
    out: Address | None,
    into: Address | None,
) -> tuple[Voters | None, str]:
    """What follows by an operator's order.

    Args:
        voters: the configuration that stands.
        disks: the known disks.
        losses: what must be borne.
        out: the voter to leave out.
        into: the disk to take in.

    Returns:
        The joint configuration and "", or None and why not, for the operator to read.
    """
    if voters.epoch == 0 or voters.joint:
        return None, "the voters are not settled, ask again"
    if out is None and into is None:
        return None, "nobody to leave out or to take in"
    plan = VoterPlan(voters, disks, losses)
    if out is not None and out not in plan.inside:
        return None, f"{out[0]}:{out[1]} does not vote"
    spare = next((disk for disk in plan.spares if disk.address == into), None)
    if into is not None and spare is None:
        return None, f"{into[0]}:{into[1]} is no disk that is alive, caught up and does not vote"
    left_out = [] if out is None else [out]
    size = len(plan.inside) - len(left_out) + (spare is not None)
    if size > MAX_VOTERS:
        return None, f"more than {MAX_VOTERS} voters"
    if plan.bears_losses and not plan.bears(left_out, spare):
        return None, "the voters that are left would not bear the losses that the settings ask for"
    if size == 0:
        return None, "nobody would be left"
    return exchanged(voters, out, spare), ""
