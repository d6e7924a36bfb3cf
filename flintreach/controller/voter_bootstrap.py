"""Start of the voter management on one controller: learns the voter set, or takes part in the first decision.

The disks of the seeds decide on the first voters.  Disks that were created at the first start may do so at
once; others only if the first start was interrupted, see `flintreach.consensus.interrupted_start`.
"""

from typing import TYPE_CHECKING, Any

import msgspec

from flintreach.common.lifecycle import StartLog, StartStage
from flintreach.common.log import log_event
from flintreach.consensus.interrupted_start import Evidence, StartReport, examine_reports
from flintreach.consensus.messages import MessageKind
from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.store import FORCED_FACT
from flintreach.consensus.voter_selection import VoterCandidate, choose_initial_voters

if TYPE_CHECKING:
    from flintreach.controller.voter_management import VoterManager

POLL_INTERVAL_S = 0.05
REPORT_INTERVAL_S = 0.5  # between two queries of the others' reports
PERSIST_RETRY_S = 0.25
QUERY_TIMEOUT_S = 0.3  # for the answers of other controllers

# How long the reports must have shown the same evidence of an interrupted first start.  Killed processes
# return within a second, and one of them may know the voters.
STABLE_S = {Evidence.NO_DECISION: 4.0, Evidence.NO_DECISION_HEARD_OF: 10.0}


class VoterBootstrap:
    """Learns or decides the first voter set that a controller knows.

    Attributes:
        report_due_at: when the others are asked for their reports next.
        evidence: what the latest reports show.
        evidence_since: since when they have shown it.
        start_log: tells what the start waits for.
    """

    def __init__(self, manager: "VoterManager") -> None:
        """Register the handler of reports; `run` does the rest."""
        self.manager = manager
        self.plane = manager.plane
        self.runtime = manager.runtime
        self.register = manager.register
        self.peer_pool = manager.peer_pool
        self.report_due_at = manager.runtime.now() + REPORT_INTERVAL_S
        self.evidence = Evidence.NONE
        self.evidence_since = manager.runtime.now()
        self.start_log = StartLog()
        self.peer_pool.handlers |= {MessageKind.START_REPORT: self.on_start_report}

    def run(self) -> None:
        """Return once a voter set is known."""
        self._persist_seeds()
        store = self.register.store
        forced = store.facts.get(FORCED_FACT) if store else None
        if forced:
            log_event("voters_forced", what=forced)
        while not self.register.voters.epoch:
            self.runtime.sleep(POLL_INTERVAL_S)
            self._step()

    @property
    def may_decide(self) -> bool:
        """Whether this process may propose the first voters."""
        register = self.register
        return self.plane.first_run or (register.store is not None and register.promises_known)

    def _seeds(self) -> tuple[Address, ...]:
        """Return the addresses of the disks that decide on the first voters."""
        voters = self.register.voters
        return tuple(voters.members() if voters.sets else self.plane.seeds())

    def _persist_seeds(self) -> None:
        """On the first start, persist the seeds as the acceptors that decide on the first voters.

        The settings may name other seeds after a restart, and those must not decide a second time.
        """
        register = self.register
        if not self.plane.first_run or register.voters.sets:
            return
        register.voters = Voters(0, tuple(sorted((seed, "") for seed in self.plane.seeds())))
        while register.store and not register.store.persist({}, register.voters.to_facts()):
            self.runtime.sleep(PERSIST_RETRY_S)

    def _step(self) -> None:
        """Adopt the latest voter set known to others; if there is none, decide on it once it is due."""
        disks = {address: disk for address, disk in self.manager.disks().items() if disk.alive}
        others = [address for address in disks if address != self.manager.address]
        answers = (
            self.peer_pool.gather(others, MessageKind.VOTERS, None, bool, QUERY_TIMEOUT_S) if others else []
        )
        if answers:
            known = [Voters.from_row(row) for _, row in answers]
            self.register.adopt(max(known, key=lambda voters: voters.epoch))
            return
        if self.may_decide:
            self._decide(disks)
        elif self.register.store is not None and self.runtime.now() >= self.report_due_at:
            self.report_due_at = self.runtime.now() + REPORT_INTERVAL_S
            self._resume_if_interrupted(disks)

    def _decide(self, disks: dict[Address, VoterCandidate]) -> None:
        """Propose the first voters if there are enough disks."""
        manager = self.manager
        if not choose_initial_voters(disks.values(), manager.losses, manager.stable_s()):
            self.start_log.enter(StartStage.WAITING_FOR_DISKS, disks=len(disks))
            return
        # An earlier decision prevails: the seeds' disks hold it, and `propose` adopts it.
        target = self._choose_voters(manager.query_alive_disks(disks))
        if target:
            manager.reconfiguration.propose(target)

    def _choose_voters(self, disks: list[VoterCandidate]) -> Voters | None:
        """Choose the first voters; those that have reported that they may vote must be a quorum of them."""
        manager = self.manager
        target = choose_initial_voters(disks, manager.losses, manager.stable_s())
        able = [disk for disk in disks if disk.incarnation]
        if target is None or target.is_quorum(disk.address for disk in able):
            return target
        return choose_initial_voters(able, manager.losses, manager.stable_s())

    # Interrupted first start.

    def own_report(self) -> StartReport:
        """Return this process's report."""
        store = self.register.store
        created_later = store is not None and store.created_later
        return StartReport(self.register.voters.epoch, self._seeds(), created_later)

    def on_start_report(self, connection: Any, body: None) -> StartReport | None:
        """Answer with this process's report; None if it has no disk."""
        return self.own_report() if self.register.store is not None else None

    def _resume_if_interrupted(self, disks: dict[Address, VoterCandidate]) -> None:
        """Let this disk vote on the first voters, if no decision can have been made."""
        own = self.own_report()
        known = self.manager.disks()
        reports = self._gather_reports(sorted({*disks, *own.seeds})) | {self.manager.address: own}
        evidence = examine_reports(
            reports,
            own.seeds,
            [address for address, disk in known.items() if not disk.leaving],
            {address: (disk.zone, disk.region) for address, disk in known.items()},
            self.manager.losses,
        )
        now = self.runtime.now()
        if evidence != self.evidence:
            self.evidence = evidence
            self.evidence_since = now
        self.start_log.enter(StartStage.WAITING_FOR_VOTERS, evidence=evidence.value)
        if evidence == Evidence.NONE or now - self.evidence_since < STABLE_S[evidence]:
            return
        if self.register.resume_first_start(own.seeds):
            self.plane.endpoints.mark_registry_complete()
            log_event("first_start_resumed", seeds=[f"{ip}:{port}" for ip, port in own.seeds])

    def _gather_reports(self, addresses: list[Address]) -> dict[Address, StartReport]:
        """Ask controllers for their reports; malformed ones and those that don't answer are left out."""
        others = [address for address in addresses if address != self.manager.address]

        def all_answered(answers: list[tuple[Address, Any]]) -> bool:
            return len(answers) == len(others)

        answers = self.peer_pool.gather(others, MessageKind.START_REPORT, None, all_answered, QUERY_TIMEOUT_S)
        reports = {}
        for address, row in answers:
            try:
                reports[address] = msgspec.convert(row, StartReport)
            except msgspec.ValidationError:
                continue
        return reports
