"""Shared by tests: a small simulated fleet around the decisions, and fakes for a service without sockets."""

import json
from typing import Any

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND
from flintreach.pilot.logic import Pilot


class Fleet:
    """A fleet around a `Pilot`, which applies its orders to tables and confirms its marks."""

    def __init__(
        self, servers: int = 4, slices: int = 8, proxies: int = 3, demand: float = 4, **settings: Any
    ) -> None:
        """Create a fleet with every server ready, and the slices assigned to the servers in turn.

        Args:
            servers: number of servers.
            slices: number of slices, all assigned to the pilot.
            proxies: number of proxies, all joined.
            demand: of each slice, in invocations per second.
            settings: of the pilot, where they differ from the defaults here.
        """
        self.operations = [
            interface.Operation("look", 0, SECOND, 3 * SECOND, 1.0),
            interface.Operation("book", 1, SECOND, 3 * SECOND, 5.0, "side-effecting", writes=True),
        ]
        defaults = {
            "seed": 7,
            "proxies": proxies,
            "operations": self.operations,
            "cold_share": 0.2,
            "slices": [interface.Slice(n) for n in range(slices)],
            "warm_up": 10 * SECOND,
            "channel_limit": 8000.0,
        }
        self.settings = interface.Settings(**(defaults | settings))
        self.slices = self.settings.slices
        self.now = 100 * SECOND  # monotonic clock, in nanoseconds
        self.log: list[str] = []
        self.replies: list[tuple[int, list]] = []  # time and orders of each reply
        self.servers = [interface.Server(f"s{n}", zone=n % self.settings.zones) for n in range(servers)]
        self.proxies = [interface.Proxy(n) for n in range(proxies)]
        self.tables = {slice_: {} for slice_ in self.slices}
        self.rates = dict.fromkeys(self.slices, demand)
        self.failing: dict[interface.Server, float] = {}  # share of unanswered tries
        self.levels: dict[tuple, float] = {}  # as ordered, by slice and operation
        self.latency = SECOND // 5
        self.slow: dict[interface.Server, int] = {}  # latency of servers that differ from the others
        self.load: dict[str, float] = {}  # reported by every server
        self.withdrawn: set[interface.Server] = set()
        self.marks: list[int] = []  # not yet confirmed
        self.pilot = Pilot(self.settings)
        self.handle(
            self.server_list("cached"), *[interface.ProxyJoined(proxy, True) for proxy in self.proxies]
        )
        for n, slice_ in enumerate(self.slices):
            self.tables[slice_] = {self.servers[n % servers]: 1.0}
            self.handle(
                interface.SliceAssignment(slice_, True),
                interface.SliceReplica(slice_, self.servers[n % servers], 1.0),
            )

    def server_list(self, kind: str = "delta", **states: Any) -> interface.ServerList:
        """A server list from keywords such as s1="gone", s2=("ready", started).

        A list that is not a delta also holds all the other servers, as ready.
        """
        states_by_name = {server.name: "ready" for server in self.servers if kind != "delta"} | states
        entries = []
        for server in self.servers:
            if server.name in states_by_name:
                state, started = states_by_name[server.name], 0
                if isinstance(state, tuple):
                    state, started = state
                entries.append(interface.ServerEntry(server, state, 1.0, started))
        return interface.ServerList(kind, entries)

    def handle(self, *events: object) -> list:
        """Pass events to the pilot and apply its orders; orders that change nothing fail the test."""
        orders = self.pilot.handle(self.now, list(events))
        self.replies.append((self.now, orders))
        for order in orders:
            match order:
                case interface.SetWeight(slice_, server, weight):
                    table = self.tables.setdefault(slice_, {})
                    assert weight > 0 or server in table, "an absent server was removed"
                    assert table.get(server) != weight, "a weight in force was set again"
                    table.pop(server, None)
                    if weight > 0:
                        table[server] = weight
                case interface.SetAdmission(slice_, operations, level, resend):
                    assert resend <= 1 or all(
                        operation.effect != "side-effecting" for operation in operations
                    )
                    self.levels |= {(slice_, operation): level for operation in operations}
                case interface.Withdraw(server, out):
                    assert out != (server in self.withdrawn), "a withdrawal in force was repeated"
                    (self.withdrawn.add if out else self.withdrawn.discard)(server)
                case interface.Mark(number):
                    self.marks.append(number)
                case interface.Log(text):
                    self.log.append(text)
        return orders

    def run(self, seconds: int, sums: bool = True) -> None:
        """Run in steps of a quarter second; the marks of each reply are confirmed in the next step."""
        for step in range(4 * seconds):
            due = self.now + SECOND // 4
            self.run_pending_work(due)
            self.now = due
            events = [
                interface.OrdersApplied(proxy, mark, 0) for mark in self.marks for proxy in self.proxies
            ]
            self.marks = []
            self.handle(*events, interface.TimerFired(0), *(self.reports() if sums and step % 4 == 0 else []))

    def run_pending_work(self, due: int) -> None:
        """Run the pilot's pending work in turns, until a time."""
        while self.pilot.pending_work and self.now + self.settings.tick < due:
            self.now += self.settings.tick
            self.handle(interface.TimerFired(0))

    def reports(self) -> list:
        """The proxies' reports on the last second, from rates, tables and faults."""
        arrivals: dict[interface.Server, float] = {}
        for slice_, rate in self.rates.items():
            lines = {server: weight for server, weight in self.tables[slice_].items() if weight >= 1}
            for server in lines:
                arrivals[server] = arrivals.get(server, 0) + rate / len(lines)
        reports = [
            interface.ServerReport(
                server.zone,
                server,
                round(tries),
                round(tries * self.failing.get(server, 0)),
                self.slow.get(server, self.latency),
                SECOND,
                self.load,
            )
            for server, tries in arrivals.items()
            if round(tries)
        ]
        return reports + [
            interface.DemandReport(slice_, None, self.operations[0], rate, 0, SECOND)
            for slice_, rate in self.rates.items()
        ]

    def slices_of(self, server: interface.Server) -> list[interface.Slice]:
        """Slices that a server serves."""
        return [
            slice_
            for slice_, table in self.tables.items()
            if server in table and server not in self.withdrawn
        ]

    def full_weight_servers(self, slice_: interface.Slice) -> list[interface.Server]:
        """Servers that serve a slice with full weight."""
        return [
            server
            for server, weight in self.tables[slice_].items()
            if weight >= 1 and server not in self.withdrawn
        ]


def cold_server_with_slices() -> tuple[Fleet, interface.Server]:
    """A fleet, and one of its servers that has just started but already has slices."""
    fleet = Fleet(servers=6, slices=48)
    fleet.run(8)
    fleet.handle(fleet.server_list(s1=("ready", fleet.now)))
    for slice_ in fleet.slices[4:6]:
        fleet.pilot.state.tables[slice_].desired = {fleet.pilot.state.server(fleet.servers[1]): 1.0}
    fleet.run(1)
    assert len(fleet.slices_of(fleet.servers[1])) >= 2
    return fleet, fleet.servers[1]


def server_report(
    fleet: Fleet, number: int, tries: int, unanswered: int, **load: float
) -> interface.ServerReport:
    """A report on a server of the fleet that covers one second."""
    return interface.ServerReport(0, fleet.servers[number], tries, unanswered, fleet.latency, SECOND, load)


# A service without sockets: the test controls the clock and the connections, and decisions are only recorded.


class FakeTimerHandle:
    def __init__(self, at, callback):
        self.at, self.callback, self.off = at, callback, False

    def cancel(self):
        self.off = True


class FakeLoop:
    """An event loop whose clock moves only in `run`."""

    def __init__(self):
        self.now, self.due, self.stopped = 0.0, [], False

    def call_later(self, delay, callback):
        self.due.append(FakeTimerHandle(self.now + delay, callback))
        return self.due[-1]

    def run(self, seconds):
        end = self.now + seconds
        while self.due and min(handle.at for handle in self.due) <= end:
            handle = min(self.due, key=lambda handle: handle.at)
            self.due.remove(handle)
            self.now = handle.at
            if not handle.off:
                handle.callback()
        self.now = end

    def set_exception_handler(self, handler):
        self.handler = handler

    def stop(self):
        self.stopped = True


class FakeConnection:
    """Replaces an HTTP connection; the test decides how its calls end."""

    created = []

    def __init__(self, clock, limits, target, on_end, on_chunk=None):
        self.target, self.on_end, self.on_chunk, self.state = target, on_end, on_chunk, "new"
        self.created.append(self)

    def call(self, method, path, wait, body=b""):
        self.method, self.path, self.state = method, path, "awaiting response"
        self.orders = json.loads(body)["changes"] if body else []

    def close(self):
        self.state = "closed"

    def end(self, how="answered", status=200, body=None):
        self.state = "idle" if how == "answered" else "closed"
        self.on_end(how, status, body if isinstance(body, bytes) else json.dumps(body).encode())

    def deliver(self, *items):
        for item in items:
            kind, told = item if item else (None, None)
            self.on_chunk(json.dumps({"type": kind, "object": told} if kind else {}).encode() + b"\n")


class RecordingPilot:
    """Records the events that it gets, and replies with the orders that the test has set."""

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
    """Replaces a client's transport."""

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
