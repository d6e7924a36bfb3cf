"""Exchange between controllers: values that no update carries, and connections that stop responding."""

import unittest
from collections.abc import Iterator
from typing import Any
from unittest import mock

import msgspec

from flintreach.config.configuration_history import ConfigurationHistory
from flintreach.consensus.acceptor import Slot
from flintreach.consensus.quorum import Voters
from flintreach.controller.operator_requests import RequestOutcome
from flintreach.controller.peer_exchange import PeerExchange
from flintreach.controller.quorum_contact import CHANGE_GRACE_S, NEVER
from flintreach.dissemination import relay
from flintreach.transport import peer_connection
from tests.controller.simulated_peers import PEER_ADDRESSES, Cluster, Node, configuration_body

PEER = PEER_ADDRESSES[0]
BODY = configuration_body(4)


def exchange_ballots(cluster: Cluster, index: int, *peers: int) -> float:
    """Let a node query peers, and itself, for accepted ballots; return the age of its quorum contact."""
    asking = cluster.nodes[index]
    for node in (asking, *(cluster.nodes[peer] for peer in peers)):
        ballots = node.peer_exchange.on_accepted_ballots(None, None)
        asking.peer_exchange.record_ballots(node.address, cluster.now, ballots)
    return asking.quorum_contact.age(cluster.voters, cluster.now)


class UnknownValues(unittest.TestCase):
    def test_changes_confirmed_by_a_controller_that_died_are_learned_from_ballot_reports(self) -> None:
        """The controller sent no updates of the changes; only the other disks' ballots show them."""
        cluster = Cluster(3)
        first = cluster.nodes[0]
        first.register.incarnations = {address: f"incarnation {address}" for address in cluster.addresses}
        self.assertEqual(exchange_ballots(cluster, 1, 2), 0.0)
        self.assertEqual(first.operator_requests.put(4, BODY), RequestOutcome.ACCEPTED)
        first.operator_requests.evacuate("north", True)
        cluster.now += 1.0
        cluster.blocked_links = {(first.address, address) for address in cluster.addresses[1:]}
        self.assertEqual(exchange_ballots(cluster, 1, 2), 0.0)
        self.assertEqual(
            cluster.nodes[1].updates.entries, {"timetable": (4, BODY), "evac": (1, {"north": True})}
        )

    def test_until_a_reported_value_is_known_the_contact_age_grows(self) -> None:
        cluster = Cluster(3)
        exchange_ballots(cluster, 1, 2)
        cluster.nodes[0].operator_requests.put(4, BODY)
        cluster.now += 1.0
        with mock.patch.object(PeerExchange, "resolve_unknown", lambda self, key: None):
            self.assertEqual(exchange_ballots(cluster, 1, 2), 1.0)

    def test_a_value_on_a_minority_of_the_reachable_disks_is_read_after_the_grace_time(self) -> None:
        """Three of five disks have the value, and two of the three are down: a ballot of the third shows it,
        and a read settles it."""
        cluster = Cluster(5)
        exchange_ballots(cluster, 4, 2, 3)
        self.assertEqual(cluster.nodes[0].operator_requests.put(4, BODY), RequestOutcome.ACCEPTED)
        cluster.blocked_links = {
            (cluster.addresses[lost], cluster.addresses[other]) for lost in (0, 1) for other in (2, 3, 4)
        }
        began_at = cluster.now
        cluster.now += 0.1
        self.assertAlmostEqual(exchange_ballots(cluster, 4, 2, 3), 0.1)
        self.assertEqual(cluster.nodes[4].updates.entries, {})
        cluster.now = began_at + 0.11 + CHANGE_GRACE_S
        exchange_ballots(cluster, 4, 2, 3)
        self.assertEqual(cluster.nodes[4].updates.get("timetable"), BODY)
        cluster.now += 0.1
        self.assertEqual(exchange_ballots(cluster, 4, 2, 3), 0.0)

    def test_a_change_that_was_never_committed_is_settled_too(self) -> None:
        """One disk has the accept of a writer that died; a read whose quorum lacks it covers its ballot."""
        cluster = Cluster(3)
        cluster.nodes[0].operator_requests.put(4, BODY)
        for index in range(3):
            exchange_ballots(cluster, index, 0, 1, 2)
        lone_value = ConfigurationHistory.decode(configuration_body(9)).encode()
        slots = cluster.nodes[2].register.acceptor.slots
        slots["timetable"] = Slot((50, "x"), (50, "x"), lone_value)
        for _ in range(3):
            cluster.now += CHANGE_GRACE_S
            age = exchange_ballots(cluster, 0, 1, 2)
        self.assertEqual(age, 0.0)

    def test_a_voter_set_that_no_update_carried_is_adopted(self) -> None:
        cluster = Cluster(3)
        exchange_ballots(cluster, 1, 2)
        later = Voters(2, cluster.voters.old[:2], cluster.voters.old)
        for node in cluster.nodes[1:]:
            value = msgspec.msgpack.encode(later.row())
            node.register.acceptor.slots["voters"] = Slot((7, "a"), (7, "a"), value)
        exchange_ballots(cluster, 1, 2)
        self.assertEqual(cluster.nodes[1].register.voters, later)

    def test_a_disk_that_may_not_vote_reports_no_ballots(self) -> None:
        cluster = Cluster(3)
        cluster.nodes[2].register.acceptor.voting = False
        self.assertIsNone(cluster.nodes[2].peer_exchange.on_accepted_ballots(None, None))
        self.assertEqual(exchange_ballots(cluster, 1, 2), NEVER)


class FakeConnection:
    """A connection to a peer that returns the given answers and then ends."""

    def __init__(self, cluster: Cluster, answers: list[Any]) -> None:
        self.cluster = cluster
        self.answers: Iterator[Any] = iter(answers)
        self.closed_count = 0

    def ask(self, kind: str, body: Any, timeout: float) -> Any:
        answer = next(self.answers, None)
        if answer is None:
            self.fail(timeout)
        self.delay(kind)
        return answer

    def fail(self, timeout: float) -> None:
        raise peer_connection.ConnectionClosed

    def delay(self, kind: str) -> None:
        """Advance the clock by the time that an answer takes."""

    def close(self) -> None:
        self.closed_count += 1


class OneWayConnection(FakeConnection):
    """A connection that stays open but stops responding, after some slow answers."""

    def fail(self, timeout: float) -> None:
        self.cluster.now += timeout
        super().fail(timeout)

    def delay(self, kind: str) -> None:
        self.cluster.now += 0.4


class BufferedConnection(FakeConnection):
    """A connection whose ballot answer sits in a buffer while this process is suspended."""

    def delay(self, kind: str) -> None:
        if kind == "accepted":
            self.cluster.now += 5.0


class Following(unittest.TestCase):
    def follow(self, node: Node, connection: FakeConnection) -> None:
        """Let a node follow its first peer over a connection until the connection ends."""
        node.dial = lambda address, handlers, timeout: connection
        node.update_age = lambda: 9.0
        node.peer_exchange.follow(PEER)

    def test_a_connection_that_stops_responding_is_closed(self) -> None:
        """A one-way partition leaves the connection open but silent. Contact counts only up to the last
        answered query, and the connection is closed so that the peer is dialled again."""
        cluster = Cluster(3)
        node = cluster.nodes[0]
        connection = OneWayConnection(cluster, [[0.1, [], []], {}, {}])
        node.peer_exchange.followed.add(PEER)
        self.follow(node, connection)
        self.assertEqual((connection.closed_count, node.peer_exchange.followed), (1, set()))
        self.assertAlmostEqual(
            node.quorum_contact.confirmed_at[PEER],
            100.8 + relay.FRESHNESS_POLL_S,
            msg="time of the last answered query",
        )
        self.assertGreater(cluster.now, 102.4)

    def test_a_buffered_answer_counts_from_the_time_of_its_query(self) -> None:
        cluster = Cluster(3)
        node = cluster.nodes[0]
        self.follow(node, BufferedConnection(cluster, [[0.1, [], []], {}]))
        self.assertEqual(node.quorum_contact.confirmed_at, {PEER: 100.0})
        self.assertGreaterEqual(cluster.now, 105.0)


if __name__ == "__main__":
    unittest.main()
