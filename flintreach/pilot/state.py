"""State of the fleet: servers and their modes, tables of slices, quotas.

All parts of the pilot share one `FleetState`, which `logic.Pilot` creates.  Does no input or output.
"""

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND
from flintreach.pilot.records import Cause, Mode, ServerState, SliceTable

# Reports on a large fleet come in turns: a gap of this length does not mean that there is no demand.
REPORT_CYCLE_NS = 3 * SECOND
RELIEF_HOLD_NS = 2 * SECOND  # for how long a cold server gains no slice after its slices were removed
FIRST_EJECTION_NS = 8 * SECOND  # doubled after each failed trial
MAX_EJECTION_DOUBLINGS = 3
EJECTION_MEMORY_NS = 60 * SECOND  # after the end of an ejection; then earlier ones no longer count
MIN_WEIGHT = 1e-6
MIN_DIVISOR = 1e-9  # replaces a sum of 0 as a divisor

ANY_MODE = "any"
# New mode by the old mode and a cause; any other pair changes nothing.
TRANSITIONS: dict[tuple[str, Cause], Mode] = {
    (ANY_MODE, Cause.LEAVE): Mode.LEAVING,
    (ANY_MODE, Cause.STARTED): Mode.COLD,
    (Mode.UNKNOWN, Cause.READY): Mode.HEALTHY,
    (Mode.LEAVING, Cause.READY): Mode.HEALTHY,
    (Mode.COLD, Cause.WARM): Mode.HEALTHY,
    (Mode.COLD, Cause.OVERLOADED): Mode.COLD,
    (Mode.HEALTHY, Cause.FAILING): Mode.EJECTED,
    (Mode.COLD, Cause.FAILING): Mode.EJECTED,
    (Mode.TRIAL, Cause.FAILING): Mode.EJECTED,
    (Mode.TRIAL, Cause.RECOVERED): Mode.HEALTHY,
    (Mode.EJECTED, Cause.TRIAL_DUE): Mode.TRIAL,
}


class FleetState:
    """Servers, tables and the orders of the current turn."""

    def __init__(self, settings: interface.Settings) -> None:
        """Create a table for each slice, none of them owned; without slices, one shared table."""
        self.settings = settings
        self.now_ns = 0
        self.orders: list[object] = []  # of the current turn
        self.orders_due = False  # whether something has changed that may need orders at once
        self.servers: dict[interface.Server, ServerState] = {}  # in the order in which they became known
        self.tables = {slice_: SliceTable(slice_) for slice_ in settings.slices}
        self.shared_table: SliceTable | None = None  # without slices
        if not settings.slices:
            self.shared_table = SliceTable(interface.Slice(0), True)
            self.tables[self.shared_table.slice] = self.shared_table
        self.withdrawn: dict[ServerState, None] = {}  # from all proxies, in the order of withdrawal
        self.report_span_ns = SECOND  # time that a report covers, smoothed
        self.median_server = ServerState(None)  # stands for the fleet, with the median of all latenesses
        # Highest rate of answers so far, per second and hundredth of a mean server.
        self.proven_capacity = 0.0
        self.operations = sorted(settings.operations, key=lambda operation: operation.billed_value)
        self._owned_tables: list[SliceTable] | None = None

    @property
    def cheapest(self) -> interface.Operation:
        """The operation with the lowest billed value.

        Health is evaluated against its latency objective, and it is the one whose admission is limited.
        """
        return self.operations[0]

    def server(self, server: interface.Server) -> ServerState:
        """Get the state of a server, which is added if it is new."""
        return self.servers.get(server) or self.servers.setdefault(server, ServerState(server))

    def add_table(self, table: SliceTable) -> None:
        """Replace the table of a slice."""
        self.tables[table.slice] = table
        self._owned_tables = None
        self.orders_due = True

    def owned_tables(self) -> list[SliceTable]:
        """The tables of this pilot's slices, without the shared one."""
        if self._owned_tables is None:
            owned = [table for table in self.tables.values() if table.owned]
            self._owned_tables = [table for table in owned if table is not self.shared_table]
        return self._owned_tables

    def transition(self, server: ServerState, cause: Cause, details: str = "") -> None:
        """Change a server's mode according to `TRANSITIONS`, log the change, and run the mode's entry action.

        Args:
            server: whose mode changes.
            cause: of the change.
            details: for the log line.
        """
        self.orders_due = True
        mode = TRANSITIONS.get((server.mode, cause)) or TRANSITIONS.get((ANY_MODE, cause))
        if mode is None:
            return
        if mode != server.mode and server.mode != Mode.UNKNOWN:
            text = f"server {server.server.name}: {server.mode} to {mode}: {cause} {details}"
            self.orders.append(interface.Log(text))
        server.mode = mode
        if mode == Mode.COLD:  # it has started, or is overloaded
            self._remove_slices(server)
        elif mode == Mode.EJECTED:
            self._record_ejection(server)

    def _remove_slices(self, server: ServerState) -> None:
        """Remove all slices from a cold server, which their load would overload."""
        for table in self.owned_tables():
            table.desired.pop(server, None)
        server.gained_slice = True
        server.hold_until_ns = self.now_ns + RELIEF_HOLD_NS

    def _record_ejection(self, server: ServerState) -> None:
        if self.now_ns >= server.ejected_until_ns + EJECTION_MEMORY_NS:
            server.recent_ejections = 0
        server.recent_ejections += 1
        doublings = min(server.recent_ejections - 1, MAX_EJECTION_DOUBLINGS)
        server.ejected_until_ns = self.now_ns + FIRST_EJECTION_NS * 2**doublings

    def available_share(self, server: ServerState) -> float:
        """The minimum share of its capacity that a server has; it grows linearly over the warm-up time."""
        warm_up = self.settings.warm_up
        if not warm_up:
            return 1.0
        if server.mode == Mode.TRIAL:
            age = 0
        elif server.started_ns:
            age = self.now_ns - server.started_ns
        else:
            age = warm_up
        cold_share = self.settings.cold_share
        progress = max(0, age) / max(1, warm_up)
        return min(1.0, cold_share + (1 - cold_share) * progress)

    def quotas(self) -> dict[ServerState, float]:
        """The load that each available server should have, in hundredths of a mean server."""
        shares = {
            server: server.weight * server.capacity_share * self.available_share(server)
            for server in self.servers.values()
            if not server.unavailable and server not in self.withdrawn
        }
        scale = 100 * len(shares) / max(sum(shares.values()), MIN_DIVISOR)
        return {server: share * scale for server, share in shares.items()}

    def forget_removed_servers(self) -> None:
        """Delete servers that have left and that no table holds any more.

        Servers come and go under new ids, so their states would accumulate.  One that comes back is unknown.
        """
        absent_modes = (Mode.UNKNOWN, Mode.LEAVING)
        absent = {server for server in self.servers.values() if server.mode in absent_modes}
        removed = absent - self.withdrawn.keys()
        if removed:
            for table in self.tables.values():
                removed.difference_update(table.ordered, table.desired)
        self.servers = {name: server for name, server in self.servers.items() if server not in removed}
