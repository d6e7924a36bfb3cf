"""Leases on key ranges, in simulated time, with endpoints that follow the published interface.

Guards against two endpoints holding the same key. Two processes compete for the ownership, and either may be
suspended at any time. Calls and answers are delayed or lost, endpoints are partitioned, and their clocks run
slow.
"""

import random
import unittest
from types import SimpleNamespace
from unittest import mock

import gevent
import msgspec
from gevent import socket

from flintreach.controller.lease_owner import NO_ANSWER, LeaseOwner
from flintreach.sharding import range_assignment, range_lease
from flintreach.sharding.range_assignment import (
    UNIFORM_LOAD,
    Allocation,
    AllocationRow,
    LoadDistribution,
    Range,
    RangeState,
)
from flintreach.sharding.range_lease import MAX_MESSAGE_DELAY_S, CallKind, RangeLeases
from flintreach.transport.runtime import Runtime

SAMPLED_KEYS = [0, 1, 4000, 8191, 8192, 20000, 40000, 65535]


class Endpoint:
    """Endpoint whose clock runs 2 % slow.

    Attributes:
        partitioned_until: no call reaches the endpoint before this time.
        held_until: end of the lease by key.
        fences: highest fencing token of a grant by key.
    """

    def __init__(self, id: str) -> None:
        self.id = id
        self.up = True
        self.partitioned_until = 0.0
        self.held_until: dict[int, float] = {}
        self.fences: dict[int, int] = {}

    def handle(self, kind: CallKind, key_range: Range, lease_s: float, now: float) -> tuple[int, str]:
        """(status, handover); a grant is refused if a key of it was granted under a higher fencing token."""
        keys = [key for key in SAMPLED_KEYS if key_range.low <= key <= key_range.high]
        if kind == CallKind.GRANT:
            if any(self.fences.get(key, 0) > key_range.fence for key in keys):
                return 409, ""
            for key in keys:
                self.fences[key] = key_range.fence
                self.held_until[key] = now + lease_s * 1.02
            return 200, ""
        for key in keys:
            self.held_until.pop(key, None)
        return 200, f"h{key_range.fence}"

    def reachable(self, now: float) -> bool:
        """Whether calls reach the endpoint."""
        return self.up and now >= self.partitioned_until

    def held_keys(self, now: float) -> set[int]:
        """Keys that the endpoint considers itself the holder of."""
        return {key for key, until in self.held_until.items() if self.up and until > now}


class SimulatedService:
    """Simulation of a sharded service.

    Attributes:
        stored: value of the register, with atomic writes.
        events: pending events of calls: (time, event, index of the lease owner, kind, range).
    """

    def __init__(
        self, seed: int, endpoints: int = 4, lease_owners: int = 2, fault_free: bool = False
    ) -> None:
        self.draw = random.Random(seed)
        self.now = 0.0
        self.fault_free = fault_free
        self.endpoints = {f"e{i}": Endpoint(f"e{i}") for i in range(endpoints)}
        self.lease_owners = [RangeLeases(f"k{i}", 10.0) for i in range(lease_owners)]
        self.suspended_until = [0.0] * lease_owners
        self.stored: bytes | None = None
        self.events: list[tuple[float, str, int, CallKind, Range]] = []

    def eligible(self) -> dict[str, tuple[float, str]]:
        """Weight and address of the endpoints that may be assigned keys."""
        return {
            id: (1.0, f"{id}:80") for id, endpoint in self.endpoints.items() if endpoint.reachable(self.now)
        }

    def update(self, index: int) -> None:
        """Run one iteration of a lease owner's loop."""
        leases = self.lease_owners[index]
        started_at = self.now
        if not leases.should_update(Allocation.decode(self.stored), started_at):
            return
        allocation = Allocation.decode(self.stored)
        if not leases.update_allocation(
            allocation, started_at, self.eligible(), lambda id: False, UNIFORM_LOAD, set()
        ):
            leases.record_commit_failure()
            return
        self.stored = allocation.encode()
        leases.record_commit(Allocation.decode(self.stored), started_at, self.now)
        for kind, key_range in leases.due_calls(self.now):
            # The owner may be suspended between its write and the call, and between the call and its sending.
            delay = self.draw.choice([0.0, 0.0, 0.05, 0.4]) if not self.fault_free else 0.0
            self.events.append((self.now + delay, "send", index, kind, key_range))

    def send(self, index: int, kind: CallKind, key_range: Range) -> None:
        """Establish the connection of a call, or fail to."""
        leases = self.lease_owners[index]
        if not self.endpoints[key_range.holder].reachable(self.now):
            leases.record_result(kind, key_range, range_lease.NO_ANSWER, "", self.now)
            return
        if not leases.authorize_send(kind, key_range, self.now):
            leases.record_result(kind, key_range, range_lease.NOT_SENT, "", self.now)
            return
        delay = self.draw.choice([0.0, 0.0, 0.1, MAX_MESSAGE_DELAY_S]) if not self.fault_free else 0.0
        self.events.append((self.now + delay, "arrive", index, kind, key_range))

    def arrive(self, index: int, kind: CallKind, key_range: Range) -> None:
        """Deliver a call; its answer arrives at once or is lost."""
        leases = self.lease_owners[index]
        endpoint = self.endpoints[key_range.holder]
        answer = range_lease.NO_ANSWER, ""
        if endpoint.up:
            answer = endpoint.handle(kind, key_range, leases.lease_s, self.now)
        if not self.fault_free and self.draw.random() < 0.1:
            answer = range_lease.NO_ANSWER, ""  # lost answer
        leases.record_result(kind, key_range, *answer, self.now)

    def run(self, seconds: float) -> str | None:
        """Run until a time, or until a conflict, which is returned."""
        while self.now < seconds:
            self.now = round(self.now + 0.1, 3)
            if not self.fault_free:
                self.inject_faults()
            self.deliver()
            for index in range(len(self.lease_owners)):
                if self.suspended_until[index] <= self.now and self.draw.random() < 0.3:
                    self.update(index)
            conflict = self.find_conflict()
            if conflict is not None:
                return conflict
        return None

    def deliver(self) -> None:
        """Process the events that are due; a suspended owner processes its own when it resumes."""
        due = [row for row in self.events if row[0] <= self.now]
        self.events = [row for row in self.events if row[0] > self.now]
        for _, event, index, kind, key_range in sorted(due, key=lambda row: row[0]):
            if event == "send" and self.suspended_until[index] > self.now:
                self.events.append((self.suspended_until[index], event, index, kind, key_range))
            elif event == "send":
                self.send(index, kind, key_range)
            else:
                self.arrive(index, kind, key_range)

    def find_conflict(self) -> str | None:
        """Describe a key that two endpoints hold, or return None."""
        holders: dict[int, str] = {}
        for endpoint in self.endpoints.values():
            for key in endpoint.held_keys(self.now):
                if key in holders:
                    return f"{self.now:.1f} s: key {key} is held by {holders[key]} and {endpoint.id}"
                holders[key] = endpoint.id
        return None

    def inject_faults(self) -> None:
        """Suspend lease owners and partition endpoints at random."""
        if self.draw.random() < 0.02:
            index = self.draw.randrange(len(self.lease_owners))
            self.suspended_until[index] = self.now + self.draw.choice([0.5, 2.0, 4.0])
        if self.draw.random() < 0.01:
            endpoint = self.draw.choice([*self.endpoints.values()])
            # A partitioned endpoint continues to hold its keys, and nothing tells it from a dead one.
            endpoint.partitioned_until = self.now + self.draw.choice([2.0, 9.0])


def first_conflict(seeds: range, seconds: float = 40) -> str | None:
    """Conflict under the first seed that produces one, or None."""
    for seed in seeds:
        conflict = SimulatedService(seed).run(seconds)
        if conflict:
            return f"seed {seed}: {conflict}"
    return None


class RangeLeasesTest(unittest.TestCase):
    def test_no_key_has_two_holders_despite_suspensions_and_losses(self) -> None:
        self.assertIsNone(first_conflict(range(120)))

    def test_mutants_are_detected(self) -> None:
        with mock.patch.object(RangeLeases, "authorize_send", lambda self, kind, key_range, now: True):
            self.assertIn("is held by", first_conflict(range(120)) or "")
        with mock.patch.object(range_lease, "CLOCK_DRIFT_FACTOR", 0.5):
            self.assertIn("is held by", first_conflict(range(120)) or "")
        with mock.patch.object(range_lease, "MAX_MESSAGE_DELAY_S", -2.0):
            self.assertIn("is held by", first_conflict(range(120)) or "")

    def test_keys_of_a_dead_holder_are_freed_when_its_last_grant_expires(self) -> None:
        """Failed connection attempts must not extend the lease."""
        service = SimulatedService(5, lease_owners=1, fault_free=True)
        service.run(8)
        service.endpoints["e1"].up = False
        died = service.now
        waits = []
        while service.now < died + 12:
            service.run(service.now + 0.2)
            served = {
                key for endpoint in service.endpoints.values() for key in endpoint.held_keys(service.now)
            }
            if len(served) < len(SAMPLED_KEYS):
                waits.append(service.now - died)
        lease_over_s = service.lease_owners[0].lease_s * range_lease.CLOCK_DRIFT_FACTOR
        self.assertLess(max(waits), lease_over_s + MAX_MESSAGE_DELAY_S + range_lease.EXPIRY_MARGIN_S + 1.5)

    def test_a_write_that_was_not_committed_keeps_the_handover(self) -> None:
        service = SimulatedService(1, lease_owners=1, fault_free=True)
        service.run(6)
        leases = service.lease_owners[0]
        allocation = Allocation.decode(service.stored)
        range_assignment.revoke_held_ranges(allocation, {"e1"})
        revoked = next(key_range for key_range in allocation.ranges if key_range.holder == "e1")
        service.stored = allocation.encode()
        leases.allocation = allocation
        leases.record_result(CallKind.RELEASE, revoked, 200, "proof", service.now)
        for _ in range(2):  # as after a conflict with another writer
            again = Allocation.decode(service.stored)
            leases.update_allocation(
                again, service.now, service.eligible(), lambda id: False, LoadDistribution(), set()
            )
            self.assertIn("proof", [key_range.handover for key_range in again.ranges])

    def test_a_longer_lease_of_another_release_is_kept(self) -> None:
        service = SimulatedService(1, lease_owners=1, fault_free=True)
        service.run(6)
        fields = msgspec.msgpack.decode(service.stored)
        longer = msgspec.convert([*fields[:5], 9.0], AllocationRow)
        allocation = Allocation.from_row(longer)
        service.lease_owners[0].update_allocation(
            allocation, service.now, service.eligible(), lambda id: False, LoadDistribution(), set()
        )
        self.assertEqual(allocation.lease_s, 9.0)
        without_lease = msgspec.convert(fields[:5], AllocationRow)  # as written by earlier releases
        self.assertEqual(Allocation.from_row(without_lease).lease_s, 0.0)


class CallsTest(unittest.TestCase):
    def test_a_grant_that_timed_out_does_not_arrive_later(self) -> None:
        """After an orderly close the kernel would retransmit it for minutes, so the connection is reset."""
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        register = SimpleNamespace(acceptor=None, runtime=Runtime())
        lease_owner = LeaseOwner("a", "store", register, 10_000, dict, lambda id: False, None, None)
        lease_owner.state.send_until = lease_owner.runtime.now() + 5
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        key_range = Range(0, 9, "e0", 1, RangeState.HELD, address=address)
        exchange = gevent.spawn(lease_owner.exchange, CallKind.GRANT, key_range)
        connection, _ = listener.accept()
        self.addCleanup(connection.close)
        connection.recv(65536)
        self.assertEqual(exchange.get(), NO_ANSWER)
        with self.assertRaises(ConnectionResetError):
            connection.recv(1)


if __name__ == "__main__":
    unittest.main()
