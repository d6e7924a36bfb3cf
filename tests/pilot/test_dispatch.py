"""Orders to the proxies: what goes first, and what the channel takes."""

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


def test_a_waiting_change_that_names_a_leaving_server_becomes_urgent():
    """The ordinary change was held back by the pace when the server began to drain."""
    fleet = Fleet(messages_most=4)
    fleet.run(3)
    table = fleet.pilot.state.tables[fleet.slices[1]]
    table.desired = {fleet.pilot.state.server(fleet.servers[2]): 1.0}
    fleet.pilot.dispatcher.sent_ns = fleet.now - 4 * SECOND
    fleet.handle(fleet.server_list(s1="draining"))
    assert not fleet.slices_of(fleet.servers[1])


def test_ordinary_orders_flow_without_a_message_limit():
    fleet = Fleet(messages_most=0)
    fleet.rates[fleet.slices[0]] = 40
    fleet.run(15)
    assert len(fleet.full_weight_servers(fleet.slices[0])) > 1


def test_drains_leave_before_other_urgent_orders():
    """Where the channel has no room for all, slices of a condemned server may wait, a drained one's not."""
    fleet = Fleet(slices=24, proxies=10, channel_limit=400.0, demand=8)
    fleet.run(5)
    out, drained = fleet.pilot.state.server(fleet.servers[0]), fleet.servers[1]
    before = [fleet.slices_of(server) for server in (out.server, drained)]
    fleet.pilot.state.transition(out, Cause.FAILING)
    fleet.handle(fleet.server_list(s1="draining"))
    assert all(map(fleet.full_weight_servers, before[1])) and not all(
        map(fleet.full_weight_servers, before[0])
    )


def test_what_stands_is_replaced_before_what_is_dead_is_removed():
    """A crash of a fifth filled the channel for six seconds, half of it with lines to servers shut out."""
    fleet = Fleet(servers=8, slices=48, proxies=10, channel_limit=500.0)
    fleet.run(5)
    fleet.pilot.state.transition(fleet.pilot.state.server(fleet.servers[0]), Cause.FAILING)
    fleet.pilot.state.transition(fleet.pilot.state.server(fleet.servers[1]), Cause.FAILING)
    fleet.handle(interface.TimerFired(0))
    assert all(map(fleet.full_weight_servers, fleet.slices)) and fleet.withdrawn == set(fleet.servers[:2])
    fleet.run(8)
    assert not any(server in table for table in fleet.tables.values() for server in fleet.servers[:2])


def test_a_drain_does_not_wait_for_room_in_the_channel():
    """A zone's slices filled it past the grace, and proxies went on sending to servers that were gone."""
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


def test_answers_lost_with_the_news_do_not_hold_the_channel_for_ever():
    """The last marks stayed unanswered, so the lines of their orders seemed to wait and no order had room."""
    fleet = Fleet(slices=60, proxies=10, channel_limit=220.0)
    fleet.run(5)
    fleet.handle(fleet.server_list(s1="gone"))
    fleet.marks.clear()
    fleet.run(5)
    assert not all(map(fleet.full_weight_servers, fleet.slices))
    fleet.run(30)
    assert all(map(fleet.full_weight_servers, fleet.slices))


def test_a_slice_taken_over_opens_the_server_that_it_is_on():
    """Another pilot had put it on a server that came back; still shut out here, the slice would be bare."""
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


def test_an_answer_to_no_mark_confirms_nothing():
    fleet = Fleet(slices=24)
    fleet.run(5)
    fleet.handle(fleet.server_list(s1="gone"))
    waiting = fleet.pilot.dispatcher.unconfirmed[fleet.proxies[0]]
    held = len(waiting)
    for number in (0, 65535, 10**12):
        fleet.handle(interface.OrdersApplied(fleet.proxies[0], number, 0))
    assert held == len(waiting) > 0
    fleet.handle(interface.OrdersApplied(fleet.proxies[0], fleet.marks[-1], 0))
    assert not waiting
