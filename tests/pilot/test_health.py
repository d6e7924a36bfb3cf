"""Which servers are ejected, and which are not."""

import pytest

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND
from tests.helpers import Fleet, server_report


@pytest.mark.parametrize(
    "load, part", [({}, 1.0), ({"util": 0.5}, 0.5), ({"util": 0.01}, 0.3), ({"util": 2.0}, 1.0)]
)
def test_the_proven_capacity_takes_the_utilisation_into_account(load, part):
    """Responses alone give a half idle fleet too low a capacity.

    Each slice would then look too large for any cold server.
    """
    capacities = []
    for reported in ({}, load):
        fleet = Fleet(servers=5, slices=20)
        fleet.load = reported
        fleet.run(6)
        capacities.append(fleet.pilot.state.proven_capacity)
    assert abs(capacities[0] / capacities[1] - part) < 0.02


def test_an_overloaded_server_is_told_from_a_failed_one_by_the_high_latency_before():
    fleet = Fleet(demand=8)
    fleet.run(5)
    fleet.latency = SECOND
    fleet.run(4)
    fleet.failing = {fleet.servers[1]: 1.0}
    fleet.run(3)
    assert fleet.pilot.state.server(fleet.servers[1]).mode == "fit"


@pytest.mark.parametrize(
    "failing, ejected",
    [
        ({1: 1.0}, [1]),
        ({1: 0.1}, []),
        ({0: 0.3, 1: 0.3, 2: 0.3, 3: 0.3}, []),
        (dict.fromkeys(range(4), 1.0), []),
    ],
)
def test_health_is_evaluated_relative_to_peers(failing, ejected):
    fleet = Fleet(demand=8)
    fleet.run(5)
    fleet.failing = {fleet.servers[n]: share for n, share in failing.items()}
    fleet.run(5)
    found = [n for n, server in enumerate(fleet.servers) if fleet.pilot.state.server(server).mode == "out"]
    assert found == ejected
    assert all(not fleet.slices_of(fleet.servers[n]) for n in ejected)


def test_the_last_warm_servers_during_a_release_are_not_ejected():
    """They are overloaded by all the slices; ejecting them would overload the cold servers too."""
    fleet = Fleet(servers=6, slices=24)
    fleet.run(5)
    fleet.handle(fleet.server_list(**{f"s{n}": ("ready", fleet.now) for n in range(2, 6)}))
    fleet.failing = dict.fromkeys(fleet.servers[:1], 1.0)
    fleet.run(6)
    assert fleet.pilot.state.server(fleet.servers[0]).mode == "fit"


def test_a_flapping_server_is_ejected_for_longer_each_time():
    fleet = Fleet(slices=24, demand=8)
    fleet.run(5)
    fleet.failing = {fleet.servers[1]: 1.0}
    fleet.run(120)
    state = fleet.pilot.state.server(fleet.servers[1])
    assert 3 <= state.recent_ejections <= 6


def test_no_server_is_ejected_where_many_fail_to_answer_probes_at_once():
    """The pilot is then partitioned from them."""
    fleet = Fleet(servers=6, slices=24, probes=True)
    fleet.run(5)
    for number in range(3):
        fleet.handle(server_report(fleet, number, 10, 8))
        fleet.handle(interface.ProbeResult(fleet.servers[number], "timeout", 0, {}))
    fleet.run(1, sums=False)
    assert all(fleet.slices_of(server) for server in fleet.servers)
