"""Others' figures as evidence: the protocol byte by byte, clocks, bursts, silence, what becomes an event."""

import asyncio
import json
import random
import socket

import pytest

from flintreach.evidence import packet
from flintreach.evidence.block import Block
from flintreach.evidence.packet import Bad, ValueList
from flintreach.evidence.receiver import SEEN, HostLoadReceiver
from flintreach.evidence.tracker import SETTLED, STATES, Bounds, HostTracker, Series
from flintreach.net.config import load
from flintreach.net.service import Service
from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND
from flintreach.standins import collectd
from flintreach.standins.platform import told
from tests.helpers import FakeLoop, Fleet, RecordingLog, RecordingPilot

T = 1_700_000_000 * SECOND
KEYS = {"anna": "secret", "bo": "other"}
STEP = 10 * SECOND


def read(data):
    return list(packet.parse_values(data))


# The protocol.


@pytest.mark.parametrize("high", [True, False])
def test_a_round_of_the_plugin_cpu_is_read_whole(high):
    found = read(collectd.cpu("h1", T, 25.0, processors=2, high=high))
    assert [(v.host, v.plugin, v.plugin_instance, v.type, v.type_instance, v.figures) for v in found] == [
        ("h1", "cpu", n, "percent", what, (figure,))
        for n in "01"
        for what, figure in (("user", 75.0), ("idle", 25.0))
    ]
    assert all(v.time - T in (0, 1) and abs(v.interval - STEP) <= 1 for v in found)


def test_all_four_types_of_values_are_read():
    rows = [(packet.COUNTER, 2**63 + 1), (packet.GAUGE, -1.5), (packet.DERIVE, -7), (packet.ABSOLUTE, 9)]
    (value,) = read(collectd.series("h1", T, "x", "y", *rows))
    assert value.kinds == (0, 1, 2, 3) and value.figures == (2**63 + 1, -1.5, -7, 9)


def test_a_datagram_cut_at_any_byte_or_with_any_byte_spoilt_is_read_or_refused():
    data, rnd = collectd.cpu("h1", T, 25.0, processors=2), random.Random(2)
    whole = read(data)
    for cut in range(len(data)):
        found = []
        try:
            for value in packet.parse_values(data[:cut]):
                found.append(value)
        except Bad:
            pass
        assert found == whole[: len(found)]
    for place in range(len(data)):
        spoilt = bytearray(data)
        spoilt[place] = rnd.randrange(256)
        try:
            read(bytes(spoilt))
        except Bad:
            pass


@pytest.mark.parametrize(
    "content, why",
    [
        (collectd.part(packet.TIME, b"123"), "cut off"),
        (collectd.part(packet.HOST, b"abc"), "no text"),
        (collectd.part(packet.HOST, b"x" * 200 + b"\0"), "too long"),
        (collectd.part(packet.HOST, b"\xff\xfe\0"), "no text"),
        (collectd.part(packet.VALUES, b"\0\1"), "differ"),
        (collectd.part(packet.VALUES, b"\0\1\x09" + bytes(8)), "no known type"),
        (collectd.values((packet.GAUGE, 1.0)), "without a host"),
        (b"\0\0\0\3", "truncated"),
        (
            collectd.name(packet.HOST, "h") + collectd.number(packet.TIME, 5) + collectd.values((1, 1.0)),
            "absurd",
        ),
        (collectd.series("h", T, "x", "y", (1, 1.0), interval=48 * 3600 * SECOND), "absurd"),
    ],
)
def test_what_cannot_be_read_says_why(content, why):
    with pytest.raises(Bad, match=why):
        read(content)


def test_kinds_of_later_versions_are_passed_over():
    data = collectd.part(0x0777, b"what") + collectd.cpu("h1", T, 25.0) + collectd.number(packet.SEVERITY, 1)
    assert len(read(data)) == 2


@pytest.mark.parametrize("wrap", [collectd.signed, collectd.encrypted])
def test_who_vouches_is_known_and_any_flipped_byte_is_found(wrap):
    content = collectd.cpu("h1", T, 25.0)
    data = wrap(content, "anna", "secret")
    assert packet.authenticate(data, KEYS, False) == (content, "anna")
    for user, key, why in (("anna", "wrong", "match|decrypt"), ("eve", "secret", "unknown user")):
        with pytest.raises(Bad, match=why):
            packet.authenticate(wrap(content, user, key), KEYS, False)
    for place in range(len(data)):
        spoilt = bytearray(data)
        spoilt[place] ^= 0x20
        try:
            found, user = packet.authenticate(bytes(spoilt), KEYS, False)
        except Bad:
            continue
        raise AssertionError(f"byte {place} may be flipped: {found!r} {user}")
    for cut in range(len(data)):
        with pytest.raises(Bad):
            packet.authenticate(data[:cut], KEYS, False)


def test_unsigned_is_taken_only_where_the_operator_says_so():
    content = collectd.cpu("h1", T, 25.0)
    with pytest.raises(Bad, match="unsigned"):
        packet.authenticate(content, KEYS, False)
    assert packet.authenticate(content, KEYS, True) == (content, None)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "a",
        "a.b 1",
        "a.b.c x 1",
        "a.b.c 1 x",
        "a.b.c inf 1",
        "a.b.c 1 -5",
        "h 1 1",
        "a.b.c 1 1e400",
        "x" * 900 + ".a.b 1 1",
    ],
)
def test_a_line_that_is_none_says_so(text):
    with pytest.raises(Bad):
        packet.line(text)


# The ledger.


def value(time, idle=25.0, host="h1", what="idle", interval=STEP, plugin="cpu", kind=packet.GAUGE):
    return ValueList(host, plugin, "0", "percent", what, time, interval, (kind,), (idle,))


class Play:
    def __init__(self, **bounds):
        self.ledger = HostTracker({"h1": "s1", "h2": "s2"}, Bounds(**bounds))
        self.told = []

    def point(self, time, came=None, **changes):
        came = time if came is None else came
        found = self.ledger.observe(value(time, **changes), came, changes.get("host", "h1"))
        if found:
            self.told.append((came, found))
        return found

    def rounds(self, first, count, late=SECOND // 10, off=0, **changes):
        for n in range(count):
            true = first + n * STEP
            self.point(true - off, true + late, **changes)
            self.ledger.look(true + late)

    @property
    def state(self):
        return self.ledger.hosts["h1"].state


def test_a_host_settles_is_fresh_ages_and_is_unknown_and_says_nothing_by_silence():
    play = Play()
    play.rounds(T, SETTLED - 1)
    assert play.state == "settling" and not play.told
    play.rounds(T + (SETTLED - 1) * STEP, 5)
    assert play.state == "fresh" and len(play.told) == 5
    assert all(told.busy == 0.75 and told.age == SECOND // 10 for _, told in play.told)
    last, seen = T + (SETTLED + 3) * STEP, len(play.told)
    for second in range(300):  # five minutes of silence
        play.ledger.look(last + second * SECOND)
    assert play.state == "unknown" and len(play.told) == seen
    play.rounds(last + 300 * SECOND, SETTLED - 1, idle=99.0)
    assert len(play.told) == seen  # its end says nothing either, until it has settled
    play.rounds(last + 300 * SECOND + (SETTLED - 1) * STEP, 1, idle=99.0)
    assert len(play.told) == seen + 1


def test_a_burst_of_late_points_moves_nothing_now():
    play = Play()
    play.rounds(T, 6)
    seen, end = len(play.told), T + 300 * SECOND
    for second in range(0, 300, 10):
        play.ledger.look(T + 60 * SECOND + second * SECOND)
    for n in range(6, 30):  # five minutes of points at once
        play.point(T + n * STEP, end, idle=99.0)
    assert len(play.told) - seen <= 1 and play.state in ("settling", "unknown")
    assert all(told.age <= 15 * SECOND for _, told in play.told)
    assert play.ledger.hosts["h1"].clock.off == 0


@pytest.mark.parametrize("off", [-3600 * SECOND, 3600 * SECOND, -30 * SECOND, 90 * SECOND])
def test_a_clock_that_is_off_is_found_and_its_figures_are_of_now(off):
    """`off`: by how much our clock is ahead of the sender's."""
    play = Play()
    play.rounds(T, 20, off=off)
    assert abs(play.ledger.hosts["h1"].clock.off - off) <= SECOND
    assert play.state == "fresh" and 0 <= play.told[-1][1].age <= SECOND
    assert len(play.told) >= 20 - 5 - SETTLED - 1


def test_a_clock_beyond_a_day_is_never_believed():
    play = Play()
    play.rounds(T, 20, off=3 * 24 * 3600 * SECOND)
    assert not play.told
    ahead = Play()
    ahead.rounds(T, 20, off=-3 * 24 * 3600 * SECOND)
    assert not ahead.told and ahead.ledger.counts["clock ahead"] == 20


def test_order_and_repeats_change_nothing():
    rnd, plain, mixed = random.Random(4), Play(), Play()
    plain.rounds(T, 12)
    for n in range(12):
        came = T + n * STEP + SECOND // 10
        times = [T + n * STEP, *(T + rnd.randrange(0, n + 1) * STEP for _ in range(3))]
        for time in times:
            mixed.point(time, came)
        mixed.ledger.look(came)
    assert plain.told == mixed.told


@pytest.mark.parametrize(
    "rows, rates",
    [
        ([(0, 100), (10, 200), (20, 400)], [None, 10, 20]),
        ([(0, 2**32 - 50), (10, 50)], [None, 10]),  # 32 bits went round
        ([(0, 5000), (10, 20), (20, 120)], [None, None, 10]),  # began anew
        ([(0, 2**40), (10, 5), (20, 105)], [None, None, 10]),
        ([(0, 100), (10, float("nan")), (20, 300)], [None, None, 10]),
        ([(0, 100), (0, 900), (10, 200)], [None, None, 10]),
    ],
)
def test_counters_become_rates(rows, rates):
    series, found = Series(), []
    for time, raw in rows:
        found.append(series.rate if series.take(T + time * SECOND, packet.COUNTER, raw) else None)
    assert found == rates


@pytest.mark.parametrize("figure", [float("nan"), float("inf"), float("-inf")])
def test_no_figure_is_no_zero(figure):
    play = Play()
    play.rounds(T, 8, idle=figure)
    assert not play.told and play.state == "unknown"


@pytest.mark.parametrize("interval", [0, -5, SECOND // 100, 3600 * SECOND])
def test_absurd_intervals_are_counted(interval):
    play = Play()
    assert play.point(T, interval=interval) is None
    assert play.ledger.counts == {"absurd interval": 1} and not play.ledger.hosts["h1"].series


def test_a_figure_that_contradicts_our_own_sums_loses_until_it_agrees_again():
    play = Play()
    play.rounds(T, 6, idle=95.0)
    assert play.ledger.compare("h1", 0.3) is None and play.state == "fresh"
    assert play.ledger.compare("h1", 0.9) == "contradicted"
    seen = len(play.told)
    play.rounds(T + 6 * STEP, 4, idle=95.0)
    assert len(play.told) == seen and play.state == "contradicted"
    play.rounds(T + 10 * STEP, 1, idle=10.0)
    assert play.ledger.compare("h1", 0.9) == "settling"
    play.rounds(T + 11 * STEP, SETTLED, idle=10.0)
    assert play.state == "fresh" and len(play.told) == seen + 1
    assert play.ledger.compare("h1", 0.1) is None  # busier than its server: another's work


def test_a_million_names_take_no_memory():
    play = Play(series=64)
    for n in range(100_000):
        play.point(T, host=f"stranger-{n}")
    for n in range(10_000):
        play.ledger.observe(ValueList("h1", f"p{n}", "", "t", "", T, STEP, (1,), (1.0,)), T, "h1")
    assert list(play.ledger.hosts) == ["h1"] and len(play.ledger.hosts["h1"].series) == 64
    assert play.ledger.counts["host that no server runs on"] == 100_000


def test_one_address_speaks_for_a_host_until_it_is_silent():
    ledger = HostTracker({"h1": "s1"})
    for n in range(6):
        ledger.observe(value(T + n * STEP, 25.0), T + n * STEP, "one")
        assert ledger.observe(value(T + n * STEP + SECOND, 99.0), T + n * STEP + SECOND, "two") is None
    assert ledger.hosts["h1"].busy == 0.75 and ledger.counts["second sender for a host"] == 6
    late = T + 20 * STEP
    ledger.observe(value(late, 50.0), late, "two")
    assert ledger.hosts["h1"].sender == "two"


def test_a_restarted_server_and_a_renamed_host_begin_anew():
    play = Play()
    play.rounds(T, 6)
    play.ledger.restarted("h1")
    assert play.state == "unknown" and play.ledger.hosts["h1"].busy is None
    seen = len(play.told)
    play.rounds(T + 6 * STEP, SETTLED - 1)
    assert len(play.told) == seen
    play.ledger.renamed({"new": "s1"})
    assert not play.ledger.hosts and play.point(T + 20 * STEP) is None


def test_no_state_but_fresh_speaks():
    assert {then for (_, what), (then, effect) in STATES.items() if effect == "tell"} == {"fresh"}
    assert all(what != "silent" or then == "unknown" for (_, what), (then, _) in STATES.items())


def test_other_plugins_are_shown_and_decide_nothing():
    play = Play()
    play.rounds(T, SETTLED + 1)
    seen, now = len(play.told), T + SETTLED * STEP
    for n in range(2):
        came = now + n * STEP
        play.point(came)
        for found in read(
            b"".join(
                (
                    collectd.series("h1", came, "load", "load", (1, 1.5), (1, 0.5), (1, 0.1)),
                    collectd.series("h1", came, "memory", "memory", (1, 4e9), instance="used"),
                    collectd.series("h1", came, "interface", "if_octets", (2, 5000 * n), (2, 1000 * n)),
                    collectd.series(
                        "h1", came, "tcpconns", "tcp_connections", (1, 7.0), instance="ESTABLISHED"
                    ),
                )
            )
        ):
            assert play.ledger.observe(found, came, "h1") is None
    assert len(play.told) == seen + 1
    shown = {name: value for name, host, value in play.ledger.figures(now + STEP) if host == "h1"}
    assert shown == {
        "evidence.busy": 0.75,
        "evidence.age": 0.0,
        "evidence.load": 1.5,
        "evidence.memory": 4e9,
        "evidence.octets": pytest.approx(600, rel=1e-6),
        "evidence.connections": 7.0,
    }
    assert play.ledger.figures(now + 600 * SECOND)  # until the passing of time has been looked at
    play.ledger.look(now + 600 * SECOND)
    assert play.ledger.figures(now + 600 * SECOND) == []


# What the decisions make of it.


def evidence(fleet, busy, age=0):
    return [interface.HostLoad(server, part, age) for server, part in zip(fleet.servers, busy)]


def play(busy=None, seconds=30, until=30):
    fleet = Fleet(servers=6, slices=36, demand=12, load_fields=("util",))
    fleet.load = {"util": 0.2}
    for second in range(seconds):
        if busy and second < until:
            fleet.handle(*evidence(fleet, busy))
        fleet.run(1)
    return fleet


def orders(fleet):
    return [(now, [type(order).__name__ for order in reply]) for now, reply in fleet.replies if reply]


def test_a_busy_host_is_relieved_and_an_idle_one_gains_nothing():
    plain, busy, idle = play(), play([0.95, 0.2, 0.2, 0.2, 0.2, 0.2]), play([0.01] * 6)
    count = [[len(fleet.slices_of(server)) for server in fleet.servers] for fleet in (plain, busy, idle)]
    assert count[1][0] < count[0][0] and count[2] == count[0]
    assert idle.tables.values() and [sorted(s.name for s in t) for t in idle.tables.values()] == [
        sorted(s.name for s in t) for t in plain.tables.values()
    ]


def test_old_figures_and_silence_move_nothing():
    old = Fleet(servers=6, slices=36, demand=12, load_fields=("util",))
    plain = play(seconds=10)
    old.load = {"util": 0.2}
    for _ in range(10):
        old.handle(*evidence(old, [0.95] * 6, age=300 * SECOND))
        old.run(1)
    assert [sorted(s.name for s in t) for t in old.tables.values()] == [
        sorted(s.name for s in t) for t in plain.tables.values()
    ]
    fleet = play([0.95, 0.2, 0.2, 0.2, 0.2, 0.2], seconds=40)
    fleet.run(20)
    before = [len(fleet.slices_of(server)) for server in fleet.servers]
    fleet.run(300)  # five minutes without a word
    after = [len(fleet.slices_of(server)) for server in fleet.servers]
    assert after[0] <= before[0]


# The sockets.


@pytest.fixture
def intake(tmp_path):
    made = []

    def build(**settings):
        path = tmp_path / "config.json"
        path.write_text(json.dumps(told()))
        service = Service(load(str(path), {}), FakeLoop(), RecordingLog())
        service.pilot = RecordingPilot()
        service.listed = service.discovery_client.parse_list(service.config.cached_list, "cached")
        usual = {"listen": "127.0.0.1:0", "accept": "any", "hosts": {"h1": "s1", "h2": "s2"}}
        block = Block(**(usual | settings))
        made.append(HostLoadReceiver(service, block))
        made[-1].time = T
        service.clock.now = lambda: made[-1].time
        return made[-1]

    yield build


def measured(intake):
    return [event for event in intake.service.pending_events if isinstance(event, interface.HostLoad)]


def rounds(intake, count, wrap=lambda data: data, **changes):
    for _ in range(count):
        intake.datagram(wrap(collectd.cpu("h1", intake.time, 25.0, **changes)), "127.0.0.9")
        intake.time += STEP


def test_datagrams_become_events_with_their_age(intake):
    made = intake()
    rounds(made, SETTLED + 2, processors=4)
    assert [(event.server.name, event.busy) for event in measured(made)][-1] == ("s1", 0.75)
    assert all(0 <= event.age <= SECOND for event in measured(made))


def test_signed_ones_alone_played_again_or_of_strangers_are_dropped(intake, tmp_path):
    keys = tmp_path / "keys"
    keys.write_text("anna: secret\n")
    made = intake(accept="signed", keys=str(keys))
    made.read_keys()
    rounds(made, 3)
    assert made.ledger.counts == {"unsigned": 3} and not made.ledger.hosts
    data = collectd.signed(collectd.cpu("h1", made.time, 25.0), "anna", "secret")
    for _ in range(5):
        made.datagram(data, "127.0.0.9")
    assert made.ledger.counts["played again"] == 4
    rounds(made, SETTLED + 2, wrap=lambda data: collectd.encrypted(data, "anna", "secret"))
    assert measured(made)
    keys.write_text("anna: changed it\n")  # keys change in service
    made.read_keys()
    before = len(measured(made))
    rounds(made, 2, wrap=lambda data: collectd.signed(data, "anna", "secret"))
    assert made.ledger.counts["signature does not match"] == 2 and len(measured(made)) == before
    rounds(made, 1, wrap=lambda data: collectd.signed(data, "anna", "changed it"))
    assert len(measured(made)) > before
    keys.unlink()
    made.read_keys()
    rounds(made, 1, wrap=lambda data: collectd.signed(data, "anna", "changed it"))
    assert len(measured(made)) > before + 1  # the old keys stay in force


def test_a_strangers_flood_costs_others_nothing(intake):
    made, junk = intake(packets=50), b"\0\0\0\x09junk\0"
    for _ in range(SETTLED + 2):
        for n in range(5000):
            made.datagram(junk, "127.0.0.66")
        rounds(made, 1)
    assert measured(made) and made.ledger.counts["datagrams beyond the pace of a source"] == 5 * 4950
    assert len(made.seen) <= SEEN and len(made.pace.sources) <= 256


def test_a_figure_of_a_server_that_no_list_names_brings_none(intake):
    made = intake(hosts={"h1": "nobody"})
    rounds(made, SETTLED + 2)
    assert not measured(made) and made.ledger.counts["a server that no list names"] >= 1
    assert "nobody" not in made.service.registry.servers


def test_lines_are_a_second_way_in_and_a_restart_begins_anew(intake):
    made = intake(lines="127.0.0.1:0", listen="")
    for _ in range(SETTLED + 2):
        made.line(b"h1.cpu-0.cpu-idle 40 %d" % (made.time // SECOND), "127.0.0.9")
        made.line(b"h1.memory.memory-used 5e9 %d" % (made.time // SECOND), "127.0.0.9")
        made.time += STEP
    assert measured(made)[-1].busy == pytest.approx(0.6)
    server = made.service.registry.servers["s1"]
    made.tap(
        made.time,
        [interface.ServerList("delta", [interface.ServerEntry(server, "ready", 1.0, made.time)])],
        [],
        0,
    )
    assert made.ledger.hosts["h1"].state == "unknown"


def test_over_a_real_socket(intake):
    import uvloop

    made = intake()
    loop = uvloop.new_event_loop()
    made.service.loop, made.look = loop, lambda: None
    loop.run_until_complete(made.start())
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(SETTLED + 1):
            sender.sendto(collectd.cpu("h1", made.time, 25.0), made.at)

            async def until(time=made.time):
                while not made.ledger.hosts or made.ledger.hosts["h1"].newest < time:
                    await asyncio.sleep(0.002)

            loop.run_until_complete(asyncio.wait_for(until(), 30))
            made.time += STEP
    assert measured(made)
    made.stop()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
