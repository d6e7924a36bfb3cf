"""Orders to the proxies: their priorities, and the limits of the channel."""

import pytest

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND
from flintreach.pilot.records import Cause
from tests.helpers import Fleet


@pytest.mark.parametrize(
    "state, settings",
    [
        ("draining", {}),
        ("gone", {}),
        ("gone", {"messages_most": 12}),
        ("draining", {"channel_limit": 1500.0}),
    ],
)
def test_slices_leave_a_leaving_server_at_once(state, settings):
    fleet = Fleet(**settings)
    fleet.run(5)
    fleet.handle(fleet.server_list(s1=state))
    assert not fleet.slices_of(fleet.servers[1])
    assert all(fleet.full_weight_servers(slice_) for slice_ in fleet.slices)


def test_a_deferred_change_becomes_urgent_when_its_server_drains():
    """The change was deferred by the limit on messages when the server began to drain."""
    fleet = Fleet(messages_most=4)
    fleet.run(3)
    table = fleet.pilot.state.tables[fleet.slices[1]]
    table.desired = {fleet.pilot.state.server(fleet.servers[2]): 1.0}
    fleet.pilot.dispatcher.sent_ns = fleet.now - 4 * SECOND
    fleet.handle(fleet.server_list(s1="draining"))
    assert not fleet.slices_of(fleet.servers[1])


def test_deferrable_orders_are_sent_without_a_message_limit():
    fleet = Fleet(messages_most=0)
    fleet.rates[fleet.slices[0]] = 40
    fleet.run(15)
    assert len(fleet.full_weight_servers(fleet.slices[0])) > 1


def test_drains_are_sent_before_other_urgent_orders():
    """If the channel lacks room, slices of an ejected server may wait, those of a drained one may not."""
    fleet = Fleet(slices=24, proxies=10, channel_limit=400.0, demand=8)
    fleet.run(5)
    ejected, drained = fleet.pilot.state.server(fleet.servers[0]), fleet.servers[1]
    before = [fleet.slices_of(server) for server in (ejected.server, drained)]
    fleet.pilot.state.transition(ejected, Cause.FAILING)
    fleet.handle(fleet.server_list(s1="draining"))
    assert all(map(fleet.full_weight_servers, before[1])) and not all(
        map(fleet.full_weight_servers, before[0])
    )


def test_replacements_are_sent_before_withdrawn_servers_are_removed_from_tables():
    """A crash of a fifth of the servers occupied the channel for six seconds.

    Half of the lines only removed servers that were already withdrawn.
    """
    fleet = Fleet(servers=8, slices=48, proxies=10, channel_limit=500.0)
    fleet.run(5)
    fleet.pilot.state.transition(fleet.pilot.state.server(fleet.servers[0]), Cause.FAILING)
    fleet.pilot.state.transition(fleet.pilot.state.server(fleet.servers[1]), Cause.FAILING)
    fleet.handle(interface.TimerFired(0))
    assert all(map(fleet.full_weight_servers, fleet.slices)) and fleet.withdrawn == set(fleet.servers[:2])
    fleet.run(8)
    assert not any(server in table for table in fleet.tables.values() for server in fleet.servers[:2])


def test_a_drained_server_is_withdrawn_even_if_the_channel_is_full():
    """Moving a zone's slices fills the channel beyond the drain grace period.

    Without the withdrawal, proxies would keep sending to servers that are gone.
    """
    fleet = Fleet(slices=60, proxies=10, channel_limit=220.0)
    fleet.run(5)
    fleet.handle(fleet.server_list(s1="gone"))
    assert not all(map(fleet.full_weight_servers, fleet.slices)) and fleet.withdrawn == {fleet.servers[1]}
    fleet.run(20)
    assert all(map(fleet.full_weight_servers, fleet.slices))
    assert all(fleet.servers[1] not in table for table in fleet.tables.values())
    fleet.handle(fleet.server_list(s1=("ready", fleet.now)))
    fleet.run(2)
    assert not fleet.withdrawn


def test_lost_confirmations_do_not_occupy_the_channel_for_ever():
    """The lines of unconfirmed orders count as queued, which would leave no room for further orders."""
    fleet = Fleet(slices=60, proxies=10, channel_limit=220.0)
    fleet.run(5)
    fleet.handle(fleet.server_list(s1="gone"))
    fleet.marks.clear()
    fleet.run(5)
    assert not all(map(fleet.full_weight_servers, fleet.slices))
    fleet.run(30)
    assert all(map(fleet.full_weight_servers, fleet.slices))


def test_a_server_is_restored_when_a_slice_that_it_serves_is_taken_over():
    """Another pilot placed the slice on a server that came back after this pilot had withdrawn it.

    If the server stayed withdrawn, the slice would have no server.
    """
    fleet = Fleet(slices=24)
    fleet.run(5)
    fleet.handle(fleet.server_list(s1="gone"))
    slice_ = fleet.slices[0]
    fleet.handle(
        fleet.server_list(s1="ready"),
        interface.SliceAssignment(slice_, True),
        interface.SliceReplica(slice_, fleet.servers[1], 1.0),
    )
    fleet.run(2)
    assert not fleet.withdrawn


def test_messages_and_lines_stay_within_the_limits():
    fleet = Fleet(servers=6, slices=60, messages_most=6, channel_limit=2000.0, warm_up=4 * SECOND)
    for n in range(60):
        fleet.run(1)
        server = f"s{n % 6}"
        fleet.handle(fleet.server_list(**{server: "gone" if n % 2 else ("ready", fleet.now)}))
    sent = [
        now
        for now, orders in fleet.replies
        if any(isinstance(order, interface.SetWeight) for order in orders)
    ]
    for now in sent:
        assert sum(now - 10 * SECOND < other <= now for other in sent) <= 6


def test_a_confirmation_of_an_unknown_mark_is_ignored():
    fleet = Fleet(slices=24)
    fleet.run(5)
    fleet.handle(fleet.server_list(s1="gone"))
    waiting = fleet.pilot.dispatcher.unconfirmed[fleet.proxies[0]]
    before = len(waiting)
    for number in (0, 65535, 10**12):
        fleet.handle(interface.OrdersApplied(fleet.proxies[0], number, 0))
    assert before == len(waiting) > 0
    fleet.handle(interface.OrdersApplied(fleet.proxies[0], fleet.marks[-1], 0))
    assert not waiting
