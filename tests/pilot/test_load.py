"""Load of servers that this pilot's slices do not explain."""

import pytest

from tests.helpers import Fleet, server_report


@pytest.mark.parametrize(
    "fill, moved", [((0.1, 0.5, 0.5, 0.5, 0.5, 1.0), True), ((0.7, 1.1, 1.1, 1.1, 1.1, 1.6), False)]
)
def test_foreign_load_moves_slices_from_full_to_idle_servers(fill, moved):
    """Pilots that ignore each other's slices would overload some servers and leave others idle.

    Where all servers are full, the differences are noise, and moves cost more than they gain.
    """
    fleet = Fleet(servers=6, slices=48)
    fleet.run(12)
    before = [len(fleet.slices_of(server)) for server in fleet.servers]
    for _ in range(25):
        fleet.run(1)
        fleet.handle(*[server_report(fleet, number, 2, 0, util=fill[number]) for number in range(6)])
    after = [len(fleet.slices_of(server)) for server in fleet.servers]
    assert (after[0] > before[0] and after[5] < before[5]) == moved and sum(after) == sum(before)


def test_a_server_that_fails_fast_gains_no_slices():
    """Its errors cost it no work, so it reports a low load; more slices on it would fail too."""
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
