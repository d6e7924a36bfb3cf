"""The control plane of one refuge: register, endpoints, orders, news and keys, without sockets of its own.

Fed by a program from real links, or by a simulation with a clock and links of its own: all that it takes
from outside is its `host`, its `bundle` of links, its `store` and the `roster` of the pilots that are known.
"""

from collections.abc import Callable

import msgspec

from flintreach.config.configuration import Routes, Timetable
from flintreach.config.settings import Node
from flintreach.consensus.quorum import Voters
from flintreach.consensus.register import Register
from flintreach.controller.endpoint_service import Endpoints
from flintreach.controller.load_placement import Placing
from flintreach.controller.operator_requests import Orders
from flintreach.controller.peer_exchange import Mesh
from flintreach.controller.quorum_contact import GAP_S, NEVER, Awake, Contact
from flintreach.controller.repair import ROLE, Care
from flintreach.dissemination.relay import Relay
from flintreach.dissemination.versioned_store import Board


class ControlPlane:
    """`roster`: who is known, with `alive(role)`; `seeds()`: addresses to join by, as settings name them now;
    `on_begin()`: called once, when callers may be answered."""

    def __init__(
        self,
        node: Node,
        bundle,
        store,
        roster,
        seeds: Callable[[], list],
        on_begin: Callable[[], None] = lambda: None,
    ):
        self.node, self.bundle, self.host, self.store, self.roster = node, bundle, bundle.host, store, roster
        self.seeds, self.on_begin = seeds, on_begin
        self.first_run = node.sender.first_run
        self.board = Board(self.host.now)
        self.register = Register(bundle, Voters.kept(store.facts if store else {}), store)
        self.serving = False
        self.contact, self.awake = Contact(), Awake(self.host.now())
        self.refusals: dict[str, list] = {}  # reason -> [calls refused, when the last was]
        self.routes: Routes | None = None
        self.endpoints = Endpoints(self, node.carrier.report_ms)
        self.orders = Orders(self)
        self.care = Care(self)
        self.mesh = Mesh(self)
        self.placing = Placing(self)
        self.relay = Relay(bundle, self.board, None, self.placing.hear_tally, self.news_age)
        self.board.watchers.append(self.on_parcel)

    @property
    def group(self) -> list[tuple[str, int]]:
        return self.register.group

    @property
    def book(self):
        return self.endpoints.book

    def peers(self) -> list[tuple[str, int]]:
        me = self.bundle.address
        found = {m.address for m in self.roster.alive(ROLE)} | set(self.group)
        return sorted(found - {me})

    def forget_left(self) -> None:
        """Keep no links to refuges that have left: a fleet may change all its machines in time."""
        known = {member.address for member in self.roster.members.values()} | {*self.group, *self.seeds()}
        for address in sorted(self.bundle.locks.keys() - known):
            self.bundle.forget(address)

    def contact_age(self) -> float:
        """Seconds since a time up to which all that was acknowledged is known here."""
        return self.contact.age(self.register.voters, self.host.now())

    def news_age(self) -> float:
        """The same for what is told as news; a day before this refuge's start is over, and while it catches
        up after a long time out of touch."""
        return NEVER if not self.serving or self.endpoints.behind else self.contact_age()

    def refused(self, reason: str) -> None:
        count, _ = self.refusals.get(reason, (0, 0.0))
        self.refusals[reason] = [count + 1, self.host.now()]

    def watch(self) -> None:
        while True:
            self.awake.look(self.host.now())
            self.host.sleep(GAP_S / 4)

    def on_parcel(self, key: str, version, value) -> None:
        if key == "timetable":
            self.routes = Routes(msgspec.json.decode(value, type=Timetable))

    def away(self) -> set[str]:
        """Zones that are evacuated."""
        return {zone for zone, on in (self.board.get("evac") or {}).items() if on}

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
            self.care.sweep,
            self.mesh.run,
            self.endpoints.look,
            self.placing.keys,
            self.placing.run,
        ):
            self.host.spawn(loop)

    # What callers may ask (see `control.Control`).

    def show(self, what: str):
        """Rows of one view, as `flintreach show` prints them; None for a view that there is not."""
        now = self.host.now_ns()
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
                for m in sorted(self.roster.members.values(), key=lambda m: m.name)
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
                for r in sorted(self.book.records.values(), key=lambda r: (r.line, r.id))
            ]
        if what == "tables":
            return [
                {"slice": name, "endpoints": len(ids), "ids": " ".join(ids)}
                for name, ids in sorted(self.board.under("slice/").items())
            ]
        if what == "keys":
            return [
                {"line": line, "from": low, "to": high, "holder": holder, "state": state}
                for line, rows in sorted(self.board.under("bunks/").items())
                for low, high, holder, state in rows
            ]
        if what == "traffic":
            return self.bundle.traffic()
        if what == "voters":
            return self.care.voting.rows()
        if what == "status":
            now = self.host.now()
            refused = sorted(self.refusals.items(), key=lambda row: -row[1][0])
            ages = sorted(self.contact.asked.items())
            return [
                {
                    "node": self.node.sender.node_name,
                    "ready": self.serving,
                    "edition": f"{self.routes.number:08x}" if self.routes else "",
                    "refused": ", ".join(
                        f"{count} {reason} ({now - at:.1f} s ago)" for reason, (count, at) in refused
                    ),
                    "refused_by_disk": self.register.refused,
                    "sleeps": self.awake.sleeps,
                    "disks": len(self.group),
                    "votes": self.register.votes(),
                    "contact_s": round(self.contact_age(), 1),
                    "contacts_s": " ".join(f"{ip} {now - at:.1f}" for (ip, _), at in ages),
                    "evacuated": " ".join(sorted(self.away())),
                }
            ]
        return None
