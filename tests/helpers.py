"""What the tests share: a small fleet around the decisions, and the service with no sockets."""

import json
from typing import Any

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND
from flintreach.pilot.logic import Pilot


class Fleet:
    """A fleet round a `Pilot`: it keeps the tables as ordered and answers marks, with no bench."""

    def __init__(
        self, servers: int = 4, slices: int = 8, proxies: int = 3, demand: float = 4, **settings: Any
    ) -> None:
        """Begin with every server ready, and a slice's table at each in turn.

        Args:
            servers: how many.
            slices: how many, all of them given to the pilot.
            proxies: how many, all joined.
            demand: of each slice, invocations a second.
            settings: of the pilot, where they differ from those here.
        """
        self.ops = [
            interface.Operation("look", 0, SECOND, 3 * SECOND, 1.0),
            interface.Operation("book", 1, SECOND, 3 * SECOND, 5.0, "side-effecting", writes=True),
        ]
        defaults = {
            "seed": 7,
            "proxies": proxies,
            "operations": self.ops,
            "cold_share": 0.2,
            "slices": [interface.Slice(n) for n in range(slices)],
            "warm_up": 10 * SECOND,
            "channel_limit": 8000.0,
        }
        self.settings = interface.Settings(**(defaults | settings))
        self.slices = self.settings.slices
        self.now = 100 * SECOND  # steady clock, in nanoseconds
        self.log: list[str] = []
        self.replies: list[tuple[int, list]] = []  # orders, and when
        self.servers = [interface.Server(f"s{n}", zone=n % self.settings.zones) for n in range(servers)]
        self.proxies = [interface.Proxy(n) for n in range(proxies)]
        self.tables = {piece: {} for piece in self.slices}
        self.rates = dict.fromkeys(self.slices, demand)
        self.failing: dict[interface.Server, float] = {}  # parts unanswered
        self.levels: dict[tuple, float] = {}  # as ordered, by slice and operation
        self.latency = SECOND // 5
        self.slow: dict[interface.Server, int] = {}  # latencies of their own
        self.load: dict[str, float] = {}  # that every server reports
        self.withdrawn: set[interface.Server] = set()  # withdrawn
        self.marks: list[int] = []  # not yet answered
        self.pilot = Pilot(self.settings)
        self.handle(
            self.server_list("cached"), *[interface.ProxyJoined(proxy, True) for proxy in self.proxies]
        )
        for n, piece in enumerate(self.slices):
            self.tables[piece] = {self.servers[n % servers]: 1.0}
            self.handle(
                interface.SliceAssignment(piece, True),
                interface.SliceReplica(piece, self.servers[n % servers], 1.0),
            )

    def server_list(self, how: str = "delta", **states: Any) -> interface.ServerList:
        """server_list(s1="gone", s2=("ready", started)); a list that is no delta holds all the others too."""
        rows = {server.name: "ready" for server in self.servers if how != "delta"} | states
        entries = []
        for server in self.servers:
            if server.name in rows:
                state, started = rows[server.name], 0
                if isinstance(state, tuple):
                    state, started = state
                entries.append(interface.ServerEntry(server, state, 1.0, started))
        return interface.ServerList(how, entries)

    def handle(self, *events: object) -> list:
        """Hand events to the pilot and carry its orders out; repeated or idle orders fail the test."""
        orders = self.pilot.handle(self.now, list(events))
        self.replies.append((self.now, orders))
        for order in orders:
            match order:
                case interface.SetWeight(piece, server, weight):
                    table = self.tables.setdefault(piece, {})
                    assert weight > 0 or server in table, "an absent line was removed"
                    assert table.get(server) != weight, "a standing value was repeated"
                    table.pop(server, None)
                    if weight > 0:
                        table[server] = weight
                case interface.SetAdmission(piece, operations, level, resend):
                    assert resend <= 1 or all(op.effect != "side-effecting" for op in operations)
                    self.levels |= {(piece, op): level for op in operations}
                case interface.Withdraw(server, out):
                    assert out != (server in self.withdrawn), "a standing withdrawal was repeated"
                    (self.withdrawn.add if out else self.withdrawn.discard)(server)
                case interface.Mark(number):
                    self.marks.append(number)
                case interface.Log(text):
                    self.log.append(text)
        return orders

    def run(self, seconds: int, sums: bool = True) -> None:
        """Beats of a quarter second; the marks of each reply are answered in the next."""
        for beat in range(4 * seconds):
            due = self.now + SECOND // 4
            self.run_pending_work(due)
            self.now = due
            events = [
                interface.OrdersApplied(proxy, mark, 0) for mark in self.marks for proxy in self.proxies
            ]
            self.marks = []
            self.handle(*events, interface.TimerFired(0), *(self.reports() if sums and beat % 4 == 0 else []))

    def run_pending_work(self, due: int) -> None:
        """A second's work goes on in turns."""
        while self.pilot.pending_work and self.now + self.settings.tick < due:
            self.now += self.settings.tick
            self.handle(interface.TimerFired(0))

    def reports(self) -> list:
        """What the proxies report of the last second, by rates, tables and faults."""
        came: dict[interface.Server, float] = {}
        for piece, rate in self.rates.items():
            lines = {server: weight for server, weight in self.tables[piece].items() if weight >= 1}
            for server in lines:
                came[server] = came.get(server, 0) + rate / len(lines)
        heard = [
            interface.ServerReport(
                server.zone,
                server,
                round(tries),
                round(tries * self.failing.get(server, 0)),
                self.slow.get(server, self.latency),
                SECOND,
                self.load,
            )
            for server, tries in came.items()
            if round(tries)
        ]
        return heard + [
            interface.DemandReport(piece, None, self.ops[0], rate, 0, SECOND)
            for piece, rate in self.rates.items()
        ]

    def slices_of(self, server: interface.Server) -> list[interface.Slice]:
        """The slices that a server serves."""
        return [
            piece for piece, table in self.tables.items() if server in table and server not in self.withdrawn
        ]

    def full_weight_servers(self, piece: interface.Slice) -> list[interface.Server]:
        """The servers that serve a slice with a full weight."""
        return [
            server
            for server, weight in self.tables[piece].items()
            if weight >= 1 and server not in self.withdrawn
        ]


def cold_server_with_slices() -> tuple[Fleet, interface.Server]:
    """A fleet, and a server of it that has just started and yet has slices."""
    fleet = Fleet(servers=6, slices=48)
    fleet.run(8)
    fleet.handle(fleet.server_list(s1=("ready", fleet.now)))
    for piece in fleet.slices[4:6]:
        fleet.pilot.state.tables[piece].desired = {fleet.pilot.state.server(fleet.servers[1]): 1.0}
    fleet.run(1)
    assert len(fleet.slices_of(fleet.servers[1])) >= 2
    return fleet, fleet.servers[1]


def report(fleet: Fleet, number: int, tries: int, unanswered: int, **load: float) -> interface.ServerReport:
    """What proxies met at a server of the fleet within a second."""
    return interface.ServerReport(0, fleet.servers[number], tries, unanswered, fleet.latency, SECOND, load)


# The service with no sockets: time by hand, connections by hand, decisions that only record.


class FakeTimerHandle:
    def __init__(self, at, do):
        self.at, self.do, self.off = at, do, False

    def cancel(self):
        self.off = True


class FakeLoop:
    def __init__(self):
        self.now, self.due, self.stopped = 0.0, [], False

    def call_later(self, wait, do):
        self.due.append(FakeTimerHandle(self.now + wait, do))
        return self.due[-1]

    def run(self, seconds):
        end = self.now + seconds
        while self.due and min(handle.at for handle in self.due) <= end:
            handle = min(self.due, key=lambda handle: handle.at)
            self.due.remove(handle)
            self.now = handle.at
            if not handle.off:
                handle.do()
        self.now = end

    def set_exception_handler(self, handler):
        self.handler = handler

    def stop(self):
        self.stopped = True


class FakeConnection:
    """In place of an HTTP connection: the test says how its calls end."""

    created = []

    def __init__(self, clock, limits, to, done, piece=None):
        self.to, self.done, self.piece, self.state = to, done, piece, "new"
        self.created.append(self)

    def call(self, method, path, wait, body=b""):
        self.method, self.path, self.state = method, path, "asked"
        self.orders = json.loads(body)["changes"] if body else []

    def close(self):
        self.state = "closed"

    def end(self, how="answered", status=200, body=None):
        self.state = "idle" if how == "answered" else "closed"
        self.done(how, status, body if isinstance(body, bytes) else json.dumps(body).encode())

    def deliver(self, *items):
        for item in items:
            kind, told = item if item else (None, None)
            self.piece(json.dumps({"type": kind, "object": told} if kind else {}).encode() + b"\n")


class RecordingPilot:
    def __init__(self):
        self.seen, self.orders = [], []

    def handle(self, now, events):
        self.seen += events
        orders, self.orders = self.orders, []
        return orders


class RecordingLog:
    def __init__(self):
        self.lines = []

    def info(self, text, **figures):
        self.lines.append(text)

    warning = error = info


class FakeTransport:
    """In place of a client's transport."""

    def __init__(self):
        self.written, self.closed, self.reading = b"", False, True

    def write(self, data):
        self.written += data

    def abort(self):
        self.closed = True

    def is_closing(self):
        return self.closed

    def set_write_buffer_limits(self, high):
        self.high = high

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True
