"""Periodic work that is spread over turns: urgent orders go first, and late search results undo nothing."""

import json
import pickle
import random

import pytest

from flintreach.net import config
from flintreach.net.clients import Client
from flintreach.net.service import Service
from flintreach.pilot import interface, logic
from flintreach.pilot.interface import SECOND
from flintreach.standins.platform import platform_config
from tests.helpers import FakeLoop, FakeTransport, Fleet, RecordingLog, RecordingPilot

LARGE = {"servers": 120, "slices": 960, "proxies": 4, "channel_limit": 1e6}


def fleet_in_search(**changes):
    """A large fleet with uneven demand, in the middle of its first search."""
    fleet = Fleet(**(LARGE | changes))
    rng = random.Random(11)
    fleet.rates = {slice_: rng.randrange(1, 40) for slice_ in fleet.slices}
    fleet.run(3)
    for _ in range(8):
        fleet.now += SECOND // 4
        fleet.handle(interface.TimerFired(0), *fleet.reports())
        if any(isinstance(order, interface.RunSearch) for order in fleet.replies[-1][1]) or is_searching(
            fleet.pilot
        ):
            return fleet
        for _ in range(200):
            if not fleet.pilot.pending_work:
                break
            fleet.now += 1_000_000
            fleet.handle(interface.TimerFired(0))
            if is_searching(fleet.pilot) or any(
                isinstance(order, interface.RunSearch) for order in fleet.replies[-1][1]
            ):
                return fleet
    raise AssertionError("no search began")


def is_searching(pilot):
    """Whether the pending work is suspended within the steps of a search."""
    inner = pilot.pending_work
    while inner is not None:
        if inner.gi_code.co_name == "steps":
            return True
        inner = inner.gi_yieldfrom
    return False


def drain(fleet, number):
    server = fleet.servers[number]
    return fleet.handle(fleet.server_list(**{server.name: "draining"}))


def test_a_drain_during_a_search_takes_effect_at_once_and_is_not_undone():
    fleet = fleet_in_search()
    assert fleet.slices_of(fleet.servers[7])
    orders = drain(fleet, 7)
    assert interface.Withdraw(fleet.servers[7], True) in orders and is_searching(fleet.pilot)
    assert not fleet.slices_of(fleet.servers[7])
    while fleet.pilot.pending_work:
        fleet.now += 1_000_000
        fleet.handle(interface.TimerFired(0))
    fleet.run(4)
    assert not fleet.slices_of(fleet.servers[7])
    assert all(fleet.full_weight_servers(slice_) for slice_ in fleet.slices)


@pytest.mark.parametrize("change", ["drain", "restart", "lost", "assigned again"])
def test_a_late_search_result_is_applied_only_where_nothing_has_changed(change):
    """The result of an offloaded search arrives after the placement has changed."""
    fleet = fleet_in_search(offload_search=True)
    search = next(order.search for order in fleet.replies[-1][1] if isinstance(order, interface.RunSearch))
    for _ in search_steps(search):
        pass
    placements = enumerate(zip(search.best[1], search.start.original))
    gains = {x: after - before for x, (after, before) in placements if after - before}
    target = max(gains, key=lambda x: len(gains[x]))
    server = [state.server for state in fleet.pilot.state.quotas()][target]
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
    before = {slice_: dict(table.desired) for slice_, table in fleet.pilot.state.tables.items()}
    fleet.handle(interface.SearchResult(search, search.best, search.counter))
    while fleet.pilot.pending_work:
        fleet.now += 1_000_000
        fleet.handle(interface.TimerFired(0))
    after = {slice_: table.desired for slice_, table in fleet.pilot.state.tables.items()}
    changed = [slice_ for slice_ in before if before[slice_].keys() != after[slice_].keys()]
    assert changed  # the rest of the result is applied
    if change in ("drain", "restart"):
        state = fleet.pilot.state.servers[server]
        assert not any(state in after[slice_] for slice_ in changed)
    else:
        assert moved.slice not in changed


def search_steps(search):
    """Run a search as another process does: on a copy, whose result is then stored in the original."""
    copy = pickle.loads(pickle.dumps(search))
    copy.offloaded = False
    yield from copy.steps()
    search.best, search.counter = copy.best, copy.counter


def test_no_turn_exceeds_its_budget_or_one_step():
    fleet, costs_by_turn = Fleet(**LARGE), []
    steps = logic.Pilot.periodic_work

    def counted(pilot):
        for cost in steps(pilot):
            costs_by_turn[-1].append(cost)
            yield cost

    fleet.pilot.periodic_work = counted.__get__(fleet.pilot)
    handle = fleet.handle

    def turn(*events):
        costs_by_turn.append([])
        return handle(*events)

    fleet.handle = turn
    fleet.run(12)
    turns = [costs for costs in costs_by_turn if costs]
    assert len(turns) > 20
    # The last cost is that of the step that was not begun.
    assert all(sum(costs[:-1]) <= max(logic.TURN_BUDGET_US, max(costs[:-1], default=0)) for costs in turns)


@pytest.mark.parametrize("answer", ["found", "not done", "late"])
def test_an_offloaded_search_gives_the_same_result(answer):
    def play(offload):
        fleet = Fleet(**LARGE, offload_search=offload)
        rng = random.Random(11)
        fleet.rates = {slice_: rng.randrange(1, 40) for slice_ in fleet.slices}
        searches = 0
        for _ in range(32):
            fleet.now += SECOND // 4 - fleet.now % (SECOND // 4)
            fleet.handle(interface.TimerFired(0), *(fleet.reports() if fleet.now % SECOND == 0 else []))
            waits = 5 if answer == "late" else 0
            while fleet.pilot.pending_work:
                requested = [
                    order.search for order in fleet.replies[-1][1] if isinstance(order, interface.RunSearch)
                ]
                for search in requested:
                    searches += 1
                    current = search
                if offload and searches and current.offloaded and not (waits := waits - 1) > 0:
                    copy = pickle.loads(pickle.dumps(current))
                    copy.offloaded = False
                    for _ in copy.steps() if answer != "not done" else ():
                        pass
                    fleet.handle(interface.SearchResult(current, copy.best, copy.counter))
                fleet.now += 1_000_000
                fleet.handle(interface.TimerFired(0))
        return fleet, searches

    (local, no_searches), (offloaded, searches) = play(False), play(True)
    assert no_searches == 0 and searches > 0
    tables = [
        [sorted(server.name for server in table) for table in fleet.tables.values()]
        for fleet in (local, offloaded)
    ]
    assert tables[0] == tables[1]
    lines = [[line for line in fleet.log if "placement search" in line] for fleet in (local, offloaded)]
    assert lines[0] == lines[1] != []


# The service's turns.


@pytest.fixture
def service(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(platform_config(slices=40)))
    service = Service(config.load(str(path), {}), FakeLoop(), RecordingLog())
    service.pilot = RecordingPilot()
    service.listed = service.discovery_client.parse_list(service.config.cached_list, "cached")
    return service


def client(service):
    client = Client(service.clients)
    client.connection_made(FakeTransport())
    client.data_received(b'{"msg":"agent","site":"north"}\n')
    return client


HOT = b'{"msg":"hot","range":3,"lane":"look","count":4,"fail":0,"over":1000.0}\n'


def test_a_client_that_sends_many_lines_is_read_in_portions(service):
    busy, other = client(service), client(service)
    most = service.limits.max_lines_per_read
    busy.data_received(HOT * (2 * most + 10) + HOT[:20])
    assert len(service.pending_events) == most and not busy.transport.reading
    other.data_received(HOT)
    assert len(service.pending_events) == most + 1
    # Longer than the time-out for an incomplete line, which does not run while lines wait to be read.
    service.loop.run(10.0)
    assert sum(isinstance(event, interface.DemandReport) for event in service.pilot.seen) == 2 * most + 11
    assert busy.state == "dropped" and other.transport.reading  # the last line was never completed


def test_a_full_turn_takes_urgent_events_first_and_keeps_a_slice_with_its_replicas(service):
    most = service.limits.max_events_per_turn
    slices = [interface.Slice(n) for n in range(most)]
    server = interface.Server("s")
    reports = [interface.DemandReport(slice_, None, None, 1, 0, SECOND) for slice_ in slices]
    assignments = [
        event
        for slice_ in slices
        for event in (
            interface.SliceAssignment(slice_, True),
            interface.SliceReplica(slice_, server, 1.0),
            interface.SliceReplica(slice_, server, 1.0),
        )
    ]
    server_list = interface.ServerList("delta", [])
    service.pending_events = [*reports, server_list]
    service.run_turn()
    assert service.pilot.seen[0] is server_list and len(service.pilot.seen) == most
    service.pilot.seen.clear()
    service.pending_events = [*reports, *assignments]
    while service.pending_events:
        before = len(service.pilot.seen)
        service.run_turn()
        turn = service.pilot.seen[before:]
        assert len(turn) <= most + 2 and not isinstance(turn[0], interface.SliceReplica)
    assert len(service.pilot.seen) == len(reports) + len(assignments)
    assert [event for event in service.pilot.seen if event in assignments] == assignments
