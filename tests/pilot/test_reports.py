"""What reports, lists and probes change at once."""

import pytest

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND
from tests.helpers import Fleet, cold_server_with_slices, server_report


def test_a_fast_restart_is_relieved_of_its_old_load():
    """No list showed it gone: only the new start time tells that it is cold."""
    fleet = Fleet(servers=4, slices=24)
    fleet.run(5)
    held = len(fleet.slices_of(fleet.servers[1]))
    fleet.handle(fleet.server_list(s1=("ready", fleet.now - SECOND)))
    assert held > 4 and len(fleet.slices_of(fleet.servers[1])) <= 1
    fleet.run(3)
    assert len(fleet.slices_of(fleet.servers[1])) <= 2


def test_spans_of_lines_are_learned():
    fleet = Fleet(servers=4, slices=24)
    for _ in range(300):
        fleet.handle(interface.ServerReport(0, fleet.servers[0], 8, 0, SECOND // 5, 6 * SECOND, {}))
    assert 5 * SECOND < fleet.pilot.state.report_span_ns <= 6 * SECOND


@pytest.mark.parametrize("tries, load, emptied", [(30, {}, True), (2, {}, True), (2, {"queue": 0.0}, False)])
def test_a_cold_server_with_late_answers_is_emptied(tries, load, emptied):
    """Its jam fed on the retries that it caused; with two pilots neither heard enough to judge by."""
    fleet, cold = cold_server_with_slices()
    fleet.handle(interface.ServerReport(0, cold, tries, 0, SECOND, SECOND, load))
    fleet.run(2)
    assert bool(fleet.slices_of(cold)) != emptied


@pytest.mark.parametrize(
    "status, unanswered, out",
    [
        ("connect_failed", 4, True),
        ("timeout", 4, True),
        ("reset", 4, True),
        ("ok", 4, False),
        ("full", 4, False),
        ("error", 4, False),
        ("connect_failed", 1, False),
    ],
)
def test_a_server_that_leaves_tries_unanswered_is_asked_and_its_silence_condemns_it(status, unanswered, out):
    """Sums tell of a death by halves and seconds late; proxies went on calling dead servers for four."""
    fleet = Fleet(slices=24, probes=True)
    fleet.run(5)
    orders = fleet.handle(server_report(fleet, 1, 10, unanswered))
    assert (interface.Probe(fleet.servers[1]) in orders) == (unanswered > 3)
    fleet.handle(
        interface.ProbeResult(fleet.servers[1], status, 0, {}) if unanswered > 3 else interface.TimerFired(0)
    )
    fleet.run(1, sums=False)
    assert bool(fleet.slices_of(fleet.servers[1])) != out


def test_without_leave_to_ask_nobody_is_asked():
    fleet = Fleet(slices=24)
    fleet.run(5)
    assert not any(
        isinstance(order, interface.Probe) for order in fleet.handle(server_report(fleet, 1, 10, 8))
    )


def test_a_dead_process_s_sums_do_not_condemn_the_one_that_follows_it():
    """They come late: four servers went out a second after their return, for eight more."""
    fleet = Fleet(servers=8, slices=24, demand=8)
    fleet.run(5)
    fleet.handle(fleet.server_list(s1="gone"))
    fleet.run(2)
    fleet.handle(server_report(fleet, 1, 40, 40))
    fleet.handle(fleet.server_list(s1=("ready", fleet.now - 2 * SECOND)), server_report(fleet, 1, 40, 40))
    fleet.run(2)
    assert fleet.pilot.state.server(fleet.servers[1]).mode == "cold"
    fleet.now += 4 * SECOND
    fleet.handle(server_report(fleet, 1, 40, 40))
    fleet.run(1, sums=False)
    assert fleet.pilot.state.server(fleet.servers[1]).mode == "out"
