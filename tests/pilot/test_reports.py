"""Immediate effects of reports, server lists and probes."""

import pytest

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND
from tests.helpers import Fleet, cold_server_with_slices, server_report


def test_a_server_that_restarts_quickly_loses_its_slices():
    """No list showed it as gone; only the new start time shows that it is cold."""
    fleet = Fleet(servers=4, slices=24)
    fleet.run(5)
    before = len(fleet.slices_of(fleet.servers[1]))
    fleet.handle(fleet.server_list(s1=("ready", fleet.now - SECOND)))
    assert before > 4 and len(fleet.slices_of(fleet.servers[1])) <= 1
    fleet.run(3)
    assert len(fleet.slices_of(fleet.servers[1])) <= 2


def test_the_span_of_reports_is_smoothed():
    fleet = Fleet(servers=4, slices=24)
    for _ in range(300):
        fleet.handle(interface.ServerReport(0, fleet.servers[0], 8, 0, SECOND // 5, 6 * SECOND, {}))
    assert 5 * SECOND < fleet.pilot.state.report_span_ns <= 6 * SECOND


@pytest.mark.parametrize("tries, load, emptied", [(30, {}, True), (2, {}, True), (2, {"queue": 0.0}, False)])
def test_a_cold_server_with_high_latency_loses_its_slices(tries, load, emptied):
    """Its retries would sustain the overload.

    With two pilots, neither may get enough tries in its reports for an evaluation.
    """
    fleet, cold = cold_server_with_slices()
    fleet.handle(interface.ServerReport(0, cold, tries, 0, SECOND, SECOND, load))
    fleet.run(2)
    assert bool(fleet.slices_of(cold)) != emptied


@pytest.mark.parametrize(
    "status, unanswered, ejected",
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
def test_a_server_that_leaves_tries_unanswered_is_probed_and_ejected_without_an_answer(
    status, unanswered, ejected
):
    """Reports on a failure arrive in parts and seconds late.

    Without probes, proxies would go on calling a failed server for four seconds.
    """
    fleet = Fleet(slices=24, probes=True)
    fleet.run(5)
    orders = fleet.handle(server_report(fleet, 1, 10, unanswered))
    assert (interface.Probe(fleet.servers[1]) in orders) == (unanswered > 3)
    fleet.handle(
        interface.ProbeResult(fleet.servers[1], status, 0, {}) if unanswered > 3 else interface.TimerFired(0)
    )
    fleet.run(1, sums=False)
    assert bool(fleet.slices_of(fleet.servers[1])) != ejected


def test_no_server_is_probed_where_probes_are_off():
    fleet = Fleet(slices=24)
    fleet.run(5)
    assert not any(
        isinstance(order, interface.Probe) for order in fleet.handle(server_report(fleet, 1, 10, 8))
    )


def test_reports_on_a_failed_process_do_not_count_against_its_successor():
    """They arrive late; servers were ejected for eight seconds, one second after their return."""
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
