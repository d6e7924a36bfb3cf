"""Small worlds round the decisions, played from a seed: the same events in the same order for any text."""

import hashlib
import random

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND

BEAT = SECOND // 4
# Names of orders as they stood when the digests in `tests/pilot/test_recorded.py` were recorded.
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


def plain(order) -> tuple:
    """An order with numbers and names in place of objects."""
    told = []
    for name in order.__slots__:
        value = getattr(order, name)
        if isinstance(value, tuple):
            value = tuple(operation.name for operation in value)
        told.append((name, getattr(value, "number", getattr(value, "name", value))))
    return RECORDED_NAMES.get(type(order), type(order).__name__), *told


class World:
    """`make(settings)` gives the decisions.  Servers drain, go, come back and start anew; slices grow hot,
    are lost and given; marks get lost, sums show failures and late answers."""

    def __init__(self, make, seed: int, servers: int, proxies: int, slices: int):
        self.rnd, self.now = random.Random(seed), 100 * SECOND
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
        for n, piece in enumerate(self.settings.slices):
            server = self.servers[n % servers]
            events += [
                interface.SliceAssignment(piece, bool(n % 7 or seed % 2)),
                interface.SliceReplica(piece, server, 1.0),
            ]
            self.tables[piece] = {server: 1.0}
        self.rates = [self.rnd.lognormvariate(0, 0.8) * 20 for _ in range(slices)]
        self.say(events)

    def say(self, events: list) -> list:
        orders = self.pilot.handle(self.now, events)
        for order in orders:
            if isinstance(order, interface.SetWeight):
                table = self.tables[order.slice]
                table.pop(order.server, None)
                if order.weight:
                    table[order.server] = order.weight
        self.replies.append(orders)
        return orders

    def sums(self) -> list:
        came = dict.fromkeys(self.servers, 0.0)
        for piece, rate in zip(self.settings.slices, self.rates):
            for server in self.tables[piece]:
                came[server] += rate / len(self.tables[piece])
        mean, rnd, found = sum(came.values()) / len(came) + 1e-9, self.rnd, []
        for server, count in came.items():
            if round(count):
                part = 1 if self.states[server][0] == "gone" else rnd.choice([0, 0, 0, 0.1, 0.5])
                latency = int(SECOND * (0.1 + 0.3 * count / mean * rnd.random()))
                found.append(
                    interface.ServerReport(
                        0,
                        server,
                        round(count),
                        round(count * part),
                        latency,
                        SECOND,
                        {"util": min(1, 0.5 * count / mean)},
                    )
                )
        look = self.settings.operations[0]
        for piece, rate in zip(self.settings.slices, self.rates):
            unanswered = round(rate * rnd.choice([0, 0, 0.3]))
            found.append(interface.DemandReport(piece, None, look, round(rate), unanswered, SECOND))
        return found

    def beat(self, number: int) -> None:
        rnd, self.now = self.rnd, self.now + BEAT
        marks = [order.number for order in self.replies[-1] if isinstance(order, interface.Mark)]
        events = [
            interface.OrdersApplied(proxy, mark, 0)
            for mark in marks
            for proxy in self.proxies
            if rnd.random() < 0.98
        ]
        if rnd.random() < 0.1:
            self.rates[rnd.randrange(len(self.rates))] *= rnd.choice([0.2, 8])
        if rnd.random() < 0.12:
            server, what = rnd.choice(self.servers), rnd.choice(["draining", "gone", "ready", "restart"])
            started = self.states[server][1]
            self.states[server] = ("ready", self.now) if what == "restart" else (what, started)
            events.append(
                interface.ServerList(
                    "delta",
                    [interface.ServerEntry(server, self.states[server][0], 1.0, self.states[server][1])],
                )
            )
        if rnd.random() < 0.05:
            piece = rnd.choice(self.settings.slices)
            events.append(interface.SliceAssignment(piece, rnd.random() < 0.8))
            events += [
                interface.SliceReplica(piece, server, weight) for server, weight in self.tables[piece].items()
            ]
        if rnd.random() < 0.05:
            events.append(interface.ProbeResult(rnd.choice(self.servers), "timeout", 0, {}))
        if number % 4 == 0:
            events += self.sums()
        self.say([*events, interface.TimerFired(0)])

    def play(self, seconds: int) -> str:
        """The digest of all orders."""
        for number in range(4 * seconds):
            self.beat(number)
        digest = hashlib.sha256()
        for orders in self.replies:
            digest.update(repr([plain(order) for order in orders]).encode())
        return digest.hexdigest()[:16]
