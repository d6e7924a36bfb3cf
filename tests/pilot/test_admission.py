"""Capacity shares of overloaded servers, and admission levels of the cheapest operation."""

import pytest

from flintreach.pilot import admission
from flintreach.pilot.interface import SECOND
from tests.helpers import Fleet


@pytest.mark.parametrize("span, falls", [(1, 4), (6, 2)])
def test_a_capacity_share_decreases_again_only_after_reports_on_the_first_decrease(span, falls):
    """In a large fleet a report covers several seconds.

    Shares would decrease to the minimum before any report reflected the first decrease.
    """
    fleet = Fleet(servers=4, slices=24)
    fleet.pilot.state.report_span_ns = span * SECOND
    state, shares, now = fleet.pilot.state.server(fleet.servers[1]), [], 200
    state.lateness = 2.0
    for second in range(8):
        fleet.pilot.state.now_ns = (now + second) * SECOND
        admission.adjust(fleet.pilot.state, state, 2.0, 0.0)
        shares.append(state.capacity_share)
    assert len(set(shares)) == falls


@pytest.mark.parametrize("late, level", [(0.9, 1.0), (1.25, 0.8), (5.0, 0.4)])
def test_one_decrease_of_a_level_is_proportional_to_lateness_and_bounded(late, level):
    fleet = Fleet(servers=4, slices=24)
    state = fleet.pilot.state.server(fleet.servers[1])
    state.lateness, fleet.pilot.state.now_ns = late, 200 * SECOND
    admission.adjust(fleet.pilot.state, state, 2.0, 0.0)
    assert state.admission_level == level


def test_high_latency_limits_the_cheapest_operation_and_unanswered_invocations_do_not():
    """Where an operation fails on many servers, admitting fewer invocations of it does not help."""
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
def test_a_level_rises_again_where_it_leaves_too_few_tries_for_an_evaluation(rate):
    """At the minimum level an idle server gets fewer tries than an evaluation needs.

    The level would stay there for good if only evaluated servers were adjusted.
    """
    fleet = Fleet(servers=4, slices=8)
    fleet.run(8)
    state = fleet.pilot.state.server(fleet.servers[1])
    fleet.rates = {slice_: rate if fleet.servers[1] in fleet.tables[slice_] else 4 for slice_ in fleet.slices}
    fleet.run(4)
    state.admission_level, state.lateness = 0.05, 5.0
    fleet.run(30)
    assert state.admission_level == 1 and all(level == 1 for level in fleet.levels.values())


def test_one_line_per_proxy_limits_all_tables_where_all_servers_are_late():
    """Levels of hundreds of slices would fill the channel and take effect half a minute late."""
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
def test_high_latency_of_idle_servers_limits_nothing(load, lowered):
    """The latency comes from the distance to some proxies; admitting less does not reduce it."""
    fleet = Fleet(servers=4, slices=24)
    fleet.load, fleet.latency = load, SECOND
    fleet.run(8)
    assert bool(fleet.levels) == lowered


def test_a_server_that_is_slower_than_its_peers_gets_fewer_slices():
    """A server may be slow, or far from some proxies, without failing."""
    fleet = Fleet(servers=6, slices=48)
    fleet.run(12)
    before = len(fleet.slices_of(fleet.servers[2]))
    fleet.slow = {fleet.servers[2]: SECOND * 35 // 100}
    fleet.run(20)
    assert fleet.pilot.state.server(fleet.servers[2]).capacity_share < 0.7
    assert len(fleet.slices_of(fleet.servers[2])) < before and not fleet.levels
