"""Graphite and collectd: what a turn pays for its figures, datagrams a second, memory at a million names.

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

T = 1_700_000_000 * SECOND


def turns(measured: bool, servers: int, number: int) -> float:
    """Seconds for so many turns of the decisions with a line for each server, with the tap or without."""
    ops = [interface.Operation("look", 0, SECOND, 3 * SECOND)]
    settings = interface.Settings(
        seed=7,
        operations=ops,
        slices=[interface.Slice(n) for n in range(servers * 8)],
        load_fields=("util",),
        channel_limit=1e6,
    )
    rows = [interface.Server(f"s{n}") for n in range(servers)]
    pilot, taps = Pilot(settings), []
    service = SimpleNamespace(turn_observers=taps, pilot=pilot)
    if measured:
        MetricsCollector(service)
    now = 100 * SECOND
    pilot.handle(
        now,
        [interface.ServerList("full", [interface.ServerEntry(server, "ready", 1.0, 0) for server in rows])],
    )
    events = [
        interface.ServerReport(0, server, 20, 0, SECOND // 10, SECOND, {"util": 0.4}) for server in rows
    ]
    began = time.perf_counter()
    for _ in range(number):
        now += SECOND // 100
        orders = pilot.handle(now, events)
        for tap in taps:
            tap(now, events, orders, 1_000_000)
    return time.perf_counter() - began


def datagrams(number: int, wrap) -> float:
    """Datagrams a second of one core, read, checked and entered: four processors, eight values each."""
    tracker, keys = HostTracker({f"h{n}": f"s{n}" for n in range(100)}), {"anna": "secret"}
    data = [
        wrap(collectd.cpu(f"h{n % 100}", T + n // 100 * 10 * SECOND, 25.0, processors=4))
        for n in range(number)
    ]
    began = time.perf_counter()
    for n, datagram in enumerate(data):
        came = T + n // 100 * 10 * SECOND
        content, user = packet.authenticate(datagram, keys, True)
        for value in packet.parse_values(content):
            tracker.observe(value, came, user)
    return number / (time.perf_counter() - began)


def names(number: int) -> int:
    """Bytes that so many distinct names leave behind, half of them hosts, half series of one host."""
    tracker = HostTracker({"h1": "s1"})
    tracker.observe(ValueList("h1", "cpu", "0", "percent", "idle", T, 10 * SECOND, (1,), (5.0,)), T)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for n in range(number // 2):
        tracker.observe(
            ValueList(f"stranger-{n}", "cpu", "0", "percent", "idle", T, 10 * SECOND, (1,), (5.0,)), T
        )
        tracker.observe(ValueList("h1", f"plugin-{n}", "0", "x", "y", T, 10 * SECOND, (1,), (5.0,)), T)
    left = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return left


def main(servers: int = 100, number: int = 400, pairs: int = 9):
    """One row as JSON."""
    ratios = [turns(True, servers, number) / turns(False, servers, number) for _ in range(pairs)]
    typer.echo(
        json.dumps(
            {
                "tap_ratio": [
                    round(min(ratios), 3),
                    round(statistics.median(ratios), 3),
                    round(max(ratios), 3),
                ],
                "plain_a_second": round(datagrams(20_000, lambda data: data)),
                "signed_a_second": round(
                    datagrams(20_000, lambda data: collectd.signed(data, "anna", "secret"))
                ),
                "encrypted_a_second": round(
                    datagrams(20_000, lambda data: collectd.encrypted(data, "anna", "secret"))
                ),
                "bytes_left_by_a_million_names": names(1_000_000),
            }
        )
    )


if __name__ == "__main__":
    typer.run(main)
