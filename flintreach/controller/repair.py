"""Anti-entropy repair of the register's keys; a controller starts serving after the first comparison.

A read of a key writes back values that voters lack. The sweep compares the voters' accepted ballots to find
the keys that need such a read.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from flintreach.common.keys import VOTERS_KEY
from flintreach.common.lifecycle import StartLog, StartStage
from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.register import Register
from flintreach.controller.operator_requests import OperatorRequests
from flintreach.controller.quorum_contact import NO_BALLOT, Ballot
from flintreach.controller.voter_management import VoterManager
from flintreach.transport.runtime import Runtime

SWEEP_S = 2.0  # between two sweeps, multiplied by a random factor within SWEEP_JITTER
SWEEP_JITTER = (0.8, 1.2)
START_RETRY_S = 0.05  # between two attempts to start
COMPARE_TIMEOUT_S = 1.0
START_COMPARE_TIMEOUT_S = 0.3  # shorter: during a start other machines may be down, and calls to them hang
REPAIR_TIMEOUT_S = 1.5  # for all repairs of one sweep
READ_TIMEOUT_S = 1.2
BALLOTS_MESSAGE = "stamps"  # message kind of the query for accepted ballots, unchanged from earlier releases

BallotsByKey = dict[str, list[Any]]
RepairTask = Callable[[], None]


class RepairPlane(Protocol):
    """The part of the control plane that `Repair` uses, in addition to `VoterPlane`."""

    runtime: Runtime
    register: Register
    operator_requests: OperatorRequests
    serving: bool

    def start_serving(self) -> bool:
        """Start answering callers; return whether that succeeded."""


@dataclass(frozen=True, slots=True)
class KeyComparison:
    """Comparison of the voters' accepted ballots for one key.

    Attributes:
        key: key of the register.
        newest: the highest accepted ballot.
        oldest: the lowest accepted ballot; NO_BALLOT if a voter lacks the key.
        holders: the voters that have accepted the highest ballot.
    """

    key: str
    newest: Ballot
    oldest: Ballot
    holders: list[Address]

    @property
    def is_lagging(self) -> bool:
        """Return whether a voter has an older ballot than another."""
        return self.oldest != self.newest


def compare_keys(answers: list[tuple[Address, BallotsByKey]]) -> Iterator[KeyComparison]:
    """Compare the voters' accepted ballots for each key except that of the voter set."""
    keys = {key for _, ballots in answers for key in ballots} - {VOTERS_KEY}
    for key in sorted(keys):
        accepted = [(address, tuple(ballots.get(key, NO_BALLOT))) for address, ballots in answers]
        newest = max(ballot for _, ballot in accepted)
        oldest = min(ballot for _, ballot in accepted)
        holders = [address for address, ballot in accepted if ballot == newest]
        yield KeyComparison(key, newest, oldest, holders)


class Repair:
    """Compares and repairs the voters periodically; the first comparison completes the controller's start.

    Attributes:
        published: key -> ballot of the value last published.
        lagging: key -> oldest ballot, for each key on which a voter lagged in the last sweep.
        voter_manager: manages the voter set.
        manages_voters: whether the loop of `voter_manager` has been started.
    """

    def __init__(self, plane: RepairPlane) -> None:
        self.plane = plane
        self.runtime = plane.runtime
        self.register = plane.register
        self.published: dict[str, Ballot] = {}
        self.lagging: dict[str, Ballot] = {}
        self.voter_manager = VoterManager(plane)
        self.manages_voters = False

    def sweep(self) -> None:
        """Discover the voters, then compare them forever; start serving after the first comparison."""
        self.voter_manager.discover()
        if not self.manages_voters:
            self.manages_voters = True
            self.runtime.spawn_loop(self.voter_manager.run)
        start_log = StartLog()
        is_starting = not self.plane.serving
        while True:
            timeout_s = START_COMPARE_TIMEOUT_S if is_starting else COMPARE_TIMEOUT_S
            is_compared = self.voter_manager.reconfiguration.start_voting() and self.compare(
                is_starting, timeout_s
            )
            if is_compared and is_starting:
                is_starting = not self.plane.start_serving()
            if is_starting:
                start_log.enter(StartStage.WAITING_FOR_QUORUM, compared=is_compared)
                self.runtime.sleep(START_RETRY_S)
            else:
                self.runtime.sleep(SWEEP_S * self.runtime.rng.uniform(*SWEEP_JITTER))

    def compare(self, is_quorum_enough: bool, timeout_s: float) -> bool:
        """Compare the voters, publish values that a quorum holds, and repair differing keys by reading them.

        Args:
            is_quorum_enough: whether to stop waiting once a quorum has answered, rather than all voters.
            timeout_s: time limit for the answers, in seconds.

        Returns:
            Whether a quorum answered, and the voter set is unchanged since.
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
        self.runtime.run_all(tasks, REPAIR_TIMEOUT_S)
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
        """Return the repair task for a key; None if there is nothing to do."""
        key = comparison.key
        lagged_before = comparison.is_lagging and self.lagging.get(key) == comparison.oldest
        if not self.register.voters.is_quorum(comparison.holders):
            # A change in progress may explain the difference, and a read would only contend with it.
            if not self.plane.serving or lagged_before:
                return partial(self.reread_key, key)
            return None
        if self.published.get(key) != comparison.newest:
            # A quorum holds this ballot and reported none later, so any holder can supply the value.
            return partial(self.fetch, key, comparison.newest, comparison.holders[0])
        if lagged_before:
            return partial(self.reread_key, key)
        return None

    def fetch(self, key: str, ballot: Ballot, holder: Address) -> None:
        """Fetch the value of a ballot that a quorum holds from one of the holders, and publish it."""
        slot = self.register.fetch_slot(holder, key, ballot)
        # What the holder has accepted since may never be committed: a quorum reported only this ballot.
        if slot and slot.accepted == ballot:
            self.published[key] = ballot
            self.plane.operator_requests.publish(key, slot.value)

    def reread_key(self, key: str) -> None:
        """Read a key, which brings lagging voters up to date, and publish the committed value."""
        is_done, value = self.register.read(key, READ_TIMEOUT_S)
        if is_done:
            self.plane.operator_requests.publish(key, value)
