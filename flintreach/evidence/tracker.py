"""Tracks for each host what collectd has reported, how old it is and whether it may be used. No I/O.

A value has the time at which it was measured by the sender's clock, the time at which it arrived, and the
interval after which the next one is due. A host's load is used only while it is fresh. Missing values change
nothing by themselves, late values are entered at their own time without affecting the current load, and a
load that contradicts the load that the server itself reports is not used.
"""

from collections import deque
from dataclasses import dataclass, field

from flintreach.evidence.packet import COUNTER, DERIVE, GAUGE, ValueList
from flintreach.pilot.interface import SECOND

# (state, input) -> (next state, effect). Pairs that are not listed change nothing.
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
AGEING_AFTER = 1.5  # intervals without a data point until a fresh host is ageing
UNKNOWN_AFTER = 4.0  # intervals without a data point until a host is unknown
SETTLING_POINTS = 3  # consecutive data points after a silence before the load is used
CLOCK_TOLERANCE = SECOND  # a sender's clock may be this far ahead of ours without being considered wrong
SKEW_SAMPLES = 5  # data points at their regular pace with the same time difference that prove a clock offset
MAX_SKEW = 24 * 3600 * SECOND  # larger differences are never taken for a clock offset
CONTRADICTION_THRESHOLD = 0.4  # excess of the server's own load over its host's that contradicts the host
AGREEMENT_THRESHOLD = 0.2  # excess below which a contradicted host settles again

# Series that are exported as metrics only, by plugin, type and type instance (None: any).
EXPORTED_SERIES = {
    ("load", "load", ""): "evidence.load",
    ("memory", "memory", "used"): "evidence.memory",
    ("interface", "if_octets", None): "evidence.octets",
    ("tcpconns", "tcp_connections", "ESTABLISHED"): "evidence.connections",
}


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits on the state that received values may create.

    Attributes:
        hosts: Most hosts that are tracked.
        series: Most series of one host.
        min_interval: Shortest accepted interval, in nanoseconds.
        max_interval: Longest accepted interval, in nanoseconds.
    """

    hosts: int = 4096
    series: int = 256
    min_interval: int = SECOND // 10
    max_interval: int = 600 * SECOND


@dataclass(slots=True)
class SenderClock:
    """Estimates the offset of a sender's clock from the arrival times of its data points.

    Attributes:
        offset: Our time minus the sender's time.
        implausible: The most recent implausible times as (arrival, arrival - sender's time).
    """

    offset: int = 0
    implausible: deque = field(default_factory=lambda: deque(maxlen=SKEW_SAMPLES))

    def to_local(self, sender_time: int, arrival: int, interval: int) -> int | None:
        """Convert a sender's time to our clock.

        Delay must not be mistaken for a clock offset. Delayed data points arrive in a burst, each with a
        different delay. A wrong clock shows the same difference repeatedly, at the pace of the interval.

        Returns:
            The time by our clock, or None where it lies in the future and no offset explains it.
        """
        local_time = sender_time + self.offset
        is_ahead = local_time > arrival + CLOCK_TOLERANCE
        if not is_ahead and arrival - local_time <= UNKNOWN_AFTER * interval + 5 * SECOND:
            self.implausible.clear()
            return min(local_time, arrival)
        self.implausible.append((arrival, arrival - sender_time))
        if len(self.implausible) == SKEW_SAMPLES:
            arrivals, differences = zip(*self.implausible)
            is_paced = all(later - earlier >= interval // 2 for earlier, later in zip(arrivals, arrivals[1:]))
            is_steady = max(differences) - min(differences) <= max(interval // 2, SECOND)
            if is_paced and is_steady and abs(differences[-1]) <= MAX_SKEW:
                self.offset = min(differences)
                self.implausible.clear()
                return min(sender_time + self.offset, arrival)
        return None if is_ahead else local_time


@dataclass(slots=True)
class Series:
    """The latest value of a series, kept to turn counters into rates and to reject duplicates.

    Attributes:
        time: When the value was measured, by our clock; 0 before the first one.
        raw: The value as received.
        rate: The change per second, or for gauges the value itself; None where it is not known.
        kind: The type of the value.
    """

    time: int = 0
    raw: float = 0.0
    rate: float | None = None
    kind: int = GAUGE

    def update(self, time: int, kind: int, raw: float) -> bool:
        """Enter a value.

        Returns:
            Whether it was entered; duplicates, outdated values and values that are not finite are not.
        """
        if time <= self.time or raw != raw or raw in (float("inf"), float("-inf")):
            return False
        elapsed = (time - self.time) / SECOND
        if kind == GAUGE:
            self.rate = raw
        elif kind in (COUNTER, DERIVE):
            has_previous = self.time and kind == self.kind
            increase = raw - self.raw
            if has_previous and kind == COUNTER and self.raw < 2**32 and increase < -(2**31):
                increase += 2**32  # a 32-bit counter has wrapped around
            # Any other decrease is a counter reset; the increase since the reset is not known.
            self.rate = increase / elapsed if has_previous and increase >= 0 else None
        else:
            self.rate = raw / elapsed if self.time else None
        self.time = time
        self.raw = raw
        self.kind = kind
        return True


@dataclass(slots=True)
class Host:
    """State of one host.

    Attributes:
        newest: When the newest load was measured, by our clock.
        arrival: When the latest current data point arrived.
        points: Consecutive data points while the host is settling.
        last_counted: When the last of these was measured.
        busy: Busy share of the host's processors; None where it is not known.
        sender: The one sender whose values are accepted for this host.
        last_heard: When that sender's last value arrived.
        cpu_rates: By processor and state of the processor, the time and the rate of the latest value.
    """

    name: str
    state: str = "unknown"
    interval: int = 10 * SECOND
    newest: int = 0
    arrival: int = 0
    points: int = 0
    last_counted: int = 0
    busy: float | None = None
    sender: object = None
    last_heard: int = 0
    clock: SenderClock = field(default_factory=SenderClock)
    series: dict[tuple, Series] = field(default_factory=dict)
    cpu_rates: dict[str, dict[str, tuple[int, float]]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LoadSample:
    """The current load of a host.

    Attributes:
        host: collectd's name of the host.
        busy: Busy share of its processors, 0 to 1.
        age: Nanoseconds since it was measured.
    """

    host: str
    busy: float
    age: int


class HostTracker:
    """Tracks the load of hosts from the value lists that collectd sends.

    Args:
        hosts: Maps the name of each tracked host to its server's name; names must match exactly.
        bounds: Limits on the state that is kept.
    """

    def __init__(self, hosts: dict[str, str], bounds: Bounds | None = None):
        self.servers = dict(hosts)
        self.bounds = bounds or Bounds()
        self.hosts: dict[str, Host] = {}
        self.counts: dict[str, int] = {}

    def count(self, what: str) -> None:
        """Count a rejected or unused input for the log."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def apply_input(self, host: Host, what: str) -> str | None:
        """Move a host to its next state.

        Returns:
            The effect of the transition, if any.
        """
        host.state, effect = STATES.get((host.state, what), (host.state, None))
        if host.state in ("unknown", "contradicted", "settling") and what != "point":
            host.points = 0
        return effect

    def find_host(self, name: str) -> Host | None:
        """Return the state of a tracked host, creating it if needed.

        Hosts without a server are only counted, so that a sender that invents names cannot exhaust memory.
        """
        if name not in self.servers:
            self.count("host not mapped to a server")
            return None
        if name not in self.hosts and len(self.hosts) >= self.bounds.hosts:
            self.count("too many hosts")
            return None
        return self.hosts.setdefault(name, Host(name))

    def observe(self, values: ValueList, arrival: int, sender: object = None) -> LoadSample | None:
        """Enter a value list.

        Args:
            values: The value list.
            arrival: When it arrived, by our clock.
            sender: The user or address that sent it.

        Returns:
            The host's load, if this value list completes a new usable one.
        """
        host = self.find_host(values.host)
        if host is None:
            return None
        if not self.bounds.min_interval <= values.interval <= self.bounds.max_interval:
            self.count("interval out of bounds")
            return None
        is_other_sender = host.sender not in (None, sender)
        if is_other_sender and arrival - host.last_heard < UNKNOWN_AFTER * host.interval:
            self.count("second sender for a host")
            return None
        time = host.clock.to_local(values.time, arrival, values.interval)
        if time is None:
            self.count("sender clock ahead")
            return None
        host.sender = sender
        host.last_heard = arrival
        host.interval = values.interval
        key = values.plugin, values.plugin_instance, values.type, values.type_instance
        series = host.series.get(key)
        if series is None:
            if len(host.series) >= self.bounds.series:
                self.count("too many series of a host")
                return None
            series = host.series[key] = Series()
        # Of several gauges only the first counts (the one-minute load); counters are summed (rx and tx).
        raw = values.figures[0] if values.kinds[0] == GAUGE else float(sum(values.figures))
        if not series.update(time, values.kinds[0], raw):
            self.count("duplicate, outdated or non-finite value")
            return None
        if values.plugin != "cpu":
            return None
        return self.update_busy(host, values, series, time, arrival)

    def update_busy(
        self, host: Host, values: ValueList, series: Series, time: int, arrival: int
    ) -> LoadSample | None:
        """Derive the busy share from idle time and total time.

        Processors report one after the other, and the first one alone does not represent the host. The sum
        therefore covers all processors with an idle value from the current or the previous interval.
        """
        if series.rate is None:
            return None
        host.cpu_rates.setdefault(values.plugin_instance, {})[values.type_instance] = time, series.rate
        if time + values.interval // 2 < host.newest:
            self.count("late data point")  # kept in its series, but it does not describe the current load
            return None
        host.newest = max(host.newest, time)
        if values.type_instance != "idle":
            return None
        idle = total = 0.0
        for rates in host.cpu_rates.values():
            current = {
                cpu_state: rate
                for cpu_state, (measured, rate) in rates.items()
                if time - measured < AGEING_AFTER * values.interval
            }
            if "idle" in current:
                idle += current["idle"]
                is_percent = values.type == "percent" or len(current) == 1
                total += 100.0 if is_percent else sum(current.values())
        if total <= 0:
            return None
        host.busy = min(1.0, max(0.0, 1 - idle / total))
        return self.add_point(host, time, arrival)

    def add_point(self, host: Host, time: int, arrival: int) -> LoadSample | None:
        """Enter a data point of the host's load; one that arrives late says nothing about the present."""
        if arrival - time > AGEING_AFTER * host.interval:
            self.count("late data point")
            return None
        host.arrival = arrival
        effect = self.apply_input(host, "point")
        if host.state == "settling" and time > host.last_counted + host.interval // 2:
            # After a silence the first values may belong to a host that is still starting or to the end of
            # a burst of delayed values.
            host.points += 1
            host.last_counted = time
            if host.points >= SETTLING_POINTS:
                effect = self.apply_input(host, "settled")
        return self.current_load(host, arrival) if effect == "tell" else None

    def current_load(self, host: Host, now: int) -> LoadSample | None:
        """Return the load of a host, or None where it is not known."""
        if host.busy is None:
            return None
        return LoadSample(host.name, host.busy, max(0, now - host.newest))

    def update_ages(self, now: int) -> list[tuple[str, str]]:
        """Apply the passage of time to all hosts.

        Returns:
            The name and the new state of each host whose state has changed.
        """
        changed = []
        for host in self.hosts.values():
            previous_state = host.state
            silence = now - host.arrival
            if silence > AGEING_AFTER * host.interval:
                self.apply_input(host, "late")
            if silence > UNKNOWN_AFTER * host.interval:
                self.apply_input(host, "silent")
            if host.state != previous_state:
                changed.append((host.name, host.state))
        return changed

    def compare(self, name: str, server_load: float | None) -> str | None:
        """Compare a host's load with the load that its server reports itself.

        A host can be busier than its server but not much idler. If it seems to be, its values belong to
        another machine or no longer change.

        Returns:
            The new state of the host, if it has changed.
        """
        host = self.hosts.get(name)
        if host is None or host.busy is None or server_load is None:
            return None
        previous_state = host.state
        excess = server_load - host.busy
        if excess > CONTRADICTION_THRESHOLD:
            self.apply_input(host, "against")
        elif excess < AGREEMENT_THRESHOLD:
            self.apply_input(host, "agrees")
        return host.state if host.state != previous_state else None

    def gauges(self, now: int) -> list[tuple[str, str, float]]:
        """Return (metric, host, value) for each known value of the hosts that are fresh or ageing."""
        rows = []
        for host in self.hosts.values():
            if host.state not in ("fresh", "ageing"):
                continue
            if host.busy is not None:
                rows.append(("evidence.busy", host.name, host.busy))
                rows.append(("evidence.age", host.name, max(0, now - host.newest) / SECOND))
            sums: dict[str, float] = {}
            for (plugin, _, kind, instance), series in host.series.items():
                metric = EXPORTED_SERIES.get((plugin, kind, instance)) or EXPORTED_SERIES.get(
                    (plugin, kind, None)
                )
                is_current = now - series.time < UNKNOWN_AFTER * host.interval
                if metric and series.rate is not None and is_current:
                    sums[metric] = sums.get(metric, 0.0) + series.rate
            rows += [(metric, host.name, value) for metric, value in sums.items()]
        return rows

    def server_restarted(self, name: str) -> None:
        """Discard the load of a host whose server has restarted, as it describes the time before."""
        host = self.hosts.get(name)
        if host:
            self.apply_input(host, "restarted")
            host.busy = None

    def set_hosts(self, hosts: dict[str, str]) -> None:
        """Replace the map of hosts to servers and discard the state of hosts that it no longer contains."""
        self.servers = dict(hosts)
        for name in self.hosts.keys() - self.servers.keys():
            del self.hosts[name]
