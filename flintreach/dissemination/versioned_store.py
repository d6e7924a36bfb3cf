"""Versioned key-value store: keeps the update with the highest version of each key.  Pure: no I/O.

Every process of the system has such a store; relays (`relay.py`) propagate updates from the controllers'
stores to those of the proxies.  Versions are numbers or lists of numbers, and are compared directly.  Updates
may therefore arrive repeatedly, late, or over several paths: the version of a key never decreases while its
process runs.

An update that reports the end of its subject is a tombstone.  It is kept for TOMBSTONE_HORIZON_S after it was
first published anywhere (it is sent with its age), rejects older updates of its key, and is then removed, so
that the size of a store is bounded by the number of live subjects.  A process that received nothing for more
than SNAPSHOT_AFTER_S may hold updates whose tombstones other processes are about to remove.  It fetches a
snapshot of a store that has the tombstones, and drops the keys that the snapshot lacks
(`docs/design/endpoints.md` has the proof).

Anti-entropy: two stores detect differences by digests, which hold one hash of the keys and versions per
bucket.  The size of the first message does not depend on the size of the store; only buckets that differ are
compared key by key.
"""

from array import array
from collections.abc import Callable, Iterable, Mapping
from hashlib import blake2b
from typing import Any, NamedTuple

import msgspec

from flintreach.common.keys import ENDPOINT_KEY_PREFIX

TOMBSTONE_HORIZON_S = 120.0  # lifetime of a tombstone since it was first published
SNAPSHOT_AFTER_S = 60.0  # a process without updates for longer needs a snapshot
BUCKETS = 256  # numbered by the first byte of a key's hash
DIGEST_BYTES = 8 * BUCKETS
MAX_PORTION_ROWS = 500
MAX_PORTION_BYTES = 128 << 10  # a single larger update is sent in a portion of its own

ENDPOINT_GONE = "gone"  # the state in an endpoint's update that makes it a tombstone

encode = msgspec.msgpack.encode


class UpdateRow(NamedTuple):
    """An update in its wire representation, an array of four.

    `age_s`: seconds since a tombstone was first published; 0 for other updates.
    """

    key: str
    version: Any
    value: Any
    age_s: float


class StoreComparison(NamedTuple):
    """Result of comparing a peer's digest; sent as the last fields of the response to a new subscriber.

    `buckets`: numbers of the buckets for which the peer must still send its versions; `rows`: updates of
    buckets that are empty at the peer, for which no versions are needed.
    """

    buckets: list[int]
    rows: list[UpdateRow]


class Portion(NamedTuple):
    """Some of the updates that a peer lacks, and the buckets that they complete; sent as an array."""

    rows: list[UpdateRow]
    complete_buckets: list[int]


# Version and value of a key; a value of None is a tombstone, or "not set" for a system-wide key.  A plain
# tuple, because one is created for every received update.
VersionedValue = tuple[Any, Any]
UpdateWatcher = Callable[[str, Any, Any], None]  # called with key, version, value
DropWatcher = Callable[[str], None]  # called with the key


def is_tombstone(key: str, value: Any) -> bool:
    """Whether an update is a tombstone.  Keys without a slash are system-wide and have no tombstones."""
    if "/" not in key:
        return False
    if value is None:
        return True
    return key.startswith(ENDPOINT_KEY_PREFIX) and value.get("state") == ENDPOINT_GONE


def hash_version(key: str, version: Any) -> tuple[int, int]:
    """Return the bucket of a key, and a 64-bit hash of the key with its version."""
    key_hash = blake2b(key.encode(), digest_size=8).digest()
    version_hash = blake2b(encode(version), digest_size=8, key=key_hash).digest()
    return key_hash[0], int.from_bytes(version_hash, "big")


def frozen_clock() -> float:
    """Clock of a store whose tombstones do not age."""
    return 0.0


class VersionedStore:
    """Versioned values by key, with tombstones, digests and notification of changes.

    Attributes:
        clock: monotonic clock in seconds.
        entries: version and value by key.
        watchers: called with (key, version, value) for each accepted update.
        drop_watchers: called with the key of each dropped entry.
        tombstoned_at: time at which each tombstone was first published, in seconds of `clock`, by key.
    """

    def __init__(self, clock: Callable[[], float] = frozen_clock) -> None:
        """Create an empty store.

        Args:
            clock: monotonic clock in seconds.
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
            key: key of the update.
            version: a number or a list of numbers.
            value: the content; None for a tombstone.
            age: seconds since a tombstone was first published.

        Returns:
            Whether the update was accepted.
        """
        stored = self.entries.get(key)
        if stored is not None:
            stored_version, _ = stored
            if not version > stored_version:
                return False
        ends_subject = is_tombstone(key, value)
        if stored is None and ends_subject and age >= TOMBSTONE_HORIZON_S:
            return False  # peers are about to remove it; accepting it would keep it circulating
        self._update_hash(key, stored, version)
        self.entries[key] = (version, value)
        self.tombstoned_at.pop(key, None)
        if ends_subject:
            self.tombstoned_at[key] = self.clock() - age
        for watcher in [*self.watchers]:
            watcher(key, version, value)
        return True

    def _update_hash(self, key: str, stored: VersionedValue | None, version: Any | None) -> None:
        """Replace a key's version in the hash of its bucket; a `version` of None removes the key."""
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
        """Remove a key, and notify the drop watchers.

        Raises:
            KeyError: the key is not in the store.
        """
        stored = self.entries.pop(key)
        self.tombstoned_at.pop(key, None)
        self._update_hash(key, stored, None)
        for watcher in [*self.drop_watchers]:
            watcher(key)

    def expire(self) -> None:
        """Remove tombstones that are past the horizon."""
        now = self.clock()
        expired = [key for key, at in self.tombstoned_at.items() if now - at >= TOMBSTONE_HORIZON_S]
        for key in expired:
            self.drop(key)

    def age(self, key: str) -> float:
        """Return the seconds since a tombstone was first published; 0 for other keys."""
        published_at = self.tombstoned_at.get(key)
        return 0.0 if published_at is None else self.clock() - published_at

    def get(self, key: str, default: Any = None) -> Any:
        """Return the value of a key, or `default` if the key is absent or its value is None."""
        stored = self.entries.get(key)
        if stored is None:
            return default
        _, value = stored
        return default if value is None else value

    def _version(self, key: str) -> Any:
        """Return the version of a stored key."""
        version, _ = self.entries[key]
        return version

    def with_prefix(self, prefix: str) -> dict[str, Any]:
        """Return the values other than None of all keys with a prefix, by the remainder of the key."""
        return {
            key[len(prefix) :]: value
            for key, (_, value) in self.entries.items()
            if key.startswith(prefix) and value is not None
        }

    # Anti-entropy between two stores.

    def digest(self) -> bytes:
        """Return one hash per bucket; always DIGEST_BYTES bytes."""
        return self.bucket_hashes.tobytes()

    def compare(self, digest: bytes) -> StoreComparison:
        """Determine from a peer's digest which buckets need its versions, and which updates it surely lacks.

        Raises:
            ValueError: the digest is not DIGEST_BYTES long.
        """
        peer_hashes = array("Q")
        peer_hashes.frombytes(digest)
        if len(peer_hashes) != BUCKETS:
            raise ValueError(f"digest of {len(digest)} bytes, expected {DIGEST_BYTES}")
        differing = [bucket for bucket in range(BUCKETS) if peer_hashes[bucket] != self.bucket_hashes[bucket]]
        portion = self.missing({bucket: {} for bucket in differing if not peer_hashes[bucket]})
        remaining = sorted({*differing} - {*portion.complete_buckets})
        return StoreComparison(remaining, portion.rows)

    def versions(self, buckets: Iterable[int], max_keys: int = MAX_PORTION_ROWS) -> dict[int, dict[str, Any]]:
        """Return the versions by key of the leading buckets: up to `max_keys` keys, at least one bucket."""
        versions_by_bucket: dict[int, dict[str, Any]] = {}
        for bucket in buckets:
            keys = self.bucket_keys[bucket]
            if versions_by_bucket and max_keys < len(keys):
                break
            max_keys -= len(keys)
            versions_by_bucket[bucket] = {key: self._version(key) for key in sorted(keys)}
        return versions_by_bucket

    def missing(self, peer_versions: Mapping[int, Mapping[str, Any]]) -> Portion:
        """Return a portion of the updates that a peer lacks or has in an older version.

        Args:
            peer_versions: the peer's versions by key, by bucket (see `versions`).

        Returns:
            The updates, tombstones first within each bucket, and the buckets that they complete.
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
        """Return the keys of a bucket that a peer lacks or has in an older version, tombstones first."""
        newer = [
            key
            for key in self.bucket_keys[bucket]
            if key not in peer_versions or self._version(key) > peer_versions[key]
        ]
        return sorted(newer, key=lambda key: (key not in self.tombstoned_at, key))

    def apply_rows(self, rows: Iterable[UpdateRow]) -> None:
        """Offer each row to the store.

        Raises:
            TypeError, ValueError: a row is malformed.
        """
        for key, version, value, age in rows:
            self.offer(key, version, value, age)

    def rows(self) -> list[UpdateRow]:
        """Return the entire content of the store as rows."""
        return [
            UpdateRow(key, version, value, self.age(key)) for key, (version, value) in self.entries.items()
        ]

    def retain_only(self, snapshot: "VersionedStore") -> None:
        """Drop the entries that a snapshot of an up-to-date store lacks, except system-wide keys."""
        stale = [key for key in self.entries if "/" in key and key not in snapshot.entries]
        for key in stale:
            self.drop(key)
