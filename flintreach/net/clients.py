"""All that connects to us: collectors with their sums, questions whether we live, and strangers."""

import asyncio
import json

from flintreach import interface as face
from flintreach.net.buffer import Buffer, Overflow
from flintreach.net.limits import MS
from flintreach.net.reading import UNREADABLE, figure

ALIVE = b'{"msg":"alive"}\n'


class Client(asyncio.Protocol):
    def __init__(self, clients: "Clients"):
        self.clients, self.service, self.transport = clients, clients.service, None
        self.zone, self.timer, self.buffer = None, None, Buffer(clients.service.limits.line)
        self.held = 0

    def connection_made(self, transport) -> None:
        limits = self.service.limits
        self.transport = transport
        transport.set_write_buffer_limits(high=limits.unread)
        self.timer = self.service.clock.limit(limits.stranger_time, lambda: self.drop("silent stranger"))
        self.clients.add(self)

    def heard(self) -> None:
        """Those that have been silent the longest are dropped first; a stranger that asks may go on."""
        if self not in self.clients.open:  # dropped meanwhile
            return
        self.clients.open[self] = self.clients.open.pop(self)
        if self.zone is None:
            self.timer.cancel()
            self.timer = self.service.clock.limit(self.service.limits.stranger_time,
                                                  lambda: self.drop("silent stranger"))

    def drop(self, why: str) -> None:
        self.service.count(f"client dropped: {why}")
        self.clients.remove(self)  # at once: its end is heard of only after others have come
        self.transport.abort()

    def pause_writing(self) -> None:
        self.drop("reads nothing")

    def connection_lost(self, error) -> None:
        self.timer.cancel()
        self.clients.remove(self)

    def data_received(self, data: bytes) -> None:
        try:
            self.buffer.put(data)
            for line in self.buffer.lines():
                self.take(json.loads(line))
                self.heard()
            if self.zone is None and len(self.buffer) > self.service.limits.stranger_line:
                raise Overflow("a stranger's long line")
            self.clients.weigh(self)
        except Overflow:
            self.drop("long line")
        except UNREADABLE:
            self.drop("malformed line")
        if self.service.full() and not self.transport.is_closing():
            self.transport.pause_reading()
            self.clients.paused.append(self)

    def take(self, message: dict) -> None:
        if not isinstance(message, dict):
            raise ValueError("not an object")
        what = KINDS.get(message["msg"])
        if what:
            what(self, message)

    # One method a kind of message.

    def probe(self, message: dict) -> None:
        self.clients.answer(self)

    def agent(self, message: dict) -> None:
        self.zone = self.service.zones[message["site"]]
        self.timer.cancel()

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
        strangers = [one for one in self.open if one.zone is None]
        if len(strangers) >= limits.strangers or len(self.open) >= limits.clients:
            (strangers or list(self.open))[0].drop("too many")
        self.open[client] = None

    def weigh(self, client: Client) -> None:
        """Each may send a long line, but all at once would take more memory than there is."""
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
