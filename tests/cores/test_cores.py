"""Several cores: what is decided in them by cases, and the processes over loopback sockets."""

import asyncio
import contextlib
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
from flintreach.standins.platform import listing, row, told
from flintreach.standins.program import Program
from flintreach.standins.relay import Relay
from tests.helpers import Fleet, RecordingLog, RecordingPilot

OWN = 'cores {\n workers = 2\n hang = "1s"\n pause_first = "50ms"\n}\n'
AGENT = b'{"msg":"agent","site":"north"}\n'


def outcomes(server="s1", count=20, fail=0, mean=100.0, **changes):
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


# Records.


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


# Summing up.

OPS = [interface.Operation("look", 0, SECOND, 3 * SECOND)]
ONE, TWO = interface.Server("one"), interface.Server("two")


def heard(server=ONE, tries=10, unanswered=0, latency=SECOND // 10, span=SECOND, load=None, zone=0):
    return interface.ServerReport(zone, server, tries, unanswered, latency, span, load or {})


def kind(event):
    return reports.classify(event, SECOND)


@pytest.mark.parametrize(
    "lines, rows",
    [
        ([heard(tries=10), heard(tries=30, latency=SECOND // 5)], [(40, 0, 175_000_000)]),
        ([heard(), heard(TWO)], [(10, 0, SECOND // 10)] * 2),
        ([heard(), heard(unanswered=5)], [(10, 0, SECOND // 10), (10, 5, SECOND // 10)]),  # suspect by itself
        ([heard(unanswered=1), heard(unanswered=1)], [(20, 2, SECOND // 10)]),
        ([heard(), heard(latency=SECOND)], [(10, 0, SECOND // 10), (10, 0, SECOND)]),  # jammed by itself
        ([heard(), heard(zone=1)], [(10, 0, SECOND // 10)] * 2),
        ([heard(), heard(span=3 * SECOND)], [(10, 0, SECOND // 10)] * 2),
        ([heard(tries=5, unanswered=5, latency=0)] * 2, [(10, 10, 0)]),
    ],
)
def test_lines_that_are_judged_alike_become_one_row(lines, rows):
    fold = ReportAggregator(kind, 100)
    for line in lines:
        fold.add(line)
    assert [(row.tries, row.unanswered, row.latency) for row in fold.take(100)] == rows


def test_the_newest_load_report_is_read_last_and_only_a_new_kind_is_urgent():
    fold = ReportAggregator(kind, 100)
    for unanswered, util in ((0, 0.1), (9, 0.2), (0, 0.9)):
        fold.add(heard(unanswered=unanswered, load={"util": util}))
    assert [row.load["util"] for row in fold.take(100)][-1] == 0.9
    assert not fold.urgent
    fold.add(heard(load={"util": 0.9}))
    assert not fold.urgent
    fold.add(heard(unanswered=9, load={"util": 0.9}))
    assert fold.urgent and fold.take(1)[0].unanswered == 9 and not fold.urgent and len(fold) == 1


def test_a_fold_is_bounded_and_a_busy_object_starves_no_other():
    fold, servers = ReportAggregator(kind, 50), [interface.Server(str(n)) for n in range(50)]
    for server in servers:
        fold.add(heard(server))
    assert fold.full
    got = []
    for _ in range(10):
        for server in servers[:5]:
            fold.add(heard(server))
        got += [row.server for row in fold.take(5)]
    assert set(got) == set(servers) and len(fold) <= 50
    fold.forget_server(servers[0])
    assert not any(key[0] is servers[0] for key in fold.rows) and servers[0] not in fold.classes


def plain(order):
    """An order with numbers and names in place of objects."""
    values = (getattr(order, name) for name in order.__slots__)
    return type(order).__name__, [
        len(value) if isinstance(value, tuple) else getattr(value, "number", getattr(value, "name", value))
        for value in values
    ]


@pytest.mark.parametrize("workers, turned", [(1, False), (2, True), (3, False), (5, True)])
def test_sums_through_many_workers_lead_to_the_orders_of_one_process(workers, turned):
    """A stream with jams, deaths and a cold start, line by line and through folds, rows in either order."""

    def play(workers):
        rnd, fleet = random.Random(3), Fleet(servers=8, slices=24, demand=30, load_fields=("util",))
        folds = [
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
                for _ in range(3):  # three collectors tell a part each
                    part = replace(event, tries=event.tries // 3, unanswered=event.unanswered // 3)
                    if isinstance(part, interface.ServerReport):
                        part.load = {"util": 0.3 + 0.01 * (second % 7)}
                    lines.append(part)
            rnd.shuffle(lines)
            if workers:
                for place, line in enumerate(lines):
                    folds[place % workers].add(line)
                lines = [row for fold in folds for row in fold.take(1000)][:: -1 if turned else 1]
            fleet.handle(*lines)
            fleet.run(1, sums=False)
        return fleet

    one, three = play(0), play(workers)
    assert sum(line.startswith("server") for line in one.log) >= 3 and one.log == three.log
    assert [list(map(plain, orders)) for _, orders in one.replies] == [
        list(map(plain, orders)) for _, orders in three.replies
    ]


def test_a_worker_rests_as_long_as_what_it_sent_took():
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


# The life of workers, and who owns what.


@pytest.mark.parametrize(
    "state, what, then, effect",
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
def test_the_life_of_a_worker(state, what, then, effect):
    lifecycle = Lifecycle(100, 1000, 5000)
    lifecycle.state = state
    assert lifecycle.step(what, 0) == effect and lifecycle.state == then


def test_one_that_dies_again_and_again_is_held_off_and_one_that_served_is_not():
    lifecycle, pauses, now = Lifecycle(100, 1000, 5000), [], 0
    lifecycle.step("start", now)
    for lasts in (0, 0, 0, 0, 6000, 0):
        lifecycle.step("greeted", now)
        now += lasts
        assert lifecycle.step("ended", now) == "back_off"
        pauses.append(lifecycle.backoff())
        lifecycle.step("due", now)
    assert pauses == [100, 200, 400, 800, 100, 200]


def test_every_state_can_stop_and_none_comes_back_from_it():
    states = {state for state, _ in TRANSITIONS} - {"stopped"}
    assert all(TRANSITIONS[state, "stop"][0] == "stopped" for state in states)
    assert not any(state == "stopped" for state, _ in TRANSITIONS)


def test_owners_stay_even_through_deaths_and_no_word_about_anothers_connection_counts():
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
    sizes = [len(held) for held in owners.connections.values()]
    assert max(sizes) - min(sizes) <= 1


# The processes.


@pytest.fixture
def start(tmp_path):
    with contextlib.ExitStack() as stack:

        def build(own=OWN, relay=None, **changes):
            relay = relay or Relay(spread=lambda n: f"s{n % 4}")
            program = Program(tmp_path, own, relay, **changes)
            stack.callback(program.end)
            return program

        yield build


def workers(program):
    """Process by worker, as the log names them while they come up."""
    found = {}
    while len(found) < 2:
        line = program.logged(": serving")
        if "solver" in line:
            continue
        found[line.split("worker ")[1][0]] = int(line.split("process ")[1].split("'")[0])
    return found


def gone(process):
    """Whether a process has ended: its parent may be late to collect it."""

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


def drain(program, number=1, index=2):
    program.discovery.tell(listing(0, index, False, endpoints=[row(number, "draining")]))
    program.relay.wait(
        lambda calls: any({"op": "OUT", "target": f"s{number}"} in call.orders for call in calls if call.done)
    )


def collector(program, lines=1):
    peer = program.dial()
    peer.send(AGENT + outcomes() * lines + b'{"msg":"probe"}\n')
    assert json.loads(peer.until(b"\n")) == {"msg": "alive"}
    return peer


def closed(peer):
    with contextlib.suppress(ConnectionError):
        while peer.sock.recv(65536):
            pass
    return True


def lives(peer):
    try:
        peer.send(b'{"msg":"probe"}\n')
        return peer.until(b"\n") != b""
    except (ConnectionError, EOFError):
        return False


@pytest.mark.parametrize(
    "faults",
    [[], ["reset"], ["lost"], ["silence"], ["half"], ["busy", "busy"]],
    ids=lambda faults: "+".join(faults) or "none",
)
def test_orders_of_many_cores_have_one_owner(start, faults):
    """Sums through both workers while servers drain: the relay's audit finds no order and no mark twice."""
    program = start()
    workers(program)
    peers = [collector(program, 50) for _ in range(6)]
    for index, number in enumerate((1, 2), 2):
        program.relay.faults.extend(faults)
        for peer in peers:
            peer.send(outcomes("s3", 40, 20) + outcomes("s0", 40, 0, 900.0))
        drain(program, number, index)
        faults = []
    program.relay.wait(
        lambda calls: not any({"s1", "s2"} & table.keys() for table in program.relay.tables.values())
    )
    assert program.relay.audit() == []
    assert all(program.relay.tables.values())


def test_a_killed_worker_costs_its_connections_alone_and_comes_back(start):
    program = start()
    processes = workers(program)
    peers = [collector(program) for _ in range(8)]
    for peer in peers:
        peer.send(outcomes() * 500)  # it dies with records on their way
    os.kill(processes["0"], signal.SIGKILL)
    program.logged("worker 0: backing off")
    fresh = program.logged("worker 0: serving")
    assert str(processes["0"]) not in fresh
    assert sum(map(lives, peers)) == 4
    again = [collector(program) for _ in range(4)]  # to the worker with the fewest
    os.kill(processes["1"], signal.SIGKILL)
    assert all(closed(peer) for peer in peers)
    assert all(map(lives, again))
    drain(program)


def test_a_worker_that_hangs_is_replaced(start):
    program = start()
    processes = workers(program)
    peers = [collector(program) for _ in range(4)]
    os.kill(processes["1"], signal.SIGSTOP)
    assert "worker 1: terminating" in program.logged("worker 1: terminating")
    program.logged("worker 1: serving")
    assert gone(processes["1"])
    assert sum(map(lives, peers)) == 2
    collector(program)
    drain(program)


def test_the_deciding_process_killed_takes_all_with_it_and_a_new_one_serves_from_the_store(start):
    program = start()
    processes = workers(program)
    peer = collector(program)
    os.kill(processes["0"], signal.SIGSTOP)  # one that would not see the end of its channel
    program.process.kill()
    program.process.wait()
    assert all(map(gone, processes.values())) and closed(peer)
    program.process.stdout.close()
    program.start()
    workers(program)
    collector(program)
    drain(program)
    assert program.relay.audit() == []


def test_no_sign_of_life_while_the_deciding_process_stands_and_no_worker_dies_of_it(start):
    program = start('cores {\n workers = 2\n hang = "500ms"\n stale = "100ms"\n}\n')
    processes = workers(program)
    peer = collector(program)
    os.kill(program.process.pid, signal.SIGSTOP)
    try:
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:  # until its last word is old
            peer.send(b'{"msg":"probe"}\n')
            peer.sock.settimeout(0.5)
            try:
                peer.until(b"\n")
            except TimeoutError:
                break
        else:
            raise AssertionError("signs of life without a deciding process")
        peer.send(outcomes() * 5000)
    finally:
        os.kill(program.process.pid, signal.SIGCONT)
    peer.sock.settimeout(30)
    assert json.loads(peer.until(b"\n")) == {"msg": "alive"}  # the question that waited
    drain(program)
    assert all(os.path.exists(f"/proc/{number}") for number in processes.values())


@pytest.mark.parametrize("sign", [signal.SIGTERM, signal.SIGINT])
def test_signals_to_all_processes_act_once(start, sign):
    program = start()
    processes = workers(program)
    for number in (*processes.values(), program.process.pid):
        os.kill(number, signal.SIGHUP)
    program.logged("reload")
    collector(program)
    for number in (*processes.values(), program.process.pid):
        os.kill(number, sign)
    assert program.process.wait(30) == 0
    assert all(map(gone, processes.values()))
    program.text += os.read(program.process.stdout.fileno(), 1 << 20).decode()
    assert "reload" not in program.text and program.text.count("'stopped'") == 1


def test_a_reload_that_cannot_be_read_changes_nothing(start):
    program = start()
    workers(program)
    peer = collector(program)
    program.path.write_text("{")
    program.process.send_signal(signal.SIGHUP)
    program.logged("reload: the old configuration stays")
    peer.send(b'{"msg":"probe"}\n')
    assert peer.until(b"\n")
    drain(program)


def test_strangers_starve_no_collector_on_any_worker(start):
    program = start()
    workers(program)
    peers = [collector(program) for _ in range(4)]
    strangers = [program.dial() for _ in range(400)]
    for stranger in strangers[::2]:
        with contextlib.suppress(ConnectionError):
            stranger.send(b"x" * 100)
    program.logged("too many strangers")
    for peer in [*peers, collector(program)]:
        peer.send(outcomes() + b'{"msg":"probe"}\n')
        assert peer.until(b"\n")
    assert closed(strangers[0])


def test_a_line_that_cannot_be_read_costs_itself_alone(start):
    program = start()
    workers(program)
    peer = collector(program)
    peer.send(outcomes(count=-1) + outcomes("nobody") + outcomes() + b'{"msg":"probe"}\n')
    assert peer.until(b"\n")
    found = program.logged("report"), program.logged("report")
    assert any("not understood" in line for line in found) and any("unknown" in line for line in found)


# All of it in one loop with decisions that only record: what arrives, and how often.


class Shop:
    def __init__(self, folder, **changes):
        self.relay, self.discovery = Relay(), Discovery()
        path = folder / "config.json"
        path.write_text(
            json.dumps(
                told(**changes)
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
        self.held = self.service.discovery_client.parse_list(self.service.config.cached_list, "cached")
        listen = self.service.clients.listen

        async def remember(at):
            self.at = await listen(at)
            return self.at

        self.service.clients.listen = remember
        self.loop.run_until_complete(self.service.start())
        self.until(lambda: len(self.service.clients.owners.connections) == 2 and self.service.ready)

    def until(self, true, seconds=30):
        async def wait():
            end = time.monotonic() + seconds
            while not true():
                assert time.monotonic() < end, "it never came"
                await asyncio.sleep(0.005)

        self.loop.run_until_complete(wait())

    def sums(self, kind=interface.ServerReport):
        return [event for event in self.recorder.seen if isinstance(event, kind)]

    def dial(self, *lines):
        peer = Peer(socket.create_connection(self.at))
        peer.sock.sendall(AGENT)
        for line in lines:
            peer.sock.sendall(line)
        return peer

    def end(self):
        self.service.clients.close()
        self.relay.close()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()


@pytest.fixture
def shop(tmp_path):
    made = Shop(tmp_path)
    yield made
    made.end()


def test_every_report_counts_once_over_all_workers_whatever_the_pace(shop):
    rnd, wanted, peers = random.Random(9), {}, []
    answered = 0
    for place in range(6):
        lines = []
        for _ in range(700):
            server, tries, bad = f"s{rnd.randrange(4)}", rnd.randrange(1, 50), rnd.random() < 0.1
            unanswered, latency = (tries // 2, 40.0) if bad else (0, rnd.choice([20.0, 90.0]))
            lines.append(outcomes(server, tries, unanswered, latency))
            lines.append(outcomes(server, -5))  # costs itself alone
            now = wanted.get(server, (0, 0, 0))
            add = tries, unanswered, (tries - unanswered) * int(latency) * 1_000_000
            wanted[server] = tuple(map(sum, zip(now, add)))
            answered += 1
        peers.append(shop.dial(b"".join(lines)))

    def counted():
        found = {}
        for event in shop.sums():
            now = found.get(event.server.name, (0, 0, 0))
            add = event.tries, event.unanswered, (event.tries - event.unanswered) * event.latency
            found[event.server.name] = tuple(map(sum, zip(now, add)))
        return found

    shop.until(lambda: {n: v[:2] for n, v in counted().items()} == {n: v[:2] for n, v in wanted.items()})
    assert all(abs(counted()[n][2] - wanted[n][2]) < 1e-6 * wanted[n][2] for n in wanted)
    assert len(shop.sums()) < answered  # they were summed up
    shop.until(lambda: shop.service.warning_counts.get("report not understood") == answered)


def test_a_slow_deciding_process_pushes_back_and_loses_nothing(shop):
    lines = b"".join(outcomes(f"s{n % 4}", 1) for n in range(3000))
    peers = [shop.dial(lines) for _ in range(4)]
    threading.Event().wait(0.3)  # the loop does not turn: workers read, sum up and wait
    shop.until(lambda: sum(event.tries for event in shop.sums()) == 12_000)
    assert len(shop.sums()) < 2000
    hands = shop.service.clients.workers
    shop.until(lambda: sum(hand.lines_read for hand in hands) == 12_004)
    shop.until(lambda: all(hand.pending_rows == 0 for hand in hands))
    assert len(peers) == 4


def test_decisions_that_fail_end_all_processes_with_status_1(shop):
    def fail(now, events):
        raise RuntimeError("planted")

    processes = [hand.process.pid for hand in shop.service.clients.child_processes()]
    shop.service.pilot.handle = fail
    shop.service.enqueue(interface.TimerFired(0))
    shop.loop.run_forever()  # until it stops itself
    assert shop.service.status == 1 and "the decisions failed" in shop.log.lines
    shop.service.clients.close()
    assert all(map(gone, processes))


def test_a_server_that_is_forgotten_and_named_again_is_another(shop):
    old = shop.service.registry.servers["s1"]
    peer = shop.dial(outcomes("s1", 1))
    shop.until(lambda: len(shop.sums()) == 1)
    before = shop.service.clients.server_numbers["s1"]
    # The list forgets it, then names it anew.
    shop.held.entries = [entry for entry in shop.held.entries if entry.server is not old]
    shop.recorder.seen.clear()
    del old
    import gc

    gc.collect()
    shop.until(lambda: "s1" not in shop.service.clients.server_numbers)
    peer.send(outcomes("s1", 2))
    shop.until(lambda: shop.service.warning_counts.get("report on an unknown endpoint"))
    fresh = shop.service.registry.server("s1")
    shop.until(lambda: shop.service.clients.server_numbers.get("s1", before) != before)
    shop.until(lambda: all(before not in hand.known_servers for hand in shop.service.clients.workers))
    peer.send(outcomes("s1", 3))
    shop.until(lambda: shop.sums())
    assert [(event.server, event.tries) for event in shop.sums()] == [(fresh, 3)]


def test_a_search_that_its_process_does_not_end_is_left_to_the_decisions(shop):
    fleet = Fleet(servers=12, slices=60, demand=9)
    start = Partition(
        [set() for _ in range(12)], [0.0] * 12, [0.0] * 12, [(1.0, 1.0)] * 61, 1.0, {}, [False] * 12
    )
    front, searches = (
        shop.service.clients,
        [Search(seed, 0, start, [(n, [], 1) for n in range(60)], 30.0, True) for seed in range(3)],
    )

    def solved(search):
        found = [event for event in shop.recorder.seen if isinstance(event, interface.SearchResult)]
        return [event for event in found if event.search is search]

    shop.until(lambda: front.solver.serves)
    front.solve(searches[0])
    shop.until(lambda: solved(searches[0]))
    (event,) = solved(searches[0])
    here = Search(0, 0, start, [(n, [], 1) for n in range(60)], 30.0)
    for _ in here.steps():
        pass
    assert event.best == here.best and event.counter == here.counter
    process = front.solver.process
    os.kill(process.pid, signal.SIGSTOP)
    front.solve(searches[1])
    process.kill()
    shop.until(lambda: solved(searches[1]))
    assert solved(searches[1])[0].best is None
    front.solve(searches[2])  # none serves now
    shop.until(lambda: solved(searches[2]))
    shop.until(lambda: front.solver.serves and front.solver.process is not process)
    assert len(fleet.slices) == 60
