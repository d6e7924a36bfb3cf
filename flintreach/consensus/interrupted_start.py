"""Evidence that the first start of a deployment was interrupted before its first voters were decided.

Only disks that were created at the first start may decide on the first voters: a disk that is created later
may replace one that was lost, and the lost one may have voted.  If processes end before their disks have been
created, that rule alone leaves nobody who may decide.

The seeds would have decided.  If all of them report that they know of no decision, then either there was
none, or those that know can't be reached: the seeds that knew have lost their disks, or do not vote.  More
empty disks than may be lost at once exclude the loss.  Otherwise time does: what may be lost leaves a
majority of the voters, which would have been heard of.  No I/O.
"""

from collections.abc import Collection, Mapping
from enum import Enum

import msgspec

from flintreach.consensus.quorum import Address
from flintreach.consensus.voter_selection import FailureTolerance, Location


class Evidence(Enum):
    """What the reports show.

    NONE: there may have been a decision.
    NO_DECISION_HEARD_OF: all known controllers report, and none knows of a decision.
    NO_DECISION: likewise for the seeds, and more disks are empty than may be lost at once.
    """

    NONE = "none"
    NO_DECISION_HEARD_OF = "no decision heard of"
    NO_DECISION = "no decision"


class StartReport(msgspec.Struct, array_like=True, frozen=True):
    """What a controller knows of the first start; encoded as an array.

    Attributes:
        epoch: epoch of the voters that it knows; 0 if none.
        seeds: addresses of the disks that decide on the first voters, by its disk or else by its settings.
        created_later: whether its disk was created after the first start, so that it may have been lost.
    """

    epoch: int
    seeds: tuple[Address, ...]
    created_later: bool


def may_be_lost_at_once(locations: list[Location], tolerance: FailureTolerance) -> bool:
    """Whether the failures to be tolerated include the loss of all disks at these locations.

    >>> may_be_lost_at_once([("a", "r"), ("a", "r")], FailureTolerance(machines=1, zones=1))
    True
    >>> may_be_lost_at_once([("a", "r"), ("b", "r")], FailureTolerance(machines=1, zones=1))
    False
    """
    return (
        len(locations) <= tolerance.machines
        or len({zone for zone, _ in locations}) <= tolerance.zones
        or len({region for _, region in locations}) <= tolerance.regions
    )


def examine_reports(
    reports: Mapping[Address, StartReport],
    seeds: tuple[Address, ...],
    known: Collection[Address],
    locations: Mapping[Address, Location],
    tolerance: FailureTolerance,
) -> Evidence:
    """Examine what controllers report of the first start.

    Args:
        reports: the reports received, by address, including this process's own.
        seeds: the seeds by this process's own report.
        known: addresses of the controllers that are known to exist, running or not.
        locations: zone and region of each known disk that may become a voter.
        tolerance: the failures that may happen at once.
    """
    if not seeds or not all(seed in reports for seed in seeds):
        return Evidence.NONE
    if any(report.epoch or report.seeds != seeds for report in reports.values()):
        return Evidence.NONE
    empty_disks = [
        locations[address]
        for address, report in reports.items()
        if report.created_later and address in locations
    ]
    if not may_be_lost_at_once(empty_disks, tolerance):
        return Evidence.NO_DECISION
    return Evidence.NO_DECISION_HEARD_OF if all(address in reports for address in known) else Evidence.NONE
