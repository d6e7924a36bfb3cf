"""Endpoints at controllers: what is acknowledged is on the disks of a quorum, and all come to know it."""

import random
import unittest
from unittest import mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from flintreach.config.settings import TimingBounds
from flintreach.consensus.quorum import Voters
from flintreach.consensus.register import Register
from flintreach.controller.control_plane import ControlPlane
from flintreach.controller.endpoint_service import EndpointService
from flintreach.controller.load_placement import LoadPlacement
from flintreach.controller.operator_requests import OperatorRequests
from flintreach.dissemination.relay import Relay, Subscription
from flintreach.dissemination.versioned_store import (
    BUCKETS,
    MOST_BYTES,
    STALE_BOARD,
    VersionedStore,
)
from flintreach.endpoints.registry import (
    CLOSES,
    CLOSING,
    ENDS,
    GONE,
    MS,
    READY,
    SERVES,
    SILENT,
    EndpointRecord,
    EndpointRegistry,
    Heartbeat,
)
from flintreach.proxy.choice import Here
from flintreach.proxy.view import RoutingView
from flintreach.sharding.key_load import KeyLoad
from flintreach.sharding.range_assignment import Allocation, LoadDistribution
from flintreach.sharding.range_lease import RangeLeases
from flintreach.transport.peer_connection import ConnectionClosed
from flintreach.transport.peer_pool import PeerPool

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode


class Clock:
    """A host with a clock by hand, whose links lead to boards with their relays."""

    def __init__(self):
        self.at, self.relays, self.links = 1000.0, {}, []

    def now(self):
        return self.at

    def now_ns(self):
        return int(self.at * 1e9)

    def updates(self, name, updates=None):
        updates = updates or VersionedStore(self.now)
        self.relays[name] = Relay(mock.Mock(handlers={}, runtime=self), updates)
        return updates

    def dial(self, address, handlers, timeout):
        self.links.append(Wire(self, self.relays[address], handlers))
        return self.links[-1]


class Wire:
    """A link that carries at once; `slow` seconds an answer, `cut`: the answers' way is cut, `age`: of the
    parent's news."""

    def __init__(self, clock, relay, handlers):
        self.clock, self.relay, self.handlers, self.on_close = clock, relay, handlers, []
        self.closed, self.age, self.slow, self.cut, self.asked, self.sizes = False, 0.0, 0.0, False, [], []

    def ask(self, kind, body, timeout):
        if self.cut:
            self.clock.at += timeout
            raise ConnectionClosed
        self.relay.root_age = lambda: self.age
        answer = self.relay.peer_pool.handlers[kind](self, UNPACK(PACK(body)))
        self.clock.at += self.slow
        self.asked.append(kind)
        self.sizes += [len(PACK(body)), len(PACK(answer))]
        return UNPACK(PACK(answer))

    def send(self, kind, body):
        self.handlers[kind](self, UNPACK(PACK(body)))

    def close(self):
        self.closed = True
        for told in self.on_close:
            told(self)


def hut(state="ready", addr="10.0.0.9:80"):
    return {
        "line": "desk",
        "addr": addr,
        "zone": "north",
        "berths": 2,
        "edition": "v1",
        "state": state,
        "cold": 0,
    }


class Done:
    def __init__(self, value):
        self.value = value

    def result(self, timeout):
        return self.value


class Net(Clock):
    """Refuges whose calls carry at once; `cut`: ways (from, to) that carry nothing."""

    def __init__(self, size=3, voters=None, seed=0):
        super().__init__()
        self.chance, self.cut, self.asked = random.Random(seed), set(), []
        names = [(f"10.0.0.{number}", 7) for number in range(size)]
        lives = tuple((name, "") for name in names[: voters or size])
        self.voters = Voters(1, lives)
        self.controllers = {name: ControllerProcess(self, name, Disk()) for name in names}

    def __getitem__(self, number):
        return [*self.controllers.values()][number]

    def __iter__(self):
        return iter(self.controllers.values())

    def sleep(self, seconds):
        self.at += seconds

    def spawn(self, function, *args):
        return Done(function(*args))

    def event(self):
        return mock.Mock()

    def lock(self):
        return mock.MagicMock()

    def part(self, *numbers):
        """Some refuges, cut off from the others."""
        inside = {self[number].address for number in numbers}
        self.cut |= {
            (one, other)
            for one in self.controllers
            for other in self.controllers
            if (one in inside) != (other in inside)
        }

    def restart(self, number):
        """A refuge's process ends; another begins on the same disk."""
        old = self[number]
        self.controllers[old.address] = ControllerProcess(self, old.address, old.store, serving=False)
        return self.controllers[old.address]

    def follow(self, updates):
        """A proxy's board comes up to the first refuge's."""
        self.updates("first", self[0].updates)
        follow = Subscription(self, updates, "first")
        follow.begin()
        follow.close()

    def carry(self):
        """All news to everybody who is reached, until there are none."""
        while any(controller.news for controller in self):
            for controller in self:
                rows, controller.news = controller.news, []
                for other in self:
                    if other is not controller and (controller.address, other.address) not in self.cut:
                        for row in rows:
                            other.hear(UNPACK(PACK(row)))


class Disk:
    """What lasts; `refuses`: it takes no writes."""

    def __init__(self, voting=True):
        self.facts, self.endpoint_rows, self.slots, self.incarnation = {}, {}, {}, "life"
        self.voting, self.refuses, self.writes = voting, False, 0

    def keep(self, slots, facts=None, endpoint_rows=None):
        if self.refuses:
            return False
        self.writes += 1
        self.facts |= facts or {}
        for id, row in (endpoint_rows or {}).items():
            self.endpoint_rows[id] = row
            if not row:
                del self.endpoint_rows[id]
        return True

    def rank(self, id):
        """The rank at which an endpoint stands here; -1: it does not."""
        return EndpointRecord.of(UNPACK(self.endpoint_rows[id]), 0).rank if id in self.endpoint_rows else -1


class ControllerProcess:
    """A plane with endpoints alone; `deaf`: seconds since it was in touch."""

    def __init__(self, net, address, store, serving=True):
        self.net, self.address, self.store, self.serving, self.deaf = net, address, store, serving, 0.0
        self.peer_pool, self.runtime, self.updates, self.handlers = self, net, VersionedStore(net.now), {}
        self.news = []
        self.updates.watchers.append(lambda *row: self.news.append([*row, self.updates.age(row[0])]))
        self.register = Register(self, net.voters, store)
        self.endpoints = EndpointService(self, 1500)

    group = property(lambda self: self.register.group)
    registry = property(lambda self: self.endpoints.registry)

    def peers(self):
        return [address for address in self.net.controllers if address != self.address]

    def enough(self):
        return len(self.group) // 2 + 1

    def news_age(self):
        return self.deaf

    contact_age = news_age

    def ask(self, address, kind, body, timeout):
        other = self.net.controllers[address]
        self.net.asked.append((kind, self.address, address))
        if (self.address, address) in self.net.cut:
            return None
        answer = other.handlers[kind](None, UNPACK(PACK(body)))
        return None if (address, self.address) in self.net.cut else UNPACK(PACK(answer))

    def gather(self, addresses, kind, body, enough, timeout, ask=None):
        found = [(address, (ask or self.ask)(address, kind, body, timeout)) for address in addresses]
        answers = [row for row in found if row[1] is not None]  # all are asked, whoever is waited for
        return next((answers[:size] for size in range(len(answers)) if enough(answers[:size])), answers)

    def hear(self, row):
        key, version, value, age = row
        if key.startswith("hut/"):
            self.endpoints.heard_of(key.partition("/")[2], version, value, age)
        self.updates.offer(key, version, value, age)

    def call(self, id, seq, state=READY, addr="10.0.0.9:80"):
        return self.endpoints.beat(id, Heartbeat("desk", addr, "north", 2, state, seq))

    def state(self, id):
        """What this refuge knows, and what it tells others."""
        held, told = self.registry.records.get(id), self.updates.get(f"hut/{id}")
        return held and held.state, told and told["state"]


def on_disks(net, id, rank):
    """Whether the disks of a quorum hold an endpoint at least at a rank."""
    return net.voters.met(controller.address for controller in net if controller.store.rank(id) >= rank)


class Acknowledged(unittest.TestCase):
    def test_a_repeat_is_acknowledged_no_sooner_than_a_first_call(self):
        for state, seq in ((READY, 1), (CLOSING, 5)):
            net = Net()
            if state == CLOSING:
                self.assertTrue(net[0].call("e", 4))
            net.part(0)
            for _ in range(3):
                self.assertFalse(net[0].call("e", seq, state), state)
            self.assertFalse(net[0].call("e", seq + 1, state))
            net.cut.clear()
            self.assertTrue(net[0].call("e", seq, state))
            self.assertTrue(on_disks(net, "e", CLOSES if state == CLOSING else SERVES))

    def test_who_heard_of_it_by_another_s_word_asks_a_quorum_itself(self):
        net = Net(5)
        net.part(0, 1)  # the first two do not reach a quorum of the five
        self.assertFalse(net[0].call("e", 1, CLOSING))
        self.assertEqual(net[1].registry.records["e"].rank, CLOSES)
        self.assertFalse(net[1].call("e", 1, CLOSING))
        net.cut.clear()
        net.carry()  # by news all know, and no third disk holds it
        self.assertFalse(on_disks(net, "e", CLOSES))
        for number in (0, 1):  # and now they reach nobody but each other
            net.part(0, 1)
            self.assertFalse(net[number].call("e", 1, CLOSING))
        net.cut.clear()
        self.assertTrue(net[2].call("e", 1, CLOSING))
        self.assertTrue(on_disks(net, "e", CLOSES))

    def test_a_fact_that_a_quorum_holds_needs_no_further_round(self):
        net = Net()
        self.assertTrue(net[0].call("e", 1))
        self.assertTrue(net[0].call("e", 2, CLOSING))
        writes, net.cut = [controller.store.writes for controller in net], set()
        net.part(0)
        self.assertTrue(net[0].call("e", 2, CLOSING))
        self.assertTrue(net[0].call("e", 1))  # a late call of the same life
        self.assertEqual([controller.store.writes for controller in net], writes)
        self.assertFalse(net[0].endpoints.leave("e"))

    def test_a_sign_off_is_on_a_quorum_s_disks_though_nobody_knew_the_endpoint(self):
        net = Net()
        net.part(0)
        self.assertFalse(net[0].endpoints.leave("e"))
        self.assertFalse(net[0].endpoints.leave("e"))
        net.cut.clear()
        self.assertTrue(net[0].endpoints.leave("e"))
        self.assertTrue(on_disks(net, "e", ENDS))
        for number in range(3):
            net.restart(number).endpoints.begin()
        self.assertTrue(net[1].call("e", 9))  # a late call of one that has ended is acknowledged
        self.assertEqual(net[1].registry.records["e"].state, GONE)

    def test_spares_and_mute_disks_are_no_part_of_a_majority(self):
        net = Net(size=6, voters=3)
        net.cut = {(net[0].address, net[number].address) for number in (1, 2)}
        self.assertFalse(net[0].call("e", 1))  # three spares answered
        self.assertFalse(net[3].endpoints.leave("f") and not on_disks(net, "f", ENDS))
        net.cut.clear()
        net[1].register.acceptor.voting = net[2].register.acceptor.voting = False
        self.assertFalse(net[0].call("e", 1))
        net[1].register.acceptor.voting, net[0].store.refuses = True, True
        self.assertFalse(net[0].call("x", 1))  # its own disk counts only if it took the row
        net[0].store.refuses = False
        self.assertTrue(net[0].call("x", 1))
        self.assertTrue(net[4].call("g", 1))  # a spare takes calls, and asks the voters
        self.assertTrue(on_disks(net, "g", SERVES))
        net[2].register.acceptor.voting = True
        net.cut = {(net[4].address, net[number].address) for number in (0, 1)}
        self.assertFalse(net[4].call("h", 1))

    def test_words_of_another_epoch_are_refused_and_told_again(self):
        net = Net(size=5, voters=3)
        later = Voters(
            2, net.voters.old, tuple((net[n].address, net[n].store.incarnation) for n in (2, 3, 4))
        )
        for number in (1, 2, 3, 4):
            self.assertTrue(net[number].register.adopt(later))
        net[0].register.voters, net.voters = net.voters, later
        net.cut = {(net[0].address, net[3].address), (net[0].address, net[4].address)}
        self.assertFalse(net[0].call("e", 1), "a majority of the earlier voters alone")
        self.assertEqual(net[0].register.voters, later)  # one of them told it
        net.cut.clear()
        self.assertTrue(net[0].call("e", 1))
        self.assertTrue(on_disks(net, "e", SERVES))
        behind = Net()
        behind[1].register.voters = behind[2].register.voters = Voters()
        self.assertTrue(behind[0].call("e", 1))  # it told them
        self.assertEqual(behind[1].register.voters, behind.voters)

    def test_news_that_come_while_a_call_waits_are_kept_and_not_acknowledged_with_it(self):
        net = Net()
        ask = ControllerProcess.ask

        def later(controller, *args):
            net[0].hear(["hut/e", [CLOSES, 6, 0], hut("closing"), 0.0])
            return ask(controller, *args)

        with mock.patch.object(ControllerProcess, "ask", later):
            self.assertTrue(net[0].call("e", 5))
        record = net[0].registry.records["e"]
        self.assertEqual((net[0].state("e"), record.version), ((CLOSING, CLOSING), [CLOSES, 6, 0]))
        self.assertEqual(record.durable, SERVES)
        net.part(0)
        self.assertFalse(net[0].call("e", 6, "closing"))


class Starts(unittest.TestCase):
    def test_one_waits_for_the_books_of_a_quorum_and_serves_no_sooner(self):
        net = Net(5)
        self.assertTrue(net[0].call("e", 1, CLOSING))
        net.part(4, 3)
        self.assertFalse(net.restart(4).endpoints.begin())
        net.cut = {way for way in net.cut if net[2].address not in way}  # a third is reached
        self.assertTrue(net[4].endpoints.begin())
        self.assertEqual(net[4].state("e"), (CLOSING, CLOSING))
        self.assertEqual(net[4].store.rank("e"), CLOSES)

    def test_what_was_acknowledged_is_known_after_any_two_starts_without_power(self):
        for first, second in ((0, 1), (1, 2), (2, 0)):
            net = Net()
            net.part(2)
            self.assertTrue(net[0].call("e", 1))
            self.assertTrue(net[0].call("e", 2, CLOSING))
            net.cut.clear()
            for number in range(3):
                net.restart(number)
            net.part(3 - first - second)
            for number in (first, second):
                self.assertTrue(net[number].endpoints.begin())
                self.assertEqual(net[number].state("e"), (CLOSING, CLOSING))

    def test_an_empty_disk_counts_once_it_holds_what_a_quorum_of_the_others_held(self):
        """The trace of a lost fact: one that held it comes back empty and counts with one that never did."""
        net = Net()
        net.part(2)
        self.assertTrue(net[0].call("e", 1, CLOSING))  # on the first two disks
        net.cut.clear()
        net[1].store = Disk(voting=False)
        net.restart(1)
        net[1].register.acceptor.voting = True  # as after `relearn`
        net.part(0)
        self.assertFalse(net[1].endpoints.begin())
        net.restart(2)
        self.assertFalse(net[2].endpoints.begin(), "an empty disk was counted")
        net.cut.clear()
        self.assertTrue(net[1].endpoints.begin())
        net.part(0)
        self.assertTrue(net[2].endpoints.begin())
        self.assertEqual(net[2].state("e"), (CLOSING, CLOSING))
        self.assertEqual(net.restart(1).endpoints.complete, True)

    def test_books_come_in_portions(self):
        net = Net()
        for number in range(1300):
            beat = Heartbeat("desk", f"10.1.1.1:{number}", "north", 2, READY, 1)
            net[0].registry.hear(f"i-{number}", beat, net.now_ns())
        fresh = net.restart(2)
        self.assertTrue(fresh.endpoints.begin())
        self.assertEqual(len(fresh.registry.records), 1300)
        self.assertEqual(len(fresh.store.endpoint_rows), 1300)
        size = max(len(PACK(net[0].endpoints.on_book(None, [1, after]))) for after in ("", "i-5"))
        self.assertLess(size, MOST_BYTES)

    def test_what_only_an_old_disk_holds_is_not_told_as_alive(self):
        net = Net()
        self.assertTrue(net[2].call("old", 1))
        for number in (0, 1):
            net[number].registry.forget("old")  # long over, and forgotten
        net[0].call("new", 1, addr="10.0.0.8:80")
        fresh = net.restart(2)
        self.assertTrue(fresh.endpoints.begin())
        self.assertEqual((fresh.state("old"), fresh.state("new")), ((SILENT, SILENT), (READY, READY)))
        self.assertTrue(fresh.call("old", 2))
        self.assertEqual(fresh.state("old"), (READY, READY))

    def test_one_that_was_long_out_of_touch_starts_anew(self):
        net = Net()
        net[0].call("e", 1)
        net.part(2)
        net[2].deaf = STALE_BOARD + 1
        net[0].endpoints.leave("e")
        net[2].endpoints.turn(net[2].deaf)
        self.assertTrue(net[2].endpoints.behind)
        net.cut.clear()
        net[2].deaf = 0.0
        net[2].endpoints.turn(0.0)
        self.assertEqual((net[2].endpoints.behind, net[2].state("e")), (False, (GONE, GONE)))


class Addresses(unittest.TestCase):
    def test_a_late_call_of_an_older_life_does_not_end_the_owner(self):
        net = Net()
        net[0].call("old", 1)
        net.restart(0)
        for controller in net:
            controller.registry.records.pop("old", None)
            controller.registry.claims.clear()
        net[0].call("new", 4)
        net[0].call("old", 1)  # late, and new here
        net.carry()
        self.assertEqual({controller.state("new") for controller in net}, {(GONE, GONE)})
        net[1].call("new", 5)
        net.carry()
        self.assertEqual({controller.state("new") for controller in net}, {(READY, READY)})
        self.assertEqual({controller.state("old") for controller in net}, {(GONE, GONE)})
        self.assertFalse(any(controller.endpoints.ended(id) for controller in net for id in ("old", "new")))

    def test_two_that_were_restored_with_one_address_are_told_apart_by_the_next_beat(self):
        rows = [
            ["a", "desk", "x:1", "n", 2, "", READY, 3, 0, 0, SERVES, 0],
            ["b", "desk", "x:1", "n", 2, "", CLOSING, 9, 0, 0, CLOSES, 0],
        ]
        for order in (rows, rows[::-1]):
            registry = EndpointRegistry(1500)
            for row in order:
                registry.join(EndpointRecord.of(row, 0), 0)
            self.assertEqual(registry.hear("a", Heartbeat("desk", "x:1", "n", 2, READY, 4), MS), ["b"])
            self.assertEqual((registry.records["a"].state, registry.records["b"].state), (READY, GONE))
            self.assertEqual(
                registry.hear("b", Heartbeat("desk", "x:1", "n", 2, "closing", 10), 2 * MS), ["b", "a"]
            )
            self.assertEqual((registry.records["a"].state, registry.records["b"].state), (GONE, CLOSING))


class Verdicts(unittest.TestCase):
    def test_one_that_hears_nothing_hides_no_endpoint_from_those_that_do(self):
        net = Net()
        for seq in (1, 2):
            net[0].call("e", seq)
        net.carry()
        net.cut = {(net[0].address, net[2].address), (net[1].address, net[2].address)}  # its news go out
        for seq in range(3, 8):
            net.at += 1.5
            net[seq % 2].call("e", seq)
        net[2].endpoints.turn(0.0)
        self.assertEqual(net[2].state("e"), (SILENT, SILENT))
        net.carry()
        self.assertEqual((net[0].state("e"), net[1].state("e")), ((READY, READY),) * 2)
        net.cut.clear()
        net.carry()
        net[0].endpoints.offer(["e"])
        self.assertEqual(net[0].updates.entries["hut/e"][0], [SERVES, 7, 0])

    def test_a_verdict_that_is_learned_is_no_beat(self):
        """The trace of an endpoint that stayed hidden: known as silent by news, then heard again."""
        net = Net()
        net[0].call("e", 1)
        net.at += 5
        net[0].endpoints.turn(0.0)
        fresh = net.controllers[net[1].address] = ControllerProcess(net, net[1].address, Disk())
        net.carry()
        self.assertEqual(fresh.state("e"), (SILENT, SILENT))
        fresh.call("e", 2)
        net.carry()
        self.assertEqual({controller.state("e") for controller in net}, {(READY, READY)})

    def test_who_was_out_of_touch_gives_no_verdicts_on_what_it_missed(self):
        net = Net()
        net[0].call("e", 1)
        net.at += 60
        net[0].endpoints.turn(30.0)  # it slept
        net[0].endpoints.turn(0.0)
        net[0].endpoints.turn(0.0)
        self.assertEqual(net[0].state("e"), (READY, READY))
        net.at += 5
        net[0].endpoints.turn(0.0)
        self.assertEqual(net[0].state("e"), (SILENT, SILENT))

    def test_closing_is_not_undone_by_a_later_beat_whoever_heard_which(self):
        net = Net()
        for id, late in (("e", "ready"), ("f", "closing")):
            net[0].call(id, 1)
            net.cut = {(net[0].address, net[2].address)}
            self.assertTrue(net[0].call(id, 7, "closing"))
            net.cut = {(net[2].address, other.address) for other in net}
            if late == "ready":
                net[2].call(id, 8)  # it has not heard of 7
            net.cut.clear()
            net.carry()
            self.assertEqual({controller.state(id) for controller in net}, {(CLOSING, CLOSING)})
            net[2].call(id, 9)
            net.carry()
            self.assertEqual({controller.state(id) for controller in net}, {(CLOSING, CLOSING)})

    def test_a_closing_that_comes_late_counts(self):
        net = Net()
        net[0].call("e", 8)
        self.assertTrue(net[1].call("e", 7, "closing"))
        net.carry()
        self.assertEqual({controller.state("e") for controller in net}, {(CLOSING, CLOSING)})


class Bounded(unittest.TestCase):
    def test_what_is_kept_is_bounded_by_what_there_is(self):
        """2,000 lives of endpoints, ten at a time, a third of which crash; 500 changes of the map; a crowd of
        ids that nobody else ever heard of."""
        net, draw = Net(), random.Random(5)
        proxy = VersionedStore(net.now)
        world = RoutingView(proxy, Here("n", "r"), {"north": "r"}, net.now_ns, TimingBounds())
        orders = [OperatorRequests(controller) for controller in net]
        live, begun, sizes, digests = {}, 0, [], set()
        while begun < 2000 or live:
            net.at += 1.0
            if begun < 2000 and len(live) < 10:
                begun += 1
                live[f"i-{begun}"] = [1, net.at + draw.uniform(5, 15), f"10.0.0.{begun % 50}:80"]
            for id, (seq, until, addr) in [*live.items()]:
                live[id][0] += 1
                if net.at < until:
                    draw.choice([*net]).call(id, seq, READY, addr)
                elif draw.random() < 0.3:
                    del live[id]  # it crashes
                elif seq < 100:
                    live[id][0] = 100
                    draw.choice([*net]).call(id, seq, "closing", addr)
                else:
                    del live[id]
                    draw.choice([*net]).endpoints.leave(id)
            draw.choice([*net]).endpoints.leave(f"nobody-{net.at}") if net.at % 16 == 0 else None
            if net.at % 4 == 0 and (number := int(net.at - 1000) // 4) <= 500:
                value = PACK([number, {f"r{number + n} desk": sorted(live)[:3] for n in range(5)}])
                for order in orders:
                    order.learn("map", value)
            for controller in net:
                controller.endpoints.turn(0.0)
                controller.updates.expire()
            net.carry()
            net.follow(proxy)
            proxy.expire()
            digests.add(len(proxy.digest()))
            sizes.append(
                [
                    begun,
                    *(
                        max(kinds)
                        for kinds in zip(
                            *(
                                [
                                    len(r.updates.entries),
                                    len(r.registry.records),
                                    len(r.registry.claims),
                                    len(r.store.endpoint_rows),
                                    len(r.endpoints.on_disk),
                                    len(r.updates.told_at),
                                ]
                                for r in net
                            )
                        )
                    ),
                    len(proxy.entries),
                    len(world.endpoints),
                    len(world.tables),
                ]
            )
        names = [
            "parcels",
            "records",
            "claims",
            "disk rows",
            "noted rows",
            "tombstones",
            "proxy's parcels",
            "its endpoints",
            "its tables",
        ]
        tenth = [max(size[at + 1] for size in sizes if size[0] <= 200) for at in range(len(names))]
        most = [max(size[at + 1] for size in sizes) for at in range(len(names))]
        print("\n2,000 lives, 500 changes: most in the first tenth, in all, at the end:")
        for name, row in zip(names, zip(tenth, most, sizes[-1][1:])):
            print(f"  {name}: {row[0]} {row[1]} {row[2]}")
            self.assertLessEqual(row[1], 1.25 * row[0] + 2, name)
        self.assertEqual(digests, {8 * BUCKETS})
        for _ in range(150):
            net.at += 1.0
            for controller in net:
                controller.endpoints.turn(0.0)
                controller.updates.expire()
            net.carry()
            net.follow(proxy)
            proxy.expire()
        for controller in net:
            self.assertEqual(
                (controller.registry.records, controller.registry.claims, controller.store.endpoint_rows),
                ({}, {}, {}),
            )
            self.assertEqual(len(controller.updates.entries), 6)  # the map and its five tables
        self.assertEqual(
            (len(proxy.entries), len(world.tables), world.endpoints, world.services), (6, 5, {}, {})
        )
        self.assertEqual(proxy.digest(), net[0].updates.digest())

    def test_notes_on_grants_stand_as_long_as_their_ranges(self):
        keeping, held = RangeLeases("k", 10), Allocation.of(None)
        able = {f"e{n}": (1.0, f"10.0.0.{n}:80") for n in range(4)}
        for turn in range(400):
            now = float(turn)
            if turn % 5 == 0:
                able.pop(next(iter(able)))
                able[f"e{turn + 9}"] = (1.0, f"10.0.1.{turn}:80")
            keeping.due(held, now)
            if keeping.step(held, now, able, lambda id: id not in able, LoadDistribution(), set()):
                keeping.stands(held, now, now)
            for kind, r in keeping.calls(now):
                status = 200 if turn % 3 else 0
                if keeping.goes_out(kind, r, now):
                    keeping.answered(kind, r, status, "", now)
        fences = {r.fence for r in held.ranges}
        self.assertLessEqual(keeping.sent.keys(), fences)
        self.assertGreater(held.fence, 80)
        for notes in (keeping.sent, keeping.acked, keeping.failed, keeping.released, keeping.busy):
            self.assertLess(len(notes), 25)

    def test_nothing_is_kept_for_services_that_are_no_more(self):
        updates = VersionedStore()
        updates.offer("bunks/old", [3, 9], [[0, 9, "e", "held"]])
        updates.offer("bunks/new", [3, 9], [[0, 9, "e", "held"]])
        load_placement = LoadPlacement.__new__(LoadPlacement)
        load_placement.plane, load_placement.key_load = mock.Mock(updates=updates), KeyLoad()
        load_placement.lease_owners, load_placement.leans = (
            dict.fromkeys(("old", "new")),
            dict.fromkeys(("old", "new")),
        )
        load_placement.key_load.keys, load_placement.key_load.bytes = {"old": {}}, {"old": 1.0, "new": 2.0}
        load_placement.forget_services({"new"})
        self.assertEqual(
            [
                [*table]
                for table in (
                    load_placement.lease_owners,
                    load_placement.leans,
                    load_placement.key_load.keys,
                    load_placement.key_load.bytes,
                    updates.under("bunks/"),
                )
            ],
            [["new"], ["new"], [], ["new"], ["new"]],
        )
        self.assertTrue(updates.offer("bunks/old", [3, 10], []), "its next keeper is heard")

    def test_links_to_who_left_are_closed_and_forgotten(self):
        peer_pool, link = PeerPool(("10.0.0.1", 7), mock.Mock()), mock.Mock()
        for table in (peer_pool.links, peer_pool.locks):
            table.update({("10.0.0.2", 7): link, ("10.0.0.3", 7): link})
        member_list = mock.Mock(members={"b": mock.Mock(address=("10.0.0.2", 7))})
        plane = mock.Mock(peer_pool=peer_pool, member_list=member_list, group=[], seeds=list)
        ControlPlane.forget_left(plane)
        ControlPlane.forget_left(plane)
        self.assertEqual([[*table] for table in (peer_pool.links, peer_pool.locks)], [[("10.0.0.2", 7)]] * 2)
        link.close.assert_called_once()


CALM = settings(derandomize=True, deadline=None, max_examples=120)


KINDS = ["beat"] * 6 + [
    "closing",
    "leave",
    "turn",
    "carry",
    "some",
    "again",
    "restart",
    "wipe",
    "cut",
    "heal",
    "refuse",
]


STEPS = st.lists(
    st.tuples(st.sampled_from(KINDS), st.integers(0, 2), st.integers(0, 2), st.integers(0, 99)), max_size=60
)


class Play:
    """Endpoints of three ids, two of which share an address, and three refuges, in any order of messages.

    `check()` raises AssertionError where something that was acknowledged is not on a quorum's disks, where a
    refuge takes back what was said of leaving, or where it ends one that has not signed off.  One disk at a
    time may come back empty; it counts as a loss that is borne until it has collected.
    """

    def __init__(self):
        self.net, self.seqs, self.acked, self.ranks, self.news = Net(), [0, 0, 0], [-1, -1, -1], {}, []
        self.left = set()
        for controller in self.net:
            self.watch(controller)

    def watch(self, controller):
        controller.updates.watchers.append(
            lambda *row: self.news.append([*row, controller.updates.age(row[0])])
        )

    def id(self, number):
        return f"e{number}"

    def call(self, number, at, seq, state):
        if self.net[at].call(self.id(number), seq, state, f"10.0.0.{number // 2}:80"):
            self.acked[number] = max(self.acked[number], CLOSES if state == "closing" else SERVES)

    def step(self, what, number, at, draw):
        net, controller = self.net, self.net[at]
        if what in ("beat", "closing"):
            late = draw % 3 == 0 and self.seqs[number]
            self.seqs[number] += not late
            seq = draw % self.seqs[number] + 1 if late else self.seqs[number]
            self.call(number, at, seq, "closing" if what == "closing" else READY)
        elif what == "leave" and controller.serving:
            self.left.add(self.id(number))
            if controller.endpoints.leave(self.id(number)):
                self.acked[number] = ENDS
        elif what == "turn":
            net.at += draw / 20
            controller.endpoints.turn(0.0)
        elif what == "carry":
            net.carry()
        elif what == "some" and self.news:
            controller.hear(UNPACK(PACK(self.news[draw % len(self.news)])))  # old, twice, out of order
        elif what == "again":
            controller.endpoints.collect()
        elif what == "restart" or what == "wipe" and all(other.endpoints.complete for other in net):
            if what == "wipe":
                controller.store = Disk(voting=False)
            self.watch(net.restart(at))
            net[at].register.acceptor.voting = True  # it has read the register anew
            self.ranks = {key: rank for key, rank in self.ranks.items() if key[0] != controller.address}
            self.start(net[at])
        elif what == "cut":
            net.cut.add((net[at].address, net[draw % 3].address))
        elif what == "heal":
            net.cut.clear()
            controller.store.refuses = False
        elif what == "refuse":
            controller.store.refuses = True
        self.check()

    def start(self, controller):
        controller.serving = controller.endpoints.begin()
        controller.deaf = 0.0 if controller.serving else 86400.0
        for number, rank in enumerate(self.acked):
            record = controller.registry.records.get(self.id(number))
            assert rank < 0 or not controller.serving or record and record.rank >= rank, (
                "not known after a start"
            )

    def check(self):
        for number, rank in enumerate(self.acked):
            holders = {
                controller.address
                for controller in self.net
                if controller.store.rank(self.id(number)) >= rank or not controller.endpoints.complete
            }
            assert rank < 0 or self.net.voters.met(holders), "not on a quorum's disks"
        for controller in self.net:
            for id, record in controller.registry.records.items():
                key = controller.address, id
                assert record.rank < ENDS or id in self.left, "ended without a sign-off"
                assert record.rank >= self.ranks.get(key, -1), "taken back"
                self.ranks[key] = record.rank
                told = controller.updates.get(f"hut/{id}")
                assert told is None or told["state"] == record.state, "others are told something else"

    def end(self):
        """All is healed and heard, and the first at each address beats once more: then all know the same."""
        net = self.net
        net.cut.clear()
        for controller in net:
            controller.store.refuses = False
        for controller in sorted(net, key=lambda controller: not controller.endpoints.complete):
            if not controller.serving:
                self.start(controller)
                assert controller.serving, "no start though all are there"
        for one in net:  # links that broke come up again, and what was missed is asked for
            net.updates("one", one.updates)
            for other in net:
                if other is not one:
                    follow = Subscription(
                        net, other.updates, "one", lambda rows, other=other: [other.hear(row) for row in rows]
                    )
                    follow.begin()
                    follow.close()
        net.carry()
        for number in (0, 2):
            self.seqs[number] += 1
            self.call(number, number, self.seqs[number], READY)
        net.carry()
        self.check()
        for id in ("e0", "e2"):
            known = {controller.state(id) for controller in net}
            assert len(known) == 1 and known < {(state, state) for state in (READY, CLOSING, GONE)}, known
        ranks = [{id: r.rank for id, r in controller.registry.records.items()} for controller in net]
        assert all(held == ranks[0] for held in ranks), ranks
        for controller in net:
            alive = {id for id in ("e0", "e1") if controller.state(id)[0] in (READY, CLOSING)}
            assert len(alive) < 2, "two alive at one address"


def play(steps):
    played = Play()
    for number, step in enumerate(steps):
        played.step(*step)
    played.end()


class Convergence(unittest.TestCase):
    @CALM
    @given(STEPS)
    def test_any_order_of_messages_converges_and_keeps_what_was_acknowledged(self, steps):
        play(steps)

    def test_planted_faults_are_found(self):
        hear, join, settle = EndpointRegistry.hear, EndpointRegistry.join, EndpointService.settle
        answer, init = EndpointService.answer, EndpointService.__init__

        def repeat(self, id, rank, *rest):
            asked = self.__dict__.setdefault("asked", set())
            known = (id, rank) in asked
            asked.add((id, rank))
            return known or settle(self, id, rank, *rest)

        def hearsay(self, epoch, id, rank, ids):
            self.registry.records[id].durable = max(self.registry.records[id].durable, rank)
            return answer(self, epoch, id, rank, ids)

        def back(self, id, beat, now, age=0):
            told = hear(self, id, beat, now, age)
            if self.records[id].seq == beat.call_seq and self.records[id].rank != ENDS:
                self.records[id].rank = beat.rank
            return told

        def newest(self, found, now):
            held = self.records.get(found.id)
            newer = held is not None and (found.seq, found.phase) > (held.seq, held.phase)
            join(self, found, now)
            if newer:
                held.rank = found.rank

        def ending(self, id, beat, now, age=0):
            told = hear(self, id, beat, now, age)
            for other in told:
                if other != id:
                    self.leave(other, now)
            return told

        def counted(self, *args):
            init(self, *args)
            self.complete = True

        planted = {
            "none": (EndpointService, "ended", EndpointService.ended),
            "a repeat is acknowledged at once": (EndpointService, "settle", repeat),
            "a word is answered before the disk took it": (
                EndpointService,
                "hold",
                lambda self, id, rank: True,
            ),
            "what others say counts as a quorum": (EndpointService, "answer", hearsay),
            "a later beat takes back that it leaves": (EndpointRegistry, "hear", back),
            "of two records the later number stands": (EndpointRegistry, "join", newest),
            "an address given anew ends its first owner": (EndpointRegistry, "hear", ending),
            "an empty disk is counted": (EndpointService, "__init__", counted),
            "a start waits for nobody": (EndpointService, "collect", lambda self: True),
            "one answer is a quorum": (Voters, "met", lambda self, heard: len({*heard}) > 0),
            "news that are not agreed with are passed on": (EndpointService, "heard_of", lambda *_: None),
        }
        for name, (owner, method, fault) in planted.items():
            draw, steps, found = random.Random(11), 0, None
            with mock.patch.object(owner, method, fault):
                while found is None and steps < 20_000:
                    played = Play()
                    if method == "met":
                        played.net.voters = mock.Mock(met=lambda heard: len({*heard}) > 1)
                    try:
                        for _ in range(40):
                            steps += 1
                            played.step(
                                draw.choice(KINDS), draw.randrange(3), draw.randrange(3), draw.randrange(100)
                            )
                        played.end()
                    except AssertionError as error:
                        found = str(error).partition("\n")[0]
            print(f"\n  planted: {name}: after {steps} steps: {found}", end="")
            self.assertEqual(found is None, name == "none", found)


if __name__ == "__main__":
    unittest.main()
