"""The pilot's own figures: stable names, whole batches, bounded spool, gaps that are gaps."""

import json
import math
import re
from pathlib import Path
from types import SimpleNamespace

import pytest

from flintreach.standins.graphite import Receiver
from flintreach.standins.platform import listing, row
from flintreach.standins.program import Program
from flintreach.standins.relay import Relay
from flintreach.telemetry import names
from flintreach.telemetry.block import Block
from flintreach.telemetry.graphite import STATES, Graphite, Spool, pickled, plain
from flintreach.telemetry.history import SLOTS, STEP, Disk, Ring
from flintreach.telemetry.sender import Telemetry

KEPT = Path(__file__).with_name("kept_names.txt")


def test_no_name_has_changed_or_vanished():
    kept = KEPT.read_text().splitlines()
    now = [f"{name.name} {name.kind} {name.unit}" for name in names.NAMES]
    assert [line for line in kept if line not in now] == []
    assert len(set(names.sent())) == len(names.sent())
    assert all(re.fullmatch(r"[a-z]+\.[a-z]+", name.name) for name in names.NAMES)


def test_the_operators_page_is_made_from_the_table():
    assert names.page() in Path("docs/telemetry.md").read_text()


class Clock:
    def __init__(self):
        self.due = []

    def retry_later(self, failures, do):
        self.due.append((failures, do))

    def start_timeout(self, wait, do):
        timer = type("Timer", (), {"off": False, "cancel": lambda timer: setattr(timer, "off", True)})()
        self.due.append((timer, do))
        return timer


class Transport:
    """It takes so many bytes at once; the rest waits."""

    def __init__(self, takes=10**9):
        self.taken, self.waits, self.takes, self.closed = b"", b"", takes, False

    def set_write_buffer_limits(self, high):
        assert high == 0

    def write(self, data):
        self.waits += data
        self.drain(self.takes)

    def drain(self, number):
        self.taken, self.waits = self.taken + self.waits[:number], self.waits[number:]

    def get_write_buffer_size(self):
        return len(self.waits)

    def abort(self):
        self.closed = True


@pytest.fixture
def graphite():
    service = type("Service", (), {"clock": Clock(), "modes": []})()
    service.log_state = lambda *told: service.modes.append(told)
    made = Graphite(service, "127.0.0.1:9", 1000)
    made.state = "dialling"
    return made


def test_one_batch_is_under_way_and_a_torn_one_is_sent_again_whole(graphite):
    first, again = Transport(takes=5), Transport()
    graphite.connection_made(first)
    graphite.put(b"a 1 1\na 2 2\n")
    graphite.put(b"b 1 1\n")
    assert first.taken == b"a 1 1" and graphite.flight and graphite.batches == 0
    graphite.connection_lost(ConnectionResetError())
    assert graphite.state == "down" and graphite.spool.batches[0] == b"a 1 1\na 2 2\n"
    graphite.state = "dialling"
    graphite.connection_made(again)
    assert again.taken == b"a 1 1\na 2 2\nb 1 1\n" and graphite.batches == 2


def test_a_receiver_that_reads_nothing_is_let_go_and_costs_the_oldest(graphite):
    deaf = Transport(takes=0)
    graphite.connection_made(deaf)
    for n in range(50):
        graphite.put(b"%050d\n" % n)
    assert graphite.dropped > 0 and graphite.spool.size <= 1000
    timer, do = graphite.service.clock.due[-1]
    do()
    assert graphite.state == "down" and deaf.closed
    assert len(graphite.spool.batches) * 51 == graphite.spool.size
    assert b"%050d\n" % 49 in graphite.spool.batches


def test_pauses_grow_and_nothing_comes_back_from_a_stop(graphite):
    graphite.lost("refused")
    graphite.state = "dialling"
    graphite.lost("refused")
    assert [failures for failures, _ in graphite.service.clock.due] == [4, 5]
    graphite.stop()
    graphite.start()
    assert graphite.state == "stopped" and not any(state == "stopped" for state, _ in STATES)


def test_a_spool_is_bounded_whatever_comes():
    spool = Spool(100)
    dropped = sum(spool.put(b"x" * n) for n in (*range(0, 60, 7), 200, 99, 1))
    assert spool.size <= 100 and dropped > 0 and spool.size == sum(map(len, spool.batches))


def test_both_protocols_say_the_same():
    import pickle

    rows = [("a.b;x=y", 17, 2.5), ("c", 17, 3)]
    assert [line.split() for line in plain(rows).decode().splitlines()] == [
        ["a.b;x=y", "2.5", "17"],
        ["c", "3", "17"],
    ]
    assert pickle.loads(pickled(rows)[4:]) == [(name, (when, value)) for name, when, value in rows]


# The history.


def test_a_gap_is_a_gap_in_memory_and_on_disk(tmp_path):
    ring, disk, now = Ring(), Disk(str(tmp_path)), 1_700_000_000
    for slot in (*range(0, 10), *range(40, 50)):  # five minutes without a point between
        ring.put(now + slot * STEP, float(slot))
        disk.put(now + slot * STEP, {"a.b": float(slot), "c": 1.0})
    end = now + 49 * STEP
    held = [value for _, value in ring.last(end, 50)]
    assert [slot for slot, value in enumerate(held) if math.isnan(value)] == list(range(10, 40))
    found = disk.read(end, 50 * STEP)
    assert set(found) == {"a.b", "c"}
    values = [value for _, value in found["a.b"]]
    assert values.count(None) == 30 and 0.0 not in values[1:] and values[-1] == 49.0


def test_the_history_holds_an_hour_and_no_more(tmp_path):
    ring, disk, now = Ring(), Disk(str(tmp_path)), 1_700_000_000
    for slot in range(2 * SLOTS):
        ring.put(now + slot * STEP, float(slot))
    assert ring.last(now + (2 * SLOTS - 1) * STEP, SLOTS)[0][1] == float(SLOTS)
    disk.put(now, {"a": 1.0})
    size = disk.file("a").stat().st_size
    for slot in range(0, 2 * SLOTS, 50):
        disk.put(now + slot * STEP, {"a": 1.0})
    assert disk.file("a").stat().st_size == size


def test_files_torn_or_cut_off_are_made_anew(tmp_path):
    disk, now = Disk(str(tmp_path)), 1_700_000_000
    disk.put(now, {"a": 1.0, "b": 2.0})
    disk.file("a").write_bytes(b"")
    disk.file("b").write_bytes(b"torn")
    for slot in (1, 2):
        disk.put(now + slot * STEP, {"a": 3.0, "b": 4.0})
    found = disk.read(now + 2 * STEP, 3 * STEP)
    assert found["a"][-1][1] == 3.0 and found["b"][-1][1] == 4.0


def test_a_full_disk_is_said_once_and_the_hour_in_memory_goes_on(tmp_path):
    service = SimpleNamespace(
        modes=[],
        turn_observers=[],
        gauge_sources=[],
        tagged_gauge_sources=[],
        config=SimpleNamespace(name="p"),
        loop=SimpleNamespace(
            run_in_executor=lambda pool, do, *values: do(*values),
            call_soon_threadsafe=lambda do, *values: do(*values),
        ),
        clock=SimpleNamespace(call_later=lambda wait, do: None),
    )
    service.log_state = lambda *told: service.modes.append(told)
    times = iter(range(1_700_000_000 * 10**9, 10**20, 5 * 10**9))
    made = Telemetry(service, Block(history=str(tmp_path)), lambda: next(times))
    made.measures.snapshot = lambda: {"turns.count": 5.0}

    def full(when, values):
        raise OSError(28, "No space left on device")

    write, made.disk.put = made.disk.put, full
    for _ in range(4):
        made.send()
    assert {told[:2] for told in service.modes} == {("history", "not written")}
    made.disk.put = write
    made.send()
    assert service.modes[-1][:2] == ("history", "written")
    held = [value for _, value in made.rings["turns.count"].last(made.rings["turns.count"].newest * STEP, 5)]
    assert held == [5.0] * 5 and not made.writing


@pytest.mark.parametrize(
    "millis, told",
    [
        ((999, 1009, 2000, 2999, 3010), [1, 2, 3]),
        ((1000, 2000, 1000), [1, 2, 1]),
        ((1000, 1499, 1501), [1, 2]),
    ],
)
def test_a_timer_that_fires_early_tells_no_second_twice(millis, told):
    """Also with a clock that is put back: it goes on from there."""
    service = SimpleNamespace(
        turn_observers=[],
        gauge_sources=[],
        tagged_gauge_sources=[],
        config=SimpleNamespace(name="p"),
        clock=SimpleNamespace(call_later=lambda wait, do: None),
    )
    times = iter([at * 10**6 for at in millis for _ in range(2)])
    made = Telemetry(service, Block(every=10**9), lambda: next(times))
    made.measures.snapshot = lambda: {"turns.count": 5.0}
    seen = []
    made.rings["turns.count"] = SimpleNamespace(put=lambda when, value: seen.append(when))
    for _ in millis:
        made.send()
    assert seen == told


# The program with a receiver.


@pytest.fixture
def start(tmp_path):
    ends = []

    def build(protocol="plaintext", more="", cores=""):
        receiver = Receiver(protocol)
        own = (
            f'telemetry {{\n graphite = "127.0.0.1:{receiver.port}"\n every = "1s"\n'
            f' protocol = "{protocol}"\n{more}}}\n{cores}'
        )
        program = Program(tmp_path, own, Relay(spread=lambda n: f"s{n % 4}"))
        ends.append((program, receiver))
        return program, receiver

    yield build
    for program, receiver in ends:
        program.end()
        program.relay.close()
        receiver.close()


def values(receiver, name):
    return {
        when: value for path, value, when in receiver.lines if path.partition(";")[0] == f"flintreach.{name}"
    }


@pytest.mark.parametrize("protocol", ["plaintext", "pickle"])
def test_figures_come_on_whole_seconds_under_known_names(start, protocol):
    program, receiver = start(protocol, ' tags = { "site" = "north" }\n')
    program.ready()
    receiver.wait(lambda: len(values(receiver, "turns.count")) >= 2)
    known = {f"flintreach.{name};pilot=p0;site=north" for name in names.sent()}
    assert {path for path, _, _ in receiver.lines} <= known
    whens = [when for path, _, when in receiver.lines if "turns.count;" in path]
    assert len(whens) == len(set(whens))


def test_a_receiver_that_resets_and_one_that_is_deaf_cost_no_turn_and_no_torn_line(start):
    program, receiver = start()
    receiver.script(cut=300)  # in the midst of each batch
    program.ready()
    receiver.wait(lambda: receiver.connections >= 2)
    program.discovery.tell(listing(0, 2, False, endpoints=[row(1, "draining")]))
    program.relay.wait(lambda calls: any({"op": "OUT", "target": "s1"} in call.orders for call in calls))
    receiver.script()
    receiver.wait(lambda: values(receiver, "orders.shut"))
    known = {f"flintreach.{name};pilot=p0" for name in names.sent()}
    assert {path for path, _, _ in receiver.lines} <= known  # nothing was glued together
    count = {}
    for path, value, when in receiver.lines:
        assert count.setdefault((path, when), value) == value  # sent again, a point replaces itself
    receiver.script(deaf=True)
    program.discovery.tell(listing(0, 3, False, endpoints=[row(2, "draining")]))
    program.relay.wait(lambda calls: any({"op": "OUT", "target": "s2"} in call.orders for call in calls))
    assert program.relay.audit() == []


def test_figures_of_all_workers_add_up_once(start):
    program, receiver = start(cores="cores {\n workers = 2\n}\n")
    program.ready()
    hot = {
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
        peer.send(b'{"msg":"agent","site":"north"}\n' + (json.dumps(hot).encode() + b"\n") * 25)
    receiver.wait(lambda: max(values(receiver, "reports.tries").values(), default=0) >= 700)
    assert max(values(receiver, "reports.tries").values()) == 700
    assert max(values(receiver, "reports.unanswered").values()) == 100
    receiver.wait(lambda: max(values(receiver, "clients.collectors").values(), default=0) == 4)
    receiver.wait(lambda: max(values(receiver, "reports.lines").values(), default=0) >= 105)
    assert max(values(receiver, "reports.lines").values()) == 105  # with the zones and the question
