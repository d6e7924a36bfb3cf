"""Costs of telemetry: metrics per turn, collectd datagrams per second, memory for a million unknown names.

python -m benchmarks.telemetry
"""

import json
import statistics
import time
import tracemalloc
from types import SimpleNamespace

import typer

from flintreach.evidence import packet
from flintreach.evidence.packet import ValueList
from flintreach.evidence.tracker import HostTracker
from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND
from flintreach.pilot.logic import Pilot
from flintreach.standins import collectd
from flintreach.telemetry.metrics import MetricsCollector

START_NS = 1_700_000_000 * SECOND


def time_turns(with_metrics: bool, servers: int, number: int) -> float:
    """Duration in seconds of turns with a report per server each, with or without the metrics collector."""
    operations = [interface.Operation("look", 0, SECOND, 3 * SECOND)]
    settings = interface.Settings(
        seed=7,
        operations=operations,
        slices=[interface.Slice(n) for n in range(servers * 8)],
        load_fields=("util",),
        channel_limit=1e6,
    )
    servers_listed = [interface.Server(f"s{n}") for n in range(servers)]
    pilot, observers = Pilot(settings), []
    service = SimpleNamespace(turn_observers=observers, pilot=pilot)
    if with_metrics:
        MetricsCollector(service)
    now = 100 * SECOND
    pilot.handle(
        now,
        [
            interface.ServerList(
                "full", [interface.ServerEntry(server, "ready", 1.0, 0) for server in servers_listed]
            )
        ],
    )
    events = [
        interface.ServerReport(0, server, 20, 0, SECOND // 10, SECOND, {"util": 0.4})
        for server in servers_listed
    ]
    started = time.perf_counter()
    for _ in range(number):
        now += SECOND // 100
        orders = pilot.handle(now, events)
        for observer in observers:
            observer(now, events, orders, 1_000_000)
    return time.perf_counter() - started


def datagrams_per_second(number: int, protect) -> float:
    """Datagrams authenticated, parsed and recorded per second on one core.

    Each has eight values, and reports on a host with four processors.
    """
    tracker, keys = HostTracker({f"h{n}": f"s{n}" for n in range(100)}), {"anna": "secret"}
    data = [
        protect(collectd.cpu(f"h{n % 100}", START_NS + n // 100 * 10 * SECOND, 25.0, processors=4))
        for n in range(number)
    ]
    started = time.perf_counter()
    for n, datagram in enumerate(data):
        received_ns = START_NS + n // 100 * 10 * SECOND
        content, user = packet.authenticate(datagram, keys, True)
        for value in packet.parse_values(content):
            tracker.observe(value, received_ns, user)
    return number / (time.perf_counter() - started)


def bytes_left_by_names(number: int) -> int:
    """Bytes still allocated after distinct unknown names: half are hosts, half series of a known host."""
    tracker = HostTracker({"h1": "s1"})
    tracker.observe(
        ValueList("h1", "cpu", "0", "percent", "idle", START_NS, 10 * SECOND, (1,), (5.0,)), START_NS
    )
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for n in range(number // 2):
        tracker.observe(
            ValueList(f"unlisted-{n}", "cpu", "0", "percent", "idle", START_NS, 10 * SECOND, (1,), (5.0,)),
            START_NS,
        )
        tracker.observe(
            ValueList("h1", f"plugin-{n}", "0", "x", "y", START_NS, 10 * SECOND, (1,), (5.0,)), START_NS
        )
    remaining = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return remaining


def main(servers: int = 100, number: int = 400, pairs: int = 9):
    """Print the results as one line of JSON."""
    ratios = [time_turns(True, servers, number) / time_turns(False, servers, number) for _ in range(pairs)]
    typer.echo(
        json.dumps(
            {
                "tap_ratio": [
                    round(min(ratios), 3),
                    round(statistics.median(ratios), 3),
                    round(max(ratios), 3),
                ],
                "plain_a_second": round(datagrams_per_second(20_000, lambda data: data)),
                "signed_a_second": round(
                    datagrams_per_second(20_000, lambda data: collectd.signed(data, "anna", "secret"))
                ),
                "encrypted_a_second": round(
                    datagrams_per_second(20_000, lambda data: collectd.encrypted(data, "anna", "secret"))
                ),
                "bytes_left_by_a_million_names": bytes_left_by_names(1_000_000),
            }
        )
    )


if __name__ == "__main__":
    typer.run(main)
