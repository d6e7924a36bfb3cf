"""Load of servers relative to their quotas: from this pilot's slices, and from elsewhere (foreign load).

Does no input or output.
"""

from flintreach.pilot.admission import HIGH_UNANSWERED_SHARE
from flintreach.pilot.records import Mode, ServerState, SliceTable
from flintreach.pilot.state import MIN_DIVISOR, REPORT_CYCLE_NS, FleetState

FULL_EFFECT_SLACK = 0.4  # spare capacity of the fleet from which foreign load counts in full
MAX_FOREIGN_LOAD = 1.0  # in either direction, as a share of a quota
FOREIGN_LOAD_DECAY = 0.9  # per second without reports

Demands = dict[SliceTable, tuple[float, float]]  # by table: on a normal server, on one in slow start
Gaps = dict[ServerState, float]  # by server: its load minus its quota


def owned_quota_share(state: FleetState, server: ServerState, share: float) -> float:
    """This pilot's share of a server's quota: `share`, unless the server is cold.

    A fraction of a cold server's quota is too small for any slice, so one pilot, chosen by the hash of the
    server's name, uses all of it and the others none.
    """
    if server.mode != Mode.COLD:
        return share
    return float(server.server.name_hash % state.settings.pilots == state.settings.number)


def demands_and_gaps(state: FleetState, quotas: dict[ServerState, float]) -> tuple[Demands, Gaps]:
    """Compute the demands of this pilot's slices and the gaps of servers, in hundredths of a mean server.

    Foreign load counts as last estimated from reports.
    """
    tables = state.owned_tables()
    share = len(tables) / max(1, len(state.tables))
    scale = sum(quotas.values()) * share / max(sum(table.rate for table in tables), MIN_DIVISOR)
    gaps = {
        server: quota * (server.foreign_load - owned_quota_share(state, server, share))
        for server, quota in quotas.items()
    }
    # In slow start, the recent rate counts: a slice may become hot before its smoothed rate shows it, and
    # the repeats of a retry storm overload a cold server too.
    proven_capacity = state.proven_capacity or 1 / max(scale, MIN_DIVISOR)
    demands = {table: (table.rate * scale, table.recent_rate / proven_capacity) for table in tables}
    for table, (normal, in_slow_start) in demands.items():
        for server in table.desired:
            if server in gaps:
                demand = in_slow_start if server.in_slow_start else normal
                gaps[server] += demand / len(table.desired)
    return demands, gaps


def update_foreign_load(state: FleetState) -> None:
    """Estimate the load of servers beyond that of this pilot's slices.

    Each pilot compensates for its share only; otherwise several would correct the same imbalance.
    """
    quotas = state.quotas()
    share = len(state.owned_tables()) / len(state.tables)
    gaps = demands_and_gaps(state, quotas)[1]
    reported = {
        server: max(server.load, server.host_load)
        for server in quotas
        if server.load is not None and state.now_ns - server.reported_ns < REPORT_CYCLE_NS
    }
    total = sum(load * quotas[server] for server, load in reported.items())
    mean = total / max(1, sum(quotas[server] for server in reported))
    # Where all servers are fully loaded, the differences between them are noise.
    slack = min(1.0, max(0.0, 1 - mean) / FULL_EFFECT_SLACK)
    for server, quota in quotas.items():
        if server not in reported:
            server.foreign_load *= FOREIGN_LOAD_DECAY
        elif state.now_ns > server.slices_changed_ns + REPORT_CYCLE_NS:  # the report is of after the change
            explained = mean * (1 + gaps[server] / quota - server.foreign_load)
            unexplained = share * slack * (reported[server] - explained)
            # A server that fails fast, or has just started, reports a low load but has no room.
            failing = server.unanswered_share > HIGH_UNANSWERED_SHARE / 2
            min_load = 0.0 if server.in_slow_start or failing else -MAX_FOREIGN_LOAD
            bounded = max(min_load, min(MAX_FOREIGN_LOAD, unexplained))
            server.foreign_load += (bounded - server.foreign_load) / 2
