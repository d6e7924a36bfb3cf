"""What must hold in a simulated site: a log of what callers were told, checked as answers and updates come.

Sources: the rules' page (CONFIG, DRAIN, EVAC, LOST, OWNER, Acks) and docs/design/system.md.
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
    "crash": "no task of a process ends by an exception",
    "kept": "a get begun after a configuration was acknowledged or shown shows it or a later one",
    "single": "one content a number: of two under one number, one at the most is acknowledged or in force",
    "refused": "what was acknowledged or is in force is never refused, what was refused is never in force",
    "answered": "no proper order or call is answered 4xx, but 409 where another content bears its number",
    "durable": "an acknowledged configuration is on the disks of a quorum of the voters in force",
    "known": "an acknowledged first check-in, closing or sign-off is on the disks of a quorum of the voters",
    "drain": "last_call_ms after an acknowledged closing or sign-off, nobody in touch tells it as ready",
    "confirmed": "who counts a moment as confirmed holds what was acknowledged before it",
    "ended": "two check-ins in a row of a live endpoint are not acknowledged by who tells it as gone",
    "stale": "a controller without contact to the others for three seconds answers no directions",
    "monotonic": "the updates that a process holds never go back within its life",
    "evacuated": "an acknowledged evacuation, or its end, stands in touch, whatever comes late",
    "owner": "no two endpoints that are up hold one key",
    "live": "in a calm time each order is acknowledged within receipt_ms",
    "agree": "after a calm time all processes hold the same updates",
    "epochs": "each epoch has one set of voters, and shares a set with the one before it",
    "forgotten": "of an endpoint that ended 150 seconds ago nothing is held in memory or on disks",
    "voters": "after a calm time the voters are there, and any loss within bounds leaves a quorum",
}
CALM_NS = 5 * NS_PER_SECOND  # after the last fault, until which answers may be late
START_NS = 5 * NS_PER_SECOND  # after its start, in which a process may hold old updates
STALE_NS = 3 * NS_PER_SECOND  # without contact, after which a controller may answer no directions
DRAIN_NS = 3 * NS_PER_SECOND  # `last_call_ms`
EVACUATE_NS = 5 * NS_PER_SECOND  # `evacuate_ms`
RECOVERY_NS = 300 * NS_PER_MS  # `thaw_ms`
ROUND_TRIP_NS = 30 * NS_PER_MS  # of a controller that has just recovered
CLOCK_DRIFT_FACTOR = 1.05  # clocks of processes may run a few percent apart
CONFIRMATION_MARGIN_NS = 20 * NS_PER_MS
LEFT_STATES = (EndpointState.DRAINING, EndpointState.GONE)
VERSION = re.compile(rb'"edition": ?"([0-9a-f]{8})"')
NO_CONFIGURATION = -1


def version_of(value: bytes | None) -> int:
    """The version of a configuration, however it is wrapped in the register; -1 for none."""
    match = VERSION.search(value or b"")
    return int(match[1], 16) if match else NO_CONFIGURATION


def time_text(at_ns: int) -> str:
    """A virtual time in seconds since the beginning, for a text."""
    return f"{seconds_since_start(at_ns):.3f}"


@dataclass(eq=False)
class Put:
    """One content under one version, as operators send it.  Times are virtual, in nanoseconds.

    Attributes:
        number: the version.
        body: the content.
        sent_ns: when it was sent first.
        acknowledged_ns: when it was first acknowledged.
        refused_ns: when it was first refused.
    """

    number: int
    body: bytes
    sent_ns: int
    acknowledged_ns: int | None = None
    refused_ns: int | None = None


@dataclass(eq=False)
class EvacuationOrder:
    """An order to begin or end the evacuation of a zone; times as in `Put`."""

    is_evacuated: bool
    began_ns: int
    acknowledged_ns: int | None = None


class InvariantChecker:
    """Hears what happens in a site, and tells what must not have happened.

    Attributes:
        on: names of the invariants that end a run.
        counts: invariant -> how often it broke.
        first_violations: invariant -> (seconds since the beginning, text) of its first break.
        puts: configurations that were sent, by version and content.
        highest_acknowledged: version of a configuration.
        highest_shown: version of a configuration that a get has shown.
        in_force: version -> content that a get or a versioned store has shown.
        versions: (process, key) -> version of the last update.
        evacuations: zone -> its orders in turn.
        leaving: endpoint -> when its closing or sign-off was first acknowledged, in nanoseconds.
        epochs: epoch -> its voters.
        contacts: controller -> when it last may have had contact with a majority, in nanoseconds.
        active_faults: how many faults there are now.
        calm_since_ns: when the last fault began or ended.
        on_ack: called once each, without arguments, at the next acknowledgement.
        acks: kind of request -> how many were acknowledged.
    """

    def __init__(self, sim: Simulation, on: Iterable[str]) -> None:
        """Begin with nothing heard; `site` is set before the first process starts."""
        self.sim = sim
        self.on = set(on)
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
        self.contacts: dict[SimulatedController, int] = {}
        self.active_faults = 0
        self.calm_since_ns = sim.now_ns
        self.on_ack: list[Callable[[], None]] = []
        self.acks: Counter[str] = Counter()

    def record_violation(self, name: str, text: str) -> None:
        """An invariant does not hold.

        Args:
            name: a key of `INVARIANTS`.
            text: what was seen.
        """
        if self.sim.violation is not None:
            return
        self.counts[name] += 1
        if name not in self.first_violations:
            self.first_violations[name] = (round(self.sim.elapsed_s, 3), text)
            self.sim.note("BROKEN", f"{name}: {text}")
        if name in self.on:
            self.sim.fail(InvariantViolation(name, text))

    # Calm times.

    def count_fault(self, change: int) -> None:
        """A fault begins (1), ends (-1) or is over at once (0)."""
        self.active_faults += change
        self.calm_since_ns = self.sim.now_ns

    def calm(self, since_ns: int) -> bool:
        """Whether there has been no fault since `CALM_NS` before a virtual time."""
        return not self.active_faults and self.calm_since_ns <= since_ns - CALM_NS

    def acknowledged(self, kind: str) -> None:
        """A request of a kind was acknowledged for the first time."""
        self.acks[kind] += 1
        watchers = self.on_ack
        self.on_ack = []
        for watcher in watchers:
            self.sim.call_after(0, watcher)

    # Configurations.

    def record_put(self, number: int, body: bytes) -> Put:
        """A configuration is about to be sent."""
        return self.puts.setdefault(number, {}).setdefault(body, Put(number, body, self.sim.now_ns))

    def check_put_answer(self, put: Put, status: int, who: str) -> None:
        """A controller answered a put, once more or for the first time.

        Args:
            put: what was sent.
            status: of the answer.
            who: name of the controller.
        """
        rivals = [other for other in self.puts[put.number].values() if other is not put]
        if status == 200:
            self.check_acknowledged_put(put, rivals, who)
        elif 400 <= status < 500:
            self.check_refused_put(put, rivals, status, who)

    def check_acknowledged_put(self, put: Put, rivals: list[Put], who: str) -> None:
        """No other content was acknowledged under its version, and it was not refused before."""
        name = f"configuration {put.number}"
        if any(other.acknowledged_ns for other in rivals):
            self.record_violation("single", f"{name}: a second content was acknowledged by {who}")
        if put.refused_ns:
            self.record_violation("refused", f"{name}: acknowledged by {who} after it had been refused")
        if put.acknowledged_ns is None:
            put.acknowledged_ns = self.sim.now_ns
            self.sim.note("operator", f"{name} acknowledged by {who}")
            self.check_durable(put, who)
            self.acknowledged("put")
        self.highest_acknowledged = max(self.highest_acknowledged, put.number)

    def check_refused_put(self, put: Put, rivals: list[Put], status: int, who: str) -> None:
        """It does not stand, and another content has its version."""
        name = f"configuration {put.number}"
        if put.acknowledged_ns or self.in_force.get(put.number) == put.body:
            self.record_violation(
                "refused", f"{name}: {status} from {who} after it had been acknowledged or shown"
            )
        elif not rivals:
            self.record_violation(
                "answered", f"{name}: {status} from {who}, and no other content bears its number"
            )
        put.refused_ns = put.refused_ns or self.sim.now_ns

    def check_durable(self, put: Put, who: str) -> None:
        """An acknowledged configuration, or a later one, is on the disks of a quorum."""
        holders = set()
        for address, disk in self.site.disks_with_addresses():
            slot = disk.slots.get(CONFIGURATION_KEY)
            if slot and version_of(slot.value) >= put.number:
                holders.add(address)
        self.check_quorum("durable", f"configuration {put.number} acknowledged by {who}", holders)

    def check_quorum(self, name: str, what: str, holders: set[Address]) -> None:
        """What some disks hold is on those of a quorum of the voters in force.

        Args:
            name: the invariant.
            what: is on the disks, for the text.
            holders: addresses of the disks' processes.
        """
        voters = self.site.voters()
        if not voters.epoch:
            return
        # While two sets stand, a majority of either is met by every quorum.
        if any(len(holders & members) > len(members) // 2 for members in voters.sets):
            return
        holder_ips = sorted(ip for ip, _ in holders)
        voter_ips = [ip for ip, _ in voters.members()]
        self.record_violation(name, f"{what}: on the disks of {holder_ips} of the voters {voter_ips}")

    def check_get(self, lowest: int, status: int, body: bytes, who: str) -> None:
        """A controller answered a get.

        Args:
            lowest: the highest version that was acknowledged or shown when the get began.
            status: of the answer.
            body: of the answer.
            who: name of the controller.
        """
        if status == 404 and lowest >= 0:
            self.record_violation(
                "kept", f"{who} answers that there is no configuration, {lowest} was acknowledged"
            )
        elif 400 <= status < 500 and status != 404:
            self.record_violation("answered", f"get: {status} from {who}")
        elif status == 200:
            number = version_of(body)
            if number < lowest:
                self.record_violation(
                    "kept", f"{who} answers configuration {number}, {lowest} was acknowledged or shown"
                )
            self.check_in_force(number, body, who)
            self.highest_shown = max(self.highest_shown, number)

    def check_in_force(self, number: int, body: bytes, who: str) -> None:
        """Somebody shows a configuration: it was sent, not refused, and is the only one of its version."""
        puts = self.puts.get(number, {})
        put = puts.get(body)
        if put is None:
            self.record_violation("kept", f"{who} shows a configuration {number} that nobody sent")
        elif put.refused_ns:
            self.record_violation(
                "refused", f"{who} shows configuration {number} with a content that was refused"
            )
        acknowledged_rivals = [other for other in puts.values() if other.acknowledged_ns and other is not put]
        if self.in_force.setdefault(number, body) != body or acknowledged_rivals:
            self.record_violation("single", f"{who} shows another content of configuration {number}")

    # Updates.

    def record_update(self, process: Process | None, key: str, version: Any, value: Any) -> None:
        """A versioned store took in an update: its version is higher than the one before it."""
        source = process, key
        if source in self.versions and not version > self.versions[source]:
            self.record_violation(
                "monotonic", f"{process.name}: {key} from {self.versions[source]} to {version}"
            )
        self.versions[source] = version
        if key == CONFIGURATION_KEY and isinstance(value, bytes):
            self.check_in_force(version_of(value), value, process.name)

    def check_start(self, controller: "SimulatedController") -> None:
        """A controller begins to answer callers: it knows what was acknowledged before its start."""
        for id, left_ns in self.leaving.items():
            record = controller.plane.registry.records.get(id)
            if record is None or record.state != EndpointState.READY:
                continue
            if left_ns < controller.started_at_ns:
                since = time_text(left_ns)
                self.record_violation(
                    "drain", f"{controller.name} begins with {id} as ready, leaving since {since}"
                )

    # Endpoints.

    def check_heartbeat(
        self, endpoint: "Endpoint", first: bool, closing: bool, controller: "SimulatedController"
    ) -> None:
        """A heartbeat was acknowledged.

        Args:
            endpoint: whose.
            first: whether it is the first of this endpoint that was.
            closing: whether it said that the endpoint is draining.
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
        """A controller does not tell a live endpoint as gone twice in a row.

        Once it may be a late call of an earlier incarnation at its address, which its next heartbeat
        overrules.
        """
        is_gone = record is not None and record.state == EndpointState.GONE
        is_wrong = is_gone and endpoint.up and endpoint.id not in self.leaving
        endpoint.denied = endpoint.denied + 1 if is_wrong else 0
        if endpoint.denied > 1:
            self.record_violation(
                "ended", f"{controller.name} acknowledged a check-in of {endpoint.id} and tells it as gone"
            )

    def record_leaving(self, endpoint: "Endpoint", what: str, who: str) -> None:
        """A closing or sign-off was acknowledged, again or for the first time."""
        if endpoint.id not in self.leaving:
            self.leaving[endpoint.id] = self.sim.now_ns
            self.sim.note(endpoint.id, f"{what} acknowledged by {who}")
            self.acknowledged(what)

    def check_endpoint_on_disks(self, endpoint: "Endpoint", leaves: bool, what: str, who: str) -> None:
        """What was acknowledged of an endpoint is on the disks of a quorum.

        Args:
            endpoint: whose.
            leaves: whether it was a closing or sign-off.
            what: was acknowledged, for the text.
            who: name of the controller.
        """
        holders = set()
        for address, disk in self.site.disks_with_addresses():
            registry = self.site.registry(disk)
            record = registry.records.get(endpoint.id)
            is_known = record is not None and (not leaves or record.state in LEFT_STATES)
            is_forgotten = leaves and endpoint.id in getattr(registry, "gone", ())
            if is_known or is_forgotten:
                holders.add(address)
        self.check_quorum("known", f"{what} of {endpoint.id} acknowledged by {who}", holders)

    # Keys.

    def check_grant(self, process: Process, endpoint: "Endpoint", low: int, high: int) -> None:
        """An endpoint took the keys from `low` to `high`: no other that is up holds one of them.

        Args:
            process: that granted them.
            endpoint: that took them.
            low: the first key.
            high: the last key.
        """
        now_ns = self.sim.now_ns
        recovered_at_ns = max(process.machine.recovered_at_ns, self.site.outside.machine.recovered_at_ns)
        if now_ns - recovered_at_ns <= RECOVERY_NS:
            return  # the rules leave these out
        for other in self.site.endpoints.values():
            if other is endpoint or not other.up or other.line != endpoint.line:
                continue
            for other_low, other_high, _, until_ns in other.holds:
                if until_ns > now_ns and other_low <= high and low <= other_high:
                    both = f"{max(other_low, low)}..{min(other_high, high)}"
                    self.record_violation(
                        "owner", f"{endpoint.id} and {other.id} hold {both}, granted by {process.name}"
                    )

    # Evacuations: one operator a zone, one order after the other.

    def record_evacuation(self, zone: str, is_evacuated: bool) -> EvacuationOrder:
        """An order to begin or end an evacuation is about to be sent."""
        order = EvacuationOrder(is_evacuated, self.sim.now_ns)
        self.evacuations.setdefault(zone, []).append(order)
        return order

    def check_evacuation_answer(self, zone: str, order: EvacuationOrder, status: int, who: str) -> None:
        """A controller answered an order: it never refuses one."""
        if status == 200:
            order.acknowledged_ns = order.acknowledged_ns or self.sim.now_ns
            what = "started" if order.is_evacuated else "finished"
            self.sim.note("operator", f"evacuation of {zone} {what} by {who}")
            self.acknowledged("evacuation")
        elif 400 <= status < 500:
            self.record_violation("answered", f"evacuation of {zone}: {status} from {who}")

    def settled_evacuations(self, before_ns: int) -> dict[str, bool]:
        """Zones whose last order was acknowledged before a time, and whether they are evacuated."""
        settled = {}
        for zone, orders in self.evacuations.items():
            last = orders[-1]
            if last.acknowledged_ns is not None and last.acknowledged_ns < before_ns:
                settled[zone] = last.is_evacuated
        return settled

    def check_evacuations(self, name: str, process: Process, before_ns: int) -> None:
        """A process holds the evacuations that were acknowledged before a time; `name`: the invariant."""
        evacuated_zones = self.updates(process).get(EVACUATION_KEY) or {}
        for zone, is_evacuated in self.settled_evacuations(before_ns).items():
            if bool(evacuated_zones.get(zone)) != is_evacuated:
                how = "is not" if is_evacuated else "is still"
                self.record_violation(name, f"{process.name}: {zone} {how} evacuated")

    # Now and then.

    def processes(self) -> list[Process]:
        """Controllers and proxies that run."""
        machines = (*self.site.controllers.values(), *self.site.proxies.values())
        processes = [machine.process for machine in machines]
        return [process for process in processes if process is not None and process.is_running]

    def updates(self, process: Process) -> VersionedStore:
        """The versioned store of a controller or proxy."""
        return process.plane.updates if hasattr(process, "plane") else process.updates

    def check_invariants(self) -> None:
        """Check what must hold at any time, and in calm times."""
        now_ns = self.sim.now_ns
        for controller in self.site.running_controllers():
            if self.may_have_contact(controller) or controller not in self.contacts:
                self.contacts[controller] = now_ns
            self.check_epoch(controller.plane.register.voters)
        for process in self.processes():
            self.check_confirmed(process)
        if not self.calm(now_ns):
            return
        for process in self.processes():
            serves = getattr(process, "listening", True)
            if serves and now_ns - process.started_at_ns > START_NS:
                self.check_in_touch(process)

    def check_confirmed(self, process: Process) -> None:
        """A process holds what was acknowledged before the moment that it takes as confirmed.

        Leases of proxies are counted from that moment.
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
                at = time_text(confirmed_ns)
                self.record_violation("confirmed", f"{process.name}: {id} is {view['state']} at {at}")
        self.check_evacuations("confirmed", process, confirmed_ns)
        version = updates.entries.get(CONFIGURATION_KEY, (NO_CONFIGURATION,))[0]
        newest = self.newest_acknowledged(confirmed_ns)
        if version < newest:
            self.record_violation("confirmed", f"{process.name}: configuration {version} and not {newest}")

    def newest_acknowledged(self, before_ns: int) -> int:
        """The highest version that was acknowledged before a time."""
        newest = NO_CONFIGURATION
        for number, puts in self.puts.items():
            for put in puts.values():
                if put.acknowledged_ns is not None and put.acknowledged_ns < before_ns:
                    newest = max(newest, number)
        return newest

    def check_epoch(self, voters: Voters) -> None:
        """An epoch has one set of voters, and shares one with the epoch before it."""
        if not voters.sets:
            return  # a disk that came back empty, and knows of no voters yet
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
        # Majorities of two sets that differ by one member meet.
        if not (both_single and len(previous.sets[0] ^ voters.sets[0]) <= 1):
            self.record_violation("epochs", f"epoch {voters.epoch} shares no set with the one before it")

    def check_in_touch(self, process: Process) -> None:
        """A process that has been in touch for a while holds what was acknowledged a while ago."""
        now_ns = self.sim.now_ns
        updates = self.updates(process)
        for id, left_ns in self.leaving.items():
            view = updates.get(f"{ENDPOINT_KEY_PREFIX}{id}")
            if view and view["state"] == EndpointState.READY and now_ns > left_ns + DRAIN_NS:
                since = time_text(left_ns)
                self.record_violation("drain", f"{process.name} tells {id} as ready, leaving since {since}")
        self.check_evacuations("evacuated", process, now_ns - EVACUATE_NS)

    def may_have_contact(self, controller: "SimulatedController") -> bool:
        """Whether a controller may be in contact with a majority: joined to it for a way and back."""
        joined = self.site.network.connected
        running = self.site.running_controllers()
        joined_count = sum(joined(controller.machine.ip, other.machine.ip) for other in running)
        has_majority = 2 * joined_count > len(self.site.controllers)
        return has_majority and self.sim.now_ns - controller.machine.recovered_at_ns > ROUND_TRIP_NS

    def check_directions(self, controller: "SimulatedController", status: int) -> None:
        """A controller answered a client of the directory: not when it has been alone for long."""
        now_ns = self.sim.now_ns
        if self.may_have_contact(controller):
            self.contacts[controller] = now_ns
        alone_ns = now_ns - self.contacts.get(controller, now_ns)
        if status == 200 and alone_ns > STALE_NS:
            alone_s = alone_ns / NS_PER_SECOND
            self.record_violation("stale", f"{controller.name} answers directions, alone for {alone_s:.1f} s")

    # At the end.

    def check_at_end(self) -> None:
        """After a calm time all processes hold the same, and the voters are there."""
        steady = sorted(endpoint.id for endpoint in self.site.endpoints.values() if endpoint.steady())
        views = [self.view_at_end(process, steady) for process in self.processes()]
        for view in views[1:]:
            if view[1:] != views[0][1:]:
                self.record_violation("agree", f"{view} and {views[0]}")
        self.check_voters_at_end()

    def view_at_end(self, process: Process, steady: list[str]) -> tuple[str, Any, list[str], dict[str, bool]]:
        """What a process holds after a calm time; it has what was acknowledged, and the steady endpoints.

        Returns:
            Its name, the version of the configuration, evacuated zones, and which of `steady` are ready.
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
        """Nothing is held of endpoints that ended long ago."""
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
        """The voters are enough, and any loss within bounds leaves a quorum of them."""
        voters = self.site.voters()
        shape = self.site.shape
        machines = {machine.process_address: machine for machine in self.site.controllers.values()}
        members = set(voters.members())
        member_ips = sorted(ip for ip, _ in members)
        text = f"epoch {voters.epoch}: {member_ips} of {sorted(ip for ip, _ in machines)}"
        alive = members & set(machines)
        if len(alive) < min(2 * shape.lost_machines + 1, len(machines)):
            self.record_violation("voters", f"{text}: too few for the loss of {shape.lost_machines}")
        # One that was removed may still stand among them, as long as any further loss leaves a quorum.
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


def configuration(number: int, salt: int, sharded: bool) -> bytes:
    """A configuration as an operator writes it.

    Args:
        number: its version.
        salt: tells two contents of one version apart.
        sharded: whether it has a service with key ranges.
    """
    service_configs = [{"name": "plain", "cold_s": 0.0, "cold_per_s": 0.0}]
    rules = [
        {
            "name": f"r{salt}",
            "kind": "safe",
            "sorting": {"postcode": f"/p{salt}/"},
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
        {"edition": f"{number:08x}", "wickets": virtual_hosts, "depots": service_configs}
    )
