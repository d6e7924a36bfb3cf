"""News among the refuges: each follows the boards of all others, and asks them for marks (see `contact`)."""

from flintreach.controller.quorum_contact import KEYS
from flintreach.dissemination.relay import ASK_S, MARK, Subscription
from flintreach.transport.peer_connection import ConnectionClosed

LOOK_S = 0.3  # seconds between looks for refuges


class PeerExchange:
    def __init__(self, plane):
        self.plane, self.runtime = plane, plane.runtime
        self.followed: set = set()
        self.sought: set[str] = set()  # keys of which something unlearned is being looked for
        plane.peer_pool.handlers["accepted"] = self.on_mark

    def run(self) -> None:
        me = self.plane.peer_pool.address
        while True:
            for address in self.plane.peers():
                if address not in self.followed:
                    self.followed.add(address)
                    self.runtime.spawn(self.follow, address)
            now = self.runtime.now()
            self.marked(me, now, self.on_mark(None, None))
            self.runtime.sleep(LOOK_S if self.plane.serving else LOOK_S / 6)

    def follow(self, address) -> None:
        follow = Subscription(self.runtime, self.plane.updates, address, self.take)
        try:
            follow.begin()
            while True:
                # On the link that brings the news: one on which nothing comes any more is noticed by this.
                asked = self.runtime.now()
                self.marked(address, asked, follow.link.ask("accepted", None, ASK_S))
                self.runtime.sleep(MARK)
        except (OSError, ConnectionClosed, TypeError, ValueError):
            self.runtime.sleep(LOOK_S if self.plane.news_age() < 1.0 else LOOK_S / 3)
        finally:
            follow.close()
            self.followed.discard(address)

    def take(self, rows) -> None:
        for row in rows:
            self.hear(*row)

    def hear(self, key: str, version, value, age: float = 0.0) -> None:
        kind, _, id = key.partition("/")
        if kind == "hut" and isinstance(value, dict):
            self.plane.endpoints.merge_update(id, version, value)
        self.plane.updates.offer(key, version, value, age)

    # Marks.

    def on_mark(self, link, body):
        """What this disk accepted of the orders' keys; None where it does not vote."""
        register = self.plane.register
        if not register.votes():
            return None
        slots = register.acceptor.slots
        return {key: list(slots[key].accepted) for key in KEYS if key in slots}

    def marked(self, address, asked: float, told) -> None:
        if told is None:
            return
        contact = self.plane.quorum_contact
        contact.heard(address, asked, {key: tuple(stamp) for key, stamp in told.items()}, self.runtime.now())
        for key in KEYS:
            if key not in self.sought and contact.unlearned(key):
                self.sought.add(key)
                self.runtime.spawn(self.seek, key)

    def seek(self, key: str) -> None:
        """Learn what a mark told of and no news may bring: who confirmed it may have died at once."""
        try:
            contact, register, orders = (
                self.plane.quorum_contact,
                self.plane.register,
                self.plane.operator_requests,
            )
            stamp, holders = contact.newest(key)
            told, value = self.fetch(key, stamp, holders)
            if told >= stamp and orders.holds(key, value):
                return contact.learn(key, told)
            if told == stamp and register.voters.met(holders):
                orders.learn(key, value)
                return contact.learn(key, stamp)
            if contact.waited(key, self.runtime.now()):
                # On a minority it may be decided or not: a read settles that, for all ballots up to here.
                done, value = register.read(key, 0.85)
                if done:
                    orders.learn(key, value)
                    contact.learn(key, stamp)
        finally:
            self.sought.discard(key)

    def fetch(self, key: str, stamp, holders) -> tuple:
        """(stamp, value) of a key as this disk has it, or one of the holders."""
        own = self.plane.register.acceptor
        if own is not None and key in own.slots and own.slots[key].accepted >= stamp:
            return own.slots[key].accepted, own.slots[key].value
        for address in holders[:1]:
            if (found := self.plane.register.fetch(address, key, stamp)) is not None:
                return found.accepted, found.value
        return (0, ""), None
