"""The register over the network: this process's disk answers others, and its writers ask them.

Without a disk of its own (or outside the group of disks) a process only writes and reads.
"""

from typing import Any

import msgspec

from flintreach.cairn.acceptor import Acceptor, Slot
from flintreach.cairn.proposer import Change, Step
from flintreach.cairn.store import Store
from flintreach.cairn.voters import Voters
from flintreach.rope.bundle import Bundle

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode


def row(slot: Slot) -> list:
    return [list(slot.promised), list(slot.accepted), slot.value]


def slot(row: list) -> Slot:
    return Slot(tuple(row[0]), tuple(row[1]), row[2])


class Register:
    """`voters`: the latest configuration that this process knows to be decided; epoch 0 until one is."""

    def __init__(self, bundle: Bundle, voters: Voters, store: Store | None):
        self.bundle, self.host, self.voters, self.store = bundle, bundle.host, voters, store
        self.me = f"{bundle.address[0]}:{bundle.address[1]}"
        self.acceptor = Acceptor(store.life, store.voting, store.slots) if store else None
        self.rounds: dict[str, int] = {}
        self.lives: dict[str, str] = {}  # address -> the disk that last promised there
        self.locks: dict = {}
        self.refused = 0  # writes that the disk did not take
        bundle.handlers |= {"prepare": self.on_prepare, "accept": self.on_accept, "slots": self.on_slots,
                            "voters": self.on_voters}

    @property
    def group(self) -> list[tuple[str, int]]:
        """Addresses of the processes whose disks vote; empty until it is known."""
        return self.voters.members() if self.voters.epoch else []

    # Epochs: who knows a later one refuses the earlier and tells the later.

    def check(self, epoch: int) -> list | None:
        """None where a sender's epoch is ours; else what to answer instead of acting."""
        if epoch < self.voters.epoch:
            return ["newer", self.voters.row()]
        return ["behind"] if epoch > self.voters.epoch else None

    def heed(self, address: tuple[str, int], answer: Any) -> bool:
        """Whether an answer was one of `check`'s: then the question is to be asked again."""
        if not isinstance(answer, list) or answer[:1] not in (["newer"], ["behind"]):
            return False
        if answer[0] == "newer":
            self.adopt(Voters.of(answer[1]))
        else:
            self.bundle.ask(address, "voters", self.voters.row(), 0.5)
        return True

    def adopt(self, voters: Voters) -> bool:
        """Take a later configuration, one that was decided; whether this process now holds it or a later one.

        On disk first: an acceptor that forgot an epoch would serve the earlier one again.
        """
        if voters.epoch > self.voters.epoch:
            if self.store and not self.store.keep({}, {"voters": PACK(voters.row()).hex()}):
                return False
            if voters.epoch > self.voters.epoch:  # another may have come while the disk wrote
                self.voters = voters
        return True

    def on_voters(self, link, row):
        """Another process tells its configuration (None: it only asks); ours is the answer."""
        if row is not None:
            self.adopt(Voters.of(row))
        return self.voters.row() if self.voters.epoch else None

    def votes(self) -> bool:
        """Whether this process's disk is one of those that vote, and knows enough to."""
        return self.acceptor is not None and self.acceptor.voting and self.bundle.address in self.group

    # This disk.

    def guarded(self, key: str):
        return self.locks.setdefault(key, self.host.lock())

    def keep(self, key: str, word: str, fresh: Slot | None) -> str:
        if word not in ("promise", "accepted"):
            return word
        if not self.store.keep({key: fresh}):
            self.refused += 1
            return "mute"
        self.acceptor.slots[key] = fresh
        return word

    def on_prepare(self, link, body):
        key, ballot = body[0], tuple(body[1])
        if not self.acceptor:
            return ["mute", None, ""]
        with self.guarded(key):
            word, found = self.acceptor.prepare(key, ballot)
            word = self.keep(key, word, found)
        return [word, row(found) if found else None, self.acceptor.life]

    def on_accept(self, link, body):
        key, ballot, value, life = body[0], tuple(body[1]), body[2], body[3]
        if not self.acceptor:
            return ["mute", None]
        with self.guarded(key):
            word, found = self.acceptor.accept(key, ballot, value, life)
            word = self.keep(key, word, found)
        return [word, row(found) if found else None]

    def on_slots(self, link, body):
        if not self.votes():
            return None
        return {key: row(found) for key, found in self.acceptor.slots.items()}

    def relearn(self) -> bool:
        """Whether this disk may vote: one that came back empty first learns what the others hold."""
        if not self.acceptor or self.acceptor.voting or self.bundle.address not in self.group:
            return True
        mine = self.bundle.address
        others = [address for address in self.group if address != mine]
        need = len(self.group) - (len(self.group) // 2 + 1) + 1
        answers = self.bundle.gather(others, "slots", None, lambda held: len(held) >= need, 2.0)
        held = [{key: slot(found) for key, found in answer.items()} for _, answer in answers]
        found = self.acceptor.relearn(held, len(others), len(self.group))
        if found is None or not self.store.keep(found, {"voting": "1"}):
            return False
        self.acceptor.slots, self.acceptor.voting = found, True
        return True

    # This process's changes.

    def change(self, key: str, step: Step, timeout: float = 2.0, group: list | None = None):
        """(True, the value that stands after `step`) or (False, None): not known within `timeout` seconds.

        Not known means that the change may or may not stand.
        """
        group = self.group if group is None else group
        until = self.host.now() + timeout
        while (left := until - self.host.now()) > 0:
            self.rounds[key] = self.rounds.get(key, 0) + 1
            change = Change(len(group), (self.rounds[key], self.me), step)
            self.attempt(change, key, min(left, 1.0), group)
            if change.state == "done":
                return True, change.value
            self.rounds[key] = max(self.rounds[key], change.ahead)
            self.host.sleep(self.host.chance.uniform(0.005, 0.05) if change.state == "lost" else 0.05)
        return False, None

    def attempt(self, change: Change, key: str, timeout: float, group: list) -> None:
        until = self.host.now() + timeout

        def heard(answers):
            while len(answers) > heard.seen:
                address, (word, found, life) = answers[heard.seen]
                heard.seen += 1
                if word == "promise":
                    change.promised(f"{address}", life, tuple(found[1]), found[2])
                elif word == "refused":
                    change.turned_down(tuple(found[0]))
            return change.state != "prepare"

        def taken(answers):
            while len(answers) > taken.seen:
                address, (word, found) = answers[taken.seen]
                taken.seen += 1
                if word == "accepted":
                    change.accepted(f"{address}")
                elif word == "refused":
                    change.turned_down(tuple(found[0]))
            return change.state != "accept"

        heard.seen = taken.seen = 0
        self.bundle.gather(group, "prepare", [key, list(change.ballot)], heard, timeout)
        # A process that slept must not tell others to accept what its caller has given up on.
        if change.state != "accept" or self.host.now() > until:
            return
        # Those whose promise came too late are told as well, lest they lag for the sweep to find.
        self.lives |= change.lives
        # A copy: another change may meanwhile meet a newer disk there, which this promise does not bind.
        lives = {**self.lives, **change.lives}
        group = [address for address in group if f"{address}" in lives]
        body = [key, list(change.ballot), change.value]
        self.bundle.gather(group, "accept", lambda address: [*body, lives[f"{address}"]], taken,
                           max(0.05, until - self.host.now()))

    def read(self, key: str, timeout: float = 2.0) -> tuple[bool, bytes | None]:
        """What stands, by a majority; old copies are mended on the way."""
        return self.change(key, lambda old: None, timeout)
