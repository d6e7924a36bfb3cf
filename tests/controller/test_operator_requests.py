"""Operators' requests: races, repetitions and late arrivals, on controllers with simulated clocks."""

import itertools
import random
import unittest
from collections.abc import Callable, Iterator, Sequence
from types import SimpleNamespace

import msgspec
from greenlet import greenlet

from flintreach.config import configuration, configuration_history
from flintreach.config.configuration_history import MAX_ENTRIES, ConfigurationHistory, PutOutcome
from flintreach.consensus.proposer import ChangeFunction
from flintreach.controller.http_api import Refusal
from flintreach.controller.operator_requests import OperatorRequests, RequestOutcome
from flintreach.controller.quorum_contact import RESUME_DELAY_S
from flintreach.dissemination.versioned_store import VersionedStore
from tests.controller.simulated_peers import Cluster, call_api, configuration_body

EVACUATION_PATH = "/v1/evacuate/north/"
REVERSE = {"start": "finish", "finish": "start"}

ACCEPTED = RequestOutcome.ACCEPTED
REPEATED = RequestOutcome.REPEATED
SUPERSEDED = RequestOutcome.SUPERSEDED
CONFLICT = RequestOutcome.CONFLICT
HISTORY_EXPIRED = RequestOutcome.HISTORY_EXPIRED


class ConfigurationPuts(unittest.TestCase):
    """Concurrent puts under one version number, and requests repeated later at any controller."""

    def race(
        self, order: Sequence[int], lost: Sequence[tuple[int, int]], number: int = 7
    ) -> tuple[Cluster, list[bytes], list[list[RequestOutcome]]]:
        """Let two controllers put different contents under one version number, three times each.

        `lost`: pairs (from, to) of controllers between which messages are lost.
        """
        cluster = Cluster(3)
        cluster.nodes[2].operator_requests.put(5, configuration_body(5))
        bodies = [configuration_body(number, "one.example"), configuration_body(number, "two.example")]
        cluster.blocked_links = {
            (cluster.addresses[sender], cluster.addresses[peer]) for sender, peer in lost
        }

        def put_thrice(index: int) -> Callable[[], list[RequestOutcome]]:
            requests = cluster.nodes[index].operator_requests
            return lambda: [requests.put(number, bodies[index]) for _ in range(3)]

        return cluster, bodies, cluster.run_interleaved([put_thrice(0), put_thrice(1)], order)

    def test_racing_puts_of_one_version_confirm_exactly_one_in_every_message_order(self) -> None:
        """Exactly one content is confirmed, remains so on repetition, and is the one that is read. Covers all
        924 orders of two writers' three prepares and three accepts, with no link or one link blocked."""
        count = 0
        for first in itertools.combinations(range(12), 6):
            order = [0 if turn in first else 1 for turn in range(12)]
            for lost in ((), ((0, 2),), ((1, 2),)):
                cluster, bodies, outcomes = self.race(order, lost)
                confirmed = [index for index in (0, 1) if {ACCEPTED, REPEATED} & {*outcomes[index]}]
                self.assertEqual(len(confirmed), 1, (order, lost, outcomes))
                winner = confirmed[0]
                loser = 1 - winner
                self.assertEqual(outcomes[winner][-1], REPEATED)
                self.assertEqual(outcomes[loser][-1], CONFLICT, (order, lost, outcomes))
                for node in cluster.nodes:
                    cluster.blocked_links = set()
                    self.assertEqual(node.operator_requests.get(), (True, bodies[winner]))
                    self.assertEqual(node.operator_requests.put(7, bodies[winner]), REPEATED)
                    self.assertEqual(node.operator_requests.put(7, bodies[loser]), CONFLICT)
                count += 1
        self.assertEqual(count, 924 * 3)

    def test_racing_puts_of_a_superseded_version_are_not_both_confirmed(self) -> None:
        cluster = Cluster(3)
        first_body = configuration_body(3, "one.example")
        second_body = configuration_body(3, "two.example")
        current = configuration_body(5)
        self.assertEqual(cluster.nodes[0].operator_requests.put(5, current), ACCEPTED)
        outcomes = cluster.run_interleaved(
            [
                lambda: cluster.nodes[0].operator_requests.put(3, first_body),
                lambda: cluster.nodes[1].operator_requests.put(3, second_body),
            ]
        )
        self.assertEqual(sorted(outcomes), [CONFLICT, SUPERSEDED])
        self.assertEqual([node.operator_requests.get() for node in cluster.nodes], [(True, current)] * 3)
        self.assertEqual(
            cluster.nodes[0].updates.entries["timetable"], (5, current), "an update is the body alone"
        )

    def test_accepted_puts_are_acknowledged_again_after_thousands_of_changes_and_a_restart(self) -> None:
        cluster = Cluster(3)
        count = 3000
        for number in range(1, count + 1):
            requests = cluster.nodes[number % 3].operator_requests
            self.assertEqual(requests.put(number, configuration_body(number)), ACCEPTED)
        cluster = Cluster(3, cluster.disks())
        lowest = count - MAX_ENTRIES + 1
        cases = [
            (1, HISTORY_EXPIRED),
            (lowest - 1, HISTORY_EXPIRED),
            (lowest, REPEATED),
            (count // 2 + 700, REPEATED),
            (count, REPEATED),
        ]
        for number, expected in cases:
            for node in cluster.nodes:
                outcome = node.operator_requests.put(number, configuration_body(number))
                self.assertEqual(outcome, expected, number)
                other = node.operator_requests.put(number, configuration_body(number, "other.example"))
                self.assertEqual(other, CONFLICT if expected == REPEATED else HISTORY_EXPIRED)
        slot = cluster.disks()[cluster.addresses[0]]["timetable"]
        self.assertLess(len(slot.value), 32 << 10)

    def test_an_older_put_that_arrives_again_is_acknowledged_without_a_change(self) -> None:
        cluster = Cluster(3)
        outcomes = [
            node.operator_requests.put(number, configuration_body(number))
            for number in (2, 9, 2, 4, 4, 9)
            for node in cluster.nodes
        ]
        self.assertEqual(
            outcomes,
            [ACCEPTED, REPEATED, REPEATED] * 2
            + [REPEATED] * 3
            + [SUPERSEDED, REPEATED, REPEATED]
            + [REPEATED] * 6,
        )
        self.assertEqual(cluster.nodes[1].operator_requests.get(), (True, configuration_body(9)))


class History(unittest.TestCase):
    """The stored configuration with the history of its version numbers."""

    def test_values_of_earlier_releases_are_read(self) -> None:
        stored = configuration_body(6)
        history = ConfigurationHistory.decode(stored)
        self.assertEqual((history.number, history.body, len(history)), (6, stored, 1))
        self.assertEqual(configuration_history.put(stored, 6, stored), (PutOutcome.REPEATED, None))
        other = configuration_body(6, "b.example")
        self.assertEqual(configuration_history.put(stored, 6, other)[0], PutOutcome.CONFLICT)
        outcome, value = configuration_history.put(stored, 8, configuration_body(8))
        self.assertEqual((outcome, ConfigurationHistory.decode(value).number), (PutOutcome.ACCEPTED, 8))
        self.assertEqual(configuration_history.put(value, 6, stored), (PutOutcome.REPEATED, None))

    def test_the_history_stays_sorted_and_bounded_under_random_puts(self) -> None:
        draw = random.Random(4)
        value = None
        for _ in range(4 * MAX_ENTRIES):
            number = draw.randrange(3 * MAX_ENTRIES)
            outcome, new_value = configuration_history.put(value, number, b"%d" % number)
            self.assertNotEqual(outcome, PutOutcome.CONFLICT)
            value = new_value or value
        history = ConfigurationHistory.decode(value)
        numbers = [history.entry(index)[0] for index in range(len(history))]
        self.assertEqual(numbers, sorted(set(numbers)))
        self.assertEqual(len(history), MAX_ENTRIES)
        self.assertEqual(history.body, b"%d" % numbers[-1])

    def test_a_version_is_eight_ascii_hexadecimal_digits(self) -> None:
        for text in ("+0000001", "-0000001", "0x000001", "000_0001", " 0000001", "\u0661" * 8):
            with self.assertRaises(configuration.ConfigError, msg=text):
                configuration.parse_version(text)
        self.assertEqual(configuration.parse_version("0000aBcD"), 0xABCD)


class Evacuations(unittest.TestCase):
    """Requests without a version number: a delayed request must not take effect after a later one."""

    def request_twice_elsewhere(self, cluster: Cluster, word: str) -> None:
        """Act as a caller whose request timed out: repeat it at another controller, then send its reverse."""
        for path in (EVACUATION_PATH + word, EVACUATION_PATH + REVERSE[word]):
            self.assertEqual(call_api(cluster.nodes[1].api, "POST", path)[0], 200)

    def cluster_before(self, word: str) -> Cluster:
        """Return a cluster in which the request would make a change."""
        cluster = Cluster(3)
        if word == "finish":
            call_api(cluster.nodes[2].api, "POST", EVACUATION_PATH + "start")
        return cluster

    def test_a_request_delayed_at_any_message_does_not_take_effect_after_a_later_one(self) -> None:
        """The request stops after each possible number of messages, for longer than its caller waits. The
        controller notices that the caller disconnected or does not, and was suspended or its messages were
        delayed."""
        words = (("start", False), ("finish", True))
        stops = range(7)  # three prepares and two accepts: complete after 5 messages
        for (word, is_evacuated), stop, sees_gone, was_suspended in itertools.product(
            words, stops, (True, False), (True, False)
        ):
            if not (stop or sees_gone or was_suspended):
                continue  # not read yet, nor its caller known to be gone: no different from a new request
            case = (word, stop, sees_gone, was_suspended)
            cluster = self.cluster_before(word)
            for answer in self.stop_and_resume(cluster, *case):
                self.assertTrue(not answer or answer[0] == 503, case)
            self.assertEqual({*cluster.evacuated("north")}, {is_evacuated}, case)

    def stop_and_resume(
        self, cluster: Cluster, word: str, stop: int, sees_gone: bool, was_suspended: bool
    ) -> Iterator[tuple | None]:
        """Stop a request after some messages, let its caller turn to another controller, and resume it.

        Yields None at each further message, and finally the answer if the request was not complete before.
        """
        caller_left = False

        def caller_gone() -> bool:
            return sees_gone and caller_left

        def request() -> tuple:
            path = EVACUATION_PATH + word
            return call_api(cluster.nodes[0].api, "POST", path, caller_gone=caller_gone)

        delayed = greenlet(request)
        for _ in range(stop):
            if not delayed.dead:
                delayed.switch()
        cluster.now += 1.0
        first_running = 1 if was_suspended else 0
        for node in cluster.nodes[first_running:]:
            node.suspend_detector.last_check_at = cluster.now  # these were not suspended
        caller_left = True
        self.request_twice_elsewhere(cluster, word)
        while not delayed.dead:
            yield delayed.switch()

    def test_a_request_left_unread_during_a_suspension_is_refused(self) -> None:
        for word, is_evacuated in (("start", False), ("finish", True)):
            cluster = self.cluster_before(word)
            self.request_twice_elsewhere(cluster, word)
            cluster.now += 5.0
            for node in cluster.nodes[1:]:
                node.suspend_detector.last_check_at = cluster.now  # these were not suspended
            suspended = cluster.nodes[0]
            for waited_s in (0.0, RESUME_DELAY_S / 2):
                cluster.now += waited_s
                status, answer, headers, _ = call_api(suspended.api, "POST", EVACUATION_PATH + word)
                self.assertEqual(
                    (status, answer, "Retry-After" in headers), (503, {"fault": Refusal.SUSPENDED}, True)
                )
            self.assertEqual({*cluster.evacuated("north")}, {is_evacuated})
            cluster.now += RESUME_DELAY_S
            status = call_api(suspended.api, "POST", EVACUATION_PATH + word)[0]
            self.assertEqual(status, 200, "callers after the delay are served")

    def test_a_request_whose_caller_disconnects_before_the_accepts_changes_nothing(self) -> None:
        cluster = Cluster(3)
        for gone_at_check in range(1, 3):  # the caller is checked before the call and before the accepts
            checks = itertools.count(1)

            def caller_gone(checks: Iterator[int] = checks, gone_at_check: int = gone_at_check) -> bool:
                return next(checks) >= gone_at_check

            status, answer, _, _ = call_api(
                cluster.nodes[0].api, "POST", EVACUATION_PATH + "start", caller_gone=caller_gone
            )
            self.assertEqual((status, answer), (503, {"fault": Refusal.CALLER_DISCONNECTED}))
            self.assertEqual({*cluster.evacuated("north")}, {False})
        self.assertEqual(cluster.nodes[0].refusals, [Refusal.CALLER_DISCONNECTED] * 2)

    def test_a_request_abandoned_after_the_accepts_has_an_unknown_outcome(self) -> None:
        """Its first attempt was proposed and lost the race: it may still be committed."""
        for permissions, expected in (
            ([False], RequestOutcome.ABANDONED),
            ([True, False], RequestOutcome.UNKNOWN),
            ([True, True], ACCEPTED),
        ):

            def change(
                key: str, step: ChangeFunction, timeout: float, permissions: list[bool] = permissions
            ) -> tuple[bool, bytes | None]:
                values = [step(None) for _ in permissions]  # one attempt for each permission
                return True, values[-1]

            plane = SimpleNamespace(register=SimpleNamespace(change=change), updates=VersionedStore())
            may_proceed = iter(permissions).__next__
            outcome = OperatorRequests(plane).evacuate("north", True, may_proceed)
            self.assertEqual(outcome, expected)

    def test_a_repetition_is_acknowledged_without_a_change(self) -> None:
        cluster = Cluster(3)
        for word in ("finish", "start", "finish"):
            for node in cluster.nodes * 2:
                self.assertEqual(call_api(node.api, "POST", EVACUATION_PATH + word)[0], 200)
        is_done, value = cluster.nodes[0].register.read("evac")
        self.assertEqual(msgspec.msgpack.decode(value)[0], 3)


if __name__ == "__main__":
    unittest.main()
