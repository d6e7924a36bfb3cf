"""Throughput, latency, queue depth, CPU and memory of the pilot by number of cores.

Latency runs from the last byte of a line to the order that follows from it.  Each row is one run of a pilot
for a bounded time; the load comes from processes on other cores:

    python -m benchmarks.cores --cores 1,2,4 --rate 20000,100000,max --seconds 12 --json rows.json

The pilot's processes are pinned to the first cores, everything else to the others.  Where the pilot has all
cores, both share them, and the row has `shared_with_load`.  `--ceiling` measures the load generators alone,
against a reader that discards what it receives.
"""

import asyncio
import json
import multiprocessing
import os
import re
import signal
import sys
import tempfile
import threading
import time
from pathlib import Path

import typer
import uvloop
from hdrh.histogram import HdrHistogram

from flintreach.standins.collectors import Sampler, report_lines, send_load
from flintreach.standins.platform import endpoint_entry, platform_config
from flintreach.standins.program import Program
from flintreach.standins.relay import Relay

CORES = sorted(os.sched_getaffinity(0))
# Settings of the pilot's processes by number of cores; one process takes the decisions.
PROCESS_SETTINGS = {
    2: "workers = 1\n search = false",
    3: "workers = 1",
    4: "workers = 2",
    6: "workers = 4",
    8: "workers = 6",
}
MAX_SAMPLED_SERVERS = 130  # servers whose probes measure latency; 130 give a hundred probes per second
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def sampled_server_count(servers: int) -> int:
    return min(MAX_SAMPLED_SERVERS, servers // 2)


def configuration(servers: int, proxies: int, slices: int, ports: list[int]) -> dict:
    """The platform's configuration; the last servers are the ones whose probes are answered here."""
    config = platform_config(servers, slices, proxies)
    first = servers - len(ports)
    config["known"]["endpoints"] = [
        endpoint_entry(n, address=f"127.0.0.1:{ports[n - first] if n >= first else 9}")
        for n in range(servers)
    ]
    config["settings"]["specifics"] |= {
        "backlog": 60.0 * proxies,
        "channel_rate": 20.0 * proxies,
        "messages_most": 0,
    }
    return config | {"limits": {"sockets": 1024, "memory_mb": 4096}}


def generate_load(address, cores, connections, rate, seconds, target_counts, seed, pipe):
    os.sched_setaffinity(0, cores)
    servers, slices = target_counts
    pool = report_lines(servers - sampled_server_count(servers), slices, 40_000, seed)
    pipe.send("ready")
    pipe.recv()
    pipe.send(uvloop.run(send_load(address, connections, rate, seconds, pool)))


def sample_latency(address, cores, first, sampler, seconds, pipe):
    os.sched_setaffinity(0, cores)
    pipe.send("ready")
    pipe.recv()
    uvloop.run(sampler.run(address, first, seconds))
    pipe.send((sampler.latencies_ns, sampler.missed))


def usage(process: int) -> tuple[float, float]:
    """CPU time in seconds, and peak resident memory in MiB."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{process}/status").read_text()
    peak_kib = int(re.search(r"VmHWM:\s+(\d+)", status)[1])
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND, peak_kib / 1024


def process_tree(process: int) -> list[int]:
    children = Path(f"/proc/{process}/task/{process}/children").read_text().split()
    return [process, *map(int, children)]


def start_load(address, load_cores, loaders, connections, rate, seconds, size, sampler):
    """Start the load generators and the sampler, and have all of them begin together."""
    context, ends, processes = multiprocessing.get_context("fork"), [], []
    for number in range(loaders):
        parent_end, child_end = context.Pipe()
        ends.append(parent_end)
        processes.append(
            context.Process(
                target=generate_load,
                args=(
                    address,
                    load_cores,
                    connections // loaders,
                    rate / loaders,
                    seconds,
                    (size[0], size[2]),
                    number,
                    child_end,
                ),
            )
        )
    if sampler:
        parent_end, child_end = context.Pipe()
        ends.append(parent_end)
        processes.append(
            context.Process(
                target=sample_latency,
                args=(
                    address,
                    load_cores,
                    size[0] - sampled_server_count(size[0]),
                    sampler,
                    seconds,
                    child_end,
                ),
            )
        )
    for process in processes:
        process.start()
    for end in ends:
        assert end.recv() == "ready"
    for end in ends:
        end.send("go")
    return ends, processes


def measure(
    cores: int,
    rate: float,
    seconds: float,
    size: tuple[int, int, int],
    loaders: int,
    connections: int,
    tree: str | None,
) -> dict:
    """Measure one row.

    `tree` is another checkout of this program, measured as the baseline on one core.  `taken` counts lines
    that the pilot itself has read, without those still in socket buffers.
    """
    pilot_cores = CORES[:cores]
    load_cores = CORES[cores:] or CORES
    sampler = Sampler(sampled_server_count(size[0]))
    config = configuration(*size, sampler.ports)
    servers, proxies, slices = size
    relay = Relay(slices, proxies, lambda n: f"s{n % servers}")
    cores_block = f"cores {{\n {PROCESS_SETTINGS[cores]}\n}}\n" if cores > 1 else ""
    os.sched_setaffinity(0, load_cores)
    with tempfile.TemporaryDirectory() as folder:
        program = Program(Path(folder), cores_block, relay, tree=tree, cores=pilot_cores, **config)
        try:
            program.connect_and_probe()
            address = "127.0.0.1", program.port
            ends, processes = start_load(
                address, load_cores, loaders, connections, rate, seconds, size, sampler
            )
            time.sleep(seconds / 2)
            before = {process: usage(process) for process in process_tree(program.process.pid)}
            time.sleep(seconds / 2 - 0.5)
            after = {process: usage(process) for process in before}
            results = [end.recv() for end in ends]
            for process in processes:
                process.join()
            program.process.send_signal(signal.SIGTERM)
            stopped = program.wait_for_log("'stopped'")
            messages = [line.split("event=")[1].split(" pilot=")[0] for line in program.lines]
        finally:
            program.stop()
            relay.close()
    latencies_ns, missed = results.pop()
    interval = seconds / 2 - 0.5
    histogram = HdrHistogram(1, 60_000_000, 3)
    for value in latencies_ns:
        histogram.record_value(max(1, value // 1000))
    counters = dict(re.findall(r"(\w+)=(\d+)", stopped))
    return {
        "cores": cores,
        "rate": rate,
        "taken": round(int(counters["lines"]) / seconds) if "lines" in counters else None,
        "held_back": sum(result["held_back"] for result in results),
        "resets": sum(result["resets"] for result in results),
        **{
            f"p{str(q).replace('.', '_')}_ms": histogram.get_value_at_percentile(q) / 1000
            for q in (50, 99, 99.9)
        },
        "samples": len(latencies_ns),
        "missed": missed,
        "longest_turn_ms": int(counters.get("longest_ms", 0)),
        "deepest": int(counters.get("deepest", 0)),
        "calls": len(relay.calls),
        "audit": len(relay.audit()),
        "channel_lines": max((len(call.orders) for call in relay.calls), default=0),
        "cpu": [round((after[p][0] - before[p][0]) / interval, 2) for p in before],
        "memory_mb": [round(after[p][1]) for p in before],
        "shared_with_load": cores >= len(CORES),
        "said": [text for text in messages if "worker" in text or "client" in text],
    }


def load_ceiling(loaders: int, connections: int, seconds: float, size) -> float:
    """Lines per second that the load generators send to a reader that discards them."""

    class Sink(asyncio.Protocol):
        def data_received(self, data):
            pass

    ready, addresses = threading.Event(), []

    def serve():
        async def run():
            server = await asyncio.get_running_loop().create_server(Sink, "127.0.0.1", 0)
            addresses.append(server.sockets[0].getsockname())
            ready.set()
            await asyncio.sleep(seconds + 30)

        uvloop.run(run())

    threading.Thread(target=serve, daemon=True).start()
    ready.wait()
    ends, processes = start_load(addresses[0], CORES[4:], loaders, connections, 1e7, seconds, size, None)
    results = [end.recv() for end in ends]
    for process in processes:
        process.join()
    return sum(result["rate"] for result in results)


def main(
    cores: str = "1,2,4",
    rate: str = "20000,100000,max",
    seconds: float = 12.0,
    servers: int = 1000,
    proxies: int = 4000,
    slices: int = 8000,
    loaders: int = 3,
    connections: int = 24,
    baseline: str = typer.Option(None, help="Another checkout, measured first, on one core."),
    only_ceiling: bool = typer.Option(False, "--ceiling"),
    json_file: str = typer.Option(None, "--json"),
):
    """Print rows as JSON, one per line."""
    size = servers, proxies, slices
    if only_ceiling:
        maximum = load_ceiling(loaders, connections, seconds, size)
        typer.echo(f"{maximum:.0f} lines per second from {loaders} processes")
        return
    rows = []
    targets = [(1, baseline)] if baseline else []
    for count, tree in targets + [(int(count), None) for count in cores.split(",")]:
        for wanted_rate in rate.split(","):
            per_second = 1_000_000.0 if wanted_rate == "max" else float(wanted_rate)
            result = measure(count, per_second, seconds, size, loaders, connections, tree)
            rows.append({"text": "baseline" if tree else "present", **result})
            typer.echo(json.dumps(rows[-1]))
            sys.stdout.flush()
    if json_file:
        Path(json_file).write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    typer.run(main)
