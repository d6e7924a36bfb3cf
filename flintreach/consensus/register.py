"""The register over the network: this process's disk answers others, and its writers ask them.

Without a disk of its own (or outside the group of disks) a process only writes and reads.
"""

from collections.abc import Callable
from typing import Any

from flintreach.consensus.acceptor import NOTHING, Acceptor, Slot, merged
from flintreach.consensus.proposer import Proposal, Step
from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.store import Store
from flintreach.transport.peer_pool import PeerPool


def row(slot: Slot) -> list:
    return [list(slot.promised), list(slot.accepted), slot.value]


def whole(answer: Any) -> bool:
    """Whether an answer to prepare or accept is one: of one that is not, the others must not be missed."""
    return isinstance(answer, list) and len(answer) == 3 and (answer[1] is None or len(answer[1]) == 3)


class Register:
    """`voters`: the latest configuration that this process knows to be decided; epoch 0 until one is."""

    def __init__(self, peer_pool: PeerPool, voters: Voters, store: Store | None):
        self.peer_pool, self.runtime, self.voters, self.store = peer_pool, peer_pool.runtime, voters, store
        self.me = f"{peer_pool.address[0]}:{peer_pool.address[1]}"
        self.acceptor = Acceptor(store.life, store.voting, store.slots) if store else None
        # Of a first start, taken in while it did not vote, or it has relearned what a lost disk had promised.
        self.trusted = bool(store and store.voting)
        self.adopting = self.runtime.lock()
        self.busy = 0  # prepares and accepts under way at this disk
        self.rounds: dict[str, int] = {}
        self.lives: dict[Address, str] = {}  # the disk that last promised there
        self.locks: dict = {}
        self.refused = 0  # writes that the disk did not take
        self.settle()
        peer_pool.handlers |= {
            "prepare": self.on_prepare,
            "accept": self.on_accept,
            "slots": self.on_slots,
            "stamps": self.on_stamps,
            "value": self.on_value,
            "voters": self.on_voters,
        }

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

    def heed(self, address: Address, answer: Any) -> bool:
        """Whether an answer was one of `check`'s: then the question is to be asked again."""
        if not isinstance(answer, list) or answer[:1] not in (["newer"], ["behind"]):
            return False
        if answer[0] == "newer":
            self.adopt(Voters.of(answer[1]))
        else:
            self.peer_pool.ask(address, "voters", self.voters.row(), 0.5)
        return True

    def ask(self, address: Address, kind: str, body: Any, timeout: float, by: Callable | None = None) -> Any:
        """As `PeerPool.ask` (or `by`), for a question that carries our epoch.

        Who is in another epoch is brought to it and asked again. None too where our own epoch moved
        meanwhile: the question was of the earlier one.
        """
        until, epoch, by = self.runtime.now() + timeout, self.voters.epoch, by or self.peer_pool.ask
        for _ in range(3):
            answer = by(address, kind, body, max(0.01, until - self.runtime.now()))
            if not self.heed(address, answer):
                return answer
            if self.voters.epoch != epoch or self.runtime.now() >= until:
                return None
        return None

    def gather(
        self,
        addresses: list[Address],
        kind: str,
        body: Any,
        enough: Callable[[list], bool],
        timeout: float,
        ask: Callable | None = None,
    ) -> list:
        """As `PeerPool.gather`, by `self.ask` if not told; it ends too when our epoch moves."""
        epoch = self.voters.epoch
        return self.peer_pool.gather(
            addresses,
            kind,
            body,
            lambda answers: self.voters.epoch != epoch or enough(answers),
            timeout,
            ask or self.ask,
        )

    def quorum(
        self,
        kind: str,
        body: Any,
        timeout: float,
        by: Callable | None = None,
        mine: Callable[[], Any] | None = None,
    ) -> dict[Address, Any] | None:
        """Answers of a quorum of the configuration that stands, all given under its epoch; None: too few.

        `by`: asks one, in place of `PeerPool.ask`; `mine()`: the answer of this process, where it votes.
        """
        voters, me = self.voters, self.peer_pool.address

        def ask(address, kind, body, left):
            if mine is not None and address == me:
                return mine() if self.votes() else None
            return self.ask(address, kind, body, left, by)

        met = lambda answers: voters.met(address for address, _ in answers)  # noqa: E731
        answers = self.gather(voters.members(), kind, body, met, timeout, ask)
        return dict(answers) if met(answers) and self.voters == voters else None

    def poll(
        self,
        kind: str,
        body: list,
        timeout: float,
        by: Callable | None = None,
        mine: Callable[[], Any] | None = None,
    ) -> dict[Address, Any] | None:
        """As `quorum`, of [the epoch, *body], and once more under each later epoch that is told meanwhile."""
        until = self.runtime.now() + timeout
        while (left := until - self.runtime.now()) > 0 and self.group:
            voters = self.voters
            answers = self.quorum(kind, [voters.epoch, *body], left, by, mine)
            if answers is not None or self.voters == voters:
                return answers
        return None

    def adopt(self, voters: Voters) -> bool:
        """Take a later configuration, one that was decided; whether this process now holds it or a later one.

        On disk first: an acceptor that forgot an epoch would serve the earlier one again.
        """
        with self.adopting:  # two at once could reach the disk in the wrong order
            if voters.epoch <= self.voters.epoch:
                return True
            # One that did not vote has promised nothing that counts.
            fresh = (
                self.store
                and self.voters.epoch
                and not self.voters.lives(self.peer_pool.address)
                and voters.lives(self.peer_pool.address) == {self.store.life}
            )
            if self.store and not self.store.keep({}, voters.fact() | ({"voting": "1"} if fresh else {})):
                return False
            self.voters, self.trusted = voters, self.trusted or bool(fresh)
            self.settle()
            return True

    def on_voters(self, link, row):
        """Another process tells its configuration (None: it only asks); ours is the answer."""
        if row is not None:
            self.adopt(Voters.of(row))
        return self.voters.row() if self.voters.epoch else None

    def settle(self) -> None:
        """Whether this disk's word counts: the configuration records its life, and it knows all that it
        promised.

        An older disk that comes back to its address does not know what a later one promised there.
        """
        if self.acceptor and self.voters.epoch:
            lives = self.voters.lives(self.peer_pool.address)
            self.acceptor.voting = self.trusted and bool(lives) and lives <= {"", self.store.life}

    def votes(self) -> bool:
        """Whether this process's disk is one of those that vote, and knows enough to."""
        return self.acceptor is not None and self.acceptor.voting and self.peer_pool.address in self.group

    # This disk.

    def guarded(self, key: str):
        return self.locks.setdefault(key, self.runtime.lock())

    def keep(self, key: str, word: str, fresh: Slot | None) -> str:
        if word not in ("promise", "accepted"):
            return word
        if not self.store.keep({key: fresh}):
            self.refused += 1
            return "mute"
        self.acceptor.slots[key] = fresh
        return word

    def act(self, key: str, epoch: int, decide: Callable[[], tuple[str, Slot | None]]) -> list:
        """What the disk answers under an epoch: [word, slot, life], or what `check` says."""
        if late := self.check(epoch):
            return late
        if not self.acceptor:
            return ["mute", None, ""]
        self.busy += 1
        try:
            with self.guarded(key):
                if late := self.check(epoch):  # it may have moved while another held the key
                    return late
                word, found = decide()
                word = self.keep(key, word, found)
        finally:
            self.busy -= 1
        # Moved while the disk wrote: who listed the keys of the later epoch may have missed this one.
        return self.check(epoch) or [word, row(found) if found else None, self.acceptor.life]

    def on_prepare(self, link, body):
        key, ballot, epoch = body[0], tuple(body[1]), body[2]
        return self.act(key, epoch, lambda: self.acceptor.prepare(key, ballot))

    def on_accept(self, link, body):
        key, ballot, value, life, epoch = body[0], tuple(body[1]), *body[2:]
        return self.act(key, epoch, lambda: self.acceptor.accept(key, ballot, value, life))

    def on_slots(self, link, epoch):
        """[promised, accepted] of each key, for a disk that came back empty; values are asked one by one."""
        if late := self.check(epoch):
            return late
        if not self.votes():
            return None
        return {key: [list(held.promised), list(held.accepted)] for key, held in self.acceptor.slots.items()}

    def on_stamps(self, link, epoch):
        if late := self.check(epoch):
            return late
        if not self.votes():
            return None
        return {key: list(held.accepted) for key, held in self.acceptor.slots.items()}

    def on_value(self, link, body):
        epoch, key = body
        if late := self.check(epoch):
            return late
        held = self.acceptor.slots.get(key) if self.votes() else None
        return [list(held.accepted), held.value] if held else None

    def fetch(self, address: Address, key: str, stamp: tuple[int, str]) -> Slot | None:
        """What another disk has accepted of a key, of this stamp or later."""
        told = self.ask(address, "value", [self.voters.epoch, key], 0.8)
        if not told or tuple(told[0]) < stamp:
            return None
        return Slot(tuple(told[0]), tuple(told[0]), told[1])

    def relearn(self) -> bool:
        """Whether this disk may vote, or need not: one that came back empty first learns what the others
        hold.

        Only under an epoch that records its life: a change of an earlier one may still count an acceptance of
        the lost disk, and find the rest of its quorum after the others have answered here.
        """
        mine, voters = self.peer_pool.address, self.voters
        if not self.acceptor or self.acceptor.voting or mine not in self.group:
            return True
        if voters.lives(mine) != {self.store.life}:
            return False
        others = [address for address in voters.members() if address != mine]
        heard = lambda answers: voters.covered(mine, (address for address, _ in answers))  # noqa: E731
        answers = self.gather(others, "slots", voters.epoch, heard, 2.0)
        if not heard(answers) or self.voters != voters:
            return False  # a later epoch was told: asked again under it
        held = [
            (
                address,
                {key: Slot(tuple(promised), tuple(accepted)) for key, (promised, accepted) in rows.items()},
            )
            for address, rows in answers
        ]
        found, missing = merged([slots for _, slots in held]), []

        def value(key, slot):
            holder = next(who for who, slots in held if slots.get(key, Slot()).accepted == slot.accepted)
            got = self.fetch(holder, key, slot.accepted)
            if got is None:
                missing.append(key)
            else:
                found[key] = Slot(max(slot.promised, got.promised), got.accepted, got.value)

        wanted = [(key, slot) for key, slot in found.items() if slot.accepted != NOTHING]
        self.runtime.all([lambda key=key, slot=slot: value(key, slot) for key, slot in wanted], 2.0)
        if missing or any(found[key] is slot for key, slot in wanted) or self.voters != voters:
            return False
        # Keys that only a disk of before holds are dropped: it was lost, and this one stands for another.
        kept = {**dict.fromkeys(self.acceptor.slots), **found}
        if not self.store.keep(kept, {"voting": "1"}):
            return False
        self.acceptor.slots, self.trusted = found, True
        self.settle()
        return self.acceptor.voting

    # This process's changes.

    def change(self, key: str, step: Step, timeout: float = 2.0):
        """(True, the value that stands after `step`) or (False, None): not known within `timeout` seconds.

        Not known means that the change may or may not stand.
        """
        until = self.runtime.now() + timeout
        while (left := until - self.runtime.now()) > 0:
            self.rounds[key] = self.rounds.get(key, 0) + 1
            voters = self.voters
            change, began = Proposal(voters.met, (self.rounds[key], self.me), step), self.runtime.now()
            self.attempt(change, key, min(left, 1.0), voters)
            if change.state == "done":
                return True, change.value
            self.rounds[key] = max(self.rounds[key], change.ahead)
            if self.voters.epoch == voters.epoch:  # else this was asked under an earlier one: at once again
                # By how long a round takes: two writers a long way apart would turn each other down for ever.
                most = max(0.05, 1.5 * (self.runtime.now() - began))
                self.runtime.sleep(
                    self.runtime.chance.uniform(0.005, most) if change.state == "lost" else 0.05
                )
        return False, None

    def attempt(self, change: Proposal, key: str, timeout: float, voters: Voters) -> None:
        until, group = self.runtime.now() + timeout, voters.members()

        def heard(answers):
            while len(answers) > heard.seen:
                address, answer = answers[heard.seen]
                heard.seen += 1
                if not whole(answer):
                    continue
                word, found, life = answer
                if word == "promise":
                    change.promised(address, life, tuple(found[1]), found[2])
                elif word == "refused":
                    change.turned_down(tuple(found[0]))
            return change.state != "prepare"

        def taken(answers):
            while len(answers) > taken.seen:
                address, answer = answers[taken.seen]
                taken.seen += 1
                if not whole(answer):
                    continue
                word, found, _ = answer
                if word == "accepted":
                    change.accepted(address)
                elif word == "refused":
                    change.turned_down(tuple(found[0]))
            return change.state != "accept"

        heard.seen = taken.seen = 0
        self.gather(group, "prepare", [key, list(change.ballot), voters.epoch], heard, timeout)
        # A process that slept must not tell others to accept what its caller has given up on.  Nor may an
        # attempt go on under a later epoch: its promises are not a quorum of that.
        if change.state != "accept" or self.runtime.now() > until or self.voters.epoch != voters.epoch:
            return
        # Those whose promise came too late are told as well, lest they lag for the sweep to find.
        self.lives |= change.lives
        # A copy: another change may meanwhile meet a newer disk there, which this promise does not bind.
        lives = {**self.lives, **change.lives}
        group = [address for address in group if address in lives]
        body = [key, list(change.ballot), change.value]
        self.gather(
            group,
            "accept",
            lambda address: [*body, lives[address], voters.epoch],
            taken,
            max(0.05, until - self.runtime.now()),
        )

    def read(self, key: str, timeout: float = 2.0) -> tuple[bool, bytes | None]:
        """What stands, by a quorum; old copies are mended on the way."""
        return self.change(key, lambda old: None, timeout)
