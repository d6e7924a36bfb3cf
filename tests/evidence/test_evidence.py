"""Host loads from collectd: parsing, clock offsets, bursts, silence, and the events that result."""

import asyncio
import json
import random
import socket

import pytest

from flintreach.evidence import packet
from flintreach.evidence.block import Block
from flintreach.evidence.packet import InputRejected, ValueList
from flintreach.evidence.receiver import REPLAY_WINDOW, HostLoadReceiver
from flintreach.evidence.tracker import SETTLING_POINTS, STATES, Bounds, HostTracker, Series
from flintreach.net.config import load
from flintreach.net.service import Service
from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND
from flintreach.standins import collectd
from flintreach.standins.platform import platform_config
from tests.helpers import FakeLoop, Fleet, RecordingLog, RecordingPilot

T = 1_700_000_000 * SECOND
KEYS = {"anna": "secret", "bo": "other"}
STEP = 10 * SECOND


def parse(data):
    """Return the value lists of a plain datagram."""
    return list(packet.parse_values(data))


# Parsing.


@pytest.mark.parametrize("high", [True, False])
def test_the_cpu_plugins_values_are_parsed(high):
    parsed = parse(collectd.cpu("h1", T, 25.0, processors=2, high=high))
    assert [(v.host, v.plugin, v.plugin_instance, v.type, v.type_instance, v.figures) for v in parsed] == [
        ("h1", "cpu", processor, "percent", cpu_state, (percent,))
        for processor in "01"
        for cpu_state, percent in (("user", 75.0), ("idle", 25.0))
    ]
    assert all(v.time - T in (0, 1) and abs(v.interval - STEP) <= 1 for v in parsed)


def test_all_value_types_are_parsed():
    rows = [(packet.COUNTER, 2**63 + 1), (packet.GAUGE, -1.5), (packet.DERIVE, -7), (packet.ABSOLUTE, 9)]
    (value,) = parse(collectd.series("h1", T, "x", "y", *rows))
    assert value.kinds == (0, 1, 2, 3) and value.figures == (2**63 + 1, -1.5, -7, 9)


def test_truncated_or_corrupted_datagrams_are_parsed_or_rejected():
    data, rnd = collectd.cpu("h1", T, 25.0, processors=2), random.Random(2)
    expected = parse(data)
    for length in range(len(data)):
        parsed = []
        try:
            for value in packet.parse_values(data[:length]):
                parsed.append(value)
        except InputRejected:
            pass
        assert parsed == expected[: len(parsed)]
    for offset in range(len(data)):
        corrupted = bytearray(data)
        corrupted[offset] = rnd.randrange(256)
        try:
            parse(bytes(corrupted))
        except InputRejected:
            pass


@pytest.mark.parametrize(
    "content, why",
    [
        (collectd.part(packet.TIME, b"123"), "wrong length"),
        (collectd.part(packet.HOST, b"abc"), "not terminated UTF-8"),
        (collectd.part(packet.HOST, b"x" * 200 + b"\0"), "too long"),
        (collectd.part(packet.HOST, b"\xff\xfe\0"), "not terminated UTF-8"),
        (collectd.part(packet.VALUES, b"\0\1"), "value count"),
        (collectd.part(packet.VALUES, b"\0\1\x09" + bytes(8)), "unknown value type"),
        (collectd.values((packet.GAUGE, 1.0)), "without a host"),
        (b"\0\0\0\3", "truncated datagram"),
        (
            collectd.name(packet.HOST, "h") + collectd.number(packet.TIME, 5) + collectd.values((1, 1.0)),
            "invalid interval",
        ),
        (collectd.series("h", T, "x", "y", (1, 1.0), interval=48 * 3600 * SECOND), "invalid interval"),
    ],
)
def test_rejections_name_their_reason(content, why):
    with pytest.raises(InputRejected, match=why):
        parse(content)


def test_unknown_part_types_are_skipped():
    data = collectd.part(0x0777, b"what") + collectd.cpu("h1", T, 25.0) + collectd.number(packet.SEVERITY, 1)
    assert len(parse(data)) == 2


@pytest.mark.parametrize("wrap", [collectd.signed, collectd.encrypted])
def test_authentication_detects_wrong_keys_and_any_changed_byte(wrap):
    content = collectd.cpu("h1", T, 25.0)
    data = wrap(content, "anna", "secret")
    assert packet.authenticate(data, KEYS, False) == (content, "anna")
    for user, key, why in (
        ("anna", "wrong", "signature does not match|checksum mismatch"),
        ("eve", "secret", "unknown user"),
    ):
        with pytest.raises(InputRejected, match=why):
            packet.authenticate(wrap(content, user, key), KEYS, False)
    for offset in range(len(data)):
        corrupted = bytearray(data)
        corrupted[offset] ^= 0x20
        try:
            plain, user = packet.authenticate(bytes(corrupted), KEYS, False)
        except InputRejected:
            continue
        raise AssertionError(f"a change of byte {offset} was not detected: {plain!r} {user}")
    for length in range(len(data)):
        with pytest.raises(InputRejected):
            packet.authenticate(data[:length], KEYS, False)


def test_unsigned_datagrams_need_the_operators_consent():
    content = collectd.cpu("h1", T, 25.0)
    with pytest.raises(InputRejected, match="unsigned datagram"):
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
def test_malformed_lines_are_rejected(text):
    with pytest.raises(InputRejected):
        packet.parse_line(text)


# The tracker.


def value_list(time, idle=25.0, host="h1", what="idle", interval=STEP, plugin="cpu", kind=packet.GAUGE):
    """Return the idle percentage of processor 0 as a value list."""
    return ValueList(host, plugin, "0", "percent", what, time, interval, (kind,), (idle,))


class TrackerRun:
    """Feeds a tracker and records the loads that it passes on."""

    def __init__(self, **bounds):
        self.tracker = HostTracker({"h1": "s1", "h2": "s2"}, Bounds(**bounds))
        self.samples = []

    def add_point(self, time, arrival=None, **changes):
        """Enter a data point measured at `time`, which arrives at once unless `arrival` is given."""
        arrival = time if arrival is None else arrival
        sample = self.tracker.observe(value_list(time, **changes), arrival, changes.get("host", "h1"))
        if sample:
            self.samples.append((arrival, sample))
        return sample

    def add_points(self, first, count, delay=SECOND // 10, offset=0, **changes):
        """Enter data points at their regular pace, by a sender's clock that is `offset` behind ours."""
        for n in range(count):
            measured = first + n * STEP
            self.add_point(measured - offset, measured + delay, **changes)
            self.tracker.update_ages(measured + delay)

    @property
    def state(self):
        return self.tracker.hosts["h1"].state


def test_a_host_settles_ages_and_becomes_unknown_and_silence_passes_on_no_load():
    run = TrackerRun()
    run.add_points(T, SETTLING_POINTS - 1)
    assert run.state == "settling" and not run.samples
    run.add_points(T + (SETTLING_POINTS - 1) * STEP, 5)
    assert run.state == "fresh" and len(run.samples) == 5
    assert all(sample.busy == 0.75 and sample.age == SECOND // 10 for _, sample in run.samples)
    last, seen = T + (SETTLING_POINTS + 3) * STEP, len(run.samples)
    for second in range(300):  # five minutes of silence
        run.tracker.update_ages(last + second * SECOND)
    assert run.state == "unknown" and len(run.samples) == seen
    run.add_points(last + 300 * SECOND, SETTLING_POINTS - 1, idle=99.0)
    assert len(run.samples) == seen  # nor does the end of the silence, until the host has settled
    run.add_points(last + 300 * SECOND + (SETTLING_POINTS - 1) * STEP, 1, idle=99.0)
    assert len(run.samples) == seen + 1


def test_a_burst_of_delayed_points_does_not_change_the_current_load():
    """A sender that was cut off delivers its backlog at once; only its last point describes the present."""
    run = TrackerRun()
    run.add_points(T, 6)
    seen, end = len(run.samples), T + 300 * SECOND
    for second in range(0, 300, 10):
        run.tracker.update_ages(T + 60 * SECOND + second * SECOND)
    for n in range(6, 30):  # four minutes of points at once
        run.add_point(T + n * STEP, end, idle=99.0)
    assert len(run.samples) - seen <= 1 and run.state in ("settling", "unknown")
    assert all(sample.age <= 15 * SECOND for _, sample in run.samples)
    assert run.tracker.hosts["h1"].clock.offset == 0


@pytest.mark.parametrize("offset", [-3600 * SECOND, 3600 * SECOND, -30 * SECOND, 90 * SECOND])
def test_a_clock_offset_is_detected_and_corrected(offset):
    """`offset` is our time minus the sender's."""
    run = TrackerRun()
    run.add_points(T, 20, offset=offset)
    assert abs(run.tracker.hosts["h1"].clock.offset - offset) <= SECOND
    assert run.state == "fresh" and 0 <= run.samples[-1][1].age <= SECOND
    assert len(run.samples) >= 20 - 5 - SETTLING_POINTS - 1


def test_a_clock_offset_of_more_than_a_day_is_rejected():
    run = TrackerRun()
    run.add_points(T, 20, offset=3 * 24 * 3600 * SECOND)
    assert not run.samples
    ahead = TrackerRun()
    ahead.add_points(T, 20, offset=-3 * 24 * 3600 * SECOND)
    assert not ahead.samples and ahead.tracker.counts["sender clock ahead"] == 20


def test_duplicates_and_reordering_do_not_change_the_result():
    rnd, plain, mixed = random.Random(4), TrackerRun(), TrackerRun()
    plain.add_points(T, 12)
    for n in range(12):
        arrival = T + n * STEP + SECOND // 10
        times = [T + n * STEP, *(T + rnd.randrange(0, n + 1) * STEP for _ in range(3))]
        for time in times:
            mixed.add_point(time, arrival)
        mixed.tracker.update_ages(arrival)
    assert plain.samples == mixed.samples


@pytest.mark.parametrize(
    "rows, rates",
    [
        ([(0, 100), (10, 200), (20, 400)], [None, 10, 20]),
        ([(0, 2**32 - 50), (10, 50)], [None, 10]),  # a 32-bit counter wraps around
        ([(0, 5000), (10, 20), (20, 120)], [None, None, 10]),  # the counter is reset
        ([(0, 2**40), (10, 5), (20, 105)], [None, None, 10]),
        ([(0, 100), (10, float("nan")), (20, 300)], [None, None, 10]),
        ([(0, 100), (0, 900), (10, 200)], [None, None, 10]),
    ],
)
def test_counters_become_rates(rows, rates):
    series, computed = Series(), []
    for time, raw in rows:
        computed.append(series.rate if series.update(T + time * SECOND, packet.COUNTER, raw) else None)
    assert computed == rates


@pytest.mark.parametrize("idle", [float("nan"), float("inf"), float("-inf")])
def test_non_finite_values_are_not_taken_for_zero(idle):
    run = TrackerRun()
    run.add_points(T, 8, idle=idle)
    assert not run.samples and run.state == "unknown"


@pytest.mark.parametrize("interval", [0, -5, SECOND // 100, 3600 * SECOND])
def test_intervals_out_of_bounds_are_counted(interval):
    run = TrackerRun()
    assert run.add_point(T, interval=interval) is None
    assert run.tracker.counts == {"interval out of bounds": 1} and not run.tracker.hosts["h1"].series


def test_a_load_that_contradicts_the_servers_own_is_unused_until_they_agree():
    """A host that seems much idler than its server is another machine or reports stale values."""
    run = TrackerRun()
    run.add_points(T, 6, idle=95.0)
    assert run.tracker.compare("h1", 0.3) is None and run.state == "fresh"
    assert run.tracker.compare("h1", 0.9) == "contradicted"
    seen = len(run.samples)
    run.add_points(T + 6 * STEP, 4, idle=95.0)
    assert len(run.samples) == seen and run.state == "contradicted"
    run.add_points(T + 10 * STEP, 1, idle=10.0)
    assert run.tracker.compare("h1", 0.9) == "settling"
    run.add_points(T + 11 * STEP, SETTLING_POINTS, idle=10.0)
    assert run.state == "fresh" and len(run.samples) == seen + 1
    # Other processes may keep the host busier than its server.
    assert run.tracker.compare("h1", 0.1) is None


def test_invented_names_take_no_memory():
    run = TrackerRun(series=64)
    for n in range(100_000):
        run.add_point(T, host=f"unknown-{n}")
    for n in range(10_000):
        run.tracker.observe(ValueList("h1", f"p{n}", "", "t", "", T, STEP, (1,), (1.0,)), T, "h1")
    assert list(run.tracker.hosts) == ["h1"] and len(run.tracker.hosts["h1"].series) == 64
    assert run.tracker.counts["host not mapped to a server"] == 100_000


def test_a_host_has_one_sender_until_that_sender_falls_silent():
    """Two senders with the same host name must not mix their values."""
    tracker = HostTracker({"h1": "s1"})
    for n in range(6):
        tracker.observe(value_list(T + n * STEP, 25.0), T + n * STEP, "one")
        assert tracker.observe(value_list(T + n * STEP + SECOND, 99.0), T + n * STEP + SECOND, "two") is None
    assert tracker.hosts["h1"].busy == 0.75 and tracker.counts["second sender for a host"] == 6
    late = T + 20 * STEP
    tracker.observe(value_list(late, 50.0), late, "two")
    assert tracker.hosts["h1"].sender == "two"


def test_a_restarted_server_and_a_renamed_host_lose_their_state():
    run = TrackerRun()
    run.add_points(T, 6)
    run.tracker.server_restarted("h1")
    assert run.state == "unknown" and run.tracker.hosts["h1"].busy is None
    seen = len(run.samples)
    run.add_points(T + 6 * STEP, SETTLING_POINTS - 1)
    assert len(run.samples) == seen
    run.tracker.set_hosts({"new": "s1"})
    assert not run.tracker.hosts and run.add_point(T + 20 * STEP) is None


def test_only_fresh_hosts_pass_on_their_load():
    assert {after for (_, what), (after, effect) in STATES.items() if effect == "tell"} == {"fresh"}
    assert all(what != "silent" or after == "unknown" for (_, what), (after, _) in STATES.items())


def test_other_plugins_are_exported_but_pass_on_no_load():
    run = TrackerRun()
    run.add_points(T, SETTLING_POINTS + 1)
    seen, now = len(run.samples), T + SETTLING_POINTS * STEP
    for n in range(2):
        arrival = now + n * STEP
        run.add_point(arrival)
        for values in parse(
            b"".join(
                (
                    collectd.series("h1", arrival, "load", "load", (1, 1.5), (1, 0.5), (1, 0.1)),
                    collectd.series("h1", arrival, "memory", "memory", (1, 4e9), instance="used"),
                    collectd.series("h1", arrival, "interface", "if_octets", (2, 5000 * n), (2, 1000 * n)),
                    collectd.series(
                        "h1", arrival, "tcpconns", "tcp_connections", (1, 7.0), instance="ESTABLISHED"
                    ),
                )
            )
        ):
            assert run.tracker.observe(values, arrival, "h1") is None
    assert len(run.samples) == seen + 1
    exported = {name: value for name, host, value in run.tracker.gauges(now + STEP) if host == "h1"}
    assert exported == {
        "evidence.busy": 0.75,
        "evidence.age": 0.0,
        "evidence.load": 1.5,
        "evidence.memory": 4e9,
        "evidence.octets": pytest.approx(600, rel=1e-6),
        "evidence.connections": 7.0,
    }
    assert run.tracker.gauges(now + 600 * SECOND)  # until the ages are updated
    run.tracker.update_ages(now + 600 * SECOND)
    assert run.tracker.gauges(now + 600 * SECOND) == []


# The pilot's decisions.


def host_loads(fleet, busy, age=0):
    """Return a host load event for each server, with its busy share."""
    return [interface.HostLoad(server, share, age) for server, share in zip(fleet.servers, busy)]


def run_fleet(busy=None, seconds=30, until=30):
    """Run a fleet that receives the host loads `busy` each second before `until`."""
    fleet = Fleet(servers=6, slices=36, demand=12, load_fields=("util",))
    fleet.load = {"util": 0.2}
    for second in range(seconds):
        if busy and second < until:
            fleet.handle(*host_loads(fleet, busy))
        fleet.run(1)
    return fleet


def orders(fleet):
    return [(now, [type(order).__name__ for order in reply]) for now, reply in fleet.replies if reply]


def test_a_busy_host_loses_slices_and_an_idle_one_gains_none():
    plain, busy, idle = run_fleet(), run_fleet([0.95, 0.2, 0.2, 0.2, 0.2, 0.2]), run_fleet([0.01] * 6)
    count = [[len(fleet.slices_of(server)) for server in fleet.servers] for fleet in (plain, busy, idle)]
    assert count[1][0] < count[0][0] and count[2] == count[0]
    assert idle.tables.values() and [sorted(s.name for s in t) for t in idle.tables.values()] == [
        sorted(s.name for s in t) for t in plain.tables.values()
    ]


def test_outdated_loads_and_silence_move_no_slices():
    old = Fleet(servers=6, slices=36, demand=12, load_fields=("util",))
    plain = run_fleet(seconds=10)
    old.load = {"util": 0.2}
    for _ in range(10):
        old.handle(*host_loads(old, [0.95] * 6, age=300 * SECOND))
        old.run(1)
    assert [sorted(s.name for s in t) for t in old.tables.values()] == [
        sorted(s.name for s in t) for t in plain.tables.values()
    ]
    fleet = run_fleet([0.95, 0.2, 0.2, 0.2, 0.2, 0.2], seconds=40)
    fleet.run(20)
    before = [len(fleet.slices_of(server)) for server in fleet.servers]
    fleet.run(300)  # five minutes without a host load
    after = [len(fleet.slices_of(server)) for server in fleet.servers]
    assert after[0] <= before[0]


# The receiver.


@pytest.fixture
def build_receiver(tmp_path):
    """Return a function that builds a receiver without sockets, with a clock set through `time`."""
    receivers = []

    def build(**settings):
        path = tmp_path / "config.json"
        path.write_text(json.dumps(platform_config()))
        service = Service(load(str(path), {}), FakeLoop(), RecordingLog())
        service.pilot = RecordingPilot()
        service.listed = service.discovery_client.parse_list(service.config.cached_list, "cached")
        usual = {"listen": "127.0.0.1:0", "accept": "any", "hosts": {"h1": "s1", "h2": "s2"}}
        block = Block(**(usual | settings))
        receivers.append(HostLoadReceiver(service, block))
        receivers[-1].time = T
        service.clock.now = lambda: receivers[-1].time
        return receivers[-1]

    yield build


def host_load_events(receiver):
    return [event for event in receiver.service.pending_events if isinstance(event, interface.HostLoad)]


def send_rounds(receiver, count, wrap=lambda data: data, **changes):
    """Deliver rounds of the cpu plugin and advance the clock by one interval after each."""
    for _ in range(count):
        receiver.receive_datagram(wrap(collectd.cpu("h1", receiver.time, 25.0, **changes)), "127.0.0.9")
        receiver.time += STEP


def test_datagrams_become_events_with_their_age(build_receiver):
    receiver = build_receiver()
    send_rounds(receiver, SETTLING_POINTS + 2, processors=4)
    assert [(event.server.name, event.busy) for event in host_load_events(receiver)][-1] == ("s1", 0.75)
    assert all(0 <= event.age <= SECOND for event in host_load_events(receiver))


def test_unsigned_replayed_and_wrongly_signed_datagrams_are_dropped(build_receiver, tmp_path):
    keys = tmp_path / "keys"
    keys.write_text("anna: secret\n")
    receiver = build_receiver(accept="signed", keys=str(keys))
    receiver.load_keys()
    send_rounds(receiver, 3)
    assert receiver.tracker.counts == {"unsigned datagram": 3} and not receiver.tracker.hosts
    data = collectd.signed(collectd.cpu("h1", receiver.time, 25.0), "anna", "secret")
    for _ in range(5):
        receiver.receive_datagram(data, "127.0.0.9")
    assert receiver.tracker.counts["replayed datagram"] == 4
    send_rounds(receiver, SETTLING_POINTS + 2, wrap=lambda data: collectd.encrypted(data, "anna", "secret"))
    assert host_load_events(receiver)
    keys.write_text("anna: changed it\n")  # keys change while the program runs
    receiver.load_keys()
    before = len(host_load_events(receiver))
    send_rounds(receiver, 2, wrap=lambda data: collectd.signed(data, "anna", "secret"))
    assert receiver.tracker.counts["signature does not match"] == 2
    assert len(host_load_events(receiver)) == before
    send_rounds(receiver, 1, wrap=lambda data: collectd.signed(data, "anna", "changed it"))
    assert len(host_load_events(receiver)) > before
    keys.unlink()
    receiver.load_keys()
    send_rounds(receiver, 1, wrap=lambda data: collectd.signed(data, "anna", "changed it"))
    assert len(host_load_events(receiver)) > before + 1  # the old keys stay valid


def test_a_flood_from_one_source_does_not_affect_others(build_receiver):
    receiver, junk = build_receiver(packets=50), b"\0\0\0\x09junk\0"
    for _ in range(SETTLING_POINTS + 2):
        for n in range(5000):
            receiver.receive_datagram(junk, "127.0.0.66")
        send_rounds(receiver, 1)
    assert host_load_events(receiver)
    assert receiver.tracker.counts["datagrams over the rate limit of a source"] == 5 * 4950
    assert len(receiver.digests) <= REPLAY_WINDOW and len(receiver.rate_limiter.sources) <= 256


def test_a_host_load_does_not_register_an_unknown_server(build_receiver):
    receiver = build_receiver(hosts={"h1": "nobody"})
    send_rounds(receiver, SETTLING_POINTS + 2)
    assert not host_load_events(receiver)
    assert receiver.tracker.counts["server missing from the server list"] >= 1
    assert "nobody" not in receiver.service.registry.servers


def test_lines_become_events_and_a_restart_discards_the_load(build_receiver):
    receiver = build_receiver(lines="127.0.0.1:0", listen="")
    for _ in range(SETTLING_POINTS + 2):
        receiver.receive_line(b"h1.cpu-0.cpu-idle 40 %d" % (receiver.time // SECOND), "127.0.0.9")
        receiver.receive_line(b"h1.memory.memory-used 5e9 %d" % (receiver.time // SECOND), "127.0.0.9")
        receiver.time += STEP
    assert host_load_events(receiver)[-1].busy == pytest.approx(0.6)
    server = receiver.service.registry.servers["s1"]
    receiver.observe_turn(
        receiver.time,
        [interface.ServerList("delta", [interface.ServerEntry(server, "ready", 1.0, receiver.time)])],
        [],
        0,
    )
    assert receiver.tracker.hosts["h1"].state == "unknown"


def test_datagrams_over_a_real_socket_become_events(build_receiver):
    import uvloop

    receiver = build_receiver()
    loop = uvloop.new_event_loop()
    receiver.service.loop, receiver.check = loop, lambda: None
    loop.run_until_complete(receiver.start())
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(SETTLING_POINTS + 1):
            sender.sendto(collectd.cpu("h1", receiver.time, 25.0), receiver.datagram_address)

            async def wait_until_entered(time=receiver.time):
                while not receiver.tracker.hosts or receiver.tracker.hosts["h1"].newest < time:
                    await asyncio.sleep(0.002)

            loop.run_until_complete(asyncio.wait_for(wait_until_entered(), 30))
            receiver.time += STEP
    assert host_load_events(receiver)
    receiver.stop()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
