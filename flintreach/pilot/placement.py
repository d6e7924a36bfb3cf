"""Which server has which slice: empty tables are filled at once, the map is improved by a search.  Pure."""

from dataclasses import dataclass

from flintreach.pilot import interface
from flintreach.pilot.load import Demands, Gaps, loads, owned_quota_share
from flintreach.pilot.records import SLOW_START_MODES, Mode, ServerState, SliceTable
from flintreach.pilot.state import FleetState
from flintreach.policy.partition import Partition
from flintreach.policy.replicas import replica_count
from flintreach.policy.search import DEVIATION_STEP, Costs, Search

PERMITTED_DEVIATION = 30.0  # permitted to one pilot, in hundredths of a mean server
FLEET_PERMITTED_DEVIATION = 70.0  # permitted to all pilots
DEVIATION_SLACK = 1 / 3  # beyond the permitted one, before a run begins
MEMORY_WEIGHT = 0.25  # of memory against demand
TABLE_COST_US = 2
SERVER_COST_US = 2
APPLY_COST_US = 3  # of one table


@dataclass(slots=True)
class SearchRun:
    """A search and what stood when it began; positions in the search are those in these lists."""

    search: Search
    tables: list[SliceTable]
    servers: list[ServerState]
    before: list[list[ServerState]]  # the servers of each table
    modes: list[tuple[Mode, bool]]  # of each server: mode, and whether it had gained


def evacuate(state: FleetState) -> None:
    """Slices leave dead, draining and ejected servers at once; no table stays empty if it can be."""
    closed = {server for server in state.servers.values() if server.unavailable}
    for table in state.owned_tables():
        if not closed.isdisjoint(table.desired):
            table.desired = {
                server: weight for server, weight in table.desired.items() if server not in closed
            }
    empty = [table for table in state.owned_tables() if not table.desired]
    if not empty:
        return
    demands, gaps = loads(state, state.quotas())
    if not gaps:
        return
    for table in empty:
        normal, in_slow_start = demands[table]
        # Many slices, or a hot one, would push a cold server over: one a run, and within its quota.
        able = [
            server
            for server in gaps
            if not server.in_slow_start or (not server.gained_slice and gaps[server] + in_slow_start <= 0)
        ]
        best = min(able or gaps, key=gaps.__getitem__)
        best.gained_slice = True
        table.desired[best] = 1.0
        gaps[best] += in_slow_start if best.in_slow_start else normal


class Placement:
    """Runs that bring load nearer to quotas with few moves, and what they remember of each other."""

    def __init__(self, state: FleetState) -> None:
        """Begin with the deviation that one pilot is permitted."""
        self._state = state
        self._deviation = PERMITTED_DEVIATION  # that the last run reached
        self._search_counter = 0  # of all runs

    def run(self, full: bool) -> Costs:
        """Search for a better map, and take it over; a full run also tries empty servers that warm up."""
        state = self._state
        yield TABLE_COST_US * len(state.tables) + SERVER_COST_US * len(state.servers)
        tables = state.owned_tables()
        quotas = state.quotas()
        for server in quotas:
            on_hold = state.now_ns < server.hold_until_ns
            server.gained_slice = server.mode == Mode.COLD and (
                on_hold or not owned_quota_share(state, server, 1)
            )
        demands, gaps = loads(state, quotas)
        if len(quotas) < 2 or not sum(normal for normal, _ in demands.values()):
            return
        most = 1 if state.settings.exclusive else len(quotas)
        for table, (normal, _) in demands.items():
            count = replica_count(table.replicas, table.surplus_runs, normal / 100, most, full)
            table.replicas, table.surplus_runs = count
        yield TABLE_COST_US * len(tables)
        run = self._prepare(quotas, demands, gaps, full)
        search = run.search
        if (
            search.initial_deviation <= self._deviation + search.deviation * DEVIATION_SLACK
            and not search.changed
        ):
            return
        if search.offloaded:
            state.orders.append(interface.RunSearch(search))
        yield from search.steps()
        yield APPLY_COST_US * len(tables)
        self._apply(run)

    def _prepare(
        self, quotas: dict[ServerState, float], demands: Demands, gaps: Gaps, full: bool
    ) -> SearchRun:
        """Describe the map that stands, and the search for a better one, by positions alone."""
        state = self._state
        tables = list(demands)
        servers = list(quotas)
        positions = {server: position for position, server in enumerate(servers)}
        share = len(tables) / len(state.tables)
        unit_memory = MEMORY_WEIGHT * 100 * len(servers) / len(state.tables)
        placements: list[set[int]] = [set() for _ in servers]
        changed = []
        for unit, table in enumerate(tables):
            targets = sorted(positions[server] for server in table.desired if server in positions)
            for target in targets:
                placements[target].add(unit)
            if len(table.desired) != table.replicas:
                changed.append((unit, targets, table.replicas))
        memory_gaps = [
            len(units) * unit_memory
            - MEMORY_WEIGHT * owned_quota_share(state, server, share) * quotas[server]
            for units, server in zip(placements, servers)
        ]
        slow_start_quotas = {
            target: max(share, owned_quota_share(state, server, 0)) * quotas[server]
            for server, target in positions.items()
            if server.in_slow_start
        }
        replica_demands = [
            (normal / table.replicas, in_slow_start / table.replicas)
            for table, (normal, in_slow_start) in demands.items()
        ]
        start = Partition(
            placements,
            memory_gaps,
            [*gaps.values()],
            replica_demands + [(0.0, 0.0)],
            unit_memory,
            slow_start_quotas,
            [server.gained_slice for server in servers],
            2 * PERMITTED_DEVIATION if full else 0.0,
        )
        permitted = min(
            PERMITTED_DEVIATION, FLEET_PERMITTED_DEVIATION * share
        )  # the pilots' deviations add up
        self._deviation = max(permitted, self._deviation - permitted * DEVIATION_STEP)
        settings = state.settings
        search = Search(
            settings.seed, self._search_counter, start, changed, permitted, settings.offload_search
        )
        modes = [(server.mode, server.gained_slice) for server in servers]
        return SearchRun(search, tables, servers, [[*table.desired] for table in tables], modes)

    def _apply(self, run: SearchRun) -> None:
        """Take the outcome over; what has gone, or has been moved, while the search ran stays so."""
        state = self._state
        search = run.search
        (self._deviation, moves), placements = search.best
        self._search_counter = search.counter
        text = f"run: gap {search.initial_deviation:.0f}, dev {self._deviation:.0f}, {moves} placements"
        state.orders.append(interface.Log(text))
        eligible = self._eligible(run)
        chosen: list[list[int]] = [[] for _ in run.tables]
        moved: set[int] = set()
        for target, (units, original) in enumerate(zip(placements, search.start.original)):
            for unit in units:
                chosen[unit].append(target)
            if units is not original:
                moved |= units ^ original
        for unit, table in enumerate(run.tables):
            targets = chosen[unit]
            before = run.before[unit]
            if unit not in moved and len(targets) == len(before):
                continue
            stands = state.tables.get(table.slice) is table and [*table.desired] == before
            if stands and targets and all(eligible[target] for target in targets):
                table.desired = {run.servers[target]: 1.0 for target in targets}

    def _eligible(self, run: SearchRun) -> list[bool]:
        """Whether each server may still gain what the search gave it."""
        quotas = self._state.quotas()
        eligible = []
        for server, (mode, had_gained_slice) in zip(run.servers, run.modes):
            gained_since = server.gained_slice and mode in SLOW_START_MODES and not had_gained_slice
            eligible.append(server in quotas and server.mode == mode and not gained_since)
        return eligible


def on_search_result(event: interface.SearchResult) -> None:
    """Take the answer of a search that was done elsewhere; its run goes on."""
    event.search.offloaded = False
    event.search.best = event.best
    event.search.counter = event.counter
