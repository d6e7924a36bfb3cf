"""Exchange between controllers: values on disks that no update tells of, connections that fall silent."""

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
    """Let a node ask peers, and itself, for their accepted ballots; return the age of its contact."""
    asking = cluster.nodes[index]
    for node in (asking, *(cluster.nodes[peer] for peer in peers)):
        ballots = node.peer_exchange.on_accepted_ballots(None, None)
        asking.peer_exchange.record_ballots(node.address, cluster.now, ballots)
    return asking.quorum_contact.age(cluster.voters, cluster.now)


class UnknownValues(unittest.TestCase):
    def test_what_a_controller_confirmed_before_it_died_is_learned_by_the_next_reports(self) -> None:
        """It sent no updates; the ballots show it, and the age counts from before until it is known."""
        cluster = Cluster(3)
        first = cluster.nodes[0]
        first.register.incarnations = {address: f"life {address}" for address in cluster.addresses}
        self.assertEqual(exchange_ballots(cluster, 1, 2), 0.0)
        self.assertEqual(first.operator_requests.put(4, BODY), RequestOutcome.ACCEPTED)
        first.operator_requests.evacuate("north", True)
        cluster.now += 1.0
        cluster.cut = {(first.address, address) for address in cluster.addresses[1:]}
        self.assertEqual(exchange_ballots(cluster, 1, 2), 0.0)
        self.assertEqual(
            cluster.nodes[1].updates.entries, {"timetable": (4, BODY), "evac": (1, {"north": True})}
        )

    def test_until_it_is_known_the_age_counts_from_before(self) -> None:
        cluster = Cluster(3)
        exchange_ballots(cluster, 1, 2)
        cluster.nodes[0].operator_requests.put(4, BODY)
        cluster.now += 1.0
        with mock.patch.object(PeerExchange, "resolve_unknown", lambda self, key: None):
            self.assertEqual(exchange_ballots(cluster, 1, 2), 1.0)

    def test_what_stands_on_a_minority_of_those_in_reach_is_read_after_a_moment(self) -> None:
        """Five disks; the value is on three, two of which died: a ballot shows it, and a read settles it."""
        cluster = Cluster(5)
        exchange_ballots(cluster, 4, 2, 3)
        self.assertEqual(cluster.nodes[0].operator_requests.put(4, BODY), RequestOutcome.ACCEPTED)
        cluster.cut = {
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

    def test_a_change_that_never_stood_is_settled_too(self) -> None:
        """A lone accept of a writer that died: a read whose quorum lacks it covers its ballot."""
        cluster = Cluster(3)
        cluster.nodes[0].operator_requests.put(4, BODY)
        for index in range(3):
            exchange_ballots(cluster, index, 0, 1, 2)
        lone_value = ConfigurationHistory.of(configuration_body(9)).value()
        slots = cluster.nodes[2].register.acceptor.slots
        slots["timetable"] = Slot((50, "x"), (50, "x"), lone_value)
        for _ in range(3):
            cluster.now += CHANGE_GRACE_S
            age = exchange_ballots(cluster, 0, 1, 2)
        self.assertEqual(age, 0.0)

    def test_a_voter_set_that_no_update_told_of_is_adopted(self) -> None:
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
    """A peer's connection that gives some answers, and then ends."""

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
        """Let the time pass that an answer takes."""

    def close(self) -> None:
        self.closed_count += 1


class HalfCutConnection(FakeConnection):
    """It stays open and falls silent; before that its answers lie in a buffer, or are long on their way."""

    def fail(self, timeout: float) -> None:
        self.cluster.now += timeout
        super().fail(timeout)

    def delay(self, kind: str) -> None:
        self.cluster.now += 0.4


class BufferedConnection(FakeConnection):
    """An answer with ballots lies in a buffer while this process is suspended."""

    def delay(self, kind: str) -> None:
        if kind == "accepted":
            self.cluster.now += 5.0


class Following(unittest.TestCase):
    def follow(self, node: Node, connection: FakeConnection) -> None:
        """Let a node follow its first peer over a connection until that ends."""
        node.dial = lambda address, handlers, timeout: connection
        node.update_age = lambda: 9.0
        node.peer_exchange.follow(PEER)

    def test_a_connection_on_which_nothing_comes_any_more_is_left(self) -> None:
        """A cut one way: the connection stays open and silent.  Its reports stop counting, and the peer is
        dialled anew."""
        cluster = Cluster(3)
        node = cluster.nodes[0]
        connection = HalfCutConnection(cluster, [[0.1, [], []], {}, {}])
        node.peer_exchange.followed.add(PEER)
        self.follow(node, connection)
        self.assertEqual((connection.closed_count, node.peer_exchange.followed), (1, set()))
        self.assertAlmostEqual(
            node.quorum_contact.confirmed_at[PEER],
            100.8 + relay.FRESHNESS_POLL_S,
            msg="the last one's question",
        )
        self.assertGreater(cluster.now, 102.4)

    def test_an_answer_that_lay_in_a_buffer_counts_from_its_question(self) -> None:
        cluster = Cluster(3)
        node = cluster.nodes[0]
        self.follow(node, BufferedConnection(cluster, [[0.1, [], []], {}]))
        self.assertEqual(node.quorum_contact.confirmed_at, {PEER: 100.0})
        self.assertGreaterEqual(cluster.now, 105.0)


if __name__ == "__main__":
    unittest.main()
