"""Read index of one controller: since when it surely knows all that was acknowledged.  Does no I/O.

A controller asks each peer for the ballots that the peer's disk has accepted of the replicated keys.  The
question goes over the connection on which the peer sends its updates, so the answer arrives behind all
updates sent before it.  What was acknowledged before the question stands on a quorum of disks; each quorum of
reports shares a disk with that one, and so shows the ballot of the acknowledged value, if not a later one.  A
report counts from the time of the QUESTION, because the answer may lie in a buffer while this process is
frozen; and it counts only once every value that it points to is known here.

Times are seconds of this process's steady clock.

Source: D. Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 6.4 (read index); here the age of
the last round is kept, in place of a round for each call.
"""

from collections.abc import Mapping

from flintreach.common.keys import CONFIGURATION_KEY, EVACUATION_KEY, VOTERS_KEY
from flintreach.consensus.quorum import Address, Voters

KEYS = (CONFIGURATION_KEY, EVACUATION_KEY, VOTERS_KEY)  # reported: changed by requests, never all the time

Ballot = tuple[int, str]

NO_BALLOT: Ballot = (0, "")
NEVER = 86400.0  # seconds: the age of a contact that there has not been
MAX_PENDING_REPORTS = 16  # of one peer, that wait for values to become known here
CHANGE_PATIENCE_S = 0.3  # for so long a ballot on a minority may be a change under way
MAX_CHECK_GAP_S = 0.4  # a longer gap between two checks of the clock is a suspension
RESUME_DELAY_S = 0.25  # after a suspension, for so long all that is read may be old


class QuorumContact:
    """Keeps the peers' reports, and computes since when this controller is up to date."""

    def __init__(self) -> None:
        self.confirmed_at: dict[Address, float] = {}  # peer -> question of its last report that is all known
        self.reports: dict[Address, Mapping[str, Ballot]] = {}  # peer -> its last report
        self.pending: dict[Address, list[tuple[float, Mapping[str, Ballot]]]] = {}  # (asked at, report)
        self.known: dict[str, Ballot] = {}  # all that was decided up to these ballots is known here
        self.unknown_since: dict[tuple[str, Ballot], float] = {}  # when a ballot not known was first reported

    def record_report(
        self, address: Address, asked_at: float, ballots: Mapping[str, Ballot], now: float
    ) -> None:
        """Take in a report.  This controller's own disk counts as a peer that is asked at each turn.

        Args:
            address: whose disk it is.
            asked_at: when the question was sent, in seconds.
            ballots: the accepted ballot of each key that the disk has.
            now: the present, in seconds.
        """
        self.reports[address] = ballots
        pending = [*self.pending.get(address, ()), (asked_at, ballots)]
        self.pending[address] = pending[-MAX_PENDING_REPORTS:]
        self._confirm_reports(address)
        unknown = {(key, self.newest_ballot(key)[0]) for key in KEYS if self.has_unknown(key)}
        self.unknown_since = {entry: self.unknown_since.get(entry, now) for entry in unknown}

    def record_known(self, key: str, ballot: Ballot) -> None:
        """Note that all that was decided of a key, up to a ballot, is known here now."""
        if ballot <= self.known.get(key, NO_BALLOT):
            return
        self.known[key] = ballot
        for address in self.pending:
            self._confirm_reports(address)

    def _confirm_reports(self, address: Address) -> None:
        """Count the reports of a peer that point to nothing unknown, and drop those before them."""
        pending = self.pending[address]
        for asked_at, ballots in pending:
            if all(ballot <= self.known.get(key, NO_BALLOT) for key, ballot in ballots.items()):
                self.confirmed_at[address] = max(asked_at, self.confirmed_at.get(address, asked_at))
        confirmed_at = self.confirmed_at.get(address, -NEVER)
        self.pending[address] = [report for report in pending if report[0] > confirmed_at]

    def newest_ballot(self, key: str) -> tuple[Ballot, list[Address]]:
        """Return the highest ballot of a key in the peers' last reports, and the peers that reported it."""
        newest = max((ballots.get(key, NO_BALLOT) for ballots in self.reports.values()), default=NO_BALLOT)
        holders = [
            address for address, ballots in self.reports.items() if ballots.get(key, NO_BALLOT) == newest
        ]
        return newest, sorted(holders)

    def has_unknown(self, key: str) -> bool:
        """Return whether a peer reported a ballot of a key whose value may not be known here."""
        newest, _ = self.newest_ballot(key)
        return newest > self.known.get(key, NO_BALLOT)

    def is_stalled(self, key: str, now: float) -> bool:
        """Return whether the newest ballot was reported for so long that no change under way explains it."""
        newest, _ = self.newest_ballot(key)
        return now - self.unknown_since.get((key, newest), now) >= CHANGE_PATIENCE_S

    def age(self, voters: Voters, now: float) -> float:
        """Return the seconds since a time up to which all that was acknowledged is known here.

        NEVER where the peers with a confirmed report make no quorum of `voters`.

        >>> contact, voters = QuorumContact(), Voters(1, ((("a", 1), ""), (("b", 1), ""), (("c", 1), "")))
        >>> for asked_at, name in ((5.0, "a"), (3.0, "b"), (1.0, "c")):
        ...     contact.record_report((name, 1), asked_at, {}, asked_at)
        >>> contact.age(voters, 9.0)
        6.0
        """
        for since in sorted(self.confirmed_at.values(), reverse=True):
            if voters.is_quorum(
                address for address, asked_at in self.confirmed_at.items() if asked_at >= since
            ):
                return now - since
        return NEVER


class SuspendDetector:
    """Notices that this process was suspended: frozen, or without its processor.

    What it reads in the first moments after that may have been sent long before, by callers that have since
    gone elsewhere.
    """

    def __init__(self, now: float) -> None:
        self.last_check_at = now
        self.resumed_at = -NEVER
        self.suspensions = 0

    def is_current(self, now: float) -> bool:
        """Return whether what is read now was sent while this process ran.

        To be called several times within MAX_CHECK_GAP_S, and before each call is answered: who calls first
        after a suspension notices it.

        Args:
            now: steady clock, in seconds.
        """
        if now - self.last_check_at > MAX_CHECK_GAP_S:
            self.resumed_at = now
            self.suspensions += 1
        self.last_check_at = now
        return now - self.resumed_at >= RESUME_DELAY_S
