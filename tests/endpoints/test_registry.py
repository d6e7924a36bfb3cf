"""Endpoint registry: state transitions, merging, address conflicts and stored rows."""

import unittest

import msgspec

from flintreach.endpoints.registry import (
    NS_PER_MS,
    NS_PER_S,
    DrainRank,
    EndpointRecord,
    EndpointRegistry,
    EndpointRow,
    EndpointState,
    Heartbeat,
)

REPORT_MS = 1500


def heartbeat(
    sequence: int,
    state: str = EndpointState.READY,
    warming_up_left_ms: float = 0,
    address: str = "10.0.0.9:80",
) -> Heartbeat:
    """A heartbeat of an endpoint of service "web"."""
    return Heartbeat("web", address, "north", 2, state, sequence, "v1", warming_up_left_ms)


class HeartbeatFigures(unittest.TestCase):
    FIELDS = {
        "line": "web",
        "addr": "10.0.0.9:80",
        "zone": "north",
        "berths": 2,
        "state": "ready",
        "call_seq": 1,
        "edition": "v1",
        "cold_left_ms": 0,
    }

    def decode(self, **changes: object) -> Heartbeat:
        return msgspec.json.decode(msgspec.json.encode(self.FIELDS | changes), type=Heartbeat)

    def test_figures_that_can_not_be_sent_on_and_addresses_that_can_not_be_used_are_rejected(self) -> None:
        for changes in (
            {"berths": -1},
            {"berths": 10**18},
            {"call_seq": 1 << 63},
            {"call_seq": -1},
            {"cold_left_ms": 1e300},
            {"addr": "desk.example:80"},
            {"addr": "256.0.0.1:80"},
            {"addr": "10.0.0.9:99999"},
            {"addr": "10.0.0.9"},
        ):
            with self.subTest(changes), self.assertRaises(msgspec.ValidationError):
                self.decode(**changes)
        for address in ("0.0.0.0:1", "255.255.255.255:65535", "127.41.7.100:7600"):
            self.assertEqual(self.decode(addr=address).address, address)

    def test_an_endpoint_without_capacity_counts_as_one_with_the_least(self) -> None:
        registry = EndpointRegistry(REPORT_MS)
        registry.record_heartbeat("e", self.decode(berths=0), 0)
        record = registry.records["e"]
        self.assertEqual(record.capacity, 1)
        row = record.row(0)
        row.capacity = 0  # as an earlier release stored it
        self.assertEqual(EndpointRecord.from_row(row, 0).capacity, 1)

    def test_the_greatest_figures_can_be_sent_on(self) -> None:
        registry = EndpointRegistry(REPORT_MS)
        greatest = self.decode(berths=1_000_000, call_seq=(1 << 63) - 1, cold_left_ms=24 * 3600 * 1000)
        registry.record_heartbeat("e", greatest, 0)
        record = registry.records["e"]
        msgspec.msgpack.encode([record.row(0), record.version, record.update_value(0)])


class EndpointStateTest(unittest.TestCase):
    def test_state_transitions(self) -> None:
        """Rows: message, time in milliseconds, ids to publish, resulting state."""
        trace = [
            (("heartbeat", 1, EndpointState.READY), 0, ["e"], EndpointState.READY),
            (("heartbeat", 2, EndpointState.READY), 1500, [], EndpointState.READY),
            (("heartbeat", 1, EndpointState.READY), 1600, [], EndpointState.READY),  # reordered
            (("tick",), 4000, [], EndpointState.READY),
            (("tick",), 5600, ["e"], EndpointState.SILENT),
            (("tick",), 5900, [], EndpointState.SILENT),
            (("heartbeat", 3, EndpointState.READY), 6000, ["e"], EndpointState.READY),
            (("heartbeat", 4, "closing"), 7000, ["e"], EndpointState.DRAINING),
            (("heartbeat", 5, EndpointState.READY), 7500, [], EndpointState.DRAINING),  # draining is final
            (("deregister",), 8000, ["e"], EndpointState.GONE),
            (("heartbeat", 9, EndpointState.READY), 8100, [], EndpointState.GONE),
        ]
        registry = EndpointRegistry(REPORT_MS)
        for message, at_ms, expected_ids, expected_state in trace:
            now_ns = at_ms * NS_PER_MS
            if message[0] == "heartbeat":
                changed = registry.record_heartbeat("e", heartbeat(*message[1:]), now_ns)
            elif message[0] == "tick":
                changed = registry.tick(now_ns)
            else:
                changed = registry.deregister("e", now_ns)
            self.assertEqual((changed, registry.records["e"].state), (expected_ids, expected_state), message)

    def test_a_reordered_draining_heartbeat_raises_the_rank(self) -> None:
        """The drain was acknowledged, so it must not be lost if a newer heartbeat arrives first."""
        ready, draining = (5, EndpointState.READY), (4, "closing")
        for order in (ready, draining), (draining, ready):
            registry = EndpointRegistry(REPORT_MS)
            changed = [registry.record_heartbeat("e", heartbeat(*call), 0) for call in order]
            self.assertEqual(changed, [["e"], ["e"] if order[0][0] == 5 else []])
            self.assertEqual(registry.records["e"].state, EndpointState.DRAINING)
            self.assertEqual(registry.records["e"].version, [DrainRank.DRAINING, 5, 0])

    def test_only_a_restarted_slow_start_is_published(self) -> None:
        registry = EndpointRegistry(REPORT_MS)
        registry.record_heartbeat("e", heartbeat(1, warming_up_left_ms=3000), 0)
        later = heartbeat(2, warming_up_left_ms=1500)
        self.assertEqual(registry.record_heartbeat("e", later, 1500 * NS_PER_MS), [])
        restarted = heartbeat(3, warming_up_left_ms=3000)
        self.assertEqual(registry.record_heartbeat("e", restarted, 3000 * NS_PER_MS), ["e"])


class AddressConflictTest(unittest.TestCase):
    def states(self, registry: EndpointRegistry) -> list[EndpointState]:
        """States of the two endpoints with the same address."""
        return [registry.records[id].state for id in ("old", "new")]

    def test_an_address_belongs_to_the_endpoint_of_the_last_heartbeat(self) -> None:
        registry = EndpointRegistry(REPORT_MS)
        registry.record_heartbeat("old", heartbeat(5), 0)
        self.assertEqual(registry.record_heartbeat("new", heartbeat(1), 10 * NS_PER_MS), ["new", "old"])
        old = registry.records["old"]
        self.assertEqual((old.state, old.rank), (EndpointState.GONE, DrainRank.SERVING))
        late = registry.record_heartbeat("old", heartbeat(5), 20 * NS_PER_MS)
        self.assertEqual(late, [], "a reordered heartbeat does not take the address back")
        self.assertEqual(registry.record_heartbeat("old", heartbeat(6), 30 * NS_PER_MS), ["old", "new"])
        self.assertEqual(self.states(registry), [EndpointState.READY, EndpointState.GONE])
        self.assertEqual(registry.deregister("old", 40 * NS_PER_MS), ["old"])
        self.assertEqual(registry.record_heartbeat("old", heartbeat(7), 50 * NS_PER_MS), [])
        self.assertEqual(registry.record_heartbeat("new", heartbeat(2), 60 * NS_PER_MS), ["new"])
        self.assertEqual(self.states(registry), [EndpointState.GONE, EndpointState.READY])


class TombstoneExpiryTest(unittest.TestCase):
    def test_gone_endpoints_are_forgotten_after_the_tombstone_retention(self) -> None:
        registry = EndpointRegistry(REPORT_MS)
        registry.record_heartbeat("deregistered", heartbeat(1), 0)
        registry.record_heartbeat("crashed", heartbeat(1, address="10.0.0.8:80"), 0)
        registry.deregister("deregistered", NS_PER_S)
        registry.deregister("unknown", NS_PER_S)
        for at_s in range(2, 139):
            registry.tick(at_s * NS_PER_S)
            if at_s in (120, 122):
                self.assertEqual("deregistered" in registry.records, at_s == 120)
        self.assertEqual([*registry.records], ["crashed"])
        self.assertEqual(
            (registry.tick(140 * NS_PER_S), registry.records, registry.ids_by_address), ([], {}, {})
        )


class StoredRowsTest(unittest.TestCase):
    def test_stored_rows_restore_the_state_after_a_restart(self) -> None:
        registry = EndpointRegistry(REPORT_MS)
        registry.record_heartbeat("e", heartbeat(4, EndpointState.DRAINING), 0)
        restarted = EndpointRegistry(REPORT_MS)
        restarted.merge(EndpointRecord.from_row(registry.records["e"].row(0), 0), 0)
        # Rows of earlier releases have ten fields.
        ready = ["e", "web", "10.0.0.9:80", "north", 2, "v1", "ready", 3, 0, 0]
        restarted.merge(EndpointRecord.from_row(msgspec.convert(ready, EndpointRow), 0), 0)
        self.assertEqual(restarted.records["e"].state, EndpointState.DRAINING)
        ended = [*ready[:6], "gone", 1 << 62, 3, 0]
        restarted.merge(EndpointRecord.from_row(msgspec.convert(ended, EndpointRow), 0), 0)
        record = restarted.records["e"]
        self.assertEqual((record.state, record.rank), (EndpointState.GONE, DrainRank.ENDED))


if __name__ == "__main__":
    unittest.main()
