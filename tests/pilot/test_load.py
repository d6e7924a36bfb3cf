"""Load beyond what our slices explain."""

import pytest

from tests.helpers import Fleet, server_report


@pytest.mark.parametrize(
    "fill, moved", [((0.1, 0.5, 0.5, 0.5, 0.5, 1.0), True), ((0.7, 1.1, 1.1, 1.1, 1.1, 1.6), False)]
)
def test_a_server_that_others_fill_gets_less_of_ours_and_an_idle_one_more(fill, moved):
    """Two pilots spread their slices without a look at each other's: some servers jammed, others idled.
    Where all are full, what sets them apart is noise, and moves cost more than they mend."""
    fleet = Fleet(servers=6, slices=48)
    fleet.run(12)
    before = [len(fleet.slices_of(server)) for server in fleet.servers]
    for _ in range(25):
        fleet.run(1)
        fleet.handle(*[server_report(fleet, number, 2, 0, util=fill[number]) for number in range(6)])
    after = [len(fleet.slices_of(server)) for server in fleet.servers]
    assert (after[0] > before[0] and after[5] < before[5]) == moved and sum(after) == sum(before)


def test_a_server_that_fails_at_once_only_seems_to_have_room():
    """Its errors cost it nothing, so it reports to be idle; more slices would all be lost."""
    fleet = Fleet(servers=6, slices=48)
    fleet.run(12)
    before = len(fleet.slices_of(fleet.servers[0]))
    fleet.failing = {fleet.servers[0]: 0.5}
    for _ in range(25):
        fleet.run(1)
        fleet.handle(
            *[server_report(fleet, number, 2, number == 0, util=0.9 * (number > 0)) for number in range(6)]
        )
    assert len(fleet.slices_of(fleet.servers[0])) <= before
