"""Tests of a pilot on several cores: its logic by cases, and its processes over loopback sockets."""

import asyncio
import contextlib
import gc
import itertools
import json
import os
import random
import signal
import socket
import threading
import time
from dataclasses import replace

import pytest
import uvloop

from flintreach.cores.aggregation import ReportAggregator, SendPacer
from flintreach.cores.block import Block
from flintreach.cores.frames import MAX_BODY_BYTES, RecordReader, RecordWriter, TornRecord
from flintreach.cores.lifecycle import TRANSITIONS, ConnectionOwners, Lifecycle
from flintreach.cores.worker_pool import WorkerPool
from flintreach.net import config as net_config
from flintreach.net.service import Service
from flintreach.pilot import interface, reports
from flintreach.pilot.interface import SECOND
from flintreach.policy.partition import Partition
from flintreach.policy.search import Search
from flintreach.standins.discovery import Discovery
from flintreach.standins.peer import Peer
from flintreach.standins.platform import endpoint_entry, endpoint_list, platform_config
from flintreach.standins.program import Program
from flintreach.standins.relay import Relay
from tests.helpers import Fleet, RecordingLog, RecordingPilot

TWO_WORKERS = 'cores {\n workers = 2\n hang = "1s"\n pause_first = "50ms"\n}\n'
AGENT_LINE = b'{"msg":"agent","site":"north"}\n'


def outcomes_line(server="s1", count=20, fail=0, mean=100.0, **changes):
    return (
        json.dumps(
            {
                "msg": "outcomes",
                "site": "north",
                "target": server,
                "count": count,
                "fail": fail,
                "mean": mean,
                "over": 1000.0,
                "util": {"cpu": 0.5},
            }
            | changes
        ).encode()
        + b"\n"
    )


# Record framing.


def test_a_record_cut_at_any_byte_is_dropped_and_those_before_it_count_once():
    writer, bodies = RecordWriter(), [b"a", b"", b"x" * 300]
    data = b"".join(map(writer.pack, bodies))
    ends = list(itertools.accumulate(len(body) + 12 for body in bodies))
    for cut in range(len(data) + 1):
        reader = RecordReader()
        whole = sum(end <= cut for end in ends)
        assert list(reader.feed(data[:cut])) == bodies[:whole]
        assert bool(reader.pending_bytes) == (cut not in (0, *ends))
    for size in (1, 5, 13):
        reader = RecordReader()
        pieces = [data[at : at + size] for at in range(0, len(data), size)]
        assert [body for piece in pieces for body in reader.feed(piece)] == bodies


@pytest.mark.parametrize(
    "spoil",
    [
        lambda one, two: one + one,
        lambda one, two: two,
        lambda one, two: one[:12] + b"?" + one[13:],
        lambda one, two: (MAX_BODY_BYTES + 1).to_bytes(4, "little") + one[4:],
    ],
    ids=["twice", "gap", "flipped", "too long"],
)
def test_a_record_that_is_not_the_next_whole_one_ends_the_stream(spoil):
    writer, reader = RecordWriter(), RecordReader()
    with pytest.raises(TornRecord):
        list(reader.feed(spoil(writer.pack(b"one"), writer.pack(b"two"))))


# Aggregation and pacing.

ONE, TWO = interface.Server("one"), interface.Server("two")


def server_report(server=ONE, tries=10, unanswered=0, latency=SECOND // 10, span=SECOND, load=None, zone=0):
    return interface.ServerReport(zone, server, tries, unanswered, latency, span, load or {})


def classify(event):
    return reports.classify(event, SECOND)


@pytest.mark.parametrize(
    "lines, rows",
    [
        ([server_report(tries=10), server_report(tries=30, latency=SECOND // 5)], [(40, 0, 175_000_000)]),
        ([server_report(), server_report(TWO)], [(10, 0, SECOND // 10)] * 2),
        # The second one by itself makes the server suspect.
        ([server_report(), server_report(unanswered=5)], [(10, 0, SECOND // 10), (10, 5, SECOND // 10)]),
        ([server_report(unanswered=1), server_report(unanswered=1)], [(20, 2, SECOND // 10)]),
        # The second one by itself makes the server overloaded.
        ([server_report(), server_report(latency=SECOND)], [(10, 0, SECOND // 10), (10, 0, SECOND)]),
        ([server_report(), server_report(zone=1)], [(10, 0, SECOND // 10)] * 2),
        ([server_report(), server_report(span=3 * SECOND)], [(10, 0, SECOND // 10)] * 2),
        ([server_report(tries=5, unanswered=5, latency=0)] * 2, [(10, 10, 0)]),
    ],
)
def test_reports_of_one_class_are_added_up(lines, rows):
    aggregator = ReportAggregator(classify, 100)
    for line in lines:
        aggregator.add(line)
    assert [(row.tries, row.unanswered, row.latency) for row in aggregator.take(100)] == rows


def test_the_newest_load_report_comes_last_and_only_a_change_of_class_is_urgent():
    aggregator = ReportAggregator(classify, 100)
    for unanswered, util in ((0, 0.1), (9, 0.2), (0, 0.9)):
        aggregator.add(server_report(unanswered=unanswered, load={"util": util}))
    assert [row.load["util"] for row in aggregator.take(100)][-1] == 0.9
    assert not aggregator.urgent
    aggregator.add(server_report(load={"util": 0.9}))
    assert not aggregator.urgent
    aggregator.add(server_report(unanswered=9, load={"util": 0.9}))
    assert aggregator.urgent
    assert aggregator.take(1)[0].unanswered == 9
    assert not aggregator.urgent and len(aggregator) == 1


def test_the_aggregator_is_bounded_and_a_busy_server_starves_no_other():
    aggregator, servers = ReportAggregator(classify, 50), [interface.Server(str(n)) for n in range(50)]
    for server in servers:
        aggregator.add(server_report(server))
    assert aggregator.full
    got = []
    for _ in range(10):
        for server in servers[:5]:
            aggregator.add(server_report(server))
        got += [row.server for row in aggregator.take(5)]
    assert set(got) == set(servers) and len(aggregator) <= 50
    aggregator.forget_server(servers[0])
    assert not any(key[0] is servers[0] for key in aggregator.rows) and servers[0] not in aggregator.classes


def comparable(order):
    """Replace the objects in an order by numbers and names, so that orders of two runs can be compared."""
    values = (getattr(order, name) for name in order.__slots__)
    return type(order).__name__, [
        len(value) if isinstance(value, tuple) else getattr(value, "number", getattr(value, "name", value))
        for value in values
    ]


@pytest.mark.parametrize("workers, reverse", [(1, False), (2, True), (3, False), (5, True)])
def test_aggregation_in_workers_gives_the_same_orders_as_one_process(workers, reverse):
    """A stream with overload, a failed and a restarted server, with and without aggregation.

    The rows of the workers arrive in either order.
    """

    def play(workers):
        rnd, fleet = random.Random(3), Fleet(servers=8, slices=24, demand=30, load_fields=("util",))
        aggregators = [
            ReportAggregator(lambda event: reports.classify(event, SECOND), 1000) for _ in range(workers)
        ]
        for second in range(40):
            if second == 8:
                fleet.failing = {fleet.servers[2]: 1.0}
            if second == 16:
                fleet.failing = {}
                fleet.handle(fleet.server_list(s5=("ready", fleet.now)))
            if second == 24:
                fleet.slow = {fleet.servers[4]: SECOND * 3 // 4}
            lines = []
            for event in fleet.reports():
                for _ in range(3):  # three collectors report a part each
                    part = replace(event, tries=event.tries // 3, unanswered=event.unanswered // 3)
                    if isinstance(part, interface.ServerReport):
                        part.load = {"util": 0.3 + 0.01 * (second % 7)}
                    lines.append(part)
            rnd.shuffle(lines)
            if workers:
                for place, line in enumerate(lines):
                    aggregators[place % workers].add(line)
                lines = [row for aggregator in aggregators for row in aggregator.take(1000)]
                if reverse:
                    lines.reverse()
            fleet.handle(*lines)
            fleet.run(1, sums=False)
        return fleet

    single, parallel = play(0), play(workers)
    assert sum(line.startswith("server") for line in single.log) >= 3 and single.log == parallel.log
    assert [list(map(comparable, orders)) for _, orders in single.replies] == [
        list(map(comparable, orders)) for _, orders in parallel.replies
    ]


def test_a_worker_waits_in_proportion_to_the_handling_of_its_last_record():
    pacer = SendPacer(5.0, 1000)
    assert pacer.may_send(0, False)
    pacer.on_sent()
    assert pacer.may_send(10_000, True) and not pacer.may_send(10_000, False)
    pacer.on_sent()
    assert not pacer.may_send(10_000, True)
    pacer.on_processed(50, 20)
    pacer.on_processed(100, 20)
    assert [pacer.may_send(now, False) for now in (199, 200)] == [False, True] and pacer.may_send(100, True)
    pacer.on_sent()
    pacer.on_processed(300, 10_000)
    assert pacer.may_send(1300, False) and not pacer.may_send(1299, False)


# Life cycle and connection owners.


@pytest.mark.parametrize(
    "state, event, next_state, effect",
    [
        ("starting", "greeted", "serving", "activate"),
        ("starting", "silent", "terminating", "kill"),
        ("serving", "silent", "terminating", "kill"),
        ("serving", "torn", "terminating", "kill"),
        ("terminating", "ended", "backing off", "back_off"),
        ("serving", "ended", "backing off", "back_off"),
        ("backing off", "due", "starting", "spawn"),
        ("serving", "stop", "stopped", "close"),
        ("stopped", "ended", "stopped", None),
        ("stopped", "due", "stopped", None),
        ("backing off", "greeted", "backing off", None),
    ],
)
def test_life_cycle_transitions(state, event, next_state, effect):
    lifecycle = Lifecycle(100, 1000, 5000)
    lifecycle.state = state
    assert lifecycle.step(event, 0) == effect and lifecycle.state == next_state


def test_the_backoff_doubles_with_each_exit_until_the_process_has_served():
    lifecycle, backoffs, now = Lifecycle(100, 1000, 5000), [], 0
    lifecycle.step("start", now)
    for serving_time in (0, 0, 0, 0, 6000, 0):
        lifecycle.step("greeted", now)
        now += serving_time
        assert lifecycle.step("ended", now) == "back_off"
        backoffs.append(lifecycle.backoff())
        lifecycle.step("due", now)
    assert backoffs == [100, 200, 400, 800, 100, 200]


def test_every_state_can_stop_and_stopped_is_final():
    states = {state for state, _ in TRANSITIONS} - {"stopped"}
    assert all(TRANSITIONS[state, "stop"][0] == "stopped" for state in states)
    assert not any(state == "stopped" for state, _ in TRANSITIONS)


def test_connections_stay_balanced_and_only_their_owner_releases_them():
    owners, rnd = ConnectionOwners(), random.Random(5)
    for worker in "abc":
        owners.add_worker(worker)
    numbers = itertools.count()
    for _ in range(600):
        match rnd.choice("gggglc"):
            case "g":
                owners.assign(next(numbers))
            case "l" if owners.owner:
                number, worker = rnd.choice(list(owners.owner.items()))
                assert not any(owners.release(other, number) for other in "abc" if other != worker)
                assert owners.release(worker, number) and not owners.release(worker, number)
            case "c" if rnd.random() < 0.1:
                worker = rnd.choice("abc")
                assert all(number not in owners.owner for number in owners.remove_worker(worker))
                owners.add_worker(worker)
        assert sum(map(len, owners.connections.values())) == len(owners.owner)
    for _ in range(200):
        owners.assign(next(numbers))
    sizes = [len(owned) for owned in owners.connections.values()]
    assert max(sizes) - min(sizes) <= 1


# Complete programs.


@pytest.fixture
def start_program(tmp_path):
    with contextlib.ExitStack() as stack:

        def build(operator_file=TWO_WORKERS, relay=None, **changes):
            relay = relay or Relay(initial_server=lambda n: f"s{n % 4}")
            program = Program(tmp_path, operator_file, relay, **changes)
            stack.callback(program.stop)
            return program

        yield build


def wait_for_workers(program):
    """Wait until both workers serve and return their process ids by number, as the log gives them."""
    found = {}
    while len(found) < 2:
        line = program.wait_for_log(": serving")
        if "solver" in line:
            continue
        found[line.split("worker ")[1][0]] = int(line.split("process ")[1].split("'")[0])
    return found


def has_exited(process):
    """Wait for the end of a process, which may remain as a zombie, and return whether it came."""

    def state():
        try:
            with open(f"/proc/{process}/stat") as file:
                return file.read().rpartition(")")[2].split()[0]
        except (FileNotFoundError, ProcessLookupError):
            return "Z"

    end = time.monotonic() + 30
    while state() not in "ZX" and time.monotonic() < end:
        threading.Event().wait(0.01)
    return state() in "ZX"


def drain_server(program, number=1, index=2):
    program.discovery.publish(endpoint_list(0, index, False, endpoints=[endpoint_entry(number, "draining")]))
    program.relay.wait(
        lambda calls: any(
            {"op": "OUT", "target": f"s{number}"} in call.orders for call in calls if call.applied
        )
    )


def connect_collector(program, lines=1):
    peer = program.dial()
    peer.send(AGENT_LINE + outcomes_line() * lines + b'{"msg":"probe"}\n')
    assert json.loads(peer.read_until(b"\n")) == {"msg": "alive"}
    return peer


def wait_until_closed(peer):
    with contextlib.suppress(ConnectionError):
        while peer.sock.recv(65536):
            pass
    return True


def answers_probes(peer):
    try:
        peer.send(b'{"msg":"probe"}\n')
        return peer.read_until(b"\n") != b""
    except (ConnectionError, EOFError):
        return False


@pytest.mark.parametrize(
    "faults",
    [[], ["reset"], ["lost"], ["silence"], ["half"], ["busy", "busy"]],
    ids=lambda faults: "+".join(faults) or "none",
)
def test_all_orders_come_from_one_process(start_program, faults):
    """Both workers report while servers drain: the relay's audit finds no order and no mark twice."""
    program = start_program()
    wait_for_workers(program)
    peers = [connect_collector(program, 50) for _ in range(6)]
    for index, number in enumerate((1, 2), 2):
        program.relay.faults.extend(faults)
        for peer in peers:
            peer.send(outcomes_line("s3", 40, 20) + outcomes_line("s0", 40, 0, 900.0))
        drain_server(program, number, index)
        faults = []
    program.relay.wait(
        lambda calls: not any({"s1", "s2"} & table.keys() for table in program.relay.tables.values())
    )
    assert program.relay.audit() == []
    assert all(program.relay.tables.values())


def test_a_killed_worker_loses_only_its_own_connections_and_is_restarted(start_program):
    program = start_program()
    processes = wait_for_workers(program)
    peers = [connect_collector(program) for _ in range(8)]
    for peer in peers:
        peer.send(outcomes_line() * 500)  # it is killed with records on their way
    os.kill(processes["0"], signal.SIGKILL)
    program.wait_for_log("worker 0: backing off")
    restarted = program.wait_for_log("worker 0: serving")
    assert str(processes["0"]) not in restarted
    assert sum(map(answers_probes, peers)) == 4
    # These go to the restarted worker, which has the fewest connections.
    reconnected = [connect_collector(program) for _ in range(4)]
    os.kill(processes["1"], signal.SIGKILL)
    assert all(wait_until_closed(peer) for peer in peers)
    assert all(map(answers_probes, reconnected))
    drain_server(program)


def test_a_worker_that_hangs_is_replaced(start_program):
    program = start_program()
    processes = wait_for_workers(program)
    peers = [connect_collector(program) for _ in range(4)]
    os.kill(processes["1"], signal.SIGSTOP)
    assert "worker 1: terminating" in program.wait_for_log("worker 1: terminating")
    program.wait_for_log("worker 1: serving")
    assert has_exited(processes["1"])
    assert sum(map(answers_probes, peers)) == 2
    connect_collector(program)
    drain_server(program)


def test_workers_exit_with_a_killed_pilot_and_a_new_one_serves_from_the_store(start_program):
    program = start_program()
    processes = wait_for_workers(program)
    peer = connect_collector(program)
    os.kill(processes["0"], signal.SIGSTOP)  # this one cannot notice that its link is closed
    program.process.kill()
    program.process.wait()
    assert all(map(has_exited, processes.values())) and wait_until_closed(peer)
    program.process.stdout.close()
    program.start()
    wait_for_workers(program)
    connect_collector(program)
    drain_server(program)
    assert program.relay.audit() == []


def test_probes_are_not_answered_and_workers_survive_while_the_pilot_process_is_stopped(start_program):
    program = start_program('cores {\n workers = 2\n hang = "500ms"\n stale = "100ms"\n}\n')
    processes = wait_for_workers(program)
    peer = connect_collector(program)
    os.kill(program.process.pid, signal.SIGSTOP)
    try:
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:  # until its last heartbeat has expired
            peer.send(b'{"msg":"probe"}\n')
            peer.sock.settimeout(0.5)
            try:
                peer.read_until(b"\n")
            except TimeoutError:
                break
        else:
            raise AssertionError("probes are answered while the pilot process is stopped")
        peer.send(outcomes_line() * 5000)
    finally:
        os.kill(program.process.pid, signal.SIGCONT)
    peer.sock.settimeout(30)
    assert json.loads(peer.read_until(b"\n")) == {"msg": "alive"}  # the answer to the probe that waited
    drain_server(program)
    assert all(os.path.exists(f"/proc/{number}") for number in processes.values())


@pytest.mark.parametrize("sign", [signal.SIGTERM, signal.SIGINT])
def test_signals_to_all_processes_act_once(start_program, sign):
    program = start_program()
    processes = wait_for_workers(program)
    for number in (*processes.values(), program.process.pid):
        os.kill(number, signal.SIGHUP)
    program.wait_for_log("reload")
    connect_collector(program)
    for number in (*processes.values(), program.process.pid):
        os.kill(number, sign)
    assert program.process.wait(30) == 0
    assert all(map(has_exited, processes.values()))
    program.text += os.read(program.process.stdout.fileno(), 1 << 20).decode()
    assert "reload" not in program.text and program.text.count("'stopped'") == 1


def test_an_invalid_configuration_at_reload_changes_nothing(start_program):
    program = start_program()
    wait_for_workers(program)
    peer = connect_collector(program)
    program.path.write_text("{")
    program.process.send_signal(signal.SIGHUP)
    program.wait_for_log("reload failed; keeping the current configuration")
    peer.send(b'{"msg":"probe"}\n')
    assert peer.read_until(b"\n")
    drain_server(program)


def test_strangers_starve_no_collector_on_any_worker(start_program):
    program = start_program()
    wait_for_workers(program)
    peers = [connect_collector(program) for _ in range(4)]
    strangers = [program.dial() for _ in range(400)]
    for stranger in strangers[::2]:
        with contextlib.suppress(ConnectionError):
            stranger.send(b"x" * 100)
    program.wait_for_log("too many strangers")
    for peer in [*peers, connect_collector(program)]:
        peer.send(outcomes_line() + b'{"msg":"probe"}\n')
        assert peer.read_until(b"\n")
    assert wait_until_closed(strangers[0])


def test_an_invalid_report_does_not_affect_others(start_program):
    program = start_program()
    wait_for_workers(program)
    peer = connect_collector(program)
    peer.send(outcomes_line(count=-1) + outcomes_line("nobody") + outcomes_line() + b'{"msg":"probe"}\n')
    assert peer.read_until(b"\n")
    found = program.wait_for_log("report"), program.wait_for_log("report")
    assert any("malformed" in line for line in found) and any("unknown" in line for line in found)


# A service in the test's event loop, with real workers and a pilot that only records its events.


class ServiceHarness:
    """A service with two workers, in the event loop of the test."""

    def __init__(self, folder, **changes):
        self.relay, self.discovery = Relay(), Discovery()
        path = folder / "config.json"
        path.write_text(
            json.dumps(
                platform_config(**changes)
                | {
                    "store": {"address": "{}:{}".format(*self.relay.getsockname())},
                    "discovery": "{}:{}".format(*self.discovery.listener.getsockname()),
                }
            )
        )
        self.loop = uvloop.new_event_loop()
        self.log = RecordingLog()
        block = Block(workers=2, rows=100)
        self.service = Service(
            net_config.load(str(path), {}), self.loop, self.log, lambda service: WorkerPool(service, block)
        )
        self.service.pilot = self.recorder = RecordingPilot()
        self.server_list = self.service.discovery_client.parse_list(self.service.config.cached_list, "cached")
        listen = self.service.clients.listen

        async def listen_and_remember(at):
            self.address = await listen(at)
            return self.address

        self.service.clients.listen = listen_and_remember
        self.loop.run_until_complete(self.service.start())
        self.wait_until(lambda: len(self.service.clients.owners.connections) == 2 and self.service.ready)

    def wait_until(self, condition, seconds=30):
        async def wait():
            end = time.monotonic() + seconds
            while not condition():
                assert time.monotonic() < end, f"condition not met within {seconds} s"
                await asyncio.sleep(0.005)

        self.loop.run_until_complete(wait())

    def reports(self, kind=interface.ServerReport):
        return [event for event in self.recorder.seen if isinstance(event, kind)]

    def connect(self, *lines):
        peer = Peer(socket.create_connection(self.address))
        peer.sock.sendall(AGENT_LINE)
        for line in lines:
            peer.sock.sendall(line)
        return peer

    def close(self):
        self.service.clients.close()
        self.relay.close()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()


@pytest.fixture
def harness(tmp_path):
    built = ServiceHarness(tmp_path)
    yield built
    built.close()


def test_every_report_counts_once_over_all_workers(harness):
    rnd, wanted, peers = random.Random(9), {}, []
    line_count = 0
    for place in range(6):
        lines = []
        for _ in range(700):
            server, tries, bad = f"s{rnd.randrange(4)}", rnd.randrange(1, 50), rnd.random() < 0.1
            unanswered, latency = (tries // 2, 40.0) if bad else (0, rnd.choice([20.0, 90.0]))
            lines.append(outcomes_line(server, tries, unanswered, latency))
            lines.append(outcomes_line(server, -5))  # rejected, with no effect on others
            now = wanted.get(server, (0, 0, 0))
            add = tries, unanswered, (tries - unanswered) * int(latency) * 1_000_000
            wanted[server] = tuple(map(sum, zip(now, add)))
            line_count += 1
        peers.append(harness.connect(b"".join(lines)))

    def counted():
        found = {}
        for event in harness.reports():
            now = found.get(event.server.name, (0, 0, 0))
            add = event.tries, event.unanswered, (event.tries - event.unanswered) * event.latency
            found[event.server.name] = tuple(map(sum, zip(now, add)))
        return found

    harness.wait_until(
        lambda: {n: v[:2] for n, v in counted().items()} == {n: v[:2] for n, v in wanted.items()}
    )
    assert all(abs(counted()[n][2] - wanted[n][2]) < 1e-6 * wanted[n][2] for n in wanted)
    assert len(harness.reports()) < line_count  # some were added up
    harness.wait_until(lambda: harness.service.warning_counts.get("malformed report") == line_count)


def test_a_slow_pilot_process_causes_back_pressure_and_no_loss(harness):
    lines = b"".join(outcomes_line(f"s{n % 4}", 1) for n in range(3000))
    peers = [harness.connect(lines) for _ in range(4)]
    threading.Event().wait(0.3)  # the event loop is blocked: workers read, aggregate and wait
    harness.wait_until(lambda: sum(event.tries for event in harness.reports()) == 12_000)
    assert len(harness.reports()) < 2000
    workers = harness.service.clients.workers
    harness.wait_until(lambda: sum(worker.lines_read for worker in workers) == 12_004)
    harness.wait_until(lambda: all(worker.pending_rows == 0 for worker in workers))
    assert len(peers) == 4


def test_an_error_in_the_pilot_ends_all_processes_with_status_1(harness):
    def fail(now, events):
        raise RuntimeError("injected")

    processes = [worker.process.pid for worker in harness.service.clients.child_processes()]
    harness.service.pilot.handle = fail
    harness.service.enqueue(interface.TimerFired(0))
    harness.loop.run_forever()  # until the service stops it
    assert harness.service.status == 1 and "decision logic raised an exception; stopping" in harness.log.lines
    harness.service.clients.close()
    assert all(map(has_exited, processes))


def test_a_server_that_is_removed_and_listed_again_is_a_new_one(harness):
    old = harness.service.registry.servers["s1"]
    peer = harness.connect(outcomes_line("s1", 1))
    harness.wait_until(lambda: len(harness.reports()) == 1)
    before = harness.service.clients.server_numbers["s1"]
    # Nothing refers to the server any more, so that the registry forgets it; then it is created again.
    harness.server_list.entries = [entry for entry in harness.server_list.entries if entry.server is not old]
    harness.recorder.seen.clear()
    del old
    gc.collect()
    harness.wait_until(lambda: "s1" not in harness.service.clients.server_numbers)
    peer.send(outcomes_line("s1", 2))
    harness.wait_until(lambda: harness.service.warning_counts.get("report for an unknown server"))
    fresh = harness.service.registry.server("s1")
    harness.wait_until(lambda: harness.service.clients.server_numbers.get("s1", before) != before)
    harness.wait_until(
        lambda: all(before not in worker.known_servers for worker in harness.service.clients.workers)
    )
    peer.send(outcomes_line("s1", 3))
    harness.wait_until(lambda: harness.reports())
    assert [(event.server, event.tries) for event in harness.reports()] == [(fresh, 3)]


def test_an_unfinished_search_is_returned_to_the_pilot(harness):
    fleet = Fleet(servers=12, slices=60, demand=9)
    start = Partition(
        [set() for _ in range(12)], [0.0] * 12, [0.0] * 12, [(1.0, 1.0)] * 61, 1.0, {}, [False] * 12
    )
    pool = harness.service.clients
    searches = [Search(seed, 0, start, [(n, [], 1) for n in range(60)], 30.0, True) for seed in range(3)]

    def solved(search):
        found = [event for event in harness.recorder.seen if isinstance(event, interface.SearchResult)]
        return [event for event in found if event.search is search]

    harness.wait_until(lambda: pool.solver.serves)
    pool.solve(searches[0])
    harness.wait_until(lambda: solved(searches[0]))
    (event,) = solved(searches[0])
    local = Search(0, 0, start, [(n, [], 1) for n in range(60)], 30.0)
    for _ in local.steps():
        pass
    assert event.best == local.best and event.counter == local.counter
    process = pool.solver.process
    os.kill(process.pid, signal.SIGSTOP)
    pool.solve(searches[1])
    process.kill()
    harness.wait_until(lambda: solved(searches[1]))
    assert solved(searches[1])[0].best is None
    pool.solve(searches[2])  # no search process serves now
    harness.wait_until(lambda: solved(searches[2]))
    harness.wait_until(lambda: pool.solver.serves and pool.solver.process is not process)
    assert len(fleet.slices) == 60
