"""Digests of all orders in recorded simulations, which detect any unintended change of a decision.

The periodic work runs in one turn here.  A change that is meant to alter decisions records new digests and
gives the reason in its commit.
"""

import pytest

from flintreach.pilot import interface, logic
from flintreach.pilot.interface import SECOND
from flintreach.standins.worlds import SimulatedFleet

RECORDED = [
    ((1, 5, 3, 20), 40, "5ae76b131fe8e359"),
    ((2, 12, 4, 60), 60, "9e74dfc8d01122bf"),
    ((3, 30, 10, 200), 40, "4002da792f2ee006"),
    ((4, 60, 10, 400), 20, "d39fef759fa70c0e"),
    ((5, 3, 2, 8), 60, "5ce661a2297e1f65"),
    ((7, 120, 5, 900), 12, "38f57d8d7aa72889"),
]


@pytest.fixture(autouse=True)
def one_turn(monkeypatch):
    monkeypatch.setattr(logic, "TURN_BUDGET_US", 10**18)


@pytest.mark.parametrize("size, seconds, digest", RECORDED)
def test_orders_match_the_recorded_digest(size, seconds, digest):
    assert SimulatedFleet(logic.Pilot, *size).run(seconds) == digest


@pytest.mark.parametrize("busy, age", [(0.0, 0), (1.0, 300 * SECOND), (0.5, 3 * SECOND)])
def test_idle_hosts_and_old_host_loads_change_no_order(busy, age):
    """As in an outage of the monitoring system of five minutes, and in the burst of data after it."""
    size, seconds, digest = RECORDED[1]
    fleet = SimulatedFleet(logic.Pilot, *size)
    handle = fleet.pilot.handle

    def handle_with_loads(now, events):
        return handle(now, [interface.HostLoad(server, busy, age) for server in fleet.servers] + events)

    fleet.pilot.handle = handle_with_loads
    assert fleet.run(seconds) == digest


def test_a_busy_host_changes_orders():
    size, seconds, digest = RECORDED[1]
    fleet = SimulatedFleet(logic.Pilot, *size)
    handle = fleet.pilot.handle
    fleet.pilot.handle = lambda now, events: handle(
        now, [*events, interface.HostLoad(fleet.servers[0], 1.0, 0)]
    )
    assert fleet.run(seconds) != digest
