"""Propagation of updates along the relay tree: connections to two parents and any number of children.

A child sends the digest of its store, receives the updates that it lacks in portions, and then each new
update as it is published.  Every FRESHNESS_POLL_S it requests the age of the parent's updates on the same
connection, which detects relays that are partitioned from the controllers, and connections that work in one
direction only.  Both parents send the same updates, so that a parent that fails or falls behind causes no
delay while it is replaced.

`relay_tree.py` chooses the parents, `versioned_store.py` stores the updates, and `transport` provides the
connections.
"""

from collections.abc import Callable, Iterable, Sequence
from functools import partial
from typing import Any, NamedTuple

from flintreach.dissemination.relay_tree import PARENT_COUNT
from flintreach.dissemination.versioned_store import SNAPSHOT_AFTER_S, Portion, UpdateRow, VersionedStore
from flintreach.transport.peer_connection import ConnectionClosed, PeerConnection
from flintreach.transport.peer_pool import Address, PeerPool
from flintreach.transport.runtime import RuntimeInterface

FRESHNESS_POLL_S = 0.25
STALE_AFTER_S = 1.2  # a parent without fresh updates for longer is replaced
DIAL_TIMEOUT_S = 0.7
REQUEST_TIMEOUT_S = 1.0
MIN_REQUEST_TIMEOUT_S = 0.05
EXPIRY_PERIOD_S = 2.0
MAX_AGE_S = 86400.0  # reported as the age of updates that were never fresh
NEVER_S = -MAX_AGE_S
ANY_AGE_S = 1e9

# Times to avoid a parent, by its kind of failure, and to wait before trying the next one.
AVOID_NOT_FRESH_YET_S = 0.3
AVOID_CLOSED_S = 1
AVOID_FAULTY_S = 3
PAUSE_NOT_FRESH_YET_S = 0.03
PAUSE_UNREACHABLE_S = 0.02
PAUSE_FAULTY_S = 0.05
PAUSE_OTHER_SNAPSHOT_S = 0.02
PAUSE_NO_PARENT_S = 0.05
PAUSE_NO_SECOND_PARENT_S = 0.5

# Message kinds on the wire; fixed for compatibility with earlier releases.
UPDATES_KIND = "news"  # rows of updates, pushed to a child
SUBSCRIBE_KIND = "follow"  # a child's digest; the response is a `SubscriptionStart`
MISSING_KIND = "lack"  # a child's versions by bucket; the response is a `Portion`
FRESHNESS_KIND = "mark"  # requests the age of the parent's updates in seconds
REPORT_KIND = "up"  # a load report, sent to a parent


class SubscriptionStart(NamedTuple):
    """Response to a new subscriber, an array on the wire.

    `age_s`: seconds since the sender's updates were known to be fresh; for the other fields see
    `StoreComparison`.
    """

    age_s: float
    buckets: list[int]
    rows: list[UpdateRow]


class Subscription:
    """A subscription to another process's store over a dedicated connection.

    `fresh_at` and `last_contact_at` are local monotonic times in seconds.  They are taken when the request is
    sent, not when the response is read, because the response may have been buffered while this process was
    suspended.

    Attributes:
        link: the connection; None before `begin`.
        fresh_at: last time at which the other process was known to be up to date and all its updates of that
            time were stored here.
        last_contact_at: time of the last request that was answered.
        started_at: time at which the initial fetch was complete; before that, the creation time.
    """

    def __init__(
        self,
        runtime: RuntimeInterface,
        updates: VersionedStore,
        address: Address,
        apply: Callable[[Iterable[UpdateRow]], None] | None = None,
    ) -> None:
        """Create a subscription; `begin` connects.

        Args:
            runtime: clock and connections.
            updates: the store of this process.
            address: address of the process to subscribe to.
            apply: receives its updates; by default the store `updates`.
        """
        self.runtime = runtime
        self.updates = updates
        self.address = address
        self.apply = apply or updates.apply_rows
        self.link: PeerConnection | None = None
        self.snapshot: VersionedStore | None = None  # incoming replacement of the store's content
        self.fresh_at = NEVER_S
        self.last_contact_at = NEVER_S
        self.started_at = runtime.now()

    def begin(self, take_snapshot: bool = False, max_age_s: float = ANY_AGE_S) -> bool:
        """Connect, and fetch the updates that this process lacks.

        Args:
            take_snapshot: replace the store's content, because tombstones of its entries may have expired
                elsewhere.
            max_age_s: maximum age of the other process's updates.

        Returns:
            False if the other process's updates are older than `max_age_s`.

        Raises:
            OSError: the connection could not be established.
            ConnectionClosed: the connection was closed, or a response did not arrive in time.
            TypeError, ValueError: a response is malformed.
        """
        self.link = self.runtime.dial(self.address, {UPDATES_KIND: self.on_updates}, DIAL_TIMEOUT_S)
        asked_at = self.runtime.now()
        if take_snapshot:
            age_s = self._replace_by_snapshot(max_age_s)
        else:
            age_s = self._fetch(self.updates, self.apply, max_age_s)
        if age_s is None:
            return False
        self.started_at = self.runtime.now()
        self.fresh_at = asked_at - age_s
        self.last_contact_at = asked_at
        if self.started_at - asked_at > STALE_AFTER_S / 2:
            self.check_freshness()  # otherwise a long fetch would be stale as soon as it completes
        return True

    def _replace_by_snapshot(self, max_age_s: float) -> float | None:
        """Fetch everything into a separate store, and drop the entries that it lacks; returns as `_fetch`."""
        snapshot = VersionedStore(self.updates.clock)
        self.snapshot = snapshot
        self.updates.watchers.append(snapshot.offer)  # updates from other sources meanwhile are newer
        try:
            age_s = self._fetch(snapshot, snapshot.apply_rows, max_age_s)
            if age_s is None:
                return None
            self.apply(snapshot.rows())
            self.updates.retain_only(snapshot)
            return age_s
        finally:
            self.snapshot = None
            self.updates.watchers.remove(snapshot.offer)

    def _fetch(
        self, store: VersionedStore, apply: Callable[[Iterable[UpdateRow]], None], max_age_s: float
    ) -> float | None:
        """Fetch the updates that `store` lacks, portion by portion.

        Returns:
            The age of the other process's updates in seconds; None if it exceeds `max_age_s`.
        """
        start = self.link.ask(SUBSCRIBE_KIND, store.digest(), REQUEST_TIMEOUT_S)
        age_s, buckets, rows = start
        if age_s > max_age_s:
            return None
        apply(rows)
        while buckets:
            rows, complete = self.link.ask(MISSING_KIND, store.versions(buckets), REQUEST_TIMEOUT_S)
            if not rows and not complete:
                raise ValueError("empty portion: neither updates nor complete buckets")
            apply(rows)
            buckets = [bucket for bucket in buckets if bucket not in complete]
        return age_s

    def on_updates(self, link: PeerConnection, rows: list[UpdateRow]) -> None:
        """Apply updates pushed by the other process, if the connection is still the current one."""
        if link is not self.link or link.closed:
            return
        if self.snapshot is not None:
            self.snapshot.apply_rows(rows)  # the snapshot may lack even updates that the store has
        self.apply(rows)

    def check_freshness(self) -> None:
        """Request the age of the other process's updates.

        Raises:
            ConnectionClosed: there was no response for STALE_AFTER_S.  A connection that is cut in one
                direction appears healthy until a request on it times out.
        """
        asked_at = self.runtime.now()
        active_at = max(self.last_contact_at, self.started_at)
        timeout_s = active_at + STALE_AFTER_S - asked_at
        age_s = self.link.ask(FRESHNESS_KIND, None, max(timeout_s, MIN_REQUEST_TIMEOUT_S))
        self.fresh_at = max(self.fresh_at, asked_at - age_s)
        self.last_contact_at = asked_at

    def is_stale(self) -> bool:
        """Whether the other process's updates are too old.

        The age counts from the start of the subscription at the earliest, because a parent that has just
        started may not be up to date yet.
        """
        return self.runtime.now() - max(self.fresh_at, self.started_at) > STALE_AFTER_S

    def close(self) -> None:
        """Close the connection, if any."""
        if self.link is not None:
            self.link.close()


def always_fresh() -> float:
    """Return 0 seconds: the default age of a root's updates."""
    return 0.0


def ignore_report(body: Any) -> None:
    """Discard a report; the default report handler."""


class Relay:
    """Receives updates from two parents, forwards them to its children, and sends reports to a parent.

    A controller is a root: it has no parents.

    Attributes:
        children: connections of subscribed children, in order of subscription.
        fresh_at: last time at which this process's updates were known to be fresh, in monotonic seconds.
        root_age: returns the age of a root's updates in seconds.
    """

    def __init__(
        self,
        peer_pool: PeerPool,
        updates: VersionedStore,
        parents: Callable[[], Sequence[Address]] | None = None,
        on_report: Callable[[Any], Any] | None = None,
        root_age: Callable[[], float] = always_fresh,
    ) -> None:
        """Register the handlers for children; `start` subscribes to parents.

        Args:
            peer_pool: receives the children's messages.
            updates: the store of this process.
            parents: returns the addresses of parents in order of preference; None for a root.
            on_report: called with the body of each report from a child.
            root_age: returns the age of a root's updates in seconds.
        """
        self.peer_pool = peer_pool
        self.runtime = peer_pool.runtime
        self.updates = updates
        self.parents = parents
        self.children: dict[PeerConnection, bool] = {}
        self.fresh_at = NEVER_S
        self.root_age = root_age
        self.subscriptions: list[Subscription | None] = [None] * PARENT_COUNT
        self.assigned_parents: list[Address | None] = [None] * PARENT_COUNT  # parent address by subscription
        # Two concurrent snapshots would drop each other's updates.
        self.snapshot_in_progress = False
        self.on_report = on_report or ignore_report
        peer_pool.handlers |= {
            SUBSCRIBE_KIND: self.on_subscribe,
            MISSING_KIND: self.on_missing,
            FRESHNESS_KIND: self.on_freshness,
            REPORT_KIND: self.on_child_report,
        }
        updates.watchers.append(self.push_to_children)

    def start(self) -> None:
        """Start expiring tombstones and, below the root, start subscribing to parents."""
        self.runtime.spawn_loop(self.expire)
        if self.parents:
            for slot in range(PARENT_COUNT):
                self.runtime.spawn_loop(partial(self.maintain_parent, slot))

    def expire(self) -> None:
        """Periodically remove expired tombstones until the process exits."""
        while True:
            self.runtime.sleep(EXPIRY_PERIOD_S)
            self.updates.expire()

    def age(self) -> float:
        """Return the seconds since this store was known to be fresh; MAX_AGE_S if it never was."""
        if self.parents is None:
            return self.root_age()
        return min(self.runtime.now() - self.fresh_at, MAX_AGE_S)

    # Children.

    def on_subscribe(self, link: PeerConnection, digest: bytes) -> SubscriptionStart:
        """Subscribe a child to new updates, and respond with the outcome of comparing its digest.

        Raises:
            ValueError: the digest has the wrong length.
        """
        if link not in self.children:
            link.on_close.append(self._remove_child)
            self.children[link] = True
        age_s = self.age()
        return SubscriptionStart(age_s, *self.updates.compare(digest))

    def _remove_child(self, link: PeerConnection) -> None:
        self.children.pop(link, None)

    def on_missing(self, link: PeerConnection, peer_versions: dict[int, dict[str, Any]]) -> Portion:
        """Return a portion of the updates that a child with these versions lacks."""
        return self.updates.missing(peer_versions)

    def on_freshness(self, link: PeerConnection, body: None) -> float:
        """Return the age of this process's updates in seconds."""
        return self.age()

    def on_child_report(self, link: PeerConnection, body: Any) -> Any:
        """Pass the report of a child to the report handler."""
        return self.on_report(body)

    def push_to_children(self, key: str, version: Any, value: Any) -> None:
        """Push an update to all children."""
        if not self.children:
            return
        rows = [UpdateRow(key, version, value, self.updates.age(key))]
        for link in [*self.children]:
            link.send(UPDATES_KIND, rows)

    # Parents.

    def best_parent(self, slot: int, avoid: dict[Address, float]) -> Address | None:
        """Return the best parent that no other subscription uses and that is not being avoided.

        Args:
            slot: index of the subscription.
            avoid: by address, the monotonic time in seconds until which it is avoided.

        Returns:
            The address; the best address if all are being avoided; None if there is no address.
        """
        others = [address for at, address in enumerate(self.assigned_parents) if at != slot]
        free = [address for address in self.parents() if address not in others]
        now = self.runtime.now()
        for address in free:
            if avoid.get(address, 0) <= now:
                return address
        return free[0] if free else None

    def maintain_parent(self, slot: int) -> None:
        """Stay subscribed to the best parent with fresh updates until the process exits."""
        avoid: dict[Address, float] = {}
        while True:
            address = self.best_parent(slot, avoid)
            self.assigned_parents[slot] = address
            if address is None:
                self.runtime.sleep(PAUSE_NO_PARENT_S if slot == 0 else PAUSE_NO_SECOND_PARENT_S)
                continue
            now = self.runtime.now()
            avoid = {other: until for other, until in avoid.items() if until > now}
            needs_snapshot = self.age() > SNAPSHOT_AFTER_S
            if needs_snapshot and self.snapshot_in_progress:
                self.runtime.sleep(PAUSE_OTHER_SNAPSHOT_S)
                continue
            if needs_snapshot:
                self.snapshot_in_progress = True
            subscription = Subscription(self.runtime, self.updates, address)
            self.subscriptions[slot] = subscription
            self._use_parent(slot, subscription, needs_snapshot, avoid)

    def _use_parent(
        self, slot: int, subscription: Subscription, needs_snapshot: bool, avoid: dict[Address, float]
    ) -> None:
        """Use a parent until it fails, becomes stale, or a better one is available; record it in `avoid`."""
        address = subscription.address
        try:
            if not self._begin_subscription(subscription, needs_snapshot):
                # The parent has just started, or is partitioned from the controllers.
                avoid[address] = self.runtime.now() + AVOID_NOT_FRESH_YET_S
                self.runtime.sleep(PAUSE_NOT_FRESH_YET_S)
                return
            while True:
                self.fresh_at = max(self.fresh_at, subscription.fresh_at)
                if subscription.is_stale():
                    avoid[address] = self.runtime.now() + AVOID_FAULTY_S
                    return
                if self.best_parent(slot, avoid) != address:
                    return
                self.runtime.sleep(FRESHNESS_POLL_S)
                subscription.check_freshness()
        except OSError:
            avoid[address] = self.runtime.now() + AVOID_FAULTY_S
            self.runtime.sleep(PAUSE_UNREACHABLE_S)
        except (ConnectionClosed, TypeError, ValueError):
            # A connection that is open but unresponsive, or carries malformed data, indicates a worse fault
            # than a closed one.
            avoid_s = AVOID_CLOSED_S if subscription.link.closed else AVOID_FAULTY_S
            avoid[address] = self.runtime.now() + avoid_s
            self.runtime.sleep(PAUSE_FAULTY_S)
        finally:
            subscription.close()

    def _begin_subscription(self, subscription: Subscription, needs_snapshot: bool) -> bool:
        """Begin a subscription, and return whether its updates are fresh; raises as `Subscription.begin`."""
        try:
            fresh = subscription.begin(needs_snapshot, STALE_AFTER_S)
            self.fresh_at = max(self.fresh_at, subscription.fresh_at)
            return fresh
        finally:
            if needs_snapshot:
                self.snapshot_in_progress = False

    def send_report(self, body: Any) -> None:
        """Send a report to the parent with the freshest updates; discard it if there is no parent."""
        connected = [
            subscription
            for subscription in self.subscriptions
            if subscription and subscription.link and not subscription.link.closed
        ]
        if not connected:
            return
        freshest = max(connected, key=lambda subscription: subscription.fresh_at)
        freshest.link.send(REPORT_KIND, body)
