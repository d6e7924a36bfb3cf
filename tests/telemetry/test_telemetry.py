"""The pilot's own metrics: stable names, complete batches, a bounded spool and recorded gaps."""

import json
import math
import re
from pathlib import Path
from types import SimpleNamespace

import pytest

from flintreach.standins.graphite import Receiver
from flintreach.standins.platform import endpoint_entry, endpoint_list
from flintreach.standins.program import Program
from flintreach.standins.relay import Relay
from flintreach.telemetry import names
from flintreach.telemetry.block import Block
from flintreach.telemetry.graphite import STATES, GraphiteClient, Spool, encode_pickle, encode_plaintext
from flintreach.telemetry.history import SLOT_COUNT, SLOT_SECONDS, DiskHistory, Ring
from flintreach.telemetry.sender import Telemetry

RELEASED_NAMES = Path(__file__).with_name("kept_names.txt")


def test_no_released_name_has_changed_or_been_removed():
    released = RELEASED_NAMES.read_text().splitlines()
    current = [f"{metric.name} {metric.kind} {metric.unit}" for metric in names.METRICS]
    assert [line for line in released if line not in current] == []
    assert len(set(names.metric_paths())) == len(names.metric_paths())
    assert all(re.fullmatch(r"[a-z]+\.[a-z]+", metric.name) for metric in names.METRICS)


def test_the_operators_page_contains_the_table():
    assert names.metrics_table() in Path("docs/telemetry.md").read_text()


class FakeClock:
    """Records what is scheduled; nothing fires by itself."""

    def __init__(self):
        self.scheduled = []

    def retry_later(self, failures, callback):
        self.scheduled.append((failures, callback))

    def start_timeout(self, wait, callback):
        attributes = {"cancelled": False, "cancel": lambda timer: setattr(timer, "cancelled", True)}
        timer = type("Timer", (), attributes)()
        self.scheduled.append((timer, callback))
        return timer


class FakeTransport:
    """Writes up to `write_limit` bytes of each call at once and leaves the rest in the buffer."""

    def __init__(self, write_limit=10**9):
        self.written, self.buffered, self.write_limit, self.closed = b"", b"", write_limit, False

    def set_write_buffer_limits(self, high):
        assert high == 0

    def write(self, data):
        self.buffered += data
        self.flush(self.write_limit)

    def flush(self, number):
        self.written, self.buffered = self.written + self.buffered[:number], self.buffered[number:]

    def get_write_buffer_size(self):
        return len(self.buffered)

    def abort(self):
        self.closed = True


@pytest.fixture
def graphite():
    """Return a client whose connection is being established."""
    service = type("Service", (), {"clock": FakeClock(), "logged": []})()
    service.log_state = lambda *entry: service.logged.append(entry)
    client = GraphiteClient(service, "127.0.0.1:9", 1000)
    client.state = "dialling"
    return client


def test_an_interrupted_batch_is_sent_again_in_full(graphite):
    """A batch that a reset cut off must not be lost or continued in the middle of a line."""
    first, second = FakeTransport(write_limit=5), FakeTransport()
    graphite.connection_made(first)
    graphite.put(b"a 1 1\na 2 2\n")
    graphite.put(b"b 1 1\n")
    assert first.written == b"a 1 1" and graphite.in_flight and graphite.sent_batches == 0
    graphite.connection_lost(ConnectionResetError())
    assert graphite.state == "down" and graphite.spool.batches[0] == b"a 1 1\na 2 2\n"
    graphite.state = "dialling"
    graphite.connection_made(second)
    assert second.written == b"a 1 1\na 2 2\nb 1 1\n" and graphite.sent_batches == 2


def test_a_receiver_that_reads_nothing_is_disconnected_and_the_oldest_batches_are_dropped(graphite):
    stalled = FakeTransport(write_limit=0)
    graphite.connection_made(stalled)
    for n in range(50):
        graphite.put(b"%050d\n" % n)
    assert graphite.dropped > 0 and graphite.spool.size <= 1000
    _, time_out = graphite.service.clock.scheduled[-1]
    time_out()
    assert graphite.state == "down" and stalled.closed
    assert len(graphite.spool.batches) * 51 == graphite.spool.size
    assert b"%050d\n" % 49 in graphite.spool.batches


def test_retry_delays_grow_and_a_stopped_client_does_not_reconnect(graphite):
    graphite.disconnect("refused")
    graphite.state = "dialling"
    graphite.disconnect("refused")
    assert [failures for failures, _ in graphite.service.clock.scheduled] == [4, 5]
    graphite.stop()
    graphite.start()
    assert graphite.state == "stopped" and not any(state == "stopped" for state, _ in STATES)


def test_a_spool_stays_within_its_size_limit():
    spool = Spool(100)
    dropped = sum(spool.put(b"x" * n) for n in (*range(0, 60, 7), 200, 99, 1))
    assert spool.size <= 100 and dropped > 0 and spool.size == sum(map(len, spool.batches))


def test_both_protocols_carry_the_same_points():
    import pickle

    rows = [("a.b;x=y", 17, 2.5), ("c", 17, 3)]
    assert [line.split() for line in encode_plaintext(rows).decode().splitlines()] == [
        ["a.b;x=y", "2.5", "17"],
        ["c", "3", "17"],
    ]
    assert pickle.loads(encode_pickle(rows)[4:]) == [(path, (time, value)) for path, time, value in rows]


# The history.


def test_gaps_are_recorded_in_memory_and_on_disk(tmp_path):
    ring, disk, now = Ring(), DiskHistory(str(tmp_path)), 1_700_000_000
    for slot in (*range(0, 10), *range(40, 50)):  # five minutes without a point in between
        ring.put(now + slot * SLOT_SECONDS, float(slot))
        disk.write(now + slot * SLOT_SECONDS, {"a.b": float(slot), "c": 1.0})
    end = now + 49 * SLOT_SECONDS
    in_memory = [value for _, value in ring.latest(end, 50)]
    assert [slot for slot, value in enumerate(in_memory) if math.isnan(value)] == list(range(10, 40))
    history = disk.read(end, 50 * SLOT_SECONDS)
    assert set(history) == {"a.b", "c"}
    on_disk = [value for _, value in history["a.b"]]
    assert on_disk.count(None) == 30 and 0.0 not in on_disk[1:] and on_disk[-1] == 49.0


def test_the_history_is_limited_to_an_hour(tmp_path):
    ring, disk, now = Ring(), DiskHistory(str(tmp_path)), 1_700_000_000
    for slot in range(2 * SLOT_COUNT):
        ring.put(now + slot * SLOT_SECONDS, float(slot))
    assert ring.latest(now + (2 * SLOT_COUNT - 1) * SLOT_SECONDS, SLOT_COUNT)[0][1] == float(SLOT_COUNT)
    disk.write(now, {"a": 1.0})
    size = disk.file("a").stat().st_size
    for slot in range(0, 2 * SLOT_COUNT, 50):
        disk.write(now + slot * SLOT_SECONDS, {"a": 1.0})
    assert disk.file("a").stat().st_size == size


def test_empty_or_damaged_files_are_created_again(tmp_path):
    disk, now = DiskHistory(str(tmp_path)), 1_700_000_000
    disk.write(now, {"a": 1.0, "b": 2.0})
    disk.file("a").write_bytes(b"")
    disk.file("b").write_bytes(b"damaged")
    for slot in (1, 2):
        disk.write(now + slot * SLOT_SECONDS, {"a": 3.0, "b": 4.0})
    history = disk.read(now + 2 * SLOT_SECONDS, 3 * SLOT_SECONDS)
    assert history["a"][-1][1] == 3.0 and history["b"][-1][1] == 4.0


def test_a_full_disk_is_logged_and_the_history_in_memory_continues(tmp_path):
    service = SimpleNamespace(
        logged=[],
        turn_observers=[],
        gauge_sources=[],
        tagged_gauge_sources=[],
        config=SimpleNamespace(name="p"),
        loop=SimpleNamespace(
            run_in_executor=lambda pool, function, *arguments: function(*arguments),
            call_soon_threadsafe=lambda function, *arguments: function(*arguments),
        ),
        clock=SimpleNamespace(call_later=lambda wait, callback: None),
    )
    service.log_state = lambda *entry: service.logged.append(entry)
    times = iter(range(1_700_000_000 * 10**9, 10**20, 5 * 10**9))
    telemetry = Telemetry(service, Block(history=str(tmp_path)), lambda: next(times))
    telemetry.metrics.snapshot = lambda: {"turns.count": 5.0}

    def fail_write(when, values):
        raise OSError(28, "No space left on device")

    write, telemetry.disk.write = telemetry.disk.write, fail_write
    for _ in range(4):
        telemetry.send()
    assert {entry[:2] for entry in service.logged} == {("history", "not written")}
    telemetry.disk.write = write
    telemetry.send()
    assert service.logged[-1][:2] == ("history", "written")
    ring = telemetry.rings["turns.count"]
    in_memory = [value for _, value in ring.latest(ring.newest * SLOT_SECONDS, 5)]
    assert in_memory == [5.0] * 5 and not telemetry.is_writing


@pytest.mark.parametrize(
    "milliseconds, expected",
    [
        ((999, 1009, 2000, 2999, 3010), [1, 2, 3]),
        ((1000, 2000, 1000), [1, 2, 1]),
        ((1000, 1499, 1501), [1, 2]),
    ],
)
def test_a_timer_that_fires_early_sends_no_second_twice(milliseconds, expected):
    """After the system clock has been set back, the timestamps continue from the new time."""
    service = SimpleNamespace(
        turn_observers=[],
        gauge_sources=[],
        tagged_gauge_sources=[],
        config=SimpleNamespace(name="p"),
        clock=SimpleNamespace(call_later=lambda wait, callback: None),
    )
    times = iter([at * 10**6 for at in milliseconds for _ in range(2)])
    telemetry = Telemetry(service, Block(every=10**9), lambda: next(times))
    telemetry.metrics.snapshot = lambda: {"turns.count": 5.0}
    sent = []
    telemetry.rings["turns.count"] = SimpleNamespace(put=lambda when, value: sent.append(when))
    for _ in milliseconds:
        telemetry.send()
    assert sent == expected


# The pilot with a Graphite receiver.


@pytest.fixture
def start(tmp_path):
    """Return a function that starts a pilot and its Graphite receiver."""
    started = []

    def start_program(protocol="plaintext", more="", cores=""):
        receiver = Receiver(protocol)
        settings = (
            f'telemetry {{\n graphite = "127.0.0.1:{receiver.port}"\n every = "1s"\n'
            f' protocol = "{protocol}"\n{more}}}\n{cores}'
        )
        program = Program(tmp_path, settings, Relay(initial_server=lambda n: f"s{n % 4}"))
        started.append((program, receiver))
        return program, receiver

    yield start_program
    for program, receiver in started:
        program.stop()
        program.relay.close()
        receiver.close()


def values(receiver, name):
    """Return the received values of a metric by their time."""
    return {
        when: value for path, value, when in receiver.lines if path.partition(";")[0] == f"flintreach.{name}"
    }


@pytest.mark.parametrize("protocol", ["plaintext", "pickle"])
def test_metrics_arrive_once_per_second_under_known_names(start, protocol):
    program, receiver = start(protocol, ' tags = { "site" = "north" }\n')
    program.connect_and_probe()
    receiver.wait(lambda: len(values(receiver, "turns.count")) >= 2)
    known = {f"flintreach.{name};pilot=p0;site=north" for name in names.metric_paths()}
    assert {path for path, _, _ in receiver.lines} <= known
    times = [when for path, _, when in receiver.lines if "turns.count;" in path]
    assert len(times) == len(set(times))


def test_a_failing_receiver_delays_no_orders_and_receives_no_partial_lines(start):
    program, receiver = start()
    receiver.script(reset_after=300)  # in the middle of each batch
    program.connect_and_probe()
    receiver.wait(lambda: receiver.connections >= 2)
    program.discovery.publish(endpoint_list(0, 2, False, endpoints=[endpoint_entry(1, "draining")]))
    program.relay.wait(lambda calls: any({"op": "OUT", "target": "s1"} in call.orders for call in calls))
    receiver.script()
    receiver.wait(lambda: values(receiver, "orders.shut"))
    known = {f"flintreach.{name};pilot=p0" for name in names.metric_paths()}
    assert {path for path, _, _ in receiver.lines} <= known  # no partial lines were joined
    points = {}
    for path, value, when in receiver.lines:
        # A point that is sent again has the same value.
        assert points.setdefault((path, when), value) == value
    receiver.script(stalled=True)
    program.discovery.publish(endpoint_list(0, 3, False, endpoints=[endpoint_entry(2, "draining")]))
    program.relay.wait(lambda calls: any({"op": "OUT", "target": "s2"} in call.orders for call in calls))
    assert program.relay.audit() == []


def test_the_metrics_of_all_workers_are_summed_without_duplicates(start):
    program, receiver = start(cores="cores {\n workers = 2\n}\n")
    program.connect_and_probe()
    report = {
        "msg": "outcomes",
        "site": "north",
        "target": "s1",
        "count": 7,
        "fail": 1,
        "mean": 5.0,
        "over": 1000.0,
    }
    for _ in range(4):
        peer = program.dial()
        peer.send(b'{"msg":"agent","site":"north"}\n' + (json.dumps(report).encode() + b"\n") * 25)
    receiver.wait(lambda: max(values(receiver, "reports.tries").values(), default=0) >= 700)
    assert max(values(receiver, "reports.tries").values()) == 700
    assert max(values(receiver, "reports.unanswered").values()) == 100
    receiver.wait(lambda: max(values(receiver, "clients.collectors").values(), default=0) == 4)
    receiver.wait(lambda: max(values(receiver, "reports.lines").values(), default=0) >= 105)
    assert max(values(receiver, "reports.lines").values()) == 105  # 100 reports, 4 greetings, 1 probe
