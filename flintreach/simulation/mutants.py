"""Faults that are put into the played text on purpose, to see that the trials find them.

Each names the invariants by which it may be found.  Those that undo a later text's care apply only where the
text has it (`applies`).
"""

import contextlib
import importlib
from collections.abc import Callable
from typing import NamedTuple
from unittest import mock

from flintreach.config import configuration_history
from flintreach.config.configuration_history import PutOutcome
from flintreach.consensus.voter_selection import Losses
from flintreach.simulation.scheduler import NS_PER_SECOND


class Mutant(NamedTuple):
    where: str  # module:class
    name: str  # what of it is replaced
    make: Callable  # what stands -> what is put in its place
    finds: tuple[str, ...]
    why: str


def first_accept(accepted):
    def planted(self, *args):
        accepted(self, *args)
        if self.state == "accept" and self.acceptances:
            self.state = "done"

    return planted


def no_write_back(promised):
    def planted(self, *args):
        promised(self, *args)
        if self.state == "accept" and getattr(self.step, "__qualname__", "").startswith("Register.read"):
            self.state = "done"

    return planted


def votes_when_empty(settle):
    def planted(self):
        settle(self)
        if self.acceptor:
            self.acceptor.voting = self.peer_pool.address in self.group

    return planted


def any_life(accept):
    def planted(self, key, ballot, value, life, *args):
        return accept(self, key, ballot, value, self.incarnation, *args)

    return planted


def forgets_promises(accept):
    def planted(self, key, ballot, value, life, *args):
        word, slot = accept(self, key, ballot, value, life, *args)
        if word == "refused":
            held = self.slots[key].promised
            self.slots[key].promised = (0, "")
            word, slot = accept(self, key, ballot, value, life, *args)
            self.slots[key].promised = held
        return word, slot

    return planted


def told_before_synced(keep):
    def planted(self, *args, **rest):
        # Down only after a while, as without a sync.
        self.process.sim.after(
            NS_PER_SECOND // 5, self.process.runtime.spawn, lambda: keep(self, *args, **rest)
        )
        return True

    return planted


def board_goes_back(offer):
    def planted(self, key, version, value, *age):
        if key == "timetable" and key in self.entries and version < self.entries[key][0]:
            del self.entries[key]
        return offer(self, key, version, value, *age)

    return planted


def forgets_holds(stands):
    def planted(self, held, began, now):
        new = stands(self, held, began, now)
        if new:
            self.sent, self.quiet_until = {}, now
        return new

    return planted


def frees_at_once(free):
    def planted(self, held, now, ended):
        for r in held.ranges:
            if r.state == "leaving":
                r.state, r.holder, r.handover, r.address = "free", "", "", ""

    return planted


def refuses_when_cut_off(call):
    def planted(self, environ, start):
        def told(line, headers):
            late = line.startswith("503") and "put" in environ["PATH_INFO"]
            start("409 Conflict" if late else line, headers)

        return call(self, environ, told)

    return planted


def takes_any_number(put):
    def planted(self, number, body, *still):
        word = put(self, number, body, *still)
        return PutOutcome.REPEATED if word == PutOutcome.CONFLICTING else word

    return planted


def true(_):
    return lambda *args, **rest: True


def nothing(_):
    return lambda *args, **rest: None


def ends_rivals(hear):
    def planted(self, id, beat, now, *age):
        told = hear(self, id, beat, now, *age)
        for other in told:
            if other != id:
                self.records[other].rank = 2
        return told

    return planted


def never_forgets(expire):
    return lambda self, *args: None


def always_fresh(news_age):
    """A refuge tells its news as fresh once it serves, in contact with a quorum or not."""
    return lambda self: min(news_age(self), 0.0) if self.serving else news_age(self)


def settles_at_once(first):
    return lambda disks, losses, calm_s: first(disks, Losses(), calm_s)


CONSENSUS, CONTROLLER = "flintreach.consensus", "flintreach.controller"
MUTANTS = {
    "first-accept": Mutant(
        f"{CONSENSUS}.proposer:Proposal",
        "record_acceptance",
        first_accept,
        ("durable", "kept"),
        "a change is done when the first disk has accepted it",
    ),
    "no-write-back": Mutant(
        f"{CONSENSUS}.proposer:Proposal",
        "record_promise",
        no_write_back,
        ("kept", "durable"),
        "a read answers what a minority alone may hold",
    ),
    "votes-when-empty": Mutant(
        f"{CONSENSUS}.register:Register",
        "update_voting",
        votes_when_empty,
        ("kept", "durable"),
        "a disk that came back empty votes at once",
    ),
    "forgets-promises": Mutant(
        f"{CONSENSUS}.acceptor:Acceptor",
        "accept",
        forgets_promises,
        ("kept", "durable", "evacuated", "single", "refused"),
        "a disk accepts below what it promised",
    ),
    "told-before-synced": Mutant(
        "flintreach.simulation.disk:Store",
        "keep",
        told_before_synced,
        ("durable", "known", "kept"),
        "a disk says yes before its sync",
    ),
    "board-goes-back": Mutant(
        "flintreach.dissemination.versioned_store:VersionedStore",
        "offer",
        board_goes_back,
        ("monotonic",),
        "news of an older configuration take the place of newer ones",
    ),
    "fresh-without-contact": Mutant(
        f"{CONTROLLER}.control_plane:ControlPlane",
        "news_age",
        always_fresh,
        ("confirmed",),
        "a refuge that is cut off confirms what it holds",
    ),
    "forgets-holds": Mutant(
        "flintreach.sharding.range_lease:RangeLeases",
        "committed",
        forgets_holds,
        ("owner",),
        "a new keeper does not wait for what the one before it granted",
    ),
    "frees-at-once": Mutant(
        "flintreach.sharding.range_lease:RangeLeases",
        "free_expired",
        frees_at_once,
        ("owner",),
        "keys change hands before their holder's time is over",
    ),
    "refuses-when-cut-off": Mutant(
        f"{CONTROLLER}.http_api:ControlApi",
        "__call__",
        refuses_when_cut_off,
        ("answered", "refused"),
        "no majority is told as a conflict",
    ),
    "settles-at-once": Mutant(
        f"{CONTROLLER}.voter_management:",
        "first",
        settles_at_once,
        ("voters", "live", "kept", "durable", "known"),
        "a first start takes for voters whoever is there",
    ),
    "keeps-voters": Mutant(
        f"{CONTROLLER}.voter_management:", "wanted", nothing, ("voters", "live"), "the voters never change"
    ),
    "takes-any-number": Mutant(
        f"{CONTROLLER}.operator_requests:OperatorRequests",
        "put",
        takes_any_number,
        ("single", "refused"),
        "a second content under one number is acknowledged",
    ),
    "acknowledges-from-memory": Mutant(
        f"{CONTROLLER}.endpoint_service:EndpointService",
        "replicate",
        true,
        ("known",),
        "a closing is acknowledged without a quorum",
    ),
    "ends-rivals": Mutant(
        "flintreach.endpoints.registry:EndpointRegistry",
        "record_heartbeat",
        ends_rivals,
        ("ended", "agree"),
        "a late first check-in of an older life ends its successor",
    ),
    "answers-cut-off": Mutant(
        f"{CONTROLLER}.http_api:ControlApi",
        "refusal",
        nothing,
        ("stale", "evacuated", "kept"),
        "a refuge that slept or is cut off answers",
    ),
    "done-when-decided": Mutant(
        "flintreach.consensus.reconfiguration:Reconfiguration",
        "announce",
        true,
        ("live",),
        "an exchange of voters is done when only its proposer knows",
    ),
    "never-forgets": Mutant(
        "flintreach.dissemination.versioned_store:VersionedStore",
        "expire",
        never_forgets,
        ("forgotten",),
        "tombstones stand for ever",
    ),
}


def target(plant: Mutant):
    module, _, name = plant.where.partition(":")
    found = importlib.import_module(module)
    return getattr(found, name) if name else found


def applies(name: str) -> bool:
    """Whether the text has what the plant undoes."""
    plant = MUTANTS[name]
    if name == "takes-any-number":
        return hasattr(configuration_history, "PutOutcome")
    if name == "ends-rivals":
        return hasattr(importlib.import_module("flintreach.endpoints.registry"), "DrainRank")
    return hasattr(target(plant), plant.name)


@contextlib.contextmanager
def planted(name: str):
    """Play with a fault in the text; none where `name` is empty.  Raises KeyError."""
    if not name:
        yield
        return
    plant = MUTANTS[name]
    place = target(plant)
    with mock.patch.object(place, plant.name, plant.make(getattr(place, plant.name))):
        yield
