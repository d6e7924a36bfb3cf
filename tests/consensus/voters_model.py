"""The changes of voters as a graph of states, walked breadth first: each step is one question and its answer.

Nodes are the shipped `Register` (its `on_prepare`, `on_accept`, `check`, `adopt`, `settle`), loaded with a
state and read back; attempts are the shipped `Change`. What is never delivered is lost; a proposer that takes
no further step has died. After each step it is asked what every quorum would read.
"""

import contextlib
import itertools
from functools import lru_cache
from types import SimpleNamespace
from typing import NamedTuple

from flintreach.consensus.acceptor import Slot, merged
from flintreach.consensus.proposer import Proposal
from flintreach.consensus.quorum import Voters
from flintreach.consensus.register import Register

NAMES = {name: (name, 7) for name in "abcd"}


def single(epoch, names):
    return Voters(epoch, tuple((NAMES[name], f"{name}0") for name in names))


def joint(voters, names):
    return Voters(voters.epoch + 1, voters.old, single(0, names).old)


class Node(NamedTuple):
    voters: Voters
    life: str
    trusted: bool = True
    slots: tuple = ()  # (key, promised, accepted, value)
    heard: tuple = ()  # of a wiped disk that relearns: (name, slots) of others, under its epoch


class Attempt(NamedTuple):
    """A `Change` by what it was told."""

    key: str
    voters: Voters
    ballot: tuple
    promises: tuple = ()  # (name, life, accepted, value)
    taken: tuple = ()


class Actor(NamedTuple):
    kind: str  # a letter: writes it once; "P", "Q": change the voters; a number: records a disk's new life
    voters: Voters
    round: int = 0
    left: int = 2  # attempts that it may still begin
    attempt: Attempt | None = None
    over: bool = False


class State(NamedTuple):
    nodes: tuple
    actors: tuple
    acked: str = ""
    decided: tuple = ()
    wipes: int = 0


def rows(slots):
    return tuple(sorted((key, slot.promised, slot.accepted, slot.value) for key, slot in slots.items()))


class Model:
    """`register`: the class that the nodes run; `rewrite`: whether the key is read before the new set is
    alone; `renew`: whether a lost disk's life is recorded before it relearns; `rounds`: from where an actor
    counts."""

    def __init__(
        self,
        start,
        target,
        actors,
        wipes=0,
        register=Register,
        rewrite=True,
        renew=True,
        goals=None,
        retries=2,
        rounds=None,
    ):
        self.rewrite_, self.renew = rewrite, renew
        self.goals = goals or {}
        self.target = target
        names = sorted(set(start) | set(target) | {name for goal in self.goals.values() for name in goal})
        self.names = names
        first = single(1, start)
        self.registers = {name: self.made(register, name) for name in names}
        self.begin = State(
            tuple(Node(first, f"{name}0", trusted=name in start) for name in names),
            tuple(
                Actor(kind, first, (rounds or {}).get(kind, 0), 0 if kind.isdigit() else retries)
                for kind in actors
            ),
            decided=(first,),
            wipes=wipes,
        )
        self.deliver = lru_cache(None)(self.deliver)
        self.change = lru_cache(None)(self.change)
        self.voting = lru_cache(None)(self.voting)
        self.good = lru_cache(None)(self.good)

    @staticmethod
    def made(register, name):
        host = SimpleNamespace(lock=contextlib.nullcontext, now=lambda: 0.0)
        peer_pool = SimpleNamespace(address=NAMES[name], handlers={}, runtime=host)
        store = SimpleNamespace(life="", voting=False, slots={}, facts={}, keep=lambda *_: True)
        return register(peer_pool, Voters(), store)

    def load(self, name, node):
        register = self.registers[name]
        register.store.life = register.acceptor.life = node.life
        register.voters, register.trusted = node.voters, node.trusted
        register.acceptor.voting = node.trusted
        register.acceptor.slots = {key: Slot(p, a, value) for key, p, a, value in node.slots}
        register.settle()
        return register

    def saved(self, register, node, **more):
        return node._replace(
            voters=register.voters, trusted=register.trusted, slots=rows(register.acceptor.slots), **more
        )

    def deliver(self, name, node, kind, body, voters):
        """A question at a node, after `heed`: one that is behind adopts first.  (node, answer)."""
        register = self.load(name, node)
        answer = getattr(register, f"on_{kind}")(None, body)
        if answer[0] == "behind":
            register.adopt(voters)
            answer = getattr(register, f"on_{kind}")(None, body)
        heard = node.heard if register.voters == node.voters else ()
        return self.saved(register, node, heard=heard), tuple(answer[:1]) + tuple(
            tuple(map(self.frozen, part)) if isinstance(part, list) else part for part in answer[1:]
        )

    @staticmethod
    def frozen(part):
        return tuple(part) if isinstance(part, list) else part

    def change(self, kind, attempt):
        """The attempt as a `Change`, told all that it was told."""
        if attempt.key == "voters":
            goal, known = self.goals.get(kind, self.target), attempt.voters
            if kind.isdigit():  # the disk of this place is another
                name = self.names[int(kind)]
                wish = known.renewed(NAMES[name], f"{name}1")
            else:
                wish = Voters(known.epoch + 1, known.new) if known.joint else joint(known, goal)
            change = Proposal(
                known.met, attempt.ballot, lambda old: None if old and old.epoch > known.epoch else wish
            )
        elif kind in "PQ":
            change = Proposal(attempt.voters.met, attempt.ballot, lambda old: None)
        else:
            change = Proposal(attempt.voters.met, attempt.ballot, lambda old: (old or "") + kind)
        for name, life, accepted, value in attempt.promises:
            change.promised(NAMES[name], life, accepted, value)
        for name in attempt.taken:
            change.accepted(NAMES[name])
        return change

    # What may happen next.

    def after(self, state):
        for number, actor in enumerate(state.actors):
            if actor.over:
                continue
            if actor.attempt is None:
                if actor.left:
                    yield self.put(state, number, self.begun(actor))
                continue
            attempt = actor.attempt
            change = self.change(actor.kind, attempt)
            for place, name in enumerate(self.names):
                if NAMES[name] not in attempt.voters.members():
                    continue
                epoch = attempt.voters.epoch
                if change.state == "prepare" and all(name != who for who, *_ in attempt.promises):
                    body = (attempt.key, attempt.ballot, epoch)
                    yield self.asked(state, number, place, "prepare", body)
                elif change.state == "accept" and name not in attempt.taken:
                    lives = {who: life for who, life, *_ in attempt.promises}
                    body = (attempt.key, attempt.ballot, change.value, lives.get(name, f"{name}0"), epoch)
                    yield self.asked(state, number, place, "accept", body)
        for place, name in enumerate(self.names):
            yield from self.disk(state, place, name)

    def put(self, state, number, actor):
        return state._replace(actors=(*state.actors[:number], actor, *state.actors[number + 1 :]))

    def begun(self, actor):
        reads = self.rewrite_ and actor.voters.joint if actor.kind in "PQ" else actor.kind.islower()
        key = "k" if reads else "voters"
        return actor._replace(
            round=actor.round + 1,
            left=actor.left - 1,
            attempt=Attempt(key, actor.voters, (actor.round + 1, actor.kind)),
        )

    def asked(self, state, number, place, kind, body):
        actor, name = state.actors[number], self.names[place]
        attempt = actor.attempt
        node, answer = self.deliver(name, state.nodes[place], kind, body, attempt.voters)
        nodes = (*state.nodes[:place], node, *state.nodes[place + 1 :])
        if answer[0] == "newer":
            actor = self.moved(actor, node.voters)
        elif answer[0] == "promise":
            _, (_, accepted, value), life = answer
            attempt = attempt._replace(
                promises=tuple(
                    sorted((*attempt.promises, (name, life, accepted, value)), key=lambda row: row[0])
                )
            )
            actor = actor._replace(attempt=attempt)
        elif answer[0] == "accepted":
            actor = actor._replace(attempt=attempt._replace(taken=tuple(sorted((*attempt.taken, name)))))
        elif answer[0] == "refused":
            actor = actor._replace(attempt=None, round=max(actor.round, answer[1][0][0]), over=not actor.left)
        state = self.put(state._replace(nodes=nodes), number, actor)
        return self.ended(state, number) if actor.attempt else state

    def moved(self, actor, voters):
        """Told a later epoch: what was asked is over, and is asked anew under it."""
        over = not actor.left or (actor.kind in "PQ" and not voters.joint and self.reached(actor, voters))
        return actor._replace(voters=voters, attempt=None, over=over)

    def reached(self, actor, voters):
        goal = self.goals.get(actor.kind, self.target)
        return {NAMES[name] for name in goal} == {*voters.members()}

    def ended(self, state, number):
        """What follows an attempt that is done."""
        actor = state.actors[number]
        attempt, change = actor.attempt, self.change(actor.kind, actor.attempt)
        if change.state != "done":
            return state
        if attempt.key == "k" and actor.kind not in "PQ":
            return self.put(state, number, actor._replace(attempt=None, over=True))._replace(
                acked="".join(sorted({*state.acked, actor.kind}))
            )
        if attempt.key == "k":  # written once more: the new set alone is next
            ballot = actor.round + 1, actor.kind
            return self.put(
                state,
                number,
                actor._replace(round=actor.round + 1, attempt=Attempt("voters", actor.voters, ballot)),
            )
        decided = tuple(sorted({*state.decided, change.value}, key=repr))
        if actor.kind.isdigit():
            name = self.names[int(actor.kind)]
            return self.put(
                state._replace(decided=decided),
                number,
                actor._replace(
                    voters=change.value,
                    attempt=None,
                    over=not actor.left or change.value.lives(NAMES[name]) == {f"{name}1"},
                ),
            )
        actor = actor._replace(
            voters=change.value,
            attempt=None,
            left=max(1, actor.left),
            over=not change.value.joint and self.reached(actor, change.value),
        )
        return self.put(state._replace(decided=decided), number, actor)

    def disk(self, state, place, name):
        """A voter loses its disk, and asks the others for what it had promised."""
        node = state.nodes[place]
        if state.wipes and node.voters.lives(NAMES[name]) and node.life.endswith("0"):
            fresh = Node(Voters(), f"{name}1", trusted=False)
            actors = tuple(
                actor._replace(voters=node.voters, left=2) if actor.kind == str(place) else actor
                for actor in state.actors
            )
            yield state._replace(
                nodes=(*state.nodes[:place], fresh, *state.nodes[place + 1 :]), wipes=0, actors=actors
            )
        if node.trusted or not node.life.endswith("1"):
            return
        for other, them in zip(self.names, state.nodes):
            if other == name or not them.voters.epoch or any(other == who for who, _ in node.heard):
                continue
            nodes = [*state.nodes]
            mine = node
            if them.voters.epoch > mine.voters.epoch:
                mine = mine._replace(voters=them.voters, heard=())
            elif them.voters.epoch < mine.voters.epoch:
                register = self.load(other, them)
                register.adopt(mine.voters)
                them = self.saved(register, them, heard=())
                nodes[self.names.index(other)] = them
            if NAMES[other] in mine.voters.members() and self.voting(other, them, them.voters):
                mine = mine._replace(heard=tuple(sorted((*mine.heard, (other, them.slots)))))
            heard = [NAMES[who] for who, _ in mine.heard]
            recorded = mine.voters.lives(NAMES[name])
            if (
                recorded
                and recorded <= ({node.life} if self.renew else {node.life, f"{name}0"})
                and mine.voters.covered(NAMES[name], heard)
            ):
                slots = merged([{key: Slot(p, a, v) for key, p, a, v in held} for _, held in mine.heard])
                mine = mine._replace(trusted=True, heard=(), slots=rows(slots))
            nodes[place] = mine
            yield state._replace(nodes=tuple(nodes))

    # What must hold.

    def voting(self, name, node, voters):
        register = self.load(name, node)
        register.adopt(voters)
        return register.acceptor.voting

    def good(self, nodes, acked, decided):
        """What was acknowledged is in every later read; what can still act for an epoch is no quorum of it
        once another that shares none with it was decided."""
        latest = max(voters.epoch for voters in decided)
        if len({voters.epoch for voters in decided}) < len(decided):
            return "two configurations of one epoch"
        for voters in decided:
            able = [
                (NAMES[name], node)
                for name, node in zip(self.names, nodes)
                if node.voters.epoch <= voters.epoch
                and NAMES[name] in voters.members()
                and self.voting(name, node, voters)
            ]
            if voters.epoch < latest - 1 and voters.met(address for address, _ in able):
                return f"epoch {voters.epoch} can still decide beside epoch {latest}"
            for size in range(1, len(able) + 1):
                for some in itertools.combinations(able, size):
                    if not voters.met(address for address, _ in some):
                        continue
                    held = [row for _, node in some for row in node.slots if row[0] == "k"]
                    _, _, _, value = max(held, key=lambda row: row[2], default=("", 0, 0, None))
                    if not set(acked) <= set(value or ""):
                        return f"epoch {voters.epoch}: {value!r} is read though {acked!r} was acknowledged"
        return ""

    def explore(self, most=2_000_000):
        """(states walked, the first broken invariant or "", configurations that were decided somewhere)."""
        seen, row, last = {self.begin}, [self.begin], set()
        while row:
            after = []
            for state in row:
                if fault := self.good(state.nodes, state.acked, state.decided):
                    return len(seen), fault, last
                last.add((state.decided[-1].epoch, state.acked))
                for other in self.after(state):
                    if other not in seen:
                        seen.add(other)
                        after.append(other)
                if len(seen) > most:
                    return len(seen), "too many states", last
            row = after
        return len(seen), "", last
