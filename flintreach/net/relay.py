"""The relay: orders go out in calls, one at a time; news of proxies, slices and their lines come in.

A call whose end is not known is settled by what the store holds: a new news connection opens with every
line, so nothing is ordered twice on a guess, and no order is lost.
"""

import json

from flintreach.net.buffer import Buffer, Overflow
from flintreach.net.http import Connection
from flintreach.net.limits import MS
from flintreach.net.reading import DECODE_ERRORS, json_objects, nonnegative_int, nonnegative_number
from flintreach.pilot import interface

ERRORS = ("BUSY", "SYNTAX")
# State of the calls, input, next state.  A pair that is not here changes nothing.
STATES = {
    ("free", "call"): "calling",
    ("calling", "answered"): "free",
    ("calling", "turned back"): "paused",
    ("calling", "doubt"): "doubt",
    ("paused", "due"): "free",
    ("doubt", "settled"): "free",
}


class OrderSender:
    def __init__(self, service):
        self.service, self.state, self.failures = service, "free", 0
        self.pending: dict[tuple, dict] = {}  # the last word on each line, table, server, level and mark
        self.in_flight: dict[tuple, dict] = {}  # what the call in hand carries, or the one in doubt
        self.connection, self.folded = None, False

    def encode(self, order) -> tuple[tuple, dict]:
        """What an order is the last word on, and the order as the relay reads it."""
        names = self.service.registry.names
        match order:
            case interface.SetWeight(piece, server, weight):
                return ("line", piece.number, names[server]), {
                    "op": "SET",
                    "table": piece.number,
                    "target": names[server],
                    "rps": weight,
                }
            case interface.ClearTable(piece):
                return ("table", piece.number), {"op": "DEL", "table": piece.number}
            case interface.Withdraw(server, out):
                return ("out", names[server]), {"op": "OUT" if out else "IN", "target": names[server]}
            case interface.SetAdmission(piece, operations, level, resend):
                lanes = [operation.name for operation in operations]
                told = {"op": "LIMIT", "gate": level, "again": resend}
                told |= {"table": piece.number} if piece else {}
                told |= {"for": lanes} if lanes else {}
                return ("level", piece.number if piece else None, *lanes), told
            case interface.Mark(number, everyone):
                return ("mark",), {"op": "SYNC", "stamp": number, "flag": int(everyone)}
        raise TypeError(f"the relay carries no {type(order).__name__}")

    def send(self, orders: list) -> None:
        """The orders of one reply: one message to each proxy concerned."""
        self.folded = bool(self.pending)
        for order in orders:
            key, told = self.encode(order)
            if key[0] == "table":  # nothing ordered of the table before it counts any more
                self.pending = {k: v for k, v in self.pending.items() if k[:2] != ("line", key[1])}
            if key == ("mark",) and key in self.pending:
                told["flag"] |= self.pending[key]["flag"]
            self.pending.pop(key, None)
            self.pending[key] = told
        self.push()

    def forget(self, piece: int) -> None:
        """A slice is withdrawn or given anew: carried out after that, older orders would part its table from
        what the decisions have read of it."""

        def kept(orders: dict) -> dict:
            return {
                key: told
                for key, told in orders.items()
                if key[0] not in ("line", "table", "level") or key[1] != piece
            }

        self.pending = kept(self.pending)
        if self.state == "doubt":
            self.in_flight = kept(self.in_flight)

    def push(self) -> None:
        if self.state != "free" or not self.pending:
            return
        keys = list(self.pending)
        if self.folded:  # several replies in one: removals and withdrawals first, the mark last
            keys.sort(key=lambda key: (key == ("mark",), self.pending[key].get("rps", 0) > 0))
        self.in_flight, texts, size = {}, [], len('{"changes":[]}')
        for key in keys:
            text = json.dumps(self.pending[key], separators=(",", ":"))
            size += len(text) + 1
            if size > self.service.limits.max_call_bytes:
                break
            texts.append(text)
            self.in_flight[key] = self.pending.pop(key)
        self.step("call")
        body = ('{"changes":[' + ",".join(texts) + "]}").encode()
        # A connection a call: a kept one may be closed by the relay just as a call is written to it, and
        # nobody would know whether it was carried out.
        limits = self.service.limits
        self.connection = Connection(self.service.clock, limits, self.service.store, self.done)
        self.connection.call("POST", "/batches", limits.call_timeout, body)

    def step(self, what: str) -> None:
        self.state = STATES.get((self.state, what), self.state)

    def done(self, how: str, status: int, body: bytes) -> None:
        self.connection.close()
        taken = error = None
        if how == "answered":
            try:
                answer = json.loads(body)
                error = answer.get("error")
                if error is None:
                    taken = nonnegative_int(answer["taken"], len(self.in_flight) + 1)
                elif error not in ERRORS and (status < 400 or type(error) is not str):
                    raise ValueError("spoilt")
            except DECODE_ERRORS:
                how, error = "garbled", None
        if error == "SYNTAX":  # it would be turned back for ever
            self.service.log.error("call not understood", orders=len(self.in_flight))
            taken = len(self.in_flight)
        if taken is not None:
            self.taken(taken)
        elif error or how == "unsent":
            self.step("turned back")
            self.back(self.in_flight)
            self.failures += 1
            self.service.log_state("relay calls", "waiting", error or how)
            self.service.clock.retry_later(self.failures, self.due)
        else:
            self.step("doubt")
            self.service.log_state("relay calls", "doubt", f"{how}, {len(self.in_flight)} orders")
            self.service.relay_feed.look(again=True)

    def taken(self, number: int) -> None:
        keys = list(self.in_flight)
        self.service.relay_feed.ordered([self.in_flight[key] for key in keys[:number]])
        rest = {key: self.in_flight[key] for key in keys[number + 1 :]}
        if number < len(keys):
            self.service.log.warning("order refused by the relay", order=self.in_flight[keys[number]])
        self.in_flight, self.failures = {}, 0
        self.back(rest)
        self.step("answered")
        self.service.log_state("relay calls", "taken", f"{number} orders")
        self.push()

    def back(self, orders: dict) -> None:
        """Orders not carried out go in front; later words stand."""
        self.pending = {key: told for key, told in orders.items() if key not in self.pending} | self.pending
        self.folded, self.in_flight = True, {}

    def due(self) -> None:
        self.step("due")
        self.push()

    def touched(self) -> set[int]:
        """Slices whose lines tell whether the call in hand was carried out."""
        return {key[1] for key in self.in_flight if key[0] == "line"}

    def settle(self, tables: dict[int, dict[str, float]]) -> None:
        """By the lines that the store holds; a call is carried out whole or not at all."""
        lines = [
            (told["table"], told["target"], told["rps"])
            for key, told in self.in_flight.items()
            if key[0] == "line" and key[1] in tables
        ]
        carried = bool(lines) and all(tables[n].get(name, 0) == rps for n, name, rps in lines)
        self.service.log_state("relay calls", "settled", "carried out" if carried else "not carried out")
        if not carried:
            self.back(self.in_flight)
        self.in_flight = {}
        self.step("settled")
        self.push()


class FeedConnection:
    """One news connection, which opens with all that stands."""

    def __init__(self, news: "RelayFeed"):
        self.relay_feed, self.service = news, news.service
        limits, clock = self.service.limits, self.service.clock
        self.buffer = Buffer(limits.max_line_bytes)
        self.proxies, self.timer = set(), None
        self.piece, self.table = None, {}  # the slice whose lines are coming, and what has come
        self.silence = clock.start_timeout(limits.feed_silence_timeout, lambda: self.lost("silent"))
        self.connection = Connection(
            clock, limits, self.service.store, lambda how, status, body: self.lost(how), self.take
        )
        self.connection.call("GET", "/stream", limits.feed_silence_timeout)

    def lost(self, why: str) -> None:
        self.close()
        self.relay_feed.lost(self, why)

    def close(self) -> None:
        self.connection.close()
        for timer in (self.silence, self.timer):
            if timer:
                timer.cancel()

    def take(self, data: bytes) -> None:
        self.silence.cancel()
        limits = self.service.limits
        self.silence = self.service.clock.start_timeout(
            limits.feed_silence_timeout, lambda: self.lost("silent")
        )
        try:
            self.buffer.append(data)
            for message in json_objects(self.buffer):
                self.item(message)
        except (Overflow, ValueError, RecursionError) as error:
            self.lost(f"unreadable: {type(error).__name__}")

    def item(self, message: dict) -> None:
        kind = message.get("type")
        if kind != "line":
            self.granted()
        if not message:
            return self.relay_feed.opened(self)
        try:
            KINDS.get(kind, FeedConnection.passed)(self, message.get("object"))
        except DECODE_ERRORS:
            # One proxy or slice that is not in our settings: told again by every new connection, it would
            # cost us the news of all the others.
            self.service.count_warning("news not understood")

    def granted(self) -> None:
        """A slice's lines follow it; it counts as given once something else comes, or nothing for a while."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.piece is not None:
            number, self.piece = self.piece, None
            self.relay_feed.given(self, number, self.table)

    # One method a kind of news.

    def passed(self, told: object) -> None:
        """Kinds of later versions are passed over."""

    def hello(self, told: dict) -> None:
        proxy = self.service.proxy(told["id"])
        proxy.zone, proxy.rate = (
            self.service.zones[told["site"]],
            float(nonnegative_number(told.get("rps", 0))),
        )
        self.proxies.add(proxy)
        self.relay_feed.hello(proxy, told.get("new") is True)

    def bye(self, told: dict) -> None:
        proxy = self.service.proxy(told["id"])
        self.proxies.discard(proxy)
        self.relay_feed.bye(proxy)

    def ack(self, told: dict) -> None:
        proxy = self.service.proxy(told["id"])
        self.service.enqueue(
            interface.OrdersApplied(
                proxy, int(nonnegative_number(told["seq"])), int(nonnegative_number(told.get("ms", 0)) * MS)
            )
        )

    def lease(self, told: dict) -> None:
        number = told["range"]
        self.service.registry.slices[number]
        if told["flag"] is True:
            self.piece, self.table = number, {}
            self.timer = self.service.clock.start_timeout(self.service.limits.slice_settle_time, self.granted)
        else:
            self.relay_feed.withdrawn(number)

    def line(self, told: dict) -> None:
        if told["range"] == self.piece is not None:
            self.service.registry.server(told["target"])
            self.table[told["target"]] = float(nonnegative_number(told["rps"]))


KINDS = {
    "hello": FeedConnection.hello,
    "bye": FeedConnection.bye,
    "ack": FeedConnection.ack,
    "lease": FeedConnection.lease,
    "line": FeedConnection.line,
}


class RelayFeed:
    """What the feeds tell, compared with what the decisions were told: nothing unchanged is told twice."""

    def __init__(self, service):
        self.service, self.feed, self.new, self.failures = service, None, None, 0
        self.joined_proxies: set[interface.Proxy] = set()
        self.tables: dict[int, dict[str, float]] = {}  # of our slices, as the store holds them
        self.stands: dict[int, dict[str, float]] = {}  # told by the connection that opens

    def look(self, again: bool = False) -> None:
        """A new connection beside the old one, which goes on until all that stands has been told."""
        if self.new and again:  # what it told may be older than the call in doubt
            self.new.close()
        if not self.new or again:
            self.stands = {}
            self.new = FeedConnection(self)

    def lost(self, feed: FeedConnection, why: str) -> None:
        if feed is self.feed:
            self.feed = None
        elif feed is self.new:
            self.new = None
        else:
            return
        if not self.feed:  # else the old connection still brings them
            self.service.log_state("news", "lost", why)
        self.failures += 1
        self.service.clock.retry_later(self.failures, self.look)

    def opened(self, feed: FeedConnection) -> None:
        """A sign of life: all that stands has come.  What did not come stands no more."""
        if feed is not self.new:
            return
        for proxy in [proxy for proxy in self.joined_proxies if proxy not in feed.proxies]:
            self.bye(proxy)
        for number in [number for number in self.tables if number not in self.stands]:
            self.withdrawn(number)
        if self.feed:
            self.feed.close()
        self.feed, self.new, self.failures = feed, None, 0
        self.service.log_state(
            "news", "told", f"{len(self.joined_proxies)} proxies, {len(self.tables)} slices"
        )
        self.service.settled()
        self.settle(True)

    def settle(self, whole: bool) -> None:
        calls = self.service.order_sender
        touched = calls.touched()
        if calls.state == "doubt" and (whole or touched and touched <= self.stands.keys()):
            calls.settle(self.stands)

    def hello(self, proxy: interface.Proxy, fresh: bool) -> None:
        # While two connections tell the same, what is known already is no news.
        if not self.new or proxy not in self.joined_proxies or fresh:
            if proxy in self.joined_proxies:
                self.service.enqueue(interface.ProxyLeft(proxy))
            self.joined_proxies.add(proxy)
            self.service.enqueue(interface.ProxyJoined(proxy, fresh))

    def bye(self, proxy: interface.Proxy) -> None:
        if proxy in self.joined_proxies:
            self.joined_proxies.discard(proxy)
            self.service.enqueue(interface.ProxyLeft(proxy))

    def given(self, feed: FeedConnection, number: int, table: dict[str, float]) -> None:
        if feed is self.new:
            self.stands[number] = table
        # Known, and as ordered or as a call in hand may leave it: told again, it would lose its measures.
        known = self.new and number in self.tables
        if not known or self.tables[number] != table and number not in self.service.order_sender.touched():
            piece = self.service.registry.slices[number]
            self.service.order_sender.forget(number)
            self.service.enqueue(interface.SliceAssignment(piece, True))
            for name, weight in table.items():
                self.service.enqueue(
                    interface.SliceReplica(piece, self.service.registry.server(name), weight)
                )
        self.tables[number] = dict(table)
        self.settle(False)

    def withdrawn(self, number: int) -> None:
        self.service.order_sender.forget(number)
        if self.tables.pop(number, None) is not None:
            self.service.enqueue(interface.SliceAssignment(self.service.registry.slices[number], False))

    def ordered(self, orders: list[dict]) -> None:
        """What the relay took of them stands in the store from now on."""
        for told in orders:
            table = self.tables.get(told.get("table"))
            if table is not None and told["op"] == "SET":
                table.pop(told["target"], None)
                if told["rps"] > 0:
                    table[told["target"]] = told["rps"]
            elif table is not None and told["op"] == "DEL":
                table.clear()
