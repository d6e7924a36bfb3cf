"""Modes of servers, and removal of their states."""

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND
from flintreach.pilot.state import TRANSITIONS
from tests.helpers import Fleet


def test_servers_that_come_and_go_leave_no_state_behind():
    fleet = Fleet(servers=6, slices=24, warm_up=2 * SECOND)
    fleet.run(5)
    for n in range(300):
        gone = fleet.servers.pop(0)
        fleet.servers.append(interface.Server(f"s{6 + n}"))
        fleet.handle(
            interface.ServerList(
                "delta",
                [
                    interface.ServerEntry(gone, "draining", 1.0, 0),
                    interface.ServerEntry(fleet.servers[-1], "ready", 1.0, fleet.now),
                ],
            )
        )
        fleet.run(1)
        fleet.handle(
            interface.ServerList("delta", [interface.ServerEntry(gone, "gone", 1.0, 0)]),
            interface.ServerReport(0, gone, 9, 9, 0, 1, {}),
        )
        fleet.run(2)
    assert (
        len(fleet.pilot.state.servers) <= 8
        and len(fleet.withdrawn) <= 2
        and len(fleet.pilot.state.withdrawn) <= 2
    )
    assert all(set(table) <= set(fleet.servers) for table in fleet.tables.values())


def test_transitions_cover_all_modes_and_failures_of_serving_ones():
    modes = {mode for mode, _ in TRANSITIONS} | {*TRANSITIONS.values()}
    assert modes == {"any", "unknown", "fit", "cold", "trial", "out", "leaving"}
    assert all((mode, "failing") in TRANSITIONS for mode in ("fit", "cold", "trial"))
