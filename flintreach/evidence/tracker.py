"""What is known of each host, how old it is, and whether it may count.  Pure.

A figure has a time at which it was true by the sender's clock, one at which it came, and an interval after
which the next is due.  Evidence speaks only while it is fresh; silence changes nothing, late points are put
where they belong and move nothing now, and one that contradicts what the pilot's own sums say does not count.
"""

from collections import deque
from dataclasses import dataclass, field

from flintreach.evidence.packet import COUNTER, DERIVE, GAUGE, ValueList
from flintreach.pilot.interface import SECOND

# State, input, next state, effect.  A pair that is not here changes nothing.
STATES = {
    ("unknown", "point"): ("settling", None),
    ("settling", "settled"): ("fresh", "tell"),
    ("fresh", "point"): ("fresh", "tell"),
    ("fresh", "late"): ("ageing", None),
    ("ageing", "point"): ("fresh", "tell"),
    ("ageing", "silent"): ("unknown", None),
    ("settling", "silent"): ("unknown", None),
    ("contradicted", "silent"): ("unknown", None),
    ("fresh", "against"): ("contradicted", None),
    ("ageing", "against"): ("contradicted", None),
    ("contradicted", "agrees"): ("settling", None),
    **{(state, "restarted"): ("unknown", None) for state in ("settling", "fresh", "ageing", "contradicted")},
}
LATE, SILENT = 1.5, 4.0  # intervals without a point, after which it ages, and is not known any more
SETTLED = 3  # points in a row after a silence, before the first counts
AHEAD = SECOND  # that a sender's clock may be before ours without being wrong
SKEWED = 5  # points that came at their pace with one and the same wrong time: the clock is off by that
SKEW_MOST = 24 * 3600 * SECOND  # beyond that no clock is merely off
AGAINST = 0.4  # of a host's capacity, by which it would have to be idler than the sums say
AGREES = 0.2


# Series that are shown, by plugin, type and type instance (None: any); they decide nothing.
SHOWN = {
    ("load", "load", ""): "evidence.load",
    ("memory", "memory", "used"): "evidence.memory",
    ("interface", "if_octets", None): "evidence.octets",
    ("tcpconns", "tcp_connections", "ESTABLISHED"): "evidence.connections",
}


@dataclass(frozen=True, slots=True)
class Bounds:
    """What one pilot may hold of others' figures."""

    hosts: int = 4096
    series: int = 256  # of one host
    interval_least: int = SECOND // 10
    interval_most: int = 600 * SECOND


@dataclass(slots=True)
class Clock:
    """How far a sender's clock is off, as found and not as told: `off` is our time less its time."""

    off: int = 0
    wrong: deque = field(default_factory=lambda: deque(maxlen=SKEWED))  # (came, came - told), not believed

    def believe(self, told: int, came: int, interval: int) -> int | None:
        """The time on our clock, or None where it can't be believed.

        What is late is not off: late points come in a burst, and each is late by another time.  A clock that
        is off tells the same difference again and again, at the pace of its interval.
        """
        true = told + self.off
        ahead_of_us = true > came + AHEAD
        if not ahead_of_us and came - true <= SILENT * interval + 5 * SECOND:
            self.wrong.clear()
            return min(true, came)
        self.wrong.append((came, came - told))
        if len(self.wrong) == SKEWED:
            times, differences = zip(*self.wrong)
            paced = all(later - sooner >= interval // 2 for sooner, later in zip(times, times[1:]))
            steady = max(differences) - min(differences) <= max(interval // 2, SECOND)
            if paced and steady and abs(differences[-1]) <= SKEW_MOST:
                self.off = min(differences)
                self.wrong.clear()
                return min(told + self.off, came)
        return None if ahead_of_us else true


@dataclass(slots=True)
class Series:
    """The last figure of one series, so that counters become rates and repeats are found."""

    time: int = 0
    raw: float = 0.0
    rate: float | None = None  # a second; of gauges the figure itself
    kind: int = GAUGE

    def take(self, time: int, kind: int, raw: float) -> bool:
        """Whether it was news.  Repeats and what is older than the last change nothing."""
        if time <= self.time or raw != raw or raw in (float("inf"), float("-inf")):
            return False
        span = (time - self.time) / SECOND
        if kind == GAUGE:
            self.rate = raw
        elif kind in (COUNTER, DERIVE):
            known = self.time and kind == self.kind
            gone = raw - self.raw
            if known and kind == COUNTER and self.raw < 2**32 and gone < -(2**31):
                gone += 2**32  # a counter of 32 bits that went round
            # One that fell otherwise began anew: what it counted since is not known.
            self.rate = gone / span if known and gone >= 0 else None
        else:
            self.rate = raw / span if self.time else None
        self.time, self.raw, self.kind = time, raw, kind
        return True


@dataclass(slots=True)
class Host:
    """What is known of one."""

    name: str
    state: str = "unknown"
    interval: int = 10 * SECOND
    newest: int = 0  # when its newest figure was true, on our clock
    came: int = 0  # when it came
    points: int = 0  # rounds in a row, while it settles
    counted: int = 0  # when the last of them was true
    busy: float | None = None  # part of its processors that work
    sender: object = None  # one address speaks for a host
    heard: int = 0  # when that one spoke last
    clock: Clock = field(default_factory=Clock)
    series: dict[tuple, Series] = field(default_factory=dict)
    round: dict[str, dict[str, tuple[int, float]]] = field(default_factory=dict)  # processor, what it does


@dataclass(frozen=True, slots=True)
class Evidence:
    """What a host's figures say now; `age` is how long ago it was true, in nanoseconds."""

    host: str
    busy: float
    age: int


class HostTracker:
    """`servers` maps each host that counts to its server's name: exactly, and by no pattern."""

    def __init__(self, hosts: dict[str, str], bounds: Bounds | None = None):
        self.servers, self.bounds = dict(hosts), bounds or Bounds()
        self.hosts: dict[str, Host] = {}
        self.counts: dict[str, int] = {}

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def step(self, host: Host, what: str) -> str | None:
        host.state, effect = STATES.get((host.state, what), (host.state, None))
        if host.state in ("unknown", "contradicted", "settling") and what != "point":
            host.points = 0
        return effect

    def known(self, name: str) -> Host | None:
        """Hosts that no server runs on cost a count, and no memory: a million names must not fill ours."""
        if name not in self.servers:
            self.count("host that no server runs on")
            return None
        if name not in self.hosts and len(self.hosts) >= self.bounds.hosts:
            self.count("too many hosts")
            return None
        return self.hosts.setdefault(name, Host(name))

    def observe(self, value: ValueList, came: int, sender: object = None) -> Evidence | None:
        """One value list, at `came` on our clock; gives what it says now, if anything."""
        host = self.known(value.host)
        if host is None:
            return None
        if not self.bounds.interval_least <= value.interval <= self.bounds.interval_most:
            self.count("absurd interval")
            return None
        if host.sender not in (None, sender) and came - host.heard < SILENT * host.interval:
            self.count("second sender for a host")
            return None
        time = host.clock.believe(value.time, came, value.interval)
        if time is None:
            self.count("clock ahead")
            return None
        host.sender, host.heard, host.interval = sender, came, value.interval
        key = value.plugin, value.plugin_instance, value.type, value.type_instance
        series = host.series.get(key)
        if series is None:
            if len(host.series) >= self.bounds.series:
                self.count("too many series of a host")
                return None
            series = host.series[key] = Series()
        # Of several gauges the first (load of a minute); of several counters all (received and sent).
        raw = value.figures[0] if value.kinds[0] == GAUGE else float(sum(value.figures))
        if not series.take(time, value.kinds[0], raw):
            self.count("repeated, old or no figure")
            return None
        if value.plugin != "cpu":
            return None
        return self.processors(host, value, series, time, came)

    def processors(
        self, host: Host, value: ValueList, series: Series, time: int, came: int
    ) -> Evidence | None:
        """Idle time against all time, over the processors that told of both in this round or the last: they
        tell one by one, and the first of them alone is not the host."""
        if series.rate is None:
            return None
        host.round.setdefault(value.plugin_instance, {})[value.type_instance] = time, series.rate
        if time + value.interval // 2 < host.newest:
            self.count("late point")  # it stands in its series, and says nothing of now
            return None
        host.newest = max(host.newest, time)
        if value.type_instance != "idle":
            return None
        idle = every = 0.0
        for rows in host.round.values():
            fresh = {what: rate for what, (when, rate) in rows.items() if time - when < LATE * value.interval}
            if "idle" in fresh:
                idle += fresh["idle"]
                every += 100.0 if value.type == "percent" or len(fresh) == 1 else sum(fresh.values())
        if every <= 0:
            return None
        host.busy = min(1.0, max(0.0, 1 - idle / every))
        return self.point(host, time, came)

    def point(self, host: Host, time: int, came: int) -> Evidence | None:
        """It says something of now only if it is of now: a late burst is of then."""
        if came - time > LATE * host.interval:
            self.count("late point")
            return None
        host.came = came
        effect = self.step(host, "point")
        if host.state == "settling" and time > host.counted + host.interval // 2:
            # After a silence the first figure may be of a host that has just come back, or of a burst's end.
            host.points, host.counted = host.points + 1, time
            if host.points >= SETTLED:
                effect = self.step(host, "settled")
        return self.says(host, came) if effect == "tell" else None

    def says(self, host: Host, now: int) -> Evidence | None:
        if host.busy is None:
            return None
        return Evidence(host.name, host.busy, max(0, now - host.newest))

    def look(self, now: int) -> list[tuple[str, str]]:
        """Changes of state by the passing of time: (host, state)."""
        changed = []
        for host in self.hosts.values():
            before, quiet = host.state, now - host.came
            if quiet > LATE * host.interval:
                self.step(host, "late")
            if quiet > SILENT * host.interval:
                self.step(host, "silent")
            if host.state != before:
                changed.append((host.name, host.state))
        return changed

    def compare(self, name: str, own: float | None) -> str | None:
        """What the pilot's own sums say of the server's load, against its host's figure; gives the new state.

        A host can be busier than its server, never much idler: then it is of another machine, or stuck.
        """
        host = self.hosts.get(name)
        if host is None or host.busy is None or own is None:
            return None
        before = host.state
        if own - host.busy > AGAINST:
            self.step(host, "against")
        elif own - host.busy < AGREES:
            self.step(host, "agrees")
        return host.state if host.state != before else None

    def figures(self, now: int) -> list[tuple[str, str, float]]:
        """Rows of (name, host, value) of hosts that are heard of now; what is not known has no row."""
        found = []
        for host in self.hosts.values():
            if host.state not in ("fresh", "ageing"):
                continue
            if host.busy is not None:
                found.append(("evidence.busy", host.name, host.busy))
                found.append(("evidence.age", host.name, max(0, now - host.newest) / SECOND))
            sums: dict[str, float] = {}
            for (plugin, _, kind, what), series in host.series.items():
                name = SHOWN.get((plugin, kind, what)) or SHOWN.get((plugin, kind, None))
                if name and series.rate is not None and now - series.time < SILENT * host.interval:
                    sums[name] = sums.get(name, 0.0) + series.rate
            found += [(name, host.name, value) for name, value in sums.items()]
        return found

    def restarted(self, name: str) -> None:
        """Its server began anew: what was heard is of before."""
        host = self.hosts.get(name)
        if host:
            self.step(host, "restarted")
            host.busy = None

    def renamed(self, hosts: dict[str, str]) -> None:
        """The map was read again: hosts that it names no more are forgotten."""
        self.servers = dict(hosts)
        for name in self.hosts.keys() - self.servers.keys():
            del self.hosts[name]
