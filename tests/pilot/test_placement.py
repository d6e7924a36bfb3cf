"""Slices on servers: replicas, cold servers, runs."""

import pytest

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND
from tests.helpers import Fleet, cold_server_with_slices


def grown(number: int, pilots: int = 5, lots: tuple[int, ...] = (0, 0, 0)) -> list[int]:
    """Nine servers, each warm one full; a fifth of the slices is ours; three servers have just started."""
    fleet = Fleet(servers=9, slices=90, pilots=pilots, number=number, warm_up=60 * SECOND)
    for server, lot in zip(fleet.servers[6:], lots):
        server.name_hash = lot
    fleet.handle(fleet.server_list(s6="gone", s7="gone", s8="gone"))
    fleet.handle(*[interface.SliceAssignment(slice_, False) for slice_ in fleet.slices[18:]])
    fleet.tables = {slice_: table for slice_, table in fleet.tables.items() if slice_ in fleet.slices[:18]}
    fleet.rates = dict.fromkeys(fleet.slices[:18], 4)
    fleet.run(8)
    for name in ("s6", "s7", "s8"):
        fleet.handle(fleet.server_list(**{name: ("ready", fleet.now)}))
    fleet.run(20)
    return [len(fleet.slices_of(server)) for server in fleet.servers[6:]]


def test_hot_slice_gains_copies_and_loses_them_late():
    fleet = Fleet(servers=5, slices=20)
    fleet.rates[fleet.slices[3]] = 60
    fleet.run(25)
    assert len(fleet.full_weight_servers(fleet.slices[3])) > 1
    fleet.rates[fleet.slices[3]] = 4
    fleet.run(11)
    assert len(fleet.full_weight_servers(fleet.slices[3])) > 1
    fleet.run(120)
    assert len(fleet.full_weight_servers(fleet.slices[3])) == 1


def test_a_just_started_server_is_not_given_many_slices_at_once():
    """Slices of another server that leaves in the same batch went to the cold one, which fell over."""
    fleet = Fleet(servers=4, slices=40)
    fleet.run(5)
    fleet.handle(fleet.server_list(s1="gone"))
    fleet.handle(fleet.server_list(s1=("ready", fleet.now), s2="gone"))
    assert len(fleet.slices_of(fleet.servers[1])) <= 1 and not fleet.slices_of(fleet.servers[2])


def test_a_slice_that_grows_hot_at_a_cold_server_is_guarded():
    """Smoothed demand tells too late, and most of its invocations go unanswered."""
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
    "number, lots, filled",
    [
        (0, (0, 5, 10), (True, True, True)),
        (3, (0, 5, 10), (False, False, False)),
        (3, (3, 7, 8), (True, False, True)),
        (4, (3, 7, 8), (False, False, False)),
    ],
)
def test_one_pilot_fills_a_cold_server_and_the_others_leave_it(number, lots, filled):
    """A fifth of what a cold server bears was less than any slice: of five pilots none put one there."""
    assert tuple(held > 0 for held in grown(number, lots=lots)) == filled


@pytest.mark.parametrize("others, most, mended", [(4, 4.5, True), (0, 2.5, False)])
def test_several_pilots_permit_smaller_gaps_each(others, most, mended):
    """The gap is a quarter of a mean server both times.  Each pilot permitted what one alone may leave, and
    what five left added up to servers that jammed."""
    servers, each = 10, 12 * (1 + others)  # slices
    fleet = Fleet(servers=servers, slices=servers * each, pilots=1 + others, demand=2)
    keep = fleet.slices[: 12 * servers]
    fleet.handle(*[interface.SliceAssignment(slice_, False) for slice_ in fleet.slices[len(keep) :]])
    fleet.tables = {slice_: {fleet.servers[n % servers]: 1.0} for n, slice_ in enumerate(keep)}
    fleet.rates = {slice_: most if n % servers == 3 else 2.0 for n, slice_ in enumerate(keep)}
    fleet.run(14)
    assert (len(fleet.slices_of(fleet.servers[3])) < 12) == mended
