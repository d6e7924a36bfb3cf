"""Suspended lease owners, and membership after the wall clock was set back."""

import unittest
from types import SimpleNamespace

import gevent
import gevent.socket

from flintreach.common.keys import ROLE_CONTROLLER
from flintreach.controller.lease_owner import NOT_SENT, LeaseOwner, answered
from flintreach.membership.member_list import ALIVE, DEAD, LEFT, SUSPECTED, Member, MemberList
from flintreach.sharding.range_assignment import KEYS, Allocation, LoadDistribution, Range, RangeState
from flintreach.sharding.range_lease import OWNER_LEASE_S, CallKind, RangeLeases

GRANTED_RANGE = Range(0, 9, "e", 3, RangeState.HELD)


def never_signed_off(endpoint_id: str) -> bool:
    return False


def leases_committed_at_10() -> tuple[RangeLeases, Allocation]:
    """Leases of an owner whose change was committed at 10.0, and the allocation that it wrote."""
    leases = RangeLeases("k0", 10.0)
    allocation = Allocation.from_row(None)
    leases.update_allocation(allocation, 10.0, {}, never_signed_off, LoadDistribution(), set())
    leases.record_commit(allocation, 10.0, 10.0)
    return leases, allocation


class SuspendedLeaseOwner(unittest.TestCase):
    def test_a_grant_is_sent_only_within_the_owner_lease_after_any_suspension(self) -> None:
        leases, _ = leases_committed_at_10()
        for delay_s in (0.0, OWNER_LEASE_S - 0.01, OWNER_LEASE_S, OWNER_LEASE_S + 5):
            self.assertEqual(
                leases.authorize_send(CallKind.GRANT, GRANTED_RANGE, 10.0 + delay_s),
                delay_s < OWNER_LEASE_S,
                delay_s,
            )
        leases.record_commit_failure()
        self.assertFalse(leases.authorize_send(CallKind.GRANT, GRANTED_RANGE, 10.0))

    def test_nothing_is_sent_after_a_suspension_during_the_write_of_the_change(self) -> None:
        """The owner lease starts when the change begins, not when its answer arrives."""
        leases, allocation = leases_committed_at_10()
        leases.record_commit(allocation, 20.0, 26.0)
        self.assertFalse(leases.authorize_send(CallKind.GRANT, GRANTED_RANGE, 26.0))

    def test_nothing_is_sent_after_a_suspension_during_connection_setup(self) -> None:
        clock = [10.0]
        plane = SimpleNamespace(runtime=SimpleNamespace(now=lambda: clock[0]))
        owner = LeaseOwner("k0", "store", plane, 10000, dict, None, None, None)
        owner.state, _ = leases_committed_at_10()
        received: list[bytes] = []
        listener = gevent.socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.addCleanup(listener.close)

        def serve() -> None:
            while True:
                connection, _ = listener.accept()
                received.append(connection.recv(100))
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                connection.close()

        server = gevent.spawn(serve)
        self.addCleanup(server.kill)
        granted = Range(0, 9, "e", 3, RangeState.HELD, address=f"127.0.0.1:{listener.getsockname()[1]}")
        self.assertEqual(owner.exchange(CallKind.GRANT, granted), answered(200, None))
        clock[0] += 5.0
        self.assertEqual(owner.exchange(CallKind.GRANT, granted), NOT_SENT)
        gevent.sleep(0)
        self.assertEqual([bool(data) for data in received], [True, False][: len(received)])

    def test_a_buffered_answer_to_a_release_does_not_free_the_range(self) -> None:
        """Guards against a suspended owner that applies a late answer after another owner took over."""
        leases, allocation = leases_committed_at_10()
        allocation.ranges = [Range(0, KEYS - 1, "e0", 3, RangeState.REVOKING, address="e0:80")]
        leases.record_commit(allocation, 10.0, 10.0)
        self.assertEqual([kind for kind, _ in leases.due_calls(10.0)], ["release"])
        later = Allocation.from_row(allocation.row())
        later.owner = "k1"
        later.epoch = allocation.epoch + 1
        later.renewals = allocation.renewals + 1
        leases.record_result("release", allocation.ranges[0], 200, "handover", 16.0)
        self.assertFalse(leases.should_update(later, 16.0))
        self.assertFalse(leases.authorize_send(CallKind.GRANT, allocation.ranges[0], 16.0))
        # When it takes over again, the answer from the earlier epoch is discarded.
        self.assertTrue(leases.should_update(later, 18.0))
        self.assertTrue(
            leases.update_allocation(later, 18.0, {}, never_signed_off, LoadDistribution(), set())
        )
        self.assertEqual(later.ranges[0].state, RangeState.REVOKING)
        leases.record_commit(later, 18.0, 18.0)
        self.assertEqual(leases.handovers, {})


class WallClockSetBack(unittest.TestCase):
    def test_a_restarted_process_with_a_lower_incarnation_rejoins(self) -> None:
        """The incarnation comes from the wall clock, so after a step back it is lower than the known one."""

        def member(name: str, ip: str, incarnation: int) -> Member:
            return Member(name, ROLE_CONTROLLER, ip, 7, "z", "r", incarnation=incarnation)

        restarted_address = ("10.0.0.1", 7)
        other_address = ("10.0.0.2", 7)
        for state in (ALIVE, SUSPECTED, DEAD, LEFT):
            others = MemberList(member("b", "10.0.0.2", 5), lambda n: 0)
            previous = member("a", "10.0.0.1", 9000)
            others.merge([previous.row()], 0)  # the death of an unknown member would be ignored
            previous.state = state
            previous.ready = True
            others.merge([previous.row()], 0)
            self.assertEqual(others.members["a"].state, state)
            restarted = MemberList(member("a", "10.0.0.1", 4), lambda n: 0)
            messages = restarted.join([other_address])
            for _ in range(4):
                replies = [
                    reply
                    for _, message in messages
                    for reply in others.receive(restarted_address, message, 1)
                ]
                messages = [
                    reply for _, message in replies for reply in restarted.receive(other_address, message, 1)
                ]
                messages.append((other_address, restarted.message("ping", 1)))
            known = others.members["a"]
            self.assertEqual(
                (known.state, known.ready, known.incarnation > 9000), (ALIVE, False, True), state
            )


if __name__ == "__main__":
    unittest.main()
