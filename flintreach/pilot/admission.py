"""How much a strained server bears, and how much of the cheapest operation is let in.  Pure."""

from collections.abc import Iterable

from flintreach.pilot.interface import ADMITS_BY_SHARE, SECOND
from flintreach.pilot.records import ServerState
from flintreach.pilot.state import FleetState

OVERLOAD_PRESSURE = 0.6  # strain from which a server is crowded
OVERLOAD_RATIO = 1.5  # and by the best quarter's
CAPACITY_DECREASE = 0.8  # factor of a crowded server's quota
CAPACITY_INCREASE = 0.05
MIN_CAPACITY_SHARE = 0.5
MIN_LEVEL_FACTOR = 0.4  # the lowest factor of one fall
LEVEL_INCREASE = 0.2
MIN_LEVEL = 0.05
RECOVERED_LATENESS = 2 / 3  # below it a level rises
HIGH_UNANSWERED_SHARE = 0.3  # part unanswered that strains a server
LEVEL_STEPS = 5  # levels are ordered in fifths


def adjust(state: FleetState, server: ServerState, pressure: float, peer_pressure: float) -> None:
    """Let a server that is worse off than its peers bear less; where it is late, let less in.

    Args:
        state: of the fleet.
        server: whose shares change.
        strain: of the server; 1 is hard.
        usual_strain: of the best quarter of its peers.
    """
    overloaded = pressure > max(OVERLOAD_PRESSURE, OVERLOAD_RATIO * peer_pressure)
    if overloaded and state.now_ns >= server.hold_until_ns:
        server.capacity_share = max(MIN_CAPACITY_SHARE, server.capacity_share * CAPACITY_DECREASE)
        # The next fall waits for reports of after this one, else shares fall to nothing meanwhile.
        server.hold_until_ns = state.now_ns + SECOND + state.report_span_ns
        if server.lateness > 1 and not server.idle:
            fall = max(MIN_LEVEL_FACTOR, 1 / server.lateness)
            server.admission_level = max(MIN_LEVEL, server.admission_level * fall)
    reports_idle = server.idle and server.load is not None
    if pressure < OVERLOAD_PRESSURE / 2 or (
        reports_idle and server.unanswered_share < HIGH_UNANSWERED_SHARE / 2
    ):
        server.capacity_share = min(1.0, server.capacity_share + CAPACITY_INCREASE)
    recovered = server.lateness < RECOVERED_LATENESS
    server.admission_level = min(1.0, server.admission_level + LEVEL_INCREASE * recovered)


def admitted_level(state: FleetState, servers: Iterable[ServerState]) -> float:
    """The lowest level of some servers; in steps, since each change costs a line at each proxy."""
    if state.settings.admits_by != ADMITS_BY_SHARE:
        return 1.0
    lowest = min((server.admission_level for server in servers), default=1)
    return round(LEVEL_STEPS * lowest) / LEVEL_STEPS
