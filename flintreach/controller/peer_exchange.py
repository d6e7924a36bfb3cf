"""Exchange between controllers: each follows the updates of all others and polls their accepted ballots.

The ballots show up to which time this controller is current (see `quorum_contact`), and which values it still
has to fetch because no peer may ever send them as updates.
"""

from collections.abc import Mapping
from typing import Any, Protocol

from flintreach.common.keys import ENDPOINT_KEY_PREFIX
from flintreach.consensus.quorum import Address
from flintreach.consensus.register import Register
from flintreach.controller.endpoint_service import EndpointService
from flintreach.controller.operator_requests import REGISTER_TIMEOUT_S, OperatorRequests
from flintreach.controller.quorum_contact import NO_BALLOT, REPORTED_KEYS, Ballot, QuorumContact
from flintreach.dissemination.relay import FRESHNESS_POLL_S, REQUEST_TIMEOUT_S, Subscription
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.transport.peer_connection import ConnectionClosed, PeerConnection
from flintreach.transport.peer_pool import PeerPool
from flintreach.transport.runtime import Runtime

PEER_CHECK_S = 0.3  # between two checks for controllers that are not followed yet
STARTING_PEER_CHECK_S = PEER_CHECK_S / 6  # the same until this controller serves callers
OUT_OF_CONTACT_S = 1.0  # if the updates are older than this, a peer is dialled again sooner
FAST_REDIAL_S = PEER_CHECK_S / 3
ACCEPTED_BALLOTS_MESSAGE = "accepted"  # message kind of the ballot query, unchanged from earlier releases


class ExchangePlane(Protocol):
    """The part of the control plane that `PeerExchange` uses."""

    runtime: Runtime
    peer_pool: PeerPool
    register: Register
    updates: VersionedStore
    quorum_contact: QuorumContact
    operator_requests: OperatorRequests
    endpoints: EndpointService
    serving: bool

    def peers(self) -> list[Address]:
        """Return the addresses of the other controllers."""

    def update_age(self) -> float:
        """Return the age of the updates that this controller distributes, in seconds."""


class PeerExchange:
    """Follows the other controllers, and feeds `quorum_contact`.

    Attributes:
        followed: addresses of the peers to whose updates this controller is subscribed.
        resolving: keys for which an unknown value is being fetched.
    """

    def __init__(self, plane: ExchangePlane) -> None:
        self.plane = plane
        self.runtime = plane.runtime
        self.followed: set[Address] = set()
        self.resolving: set[str] = set()
        plane.peer_pool.handlers[ACCEPTED_BALLOTS_MESSAGE] = self.on_accepted_ballots

    # Updates.

    def run(self) -> None:
        """Periodically follow new peers, and report the ballots of this controller's own disk."""
        own_address = self.plane.peer_pool.address
        while True:
            for address in self.plane.peers():
                if address not in self.followed:
                    self.followed.add(address)
                    self.runtime.spawn(self.follow, address)
            now = self.runtime.now()
            self.record_ballots(own_address, now, self.on_accepted_ballots(None, None))
            self.runtime.sleep(PEER_CHECK_S if self.plane.serving else STARTING_PEER_CHECK_S)

    def follow(self, address: Address) -> None:
        """Apply a peer's updates and poll its ballots until its connection ends or stops responding."""
        subscription = Subscription(self.runtime, self.plane.updates, address, self.apply_updates)
        try:
            subscription.begin()
            while True:
                # Polled on the connection that carries the updates, which detects that it stopped responding.
                asked_at = self.runtime.now()
                ballots = subscription.link.ask(ACCEPTED_BALLOTS_MESSAGE, None, REQUEST_TIMEOUT_S)
                self.record_ballots(address, asked_at, ballots)
                self.runtime.sleep(FRESHNESS_POLL_S)
        except (OSError, ConnectionClosed, TypeError, ValueError):
            # TypeError and ValueError: malformed answers of the peer.
            is_in_contact = self.plane.update_age() < OUT_OF_CONTACT_S
            self.runtime.sleep(PEER_CHECK_S if is_in_contact else FAST_REDIAL_S)
        finally:
            subscription.close()
            self.followed.discard(address)

    def apply_updates(self, rows: list[list[Any]]) -> None:
        """Apply a peer's updates: rows of key, version, value and the age of a tombstone."""
        for row in rows:
            self.apply_update(*row)

    def apply_update(self, key: str, version: Any, value: Any, age: float = 0.0) -> None:
        """Apply one update; an update of an endpoint is merged into the endpoint registry first.

        Args:
            key: key of the update.
            version: version of the value; the highest wins.
            value: value of the key; None or a final state in a tombstone.
            age: seconds since a tombstone was first offered to any controller.
        """
        if key.startswith(ENDPOINT_KEY_PREFIX) and isinstance(value, dict):
            endpoint_id = key.removeprefix(ENDPOINT_KEY_PREFIX)
            self.plane.endpoints.merge_update(endpoint_id, version, value)
        self.plane.updates.offer(key, version, value, age)

    # Accepted ballots.

    def on_accepted_ballots(
        self, connection: PeerConnection | None, body: None
    ) -> dict[str, list[Any]] | None:
        """Return the ballots that this disk has accepted for the reported keys; None if it does not vote."""
        register = self.plane.register
        if not register.can_vote():
            return None
        slots = register.acceptor.slots
        return {key: list(slots[key].accepted) for key in REPORTED_KEYS if key in slots}

    def record_ballots(
        self, address: Address, asked_at: float, ballots: Mapping[str, list[Any]] | None
    ) -> None:
        """Record a peer's answer, and start to resolve keys whose newest value is unknown here.

        Args:
            address: of the peer whose disk it is.
            asked_at: when the query was sent, in seconds.
            ballots: the answer; None from a disk that does not vote.
        """
        if ballots is None:
            return
        contact = self.plane.quorum_contact
        report = {key: tuple(ballot) for key, ballot in ballots.items()}
        contact.record_report(address, asked_at, report, self.runtime.now())
        for key in REPORTED_KEYS:
            if key not in self.resolving and contact.has_unknown(key):
                self.resolving.add(key)
                self.runtime.spawn(self.resolve_unknown, key)

    def resolve_unknown(self, key: str) -> None:
        """Learn the value of the newest reported ballot.

        No update may ever carry it: the controller that acknowledged it may have crashed right afterwards.
        """
        try:
            self._resolve(key)
        finally:
            self.resolving.discard(key)

    def _resolve(self, key: str) -> None:
        contact = self.plane.quorum_contact
        register = self.plane.register
        requests = self.plane.operator_requests
        newest, holders = contact.newest_ballot(key)
        fetched_ballot, value = self.fetch(key, newest, holders)
        if fetched_ballot >= newest and requests.is_published(key, value):
            contact.record_known(key, fetched_ballot)
            return
        if fetched_ballot == newest and register.voters.is_quorum(holders):
            requests.publish(key, value)
            contact.record_known(key, newest)
            return
        if not contact.is_stalled(key, self.runtime.now()):
            return
        # Reported by a minority, the value may be decided or not: a read settles all ballots up to this one.
        is_done, value = register.read(key, REGISTER_TIMEOUT_S)
        if is_done:
            requests.publish(key, value)
            contact.record_known(key, newest)

    def fetch(self, key: str, ballot: Ballot, holders: list[Address]) -> tuple[Ballot, bytes | None]:
        """Return the ballot and value of a key from this disk, or else from the first of the holders.

        Returns:
            (NO_BALLOT, None) if neither has the ballot or a later one.
        """
        acceptor = self.plane.register.acceptor
        if acceptor is not None and key in acceptor.slots:
            slot = acceptor.slots[key]
            if slot.accepted >= ballot:
                return slot.accepted, slot.value
        for address in holders[:1]:
            fetched = self.plane.register.fetch_slot(address, key, ballot)
            if fetched is not None:
                return fetched.accepted, fetched.value
        return NO_BALLOT, None
