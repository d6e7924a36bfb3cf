"""The register at a refuge: what a start waits for; reads mend, the sweep finds the rest."""

from flintreach.consensus.reconfiguration import VOTERS_KEY
from flintreach.controller.voter_management import ROLE, VoterManager

__all__ = ["ROLE", "Repair"]

SWEEP_S = 2.0


class Repair:
    def __init__(self, plane):
        self.plane, self.runtime, self.register = plane, plane.runtime, plane.register
        self.learned: dict[str, tuple] = {}  # key -> the stamp of what was last told as news
        self.lagging: dict[str, tuple] = {}  # key -> the oldest stamp of it that the last sweep saw
        self.voting = VoterManager(plane)

    def sweep(self) -> None:
        self.voting.find()
        self.runtime.spawn(self.voting.run)
        first = True
        while True:
            # At a start others may still be without power, and calls to them hang.
            if self.voting.reconfiguration.enter() and self.compare(first, 0.3 if first else 1.0) and first:
                first = not self.plane.begin()
            self.runtime.sleep(0.05 if first else SWEEP_S * self.runtime.chance.uniform(0.8, 1.2))

    def compare(self, least: bool, timeout: float) -> bool:
        """Whether a quorum told what it holds; what differs is read, and so mended. `least`: a quorum is
        enough, else all are waited for."""
        plane, voters = self.plane, self.register.voters
        group = voters.members()
        answers = self.register.gather(
            group,
            "stamps",
            voters.epoch,
            lambda got: len(got) == len(group) or (least and voters.met(a for a, _ in got)),
            timeout,
        )
        answers = [(address, held) for address, held in answers if isinstance(held, dict)]
        if not voters.met(address for address, _ in answers) or self.register.voters != voters:
            return False
        crew, lagging = [], {}
        for key in sorted({key for _, held in answers for key in held} - {VOTERS_KEY}):
            seen = [tuple(held.get(key, (0, ""))) for _, held in answers]
            newest = max(seen)
            if min(seen) != newest:
                lagging[key] = min(seen)
            holders = [address for (address, _), stamp in zip(answers, seen) if stamp == newest]
            if not voters.met(holders):
                # What a change under way explains is left alone: a read would only stand in its way.
                if not plane.serving or self.lagging.get(key) == lagging.get(key):
                    crew.append(lambda key=key: self.reread_key(key))
            elif self.learned.get(key) != newest:
                # A quorum holds it, and nothing later stands there: any of them may tell it.
                crew.append(lambda key=key, newest=newest, holder=holders[0]: self.fetch(key, newest, holder))
            elif key in lagging and self.lagging.get(key) == lagging[key]:
                crew.append(lambda key=key: self.reread_key(key))
        self.lagging = lagging
        self.runtime.all(crew, 1.5)
        return True

    def fetch(self, key: str, stamp: tuple, holder: tuple[str, int]) -> None:
        slot = self.register.fetch(holder, key, stamp)
        # What it has accepted since may never stand: only of this stamp a quorum told.
        if slot and slot.accepted == stamp:
            self.learned[key] = stamp
            self.plane.operator_requests.learn(key, slot.value)

    def reread_key(self, key: str) -> None:
        done, value = self.register.read(key, 1.2)
        if done:
            self.plane.operator_requests.learn(key, value)
