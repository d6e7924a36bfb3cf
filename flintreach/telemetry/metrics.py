"""Collects the pilot's metrics: counts what passes through a turn and reads gauges when they are sent."""

import os
import time
from collections import Counter

from hdrh.histogram import HdrHistogram

from flintreach.pilot import interface
from flintreach.telemetry.names import HISTOGRAM_FIELDS, METRICS, METRICS_BY_NAME

MAX_TURN_MICROSECONDS = 60_000_000  # longer turns are recorded as this long
ORDER_COUNTERS = {
    interface.SetWeight: "orders.lines",
    interface.Withdraw: "orders.shut",
    interface.SetAdmission: "orders.levels",
    interface.Mark: "orders.marks",
    interface.Probe: "orders.probes",
}
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")


class MetricsCollector:
    """Collects counters, histograms and gauges.

    Args:
        service: The service to observe.
    """

    def __init__(self, service):
        self.service = service
        self.counters: Counter[str] = Counter()
        self.histograms = {
            metric.name: HdrHistogram(1, MAX_TURN_MICROSECONDS, 2)
            for metric in METRICS
            if metric.kind == "histogram"
        }
        service.turn_observers.append(self.observe_turn)

    def observe_turn(self, now: int, events: list, orders: list, took: int) -> None:
        """Count the events and orders of a turn and record its duration `took`, in nanoseconds."""
        counters = self.counters
        counters["turns.count"] += 1
        counters["turns.events"] += len(events)
        self.histograms["turns.time"].record_value(max(1, min(MAX_TURN_MICROSECONDS, took // 1000)))
        for event in events:
            kind = type(event)
            if kind is interface.ServerReport:
                counters["reports.servers"] += 1
                counters["reports.tries"] += event.tries
                counters["reports.unanswered"] += event.unanswered
            elif kind is interface.DemandReport:
                counters["reports.slices"] += 1
        for order in orders:
            name = ORDER_COUNTERS.get(type(order))
            if name:
                counters[name] += 1

    def gauges(self) -> dict[str, float]:
        """Read all gauges, including those that other parts of the service provide."""
        service, pilot = self.service, self.service.pilot
        modes = Counter(server.mode for server in pilot.state.servers.values())
        with open("/proc/self/statm") as statm:
            resident_mb = int(statm.read().split()[1]) * PAGE_SIZE / 2**20
        values = {
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
            "process.memory": round(resident_mb, 2),
            **{
                f"servers.{mode}": modes[mode]
                for mode in ("fit", "cold", "out", "trial", "leaving", "unknown")
            },
            **service.clients.gauges(),
        }
        for source in service.gauge_sources:
            values |= source()
        return values

    def snapshot(self) -> dict[str, float]:
        """Return the value of each metric path and reset the histograms.

        A gauge without a value is absent rather than 0.
        """
        values: dict[str, float] = {
            metric.name: self.counters[metric.name] for metric in METRICS if metric.kind == "counter"
        }
        values |= {name: value for name, value in self.gauges().items() if name in METRICS_BY_NAME}
        for name, histogram in self.histograms.items():
            count = histogram.get_total_count()
            fields = (
                count,
                histogram.get_value_at_percentile(50),
                histogram.get_value_at_percentile(99),
                histogram.get_max_value(),
            )
            for field, value in zip(HISTOGRAM_FIELDS, fields):
                if field == "count":
                    values[f"{name}.count"] = value
                elif count:  # an empty histogram has no durations
                    values[f"{name}.{field}"] = value / 1000
            histogram.reset()
        return values
