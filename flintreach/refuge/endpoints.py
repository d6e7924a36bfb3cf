"""Endpoints at a refuge: their calls, who must know of them before they are answered, verdicts, the disk."""

import msgspec

from flintreach.hutbook.book import CLOSING, GONE, READY, Beat, Book

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode
ACK_S = 0.85  # callers move on after a second
ALONE_S = 1.2  # without a word from a majority, a refuge takes no beats
LOOK_S = 0.25


class Endpoints:
    """`plane` has what they share with the register and the news: see `plane.ControlPlane`."""

    def __init__(self, plane, report_ms: float):
        self.plane, self.host, self.store = plane, plane.host, plane.store
        self.book = Book(report_ms)
        for row in self.store.huts.values() if self.store else ():
            self.book.restore(UNPACK(row), self.host.now_ns())
        self.kept: set[str] = {*self.book.records}  # endpoints that may stand on this disk
        plane.bundle.handlers |= {"beat": self.on_beat, "leave": self.on_leave, "book": self.on_book}

    def offer(self, ids: list[str]) -> bool:
        """Tell what is new of some endpoints, and whether it is on this disk: that one leaves must be known
        after all power was lost."""
        now, rows = self.host.now_ns(), {}
        for id in ids:
            record = self.book.records.get(id)
            if record is not None:
                self.plane.board.offer(f"hut/{id}", [record.seq, record.phase], record.told(now))
                rows[id] = PACK(record.row(now))
        return not rows or self.store is None or self.store.keep({}, None, rows)

    def spread_word(self, kind: str, body, urgent: bool) -> bool:
        """Tell the other refuges; where it is urgent, whether a majority knows."""
        bundle, peers = self.plane.bundle, self.plane.peers()
        if not urgent:
            for address in peers:
                self.host.spawn(bundle.ask, address, kind, body, 1.0)
            return True
        need = self.plane.enough() - 1
        if need <= 0:
            return True
        return len(bundle.gather(peers, kind, body, lambda got: len(got) >= need, ACK_S)) >= need

    def beat(self, id: str, beat: Beat) -> bool:
        # Alone this refuge must not keep endpoints to itself: the others would call them silent.
        if self.plane.news_age() > ALONE_S:
            return False
        held = self.book.records.get(id)
        news = held is None or (beat.state == "closing" and held.state != CLOSING)
        kept = self.host.spawn(self.offer, self.book.hear(id, beat, self.host.now_ns()))
        # Who has been told that an endpoint leaves must not be the only one to know.
        told = self.spread_word("beat", [id, msgspec.to_builtins(beat)], news)
        return told and (not news or bool(kept.result(ACK_S)))

    def on_beat(self, link, body) -> bool | None:
        beat = msgspec.convert(body[1], Beat)
        return self.offer(self.book.hear(body[0], beat, self.host.now_ns())) or None

    def leave(self, id: str) -> bool:
        kept = self.host.spawn(self.offer, self.book.leave(id, self.host.now_ns()))
        return self.spread_word("leave", id, True) and bool(kept.result(ACK_S))

    def on_leave(self, link, id) -> bool | None:
        return self.offer(self.book.leave(id, self.host.now_ns())) or None

    def on_book(self, link, epoch):
        """What this refuge knows of endpoints, for one that starts; one that lost its disk knows nothing."""
        if late := self.plane.register.check(epoch):
            return late
        if not self.plane.register.votes():
            return None
        now = self.host.now_ns()
        return [record.row(now) for record in self.book.records.values()]

    def look(self) -> None:
        while True:
            self.host.sleep(LOOK_S)
            self.offer(self.book.tick(self.host.now_ns()))
            old = dict.fromkeys(self.kept - self.book.records.keys(), b"")
            if old and self.store and self.store.keep({}, None, old):
                self.kept -= old.keys()
            self.kept |= self.book.records.keys()

    def gathered(self) -> bool:
        """Whether all that a quorum of the voters knows of endpoints is known here too."""
        register, now = self.plane.register, self.host.now_ns()
        answers = register.quorum("book", register.voters.epoch, 0.5)
        if answers is None:
            return False
        for rows in answers.values():
            for row in rows:
                self.book.restore(row, now)
        return True

    def collect(self) -> bool:
        """Whether all that a quorum of the voters knows of endpoints is on this disk too."""
        return self.gathered() and self.offer([*self.book.records])

    def begin(self) -> None:
        """Before others may call: what a quorum knows of endpoints."""
        while not self.gathered():
            self.host.sleep(0.05)
        self.offer([*self.book.records])

    def heard_of(self, id: str, version, value) -> None:
        """News of another refuge: one that has just started knows them by others' word until they beat."""
        held = self.book.records.get(id)
        if held is None and value["state"] != GONE and version[0] < 1 << 60:
            beat = Beat(value["line"], value["addr"], value["zone"], value["berths"],
                        "closing" if value["state"] == CLOSING else READY, version[0], value["edition"],
                        value["cold"])
            self.book.hear(id, beat, self.host.now_ns())
        elif value["state"] == GONE and version[0] >= 1 << 60:
            self.book.leave(id, self.host.now_ns())

    def ended(self, id: str) -> bool:
        record = self.book.records.get(id)
        return id in self.book.gone and (record is None or record.phase == 3)
