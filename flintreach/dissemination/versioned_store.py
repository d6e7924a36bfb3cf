"""What a process holds of the news: for each key the parcel of the highest version.  Pure.

Versions are compared as they come (numbers or lists of them), so parcels may come twice, late, or by several
ways: what a process holds never goes back within its life.

A parcel that says that something is over is a tombstone.  It stands for HORIZON seconds after it was first
told anywhere (it travels with its age), wards off older parcels of its key, and is then forgotten: what a
process holds is bounded by what there is.  Whoever was without news for more than STALE_BOARD seconds may
hold parcels whose tombstones others are about to forget: it takes a snapshot of one who has them, and drops
what that one does not hold (see `docs/design/endpoints.md` for the proof).

Two boards find out where they differ by digests: one hash of the keys and versions in each bucket, so what is
told first does not grow with what is held; only buckets that differ are told key by key.
"""

from array import array
from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Any

import msgspec

HORIZON, STALE_BOARD = 120.0, 60.0  # seconds: how long a tombstone stands; without news, for a snapshot
BUCKETS = 256  # by the first byte of a key's hash
MOST_ROWS, MOST_BYTES = 500, 128 << 10  # of one portion; a single parcel may be larger

PACK = msgspec.msgpack.encode
Row = list  # [key, version, value, seconds since a tombstone was first told (0 for anything else)]


def over(key: str, value: Any) -> bool:
    """Whether a parcel is a tombstone.  Keys without a slash are of the whole system, and are never over."""
    return "/" in key and (value is None or key.startswith("hut/") and value.get("state") == "gone")


def mark(key: str, version: Any) -> tuple[int, int]:
    """The bucket of a key, and a hash of it and its version."""
    hashed = blake2b(key.encode(), digest_size=8).digest()
    both = blake2b(PACK(version), digest_size=8, key=hashed).digest()
    return hashed[0], int.from_bytes(both, "big")


class VersionedStore:
    """`clock()`: steady seconds.  `watchers` are called with (key, version, value) when a parcel is new,
    `droppers` with the key of one that is forgotten."""

    def __init__(self, clock: Callable[[], float] = lambda: 0.0):
        self.clock = clock
        self.entries: dict[str, tuple[Any, Any]] = {}  # key -> (version, value)
        self.watchers: list[Callable[[str, Any, Any], None]] = []
        self.droppers: list[Callable[[str], None]] = []
        self.told_at: dict[str, float] = {}  # key of a tombstone -> when it was first told, by `clock`
        self.keys: list[set[str]] = [set() for _ in range(BUCKETS)]
        self.sums = array("Q", bytes(8 * BUCKETS))

    def offer(self, key: str, version: Any, value: Any, age: float = 0.0) -> bool:
        """Whether it was new.  `age`: seconds since a tombstone was first told."""
        held = self.entries.get(key)
        if held is not None and not version > held[0]:
            return False
        ends = over(key, value)
        if held is None and ends and age >= HORIZON:
            return False  # others are about to forget it: it would go round for ever
        self.turn(key, held, version)
        self.entries[key] = (version, value)
        self.told_at.pop(key, None)
        if ends:
            self.told_at[key] = self.clock() - age
        for watcher in [*self.watchers]:
            watcher(key, version, value)
        return True

    def turn(self, key: str, held: tuple | None, version: Any | None) -> None:
        """Note another version of a key in its bucket; None: the key is dropped."""
        if held is not None:
            bucket, sum = mark(key, held[0])
            self.sums[bucket] ^= sum
        if version is not None:
            bucket, sum = mark(key, version)
            self.sums[bucket] ^= sum
            self.keys[bucket].add(key)
        else:
            self.keys[bucket].discard(key)

    def drop(self, key: str) -> None:
        held = self.entries.pop(key)
        self.told_at.pop(key, None)
        self.turn(key, held, None)
        for dropper in [*self.droppers]:
            dropper(key)

    def expire(self) -> None:
        """Forget tombstones that are past the horizon."""
        now = self.clock()
        for key in [key for key, at in self.told_at.items() if now - at >= HORIZON]:
            self.drop(key)

    def age(self, key: str) -> float:
        """Seconds since a tombstone was first told; 0 for anything else."""
        at = self.told_at.get(key)
        return 0.0 if at is None else self.clock() - at

    def get(self, key: str, default: Any = None) -> Any:
        held = self.entries.get(key)
        return default if held is None or held[1] is None else held[1]

    def under(self, prefix: str) -> dict[str, Any]:
        return {
            key[len(prefix) :]: value
            for key, (_, value) in self.entries.items()
            if key.startswith(prefix) and value is not None
        }

    # What two boards tell each other to become alike.

    def digest(self) -> bytes:
        """One hash for each bucket: always 8 * BUCKETS bytes."""
        return self.sums.tobytes()

    def compare(self, digest: bytes) -> tuple[list[int], list[Row]]:
        """What one who told `digest` is to tell key by key: buckets in which it holds something else; and a
        portion of those in which it holds nothing, of which nothing need be told.  Raises ValueError."""
        theirs = array("Q")
        theirs.frombytes(digest)
        if len(theirs) != BUCKETS:
            raise ValueError(f"digest of {len(digest)} bytes, expected {8 * BUCKETS}")
        differing = [bucket for bucket in range(BUCKETS) if theirs[bucket] != self.sums[bucket]]
        rows, done = self.missing({bucket: {} for bucket in differing if not theirs[bucket]})
        return sorted({*differing} - {*done}), rows

    def versions(self, buckets: Iterable[int], most: int = MOST_ROWS) -> dict[int, dict[str, Any]]:
        """What is held in the first of some buckets, key by key: about `most` keys, one bucket at least."""
        told: dict[int, dict[str, Any]] = {}
        for bucket in buckets:
            if told and most < len(self.keys[bucket]):
                break
            most -= len(self.keys[bucket])
            told[bucket] = {key: self.entries[key][0] for key in sorted(self.keys[bucket])}
        return told

    def missing(self, told: dict[int, dict[str, Any]]) -> tuple[list[Row], list[int]]:
        """A portion of the parcels that one who holds `told` lacks or holds old, and the buckets that are
        done with it.  Removals come first within each bucket."""
        rows, done, size = [], [], 0
        for bucket, theirs in told.items():
            lacking = sorted(
                (key for key in self.keys[bucket] if key not in theirs or self.entries[key][0] > theirs[key]),
                key=lambda key: (key not in self.told_at, key),
            )
            for key in lacking:
                row = [key, *self.entries[key], self.age(key)]
                weight = len(PACK(row))
                if rows and (len(rows) >= MOST_ROWS or size + weight > MOST_BYTES):
                    return rows, done
                rows.append(row)
                size += weight
            done.append(bucket)
        return rows, done

    def take(self, rows: Iterable[Row]) -> None:
        for key, version, value, age in rows:
            self.offer(key, version, value, age)

    def rows(self) -> list[Row]:
        return [[key, *parcel, self.age(key)] for key, parcel in self.entries.items()]

    def keep_only(self, known: "VersionedStore") -> None:
        """Drop what is not in a snapshot of one who was never without news."""
        for key in [key for key in self.entries if "/" in key and key not in known.entries]:
            self.drop(key)
