"""Model checker for voter changes: a breadth-first search whose steps are one request and its answer.

Nodes run the production `Register` (`prepare`, `accept`, `check_epoch`, `adopt`, `update_voting`), which is
loaded with a state and read back; attempts run the production `Proposal`. A request that is never delivered
models a lost message, and an actor that takes no further step models a failed proposer. After each step the
values that every quorum would read are checked.
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
    """Incarnation of the disk that a node starts with."""
    return f"{name}0"


def second_incarnation(name: str) -> str:
    """Incarnation of the disk that a node has after losing the first."""
    return f"{name}1"


def single(epoch: int, names: Iterable[str]) -> Voters:
    """A configuration of a single set, with first disks."""
    return Voters(epoch, tuple((ADDRESSES[name], first_incarnation(name)) for name in names))


def joint_configuration(voters: Voters, names: Iterable[str]) -> Voters:
    """The joint configuration of the current voters and a new set."""
    return Voters(voters.epoch + 1, voters.old, single(0, names).old)


class Node(NamedTuple):
    """A process with a disk.

    Attributes:
        recovered: for a wiped disk, (name, slots) of the voters that it has asked in its epoch.
    """

    voters: Voters
    incarnation: str
    promises_known: bool = True
    slots: tuple[SlotRow, ...] = ()
    recovered: tuple[tuple[str, tuple[SlotRow, ...]], ...] = ()


class Attempt(NamedTuple):
    """A `Proposal`, represented by the answers that it received.

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
        """Incarnations that promised, by name of the node."""
        return {name: incarnation for name, incarnation, _, _ in self.promises}


class Actor(NamedTuple):
    """A proposer.

    Attributes:
        kind: a lower-case letter writes that letter once; "P" and "Q" change the voters; the index of a node
            records that node's new disk.
        attempts_left: number of attempts that it may still start.
    """

    kind: str
    voters: Voters
    round: int = 0
    attempts_left: int = 2
    attempt: Attempt | None = None
    finished: bool = False

    @property
    def changes_voters(self) -> bool:
        """Whether the actor changes the voters to its goal."""
        return self.kind in "PQ"

    @property
    def records_disk(self) -> bool:
        """Whether the actor records a node's new disk."""
        return self.kind.isdigit()


class State(NamedTuple):
    """Nodes, actors, the writes acknowledged and configurations decided so far, and remaining disk losses."""

    nodes: tuple[Node, ...]
    actors: tuple[Actor, ...]
    acknowledged: str = ""
    decided: tuple[Voters, ...] = ()
    wipes: int = 0


def slot_rows(slots: dict[str, Slot]) -> tuple[SlotRow, ...]:
    """Convert slots to hashable rows."""
    return tuple(sorted((key, slot.promised, slot.accepted, slot.value) for key, slot in slots.items()))


def slots_of(rows: Iterable[SlotRow]) -> dict[str, Slot]:
    """Convert hashable rows back to slots."""
    return {key: Slot(promised, accepted, value) for key, promised, accepted, value in rows}


def replaced(items: tuple, index: int, item: Any) -> tuple:
    """A copy of a tuple with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])


def isolated_register(register_class: type[Register], name: str) -> Register:
    """A register that sends no messages, on a disk on which every write succeeds."""
    runtime = SimpleNamespace(lock=contextlib.nullcontext, now=lambda: 0.0)
    peer_pool = SimpleNamespace(address=ADDRESSES[name], handlers={}, runtime=runtime)
    store = SimpleNamespace(incarnation="", voting=False, slots={}, facts={}, persist=lambda *_: True)
    return register_class(peer_pool, Voters(), store)


class Model:
    """The state graph of one scenario.

    Its slow methods depend only on their arguments and are cached.
    """

    def __init__(
        self,
        start: str,
        target: str,
        actors: str,
        wipes: int = 0,
        register: type[Register] = Register,
        rewrite_keys: bool = True,
        record_incarnation: bool = True,
        goals: dict[str, str] | None = None,
        attempts: int = 2,
        rounds: dict[str, int] | None = None,
    ) -> None:
        """Set up the initial state.

        Args:
            start: names of the initial voters.
            target: names of the voters that "P" and "Q" establish.
            actors: kinds of the actors, one character each.
            wipes: number of disks that are lost.
            register: the class that the nodes run.
            rewrite_keys: whether the key is read before the new set is decided.
            record_incarnation: whether a wiped disk's new incarnation is recorded before it recovers.
            goals: targets by actor, in place of `target`.
            attempts: number of attempts that each actor may start.
            rounds: the round after which an actor's ballots start, if not 0.
        """
        self.rewrite_keys = rewrite_keys
        self.record_incarnation = record_incarnation
        self.goals = goals or {}
        self.target = target
        self.names = sorted({*start, *target, *itertools.chain.from_iterable(self.goals.values())})
        self.registers = {name: isolated_register(register, name) for name in self.names}
        self.initial_state = self.make_initial_state(start, actors, wipes, attempts, rounds or {})
        self.deliver = lru_cache(None)(self.deliver)
        self.proposal = lru_cache(None)(self.proposal)
        self.would_vote_in = lru_cache(None)(self.would_vote_in)
        self.find_fault = lru_cache(None)(self.find_fault)

    def make_initial_state(
        self, start: str, actors: str, wipes: int, attempts: int, rounds: dict[str, int]
    ) -> State:
        """The state in which all disks are empty and the initial configuration is decided."""
        voters = single(1, start)
        nodes = tuple(
            Node(voters, first_incarnation(name), promises_known=name in start) for name in self.names
        )
        first_actors = tuple(
            Actor(kind, voters, rounds.get(kind, 0), 0 if kind.isdigit() else attempts) for kind in actors
        )
        return State(nodes, first_actors, decided=(voters,), wipes=wipes)

    # Conversion between the model and the production classes.

    def load(self, name: str, node: Node) -> Register:
        """The node's register, loaded with the node's state."""
        register = self.registers[name]
        register.store.incarnation = node.incarnation
        register.acceptor.incarnation = node.incarnation
        register.voters = node.voters
        register.promises_known = node.promises_known
        register.acceptor.voting = node.promises_known
        register.acceptor.slots = slots_of(node.slots)
        register.update_voting()
        return register

    def save(self, register: Register, node: Node, recovered: tuple) -> Node:
        """A copy of the node with its register's state."""
        return node._replace(
            voters=register.voters,
            promises_known=register.promises_known,
            slots=slot_rows(register.acceptor.slots),
            recovered=recovered,
        )

    def deliver(
        self, name: str, node: Node, request: PrepareRequest | AcceptRequest, voters: Voters
    ) -> tuple[Node, AcceptorAnswer | EpochMismatch]:
        """Deliver a request as `resolve_mismatch` does: a node in an earlier epoch first adopts `voters`."""
        register = self.load(name, node)
        handle = register.prepare if isinstance(request, PrepareRequest) else register.accept
        answer = handle(request)
        if isinstance(answer, EarlierEpoch):
            register.adopt(voters)
            answer = handle(request)
        recovered = node.recovered if register.voters == node.voters else ()
        return self.save(register, node, recovered), answer

    def proposal(self, kind: str, attempt: Attempt) -> Proposal:
        """A `Proposal` that has received the attempt's answers."""
        proposal = Proposal(attempt.voters.is_quorum, attempt.ballot, self.change_function(kind, attempt))
        for name, incarnation, accepted, value in attempt.promises:
            proposal.record_promise(ADDRESSES[name], incarnation, accepted, value)
        for name in attempt.acceptances:
            proposal.record_acceptance(ADDRESSES[name])
        return proposal

    def change_function(self, kind: str, attempt: Attempt) -> Any:
        """The change function of an actor's attempt."""
        if attempt.key == VOTERS_KEY:
            known = attempt.voters
            desired_voters = self.desired_voters(kind, known)
            return lambda voters: None if voters and voters.epoch > known.epoch else desired_voters
        if kind in "PQ":
            return lambda text: None
        return lambda text: (text or "") + kind

    def desired_voters(self, kind: str, known: Voters) -> Voters:
        """The configuration that an actor proposes as the successor of the one that it knows."""
        if kind.isdigit():
            name = self.names[int(kind)]
            return known.with_incarnation(ADDRESSES[name], second_incarnation(name))
        if known.joint:
            return Voters(known.epoch + 1, known.new)
        return joint_configuration(known, self.goals.get(kind, self.target))

    # Transitions.

    def successors(self, state: State) -> Iterator[State]:
        """All states that are one step away."""
        for number, actor in enumerate(state.actors):
            if actor.finished:
                continue
            if actor.attempt is not None:
                yield from self.next_requests(state, number)
            elif actor.attempts_left:
                yield self.with_actor(state, number, self.start_attempt(actor))
        for index, name in enumerate(self.names):
            yield from self.next_disk_events(state, index, name)

    def next_requests(self, state: State, number: int) -> Iterator[State]:
        """The states after delivering each of an actor's pending requests."""
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
        """The state with one actor replaced."""
        return state._replace(actors=replaced(state.actors, number, actor))

    def start_attempt(self, actor: Actor) -> Actor:
        """The actor after starting a new attempt."""
        if actor.changes_voters:
            writes_data = self.rewrite_keys and actor.voters.joint
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
        """The state after a node has handled an actor's request and the actor has received the answer."""
        name = self.names[index]
        voters = state.actors[number].attempt.voters
        node, answer = self.deliver(name, state.nodes[index], request, voters)
        actor = self.apply_answer(state.actors[number], name, node, answer)
        state = self.with_actor(state._replace(nodes=replaced(state.nodes, index, node)), number, actor)
        return self.after_attempt(state, number) if actor.attempt else state

    def apply_answer(
        self, actor: Actor, name: str, node: Node, answer: AcceptorAnswer | EpochMismatch
    ) -> Actor:
        """The actor after receiving a node's answer."""
        attempt = actor.attempt
        if isinstance(answer, LaterEpoch):
            return self.move_to_epoch(actor, node.voters)
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

    def move_to_epoch(self, actor: Actor, voters: Voters) -> Actor:
        """The actor after learning of a later epoch: its attempt ends, and it may start another."""
        finished = not actor.attempts_left or (
            actor.changes_voters and not voters.joint and self.has_reached_goal(actor, voters)
        )
        return actor._replace(voters=voters, attempt=None, finished=finished)

    def has_reached_goal(self, actor: Actor, voters: Voters) -> bool:
        """Whether a configuration has the voters that an actor is to establish."""
        goal = self.goals.get(actor.kind, self.target)
        return {ADDRESSES[name] for name in goal} == {*voters.members()}

    def after_attempt(self, state: State, number: int) -> State:
        """The state after a completed attempt; the same state if the attempt isn't complete."""
        actor = state.actors[number]
        attempt = actor.attempt
        proposal = self.proposal(actor.kind, attempt)
        if proposal.state != ProposalState.DONE:
            return state
        if attempt.key == DATA_KEY and not actor.changes_voters:
            state = self.with_actor(state, number, actor._replace(attempt=None, finished=True))
            return state._replace(acknowledged="".join(sorted({*state.acknowledged, actor.kind})))
        if attempt.key == DATA_KEY:  # the key was rewritten: next, decide the new set
            ballot = actor.round + 1, actor.kind
            next_attempt = Attempt(VOTERS_KEY, actor.voters, ballot)
            return self.with_actor(state, number, actor._replace(round=actor.round + 1, attempt=next_attempt))
        voters = proposal.value
        decided = tuple(sorted({*state.decided, voters}, key=repr))
        return self.with_actor(state._replace(decided=decided), number, self.after_decision(actor, voters))

    def after_decision(self, actor: Actor, voters: Voters) -> Actor:
        """The actor after the configuration that it proposed was decided."""
        if actor.records_disk:
            name = self.names[int(actor.kind)]
            recorded = voters.incarnations(ADDRESSES[name]) == {second_incarnation(name)}
            return actor._replace(voters=voters, attempt=None, finished=not actor.attempts_left or recorded)
        return actor._replace(
            voters=voters,
            attempt=None,
            attempts_left=max(1, actor.attempts_left),
            finished=not voters.joint and self.has_reached_goal(actor, voters),
        )

    # Disk loss and recovery.

    def next_disk_events(self, state: State, index: int, name: str) -> Iterator[State]:
        """The states after a voter loses its disk, or asks another voter for what it may have promised."""
        node = state.nodes[index]
        has_first_disk = node.incarnation == first_incarnation(name)
        if state.wipes and node.voters.incarnations(ADDRESSES[name]) and has_first_disk:
            yield self.wipe(state, index, name)
        if node.promises_known or has_first_disk:
            return
        for other_index, other_name in enumerate(self.names):
            other = state.nodes[other_index]
            if other_name == name or not other.voters.epoch:
                continue
            if all(other_name != asked for asked, _ in node.recovered):
                yield self.after_recovery_from(state, index, other_index)

    def wipe(self, state: State, index: int, name: str) -> State:
        """The state after a node's disk was replaced by an empty one; the actor that records it may start."""
        node = state.nodes[index]
        fresh = Node(Voters(), second_incarnation(name), promises_known=False)
        actors = tuple(
            actor._replace(voters=node.voters, attempts_left=2) if actor.kind == str(index) else actor
            for actor in state.actors
        )
        return state._replace(nodes=replaced(state.nodes, index, fresh), wipes=0, actors=actors)

    def after_recovery_from(self, state: State, index: int, other_index: int) -> State:
        """The state after a wiped node has got another's slots, with both in the later of their epochs."""
        other_name = self.names[other_index]
        node = state.nodes[index]
        other = state.nodes[other_index]
        nodes = state.nodes
        if other.voters.epoch > node.voters.epoch:
            node = node._replace(voters=other.voters, recovered=())
        elif other.voters.epoch < node.voters.epoch:
            register = self.load(other_name, other)
            register.adopt(node.voters)
            other = self.save(register, other, recovered=())
            nodes = replaced(nodes, other_index, other)
        is_member = ADDRESSES[other_name] in node.voters.members()
        if is_member and self.would_vote_in(other_name, other, other.voters):
            recovered = tuple(sorted((*node.recovered, (other_name, other.slots))))
            node = node._replace(recovered=recovered)
        if self.can_start_voting(self.names[index], node):
            slots = merge_slots([slots_of(rows) for _, rows in node.recovered])
            node = node._replace(promises_known=True, recovered=(), slots=slot_rows(slots))
        return state._replace(nodes=replaced(nodes, index, node))

    def can_start_voting(self, name: str, node: Node) -> bool:
        """Whether a wiped node's incarnation is recorded and enough voters have given it their slots."""
        recorded = node.voters.incarnations(ADDRESSES[name])
        allowed = (
            {node.incarnation} if self.record_incarnation else {node.incarnation, first_incarnation(name)}
        )
        if not recorded or not recorded <= allowed:
            return False
        asked = [ADDRESSES[other_name] for other_name, _ in node.recovered]
        return node.voters.is_recovery_quorum(ADDRESSES[name], asked)

    # Invariants.

    def would_vote_in(self, name: str, node: Node, voters: Voters) -> bool:
        """Whether a node's answers would count after it has adopted a configuration."""
        register = self.load(name, node)
        register.adopt(voters)
        return register.acceptor.voting

    def find_fault(self, nodes: tuple[Node, ...], acknowledged: str, decided: tuple[Voters, ...]) -> str:
        """Describe the violated invariant of a state, "" if none is violated.

        Every later read includes all acknowledged writes. An epoch can no longer decide anything once another
        one was decided that does not share a set of voters with it.
        """
        latest = max(voters.epoch for voters in decided)
        if len({voters.epoch for voters in decided}) < len(decided):
            return "two configurations of one epoch"
        for voters in decided:
            active = [
                (ADDRESSES[name], node)
                for name, node in zip(self.names, nodes)
                if node.voters.epoch <= voters.epoch
                and ADDRESSES[name] in voters.members()
                and self.would_vote_in(name, node, voters)
            ]
            if voters.epoch < latest - 1 and voters.is_quorum(address for address, _ in active):
                return f"epoch {voters.epoch} can still decide beside epoch {latest}"
            fault = self.find_read_fault(voters, active, acknowledged)
            if fault:
                return fault
        return ""

    def find_read_fault(self, voters: Voters, active: list[tuple[Address, Node]], acknowledged: str) -> str:
        """Describe a quorum of an epoch that would read a value without an acknowledged write, or ""."""
        for size in range(1, len(active) + 1):
            for group in itertools.combinations(active, size):
                if not voters.is_quorum(address for address, _ in group):
                    continue
                rows = [row for _, node in group for row in node.slots if row[0] == DATA_KEY]
                _, _, _, value = max(rows, key=lambda row: row[2], default=("", 0, 0, None))
                if not set(acknowledged) <= set(value or ""):
                    return f"epoch {voters.epoch}: {value!r} is read though {acknowledged!r} was acknowledged"
        return ""

    def explore(self, limit: int = MAX_STATES) -> tuple[int, str, set[tuple[int, str]]]:
        """Explore all reachable states.

        Args:
            limit: maximum number of states.

        Returns:
            The number of states, the first fault or "", and (last decided epoch, acknowledged writes) of each
            explored state.
        """
        visited = {self.initial_state}
        layer = [self.initial_state]
        outcomes: set[tuple[int, str]] = set()
        while layer:
            next_layer = []
            for state in layer:
                fault = self.find_fault(state.nodes, state.acknowledged, state.decided)
                if fault:
                    return len(visited), fault, outcomes
                outcomes.add((state.decided[-1].epoch, state.acknowledged))
                for successor in self.successors(state):
                    if successor not in visited:
                        visited.add(successor)
                        next_layer.append(successor)
                if len(visited) > limit:
                    return len(visited), "too many states", outcomes
            layer = next_layer
        return len(visited), "", outcomes
