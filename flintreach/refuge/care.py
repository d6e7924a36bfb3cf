"""The register at a refuge: who votes, what a start waits for; reads mend, the sweep finds the rest."""

import msgspec

from flintreach.cairn import circle
from flintreach.cairn.voters import Voters
from flintreach.waymark.log import say

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode
WAIT = 0.6, 2.5  # seconds at a first start for more disks: without a new one, and in all
SWEEP_S = 2.0
ROLE = "refuge"


class Care:
    def __init__(self, plane):
        self.plane, self.host, self.register = plane, plane.host, plane.register
        self.learned: dict[str, tuple] = {}  # key -> the stamp of what was last told as news
        self.lagging: dict[str, tuple] = {}  # key -> the oldest stamp of it that the last sweep saw
        self.majority_at = -86400.0
        plane.bundle.handlers |= {"stamps": self.on_stamps, "value": self.on_value}

    def find_circle(self) -> None:
        """Learn which disks vote: from others, or at a first start by deciding it with them."""
        plane, host = self.plane, self.host
        began = since = host.now()
        known = 0
        while not plane.group:
            host.sleep(0.05)
            disks = [(m.address, m.zone) for m in plane.roster.alive(ROLE) if m.counted]
            if len(disks) != known:
                known, since = len(disks), host.now()
            others = [address for address, _ in disks if address != plane.bundle.address]
            found = plane.bundle.gather(others, "voters", None, bool, 0.3) if others else []
            if found:
                self.register.adopt(Voters.of(found[0][1]))
            elif plane.first_run and circle.settled(known, since, host.now(), *WAIT, began):
                # What an earlier one has decided stands: the disks of the seeds know it.
                wish = PACK(Voters(1, tuple((a, "") for a in circle.proposed(disks))).row())
                step = lambda old, wish=wish: None if old else wish  # noqa: E731
                done, value = self.register.change("voters", step, 1.0, plane.seeds())
                if done:
                    self.register.adopt(Voters.of(UNPACK(value)))
        say("voters", epoch=self.register.voters.epoch, disks=[ip for ip, _ in plane.group],
            votes=plane.bundle.address in plane.group)

    def touched(self) -> float:
        """When a majority of the circle, this refuge among them, was last heard."""
        plane, me = self.plane, self.plane.bundle.address
        others = [address for address in plane.group if address != me]
        times = sorted((plane.bundle.heard.get(address, -86400.0) for address in others), reverse=True)
        need = plane.enough() - (me in plane.group)
        return times[need - 1] if 0 < need <= len(times) else self.host.now()

    def on_stamps(self, link, body):
        if not self.register.votes():
            return None
        return {key: list(slot.accepted) for key, slot in self.register.acceptor.slots.items()}

    def on_value(self, link, key):
        slot = self.register.acceptor.slots.get(key) if self.register.votes() else None
        return [list(slot.accepted), slot.value] if slot else None

    def sweep(self) -> None:
        self.find_circle()
        first = True
        while True:
            wanted = self.plane.enough() if first else len(self.plane.group)
            # At a start others may still be without power, and calls to them hang.
            if self.register.relearn() and self.compare(wanted, 0.3 if first else 1.0) and first:
                first = not self.plane.begin()
            self.host.sleep(0.05 if first else SWEEP_S * self.host.chance.uniform(0.8, 1.2))

    def compare(self, wanted: int, timeout: float) -> bool:
        """Whether a majority told what it holds; what differs is read, and so mended."""
        plane = self.plane
        answers = plane.bundle.gather(plane.group, "stamps", None, lambda got: len(got) >= wanted, timeout)
        if len(answers) < plane.enough():
            return False
        self.majority_at = self.host.now()
        crew, lagging = [], {}
        for key in sorted({key for _, held in answers for key in held} - {"voters"}):
            seen = [tuple(held.get(key, (0, ""))) for _, held in answers]
            newest = max(seen)
            if min(seen) != newest:
                lagging[key] = min(seen)
            if seen.count(newest) < plane.enough():
                # What a change under way explains is left alone: a read would only stand in its way.
                if not plane.serving or self.lagging.get(key) == lagging[key]:
                    crew.append(lambda key=key: self.reread_key(key))
            elif self.learned.get(key) != newest:
                # A majority holds it, and nothing later stands there: any of them may tell it.
                holder = next(address for address, held in answers if tuple(held.get(key, ())) == newest)
                crew.append(lambda key=key, newest=newest, holder=holder: self.fetch(key, newest, holder))
            elif key in lagging and self.lagging.get(key) == lagging[key]:
                crew.append(lambda key=key: self.reread_key(key))
        self.lagging = lagging
        self.host.all(crew, 1.5)
        return True

    def fetch(self, key: str, stamp: tuple, holder: tuple[str, int]) -> None:
        told = self.plane.bundle.ask(holder, "value", key, 0.8)
        if told and tuple(told[0]) >= stamp:
            self.learned[key] = stamp
            self.plane.orders.learn(key, told[1])

    def reread_key(self, key: str) -> None:
        done, value = self.register.read(key, 1.2)
        if done:
            self.plane.orders.learn(key, value)
