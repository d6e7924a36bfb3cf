"""Read index of one controller: the time up to which it knows every acknowledged write. Does no I/O.

A controller asks each peer for the ballots that the peer's disk has accepted for the replicated keys. The
request uses the connection on which the peer sends its updates, so the response arrives after all updates
sent before it. A write acknowledged before the request is on a quorum of disks; every quorum of reports
shares a disk with that one, and so shows the ballot of the acknowledged value or a later one. A report counts
from the time of the REQUEST, because the response may sit in a buffer while this process is suspended; and it
counts only once every value that it refers to is known here.

Times are seconds of this process's monotonic clock.

Source: D. Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 6.4 (read index). Here the age of
the last round is kept, in place of one round for each call.
"""

from collections.abc import Mapping

from flintreach.common.keys import CONFIGURATION_KEY, EVACUATION_KEY, VOTERS_KEY
from flintreach.consensus.quorum import Address, Voters

# Keys in the reports: they change on request only, not continuously.
REPORTED_KEYS = (CONFIGURATION_KEY, EVACUATION_KEY, VOTERS_KEY)

Ballot = tuple[int, str]

NO_BALLOT: Ballot = (0, "")
NEVER = 86400.0  # seconds; stands for the age of a contact that has not happened
MAX_PENDING_REPORTS = 16  # per peer, waiting for values to become known here
CHANGE_GRACE_S = 0.3  # for this long, a ballot on a minority may belong to a change in progress
MAX_CHECK_GAP_S = 0.4  # a longer gap between two checks of the clock counts as a suspension
RESUME_DELAY_S = 0.25  # for this long after a suspension, input may have been sent before it


class QuorumContact:
    """Tracks the peers' reports, and computes the time up to which this controller is current.

    Attributes:
        confirmed_at: peer -> request time of its last report whose values are all known.
        reports: peer -> its last report.
        pending: peer -> (request time, report) for each report with unknown values.
        known: key -> ballot up to which every decided value of the key is known here.
        unknown_since: (key, ballot) -> when an unknown ballot was first reported.
    """

    def __init__(self) -> None:
        self.confirmed_at: dict[Address, float] = {}
        self.reports: dict[Address, Mapping[str, Ballot]] = {}
        self.pending: dict[Address, list[tuple[float, Mapping[str, Ballot]]]] = {}
        self.known: dict[str, Ballot] = {}
        self.unknown_since: dict[tuple[str, Ballot], float] = {}

    def record_report(
        self, address: Address, asked_at: float, ballots: Mapping[str, Ballot], now: float
    ) -> None:
        """Record a report. This controller's own disk counts as a peer, polled at every interval.

        Args:
            address: of the peer whose disk it is.
            asked_at: when the request was sent, in seconds.
            ballots: the accepted ballot of each key that the disk has.
            now: the current time, in seconds.
        """
        self.reports[address] = ballots
        pending = [*self.pending.get(address, ()), (asked_at, ballots)]
        self.pending[address] = pending[-MAX_PENDING_REPORTS:]
        self._confirm_reports(address)
        unknown = {(key, self.newest_ballot(key)[0]) for key in REPORTED_KEYS if self.has_unknown(key)}
        self.unknown_since = {entry: self.unknown_since.get(entry, now) for entry in unknown}

    def record_known(self, key: str, ballot: Ballot) -> None:
        """Record that every value decided for a key, up to a ballot, is known here."""
        if ballot <= self.known.get(key, NO_BALLOT):
            return
        self.known[key] = ballot
        for address in self.pending:
            self._confirm_reports(address)

    def _confirm_reports(self, address: Address) -> None:
        """Confirm a peer's reports whose values are all known, and drop the reports before them."""
        pending = self.pending[address]
        for asked_at, ballots in pending:
            if all(ballot <= self.known.get(key, NO_BALLOT) for key, ballot in ballots.items()):
                self.confirmed_at[address] = max(asked_at, self.confirmed_at.get(address, asked_at))
        confirmed_at = self.confirmed_at.get(address, -NEVER)
        self.pending[address] = [report for report in pending if report[0] > confirmed_at]

    def newest_ballot(self, key: str) -> tuple[Ballot, list[Address]]:
        """Return the highest ballot of a key in the peers' last reports, and the peers that report it."""
        newest = max((ballots.get(key, NO_BALLOT) for ballots in self.reports.values()), default=NO_BALLOT)
        holders = [
            address for address, ballots in self.reports.items() if ballots.get(key, NO_BALLOT) == newest
        ]
        return newest, sorted(holders)

    def has_unknown(self, key: str) -> bool:
        """Return whether a peer reports a ballot of a key whose value may not be known here."""
        newest, _ = self.newest_ballot(key)
        return newest > self.known.get(key, NO_BALLOT)

    def is_stalled(self, key: str, now: float) -> bool:
        """Return whether the newest ballot has been unknown for longer than a change in progress takes."""
        newest, _ = self.newest_ballot(key)
        return now - self.unknown_since.get((key, newest), now) >= CHANGE_GRACE_S

    def age(self, voters: Voters, now: float) -> float:
        """Return the age of the read index, the time before which every acknowledged write is known here.

        NEVER if the peers with a confirmed report are no quorum of `voters`.

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
    """Detects that this process was suspended: stopped, or not scheduled.

    Input read right after a suspension may have been sent long before, by callers that have since turned to
    another controller.
    """

    def __init__(self, now: float) -> None:
        self.last_check_at = now
        self.resumed_at = -NEVER
        self.suspensions = 0

    def is_current(self, now: float) -> bool:
        """Return whether input read now was sent while this process was running.

        Must be called several times within MAX_CHECK_GAP_S, and before each request is answered: the first
        call after a suspension detects it.

        Args:
            now: time of the monotonic clock, in seconds.
        """
        if now - self.last_check_at > MAX_CHECK_GAP_S:
            self.resumed_at = now
            self.suspensions += 1
        self.last_check_at = now
        return now - self.resumed_at >= RESUME_DELAY_S
