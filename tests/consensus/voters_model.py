"""The changes of voters as a graph of states, walked breadth first: each step is one request and its answer.

Nodes are the shipped `Register` (its `prepare`, `accept`, `check_epoch`, `adopt`, `update_voting`), loaded
with a state and read back; attempts are the shipped `Proposal`. What is never delivered is lost; a proposer
that takes no further step has died. After each step it is asked what every quorum would read.
"""

import contextlib
import itertools
from collections.abc import Iterable, Iterator
from functools import lru_cache
from types import SimpleNamespace
from typing import Any, NamedTuple

from flintreach.consensus.acceptor import Slot, Verdict, merge_slots
from flintreach.consensus.messages import (
    AcceptorAnswer,
    AcceptRequest,
    EarlierEpoch,
    EpochMismatch,
    LaterEpoch,
    PrepareRequest,
)
from flintreach.consensus.proposer import Proposal, ProposalState
from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.register import Register

ADDRESSES: dict[str, Address] = {name: (name, 7) for name in "abcd"}
DATA_KEY = "k"
VOTERS_KEY = "voters"
MAX_STATES = 2_000_000

SlotRow = tuple[str, tuple, tuple, Any]  # key, promised, accepted, value


def first_incarnation(name: str) -> str:
    """The disk that a node starts with."""
    return f"{name}0"


def second_incarnation(name: str) -> str:
    """The disk that a node has after it lost the first."""
    return f"{name}1"


def single(epoch: int, names: Iterable[str]) -> Voters:
    """A configuration of one set, with their first disks."""
    return Voters(epoch, tuple((ADDRESSES[name], first_incarnation(name)) for name in names))


def joint(voters: Voters, names: Iterable[str]) -> Voters:
    """The joint configuration that leads to a set."""
    return Voters(voters.epoch + 1, voters.old, single(0, names).old)


class Node(NamedTuple):
    """A process with a disk.

    Attributes:
        relearned: of a wiped disk: (name, slots) of others that it has asked under its epoch.
    """

    voters: Voters
    incarnation: str
    trusted: bool = True
    slots: tuple[SlotRow, ...] = ()
    relearned: tuple[tuple[str, tuple[SlotRow, ...]], ...] = ()


class Attempt(NamedTuple):
    """A `Proposal` by the answers that it got.

    Attributes:
        promises: (name, incarnation, accepted ballot, value) of each node that promised.
        acceptances: names of the nodes that accepted.
    """

    key: str
    voters: Voters
    ballot: tuple[int, str]
    promises: tuple[tuple[str, str, tuple, Any], ...] = ()
    acceptances: tuple[str, ...] = ()

    @property
    def incarnations(self) -> dict[str, str]:
        """The disks that promised, by name of the node."""
        return {name: incarnation for name, incarnation, _, _ in self.promises}


class Actor(NamedTuple):
    """One who proposes.

    Attributes:
        kind: a small letter writes that letter once; "P" and "Q" change the voters; the number of a node
            records that node's new disk.
        attempts_left: attempts that it may still begin.
    """

    kind: str
    voters: Voters
    round: int = 0
    attempts_left: int = 2
    attempt: Attempt | None = None
    finished: bool = False

    @property
    def changes_voters(self) -> bool:
        """Whether it leads the voters to a goal."""
        return self.kind in "PQ"

    @property
    def records_disk(self) -> bool:
        """Whether it records a node's new disk."""
        return self.kind.isdigit()


class State(NamedTuple):
    """All nodes and actors, what was acknowledged and decided so far, and how many disks may be lost."""

    nodes: tuple[Node, ...]
    actors: tuple[Actor, ...]
    acknowledged: str = ""
    decided: tuple[Voters, ...] = ()
    wipes: int = 0


def slot_rows(slots: dict[str, Slot]) -> tuple[SlotRow, ...]:
    """Slots in a form that can be hashed."""
    return tuple(sorted((key, slot.promised, slot.accepted, slot.value) for key, slot in slots.items()))


def slots_of(rows: Iterable[SlotRow]) -> dict[str, Slot]:
    """Slots from the form that can be hashed."""
    return {key: Slot(promised, accepted, value) for key, promised, accepted, value in rows}


def replaced(items: tuple, index: int, item: Any) -> tuple:
    """A tuple with one item exchanged."""
    return (*items[:index], item, *items[index + 1 :])


def idle_register(register_class: type[Register], name: str) -> Register:
    """A register that sends nothing, on a disk that takes all."""
    runtime = SimpleNamespace(lock=contextlib.nullcontext, now=lambda: 0.0)
    peer_pool = SimpleNamespace(address=ADDRESSES[name], handlers={}, runtime=runtime)
    store = SimpleNamespace(incarnation="", voting=False, slots={}, facts={}, persist=lambda *_: True)
    return register_class(peer_pool, Voters(), store)


class Model:
    """The graph of states from one start.

    Its slow functions depend on their arguments alone and are cached.
    """

    def __init__(
        self,
        start: str,
        target: str,
        actors: str,
        wipes: int = 0,
        register: type[Register] = Register,
        rewrite: bool = True,
        renew: bool = True,
        goals: dict[str, str] | None = None,
        retries: int = 2,
        rounds: dict[str, int] | None = None,
    ) -> None:
        """Set up the first state.

        Args:
            start: names of the first voters.
            target: names of the voters to which "P" and "Q" lead.
            actors: the kind of each actor, a letter or number each.
            wipes: how many disks are lost.
            register: the class that the nodes run.
            rewrite: whether the key is read before the new set is alone.
            renew: whether a lost disk's new incarnation is recorded before it relearns.
            goals: targets by actor, in place of `target`.
            retries: attempts that each actor may begin.
            rounds: from where an actor's ballots count, if not from 0.
        """
        self.rewrite = rewrite
        self.renew = renew
        self.goals = goals or {}
        self.target = target
        self.names = sorted({*start, *target, *itertools.chain.from_iterable(self.goals.values())})
        self.registers = {name: idle_register(register, name) for name in self.names}
        self.first_state = self.make_first_state(start, actors, wipes, retries, rounds or {})
        self.deliver = lru_cache(None)(self.deliver)
        self.proposal = lru_cache(None)(self.proposal)
        self.would_vote = lru_cache(None)(self.would_vote)
        self.fault = lru_cache(None)(self.fault)

    def make_first_state(
        self, start: str, actors: str, wipes: int, retries: int, rounds: dict[str, int]
    ) -> State:
        """All disks are empty, and the first configuration is decided."""
        voters = single(1, start)
        nodes = tuple(Node(voters, first_incarnation(name), trusted=name in start) for name in self.names)
        first_actors = tuple(
            Actor(kind, voters, rounds.get(kind, 0), 0 if kind.isdigit() else retries) for kind in actors
        )
        return State(nodes, first_actors, decided=(voters,), wipes=wipes)

    # Between the model and the shipped classes.

    def load(self, name: str, node: Node) -> Register:
        """The node's register, in the node's state."""
        register = self.registers[name]
        register.store.incarnation = node.incarnation
        register.acceptor.incarnation = node.incarnation
        register.voters = node.voters
        register.promises_known = node.trusted
        register.acceptor.voting = node.trusted
        register.acceptor.slots = slots_of(node.slots)
        register.update_voting()
        return register

    def saved(self, register: Register, node: Node, relearned: tuple) -> Node:
        """The node with its register's state."""
        return node._replace(
            voters=register.voters,
            trusted=register.promises_known,
            slots=slot_rows(register.acceptor.slots),
            relearned=relearned,
        )

    def deliver(
        self, name: str, node: Node, request: PrepareRequest | AcceptRequest, voters: Voters
    ) -> tuple[Node, AcceptorAnswer | EpochMismatch]:
        """A request at a node, after `resolve_mismatch`: a node that is behind first adopts `voters`."""
        register = self.load(name, node)
        handle = register.prepare if isinstance(request, PrepareRequest) else register.accept
        answer = handle(request)
        if isinstance(answer, EarlierEpoch):
            register.adopt(voters)
            answer = handle(request)
        relearned = node.relearned if register.voters == node.voters else ()
        return self.saved(register, node, relearned), answer

    def proposal(self, kind: str, attempt: Attempt) -> Proposal:
        """The attempt as a `Proposal` that got the same answers."""
        proposal = Proposal(attempt.voters.is_quorum, attempt.ballot, self.step(kind, attempt))
        for name, incarnation, accepted, value in attempt.promises:
            proposal.record_promise(ADDRESSES[name], incarnation, accepted, value)
        for name in attempt.acceptances:
            proposal.record_acceptance(ADDRESSES[name])
        return proposal

    def step(self, kind: str, attempt: Attempt) -> Any:
        """What an actor wants to write."""
        if attempt.key == VOTERS_KEY:
            known = attempt.voters
            wish = self.wish(kind, known)
            return lambda voters: None if voters and voters.epoch > known.epoch else wish
        if kind in "PQ":
            return lambda text: None
        return lambda text: (text or "") + kind

    def wish(self, kind: str, known: Voters) -> Voters:
        """The configuration that an actor proposes after the one that it knows."""
        if kind.isdigit():
            name = self.names[int(kind)]
            return known.with_incarnation(ADDRESSES[name], second_incarnation(name))
        if known.joint:
            return Voters(known.epoch + 1, known.new)
        return joint(known, self.goals.get(kind, self.target))

    # What may happen next.

    def successors(self, state: State) -> Iterator[State]:
        """All states that one step leads to."""
        for number, actor in enumerate(state.actors):
            if actor.finished:
                continue
            if actor.attempt is not None:
                yield from self.after_requests(state, number)
            elif actor.attempts_left:
                yield self.with_actor(state, number, self.begun(actor))
        for index, name in enumerate(self.names):
            yield from self.after_disk_events(state, index, name)

    def after_requests(self, state: State, number: int) -> Iterator[State]:
        """An actor's next requests, each delivered."""
        actor = state.actors[number]
        attempt = actor.attempt
        proposal = self.proposal(actor.kind, attempt)
        epoch = attempt.voters.epoch
        for index, name in enumerate(self.names):
            if ADDRESSES[name] not in attempt.voters.members():
                continue
            if proposal.state == ProposalState.PREPARE and name not in attempt.incarnations:
                request = PrepareRequest(attempt.key, attempt.ballot, epoch)
                yield self.after_request(state, number, index, request)
            elif proposal.state == ProposalState.ACCEPT and name not in attempt.acceptances:
                incarnation = attempt.incarnations.get(name, first_incarnation(name))
                request = AcceptRequest(attempt.key, attempt.ballot, proposal.value, incarnation, epoch)
                yield self.after_request(state, number, index, request)

    def with_actor(self, state: State, number: int, actor: Actor) -> State:
        """The state with one actor exchanged."""
        return state._replace(actors=replaced(state.actors, number, actor))

    def begun(self, actor: Actor) -> Actor:
        """The actor with a new attempt."""
        if actor.changes_voters:
            writes_data = self.rewrite and actor.voters.joint
        else:
            writes_data = actor.kind.islower()
        key = DATA_KEY if writes_data else VOTERS_KEY
        return actor._replace(
            round=actor.round + 1,
            attempts_left=actor.attempts_left - 1,
            attempt=Attempt(key, actor.voters, (actor.round + 1, actor.kind)),
        )

    def after_request(
        self, state: State, number: int, index: int, request: PrepareRequest | AcceptRequest
    ) -> State:
        """The state after one request of an actor was delivered to a node, and its answer to the actor."""
        name = self.names[index]
        voters = state.actors[number].attempt.voters
        node, answer = self.deliver(name, state.nodes[index], request, voters)
        actor = self.answered(state.actors[number], name, node, answer)
        state = self.with_actor(state._replace(nodes=replaced(state.nodes, index, node)), number, actor)
        return self.after_attempt(state, number) if actor.attempt else state

    def answered(self, actor: Actor, name: str, node: Node, answer: AcceptorAnswer | EpochMismatch) -> Actor:
        """The actor after a node's answer."""
        attempt = actor.attempt
        if isinstance(answer, LaterEpoch):
            return self.moved(actor, node.voters)
        if isinstance(answer, EarlierEpoch):
            return actor
        if answer.verdict == Verdict.PROMISE:
            promise = (name, answer.incarnation, answer.slot.accepted, answer.slot.value)
            promises = tuple(sorted((*attempt.promises, promise), key=lambda row: row[0]))
            return actor._replace(attempt=attempt._replace(promises=promises))
        if answer.verdict == Verdict.ACCEPTED:
            acceptances = tuple(sorted((*attempt.acceptances, name)))
            return actor._replace(attempt=attempt._replace(acceptances=acceptances))
        if answer.verdict == Verdict.REFUSED:
            highest_round = max(actor.round, answer.slot.promised[0])
            return actor._replace(attempt=None, round=highest_round, finished=not actor.attempts_left)
        return actor

    def moved(self, actor: Actor, voters: Voters) -> Actor:
        """The actor in a later epoch: its attempt is over, and is begun anew under that."""
        finished = not actor.attempts_left or (
            actor.changes_voters and not voters.joint and self.reached(actor, voters)
        )
        return actor._replace(voters=voters, attempt=None, finished=finished)

    def reached(self, actor: Actor, voters: Voters) -> bool:
        """Whether a configuration has the voters to which an actor leads."""
        goal = self.goals.get(actor.kind, self.target)
        return {ADDRESSES[name] for name in goal} == {*voters.members()}

    def after_attempt(self, state: State, number: int) -> State:
        """What follows an attempt that is done; the same state if it isn't."""
        actor = state.actors[number]
        attempt = actor.attempt
        proposal = self.proposal(actor.kind, attempt)
        if proposal.state != ProposalState.DONE:
            return state
        if attempt.key == DATA_KEY and not actor.changes_voters:
            state = self.with_actor(state, number, actor._replace(attempt=None, finished=True))
            return state._replace(acknowledged="".join(sorted({*state.acknowledged, actor.kind})))
        if attempt.key == DATA_KEY:  # written once more: the new set alone is next
            ballot = actor.round + 1, actor.kind
            next_attempt = Attempt(VOTERS_KEY, actor.voters, ballot)
            return self.with_actor(state, number, actor._replace(round=actor.round + 1, attempt=next_attempt))
        voters = proposal.value
        decided = tuple(sorted({*state.decided, voters}, key=repr))
        return self.with_actor(state._replace(decided=decided), number, self.after_decision(actor, voters))

    def after_decision(self, actor: Actor, voters: Voters) -> Actor:
        """The actor after a configuration was decided at its proposal."""
        if actor.records_disk:
            name = self.names[int(actor.kind)]
            recorded = voters.incarnations(ADDRESSES[name]) == {second_incarnation(name)}
            return actor._replace(voters=voters, attempt=None, finished=not actor.attempts_left or recorded)
        return actor._replace(
            voters=voters,
            attempt=None,
            attempts_left=max(1, actor.attempts_left),
            finished=not voters.joint and self.reached(actor, voters),
        )

    # Disks that are lost.

    def after_disk_events(self, state: State, index: int, name: str) -> Iterator[State]:
        """A voter loses its disk, and asks the others for what it had promised."""
        node = state.nodes[index]
        has_first_disk = node.incarnation == first_incarnation(name)
        if state.wipes and node.voters.incarnations(ADDRESSES[name]) and has_first_disk:
            yield self.wiped(state, index, name)
        if node.trusted or has_first_disk:
            return
        for other_index, other_name in enumerate(self.names):
            other = state.nodes[other_index]
            if other_name == name or not other.voters.epoch:
                continue
            if all(other_name != asked for asked, _ in node.relearned):
                yield self.after_relearning_from(state, index, other_index)

    def wiped(self, state: State, index: int, name: str) -> State:
        """A node has another disk, an empty one; whoever is to record that may begin."""
        node = state.nodes[index]
        fresh = Node(Voters(), second_incarnation(name), trusted=False)
        actors = tuple(
            actor._replace(voters=node.voters, attempts_left=2) if actor.kind == str(index) else actor
            for actor in state.actors
        )
        return state._replace(nodes=replaced(state.nodes, index, fresh), wipes=0, actors=actors)

    def after_relearning_from(self, state: State, index: int, other_index: int) -> State:
        """A wiped node has asked another for its slots, after both came to the later epoch of the two."""
        other_name = self.names[other_index]
        node = state.nodes[index]
        other = state.nodes[other_index]
        nodes = state.nodes
        if other.voters.epoch > node.voters.epoch:
            node = node._replace(voters=other.voters, relearned=())
        elif other.voters.epoch < node.voters.epoch:
            register = self.load(other_name, other)
            register.adopt(node.voters)
            other = self.saved(register, other, relearned=())
            nodes = replaced(nodes, other_index, other)
        is_member = ADDRESSES[other_name] in node.voters.members()
        if is_member and self.would_vote(other_name, other, other.voters):
            relearned = tuple(sorted((*node.relearned, (other_name, other.slots))))
            node = node._replace(relearned=relearned)
        if self.knows_enough(self.names[index], node):
            slots = merge_slots([slots_of(rows) for _, rows in node.relearned])
            node = node._replace(trusted=True, relearned=(), slots=slot_rows(slots))
        return state._replace(nodes=replaced(nodes, index, node))

    def knows_enough(self, name: str, node: Node) -> bool:
        """Whether a wiped node is recorded and has asked enough others to vote."""
        recorded = node.voters.incarnations(ADDRESSES[name])
        allowed = {node.incarnation} if self.renew else {node.incarnation, first_incarnation(name)}
        if not recorded or not recorded <= allowed:
            return False
        asked = [ADDRESSES[other_name] for other_name, _ in node.relearned]
        return node.voters.is_recovery_quorum(ADDRESSES[name], asked)

    # What must hold.

    def would_vote(self, name: str, node: Node, voters: Voters) -> bool:
        """Whether a node's answers count once it has adopted a configuration."""
        register = self.load(name, node)
        register.adopt(voters)
        return register.acceptor.voting

    def fault(self, nodes: tuple[Node, ...], acknowledged: str, decided: tuple[Voters, ...]) -> str:
        """What is wrong with a state, or "".

        What was acknowledged is in every later read; those that can still act for an epoch are no quorum of
        it once another that shares none with it was decided.
        """
        latest = max(voters.epoch for voters in decided)
        if len({voters.epoch for voters in decided}) < len(decided):
            return "two configurations of one epoch"
        for voters in decided:
            able = [
                (ADDRESSES[name], node)
                for name, node in zip(self.names, nodes)
                if node.voters.epoch <= voters.epoch
                and ADDRESSES[name] in voters.members()
                and self.would_vote(name, node, voters)
            ]
            if voters.epoch < latest - 1 and voters.is_quorum(address for address, _ in able):
                return f"epoch {voters.epoch} can still decide beside epoch {latest}"
            fault = self.fault_of_reads(voters, able, acknowledged)
            if fault:
                return fault
        return ""

    def fault_of_reads(self, voters: Voters, able: list[tuple[Address, Node]], acknowledged: str) -> str:
        """What some quorum of the nodes that can act for an epoch would miss, or ""."""
        for size in range(1, len(able) + 1):
            for group in itertools.combinations(able, size):
                if not voters.is_quorum(address for address, _ in group):
                    continue
                rows = [row for _, node in group for row in node.slots if row[0] == DATA_KEY]
                _, _, _, value = max(rows, key=lambda row: row[2], default=("", 0, 0, None))
                if not set(acknowledged) <= set(value or ""):
                    return f"epoch {voters.epoch}: {value!r} is read though {acknowledged!r} was acknowledged"
        return ""

    def explore(self, limit: int = MAX_STATES) -> tuple[int, str, set[tuple[int, str]]]:
        """Walk all states.

        Args:
            limit: how many states at most.

        Returns:
            How many states were walked, the first fault or "", and (epoch decided last, acknowledged) of each
            state.
        """
        seen = {self.first_state}
        layer = [self.first_state]
        ends: set[tuple[int, str]] = set()
        while layer:
            next_layer = []
            for state in layer:
                fault = self.fault(state.nodes, state.acknowledged, state.decided)
                if fault:
                    return len(seen), fault, ends
                ends.add((state.decided[-1].epoch, state.acknowledged))
                for successor in self.successors(state):
                    if successor not in seen:
                        seen.add(successor)
                        next_layer.append(successor)
                if len(seen) > limit:
                    return len(seen), "too many states", ends
            layer = next_layer
        return len(seen), "", ends
