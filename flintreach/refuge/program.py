"""`flintreach refuge`: one process on a machine with a disk; control, directory and the register."""

import random
import signal
import sys
import time
import zlib

import gevent
import msgspec
from gevent.event import Event

from flintreach.bunks.plan import KEYS
from flintreach.bunks.region import Lean, bound, carried, target
from flintreach.bunks.warmth import Warmth
from flintreach.cairn import circle
from flintreach.cairn.register import Register
from flintreach.cairn.store import Store, StoreError
from flintreach.hutbook.book import CLOSING, GONE, READY, Beat, Book
from flintreach.lookout.roster import ALIVE, Member
from flintreach.lookout.watch import Lookout
from flintreach.refuge.control import listen
from flintreach.refuge.keys import Keeper
from flintreach.ridge.place import Place, Ridge
from flintreach.rope.bundle import Bundle
from flintreach.rope.link import Closed, dial
from flintreach.trail.board import Board
from flintreach.trail.relay import Relay
from flintreach.trail.tally import Tally
from flintreach.waymark import settings
from flintreach.waymark.log import say
from flintreach.waymark.settings import place
from flintreach.waymark.timetable import Routes, Timetable

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode
ROLE, POST, BOTHY_POST = "refuge", 0, 1
ACK_S = 0.85  # callers move on after a second
ALONE_S = 1.2  # without a word from a majority, a refuge takes no beats
TTL, ASKED = (0.5, 1.5), 300  # seconds an answer of the directory holds; answers a second of one refuge
WAIT = 0.6, 2.5  # seconds at a first start for more disks: without a new one, and in all
MOSTLY, STAY_S = 0.8, 0.5  # of a service's keys in one region, for its clients to be sent there
SWEEP_S, KEYS_S, LOOK_S, PLACE_S = 2.0, 0.4, 0.25, 1.0


class Refuge:
    def __init__(self, node: settings.Node):
        self.node, me = node, node.sender
        address = node.inner(POST)
        self.bundle, self.board = Bundle(address), Board()
        self.store = Store(me.store_dir, me.node_name, me.first_run) if me.store_dir else None
        kept = self.store.facts.get("circle") if self.store else None
        voters = [place(text) for text in kept.split(",")] if kept else []
        self.register = Register(self.bundle, voters, self.store)
        self.book = Book(node.carrier.report_ms)
        for row in self.store.huts.values() if self.store else ():
            self.book.restore(UNPACK(row), time.monotonic_ns())
        member = Member(me.node_name, ROLE, *address, me.zone, me.region, dict(node.network.posts),
                        me.counted, False, int(time.time() * 1000))
        self.lookout = Lookout(member, self.seeds)
        self.relay = Relay(self.bundle, self.board, None, self.hear_tally, self.news_age)
        self.bundle.handlers |= {
            "beat": self.on_beat, "leave": self.on_leave, "stamps": self.on_stamps,
            "book": self.on_book, "circle": lambda link, body: self.group or None, "value": self.on_value,
            "show": lambda link, what: self.show(what),
            "counts": lambda link, body: self.hear_tally(body),
            "warmth": lambda link, body: self.warmth.hear(body)}
        self.kept: set[str] = {*self.book.records}  # endpoints that may stand on this disk
        self.keepers: dict[str, Keeper] = {}
        self.routes: Routes | None = None
        self.board.watchers.append(self.on_parcel)
        self.followed: set = set()
        self.majority_at = -86400.0
        self.asked, self.asked_in, self.ttl = 0, 0.0, TTL[0]
        self.learned: dict[str, tuple] = {}  # key -> the stamp of what was last told as news
        self.lagging: dict[str, tuple] = {}  # key -> the oldest stamp of it that the last sweep saw
        self.tally, self.warmth = Tally(), Warmth()
        self.leans: dict[str, Lean] = {}
        self.stays, self.stays_at = {}, 0.0  # host -> region of its clients, looked up now and then
        self.ridge = Ridge(zlib.crc32(me.node_name.encode()))
        self.servers, self.stopping = [], Event()

    @property
    def group(self) -> list[tuple[str, int]]:
        return self.register.group

    def seeds(self) -> list[tuple[str, int]]:
        return sorted({(ip, self.bundle.address[1]) for ip in self.node.seeds()})

    def find_circle(self) -> None:
        """Learn which disks vote: from others, or at a first start by deciding it with them."""
        began = since = time.monotonic()
        known = 0
        while not self.group:
            gevent.sleep(0.05)
            disks = [(m.address, m.zone) for m in self.lookout.roster.alive(ROLE) if m.counted]
            if len(disks) != known:
                known, since = len(disks), time.monotonic()
            others = [address for address, _ in disks if address != self.bundle.address]
            found = self.bundle.gather(others, "circle", None, bool, 0.3) if others else []
            if found:
                self.register.group = sorted((ip, port) for ip, port in found[0][1])
            elif self.node.sender.first_run and circle.settled(known, since, time.monotonic(), *WAIT, began):
                # What an earlier one has decided stands: the disks of the seeds know it.
                wish = PACK(circle.proposed(disks))
                step = lambda old, wish=wish: None if old else wish  # noqa: E731
                done, value = self.register.change("circle", step, 1.0, self.seeds())
                if done:
                    self.register.group = sorted((ip, port) for ip, port in UNPACK(value))
        if self.store and "circle" not in self.store.facts:
            self.store.keep({}, {"circle": ",".join(f"{ip}:{port}" for ip, port in self.group)})
        say("circle", disks=[ip for ip, _ in self.group], votes=self.bundle.address in self.group)

    def peers(self) -> list[tuple[str, int]]:
        me = self.bundle.address
        found = {m.address for m in self.lookout.roster.alive(ROLE)} | set(self.group)
        return sorted(found - {me})

    def enough(self) -> int:
        """Refuges that must know, this one among them, so that no loss within bounds takes it from all."""
        return len(self.group) // 2 + 1

    def news_age(self) -> float:
        """Seconds since this refuge surely knew what stands; a day before its start is over."""
        return time.monotonic() - max(self.majority_at, self.touched()) if self.servers else 86400.0

    def touched(self) -> float:
        """When a majority of the circle, this refuge among them, was last heard."""
        me = self.bundle.address
        times = sorted((self.bundle.heard.get(address, -86400.0) for address in self.group if address != me),
                       reverse=True)
        need = self.enough() - (me in self.group)
        return times[need - 1] if 0 < need <= len(times) else time.monotonic()

    def on_parcel(self, key: str, version, value) -> None:
        if key == "timetable":
            self.routes = Routes(msgspec.json.decode(value, type=Timetable))

    def hear_tally(self, body) -> None:
        self.tally.add(body)

    # What an operator may look at.

    def show(self, what: str):
        """Rows of one view, as `flintreach show` prints them; None for a view that there is not."""
        now = time.monotonic_ns()
        if what == "members":
            return [{"name": m.name, "role": m.role, "zone": m.zone, "address": f"{m.ip}:{m.port}",
                     "ready": m.ready, "state": ("alive", "suspected", "dead", "left")[m.state]}
                    for m in sorted(self.lookout.roster.members.values(), key=lambda m: m.name)]
        if what == "endpoints":
            return [{"id": r.id, "line": r.line, "addr": r.addr, "zone": r.zone, "state": r.state,
                     "berths": r.berths, "cold_ms": max(0, r.cold_until - now) // 1_000_000,
                     "heard_ms": (now - r.heard) // 1_000_000}
                    for r in sorted(self.book.records.values(), key=lambda r: (r.line, r.id))]
        if what == "tables":
            return [{"slice": name, "endpoints": len(ids), "ids": " ".join(ids)}
                    for name, ids in sorted(self.board.under("slice/").items())]
        if what == "keys":
            return [{"line": line, "from": low, "to": high, "holder": holder, "state": state}
                    for line, rows in sorted(self.board.under("bunks/").items())
                    for low, high, holder, state in rows]
        if what == "status":
            return [{"node": self.node.sender.node_name, "ready": bool(self.servers),
                     "edition": f"{self.routes.number:08x}" if self.routes else "",
                     "disks": len(self.group), "votes": self.register.votes(),
                     "refused_by_disk": self.register.refused, "news_age_s": round(self.news_age(), 1),
                     "evacuated": " ".join(sorted(self.away()))}]
        return None

    # Endpoints.

    def offer(self, ids: list[str]) -> bool:
        """Tell what is new of some endpoints, and whether it is on this disk: that one leaves must be known
        after all power was lost."""
        now, rows = time.monotonic_ns(), {}
        for id in ids:
            record = self.book.records.get(id)
            if record is not None:
                self.board.offer(f"hut/{id}", [record.seq, record.phase], record.told(now))
                rows[id] = PACK(record.row(now))
        return not rows or self.store is None or self.store.keep({}, None, rows)

    def spread_word(self, kind: str, body, urgent: bool) -> bool:
        """Tell the other refuges; where it is urgent, whether a majority knows."""
        if not urgent:
            for address in self.peers():
                gevent.spawn(self.bundle.ask, address, kind, body, 1.0)
            return True
        need = self.enough() - 1
        if need <= 0:
            return True
        return len(self.bundle.gather(self.peers(), kind, body, lambda got: len(got) >= need, ACK_S)) >= need

    def beat(self, id: str, beat: Beat) -> bool:
        # Alone this refuge must not keep endpoints to itself: the others would call them silent.
        if self.news_age() > ALONE_S:
            return False
        held = self.book.records.get(id)
        news = held is None or (beat.state == "closing" and held.state != CLOSING)
        kept = gevent.spawn(self.offer, self.book.hear(id, beat, time.monotonic_ns()))
        # Who has been told that an endpoint leaves must not be the only one to know.
        told = self.spread_word("beat", [id, msgspec.to_builtins(beat)], news)
        return told and (not news or kept.get(timeout=ACK_S))

    def on_beat(self, link, body) -> bool | None:
        beat = msgspec.convert(body[1], Beat)
        return self.offer(self.book.hear(body[0], beat, time.monotonic_ns())) or None

    def leave(self, id: str) -> bool:
        kept = gevent.spawn(self.offer, self.book.leave(id, time.monotonic_ns()))
        return self.spread_word("leave", id, True) and kept.get(timeout=ACK_S)

    def on_leave(self, link, id) -> bool | None:
        return self.offer(self.book.leave(id, time.monotonic_ns())) or None

    def on_book(self, link, body):
        """What this refuge knows of endpoints, for one that starts; one that lost its disk knows nothing."""
        if not self.register.votes():
            return None
        now = time.monotonic_ns()
        return [record.row(now) for record in self.book.records.values()]

    def look(self) -> None:
        while True:
            gevent.sleep(LOOK_S)
            self.offer(self.book.tick(time.monotonic_ns()))
            old = dict.fromkeys(self.kept - self.book.records.keys(), b"")
            if old and self.store and self.store.keep({}, None, old):
                self.kept -= old.keys()
            self.kept |= self.book.records.keys()

    # The configuration and evacuations.

    def learn(self, key: str, value: bytes | None) -> None:
        """What stands in the register goes out as news."""
        if value is None:
            return
        if key == "timetable":
            self.board.offer(key, int(msgspec.json.decode(value)["edition"], 16), value)
        elif key == "evac":
            number, zones = UNPACK(value)
            self.board.offer(key, number, zones)
        elif key == "map":
            number, tables = UNPACK(value)
            if self.board.offer(key, number, number):
                rows = [(name, ids) for name, ids in tables.items() if self.board.get(f"slice/{name}") != ids]
                for name, ids in sorted(rows, key=lambda row: len(row[1])):  # what shrinks goes first
                    self.board.offer(f"slice/{name}", number, ids)

    def put(self, number: int, body: bytes) -> bool:
        def step(old):
            if old is not None and int(msgspec.json.decode(old)["edition"], 16) >= number:
                return None
            return body

        done, value = self.register.change("timetable", step, ACK_S)
        if done:
            self.learn("timetable", value)
        return done

    def get(self) -> tuple[bool, bytes | None]:
        return self.register.read("timetable", ACK_S)

    def evacuate(self, zone: str, on: bool) -> bool:
        def step(old):
            number, zones = UNPACK(old) if old else (0, {})
            return None if bool(zones.get(zone)) == on and old else PACK([number + 1, {**zones, zone: on}])

        done, value = self.register.change("evac", step, ACK_S)
        if done:
            self.learn("evac", value)
        return done

    # The register's care: a read mends, the sweep finds the rest.

    def on_stamps(self, link, body):
        if not self.register.votes():
            return None
        return {key: list(slot.accepted) for key, slot in self.register.acceptor.slots.items()}

    def on_value(self, link, key):
        slot = self.register.acceptor.slots.get(key) if self.register.votes() else None
        return [list(slot.accepted), slot.value] if slot else None

    def sweep(self) -> None:
        self.find_circle()
        first = True
        while True:
            wanted = self.enough() if first else len(self.group)
            # At a start others may still be without power, and calls to them hang.
            if self.register.relearn() and self.compare(wanted, 0.3 if first else 1.0) and first:
                first = False
                self.begin()
            gevent.sleep(0.05 if first else SWEEP_S * random.uniform(0.8, 1.2))

    def compare(self, wanted: int, timeout: float) -> bool:
        """Whether a majority told what it holds; what differs is read, and so mended."""
        answers = self.bundle.gather(self.group, "stamps", None, lambda got: len(got) >= wanted, timeout)
        if len(answers) < self.enough():
            return False
        self.majority_at = time.monotonic()
        crew, lagging = [], {}
        for key in {key for _, held in answers for key in held} - {"circle"}:
            seen = [tuple(held.get(key, (0, ""))) for _, held in answers]
            newest = max(seen)
            if min(seen) != newest:
                lagging[key] = min(seen)
            if seen.count(newest) < self.enough():
                # What a change under way explains is left alone: a read would only stand in its way.
                if not self.servers or self.lagging.get(key) == lagging[key]:
                    crew.append(gevent.spawn(self.reread_key, key))
            elif self.learned.get(key) != newest:
                # A majority holds it, and nothing later stands there: any of them may tell it.
                holder = next(address for address, held in answers if tuple(held.get(key, ())) == newest)
                crew.append(gevent.spawn(self.fetch, key, newest, holder))
            elif key in lagging and self.lagging.get(key) == lagging[key]:
                crew.append(gevent.spawn(self.reread_key, key))
        self.lagging = lagging
        gevent.joinall(crew, timeout=1.5)
        return True

    def fetch(self, key: str, stamp: tuple, holder: tuple[str, int]) -> None:
        told = self.bundle.ask(holder, "value", key, 0.8)
        if told and tuple(told[0]) >= stamp:
            self.learned[key] = stamp
            self.learn(key, told[1])

    def reread_key(self, key: str) -> None:
        done, value = self.register.read(key, 1.2)
        if done:
            self.learn(key, value)

    def begin(self) -> None:
        """What stands is known, of endpoints too: others may call."""
        need = self.enough() - 1
        now, others = time.monotonic_ns(), [a for a in self.group if a != self.bundle.address]
        for _, rows in self.bundle.gather(others, "book", None, lambda got: len(got) >= need, 0.5):
            for row in rows:
                self.book.restore(row, now)
        self.offer([*self.book.records])
        self.lookout.change(ready=True)
        posts = self.node.network.posts
        for post, names in (("control", {"beat", "leave", "put", "get", "evacuate", "resume"}),
                            ("directory", {"resolve"})):
            if post in posts:
                server = listen(place(posts[post]), self, names)
                server.start()
                self.servers.append(server)
        say("ready", endpoints=len(self.book.records))

    # News among the refuges, and from below.

    def mesh(self) -> None:
        while True:
            for address in self.peers():
                if address not in self.followed:
                    self.followed.add(address)
                    gevent.spawn(self.follow, address)
            gevent.sleep(0.3)

    def follow(self, address) -> None:
        def on_news(link, rows):
            for key, version, value in rows:
                self.hear(key, version, value)

        try:
            link = dial(address, {"news": on_news, "sign": lambda link, age: None}, 0.7)
            rows, _ = link.ask("follow", self.board.digest(), 1.0)
            on_news(link, rows)
            while not link.closed:
                gevent.sleep(0.2)
        except (OSError, Closed, TypeError):
            gevent.sleep(0.3)
        finally:
            self.followed.discard(address)

    def hear(self, key: str, version, value) -> None:
        kind, _, id = key.partition("/")
        if kind == "hut" and isinstance(value, dict):
            # A refuge that has just started knows endpoints by others' word until they beat.
            held = self.book.records.get(id)
            if held is None and value["state"] != GONE and version[0] < 1 << 60:
                beat = Beat(value["line"], value["addr"], value["zone"], value["berths"],
                            "closing" if value["state"] == CLOSING else READY, version[0], value["edition"],
                            value["cold"])
                self.book.hear(id, beat, time.monotonic_ns())
            elif value["state"] == GONE and version[0] >= 1 << 60:
                self.book.leave(id, time.monotonic_ns())
        self.board.offer(key, version, value)

    # Keys.

    def away(self) -> set[str]:
        return {zone for zone, on in (self.board.get("evac") or {}).items() if on}

    def able(self, line: str) -> dict[str, tuple[float, str]]:
        """Endpoints that may hold keys of a service: their weights and addresses."""
        found, warm, region, berths = self.keyed(line)
        busy = self.warmth.at_work({r.id: float(r.berths) for r in warm})
        lean = self.leans.setdefault(line, Lean())
        factors = lean.weigh(self.region_of(line)[0], berths, busy)
        return {r.id: (r.berths * factors.get(region[r.id], 1.0) if r in warm or not warm else 0.0, r.addr)
                for r in found}

    def keyed(self, line: str):
        """Endpoints that may hold keys, those that are warm or hold some, their regions; berths by region."""
        away, now, zones = self.away(), time.monotonic_ns(), self.node.network.zones
        found = [r for r in self.book.records.values()
                 if r.line == line and r.state == READY and r.zone not in away]
        holders = {row[2] for row in self.board.get(f"bunks/{line}") or ()}
        # One that has just started is cold, and would get all requests on its keys at once.
        warm = [r for r in found if r.cold_until <= now or r.id in holders]
        region = {r.id: zones.get(r.zone, "") for r in found}
        berths: dict[str, float] = {}
        for r in warm:
            berths[region[r.id]] = berths.get(region[r.id], 0.0) + r.berths
        return found, warm, region, berths

    def region_of(self, line: str) -> tuple[str | None, float]:
        """Where the keys of a service are to lie, None where its clients come from everywhere; and which part
        of them lies there."""
        homes = [self.homes(host) for host, routes in self.routes.hosts.items()
                 if any(line == name for route in routes for name, _ in route.services)]
        if not homes or None in homes or len(set.union(*homes)) > 1:
            return None, 0.0
        _, _, region, berths = self.keyed(line)
        keys: dict[str, float] = {}
        for low, high, holder, _ in self.board.get(f"bunks/{line}") or ():
            place = region.get(holder, "")
            keys[place] = keys.get(place, 0.0) + (high - low + 1) / KEYS
        found = target(set.union(*homes), keys, berths)
        links = [float(m.posts.get("mbps", 0)) for m in self.lookout.roster.alive("bothy")
                 if m.region == found and m.ready]
        if not carried(self.warmth.bytes.get(line), links):
            return None, 0.0
        return found, keys.get(found, 0.0)

    def ended(self, id: str) -> bool:
        record = self.book.records.get(id)
        return id in self.book.gone and (record is None or record.phase == 3)

    def keys(self) -> None:
        while True:
            # Keys that were just released wait for nothing but their next holder.
            gevent.sleep(KEYS_S / 8 if any(keeper.soon for keeper in self.keepers.values()) else KEYS_S)
            if self.routes is None or not self.register.votes():
                continue
            for name, depot in self.routes.depots.items():
                if depot.sharded and name not in self.keepers:
                    tell = lambda version, rows, name=name: self.board.offer(  # noqa: E731
                        f"bunks/{name}", version, rows)
                    self.keepers[name] = Keeper(
                        self.node.sender.node_name, name, self.register, self.node.bounds.hold_cap_ms,
                        lambda name=name: self.able(name), self.ended, tell,
                        lambda name=name: self.warmth.of(name))
            for name, keeper in self.keepers.items():
                keeper.tick()

    # Placement.

    def place(self) -> None:
        """One refuge, the first by name, places; the others hand it what they heard.  Two at once do no harm:
        the map changes only where it is still the one that was searched from."""
        while True:
            gevent.sleep(PLACE_S)
            body, routes = self.tally.take(), self.routes
            first = min(self.lookout.roster.alive(ROLE), key=lambda member: member.name)
            if first is not self.lookout.roster.me:
                if body:
                    gevent.spawn(self.bundle.ask, first.address, "counts", body, 0.8)
                continue
            if routes is None:
                continue
            if told := self.warmth.take(body):
                for address in self.peers():  # whoever keeps the keys of a service divides them by it
                    gevent.spawn(self.bundle.ask, address, "warmth", told, 0.8)
            plain = [(f"{route.name} {line}", line, route.homes) for route in routes.all
                     for line, _ in route.services if not routes.depots[line].sharded]
            number = self.board.get("map", 0)
            self.ridge.slices(plain, self.board.under("slice/"))
            self.ridge.heard(body["came"] if body else {}, time.monotonic_ns())
            for _ in self.ridge.run(self.places(body["load"] if body else {}), time.monotonic_ns()):
                gevent.sleep(0)
            if self.ridge.changed:
                self.remap(number, {name for name, _, _ in plain}, self.ridge.changed)

    def places(self, load) -> list[Place]:
        now, away = time.monotonic_ns(), self.away()
        zones = self.node.network.zones
        return [Place(r.id, r.line, zones.get(r.zone, ""), r.berths, r.cold_until > now,
                      load[r.id][0] / load[r.id][1] if r.id in load else None)
                for r in self.book.records.values() if r.state == READY and r.zone not in away]

    def remap(self, number: int, known: set[str], changed: dict[str, list[str]]) -> None:
        def step(old):
            stands, tables = UNPACK(old) if old else (0, {})
            if stands != number:
                return None  # another refuge was faster: searched again from its map
            kept = {name: ids for name, ids in tables.items() if name in known}
            return PACK([number + 1, kept | changed])

        done, value = self.register.change("map", step, 1.0)
        if done:
            self.learn("map", value)

    def homes(self, name: str) -> set[str] | None:
        """Home regions of a host, empty where its routes are bound to keys alone; None where one is free."""
        if self.routes is None:
            return None
        sharded = {line for line, depot in self.routes.depots.items() if depot.sharded}
        return bound(self.routes.hosts.get(name.lower(), ()), sharded)

    def stay(self, name: str) -> str | None:
        """The region to which clients of a host are sent; None: to their own."""
        homes, routes = self.homes(name), self.routes.hosts.get(name.lower(), ()) if self.routes else ()
        if homes and all(route.homes for route in routes):
            return sorted(homes)[0]
        if homes is None:
            return None
        lines = {line for route in routes if not route.homes for line, _ in route.services}
        found = {region for region, part in map(self.region_of, lines) if part >= MOSTLY}
        return found.pop() if len(found) == 1 else None

    def valid(self, now: float) -> float:
        """How long an answer of the directory holds: so short that clients soon leave a front without power,
        longer where so many ask that answering would cost more than that is worth."""
        if now - self.asked_in >= 1.0:
            self.ttl = min(TTL[1], max(TTL[0], self.ttl * self.asked / (now - self.asked_in) / ASKED))
            self.asked, self.asked_in = 0, now
        self.asked += 1
        return min(self.ttl, self.node.bounds.ttl_max_s)

    def directions(self, name: str, region: str, zone: str) -> list[str]:
        now = time.monotonic()
        if now - self.stays_at > STAY_S:
            self.stays, self.stays_at = {}, now
        if name not in self.stays:
            self.stays[name] = self.stay(name)
        stay = self.stays[name]
        if stay is not None and region != stay and region not in (self.homes(name) or ()):
            # Its requests end there anyway: a front of that region brings them on without another long way.
            region, zone = stay, ""
        fronts = [m for m in self.lookout.roster.alive("bothy") if m.ready and m.state == ALIVE]
        own = [m for m in fronts if m.zone == zone]
        for near in (own, [m for m in fronts if m.region == region], fronts):
            if len(near) >= 2:
                break
        return [m.posts["front"] for m in near][:64]

    def run(self) -> int:
        self.bundle.start()
        self.lookout.start()
        self.relay.start()
        gevent.signal_handler(signal.SIGTERM, self.stopping.set)
        gevent.signal_handler(signal.SIGHUP, self.reread)
        gevent.spawn(settings.watch, self.reread, gevent.sleep)
        for loop in (self.sweep, self.mesh, self.look, self.keys, self.place):
            gevent.spawn(loop)
        self.stopping.wait()
        self.lookout.change(state=3)
        say("stopped")
        return 0

    def reread(self) -> None:
        self.node = settings.again(self.node)


def main() -> None:
    # Addresses are numbers: threads that look names up would only cost memory.
    gevent.config.resolver = "block"
    try:
        refuge = Refuge(settings.load())
    except (settings.SettingsError, StoreError) as error:
        print(f"flintreach: {error}", file=sys.stderr)
        sys.exit(2)
    sys.exit(refuge.run())
