"""The sub-command `figures`: the last hour from a directory, as a table with spark lines or as JSON."""

import json
import sys
import time
from pathlib import Path

from flintreach.telemetry.history import Disk, spark
from flintreach.telemetry.names import BY_NAME


def print_history(directory: Path, match: str, as_json: bool) -> int:
    """Status 0, or 2 where there is nothing to show."""
    found = Disk(str(directory)).read(int(time.time())) if directory.is_dir() else {}
    found = {name: points for name, points in found.items() if match in name}
    if not found:
        print(f"flintreach: {directory}: no figures", file=sys.stderr)
        return 2
    if as_json:
        print(json.dumps(found))
        return 0
    from rich.console import Console
    from rich.table import Table

    table = Table("name", "last", "least", "most", "unit", "the last hour", box=None)
    for name, points in found.items():
        values = [value for _, value in points]
        known = [value for value in values if value is not None]
        row = [f"{value:.6g}" for value in (known[-1], min(known), max(known))] if known else ["-"] * 3
        told = BY_NAME.get(name) or BY_NAME.get(name.rpartition(".")[0])
        nine = [
            next((value for value in reversed(values[at : at + 9]) if value is not None), None)
            for at in range(0, len(values), 9)
        ]  # forty signs for an hour
        table.add_row(name, *row, told.unit if told else "", spark(nine))
    Console().print(table)
    return 0
