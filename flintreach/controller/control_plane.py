"""The control plane of one controller, without sockets of its own: it assembles the parts and starts them.

A program feeds it from real connections, a simulation from a clock and connections of its own: all that it
takes from outside is its pool of peers with their runtime, its store and the list of members.
"""

from collections.abc import Callable

import msgspec

from flintreach.common.keys import CONFIGURATION_KEY, EVACUATION_KEY, ROLE_CONTROLLER
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
    """Stand in for a callback that nobody wants."""


class ControlPlane:
    """The parts of one controller, and what they share.

    Attributes:
        serving: whether callers may be answered: the start is over.
        updates: what this controller disseminates.
        routes: those of the configuration that stands; None before there is one.
        refusals: calls that were not confirmed, by reason.
    """

    def __init__(
        self,
        node: ProcessSettings,
        peer_pool: PeerPool,
        store: Store | None,
        member_list: MemberList,
        seeds: Callable[[], list[Address]],
        on_begin: Callable[[], None] = do_nothing,
    ) -> None:
        """Assemble the parts; nothing runs before `start`.

        Args:
            node: settings of this process.
            peer_pool: connections to the peers, and the runtime.
            store: this process's disk; None where it has none.
            member_list: the processes that are known.
            seeds: returns the addresses to join by, as the settings name them now.
            on_begin: called once, when callers may be answered.
        """
        self.node = node
        self.peer_pool = peer_pool
        self.runtime = peer_pool.runtime
        self.store = store
        self.member_list = member_list
        self.seeds = seeds
        self.on_begin = on_begin
        self.first_run = node.sender.first_run
        self.updates = VersionedStore(self.runtime.now)
        self.register = Register(peer_pool, Voters.from_facts(store.facts if store else {}), store)
        self.serving = False
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
        """Start the loops of all parts."""
        self.relay.start()
        for loop in (
            self.watch_clock,
            self.repair.sweep,
            self.peer_exchange.run,
            self.endpoints.run,
            self.load_placement.key_ranges.run,
            self.load_placement.run,
        ):
            self.runtime.spawn(loop)

    def start_serving(self) -> bool:
        """Let callers in, once what stands in the register is known here.

        Returns:
            Whether what a quorum knows of endpoints is known here too; before that nobody may call.
        """
        if not self.endpoints.recover():
            return False
        self.serving = True
        self.on_begin()
        return True

    # Who the others are.

    @property
    def group(self) -> list[Address]:
        """Return the addresses of the voters; empty until they are known."""
        return self.register.voter_addresses

    @property
    def registry(self) -> EndpointRegistry:
        """Return the registry of endpoints."""
        return self.endpoints.registry

    def peers(self) -> list[Address]:
        """Return the addresses of the other controllers that are alive or vote."""
        addresses = {member.address for member in self.member_list.alive(ROLE_CONTROLLER)} | set(self.group)
        return sorted(addresses - {self.peer_pool.address})

    def forget_left(self) -> None:
        """Close connections to controllers that have left: a fleet may change all its machines in time."""
        known = {member.address for member in self.member_list.members.values()}
        known |= {*self.group, *self.seeds()}
        for address in sorted(self.peer_pool.locks.keys() - known):
            self.peer_pool.forget(address)

    # How current this controller is.

    def quorum_contact_age(self) -> float:
        """Return the seconds since a time up to which all that was acknowledged is known here."""
        return self.quorum_contact.age(self.register.voters, self.runtime.now())

    def update_age(self) -> float:
        """Return the age of the updates that this controller passes on, in seconds.

        As `quorum_contact_age`; NEVER before its start is over, and while it catches up after a long time out
        of contact.
        """
        if not self.serving or self.endpoints.behind:
            return NEVER
        return self.quorum_contact_age()

    def watch_clock(self) -> None:
        """Check the clock often enough to notice each suspension of this process."""
        while True:
            self.suspend_detector.is_current(self.runtime.now())
            self.runtime.sleep(MAX_CHECK_GAP_S / 4)

    # What was published or refused.

    def on_update(self, key: str, version: object, value: bytes) -> None:
        """Take a new configuration into force."""
        if key == CONFIGURATION_KEY:
            self.routes = Routes(msgspec.json.decode(value, type=Configuration))

    def evacuated_zones(self) -> set[str]:
        """Return the zones that are evacuated."""
        zones = self.updates.get(EVACUATION_KEY) or {}
        return {zone for zone, is_evacuated in zones.items() if is_evacuated}

    def count_refusal(self, reason: str) -> None:
        """Count a call that was not confirmed, for the operator to see."""
        refusal = self.refusals.setdefault(reason, RefusalCount())
        refusal.count += 1
        refusal.last_at = self.runtime.now()

    def show(self, view: str) -> list[views.Row] | None:
        """Return the rows of a view, as `flintreach show` prints them; None where there is no such view."""
        return views.show(self, view)
