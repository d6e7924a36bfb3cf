"""A relay that plays itself: it holds the store, opens news with all that stands, takes calls, answers marks.

It keeps every call with the time at which its last byte came, breaks them by script, and audits them: what an
order did at the store is what counts, so one that changes nothing, or a mark that comes twice, is a finding.
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


@dataclass
class Call:
    at: int  # nanoseconds of the monotonic clock
    orders: list[dict]
    fault: str | None = None
    applied: bool = True  # carried out at the store


class Asker(asyncio.Protocol):
    """One connection of a pilot's."""

    def __init__(self, relay: "Relay"):
        self.relay, self.parser, self.body, self.path = relay, httptools.HttpRequestParser(self), b"", ""

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self.path, self.body = url.decode(), b""

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        if self.path == "/stream":
            self.relay.open(self)
        else:
            self.relay.called(self, json.loads(self.body)["changes"])

    def connection_lost(self, error) -> None:
        self.relay.streams.discard(self)

    def answer(self, body: dict, status: str = "200 OK") -> None:
        data = json.dumps(body).encode()
        self.transport.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)

    def tell(self, *items) -> None:
        lines = b"".join(
            json.dumps({"type": item[0], "object": item[1]} if item else {}).encode() + b"\n"
            for item in items
        )
        self.transport.write(b"%x\r\n%s\r\n" % (len(lines), lines))

    def reset(self) -> None:
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()


class Relay:
    """`initial_server(n)` is the server that slice `n` starts on.  `faults` are taken by the next calls, one
    each: "reset" and "silence" after it was carried out, "lost" before, "busy", "half" an answer, "short":
    half."""

    def __init__(
        self, slices: int = 8, proxies: int = 3, initial_server=lambda n: "s0", latency: float = 0.0
    ):
        self.standing = initial_events(slices, proxies, new=True, initial_server=initial_server)
        self.slices, self.proxies, self.latency = slices, proxies, latency
        self.tables = {n: {initial_server(n): 1.0} for n in range(slices)}
        self.out, self.calls, self.faults, self.marks = set(), [], deque(), []
        self.streams, self.changed = set(), threading.Condition()
        self.loop = uvloop.new_event_loop()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def getsockname(self) -> tuple[str, int]:
        return self.listener.getsockname()

    def run(self) -> None:
        asyncio.set_event_loop(self.loop)
        opening = self.loop.create_server(lambda: Asker(self), sock=self.listener)
        server = self.loop.run_until_complete(opening)
        self.loop.call_later(1, self.live)
        self.loop.run_forever()
        server.close()
        for stream in [*self.streams]:
            stream.transport.abort()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    def live(self) -> None:
        for stream in self.streams:
            stream.tell(())
        self.loop.call_later(1, self.live)

    def do(self, what, *values) -> None:
        """On its own thread, from another's."""
        self.loop.call_soon_threadsafe(what, *values)

    def open(self, asker: Asker) -> None:
        asker.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        items = [item for item in self.standing if item[0] == "hello"]
        for number, table in self.tables.items():
            items.append(("lease", {"range": number, "flag": True}))
            items += [("line", {"range": number, "target": name, "rps": rps}) for name, rps in table.items()]
        asker.tell(*items, ())
        self.streams.add(asker)

    def called(self, asker: Asker, orders: list[dict]) -> None:
        fault = self.faults.popleft() if self.faults else None
        call = Call(time.monotonic_ns(), orders, fault, fault not in ("lost", "busy"))
        number = len(orders) // 2 if fault == "short" else len(orders)
        if call.applied:
            for order in orders[:number]:
                self.carry(order)
        with self.changed:
            self.calls.append(call)
            self.changed.notify_all()
        if fault in ("reset", "lost"):
            asker.reset()
        elif fault == "busy":
            asker.answer({"error": "BUSY"}, "429 Too Many Requests")
        elif fault == "half":
            asker.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{")
            asker.transport.close()
        elif fault != "silence":
            asker.answer({"taken": number})

    def carry(self, order: dict) -> None:
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
            self.marks.append(order["stamp"])
            acks = [("ack", {"id": n, "seq": order["stamp"], "ms": 1.0}) for n in range(self.proxies)]
            self.loop.call_later(self.latency, lambda: [stream.tell(*acks) for stream in self.streams])

    def wait(self, true, seconds: float = 30.0):
        """Until `true(calls)` is, which it returns."""
        with self.changed:
            assert self.changed.wait_for(lambda: true(self.calls), seconds), f"{len(self.calls)} calls"
            return true(self.calls)

    def audit(self) -> list[str]:
        """What was ordered more than once, or to no effect, over all calls that were carried out."""
        found, tables, out, marks = [], {}, set(), set()
        for kind, told in self.standing:
            if kind == "line":
                tables.setdefault(told["range"], {})[told["target"]] = told["rps"]
        for place, call in enumerate(self.calls):
            if call.applied and call.fault != "short":
                for order in call.orders:
                    name, table = order.get("target"), tables.setdefault(order.get("table"), {})
                    nothing = {
                        "SET": order.get("rps") == table.get(name, 0),
                        "OUT": name in out,
                        "IN": name not in out,
                        "SYNC": order.get("stamp") in marks,
                    }
                    if nothing.get(order["op"]):
                        found.append(f"call {place}: {order}")
                    if order["op"] == "SET":
                        table.pop(name, None)
                        table |= {name: order["rps"]} if order["rps"] else {}
                    elif order["op"] in ("OUT", "IN"):
                        (out.add if order["op"] == "OUT" else out.discard)(name)
                    elif order["op"] == "SYNC":
                        marks.add(order["stamp"])
        return found

    def close(self) -> None:
        if self.thread.is_alive():
            self.do(self.loop.stop)
            self.thread.join()
