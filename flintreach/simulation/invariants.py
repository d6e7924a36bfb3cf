"""Invariants of a simulated site, checked against a history of the answers that callers received.

The invariants follow from the rules CONFIG, DRAIN, EVAC, LOST, OWNER and Acks, and from
docs/design/system.md.
"""

import re
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import combinations
from typing import TYPE_CHECKING, Any

import msgspec

from flintreach.common.keys import CONFIGURATION_KEY, ENDPOINT_KEY_PREFIX, EVACUATION_KEY
from flintreach.consensus.quorum import Voters
from flintreach.controller.quorum_contact import NEVER
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.endpoints.registry import EndpointRecord, EndpointState
from flintreach.simulation.process import Process
from flintreach.simulation.scheduler import (
    NS_PER_MS,
    NS_PER_SECOND,
    InvariantViolation,
    Simulation,
    seconds_since_start,
)
from flintreach.transport.peer_connection import Address

if TYPE_CHECKING:
    from flintreach.simulation.callers import Endpoint
    from flintreach.simulation.site import SimulatedController, Site

INVARIANTS = {
    "crash": "no task of a process ends with an unhandled exception",
    "kept": "a get that starts after a configuration was acknowledged or returned returns it or a later one",
    "single": "of several contents sent under one version, at most one is acknowledged or in force",
    "refused": "a configuration acknowledged or in force is never refused, and a refused one never in force",
    "answered": "no valid request is answered 4xx, except 409 where another content has the same version",
    "durable": "an acknowledged configuration is on the disks of a quorum of the voters in force",
    "known": "an acknowledged first check-in, draining or sign-off is on the disks of a quorum of the voters",
    "drain": "last_call_ms after an acknowledged draining or sign-off, no connected process has it as ready",
    "confirmed": "a process holds everything acknowledged before the time up to which it is confirmed",
    "ended": "two consecutive check-ins of a live endpoint are not acknowledged while it is listed as gone",
    "stale": "a controller without a majority for three seconds answers no directory request",
    "monotonic": "versions of the updates that a process holds never decrease while it runs",
    "evacuated": "connected processes hold acknowledged evacuations and their ends, despite late calls",
    "owner": "no two live endpoints hold leases on the same key",
    "live": "without faults each order is acknowledged within receipt_ms",
    "agree": "after a time without faults all processes hold the same updates",
    "epochs": "each epoch has one voter configuration, whose quorums meet those of the epoch before",
    "forgotten": "no record of an endpoint that ended 150 seconds ago is left in memory or on disk",
    "voters": "after a time without faults there are enough voters for any tolerated loss to leave a quorum",
}
CALM_NS = 5 * NS_PER_SECOND  # after the last fault, during which answers may be late
START_NS = 5 * NS_PER_SECOND  # after its start, during which a process may hold old updates
STALE_NS = 3 * NS_PER_SECOND  # after which a controller without a majority may not answer directory requests
DRAIN_NS = 3 * NS_PER_SECOND  # `last_call_ms`
EVACUATE_NS = 5 * NS_PER_SECOND  # `evacuate_ms`
RECOVERY_NS = 300 * NS_PER_MS  # `thaw_ms`
ROUND_TRIP_NS = 30 * NS_PER_MS  # allowed for a controller that has just recovered
CLOCK_DRIFT_FACTOR = 1.05  # process clocks may drift apart by a few percent
CONFIRMATION_MARGIN_NS = 20 * NS_PER_MS
LEFT_STATES = (EndpointState.DRAINING, EndpointState.GONE)
VERSION = re.compile(rb'"edition": ?"([0-9a-f]{8})"')
NO_CONFIGURATION = -1


def version_of(value: bytes | None) -> int:
    """Extract the version of an encoded configuration, also one wrapped in a register value; -1 if none."""
    match = VERSION.search(value or b"")
    return int(match[1], 16) if match else NO_CONFIGURATION


def format_time(at_ns: int) -> str:
    """Format a virtual time as seconds since the start of the simulation."""
    return f"{seconds_since_start(at_ns):.3f}"


@dataclass(eq=False)
class Put:
    """A configuration put by an operator: one content under one version.  Times are virtual nanoseconds.

    Attributes:
        version: version of the configuration.
        body: its encoded content.
        sent_ns: when it was first sent.
        acknowledged_ns: when it was first acknowledged.
        refused_ns: when it was first refused.
    """

    version: int
    body: bytes
    sent_ns: int
    acknowledged_ns: int | None = None
    refused_ns: int | None = None


@dataclass(eq=False)
class EvacuationOrder:
    """An order to start or finish the evacuation of a zone; times as in `Put`."""

    is_evacuated: bool
    began_ns: int
    acknowledged_ns: int | None = None


class InvariantChecker:
    """Records the history of a simulated site and reports violated invariants.

    Attributes:
        fatal_invariants: names of the invariants whose violation ends a run.
        counts: invariant -> number of violations.
        first_violations: invariant -> (seconds since the start, text) of its first violation.
        puts: configurations that were sent, by version and content.
        highest_acknowledged: highest version of a configuration that was acknowledged.
        highest_shown: highest version of a configuration that a get returned.
        in_force: version -> content that a get returned or a versioned store held.
        versions: (process, key) -> version of the last update.
        evacuations: zone -> its orders, oldest first.
        leaving: endpoint -> when its draining or sign-off was first acknowledged, in nanoseconds.
        epochs: epoch -> its voters.
        last_contact_ns: controller -> when it last could have reached a majority.
        active_faults: number of faults in progress.
        calm_since_ns: when the last fault began or ended.
        on_ack: callbacks without arguments, each called once at the next acknowledgement.
        acks: kind of request -> number of acknowledged requests.
    """

    def __init__(self, sim: Simulation, fatal_invariants: Iterable[str]) -> None:
        """Create a checker with an empty history; `site` must be set before the first process starts."""
        self.sim = sim
        self.fatal_invariants = set(fatal_invariants)
        self.site: Site | None = None
        self.counts: Counter[str] = Counter()
        self.first_violations: dict[str, tuple[float, str]] = {}
        self.puts: dict[int, dict[bytes, Put]] = {}
        self.highest_acknowledged = NO_CONFIGURATION
        self.highest_shown = NO_CONFIGURATION
        self.in_force: dict[int, bytes] = {}
        self.versions: dict[tuple[Process | None, str], Any] = {}
        self.evacuations: dict[str, list[EvacuationOrder]] = {}
        self.leaving: dict[str, int] = {}
        self.epochs: dict[int, Voters] = {}
        self.last_contact_ns: dict[SimulatedController, int] = {}
        self.active_faults = 0
        self.calm_since_ns = sim.now_ns
        self.on_ack: list[Callable[[], None]] = []
        self.acks: Counter[str] = Counter()

    def record_violation(self, name: str, text: str) -> None:
        """Record that an invariant does not hold; end the run if it is one of `fatal_invariants`.

        Args:
            name: a key of `INVARIANTS`.
            text: what was observed.
        """
        if self.sim.violation is not None:
            return
        self.counts[name] += 1
        if name not in self.first_violations:
            self.first_violations[name] = (round(self.sim.elapsed_s, 3), text)
            self.sim.note("BROKEN", f"{name}: {text}")
        if name in self.fatal_invariants:
            self.sim.fail(InvariantViolation(name, text))

    # Faults and acknowledgements.

    def count_fault(self, change: int) -> None:
        """Count a fault that begins (1), ends (-1) or is instantaneous (0)."""
        self.active_faults += change
        self.calm_since_ns = self.sim.now_ns

    def is_calm(self, since_ns: int) -> bool:
        """Whether no fault has been active since `CALM_NS` before a virtual time."""
        return not self.active_faults and self.calm_since_ns <= since_ns - CALM_NS

    def record_ack(self, kind: str) -> None:
        """Count the first acknowledgement of a request, and run the callbacks of `on_ack`."""
        self.acks[kind] += 1
        watchers = self.on_ack
        self.on_ack = []
        for watcher in watchers:
            self.sim.call_after(0, watcher)

    # Configurations.

    def record_put(self, version: int, body: bytes) -> Put:
        """Record a configuration that is about to be sent."""
        return self.puts.setdefault(version, {}).setdefault(body, Put(version, body, self.sim.now_ns))

    def check_put_answer(self, put: Put, status: int, process_name: str) -> None:
        """Check the answer to a put; one put may be answered several times.

        Args:
            put: the configuration that was sent.
            status: HTTP status of the answer.
            process_name: name of the controller.
        """
        conflicting = [other for other in self.puts[put.version].values() if other is not put]
        if status == 200:
            self.check_acknowledged_put(put, conflicting, process_name)
        elif 400 <= status < 500:
            self.check_refused_put(put, conflicting, status, process_name)

    def check_acknowledged_put(self, put: Put, conflicting: list[Put], process_name: str) -> None:
        """Check that no other content of this version was acknowledged, and that it was not refused."""
        name = f"configuration {put.version}"
        if any(other.acknowledged_ns for other in conflicting):
            self.record_violation("single", f"{name}: a second content was acknowledged by {process_name}")
        if put.refused_ns:
            self.record_violation(
                "refused", f"{name}: acknowledged by {process_name} after it had been refused"
            )
        if put.acknowledged_ns is None:
            put.acknowledged_ns = self.sim.now_ns
            self.sim.note("operator", f"{name} acknowledged by {process_name}")
            self.check_durable(put, process_name)
            self.record_ack("put")
        self.highest_acknowledged = max(self.highest_acknowledged, put.version)

    def check_refused_put(self, put: Put, conflicting: list[Put], status: int, process_name: str) -> None:
        """Check that a refused put is neither acknowledged nor in force, and that its version is taken."""
        name = f"configuration {put.version}"
        if put.acknowledged_ns or self.in_force.get(put.version) == put.body:
            self.record_violation(
                "refused", f"{name}: {status} from {process_name} after it had been acknowledged or shown"
            )
        elif not conflicting:
            self.record_violation(
                "answered", f"{name}: {status} from {process_name}, and no other content bears its number"
            )
        put.refused_ns = put.refused_ns or self.sim.now_ns

    def check_durable(self, put: Put, process_name: str) -> None:
        """Check that an acknowledged configuration, or a later one, is on the disks of a quorum."""
        holders = set()
        for address, disk in self.site.disks_with_addresses():
            slot = disk.slots.get(CONFIGURATION_KEY)
            if slot and version_of(slot.value) >= put.version:
                holders.add(address)
        self.check_quorum("durable", f"configuration {put.version} acknowledged by {process_name}", holders)

    def check_quorum(self, name: str, what: str, holders: set[Address]) -> None:
        """Check that the disks that hold a record include a quorum of the current voters.

        Args:
            name: of the invariant.
            what: description of the record, for the violation's text.
            holders: addresses of the processes whose disks hold it.
        """
        voters = self.site.voters()
        if not voters.epoch:
            return
        # While two voter sets are in force, every quorum intersects a majority of either.
        if any(len(holders & members) > len(members) // 2 for members in voters.sets):
            return
        holder_ips = sorted(ip for ip, _ in holders)
        voter_ips = [ip for ip, _ in voters.members()]
        self.record_violation(name, f"{what}: on the disks of {holder_ips} of the voters {voter_ips}")

    def check_get(self, lowest: int, status: int, body: bytes, process_name: str) -> None:
        """Check the answer to a get.

        Args:
            lowest: highest version that was acknowledged or returned when the get began.
            status: HTTP status of the answer.
            body: of the answer.
            process_name: name of the controller.
        """
        if status == 404 and lowest >= 0:
            self.record_violation(
                "kept", f"{process_name} answers that there is no configuration, {lowest} was acknowledged"
            )
        elif 400 <= status < 500 and status != 404:
            self.record_violation("answered", f"get: {status} from {process_name}")
        elif status == 200:
            version = version_of(body)
            if version < lowest:
                self.record_violation(
                    "kept",
                    f"{process_name} answers configuration {version}, {lowest} was acknowledged or shown",
                )
            self.check_in_force(version, body, process_name)
            self.highest_shown = max(self.highest_shown, version)

    def check_in_force(self, version: int, body: bytes, process_name: str) -> None:
        """Check that a configuration in force was sent, not refused, and is the only one of its version."""
        puts = self.puts.get(version, {})
        put = puts.get(body)
        if put is None:
            self.record_violation("kept", f"{process_name} shows a configuration {version} that nobody sent")
        elif put.refused_ns:
            self.record_violation(
                "refused", f"{process_name} shows configuration {version} with a content that was refused"
            )
        acknowledged_conflicting = [
            other for other in puts.values() if other.acknowledged_ns and other is not put
        ]
        if self.in_force.setdefault(version, body) != body or acknowledged_conflicting:
            self.record_violation(
                "single", f"{process_name} shows another content of configuration {version}"
            )

    # Updates.

    def record_update(self, process: Process | None, key: str, version: Any, value: Any) -> None:
        """Check that an update applied to a versioned store has a higher version than the one before."""
        source = process, key
        if source in self.versions and not version > self.versions[source]:
            self.record_violation(
                "monotonic", f"{process.name}: {key} from {self.versions[source]} to {version}"
            )
        self.versions[source] = version
        if key == CONFIGURATION_KEY and isinstance(value, bytes):
            self.check_in_force(version_of(value), value, process.name)

    def check_start(self, controller: "SimulatedController") -> None:
        """Check that a controller that starts to answer knows all departures acknowledged before it began."""
        for id, left_ns in self.leaving.items():
            record = controller.plane.registry.records.get(id)
            if record is None or record.state != EndpointState.READY:
                continue
            if left_ns < controller.started_at_ns:
                since = format_time(left_ns)
                self.record_violation(
                    "drain", f"{controller.name} begins with {id} as ready, leaving since {since}"
                )

    # Endpoints.

    def check_heartbeat(
        self, endpoint: "Endpoint", first: bool, closing: bool, controller: "SimulatedController"
    ) -> None:
        """Check an acknowledged heartbeat.

        Args:
            endpoint: that sent it.
            first: whether it is the first acknowledged heartbeat of the endpoint.
            closing: whether it reported the endpoint as draining.
            controller: that acknowledged it.
        """
        if first or closing:
            what = "closing" if closing else "first check-in"
            self.check_endpoint_on_disks(endpoint, closing, what, controller.name)
        if closing:
            self.record_leaving(endpoint, "closing", controller.name)
        elif controller.alive:
            record = controller.plane.registry.records.get(endpoint.id)
            self.check_not_ended(endpoint, record, controller)

    def check_not_ended(
        self, endpoint: "Endpoint", record: EndpointRecord | None, controller: "SimulatedController"
    ) -> None:
        """Check that a controller does not list a live endpoint as gone after two consecutive heartbeats.

        Once is allowed: a delayed call of an earlier endpoint at the same address may have ended it until its
        next heartbeat.
        """
        is_gone = record is not None and record.state == EndpointState.GONE
        is_wrong = is_gone and endpoint.up and endpoint.id not in self.leaving
        endpoint.consecutive_gone = endpoint.consecutive_gone + 1 if is_wrong else 0
        if endpoint.consecutive_gone > 1:
            self.record_violation(
                "ended", f"{controller.name} acknowledged a check-in of {endpoint.id} and tells it as gone"
            )

    def record_leaving(self, endpoint: "Endpoint", what: str, process_name: str) -> None:
        """Record an acknowledged draining or sign-off; only the first of an endpoint counts."""
        if endpoint.id not in self.leaving:
            self.leaving[endpoint.id] = self.sim.now_ns
            self.sim.note(endpoint.id, f"{what} acknowledged by {process_name}")
            self.record_ack(what)

    def check_endpoint_on_disks(
        self, endpoint: "Endpoint", leaves: bool, what: str, process_name: str
    ) -> None:
        """Check that the acknowledged state of an endpoint is on the disks of a quorum.

        Args:
            endpoint: whose state was acknowledged.
            leaves: whether a draining or sign-off was acknowledged.
            what: kind of the acknowledged request, for the violation's text.
            process_name: name of the controller.
        """
        holders = set()
        for address, disk in self.site.disks_with_addresses():
            registry = self.site.registry(disk)
            record = registry.records.get(endpoint.id)
            is_known = record is not None and (not leaves or record.state in LEFT_STATES)
            is_forgotten = leaves and endpoint.id in getattr(registry, "gone", ())
            if is_known or is_forgotten:
                holders.add(address)
        self.check_quorum("known", f"{what} of {endpoint.id} acknowledged by {process_name}", holders)

    # Keys.

    def check_grant(self, process: Process, endpoint: "Endpoint", low: int, high: int) -> None:
        """Check that no other live endpoint holds a lease on a key that was just granted.

        Args:
            process: that granted the keys.
            endpoint: that accepted the grant.
            low: the first key.
            high: the last key.
        """
        now_ns = self.sim.now_ns
        recovered_at_ns = max(process.machine.recovered_at_ns, self.site.outside.machine.recovered_at_ns)
        if now_ns - recovered_at_ns <= RECOVERY_NS:
            return  # the rules exempt the time just after a recovery
        for other in self.site.endpoints.values():
            if other is endpoint or not other.up or other.service != endpoint.service:
                continue
            for other_low, other_high, _, until_ns in other.leases:
                if until_ns > now_ns and other_low <= high and low <= other_high:
                    overlap = f"{max(other_low, low)}..{min(other_high, high)}"
                    self.record_violation(
                        "owner", f"{endpoint.id} and {other.id} hold {overlap}, granted by {process.name}"
                    )

    # Evacuations: each zone has one operator, who sends one order at a time.

    def record_evacuation(self, zone: str, is_evacuated: bool) -> EvacuationOrder:
        """Record an order to start or finish an evacuation that is about to be sent."""
        order = EvacuationOrder(is_evacuated, self.sim.now_ns)
        self.evacuations.setdefault(zone, []).append(order)
        return order

    def check_evacuation_answer(
        self, zone: str, order: EvacuationOrder, status: int, process_name: str
    ) -> None:
        """Check the answer to an evacuation order, which is never refused."""
        if status == 200:
            order.acknowledged_ns = order.acknowledged_ns or self.sim.now_ns
            what = "started" if order.is_evacuated else "finished"
            self.sim.note("operator", f"evacuation of {zone} {what} by {process_name}")
            self.record_ack("evacuation")
        elif 400 <= status < 500:
            self.record_violation("answered", f"evacuation of {zone}: {status} from {process_name}")

    def settled_evacuations(self, before_ns: int) -> dict[str, bool]:
        """Map zones whose last order was acknowledged before a time to whether they are evacuated."""
        settled = {}
        for zone, orders in self.evacuations.items():
            last = orders[-1]
            if last.acknowledged_ns is not None and last.acknowledged_ns < before_ns:
                settled[zone] = last.is_evacuated
        return settled

    def check_evacuations(self, name: str, process: Process, before_ns: int) -> None:
        """Check that a process holds the evacuations acknowledged before a time; `name` is the invariant."""
        evacuated_zones = self.updates(process).get(EVACUATION_KEY) or {}
        for zone, is_evacuated in self.settled_evacuations(before_ns).items():
            if bool(evacuated_zones.get(zone)) != is_evacuated:
                how = "is not" if is_evacuated else "is still"
                self.record_violation(name, f"{process.name}: {zone} {how} evacuated")

    # Periodic checks.

    def processes(self) -> list[Process]:
        """Return the running controllers and proxies."""
        machines = (*self.site.controllers.values(), *self.site.proxies.values())
        processes = [machine.process for machine in machines]
        return [process for process in processes if process is not None and process.is_running]

    def updates(self, process: Process) -> VersionedStore:
        """Return the versioned store of a controller or proxy."""
        return process.plane.updates if hasattr(process, "plane") else process.updates

    def check_invariants(self) -> None:
        """Check the invariants that hold at any time, and without recent faults those that need contact."""
        now_ns = self.sim.now_ns
        for controller in self.site.running_controllers():
            if self.may_reach_majority(controller) or controller not in self.last_contact_ns:
                self.last_contact_ns[controller] = now_ns
            self.check_epoch(controller.plane.register.voters)
        for process in self.processes():
            self.check_confirmed(process)
        if not self.is_calm(now_ns):
            return
        for process in self.processes():
            serves = getattr(process, "listening", True)
            if serves and now_ns - process.started_at_ns > START_NS:
                self.check_connected(process)

    def check_confirmed(self, process: Process) -> None:
        """Check that a process holds everything acknowledged before the time up to which it is confirmed.

        Leases of proxies are measured from that time.
        """
        plane = getattr(process, "plane", process)
        age_s = plane.relay.age()
        if age_s >= NEVER:
            return
        drifted_ns = int(CLOCK_DRIFT_FACTOR * age_s * NS_PER_SECOND)
        confirmed_ns = self.sim.now_ns - drifted_ns - CONFIRMATION_MARGIN_NS
        updates = plane.updates
        for id, left_ns in self.leaving.items():
            view = updates.get(f"{ENDPOINT_KEY_PREFIX}{id}")
            if left_ns < confirmed_ns and view and view["state"] not in LEFT_STATES:
                at = format_time(confirmed_ns)
                self.record_violation("confirmed", f"{process.name}: {id} is {view['state']} at {at}")
        self.check_evacuations("confirmed", process, confirmed_ns)
        version = updates.entries.get(CONFIGURATION_KEY, (NO_CONFIGURATION,))[0]
        newest = self.newest_acknowledged(confirmed_ns)
        if version < newest:
            self.record_violation("confirmed", f"{process.name}: configuration {version} and not {newest}")

    def newest_acknowledged(self, before_ns: int) -> int:
        """Return the highest version that was acknowledged before a time."""
        newest = NO_CONFIGURATION
        for version, puts in self.puts.items():
            for put in puts.values():
                if put.acknowledged_ns is not None and put.acknowledged_ns < before_ns:
                    newest = max(newest, version)
        return newest

    def check_epoch(self, voters: Voters) -> None:
        """Check that an epoch has one voter configuration, whose quorums meet those of the epoch before."""
        if not voters.sets:
            return  # a controller whose disk was wiped does not know the voters yet
        if voters.epoch in self.epochs:
            if self.epochs[voters.epoch] != voters:
                self.record_violation("epochs", f"two sets of voters in epoch {voters.epoch}")
            return
        self.epochs[voters.epoch] = voters
        members = [sorted(ip for ip, _ in voter_set) for voter_set in voters.sets]
        self.sim.note("voters", f"epoch {voters.epoch}: {members}")
        previous = self.epochs.get(voters.epoch - 1)
        if previous is None or not previous.epoch:
            return
        if any(voter_set in voters.sets for voter_set in previous.sets):
            return
        both_single = len(previous.sets) == len(voters.sets) == 1
        # Majorities of two sets that differ by one member intersect.
        if not (both_single and len(previous.sets[0] ^ voters.sets[0]) <= 1):
            self.record_violation("epochs", f"epoch {voters.epoch} shares no set with the one before it")

    def check_connected(self, process: Process) -> None:
        """Check that a connected process knows departures and evacuations within their time bounds."""
        now_ns = self.sim.now_ns
        updates = self.updates(process)
        for id, left_ns in self.leaving.items():
            view = updates.get(f"{ENDPOINT_KEY_PREFIX}{id}")
            if view and view["state"] == EndpointState.READY and now_ns > left_ns + DRAIN_NS:
                since = format_time(left_ns)
                self.record_violation("drain", f"{process.name} tells {id} as ready, leaving since {since}")
        self.check_evacuations("evacuated", process, now_ns - EVACUATE_NS)

    def may_reach_majority(self, controller: "SimulatedController") -> bool:
        """Whether a controller can reach a majority, and recovered at least one round trip ago."""
        connected = self.site.network.connected
        running = self.site.running_controllers()
        reachable_count = sum(connected(controller.machine.ip, other.machine.ip) for other in running)
        has_majority = 2 * reachable_count > len(self.site.controllers)
        return has_majority and self.sim.now_ns - controller.machine.recovered_at_ns > ROUND_TRIP_NS

    def check_directions(self, controller: "SimulatedController", status: int) -> None:
        """Check that a controller cut off from the majority for `STALE_NS` does not answer the directory."""
        now_ns = self.sim.now_ns
        if self.may_reach_majority(controller):
            self.last_contact_ns[controller] = now_ns
        alone_ns = now_ns - self.last_contact_ns.get(controller, now_ns)
        if status == 200 and alone_ns > STALE_NS:
            alone_s = alone_ns / NS_PER_SECOND
            self.record_violation("stale", f"{controller.name} answers directions, alone for {alone_s:.1f} s")

    # Checks at the end of a run.

    def check_at_end(self) -> None:
        """Check that all processes hold the same state, and that there are enough voters."""
        steady = sorted(endpoint.id for endpoint in self.site.endpoints.values() if endpoint.is_steady())
        views = [self.view_at_end(process, steady) for process in self.processes()]
        for view in views[1:]:
            if view[1:] != views[0][1:]:
                self.record_violation("agree", f"{view} and {views[0]}")
        self.check_voters_at_end()

    def view_at_end(self, process: Process, steady: list[str]) -> tuple[str, Any, list[str], dict[str, bool]]:
        """Check that a process holds the acknowledged configuration and the steady endpoints.

        Returns:
            Its name, the version of its configuration, evacuated zones, and which of `steady` are ready.
        """
        updates = self.updates(process)
        ready = {}
        for key, view in updates.with_prefix(ENDPOINT_KEY_PREFIX).items():
            ready[key] = view["state"] == EndpointState.READY
        steady_ready = {id: ready.get(id, False) for id in steady}
        version = updates.entries.get(CONFIGURATION_KEY, (None,))[0]
        evacuations = updates.get(EVACUATION_KEY) or {}
        evacuated_zones = sorted(zone for zone, is_evacuated in evacuations.items() if is_evacuated)
        lowest = self.highest_acknowledged
        if lowest >= 0 and (version is None or version < lowest):
            self.record_violation("agree", f"{process.name} holds configuration {version} and not {lowest}")
        missing = [id for id, is_ready in steady_ready.items() if not is_ready]
        if missing:
            self.record_violation("agree", f"{process.name} does not tell {missing} as ready")
        return process.name, version, evacuated_zones, steady_ready

    def check_forgotten(self, endpoints: list["Endpoint"]) -> None:
        """Check that no process keeps a record of endpoints that ended long ago."""
        ids = {endpoint.id for endpoint in endpoints}
        for process in self.processes():
            updates = self.updates(process)
            prefix = ENDPOINT_KEY_PREFIX
            known_ids = {
                "versioned store": {k[len(prefix) :] for k in updates.entries if k.startswith(prefix)}
            }
            if hasattr(process, "plane"):
                registry = process.plane.registry
                known_ids["registry"] = {*registry.records, *getattr(registry, "gone", ())}
                known_ids["disk"] = {*self.site.disks[process.machine.ip].endpoint_rows}
            for where, known in known_ids.items():
                kept = known & ids
                if kept:
                    self.record_violation(
                        "forgotten", f"{process.name}: {len(kept)} of {len(ids)} in its {where}"
                    )

    def check_voters_at_end(self) -> None:
        """Check that there are enough voters, and that any tolerated loss leaves a quorum of them."""
        voters = self.site.voters()
        shape = self.site.shape
        machines = {machine.process_address: machine for machine in self.site.controllers.values()}
        members = set(voters.members())
        member_ips = sorted(ip for ip, _ in members)
        text = f"epoch {voters.epoch}: {member_ips} of {sorted(ip for ip, _ in machines)}"
        alive = members & set(machines)
        if len(alive) < min(2 * shape.lost_machines + 1, len(machines)):
            self.record_violation("voters", f"{text}: too few for the loss of {shape.lost_machines}")
        # A removed machine may still be a voter, as long as any further loss leaves a quorum.
        loss_count = shape.lost_machines if len(machines) > 2 * shape.lost_machines else 0
        for lost in combinations(sorted(alive), loss_count):
            if not voters.is_quorum(alive - {*lost}):
                self.record_violation("voters", f"{text}: the loss of {lost} leaves no quorum")
        zones = sorted({machine.zone for machine in machines.values()})
        if not shape.lost_zones or len(zones) <= 2:
            return
        for zone in zones:
            left = {address for address, machine in machines.items() if machine.zone != zone}
            if not voters.is_quorum(left & members):
                self.record_violation("voters", f"{text}: the loss of {zone} leaves no quorum")


def encode_configuration(version: int, content_id: int, sharded: bool) -> bytes:
    """Encode a configuration as an operator sends it.

    Args:
        version: of the configuration.
        content_id: distinguishes contents of the same version.
        sharded: whether it has a service with key ranges.
    """
    service_configs = [{"name": "plain", "cold_s": 0.0, "cold_per_s": 0.0}]
    rules = [
        {
            "name": f"r{content_id}",
            "kind": "safe",
            "sorting": {"postcode": f"/p{content_id}/"},
            "dispatch": {"line": "plain", "deadline_ms": 3000, "tries": 2},
        }
    ]
    if sharded:
        service_configs.append({"name": "keyed", "sharded": True, "warmup_s": 1.0})
        rules.append(
            {
                "name": "k",
                "kind": "safe",
                "sorting": {"postcode": "/k/"},
                "dispatch": {"line": "keyed", "deadline_ms": 3000, "tries": 2},
            }
        )
    virtual_hosts = [{"destination": "a.example", "regulations": rules}]
    return msgspec.json.encode(
        {"edition": f"{version:08x}", "wickets": virtual_hosts, "depots": service_configs}
    )
