"""Which orders go to the proxies, and when: what the channel surely takes, and nothing twice.  Pure."""

import itertools
from collections import deque
from enum import IntEnum
from operator import itemgetter

from flintreach.pilot import interface
from flintreach.pilot.admission import admitted_level
from flintreach.pilot.interface import SECOND
from flintreach.pilot.records import Mode, ServerState, SliceTable, Unconfirmed, Weights
from flintreach.pilot.state import FleetState

CONFIRMATION_TIMEOUT_NS = 10 * SECOND  # how long a mark whose answer is lost holds room of the channel
MIN_MESSAGE_INTERVAL_NS = SECOND // 2  # between messages of changes that can wait
MAX_MARK = 65535  # marks are numbered from 1, and then again


class Urgency(IntEnum):
    """How soon a table's change must go out."""

    DEFERRABLE = 0
    UNHEALTHY = 1  # it must leave a server in bad health
    DRAIN = 2  # it must leave a drained server, or has no other


# Parts of the channel's limit that changes may fill.
CHANNEL_SHARES = {Urgency.DEFERRABLE: 0.5, Urgency.UNHEALTHY: 0.55, Urgency.DRAIN: 0.62}


class Dispatcher:
    """Compares what tables shall hold with what has been ordered, and orders the difference."""

    def __init__(self, state: FleetState) -> None:
        """Begin with no proxy joined."""
        self._state = state
        self.unconfirmed: dict[interface.Proxy, deque[Unconfirmed]] = {}  # by proxy that has joined
        self.admission_level = 1.0  # of the cheapest operation, at every table
        self.sent_ns = 0
        self._mark = 0

    def on_proxy_joined(self, event: interface.ProxyJoined) -> None:
        """Keep account of a proxy; without slices, bind it to the shared table."""
        self.unconfirmed[event.proxy] = deque()
        if self._state.shared_table:
            self._state.orders.append(interface.BindProxy(self._state.shared_table.slice, event.proxy))

    def on_proxy_left(self, event: interface.ProxyLeft) -> None:
        """Forget a proxy."""
        self.unconfirmed.pop(event.proxy, None)

    def on_orders_applied(self, event: interface.OrdersApplied) -> None:
        """A proxy has applied all up to a mark; an answer to no mark confirms nothing."""
        waiting = self.unconfirmed.get(event.proxy, ())
        while any(message.number == event.number for message in waiting):
            waiting.popleft()

    def send(self) -> None:
        """Order what has changed: the urgent first, then what the channel has room for."""
        state = self._state
        proxies = len(self.unconfirmed)
        changed = self._changed_tables()
        if not self._may_send(any(urgency for urgency, _ in changed)):
            return
        lines = self._update_withdrawals([table for _, table in changed])
        level = admitted_level(state, [state.median_server])
        if level != self.admission_level:  # one line a proxy, where each slice's would fill the channel
            self.admission_level = level
            lines.append(interface.SetAdmission(None, (state.cheapest,), level, 1))
        cost = proxies * (state.settings.message_head + 1 + len(lines))
        waiting = self._unconfirmed_lines()
        for urgency, table in sorted(changed, key=itemgetter(0), reverse=True):  # what can wait rides along
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
        """Lines that may still wait in the channel, at all proxies."""
        now_ns = self._state.now_ns
        messages = itertools.chain.from_iterable(self.unconfirmed.values())
        return sum(
            message.lines * (now_ns < message.sent_ns + CONFIRMATION_TIMEOUT_NS) for message in messages
        )

    def _changed_tables(self) -> list[tuple[Urgency, SliceTable]]:
        """Our tables whose servers, weights or level are not as ordered."""
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
        """Whether the limit on messages, and the pause between those that can wait, allow one now."""
        settings = self._state.settings
        interval_ns: float = 0  # an int: a float would cost the clock's figure digits
        if settings.messages_most:
            interval_ns = settings.messages_window / max(1, settings.messages_most - 1)
        if self._state.now_ns < self.sent_ns + interval_ns:
            return False
        return urgent or self._state.now_ns >= self.sent_ns + max(MIN_MESSAGE_INTERVAL_NS, 2 * interval_ns)

    def _update_withdrawals(self, changed: list[SliceTable]) -> list[object]:
        """Shut leaving and ejected servers out, and open those again that may serve.

        A zone's slices can fill the channel past the grace: one line a proxy shuts a server out before.
        """
        state = self._state
        tables = state.owned_tables() if state.withdrawn else []
        ordered = {server for table in tables for server in table.ordered}
        left: dict[ServerState, None] = {}
        for table in changed:
            if table is not state.shared_table:
                left |= dict.fromkeys(server for server in table.ordered if server not in table.desired)
        unfit = [server for server in left if server.mode in (Mode.LEAVING, Mode.EJECTED)]
        shut = [server for server in unfit if server not in state.withdrawn]
        opened = []
        for server in state.withdrawn:
            named = ordered if server.unavailable else left
            waits = server.unavailable and not changed
            if server not in named and not waits:
                opened.append(server)
        state.withdrawn = {server: None for server in [*state.withdrawn, *shut] if server not in opened}
        return [interface.Withdraw(server.server, server in shut) for server in shut + opened]

    def _table_change(self, table: SliceTable, urgency: Urgency) -> tuple[Weights, float, list[object]]:
        """Give a table as it is after its change, its level, and the lines that make it so; removals lead."""
        state = self._state
        # Lines to a server that is shut out can wait: they are half of what a death costs.
        dead = [server for server in state.withdrawn if server.mode == Mode.EJECTED] if urgency else []
        kept = {server: table.ordered[server] for server in table.ordered if server in dead} | table.desired
        removed = [server for server in table.ordered if server not in kept]
        changed = [server for server in table.desired if table.ordered.get(server) != table.desired[server]]
        lines: list[object] = [interface.SetWeight(table.slice, server.server, 0) for server in removed]
        lines += [
            interface.SetWeight(table.slice, server.server, table.desired[server]) for server in changed
        ]
        # Levels wait where slices must move.
        level = table.admission_level if urgency else admitted_level(state, table.desired)
        if level != table.admission_level:
            lines.append(interface.SetAdmission(table.slice, (state.cheapest,), level, 1))
        return kept, level, lines
