"""Demand of slices, from the proxies' sums to rates.  Pure."""

from flintreach.pilot import interface, reports
from flintreach.pilot.interface import SECOND
from flintreach.pilot.records import RECENT_S, SMOOTHING_S
from flintreach.pilot.state import REPORT_CYCLE_NS, FleetState
from flintreach.policy.search import Costs

RATE_COST_US = 13  # of one slice


def on_demand_report(state: FleetState, event: interface.DemandReport) -> None:
    """Take invocations that came for a slice; without slices, all count for the shared table."""
    table = state.tables.get(event.slice) or state.shared_table
    tries = event.tries
    (is_retry_storm,) = event.kind or reports.classify(event, 0)
    if is_retry_storm and table.rate:  # repeats are no demand that calls for replicas
        tries = min(tries, table.rate * event.span / SECOND * event.lines)
    table.arrivals.add(state.now_ns, event.span, tries, event.tries)
    table.reported_ns = state.now_ns


def update_rates(state: FleetState) -> Costs:
    """Work out the rates of our slices, over the smoothing time or what is known of it, and of late."""
    known = [table.rate for table in state.owned_tables() if table.reported_ns]
    normal = sum(known) / max(1, len(known))  # for slices taken over whose sums have yet to come round
    for table in state.owned_tables():
        yield RATE_COST_US
        end_ns = max(table.reported_ns, state.now_ns - REPORT_CYCLE_NS)
        age_s = max(1, (end_ns - table.given_ns) / SECOND)
        if table.reported_ns:
            table.rate = table.arrivals.total(end_ns, SMOOTHING_S)[0] / min(SMOOTHING_S, age_s)
        else:
            young = state.now_ns < table.given_ns + SMOOTHING_S * SECOND
            table.rate = normal * young
        recent_rate = table.arrivals.total(end_ns, RECENT_S)[1] / min(RECENT_S, age_s)
        table.recent_rate = max(table.rate, recent_rate)
