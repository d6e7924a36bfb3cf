"""Anti-entropy of the register's keys: voters that lag are brought up to date, and a start waits for it.

A read of a key writes back what a voter lacks; the sweep compares the voters' accepted ballots to find the
keys that need one.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from flintreach.common.keys import VOTERS_KEY
from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.register import Register
from flintreach.controller.operator_requests import OperatorRequests
from flintreach.controller.quorum_contact import NO_BALLOT, Ballot
from flintreach.controller.voter_management import VoterManager
from flintreach.transport.runtime import Runtime

SWEEP_S = 2.0  # between two sweeps, give or take SWEEP_JITTER
SWEEP_JITTER = (0.8, 1.2)
START_RETRY_S = 0.05  # between two attempts to start
COMPARE_TIMEOUT_S = 1.0
# At a start others may still be without power, and calls to them hang.
START_COMPARE_TIMEOUT_S = 0.3
REPAIR_TIMEOUT_S = 1.5  # for all repairs of one sweep
READ_TIMEOUT_S = 1.2
BALLOTS_MESSAGE = "stamps"  # kind of the question for accepted ballots, as earlier releases have it

BallotsByKey = dict[str, list[Any]]
RepairTask = Callable[[], None]


class RepairPlane(Protocol):
    """What `Repair` takes of the control plane, besides what `VoterManager` does."""

    runtime: Runtime
    register: Register
    operator_requests: OperatorRequests
    serving: bool

    def start_serving(self) -> bool:
        """Let callers in; whether that is done."""


@dataclass(frozen=True, slots=True)
class KeyComparison:
    """What the voters' answers say of one key.

    Attributes:
        key: of the register.
        newest: the highest accepted ballot.
        oldest: the lowest; a voter without the key has NO_BALLOT.
        holders: the voters that have the highest.
    """

    key: str
    newest: Ballot
    oldest: Ballot
    holders: list[Address]

    @property
    def is_lagging(self) -> bool:
        """Return whether some voter has an older ballot than another."""
        return self.oldest != self.newest


def compare_keys(answers: list[tuple[Address, BallotsByKey]]) -> Iterator[KeyComparison]:
    """Compare the voters' accepted ballots key by key, except that of the voters' own set."""
    keys = {key for _, ballots in answers for key in ballots} - {VOTERS_KEY}
    for key in sorted(keys):
        accepted = [(address, tuple(ballots.get(key, NO_BALLOT))) for address, ballots in answers]
        newest = max(ballot for _, ballot in accepted)
        oldest = min(ballot for _, ballot in accepted)
        holders = [address for address, ballot in accepted if ballot == newest]
        yield KeyComparison(key, newest, oldest, holders)


class Repair:
    """Compares the voters, again and again; the first comparison ends this controller's start."""

    def __init__(self, plane: RepairPlane) -> None:
        self.plane = plane
        self.runtime = plane.runtime
        self.register = plane.register
        self.published: dict[str, Ballot] = {}  # the ballot of each key's value that was last published
        self.lagging: dict[str, Ballot] = {}  # the oldest ballot of each lagging key in the last sweep
        self.voter_manager = VoterManager(plane)

    def sweep(self) -> None:
        """Find the voters, then compare them for ever; let callers in after the first comparison."""
        self.voter_manager.discover()
        self.runtime.spawn(self.voter_manager.run)
        is_starting = True
        while True:
            timeout_s = START_COMPARE_TIMEOUT_S if is_starting else COMPARE_TIMEOUT_S
            is_compared = self.voter_manager.reconfiguration.start_voting() and self.compare(
                is_starting, timeout_s
            )
            if is_compared and is_starting:
                is_starting = not self.plane.start_serving()
            if is_starting:
                self.runtime.sleep(START_RETRY_S)
            else:
                self.runtime.sleep(SWEEP_S * self.runtime.chance.uniform(*SWEEP_JITTER))

    def compare(self, is_quorum_enough: bool, timeout_s: float) -> bool:
        """Compare the voters, publish what a quorum holds, and read, and so repair, what differs.

        Args:
            is_quorum_enough: a quorum's answers suffice; otherwise all voters are waited for.
            timeout_s: how long, in seconds.

        Returns:
            Whether a quorum answered, under the voter set that still stands.
        """
        voters = self.register.voters
        answers = self._gather_ballots(voters, is_quorum_enough, timeout_s)
        if not voters.is_quorum(address for address, _ in answers) or self.register.voters != voters:
            return False
        comparisons = list(compare_keys(answers))
        tasks = [task for task in map(self._task, comparisons) if task is not None]
        self.lagging = {
            comparison.key: comparison.oldest for comparison in comparisons if comparison.is_lagging
        }
        self.runtime.all(tasks, REPAIR_TIMEOUT_S)
        return True

    def _gather_ballots(
        self, voters: Voters, is_quorum_enough: bool, timeout_s: float
    ) -> list[tuple[Address, BallotsByKey]]:
        group = voters.members()

        def is_enough(answers: list[tuple[Address, Any]]) -> bool:
            if len(answers) == len(group):
                return True
            return is_quorum_enough and voters.is_quorum(address for address, _ in answers)

        answers = self.register.gather(group, BALLOTS_MESSAGE, voters.epoch, is_enough, timeout_s)
        return [(address, ballots) for address, ballots in answers if isinstance(ballots, dict)]

    def _task(self, comparison: KeyComparison) -> RepairTask | None:
        """Return what is to be done for a key, None for nothing."""
        key = comparison.key
        lagged_before = comparison.is_lagging and self.lagging.get(key) == comparison.oldest
        if not self.register.voters.is_quorum(comparison.holders):
            # What a change under way explains is left alone: a read would only stand in its way.
            if not self.plane.serving or lagged_before:
                return partial(self.reread_key, key)
            return None
        if self.published.get(key) != comparison.newest:
            # A quorum holds it, and nothing later stands there: any of the holders may tell the value.
            return partial(self.fetch, key, comparison.newest, comparison.holders[0])
        if lagged_before:
            return partial(self.reread_key, key)
        return None

    def fetch(self, key: str, ballot: Ballot, holder: Address) -> None:
        """Publish the value of a ballot that a quorum holds, as one of the holders has it."""
        slot = self.register.fetch_slot(holder, key, ballot)
        # What the holder has accepted since may never stand: a quorum reported this ballot only.
        if slot and slot.accepted == ballot:
            self.published[key] = ballot
            self.plane.operator_requests.publish(key, slot.value)

    def reread_key(self, key: str) -> None:
        """Read a key, which brings voters that lag up to date, and publish what stands."""
        is_done, value = self.register.read(key, READ_TIMEOUT_S)
        if is_done:
            self.plane.operator_requests.publish(key, value)
