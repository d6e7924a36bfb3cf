"""Offline inspection of a controller's disk, without modifying its folder."""

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

DescribeValue = Callable[[str, bytes], str | None]
Table = list[dict[str, Any]]

decode = msgspec.msgpack.decode

# Raised when a value to be described doesn't have the format of its key.
DECODE_ERRORS = (ValueError, TypeError, KeyError, IndexError, AttributeError, msgspec.DecodeError)


def describe_nothing(key: str, value: bytes) -> str | None:
    """Default `DescribeValue`, which knows no keys."""
    return None


def describe_members(members: list[MemberRow]) -> str:
    """Format the addresses of one set of voters."""
    return " ".join(f"{member.ip}:{member.port}" for member in members)


def describe_voters(value: bytes) -> str:
    """Describe a voter configuration in one line."""
    voters = msgspec.msgpack.decode(value, type=VotersRow)
    sets = [describe_members(members) for members in (voters.old, voters.new) if members]
    return f"epoch {voters.epoch}: " + " and ".join(sets)


def describe_slot(key: str, value: bytes | None, describe: DescribeValue) -> str:
    """Describe the content of a slot in one line."""
    if value is None:
        return "promised, nothing accepted"
    try:
        text = describe_voters(value) if key == VOTERS_KEY else describe(key, value)
    except DECODE_ERRORS:
        return f"{len(value)} bytes that can't be decoded"
    return f"{len(value)} bytes" if text is None else text


@contextlib.contextmanager
def open_copy(folder: str) -> Iterator[sqlite3.Connection]:
    """Open a temporary copy of the database in a folder."""
    with tempfile.TemporaryDirectory() as copy:
        # The latest commits are in the write-ahead log. Opening the original would run a checkpoint on it.
        for name in (FILE_NAME, f"{FILE_NAME}-wal"):
            if os.path.exists(os.path.join(folder, name)):
                shutil.copyfile(os.path.join(folder, name), os.path.join(copy, name))
        connection = sqlite3.connect(os.path.join(copy, FILE_NAME))
        try:
            yield connection
        finally:
            connection.close()


def register_table(connection: sqlite3.Connection, describe: DescribeValue) -> Table:
    """The register's slots, ordered by key."""
    return [
        {
            "key": key,
            "promised": f"{promised_round} {promised_by}".strip(),
            "accepted": f"{accepted_round} {accepted_by}".strip(),
            "bytes": len(value or b""),
            "holds": describe_slot(key, value, describe),
        }
        for key, promised_round, promised_by, accepted_round, accepted_by, value in connection.execute(
            f"{SELECT_SLOTS} order by key"
        )
    ]


def endpoint_table(connection: sqlite3.Connection) -> Table:
    """The endpoint records, decoded by the field positions that the endpoint registry uses."""
    table = []
    for _, encoded in connection.execute(f"{SELECT_ENDPOINTS} order by id"):
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


def read_tables(folder: str, describe: DescribeValue = describe_nothing) -> dict[str, Table]:
    """Read the content of a disk as tables by title.

    Args:
        folder: folder of the disk.
        describe: describes the value of a key in one line, given both; None if it doesn't know the key. The
            format of values is up to the register's users, so this package doesn't know it.

    Raises:
        StoreError: the file doesn't exist or can't be read.
    """
    path = os.path.join(folder, FILE_NAME)
    if not os.path.isfile(path):
        raise StoreError(f"{path}: no such file")
    try:
        with open_copy(folder) as connection:
            facts = dict(connection.execute(SELECT_FACTS))
            check_format(path, facts)
            register = register_table(connection, describe)
            endpoints = endpoint_table(connection)
    except sqlite3.Error as error:
        raise StoreError(f"{path}: {error}") from None
    return {
        "disk": [{"fact": name, "value": value} for name, value in sorted(facts.items())],
        "register": register,
        "endpoints": endpoints,
    }
