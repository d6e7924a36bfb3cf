"""The relay: orders go out in calls, one at a time; its feed brings proxies, slices and their table lines.

A call whose outcome is unknown is settled by what the relay's store holds: a new feed connection opens with
every line.  So no order is repeated on a guess, and none is lost.
"""

import json

from flintreach.net.buffer import Buffer, Overflow
from flintreach.net.http import Connection
from flintreach.net.limits import MS
from flintreach.net.reading import DECODE_ERRORS, json_objects, nonnegative_int, nonnegative_number
from flintreach.pilot import interface

ERRORS = ("BUSY", "SYNTAX")
# (state of the sender, input) -> next state.  A pair that is not listed changes nothing.
STATES = {
    ("free", "call"): "calling",
    ("calling", "answered"): "free",
    ("calling", "rejected"): "paused",
    ("calling", "doubt"): "doubt",
    ("paused", "due"): "free",
    ("doubt", "settled"): "free",
}


class OrderSender:
    """Sends orders to the relay in batches, and keeps those that are not yet carried out.

    Orders are kept by what they set: a line, table, server, admission level or mark.  A later order on the
    same key replaces the earlier one.

    Attributes:
        state: see `STATES`.
        failures: calls that failed in a row.
        pending: orders that wait for a call, by key.
        in_flight: orders of the call that is under way or in doubt, by key.
        folded: whether `pending` may hold orders of several turns.
    """

    def __init__(self, service) -> None:
        self.service = service
        self.state = "free"
        self.failures = 0
        self.pending: dict[tuple, dict] = {}
        self.in_flight: dict[tuple, dict] = {}
        self.connection: Connection | None = None
        self.folded = False

    def encode(self, order: object) -> tuple[tuple, dict]:
        """The key of an order, and the order as the relay reads it.

        Raises:
            TypeError: the relay does not carry such orders.
        """
        names = self.service.registry.names
        match order:
            case interface.SetWeight(slice_, server, weight):
                return ("line", slice_.number, names[server]), {
                    "op": "SET",
                    "table": slice_.number,
                    "target": names[server],
                    "rps": weight,
                }
            case interface.ClearTable(slice_):
                return ("table", slice_.number), {"op": "DEL", "table": slice_.number}
            case interface.Withdraw(server, out):
                return ("out", names[server]), {"op": "OUT" if out else "IN", "target": names[server]}
            case interface.SetAdmission(slice_, operations, level, resend):
                lanes = [operation.name for operation in operations]
                message = {"op": "LIMIT", "gate": level, "again": resend}
                message |= {"table": slice_.number} if slice_ else {}
                message |= {"for": lanes} if lanes else {}
                return ("level", slice_.number if slice_ else None, *lanes), message
            case interface.Mark(number, everyone):
                return ("mark",), {"op": "SYNC", "stamp": number, "flag": int(everyone)}
        raise TypeError(f"the relay does not carry {type(order).__name__}")

    def send(self, orders: list) -> None:
        """Take the orders of one turn, which the relay makes one message to each proxy concerned."""
        self.folded = bool(self.pending)
        for order in orders:
            key, message = self.encode(order)
            if key[0] == "table":  # a cleared table makes earlier orders on its lines void
                self.pending = {k: v for k, v in self.pending.items() if k[:2] != ("line", key[1])}
            if key == ("mark",) and key in self.pending:
                message["flag"] |= self.pending[key]["flag"]
            self.pending.pop(key, None)
            self.pending[key] = message
        self.send_next()

    def forget(self, number: int) -> None:
        """Drop the orders on a slice that is withdrawn or assigned anew.

        Executed after that, they would make its table differ from what the decision logic has read of it.
        """

        def kept(orders: dict) -> dict:
            return {
                key: message
                for key, message in orders.items()
                if key[0] not in ("line", "table", "level") or key[1] != number
            }

        self.pending = kept(self.pending)
        if self.state == "doubt":
            self.in_flight = kept(self.in_flight)

    def send_next(self) -> None:
        """Make the next call with as many pending orders as fit, if none is under way."""
        if self.state != "free" or not self.pending:
            return
        keys = list(self.pending)
        if self.folded:  # orders of several turns: removals and withdrawals first, the mark last
            keys.sort(key=lambda key: (key == ("mark",), self.pending[key].get("rps", 0) > 0))
        self.in_flight = {}
        texts = []
        size = len('{"changes":[]}')
        for key in keys:
            text = json.dumps(self.pending[key], separators=(",", ":"))
            size += len(text) + 1
            if size > self.service.limits.max_call_bytes:
                break
            texts.append(text)
            self.in_flight[key] = self.pending.pop(key)
        self.transition("call")
        body = ('{"changes":[' + ",".join(texts) + "]}").encode()
        # One connection for each call: the relay may close a kept one just as a call is written to it, and
        # whether that call was executed would be unknown.
        limits = self.service.limits
        self.connection = Connection(self.service.clock, limits, self.service.store, self.on_call_end)
        self.connection.call("POST", "/batches", limits.call_timeout, body)

    def transition(self, trigger: str) -> None:
        """Feed one input to the state machine."""
        self.state = STATES.get((self.state, trigger), self.state)

    def on_call_end(self, outcome: str, status: int, body: bytes) -> None:
        """Take the outcome of the call: orders taken, a rejection to retry, or an unknown outcome."""
        self.connection.close()
        taken = error = None
        if outcome == "answered":
            try:
                answer = json.loads(body)
                error = answer.get("error")
                if error is None:
                    taken = nonnegative_int(answer["taken"], len(self.in_flight) + 1)
                elif error not in ERRORS and (status < 400 or type(error) is not str):
                    raise ValueError("malformed answer")
            except DECODE_ERRORS:
                outcome, error = "garbled", None
        if error == "SYNTAX":  # the same batch would be rejected for ever
            self.service.log.error("batch rejected by the relay as malformed", orders=len(self.in_flight))
            taken = len(self.in_flight)
        if taken is not None:
            self.on_taken(taken)
        elif error or outcome == "unsent":
            self.transition("rejected")
            self.requeue(self.in_flight)
            self.failures += 1
            self.service.log_state("relay calls", "waiting", error or outcome)
            self.service.clock.retry_later(self.failures, self.retry)
        else:
            self.transition("doubt")
            self.service.log_state("relay calls", "doubt", f"{outcome}, {len(self.in_flight)} orders")
            self.service.relay_feed.connect(again=True)

    def on_taken(self, number: int) -> None:
        """Note that the relay took so many orders of the call, refused the next and ignored the rest."""
        keys = list(self.in_flight)
        self.service.relay_feed.apply([self.in_flight[key] for key in keys[:number]])
        rest = {key: self.in_flight[key] for key in keys[number + 1 :]}
        if number < len(keys):
            self.service.log.warning("order refused by the relay", order=self.in_flight[keys[number]])
        self.in_flight = {}
        self.failures = 0
        self.requeue(rest)
        self.transition("answered")
        self.service.log_state("relay calls", "taken", f"{number} orders")
        self.send_next()

    def requeue(self, orders: dict) -> None:
        """Put orders that were not executed ahead of the pending ones, which win where keys are the same."""
        requeued = {key: message for key, message in orders.items() if key not in self.pending}
        self.pending = requeued | self.pending
        self.folded = True
        self.in_flight = {}

    def retry(self) -> None:
        """Call again after the pause that a rejection caused."""
        self.transition("due")
        self.send_next()

    def touched_slices(self) -> set[int]:
        """Slices whose lines tell whether the call under way was executed."""
        return {key[1] for key in self.in_flight if key[0] == "line"}

    def settle(self, tables: dict[int, dict[str, float]]) -> None:
        """Settle the call in doubt by the lines that the store holds; a call is executed whole or not at all.

        Args:
            tables: lines of each slice, by the number of the slice and the name of the server.
        """
        lines = [
            (message["table"], message["target"], message["rps"])
            for key, message in self.in_flight.items()
            if key[0] == "line" and key[1] in tables
        ]
        executed = bool(lines) and all(tables[number].get(name, 0) == rps for number, name, rps in lines)
        self.service.log_state("relay calls", "settled", "executed" if executed else "not executed")
        if not executed:
            self.requeue(self.in_flight)
        self.in_flight = {}
        self.transition("settled")
        self.send_next()


class FeedConnection:
    """One connection to the relay's feed, which opens with the whole state and goes on with changes.

    Attributes:
        proxies: those that this connection has named.
        slice_number: the slice whose lines are coming, if any.
        table: its lines so far.
    """

    def __init__(self, relay_feed: "RelayFeed") -> None:
        self.relay_feed = relay_feed
        self.service = relay_feed.service
        limits, clock = self.service.limits, self.service.clock
        self.buffer = Buffer(limits.max_line_bytes)
        self.proxies = set()
        self.settle_timer = None
        self.slice_number = None
        self.table = {}
        self.silence_timer = clock.start_timeout(limits.feed_silence_timeout, lambda: self.lost("silent"))
        self.connection = Connection(
            clock, limits, self.service.store, lambda outcome, status, body: self.lost(outcome), self.on_chunk
        )
        self.connection.call("GET", "/stream", limits.feed_silence_timeout)

    def lost(self, why: str) -> None:
        """End the connection, and tell the feed."""
        self.close()
        self.relay_feed.on_lost(self, why)

    def close(self) -> None:
        """End the connection."""
        self.connection.close()
        for timer in (self.silence_timer, self.settle_timer):
            if timer:
                timer.cancel()

    def on_chunk(self, data: bytes) -> None:
        """Read what has come; data that is no line of JSON objects ends the connection."""
        self.silence_timer.cancel()
        limits = self.service.limits
        self.silence_timer = self.service.clock.start_timeout(
            limits.feed_silence_timeout, lambda: self.lost("silent")
        )
        try:
            self.buffer.append(data)
            for message in json_objects(self.buffer):
                self.on_message(message)
        except (Overflow, ValueError, RecursionError) as error:
            self.lost(f"undecodable data: {type(error).__name__}")

    def on_message(self, message: dict) -> None:
        """Handle one message; an empty one is a heartbeat."""
        kind = message.get("type")
        if kind != "line":
            self.finish_slice()
        if not message:
            self.relay_feed.on_heartbeat(self)
            return
        try:
            HANDLERS.get(kind, FeedConnection.on_unknown)(self, message.get("object"))
        except DECODE_ERRORS:
            # One proxy or slice that our settings do not have: each new connection repeats it, so that
            # reconnecting would cost the messages about all others.
            self.service.count_warning("malformed relay feed message")

    def finish_slice(self) -> None:
        """Report the slice whose lines were coming.

        Its lines follow it, so it counts as assigned once something else comes, or nothing for a while.
        """
        if self.settle_timer:
            self.settle_timer.cancel()
            self.settle_timer = None
        if self.slice_number is not None:
            number, self.slice_number = self.slice_number, None
            self.relay_feed.on_assigned(self, number, self.table)

    # One method for each kind of message.

    def on_unknown(self, body: object) -> None:
        """Ignore kinds of later versions."""

    def on_hello(self, body: dict) -> None:
        """A proxy has joined."""
        proxy = self.service.proxy(body["id"])
        zone, rate = self.service.zones[body["site"]], float(nonnegative_number(body.get("rps", 0)))
        proxy.zone, proxy.rate = zone, rate
        self.proxies.add(proxy)
        self.relay_feed.on_joined(proxy, body.get("new") is True)

    def on_bye(self, body: dict) -> None:
        """A proxy has left."""
        proxy = self.service.proxy(body["id"])
        self.proxies.discard(proxy)
        self.relay_feed.on_left(proxy)

    def on_ack(self, body: dict) -> None:
        """A proxy has applied the orders up to a mark."""
        proxy = self.service.proxy(body["id"])
        number = int(nonnegative_number(body["seq"]))
        latency = int(nonnegative_number(body.get("ms", 0)) * MS)
        self.service.enqueue(interface.OrdersApplied(proxy, number, latency))

    def on_lease(self, body: dict) -> None:
        """A slice is assigned to this pilot, and its lines follow; or it is withdrawn."""
        number = body["range"]
        self.service.registry.slices[number]  # raises for one that the settings do not have
        if body["flag"] is True:
            self.slice_number = number
            self.table = {}
            self.settle_timer = self.service.clock.start_timeout(
                self.service.limits.slice_settle_time, self.finish_slice
            )
        else:
            self.relay_feed.on_withdrawn(number)

    def on_line(self, body: dict) -> None:
        """A line of the slice that came last."""
        if body["range"] == self.slice_number is not None:
            self.service.registry.server(body["target"])
            self.table[body["target"]] = float(nonnegative_number(body["rps"]))


HANDLERS = {
    "hello": FeedConnection.on_hello,
    "bye": FeedConnection.on_bye,
    "ack": FeedConnection.on_ack,
    "lease": FeedConnection.on_lease,
    "line": FeedConnection.on_line,
}


class RelayFeed:
    """Compares what feed connections bring with what the decision logic knows, and enqueues the differences.

    Attributes:
        active: the connection that has brought the whole state and brings its changes.
        opening: a connection that is still bringing the whole state.
        failures: connections that failed in a row.
        joined_proxies: as the decision logic knows them.
        tables: lines of this pilot's slices, as the relay's store holds them.
        opening_tables: those that the opening connection has brought.
    """

    def __init__(self, service) -> None:
        self.service = service
        self.active = None
        self.opening = None
        self.failures = 0
        self.joined_proxies: set[interface.Proxy] = set()
        self.tables: dict[int, dict[str, float]] = {}
        self.opening_tables: dict[int, dict[str, float]] = {}

    def connect(self, again: bool = False) -> None:
        """Open a connection beside the active one, which goes on until the new one has the whole state.

        Args:
            again: give up one that is opening, since what it brought may be older than the call in doubt.
        """
        if self.opening and again:
            self.opening.close()
        if not self.opening or again:
            self.opening_tables = {}
            self.opening = FeedConnection(self)

    def on_lost(self, connection: FeedConnection, why: str) -> None:
        """A connection has ended; connect again after a pause."""
        if connection is self.active:
            self.active = None
        elif connection is self.opening:
            self.opening = None
        else:
            return
        if not self.active:  # otherwise the active connection still brings changes
            self.service.log_state("relay feed", "lost", why)
        self.failures += 1
        self.service.clock.retry_later(self.failures, self.connect)

    def on_heartbeat(self, connection: FeedConnection) -> None:
        """The first heartbeat of a connection ends the whole state; what it did not name is gone."""
        if connection is not self.opening:
            return
        for proxy in [proxy for proxy in self.joined_proxies if proxy not in connection.proxies]:
            self.on_left(proxy)
        for number in [number for number in self.tables if number not in self.opening_tables]:
            self.on_withdrawn(number)
        if self.active:
            self.active.close()
        self.active = connection
        self.opening = None
        self.failures = 0
        self.service.log_state(
            "relay feed", "up to date", f"{len(self.joined_proxies)} proxies, {len(self.tables)} slices"
        )
        self.service.on_initial_state()
        self.settle_doubt(True)

    def settle_doubt(self, complete: bool) -> None:
        """Settle a call in doubt as soon as the opening connection has brought all slices that it touched.

        Args:
            complete: whether the connection has brought the whole state.
        """
        sender = self.service.order_sender
        touched = sender.touched_slices()
        if sender.state == "doubt" and (complete or touched and touched <= self.opening_tables.keys()):
            sender.settle(self.opening_tables)

    def on_joined(self, proxy: interface.Proxy, fresh: bool) -> None:
        """A proxy has joined; one that joined before has left first."""
        # While a second connection opens, it repeats what is known.
        if not self.opening or proxy not in self.joined_proxies or fresh:
            if proxy in self.joined_proxies:
                self.service.enqueue(interface.ProxyLeft(proxy))
            self.joined_proxies.add(proxy)
            self.service.enqueue(interface.ProxyJoined(proxy, fresh))

    def on_left(self, proxy: interface.Proxy) -> None:
        """A proxy has left."""
        if proxy in self.joined_proxies:
            self.joined_proxies.discard(proxy)
            self.service.enqueue(interface.ProxyLeft(proxy))

    def on_assigned(self, connection: FeedConnection, number: int, table: dict[str, float]) -> None:
        """A slice is this pilot's, with all lines of its table."""
        if connection is self.opening:
            self.opening_tables[number] = table
        # Known, and as ordered or as the call under way may leave it: assigned again, the slice would lose
        # its measurements.
        known = self.opening and number in self.tables
        sender = self.service.order_sender
        if not known or self.tables[number] != table and number not in sender.touched_slices():
            slice_ = self.service.registry.slices[number]
            sender.forget(number)
            self.service.enqueue(interface.SliceAssignment(slice_, True))
            for name, weight in table.items():
                server = self.service.registry.server(name)
                self.service.enqueue(interface.SliceReplica(slice_, server, weight))
        self.tables[number] = dict(table)
        self.settle_doubt(False)

    def on_withdrawn(self, number: int) -> None:
        """A slice is no longer this pilot's."""
        self.service.order_sender.forget(number)
        if self.tables.pop(number, None) is not None:
            self.service.enqueue(interface.SliceAssignment(self.service.registry.slices[number], False))

    def apply(self, orders: list[dict]) -> None:
        """Apply orders that the relay has taken to our copy of the store's tables."""
        for message in orders:
            table = self.tables.get(message.get("table"))
            if table is not None and message["op"] == "SET":
                table.pop(message["target"], None)
                if message["rps"] > 0:
                    table[message["target"]] = message["rps"]
            elif table is not None and message["op"] == "DEL":
                table.clear()
