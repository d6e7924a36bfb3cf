"""What stands on a refuge's disk, read without the refuge and without a change to the folder."""

import json
import os
import shutil
import sqlite3
import tempfile
from typing import Any

import msgspec

from flintreach.config.configuration_history import ConfigurationHistory
from flintreach.consensus.store import FORMAT, StoreError

UNPACK = msgspec.msgpack.decode


def meaning(key: str, value: bytes | None) -> str:
    """One line on what a key of the register holds."""
    if value is None:
        return "promised, nothing accepted"
    try:
        if key == "timetable":
            told = json.loads(ConfigurationHistory.of(value).body)
            routes = sum(len(virtual_host["regulations"]) for virtual_host in told["wickets"])
            return f"edition {told['edition']}, {routes} routes, {len(told['depots'])} services"
        told = UNPACK(value)
        if key == "evac":
            away = sorted(zone for zone, on in told[1].items() if on)
            return f"change {told[0]}: {' '.join(away) or 'nothing'}"
        if key == "map":
            return f"change {told[0]}: {len(told[1])} tables"
        if key.startswith("bunks/"):
            return f"keeper {told[0]}, epoch {told[1]}, highest fence {told[3]}, {len(told[4])} ranges"
        if key == "voters":
            epoch, *sets = told
            return f"epoch {epoch}: " + " and ".join(
                " ".join(f"{ip}:{port}" for ip, port, _ in one) for one in sets if one
            )
    except (ValueError, TypeError, KeyError, IndexError, AttributeError, msgspec.DecodeError):
        return f"{len(value)} bytes that can't be read"
    return f"{len(value)} bytes"


def rows(folder: str) -> dict[str, list[dict[str, Any]]]:
    """Tables by title.  Raises StoreError where there is no such file or it can't be read."""
    path = os.path.join(folder, "cairn.db")
    if not os.path.isfile(path):
        raise StoreError(f"{path}: no such file")
    with tempfile.TemporaryDirectory() as copy:
        # The newest commits stand in the log beside the file; opening them in place would fold them in.
        for name in ("cairn.db", "cairn.db-wal"):
            if os.path.exists(os.path.join(folder, name)):
                shutil.copyfile(os.path.join(folder, name), os.path.join(copy, name))
        base = sqlite3.connect(os.path.join(copy, "cairn.db"))
        try:
            facts = dict(base.execute("select name, value from facts"))
            if facts.get("format") != FORMAT:
                raise StoreError(f"{path}: written in format {facts.get('format')}, expected {FORMAT}")
            slots = base.execute(
                "select key, promised_n, promised_by, accepted_n, accepted_by, value from slots order by key"
            )
            register = [
                {
                    "key": key,
                    "promised": f"{pn} {pb}".strip(),
                    "accepted": f"{an} {ab}".strip(),
                    "bytes": len(value or b""),
                    "holds": meaning(key, value),
                }
                for key, pn, pb, an, ab, value in slots
            ]
            huts = [UNPACK(row) for _, row in base.execute("select id, row from huts order by id")]
        except sqlite3.Error as error:
            raise StoreError(f"{path}: {error}") from None
        finally:
            base.close()
    return {
        "disk": [{"fact": name, "value": value} for name, value in sorted(facts.items())],
        "register": register,
        "endpoints": [
            {
                "id": row[0],
                "line": row[1],
                "addr": row[2],
                "zone": row[3],
                "state": row[6],
                "call_seq": row[7],
            }
            for row in huts
        ],
    }
