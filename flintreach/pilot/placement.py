"""Placement of slices on servers.

A slice without a server gets one at once; the placement as a whole is improved by a search.  Does no input
or output.
"""

from dataclasses import dataclass

from flintreach.pilot import interface
from flintreach.pilot.load import Demands, Gaps, demands_and_gaps, owned_quota_share
from flintreach.pilot.records import SLOW_START_MODES, Mode, ServerState, SliceTable
from flintreach.pilot.state import FleetState
from flintreach.policy.partition import Partition
from flintreach.policy.replicas import replica_count
from flintreach.policy.search import DEVIATION_STEP, Costs, Search

PERMITTED_DEVIATION = 30.0  # of a load from its quota, for one pilot, in hundredths of a mean server
FLEET_PERMITTED_DEVIATION = 70.0  # the same for all pilots together
DEVIATION_SLACK = 1 / 3  # excess over the permitted deviation that starts a search, as a part of it
MEMORY_WEIGHT = 0.25  # of memory relative to demand
TABLE_COST_US = 2
SERVER_COST_US = 2
APPLY_COST_US = 3  # per table


@dataclass(slots=True)
class SearchRun:
    """A search and the state in which it began.

    Attributes:
        search: units and targets in it are indices into `tables` and `servers`.
        tables: tables of this pilot's slices.
        servers: servers that may have slices.
        before: servers of each table.
        modes: of each server, its mode and whether it had gained a slice.
    """

    search: Search
    tables: list[SliceTable]
    servers: list[ServerState]
    before: list[list[ServerState]]
    modes: list[tuple[Mode, bool]]


def evacuate(state: FleetState) -> None:
    """Move slices off unavailable servers at once; a table without a server gets one where there is any."""
    unavailable = {server for server in state.servers.values() if server.unavailable}
    for table in state.owned_tables():
        if not unavailable.isdisjoint(table.desired):
            table.desired = {
                server: weight for server, weight in table.desired.items() if server not in unavailable
            }
    empty = [table for table in state.owned_tables() if not table.desired]
    if not empty:
        return
    demands, gaps = demands_and_gaps(state, state.quotas())
    if not gaps:
        return
    for table in empty:
        normal, in_slow_start = demands[table]
        # Many slices, or a hot one, would overload a cold server: it gains one per run, within its quota.
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
    """Placement runs, which bring loads closer to quotas with few moves, and the state kept between them."""

    def __init__(self, state: FleetState) -> None:
        """Create the state kept between runs, with the deviation that one pilot is permitted."""
        self._state = state
        self._deviation = PERMITTED_DEVIATION  # that the last run reached
        self._search_counter = 0  # random draws of all runs

    def run(self, full: bool) -> Costs:
        """Search for a better placement and apply it.

        A full run also counts empty servers in slow start as deviating, so that they get slices.
        """
        state = self._state
        yield TABLE_COST_US * len(state.tables) + SERVER_COST_US * len(state.servers)
        tables = state.owned_tables()
        quotas = state.quotas()
        for server in quotas:
            on_hold = state.now_ns < server.hold_until_ns
            server.gained_slice = server.mode == Mode.COLD and (
                on_hold or not owned_quota_share(state, server, 1)
            )
        demands, gaps = demands_and_gaps(state, quotas)
        if len(quotas) < 2 or not sum(normal for normal, _ in demands.values()):
            return
        max_replicas = 1 if state.settings.exclusive else len(quotas)
        for table, (normal, _) in demands.items():
            table.replicas, table.surplus_runs = replica_count(
                table.replicas, table.surplus_runs, normal / 100, max_replicas, full
            )
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
        """Describe the current placement, and the search for a better one, by indices alone."""
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
        # The deviations that several pilots leave add up.
        permitted = min(PERMITTED_DEVIATION, FLEET_PERMITTED_DEVIATION * share)
        self._deviation = max(permitted, self._deviation - permitted * DEVIATION_STEP)
        settings = state.settings
        search = Search(
            settings.seed, self._search_counter, start, changed, permitted, settings.offload_search
        )
        modes = [(server.mode, server.gained_slice) for server in servers]
        return SearchRun(search, tables, servers, [[*table.desired] for table in tables], modes)

    def _apply(self, run: SearchRun) -> None:
        """Apply the result, except for tables and servers that have changed while the search ran."""
        state = self._state
        search = run.search
        (self._deviation, moves), placements = search.best
        self._search_counter = search.counter
        deviations = f"{search.initial_deviation:.0f} -> {self._deviation:.0f}"
        text = f"placement search: deviation {deviations}, {moves} placements changed"
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
            unchanged = state.tables.get(table.slice) is table and [*table.desired] == before
            if unchanged and targets and all(eligible[target] for target in targets):
                table.desired = {run.servers[target]: 1.0 for target in targets}

    def _eligible(self, run: SearchRun) -> list[bool]:
        """Whether each server may still gain the slices that the search gave it."""
        quotas = self._state.quotas()
        eligible = []
        for server, (mode, had_gained_slice) in zip(run.servers, run.modes):
            gained_since = server.gained_slice and mode in SLOW_START_MODES and not had_gained_slice
            eligible.append(server in quotas and server.mode == mode and not gained_since)
        return eligible


def on_search_result(event: interface.SearchResult) -> None:
    """Store the result of a search that another process has done, so that its run continues."""
    event.search.offloaded = False
    event.search.best = event.best
    event.search.counter = event.counter
