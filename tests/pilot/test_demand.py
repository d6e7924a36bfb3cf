"""Request rates of slices, from demand reports."""

import pytest

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND
from tests.helpers import Fleet


def test_a_retry_storm_is_not_demand():
    fleet = Fleet(servers=5, slices=20)
    fleet.run(12)
    table = fleet.pilot.state.tables[fleet.slices[3]]
    before = table.rate
    for _ in range(5):
        fleet.now += SECOND
        fleet.handle(
            interface.DemandReport(fleet.slices[3], None, fleet.operations[0], 90, 80, SECOND),
            interface.TimerFired(0),
        )
    assert table.rate <= 1.2 * before and table.recent_rate > 10 * before


@pytest.mark.parametrize("after, part", [(1, 1.0), (7, 1.0), (12, 0.0)])
def test_slices_just_taken_over_count_with_the_mean_rate_until_reports_are_due(after, part):
    """Counted as idle, they would make the known slices look heavy, and a takeover would move slices.

    An idle slice never gets a report, so the mean rate counts only for a limited time.
    """
    fleet = Fleet(servers=5, slices=40)
    taken = fleet.slices[20:]
    fleet.handle(*[interface.SliceAssignment(slice_, False) for slice_ in taken])
    fleet.run(12)
    for slice_ in taken:
        fleet.tables[slice_] = {fleet.servers[0]: 1.0}
        fleet.handle(
            interface.SliceAssignment(slice_, True), interface.SliceReplica(slice_, fleet.servers[0], 1.0)
        )
    fleet.rates = {slice_: rate for slice_, rate in fleet.rates.items() if slice_ not in taken}
    fleet.run(after)
    rates = [fleet.pilot.state.tables[slice_].rate for slice_ in taken]
    assert all(abs(rate - 4 * part) < 0.2 for rate in rates)
