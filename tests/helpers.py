"""A small fleet around one pilot, with no bench: it tracks tables and answers marks."""

from flintreach import interface as face
from flintreach.interface import SECOND
from flintreach.logic import Pilot


class Fleet:
    def __init__(self, servers=4, slices=8, proxies=3, demand=4, **settings):
        self.ops = [face.Operation("look", 0, SECOND, 3 * SECOND, 1.0),
                    face.Operation("book", 1, SECOND, 3 * SECOND, 5.0, "side-effecting", writes=True)]
        told = {"seed": 7, "proxies": proxies, "operations": self.ops, "cold_share": 0.2,
                "slices": [face.Slice(n) for n in range(slices)], "warm_up": 10 * SECOND,
                "channel_limit": 8000.0}
        self.settings = face.Settings(**(told | settings))
        self.slices, self.now, self.log, self.replies = self.settings.slices, 100 * SECOND, [], []
        self.servers = [face.Server(f"s{n}", zone=n % self.settings.zones) for n in range(servers)]
        self.proxies = [face.Proxy(n) for n in range(proxies)]
        self.tables = {piece: {} for piece in self.slices}
        self.rates = dict.fromkeys(self.slices, demand)
        self.failing, self.levels, self.latency, self.slow, self.load = {}, {}, SECOND // 5, {}, {}
        self.shut, self.marks = set(), []  # withdrawn; not yet answered
        self.pilot = Pilot(self.settings)
        self.say(self.roster("cached"), *[face.Joined(proxy, True) for proxy in self.proxies])
        for n, piece in enumerate(self.slices):
            self.tables[piece] = {self.servers[n % servers]: 1.0}
            self.say(face.Given(piece, True), face.Held(piece, self.servers[n % servers], 1.0))

    def roster(self, how="delta", **states):
        """roster(s1="gone", s2=("ready", started)); a list that is not a delta holds all the others too."""
        rows = {server.name: "ready" for server in self.servers if how != "delta"} | states
        entries = []
        for server in self.servers:
            if server.name in rows:
                state, started = rows[server.name], 0
                if isinstance(state, tuple):
                    state, started = state
                entries.append(face.Entry(server, state, 1.0, started))
        return face.Roster(how, entries)

    def say(self, *events):
        orders = self.pilot.handle(self.now, list(events))
        self.replies.append((self.now, orders))
        for order in orders:
            match order:
                case face.SetLine(piece, server, weight):
                    table = self.tables.setdefault(piece, {})
                    assert weight > 0 or server in table, "an absent line was removed"
                    assert table.get(server) != weight, "a standing value was repeated"
                    table.pop(server, None)
                    if weight > 0:
                        table[server] = weight
                case face.Admit(piece, operations, level, resend):
                    assert resend <= 1 or all(op.effect != "side-effecting" for op in operations)
                    self.levels |= {(piece, op): level for op in operations}
                case face.Withdraw(server, out):
                    assert out != (server in self.shut), "a standing withdrawal was repeated"
                    (self.shut.add if out else self.shut.discard)(server)
                case face.Mark(number):
                    self.marks.append(number)
                case face.Log(text):
                    self.log.append(text)
        return orders

    def run(self, seconds, sums=True):
        """Beats of a quarter second; the marks of each reply are answered in the next."""
        for beat in range(4 * seconds):
            self.now += SECOND // 4
            events = [face.Applied(proxy, mark, 0) for mark in self.marks for proxy in self.proxies]
            self.marks = []
            self.say(*events, face.Woke(0), *(self.sums() if sums and beat % 4 == 0 else []))

    def sums(self):
        came = {}
        for piece, rate in self.rates.items():
            lines = {server: weight for server, weight in self.tables[piece].items() if weight >= 1}
            for server in lines:
                came[server] = came.get(server, 0) + rate / len(lines)
        heard = [face.Heard(server.zone, server, round(tries), round(tries * self.failing.get(server, 0)),
                            self.slow.get(server, self.latency), SECOND, self.load)
                 for server, tries in came.items() if round(tries)]
        return heard + [face.Demand(piece, None, self.ops[0], rate, 0, SECOND)
                        for piece, rate in self.rates.items()]

    def holds(self, server):
        return [piece for piece, table in self.tables.items() if server in table]

    def mains(self, piece):
        return [server for server, weight in self.tables[piece].items() if weight >= 1]
