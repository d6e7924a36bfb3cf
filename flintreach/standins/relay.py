"""A stand-in for the relay in front of the store, which runs in a thread of its own.

It holds the tables of the store, starts each event stream with their full state, applies the batches that it
receives, and acknowledges sync stamps.  It records the time at which each batch was complete, injects faults
by script, and audits the batches by their effect on the store: an order that changes nothing and a sync stamp
that comes twice are findings.
"""

import asyncio
import json
import socket
import struct
import threading
import time
from collections import deque
from dataclasses import dataclass

import httptools
import uvloop

from flintreach.standins.platform import initial_events

HEARTBEAT_S = 1


@dataclass
class Call:
    """One batch of orders that the relay received.

    Attributes:
        at: time at which it was complete, nanoseconds of the monotonic clock.
        orders: the orders in it.
        fault: the fault that was injected into the call, if any.
        applied: whether the store was changed; after the fault "short" by the first half of the orders.
    """

    at: int
    orders: list[dict]
    fault: str | None = None
    applied: bool = True


class RelayConnection(asyncio.Protocol):
    """The relay's end of one HTTP connection."""

    def __init__(self, relay: "Relay"):
        self.relay = relay
        self.parser = httptools.HttpRequestParser(self)
        self.body = b""
        self.path = ""

    def connection_made(self, transport) -> None:
        """Keep the transport of the new connection."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Feed what arrived to the HTTP parser."""
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        """Begin a request; called by the HTTP parser."""
        self.path = url.decode()
        self.body = b""

    def on_body(self, body: bytes) -> None:
        """Collect a part of the request's body; called by the HTTP parser."""
        self.body += body

    def on_message_complete(self) -> None:
        """Handle the request by its path; called by the HTTP parser."""
        if self.path == "/stream":
            self.relay.start_stream(self)
        else:
            self.relay.handle_batch(self, json.loads(self.body)["changes"])

    def connection_lost(self, error) -> None:
        """Remove the connection from the event streams."""
        self.relay.streams.discard(self)

    def answer(self, body: dict, status: str = "200 OK") -> None:
        """Send a complete HTTP response with a JSON body."""
        data = json.dumps(body).encode()
        self.transport.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)

    def send_events(self, *items) -> None:
        """Send events in one chunk, a line each; an empty item is a heartbeat."""
        lines = b"".join(
            json.dumps({"type": item[0], "object": item[1]} if item else {}).encode() + b"\n"
            for item in items
        )
        self.transport.write(b"%x\r\n%s\r\n" % (len(lines), lines))

    def reset(self) -> None:
        """Abort the connection with a TCP reset."""
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()


class Relay:
    """The stand-in relay and the store behind it.

    Attributes:
        tables: rate by server, for each slice.
        out: the servers that are taken out.
        calls: the batches received so far.
        faults: faults for the next calls, one each.  "reset" closes the connection and "silence" sends no
            answer, both after the batch was applied; "lost" closes the connection and "busy" answers 429,
            both before; "half" sends a part of the answer; "short" applies half of the orders.
        sync_stamps: the stamps of the sync orders, as they came.
        streams: the open event streams.
        changed: notified after each call.
    """

    def __init__(
        self, slices: int = 8, proxies: int = 3, initial_server=lambda n: "s0", latency: float = 0.0
    ):
        """Listen on a loopback port, and serve it in a new thread.

        Args:
            slices: number of slices.
            proxies: number of proxies, each of which acknowledges sync stamps.
            initial_server: gives the server on which a slice starts, by the number of the slice.
            latency: delay of the acknowledgements, seconds.
        """
        self.initial_events = initial_events(slices, proxies, new=True, initial_server=initial_server)
        self.slices = slices
        self.proxies = proxies
        self.latency = latency
        self.tables = {n: {initial_server(n): 1.0} for n in range(slices)}
        self.out = set()
        self.calls = []
        self.faults = deque()
        self.sync_stamps = []
        self.streams = set()
        self.changed = threading.Condition()
        self.loop = uvloop.new_event_loop()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def getsockname(self) -> tuple[str, int]:
        """Return the listening address, as a listening socket does."""
        return self.listener.getsockname()

    def run(self) -> None:
        """Serve connections until the event loop is stopped; runs in the relay's thread."""
        asyncio.set_event_loop(self.loop)
        opening = self.loop.create_server(lambda: RelayConnection(self), sock=self.listener)
        server = self.loop.run_until_complete(opening)
        self.loop.call_later(HEARTBEAT_S, self.send_heartbeats)
        self.loop.run_forever()
        server.close()
        for stream in [*self.streams]:
            stream.transport.abort()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    def send_heartbeats(self) -> None:
        """Send a heartbeat on every event stream, and schedule the next."""
        for stream in self.streams:
            stream.send_events(())
        self.loop.call_later(HEARTBEAT_S, self.send_heartbeats)

    def call_soon(self, callback, *args) -> None:
        """Run a callback in the relay's thread; may be called from any thread."""
        self.loop.call_soon_threadsafe(callback, *args)

    def start_stream(self, connection: RelayConnection) -> None:
        """Start an event stream with the full state of the store."""
        connection.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        items = [item for item in self.initial_events if item[0] == "hello"]
        for number, table in self.tables.items():
            items.append(("lease", {"range": number, "flag": True}))
            items += [("line", {"range": number, "target": name, "rps": rps}) for name, rps in table.items()]
        connection.send_events(*items, ())
        self.streams.add(connection)

    def handle_batch(self, connection: RelayConnection, orders: list[dict]) -> None:
        """Record a batch of orders, apply it and answer, with the next fault if one is due."""
        fault = self.faults.popleft() if self.faults else None
        call = Call(time.monotonic_ns(), orders, fault, fault not in ("lost", "busy"))
        number = len(orders) // 2 if fault == "short" else len(orders)
        if call.applied:
            for order in orders[:number]:
                self.apply(order)
        with self.changed:
            self.calls.append(call)
            self.changed.notify_all()
        if fault in ("reset", "lost"):
            connection.reset()
        elif fault == "busy":
            connection.answer({"error": "BUSY"}, "429 Too Many Requests")
        elif fault == "half":
            connection.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{")
            connection.transport.close()
        elif fault != "silence":
            connection.answer({"taken": number})

    def apply(self, order: dict) -> None:
        """Apply one order to the store."""
        name = order.get("target")
        if order["op"] == "SET":
            table = self.tables[order["table"]]
            table.pop(name, None)
            if order["rps"] > 0:
                table[name] = order["rps"]
        elif order["op"] == "DEL":
            self.tables[order["table"]].clear()
        elif order["op"] == "OUT":
            self.out.add(name)
        elif order["op"] == "IN":
            self.out.discard(name)
        elif order["op"] == "SYNC":
            self.sync_stamps.append(order["stamp"])
            acks = [("ack", {"id": n, "seq": order["stamp"], "ms": 1.0}) for n in range(self.proxies)]
            self.loop.call_later(self.latency, lambda: [stream.send_events(*acks) for stream in self.streams])

    def wait(self, true, seconds: float = 30.0):
        """Wait until `true(calls)` holds, and return its value.

        Raises:
            AssertionError: it did not hold in time.
        """
        with self.changed:
            assert self.changed.wait_for(lambda: true(self.calls), seconds), (
                f"condition not met within {seconds} s, after {len(self.calls)} calls"
            )
            return true(self.calls)

    def audit(self) -> list[str]:
        """Return the orders without effect or given twice, over all calls that were applied in full."""
        findings = []
        tables = {}
        out = set()
        sync_stamps = set()
        for kind, event in self.initial_events:
            if kind == "line":
                tables.setdefault(event["range"], {})[event["target"]] = event["rps"]
        for place, call in enumerate(self.calls):
            if not call.applied or call.fault == "short":
                continue
            for order in call.orders:
                name = order.get("target")
                table = tables.setdefault(order.get("table"), {})
                without_effect = {
                    "SET": order.get("rps") == table.get(name, 0),
                    "OUT": name in out,
                    "IN": name not in out,
                    "SYNC": order.get("stamp") in sync_stamps,
                }
                if without_effect.get(order["op"]):
                    findings.append(f"call {place}: {order}")
                if order["op"] == "SET":
                    table.pop(name, None)
                    if order["rps"]:
                        table[name] = order["rps"]
                elif order["op"] == "OUT":
                    out.add(name)
                elif order["op"] == "IN":
                    out.discard(name)
                elif order["op"] == "SYNC":
                    sync_stamps.add(order["stamp"])
        return findings

    def close(self) -> None:
        """Stop the event loop, and wait for the relay's thread."""
        if self.thread.is_alive():
            self.call_soon(self.loop.stop)
            self.thread.join()
