"""Request rates of slices, computed from the proxies' demand reports.  Does no input or output."""

from flintreach.pilot import interface, reports
from flintreach.pilot.interface import SECOND
from flintreach.pilot.records import RECENT_S, SMOOTHING_S
from flintreach.pilot.state import REPORT_CYCLE_NS, FleetState
from flintreach.policy.search import Costs

RATE_COST_US = 13  # per slice


def on_demand_report(state: FleetState, event: interface.DemandReport) -> None:
    """Add the invocations reported for a slice; without slices, all count for the shared table."""
    table = state.tables.get(event.slice) or state.shared_table
    tries = event.tries
    (is_retry_storm,) = event.kind or reports.classify(event, 0)
    if is_retry_storm and table.rate:  # retries are not demand that needs more replicas
        tries = min(tries, table.rate * event.span / SECOND * event.lines)
    table.arrivals.add(state.now_ns, event.span, tries, event.tries)
    table.reported_ns = state.now_ns


def update_rates(state: FleetState) -> Costs:
    """Compute the smoothed and the recent rates of this pilot's slices.

    The smoothed rate covers the smoothing window, or the time since the slice was assigned if that is less.
    """
    known = [table.rate for table in state.owned_tables() if table.reported_ns]
    mean_rate = sum(known) / max(1, len(known))  # for slices just taken over, which have no reports yet
    for table in state.owned_tables():
        yield RATE_COST_US
        end_ns = max(table.reported_ns, state.now_ns - REPORT_CYCLE_NS)
        age_s = max(1, (end_ns - table.assigned_ns) / SECOND)
        if table.reported_ns:
            table.rate = table.arrivals.total(end_ns, SMOOTHING_S)[0] / min(SMOOTHING_S, age_s)
        else:
            is_new = state.now_ns < table.assigned_ns + SMOOTHING_S * SECOND
            table.rate = mean_rate * is_new
        recent_rate = table.arrivals.total(end_ns, RECENT_S)[1] / min(RECENT_S, age_s)
        table.recent_rate = max(table.rate, recent_rate)
