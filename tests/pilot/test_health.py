"""Which servers are condemned, and which are not."""

import pytest

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND
from tests.helpers import Fleet, server_report


@pytest.mark.parametrize(
    "load, part", [({}, 1.0), ({"util": 0.5}, 0.5), ({"util": 0.01}, 0.3), ({"util": 2.0}, 1.0)]
)
def test_what_a_server_could_answer_is_read_from_its_load(load, part):
    """Measured by what a half idle fleet answered, each slice looked too large for any cold server."""
    proven = []
    for told in ({}, load):
        fleet = Fleet(servers=5, slices=20)
        fleet.load = told
        fleet.run(6)
        proven.append(fleet.pilot.state.proven_capacity)
    assert abs(proven[0] / proven[1] - part) < 0.02


def test_a_jam_is_told_from_a_death_by_the_late_answers_before_it():
    fleet = Fleet(demand=8)
    fleet.run(5)
    fleet.latency = SECOND
    fleet.run(4)
    fleet.failing = {fleet.servers[1]: 1.0}
    fleet.run(3)
    assert fleet.pilot.state.server(fleet.servers[1]).mode == "fit"


@pytest.mark.parametrize(
    "failing, condemned",
    [
        ({1: 1.0}, [1]),
        ({1: 0.1}, []),
        ({0: 0.3, 1: 0.3, 2: 0.3, 3: 0.3}, []),
        (dict.fromkeys(range(4), 1.0), []),
    ],
)
def test_health_is_judged_against_peers(failing, condemned):
    fleet = Fleet(demand=8)
    fleet.run(5)
    fleet.failing = {fleet.servers[n]: share for n, share in failing.items()}
    fleet.run(5)
    out = [n for n, server in enumerate(fleet.servers) if fleet.pilot.state.server(server).mode == "out"]
    assert out == condemned
    assert all(not fleet.slices_of(fleet.servers[n]) for n in condemned)


def test_the_last_warm_servers_of_a_release_are_not_condemned():
    """Crowded with all slices they answered nothing; taken out, the cold ones got everything and fell."""
    fleet = Fleet(servers=6, slices=24)
    fleet.run(5)
    fleet.handle(fleet.server_list(**{f"s{n}": ("ready", fleet.now) for n in range(2, 6)}))
    fleet.failing = dict.fromkeys(fleet.servers[:1], 1.0)
    fleet.run(6)
    assert fleet.pilot.state.server(fleet.servers[0]).mode == "fit"


def test_a_flapping_server_stays_out_longer_each_time():
    fleet = Fleet(slices=24, demand=8)
    fleet.run(5)
    fleet.failing = {fleet.servers[1]: 1.0}
    fleet.run(120)
    state = fleet.pilot.state.server(fleet.servers[1])
    assert 3 <= state.recent_ejections <= 6


def test_where_many_are_mute_at_once_the_pilot_is_cut_off_and_condemns_nobody():
    fleet = Fleet(servers=6, slices=24, probes=True)
    fleet.run(5)
    for number in range(3):
        fleet.handle(server_report(fleet, number, 10, 8))
        fleet.handle(interface.ProbeResult(fleet.servers[number], "timeout", 0, {}))
    fleet.run(1, sums=False)
    assert all(fleet.slices_of(server) for server in fleet.servers)
