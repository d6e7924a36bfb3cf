"""All that connects to us: collectors with their sums, questions whether we live, and strangers."""

import asyncio

from flintreach import interface as face
from flintreach.net.buffer import Buffer, Overflow
from flintreach.net.limits import MS
from flintreach.net.reading import UNREADABLE, figure, objects

ALIVE = b'{"msg":"alive"}\n'

# State, input, next state, and what is counted.  A pair that is not here changes nothing.
STATES = {
    ("stranger", "named"): ("collector", None),
    ("stranger", "silent"): ("dropped", "silent stranger"),
    ("stranger", "malformed"): ("dropped", "malformed line"),
    ("stranger", "long"): ("dropped", "long line"),
    ("stranger", "unread"): ("dropped", "reads nothing"),
    ("stranger", "crowded"): ("dropped", "too many"),
    ("collector", "malformed"): ("dropped", "malformed line"),
    ("collector", "long"): ("dropped", "long line"),
    ("collector", "unread"): ("dropped", "reads nothing"),
    ("collector", "crowded"): ("dropped", "too many"),
}


class Client(asyncio.Protocol):
    def __init__(self, clients: "Clients"):
        self.clients, self.service, self.transport = clients, clients.service, None
        self.state, self.timer, self.held = "stranger", None, 0
        self.buffer = Buffer(self.service.limits.line)

    def connection_made(self, transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=self.service.limits.unread)
        self.bear()
        self.clients.add(self)

    def bear(self) -> None:
        """A stranger is borne for a while, and anew each time that it asks something."""
        if self.timer:
            self.timer.cancel()
        self.timer = self.service.clock.limit(self.service.limits.stranger_time, lambda: self.step("silent"))

    def step(self, what: str) -> None:
        state, why = STATES.get((self.state, what), (self.state, None))
        if state != self.state:
            self.state = state
            self.timer.cancel()
        if why:
            self.service.count(f"client dropped: {why}")
            self.clients.remove(self)  # at once: its end is heard of only after others have come
            self.transport.abort()

    def pause_writing(self) -> None:
        self.step("unread")

    def connection_lost(self, error) -> None:
        self.timer.cancel()
        self.clients.remove(self)

    def data_received(self, data: bytes) -> None:
        try:
            self.buffer.put(data)
            for message in objects(self.buffer):
                self.take(message)
            self.clients.heard(self)
            if self.state == "stranger" and len(self.buffer) > self.service.limits.stranger_line:
                raise Overflow("a stranger's long line")
        except Overflow:
            self.step("long")
        except UNREADABLE:
            self.step("malformed")
        if self.service.full() and not self.transport.is_closing():
            self.transport.pause_reading()
            self.clients.paused.append(self)

    def take(self, message: dict) -> None:
        what = KINDS.get(message["msg"])
        if what:
            what(self, message)
        if self.state == "stranger":
            self.bear()

    # One method a kind of message.

    def probe(self, message: dict) -> None:
        self.clients.answer(self)

    def agent(self, message: dict) -> None:
        self.service.zones[message["site"]]  # the zone of sums stands in each; here it makes a collector
        self.step("named")

    def tries(self, message: dict) -> tuple[int, int, int]:
        # What came in one period may go unanswered in the next: more may fail than came.
        most = self.service.limits.figure
        count, fail = int(figure(message["count"], most)), int(figure(message.get("fail", 0), most))
        return count, fail, int(figure(message["over"], most) * MS)

    def outcomes(self, message: dict) -> None:
        tries, unanswered, span = self.tries(message)
        latency = int(figure(message.get("mean", 0), self.service.limits.figure) * MS)
        zone, load = self.service.zones[message["site"]], message.get("util") or {}
        told = {self.service.loads.get(name, name): figure(value, self.service.limits.figure)
                for name, value in load.items()}
        server = self.service.registry.servers.get(message["target"])
        if server is None:  # it must not join the roster by a report
            return self.service.count("report on an unknown endpoint")
        known = {name: told[name] for name in self.service.settings.load_fields if name in told}
        self.service.event(face.Heard(zone, server, tries, unanswered, latency, span, known))

    def demand(self, message: dict) -> None:
        tries, unanswered, span = self.tries(message)
        operation, registry = self.service.operations[message["lane"]], self.service.registry
        piece = proxy = None
        if "range" in message:
            piece = registry.slices[message["range"]]
        else:
            proxy = self.service.proxy(message["id"])
        self.service.event(face.Demand(piece, proxy, operation, tries, unanswered, span))


KINDS = {"probe": Client.probe, "agent": Client.agent, "outcomes": Client.outcomes, "hot": Client.demand,
         "demand": Client.demand}


class Clients:
    def __init__(self, service):
        self.service, self.open, self.waiting, self.paused, self.held = service, {}, [], [], 0

    def add(self, client: Client) -> None:
        """The stranger silent the longest makes room, or a collector: machines that vanished say nothing."""
        limits = self.service.limits
        strangers = [one for one in self.open if one.state == "stranger"]
        if len(strangers) >= limits.strangers or len(self.open) >= limits.clients:
            (strangers or list(self.open))[0].step("crowded")
        self.open[client] = None

    def heard(self, client: Client) -> None:
        """Those silent the longest are dropped first; and each may send a long line, but all at once would
        take more memory than there is."""
        if client.state == "dropped":
            return
        self.open[client] = self.open.pop(client)
        self.held += client.buffer.size - client.held
        client.held = client.buffer.size
        if self.held > self.service.limits.held:
            raise Overflow("all buffers together")

    def remove(self, client: Client) -> None:
        if client in self.open:
            del self.open[client]
            self.held -= client.held

    def answer(self, client: Client) -> None:
        if self.service.ready:
            client.transport.write(ALIVE)
        elif len(self.waiting) < self.service.limits.clients:
            self.waiting.append(client)

    def ready(self) -> None:
        for client in self.waiting:
            if not client.transport.is_closing():
                client.transport.write(ALIVE)
        self.waiting.clear()

    def resume(self) -> None:
        for client in self.paused:
            if not client.transport.is_closing():
                client.transport.resume_reading()
        self.paused.clear()
