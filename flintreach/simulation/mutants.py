"""Mutation testing of the simulation: deliberate defects in the code that trials must detect.

Each mutant replaces one function or method and lists the invariants that may detect it.  A mutant that
disables a safeguard of a later release is applicable only if the code has that safeguard (`is_applicable`).
"""

import contextlib
import importlib
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple
from unittest import mock

from flintreach.common.keys import CONFIGURATION_KEY
from flintreach.config import configuration_history
from flintreach.config.configuration_history import PutOutcome
from flintreach.consensus.acceptor import NO_BALLOT, Ballot, Decision, Verdict
from flintreach.consensus.proposer import ProposalState
from flintreach.consensus.voter_selection import FailureTolerance
from flintreach.endpoints.registry import DrainRank
from flintreach.sharding.range_assignment import Allocation, RangeState
from flintreach.simulation.scheduler import NS_PER_SECOND

LATE_SYNC_NS = NS_PER_SECOND // 5

Function = Callable[..., Any]


class Mutant(NamedTuple):
    """A deliberate defect."""

    target: str  # "module:class", or "module:" for a function of the module
    name: str  # name of the function or method to replace
    make_replacement: Callable[[Function], Function]  # takes the original
    detected_by: tuple[str, ...]  # invariants, at least one of which must be violated
    description: str


# Consensus.


def done_at_first_acceptance(record_acceptance: Function) -> Function:
    """Complete a proposal once a single acceptor has accepted it."""

    def mutant(self: Any, *args: Any) -> None:
        record_acceptance(self, *args)
        if self.state == ProposalState.ACCEPT and self.acceptances:
            self.state = ProposalState.DONE

    return mutant


def read_without_write_back(record_promise: Function) -> Function:
    """Complete a read after the promise phase, without having its value accepted by a quorum."""

    def mutant(self: Any, *args: Any) -> None:
        record_promise(self, *args)
        is_read = getattr(self.change_function, "__qualname__", "").startswith("Register.read")
        if self.state == ProposalState.ACCEPT and is_read:
            self.state = ProposalState.DONE

    return mutant


def vote_when_empty(update_voting: Function) -> Function:
    """Let the disk of a voter vote before it has recovered the state that it lost."""

    def mutant(self: Any) -> None:
        update_voting(self)
        if self.acceptor:
            self.acceptor.voting = self.peer_pool.address in self.voter_addresses

    return mutant


def forget_promises(accept: Function) -> Function:
    """Accept a ballot lower than the promised one."""

    def mutant(
        self: Any, key: str, ballot: Ballot, value: bytes | None, incarnation: str, *args: Any
    ) -> Decision:
        decision = accept(self, key, ballot, value, incarnation, *args)
        if decision.verdict != Verdict.REFUSED:
            return decision
        promised = self.slots[key].promised
        self.slots[key].promised = NO_BALLOT
        decision = accept(self, key, ballot, value, incarnation, *args)
        self.slots[key].promised = promised
        return decision

    return mutant


def answer_before_sync(persist: Function) -> Function:
    """Acknowledge a write before it is synced to disk."""

    def mutant(self: Any, *args: Any, **named: Any) -> bool:
        runtime = self.process.runtime
        self.process.sim.call_after(LATE_SYNC_NS, runtime.spawn, lambda: persist(self, *args, **named))
        return True

    return mutant


def choose_voters_at_once(choose_initial_voters: Function) -> Function:
    """Choose the initial voters as if no failures had to be tolerated."""

    def mutant(disks: Iterable[Any], losses: FailureTolerance, calm_s: float) -> Any:
        return choose_initial_voters(disks, FailureTolerance(), calm_s)

    return mutant


# Dissemination.


def take_older_configuration(offer: Function) -> Function:
    """Replace a configuration in the versioned store by one of a lower version."""

    def mutant(self: Any, key: str, version: Any, value: Any, *age: float) -> bool:
        if key == CONFIGURATION_KEY and key in self.entries and version < self.entries[key][0]:
            del self.entries[key]
        return offer(self, key, version, value, *age)

    return mutant


def confirm_without_contact(update_age: Function) -> Function:
    """Report the updates of a serving controller as fresh, even without contact to a quorum."""

    def mutant(self: Any) -> float:
        return min(update_age(self), 0.0) if self.serving else update_age(self)

    return mutant


def never_expire(expire: Function) -> Function:
    """Never expire tombstones."""

    def mutant(self: Any, *args: Any) -> None:
        return None

    return mutant


# Leases of key ranges.


def forget_leases(record_commit: Function) -> Function:
    """Let a new lease owner assume that its predecessor granted no leases."""

    def mutant(self: Any, stored: Allocation, began: float, now: float) -> bool:
        took_over = record_commit(self, stored, began, now)
        if took_over:
            self.last_grant_sent = {}
            self.moves_blocked_until = now
        return took_over

    return mutant


def free_at_once(free_expired: Function) -> Function:
    """Free a range that is being revoked before the lease of its holder has expired."""

    def mutant(self: Any, stored: Allocation, now: float, ended: Callable[[str], bool]) -> None:
        for key_range in stored.ranges:
            if key_range.state == RangeState.REVOKING:
                key_range.free("")

    return mutant


# Operator and endpoint requests.


def answer_conflict_without_quorum(call: Function) -> Function:
    """Answer a put without a quorum as a conflict, which stops the operator's retries."""

    def mutant(self: Any, environ: dict[str, Any], start_response: Function) -> list[bytes]:
        def start(status_line: str, headers: list[tuple[str, str]]) -> None:
            unavailable = status_line.startswith("503") and "put" in environ["PATH_INFO"]
            start_response("409 Conflict" if unavailable else status_line, headers)

        return call(self, environ, start)

    return mutant


def acknowledge_conflicts(put: Function) -> Function:
    """Acknowledge different content under a used configuration number as a repetition."""

    def mutant(self: Any, number: int, body: bytes, *may_proceed: Any) -> Any:
        outcome = put(self, number, body, *may_proceed)
        return PutOutcome.REPEATED if outcome == PutOutcome.CONFLICT else outcome

    return mutant


def end_all_at_address(record_heartbeat: Function) -> Function:
    """Let a heartbeat end all other endpoints at its address, including later ones."""

    def mutant(self: Any, id: str, heartbeat: Any, now_ns: int, *age_ns: int) -> list[str]:
        changed = record_heartbeat(self, id, heartbeat, now_ns, *age_ns)
        for other in changed:
            if other != id:
                self.records[other].rank = DrainRank.ENDED
        return changed

    return mutant


# Replacements shared by several mutants.


def always_true(original: Function) -> Function:
    """Do nothing and return True."""

    def mutant(*args: Any, **named: Any) -> bool:
        return True

    return mutant


def always_none(original: Function) -> Function:
    """Do nothing and return None."""

    def mutant(*args: Any, **named: Any) -> None:
        return None

    return mutant


CONSENSUS = "flintreach.consensus"
CONTROLLER = "flintreach.controller"
MUTANTS: dict[str, Mutant] = {
    "first-accept": Mutant(
        f"{CONSENSUS}.proposer:Proposal",
        "record_acceptance",
        done_at_first_acceptance,
        ("durable", "kept"),
        "a change completes when the first disk has accepted it",
    ),
    "no-write-back": Mutant(
        f"{CONSENSUS}.proposer:Proposal",
        "record_promise",
        read_without_write_back,
        ("kept", "durable"),
        "a read may return a value that only a minority holds",
    ),
    "votes-when-empty": Mutant(
        f"{CONSENSUS}.register:Register",
        "update_voting",
        vote_when_empty,
        ("kept", "durable"),
        "a disk that lost its content votes before it has recovered",
    ),
    "forgets-promises": Mutant(
        f"{CONSENSUS}.acceptor:Acceptor",
        "accept",
        forget_promises,
        ("kept", "durable", "evacuated", "single", "refused"),
        "a disk accepts a ballot lower than its promise",
    ),
    "told-before-synced": Mutant(
        "flintreach.simulation.disk:Store",
        "persist",
        answer_before_sync,
        ("durable", "known", "kept"),
        "a disk acknowledges a write before the sync",
    ),
    "board-goes-back": Mutant(
        "flintreach.dissemination.versioned_store:VersionedStore",
        "offer",
        take_older_configuration,
        ("monotonic",),
        "an older configuration replaces a newer one",
    ),
    "fresh-without-contact": Mutant(
        f"{CONTROLLER}.control_plane:ControlPlane",
        "update_age",
        confirm_without_contact,
        ("confirmed",),
        "a controller without contact to a quorum reports its updates as fresh",
    ),
    "forgets-holds": Mutant(
        "flintreach.sharding.range_lease:RangeLeases",
        "record_commit",
        forget_leases,
        ("owner",),
        "a new lease owner does not wait until the leases of its predecessor have expired",
    ),
    "frees-at-once": Mutant(
        "flintreach.sharding.range_lease:RangeLeases",
        "free_expired",
        free_at_once,
        ("owner",),
        "keys are reassigned before the lease of their holder has expired",
    ),
    "refuses-when-cut-off": Mutant(
        f"{CONTROLLER}.http_api:ControlApi",
        "__call__",
        answer_conflict_without_quorum,
        ("answered", "refused"),
        "a request that found no quorum is answered as a conflict",
    ),
    "settles-at-once": Mutant(
        f"{CONTROLLER}.voter_bootstrap:",
        "choose_initial_voters",
        choose_voters_at_once,
        ("voters", "live", "kept", "durable", "known"),
        "a first start chooses the controllers that are up as the voters, however few",
    ),
    "keeps-voters": Mutant(
        f"{CONTROLLER}.voter_management:",
        "choose_next_voters",
        always_none,
        ("voters", "live"),
        "the set of voters never changes",
    ),
    "takes-any-number": Mutant(
        f"{CONTROLLER}.operator_requests:OperatorRequests",
        "put",
        acknowledge_conflicts,
        ("single", "refused"),
        "different content under a used configuration number is acknowledged",
    ),
    "acknowledges-from-memory": Mutant(
        f"{CONTROLLER}.endpoint_service:EndpointService",
        "replicate",
        always_true,
        ("known",),
        "the draining of an endpoint is acknowledged without a quorum",
    ),
    "ends-rivals": Mutant(
        "flintreach.endpoints.registry:EndpointRegistry",
        "record_heartbeat",
        end_all_at_address,
        ("ended", "agree"),
        "a delayed first heartbeat of an earlier endpoint ends its successor at the same address",
    ),
    "answers-cut-off": Mutant(
        f"{CONTROLLER}.http_api:ControlApi",
        "refusal",
        always_none,
        ("stale", "evacuated", "kept"),
        "a controller that was suspended or is partitioned answers requests",
    ),
    "done-when-decided": Mutant(
        "flintreach.consensus.reconfiguration:Reconfiguration",
        "announce",
        always_true,
        ("live",),
        "a change of voters completes when only its proposer knows of it",
    ),
    "never-forgets": Mutant(
        "flintreach.dissemination.versioned_store:VersionedStore",
        "expire",
        never_expire,
        ("forgotten",),
        "tombstones never expire",
    ),
}


def target_object(mutant: Mutant) -> Any:
    """Return the class or module whose function a mutant replaces."""
    module_name, _, class_name = mutant.target.partition(":")
    module = importlib.import_module(module_name)
    return getattr(module, class_name) if class_name else module


def is_applicable(name: str) -> bool:
    """Whether the code has the function or safeguard that a mutant disables.

    Raises:
        KeyError: the mutant does not exist.
    """
    mutant = MUTANTS[name]
    if name == "takes-any-number":
        return hasattr(configuration_history, "PutOutcome")
    if name == "ends-rivals":
        return hasattr(importlib.import_module("flintreach.endpoints.registry"), "DrainRank")
    return hasattr(target_object(mutant), mutant.name)


@contextlib.contextmanager
def mutant_applied(name: str) -> Iterator[None]:
    """Apply a mutant to the code; an empty `name` leaves the code unchanged.

    Raises:
        KeyError: the mutant does not exist.
    """
    if not name:
        yield
        return
    mutant = MUTANTS[name]
    target = target_object(mutant)
    replacement = mutant.make_replacement(getattr(target, mutant.name))
    with mock.patch.object(target, mutant.name, replacement):
        yield
