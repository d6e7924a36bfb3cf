"""The control plane of one refuge: register, endpoints, orders, news and keys, without sockets of its own.

Fed by a program from real links, or by a simulation with a clock and links of its own: all that it takes
from outside is its `host`, its `bundle` of links, its `store` and the `roster` of the pilots that are known.
"""

from collections.abc import Callable

import msgspec

from flintreach.config.configuration import Configuration, Routes
from flintreach.config.settings import ProcessSettings
from flintreach.consensus.quorum import Voters
from flintreach.consensus.register import Register
from flintreach.controller.endpoint_service import EndpointService
from flintreach.controller.load_placement import LoadPlacement
from flintreach.controller.operator_requests import OperatorRequests
from flintreach.controller.peer_exchange import PeerExchange
from flintreach.controller.quorum_contact import GAP_S, NEVER, QuorumContact, SuspendDetector
from flintreach.controller.repair import ROLE, Repair
from flintreach.dissemination.relay import Relay
from flintreach.dissemination.versioned_store import VersionedStore


class ControlPlane:
    """`roster`: who is known, with `alive(role)`; `seeds()`: addresses to join by, as settings name them now;
    `on_begin()`: called once, when callers may be answered."""

    def __init__(
        self,
        node: ProcessSettings,
        peer_pool,
        store,
        member_list,
        seeds: Callable[[], list],
        on_begin: Callable[[], None] = lambda: None,
    ):
        self.node, self.peer_pool, self.runtime, self.store, self.member_list = (
            node,
            peer_pool,
            peer_pool.runtime,
            store,
            member_list,
        )
        self.seeds, self.on_begin = seeds, on_begin
        self.first_run = node.sender.first_run
        self.updates = VersionedStore(self.runtime.now)
        self.register = Register(peer_pool, Voters.from_facts(store.facts if store else {}), store)
        self.serving = False
        self.quorum_contact, self.suspend_detector = QuorumContact(), SuspendDetector(self.runtime.now())
        self.refusals: dict[str, list] = {}  # reason -> [calls refused, when the last was]
        self.routes: Routes | None = None
        self.endpoints = EndpointService(self, node.carrier.report_ms)
        self.operator_requests = OperatorRequests(self)
        self.repair = Repair(self)
        self.peer_exchange = PeerExchange(self)
        self.load_placement = LoadPlacement(self)
        self.relay = Relay(peer_pool, self.updates, None, self.load_placement.hear_tally, self.news_age)
        self.updates.watchers.append(self.on_parcel)

    @property
    def group(self) -> list[tuple[str, int]]:
        return self.register.group

    @property
    def registry(self):
        return self.endpoints.registry

    def peers(self) -> list[tuple[str, int]]:
        me = self.peer_pool.address
        found = {m.address for m in self.member_list.alive(ROLE)} | set(self.group)
        return sorted(found - {me})

    def forget_left(self) -> None:
        """Keep no links to refuges that have left: a fleet may change all its machines in time."""
        known = {member.address for member in self.member_list.members.values()} | {
            *self.group,
            *self.seeds(),
        }
        for address in sorted(self.peer_pool.locks.keys() - known):
            self.peer_pool.forget(address)

    def contact_age(self) -> float:
        """Seconds since a time up to which all that was acknowledged is known here."""
        return self.quorum_contact.age(self.register.voters, self.runtime.now())

    def news_age(self) -> float:
        """The same for what is told as news; a day before this refuge's start is over, and while it catches
        up after a long time out of touch."""
        return NEVER if not self.serving or self.endpoints.behind else self.contact_age()

    def refused(self, reason: str) -> None:
        count, _ = self.refusals.get(reason, (0, 0.0))
        self.refusals[reason] = [count + 1, self.runtime.now()]

    def watch(self) -> None:
        while True:
            self.suspend_detector.look(self.runtime.now())
            self.runtime.sleep(GAP_S / 4)

    def on_parcel(self, key: str, version, value) -> None:
        if key == "timetable":
            self.routes = Routes(msgspec.json.decode(value, type=Configuration))

    def away(self) -> set[str]:
        """Zones that are evacuated."""
        return {zone for zone, on in (self.updates.get("evac") or {}).items() if on}

    def begin(self) -> bool:
        """What stands in the register is known.  Whether that of endpoints is too: then others may call."""
        if not self.endpoints.begin():
            return False
        self.serving = True
        self.on_begin()
        return True

    def start(self) -> None:
        self.relay.start()
        for loop in (
            self.watch,
            self.repair.sweep,
            self.peer_exchange.run,
            self.endpoints.look,
            self.load_placement.keys,
            self.load_placement.run,
        ):
            self.runtime.spawn(loop)

    # What callers may ask (see `control.Control`).

    def show(self, what: str):
        """Rows of one view, as `flintreach show` prints them; None for a view that there is not."""
        now = self.runtime.now_ns()
        if what == "members":
            return [
                {
                    "name": m.name,
                    "role": m.role,
                    "zone": m.zone,
                    "address": f"{m.ip}:{m.port}",
                    "ready": m.ready,
                    "state": ("alive", "suspected", "dead", "left")[m.state],
                }
                for m in sorted(self.member_list.members.values(), key=lambda m: m.name)
            ]
        if what == "endpoints":
            return [
                {
                    "id": r.id,
                    "line": r.line,
                    "addr": r.addr,
                    "zone": r.zone,
                    "state": r.state,
                    "berths": r.berths,
                    "cold_ms": max(0, r.cold_until - now) // 1_000_000,
                    "heard_ms": None if r.heard is None else (now - r.heard) // 1_000_000,
                }
                for r in sorted(self.registry.records.values(), key=lambda r: (r.line, r.id))
            ]
        if what == "tables":
            return [
                {"slice": name, "endpoints": len(ids), "ids": " ".join(ids)}
                for name, ids in sorted(self.updates.under("slice/").items())
            ]
        if what == "keys":
            return [
                {"line": line, "from": low, "to": high, "holder": holder, "state": state}
                for line, rows in sorted(self.updates.under("bunks/").items())
                for low, high, holder, state in rows
            ]
        if what == "traffic":
            return self.peer_pool.traffic()
        if what == "voters":
            return self.repair.voting.rows()
        if what == "status":
            now = self.runtime.now()
            refused = sorted(self.refusals.items(), key=lambda row: -row[1][0])
            ages = sorted(self.quorum_contact.asked.items())
            return [
                {
                    "node": self.node.sender.node_name,
                    "ready": self.serving,
                    "edition": f"{self.routes.number:08x}" if self.routes else "",
                    "refused": ", ".join(
                        f"{count} {reason} ({now - at:.1f} s ago)" for reason, (count, at) in refused
                    ),
                    "refused_by_disk": self.register.refused,
                    "sleeps": self.suspend_detector.sleeps,
                    "disks": len(self.group),
                    "votes": self.register.votes(),
                    "contact_s": round(self.contact_age(), 1),
                    "contacts_s": " ".join(f"{ip} {now - at:.1f}" for (ip, _), at in ages),
                    "evacuated": " ".join(sorted(self.away())),
                }
            ]
        return None
