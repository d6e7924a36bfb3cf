"""Capacity shares of overloaded servers, and admission levels of the cheapest operation.

Does no input or output.
"""

from collections.abc import Iterable

from flintreach.pilot.interface import ADMITS_BY_SHARE, SECOND
from flintreach.pilot.records import ServerState
from flintreach.pilot.state import FleetState

OVERLOAD_PRESSURE = 0.6  # pressure above which a server can be overloaded
OVERLOAD_RATIO = 1.5  # multiple of its peers' pressure above which it is
CAPACITY_DECREASE = 0.8  # factor on the capacity share of an overloaded server
CAPACITY_INCREASE = 0.05
MIN_CAPACITY_SHARE = 0.5
MIN_LEVEL_FACTOR = 0.4  # lowest factor by which one step decreases a level
LEVEL_INCREASE = 0.2
MIN_LEVEL = 0.05
RECOVERED_LATENESS = 2 / 3  # lateness below which a level is increased
HIGH_UNANSWERED_SHARE = 0.3  # share of unanswered tries that is a pressure of 1
LEVEL_STEPS = 5  # levels are ordered in multiples of a fifth


def adjust(state: FleetState, server: ServerState, pressure: float, peer_pressure: float) -> None:
    """Decrease or increase the capacity share and the admission level of a server by its pressure.

    A server that is overloaded relative to its peers bears less; where its latency is high, less is admitted.

    Args:
        state: of the fleet.
        server: whose capacity share and admission level change.
        pressure: lateness, or unanswered share relative to `HIGH_UNANSWERED_SHARE`; 1 is high.
        peer_pressure: first quartile of the pressures of all servers.
    """
    overloaded = pressure > max(OVERLOAD_PRESSURE, OVERLOAD_RATIO * peer_pressure)
    if overloaded and state.now_ns >= server.hold_until_ns:
        server.capacity_share = max(MIN_CAPACITY_SHARE, server.capacity_share * CAPACITY_DECREASE)
        # The next decrease waits for reports that reflect this one; otherwise shares would fall to the
        # minimum before any such report arrives.
        server.hold_until_ns = state.now_ns + SECOND + state.report_span_ns
        if server.lateness > 1 and not server.idle:
            factor = max(MIN_LEVEL_FACTOR, 1 / server.lateness)
            server.admission_level = max(MIN_LEVEL, server.admission_level * factor)
    reports_idle = server.idle and server.load is not None
    few_unanswered = server.unanswered_share < HIGH_UNANSWERED_SHARE / 2
    if pressure < OVERLOAD_PRESSURE / 2 or (reports_idle and few_unanswered):
        server.capacity_share = min(1.0, server.capacity_share + CAPACITY_INCREASE)
    recovered = server.lateness < RECOVERED_LATENESS
    server.admission_level = min(1.0, server.admission_level + LEVEL_INCREASE * recovered)


def admitted_level(state: FleetState, servers: Iterable[ServerState]) -> float:
    """The lowest admission level of some servers, rounded, since each change costs a line per proxy."""
    if state.settings.admits_by != ADMITS_BY_SHARE:
        return 1.0
    lowest = min((server.admission_level for server in servers), default=1)
    return round(LEVEL_STEPS * lowest) / LEVEL_STEPS
