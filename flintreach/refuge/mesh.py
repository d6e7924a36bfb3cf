"""News among the refuges: each follows the boards of all others."""

from flintreach.rope.link import Closed


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
        def on_news(link, rows):
            for key, version, value in rows:
                self.hear(key, version, value)

        try:
            link = self.host.dial(address, {"news": on_news, "sign": lambda link, age: None}, 0.7)
            rows, _ = link.ask("follow", self.plane.board.digest(), 1.0)
            on_news(link, rows)
            while not link.closed:
                self.host.sleep(0.2)
        except (OSError, Closed, TypeError):
            self.host.sleep(0.3)
        finally:
            self.followed.discard(address)

    def hear(self, key: str, version, value) -> None:
        kind, _, id = key.partition("/")
        if kind == "hut" and isinstance(value, dict):
            self.plane.endpoints.heard_of(id, version, value)
        self.plane.board.offer(key, version, value)
