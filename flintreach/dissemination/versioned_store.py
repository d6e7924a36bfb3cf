"""The updates that a process has: for each key the one with the highest version.  Pure: no I/O.

Every process of the system keeps such a store; relays (`relay.py`) carry updates from the controllers' stores
down to those of the proxies.  Versions are compared as they come (numbers or lists of them), so an update
may arrive twice, late, or by several ways: the version of a key never goes back while its process runs.

An update that says that its subject has ended is a tombstone.  It stands for TOMBSTONE_HORIZON_S after it was
first published anywhere (it travels with its age), rejects older updates of its key, and is then forgotten:
the size of a store is bounded by what exists.  A process that received nothing for more than SNAPSHOT_AFTER_S
may have updates whose tombstones the others are about to forget: it takes a snapshot of a store that has the
tombstones, and drops what that store lacks (`docs/design/endpoints.md` has the proof).

Anti-entropy: two stores find out where they differ by digests, one hash of the keys and versions of each
bucket.  The first message does not grow with the store; only buckets that differ are compared key by key.
"""

from array import array
from collections.abc import Callable, Iterable, Mapping
from hashlib import blake2b
from typing import Any, NamedTuple

import msgspec

from flintreach.common.keys import ENDPOINT_KEY_PREFIX

TOMBSTONE_HORIZON_S = 120.0  # how long a tombstone stands after it was first published
SNAPSHOT_AFTER_S = 60.0  # without updates for longer, a process needs a snapshot
BUCKETS = 256  # by the first byte of a key's hash
DIGEST_BYTES = 8 * BUCKETS
MAX_PORTION_ROWS = 500
MAX_PORTION_BYTES = 128 << 10  # of one portion; a single larger update goes alone

ENDPOINT_GONE = "gone"  # the state in an endpoint's update that makes it a tombstone

encode = msgspec.msgpack.encode


class UpdateRow(NamedTuple):
    """An update as it goes over the wire: an array of four.

    `age_s`: seconds since a tombstone was first published; 0 for any other update.
    """

    key: str
    version: Any
    value: Any
    age_s: float


class StoreComparison(NamedTuple):
    """What a peer's digest showed; sent as the end of the answer to a new subscriber.

    `buckets`: numbers of the buckets that the peer must still send the versions of; `rows`: updates for
    buckets in which the peer has nothing, so that no versions need be sent.
    """

    buckets: list[int]
    rows: list[UpdateRow]


class Portion(NamedTuple):
    """Some of the updates that a peer lacks, and the buckets that are complete with it: sent as an array."""

    rows: list[UpdateRow]
    complete_buckets: list[int]


# Version and value of a key; a value of None is a tombstone, or "not set" for a system-wide key.  A plain
# tuple, as one is made for every update that comes.
VersionedValue = tuple[Any, Any]
UpdateWatcher = Callable[[str, Any, Any], None]  # called with key, version, value
DropWatcher = Callable[[str], None]  # called with the key


def is_tombstone(key: str, value: Any) -> bool:
    """Whether an update is a tombstone.  Keys without a slash are system-wide, and never end."""
    if "/" not in key:
        return False
    if value is None:
        return True
    return key.startswith(ENDPOINT_KEY_PREFIX) and value.get("state") == ENDPOINT_GONE


def hash_version(key: str, version: Any) -> tuple[int, int]:
    """Give the bucket of a key, and a 64-bit hash of the key with its version."""
    key_hash = blake2b(key.encode(), digest_size=8).digest()
    version_hash = blake2b(encode(version), digest_size=8, key=key_hash).digest()
    return key_hash[0], int.from_bytes(version_hash, "big")


def no_clock() -> float:
    """Stand still: the clock of a store whose tombstones need not age."""
    return 0.0


class VersionedStore:
    """Versioned values by key, with tombstones, digests and notification of changes.

    Attributes:
        clock: steady clock, in seconds.
        entries: version and value by key.
        watchers: called with (key, version, value) for each update that was new.
        drop_watchers: called with the key of each entry that was forgotten.
        tombstoned_at: when each tombstone was first published, in seconds of `clock`, by key.
    """

    def __init__(self, clock: Callable[[], float] = no_clock) -> None:
        """Make an empty store.

        Args:
            clock: steady clock, in seconds.
        """
        self.clock = clock
        self.entries: dict[str, VersionedValue] = {}
        self.watchers: list[UpdateWatcher] = []
        self.drop_watchers: list[DropWatcher] = []
        self.tombstoned_at: dict[str, float] = {}
        self.bucket_keys: list[set[str]] = [set() for _ in range(BUCKETS)]
        self.bucket_hashes = array("Q", bytes(DIGEST_BYTES))

    def offer(self, key: str, version: Any, value: Any, age: float = 0.0) -> bool:
        """Store an update if its version is higher than the stored one, and notify the watchers.

        Args:
            key: what the update is about.
            version: a number or a list of numbers.
            value: the content; None for a tombstone.
            age: seconds since a tombstone was first published.

        Returns:
            Whether the update was new.
        """
        stored = self.entries.get(key)
        if stored is not None:
            stored_version, _ = stored
            if not version > stored_version:
                return False
        ends = is_tombstone(key, value)
        if stored is None and ends and age >= TOMBSTONE_HORIZON_S:
            return False  # others are about to forget it: it would go round for ever
        self._rehash(key, stored, version)
        self.entries[key] = (version, value)
        self.tombstoned_at.pop(key, None)
        if ends:
            self.tombstoned_at[key] = self.clock() - age
        for watcher in [*self.watchers]:
            watcher(key, version, value)
        return True

    def _rehash(self, key: str, stored: VersionedValue | None, version: Any | None) -> None:
        """Replace a key's version in the hash of its bucket; a `version` of None drops the key."""
        if stored is not None:
            stored_version, _ = stored
            bucket, version_hash = hash_version(key, stored_version)
            self.bucket_hashes[bucket] ^= version_hash
        if version is not None:
            bucket, version_hash = hash_version(key, version)
            self.bucket_hashes[bucket] ^= version_hash
            self.bucket_keys[bucket].add(key)
        else:
            self.bucket_keys[bucket].discard(key)

    def drop(self, key: str) -> None:
        """Forget a key, and notify the drop watchers.

        Raises:
            KeyError: the store doesn't have the key.
        """
        stored = self.entries.pop(key)
        self.tombstoned_at.pop(key, None)
        self._rehash(key, stored, None)
        for dropper in [*self.drop_watchers]:
            dropper(key)

    def expire(self) -> None:
        """Forget tombstones that are past the horizon."""
        now = self.clock()
        expired = [key for key, at in self.tombstoned_at.items() if now - at >= TOMBSTONE_HORIZON_S]
        for key in expired:
            self.drop(key)

    def age(self, key: str) -> float:
        """Give the seconds since a tombstone was first published; 0 for any other key."""
        published_at = self.tombstoned_at.get(key)
        return 0.0 if published_at is None else self.clock() - published_at

    def get(self, key: str, default: Any = None) -> Any:
        """Give the value of a key, or `default` where there is none or it is None."""
        stored = self.entries.get(key)
        if stored is None:
            return default
        _, value = stored
        return default if value is None else value

    def _version(self, key: str) -> Any:
        """Give the version of a key that the store has."""
        version, _ = self.entries[key]
        return version

    def with_prefix(self, prefix: str) -> dict[str, Any]:
        """Give the values of all keys with a prefix, by the rest of the key, without those that are None."""
        return {
            key[len(prefix) :]: value
            for key, (_, value) in self.entries.items()
            if key.startswith(prefix) and value is not None
        }

    # Anti-entropy: what two stores exchange to become alike.

    def digest(self) -> bytes:
        """Give one hash for each bucket: always DIGEST_BYTES bytes."""
        return self.bucket_hashes.tobytes()

    def compare(self, digest: bytes) -> StoreComparison:
        """Find out by a peer's digest what it must send the versions of, and what it certainly lacks.

        Raises:
            ValueError: the digest has another length than DIGEST_BYTES.
        """
        peer_hashes = array("Q")
        peer_hashes.frombytes(digest)
        if len(peer_hashes) != BUCKETS:
            raise ValueError(f"digest of {len(digest)} bytes, expected {DIGEST_BYTES}")
        differing = [bucket for bucket in range(BUCKETS) if peer_hashes[bucket] != self.bucket_hashes[bucket]]
        portion = self.missing({bucket: {} for bucket in differing if not peer_hashes[bucket]})
        remaining = sorted({*differing} - {*portion.complete_buckets})
        return StoreComparison(remaining, portion.rows)

    def versions(self, buckets: Iterable[int], most: int = MAX_PORTION_ROWS) -> dict[int, dict[str, Any]]:
        """Give the versions by key of the first of some buckets: about `most` keys, one bucket at least."""
        versions_by_bucket: dict[int, dict[str, Any]] = {}
        for bucket in buckets:
            keys = self.bucket_keys[bucket]
            if versions_by_bucket and most < len(keys):
                break
            most -= len(keys)
            versions_by_bucket[bucket] = {key: self._version(key) for key in sorted(keys)}
        return versions_by_bucket

    def missing(self, peer_versions: Mapping[int, Mapping[str, Any]]) -> Portion:
        """Give a portion of the updates that a peer lacks or has in an older version.

        Args:
            peer_versions: the peer's versions by key, by bucket (see `versions`).

        Returns:
            The updates, tombstones first within each bucket, and the buckets that are complete with them.
        """
        rows: list[UpdateRow] = []
        complete: list[int] = []
        size = 0
        for bucket, versions in peer_versions.items():
            for key in self._newer_keys(bucket, versions):
                version, value = self.entries[key]
                row = UpdateRow(key, version, value, self.age(key))
                row_bytes = len(encode(row))
                full = len(rows) >= MAX_PORTION_ROWS or size + row_bytes > MAX_PORTION_BYTES
                if rows and full:
                    return Portion(rows, complete)
                rows.append(row)
                size += row_bytes
            complete.append(bucket)
        return Portion(rows, complete)

    def _newer_keys(self, bucket: int, peer_versions: Mapping[str, Any]) -> list[str]:
        """Give the keys of a bucket that a peer lacks or has in an older version, tombstones first."""
        newer = [
            key
            for key in self.bucket_keys[bucket]
            if key not in peer_versions or self._version(key) > peer_versions[key]
        ]
        return sorted(newer, key=lambda key: (key not in self.tombstoned_at, key))

    def take(self, rows: Iterable[UpdateRow]) -> None:
        """Offer each of some rows.

        Raises:
            TypeError, ValueError: a row, which a peer sent, doesn't have the shape of one.
        """
        for key, version, value, age in rows:
            self.offer(key, version, value, age)

    def rows(self) -> list[UpdateRow]:
        """Give all that the store has, as rows."""
        return [
            UpdateRow(key, version, value, self.age(key)) for key, (version, value) in self.entries.items()
        ]

    def keep_only(self, snapshot: "VersionedStore") -> None:
        """Drop the entries that a snapshot of an up-to-date store lacks; system-wide keys stay."""
        stale = [key for key in self.entries if "/" in key and key not in snapshot.entries]
        for key in stale:
            self.drop(key)
