"""Connections of clients: collectors with their reports, liveness probes, and clients not yet identified.

A client is a "stranger" until it names its zone, which makes it a collector.
"""

import asyncio

from flintreach.net.buffer import Buffer, Overflow
from flintreach.net.http import parse_address
from flintreach.net.limits import MS
from flintreach.net.reading import DECODE_ERRORS, json_lines, nonnegative_int, nonnegative_number
from flintreach.pilot import interface

ALIVE = b'{"msg":"alive"}\n'

# (state, input) -> (next state, warning that is counted).  A pair that is not listed changes nothing.  Each
# state has its own limit: hundreds of strangers evict neither collectors nor probes that wait for an answer.
STATES = {
    ("stranger", "named"): ("collector", None),
    ("stranger", "probed before ready"): ("asking", None),
    ("asking", "named"): ("collector", None),
    ("asking", "answered"): ("stranger", None),
    ("stranger", "expired"): ("dropped", "stranger not identified in time"),
    ("stranger", "crowded"): ("dropped", "too many strangers"),
    ("asking", "crowded"): ("dropped", "too many strangers"),
    ("collector", "crowded"): ("dropped", "too many collectors"),
    ("collector", "line timeout"): ("dropped", "incomplete line timed out"),
    ("stranger", "malformed"): ("dropped", "malformed message from a stranger"),
    ("asking", "malformed"): ("dropped", "malformed message from a stranger"),
    **{
        (state, fault): ("dropped", fault)
        for state in ("stranger", "asking", "collector")
        for fault in ("undecodable data", "line too long", "client does not read")
    },
}


class Client(asyncio.Protocol):
    """One connection of a client, which sends one JSON object a line.

    Attributes:
        state: "stranger", "asking" (its probe waits until the pilot is ready), "collector" or "dropped".
        buffered_bytes: memory of its buffer, as counted in the total of all clients.
        reading_paused: whether nothing is read from the transport.
    """

    def __init__(self, clients: "Clients") -> None:
        self.clients = clients
        self.service = clients.service
        self.transport: asyncio.Transport | None = None
        self.state = "stranger"
        self.timer = None
        self.buffered_bytes = 0
        self.reading_paused = False
        self.buffer = Buffer(self.service.limits.max_line_bytes)

    def connection_made(self, transport) -> None:
        """Register the client, whose time to identify itself starts."""
        self.transport = transport
        transport.set_write_buffer_limits(high=self.service.limits.max_unread_bytes)
        self.set_timeout("expired", self.service.limits.max_stranger_age)
        self.clients.add(self)

    def set_timeout(self, trigger: str | None, wait: int = 0) -> None:
        """Replace the time limit of the state, of which there is one.

        A stranger's is its age, which no data renews: otherwise one could go on sending for ever.

        Args:
            trigger: input of the state machine when time is up; None for no limit.
            wait: nanoseconds.
        """
        if self.timer:
            self.timer.cancel()
        self.timer = None
        if trigger:
            self.timer = self.service.clock.start_timeout(wait, lambda: self.transition(trigger))

    def transition(self, trigger: str) -> None:
        """Feed one input to the state machine and act on the new state."""
        state, warning = STATES.get((self.state, trigger), (self.state, None))
        if state == self.state:
            return
        if state == "stranger":
            self.set_timeout("expired", self.service.limits.max_stranger_age)
        else:
            self.set_timeout(None)
        self.clients.remove(self)
        self.state = state
        if warning:
            self.service.count_warning(f"client dropped: {warning}")
            self.transport.abort()
        else:
            self.clients.add(self)

    def pause_writing(self) -> None:
        """Drop a client that leaves too many bytes unread."""
        self.transition("client does not read")

    def connection_lost(self, error: Exception | None) -> None:
        """Forget the client."""
        self.set_timeout(None)
        self.clients.remove(self)
        self.state = "dropped"

    def data_received(self, data: bytes) -> None:
        """Buffer what has come, and read it."""
        self.buffer.append(data)
        self.read()

    def read(self) -> None:
        """Read complete lines from the buffer, up to the limit of one turn of the event loop.

        Without the limit, a client that sends without pause would hold up all others and the liveness probes.
        """
        lines_read = 0
        more = False
        limits = self.service.limits
        if self.state == "dropped":
            return
        try:
            for message in json_lines(self.buffer):
                lines_read += 1
                self.clients.lines_read += 1
                self.on_message(message)
                if self.state == "dropped":
                    return
                if lines_read >= limits.max_lines_per_read:
                    more = True
                    break
            self.clients.on_activity(self)
            if self.state != "collector" and not more and len(self.buffer) > limits.max_stranger_line_bytes:
                raise Overflow("line of a stranger too long")
        except Overflow:
            self.transition("line too long")
            return
        except DECODE_ERRORS:
            self.transition("undecodable data")
            return
        queue_full = self.service.queue_full()
        if self.state == "collector":
            # A line that was cut off, or never ends, would hold its memory for ever.  While lines wait for us
            # to read them, the client is not at fault.
            if lines_read or not len(self.buffer) or queue_full:
                self.set_timeout(None)
            if len(self.buffer) and not self.timer and not more and not queue_full:
                self.set_timeout("line timeout", limits.line_timeout)
        self.pause_reading(more or queue_full)
        if queue_full:
            self.clients.paused.append(self)
        elif more:
            self.service.clock.call_later(0, self.read)

    def pause_reading(self, on: bool) -> None:
        """Pause or resume reading from the transport."""
        if on == self.reading_paused:
            return
        self.reading_paused = on
        if on:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def on_message(self, message: object) -> None:
        """Handle one message; a malformed one of a collector is skipped, since those around it are good."""
        try:
            HANDLERS[message["msg"]](self, message)
        except DECODE_ERRORS as error:
            if self.state == "collector":
                self.service.count_warning("malformed report", repr(error))
            self.transition("malformed")

    # One method for each kind of message.

    def on_probe(self, message: dict) -> None:
        """Answer a liveness probe, once the pilot is ready."""
        if self.service.ready:
            self.transport.write(ALIVE)
        else:
            self.clients.unanswered_probes[self] = None
            self.transition("probed before ready")

    def on_agent(self, message: dict) -> None:
        """A client that names a zone we know is a collector; reports name their zone themselves."""
        self.service.zones[message["site"]]  # raises for one that we do not know
        self.transition("named")

    def parse_counts(self, message: dict) -> tuple[int, int, int]:
        """Tries, those without an answer, and the time in nanoseconds that a report covers.

        Raises:
            ValueError: a field is malformed, or the client has not named its zone.
        """
        if self.state != "collector":
            raise ValueError("report from a client that has not named its zone")
        # A try of one period may go unanswered in the next, so more may fail than were made.
        limits = self.service.limits
        span = int(nonnegative_number(message["over"], limits.max_report_span // MS) * MS)
        tries = nonnegative_int(message["count"], limits.max_reported_tries)
        unanswered = nonnegative_int(message["fail"], limits.max_reported_tries)
        return tries, unanswered, span

    def on_outcomes(self, message: dict) -> None:
        """Take a report on a server."""
        tries, unanswered, span = self.parse_counts(message)
        limits = self.service.limits
        # No answer comes after the attempt timeout: a longer mean would make the server look jammed.
        max_latency_ms = self.service.attempt_timeout * 2 // MS
        latency = int(nonnegative_number(message["mean"], max_latency_ms) * MS)
        zone = self.service.zones[message["site"]]
        names = self.service.load_names
        reported = {
            names.get(name, name): nonnegative_number(value, limits.max_load)
            for name, value in message.get("util", {}).items()
        }
        if type(message["target"]) is not str:
            raise ValueError("target is not a string")
        server = self.service.registry.servers.get(message["target"])
        if server is None:  # gone or never listed: a report must not add it to the registry
            self.service.count_warning("report for an unknown server")
            return
        load = {name: reported[name] for name in self.service.settings.load_fields if name in reported}
        self.service.enqueue(interface.ServerReport(zone, server, tries, unanswered, latency, span, load))

    def on_demand(self, message: dict) -> None:
        """Take a report on the demand of a slice, or of a proxy."""
        tries, unanswered, span = self.parse_counts(message)
        operation = self.service.operations[message["lane"]]
        slice_ = proxy = None
        if "range" in message:
            slice_ = self.service.registry.slices[nonnegative_int(message["range"])]
        else:
            proxy = self.service.proxy(message["id"])
        self.service.enqueue(interface.DemandReport(slice_, proxy, operation, tries, unanswered, span))


HANDLERS = {
    "probe": Client.on_probe,
    "agent": Client.on_agent,
    "outcomes": Client.on_outcomes,
    "hot": Client.on_demand,
    "demand": Client.on_demand,
}


class Clients:
    """All connections of clients, within the limits on their numbers and memory.

    Attributes:
        paused: clients that are not read until the event queue has room.
        buffered_bytes: memory of all buffers.
        lines_read: lines that clients have sent.
        unanswered_probes: clients whose probes wait until the pilot is ready.
        by_state: clients of each state, those that were silent the longest first.
        max_by_state: limit on the clients of each state.
    """

    def __init__(self, service) -> None:
        limits = service.limits
        self.service = service
        self.paused = []
        self.buffered_bytes = 0
        self.lines_read = 0
        self.unanswered_probes: dict[Client, None] = {}
        self.by_state = {"stranger": {}, "asking": {}, "collector": {}}
        self.max_by_state = {
            "stranger": limits.max_strangers,
            "asking": limits.max_strangers,
            "collector": limits.max_collectors,
        }

    async def listen(self, at: str) -> tuple[str, int]:
        """Listen at an address; returns the host and port that it has become."""
        service = self.service
        self.server = await service.loop.create_server(
            lambda: Client(self), *parse_address(at), backlog=service.limits.listen_backlog
        )
        return self.server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Do nothing: the connections end with the process."""

    def gauges(self) -> dict[str, float]:
        """Connections by kind; without worker processes, none of those."""
        return {
            "clients.collectors": len(self.by_state["collector"]),
            "workers.serving": 0,
            "workers.waiting": 0,
            "clients.strangers": len(self.by_state["stranger"]) + len(self.by_state["asking"]),
        }

    def add(self, client: Client) -> None:
        """Register a client under its state; the one of it that was silent the longest makes room.

        Machines that vanished give no sign: without eviction, their connections would keep new ones out.
        """
        others = self.by_state[client.state]
        if len(others) >= self.max_by_state[client.state]:
            next(iter(others)).transition("crowded")
        others[client] = None
        self.buffered_bytes += client.buffered_bytes

    def on_activity(self, client: Client) -> None:
        """Note that a client has sent data, and check the memory of all buffers.

        Raises:
            Overflow: each client may send a long line, but all at once would take more memory than there is.
        """
        if client.state == "collector":
            self.by_state["collector"][client] = self.by_state["collector"].pop(client)
        self.buffered_bytes += client.buffer.capacity - client.buffered_bytes
        client.buffered_bytes = client.buffer.capacity
        if self.buffered_bytes > self.service.limits.max_buffered_bytes:
            raise Overflow("buffers of all clients too large")

    def remove(self, client: Client) -> None:
        """Remove a client from those of its state."""
        if client in self.by_state.get(client.state, ()):
            del self.by_state[client.state][client]
            self.buffered_bytes -= client.buffered_bytes

    def notify_ready(self) -> None:
        """Answer the probes that came before the pilot was ready."""
        waiting, self.unanswered_probes = self.unanswered_probes, {}
        for client in waiting:
            if client.state != "dropped":
                client.transport.write(ALIVE)
                client.transition("answered")

    def resume(self) -> None:
        """Read the clients that were paused while the event queue was full."""
        paused, self.paused = self.paused, []
        for client in paused:
            client.read()
