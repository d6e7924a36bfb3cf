"""Mutants: faults put into the code under simulation on purpose, to see that the trials find them.

Each replaces one function or method and names the invariants by which it may be found.  Those that undo the
care of a later release apply only where the code has it (`applies`).
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
    """One fault that can be put into the code."""

    where: str  # "module:class", or "module:" for a function of the module
    name: str  # of the function or method that is replaced
    make: Callable[[Function], Function]  # gives the replacement of the original
    found_by: tuple[str, ...]  # invariants, one of which must break
    why: str  # what is wrong with it


# Consensus.


def done_at_first_acceptance(record_acceptance: Function) -> Function:
    """A proposal is done when one acceptor has accepted it."""

    def mutant(self: Any, *args: Any) -> None:
        record_acceptance(self, *args)
        if self.state == ProposalState.ACCEPT and self.acceptances:
            self.state = ProposalState.DONE

    return mutant


def read_without_write_back(record_promise: Function) -> Function:
    """A read is done with its promises: it does not have its value accepted by a quorum."""

    def mutant(self: Any, *args: Any) -> None:
        record_promise(self, *args)
        is_read = getattr(self.change_function, "__qualname__", "").startswith("Register.read")
        if self.state == ProposalState.ACCEPT and is_read:
            self.state = ProposalState.DONE

    return mutant


def vote_when_empty(update_voting: Function) -> Function:
    """A disk of the voters' group votes, though it has not learned what it lost."""

    def mutant(self: Any) -> None:
        update_voting(self)
        if self.acceptor:
            self.acceptor.voting = self.peer_pool.address in self.voter_addresses

    return mutant


def forget_promises(accept: Function) -> Function:
    """An acceptor that refuses forgets its promise and accepts after all."""

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
    """A write is acknowledged at once, and goes down only after a while, as without a sync."""

    def mutant(self: Any, *args: Any, **named: Any) -> bool:
        runtime = self.process.runtime
        self.process.sim.call_after(LATE_SYNC_NS, runtime.spawn, lambda: persist(self, *args, **named))
        return True

    return mutant


def choose_voters_at_once(choose_initial_voters: Function) -> Function:
    """The first voters are chosen as if nothing were ever lost."""

    def mutant(disks: Iterable[Any], losses: FailureTolerance, calm_s: float) -> Any:
        return choose_initial_voters(disks, FailureTolerance(), calm_s)

    return mutant


# Dissemination.


def take_older_configuration(offer: Function) -> Function:
    """A versioned store takes a configuration of a lower version in place of its own."""

    def mutant(self: Any, key: str, version: Any, value: Any, *age: float) -> bool:
        if key == CONFIGURATION_KEY and key in self.entries and version < self.entries[key][0]:
            del self.entries[key]
        return offer(self, key, version, value, *age)

    return mutant


def confirm_without_contact(update_age: Function) -> Function:
    """A controller calls its updates fresh once it serves, in contact with a quorum or not."""

    def mutant(self: Any) -> float:
        return min(update_age(self), 0.0) if self.serving else update_age(self)

    return mutant


def never_expire(expire: Function) -> Function:
    """Tombstones are never dropped."""

    def mutant(self: Any, *args: Any) -> None:
        return None

    return mutant


# Leases of key ranges.


def forget_leases(record_commit: Function) -> Function:
    """A new owner takes it that nothing was granted before it."""

    def mutant(self: Any, stored: Allocation, began: float, now: float) -> bool:
        took_over = record_commit(self, stored, began, now)
        if took_over:
            self.last_grant_sent = {}
            self.moves_blocked_until = now
        return took_over

    return mutant


def free_at_once(free_expired: Function) -> Function:
    """A range that leaves its holder is free before the lease is over."""

    def mutant(self: Any, stored: Allocation, now: float, ended: Callable[[str], bool]) -> None:
        for key_range in stored.ranges:
            if key_range.state == RangeState.REVOKING:
                key_range.free("")

    return mutant


# Requests of operators and endpoints.


def answer_conflict_without_quorum(call: Function) -> Function:
    """A put that found no quorum is answered as a conflict, which ends the operator's attempts."""

    def mutant(self: Any, environ: dict[str, Any], start_response: Function) -> list[bytes]:
        def start(status_line: str, headers: list[tuple[str, str]]) -> None:
            unavailable = status_line.startswith("503") and "put" in environ["PATH_INFO"]
            start_response("409 Conflict" if unavailable else status_line, headers)

        return call(self, environ, start)

    return mutant


def acknowledge_conflicts(put: Function) -> Function:
    """Another content under a number that is taken is acknowledged as a repetition."""

    def mutant(self: Any, number: int, body: bytes, *may_proceed: Any) -> Any:
        outcome = put(self, number, body, *may_proceed)
        return PutOutcome.REPEATED if outcome == PutOutcome.CONFLICT else outcome

    return mutant


def end_rivals(record_heartbeat: Function) -> Function:
    """A heartbeat ends all other endpoints at its address, the later ones too."""

    def mutant(self: Any, id: str, heartbeat: Any, now_ns: int, *age_ns: int) -> list[str]:
        changed = record_heartbeat(self, id, heartbeat, now_ns, *age_ns)
        for other in changed:
            if other != id:
                self.records[other].rank = DrainRank.ENDED
        return changed

    return mutant


# Of several.


def always_true(original: Function) -> Function:
    """The answer is yes, and nothing is done for it."""

    def mutant(*args: Any, **named: Any) -> bool:
        return True

    return mutant


def always_none(original: Function) -> Function:
    """The answer is none, and nothing is done for it."""

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
        "a change is done when the first disk has accepted it",
    ),
    "no-write-back": Mutant(
        f"{CONSENSUS}.proposer:Proposal",
        "record_promise",
        read_without_write_back,
        ("kept", "durable"),
        "a read answers what a minority alone may hold",
    ),
    "votes-when-empty": Mutant(
        f"{CONSENSUS}.register:Register",
        "update_voting",
        vote_when_empty,
        ("kept", "durable"),
        "a disk that came back empty votes at once",
    ),
    "forgets-promises": Mutant(
        f"{CONSENSUS}.acceptor:Acceptor",
        "accept",
        forget_promises,
        ("kept", "durable", "evacuated", "single", "refused"),
        "a disk accepts below what it promised",
    ),
    "told-before-synced": Mutant(
        "flintreach.simulation.disk:Store",
        "persist",
        answer_before_sync,
        ("durable", "known", "kept"),
        "a disk says yes before its sync",
    ),
    "board-goes-back": Mutant(
        "flintreach.dissemination.versioned_store:VersionedStore",
        "offer",
        take_older_configuration,
        ("monotonic",),
        "an update of an older configuration takes the place of a newer one",
    ),
    "fresh-without-contact": Mutant(
        f"{CONTROLLER}.control_plane:ControlPlane",
        "update_age",
        confirm_without_contact,
        ("confirmed",),
        "a controller without a quorum confirms its updates as fresh",
    ),
    "forgets-holds": Mutant(
        "flintreach.sharding.range_lease:RangeLeases",
        "record_commit",
        forget_leases,
        ("owner",),
        "a new lease owner does not wait for the end of what the one before it granted",
    ),
    "frees-at-once": Mutant(
        "flintreach.sharding.range_lease:RangeLeases",
        "free_expired",
        free_at_once,
        ("owner",),
        "keys change hands before the lease of their holder is over",
    ),
    "refuses-when-cut-off": Mutant(
        f"{CONTROLLER}.http_api:ControlApi",
        "__call__",
        answer_conflict_without_quorum,
        ("answered", "refused"),
        "a request without a majority is answered as a conflict",
    ),
    "settles-at-once": Mutant(
        f"{CONTROLLER}.voter_management:",
        "choose_initial_voters",
        choose_voters_at_once,
        ("voters", "live", "kept", "durable", "known"),
        "a first start takes whoever is there for the voters",
    ),
    "keeps-voters": Mutant(
        f"{CONTROLLER}.voter_management:",
        "choose_next_voters",
        always_none,
        ("voters", "live"),
        "the voters never change",
    ),
    "takes-any-number": Mutant(
        f"{CONTROLLER}.operator_requests:OperatorRequests",
        "put",
        acknowledge_conflicts,
        ("single", "refused"),
        "a second content under one number is acknowledged",
    ),
    "acknowledges-from-memory": Mutant(
        f"{CONTROLLER}.endpoint_service:EndpointService",
        "replicate",
        always_true,
        ("known",),
        "a closing is acknowledged without a quorum",
    ),
    "ends-rivals": Mutant(
        "flintreach.endpoints.registry:EndpointRegistry",
        "record_heartbeat",
        end_rivals,
        ("ended", "agree"),
        "a late first check-in of an earlier incarnation ends its successor",
    ),
    "answers-cut-off": Mutant(
        f"{CONTROLLER}.http_api:ControlApi",
        "refusal",
        always_none,
        ("stale", "evacuated", "kept"),
        "a controller that was suspended or is partitioned answers",
    ),
    "done-when-decided": Mutant(
        "flintreach.consensus.reconfiguration:Reconfiguration",
        "announce",
        always_true,
        ("live",),
        "a change of voters is done when only its proposer knows of it",
    ),
    "never-forgets": Mutant(
        "flintreach.dissemination.versioned_store:VersionedStore",
        "expire",
        never_expire,
        ("forgotten",),
        "tombstones are never dropped",
    ),
}


def owner_of(mutant: Mutant) -> Any:
    """The class or module whose function a mutant replaces."""
    module_name, _, class_name = mutant.where.partition(":")
    module = importlib.import_module(module_name)
    return getattr(module, class_name) if class_name else module


def applies(name: str) -> bool:
    """Whether the code has what a mutant undoes.

    Raises:
        KeyError: no mutant has this name.
    """
    mutant = MUTANTS[name]
    if name == "takes-any-number":
        return hasattr(configuration_history, "PutOutcome")
    if name == "ends-rivals":
        return hasattr(importlib.import_module("flintreach.endpoints.registry"), "DrainRank")
    return hasattr(owner_of(mutant), mutant.name)


@contextlib.contextmanager
def planted(name: str) -> Iterator[None]:
    """Run the code with a mutant in it; as it is where `name` is empty.

    Raises:
        KeyError: no mutant has this name.
    """
    if not name:
        yield
        return
    mutant = MUTANTS[name]
    owner = owner_of(mutant)
    replacement = mutant.make(getattr(owner, mutant.name))
    with mock.patch.object(owner, mutant.name, replacement):
        yield
