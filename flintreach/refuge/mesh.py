"""News among the refuges: each follows the boards of all others."""

from flintreach.rope.link import Closed
from flintreach.trail.relay import MARK, Follow


class Mesh:
    def __init__(self, plane):
        self.plane, self.host = plane, plane.host
        self.followed: set = set()

    def run(self) -> None:
        while True:
            for address in self.plane.peers():
                if address not in self.followed:
                    self.followed.add(address)
                    self.host.spawn(self.follow, address)
            self.host.sleep(0.3)

    def follow(self, address) -> None:
        follow = Follow(self.host, self.plane.board, address, self.take)
        try:
            follow.begin()
            while True:
                self.host.sleep(MARK)
                follow.mark()
        except (OSError, Closed, TypeError, ValueError):
            self.host.sleep(0.3)
        finally:
            follow.close()
            self.followed.discard(address)

    def take(self, rows) -> None:
        for row in rows:
            self.hear(*row)

    def hear(self, key: str, version, value, age: float = 0.0) -> None:
        kind, _, id = key.partition("/")
        if kind == "hut" and isinstance(value, dict):
            self.plane.endpoints.heard_of(id, version, value)
        self.plane.board.offer(key, version, value, age)
