"""The registry of measures.  What passes through a turn is counted; the rest is read when it is sent."""

import os
import time
from collections import Counter

from hdrh.histogram import HdrHistogram

from flintreach.pilot import interface
from flintreach.telemetry.names import BY_NAME, NAMES, PARTS

LONGEST = 60_000_000  # microseconds: the longest turn that the histogram tells apart
ORDERS = {
    interface.SetWeight: "orders.lines",
    interface.Withdraw: "orders.shut",
    interface.SetAdmission: "orders.levels",
    interface.Mark: "orders.marks",
    interface.Probe: "orders.probes",
}
PAGE = os.sysconf("SC_PAGE_SIZE")


class MetricsCollector:
    """`snapshot()` gives the value of each path; a gauge that has none is absent, never 0."""

    def __init__(self, service):
        self.service, self.counters = service, Counter()
        self.spans = {name.name: HdrHistogram(1, LONGEST, 2) for name in NAMES if name.kind == "histogram"}
        service.turn_observers.append(self.tap)

    def tap(self, now: int, events: list, orders: list, took: int) -> None:
        """`took` in nanoseconds."""
        counters = self.counters
        counters["turns.count"] += 1
        counters["turns.events"] += len(events)
        self.spans["turns.time"].record_value(max(1, min(LONGEST, took // 1000)))
        for event in events:
            kind = type(event)
            if kind is interface.ServerReport:
                counters["reports.servers"] += 1
                counters["reports.tries"] += event.tries
                counters["reports.unanswered"] += event.unanswered
            elif kind is interface.DemandReport:
                counters["reports.slices"] += 1
        for order in orders:
            name = ORDERS.get(type(order))
            if name:
                counters[name] += 1

    def gauges(self) -> dict[str, float]:
        service, pilot = self.service, self.service.pilot
        modes = Counter(tgt.mode for tgt in pilot.state.servers.values())
        with open("/proc/self/statm") as file:
            resident = int(file.read().split()[1]) * PAGE / 2**20
        found = {
            "turns.deepest": service.peak_pending_events,
            "turns.waiting": len(service.pending_events),
            "reports.lines": service.clients.lines_read,
            "relay.waiting": len(service.order_sender.pending),
            "relay.flight": len(service.order_sender.in_flight),
            "relay.doubt": int(service.order_sender.state == "doubt"),
            "channel.lines": sum(
                lines for row in pilot.dispatcher.unconfirmed.values() for _, lines, _ in row
            ),
            "probes.open": len(service.prober.in_flight),
            "discovery.known": int(service.discovery_client.has_list),
            "discovery.failures": service.discovery_client.failures,
            "relay.failures": service.order_sender.failures,
            "news.failures": service.relay_feed.failures,
            "news.proxies": len(service.relay_feed.joined_proxies),
            "news.slices": len(service.relay_feed.tables),
            "level.fleet": pilot.dispatcher.admission_level,
            "warnings.count": sum(service.warning_counts.values()),
            "process.cpu": time.process_time(),
            "process.memory": round(resident, 2),
            **{
                f"servers.{mode}": modes[mode]
                for mode in ("fit", "cold", "out", "trial", "leaving", "unknown")
            },
            **service.clients.gauges(),
        }
        for source in service.gauge_sources:
            found |= source()
        return found

    def snapshot(self) -> dict[str, float]:
        """All paths and their values; histograms begin anew."""
        found = {name.name: self.counters[name.name] for name in NAMES if name.kind == "counter"}
        found |= {name: value for name, value in self.gauges().items() if name in BY_NAME}
        for name, span in self.spans.items():
            count = span.get_total_count()
            values = (
                count,
                span.get_value_at_percentile(50),
                span.get_value_at_percentile(99),
                span.get_max_value(),
            )
            for part, value in zip(PARTS, values):
                if part == "count" or count:  # without a turn there is no time of one
                    found[f"{name}.{part}"] = value if part == "count" else value / 1000
            span.reset()
        return found
