"""Placement, keys and directions at a refuge: what it decides from the sums that come up from the proxies."""

import zlib

import msgspec

from flintreach.controller.lease_owner import LeaseOwner
from flintreach.controller.voter_management import ROLE
from flintreach.dissemination.load_aggregate import LoadAggregate
from flintreach.endpoints.registry import EndpointState
from flintreach.membership.member_list import ALIVE, Member
from flintreach.placement.placer import Candidate, Placer
from flintreach.sharding.key_load import KeyLoad
from flintreach.sharding.range_assignment import KEYS
from flintreach.sharding.region_affinity import RegionBias, home_regions, links_can_carry, target_region

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode
TTL, ASKED = (0.5, 1.5), 300  # seconds an answer of the directory holds; answers a second of one refuge
MOSTLY, STAY_S = 0.8, 0.5  # of a service's keys in one region, for its clients to be sent there
KEYS_S, PLACE_S = 0.4, 1.0


def leader(controllers: list[Member]) -> Member | None:
    """Who places: the first by name of those that are ready; one that still starts may hold an old map."""
    return min(
        (member for member in controllers if member.ready), key=lambda member: member.name, default=None
    )


class LoadPlacement:
    def __init__(self, plane):
        self.plane, self.runtime = plane, plane.runtime
        self.lease_owners: dict[str, LeaseOwner] = {}
        self.asked, self.asked_in, self.ttl = 0, 0.0, TTL[0]
        self.load_aggregate, self.key_load = LoadAggregate(), KeyLoad()
        self.leans: dict[str, RegionBias] = {}
        self.stays, self.stays_at = {}, 0.0  # host -> region of its clients, looked up now and then
        self.placer = Placer(zlib.crc32(plane.node.sender.node_name.encode()))
        plane.peer_pool.handlers |= {
            "counts": lambda link, body: self.hear_tally(body),
            "warmth": lambda link, body: self.key_load.replace(body),
        }

    def hear_tally(self, body) -> None:
        self.load_aggregate.add(body)

    def able(self, line: str) -> dict[str, tuple[float, str]]:
        """Endpoints that may hold keys of a service: their weights and addresses."""
        found, warm, region, berths = self.keyed(line)
        busy = self.key_load.capacity_in_use({r.id: float(r.capacity) for r in warm})
        lean = self.leans.setdefault(line, RegionBias())
        factors = lean.weigh(self.region_of(line)[0], berths, busy)
        return {
            r.id: (r.capacity * factors.get(region[r.id], 1.0) if r in warm or not warm else 0.0, r.address)
            for r in found
        }

    def keyed(self, line: str):
        """Endpoints that may hold keys, those that are warm or hold some, their regions; berths by region."""
        away, now, zones = self.plane.away(), self.runtime.now_ns(), self.plane.node.network.zones
        found = [
            r
            for r in self.plane.registry.records.values()
            if r.service == line and r.state == EndpointState.READY and r.zone not in away
        ]
        holders = {row[2] for row in self.plane.updates.get(f"bunks/{line}") or ()}
        # One that has just started is cold, and would get all requests on its keys at once.
        warm = [r for r in found if r.warming_up_until_ns <= now or r.id in holders]
        region = {r.id: zones.get(r.zone, "") for r in found}
        berths: dict[str, float] = {}
        for r in warm:
            berths[region[r.id]] = berths.get(region[r.id], 0.0) + r.capacity
        return found, warm, region, berths

    def region_of(self, line: str) -> tuple[str | None, float]:
        """Where the keys of a service are to lie, None where its clients come from everywhere; and which part
        of them lies there."""
        homes = [
            self.homes(host)
            for host, routes in self.plane.routes.hosts.items()
            if any(line == name for route in routes for name, _ in route.services)
        ]
        if not homes or None in homes or len(set.union(*homes)) > 1:
            return None, 0.0
        _, _, region, berths = self.keyed(line)
        keys: dict[str, float] = {}
        for low, high, holder, _ in self.plane.updates.get(f"bunks/{line}") or ():
            place = region.get(holder, "")
            keys[place] = keys.get(place, 0.0) + (high - low + 1) / KEYS
        found = target_region(set.union(*homes), keys, berths)
        links = [
            float(m.listen_addresses.get("mbps", 0))
            for m in self.plane.member_list.alive("bothy")
            if m.region == found and m.ready
        ]
        if not links_can_carry(self.key_load.bytes.get(line), links):
            return None, 0.0
        return found, keys.get(found, 0.0)

    def keys(self) -> None:
        while True:
            # Keys that were just released wait for nothing but their next holder.
            self.runtime.sleep(
                KEYS_S / 8 if any(keeper.soon for keeper in self.lease_owners.values()) else KEYS_S
            )
            # One that has just started may hold old news: it leads nothing before it knows what stands.
            if not self.plane.serving or self.plane.routes is None or not self.plane.register.votes():
                continue
            self.forget_services(
                {
                    name
                    for name, service_config in self.plane.routes.service_configs.items()
                    if service_config.sharded
                }
            )
            for name, service_config in self.plane.routes.service_configs.items():
                if service_config.sharded and name not in self.lease_owners:
                    tell = lambda version, rows, name=name: self.plane.updates.offer(  # noqa: E731
                        f"bunks/{name}", version, rows
                    )
                    node = self.plane.node
                    self.lease_owners[name] = LeaseOwner(
                        node.sender.node_name,
                        name,
                        self.plane.register,
                        node.bounds.max_lease_ms,
                        lambda name=name: self.able(name),
                        self.plane.endpoints.ended,
                        tell,
                        lambda name=name: self.key_load.load_of(name),
                    )
            for name, keeper in self.lease_owners.items():
                keeper.tick()

    def forget_services(self, sharded: set[str]) -> None:
        """Nothing is kept for services that are no more, or have no keys any more."""
        updates = self.plane.updates
        for table in (self.lease_owners, self.leans, self.key_load.keys, self.key_load.bytes):
            for name in table.keys() - sharded:
                del table[name]
        for name in sorted(updates.under("bunks/").keys() - sharded):
            # Later than what its last keeper told, earlier than what the next one may.
            updates.offer(f"bunks/{name}", [*updates.entries[f"bunks/{name}"][0], 1], None)

    def run(self) -> None:
        """One refuge, the first by name, places; the others hand it what they heard.  Two at once do no harm:
        the map changes only where it is still the one that was searched from."""
        while True:
            self.runtime.sleep(PLACE_S)
            body, routes = self.load_aggregate.take(), self.plane.routes
            first = leader(self.plane.member_list.alive(ROLE))
            if first is not self.plane.member_list.local_member:
                if body and first is not None:
                    self.runtime.spawn(self.plane.peer_pool.ask, first.address, "counts", body, 0.8)
                continue
            if routes is None:
                continue
            if told := self.key_load.add_second(body):
                for address in self.plane.peers():  # whoever keeps the keys of a service divides them by it
                    self.runtime.spawn(self.plane.peer_pool.ask, address, "warmth", told, 0.8)
            plain = [
                (f"{route.name} {line}", line, route.home_regions)
                for route in routes.all
                for line, _ in route.services
                if not routes.service_configs[line].sharded
            ]
            number = self.plane.updates.get("map", 0)
            self.placer.configure(plain, self.plane.updates.under("slice/"))
            self.placer.record_demand(body["came"] if body else {}, self.runtime.now_ns())
            for _ in self.placer.run(self.places(body["load"] if body else {}), self.runtime.now_ns()):
                self.runtime.sleep(0)
            if self.placer.changed or self.plane.updates.under("slice/").keys() - {
                name for name, _, _ in plain
            }:
                self.remap(number, {name for name, _, _ in plain}, self.placer.changed)

    def places(self, load) -> list[Candidate]:
        now, away = self.runtime.now_ns(), self.plane.away()
        zones = self.plane.node.network.zones
        return [
            Candidate(
                r.id,
                r.service,
                zones.get(r.zone, ""),
                r.capacity,
                r.warming_up_until_ns > now,
                load[r.id][0] / load[r.id][1] if r.id in load else None,
            )
            for r in self.plane.registry.records.values()
            if r.state == EndpointState.READY and r.zone not in away
        ]

    def remap(self, number: int, known: set[str], changed: dict[str, list[str]]) -> None:
        def step(old):
            stands, tables = UNPACK(old) if old else (0, {})
            if stands != number:
                return None  # another refuge was faster: searched again from its map
            kept = {name: ids for name, ids in tables.items() if name in known}
            return PACK([number + 1, kept | changed])

        done, value = self.plane.register.change("map", step, 1.0)
        if done:
            self.plane.operator_requests.publish("map", value)

    def homes(self, name: str) -> set[str] | None:
        """Home regions of a host, empty where its routes are bound to keys alone; None where one is free."""
        if self.plane.routes is None:
            return None
        sharded = {
            line
            for line, service_config in self.plane.routes.service_configs.items()
            if service_config.sharded
        }
        return home_regions(self.plane.routes.hosts.get(name.lower(), ()), sharded)

    def stay(self, name: str) -> str | None:
        """The region to which clients of a host are sent; None: to their own."""
        homes, known = self.homes(name), self.plane.routes
        routes = known.hosts.get(name.lower(), ()) if known else ()
        if homes and all(route.home_regions for route in routes):
            return sorted(homes)[0]
        if homes is None:
            return None
        lines = {line for route in routes if not route.home_regions for line, _ in route.services}
        found = {region for region, part in map(self.region_of, lines) if part >= MOSTLY}
        return found.pop() if len(found) == 1 else None

    def valid(self, now: float) -> float:
        """How long an answer of the directory holds: so short that clients soon leave a front without power,
        longer where so many ask that answering would cost more than that is worth."""
        if now - self.asked_in >= 1.0:
            self.ttl = min(TTL[1], max(TTL[0], self.ttl * self.asked / (now - self.asked_in) / ASKED))
            self.asked, self.asked_in = 0, now
        self.asked += 1
        return min(self.ttl, self.plane.node.bounds.ttl_max_s)

    def directions(self, name: str, region: str, zone: str) -> list[str]:
        now = self.runtime.now()
        if now - self.stays_at > STAY_S:
            self.stays, self.stays_at = {}, now
        if name not in self.stays:
            self.stays[name] = self.stay(name)
        stay = self.stays[name]
        if stay is not None and region != stay and region not in (self.homes(name) or ()):
            # Its requests end there anyway: a front of that region brings them on without another long way.
            region, zone = stay, ""
        fronts = [m for m in self.plane.member_list.alive("bothy") if m.ready and m.state == ALIVE]
        own = [m for m in fronts if m.zone == zone]
        for near in (own, [m for m in fronts if m.region == region], fronts):
            if len(near) >= 2:
                break
        return [m.listen_addresses["front"] for m in near][:64]
