"""Quotas of crowded servers, and levels of the cheapest operation."""

import pytest

from flintreach.pilot import admission
from flintreach.pilot.interface import SECOND
from tests.helpers import Fleet


@pytest.mark.parametrize("span, falls", [(1, 4), (6, 2)])
def test_a_quota_falls_again_once_sums_of_after_the_first_fall_have_come(span, falls):
    """With hundreds of servers a line covers seconds: levels fell to nothing before one told of the first."""
    fleet = Fleet(servers=4, slices=24)
    fleet.pilot.state.report_span_ns = span * SECOND
    state, told, now = fleet.pilot.state.server(fleet.servers[1]), [], 200
    state.lateness = 2.0
    for second in range(8):
        fleet.pilot.state.now_ns = (now + second) * SECOND
        admission.adjust(fleet.pilot.state, state, 2.0, 0.0)
        told.append(state.capacity_share)
    assert len(set(told)) == falls


@pytest.mark.parametrize("late, level", [(0.9, 1.0), (1.25, 0.8), (5.0, 0.4)])
def test_one_fall_of_a_level_goes_by_lateness_and_not_to_nothing(late, level):
    fleet = Fleet(servers=4, slices=24)
    state = fleet.pilot.state.server(fleet.servers[1])
    state.lateness, fleet.pilot.state.now_ns = late, 200 * SECOND
    admission.adjust(fleet.pilot.state, state, 2.0, 0.0)
    assert state.admission_level == level


def test_late_answers_lower_the_cheapest_operation_and_silence_does_not():
    """An operation that fails on many servers leaves invocations unanswered; letting in less helps nobody."""
    fleet = Fleet(servers=4, slices=24)
    fleet.run(5)
    fleet.failing = dict.fromkeys(fleet.servers, 0.5)
    fleet.run(8)
    assert not fleet.levels
    fleet.failing, fleet.latency = {}, SECOND
    fleet.run(8)
    assert fleet.levels and all(
        op is fleet.operations[0] and level < 0.7 for (_, op), level in fleet.levels.items()
    )
    fleet.latency = SECOND // 5
    fleet.run(20)
    assert all(level == 1 for level in fleet.levels.values())


@pytest.mark.parametrize("rate", [0, 0.1])
def test_a_level_that_leaves_too_little_to_judge_by_rises_again(rate):
    """Five in a hundred were let in for good at idle servers: fewer than six answers told of them."""
    fleet = Fleet(servers=4, slices=8)
    fleet.run(8)
    state = fleet.pilot.state.server(fleet.servers[1])
    fleet.rates = {slice_: rate if fleet.servers[1] in fleet.tables[slice_] else 4 for slice_ in fleet.slices}
    fleet.run(4)
    state.admission_level, state.lateness = 0.05, 5.0
    fleet.run(30)
    assert state.admission_level == 1 and all(level == 1 for level in fleet.levels.values())


def test_where_all_are_late_one_line_a_proxy_lowers_all_tables():
    """Hundreds of slices' own levels filled the channel, and the fall came half a minute late."""
    fleet = Fleet(servers=8, slices=200, proxies=40)
    fleet.run(5)
    fleet.latency = SECOND
    fleet.run(5)
    assert fleet.levels[None, fleet.operations[0]] < 0.7 and len(fleet.levels) == 1


@pytest.mark.parametrize(
    "load, lowered",
    [
        ({"queue": 0.0}, False),
        ({"queue": 5.0}, True),
        ({}, True),
        ({"util": 0.3}, False),
        ({"util": 0.9}, True),
        ({"latency_ms": 9.0}, True),
        ({"util": 0.3, "queue": 4.0}, True),
    ],
)
def test_late_answers_of_idle_servers_lower_nothing(load, lowered):
    """Far from some proxies: the way is long, and letting in less shortens it for nobody."""
    fleet = Fleet(servers=4, slices=24)
    fleet.load, fleet.latency = load, SECOND
    fleet.run(8)
    assert bool(fleet.levels) == lowered


def test_a_server_worse_off_than_its_peers_bears_less():
    """Slow, or far from some proxies: it answers, but more than half as late as its peers at their best."""
    fleet = Fleet(servers=6, slices=48)
    fleet.run(12)
    held = len(fleet.slices_of(fleet.servers[2]))
    fleet.slow = {fleet.servers[2]: SECOND * 35 // 100}
    fleet.run(20)
    assert fleet.pilot.state.server(fleet.servers[2]).capacity_share < 0.7
    assert len(fleet.slices_of(fleet.servers[2])) < held and not fleet.levels
