"""A change of one key, as a state machine: what to ask, what the answers mean, when it is done.

`Change` is fed with answers and tells the next step; `Writer` in `register.py` carries its questions.
"""

from collections.abc import Callable, Hashable, Iterable

from flintreach.consensus.acceptor import NOTHING

Step = Callable[[bytes | None], bytes | None]
Quorum = Callable[[Iterable[Hashable]], bool]


class Proposal:
    """One attempt at a ballot. `step(old)` gives the new value, or None to leave what stands; `quorum(who)`
    tells whether those are enough.

    `state`: "prepare", "accept", "done" (then `value` is what stands) or "lost" (another writer was ahead:
    `ahead` is the highest round seen).
    """

    def __init__(self, quorum: Quorum, ballot: tuple[int, str], step: Step):
        self.quorum, self.ballot, self.step = quorum, ballot, step
        self.state, self.lives, self.taken = "prepare", {}, set()
        self.best, self.value, self.ahead = NOTHING, None, 0
        self.agreed: dict[Hashable, tuple[int, str]] = {}

    def promised(self, who: Hashable, life: str, accepted: tuple[int, str], value: bytes | None) -> None:
        if self.state != "prepare":
            return
        self.lives[who], self.agreed[who] = life, accepted
        if accepted > self.best:
            self.best, self.value = accepted, value
        if self.quorum(self.lives):
            fresh = self.step(self.value)
            held = self.quorum(who for who, stamp in self.agreed.items() if stamp == self.best)
            if fresh is None and (self.best == NOTHING or held):
                self.state = "done"  # nothing to write, and a quorum holds what stands
            else:
                # What stands may be on a minority alone: told again, lest it be lost after it was told.
                self.value, self.state = self.value if fresh is None else fresh, "accept"

    def accepted(self, who: Hashable) -> None:
        self.taken.add(who)
        if self.state == "accept" and self.quorum(self.taken):
            self.state = "done"

    def turned_down(self, promised: tuple[int, str]) -> None:
        self.ahead = max(self.ahead, promised[0])
        if self.state in ("prepare", "accept"):
            self.state = "lost"
