"""The tree of news at work: links up to two parents, any number of links down to children.

A child tells what it holds, and gets what it lacks; then each new parcel as it comes.  Each SIGN the parent
says how old its own news may be: a relay that is cut off from the refuges is noticed by that, not by silence
alone.  Two parents tell the same: one that dies or falls behind costs nothing while another is looked for.
"""

from flintreach.rope.bundle import Bundle
from flintreach.rope.link import Closed, Link
from flintreach.trail.board import Board

SIGN, STALE = 0.25, 1.2  # seconds between signs; without a fresh one, another parent is looked for
PARENTS = 2


class Relay:
    """`parents()`: addresses to hear from, the best first.  `age()`: seconds since news were surely fresh."""

    def __init__(self, bundle: Bundle, board: Board, parents=None, told=None, root_age=lambda: 0.0):
        self.bundle, self.host, self.board, self.parents = bundle, bundle.host, board, parents
        self.children: dict[Link, bool] = {}
        self.fresh_at, self.root_age = None, root_age  # a refuge knows by itself how old its news may be
        self.links: list[Link | None] = [None] * PARENTS
        self.taken: list = [None] * PARENTS  # addresses that each climber keeps to
        self.told = told or (lambda body: None)  # what a child says upward
        bundle.handlers |= {"follow": self.on_follow, "up": lambda link, body: self.told(body)}
        board.watchers.append(self.spread)

    def start(self) -> None:
        self.host.spawn(self.signs)
        if self.parents:
            for place in range(PARENTS):
                self.host.spawn(self.climb, place)

    def age(self) -> float:
        """Seconds since what this process holds was that of a refuge; a day if it never was."""
        if self.parents is None:
            return self.root_age()
        return 86400.0 if self.fresh_at is None else self.host.now() - self.fresh_at

    # Down.

    def on_follow(self, link: Link, digest):
        if link not in self.children:
            link.on_close.append(lambda link: self.children.pop(link, None))
        self.children[link] = True
        return [self.board.missing(digest), self.age()]

    def spread(self, key, version, value) -> None:
        for link in [*self.children]:
            link.send("news", [[key, version, value]])

    def signs(self) -> None:
        while True:
            self.host.sleep(SIGN)
            for link in [*self.children]:
                link.send("sign", self.age())

    # Up.

    def on_news(self, link, rows) -> None:
        if link in self.links:
            for key, version, value in rows:
                self.board.offer(key, version, value)

    def on_sign(self, link, age) -> None:
        if link in self.links and age < STALE:
            self.fresh_at = max(self.fresh_at or 0.0, self.host.now() - age)
            link.fresh_at = max(link.fresh_at, self.host.now() - age)

    def best(self, place: int, avoid: dict) -> tuple[str, int] | None:
        """The best parent that no other climber keeps to, and that this one need not avoid."""
        others = [address for at, address in enumerate(self.taken) if at != place]
        free = [address for address in self.parents() if address not in others]
        now = self.host.now()
        return next((address for address in free if avoid.get(address, 0) <= now), free[0] if free else None)

    def climb(self, place: int) -> None:
        """Keep to the best parent whose news are fresh; another while there is none."""
        handlers = {"news": self.on_news, "sign": self.on_sign}
        avoid: dict = {}
        while True:
            self.taken[place] = address = self.best(place, avoid)
            if address is None:
                self.host.sleep(0.05 if not place else 0.5)
                continue
            try:
                self.links[place] = link = self.host.dial(address, handlers, 0.7)
            except OSError:
                avoid[address] = self.host.now() + 3
                self.host.sleep(0.02)
                continue
            try:
                rows, age = link.ask("follow", self.board.digest(), 1.0)
                self.on_news(link, rows)
                self.on_sign(link, age)
                if age >= STALE:  # it has just started itself, or is cut off
                    link.close()
                    avoid[address] = self.host.now() + 0.3
                    self.host.sleep(0.03)
                    continue
                began = self.host.now()
                while not link.closed:
                    self.host.sleep(SIGN)
                    # Right after a start a parent may not know much itself.
                    if self.host.now() - max(link.fresh_at, began) > STALE:
                        avoid[address] = self.host.now() + 3
                        break
                    if self.best(place, avoid) != address:
                        break
                else:
                    avoid[address] = self.host.now() + 1
            except (Closed, TypeError, ValueError):
                avoid[address] = self.host.now() + 3
                self.host.sleep(0.05)
            link.close()

    def say_up(self, body) -> None:
        open_ = [link for link in self.links if link is not None and not link.closed]
        if open_:
            max(open_, key=lambda link: link.fresh_at).send("up", body)
