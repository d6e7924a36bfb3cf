"""A second's work in turns: what is urgent goes first, a late answer brings nothing back."""

import json
import pickle
import random

import pytest

from flintreach.net import config
from flintreach.net.clients import Client
from flintreach.net.service import Service
from flintreach.pilot import interface, logic
from flintreach.pilot.interface import SECOND
from flintreach.standins.platform import told
from tests.helpers import FakeLoop, FakeTransport, Fleet, RecordingLog, RecordingPilot

WIDE = {"servers": 120, "slices": 960, "proxies": 4, "channel_limit": 1e6}


def busy(**changes):
    """A fleet with uneven demand, in the midst of its first search."""
    fleet = Fleet(**(WIDE | changes))
    rnd = random.Random(11)
    fleet.rates = {piece: rnd.randrange(1, 40) for piece in fleet.slices}
    fleet.run(3)
    for _ in range(8):
        fleet.now += SECOND // 4
        fleet.handle(interface.TimerFired(0), *fleet.reports())
        if any(isinstance(order, interface.RunSearch) for order in fleet.replies[-1][1]) or deep(fleet.pilot):
            return fleet
        for _ in range(200):
            if not fleet.pilot.work:
                break
            fleet.now += 1_000_000
            fleet.handle(interface.TimerFired(0))
            if deep(fleet.pilot) or any(
                isinstance(order, interface.RunSearch) for order in fleet.replies[-1][1]
            ):
                return fleet
    raise AssertionError("no search began")


def deep(pilot):
    """Whether the work in hand stands within the steps of a search."""
    inner = pilot.work
    while inner is not None:
        if inner.gi_code.co_name == "steps":
            return True
        inner = inner.gi_yieldfrom
    return False


def drain(fleet, number):
    server = fleet.servers[number]
    return fleet.handle(fleet.server_list(**{server.name: "draining"}))


def test_a_drain_in_the_midst_of_a_search_leaves_at_once_and_is_not_taken_back():
    fleet = busy()
    assert fleet.slices_of(fleet.servers[7])
    orders = drain(fleet, 7)
    assert interface.Withdraw(fleet.servers[7], True) in orders and deep(fleet.pilot)
    assert not fleet.slices_of(fleet.servers[7])
    while fleet.pilot.work:
        fleet.now += 1_000_000
        fleet.handle(interface.TimerFired(0))
    fleet.run(4)
    assert not fleet.slices_of(fleet.servers[7])
    assert all(fleet.full_weight_servers(piece) for piece in fleet.slices)


@pytest.mark.parametrize("change", ["drain", "restart", "lost", "given anew"])
def test_a_late_answer_counts_only_where_all_is_as_it_was(change):
    """The search is answered after the map has moved on, with what it found before."""
    fleet = busy(offload_search=True)
    search = next(order.search for order in fleet.replies[-1][1] if isinstance(order, interface.RunSearch))
    for _ in search_steps(search):
        pass
    maps = enumerate(zip(search.best[1], search.start.original))
    gains = {x: held - was for x, (held, was) in maps if held - was}
    target = max(gains, key=lambda x: len(gains[x]))
    server = [tgt.server for tgt in fleet.pilot.state.quotas()][target]
    moved = fleet.pilot.state.owned_tables()[next(iter(gains[target]))]
    if change == "drain":
        fleet.handle(fleet.server_list(**{server.name: "draining"}))
    elif change == "restart":
        fleet.handle(fleet.server_list(**{server.name: ("ready", fleet.now)}))
    elif change == "lost":
        fleet.handle(interface.SliceAssignment(moved.slice, False))
    else:
        fleet.handle(
            interface.SliceAssignment(moved.slice, True),
            interface.SliceReplica(moved.slice, fleet.servers[3], 1.0),
        )
    before = {piece: dict(unit.wanted) for piece, unit in fleet.pilot.state.tables.items()}
    fleet.handle(interface.SearchResult(search, search.best, search.counter))
    while fleet.pilot.work:
        fleet.now += 1_000_000
        fleet.handle(interface.TimerFired(0))
    after = {piece: unit.wanted for piece, unit in fleet.pilot.state.tables.items()}
    changed = [piece for piece in before if before[piece].keys() != after[piece].keys()]
    assert changed  # the rest of the answer counts
    if change in ("drain", "restart"):
        tgt = fleet.pilot.state.servers[server]
        assert not any(tgt in after[piece] for piece in changed)
    else:
        assert moved.slice not in changed


def search_steps(search):
    """As another process does it: on a copy, which is then read back into the object."""
    copy = pickle.loads(pickle.dumps(search))
    copy.offloaded = False
    yield from copy.steps()
    search.best, search.counter = copy.best, copy.counter


def test_no_turn_takes_more_than_its_budget_or_one_part():
    fleet, seen = Fleet(**WIDE), []
    steps = logic.Pilot.second

    def counted(pilot):
        for cost in steps(pilot):
            seen[-1].append(cost)
            yield cost

    fleet.pilot.second = counted.__get__(fleet.pilot)
    say = fleet.handle

    def turn(*events):
        seen.append([])
        return say(*events)

    fleet.handle = turn
    fleet.run(12)
    turns = [costs for costs in seen if costs]
    assert len(turns) > 20
    # The last cost is of the part that was not begun.
    assert all(sum(costs[:-1]) <= max(logic.TURN_BUDGET_US, max(costs[:-1], default=0)) for costs in turns)


@pytest.mark.parametrize("answer", ["found", "nobody", "late"])
def test_a_search_elsewhere_finds_what_it_finds_here(answer):
    def play(elsewhere):
        fleet = Fleet(**WIDE, offload_search=elsewhere)
        rnd = random.Random(11)
        fleet.rates = {piece: rnd.randrange(1, 40) for piece in fleet.slices}
        searches = 0
        for _ in range(32):
            fleet.now += SECOND // 4 - fleet.now % (SECOND // 4)
            fleet.handle(interface.TimerFired(0), *(fleet.reports() if fleet.now % SECOND == 0 else []))
            waits = 5 if answer == "late" else 0
            while fleet.pilot.work:
                asked = [
                    order.search for order in fleet.replies[-1][1] if isinstance(order, interface.RunSearch)
                ]
                for search in asked:
                    searches += 1
                    held = search
                if elsewhere and searches and held.offloaded and not (waits := waits - 1) > 0:
                    copy = pickle.loads(pickle.dumps(held))
                    copy.offloaded = False
                    for _ in copy.steps() if answer != "nobody" else ():
                        pass
                    fleet.handle(interface.SearchResult(held, copy.best, copy.counter))
                fleet.now += 1_000_000
                fleet.handle(interface.TimerFired(0))
        return fleet, searches

    (here, none), (there, some) = play(False), play(True)
    assert none == 0 and some > 0
    tables = [
        [sorted(server.name for server in table) for table in fleet.tables.values()]
        for fleet in (here, there)
    ]
    assert tables[0] == tables[1]
    assert [line for line in here.log if "run" in line] == [line for line in there.log if "run" in line]


# The transport.


@pytest.fixture
def service(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(told(slices=40)))
    made = Service(config.load(str(path), {}), FakeLoop(), RecordingLog())
    made.pilot = RecordingPilot()
    made.listed = made.discovery_client.parse_list(made.config.cached_list, "cached")
    return made


def client(service):
    made = Client(service.clients)
    made.connection_made(FakeTransport())
    made.data_received(b'{"msg":"agent","site":"north"}\n')
    return made


HOT = b'{"msg":"hot","range":3,"lane":"look","count":4,"fail":0,"over":1000.0}\n'


def test_one_that_has_much_to_say_is_read_in_portions(service):
    loud, quiet = client(service), client(service)
    most = service.limits.max_lines_per_read
    loud.data_received(HOT * (2 * most + 10) + HOT[:20])
    assert len(service.pending_events) == most and not loud.transport.reading
    quiet.data_received(HOT)
    assert len(service.pending_events) == most + 1
    service.loop.run(10.0)  # longer than half a line may wait: what waits for us is no fault of its own
    assert sum(isinstance(event, interface.DemandReport) for event in service.pilot.seen) == 2 * most + 11
    assert loud.state == "dropped" and quiet.transport.reading  # the rest of its last line never came


def test_a_full_turn_takes_what_is_urgent_first_and_parts_no_slice_from_its_lines(service):
    most = service.limits.max_events_per_turn
    pieces = [interface.Slice(n) for n in range(most)]
    server = interface.Server("s")
    sums = [interface.DemandReport(piece, None, None, 1, 0, SECOND) for piece in pieces]
    news = [
        event
        for piece in pieces
        for event in (
            interface.SliceAssignment(piece, True),
            interface.SliceReplica(piece, server, 1.0),
            interface.SliceReplica(piece, server, 1.0),
        )
    ]
    drained = interface.ServerList("delta", [])
    service.pending_events = [*sums, drained]
    service.run_turn()
    assert service.pilot.seen[0] is drained and len(service.pilot.seen) == most
    service.pilot.seen.clear()
    service.pending_events = [*sums, *news]
    while service.pending_events:
        before = len(service.pilot.seen)
        service.run_turn()
        turn = service.pilot.seen[before:]
        assert len(turn) <= most + 2 and not isinstance(turn[0], interface.SliceReplica)
    assert len(service.pilot.seen) == len(sums) + len(news)
    assert [event for event in service.pilot.seen if event in news] == news
