"""Several cores: reports taken, latency from a line's last byte to its order, depth, CPU, memory.

Each row is one pilot on so many cores, over a bounded time, with the load from processes on other cores:

    python -m benchmarks.cores --cores 1,2,4 --rate 20000,100000,max --seconds 12 --json rows.json

The pilot's processes are pinned to the first cores, everything else to the rest; where the pilot takes all,
they share, and the row says so.  `--ceiling` measures the load alone, against a reader that counts bytes.
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

from flintreach.standins.collectors import Sampler, lines, load
from flintreach.standins.platform import row, told
from flintreach.standins.program import Program
from flintreach.standins.relay import Relay

CORES = sorted(os.sched_getaffinity(0))
# Processes of a pilot by the cores that it is given; one decides.
PLANS = {
    2: "workers = 1\n search = false",
    3: "workers = 1",
    4: "workers = 2",
    6: "workers = 4",
    8: "workers = 6",
}
SAMPLED = 130  # servers whose probes are listened to, of many: a hundred questions a second
TICK = os.sysconf("SC_CLK_TCK")


def sampled(servers: int) -> int:
    return min(SAMPLED, servers // 2)


def world(servers: int, proxies: int, slices: int, ports: list[int]) -> dict:
    """A configuration as the platform writes it; the last servers are those that are probed."""
    config = told(servers, slices, proxies)
    first = servers - len(ports)
    config["known"]["endpoints"] = [
        row(n, address=f"127.0.0.1:{ports[n - first] if n >= first else 9}") for n in range(servers)
    ]
    config["settings"]["specifics"] |= {
        "backlog": 60.0 * proxies,
        "channel_rate": 20.0 * proxies,
        "messages_most": 0,
    }
    return config | {"limits": {"sockets": 1024, "memory_mb": 4096}}


def generate(at, cores, connections, rate, seconds, world, seed, answer):
    os.sched_setaffinity(0, cores)
    pool = lines(world[0] - sampled(world[0]), world[1], 40_000, seed)
    answer.send("ready")
    answer.recv()
    answer.send(uvloop.run(load(at, connections, rate, seconds, pool)))


def sample(at, cores, first, sampler, seconds, answer):
    os.sched_setaffinity(0, cores)
    answer.send("ready")
    answer.recv()
    uvloop.run(sampler.run(at, first, seconds))
    answer.send((sampler.taken, sampler.missed))


def usage(process: int) -> tuple[float, float]:
    """Seconds of processor time, and megabytes resident at the most."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{process}/status").read_text()
    return (int(fields[11]) + int(fields[12])) / TICK, int(re.search(r"VmHWM:\s+(\d+)", status)[1]) / 1024


def family(process: int) -> list[int]:
    children = Path(f"/proc/{process}/task/{process}/children").read_text().split()
    return [process, *map(int, children)]


def parts(at, load_cores, loaders, connections, rate, seconds, size, sampler):
    """The processes that load, and the one that samples; all begin at one word."""
    context, ends, found = multiprocessing.get_context("fork"), [], []
    for number in range(loaders):
        mine, theirs = context.Pipe()
        ends.append(mine)
        found.append(
            context.Process(
                target=generate,
                args=(
                    at,
                    load_cores,
                    connections // loaders,
                    rate / loaders,
                    seconds,
                    (size[0], size[2]),
                    number,
                    theirs,
                ),
            )
        )
    if sampler:
        mine, theirs = context.Pipe()
        ends.append(mine)
        found.append(
            context.Process(
                target=sample, args=(at, load_cores, size[0] - sampled(size[0]), sampler, seconds, theirs)
            )
        )
    for process in found:
        process.start()
    for end in ends:
        assert end.recv() == "ready"
    for end in ends:
        end.send("go")
    return ends, found


def measure(
    cores: int,
    rate: float,
    seconds: float,
    size: tuple[int, int, int],
    loaders: int,
    connections: int,
    tree: str | None,
) -> dict:
    """One row.  `tree`: another checkout of this program, as its baseline on one core.  Taken is what
    the pilot itself has read; what waits in buffers does not count."""
    mine = CORES[:cores]
    others = CORES[cores:] or CORES
    sampler = Sampler(sampled(size[0]))
    config = world(*size, sampler.ports)
    servers, proxies, slices = size
    relay = Relay(slices, proxies, lambda n: f"s{n % servers}")
    own = f"cores {{\n {PLANS[cores]}\n}}\n" if cores > 1 else ""
    os.sched_setaffinity(0, others)
    with tempfile.TemporaryDirectory() as folder:
        program = Program(Path(folder), own, relay, tree=tree, cores=mine, **config)
        try:
            program.ready()
            at = "127.0.0.1", program.port
            ends, found = parts(at, others, loaders, connections, rate, seconds, size, sampler)
            time.sleep(seconds / 2)
            before = {process: usage(process) for process in family(program.process.pid)}
            time.sleep(seconds / 2 - 0.5)
            after = {process: usage(process) for process in before}
            answers = [end.recv() for end in ends]
            for process in found:
                process.join()
            program.process.send_signal(signal.SIGTERM)
            stopped = program.logged("'stopped'")
            said = [line.split("event=")[1].split(" pilot=")[0] for line in program.lines]
        finally:
            program.end()
            relay.close()
    taken, missed = answers.pop()
    span = seconds / 2 - 0.5
    histogram = HdrHistogram(1, 60_000_000, 3)
    for value in taken:
        histogram.record_value(max(1, value // 1000))
    figures = dict(re.findall(r"(\w+)=(\d+)", stopped))
    return {
        "cores": cores,
        "rate": rate,
        "taken": round(int(figures["lines"]) / seconds) if "lines" in figures else None,
        "held_back": sum(answer["held_back"] for answer in answers),
        "resets": sum(answer["resets"] for answer in answers),
        **{
            f"p{str(q).replace('.', '_')}_ms": histogram.get_value_at_percentile(q) / 1000
            for q in (50, 99, 99.9)
        },
        "samples": len(taken),
        "missed": missed,
        "longest_turn_ms": int(figures.get("longest_ms", 0)),
        "deepest": int(figures.get("deepest", 0)),
        "calls": len(relay.calls),
        "audit": len(relay.audit()),
        "channel_lines": max((len(call.orders) for call in relay.calls), default=0),
        "cpu": [round((after[p][0] - before[p][0]) / span, 2) for p in before],
        "memory_mb": [round(after[p][1]) for p in before],
        "shared_with_load": cores >= len(CORES),
        "said": [text for text in said if "worker" in text or "client" in text],
    }


def ceiling(loaders: int, connections: int, seconds: float, size) -> float:
    """Lines a second that the load brings to a reader that does nothing but count."""

    class Sink(asyncio.Protocol):
        def data_received(self, data):
            pass

    ready, at = threading.Event(), []

    def serve():
        async def run():
            server = await asyncio.get_running_loop().create_server(Sink, "127.0.0.1", 0)
            at.append(server.sockets[0].getsockname())
            ready.set()
            await asyncio.sleep(seconds + 30)

        uvloop.run(run())

    threading.Thread(target=serve, daemon=True).start()
    ready.wait()
    ends, found = parts(at[0], CORES[4:], loaders, connections, 1e7, seconds, size, None)
    answers = [end.recv() for end in ends]
    for process in found:
        process.join()
    return sum(answer["rate"] for answer in answers)


def main(
    cores: str = "1,2,4",
    rate: str = "20000,100000,max",
    seconds: float = 12.0,
    servers: int = 1000,
    proxies: int = 4000,
    slices: int = 8000,
    loaders: int = 3,
    connections: int = 24,
    baseline: str = typer.Option(None, help="Another checkout, measured first on one core."),
    only_ceiling: bool = typer.Option(False, "--ceiling"),
    json_file: str = typer.Option(None, "--json"),
):
    """Rows as JSON, one a line."""
    size = servers, proxies, slices
    if only_ceiling:
        most = ceiling(loaders, connections, seconds, size)
        typer.echo(f"{most:.0f} lines a second from {loaders} processes")
        return
    rows = []
    plans = [(1, baseline)] if baseline else []
    for count, tree in plans + [(int(count), None) for count in cores.split(",")]:
        for wanted in rate.split(","):
            per_second = 1_000_000.0 if wanted == "max" else float(wanted)
            told = measure(count, per_second, seconds, size, loaders, connections, tree)
            rows.append({"text": "baseline" if tree else "present", **told})
            typer.echo(json.dumps(rows[-1]))
            sys.stdout.flush()
    if json_file:
        Path(json_file).write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    typer.run(main)
