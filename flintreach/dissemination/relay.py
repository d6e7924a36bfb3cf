"""The tree of news at work: links up to two parents, any number of links down to children.

A child tells what it holds, and gets what it lacks in portions; then each new parcel as it comes.  Each MARK
seconds it asks on the same link how old the parent's news may be: a relay that is cut off from the refuges is
noticed by that, and so is a link that carries one way alone.  Two parents tell the same: one that dies or
falls behind costs nothing while another is looked for.
"""

from collections.abc import Callable, Iterable

from flintreach.dissemination.versioned_store import STALE_BOARD, Row, VersionedStore
from flintreach.transport.peer_connection import ConnectionClosed, PeerConnection
from flintreach.transport.peer_pool import PeerPool
from flintreach.transport.runtime import Runtime

MARK, STALE = 0.25, 1.2  # seconds between marks; without a fresh one, another parent is looked for
DIAL_S, ASK_S = 0.7, 1.0
PARENTS = 2
NEVER = -86400.0
EXPIRE_S = 2.0


class Subscription:
    """Another process's board, followed over a link of its own.

    `take(rows)`: where its news go (the board itself, if not told).  `fresh_at`: when that process surely
    held what stands, all of which is held here too; `answered_at`: when it was last in touch.  Both are
    steady seconds of the host, and count from when a question was asked: its answer may have lain in a buffer
    while this process slept.
    """

    def __init__(
        self,
        runtime: Runtime,
        updates: VersionedStore,
        address: tuple[str, int],
        take: Callable[[Iterable[Row]], None] | None = None,
    ):
        self.runtime, self.updates, self.address, self.take = runtime, updates, address, take or updates.take
        self.link: PeerConnection | None = None
        self.snapshot: VersionedStore | None = None  # what is to take the board's place, while it comes
        self.fresh_at, self.answered_at, self.began = NEVER, NEVER, runtime.now()

    def begin(self, renew: bool = False, oldest: float = 1e9) -> bool:
        """Come up to what the other holds; False where its news are older than `oldest` seconds.

        `renew`: what this process holds may be older than the others' tombstones, so a snapshot takes its
        place.  Raises OSError, Closed, and TypeError or ValueError where the other's answers make no sense.
        """
        self.link = self.runtime.dial(self.address, {"news": self.on_news}, DIAL_S)
        held = VersionedStore(self.updates.clock) if renew else self.updates
        if renew:
            self.snapshot = held
            self.updates.watchers.append(held.offer)  # what comes by other ways meanwhile is newer
        try:
            asked_at = self.runtime.now()
            age, buckets, rows = self.link.ask("follow", held.digest(), ASK_S)
            if age > oldest:
                return False
            take = held.take if renew else self.take
            take(rows)
            while buckets:
                rows, done = self.link.ask("lack", held.versions(buckets), ASK_S)
                if not rows and not done:
                    raise ValueError("a portion with nothing in it")
                take(rows)
                buckets = [bucket for bucket in buckets if bucket not in done]
            if renew:
                self.take(held.rows())
                self.updates.keep_only(held)
        finally:
            if renew:
                self.snapshot = None
                self.updates.watchers.remove(held.offer)
        self.began = self.runtime.now()
        self.fresh_at, self.answered_at = asked_at - age, asked_at
        if self.began - asked_at > STALE / 2:
            self.mark()  # a long snapshot would count as old news right after it came
        return True

    def on_news(self, link: PeerConnection, rows: list[Row]) -> None:
        if link is self.link and not link.closed:
            if self.snapshot is not None:
                self.snapshot.take(rows)  # also what the board holds already: it is no news there
            self.take(rows)

    def mark(self) -> None:
        """Ask how old the other's news may be.  Raises Closed where nothing was heard for STALE seconds: a
        link that is cut one way looks well until something is asked on it."""
        asked_at = self.runtime.now()
        left = max(self.answered_at, self.began) + STALE - asked_at
        age = self.link.ask("mark", None, max(left, 0.05))
        self.fresh_at, self.answered_at = max(self.fresh_at, asked_at - age), asked_at

    def stale(self) -> bool:
        """Right after a start the other may not know much itself: that is no reason to leave it at once."""
        return self.runtime.now() - max(self.fresh_at, self.began) > STALE

    def close(self) -> None:
        if self.link is not None:
            self.link.close()


class Relay:
    """`parents()`: addresses to hear from, the best first.  `age()`: seconds since news were surely fresh."""

    def __init__(
        self, peer_pool: PeerPool, updates: VersionedStore, parents=None, told=None, root_age=lambda: 0.0
    ):
        self.peer_pool, self.runtime, self.updates, self.parents = (
            peer_pool,
            peer_pool.runtime,
            updates,
            parents,
        )
        self.children: dict[PeerConnection, bool] = {}
        self.fresh_at, self.root_age = NEVER, root_age  # a refuge knows by itself how old its news may be
        self.follows: list[Subscription | None] = [None] * PARENTS
        self.taken: list = [None] * PARENTS  # addresses that each climber keeps to
        self.renewing = False  # a snapshot is coming: a second one beside it would drop what the first brings
        self.told = told or (lambda body: None)  # what a child says upward
        peer_pool.handlers |= {
            "follow": self.on_follow,
            "lack": lambda link, told: [*self.updates.missing(told)],
            "mark": lambda link, body: self.age(),
            "up": lambda link, body: self.told(body),
        }
        updates.watchers.append(self.spread)

    def start(self) -> None:
        self.runtime.spawn(self.expire)
        if self.parents:
            for place in range(PARENTS):
                self.runtime.spawn(self.climb, place)

    def expire(self) -> None:
        while True:
            self.runtime.sleep(EXPIRE_S)
            self.updates.expire()

    def age(self) -> float:
        """Seconds since what this process holds was that of a refuge; a day if it never was."""
        if self.parents is None:
            return self.root_age()
        return min(self.runtime.now() - self.fresh_at, 86400.0)

    # Down.

    def on_follow(self, link: PeerConnection, digest: bytes):
        if link not in self.children:
            link.on_close.append(lambda link: self.children.pop(link, None))
            self.children[link] = True
        return [self.age(), *self.updates.compare(digest)]

    def spread(self, key, version, value) -> None:
        for link in [*self.children]:
            link.send("news", [[key, version, value, self.updates.age(key)]])

    # Up.

    def best(self, place: int, avoid: dict) -> tuple[str, int] | None:
        """The best parent that no other climber keeps to, and that this one need not avoid."""
        others = [address for at, address in enumerate(self.taken) if at != place]
        free = [address for address in self.parents() if address not in others]
        now = self.runtime.now()
        return next((address for address in free if avoid.get(address, 0) <= now), free[0] if free else None)

    def climb(self, place: int) -> None:
        """Keep to the best parent whose news are fresh; another while there is none."""
        avoid: dict = {}
        while True:
            self.taken[place] = address = self.best(place, avoid)
            if address is None:
                self.runtime.sleep(0.05 if not place else 0.5)
                continue
            avoid = {other: until for other, until in avoid.items() if until > self.runtime.now()}
            renew = self.age() > STALE_BOARD
            if renew and self.renewing:
                self.runtime.sleep(0.02)
                continue
            self.renewing |= renew
            self.follows[place] = follow = Subscription(self.runtime, self.updates, address)
            try:
                try:
                    fresh = follow.begin(renew, STALE)
                    self.fresh_at = max(self.fresh_at, follow.fresh_at)
                finally:
                    self.renewing &= not renew
                if not fresh:  # it has just started, or is cut off
                    avoid[address] = self.runtime.now() + 0.3
                    self.runtime.sleep(0.03)
                    continue
                while True:
                    self.fresh_at = max(self.fresh_at, follow.fresh_at)
                    if follow.stale():
                        avoid[address] = self.runtime.now() + 3
                        break
                    if self.best(place, avoid) != address:
                        break
                    self.runtime.sleep(MARK)
                    follow.mark()
            except OSError:
                avoid[address] = self.runtime.now() + 3
                self.runtime.sleep(0.02)
            except (ConnectionClosed, TypeError, ValueError):
                avoid[address] = self.runtime.now() + (1 if follow.link.closed else 3)
                self.runtime.sleep(0.05)
            finally:
                follow.close()

    def say_up(self, body) -> None:
        open_ = [follow for follow in self.follows if follow and follow.link and not follow.link.closed]
        if open_:
            max(open_, key=lambda follow: follow.fresh_at).link.send("up", body)
