"""The coordinator of the pilot's decisions.

A host creates one `Pilot(settings)` per instance and calls `handle(now, events)`, which returns orders; both
are defined in `interface.py`.  The code does no input or output and is deterministic: the same events give
the same orders.  The mechanism is FLEX's; see `docs/design.md`.
"""

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from flintreach.pilot import demand, health, interface, load, placement, reports
from flintreach.pilot.dispatch import Dispatcher
from flintreach.pilot.interface import SECOND
from flintreach.pilot.placement import Placement
from flintreach.pilot.records import SliceTable
from flintreach.pilot.state import FleetState
from flintreach.policy.search import TURN_BUDGET_US, Costs

FULL_PLACEMENT_INTERVAL_NS = 10 * SECOND
FIRST_PLACEMENT_DELAY_NS = 4 * SECOND  # from the first call
PAUSE_NS_PER_US = 500  # pause per microsecond of a turn's budget: half as long as the turn
TABLE_COST_US = 2
SHARED_WEIGHT_UNIT = 10  # one step of weight in the shared table, in hundredths of a mean server


class Pilot:
    """Dispatches events to their handlers and runs the periodic work."""

    def __init__(self, settings: interface.Settings) -> None:
        """Create the state of an instance; its timers start with the first call of `handle`."""
        self.state = FleetState(settings)
        self.placement = Placement(self.state)
        self.dispatcher = Dispatcher(self.state)
        self.pending_work: Costs | None = None  # the periodic work that is not yet finished
        self._resume_work_ns = 0
        self._next_cost_us = 0  # cost of the next step of the pending work
        self._next_tick_ns = 0
        self._next_evaluation_ns = 0
        self._first_placement_ns = 0
        self._next_full_placement_ns = 0
        self._handlers: dict[type, Callable[[Any], None]] = {
            interface.ServerList: partial(reports.on_server_list, self.state),
            interface.ServerReport: partial(reports.on_server_report, self.state),
            interface.HostLoad: partial(reports.on_host_load, self.state),
            interface.ProbeResult: partial(reports.on_probe_result, self.state),
            interface.DemandReport: partial(demand.on_demand_report, self.state),
            interface.SliceAssignment: self._on_slice_assignment,
            interface.SliceReplica: self._on_slice_replica,
            interface.ProxyJoined: self.dispatcher.on_proxy_joined,
            interface.ProxyLeft: self.dispatcher.on_proxy_left,
            interface.OrdersApplied: self.dispatcher.on_orders_applied,
            interface.SearchResult: placement.on_search_result,
        }

    def handle(self, now: int, events: Iterable[object]) -> list[object]:
        """Process events in the order in which they arrived, and decide.

        Args:
            now: monotonic clock, in nanoseconds.
            events: as defined in `interface`; those without a handler are ignored.

        Returns:
            Orders; those returned by one call reach each proxy as one message.
        """
        state = self.state
        state.now_ns = now
        state.orders = []
        if not self._next_tick_ns:
            self._start()
        for event in events:
            handler = self._handlers.get(type(event))
            if handler:
                handler(event)
        if now >= self._next_tick_ns:
            self._tick()
        elif self.pending_work and now >= self._resume_work_ns:
            urgent = state.orders_due or state.orders  # pending work must not delay orders
            self._run_pending_work(0 if urgent else TURN_BUDGET_US)
        if state.orders_due:
            state.orders_due = False
            placement.evacuate(state)
            self.dispatcher.send()
        return state.orders

    def _start(self) -> None:
        self._first_placement_ns = self.state.now_ns + FIRST_PLACEMENT_DELAY_NS
        self._next_full_placement_ns = self._first_placement_ns
        if self.state.settings.server_list_on_request:
            self.state.orders.append(interface.WatchServers(True))

    def _on_slice_assignment(self, event: interface.SliceAssignment) -> None:
        self.state.add_table(SliceTable(event.slice, event.owned, self.state.now_ns))

    def _on_slice_replica(self, event: interface.SliceReplica) -> None:
        table = self.state.tables[event.slice]
        server = self.state.server(event.server)
        table.ordered[server] = event.weight
        table.desired[server] = event.weight
        table.replicas = max(1, len(table.desired))

    def _tick(self) -> None:
        """Check timers and failed probes, and start the periodic work once a second."""
        state = self.state
        self._next_tick_ns = state.now_ns + health.TICK_NS
        state.orders.append(interface.SetTimer(self._next_tick_ns))
        health.check_timers(state)
        health.check_failed_probes(state)
        if state.now_ns >= self._next_evaluation_ns and not self.pending_work:
            self._next_evaluation_ns = state.now_ns + SECOND
            self.pending_work = self.periodic_work()
            self._run_pending_work(TURN_BUDGET_US)
        state.orders_due = True

    def _run_pending_work(self, budget_us: int) -> None:
        """Run pending work within a budget: at least one step, unless the budget is 0.

        The work grows with the fleet, so it is spread over turns and other events are handled in between.
        """
        state = self.state
        spent_us = 0
        while budget_us and (not spent_us or spent_us + self._next_cost_us <= budget_us):
            spent_us += self._next_cost_us
            next_cost_us = next(self.pending_work, None)
            if next_cost_us is None:
                self.pending_work = None
                self._next_cost_us = 0
                state.orders_due = True
                return
            self._next_cost_us = next_cost_us
        # One call spans several iterations of the host's event loop, so a pause of half a turn is enough
        # for other events.
        self._resume_work_ns = state.now_ns + TURN_BUDGET_US * PAUSE_NS_PER_US
        state.orders.append(interface.SetTimer(self._resume_work_ns))

    def periodic_work(self) -> Costs:
        """Run what is due each second: rates, health, foreign load and placement."""
        state = self.state
        yield from demand.update_rates(state)
        yield from health.evaluate(state)
        yield TABLE_COST_US * len(state.tables)
        load.update_foreign_load(state)
        yield TABLE_COST_US * len(state.tables)
        state.forget_removed_servers()
        placement.evacuate(state)
        if state.shared_table:  # all available servers, weighted by quota
            state.shared_table.desired = {
                server: max(1, round(quota / SHARED_WEIGHT_UNIT)) for server, quota in state.quotas().items()
            }
        elif state.now_ns >= self._first_placement_ns:
            full = state.now_ns >= self._next_full_placement_ns
            if full:
                self._next_full_placement_ns = state.now_ns + FULL_PLACEMENT_INTERVAL_NS
            yield from self.placement.run(full)
