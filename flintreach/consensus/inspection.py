"""What is on a controller's disk, read without the controller and without a change to the folder."""

import contextlib
import os
import shutil
import sqlite3
import tempfile
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from flintreach.consensus.quorum import MemberRow, VotersRow
from flintreach.consensus.reconfiguration import VOTERS_KEY
from flintreach.consensus.store import (
    FILE_NAME,
    SELECT_ENDPOINTS,
    SELECT_FACTS,
    SELECT_SLOTS,
    StoreError,
    check_format,
)

Describe = Callable[[str, bytes], str | None]
Rows = list[dict[str, Any]]

decode = msgspec.msgpack.decode

# What a value of another shape than its key's raises while it is described.
UNREADABLE = (ValueError, TypeError, KeyError, IndexError, AttributeError, msgspec.DecodeError)


def describe_nothing(key: str, value: bytes) -> str | None:
    """The description of a value where the caller knows no keys."""
    return None


def describe_members(members: list[MemberRow]) -> str:
    """Addresses of one set of voters."""
    return " ".join(f"{member.ip}:{member.port}" for member in members)


def describe_voters(value: bytes) -> str:
    """One line on a configuration of voters."""
    voters = msgspec.msgpack.decode(value, type=VotersRow)
    sets = [describe_members(members) for members in (voters.old, voters.new) if members]
    return f"epoch {voters.epoch}: " + " and ".join(sets)


def describe_slot(key: str, value: bytes | None, describe: Describe) -> str:
    """One line on what a key of the register holds."""
    if value is None:
        return "promised, nothing accepted"
    try:
        text = describe_voters(value) if key == VOTERS_KEY else describe(key, value)
    except UNREADABLE:
        return f"{len(value)} bytes that can't be read"
    return f"{len(value)} bytes" if text is None else text


@contextlib.contextmanager
def opened_copy(folder: str) -> Iterator[sqlite3.Connection]:
    """A copy of the database in a folder, for as long as it is read."""
    with tempfile.TemporaryDirectory() as copy:
        # The newest commits stand in the log beside the file; opening them in place would fold them in.
        for name in (FILE_NAME, f"{FILE_NAME}-wal"):
            if os.path.exists(os.path.join(folder, name)):
                shutil.copyfile(os.path.join(folder, name), os.path.join(copy, name))
        base = sqlite3.connect(os.path.join(copy, FILE_NAME))
        try:
            yield base
        finally:
            base.close()


def register_rows(base: sqlite3.Connection, describe: Describe) -> Rows:
    """The register's keys."""
    return [
        {
            "key": key,
            "promised": f"{promised_round} {promised_by}".strip(),
            "accepted": f"{accepted_round} {accepted_by}".strip(),
            "bytes": len(value or b""),
            "holds": describe_slot(key, value, describe),
        }
        for key, promised_round, promised_by, accepted_round, accepted_by, value in base.execute(
            f"{SELECT_SLOTS} order by key"
        )
    ]


def endpoint_table(base: sqlite3.Connection) -> Rows:
    """The endpoint records, by the positions in which the endpoint registry writes them."""
    table = []
    for _, encoded in base.execute(f"{SELECT_ENDPOINTS} order by id"):
        endpoint_id, service, address, zone, _, _, state, call_seq, *_ = decode(encoded)
        table.append(
            {
                "id": endpoint_id,
                "line": service,
                "addr": address,
                "zone": zone,
                "state": state,
                "call_seq": call_seq,
            }
        )
    return table


def read_tables(folder: str, describe: Describe = describe_nothing) -> dict[str, Rows]:
    """What is on a disk, as tables by title.

    Args:
        folder: of the disk.
        describe: one line on what a key of the register holds, given the key and its value; None where it
            doesn't know the key. The keys belong to the register's users, so this package can't tell.

    Raises:
        StoreError: there is no such file, or it can't be read.
    """
    path = os.path.join(folder, FILE_NAME)
    if not os.path.isfile(path):
        raise StoreError(f"{path}: no such file")
    try:
        with opened_copy(folder) as base:
            facts = dict(base.execute(SELECT_FACTS))
            check_format(path, facts)
            register = register_rows(base, describe)
            endpoints = endpoint_table(base)
    except sqlite3.Error as error:
        raise StoreError(f"{path}: {error}") from None
    return {
        "disk": [{"fact": name, "value": value} for name, value in sorted(facts.items())],
        "register": register,
        "endpoints": endpoints,
    }
