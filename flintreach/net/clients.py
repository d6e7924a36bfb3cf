"""All that connects to us: collectors with their sums, questions whether we live, and strangers."""

import asyncio

from flintreach.net.buffer import Buffer, Overflow
from flintreach.net.http import parse_address
from flintreach.net.limits import MS
from flintreach.net.reading import DECODE_ERRORS, json_lines, nonnegative_int, nonnegative_number
from flintreach.pilot import interface

ALIVE = b'{"msg":"alive"}\n'

# State, input, next state, and what is counted.  A pair that is not here changes nothing.  Each state makes
# room for its own: hundreds of strangers push out no collector, and no question that waits for its answer.
STATES = {
    ("stranger", "named"): ("collector", None),
    ("stranger", "asked too early"): ("asking", None),
    ("asking", "named"): ("collector", None),
    ("asking", "answered"): ("stranger", None),
    ("stranger", "old"): ("dropped", "old stranger"),
    ("stranger", "crowded"): ("dropped", "too many strangers"),
    ("asking", "crowded"): ("dropped", "too many strangers"),
    ("collector", "crowded"): ("dropped", "too many collectors"),
    ("collector", "half a line"): ("dropped", "half a line"),
    ("stranger", "not understood"): ("dropped", "stranger not understood"),
    ("asking", "not understood"): ("dropped", "stranger not understood"),
    **{
        (state, what): ("dropped", what)
        for state in ("stranger", "asking", "collector")
        for what in ("unreadable", "long line", "reads nothing")
    },
}


class Client(asyncio.Protocol):
    def __init__(self, clients: "Clients"):
        self.clients, self.service, self.transport = clients, clients.service, None
        self.state, self.timer, self.buffered_bytes, self.holding = "stranger", None, 0, False
        self.buffer = Buffer(self.service.limits.max_line_bytes)

    def connection_made(self, transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=self.service.limits.max_unread_bytes)
        self.bound("old", self.service.limits.max_stranger_age)
        self.clients.add(self)

    def bound(self, what: str | None, wait: int = 0) -> None:
        """The one time limit of the state.  A stranger's is its age: one may talk on for ever."""
        if self.timer:
            self.timer.cancel()
        self.timer = self.service.clock.start_timeout(wait, lambda: self.step(what)) if what else None

    def step(self, what: str) -> None:
        state, why = STATES.get((self.state, what), (self.state, None))
        if state == self.state:
            return
        if state == "stranger":
            self.bound("old", self.service.limits.max_stranger_age)
        else:
            self.bound(None)
        self.clients.remove(self)
        self.state = state
        if why:
            self.service.count_warning(f"client dropped: {why}")
            self.transport.abort()
        else:
            self.clients.add(self)

    def pause_writing(self) -> None:
        self.step("reads nothing")

    def connection_lost(self, error) -> None:
        self.bound(None)
        self.clients.remove(self)
        self.state = "dropped"

    def data_received(self, data: bytes) -> None:
        self.buffer.append(data)
        self.read()

    def read(self) -> None:
        """So many lines in a turn: one that has much to say, and is read again and again while more has come,
        would keep all others and every sign of life waiting."""
        read, more, limits = 0, False, self.service.limits
        if self.state == "dropped":
            return
        try:
            for line in json_lines(self.buffer):
                read += 1
                self.clients.lines_read += 1
                self.take(line)
                if self.state == "dropped":
                    return
                if read >= limits.max_lines_per_read:
                    more = True
                    break
            self.clients.heard(self)
            if self.state != "collector" and not more and len(self.buffer) > limits.max_stranger_line_bytes:
                raise Overflow("a stranger's long line")
        except Overflow:
            return self.step("long line")
        except DECODE_ERRORS:
            return self.step("unreadable")
        full = self.service.queue_full()
        if self.state == "collector":
            # Cut off within a line, or one that never ends: the rest would be waited for with all it holds.
            # What waits for us is no fault of its own.
            if read or not len(self.buffer) or full:
                self.bound(None)
            if len(self.buffer) and not self.timer and not more and not full:
                self.bound("half a line", limits.line_timeout)
        self.hold(more or full)
        if full:
            self.clients.paused.append(self)
        elif more:
            self.service.clock.call_later(0, self.read)

    def hold(self, on: bool) -> None:
        if on != self.holding:
            self.holding = on
            (self.transport.pause_reading if on else self.transport.resume_reading)()

    def take(self, message: object) -> None:
        """One message is distrusted, not the collector that brings it: those around it are good."""
        try:
            KINDS[message["msg"]](self, message)
        except DECODE_ERRORS as error:
            if self.state == "collector":
                self.service.count_warning("report not understood", repr(error))
            self.step("not understood")

    # One method a kind of message.

    def probe(self, message: dict) -> None:
        if self.service.ready:
            self.transport.write(ALIVE)
        else:
            self.clients.asked[self] = None
            self.step("asked too early")

    def agent(self, message: dict) -> None:
        self.service.zones[message["site"]]  # the zone of sums stands in each; here it makes a collector
        self.step("named")

    def tries(self, message: dict) -> tuple[int, int, int]:
        if self.state != "collector":
            raise ValueError("a report before a zone is named")
        # What came in one period may go unanswered in the next: more may fail than came.
        limits = self.service.limits
        span = int(nonnegative_number(message["over"], limits.max_report_span // MS) * MS)
        return (
            nonnegative_int(message["count"], limits.max_reported_tries),
            nonnegative_int(message["fail"], limits.max_reported_tries),
            span,
        )

    def outcomes(self, message: dict) -> None:
        tries, unanswered, span = self.tries(message)
        limits, known = self.service.limits, self.service.registry.servers
        # No answer comes after the integration timeout: a longer mean would make the server look jammed.
        latency = int(nonnegative_number(message["mean"], self.service.attempt_timeout * 2 // MS) * MS)
        zone, load = self.service.zones[message["site"]], message.get("util", {})
        names = self.service.load_names
        told = {
            names.get(name, name): nonnegative_number(value, limits.max_load) for name, value in load.items()
        }
        if type(message["target"]) is not str:
            raise ValueError("a name is no text")
        server = known.get(message["target"])
        if server is None:  # gone or never listed: a report must not bring it to the roster
            return self.service.count_warning("report on an unknown endpoint")
        load = {name: told[name] for name in self.service.settings.load_fields if name in told}
        self.service.enqueue(interface.ServerReport(zone, server, tries, unanswered, latency, span, load))

    def demand(self, message: dict) -> None:
        tries, unanswered, span = self.tries(message)
        operation, registry = self.service.operations[message["lane"]], self.service.registry
        piece = proxy = None
        if "range" in message:
            piece = registry.slices[nonnegative_int(message["range"])]
        else:
            proxy = self.service.proxy(message["id"])
        self.service.enqueue(interface.DemandReport(piece, proxy, operation, tries, unanswered, span))


KINDS = {
    "probe": Client.probe,
    "agent": Client.agent,
    "outcomes": Client.outcomes,
    "hot": Client.demand,
    "demand": Client.demand,
}


class Clients:
    def __init__(self, service):
        limits = service.limits
        self.service, self.paused, self.buffered_bytes = service, [], 0
        self.lines_read = 0  # that collectors and strangers sent
        self.asked: dict[Client, None] = {}  # whose question waits for its answer
        self.by_state = {"stranger": {}, "asking": {}, "collector": {}}  # by state, the quietest first
        self.most = {
            "stranger": limits.max_strangers,
            "asking": limits.max_strangers,
            "collector": limits.max_collectors,
        }

    async def listen(self, at: str) -> tuple[str, int]:
        """Where it listens from now on."""
        service = self.service
        self.server = await service.loop.create_server(
            lambda: Client(self), *parse_address(at), backlog=service.limits.listen_backlog
        )
        return self.server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Connections end with the process."""

    def gauges(self) -> dict[str, float]:
        return {
            "clients.collectors": len(self.by_state["collector"]),
            "workers.serving": 0,
            "workers.waiting": 0,
            "clients.strangers": len(self.by_state["stranger"]) + len(self.by_state["asking"]),
        }

    def add(self, client: Client) -> None:
        """The oldest stranger makes room for one, and the collector silent the longest for a collector:
        machines that vanished say nothing."""
        mates = self.by_state[client.state]
        if len(mates) >= self.most[client.state]:
            next(iter(mates)).step("crowded")
        mates[client] = None
        self.buffered_bytes += client.buffered_bytes

    def heard(self, client: Client) -> None:
        """Each may send a long line, but all at once would take more memory than there is."""
        if client.state == "collector":
            self.by_state["collector"][client] = self.by_state["collector"].pop(client)
        self.buffered_bytes += client.buffer.capacity - client.buffered_bytes
        client.buffered_bytes = client.buffer.capacity
        if self.buffered_bytes > self.service.limits.max_buffered_bytes:
            raise Overflow("all buffers together")

    def remove(self, client: Client) -> None:
        if client in self.by_state.get(client.state, ()):
            del self.by_state[client.state][client]
            self.buffered_bytes -= client.buffered_bytes

    def notify_ready(self) -> None:
        asked, self.asked = self.asked, {}
        for client in asked:
            if client.state != "dropped":
                client.transport.write(ALIVE)
                client.step("answered")

    def resume(self) -> None:
        paused, self.paused = self.paused, []
        for client in paused:
            client.read()
