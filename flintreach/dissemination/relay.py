"""The tree of relays at work: connections up to two parents, any number of them down to children.

A child sends the digest of its store, gets the updates that it lacks in portions, and then each new update as
it comes.  Every FRESHNESS_POLL_S it asks on the same connection how old the parent's updates may be: a relay
that is cut off from the controllers is noticed by that, and so is a connection that carries one way alone.
Both parents send the same: one that dies or falls behind costs nothing while another is looked for.

`relay_tree.py` chooses the parents, `versioned_store.py` has the updates, `transport` the connections.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

from flintreach.dissemination.relay_tree import PARENTS
from flintreach.dissemination.versioned_store import SNAPSHOT_AFTER_S, Portion, UpdateRow, VersionedStore
from flintreach.transport.peer_connection import ConnectionClosed, PeerConnection
from flintreach.transport.peer_pool import Address, PeerPool
from flintreach.transport.runtime import RuntimeInterface

FRESHNESS_POLL_S = 0.25
STALE_AFTER_S = 1.2  # without fresh updates for longer, another parent is looked for
DIAL_TIMEOUT_S = 0.7
REQUEST_TIMEOUT_S = 1.0
MIN_REQUEST_TIMEOUT_S = 0.05
EXPIRY_PERIOD_S = 2.0
MAX_AGE_S = 86400.0  # given as the age of updates that never were fresh
NEVER_S = -MAX_AGE_S
ANY_AGE_S = 1e9

# How long to keep away from a parent, by what was wrong with it, and to pause before the next is tried.
AVOID_NOT_FRESH_YET_S = 0.3
AVOID_CLOSED_S = 1
AVOID_FAULTY_S = 3
PAUSE_NOT_FRESH_YET_S = 0.03
PAUSE_UNREACHABLE_S = 0.02
PAUSE_FAULTY_S = 0.05
PAUSE_OTHER_SNAPSHOT_S = 0.02
PAUSE_NO_PARENT_S = 0.05
PAUSE_NO_SECOND_PARENT_S = 0.5

# Message kinds, as earlier releases sent them.
UPDATES_KIND = "news"  # rows of updates, pushed to a child
SUBSCRIBE_KIND = "follow"  # a child's digest; the answer is a `SubscriptionStart`
MISSING_KIND = "lack"  # a child's versions by bucket; the answer is a `Portion`
FRESHNESS_KIND = "mark"  # asks for the age of the parent's updates, in seconds
REPORT_KIND = "up"  # a report of load, sent to a parent


class SubscriptionStart(NamedTuple):
    """Answer to a new subscriber, an array on the wire.

    `age_s`: seconds since the sender's updates were certainly fresh; the rest as in `StoreComparison`.
    """

    age_s: float
    buckets: list[int]
    rows: list[UpdateRow]


class Subscription:
    """Another process's store, followed over a connection of its own.

    `fresh_at` and `answered_at` are steady seconds of this machine, and count from when a question was asked:
    its answer may have lain in a buffer while this process slept.

    Attributes:
        link: the connection; None before `begin`.
        fresh_at: when the other process certainly was up to date, with all that it had then stored here too.
        answered_at: when it was last in touch.
        began_at: when it was followed first.
    """

    def __init__(
        self,
        runtime: RuntimeInterface,
        updates: VersionedStore,
        address: Address,
        take: Callable[[Iterable[UpdateRow]], None] | None = None,
    ) -> None:
        """Prepare to follow a process; `begin` connects.

        Args:
            runtime: clock and connections.
            updates: the store of this process.
            address: of the process to follow.
            take: where its updates go; by default to `updates`.
        """
        self.runtime = runtime
        self.updates = updates
        self.address = address
        self.take = take or updates.take
        self.link: PeerConnection | None = None
        self.snapshot: VersionedStore | None = None  # what is to replace the store's content, while it comes
        self.fresh_at = NEVER_S
        self.answered_at = NEVER_S
        self.began_at = runtime.now()

    def begin(self, take_snapshot: bool = False, max_age_s: float = ANY_AGE_S) -> bool:
        """Connect, and fetch all that this process lacks.

        Args:
            take_snapshot: replace what this process has, which may be older than the others' tombstones.
            max_age_s: the oldest updates to accept.

        Returns:
            False where the other's updates are older than `max_age_s`.

        Raises:
            OSError: no connection came up.
            ConnectionClosed: it ended, or an answer didn't come in time.
            TypeError, ValueError: the other's answers make no sense.
        """
        self.link = self.runtime.dial(self.address, {UPDATES_KIND: self.on_updates}, DIAL_TIMEOUT_S)
        asked_at = self.runtime.now()
        if take_snapshot:
            age_s = self._replace_by_snapshot(max_age_s)
        else:
            age_s = self._fetch(self.updates, self.take, max_age_s)
        if age_s is None:
            return False
        self.began_at = self.runtime.now()
        self.fresh_at = asked_at - age_s
        self.answered_at = asked_at
        if self.began_at - asked_at > STALE_AFTER_S / 2:
            self.check_freshness()  # a long fetch would count as stale right after it came
        return True

    def _replace_by_snapshot(self, max_age_s: float) -> float | None:
        """Fetch all into a store of its own, and drop what that lacks; the result is that of `_fetch`."""
        snapshot = VersionedStore(self.updates.clock)
        self.snapshot = snapshot
        self.updates.watchers.append(snapshot.offer)  # what comes by other ways meanwhile is newer
        try:
            age_s = self._fetch(snapshot, snapshot.take, max_age_s)
            if age_s is None:
                return None
            self.take(snapshot.rows())
            self.updates.keep_only(snapshot)
            return age_s
        finally:
            self.snapshot = None
            self.updates.watchers.remove(snapshot.offer)

    def _fetch(
        self, store: VersionedStore, take: Callable[[Iterable[UpdateRow]], None], max_age_s: float
    ) -> float | None:
        """Fetch what `store` lacks, portion by portion.

        Returns:
            The age of the other's updates in seconds; None where that is over `max_age_s`.
        """
        start = self.link.ask(SUBSCRIBE_KIND, store.digest(), REQUEST_TIMEOUT_S)
        age_s, buckets, rows = start
        if age_s > max_age_s:
            return None
        take(rows)
        while buckets:
            rows, complete = self.link.ask(MISSING_KIND, store.versions(buckets), REQUEST_TIMEOUT_S)
            if not rows and not complete:
                raise ValueError("a portion with nothing in it")
            take(rows)
            buckets = [bucket for bucket in buckets if bucket not in complete]
        return age_s

    def on_updates(self, link: PeerConnection, rows: list[UpdateRow]) -> None:
        """Take updates that the other process pushed, if the connection is still the present one."""
        if link is not self.link or link.closed:
            return
        if self.snapshot is not None:
            self.snapshot.take(rows)  # also what the store has already: the snapshot may lack it
        self.take(rows)

    def check_freshness(self) -> None:
        """Ask how old the other's updates may be.

        Raises:
            ConnectionClosed: nothing was heard for STALE_AFTER_S: a connection that is cut one way looks well
                until something is asked on it.
        """
        asked_at = self.runtime.now()
        last_contact_at = max(self.answered_at, self.began_at)
        timeout_s = last_contact_at + STALE_AFTER_S - asked_at
        age_s = self.link.ask(FRESHNESS_KIND, None, max(timeout_s, MIN_REQUEST_TIMEOUT_S))
        self.fresh_at = max(self.fresh_at, asked_at - age_s)
        self.answered_at = asked_at

    def is_stale(self) -> bool:
        """Whether the other's updates are too old.

        Right after a start the other may not know much itself: that is no reason to leave it at once.
        """
        return self.runtime.now() - max(self.fresh_at, self.began_at) > STALE_AFTER_S

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.link is not None:
            self.link.close()


def always_fresh() -> float:
    """Give 0 seconds: the age of a root's updates where nothing else is known of it."""
    return 0.0


def ignore_report(body: Any) -> None:
    """Drop a report, where nobody reads them."""


class Relay:
    """Receives updates from two parents, passes them on to its children, and reports up.

    A controller is a root: it has no parents.

    Attributes:
        children: connections that subscribed, in their order.
        fresh_at: when this process's updates were certainly fresh, in steady seconds.
        root_age: gives the age of a root's updates in seconds.
    """

    def __init__(
        self,
        peer_pool: PeerPool,
        updates: VersionedStore,
        parents: Callable[[], Sequence[Address]] | None = None,
        on_report: Callable[[Any], Any] | None = None,
        root_age: Callable[[], float] = always_fresh,
    ) -> None:
        """Answer to children from now on; `start` begins to follow parents.

        Args:
            peer_pool: receives the children's messages.
            updates: the store of this process.
            parents: gives the addresses to receive from, the best first; None for a root.
            on_report: takes what a child reports up.
            root_age: a root knows by itself how old its updates may be, in seconds.
        """
        self.peer_pool = peer_pool
        self.runtime = peer_pool.runtime
        self.updates = updates
        self.parents = parents
        self.children: dict[PeerConnection, bool] = {}
        self.fresh_at = NEVER_S
        self.root_age = root_age
        self.subscriptions: list[Subscription | None] = [None] * PARENTS
        self.chosen: list[Address | None] = [None] * PARENTS  # the address that each subscription keeps to
        # A snapshot is coming: a second one beside it would drop what the first brings.
        self.taking_snapshot = False
        self.on_report = on_report or ignore_report
        peer_pool.handlers |= {
            SUBSCRIBE_KIND: self.on_subscribe,
            MISSING_KIND: self.on_missing,
            FRESHNESS_KIND: self.on_freshness,
            REPORT_KIND: self.on_child_report,
        }
        updates.watchers.append(self.spread)

    def start(self) -> None:
        """Begin to forget old tombstones and, below the root, to follow parents."""
        self.runtime.spawn(self.expire)
        if self.parents:
            for place in range(PARENTS):
                self.runtime.spawn(self.keep_parent, place)

    def expire(self) -> None:
        """Forget old tombstones, for ever."""
        while True:
            self.runtime.sleep(EXPIRY_PERIOD_S)
            self.updates.expire()

    def age(self) -> float:
        """Give the seconds since this store was as a controller's; MAX_AGE_S if it never was."""
        if self.parents is None:
            return self.root_age()
        return min(self.runtime.now() - self.fresh_at, MAX_AGE_S)

    # Down to children.

    def on_subscribe(self, link: PeerConnection, digest: bytes) -> SubscriptionStart:
        """Push updates to a child from now on, and answer what it lacks already.

        Raises:
            ValueError: the digest has a wrong length.
        """
        if link not in self.children:
            link.on_close.append(self._forget_child)
            self.children[link] = True
        age_s = self.age()
        return SubscriptionStart(age_s, *self.updates.compare(digest))

    def _forget_child(self, link: PeerConnection) -> None:
        self.children.pop(link, None)

    def on_missing(self, link: PeerConnection, peer_versions: dict[int, dict[str, Any]]) -> Portion:
        """Answer a portion of what a child with these versions lacks."""
        return self.updates.missing(peer_versions)

    def on_freshness(self, link: PeerConnection, body: None) -> float:
        """Answer the age of this process's updates, in seconds."""
        return self.age()

    def on_child_report(self, link: PeerConnection, body: Any) -> Any:
        """Hand on what a child reports."""
        return self.on_report(body)

    def spread(self, key: str, version: Any, value: Any) -> None:
        """Push an update to all children."""
        if not self.children:
            return
        rows = [UpdateRow(key, version, value, self.updates.age(key))]
        for link in [*self.children]:
            link.send(UPDATES_KIND, rows)

    # Up to parents.

    def best_parent(self, place: int, avoid: dict[Address, float]) -> Address | None:
        """Choose the best parent that no other subscription keeps to, and that this one need not avoid.

        Args:
            place: number of the subscription.
            avoid: until when to keep away from an address, in steady seconds.

        Returns:
            An address; where all are to be avoided, the best of them; None where there is none.
        """
        others = [address for at, address in enumerate(self.chosen) if at != place]
        free = [address for address in self.parents() if address not in others]
        now = self.runtime.now()
        for address in free:
            if avoid.get(address, 0) <= now:
                return address
        return free[0] if free else None

    def keep_parent(self, place: int) -> None:
        """Keep to the best parent whose updates are fresh, and look for another while there is none."""
        avoid: dict[Address, float] = {}
        while True:
            address = self.best_parent(place, avoid)
            self.chosen[place] = address
            if address is None:
                self.runtime.sleep(PAUSE_NO_PARENT_S if place == 0 else PAUSE_NO_SECOND_PARENT_S)
                continue
            now = self.runtime.now()
            avoid = {other: until for other, until in avoid.items() if until > now}
            needs_snapshot = self.age() > SNAPSHOT_AFTER_S
            if needs_snapshot and self.taking_snapshot:
                self.runtime.sleep(PAUSE_OTHER_SNAPSHOT_S)
                continue
            if needs_snapshot:
                self.taking_snapshot = True
            subscription = Subscription(self.runtime, self.updates, address)
            self.subscriptions[place] = subscription
            self._follow(place, subscription, needs_snapshot, avoid)

    def _follow(
        self, place: int, subscription: Subscription, needs_snapshot: bool, avoid: dict[Address, float]
    ) -> None:
        """Follow a parent until it fails, falls behind, or a better one is there; note whom to avoid."""
        address = subscription.address
        try:
            if not self._begin(subscription, needs_snapshot):
                # It has just started, or is cut off.
                avoid[address] = self.runtime.now() + AVOID_NOT_FRESH_YET_S
                self.runtime.sleep(PAUSE_NOT_FRESH_YET_S)
                return
            while True:
                self.fresh_at = max(self.fresh_at, subscription.fresh_at)
                if subscription.is_stale():
                    avoid[address] = self.runtime.now() + AVOID_FAULTY_S
                    return
                if self.best_parent(place, avoid) != address:
                    return
                self.runtime.sleep(FRESHNESS_POLL_S)
                subscription.check_freshness()
        except OSError:
            avoid[address] = self.runtime.now() + AVOID_FAULTY_S
            self.runtime.sleep(PAUSE_UNREACHABLE_S)
        except (ConnectionClosed, TypeError, ValueError):
            # An open connection on which nothing comes, or no sense, is worse than one that ended.
            avoid_s = AVOID_CLOSED_S if subscription.link.closed else AVOID_FAULTY_S
            avoid[address] = self.runtime.now() + avoid_s
            self.runtime.sleep(PAUSE_FAULTY_S)
        finally:
            subscription.close()

    def _begin(self, subscription: Subscription, needs_snapshot: bool) -> bool:
        """Begin a subscription; whether its updates are fresh.  Raises what `Subscription.begin` does."""
        try:
            fresh = subscription.begin(needs_snapshot, STALE_AFTER_S)
            self.fresh_at = max(self.fresh_at, subscription.fresh_at)
            return fresh
        finally:
            if needs_snapshot:
                self.taking_snapshot = False

    def send_report(self, body: Any) -> None:
        """Send a report to the parent with the freshest updates; drop it where there is none."""
        connected = [
            subscription
            for subscription in self.subscriptions
            if subscription and subscription.link and not subscription.link.closed
        ]
        if not connected:
            return
        freshest = max(connected, key=lambda subscription: subscription.fresh_at)
        freshest.link.send(REPORT_KIND, body)
