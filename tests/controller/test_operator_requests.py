"""The operator's orders and contact before serving: races, repeats, cuts, sleeps; clocks are the tests'."""

import io
import itertools
import random
import unittest
from types import SimpleNamespace
from unittest import mock

import gevent
import gevent.socket
import msgspec
from gevent import pywsgi
from greenlet import greenlet

from flintreach.api import calls
from flintreach.config import configuration, settings
from flintreach.config.configuration import (
    AGAIN,
    FORGOTTEN,
    KEPT,
    OTHER,
    OVERTAKEN,
    TAKEN,
    ConfigurationHistory,
)
from flintreach.consensus.acceptor import Slot
from flintreach.consensus.quorum import Voters
from flintreach.consensus.register import Register
from flintreach.controller import quorum_contact
from flintreach.controller.control_plane import ControlPlane
from flintreach.controller.http_api import ALONE, GONE, LARGE, LEFT, SLEPT, SMALL, TIMED, ControlApi, Handler
from flintreach.controller.lease_owner import LeaseOwner
from flintreach.controller.operator_requests import DROPPED, LATE, OperatorRequests
from flintreach.controller.peer_exchange import PeerExchange
from flintreach.controller.quorum_contact import (
    AFTER_S,
    GAP_S,
    NEVER,
    PATIENCE_S,
    QuorumContact,
    SuspendDetector,
)
from flintreach.controller.repair import Repair
from flintreach.dissemination import relay
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.membership.member_list import ALIVE, DEAD, SUSPECTED, Member, MemberList
from flintreach.membership.member_list import LEFT as LEFT_
from flintreach.sharding.range_assignment import HELD, KEYS, LEAVING, Allocation, LoadDistribution, Range
from flintreach.sharding.range_lease import GRANT, SEND, RangeLeases
from flintreach.transport import peer_connection
from flintreach.transport.peer_pool import PeerPool

CALLS = {"beat", "leave", "put", "get", "evacuate", "resume", "resolve"}


class Coming(io.BytesIO):
    """Bytes of a caller that count what was read of them."""

    taken = 0

    def read(self, size=-1):
        data = super().read(size)
        self.taken += len(data)
        return data

    def readline(self, size=-1):
        data = super().readline(size)
        self.taken += len(data)
        return data


def table(number, runtime="a.example"):
    """A configuration, as it is put."""
    return msgspec.json.encode(
        {
            "edition": f"{number:08x}",
            "depots": [{"name": "desk"}],
            "wickets": [
                {
                    "destination": runtime,
                    "regulations": [
                        {
                            "name": "r",
                            "kind": "safe",
                            "sorting": {"postcode": "/x/"},
                            "dispatch": {"line": "desk", "deadline_ms": 2000, "tries": 2},
                        }
                    ],
                }
            ],
        }
    )


def call(control, method, path, body=b"", told=None, chunked=False, query="", gone=lambda: False):
    """(status, answer, headers, bytes read) of one call, as gevent's server makes it."""
    coming, out = Coming(body), []
    length = None if chunked else len(body) if told is None else told
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "QUERY_STRING": query,
        GONE: gone,
        "wsgi.input": pywsgi.Input(coming, length, chunked_input=chunked),
    }
    if length is not None:
        environ["CONTENT_LENGTH"] = str(length)
    data = b"".join(control(environ, lambda status, headers: out.extend((status, dict(headers)))))
    environ["wsgi.input"]._discard()  # as the server does after each answer
    return int(out[0].split()[0]), msgspec.json.decode(data), out[1], coming.taken


ME, PEERS = ("10.0.0.0", 7), [("10.0.0.1", 7), ("10.0.0.2", 7)]
THREE = Voters(1, tuple((address, "") for address in [ME, *PEERS]))


class Plane:
    """What `Control` takes of a refuge, with a clock of the test's: in touch until time passes."""

    def __init__(self, **parts):
        self.runtime, self.time = self, 100.0
        self.quorum_contact, self.suspend_detector, self.refusals = (
            QuorumContact(),
            SuspendDetector(self.time),
            [],
        )
        self.touch()
        vars(self).update(parts)

    def now(self):
        return self.time

    def touch(self):
        for address in (ME, *PEERS):
            self.quorum_contact.heard(address, self.time, {}, self.time)

    def passes(self, seconds, asleep=False):
        until = self.time + seconds
        while not asleep and self.time < until - 0.1:
            self.time += 0.1
            self.suspend_detector.look(self.time)
        self.time = until

    def contact_age(self):
        return self.quorum_contact.age(THREE, self.time)

    def refused(self, reason):
        self.refusals.append(reason)


class Lock:
    """For what never waits while it holds it."""

    def __enter__(self):
        return self

    def __exit__(self, *_):
        pass


class World:
    """Refuges whose messages are calls: each is a turn, and `order` may say whose turn is next.

    `cut`: pairs (from, to) of addresses between which nothing goes.  `now` moves with sleeps alone.
    """

    def __init__(self, size, disks=None):
        self.now, self.cut, self.chance = 100.0, set(), random.Random(1)
        self.addresses = [(f"10.0.0.{number}", 7) for number in range(size)]
        self.voters = Voters(1, tuple((address, "") for address in self.addresses))
        self.nodes = [Node(self, address, (disks or {}).get(address)) for address in self.addresses]

    def disks(self):
        return {node.address: node.register.acceptor.slots for node in self.nodes}

    def turn(self):
        if parent := greenlet.getcurrent().parent:
            parent.switch()

    def play(self, functions, order=()):
        """Results of functions that run side by side: turns go by `order`, then round."""
        results = {}

        def run(place, function):
            results[place] = function()

        running = [
            greenlet(lambda place=place, function=function: run(place, function))
            for place, function in enumerate(functions)
        ]
        for place in itertools.chain(order, itertools.cycle(range(len(running)))):
            if all(one.dead for one in running):
                return [results[place] for place in range(len(running))]
            if not running[place].dead:
                running[place].switch()


class Node:
    """One refuge's register and orders: the bundle, the host and the plane that they take."""

    def __init__(self, world, address, slots=None):
        self.world, self.address, self.handlers, self.chance = world, address, {}, world.chance
        self.updates, self.peer_pool, self.runtime = VersionedStore(), self, self
        disk = SimpleNamespace(
            incarnation=f"life {address}",
            voting=True,
            slots=dict(slots or {}),
            facts={},
            keep=lambda *rows: True,
        )
        self.register = Register(self, world.voters, disk)
        self.serving, self.refusals = True, []
        self.quorum_contact, self.suspend_detector = QuorumContact(), SuspendDetector(world.now)
        self.contact_age = lambda: 0.0  # where a test is about contact it asks `contact` itself
        self.operator_requests, self.repair, self.peer_exchange = (
            OperatorRequests(self),
            Repair(self),
            PeerExchange(self),
        )
        self.control = ControlApi(self, CALLS)

    def refused(self, reason):
        self.refusals.append(reason)

    def spawn(self, function, *args):
        function(*args)

    def now(self):
        return self.world.now

    def sleep(self, seconds):
        self.world.now += seconds
        for _ in range(1 + int(seconds / 0.01)):  # a message is a turn of 10 ms: who waits lets others go
            self.world.turn()

    def lock(self):
        return Lock()

    def ask(self, address, kind, body=None, timeout=1.0):
        self.world.turn()
        if {(self.address, address), (address, self.address)} & self.world.cut:
            return None
        there = self.world.nodes[self.world.addresses.index(address)]
        answer = there.handlers[kind](None, msgspec.msgpack.decode(msgspec.msgpack.encode(body)))
        return msgspec.msgpack.decode(msgspec.msgpack.encode(answer))

    def gather(self, addresses, kind, body, enough, timeout=1.0, ask=None):
        answers, first = [], self.world.addresses.index(self.address)
        for address in [*addresses[first:], *addresses[:first]]:  # the nearest disk first
            answer = (ask or self.ask)(address, kind, body(address) if callable(body) else body, timeout)
            if answer is not None:
                answers.append((address, answer))
                enough(answers)
        return answers


class Bodies(unittest.TestCase):
    def setUp(self):
        self.put = []
        orders = SimpleNamespace(put=lambda number, body, still: self.put.append(body) or TAKEN)
        self.control = ControlApi(Plane(operator_requests=orders), CALLS)

    def test_a_body_that_links_would_not_carry_is_told_by_its_length_and_left_unread(self):
        self.assertLessEqual(2 * LARGE, peer_connection.MOST)
        for path, most in (
            ("/v1/timetable/put", LARGE),
            ("/v1/endpoints/e/check-in", SMALL),
            ("/v1/evacuate/north/start", SMALL),
        ):
            status, told, headers, taken = call(self.control, "POST", path, b" " * 1000, told=most + 1)
            self.assertEqual((status, taken, headers["Connection"]), (413, 0, "close"), path)
            self.assertIn(str(most), told["fault"])

    def test_a_chunked_body_is_left_as_soon_as_it_passes_the_bound(self):
        body = b"10000\r\n" + b" " * 65536 + b"\r\n"
        status, _, _, taken = call(self.control, "POST", "/v1/timetable/put", body * 200, chunked=True)
        self.assertEqual(status, 413)
        self.assertLess(taken, LARGE + 70000)

    def test_a_body_at_the_bound_is_read_whole(self):
        body = table(1) + b" " * (LARGE - len(table(1)))
        self.assertEqual(call(self.control, "POST", "/v1/timetable/put", body)[0], 200)
        self.assertEqual(self.put, [body])

    def test_a_body_that_ends_early_is_told(self):
        status, told, _, _ = call(self.control, "POST", "/v1/timetable/put", b"{", told=50)
        self.assertEqual((status, told["fault"][:5]), (400, "body:"))


class OneNumberOneContent(unittest.TestCase):
    """Two operators under one number; an order sent again, at any refuge, at any time later."""

    def play(self, order, lost, numbers=(7, 7)):
        world = World(3)
        world.nodes[2].operator_requests.put(5, table(5))
        bodies = [table(numbers[0], "one.example"), table(numbers[1], "two.example")]
        world.cut = {(world.addresses[who], world.addresses[to]) for who, to in lost}

        def put(place):
            return lambda: [
                world.nodes[place].operator_requests.put(numbers[place], bodies[place]) for _ in range(3)
            ]

        return world, bodies, world.play([put(0), put(1)], order)

    def test_two_contents_race_under_one_number_in_every_order_of_their_messages(self):
        """Who is confirmed is alone, stays so at each repeat, and is what is read; all 924 orders of two
        writers' three prepares and three accepts, with none or one message's way lost."""
        count = 0
        for first in itertools.combinations(range(12), 6):
            order = [0 if place in first else 1 for place in range(12)]
            for lost in ((), ((0, 2),), ((1, 2),)):
                world, bodies, answers = self.play(order, lost)
                yes = [place for place in (0, 1) if {TAKEN, AGAIN} & {*answers[place]}]
                self.assertEqual(len(yes), 1, (order, lost, answers))
                winner, loser = answers[yes[0]], answers[1 - yes[0]]
                self.assertEqual(winner[-1], AGAIN)
                self.assertEqual(loser[-1], OTHER, (order, lost, answers))
                for node in world.nodes:
                    world.cut = set()
                    self.assertEqual(node.operator_requests.get(), (True, bodies[yes[0]]))
                    self.assertEqual(node.operator_requests.put(7, bodies[yes[0]]), AGAIN)
                    self.assertEqual(node.operator_requests.put(7, bodies[1 - yes[0]]), OTHER)
                count += 1
        self.assertEqual(count, 924 * 3)

    def test_contents_that_race_under_an_overtaken_number_are_not_both_confirmed(self):
        world = World(3)
        one, two = table(3, "one.example"), table(3, "two.example")
        self.assertEqual(world.nodes[0].operator_requests.put(5, table(5)), TAKEN)
        words = world.play(
            [
                lambda: world.nodes[0].operator_requests.put(3, one),
                lambda: world.nodes[1].operator_requests.put(3, two),
            ]
        )
        self.assertEqual(sorted(words), [OTHER, OVERTAKEN])
        self.assertEqual([node.operator_requests.get() for node in world.nodes], [(True, table(5))] * 3)
        self.assertEqual(
            world.nodes[0].updates.entries["timetable"], (5, table(5)), "news are the body alone"
        )

    def test_what_was_taken_is_acknowledged_again_after_thousands_of_changes_and_a_full_restart(self):
        world, count = World(3), 3000
        for number in range(1, count + 1):
            self.assertEqual(world.nodes[number % 3].operator_requests.put(number, table(number)), TAKEN)
        world = World(3, world.disks())
        lowest = count - KEPT + 1
        cases = [
            (1, FORGOTTEN),
            (lowest - 1, FORGOTTEN),
            (lowest, AGAIN),
            (count // 2 + 700, AGAIN),
            (count, AGAIN),
        ]
        for number, word in cases:
            for node in world.nodes:
                self.assertEqual(node.operator_requests.put(number, table(number)), word, number)
                other = node.operator_requests.put(number, table(number, "other.example"))
                self.assertEqual(other, OTHER if word == AGAIN else FORGOTTEN)
        self.assertLess(len(world.disks()[world.addresses[0]]["timetable"].value), 32 << 10)

    def test_an_older_change_that_arrives_again_changes_nothing_and_is_acknowledged(self):
        world = World(3)
        words = [
            node.operator_requests.put(number, table(number))
            for number in (2, 9, 2, 4, 4, 9)
            for node in world.nodes
        ]
        self.assertEqual(
            words, [TAKEN, AGAIN, AGAIN] * 2 + [AGAIN] * 3 + [OVERTAKEN, AGAIN, AGAIN] + [AGAIN] * 6
        )
        self.assertEqual(world.nodes[1].operator_requests.get(), (True, table(9)))

    def test_what_earlier_texts_kept_is_read(self):
        held = ConfigurationHistory.of(table(6))
        self.assertEqual((held.number, held.body, len(held)), (6, table(6), 1))
        self.assertEqual(configuration.put(table(6), 6, table(6)), (AGAIN, None))
        self.assertEqual(configuration.put(table(6), 6, table(6, "b.example"))[0], OTHER)
        word, value = configuration.put(table(6), 8, table(8))
        self.assertEqual((word, ConfigurationHistory.of(value).number), (TAKEN, 8))
        self.assertEqual(configuration.put(value, 6, table(6)), (AGAIN, None))

    def test_the_history_stays_sorted_and_bounded_whatever_comes(self):
        draw, value, taken = random.Random(4), None, {}
        for _ in range(4 * KEPT):
            number = draw.randrange(3 * KEPT)
            word, fresh = configuration.put(value, number, b"%d" % number)
            self.assertNotEqual(word, OTHER)
            value = fresh or value
            taken[number] = word
        held = ConfigurationHistory.of(value)
        numbers = [held.entry(place)[0] for place in range(len(held))]
        self.assertEqual(numbers, sorted(set(numbers)))
        self.assertEqual(len(held), KEPT)
        self.assertEqual(held.body, b"%d" % numbers[-1])

    def test_statuses(self):
        """Only another content is refused; what can't be told has no clear answer, and when to ask again."""
        for word, status in (
            (TAKEN, 200),
            (AGAIN, 200),
            (OVERTAKEN, 200),
            (OTHER, 409),
            (FORGOTTEN, 503),
            (LATE, 503),
        ):
            orders = SimpleNamespace(put=lambda number, body, still, word=word: word)
            got, told, headers, _ = call(
                ControlApi(Plane(operator_requests=orders), CALLS), "POST", "/v1/timetable/put", table(1)
            )
            self.assertEqual(
                (got, "fault" in told, "Retry-After" in headers), (status, status != 200, status == 503), word
            )

    def test_a_number_is_eight_plain_hexadecimal_digits(self):
        for text in ("+0000001", "-0000001", "0x000001", "000_0001", " 0000001", "\u0661" * 8):
            with self.assertRaises(configuration.ConfigError, msg=text):
                configuration.edition(text)
        self.assertEqual(configuration.edition("0000aBcD"), 0xABCD)


ZONE = "/v1/evacuate/north/"


class OrdersWithoutNumbers(unittest.TestCase):
    """Evacuations: one that was delayed must not act after a later one that was acknowledged."""

    def away(self, world):
        for node in world.nodes:
            done, value = node.register.read("evac")
            self.assertTrue(done)
            yield msgspec.msgpack.decode(value)[1].get("north", False) if value else False

    def later(self, world, word):
        """What the caller does once it has given a refuge up: the order at another, then its reverse."""
        other = {"start": "finish", "finish": "start"}[word]
        for path in (ZONE + word, ZONE + other):
            self.assertEqual(call(world.nodes[1].control, "POST", path)[0], 200)

    def test_an_order_that_stopped_at_any_message_does_not_act_after_a_later_one(self):
        """The refuge stops after each number of messages, for longer than its caller waits; whether it then
        sees that the caller has gone or not, and whether it slept or its messages did."""
        for word, on in (("start", False), ("finish", True)):
            for stop in range(7):  # three prepares and two accepts: 5 messages, then it is done
                for seen, slept in itertools.product((True, False), repeat=2):
                    if not (stop or seen or slept):
                        continue  # not yet read, unnoticed, from a caller behind a cut: an order of now
                    world, left = World(3), []
                    if word == "finish":
                        call(world.nodes[2].control, "POST", ZONE + "start")
                    late = greenlet(
                        lambda world=world, word=word, seen=seen, left=left: call(
                            world.nodes[0].control,
                            "POST",
                            ZONE + word,
                            gone=lambda: bool(seen and left),
                        )
                    )
                    for _ in range(stop):
                        late.dead or late.switch()
                    world.now += 1.0
                    for node in world.nodes[slept:]:
                        node.suspend_detector.last = world.now  # these ran all the while
                    left.append(True)
                    self.later(world, word)
                    while not late.dead:
                        answer = late.switch()
                        self.assertTrue(not answer or answer[0] == 503, (word, stop, seen, slept))
                    self.assertEqual({*self.away(world)}, {on}, (word, stop, seen, slept))

    def test_an_order_that_lay_unread_while_the_refuge_slept_is_not_begun(self):
        for word, on in (("start", False), ("finish", True)):
            world = World(3)
            if word == "finish":
                call(world.nodes[2].control, "POST", ZONE + "start")
            self.later(world, word)
            world.now += 5.0
            for node in world.nodes[1:]:
                node.suspend_detector.last = world.now  # these ran all the while
            late = world.nodes[0]
            for waited in (0.0, AFTER_S / 2):
                world.now += waited
                status, told, headers, _ = call(late.control, "POST", ZONE + word)
                self.assertEqual((status, told, "Retry-After" in headers), (503, {"fault": SLEPT}, True))
            self.assertEqual({*self.away(world)}, {on})
            world.now += AFTER_S
            self.assertEqual(call(late.control, "POST", ZONE + word)[0], 200, "callers of now are served")

    def test_an_order_of_a_caller_that_went_away_changes_nothing_before_accepts_go_out(self):
        world = World(3)
        for asked in range(1, 3):  # the caller is looked at before the call, and before the accepts
            looks = itertools.count(1)
            gone = lambda looks=looks, asked=asked: next(looks) >= asked  # noqa: E731
            status, told, _, _ = call(world.nodes[0].control, "POST", ZONE + "start", gone=gone)
            self.assertEqual((status, told), (503, {"fault": LEFT}))
            self.assertEqual({*self.away(world)}, {False})
        self.assertEqual(world.nodes[0].refusals, [LEFT] * 2)

    def test_an_order_given_up_after_accepts_went_out_has_no_clear_answer(self):
        """Its first attempt was told to acceptors and lost: that nothing changed may not be said."""
        for may, word in (([False], DROPPED), ([True, False], LATE), ([True, True], TAKEN)):

            def change(key, step, timeout, may=may):
                return True, [step(None) for _ in may][-1]

            looks = iter(may)
            orders = OperatorRequests(
                SimpleNamespace(register=SimpleNamespace(change=change), updates=VersionedStore())
            )
            self.assertEqual(orders.evacuate("north", True, lambda: next(looks)), word)  # noqa: B023

    def test_a_repeat_is_acknowledged_and_is_no_change(self):
        world = World(3)
        for path in (ZONE + "finish", ZONE + "start", ZONE + "finish"):
            for node in world.nodes * 2:
                self.assertEqual(call(node.control, "POST", path)[0], 200)
        self.assertEqual(msgspec.msgpack.decode(world.nodes[0].register.read("evac")[1])[0], 3)

    def test_who_sees_that_its_caller_went(self):
        here, there = gevent.socket.socketpair()
        handler = Handler.__new__(Handler)
        handler.socket = here
        self.assertFalse(handler.gone())
        there.sendall(b"GET ")  # the next request
        self.assertFalse(handler.gone())
        here.recv(4)
        there.close()
        self.assertTrue(handler.gone())
        here.close()
        self.assertTrue(handler.gone())


REQUESTS = {
    "resolve": ("GET", "/v1/directions", b""),
    "put": ("POST", "/v1/timetable/put", table(3)),
    "get": ("GET", "/v1/timetable/get", b""),
    "evacuate": ("POST", ZONE + "start", b""),
    "resume": ("POST", ZONE + "finish", b""),
    "leave": ("POST", "/v1/endpoints/e/sign-off", b""),
    "beat": (
        "POST",
        "/v1/endpoints/e/check-in",
        msgspec.json.encode(
            {
                "line": "desk",
                "addr": "10.0.0.9:80",
                "zone": "north",
                "berths": 2,
                "state": "ready",
                "call_seq": 1,
                "edition": "v1",
                "cold_left_ms": 0,
            }
        ),
    ),
}


class ContactBeforeServing(unittest.TestCase):
    """Each call of the table: in touch, cut off, after a sleep, across a sleep."""

    def setUp(self):
        self.done, self.during, self.value = [], (0.0, False), b"{}"

    def control(self):
        """A refuge whose calls take `during`: seconds, and whether it sleeps through them."""

        def waits(name, value):
            def answer(*args):
                self.done.append(name)
                plane.passes(*self.during)
                return value() if callable(value) else value

            return answer

        plane = Plane(
            operator_requests=SimpleNamespace(
                put=waits("put", TAKEN),
                evacuate=waits("order", TAKEN),
                get=waits("get", lambda: (True, self.value)),
            ),
            endpoints=SimpleNamespace(beat=waits("beat", True), leave=waits("leave", True)),
            load_placement=SimpleNamespace(
                directions=waits("resolve", ["10.1.0.1:80"]), valid=lambda now: 0.5
            ),
        )
        return plane, ControlApi(plane, CALLS)

    def each(self):
        for name, (method, path, body) in REQUESTS.items():
            plane, control = self.control()
            self.done.clear()
            yield name, plane, lambda: call(control, method, path, body)[:3], *calls.BOUNDS[name]  # noqa: B023

    def test_every_call_that_a_refuge_answers_has_its_case_and_its_bound(self):
        self.assertEqual({*REQUESTS}, CALLS)
        self.assertEqual({*REQUESTS} | {"ready"}, {*calls.BOUNDS})
        for name in REQUESTS:
            contact_s, within = calls.BOUNDS[name]
            self.assertTrue(contact_s <= 2.0 and (name == "resolve" or within < 1.0), name)

    def test_in_touch(self):
        for name, plane, ask, bound, _ in self.each():
            plane.passes(bound - 0.01)
            self.assertEqual((ask()[0], len(self.done)), (200, 1), name)

    def test_cut_off_it_answers_at_once_that_it_does_not_know(self):
        for name, plane, ask, bound, _ in self.each():
            plane.passes(bound + 0.01)
            at = plane.time
            status, told, headers = ask()
            self.assertEqual((status, told, plane.time, self.done), (503, {"fault": ALONE}, at, []), name)
            self.assertEqual((headers["Retry-After"], plane.refusals), ("0.2", [ALONE]))

    def test_never_in_touch(self):
        for name, plane, ask, _, _ in self.each():
            plane.quorum_contact = QuorumContact()
            self.assertEqual(ask()[:2], (503, {"fault": ALONE}), name)

    def test_what_lay_unread_while_it_slept_is_not_answered(self):
        for name, plane, ask, bound, within in self.each():
            plane.passes(GAP_S + 0.05, asleep=True)
            self.assertEqual(ask()[:2], (503, {"fault": SLEPT}) if within else (200, ask()[1]), name)
            plane.passes(AFTER_S + 0.01)
            plane.touch()
            self.assertEqual(ask()[0], 200, name)

    def test_a_sleep_between_the_last_wait_and_the_answer_confirms_nothing(self):
        """Also no 4xx: what `get` found before the sleep is no word on what stands."""
        self.during = 5.0, True
        for value in (b"{}", None):
            self.value = value
            for name, _, ask, _, _ in self.each():
                status, told, _ = ask()
                self.assertEqual((status, len(self.done)), (503, 1), name)
                self.assertIn(told["fault"], (SLEPT, ALONE))

    def test_what_took_longer_than_callers_wait_is_not_confirmed(self):
        for name, plane, ask, _, within in self.each():
            if within:
                self.during = within + 0.05, False
                self.assertEqual(ask()[:2], (503, {"fault": TIMED}), name)
                self.during = within - 0.05, False
                plane.touch()
                self.assertEqual(ask()[0], 200, name)


class Status(unittest.TestCase):
    def test_an_operator_sees_how_old_contact_is_and_what_was_refused(self):
        clock = [100.0]
        runtime = SimpleNamespace(
            now=lambda: clock[0], now_ns=lambda: int(clock[0] * 1e9), spawn=None, lock=Lock
        )
        node = settings.parse(
            "sender: {node_name: n, ip: 10.0.0.0, zone: z, region: r}\n"
            "network: {posts: {}, spare_ports: [7, 8]}\n"
        )
        plane = ControlPlane(node, PeerPool(ME, runtime), None, None, list)
        self.assertEqual(plane.show("status")[0]["contact_s"], NEVER)
        plane.register.voters, plane.serving = THREE, True
        for address, at in zip([ME, *PEERS], (99.0, 97.0, 90.0)):
            plane.quorum_contact.heard(address, at, {}, 100.0)
        for reason in (ALONE, SLEPT, ALONE):
            plane.refused(reason)
        clock[0] += 2.0
        status = plane.show("status")[0]
        self.assertEqual((status["contact_s"], plane.news_age()), (5.0, 5.0))
        self.assertEqual(status["contacts_s"], "10.0.0.0 3.0 10.0.0.1 5.0 10.0.0.2 12.0")
        self.assertEqual(status["refused"], "2 out of touch (2.0 s ago), 1 slept (2.0 s ago)")


class Marks(unittest.TestCase):
    """What counts as contact: `QuorumContact` by itself."""

    def contact(self, *asked):
        found = QuorumContact()
        for address, at in zip([ME, *PEERS], asked):
            found.heard(address, at, {}, at)
        return found

    def test_a_quorum_counts_from_its_latest_common_asking(self):
        cases = (((10, 9, 2), 1.0), ((10, 3, 2), 7.0), ((1, 9, 8), 2.0), ((10,), NEVER), ((), NEVER))
        for asked, age in cases:
            self.assertEqual(self.contact(*asked).age(THREE, 10.0), age, asked)

    def test_while_voters_change_both_sets_must_be_heard(self):
        old = tuple((address, "") for address in [ME, *PEERS])
        new = tuple(((f"10.0.1.{number}", 7), "") for number in range(3))
        joint, found = Voters(2, old, new), self.contact(9, 9, 9)
        self.assertEqual(found.age(joint, 10.0), NEVER)
        for address, _ in new[:2]:
            found.heard(address, 6.0, {}, 9.0)
        self.assertEqual((found.age(joint, 10.0), found.age(THREE, 10.0)), (4.0, 1.0))

    def test_a_mark_counts_once_what_it_told_of_is_learned_and_from_its_asking(self):
        found, stamp = self.contact(1, 1, 1), (4, "a")
        for at in (5.0, 6.0):
            for address in PEERS:
                found.heard(address, at, {"timetable": stamp}, at + 0.1)
        self.assertEqual((found.age(THREE, 7.0), found.unlearned("timetable")), (6.0, True))
        found.learn("timetable", (3, "z"))
        self.assertEqual(found.age(THREE, 7.0), 6.0)
        found.learn("timetable", (5, "b"))  # a later one covers it
        self.assertEqual((found.age(THREE, 7.0), found.unlearned("timetable")), (1.0, False))

    def test_a_key_that_changes_with_each_mark_makes_nothing_stale(self):
        """News of a change come a moment after the mark that told of it, again and again."""
        found = self.contact(1, 1, 1)
        for turn in range(40):
            at = 2.0 + turn / 4
            for address in (ME, *PEERS):
                found.heard(address, at, {"evac": (turn + 1, "a")}, at + 0.1)
            self.assertLessEqual(found.age(THREE, at + 0.1), 0.36 if turn else 2.0)
            found.learn("evac", (turn + 1, "a"))
        self.assertLessEqual(len(found.open[ME]), 1)

    def test_marks_that_wait_are_bounded(self):
        found = self.contact(1, 1, 1)
        for turn in range(100):
            found.heard(ME, 2.0 + turn, {"evac": (9, "a")}, 2.0 + turn)
        self.assertEqual(len(found.open[ME]), quorum_contact.OPEN)

    def test_a_sleep_is_noticed_by_whoever_looks_first(self):
        awake = SuspendDetector(10.0)
        trace = [(10.1, True), (10.45, True), (11.0, False), (11.1, False), (11.26, True), (20.0, False)]
        self.assertEqual([awake.look(at) for at, _ in trace], [good for _, good in trace])
        self.assertEqual(awake.sleeps, 2)


class Sweep(unittest.TestCase):
    def test_what_a_disk_has_accepted_since_is_not_told_as_what_stands(self):
        """A quorum told a stamp; its holder has meanwhile accepted another writer's change, which may never
        stand."""
        for slot, told in (
            (Slot((3, "b"), (3, "b"), b"new"), []),
            (Slot((2, "a"), (2, "a"), b"old"), [mock.call("evac", b"old")]),
        ):
            plane, register = mock.Mock(), mock.Mock(fetch=mock.Mock(return_value=slot))
            care = SimpleNamespace(plane=plane, register=register, learned={})
            Repair.fetch(care, "evac", (2, "a"), PEERS[0])
            self.assertEqual(plane.operator_requests.learn.mock_calls, told)
            self.assertEqual(care.learned, {"evac": (2, "a")} if told else {})


class Following(unittest.TestCase):
    """Marks between refuges: what is on disks but on no board, links on which nothing comes any more."""

    def marks(self, world, at, *others):
        """Node `at` asks others, and itself, for marks, as its mesh does."""
        me = world.nodes[at]
        for node in (me, *(world.nodes[other] for other in others)):
            me.peer_exchange.marked(node.address, world.now, node.peer_exchange.on_mark(None, None))
        return me.quorum_contact.age(world.voters, world.now)

    def test_what_a_refuge_confirmed_before_it_died_is_learned_by_the_next_marks(self):
        """It told no news; the stamps tell of it, and the age counts from before until it is known."""
        world = World(3)
        world.nodes[0].register.incarnations = {address: f"life {address}" for address in world.addresses}
        self.assertEqual(self.marks(world, 1, 2), 0.0)
        self.assertEqual(world.nodes[0].operator_requests.put(4, table(4)), TAKEN)
        world.nodes[0].operator_requests.evacuate("north", True)
        world.now += 1.0
        world.cut = {(world.addresses[0], address) for address in world.addresses[1:]}
        self.assertEqual(self.marks(world, 1, 2), 0.0)
        self.assertEqual(
            world.nodes[1].updates.entries, {"timetable": (4, table(4)), "evac": (1, {"north": True})}
        )

    def test_until_it_is_learned_the_age_counts_from_before(self):
        world = World(3)
        self.marks(world, 1, 2)
        world.nodes[0].operator_requests.put(4, table(4))
        world.now += 1.0
        with mock.patch.object(PeerExchange, "seek", lambda self, key: None):
            self.assertEqual(self.marks(world, 1, 2), 1.0)

    def test_what_stands_on_a_minority_of_those_in_reach_is_read_after_a_moment(self):
        """Five disks; the order is on three, two of which died: a mark tells of it, and a read settles it."""
        world = World(5)
        self.marks(world, 4, 2, 3)
        self.assertEqual(world.nodes[0].operator_requests.put(4, table(4)), TAKEN)
        world.cut = {
            (world.addresses[lost], world.addresses[other]) for lost in (0, 1) for other in (2, 3, 4)
        }
        began = world.now
        world.now += 0.1
        self.assertAlmostEqual(self.marks(world, 4, 2, 3), 0.1)
        self.assertEqual(world.nodes[4].updates.entries, {})
        world.now = began + 0.11 + PATIENCE_S
        self.marks(world, 4, 2, 3)
        self.assertEqual(world.nodes[4].updates.get("timetable"), table(4))
        world.now += 0.1
        self.assertEqual(self.marks(world, 4, 2, 3), 0.0)

    def test_a_change_that_never_stood_is_settled_too(self):
        """A lone accept of a writer that died: a read whose quorum lacks it covers its ballot."""
        world = World(3)
        world.nodes[0].operator_requests.put(4, table(4))
        for node in world.nodes:
            self.marks(world, world.nodes.index(node), 0, 1, 2)
        slots = world.nodes[2].register.acceptor.slots
        slots["timetable"] = Slot((50, "x"), (50, "x"), ConfigurationHistory.of(table(9)).value())
        for _ in range(3):
            world.now += PATIENCE_S
            age = self.marks(world, 0, 1, 2)
        self.assertEqual(age, 0.0)

    def test_a_voter_set_that_nobody_told_of_is_adopted(self):
        world = World(3)
        self.marks(world, 1, 2)
        later = Voters(2, world.voters.old[:2], world.voters.old)
        for node in world.nodes[1:]:
            told = msgspec.msgpack.encode(later.row())
            node.register.acceptor.slots["voters"] = Slot((7, "a"), (7, "a"), told)
        self.marks(world, 1, 2)
        self.assertEqual(world.nodes[1].register.voters, later)

    def test_a_disk_that_may_not_vote_gives_no_mark(self):
        world = World(3)
        world.nodes[2].register.acceptor.voting = False
        self.assertIsNone(world.nodes[2].peer_exchange.on_mark(None, None))
        self.assertEqual(self.marks(world, 1, 2), NEVER)

    def test_a_link_on_which_nothing_comes_any_more_is_left(self):
        """A cut one way: the link stays open and silent.  Its marks stop counting and it is dialled anew."""
        world = World(3)
        node, closed = world.nodes[0], []
        answers = iter([[0.1, [], []], {}, {}])

        class Half:
            def ask(self, kind, body, timeout):
                answer = next(answers, None)
                if answer is None:
                    world.now += timeout
                    raise peer_connection.ConnectionClosed
                world.now += 0.4  # it lay in a buffer, or was long on its way
                return answer

            def close(self):
                closed.append(True)

        node.dial = lambda address, handlers, timeout: Half()
        node.news_age = lambda: 9.0
        node.peer_exchange.followed.add(PEERS[0])
        node.peer_exchange.follow(PEERS[0])
        self.assertEqual((closed, node.peer_exchange.followed), ([True], set()))
        self.assertAlmostEqual(
            node.quorum_contact.asked[PEERS[0]], 100.8 + relay.MARK, msg="the last one's asking"
        )
        self.assertGreater(world.now, 102.4)

    def test_an_answer_that_lay_in_a_buffer_counts_from_its_asking(self):
        world = World(3)
        node, answers = world.nodes[0], iter([[0.1, [], []], {}])

        class Slow:
            def ask(self, kind, body, timeout):
                answer = next(answers, None)
                if answer is None:
                    raise peer_connection.ConnectionClosed
                world.now += 5.0 if kind == "accepted" else 0.0  # it lay there while this process slept
                return answer

            def close(self):
                pass

        node.dial, node.news_age = lambda address, handlers, timeout: Slow(), lambda: 9.0
        node.peer_exchange.follow(PEERS[0])
        self.assertEqual(node.quorum_contact.asked, {PEERS[0]: 100.0})
        self.assertGreaterEqual(world.now, 105.0)


class SleptClocks(unittest.TestCase):
    """Grants of keys, and the time of day."""

    def keeping(self):
        """A keeper whose change stood at 10.0, and a range that it grants."""
        state, held = RangeLeases("k0", 10.0), Allocation.of(None)
        state.step(held, 10.0, {}, lambda id: False, LoadDistribution(), set())
        state.stands(held, 10.0, 10.0)
        return state, held

    def test_a_grant_leaves_only_within_the_lease_whenever_the_process_slept(self):
        state, _ = self.keeping()
        for late in (0.0, SEND - 0.01, SEND, SEND + 5):
            self.assertEqual(state.goes_out(GRANT, Range(0, 9, "e", 3, HELD), 10.0 + late), late < SEND, late)
        state.lost()
        self.assertFalse(state.goes_out(GRANT, Range(0, 9, "e", 3, HELD), 10.0))

    def test_a_process_that_slept_while_its_change_was_written_may_send_nothing(self):
        """The lease counts from the beginning of the change, not from the answer."""
        state, held = self.keeping()
        state.stands(held, 20.0, 26.0)
        self.assertFalse(state.goes_out(GRANT, Range(0, 9, "e", 3, HELD), 26.0))

    def test_a_sleep_while_the_connection_comes_up_sends_nothing(self):
        clock = [10.0]
        keeper = LeaseOwner(
            "k0",
            "store",
            SimpleNamespace(runtime=SimpleNamespace(now=lambda: clock[0])),
            10000,
            dict,
            None,
            None,
            None,
        )
        keeper.state, _ = self.keeping()
        sent, listener = [], gevent.socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.addCleanup(listener.close)

        def take():
            while True:
                sock, _ = listener.accept()
                sent.append(sock.recv(100))
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                sock.close()

        server = gevent.spawn(take)
        self.addCleanup(server.kill)
        r = Range(0, 9, "e", 3, HELD, addr=f"127.0.0.1:{listener.getsockname()[1]}")
        self.assertEqual(keeper.exchange(GRANT, r), (200, None))
        clock[0] += 5.0
        self.assertEqual(keeper.exchange(GRANT, r), (None, None))
        gevent.sleep(0)
        self.assertEqual([bool(data) for data in sent], [True, False][: len(sent)])

    def test_the_answer_to_a_release_that_lay_in_a_buffer_gives_nothing_away(self):
        """Another has taken over meanwhile: the first may not change the allocation by what it reads late."""
        state, held = self.keeping()
        held.ranges = [Range(0, KEYS - 1, "e0", 3, LEAVING, addr="e0:80")]
        state.stands(held, 10.0, 10.0)
        self.assertEqual([kind for kind, _ in state.calls(10.0)], ["release"])
        after = Allocation.of(held.rows())
        after.keeper, after.epoch, after.beat = "k1", held.epoch + 1, held.beat + 1
        state.answered("release", held.ranges[0], 200, "handover", 16.0)
        self.assertFalse(state.due(after, 16.0))
        self.assertFalse(state.goes_out(GRANT, held.ranges[0], 16.0))
        # And once it takes over again, what it was told in the earlier epoch is forgotten.
        self.assertTrue(state.due(after, 18.0))
        self.assertTrue(state.step(after, 18.0, {}, lambda id: False, LoadDistribution(), set()))
        self.assertEqual(after.ranges[0].state, LEAVING)
        state.stands(after, 18.0, 18.0)
        self.assertEqual(state.released, {})

    def test_a_process_that_starts_again_after_its_time_of_day_went_back_is_believed(self):
        """Its life comes from the time of day, so it is lower than what the others know of the one before."""
        for state in (ALIVE, SUSPECTED, DEAD, LEFT_):
            member = lambda name, ip, life: Member(name, "refuge", ip, 7, "z", "r", life=life)  # noqa: E731
            others = MemberList(member("b", "10.0.0.2", 5), lambda n: 0)
            before = member("a", "10.0.0.1", 9000)
            others.take([before.row()], 0)  # of one that nobody knew a death is no news
            before.state, before.ready = state, True
            others.take([before.row()], 0)
            self.assertEqual(others.members["a"].state, state)
            again = MemberList(member("a", "10.0.0.1", 4), lambda n: 0)
            mail = again.join([("10.0.0.2", 7)])
            for _ in range(4):
                back = [m for _, message in mail for m in others.hear(("10.0.0.1", 7), message, 1)]
                mail = [m for _, message in back for m in again.hear(("10.0.0.2", 7), message, 1)]
                mail += [(("10.0.0.2", 7), again.message("ping", 1))]
            found = others.members["a"]
            self.assertEqual((found.state, found.ready, found.life > 9000), (ALIVE, False, True), state)


if __name__ == "__main__":
    unittest.main()
