"""The metrics that the pilot exports: their names, units, kinds and meanings.

A released name is never changed or removed without an entry in the changelog. The page for operators is
generated from this table (`python -m flintreach.telemetry.names`).
"""

from typing import NamedTuple


class Metric(NamedTuple):
    """An exported metric.

    Attributes:
        name: The path below the prefix; a histogram's fields follow it.
        unit: The unit of the value.
        kind: `counter` (since the start), `gauge` (the current value) or `histogram` (of the time since the
            previous transmission).
        meaning: The description for operators.
    """

    name: str
    unit: str
    kind: str
    meaning: str


METRICS = tuple(
    Metric(*row)
    for row in (
        ("turns.count", "turns", "counter", "turns of the decision loop"),
        ("turns.time", "ms", "histogram", "time for which the decisions of a turn blocked the event loop"),
        ("turns.events", "events", "counter", "events processed"),
        ("turns.deepest", "events", "gauge", "most events pending at the start of a turn so far"),
        ("turns.waiting", "events", "gauge", "events pending now"),
        ("reports.lines", "lines", "counter", "lines received from clients"),
        ("reports.servers", "rows", "counter", "report rows about servers processed"),
        ("reports.tries", "invocations", "counter", "invocation attempts in those rows"),
        ("reports.unanswered", "invocations", "counter", "attempts in those rows that were not answered"),
        ("reports.slices", "rows", "counter", "report rows about slices processed"),
        ("orders.lines", "orders", "counter", "routing table lines set or removed"),
        ("orders.shut", "orders", "counter", "servers withdrawn or readmitted"),
        ("orders.levels", "orders", "counter", "admission levels set"),
        ("orders.marks", "orders", "counter", "marks, one per message to the proxies"),
        ("orders.probes", "orders", "counter", "server probes ordered"),
        ("relay.waiting", "orders", "gauge", "orders waiting for a call to the relay"),
        ("relay.flight", "orders", "gauge", "orders in the current call"),
        ("relay.doubt", "0 or 1", "gauge", "1 while the outcome of a call is not known"),
        ("channel.lines", "lines", "gauge", "lines sent to proxies and not yet confirmed by a mark"),
        ("probes.open", "probes", "gauge", "server probes waiting for a response"),
        ("discovery.known", "0 or 1", "gauge", "1 once discovery has delivered its list"),
        ("discovery.failures", "calls", "gauge", "consecutive failed calls to discovery"),
        ("relay.failures", "calls", "gauge", "consecutive failed calls to the relay"),
        ("news.failures", "connections", "gauge", "consecutive failed connections to the relay feed"),
        ("news.proxies", "proxies", "gauge", "proxies that have joined"),
        ("news.slices", "slices", "gauge", "slices this pilot is responsible for"),
        ("servers.fit", "servers", "gauge", "servers in normal service"),
        ("servers.cold", "servers", "gauge", "servers warming up"),
        ("servers.out", "servers", "gauge", "condemned"),
        ("servers.trial", "servers", "gauge", "servers on trial after being condemned"),
        ("servers.leaving", "servers", "gauge", "servers draining or gone"),
        ("servers.unknown", "servers", "gauge", "servers that no server list has shown ready"),
        ("level.fleet", "part", "gauge", "share of the cheapest operation that is admitted fleet-wide"),
        ("clients.collectors", "connections", "gauge", "client connections that have named a zone"),
        ("clients.strangers", "connections", "gauge", "client connections that have not named a zone"),
        ("workers.serving", "processes", "gauge", "serving worker processes; 0 in single-process mode"),
        ("workers.waiting", "rows", "gauge", "rows waiting in worker processes"),
        ("evidence.fresh", "hosts", "gauge", "hosts whose load is used now"),
        ("evidence.hosts", "hosts", "gauge", "hosts that have ever reported"),
        ("evidence.busy", "part", "gauge", "busy share of the processors; tag `host`, as the next five"),
        ("evidence.age", "s", "gauge", "age of that value"),
        ("evidence.load", "processes", "gauge", "one-minute load average"),
        ("evidence.memory", "bytes", "gauge", "memory in use"),
        ("evidence.octets", "bytes/s", "gauge", "received and sent, summed over all interfaces"),
        ("evidence.connections", "connections", "gauge", "established, over all ports that collectd watches"),
        ("telemetry.dropped", "batches", "counter", "batches dropped because the spool was full"),
        ("warnings.count", "warnings", "counter", "warnings counted in the log"),
        ("process.cpu", "s", "counter", "CPU time of the process that makes the decisions"),
        ("process.memory", "MB", "gauge", "resident memory of the process that makes the decisions"),
    )
)
METRICS_BY_NAME = {metric.name: metric for metric in METRICS}
HISTOGRAM_FIELDS = ("count", "p50", "p99", "max")  # each is a path of its own


def metric_paths() -> list[str]:
    """Return all paths below the prefix, as Graphite sees them."""
    paths = []
    for metric in METRICS:
        if metric.kind == "histogram":
            paths += [f"{metric.name}.{field}" for field in HISTOGRAM_FIELDS]
        else:
            paths.append(metric.name)
    return paths


def metrics_table() -> str:
    """Return the Markdown table of all metrics for the operators' page."""
    rows = [f"| `{metric.name}` | {metric.unit} | {metric.kind} | {metric.meaning} |" for metric in METRICS]
    return "\n".join(["| name | unit | kind | meaning |", "| --- | --- | --- | --- |", *rows])


if __name__ == "__main__":
    print(metrics_table())
