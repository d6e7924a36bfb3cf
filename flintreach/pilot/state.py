"""What the decisions know of the fleet: servers and their modes, tables of slices, quotas.  Pure.

All parts of the pilot's decisions share one `FleetState`; only its coordinator, `logic.Pilot`, makes it.
"""

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND
from flintreach.pilot.records import Cause, Mode, ServerState, SliceTable

REPORT_CYCLE_NS = 3 * SECOND  # sums of a large fleet come by turns: silence for so long is no lack of demand
RELIEF_HOLD_NS = 2 * SECOND  # how long a relieved cold server gains nothing
FIRST_EJECTION_NS = 8 * SECOND  # doubled by each failed trial
MAX_EJECTION_DOUBLINGS = 3  # at the most
EJECTION_MEMORY_NS = 60 * SECOND  # after an ejection; then strikes are forgotten
MIN_WEIGHT = 1e-6
MIN_DIVISOR = 1e-9  # in place of a sum that is 0 and would divide

ANY_MODE = "any"
# The mode that a cause leads to from a mode; any other pair changes nothing.
TRANSITIONS: dict[tuple[str, Cause], Mode] = {
    (ANY_MODE, Cause.LEAVE): Mode.LEAVING,
    (ANY_MODE, Cause.STARTED): Mode.COLD,
    (Mode.UNKNOWN, Cause.READY): Mode.HEALTHY,
    (Mode.LEAVING, Cause.READY): Mode.HEALTHY,
    (Mode.COLD, Cause.WARM): Mode.HEALTHY,
    (Mode.COLD, Cause.STRAINED): Mode.COLD,
    (Mode.HEALTHY, Cause.FAILING): Mode.EJECTED,
    (Mode.COLD, Cause.FAILING): Mode.EJECTED,
    (Mode.TRIAL, Cause.FAILING): Mode.EJECTED,
    (Mode.TRIAL, Cause.SOUND): Mode.HEALTHY,
    (Mode.EJECTED, Cause.DUE): Mode.TRIAL,
}


class FleetState:
    """Servers, tables and the orders of the turn in hand."""

    def __init__(self, settings: interface.Settings) -> None:
        """Begin with the slices of the settings, none of them ours; without slices, with one table."""
        self.settings = settings
        self.now_ns = 0
        self.orders: list[object] = []  # of this turn
        self.orders_due = False  # something has changed that may want orders at once
        self.servers: dict[interface.Server, ServerState] = {}  # in the order in which they were met
        self.tables = {slice_: SliceTable(slice_) for slice_ in settings.slices}
        self.shared_table: SliceTable | None = None  # without slices
        if not settings.slices:
            self.shared_table = SliceTable(interface.Slice(0), True)
            self.tables[self.shared_table.slice] = self.shared_table
        self.withdrawn: dict[ServerState, None] = {}  # withdrawn at all proxies, in order
        self.report_span_ns = SECOND  # that reports cover, smoothed
        self.median_server = ServerState(None)  # as late as the middle one
        self.proven_capacity = 0.0  # most answers a second seen for a hundredth of a mean server
        self.operations = sorted(settings.operations, key=lambda operation: operation.billed_value)
        self._owned_tables: list[SliceTable] | None = None

    @property
    def cheapest(self) -> interface.Operation:
        """The operation with the lowest billed value: it is judged by, and the first to be let in less."""
        return self.operations[0]

    def server(self, server: interface.Server) -> ServerState:
        """Give a server's state; one that is met for the first time is added."""
        return self.servers.get(server) or self.servers.setdefault(server, ServerState(server))

    def add_table(self, table: SliceTable) -> None:
        """Put a new table in place of a slice's old one."""
        self.tables[table.slice] = table
        self._owned_tables = None
        self.orders_due = True

    def owned_tables(self) -> list[SliceTable]:
        """The tables of this pilot's slices; without the shared one."""
        if self._owned_tables is None:
            ours = [table for table in self.tables.values() if table.owned]
            self._owned_tables = [table for table in ours if table is not self.shared_table]
        return self._owned_tables

    def transition(self, server: ServerState, cause: Cause, figures: str = "") -> None:
        """Change a server's mode as `TRANSITIONS` says, log it with figures, and do what belongs to it."""
        self.orders_due = True
        mode = TRANSITIONS.get((server.mode, cause)) or TRANSITIONS.get((ANY_MODE, cause))
        if mode is None:
            return
        if mode != server.mode and server.mode != Mode.UNKNOWN:
            text = f"server {server.server.name}: {server.mode} to {mode}: {cause} {figures}"
            self.orders.append(interface.Log(text))
        server.mode = mode
        if mode == Mode.COLD:  # it has started, or is strained
            self._remove_slices(server)
        elif mode == Mode.EJECTED:
            self._record_ejection(server)

    def _remove_slices(self, server: ServerState) -> None:
        """Take its slices away: its old load would push a cold server over."""
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
        """The part of its capacity that a server surely has: evenly from the cold share to all of it."""
        warm_up = self.settings.warm_up
        if not warm_up:
            return 1.0
        if server.mode == Mode.TRIAL:
            age = 0
        elif server.started_ns:
            age = self.now_ns - server.started_ns
        else:
            age = warm_up
        cold = self.settings.cold_share
        grown = max(0, age) / max(1, warm_up)
        return min(1.0, cold + (1 - cold) * grown)

    def quotas(self) -> dict[ServerState, float]:
        """What each open server shall bear, by weight and state, in hundredths of a mean one."""
        shares = {
            server: server.weight * server.capacity_share * self.available_share(server)
            for server in self.servers.values()
            if not server.unavailable and server not in self.withdrawn
        }
        scale = 100 * len(shares) / max(sum(shares.values()), MIN_DIVISOR)
        return {server: share * scale for server, share in shares.items()}

    def forget_removed_servers(self) -> None:
        """With new ids all day, what is gone must leave nothing behind; named again, it is unknown."""
        absent = (Mode.UNKNOWN, Mode.LEAVING)
        gone = {server for server in self.servers.values() if server.mode in absent} - self.withdrawn.keys()
        if gone:
            for table in self.tables.values():
                gone.difference_update(table.ordered, table.desired)
        self.servers = {name: server for name, server in self.servers.items() if server not in gone}
