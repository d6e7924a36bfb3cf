"""Composition root of a controller's control plane: constructs the components and starts their loops.

It opens no sockets itself. The peer pool (with its runtime), the store and the member list are injected, so
that the same code runs on real connections in `program` and on simulated ones under `flintreach.simulation`.
"""

from collections.abc import Callable

import msgspec

from flintreach.common.keys import CONFIGURATION_KEY, EVACUATION_KEY, ROLE_CONTROLLER
from flintreach.common.lifecycle import UnhandledErrors
from flintreach.config.configuration import Configuration
from flintreach.config.routing import Routes
from flintreach.config.settings import ProcessSettings
from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.register import Register
from flintreach.consensus.store import Store
from flintreach.controller import views
from flintreach.controller.endpoint_service import EndpointService
from flintreach.controller.load_placement import LoadPlacement
from flintreach.controller.operator_requests import OperatorRequests
from flintreach.controller.peer_exchange import PeerExchange
from flintreach.controller.quorum_contact import (
    MAX_CHECK_GAP_S,
    NEVER,
    QuorumContact,
    SuspendDetector,
)
from flintreach.controller.repair import Repair
from flintreach.controller.views import RefusalCount
from flintreach.dissemination.relay import Relay
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.endpoints.registry import EndpointRegistry
from flintreach.membership.member_list import MemberList
from flintreach.transport.peer_pool import PeerPool


def do_nothing() -> None:
    """Default for an optional callback."""


class ControlPlane:
    """The components of one controller and the state they share.

    Attributes:
        serving: whether API calls may be answered, i.e. start-up recovery is complete.
        updates: the versioned state that this controller disseminates.
        routes: routes of the current configuration; None until one is known.
        unhandled_errors: exceptions that nothing handled.
        refusals: calls answered with 503 because they could not be confirmed, by reason.
    """

    def __init__(
        self,
        node: ProcessSettings,
        peer_pool: PeerPool,
        store: Store | None,
        member_list: MemberList,
        seeds: Callable[[], list[Address]],
        on_serving: Callable[[], None] = do_nothing,
    ) -> None:
        """Construct the components; nothing runs before `start`.

        Args:
            node: settings of this process.
            peer_pool: connections to the peers, and the runtime.
            store: durable storage of this process; None if it is stateless.
            member_list: cluster members known from the membership protocol.
            seeds: returns the seed addresses from the current settings.
            on_serving: called once, when API calls may be answered.
        """
        self.node = node
        self.peer_pool = peer_pool
        self.runtime = peer_pool.runtime
        self.store = store
        self.member_list = member_list
        self.seeds = seeds
        self.on_serving = on_serving
        self.first_run = node.identity.first_run
        self.updates = VersionedStore(self.runtime.now)
        self.register = Register(peer_pool, Voters.from_facts(store.facts if store else {}), store)
        self.serving = False
        self.unhandled_errors = UnhandledErrors()
        self.quorum_contact = QuorumContact()
        self.suspend_detector = SuspendDetector(self.runtime.now())
        self.refusals: dict[str, RefusalCount] = {}
        self.routes: Routes | None = None
        self.endpoints = EndpointService(self, node.heartbeats.report_ms)
        self.operator_requests = OperatorRequests(self)
        self.repair = Repair(self)
        self.peer_exchange = PeerExchange(self)
        self.load_placement = LoadPlacement(self)
        self.relay = Relay(peer_pool, self.updates, None, self.load_placement.add_load, self.update_age)
        self.updates.watchers.append(self.on_update)

    def start(self) -> None:
        """Start the background loops of all components."""
        self.relay.start()
        for loop in (
            self.check_for_suspensions,
            self.repair.sweep,
            self.peer_exchange.run,
            self.endpoints.run,
            self.load_placement.key_ranges.run,
            self.load_placement.run,
        ):
            self.runtime.spawn_loop(loop)

    def start_serving(self) -> bool:
        """Recover the endpoint registry from a quorum, then start answering API calls.

        Returns:
            Whether recovery succeeded; until it has, API calls are not accepted.
        """
        if not self.endpoints.recover():
            return False
        self.serving = True
        self.on_serving()
        return True

    # Peers.

    @property
    def voter_addresses(self) -> list[Address]:
        """Return the addresses of the voters; empty until they are known."""
        return self.register.voter_addresses

    @property
    def registry(self) -> EndpointRegistry:
        """Return the endpoint registry."""
        return self.endpoints.registry

    def peers(self) -> list[Address]:
        """Return the addresses of the other controllers that are alive or are voters."""
        alive = {member.address for member in self.member_list.alive(ROLE_CONTROLLER)}
        return sorted({*alive, *self.voter_addresses} - {self.peer_pool.address})

    def close_departed_connections(self) -> None:
        """Close connections to controllers that have left the cluster.

        Without this, connections would accumulate as machines are replaced over the life of the process.
        """
        known = {member.address for member in self.member_list.members.values()}
        known |= {*self.voter_addresses, *self.seeds()}
        for address in sorted(self.peer_pool.dial_locks.keys() - known):
            self.peer_pool.disconnect(address)

    # Staleness.

    def quorum_contact_age(self) -> float:
        """Return an upper bound on this controller's staleness, in seconds.

        Every change that was acknowledged longer ago than that is known here.
        """
        return self.quorum_contact.age(self.register.voters, self.runtime.now())

    def update_age(self) -> float:
        """Return the age of the updates that this controller disseminates, in seconds.

        Equals `quorum_contact_age` while it serves; NEVER during start-up, and while the endpoint registry is
        resynchronized after a long loss of contact with the quorum.
        """
        if not self.serving or self.endpoints.needs_resync:
            return NEVER
        return self.quorum_contact_age()

    def check_for_suspensions(self) -> None:
        """Poll the clock often enough for `SuspendDetector` to notice every suspension of this process."""
        while True:
            self.suspend_detector.is_current(self.runtime.now())
            self.runtime.sleep(MAX_CHECK_GAP_S / 4)

    # Published state and refusals.

    def on_update(self, key: str, version: object, value: bytes) -> None:
        """Apply a newly published configuration."""
        if key == CONFIGURATION_KEY:
            self.routes = Routes(msgspec.json.decode(value, type=Configuration))

    def evacuated_zones(self) -> set[str]:
        """Return the zones under evacuation."""
        zones = self.updates.get(EVACUATION_KEY) or {}
        return {zone for zone, is_evacuated in zones.items() if is_evacuated}

    def count_refusal(self, reason: str) -> None:
        """Count a call that could not be confirmed, for the status view."""
        refusal = self.refusals.setdefault(reason, RefusalCount())
        refusal.count += 1
        refusal.last_at = self.runtime.now()

    def show(self, view: str) -> list[views.Row] | None:
        """Return the rows of a view as `flintreach show` prints them; None if the view does not exist."""
        return views.show(self, view)
