"""The chart of several cores from the rows that `benchmarks.cores --json` wrote; wants extras/chart.txt."""

import json
from pathlib import Path

import typer


def main(rows: Path, to: Path):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    told = [row for row in json.loads(rows.read_text()) if row["text"] == "present"]
    full = [row for row in told if row["rate"] >= 1e6]
    tenth = [row for row in told if row["rate"] < 1e6]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.2), layout="constrained")
    one = full[0]["taken"]
    left.plot([row["cores"] for row in full], [row["taken"] / one for row in full], "o-")
    left.set(title="lines taken at full load", xlabel="cores", ylabel="times one core's", ylim=0)
    for name, label in (("p50_ms", "median"), ("p99_ms", "99th percentile")):
        right.plot(
            [row["cores"] for row in tenth], [row[name] / tenth[0][name] for row in tenth], "o-", label=label
        )
    right.set(
        title="a line's last byte to its order, 10,000 lines/s",
        xlabel="cores",
        ylabel="times one core's",
        ylim=0,
    )
    right.legend()
    figure.savefig(to, dpi=110)


if __name__ == "__main__":
    typer.run(main)
