"""Endpoints at controllers: what is acknowledged is on the disks of a quorum, and all come to know it."""

import random
import unittest
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from flintreach.config.settings import TimingBounds
from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.register import Register
from flintreach.controller.control_plane import ControlPlane
from flintreach.controller.endpoint_service import EndpointService
from flintreach.controller.operator_requests import OperatorRequests
from flintreach.dissemination.relay import Relay, Subscription
from flintreach.dissemination.versioned_store import (
    BUCKETS,
    MAX_PORTION_BYTES,
    SNAPSHOT_AFTER_S,
    VersionedStore,
)
from flintreach.endpoints.registry import NS_PER_MS as MS
from flintreach.endpoints.registry import (
    DrainRank,
    EndpointRecord,
    EndpointRegistry,
    EndpointRow,
    EndpointState,
    Heartbeat,
)
from flintreach.proxy.balancing import FleetPosition
from flintreach.proxy.view import RoutingView
from flintreach.sharding.range_assignment import Allocation, LoadDistribution
from flintreach.sharding.range_lease import RangeLeases
from flintreach.transport.peer_pool import PeerPool

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode
READY = EndpointState.READY
CLOSING = EndpointState.DRAINING
SILENT = EndpointState.SILENT
GONE = EndpointState.GONE
SERVES = DrainRank.SERVING
CLOSES = DrainRank.DRAINING
ENDS = DrainRank.ENDED


class Clock:
    """A runtime with a clock by hand, whose connections lead to the relays of versioned stores."""

    def __init__(self) -> None:
        self.time_s = 1000.0
        self.relays: dict[Any, Relay] = {}

    def now(self) -> float:
        return self.time_s

    def now_ns(self) -> int:
        return int(self.time_s * 1e9)

    def serve_updates(self, name: str, updates: VersionedStore) -> None:
        """Connections to this name lead to a relay of these updates."""
        self.relays[name] = Relay(mock.Mock(handlers={}, runtime=self), updates)

    def dial(self, address: str, handlers: dict[str, Callable], timeout: float) -> "DirectConnection":
        return DirectConnection(self.relays[address], handlers)


class DirectConnection:
    """A connection to a relay that carries at once, in the bytes of the wire."""

    def __init__(self, relay: Relay, handlers: dict[str, Callable]) -> None:
        self.relay = relay
        self.handlers = handlers
        self.on_close: list[Callable] = []
        self.closed = False

    def ask(self, kind: str, body: Any, timeout: float) -> Any:
        self.relay.root_age = lambda: 0.0
        answer = self.relay.peer_pool.handlers[kind](self, UNPACK(PACK(body)))
        return UNPACK(PACK(answer))

    def send(self, kind: str, body: Any) -> None:
        self.handlers[kind](self, UNPACK(PACK(body)))

    def close(self) -> None:
        self.closed = True
        for on_close in self.on_close:
            on_close(self)


def published_endpoint(state: str = "ready", addr: str = "10.0.0.9:80") -> dict[str, Any]:
    """The published fields of an endpoint."""
    return {
        "line": "desk",
        "addr": addr,
        "zone": "north",
        "berths": 2,
        "edition": "v1",
        "state": state,
        "cold": 0,
    }


class FinishedTask:
    """A task that was run to its end when it was spawned."""

    def __init__(self, value: Any) -> None:
        self.value = value

    def result(self, timeout: float) -> Any:
        return self.value


class Fleet(Clock):
    """Controllers whose messages arrive at once.

    `cut_ways`: pairs (sender, receiver) between which nothing arrives; `asked`: all messages, as (kind,
    sender, receiver).
    """

    def __init__(self, size: int = 3, voters: int | None = None, seed: int = 0) -> None:
        super().__init__()
        self.chance = random.Random(seed)
        self.cut_ways: set[tuple[Address, Address]] = set()
        self.asked: list[tuple[str, Address, Address]] = []
        addresses = [(f"10.0.0.{number}", 7) for number in range(size)]
        self.voters = Voters(1, tuple((address, "") for address in addresses[: voters or size]))
        self.controllers = {
            address: ControllerProcess(self, address, SimulatedDisk()) for address in addresses
        }

    def __getitem__(self, number: int) -> "ControllerProcess":
        return [*self.controllers.values()][number]

    def __iter__(self) -> Iterator["ControllerProcess"]:
        return iter(self.controllers.values())

    def sleep(self, seconds: float) -> None:
        self.time_s += seconds

    def spawn(self, function: Callable, *args: Any) -> FinishedTask:
        return FinishedTask(function(*args))

    def event(self) -> mock.Mock:
        return mock.Mock()

    def lock(self) -> mock.MagicMock:
        return mock.MagicMock()

    def partition(self, *numbers: int) -> None:
        """Cut some controllers off from the others."""
        inside = {self[number].address for number in numbers}
        self.cut_ways |= {
            (sender, receiver)
            for sender in self.controllers
            for receiver in self.controllers
            if (sender in inside) != (receiver in inside)
        }

    def restart(self, number: int) -> "ControllerProcess":
        """A controller's process ends; another begins on the same disk."""
        ended = self[number]
        self.controllers[ended.address] = ControllerProcess(self, ended.address, ended.store, serving=False)
        return self.controllers[ended.address]

    def follow_by(self, updates: VersionedStore) -> None:
        """A proxy's versioned store comes up to the first controller's."""
        self.serve_updates("first", self[0].updates)
        subscription = Subscription(self, updates, "first")
        subscription.begin()
        subscription.close()

    def spread_updates(self) -> None:
        """All published updates to everybody who is reached, until there are no more."""
        while any(controller.unsent for controller in self):
            for controller in self:
                rows = controller.unsent
                controller.unsent = []
                for other in self:
                    if other is controller or (controller.address, other.address) in self.cut_ways:
                        continue
                    for row in rows:
                        other.learn(UNPACK(PACK(row)))


class SimulatedDisk:
    """What outlives a process; `refuses`: it takes no writes."""

    def __init__(self, voting: bool = True) -> None:
        self.facts: dict[str, str] = {}
        self.endpoint_rows: dict[str, bytes] = {}
        self.slots: dict[str, Any] = {}
        self.incarnation = "life"
        self.voting = voting
        self.refuses = False
        self.writes = 0

    def persist(
        self, slots: dict, facts: dict[str, str] | None = None, endpoint_rows: dict[str, bytes] | None = None
    ) -> bool:
        if self.refuses:
            return False
        self.writes += 1
        self.facts |= facts or {}
        for endpoint_id, row in (endpoint_rows or {}).items():
            self.endpoint_rows[endpoint_id] = row
            if not row:
                del self.endpoint_rows[endpoint_id]
        return True

    def rank(self, endpoint_id: str) -> int:
        """The rank at which an endpoint is stored; -1: it is not."""
        if endpoint_id not in self.endpoint_rows:
            return -1
        return EndpointRecord.from_row(UNPACK(self.endpoint_rows[endpoint_id], type=EndpointRow), 0).rank


class ControllerProcess:
    """A control plane with endpoints alone; `contact_age_s`: seconds since it was in contact."""

    def __init__(self, fleet: Fleet, address: Address, store: SimulatedDisk, serving: bool = True) -> None:
        self.fleet = fleet
        self.address = address
        self.store = store
        self.serving = serving
        self.contact_age_s = 0.0
        self.peer_pool = self
        self.runtime = fleet
        self.updates = VersionedStore(fleet.now)
        self.handlers: dict[str, Callable] = {}
        self.unsent: list[list] = []  # updates that were not yet sent to the others
        self.updates.watchers.append(lambda *row: self.unsent.append([*row, self.updates.age(row[0])]))
        self.register = Register(self, fleet.voters, store)
        self.endpoints = EndpointService(self, 1500)

    @property
    def group(self) -> list[Address]:
        return self.register.voter_addresses

    @property
    def registry(self) -> EndpointRegistry:
        return self.endpoints.registry

    def peers(self) -> list[Address]:
        return [address for address in self.fleet.controllers if address != self.address]

    def update_age(self) -> float:
        return self.contact_age_s

    quorum_contact_age = update_age

    def ask(self, address: Address, kind: str, body: Any, timeout: float) -> Any:
        other = self.fleet.controllers[address]
        self.fleet.asked.append((kind, self.address, address))
        if (self.address, address) in self.fleet.cut_ways:
            return None
        answer = other.handlers[kind](None, UNPACK(PACK(body)))
        return None if (address, self.address) in self.fleet.cut_ways else UNPACK(PACK(answer))

    def gather(
        self,
        addresses: list[Address],
        kind: str,
        body: Any,
        enough: Callable[[list], bool],
        timeout: float,
        ask: Callable | None = None,
    ) -> list:
        ask = ask or self.ask
        rows = [(address, ask(address, kind, body, timeout)) for address in addresses]
        answers = [row for row in rows if row[1] is not None]  # all are asked, whoever is waited for
        for size in range(len(answers)):
            if enough(answers[:size]):
                return answers[:size]
        return answers

    def learn(self, row: list) -> None:
        """Take in an update of another controller."""
        key, version, value, age_s = row
        if key.startswith("hut/"):
            self.endpoints.merge_update(key.partition("/")[2], version, value, age_s)
        self.updates.offer(key, version, value, age_s)

    def send_heartbeat(
        self, endpoint_id: str, seq: int, state: str = READY, addr: str = "10.0.0.9:80"
    ) -> bool:
        """An endpoint's heartbeat comes in here; whether it is acknowledged."""
        return self.endpoints.record_heartbeat(endpoint_id, Heartbeat("desk", addr, "north", 2, state, seq))

    def known_state(self, endpoint_id: str) -> tuple[str | None, str | None]:
        """What this controller knows of an endpoint, and what it publishes."""
        record = self.registry.records.get(endpoint_id)
        published = self.updates.get(f"hut/{endpoint_id}")
        return record and record.state, published and published["state"]


def on_quorum_of_disks(fleet: Fleet, endpoint_id: str, rank: int) -> bool:
    """Whether the disks of a quorum have an endpoint at least at a rank."""
    return fleet.voters.is_quorum(
        controller.address for controller in fleet if controller.store.rank(endpoint_id) >= rank
    )


class Acknowledged(unittest.TestCase):
    def test_a_repeat_is_acknowledged_no_sooner_than_a_first_call(self) -> None:
        for state, seq in ((READY, 1), (CLOSING, 5)):
            fleet = Fleet()
            if state == CLOSING:
                self.assertTrue(fleet[0].send_heartbeat("e", 4))
            fleet.partition(0)
            for _ in range(3):
                self.assertFalse(fleet[0].send_heartbeat("e", seq, state), state)
            self.assertFalse(fleet[0].send_heartbeat("e", seq + 1, state))
            fleet.cut_ways.clear()
            self.assertTrue(fleet[0].send_heartbeat("e", seq, state))
            self.assertTrue(on_quorum_of_disks(fleet, "e", CLOSES if state == CLOSING else SERVES))

    def test_a_fact_learned_from_another_controller_is_replicated_before_it_is_acknowledged(self) -> None:
        fleet = Fleet(5)
        fleet.partition(0, 1)  # the first two do not reach a quorum of the five
        self.assertFalse(fleet[0].send_heartbeat("e", 1, CLOSING))
        self.assertEqual(fleet[1].registry.records["e"].rank, CLOSES)
        self.assertFalse(fleet[1].send_heartbeat("e", 1, CLOSING))
        fleet.cut_ways.clear()
        fleet.spread_updates()  # all know by updates, and no third disk has it
        self.assertFalse(on_quorum_of_disks(fleet, "e", CLOSES))
        for number in (0, 1):  # and now they reach nobody but each other
            fleet.partition(0, 1)
            self.assertFalse(fleet[number].send_heartbeat("e", 1, CLOSING))
        fleet.cut_ways.clear()
        self.assertTrue(fleet[2].send_heartbeat("e", 1, CLOSING))
        self.assertTrue(on_quorum_of_disks(fleet, "e", CLOSES))

    def test_a_fact_that_a_quorum_has_stored_needs_no_further_round(self) -> None:
        fleet = Fleet()
        self.assertTrue(fleet[0].send_heartbeat("e", 1))
        self.assertTrue(fleet[0].send_heartbeat("e", 2, CLOSING))
        writes = [controller.store.writes for controller in fleet]
        fleet.cut_ways = set()
        fleet.partition(0)
        self.assertTrue(fleet[0].send_heartbeat("e", 2, CLOSING))
        self.assertTrue(fleet[0].send_heartbeat("e", 1))  # a late call of the same incarnation
        self.assertEqual([controller.store.writes for controller in fleet], writes)
        self.assertFalse(fleet[0].endpoints.sign_off("e"))

    def test_a_sign_off_of_an_unknown_endpoint_is_stored_by_a_quorum(self) -> None:
        fleet = Fleet()
        fleet.partition(0)
        self.assertFalse(fleet[0].endpoints.sign_off("e"))
        self.assertFalse(fleet[0].endpoints.sign_off("e"))
        fleet.cut_ways.clear()
        self.assertTrue(fleet[0].endpoints.sign_off("e"))
        self.assertTrue(on_quorum_of_disks(fleet, "e", ENDS))
        for number in range(3):
            fleet.restart(number).endpoints.recover()
        self.assertTrue(fleet[1].send_heartbeat("e", 9))  # a late call of one that has ended is acknowledged
        self.assertEqual(fleet[1].registry.records["e"].state, GONE)

    def test_spares_and_disks_that_may_not_vote_are_no_part_of_a_quorum(self) -> None:
        fleet = Fleet(size=6, voters=3)
        fleet.cut_ways = {(fleet[0].address, fleet[number].address) for number in (1, 2)}
        self.assertFalse(fleet[0].send_heartbeat("e", 1))  # three spares answered
        self.assertFalse(fleet[3].endpoints.sign_off("f") and not on_quorum_of_disks(fleet, "f", ENDS))
        fleet.cut_ways.clear()
        fleet[1].register.acceptor.voting = fleet[2].register.acceptor.voting = False
        self.assertFalse(fleet[0].send_heartbeat("e", 1))
        fleet[1].register.acceptor.voting = True
        fleet[0].store.refuses = True
        self.assertFalse(fleet[0].send_heartbeat("x", 1))  # its own disk counts only if it took the row
        fleet[0].store.refuses = False
        self.assertTrue(fleet[0].send_heartbeat("x", 1))
        self.assertTrue(fleet[4].send_heartbeat("g", 1))  # a spare takes calls, and asks the voters
        self.assertTrue(on_quorum_of_disks(fleet, "g", SERVES))
        fleet[2].register.acceptor.voting = True
        fleet.cut_ways = {(fleet[4].address, fleet[number].address) for number in (0, 1)}
        self.assertFalse(fleet[4].send_heartbeat("h", 1))

    def test_messages_of_another_epoch_are_refused_and_sent_again(self) -> None:
        fleet = Fleet(size=5, voters=3)
        later = Voters(
            2, fleet.voters.old, tuple((fleet[n].address, fleet[n].store.incarnation) for n in (2, 3, 4))
        )
        for number in (1, 2, 3, 4):
            self.assertTrue(fleet[number].register.adopt(later))
        fleet[0].register.voters = fleet.voters
        fleet.voters = later
        fleet.cut_ways = {(fleet[0].address, fleet[3].address), (fleet[0].address, fleet[4].address)}
        self.assertFalse(fleet[0].send_heartbeat("e", 1), "a majority of the earlier voters alone")
        self.assertEqual(fleet[0].register.voters, later)  # one of them told it of the later
        fleet.cut_ways.clear()
        self.assertTrue(fleet[0].send_heartbeat("e", 1))
        self.assertTrue(on_quorum_of_disks(fleet, "e", SERVES))
        behind = Fleet()
        behind[1].register.voters = behind[2].register.voters = Voters()
        self.assertTrue(behind[0].send_heartbeat("e", 1))  # it told them
        self.assertEqual(behind[1].register.voters, behind.voters)

    def test_an_update_that_comes_while_a_call_waits_is_kept_and_not_acknowledged_with_it(self) -> None:
        fleet = Fleet()
        ask = ControllerProcess.ask

        def update_comes_first(controller: ControllerProcess, *args: Any) -> Any:
            fleet[0].learn(["hut/e", [CLOSES, 6, 0], published_endpoint("closing"), 0.0])
            return ask(controller, *args)

        with mock.patch.object(ControllerProcess, "ask", update_comes_first):
            self.assertTrue(fleet[0].send_heartbeat("e", 5))
        record = fleet[0].registry.records["e"]
        self.assertEqual((fleet[0].known_state("e"), record.version), ((CLOSING, CLOSING), [CLOSES, 6, 0]))
        self.assertEqual(record.durable_rank, SERVES)
        fleet.partition(0)
        self.assertFalse(fleet[0].send_heartbeat("e", 6, "closing"))


class Starts(unittest.TestCase):
    def test_a_start_waits_for_the_registries_of_a_quorum(self) -> None:
        fleet = Fleet(5)
        self.assertTrue(fleet[0].send_heartbeat("e", 1, CLOSING))
        fleet.partition(4, 3)
        self.assertFalse(fleet.restart(4).endpoints.recover())
        fleet.cut_ways = {way for way in fleet.cut_ways if fleet[2].address not in way}  # a third is reached
        self.assertTrue(fleet[4].endpoints.recover())
        self.assertEqual(fleet[4].known_state("e"), (CLOSING, CLOSING))
        self.assertEqual(fleet[4].store.rank("e"), CLOSES)

    def test_what_was_acknowledged_is_known_after_any_two_restarts_with_the_third_unreachable(self) -> None:
        for first, second in ((0, 1), (1, 2), (2, 0)):
            fleet = Fleet()
            fleet.partition(2)
            self.assertTrue(fleet[0].send_heartbeat("e", 1))
            self.assertTrue(fleet[0].send_heartbeat("e", 2, CLOSING))
            fleet.cut_ways.clear()
            for number in range(3):
                fleet.restart(number)
            fleet.partition(3 - first - second)
            for number in (first, second):
                self.assertTrue(fleet[number].endpoints.recover())
                self.assertEqual(fleet[number].known_state("e"), (CLOSING, CLOSING))

    def test_an_empty_disk_counts_once_it_has_what_a_quorum_of_the_others_had(self) -> None:
        """Trace of a lost fact: a disk that had it came back empty and counted with one that never did."""
        fleet = Fleet()
        fleet.partition(2)
        self.assertTrue(fleet[0].send_heartbeat("e", 1, CLOSING))  # on the first two disks
        fleet.cut_ways.clear()
        fleet[1].store = SimulatedDisk(voting=False)
        fleet.restart(1)
        fleet[1].register.acceptor.voting = True  # as after `recover_promises`
        fleet.partition(0)
        self.assertFalse(fleet[1].endpoints.recover())
        fleet.restart(2)
        self.assertFalse(fleet[2].endpoints.recover(), "an empty disk was counted")
        fleet.cut_ways.clear()
        self.assertTrue(fleet[1].endpoints.recover())
        fleet.partition(0)
        self.assertTrue(fleet[2].endpoints.recover())
        self.assertEqual(fleet[2].known_state("e"), (CLOSING, CLOSING))
        self.assertEqual(fleet.restart(1).endpoints.complete, True)

    def test_registries_come_in_pages(self) -> None:
        fleet = Fleet()
        for number in range(1300):
            heartbeat = Heartbeat("desk", f"10.1.1.1:{number}", "north", 2, READY, 1)
            fleet[0].registry.record_heartbeat(f"i-{number}", heartbeat, fleet.now_ns())
        fresh = fleet.restart(2)
        self.assertTrue(fresh.endpoints.recover())
        self.assertEqual(len(fresh.registry.records), 1300)
        self.assertEqual(len(fresh.store.endpoint_rows), 1300)
        size = max(len(PACK(fleet[0].endpoints.on_registry_page(None, [1, after]))) for after in ("", "i-5"))
        self.assertLess(size, MAX_PORTION_BYTES)

    def test_what_only_an_old_disk_has_is_not_published_as_alive(self) -> None:
        fleet = Fleet()
        self.assertTrue(fleet[2].send_heartbeat("old", 1))
        for number in (0, 1):
            fleet[number].registry.forget("old")  # long over, and forgotten
        fleet[0].send_heartbeat("new", 1, addr="10.0.0.8:80")
        fresh = fleet.restart(2)
        self.assertTrue(fresh.endpoints.recover())
        self.assertEqual(
            (fresh.known_state("old"), fresh.known_state("new")), ((SILENT, SILENT), (READY, READY))
        )
        self.assertTrue(fresh.send_heartbeat("old", 2))
        self.assertEqual(fresh.known_state("old"), (READY, READY))

    def test_a_controller_long_out_of_contact_collects_anew(self) -> None:
        fleet = Fleet()
        fleet[0].send_heartbeat("e", 1)
        fleet.partition(2)
        fleet[2].contact_age_s = SNAPSHOT_AFTER_S + 1
        fleet[0].endpoints.sign_off("e")
        fleet[2].endpoints.check_silence(fleet[2].contact_age_s)
        self.assertTrue(fleet[2].endpoints.behind)
        fleet.cut_ways.clear()
        fleet[2].contact_age_s = 0.0
        fleet[2].endpoints.check_silence(0.0)
        self.assertEqual((fleet[2].endpoints.behind, fleet[2].known_state("e")), (False, (GONE, GONE)))


class Addresses(unittest.TestCase):
    def test_a_late_heartbeat_of_an_earlier_owner_of_an_address_does_not_end_the_later(self) -> None:
        fleet = Fleet()
        fleet[0].send_heartbeat("old", 1)
        fleet.restart(0)
        for controller in fleet:
            controller.registry.records.pop("old", None)
            controller.registry.ids_by_address.clear()
        fleet[0].send_heartbeat("new", 4)
        fleet[0].send_heartbeat("old", 1)  # late, and new here
        fleet.spread_updates()
        self.assertEqual({controller.known_state("new") for controller in fleet}, {(GONE, GONE)})
        fleet[1].send_heartbeat("new", 5)
        fleet.spread_updates()
        self.assertEqual({controller.known_state("new") for controller in fleet}, {(READY, READY)})
        self.assertEqual({controller.known_state("old") for controller in fleet}, {(GONE, GONE)})
        self.assertFalse(
            any(controller.endpoints.has_signed_off(id) for controller in fleet for id in ("old", "new"))
        )

    def test_two_endpoints_restored_with_one_address_are_told_apart_by_the_next_heartbeat(self) -> None:
        rows = [
            ["a", "desk", "x:1", "n", 2, "", READY, 3, 0, 0, SERVES, 0],
            ["b", "desk", "x:1", "n", 2, "", CLOSING, 9, 0, 0, CLOSES, 0],
        ]
        for order in (rows, rows[::-1]):
            registry = EndpointRegistry(1500)
            for row in order:
                registry.merge(EndpointRecord.from_row(EndpointRow(*row), 0), 0)
            self.assertEqual(
                registry.record_heartbeat("a", Heartbeat("desk", "x:1", "n", 2, READY, 4), MS), ["b"]
            )
            self.assertEqual((registry.records["a"].state, registry.records["b"].state), (READY, GONE))
            self.assertEqual(
                registry.record_heartbeat("b", Heartbeat("desk", "x:1", "n", 2, "closing", 10), 2 * MS),
                ["b", "a"],
            )
            self.assertEqual((registry.records["a"].state, registry.records["b"].state), (GONE, CLOSING))


class Verdicts(unittest.TestCase):
    def test_a_controller_that_hears_nothing_hides_no_endpoint_from_those_that_do(self) -> None:
        fleet = Fleet()
        for seq in (1, 2):
            fleet[0].send_heartbeat("e", seq)
        fleet.spread_updates()
        # Nothing reaches the third, but what it publishes goes out.
        fleet.cut_ways = {(fleet[number].address, fleet[2].address) for number in (0, 1)}
        for seq in range(3, 8):
            fleet.time_s += 1.5
            fleet[seq % 2].send_heartbeat("e", seq)
        fleet[2].endpoints.check_silence(0.0)
        self.assertEqual(fleet[2].known_state("e"), (SILENT, SILENT))
        fleet.spread_updates()
        self.assertEqual((fleet[0].known_state("e"), fleet[1].known_state("e")), ((READY, READY),) * 2)
        fleet.cut_ways.clear()
        fleet.spread_updates()
        fleet[0].endpoints.publish(["e"])
        self.assertEqual(fleet[0].updates.entries["hut/e"][0], [SERVES, 7, 0])

    def test_a_verdict_learned_from_another_controller_is_no_heartbeat(self) -> None:
        """The trace of an endpoint that stayed hidden: known as silent by an update, then heard again."""
        fleet = Fleet()
        fleet[0].send_heartbeat("e", 1)
        fleet.time_s += 5
        fleet[0].endpoints.check_silence(0.0)
        fresh = fleet.controllers[fleet[1].address] = ControllerProcess(
            fleet, fleet[1].address, SimulatedDisk()
        )
        fleet.spread_updates()
        self.assertEqual(fresh.known_state("e"), (SILENT, SILENT))
        fresh.send_heartbeat("e", 2)
        fleet.spread_updates()
        self.assertEqual({controller.known_state("e") for controller in fleet}, {(READY, READY)})

    def test_a_controller_that_was_out_of_contact_does_not_judge_what_it_missed(self) -> None:
        fleet = Fleet()
        fleet[0].send_heartbeat("e", 1)
        fleet.time_s += 60
        fleet[0].endpoints.check_silence(30.0)  # it slept
        fleet[0].endpoints.check_silence(0.0)
        fleet[0].endpoints.check_silence(0.0)
        self.assertEqual(fleet[0].known_state("e"), (READY, READY))
        fleet.time_s += 5
        fleet[0].endpoints.check_silence(0.0)
        self.assertEqual(fleet[0].known_state("e"), (SILENT, SILENT))

    def test_draining_is_not_undone_by_a_later_heartbeat_whoever_heard_which(self) -> None:
        fleet = Fleet()
        for id, late in (("e", "ready"), ("f", "closing")):
            fleet[0].send_heartbeat(id, 1)
            fleet.cut_ways = {(fleet[0].address, fleet[2].address)}
            self.assertTrue(fleet[0].send_heartbeat(id, 7, "closing"))
            fleet.cut_ways = {(fleet[2].address, other.address) for other in fleet}
            if late == "ready":
                fleet[2].send_heartbeat(id, 8)  # it has not heard of 7
            fleet.cut_ways.clear()
            fleet.spread_updates()
            self.assertEqual({controller.known_state(id) for controller in fleet}, {(CLOSING, CLOSING)})
            fleet[2].send_heartbeat(id, 9)
            fleet.spread_updates()
            self.assertEqual({controller.known_state(id) for controller in fleet}, {(CLOSING, CLOSING)})

    def test_draining_counts_though_it_is_heard_late(self) -> None:
        fleet = Fleet()
        fleet[0].send_heartbeat("e", 8)
        self.assertTrue(fleet[1].send_heartbeat("e", 7, "closing"))
        fleet.spread_updates()
        self.assertEqual({controller.known_state("e") for controller in fleet}, {(CLOSING, CLOSING)})


class Bounded(unittest.TestCase):
    def test_what_is_kept_is_bounded_by_what_there_is(self) -> None:
        """2,000 endpoints, ten at a time, a third of which crash; 500 changes of the assignment; and ids that
        sign off and were never heard of."""
        fleet, draw = Fleet(), random.Random(5)
        proxy = VersionedStore(fleet.now)
        world = RoutingView(proxy, FleetPosition("n", "r"), {"north": "r"}, fleet.now_ns, TimingBounds())
        orders = [OperatorRequests(controller) for controller in fleet]
        live, begun, sizes, digests = {}, 0, [], set()
        while begun < 2000 or live:
            fleet.time_s += 1.0
            if begun < 2000 and len(live) < 10:
                begun += 1
                live[f"i-{begun}"] = [1, fleet.time_s + draw.uniform(5, 15), f"10.0.0.{begun % 50}:80"]
            for id, (seq, until, addr) in [*live.items()]:
                live[id][0] += 1
                if fleet.time_s < until:
                    draw.choice([*fleet]).send_heartbeat(id, seq, READY, addr)
                elif draw.random() < 0.3:
                    del live[id]  # it crashes
                elif seq < 100:
                    live[id][0] = 100
                    draw.choice([*fleet]).send_heartbeat(id, seq, "closing", addr)
                else:
                    del live[id]
                    draw.choice([*fleet]).endpoints.sign_off(id)
            if fleet.time_s % 16 == 0:
                draw.choice([*fleet]).endpoints.sign_off(f"nobody-{fleet.time_s}")
            number = int(fleet.time_s - 1000) // 4
            if fleet.time_s % 4 == 0 and number <= 500:
                value = PACK([number, {f"r{number + n} desk": sorted(live)[:3] for n in range(5)}])
                for order in orders:
                    order.publish("map", value)
            for controller in fleet:
                controller.endpoints.check_silence(0.0)
                controller.updates.expire()
            fleet.spread_updates()
            fleet.follow_by(proxy)
            proxy.expire()
            digests.add(len(proxy.digest()))
            controller_sizes = [
                [
                    len(controller.updates.entries),
                    len(controller.registry.records),
                    len(controller.registry.ids_by_address),
                    len(controller.store.endpoint_rows),
                    len(controller.endpoints.on_disk),
                    len(controller.updates.tombstoned_at),
                ]
                for controller in fleet
            ]
            largest = [max(column) for column in zip(*controller_sizes)]
            proxy_sizes = [len(proxy.entries), len(world.endpoints), len(world.assignments)]
            sizes.append([begun, *largest, *proxy_sizes])
        names = [
            "updates",
            "records",
            "claims",
            "disk rows",
            "ids with rows",
            "tombstones",
            "proxy's updates",
            "its endpoints",
            "its tables",
        ]
        tenth = [max(size[at + 1] for size in sizes if size[0] <= 200) for at in range(len(names))]
        most = [max(size[at + 1] for size in sizes) for at in range(len(names))]
        print("\n2,000 endpoints, 500 changes: most in the first tenth, in all, at the end:")
        for name, row in zip(names, zip(tenth, most, sizes[-1][1:])):
            print(f"  {name}: {row[0]} {row[1]} {row[2]}")
            self.assertLessEqual(row[1], 1.25 * row[0] + 2, name)
        self.assertEqual(digests, {8 * BUCKETS})
        for _ in range(150):
            fleet.time_s += 1.0
            for controller in fleet:
                controller.endpoints.check_silence(0.0)
                controller.updates.expire()
            fleet.spread_updates()
            fleet.follow_by(proxy)
            proxy.expire()
        for controller in fleet:
            self.assertEqual(
                (
                    controller.registry.records,
                    controller.registry.ids_by_address,
                    controller.store.endpoint_rows,
                ),
                ({}, {}, {}),
            )
            self.assertEqual(len(controller.updates.entries), 6)  # the map and its five tables
        self.assertEqual(
            (len(proxy.entries), len(world.assignments), world.endpoints, world.services), (6, 5, {}, {})
        )
        self.assertEqual(proxy.digest(), fleet[0].updates.digest())

    def test_notes_on_grants_are_kept_as_long_as_their_ranges(self) -> None:
        keeping, held = RangeLeases("k", 10), Allocation.from_row(None)
        able = {f"e{n}": (1.0, f"10.0.0.{n}:80") for n in range(4)}
        for turn in range(400):
            now = float(turn)
            if turn % 5 == 0:
                able.pop(next(iter(able)))
                able[f"e{turn + 9}"] = (1.0, f"10.0.1.{turn}:80")
            keeping.should_update(held, now)
            if keeping.update_allocation(
                held, now, able, lambda id: id not in able, LoadDistribution(), set()
            ):
                keeping.record_commit(held, now, now)
            for kind, r in keeping.due_calls(now):
                status = 200 if turn % 3 else 0
                if keeping.authorize_send(kind, r, now):
                    keeping.record_result(kind, r, status, "", now)
        fences = {r.fence for r in held.ranges}
        self.assertLessEqual(keeping.last_grant_sent.keys(), fences)
        self.assertGreater(held.fence, 80)
        for notes in (
            keeping.last_grant_sent,
            keeping.last_grant_acked,
            keeping.failed_calls,
            keeping.handovers,
            keeping.in_flight,
        ):
            self.assertLess(len(notes), 25)

    def test_connections_to_controllers_that_left_are_closed_and_forgotten(self) -> None:
        peer_pool, link = PeerPool(("10.0.0.1", 7), mock.Mock()), mock.Mock()
        for table in (peer_pool.links, peer_pool.locks):
            table.update({("10.0.0.2", 7): link, ("10.0.0.3", 7): link})
        member_list = mock.Mock(members={"b": mock.Mock(address=("10.0.0.2", 7))})
        plane = mock.Mock(peer_pool=peer_pool, member_list=member_list, group=[], seeds=list)
        ControlPlane.forget_left(plane)
        ControlPlane.forget_left(plane)
        self.assertEqual([[*table] for table in (peer_pool.links, peer_pool.locks)], [[("10.0.0.2", 7)]] * 2)
        link.close.assert_called_once()


CALM = settings(derandomize=True, deadline=None, max_examples=120)

# Heartbeats are drawn more often than what disturbs them.
STEP_KINDS = ["beat"] * 6 + [
    "closing",
    "leave",
    "turn",
    "carry",
    "some",
    "again",
    "restart",
    "wipe",
    "cut",
    "heal",
    "refuse",
]


STEPS = st.lists(
    st.tuples(st.sampled_from(STEP_KINDS), st.integers(0, 2), st.integers(0, 2), st.integers(0, 99)),
    max_size=60,
)


class RandomRun:
    """Endpoints of three ids, two of which share an address, and three controllers, in any order of messages.

    `check()` raises AssertionError where something that was acknowledged is not on a quorum's disks, where a
    controller takes back that an endpoint is draining, or where it ends one that has not signed off. One disk
    at a time may come back empty; it counts as a loss that is borne until it has collected.

    Attributes:
        last_seq: of the calls of each endpoint.
        acknowledged_rank: the highest of each endpoint, -1 where none was.
        known_rank: by controller and endpoint, as last seen.
        updates: all that was ever published.
        signed_off: ids of the endpoints that called to sign off.
    """

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.last_seq = [0, 0, 0]
        self.acknowledged_rank = [-1, -1, -1]
        self.known_rank: dict[tuple[Address, str], int] = {}
        self.updates: list[list] = []
        self.signed_off: set[str] = set()
        for controller in self.fleet:
            self.watch(controller)

    def watch(self, controller: ControllerProcess) -> None:
        controller.updates.watchers.append(
            lambda *row: self.updates.append([*row, controller.updates.age(row[0])])
        )

    def id(self, number: int) -> str:
        return f"e{number}"

    def send_heartbeat(self, number: int, at: int, seq: int, state: str) -> None:
        if not self.fleet[at].send_heartbeat(self.id(number), seq, state, f"10.0.0.{number // 2}:80"):
            return
        rank = CLOSES if state == "closing" else SERVES
        self.acknowledged_rank[number] = max(self.acknowledged_rank[number], rank)

    def step(self, kind: str, number: int, at: int, draw: int) -> None:
        """One step of an endpoint or controller, then the check.

        Args:
            kind: of `STEP_KINDS`.
            number: of the endpoint.
            at: number of the controller.
            draw: decides what the kind leaves open.
        """
        fleet = self.fleet
        controller = fleet[at]
        if kind in ("beat", "closing"):
            self.heartbeat_step(kind, number, at, draw)
        elif kind == "leave" and controller.serving:
            self.signed_off.add(self.id(number))
            if controller.endpoints.sign_off(self.id(number)):
                self.acknowledged_rank[number] = ENDS
        elif kind == "turn":
            fleet.time_s += draw / 20
            controller.endpoints.check_silence(0.0)
        elif kind == "carry":
            fleet.spread_updates()
        elif kind == "some" and self.updates:
            update = self.updates[draw % len(self.updates)]  # old, twice, out of order
            controller.learn(UNPACK(PACK(update)))
        elif kind == "again":
            controller.endpoints.sync_from_quorum()
        elif kind == "restart":
            self.restart(at)
        elif kind == "wipe" and all(other.endpoints.complete for other in fleet):
            controller.store = SimulatedDisk(voting=False)
            self.restart(at)
        elif kind == "cut":
            fleet.cut_ways.add((fleet[at].address, fleet[draw % 3].address))
        elif kind == "heal":
            fleet.cut_ways.clear()
            controller.store.refuses = False
        elif kind == "refuse":
            controller.store.refuses = True
        self.check()

    def heartbeat_step(self, kind: str, number: int, at: int, draw: int) -> None:
        late = draw % 3 == 0 and self.last_seq[number]
        self.last_seq[number] += not late
        seq = draw % self.last_seq[number] + 1 if late else self.last_seq[number]
        self.send_heartbeat(number, at, seq, "closing" if kind == "closing" else READY)

    def restart(self, at: int) -> None:
        address = self.fleet[at].address
        self.watch(self.fleet.restart(at))
        self.fleet[at].register.acceptor.voting = True  # it has read the register anew
        self.known_rank = {key: rank for key, rank in self.known_rank.items() if key[0] != address}
        self.start(self.fleet[at])

    def start(self, controller: ControllerProcess) -> None:
        controller.serving = controller.endpoints.recover()
        controller.contact_age_s = 0.0 if controller.serving else 86400.0
        if not controller.serving:
            return
        for number, rank in enumerate(self.acknowledged_rank):
            record = controller.registry.records.get(self.id(number))
            assert rank < 0 or record and record.rank >= rank, "not known after a start"

    def check(self) -> None:
        for number, rank in enumerate(self.acknowledged_rank):
            holders = {
                controller.address
                for controller in self.fleet
                if controller.store.rank(self.id(number)) >= rank or not controller.endpoints.complete
            }
            assert rank < 0 or self.fleet.voters.is_quorum(holders), "not on a quorum's disks"
        for controller in self.fleet:
            for endpoint_id, record in controller.registry.records.items():
                key = controller.address, endpoint_id
                assert record.rank < ENDS or endpoint_id in self.signed_off, "ended without a sign-off"
                assert record.rank >= self.known_rank.get(key, -1), "taken back"
                self.known_rank[key] = record.rank
                published = controller.updates.get(f"hut/{endpoint_id}")
                assert published is None or published["state"] == record.state, (
                    "others are told something else"
                )

    def end(self) -> None:
        """All is healed and known, and the first at each address calls once more: then all know the same."""
        fleet = self.fleet
        fleet.cut_ways.clear()
        for controller in fleet:
            controller.store.refuses = False
        for controller in sorted(fleet, key=lambda controller: not controller.endpoints.complete):
            if not controller.serving:
                self.start(controller)
                assert controller.serving, "no start though all are there"
        for controller in fleet:
            self.reconnect(controller)
        fleet.spread_updates()
        for number in (0, 2):
            self.last_seq[number] += 1
            self.send_heartbeat(number, number, self.last_seq[number], READY)
        fleet.spread_updates()
        self.check()
        self.check_convergence()

    def reconnect(self, controller: ControllerProcess) -> None:
        """Connections that broke come up again, and what the others missed is asked for."""
        self.fleet.serve_updates("one", controller.updates)
        for other in self.fleet:
            if other is controller:
                continue
            subscription = Subscription(
                self.fleet,
                other.updates,
                "one",
                lambda rows, other=other: [other.learn(row) for row in rows],
            )
            subscription.begin()
            subscription.close()

    def check_convergence(self) -> None:
        for endpoint_id in ("e0", "e2"):
            states = {controller.known_state(endpoint_id) for controller in self.fleet}
            agreed = {(state, state) for state in (READY, CLOSING, GONE)}
            assert len(states) == 1 and states < agreed, states
        ranks = [
            {endpoint_id: record.rank for endpoint_id, record in controller.registry.records.items()}
            for controller in self.fleet
        ]
        assert all(known == ranks[0] for known in ranks), ranks
        for controller in self.fleet:
            alive = {
                endpoint_id
                for endpoint_id in ("e0", "e1")
                if controller.known_state(endpoint_id)[0] in (READY, CLOSING)
            }
            assert len(alive) < 2, "two alive at one address"


def run_steps(steps: list[tuple[str, int, int, int]]) -> None:
    run = RandomRun()
    for step in steps:
        run.step(*step)
    run.end()


def planted_faults() -> dict[str, tuple[type, str, Callable]]:
    """Faults by what they do: the class and method that each replaces, and by what."""
    hear = EndpointRegistry.record_heartbeat
    join = EndpointRegistry.merge
    replicate = EndpointService.replicate
    answer = EndpointService.answer
    init = EndpointService.__init__

    def acknowledge_repeats(self, id, rank, *rest):
        asked = self.__dict__.setdefault("asked", set())
        known = (id, rank) in asked
        asked.add((id, rank))
        return known or replicate(self, id, rank, *rest)

    def count_hearsay(self, epoch, id, rank, ids):
        self.registry.records[id].durable_rank = max(self.registry.records[id].durable_rank, rank)
        return answer(self, epoch, id, rank, ids)

    def take_back(self, id, beat, now, age=0):
        changed_ids = hear(self, id, beat, now, age)
        if self.records[id].sequence == beat.sequence and self.records[id].rank != ENDS:
            self.records[id].rank = beat.rank
        return changed_ids

    def take_newest(self, found, now):
        known = self.records.get(found.id)
        newer = known is not None and (found.sequence, found.liveness) > (known.sequence, known.liveness)
        join(self, found, now)
        if newer:
            known.rank = found.rank

    def end_rivals(self, id, beat, now, age=0):
        changed_ids = hear(self, id, beat, now, age)
        for other in changed_ids:
            if other != id:
                self.deregister(other, now)
        return changed_ids

    def count_empty_disk(self, *args):
        init(self, *args)
        self.complete = True

    return {
        "none": (EndpointService, "has_signed_off", EndpointService.has_signed_off),
        "a repeat is acknowledged at once": (EndpointService, "replicate", acknowledge_repeats),
        "a message is answered before the disk took it": (
            EndpointService,
            "ensure_on_disk",
            lambda self, id, rank: True,
        ),
        "what others say counts as a quorum": (EndpointService, "answer", count_hearsay),
        "a later heartbeat takes back that it drains": (EndpointRegistry, "record_heartbeat", take_back),
        "of two records the later number stands": (EndpointRegistry, "merge", take_newest),
        "an address given anew ends its first owner": (EndpointRegistry, "record_heartbeat", end_rivals),
        "an empty disk is counted": (EndpointService, "__init__", count_empty_disk),
        "a start waits for nobody": (EndpointService, "sync_from_quorum", lambda self: True),
        "one answer is a quorum": (Voters, "is_quorum", lambda self, heard: len({*heard}) > 0),
        "updates that are not agreed with are passed on": (
            EndpointService,
            "merge_update",
            lambda *_: None,
        ),
    }


class Convergence(unittest.TestCase):
    @CALM
    @given(STEPS)
    def test_any_order_of_messages_converges_and_keeps_what_was_acknowledged(
        self, steps: list[tuple[str, int, int, int]]
    ) -> None:
        run_steps(steps)

    def test_planted_faults_are_found(self) -> None:
        for name, (owner, method, fault) in planted_faults().items():
            draw, steps, found = random.Random(11), 0, None
            with mock.patch.object(owner, method, fault):
                while found is None and steps < 20_000:
                    run = RandomRun()
                    if method == "is_quorum":
                        run.fleet.voters = mock.Mock(is_quorum=lambda heard: len({*heard}) > 1)
                    try:
                        for _ in range(40):
                            steps += 1
                            run.step(
                                draw.choice(STEP_KINDS),
                                draw.randrange(3),
                                draw.randrange(3),
                                draw.randrange(100),
                            )
                        run.end()
                    except AssertionError as error:
                        found = str(error).partition("\n")[0]
            print(f"\n  planted: {name}: after {steps} steps: {found}", end="")
            self.assertEqual(found is None, name == "none", found)


if __name__ == "__main__":
    unittest.main()
