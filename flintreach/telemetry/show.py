"""The sub-command `figures`: prints the last hour of metrics from a history directory."""

import json
import sys
import time
from pathlib import Path

from flintreach.telemetry.history import DiskHistory, sparkline
from flintreach.telemetry.names import METRICS_BY_NAME

SLOTS_PER_BAR = 9  # an hour of 360 slots is drawn as 40 bars


def print_history(directory: Path, match: str, as_json: bool) -> int:
    """Print the metrics of a history directory as a table with sparklines or as JSON.

    Args:
        directory: The directory that a pilot writes its history to.
        match: Only metrics whose name contains this text are printed.
        as_json: Whether to print all points as JSON.

    Returns:
        The exit status: 0, or 2 if there are no matching metrics.
    """
    history = DiskHistory(str(directory)).read(int(time.time())) if directory.is_dir() else {}
    history = {name: points for name, points in history.items() if match in name}
    if not history:
        print(f"flintreach: {directory}: no matching metrics found", file=sys.stderr)
        return 2
    if as_json:
        print(json.dumps(history))
        return 0
    from rich.console import Console
    from rich.table import Table

    table = Table("name", "last", "least", "most", "unit", "the last hour", box=None)
    for name, points in history.items():
        values = [value for _, value in points]
        known = [value for value in values if value is not None]
        cells = [f"{value:.6g}" for value in (known[-1], min(known), max(known))] if known else ["-"] * 3
        # The name of a histogram's path is followed by the field.
        metric = METRICS_BY_NAME.get(name) or METRICS_BY_NAME.get(name.rpartition(".")[0])
        bars = [
            next(
                (value for value in reversed(values[start : start + SLOTS_PER_BAR]) if value is not None),
                None,
            )
            for start in range(0, len(values), SLOTS_PER_BAR)
        ]
        table.add_row(name, *cells, metric.unit if metric else "", sparkline(bars))
    Console().print(table)
    return 0
