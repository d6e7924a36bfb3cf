"""The tree of news at work: links up to two parents, any number of links down to children.

A child tells what it holds, and gets what it lacks in portions; then each new parcel as it comes.  Each MARK
seconds it asks on the same link how old the parent's news may be: a relay that is cut off from the refuges is
noticed by that, and so is a link that carries one way alone.  Two parents tell the same: one that dies or
falls behind costs nothing while another is looked for.
"""

from collections.abc import Callable, Iterable

from flintreach.dissemination.versioned_store import STALE_BOARD, Board, Row
from flintreach.transport.peer_connection import Closed, Link
from flintreach.transport.peer_pool import Bundle
from flintreach.transport.runtime import Host

MARK, STALE = 0.25, 1.2  # seconds between marks; without a fresh one, another parent is looked for
DIAL_S, ASK_S = 0.7, 1.0
PARENTS = 2
NEVER = -86400.0
EXPIRE_S = 2.0


class Follow:
    """Another process's board, followed over a link of its own.

    `take(rows)`: where its news go (the board itself, if not told).  `fresh_at`: when that process surely
    held what stands, all of which is held here too; `answered_at`: when it was last in touch.  Both are
    steady seconds of the host, and count from when a question was asked: its answer may have lain in a buffer
    while this process slept.
    """

    def __init__(
        self,
        host: Host,
        board: Board,
        address: tuple[str, int],
        take: Callable[[Iterable[Row]], None] | None = None,
    ):
        self.host, self.board, self.address, self.take = host, board, address, take or board.take
        self.link: Link | None = None
        self.snapshot: Board | None = None  # what is to take the board's place, while it comes
        self.fresh_at, self.answered_at, self.began = NEVER, NEVER, host.now()

    def begin(self, renew: bool = False, oldest: float = 1e9) -> bool:
        """Come up to what the other holds; False where its news are older than `oldest` seconds.

        `renew`: what this process holds may be older than the others' tombstones, so a snapshot takes its
        place.  Raises OSError, Closed, and TypeError or ValueError where the other's answers make no sense.
        """
        self.link = self.host.dial(self.address, {"news": self.on_news}, DIAL_S)
        held = Board(self.board.clock) if renew else self.board
        if renew:
            self.snapshot = held
            self.board.watchers.append(held.offer)  # what comes by other ways meanwhile is newer
        try:
            asked_at = self.host.now()
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
                self.board.keep_only(held)
        finally:
            if renew:
                self.snapshot = None
                self.board.watchers.remove(held.offer)
        self.began = self.host.now()
        self.fresh_at, self.answered_at = asked_at - age, asked_at
        if self.began - asked_at > STALE / 2:
            self.mark()  # a long snapshot would count as old news right after it came
        return True

    def on_news(self, link: Link, rows: list[Row]) -> None:
        if link is self.link and not link.closed:
            if self.snapshot is not None:
                self.snapshot.take(rows)  # also what the board holds already: it is no news there
            self.take(rows)

    def mark(self) -> None:
        """Ask how old the other's news may be.  Raises Closed where nothing was heard for STALE seconds: a
        link that is cut one way looks well until something is asked on it."""
        asked_at = self.host.now()
        left = max(self.answered_at, self.began) + STALE - asked_at
        age = self.link.ask("mark", None, max(left, 0.05))
        self.fresh_at, self.answered_at = max(self.fresh_at, asked_at - age), asked_at

    def stale(self) -> bool:
        """Right after a start the other may not know much itself: that is no reason to leave it at once."""
        return self.host.now() - max(self.fresh_at, self.began) > STALE

    def close(self) -> None:
        if self.link is not None:
            self.link.close()


class Relay:
    """`parents()`: addresses to hear from, the best first.  `age()`: seconds since news were surely fresh."""

    def __init__(self, bundle: Bundle, board: Board, parents=None, told=None, root_age=lambda: 0.0):
        self.bundle, self.host, self.board, self.parents = bundle, bundle.host, board, parents
        self.children: dict[Link, bool] = {}
        self.fresh_at, self.root_age = NEVER, root_age  # a refuge knows by itself how old its news may be
        self.follows: list[Follow | None] = [None] * PARENTS
        self.taken: list = [None] * PARENTS  # addresses that each climber keeps to
        self.renewing = False  # a snapshot is coming: a second one beside it would drop what the first brings
        self.told = told or (lambda body: None)  # what a child says upward
        bundle.handlers |= {
            "follow": self.on_follow,
            "lack": lambda link, told: [*self.board.missing(told)],
            "mark": lambda link, body: self.age(),
            "up": lambda link, body: self.told(body),
        }
        board.watchers.append(self.spread)

    def start(self) -> None:
        self.host.spawn(self.expire)
        if self.parents:
            for place in range(PARENTS):
                self.host.spawn(self.climb, place)

    def expire(self) -> None:
        while True:
            self.host.sleep(EXPIRE_S)
            self.board.expire()

    def age(self) -> float:
        """Seconds since what this process holds was that of a refuge; a day if it never was."""
        if self.parents is None:
            return self.root_age()
        return min(self.host.now() - self.fresh_at, 86400.0)

    # Down.

    def on_follow(self, link: Link, digest: bytes):
        if link not in self.children:
            link.on_close.append(lambda link: self.children.pop(link, None))
            self.children[link] = True
        return [self.age(), *self.board.compare(digest)]

    def spread(self, key, version, value) -> None:
        for link in [*self.children]:
            link.send("news", [[key, version, value, self.board.age(key)]])

    # Up.

    def best(self, place: int, avoid: dict) -> tuple[str, int] | None:
        """The best parent that no other climber keeps to, and that this one need not avoid."""
        others = [address for at, address in enumerate(self.taken) if at != place]
        free = [address for address in self.parents() if address not in others]
        now = self.host.now()
        return next((address for address in free if avoid.get(address, 0) <= now), free[0] if free else None)

    def climb(self, place: int) -> None:
        """Keep to the best parent whose news are fresh; another while there is none."""
        avoid: dict = {}
        while True:
            self.taken[place] = address = self.best(place, avoid)
            if address is None:
                self.host.sleep(0.05 if not place else 0.5)
                continue
            avoid = {other: until for other, until in avoid.items() if until > self.host.now()}
            renew = self.age() > STALE_BOARD
            if renew and self.renewing:
                self.host.sleep(0.02)
                continue
            self.renewing |= renew
            self.follows[place] = follow = Follow(self.host, self.board, address)
            try:
                try:
                    fresh = follow.begin(renew, STALE)
                    self.fresh_at = max(self.fresh_at, follow.fresh_at)
                finally:
                    self.renewing &= not renew
                if not fresh:  # it has just started, or is cut off
                    avoid[address] = self.host.now() + 0.3
                    self.host.sleep(0.03)
                    continue
                while True:
                    self.fresh_at = max(self.fresh_at, follow.fresh_at)
                    if follow.stale():
                        avoid[address] = self.host.now() + 3
                        break
                    if self.best(place, avoid) != address:
                        break
                    self.host.sleep(MARK)
                    follow.mark()
            except OSError:
                avoid[address] = self.host.now() + 3
                self.host.sleep(0.02)
            except (Closed, TypeError, ValueError):
                avoid[address] = self.host.now() + (1 if follow.link.closed else 3)
                self.host.sleep(0.05)
            finally:
                follow.close()

    def say_up(self, body) -> None:
        open_ = [follow for follow in self.follows if follow and follow.link and not follow.link.closed]
        if open_:
            max(open_, key=lambda follow: follow.fresh_at).link.send("up", body)
