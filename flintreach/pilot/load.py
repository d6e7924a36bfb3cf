"""Load of servers against their quotas: what our slices bring, and what others' do.  Pure."""

from flintreach.pilot.admission import HIGH_UNANSWERED_SHARE
from flintreach.pilot.records import Mode, ServerState, SliceTable
from flintreach.pilot.state import MIN_DIVISOR, REPORT_CYCLE_NS, FleetState

FULL_EFFECT_SLACK = 0.4  # room of all servers from which foreign loads count in full
MAX_FOREIGN_LOAD = 1.0  # of a quota
FOREIGN_LOAD_DECAY = 0.9  # a second of silence

Demands = dict[SliceTable, tuple[float, float]]  # by table: at a usual server, at a guarded one
Gaps = dict[ServerState, float]  # by server: load less quota


def owned_quota_share(state: FleetState, server: ServerState, share: float) -> float:
    """Our part of a server's quota; it is `share` where the server isn't cold.

    Shares of a cold server's quota hold no slice: one pilot fills it all, and the others leave it.
    """
    if server.mode != Mode.COLD:
        return share
    return float(server.server.name_hash % state.settings.pilots == state.settings.number)


def loads(state: FleetState, quotas: dict[ServerState, float]) -> tuple[Demands, Gaps]:
    """Our slices' demands and the servers' gaps, in hundredths of a mean server; others' as reported."""
    tables = state.owned_tables()
    share = len(tables) / max(1, len(state.tables))
    scale = sum(quotas.values()) * share / max(sum(table.rate for table in tables), MIN_DIVISOR)
    gaps = {
        server: quota * (server.foreign_load - owned_quota_share(state, server, share))
        for server, quota in quotas.items()
    }
    # A slice may grow hot before its smoothed demand tells, and a storm's repeats fell a cold server too.
    proven_capacity = state.proven_capacity or 1 / max(scale, MIN_DIVISOR)
    demands = {table: (table.rate * scale, table.recent_rate / proven_capacity) for table in tables}
    for table, (normal, in_slow_start) in demands.items():
        for server in table.desired:
            if server in gaps:
                demand = in_slow_start if server.in_slow_start else normal
                gaps[server] += demand / len(table.desired)
    return demands, gaps


def update_foreign_load(state: FleetState) -> None:
    """Learn what loads servers beyond our slices; each pilot mends its share, lest all mend it twice."""
    quotas = state.quotas()
    share = len(state.owned_tables()) / len(state.tables)
    gaps = loads(state, quotas)[1]
    reported = {
        server: max(server.load, server.host_load)
        for server in quotas
        if server.load is not None and state.now_ns - server.reported_ns < REPORT_CYCLE_NS
    }
    total = sum(load * quotas[server] for server, load in reported.items())
    mean = total / max(1, sum(quotas[server] for server in reported))
    slack = min(
        1.0, max(0.0, 1 - mean) / FULL_EFFECT_SLACK
    )  # where all are full, what sets them apart is noise
    for server, quota in quotas.items():
        if server not in reported:
            server.foreign_load *= FOREIGN_LOAD_DECAY
        elif (
            state.now_ns > server.slices_changed_ns + REPORT_CYCLE_NS
        ):  # else the report is of before the move
            explained = mean * (1 + gaps[server] / quota - server.foreign_load)
            beyond = share * slack * (reported[server] - explained)
            # What fails at once, or has just started, only seems to have room.
            fails = server.unanswered_share > HIGH_UNANSWERED_SHARE / 2
            least = 0.0 if server.in_slow_start or fails else -MAX_FOREIGN_LOAD
            bounded = max(least, min(MAX_FOREIGN_LOAD, beyond))
            server.foreign_load += (bounded - server.foreign_load) / 2
