"""A simulated fleet around the pilot's decisions, driven by a seed: the same seed gives the same events."""

import hashlib
import random

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND

TICK_NS = SECOND // 4
# Names of orders at the time when the digests in `tests/pilot/test_recorded.py` were recorded.
RECORDED_NAMES = {
    interface.BindProxy: "Bind",
    interface.ClearTable: "Clear",
    interface.FetchServerList: "FetchRoster",
    interface.RunSearch: "Solve",
    interface.SendToPilot: "Tell",
    interface.SetAdmission: "Admit",
    interface.SetTimer: "Wake",
    interface.SetWeight: "SetLine",
    interface.WatchServers: "Observe",
}


def recorded_form(order) -> tuple:
    """An order as it was recorded, with numbers and names in place of objects."""
    fields = []
    for name in order.__slots__:
        value = getattr(order, name)
        if isinstance(value, tuple):
            value = tuple(operation.name for operation in value)
        fields.append((name, getattr(value, "number", getattr(value, "name", value))))
    return RECORDED_NAMES.get(type(order), type(order).__name__), *fields


class SimulatedFleet:
    """A fleet around the decisions that `make(settings)` returns.

    Servers drain, leave, come back and restart; slices become hot, are lost and assigned; some confirmations
    get lost, and reports show failures and high latencies.
    """

    def __init__(self, make, seed: int, servers: int, proxies: int, slices: int):
        self.rng, self.now = random.Random(seed), 100 * SECOND
        operations = [
            interface.Operation("look", 0, SECOND, 3 * SECOND, 1.0),
            interface.Operation("book", 1, SECOND, 3 * SECOND, 5.0, "side-effecting", writes=True),
        ]
        self.settings = interface.Settings(
            seed=seed,
            proxies=proxies,
            operations=operations,
            cold_share=0.2,
            warm_up=10 * SECOND,
            slices=[interface.Slice(n) for n in range(slices)],
            channel_limit=50.0 * proxies,
            messages_most=20,
            load_fields=("util",),
            probes=True,
        )
        self.servers = [interface.Server(f"s{n}") for n in range(servers)]
        self.proxies = [interface.Proxy(n) for n in range(proxies)]
        self.states = dict.fromkeys(self.servers, ("ready", 0))
        self.tables, self.replies, self.pilot = {}, [], make(self.settings)
        events = [
            interface.ServerList(
                "cached", [interface.ServerEntry(server, "ready", 1.0, 0) for server in self.servers]
            )
        ]
        events += [interface.ProxyJoined(proxy, True) for proxy in self.proxies]
        for n, slice_ in enumerate(self.settings.slices):
            server = self.servers[n % servers]
            events += [
                interface.SliceAssignment(slice_, bool(n % 7 or seed % 2)),
                interface.SliceReplica(slice_, server, 1.0),
            ]
            self.tables[slice_] = {server: 1.0}
        self.rates = [self.rng.lognormvariate(0, 0.8) * 20 for _ in range(slices)]
        self.handle(events)

    def handle(self, events: list) -> list:
        orders = self.pilot.handle(self.now, events)
        for order in orders:
            if isinstance(order, interface.SetWeight):
                table = self.tables[order.slice]
                table.pop(order.server, None)
                if order.weight:
                    table[order.server] = order.weight
        self.replies.append(orders)
        return orders

    def reports(self) -> list:
        arrivals = dict.fromkeys(self.servers, 0.0)
        for slice_, rate in zip(self.settings.slices, self.rates):
            for server in self.tables[slice_]:
                arrivals[server] += rate / len(self.tables[slice_])
        mean, rng, reports = sum(arrivals.values()) / len(arrivals) + 1e-9, self.rng, []
        for server, count in arrivals.items():
            if round(count):
                unanswered_share = 1 if self.states[server][0] == "gone" else rng.choice([0, 0, 0, 0.1, 0.5])
                latency = int(SECOND * (0.1 + 0.3 * count / mean * rng.random()))
                reports.append(
                    interface.ServerReport(
                        0,
                        server,
                        round(count),
                        round(count * unanswered_share),
                        latency,
                        SECOND,
                        {"util": min(1, 0.5 * count / mean)},
                    )
                )
        operation = self.settings.operations[0]
        for slice_, rate in zip(self.settings.slices, self.rates):
            unanswered = round(rate * rng.choice([0, 0, 0.3]))
            reports.append(interface.DemandReport(slice_, None, operation, round(rate), unanswered, SECOND))
        return reports

    def tick(self, number: int) -> None:
        rng, self.now = self.rng, self.now + TICK_NS
        marks = [order.number for order in self.replies[-1] if isinstance(order, interface.Mark)]
        events = [
            interface.OrdersApplied(proxy, mark, 0)
            for mark in marks
            for proxy in self.proxies
            if rng.random() < 0.98
        ]
        if rng.random() < 0.1:
            self.rates[rng.randrange(len(self.rates))] *= rng.choice([0.2, 8])
        if rng.random() < 0.12:
            server, change = rng.choice(self.servers), rng.choice(["draining", "gone", "ready", "restart"])
            started = self.states[server][1]
            self.states[server] = ("ready", self.now) if change == "restart" else (change, started)
            events.append(
                interface.ServerList(
                    "delta",
                    [interface.ServerEntry(server, self.states[server][0], 1.0, self.states[server][1])],
                )
            )
        if rng.random() < 0.05:
            slice_ = rng.choice(self.settings.slices)
            events.append(interface.SliceAssignment(slice_, rng.random() < 0.8))
            events += [
                interface.SliceReplica(slice_, server, weight)
                for server, weight in self.tables[slice_].items()
            ]
        if rng.random() < 0.05:
            events.append(interface.ProbeResult(rng.choice(self.servers), "timeout", 0, {}))
        if number % 4 == 0:
            events += self.reports()
        self.handle([*events, interface.TimerFired(0)])

    def run(self, seconds: int) -> str:
        """Simulate some seconds, and return the digest of all orders so far."""
        for number in range(4 * seconds):
            self.tick(number)
        digest = hashlib.sha256()
        for orders in self.replies:
            digest.update(repr([recorded_form(order) for order in orders]).encode())
        return digest.hexdigest()[:16]
