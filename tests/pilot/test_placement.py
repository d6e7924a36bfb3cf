"""Placement of slices: replicas, cold servers, searches."""

import pytest

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND
from tests.helpers import Fleet, cold_server_with_slices


def slices_after_growth(number: int, pilots: int = 5, name_hashes: tuple[int, ...] = (0, 0, 0)) -> list[int]:
    """Numbers of slices on three servers that have just started, among nine.

    The warm servers are full, and a fifth of the slices is assigned to this pilot.
    """
    fleet = Fleet(servers=9, slices=90, pilots=pilots, number=number, warm_up=60 * SECOND)
    for server, name_hash in zip(fleet.servers[6:], name_hashes):
        server.name_hash = name_hash
    fleet.handle(fleet.server_list(s6="gone", s7="gone", s8="gone"))
    fleet.handle(*[interface.SliceAssignment(slice_, False) for slice_ in fleet.slices[18:]])
    fleet.tables = {slice_: table for slice_, table in fleet.tables.items() if slice_ in fleet.slices[:18]}
    fleet.rates = dict.fromkeys(fleet.slices[:18], 4)
    fleet.run(8)
    for name in ("s6", "s7", "s8"):
        fleet.handle(fleet.server_list(**{name: ("ready", fleet.now)}))
    fleet.run(20)
    return [len(fleet.slices_of(server)) for server in fleet.servers[6:]]


def test_a_hot_slice_gains_replicas_and_loses_them_late():
    fleet = Fleet(servers=5, slices=20)
    fleet.rates[fleet.slices[3]] = 60
    fleet.run(25)
    assert len(fleet.full_weight_servers(fleet.slices[3])) > 1
    fleet.rates[fleet.slices[3]] = 4
    fleet.run(11)
    assert len(fleet.full_weight_servers(fleet.slices[3])) > 1
    fleet.run(120)
    assert len(fleet.full_weight_servers(fleet.slices[3])) == 1


def test_a_server_that_has_just_started_does_not_gain_many_slices_at_once():
    """Slices of a server that leaves in the same batch of events must not overload the cold one."""
    fleet = Fleet(servers=4, slices=40)
    fleet.run(5)
    fleet.handle(fleet.server_list(s1="gone"))
    fleet.handle(fleet.server_list(s1=("ready", fleet.now), s2="gone"))
    assert len(fleet.slices_of(fleet.servers[1])) <= 1 and not fleet.slices_of(fleet.servers[2])


def test_slices_that_become_hot_leave_a_cold_server():
    """The smoothed rate shows it too late, and most of the invocations are unanswered."""
    fleet, cold = cold_server_with_slices()
    for _ in range(2):
        fleet.now += SECOND
        hot = [
            interface.DemandReport(slice_, None, fleet.operations[0], 60, 55, SECOND)
            for slice_ in fleet.slices[4:6]
        ]
        fleet.handle(*hot, interface.TimerFired(0))
        fleet.run_pending_work(fleet.now + SECOND // 5)
    assert len(fleet.slices_of(cold)) <= 1


@pytest.mark.parametrize(
    "number, name_hashes, filled",
    [
        (0, (0, 5, 10), (True, True, True)),
        (3, (0, 5, 10), (False, False, False)),
        (3, (3, 7, 8), (True, False, True)),
        (4, (3, 7, 8), (False, False, False)),
    ],
)
def test_only_one_pilot_places_slices_on_a_cold_server(number, name_hashes, filled):
    """A fifth of a cold server's quota is less than any slice, so five equal pilots would never use it."""
    assert tuple(count > 0 for count in slices_after_growth(number, name_hashes=name_hashes)) == filled


@pytest.mark.parametrize("others, most, corrected", [(4, 4.5, True), (0, 2.5, False)])
def test_each_of_several_pilots_permits_smaller_deviations(others, most, corrected):
    """The gap is a quarter of a mean server in both cases.

    If each of five pilots permitted what a single one may, the deviations would add up to overloaded servers.
    """
    servers, each = 10, 12 * (1 + others)  # slices
    fleet = Fleet(servers=servers, slices=servers * each, pilots=1 + others, demand=2)
    keep = fleet.slices[: 12 * servers]
    fleet.handle(*[interface.SliceAssignment(slice_, False) for slice_ in fleet.slices[len(keep) :]])
    fleet.tables = {slice_: {fleet.servers[n % servers]: 1.0} for n, slice_ in enumerate(keep)}
    fleet.rates = {slice_: most if n % servers == 3 else 2.0 for n, slice_ in enumerate(keep)}
    fleet.run(14)
    assert (len(fleet.slices_of(fleet.servers[3])) < 12) == corrected
