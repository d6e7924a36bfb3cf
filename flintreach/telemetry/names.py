"""Every figure that leaves the pilot: its name, unit, kind and meaning.

A name that has been released neither changes nor vanishes without an entry in the changelog; the operators'
page is made from this table (`python -m flintreach.telemetry.names`).
"""

from typing import NamedTuple


class Name(NamedTuple):
    name: str
    unit: str
    kind: str  # "counter": since the start; "gauge": as it is; "histogram": of the span between two sendings
    meaning: str


NAMES = tuple(
    Name(*row)
    for row in (
        ("turns.count", "turns", "counter", "turns of the decisions"),
        ("turns.time", "ms", "histogram", "how long the decisions held the loop in a turn"),
        ("turns.events", "events", "counter", "events that the decisions were given"),
        ("turns.deepest", "events", "gauge", "most events that waited for a turn, since the start"),
        ("turns.waiting", "events", "gauge", "events that wait for a turn now"),
        ("reports.lines", "lines", "counter", "lines that clients have sent"),
        ("reports.servers", "rows", "counter", "rows about servers that the decisions were given"),
        ("reports.tries", "invocations", "counter", "tries in those rows"),
        ("reports.unanswered", "invocations", "counter", "of them without an answer"),
        ("reports.slices", "rows", "counter", "rows about slices"),
        ("orders.lines", "orders", "counter", "lines of tables set or removed"),
        ("orders.shut", "orders", "counter", "servers shut out or let in again"),
        ("orders.levels", "orders", "counter", "levels set"),
        ("orders.marks", "orders", "counter", "marks, one for each message to proxies"),
        ("orders.probes", "orders", "counter", "questions to servers"),
        ("relay.waiting", "orders", "gauge", "orders that wait for a call to the relay"),
        ("relay.flight", "orders", "gauge", "orders in the call in hand"),
        ("relay.doubt", "0 or 1", "gauge", "a call's end is not known"),
        ("channel.lines", "lines", "gauge", "lines to proxies that marks have not confirmed"),
        ("probes.open", "probes", "gauge", "questions to servers that wait for their answer"),
        ("discovery.known", "0 or 1", "gauge", "discovery has told its list"),
        ("discovery.failures", "calls", "gauge", "calls to discovery that failed in a row"),
        ("relay.failures", "calls", "gauge", "calls to the relay that failed in a row"),
        ("news.failures", "connections", "gauge", "news connections that failed in a row"),
        ("news.proxies", "proxies", "gauge", "proxies that have joined"),
        ("news.slices", "slices", "gauge", "slices in this pilot's charge"),
        ("servers.fit", "servers", "gauge", "that serve"),
        ("servers.cold", "servers", "gauge", "that warm up"),
        ("servers.out", "servers", "gauge", "condemned"),
        ("servers.trial", "servers", "gauge", "on trial after that"),
        ("servers.leaving", "servers", "gauge", "that drain or are gone"),
        ("servers.unknown", "servers", "gauge", "that no list has shown ready"),
        ("level.fleet", "part", "gauge", "of the cheapest operation that is let in everywhere"),
        ("clients.collectors", "connections", "gauge", "that have named a zone"),
        ("clients.strangers", "connections", "gauge", "that have not"),
        ("workers.serving", "processes", "gauge", "workers that serve; 0 in one process"),
        ("workers.waiting", "rows", "gauge", "rows that wait in workers"),
        ("evidence.fresh", "hosts", "gauge", "hosts whose figures count now"),
        ("evidence.hosts", "hosts", "gauge", "hosts that were ever heard of"),
        ("evidence.busy", "part", "gauge", "of a host's processors that works; tag `host`, as the next five"),
        ("evidence.age", "s", "gauge", "since that was true"),
        ("evidence.load", "processes", "gauge", "load of a minute"),
        ("evidence.memory", "bytes", "gauge", "memory in use"),
        ("evidence.octets", "bytes/s", "gauge", "received and sent, over all interfaces"),
        ("evidence.connections", "connections", "gauge", "established, over all ports that collectd watches"),
        ("telemetry.dropped", "batches", "counter", "batches for Graphite that found no room"),
        ("warnings.count", "warnings", "counter", "all that the log counts"),
        ("process.cpu", "s", "counter", "processor time of the deciding process"),
        ("process.memory", "MB", "gauge", "resident memory of the deciding process"),
    )
)
BY_NAME = {name.name: name for name in NAMES}
PARTS = ("count", "p50", "p99", "max")  # of a histogram, each a name of its own


def sent() -> list[str]:
    """All paths below the prefix, as a receiver sees them."""
    return [
        path
        for name in NAMES
        for path in ([f"{name.name}.{part}" for part in PARTS] if name.kind == "histogram" else [name.name])
    ]


def page() -> str:
    rows = [f"| `{name.name}` | {name.unit} | {name.kind} | {name.meaning} |" for name in NAMES]
    return "\n".join(["| name | unit | kind | meaning |", "| --- | --- | --- | --- |", *rows])


if __name__ == "__main__":
    print(page())
