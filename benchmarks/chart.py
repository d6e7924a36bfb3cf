"""Chart of throughput and latency by number of cores, from the rows that `benchmarks.cores --json` writes.

Needs the packages in extras/chart.txt.
"""

import json
from pathlib import Path

import typer


def main(rows: Path, to: Path):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    present = [row for row in json.loads(rows.read_text()) if row["text"] == "present"]
    full_load = [row for row in present if row["rate"] >= 1e6]
    partial_load = [row for row in present if row["rate"] < 1e6]
    figure, (throughput_axes, latency_axes) = pyplot.subplots(1, 2, figsize=(9, 3.2), layout="constrained")
    base = full_load[0]["taken"]
    throughput_axes.plot(
        [row["cores"] for row in full_load], [row["taken"] / base for row in full_load], "o-"
    )
    throughput_axes.set(
        title="lines read at full load", xlabel="cores", ylabel="relative to one core", ylim=0
    )
    for key, label in (("p50_ms", "median"), ("p99_ms", "99th percentile")):
        latency_axes.plot(
            [row["cores"] for row in partial_load],
            [row[key] / partial_load[0][key] for row in partial_load],
            "o-",
            label=label,
        )
    latency_axes.set(
        title="latency from a line's last byte to its order, 10,000 lines/s",
        xlabel="cores",
        ylabel="relative to one core",
        ylim=0,
    )
    latency_axes.legend()
    figure.savefig(to, dpi=110)


if __name__ == "__main__":
    typer.run(main)
