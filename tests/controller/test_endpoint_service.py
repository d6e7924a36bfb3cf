"""Endpoint service: acknowledged facts are stored by a quorum, and all controllers converge."""

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
DRAINING = EndpointState.DRAINING
SILENT = EndpointState.SILENT
GONE = EndpointState.GONE
RANK_SERVING = DrainRank.SERVING
RANK_DRAINING = DrainRank.DRAINING
RANK_ENDED = DrainRank.ENDED


class ManualRuntime:
    """A runtime with a manual clock, whose connections lead to relays of versioned stores."""

    def __init__(self) -> None:
        self.time_s = 1000.0
        self.relays: dict[Any, Relay] = {}

    def now(self) -> float:
        return self.time_s

    def now_ns(self) -> int:
        return int(self.time_s * 1e9)

    def serve_updates(self, name: str, updates: VersionedStore) -> None:
        """Route connections to this name to a relay of these updates."""
        self.relays[name] = Relay(mock.Mock(handlers={}, runtime=self), updates)

    def dial(self, address: str, handlers: dict[str, Callable], timeout: float) -> "DirectConnection":
        return DirectConnection(self.relays[address], handlers)


class DirectConnection:
    """A connection to a relay that delivers messages immediately, encoded as on the wire."""

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
    """A task that ran to completion when it was spawned."""

    def __init__(self, value: Any) -> None:
        self.value = value

    def result(self, timeout: float) -> Any:
        return self.value


class Cluster(ManualRuntime):
    """Controllers that exchange messages synchronously.

    Attributes:
        blocked_links: pairs (sender, receiver) between which all messages are lost.
    """

    def __init__(self, size: int = 3, voters: int | None = None, seed: int = 0) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.blocked_links: set[tuple[Address, Address]] = set()
        addresses = [(f"10.0.0.{number}", 7) for number in range(size)]
        self.voters = Voters(1, tuple((address, "") for address in addresses[: voters or size]))
        self.controllers = {
            address: InMemoryController(self, address, SimulatedDisk()) for address in addresses
        }

    def __getitem__(self, number: int) -> "InMemoryController":
        return [*self.controllers.values()][number]

    def __iter__(self) -> Iterator["InMemoryController"]:
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
        """Partition some controllers from the others, in both directions."""
        inside = {self[number].address for number in numbers}
        self.blocked_links |= {
            (sender, receiver)
            for sender in self.controllers
            for receiver in self.controllers
            if (sender in inside) != (receiver in inside)
        }

    def restart(self, number: int) -> "InMemoryController":
        """Replace a controller's process with a new one on the same disk."""
        stopped = self[number]
        self.controllers[stopped.address] = InMemoryController(
            self, stopped.address, stopped.store, serving=False
        )
        return self.controllers[stopped.address]

    def sync_proxy(self, updates: VersionedStore) -> None:
        """Bring a proxy's versioned store up to date with the first controller."""
        self.serve_updates("first", self[0].updates)
        subscription = Subscription(self, updates, "first")
        subscription.begin()
        subscription.close()

    def propagate_updates(self) -> None:
        """Deliver published updates over all links that are not blocked until none are left."""
        while any(controller.unsent_updates for controller in self):
            for controller in self:
                rows = controller.unsent_updates
                controller.unsent_updates = []
                for other in self:
                    if other is controller or (controller.address, other.address) in self.blocked_links:
                        continue
                    for row in rows:
                        other.apply_update(UNPACK(PACK(row)))


class SimulatedDisk:
    """State that survives a process restart; while `rejects_writes` is set, writes fail."""

    def __init__(self, voting: bool = True) -> None:
        self.facts: dict[str, str] = {}
        self.endpoint_rows: dict[str, bytes] = {}
        self.slots: dict[str, Any] = {}
        self.incarnation = "incarnation 1"
        self.voting = voting
        self.rejects_writes = False
        self.writes = 0

    def persist(
        self, slots: dict, facts: dict[str, str] | None = None, endpoint_rows: dict[str, bytes] | None = None
    ) -> bool:
        if self.rejects_writes:
            return False
        self.writes += 1
        self.facts |= facts or {}
        for endpoint_id, row in (endpoint_rows or {}).items():
            self.endpoint_rows[endpoint_id] = row
            if not row:
                del self.endpoint_rows[endpoint_id]
        return True

    def rank(self, endpoint_id: str) -> int:
        """The rank at which an endpoint is stored; -1 if it is not."""
        if endpoint_id not in self.endpoint_rows:
            return -1
        return EndpointRecord.from_row(UNPACK(self.endpoint_rows[endpoint_id], type=EndpointRow), 0).rank


class InMemoryController:
    """A control plane with only the endpoint service; `contact_age_s` is the age of its quorum contact."""

    def __init__(
        self, cluster: Cluster, address: Address, store: SimulatedDisk, serving: bool = True
    ) -> None:
        self.cluster = cluster
        self.address = address
        self.store = store
        self.serving = serving
        self.contact_age_s = 0.0
        self.peer_pool = self
        self.runtime = cluster
        self.updates = VersionedStore(cluster.now)
        self.handlers: dict[str, Callable] = {}
        self.unsent_updates: list[list] = []  # updates not yet sent to the other controllers
        self.updates.watchers.append(
            lambda *row: self.unsent_updates.append([*row, self.updates.age(row[0])])
        )
        self.register = Register(self, cluster.voters, store)
        self.endpoints = EndpointService(self, 1500)

    @property
    def voter_addresses(self) -> list[Address]:
        return self.register.voter_addresses

    @property
    def registry(self) -> EndpointRegistry:
        return self.endpoints.registry

    def peers(self) -> list[Address]:
        return [address for address in self.cluster.controllers if address != self.address]

    def update_age(self) -> float:
        return self.contact_age_s

    quorum_contact_age = update_age

    def ask(self, address: Address, kind: str, body: Any, timeout: float) -> Any:
        other = self.cluster.controllers[address]
        if (self.address, address) in self.cluster.blocked_links:
            return None
        answer = other.handlers[kind](None, UNPACK(PACK(body)))
        return None if (address, self.address) in self.cluster.blocked_links else UNPACK(PACK(answer))

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
        # All peers are asked, even if fewer answers are enough.
        answers = [row for row in rows if row[1] is not None]
        for size in range(len(answers)):
            if enough(answers[:size]):
                return answers[:size]
        return answers

    def apply_update(self, row: list) -> None:
        """Apply an update of another controller."""
        key, version, value, age_s = row
        if key.startswith("hut/"):
            self.endpoints.merge_update(key.partition("/")[2], version, value, age_s)
        self.updates.offer(key, version, value, age_s)

    def send_heartbeat(
        self, endpoint_id: str, seq: int, state: str = READY, addr: str = "10.0.0.9:80"
    ) -> bool:
        """Send an endpoint's heartbeat to this controller; whether it is acknowledged."""
        return self.endpoints.record_heartbeat(endpoint_id, Heartbeat("desk", addr, "north", 2, state, seq))

    def known_state(self, endpoint_id: str) -> tuple[str | None, str | None]:
        """An endpoint's state in this controller's registry, and in its published updates."""
        record = self.registry.records.get(endpoint_id)
        published = self.updates.get(f"hut/{endpoint_id}")
        return record and record.state, published and published["state"]


def is_stored_by_quorum(cluster: Cluster, endpoint_id: str, rank: int) -> bool:
    """Whether a quorum of disks has an endpoint at least at a rank."""
    return cluster.voters.is_quorum(
        controller.address for controller in cluster if controller.store.rank(endpoint_id) >= rank
    )


class Acknowledgement(unittest.TestCase):
    def test_a_repeat_is_acknowledged_no_sooner_than_a_first_call(self) -> None:
        for state, seq in ((READY, 1), (DRAINING, 5)):
            cluster = Cluster()
            if state == DRAINING:
                self.assertTrue(cluster[0].send_heartbeat("e", 4))
            cluster.partition(0)
            for _ in range(3):
                self.assertFalse(cluster[0].send_heartbeat("e", seq, state), state)
            self.assertFalse(cluster[0].send_heartbeat("e", seq + 1, state))
            cluster.blocked_links.clear()
            self.assertTrue(cluster[0].send_heartbeat("e", seq, state))
            self.assertTrue(
                is_stored_by_quorum(cluster, "e", RANK_DRAINING if state == DRAINING else RANK_SERVING)
            )

    def test_a_fact_learned_from_another_controller_is_replicated_before_it_is_acknowledged(self) -> None:
        cluster = Cluster(5)
        cluster.partition(0, 1)  # the first two are no quorum of the five
        self.assertFalse(cluster[0].send_heartbeat("e", 1, DRAINING))
        self.assertEqual(cluster[1].registry.records["e"].rank, RANK_DRAINING)
        self.assertFalse(cluster[1].send_heartbeat("e", 1, DRAINING))
        cluster.blocked_links.clear()
        cluster.propagate_updates()  # all know it by updates, but no third disk has stored it
        self.assertFalse(is_stored_by_quorum(cluster, "e", RANK_DRAINING))
        for number in (0, 1):  # partitioned again: they reach only each other
            cluster.partition(0, 1)
            self.assertFalse(cluster[number].send_heartbeat("e", 1, DRAINING))
        cluster.blocked_links.clear()
        self.assertTrue(cluster[2].send_heartbeat("e", 1, DRAINING))
        self.assertTrue(is_stored_by_quorum(cluster, "e", RANK_DRAINING))

    def test_a_fact_that_a_quorum_has_stored_needs_no_further_round(self) -> None:
        cluster = Cluster()
        self.assertTrue(cluster[0].send_heartbeat("e", 1))
        self.assertTrue(cluster[0].send_heartbeat("e", 2, DRAINING))
        writes = [controller.store.writes for controller in cluster]
        cluster.blocked_links = set()
        cluster.partition(0)
        self.assertTrue(cluster[0].send_heartbeat("e", 2, DRAINING))
        self.assertTrue(cluster[0].send_heartbeat("e", 1))  # a delayed call of the same incarnation
        self.assertEqual([controller.store.writes for controller in cluster], writes)
        self.assertFalse(cluster[0].endpoints.sign_off("e"))

    def test_a_sign_off_of_an_unknown_endpoint_is_stored_by_a_quorum(self) -> None:
        cluster = Cluster()
        cluster.partition(0)
        self.assertFalse(cluster[0].endpoints.sign_off("e"))
        self.assertFalse(cluster[0].endpoints.sign_off("e"))
        cluster.blocked_links.clear()
        self.assertTrue(cluster[0].endpoints.sign_off("e"))
        self.assertTrue(is_stored_by_quorum(cluster, "e", RANK_ENDED))
        for number in range(3):
            cluster.restart(number).endpoints.recover()
        # A late heartbeat after the sign-off is acknowledged.
        self.assertTrue(cluster[1].send_heartbeat("e", 9))
        self.assertEqual(cluster[1].registry.records["e"].state, GONE)

    def test_non_voters_and_disks_without_a_vote_do_not_count_towards_a_quorum(self) -> None:
        cluster = Cluster(size=6, voters=3)
        cluster.blocked_links = {(cluster[0].address, cluster[number].address) for number in (1, 2)}
        self.assertFalse(cluster[0].send_heartbeat("e", 1))  # three non-voters answered
        self.assertFalse(
            cluster[3].endpoints.sign_off("f") and not is_stored_by_quorum(cluster, "f", RANK_ENDED)
        )
        cluster.blocked_links.clear()
        cluster[1].register.acceptor.voting = cluster[2].register.acceptor.voting = False
        self.assertFalse(cluster[0].send_heartbeat("e", 1))
        cluster[1].register.acceptor.voting = True
        cluster[0].store.rejects_writes = True
        self.assertFalse(cluster[0].send_heartbeat("x", 1))  # its own disk counts only if it stored the row
        cluster[0].store.rejects_writes = False
        self.assertTrue(cluster[0].send_heartbeat("x", 1))
        # A non-voter accepts calls and replicates to the voters.
        self.assertTrue(cluster[4].send_heartbeat("g", 1))
        self.assertTrue(is_stored_by_quorum(cluster, "g", RANK_SERVING))
        cluster[2].register.acceptor.voting = True
        cluster.blocked_links = {(cluster[4].address, cluster[number].address) for number in (0, 1)}
        self.assertFalse(cluster[4].send_heartbeat("h", 1))

    def test_messages_of_another_epoch_are_rejected_and_retried(self) -> None:
        cluster = Cluster(size=5, voters=3)
        later = Voters(
            2,
            cluster.voters.old,
            tuple((cluster[n].address, cluster[n].store.incarnation) for n in (2, 3, 4)),
        )
        for number in (1, 2, 3, 4):
            self.assertTrue(cluster[number].register.adopt(later))
        cluster[0].register.voters = cluster.voters
        cluster.voters = later
        cluster.blocked_links = {
            (cluster[0].address, cluster[3].address),
            (cluster[0].address, cluster[4].address),
        }
        self.assertFalse(
            cluster[0].send_heartbeat("e", 1), "acknowledged by a quorum of the previous voters alone"
        )
        self.assertEqual(cluster[0].register.voters, later)  # a rejection carried the later voter set
        cluster.blocked_links.clear()
        self.assertTrue(cluster[0].send_heartbeat("e", 1))
        self.assertTrue(is_stored_by_quorum(cluster, "e", RANK_SERVING))
        outdated = Cluster()
        outdated[1].register.voters = outdated[2].register.voters = Voters()
        self.assertTrue(outdated[0].send_heartbeat("e", 1))  # it sends them its voter set
        self.assertEqual(outdated[1].register.voters, outdated.voters)

    def test_an_update_received_while_a_call_waits_is_kept_but_not_acknowledged_with_it(self) -> None:
        cluster = Cluster()
        ask = InMemoryController.ask

        def ask_after_update(controller: InMemoryController, *args: Any) -> Any:
            cluster[0].apply_update(["hut/e", [RANK_DRAINING, 6, 0], published_endpoint("closing"), 0.0])
            return ask(controller, *args)

        with mock.patch.object(InMemoryController, "ask", ask_after_update):
            self.assertTrue(cluster[0].send_heartbeat("e", 5))
        record = cluster[0].registry.records["e"]
        self.assertEqual(
            (cluster[0].known_state("e"), record.version), ((DRAINING, DRAINING), [RANK_DRAINING, 6, 0])
        )
        self.assertEqual(record.durable_rank, RANK_SERVING)
        cluster.partition(0)
        self.assertFalse(cluster[0].send_heartbeat("e", 6, "closing"))


class StartUp(unittest.TestCase):
    def test_a_start_waits_for_the_registries_of_a_quorum(self) -> None:
        cluster = Cluster(5)
        self.assertTrue(cluster[0].send_heartbeat("e", 1, DRAINING))
        cluster.partition(4, 3)
        self.assertFalse(cluster.restart(4).endpoints.recover())
        # A third controller becomes reachable.
        cluster.blocked_links = {link for link in cluster.blocked_links if cluster[2].address not in link}
        self.assertTrue(cluster[4].endpoints.recover())
        self.assertEqual(cluster[4].known_state("e"), (DRAINING, DRAINING))
        self.assertEqual(cluster[4].store.rank("e"), RANK_DRAINING)

    def test_what_was_acknowledged_is_known_after_any_two_restarts_with_the_third_unreachable(self) -> None:
        for first, second in ((0, 1), (1, 2), (2, 0)):
            cluster = Cluster()
            cluster.partition(2)
            self.assertTrue(cluster[0].send_heartbeat("e", 1))
            self.assertTrue(cluster[0].send_heartbeat("e", 2, DRAINING))
            cluster.blocked_links.clear()
            for number in range(3):
                cluster.restart(number)
            cluster.partition(3 - first - second)
            for number in (first, second):
                self.assertTrue(cluster[number].endpoints.recover())
                self.assertEqual(cluster[number].known_state("e"), (DRAINING, DRAINING))

    def test_an_empty_disk_counts_once_it_has_what_a_quorum_of_the_others_had(self) -> None:
        """Guards against losing an acknowledged fact.

        It is lost if a wiped disk that had stored it forms a quorum with a disk that never had it.
        """
        cluster = Cluster()
        cluster.partition(2)
        self.assertTrue(cluster[0].send_heartbeat("e", 1, DRAINING))  # on the first two disks
        cluster.blocked_links.clear()
        cluster[1].store = SimulatedDisk(voting=False)
        cluster.restart(1)
        cluster[1].register.acceptor.voting = True  # as after `recover_promises`
        cluster.partition(0)
        self.assertFalse(cluster[1].endpoints.recover())
        cluster.restart(2)
        self.assertFalse(cluster[2].endpoints.recover(), "an empty disk counted towards the quorum")
        cluster.blocked_links.clear()
        self.assertTrue(cluster[1].endpoints.recover())
        cluster.partition(0)
        self.assertTrue(cluster[2].endpoints.recover())
        self.assertEqual(cluster[2].known_state("e"), (DRAINING, DRAINING))
        self.assertEqual(cluster.restart(1).endpoints.registry_complete, True)

    def test_registries_are_fetched_in_pages(self) -> None:
        cluster = Cluster()
        for number in range(1300):
            heartbeat = Heartbeat("desk", f"10.1.1.1:{number}", "north", 2, READY, 1)
            cluster[0].registry.record_heartbeat(f"i-{number}", heartbeat, cluster.now_ns())
        restarted = cluster.restart(2)
        self.assertTrue(restarted.endpoints.recover())
        self.assertEqual(len(restarted.registry.records), 1300)
        self.assertEqual(len(restarted.store.endpoint_rows), 1300)
        size = max(
            len(PACK(cluster[0].endpoints.on_registry_page(None, [1, after]))) for after in ("", "i-5")
        )
        self.assertLess(size, MAX_PORTION_BYTES)

    def test_an_endpoint_known_only_to_an_outdated_disk_is_not_published_as_alive(self) -> None:
        cluster = Cluster()
        self.assertTrue(cluster[2].send_heartbeat("old", 1))
        for number in (0, 1):
            cluster[number].registry.forget("old")  # expired long ago
        cluster[0].send_heartbeat("new", 1, addr="10.0.0.8:80")
        restarted = cluster.restart(2)
        self.assertTrue(restarted.endpoints.recover())
        self.assertEqual(
            (restarted.known_state("old"), restarted.known_state("new")), ((SILENT, SILENT), (READY, READY))
        )
        self.assertTrue(restarted.send_heartbeat("old", 2))
        self.assertEqual(restarted.known_state("old"), (READY, READY))

    def test_a_controller_resynchronizes_after_a_long_loss_of_contact(self) -> None:
        cluster = Cluster()
        cluster[0].send_heartbeat("e", 1)
        cluster.partition(2)
        cluster[2].contact_age_s = SNAPSHOT_AFTER_S + 1
        cluster[0].endpoints.sign_off("e")
        cluster[2].endpoints.check_liveness(cluster[2].contact_age_s)
        self.assertTrue(cluster[2].endpoints.needs_resync)
        cluster.blocked_links.clear()
        cluster[2].contact_age_s = 0.0
        cluster[2].endpoints.check_liveness(0.0)
        self.assertEqual(
            (cluster[2].endpoints.needs_resync, cluster[2].known_state("e")), (False, (GONE, GONE))
        )


class AddressReuse(unittest.TestCase):
    def test_a_late_heartbeat_of_the_previous_owner_of_an_address_does_not_end_the_current_one(self) -> None:
        cluster = Cluster()
        cluster[0].send_heartbeat("old", 1)
        cluster.restart(0)
        for controller in cluster:
            controller.registry.records.pop("old", None)
            controller.registry.ids_by_address.clear()
        cluster[0].send_heartbeat("new", 4)
        cluster[0].send_heartbeat("old", 1)  # late, and its id is unknown here
        cluster.propagate_updates()
        self.assertEqual({controller.known_state("new") for controller in cluster}, {(GONE, GONE)})
        cluster[1].send_heartbeat("new", 5)
        cluster.propagate_updates()
        self.assertEqual({controller.known_state("new") for controller in cluster}, {(READY, READY)})
        self.assertEqual({controller.known_state("old") for controller in cluster}, {(GONE, GONE)})
        self.assertFalse(
            any(controller.endpoints.has_signed_off(id) for controller in cluster for id in ("old", "new"))
        )

    def test_two_endpoints_restored_with_one_address_are_resolved_by_the_next_heartbeat(self) -> None:
        rows = [
            ["a", "desk", "x:1", "n", 2, "", READY, 3, 0, 0, RANK_SERVING, 0],
            ["b", "desk", "x:1", "n", 2, "", DRAINING, 9, 0, 0, RANK_DRAINING, 0],
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
            self.assertEqual((registry.records["a"].state, registry.records["b"].state), (GONE, DRAINING))


class LivenessVerdicts(unittest.TestCase):
    def test_a_controller_that_receives_no_heartbeats_hides_no_endpoint_from_the_others(self) -> None:
        cluster = Cluster()
        for seq in (1, 2):
            cluster[0].send_heartbeat("e", seq)
        cluster.propagate_updates()
        # One-way partition: the third controller receives nothing, but its updates reach the others.
        cluster.blocked_links = {(cluster[number].address, cluster[2].address) for number in (0, 1)}
        for seq in range(3, 8):
            cluster.time_s += 1.5
            cluster[seq % 2].send_heartbeat("e", seq)
        cluster[2].endpoints.check_liveness(0.0)
        self.assertEqual(cluster[2].known_state("e"), (SILENT, SILENT))
        cluster.propagate_updates()
        self.assertEqual((cluster[0].known_state("e"), cluster[1].known_state("e")), ((READY, READY),) * 2)
        cluster.blocked_links.clear()
        cluster.propagate_updates()
        cluster[0].endpoints.publish(["e"])
        self.assertEqual(cluster[0].updates.entries["hut/e"][0], [RANK_SERVING, 7, 0])

    def test_a_verdict_received_from_another_controller_does_not_count_as_a_heartbeat(self) -> None:
        """Guards against an endpoint that stays hidden although it sends heartbeats again.

        A controller that knows it only from an update with the silent state must publish its return.
        """
        cluster = Cluster()
        cluster[0].send_heartbeat("e", 1)
        cluster.time_s += 5
        cluster[0].endpoints.check_liveness(0.0)
        replacement = cluster.controllers[cluster[1].address] = InMemoryController(
            cluster, cluster[1].address, SimulatedDisk()
        )
        cluster.propagate_updates()
        self.assertEqual(replacement.known_state("e"), (SILENT, SILENT))
        replacement.send_heartbeat("e", 2)
        cluster.propagate_updates()
        self.assertEqual({controller.known_state("e") for controller in cluster}, {(READY, READY)})

    def test_a_controller_judges_no_missed_heartbeats_after_a_loss_of_contact(self) -> None:
        cluster = Cluster()
        cluster[0].send_heartbeat("e", 1)
        cluster.time_s += 60
        cluster[0].endpoints.check_liveness(30.0)  # the process was suspended
        cluster[0].endpoints.check_liveness(0.0)
        cluster[0].endpoints.check_liveness(0.0)
        self.assertEqual(cluster[0].known_state("e"), (READY, READY))
        cluster.time_s += 5
        cluster[0].endpoints.check_liveness(0.0)
        self.assertEqual(cluster[0].known_state("e"), (SILENT, SILENT))

    def test_draining_is_not_undone_by_a_later_heartbeat_at_any_controller(self) -> None:
        cluster = Cluster()
        for id, late in (("e", "ready"), ("f", "closing")):
            cluster[0].send_heartbeat(id, 1)
            cluster.blocked_links = {(cluster[0].address, cluster[2].address)}
            self.assertTrue(cluster[0].send_heartbeat(id, 7, "closing"))
            cluster.blocked_links = {(cluster[2].address, other.address) for other in cluster}
            if late == "ready":
                cluster[2].send_heartbeat(id, 8)  # it did not receive 7
            cluster.blocked_links.clear()
            cluster.propagate_updates()
            self.assertEqual({controller.known_state(id) for controller in cluster}, {(DRAINING, DRAINING)})
            cluster[2].send_heartbeat(id, 9)
            cluster.propagate_updates()
            self.assertEqual({controller.known_state(id) for controller in cluster}, {(DRAINING, DRAINING)})

    def test_draining_takes_effect_though_its_heartbeat_arrives_late(self) -> None:
        cluster = Cluster()
        cluster[0].send_heartbeat("e", 8)
        self.assertTrue(cluster[1].send_heartbeat("e", 7, "closing"))
        cluster.propagate_updates()
        self.assertEqual({controller.known_state("e") for controller in cluster}, {(DRAINING, DRAINING)})


class BoundedState(unittest.TestCase):
    def test_state_is_bounded_by_the_number_of_live_endpoints(self) -> None:
        """No table grows with the number of endpoints that have ever existed.

        The run has 2,000 endpoints, ten at a time, a third of which crash; 500 changes of the assignment; and
        sign-offs of unknown ids.
        """
        cluster = Cluster()
        rng = random.Random(5)
        proxy = VersionedStore(cluster.now)
        view = RoutingView(proxy, FleetPosition("n", "r"), {"north": "r"}, cluster.now_ns, TimingBounds())
        operator_requests = [OperatorRequests(controller) for controller in cluster]
        live, started, sizes, digests = {}, 0, [], set()
        while started < 2000 or live:
            cluster.time_s += 1.0
            if started < 2000 and len(live) < 10:
                started += 1
                live[f"i-{started}"] = [1, cluster.time_s + rng.uniform(5, 15), f"10.0.0.{started % 50}:80"]
            for id, (seq, stops_at, addr) in [*live.items()]:
                live[id][0] += 1
                if cluster.time_s < stops_at:
                    rng.choice([*cluster]).send_heartbeat(id, seq, READY, addr)
                elif rng.random() < 0.3:
                    del live[id]  # crashed
                elif seq < 100:
                    live[id][0] = 100
                    rng.choice([*cluster]).send_heartbeat(id, seq, "closing", addr)
                else:
                    del live[id]
                    rng.choice([*cluster]).endpoints.sign_off(id)
            if cluster.time_s % 16 == 0:
                rng.choice([*cluster]).endpoints.sign_off(f"unknown-{cluster.time_s}")
            number = int(cluster.time_s - 1000) // 4
            if cluster.time_s % 4 == 0 and number <= 500:
                value = PACK([number, {f"r{number + n} desk": sorted(live)[:3] for n in range(5)}])
                for requests in operator_requests:
                    requests.publish("map", value)
            for controller in cluster:
                controller.endpoints.check_liveness(0.0)
                controller.updates.expire()
            cluster.propagate_updates()
            cluster.sync_proxy(proxy)
            proxy.expire()
            digests.add(len(proxy.digest()))
            controller_sizes = [
                [
                    len(controller.updates.entries),
                    len(controller.registry.records),
                    len(controller.registry.ids_by_address),
                    len(controller.store.endpoint_rows),
                    len(controller.endpoints.stored_ids),
                    len(controller.updates.tombstoned_at),
                ]
                for controller in cluster
            ]
            largest = [max(column) for column in zip(*controller_sizes)]
            proxy_sizes = [len(proxy.entries), len(view.endpoints), len(view.assignments)]
            sizes.append([started, *largest, *proxy_sizes])
        names = [
            "updates",
            "records",
            "ids by address",
            "disk rows",
            "ids with rows",
            "tombstones",
            "proxy's updates",
            "proxy's endpoints",
            "proxy's assignments",
        ]
        max_in_first_tenth = [
            max(size[at + 1] for size in sizes if size[0] <= 200) for at in range(len(names))
        ]
        max_overall = [max(size[at + 1] for size in sizes) for at in range(len(names))]
        print("\n2,000 endpoints, 500 changes: most in the first tenth, in all, at the end:")
        for name, row in zip(names, zip(max_in_first_tenth, max_overall, sizes[-1][1:])):
            print(f"  {name}: {row[0]} {row[1]} {row[2]}")
            self.assertLessEqual(row[1], 1.25 * row[0] + 2, name)
        self.assertEqual(digests, {8 * BUCKETS})
        for _ in range(150):
            cluster.time_s += 1.0
            for controller in cluster:
                controller.endpoints.check_liveness(0.0)
                controller.updates.expire()
            cluster.propagate_updates()
            cluster.sync_proxy(proxy)
            proxy.expire()
        for controller in cluster:
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
            (len(proxy.entries), len(view.assignments), view.endpoints, view.services), (6, 5, {}, {})
        )
        self.assertEqual(proxy.digest(), cluster[0].updates.digest())

    def test_grant_records_are_dropped_with_their_ranges(self) -> None:
        leases = RangeLeases("k", 10)
        allocation = Allocation.from_row(None)
        eligible = {f"e{n}": (1.0, f"10.0.0.{n}:80") for n in range(4)}
        for step in range(400):
            now = float(step)
            if step % 5 == 0:
                eligible.pop(next(iter(eligible)))
                eligible[f"e{step + 9}"] = (1.0, f"10.0.1.{step}:80")
            leases.should_update(allocation, now)
            if leases.update_allocation(
                allocation, now, eligible, lambda id: id not in eligible, LoadDistribution(), set()
            ):
                leases.record_commit(allocation, now, now)
            for kind, key_range in leases.due_calls(now):
                status = 200 if step % 3 else 0
                if leases.authorize_send(kind, key_range, now):
                    leases.record_result(kind, key_range, status, "", now)
        fences = {key_range.fence for key_range in allocation.ranges}
        self.assertLessEqual(leases.last_grant_sent.keys(), fences)
        self.assertGreater(allocation.fence, 80)
        for table in (
            leases.last_grant_sent,
            leases.last_grant_acked,
            leases.failed_calls,
            leases.handovers,
            leases.in_flight,
        ):
            self.assertLess(len(table), 25)

    def test_connections_to_departed_controllers_are_closed_and_removed(self) -> None:
        peer_pool, link = PeerPool(("10.0.0.1", 7), mock.Mock()), mock.Mock()
        for table in (peer_pool.connections, peer_pool.dial_locks):
            table.update({("10.0.0.2", 7): link, ("10.0.0.3", 7): link})
        member_list = mock.Mock(members={"b": mock.Mock(address=("10.0.0.2", 7))})
        plane = mock.Mock(peer_pool=peer_pool, member_list=member_list, voter_addresses=[], seeds=list)
        ControlPlane.close_departed_connections(plane)
        ControlPlane.close_departed_connections(plane)
        self.assertEqual(
            [[*table] for table in (peer_pool.connections, peer_pool.dial_locks)], [[("10.0.0.2", 7)]] * 2
        )
        link.close.assert_called_once()


REPRODUCIBLE = settings(derandomize=True, deadline=None, max_examples=120)

# Heartbeats are drawn more often than disturbances.
STEP_KINDS = ["heartbeat"] * 6 + [
    "drain",
    "sign off",
    "pass time",
    "propagate",
    "replay update",
    "resync",
    "restart",
    "wipe",
    "block link",
    "heal",
    "reject writes",
]


STEPS = st.lists(
    st.tuples(st.sampled_from(STEP_KINDS), st.integers(0, 2), st.integers(0, 2), st.integers(0, 99)),
    max_size=60,
)


class RandomRun:
    """A run of three endpoints, two of which share an address, and three controllers, driven by drawn steps.

    `check` raises AssertionError if an acknowledged rank is not stored by a quorum, if a controller lowers
    the rank of an endpoint, or if it ends an endpoint that has not signed off. One disk at a time may be
    wiped; it counts as a tolerated loss until it has synchronized from a quorum.

    Attributes:
        last_seq: last sequence number of each endpoint.
        acknowledged_rank: highest acknowledged rank of each endpoint; -1 if none.
        known_rank: rank last seen by controller and endpoint.
        updates: all updates that were ever published.
        signed_off: ids of the endpoints that sent a sign-off.
    """

    def __init__(self) -> None:
        self.cluster = Cluster()
        self.last_seq = [0, 0, 0]
        self.acknowledged_rank = [-1, -1, -1]
        self.known_rank: dict[tuple[Address, str], int] = {}
        self.updates: list[list] = []
        self.signed_off: set[str] = set()
        for controller in self.cluster:
            self.watch(controller)

    def watch(self, controller: InMemoryController) -> None:
        controller.updates.watchers.append(
            lambda *row: self.updates.append([*row, controller.updates.age(row[0])])
        )

    def id(self, number: int) -> str:
        return f"e{number}"

    def send_heartbeat(self, number: int, at: int, seq: int, state: str) -> None:
        if not self.cluster[at].send_heartbeat(self.id(number), seq, state, f"10.0.0.{number // 2}:80"):
            return
        rank = RANK_DRAINING if state == "closing" else RANK_SERVING
        self.acknowledged_rank[number] = max(self.acknowledged_rank[number], rank)

    def step(self, kind: str, number: int, at: int, draw: int) -> None:
        """Perform one step, then check the invariants.

        Args:
            kind: one of `STEP_KINDS`.
            number: number of the endpoint.
            at: number of the controller.
            draw: random number for the details of the step.
        """
        cluster = self.cluster
        controller = cluster[at]
        if kind in ("heartbeat", "drain"):
            self.send_drawn_heartbeat(kind, number, at, draw)
        elif kind == "sign off" and controller.serving:
            self.signed_off.add(self.id(number))
            if controller.endpoints.sign_off(self.id(number)):
                self.acknowledged_rank[number] = RANK_ENDED
        elif kind == "pass time":
            cluster.time_s += draw / 20
            controller.endpoints.check_liveness(0.0)
        elif kind == "propagate":
            cluster.propagate_updates()
        elif kind == "replay update" and self.updates:
            update = self.updates[draw % len(self.updates)]  # may be outdated, repeated or out of order
            controller.apply_update(UNPACK(PACK(update)))
        elif kind == "resync":
            controller.endpoints.sync_from_quorum()
        elif kind == "restart":
            self.restart(at)
        elif kind == "wipe" and all(other.endpoints.registry_complete for other in cluster):
            controller.store = SimulatedDisk(voting=False)
            self.restart(at)
        elif kind == "block link":
            cluster.blocked_links.add((cluster[at].address, cluster[draw % 3].address))
        elif kind == "heal":
            cluster.blocked_links.clear()
            controller.store.rejects_writes = False
        elif kind == "reject writes":
            controller.store.rejects_writes = True
        self.check()

    def send_drawn_heartbeat(self, kind: str, number: int, at: int, draw: int) -> None:
        late = draw % 3 == 0 and self.last_seq[number]
        self.last_seq[number] += not late
        seq = draw % self.last_seq[number] + 1 if late else self.last_seq[number]
        self.send_heartbeat(number, at, seq, "closing" if kind == "drain" else READY)

    def restart(self, at: int) -> None:
        address = self.cluster[at].address
        self.watch(self.cluster.restart(at))
        self.cluster[at].register.acceptor.voting = True  # as after `recover_promises`
        self.known_rank = {key: rank for key, rank in self.known_rank.items() if key[0] != address}
        self.start(self.cluster[at])

    def start(self, controller: InMemoryController) -> None:
        controller.serving = controller.endpoints.recover()
        controller.contact_age_s = 0.0 if controller.serving else 86400.0
        if not controller.serving:
            return
        for number, rank in enumerate(self.acknowledged_rank):
            record = controller.registry.records.get(self.id(number))
            assert rank < 0 or record and record.rank >= rank, "acknowledged rank not known after a start"

    def check(self) -> None:
        for number, rank in enumerate(self.acknowledged_rank):
            holders = {
                controller.address
                for controller in self.cluster
                if controller.store.rank(self.id(number)) >= rank
                or not controller.endpoints.registry_complete
            }
            assert rank < 0 or self.cluster.voters.is_quorum(holders), (
                "acknowledged rank not stored by a quorum"
            )
        for controller in self.cluster:
            for endpoint_id, record in controller.registry.records.items():
                key = controller.address, endpoint_id
                assert record.rank < RANK_ENDED or endpoint_id in self.signed_off, "ended without a sign-off"
                assert record.rank >= self.known_rank.get(key, -1), "rank lowered"
                self.known_rank[key] = record.rank
                published = controller.updates.get(f"hut/{endpoint_id}")
                assert published is None or published["state"] == record.state, (
                    "published state differs from the registry"
                )

    def end(self) -> None:
        """Heal all faults, let one endpoint at each address send a heartbeat, and check convergence."""
        cluster = self.cluster
        cluster.blocked_links.clear()
        for controller in cluster:
            controller.store.rejects_writes = False
        for controller in sorted(cluster, key=lambda controller: not controller.endpoints.registry_complete):
            if not controller.serving:
                self.start(controller)
                assert controller.serving, "start-up failed although all controllers are reachable"
        for controller in cluster:
            self.reconnect(controller)
        cluster.propagate_updates()
        for number in (0, 2):
            self.last_seq[number] += 1
            self.send_heartbeat(number, number, self.last_seq[number], READY)
        cluster.propagate_updates()
        self.check()
        self.check_convergence()

    def reconnect(self, controller: InMemoryController) -> None:
        """Reconnect the other controllers to this one, so that they fetch the updates that they missed."""
        self.cluster.serve_updates("one", controller.updates)
        for other in self.cluster:
            if other is controller:
                continue
            subscription = Subscription(
                self.cluster,
                other.updates,
                "one",
                lambda rows, other=other: [other.apply_update(row) for row in rows],
            )
            subscription.begin()
            subscription.close()

    def check_convergence(self) -> None:
        for endpoint_id in ("e0", "e2"):
            states = {controller.known_state(endpoint_id) for controller in self.cluster}
            agreed = {(state, state) for state in (READY, DRAINING, GONE)}
            assert len(states) == 1 and states < agreed, states
        ranks = [
            {endpoint_id: record.rank for endpoint_id, record in controller.registry.records.items()}
            for controller in self.cluster
        ]
        assert all(known == ranks[0] for known in ranks), ranks
        for controller in self.cluster:
            alive = {
                endpoint_id
                for endpoint_id in ("e0", "e1")
                if controller.known_state(endpoint_id)[0] in (READY, DRAINING)
            }
            assert len(alive) < 2, "two live endpoints at one address"


def run_and_check(steps: list[tuple[str, int, int, int]]) -> None:
    run = RandomRun()
    for step in steps:
        run.step(*step)
    run.end()


def planted_faults() -> dict[str, tuple[type, str, Callable]]:
    """Faults by description: the class and method to replace, and the replacement."""
    record_heartbeat = EndpointRegistry.record_heartbeat
    merge = EndpointRegistry.merge
    replicate = EndpointService.replicate
    store_and_confirm = EndpointService.store_and_confirm
    init = EndpointService.__init__

    def acknowledge_repeats(self, id, rank, *rest):
        asked = self.__dict__.setdefault("asked", set())
        known = (id, rank) in asked
        asked.add((id, rank))
        return known or replicate(self, id, rank, *rest)

    def trust_reported_rank(self, epoch, id, rank, ids):
        self.registry.records[id].durable_rank = max(self.registry.records[id].durable_rank, rank)
        return store_and_confirm(self, epoch, id, rank, ids)

    def lower_rank(self, id, heartbeat, now, age=0):
        changed_ids = record_heartbeat(self, id, heartbeat, now, age)
        if self.records[id].sequence == heartbeat.sequence and self.records[id].rank != RANK_ENDED:
            self.records[id].rank = heartbeat.rank
        return changed_ids

    def take_rank_of_newest(self, incoming, now):
        known = self.records.get(incoming.id)
        newer = known is not None and (incoming.sequence, incoming.liveness) > (
            known.sequence,
            known.liveness,
        )
        merge(self, incoming, now)
        if newer:
            known.rank = incoming.rank

    def end_rivals(self, id, heartbeat, now, age=0):
        changed_ids = record_heartbeat(self, id, heartbeat, now, age)
        for other in changed_ids:
            if other != id:
                self.deregister(other, now)
        return changed_ids

    def count_empty_disk(self, *args):
        init(self, *args)
        self.registry_complete = True

    return {
        "none": (EndpointService, "has_signed_off", EndpointService.has_signed_off),
        "a repeated call is acknowledged without a quorum": (
            EndpointService,
            "replicate",
            acknowledge_repeats,
        ),
        "a message is confirmed before it is stored": (
            EndpointService,
            "ensure_stored",
            lambda self, id, rank: True,
        ),
        "a rank reported by another controller counts as stored by a quorum": (
            EndpointService,
            "store_and_confirm",
            trust_reported_rank,
        ),
        "a later heartbeat undoes draining": (EndpointRegistry, "record_heartbeat", lower_rank),
        "a merge takes the rank of the newer record": (EndpointRegistry, "merge", take_rank_of_newest),
        "reuse of an address signs off its previous owner": (
            EndpointRegistry,
            "record_heartbeat",
            end_rivals,
        ),
        "an empty disk counts towards a quorum": (EndpointService, "__init__", count_empty_disk),
        "start-up does not wait for a quorum": (EndpointService, "sync_from_quorum", lambda self: True),
        "one answer is a quorum": (Voters, "is_quorum", lambda self, heard: len({*heard}) > 0),
        "outdated updates are not corrected": (
            EndpointService,
            "merge_update",
            lambda *_: None,
        ),
    }


class Convergence(unittest.TestCase):
    @REPRODUCIBLE
    @given(STEPS)
    def test_any_order_of_messages_converges_and_keeps_what_was_acknowledged(
        self, steps: list[tuple[str, int, int, int]]
    ) -> None:
        run_and_check(steps)

    def test_planted_faults_are_found(self) -> None:
        for name, (owner, method, fault) in planted_faults().items():
            draw, steps, found = random.Random(11), 0, None
            with mock.patch.object(owner, method, fault):
                while found is None and steps < 20_000:
                    run = RandomRun()
                    if method == "is_quorum":
                        run.cluster.voters = mock.Mock(is_quorum=lambda heard: len({*heard}) > 1)
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
