"""What must hold in a simulated site: a ledger of what callers were told, checked as answers and news come.

Sources: the rules' page (CONFIG, DRAIN, EVAC, LOST, OWNER, Acks) and docs/design/system.md.
"""

import re
from collections import Counter
from itertools import combinations

import msgspec

from flintreach.controller.quorum_contact import NEVER
from flintreach.endpoints.registry import EndpointState
from flintreach.simulation.scheduler import NS_PER_MS, NS_PER_SECOND, Broken, seconds_since_start

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
    "ended": "two check-ins in a row of a live endpoint are not acknowledged by refuges that tell it as gone",
    "stale": "a refuge without contact to the others for three seconds answers no directions",
    "monotonic": "what a process holds of the news never goes back within its life",
    "evacuated": "an acknowledged evacuation, or its end, stands in touch, whatever comes late",
    "owner": "no two endpoints that are up hold one key",
    "live": "in a calm time each order is acknowledged within receipt_ms",
    "agree": "after a calm time all processes hold the same news",
    "epochs": "each epoch has one set of voters, and shares a set with the one before it",
    "forgotten": "of an endpoint that ended 150 seconds ago nothing is held in memory or on disks",
    "voters": "after a calm time the voters are there, and any loss within bounds leaves a quorum",
}
STALE = 3 * NS_PER_SECOND
EDITION = re.compile(rb'"edition": ?"([0-9a-f]{8})"')


def edition(value: bytes | None) -> int:
    """The number of a configuration, however what stands in the register wraps it; -1 for none."""
    found = EDITION.search(value or b"")
    return int(found[1], 16) if found else -1


def clock(at: int) -> str:
    return f"{seconds_since_start(at):.3f}"


class Put:
    def __init__(self, number: int, body: bytes, now: int):
        self.number, self.body, self.sent = number, body, now
        self.acked = self.refused = None


class InvariantChecker:
    """`on`: names of the invariants that end a run; of the others the first break is kept in `seen`."""

    def __init__(self, sim, on):
        self.sim, self.on, self.site = sim, set(on), None
        self.counts, self.seen = Counter(), {}
        self.puts: dict[int, dict[bytes, Put]] = {}
        self.floor, self.shown = -1, -1  # the highest number acknowledged; that a get has shown
        self.forced: dict[int, bytes] = {}  # number -> content that a get or a board has shown
        self.held: dict = {}  # (process, key) -> version
        self.zones: dict[str, list] = {}  # zone -> its orders in turn: [on, began, acked]
        self.leaving: dict[str, int] = {}  # endpoint -> when its closing or sign-off was first acknowledged
        self.epochs: dict[int, object] = {}
        self.met: dict = {}  # refuge -> when it last had contact
        self.active_faults, self.calm_since = 0, sim.now_ns
        self.on_ack = []  # called once each, at the next acknowledgement
        self.acks = Counter()

    def broke(self, name: str, text: str) -> None:
        if self.sim.broken is None:
            self.counts[name] += 1
            if name not in self.seen:
                self.seen[name] = (round(self.sim.seconds, 3), text)
                self.sim.note("BROKEN", f"{name}: {text}")
            if name in self.on:
                self.sim.fail(Broken(name, text))

    # Calm times.

    def count_fault(self, more: int) -> None:
        """A fault begins (1), ends (-1) or is over at once (0)."""
        self.active_faults += more
        self.calm_since = self.sim.now_ns

    def calm(self, since: int) -> bool:
        """Whether all machines have been in touch from a time on."""
        return not self.active_faults and self.calm_since <= since - 5 * NS_PER_SECOND

    def acknowledged(self, what: str) -> None:
        self.acks[what] += 1
        told, self.on_ack = self.on_ack, []
        for call in told:
            self.sim.after(0, call)

    # Configurations.

    def sent(self, number: int, body: bytes) -> Put:
        return self.puts.setdefault(number, {}).setdefault(body, Put(number, body, self.sim.now_ns))

    def answered(self, put: Put, status: int, who: str) -> None:
        rivals = [other for other in self.puts[put.number].values() if other is not put]
        name = f"configuration {put.number}"
        if status == 200:
            if any(other.acked for other in rivals):
                self.broke("single", f"{name}: a second content was acknowledged by {who}")
            if put.refused:
                self.broke("refused", f"{name}: acknowledged by {who} after it had been refused")
            if put.acked is None:
                put.acked = self.sim.now_ns
                self.sim.note("operator", f"{name} acknowledged by {who}")
                self.durable(put, who)
                self.acknowledged("put")
            self.floor = max(self.floor, put.number)
        elif 400 <= status < 500:
            if put.acked or self.forced.get(put.number) == put.body:
                self.broke("refused", f"{name}: {status} from {who} after it had been acknowledged or shown")
            elif not rivals:
                self.broke("answered", f"{name}: {status} from {who}, and no other content bears its number")
            put.refused = put.refused or self.sim.now_ns

    def durable(self, put: Put, who: str) -> None:
        holders = {
            address
            for address, disk in self.site.copies()
            if (slot := disk.slots.get("timetable")) and edition(slot.value) >= put.number
        }
        self.quorum("durable", f"configuration {put.number} acknowledged by {who}", holders)

    def quorum(self, name: str, what: str, holders: set) -> None:
        voters = self.site.voters()
        # While two sets stand, a majority of either is met by every quorum.
        if voters.epoch and not any(len(holders & one) > len(one) // 2 for one in voters.sets):
            there, wanted = sorted(ip for ip, _ in holders), [ip for ip, _ in voters.members()]
            self.broke(name, f"{what}: on the disks of {there} of the voters {wanted}")

    def got(self, floor: int, status: int, body: bytes, who: str) -> None:
        """An answer to a get that began when `floor` was the highest acknowledged or shown."""
        if status == 404 and floor >= 0:
            self.broke("kept", f"{who} answers that there is no configuration, {floor} was acknowledged")
        elif 400 <= status < 500 and status != 404:
            self.broke("answered", f"get: {status} from {who}")
        elif status == 200:
            number = edition(body)
            if number < floor:
                self.broke("kept", f"{who} answers configuration {number}, {floor} was acknowledged or shown")
            self.in_force(number, body, who)
            self.shown = max(self.shown, number)

    def in_force(self, number: int, body: bytes, who: str) -> None:
        put = self.puts.get(number, {}).get(body)
        if put is None:
            self.broke("kept", f"{who} shows a configuration {number} that nobody sent")
        elif put.refused:
            self.broke("refused", f"{who} shows configuration {number} with a content that was refused")
        acked = [other for other in self.puts.get(number, {}).values() if other.acked and other is not put]
        if self.forced.setdefault(number, body) != body or acked:
            self.broke("single", f"{who} shows another content of configuration {number}")

    # News.

    def parcel(self, process, key: str, version, value) -> None:
        mark = process, key
        if mark in self.held and not version > self.held[mark]:
            self.broke("monotonic", f"{process.name}: {key} from {self.held[mark]} to {version}")
        self.held[mark] = version
        if key == "timetable" and isinstance(value, bytes):
            self.in_force(edition(value), value, process.name)

    def began(self, controller) -> None:
        """A refuge answers callers: it knows what was acknowledged a while before."""
        for id, at in self.leaving.items():
            record = controller.plane.registry.records.get(id)
            if record is not None and record.state == EndpointState.READY and at < controller.since:
                self.broke("drain", f"{controller.name} begins with {id} as ready, leaving since {clock(at)}")

    # Endpoints.

    def beaten(self, endpoint, first: bool, closing: bool, controller) -> None:
        """A check-in was acknowledged."""
        id = endpoint.id
        if first or closing:
            self.on_disks(endpoint, closing, "closing" if closing else "first check-in", controller.name)
        if closing:
            self.leaves(endpoint, "closing", controller.name)
        elif controller.alive:
            record = controller.plane.registry.records.get(id)
            gone = (
                record is not None
                and record.state == EndpointState.GONE
                and endpoint.up
                and id not in self.leaving
            )
            # Once it may be a late call of an older life at its address, which its next check-in overrules.
            endpoint.denied = endpoint.denied + 1 if gone else 0
            if endpoint.denied > 1:
                self.broke("ended", f"{controller.name} acknowledged a check-in of {id} and tells it as gone")

    def leaves(self, endpoint, what: str, who: str) -> None:
        if endpoint.id not in self.leaving:
            self.leaving[endpoint.id] = self.sim.now_ns
            self.sim.note(endpoint.id, f"{what} acknowledged by {who}")
            self.acknowledged(what)

    def on_disks(self, endpoint, leaves: bool, what: str, who: str) -> None:
        holders = set()
        for address, disk in self.site.copies():
            registry = self.site.registry(disk)
            record = registry.records.get(endpoint.id)
            if (
                record is not None
                and (not leaves or record.state in (EndpointState.CLOSING, EndpointState.GONE))
                or leaves
                and endpoint.id in getattr(registry, "gone", ())
            ):
                holders.add(address)
        self.quorum("known", f"{what} of {endpoint.id} acknowledged by {who}", holders)

    # Keys.

    def granted(self, process, endpoint, low: int, high: int) -> None:
        eased = max(process.machine.recovered_at_ns, self.site.outside.machine.recovered_at_ns)
        if self.sim.now_ns - eased <= 300 * NS_PER_MS:
            return  # the rules leave these out
        for other in self.site.endpoints.values():
            if other is not endpoint and other.up and other.line == endpoint.line:
                for a, b, _, until in other.holds:
                    if until > self.sim.now_ns and a <= high and low <= b:
                        self.broke(
                            "owner",
                            f"{endpoint.id} and {other.id} hold {max(a, low)}.."
                            f"{min(b, high)}, granted by {process.name}",
                        )

    # Evacuations: one operator a zone, one order after the other.

    def evacuation(self, zone: str, on: bool) -> list:
        order = [on, self.sim.now_ns, None]
        self.zones.setdefault(zone, []).append(order)
        return order

    def evacuated(self, zone: str, order: list, status: int, who: str) -> None:
        if status == 200:
            order[2] = order[2] or self.sim.now_ns
            what = "started" if order[0] else "finished"
            self.sim.note("operator", f"evacuation of {zone} {what} by {who}")
            self.acknowledged("evacuation")
        elif 400 <= status < 500:
            self.broke("answered", f"evacuation of {zone}: {status} from {who}")

    # Now and then, and at the end.

    def processes(self):
        found = [m.process for m in (*self.site.controllers.values(), *self.site.proxies.values())]
        return [process for process in found if process is not None and process.alive and not process.frozen]

    def updates(self, process):
        return process.plane.updates if hasattr(process, "plane") else process.updates

    def look(self) -> None:
        now, up = self.sim.now_ns, self.site.up()
        for controller in up:
            if self.meets(controller) or controller not in self.met:
                self.met[controller] = now
            self.epoch(controller.plane.register.voters)
        for process in self.processes():
            self.confirmed(process)
        if self.calm(now):
            for process in self.processes():
                if now - process.began_at_ns > 5 * NS_PER_SECOND and (
                    not hasattr(process, "listening") or process.listening
                ):
                    self.in_touch(process)

    def confirmed(self, process) -> None:
        """Leases of proxies are counted from the moment that a process takes as confirmed."""
        plane = getattr(process, "plane", process)
        age, updates = plane.relay.age(), plane.updates
        if age >= NEVER:
            return
        # Clocks of processes may run a few percent apart.
        at = self.sim.now_ns - int(1.05 * age * NS_PER_SECOND) - 20 * NS_PER_MS
        for id, acknowledged in self.leaving.items():
            told = updates.get(f"hut/{id}")
            if (
                acknowledged < at
                and told
                and told["state"] not in (EndpointState.CLOSING, EndpointState.GONE)
            ):
                self.broke("confirmed", f"{process.name}: {id} is {told['state']} at {clock(at)}")
        zones = updates.get("evac") or {}
        for zone, on in self.settled_zones(at).items():
            if bool(zones.get(zone)) != on:
                self.broke("confirmed", f"{process.name}: {zone} {'is not' if on else 'is still'} evacuated")
        version = updates.entries.get("timetable", (-1,))[0]
        newest = max((number for number, puts in self.puts.items() if self.stood(puts, at)), default=-1)
        if version < newest:
            self.broke("confirmed", f"{process.name}: configuration {version} and not {newest}")

    def stood(self, puts: dict, at: int) -> bool:
        return any(put.acked is not None and put.acked < at for put in puts.values())

    def epoch(self, voters) -> None:
        if not voters.sets:
            return  # one that came back empty, and knows of no voters yet
        if voters.epoch not in self.epochs:
            self.epochs[voters.epoch] = voters
            told = [sorted(ip for ip, _ in one) for one in voters.sets]
            self.sim.note("voters", f"epoch {voters.epoch}: {told}")
            before = self.epochs.get(voters.epoch - 1)
            if before is not None and before.epoch:
                shared = [one for one in before.sets if one in voters.sets]
                if not shared and not (
                    len(before.sets) == len(voters.sets) == 1 and len(before.sets[0] ^ voters.sets[0]) <= 1
                ):
                    self.broke("epochs", f"epoch {voters.epoch} shares no set with the one before it")
        elif self.epochs[voters.epoch] != voters:
            self.broke("epochs", f"two sets of voters in epoch {voters.epoch}")

    def in_touch(self, process) -> None:
        now, updates = self.sim.now_ns, self.updates(process)
        for id, at in self.leaving.items():
            told = updates.get(f"hut/{id}")
            if told and told["state"] == EndpointState.READY and now > at + 3 * NS_PER_SECOND:
                self.broke("drain", f"{process.name} tells {id} as ready, leaving since {clock(at)}")
        zones = updates.get("evac") or {}
        for zone, on in self.settled_zones(now - 5 * NS_PER_SECOND).items():
            if bool(zones.get(zone)) != on:
                self.broke("evacuated", f"{process.name}: {zone} {'is not' if on else 'is still'} evacuated")

    def settled_zones(self, before: int) -> dict[str, bool]:
        """Zones whose last order was acknowledged before a time."""
        return {
            zone: orders[-1][0]
            for zone, orders in self.zones.items()
            if orders[-1][2] is not None and orders[-1][2] < before
        }

    def meets(self, controller) -> bool:
        """Whether a refuge may be in contact with a majority: joined to it for a way and back."""
        joined = self.site.network.joined
        others = sum(joined(controller.machine.ip, other.machine.ip) for other in self.site.up())
        return (
            2 * others > len(self.site.controllers)
            and self.sim.now_ns - controller.machine.recovered_at_ns > 30 * NS_PER_MS
        )

    def directions(self, controller, status: int) -> None:
        if self.meets(controller):
            self.met[controller] = self.sim.now_ns
        alone = self.sim.now_ns - self.met.get(controller, self.sim.now_ns)
        if status == 200 and alone > STALE:
            self.broke(
                "stale", f"{controller.name} answers directions, alone for {alone / NS_PER_SECOND:.1f} s"
            )
        elif 400 <= status < 500:
            self.broke("answered", f"directions: {status} from {controller.name}")

    def at_end(self) -> None:
        """After a calm time."""
        site, rows = self.site, []
        for process in self.processes():
            updates = self.updates(process)
            huts = {key: told["state"] == EndpointState.READY for key, told in updates.under("hut/").items()}
            steady = sorted(e.id for e in site.endpoints.values() if e.steady())
            live = {id: huts.get(id, False) for id in steady}
            version = updates.entries.get("timetable", (None,))[0]
            away = sorted(zone for zone, on in (updates.get("evac") or {}).items() if on)
            rows.append((process.name, version, away, live))
            if self.floor >= 0 and (version is None or version < self.floor):
                self.broke("agree", f"{process.name} holds configuration {version} and not {self.floor}")
            missing = [id for id, there in live.items() if not there]
            if missing:
                self.broke("agree", f"{process.name} does not tell {missing} as ready")
        for row in rows[1:]:
            if row[1:] != rows[0][1:]:
                self.broke("agree", f"{row} and {rows[0]}")
        self.voters_at_end()

    def forgotten(self, endpoints) -> None:
        """`endpoints`: those that ended long ago."""
        ids = {endpoint.id for endpoint in endpoints}
        for process in self.processes():
            held = {"board": {key[4:] for key in self.updates(process).entries if key.startswith("hut/")}}
            if hasattr(process, "plane"):
                registry, disk = process.plane.registry, self.site.disks[process.machine.ip]
                held |= {
                    "book": {*registry.records, *getattr(registry, "gone", ())},
                    "disk": {*disk.endpoint_rows},
                }
            for where, found in held.items():
                if old := sorted(found & ids):
                    self.broke("forgotten", f"{process.name}: {len(old)} of {len(ids)} in its {where}")

    def voters_at_end(self) -> None:
        voters, shape = self.site.voters(), self.site.shape
        there = {m.process_address: m for m in self.site.controllers.values()}
        members = set(voters.members())
        text = f"epoch {voters.epoch}: {sorted(ip for ip, _ in members)} of {sorted(ip for ip, _ in there)}"
        alive = members & set(there)
        if len(alive) < min(2 * shape.machines + 1, len(there)):
            self.broke("voters", f"{text}: too few for the loss of {shape.machines}")
        # One that was removed may still stand among them, as long as any further loss leaves a quorum.
        for lost in combinations(sorted(alive), shape.machines if len(there) > 2 * shape.machines else 0):
            if not voters.met(alive - {*lost}):
                self.broke("voters", f"{text}: the loss of {lost} leaves no quorum")
        if shape.zones:
            for zone in sorted({m.zone for m in there.values()}):
                left = {address for address, m in there.items() if m.zone != zone}
                most = {address for address in left if address in members}
                if not voters.met(most) and len({m.zone for m in there.values()}) > 2:
                    self.broke("voters", f"{text}: the loss of {zone} leaves no quorum")


def numbered(number: int, salt: int, sharded: bool) -> bytes:
    """A configuration: two operators' contents under one number differ by their salt."""
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
