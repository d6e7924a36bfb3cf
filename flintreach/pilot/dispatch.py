"""Orders to the proxies: the changes since the last ones, paced to the capacity of the channel.

Does no input or output.
"""

import itertools
from collections import deque
from enum import IntEnum
from operator import itemgetter

from flintreach.pilot import interface
from flintreach.pilot.admission import admitted_level
from flintreach.pilot.interface import SECOND
from flintreach.pilot.records import Mode, ServerState, SliceTable, Unconfirmed, Weights
from flintreach.pilot.state import FleetState

# A message that is not confirmed for so long no longer counts against the channel: confirmations can be lost.
CONFIRMATION_TIMEOUT_NS = 10 * SECOND
MIN_MESSAGE_INTERVAL_NS = SECOND // 2  # between messages that hold only deferrable changes
MAX_MARK = 65535  # marks are numbered from 1 and wrap around


class Urgency(IntEnum):
    """How soon a table's change must be sent."""

    DEFERRABLE = 0
    UNHEALTHY = 1  # the slice leaves a server that is not healthy
    DRAIN = 2  # the slice leaves a draining server, or has no available server


# Shares of the channel's limit that changes of each urgency may fill.
CHANNEL_SHARES = {Urgency.DEFERRABLE: 0.5, Urgency.UNHEALTHY: 0.55, Urgency.DRAIN: 0.62}


class Dispatcher:
    """Compares the desired tables with the ordered ones and orders the differences."""

    def __init__(self, state: FleetState) -> None:
        """Create a dispatcher that no proxy has joined yet."""
        self._state = state
        self.unconfirmed: dict[interface.Proxy, deque[Unconfirmed]] = {}  # by proxy that has joined
        self.admission_level = 1.0  # of the cheapest operation, for all tables
        self.sent_ns = 0
        self._mark = 0

    def on_proxy_joined(self, event: interface.ProxyJoined) -> None:
        """Track the messages to a proxy; without slices, bind it to the shared table."""
        self.unconfirmed[event.proxy] = deque()
        if self._state.shared_table:
            self._state.orders.append(interface.BindProxy(self._state.shared_table.slice, event.proxy))

    def on_proxy_left(self, event: interface.ProxyLeft) -> None:
        """Stop tracking the messages to a proxy."""
        self.unconfirmed.pop(event.proxy, None)

    def on_orders_applied(self, event: interface.OrdersApplied) -> None:
        """Confirm all messages to a proxy up to a mark; an unknown mark confirms nothing."""
        waiting = self.unconfirmed.get(event.proxy, ())
        while any(message.number == event.number for message in waiting):
            waiting.popleft()

    def send(self) -> None:
        """Order the changes, most urgent first, as far as the channel has room for them."""
        state = self._state
        proxies = len(self.unconfirmed)
        changed = self._changed_tables()
        if not self._may_send(any(urgency for urgency, _ in changed)):
            return
        lines = self._update_withdrawals([table for _, table in changed])
        level = admitted_level(state, [state.median_server])
        if level != self.admission_level:  # one line per proxy; a line per slice would fill the channel
            self.admission_level = level
            lines.append(interface.SetAdmission(None, (state.cheapest,), level, 1))
        cost = proxies * (state.settings.message_head + 1 + len(lines))
        waiting = self._unconfirmed_lines()
        # Deferrable changes go out with urgent ones.
        for urgency, table in sorted(changed, key=itemgetter(0), reverse=True):
            room = CHANNEL_SHARES[urgency] * state.settings.channel_limit - waiting
            kept, table_level, delta = self._table_change(table, urgency)
            if cost + proxies * len(delta) <= room:
                cost += proxies * len(delta)
                lines += delta
                for server in table.ordered.keys() ^ table.desired.keys():
                    server.slices_changed_ns = state.now_ns
                table.ordered = kept
                table.admission_level = table_level
        if not lines:
            return
        self._mark = self._mark % MAX_MARK + 1
        state.orders += [*lines, interface.Mark(self._mark)]
        for messages in self.unconfirmed.values():
            messages.append(Unconfirmed(self._mark, cost / proxies, state.now_ns))
        self.sent_ns = state.now_ns

    def _unconfirmed_lines(self) -> float:
        """Lines that may still be queued in the channel, over all proxies."""
        now_ns = self._state.now_ns
        messages = itertools.chain.from_iterable(self.unconfirmed.values())
        return sum(
            message.lines * (now_ns < message.sent_ns + CONFIRMATION_TIMEOUT_NS) for message in messages
        )

    def _changed_tables(self) -> list[tuple[Urgency, SliceTable]]:
        """Tables of this pilot whose servers, weights or admission level differ from those ordered."""
        state = self._state
        lowered = {server for server in state.servers.values() if admitted_level(state, [server]) < 1}
        changed = []
        for table in state.tables.values():
            if not table.owned:
                continue
            level = 1.0 if lowered.isdisjoint(table.desired) else admitted_level(state, table.desired)
            if table.desired != table.ordered or table.admission_level != level:
                changed.append((self._urgency(table), table))
        return changed

    def _urgency(self, table: SliceTable) -> Urgency:
        open_servers = table.ordered.keys() - self._state.withdrawn.keys()
        left_modes = {server.mode for server in open_servers - table.desired.keys()}
        if Mode.LEAVING in left_modes or not open_servers:
            return Urgency.DRAIN
        return Urgency.UNHEALTHY if left_modes - {Mode.HEALTHY} else Urgency.DEFERRABLE

    def _may_send(self, urgent: bool) -> bool:
        """Whether the limit on messages, and the minimum interval of deferrable ones, allow one now."""
        settings = self._state.settings
        interval_ns: float = 0  # an int, since adding a float to the clock's nanoseconds would lose digits
        if settings.messages_most:
            interval_ns = settings.messages_window / max(1, settings.messages_most - 1)
        if self._state.now_ns < self.sent_ns + interval_ns:
            return False
        return urgent or self._state.now_ns >= self.sent_ns + max(MIN_MESSAGE_INTERVAL_NS, 2 * interval_ns)

    def _update_withdrawals(self, changed: list[SliceTable]) -> list[object]:
        """Withdraw leaving and ejected servers from all proxies, and restore those that may serve again.

        Moving the slices of a whole zone can occupy the channel beyond the drain grace period; a withdrawal
        takes one line per proxy and takes effect before.
        """
        state = self._state
        tables = state.owned_tables() if state.withdrawn else []
        ordered = {server for table in tables for server in table.ordered}
        left: dict[ServerState, None] = {}
        for table in changed:
            if table is not state.shared_table:
                left |= dict.fromkeys(server for server in table.ordered if server not in table.desired)
        unusable = [server for server in left if server.mode in (Mode.LEAVING, Mode.EJECTED)]
        added = [server for server in unusable if server not in state.withdrawn]
        restored = []
        for server in state.withdrawn:
            in_use = ordered if server.unavailable else left
            must_wait = server.unavailable and not changed
            if server not in in_use and not must_wait:
                restored.append(server)
        state.withdrawn = {server: None for server in [*state.withdrawn, *added] if server not in restored}
        return [interface.Withdraw(server.server, server in added) for server in added + restored]

    def _table_change(self, table: SliceTable, urgency: Urgency) -> tuple[Weights, float, list[object]]:
        """Compute a table's weights and admission level after its change, and the orders for it.

        Removals come first.
        """
        state = self._state
        # Removing the lines of a withdrawn server can wait: that is half the cost of a server failure.
        ejected = [server for server in state.withdrawn if server.mode == Mode.EJECTED] if urgency else []
        kept = {server: table.ordered[server] for server in table.ordered if server in ejected}
        kept |= table.desired
        removed = [server for server in table.ordered if server not in kept]
        changed = [server for server in table.desired if table.ordered.get(server) != table.desired[server]]
        lines: list[object] = [interface.SetWeight(table.slice, server.server, 0) for server in removed]
        lines += [
            interface.SetWeight(table.slice, server.server, table.desired[server]) for server in changed
        ]
        # Changes of the admission level wait while slices must move.
        level = table.admission_level if urgency else admitted_level(state, table.desired)
        if level != table.admission_level:
            lines.append(interface.SetAdmission(table.slice, (state.cheapest,), level, 1))
        return kept, level, lines
