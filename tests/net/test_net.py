"""The pilot's transport without sockets: the clock, connections and decision logic are stand-ins."""

import json

import pytest

from flintreach.net import config, http, relay, roster, servers
from flintreach.net.clients import Client
from flintreach.net.pilots import PeerMessenger
from flintreach.net.service import Service
from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND
from flintreach.pilot.logic import Pilot
from flintreach.standins.platform import endpoint_entry, endpoint_list, initial_events, platform_config
from tests.helpers import FakeConnection, FakeLoop, FakeTransport, RecordingLog, RecordingPilot


@pytest.fixture
def make(monkeypatch, tmp_path):
    """Builds a service that has its first server list; its connections are in `FakeConnection.created`."""
    for module in (relay, roster, servers):
        monkeypatch.setattr(module, "Connection", FakeConnection)
    monkeypatch.setattr(FakeConnection, "created", [])

    def build(**changes):
        path = tmp_path / "config.json"
        path.write_text(json.dumps(platform_config(**changes)))
        service = Service(config.load(str(path), {}), FakeLoop(), RecordingLog())
        service.pilot = RecordingPilot()
        # Keeps the servers referenced, as the decision logic would.
        service.listed = service.discovery_client.parse_list(service.config.cached_list, "cached")
        return service

    return build


def connected_feed(service):
    """The service's feed connection, after it has brought three proxies and all slices."""
    service.relay_feed.connect()
    feed = FakeConnection.created[-1]
    feed.deliver(*initial_events(), ())
    service.loop.run(0.1)
    service.pilot.seen.clear()
    return feed


def handled(service):
    """The events that the decision logic has got, in short."""
    service.loop.run(0.1)
    short = {
        interface.ProxyJoined: lambda e: ("joined", e.proxy.number),
        interface.ProxyLeft: lambda e: ("left", e.proxy.number),
        interface.SliceAssignment: lambda e: ("assigned", e.slice.number, e.owned),
        interface.SliceReplica: lambda e: ("replica", e.slice.number, e.server.name, e.weight),
        interface.OrdersApplied: lambda e: ("applied", e.proxy.number, e.number),
        interface.ServerList: lambda e: (e.kind, *[(entry.server.name, entry.state) for entry in e.entries]),
    }
    return [short[type(event)](event) for event in service.pilot.seen if type(event) in short]


def set_weight(service, number, server, weight=1.0):
    return interface.SetWeight(service.registry.slice(number), service.registry.server(server), weight)


def calls():
    return [
        connection for connection in FakeConnection.created if getattr(connection, "path", "") == "/batches"
    ]


def send_orders(service, *orders):
    service.execute_orders([*orders, interface.Mark(7)])


# Clients.


def connect(service, *lines):
    client = Client(service.clients)
    client.connection_made(FakeTransport())
    for line in lines:
        client.data_received(line)
    return client


AGENT = b'{"msg":"agent","site":"south"}\n'
OUTCOMES = {
    "msg": "outcomes",
    "site": "south",
    "target": "s1",
    "count": 9,
    "fail": 1,
    "mean": 41.5,
    "over": 1000.0,
    "util": {"cpu": 0.5, "waiting": 2, "odd": 1},
}
DEMAND = {"msg": "demand", "id": 2, "lane": "look", "count": 5, "fail": 0, "over": 1000.0}
HOT = {"msg": "hot", "range": 3, "lane": "book", "count": 4, "fail": 6, "over": 500.0}


def encode_lines(*messages):
    return b"".join(json.dumps(message).encode() + b"\n" for message in messages)


def test_reports_become_events_though_they_come_byte_by_byte(make):
    service = make()
    rows = encode_lines(OUTCOMES, HOT, OUTCOMES | {"target": "unlisted"}, DEMAND)
    connect(service, AGENT, *[bytes([byte]) for byte in rows])
    server_report, slice_demand, proxy_demand = service.pending_events
    assert (proxy_demand.slice, proxy_demand.proxy.number, proxy_demand.tries) == (None, 2, 5)
    assert (server_report.zone, server_report.server.name) == (1, "s1")
    assert (server_report.tries, server_report.unanswered) == (9, 1)
    assert (server_report.latency, server_report.span) == (41_500_000, SECOND)
    assert server_report.load == {"util": 0.5, "queue": 2}
    # A try of one period may fail in the next, so more may fail than were made.
    assert (slice_demand.slice.number, slice_demand.operation.name) == (3, "book")
    assert (slice_demand.tries, slice_demand.unanswered) == (4, 6)
    assert "unlisted" not in service.registry.servers


BAD_VALUES = (
    None,
    "",
    "x",
    "nan",
    "9",
    True,
    -3,
    2.5,
    1e300,
    10**400,
    float("nan"),
    float("inf"),
    [1],
    {"a": {}},
)
MALFORMED = [
    *[
        OUTCOMES | {field: bad}
        for field, good in (
            ("count", ()),
            ("fail", ()),
            ("mean", (2.5,)),
            ("over", (2.5,)),
            ("site", ()),
            ("target", ("", "x", "nan", "9")),
            ("util", ()),
        )
        for bad in BAD_VALUES
        if bad not in good
    ],
    *[HOT | {field: bad} for field in ("range", "lane", "count", "fail") for bad in BAD_VALUES],
    *[OUTCOMES | {"util": {"cpu": bad}} for bad in BAD_VALUES if bad != 2.5],
    *[
        {key: value for key, value in message.items() if key != field}
        for message, fields in (
            (OUTCOMES, ("site", "target", "count", "fail", "mean", "over")),
            (HOT, ("range", "lane", "count", "fail", "over")),
        )
        for field in fields
    ],
    OUTCOMES | {"mean": 60_000.0},
    OUTCOMES | {"over": 38654705664},
    HOT | {"range": 8},
    {"msg": "agent", "site": "west"},
    {},
    [],
    7,
    None,
    {"msg": ["probe"]},
    {"msg": "kind of a later version"},
]


@pytest.mark.parametrize("message", MALFORMED, ids=lambda message: json.dumps(message)[:60])
def test_a_malformed_report_is_skipped_and_drops_the_connection_only_of_a_stranger(make, message):
    service = make()
    collector = connect(
        service, AGENT, encode_lines(OUTCOMES)[:20], encode_lines(OUTCOMES)[20:] + encode_lines(message, HOT)
    )
    assert not collector.transport.closed and collector.state == "collector"
    assert [type(event) for event in service.pending_events] == [
        interface.ServerReport,
        interface.DemandReport,
    ]
    assert service.warning_counts == {"malformed report": 1} or message == OUTCOMES | {"target": "x"}
    assert connect(service, encode_lines(message)).transport.closed


@pytest.mark.parametrize("line", [b"{", b"\xff\xfe", b"[" * 100_000, b"GET / HTTP/1.1\r", b"SET 4 s1 1.5"])
def test_undecodable_data_drops_only_its_own_connection(make, line):
    service = make()
    other = connect(service, AGENT)
    client = connect(service, AGENT, encode_lines(HOT) + line + b"\n" + encode_lines(HOT))
    assert (client.transport.closed, other.transport.closed) == (True, False)
    assert len(service.pending_events) == 1 and connect(service, line + b"\n").transport.closed


@pytest.mark.parametrize(
    "message",
    [
        OUTCOMES,
        HOT,
        DEMAND,
        {"msg": "hello", "id": 1, "site": "south"},
        {"msg": "agent", "site": "west"},
        {"changes": []},
    ],
)
def test_a_stranger_may_only_name_its_zone_or_probe(make, message):
    service = make()
    asked = connect(service, b'{"msg":"probe"}\n' + encode_lines(message))
    assert connect(service, encode_lines(message, HOT)).transport.closed and asked.transport.closed
    assert not service.pending_events


@pytest.mark.parametrize(
    "data, dropped",
    [
        (b"x" * 5000, True),
        (b"x" * 4000, False),
        (AGENT + b"x" * 5000, False),
        (AGENT + b"x" * (2 << 20), True),
    ],
)
def test_incomplete_lines_are_limited_in_length(make, data, dropped):
    assert connect(make(), data).transport.closed == dropped


def test_an_incomplete_line_times_out_and_further_bytes_of_it_do_not_renew_the_timeout(make):
    service = make()
    half, slow = connect(service, AGENT + b'{"msg":'), connect(service, AGENT + b'{"msg":"later","pad":"')
    for _ in range(8):
        service.loop.run(1)
        half.data_received(b'"later"}\n{"msg":')  # each line is completed in time
        slow.data_received(b"x")
    assert slow.transport.closed and not half.transport.closed
    service.loop.run(5)
    assert half.transport.closed


@pytest.mark.parametrize("data", [b"", b"{", b'{"msg":"probe"}\n'])
def test_a_stranger_is_dropped_at_its_age_limit_whatever_it_sends(make, data):
    service = make()
    service.check_ready(True)
    collector, strangers = connect(service, AGENT), [connect(service, data) for _ in range(10)]
    for _ in range(5):
        service.loop.run(0.5)
        for client in strangers:
            if not client.transport.closed and data != b"{":
                client.data_received(data)
    assert all(client.transport.closed for client in strangers) and not collector.transport.closed
    assert (
        not service.clients.by_state["stranger"]
        and service.clients.buffered_bytes == collector.buffered_bytes
    )


def test_hundreds_of_strangers_evict_neither_collectors_nor_pending_probes(make):
    service = make()
    collectors, asks = [connect(service, AGENT) for _ in range(3)], connect(service, b'{"msg":"probe"}\n')
    strangers = [connect(service) for _ in range(500)]
    strangers[-1].data_received(AGENT)
    assert not any(client.transport.closed for client in [*collectors, asks, strangers[-1]])
    assert sum(not client.transport.closed for client in strangers) <= service.limits.max_strangers + 1
    service.loop.run(3)
    assert not asks.transport.closed and all(client.transport.closed for client in strangers[:-1])
    service.check_ready(True)
    assert asks.transport.written == b'{"msg":"alive"}\n'
    service.loop.run(3)
    assert asks.transport.closed


def test_long_lines_of_many_clients_stay_within_the_memory_limit(make):
    service = make(limits={"memory_mb": 32, "sockets": 256})
    clients = [connect(service, AGENT, b'{"msg":"later","pad":"' + b"x" * 900_000) for _ in range(20)]
    assert sum(client.transport.closed for client in clients) > 5
    assert service.clients.buffered_bytes <= service.limits.max_buffered_bytes
    first = next(client for client in clients if not client.transport.closed)
    first.data_received(b'"}\n')
    assert first.buffer.capacity < 100_000 and not first.transport.closed


def test_a_new_collector_evicts_the_one_that_was_silent_the_longest(make):
    """Vanished collectors give no sign; if they kept their places, new ones would be refused for ever."""
    service = make()
    old = [connect(service, AGENT) for _ in range(service.limits.max_collectors)]
    for client in old[1:]:
        client.data_received(encode_lines(HOT))
    new = connect(service, AGENT)
    assert old[0].transport.closed and not new.transport.closed and not old[1].transport.closed


def test_a_client_that_does_not_read_is_dropped_and_a_full_queue_pauses_reading(make):
    service = make()
    client = connect(service, AGENT)
    client.data_received(encode_lines(HOT) * service.limits.max_pending_events)
    assert not client.transport.reading
    service.loop.run(0.1)
    assert client.transport.reading
    client.pause_writing()
    assert client.transport.closed


def test_a_probe_is_answered_once_discovery_answers_or_times_out(make):
    service = make()
    client = connect(service, b'{"msg":"probe"}\n')
    service.discovery_client.start()
    assert client.transport.written == b""
    FakeConnection.created[0].end(body=endpoint_list())
    assert client.transport.written == b'{"msg":"alive"}\n'
    late = make()
    client = connect(late, b'{"msg":"probe"}\n')
    late.check_ready(True)
    assert client.transport.written == b'{"msg":"alive"}\n'


# Discovery.


def test_discovery_is_asked_for_the_whole_list_and_then_watched(make):
    service = make()
    service.discovery_client.start()
    connection = FakeConnection.created[0]
    assert connection.path == "/discovery/hosts"
    connection.end(body=endpoint_list(2, 41))
    assert handled(service) == [("full", ("s0", "ready"), ("s1", "ready"))]
    assert (
        connection.path.startswith("/discovery/hosts?after=41&wait_ms=")
        and connection.state == "awaiting response"
    )
    changed = [
        endpoint_entry(1, "draining", since_ms=1_700_000_000_123),
        endpoint_entry(7, "removed", zone="south"),
    ]
    connection.end(body=endpoint_list(0, 43, False, endpoints=changed))
    assert handled(service)[1:] == [("delta", ("s1", "draining"), ("s7", "gone"))]
    entry = service.pilot.seen[-1].entries[0]
    assert (entry.started, entry.server.machine_type, entry.server.cell) == (1_700_000_000_123_000_000, 1, 1)
    connection.end(body=endpoint_list(0, 43, False))
    assert len(handled(service)) == 2 and "after=43" in connection.path


@pytest.mark.parametrize(
    "outcome, status, body, path, events",
    [
        ("silent", 0, b"", "?after=41&", []),
        ("broken", 0, b"", "?after=41&", []),
        ("answered", 503, b"", "?after=41&", []),
        ("answered", 200, b"{", "?after=41&", []),
        ("answered", 200, b"[" * 100_000, "?after=41&", []),
        ("answered", 200, {"index": 42}, "?after=41&", []),
        ("answered", 200, endpoint_list(0, 42), "?after=41&", []),  # an empty list would remove every server
        (
            "answered",
            200,
            endpoint_list(2, 42, endpoints=[endpoint_entry(0), endpoint_entry(1, "asleep")]),
            "?after=42&",
            [("delta", ("s0", "ready"))],
        ),  # the other entries are good; the server of a malformed one is not gone
        (
            "answered",
            200,
            endpoint_list(2, 42, False, endpoints=[endpoint_entry(0, "draining"), {"name": 7}]),
            "hosts",
            [("delta", ("s0", "draining"))],
        ),
        (
            "answered",
            200,
            endpoint_list(2, 42, endpoints=[None, endpoint_entry(0, zone=[])]),
            "?after=41&",
            [],
        ),
        ("answered", 200, endpoint_list(2) | {"index": True}, "?after=41&", []),
        ("answered", 200, endpoint_list(2, 42, endpoints=[endpoint_entry(0, weight=-1)]), "?after=41&", []),
        (
            "answered",
            200,
            endpoint_list(2, 42, endpoints=[endpoint_entry(0, address="nowhere")]),
            "?after=41&",
            [],
        ),
        (
            "answered",
            200,
            endpoint_list(1, 7),
            "?after=7&",
            [("full", ("s0", "ready"))],
        ),  # discovery has restarted
        ("answered", 200, endpoint_list(1, 7, False), "hosts", []),
    ],
)
def test_a_bad_answer_of_discovery_leaves_the_list_as_it_was(make, outcome, status, body, path, events):
    service = make()
    service.discovery_client.start()
    FakeConnection.created[0].end(body=endpoint_list(2, 41))
    handled(service)
    service.pilot.seen.clear()
    FakeConnection.created[0].end(outcome, status, body)
    assert handled(service) == events
    service.loop.run(1)
    connection = FakeConnection.created[-1]
    assert (
        connection.state == "awaiting response"
        and path in connection.path
        and (path != "hosts" or connection.path.endswith("hosts"))
    )


def test_with_lists_on_request_discovery_is_asked_only_by_orders(make):
    settings = platform_config()["settings"] | {"discovery": "on_request"}
    service = make(settings=settings)
    service.discovery_client.start()
    assert not FakeConnection.created
    service.execute_orders([interface.WatchServers(True)])
    FakeConnection.created[0].end("broken")
    assert handled(service) == [("failed",)]
    service.execute_orders([interface.FetchServerList()])
    FakeConnection.created[-1].end(body=endpoint_list(1))
    assert handled(service)[1:] == [("full", ("s0", "ready"))]


def test_removed_servers_are_forgotten(make):
    """State kept by server would otherwise grow with each new name; late messages must not restore one."""
    service = make()
    service.pilot, now, feed = Pilot(service.settings), 10 * SECOND, connected_feed(service)
    service.pilot.handle(now, [service.listed])
    del service.listed
    collector, sizes = connect(service, AGENT), []
    for n in range(4, 3004):
        rows = [endpoint_entry(n - 4, "removed"), endpoint_entry(n, since_ms=now // 1_000_000)]
        service.enqueue(
            service.discovery_client.parse_list(endpoint_list(0, n, False, endpoints=rows), "delta")
        )
        collector.data_received(
            encode_lines(OUTCOMES | {"target": f"s{n - 4}"}, OUTCOMES | {"target": f"s{n - 9}"})
        )
        feed.deliver(
            ("lease", {"range": 2, "flag": True}),
            ("line", {"range": 2, "target": f"s{n - 5}", "rps": 1.0}),
            (),
        )
        orders = service.pilot.handle(now := now + SECOND, service.pending_events)
        service.pending_events.clear()
        del orders
        sizes.append(
            max(
                len(service.registry.servers),
                len(service.registry.names),
                len(service.prober.addresses),
                len(service.pilot.state.servers),
            )
        )
    assert max(sizes) <= 12 and service.warning_counts["report for an unknown server"] >= 2990


# Orders.


def test_the_orders_of_a_turn_are_one_call(make):
    service = make()
    connected_feed(service)
    look = service.settings.operations[0]
    send_orders(
        service,
        interface.Withdraw(service.registry.server("s2"), True),
        interface.SetAdmission(None, (look,), 0.6, 1),
        interface.SetAdmission(service.registry.slice(3), (), 1.0, 0),
        set_weight(service, 1, "s0", 0),
        set_weight(service, 1, "s3"),
        interface.ClearTable(service.registry.slice(5)),
        interface.Withdraw(service.registry.server("s1"), False),
    )
    (call,) = calls()
    assert call.orders == [
        {"op": "OUT", "target": "s2"},
        {"op": "LIMIT", "gate": 0.6, "again": 1, "for": ["look"]},
        {"op": "LIMIT", "gate": 1.0, "again": 0, "table": 3},
        {"op": "SET", "table": 1, "target": "s0", "rps": 0},
        {"op": "SET", "table": 1, "target": "s3", "rps": 1.0},
        {"op": "DEL", "table": 5},
        {"op": "IN", "target": "s1"},
        {"op": "SYNC", "stamp": 7, "flag": 0},
    ]
    call.end(body={"taken": 8})
    assert service.relay_feed.tables[1] == {"s3": 1.0} and service.relay_feed.tables[5] == {}


def test_pending_orders_keep_the_last_on_each_key_with_removals_first_and_the_mark_last(make):
    service = make()
    feed = connected_feed(service)
    send_orders(service, set_weight(service, 1, "s3"))
    send_orders(service, set_weight(service, 2, "s1"), set_weight(service, 4, "s1"))
    service.execute_orders(
        [
            set_weight(service, 2, "s1", 0),
            set_weight(service, 2, "s2"),
            set_weight(service, 3, "s0", 0),
            interface.Mark(8),
        ]
    )
    feed.deliver(("lease", {"range": 4, "flag": False}))
    (first,) = calls()
    first.end("answered", 429, {"error": "BUSY"})
    service.loop.run(1)
    assert [
        (order["op"], order.get("table"), order.get("target"), order.get("rps", order.get("stamp")))
        for order in calls()[1].orders
    ] == [
        ("SET", 2, "s1", 0),
        ("SET", 3, "s0", 0),
        ("SET", 1, "s3", 1.0),
        ("SET", 2, "s2", 1.0),
        ("SYNC", None, None, 8),
    ]


def test_an_order_that_the_relay_refuses_is_dropped_and_the_rest_is_sent_again(make):
    service = make()
    connected_feed(service)
    send_orders(
        service, set_weight(service, 1, "s3"), set_weight(service, 2, "s3"), set_weight(service, 3, "s3")
    )
    calls()[0].end(body={"taken": 1})
    assert [o.get("table", o.get("stamp")) for o in calls()[1].orders] == [3, 7]
    assert service.relay_feed.tables[1] == {"s0": 1.0, "s3": 1.0} and service.relay_feed.tables[2] == {
        "s0": 1.0
    }


def test_orders_too_long_for_one_call_are_split(make):
    settings = platform_config()["settings"]
    settings["specifics"]["ranges"] = 3000
    service = make(settings=settings)
    connected_feed(service)
    send_orders(service, *[set_weight(service, n, "s1") for n in range(3000)])
    while calls()[-1].state == "awaiting response":
        assert len(json.dumps({"changes": calls()[-1].orders}, separators=(",", ":"))) <= 60_000
        calls()[-1].end(body={"taken": len(calls()[-1].orders)})
    assert len(calls()) > 2 and sum(len(call.orders) for call in calls()) == 3001


@pytest.mark.parametrize(
    "outcome, status, body",
    [
        ("broken", 0, b""),
        ("silent", 0, b""),
        ("garbled", 0, b""),
        ("answered", 200, b"{"),
        ("answered", 200, b"[]"),
        ("answered", 200, {"taken": "2"}),
        ("answered", 200, {"taken": -1}),
        *[
            ("answered", 200, malformed)
            for malformed in (
                {},
                {"taken": 9},
                {"taken": True},
                {"taken": 2.5},
                {"error": "s-zz"},
                {"error": [1]},
                {"error": ""},
            )
        ],
    ],
)
@pytest.mark.parametrize("executed", [True, False])
def test_a_call_with_unknown_outcome_is_settled_by_the_state_of_the_store(
    make, outcome, status, body, executed
):
    """Repeated on a guess, its orders would count twice; dropped, drains would be late."""
    service = make()
    old = connected_feed(service)
    out = interface.Withdraw(service.registry.server("s2"), True)
    send_orders(service, set_weight(service, 1, "s0", 0), set_weight(service, 1, "s3"), out)
    calls()[0].end(outcome, status, body)
    send_orders(service, set_weight(service, 2, "s3"))
    assert len(calls()) == 1  # the next call waits until the first is settled
    new = FakeConnection.created[-1]
    assert new.path == "/stream" and old.state == "awaiting response"
    table = "s3" if executed else "s0"
    new.deliver(
        *[
            (kind, it | {"target": table} if kind == "line" and it["range"] == 1 else it)
            for kind, it in initial_events()
        ],
        (),
    )
    again = [o.get("table", o["op"]) for o in calls()[1].orders]
    assert again == ([2, "SYNC"] if executed else [1, "OUT", 1, 2, "SYNC"])
    assert old.state == "closed" and handled(service) == []


def test_changes_of_a_call_under_way_while_a_feed_connection_opens_are_our_own(make):
    service = make()
    connected_feed(service).end("broken")
    service.loop.run(1)
    send_orders(service, set_weight(service, 1, "s0", 0), set_weight(service, 1, "s3"))
    FakeConnection.created[-2].deliver(
        *[
            (kind, it | {"target": "s3"} if kind == "line" and it["range"] == 1 else it)
            for kind, it in initial_events()
        ],
        (),
    )
    calls()[0].end(body={"taken": 3})
    assert handled(service) == [] and service.relay_feed.tables[1] == {"s3": 1.0}


def test_a_feed_connection_opened_before_the_outcome_was_unknown_does_not_settle_the_call(make):
    service = make()
    connected_feed(service).end("broken")
    service.loop.run(1)
    early = FakeConnection.created[-1]
    early.deliver(*initial_events())
    send_orders(service, set_weight(service, 1, "s3"))
    calls()[0].end("silent")
    assert (
        early.state == "closed"
        and FakeConnection.created[-1] is not early
        and service.order_sender.state == "doubt"
    )


@pytest.mark.parametrize("outcome, status, body", [("answered", 429, {"error": "BUSY"}), ("broken", 0, b"")])
def test_orders_from_before_a_slice_was_assigned_again_are_dropped(make, outcome, status, body):
    """The decision logic has read the table anew by then; older orders, executed later, would change it."""
    service = make()
    feed = connected_feed(service)
    send_orders(service, set_weight(service, 1, "s3"), set_weight(service, 2, "s3"))
    calls()[0].end(outcome, status, body)
    again = [
        ("lease", {"range": 1, "flag": False}),
        ("lease", {"range": 1, "flag": True}),
        ("line", {"range": 1, "target": "s2", "rps": 1.0}),
        (),
    ]
    feed.deliver(*again)
    if outcome == "broken":
        FakeConnection.created[-1].deliver(
            *[item for item in initial_events() if item[1].get("range") != 1], *again[1:]
        )
    service.loop.run(1)
    assert [order.get("table", order["op"]) for order in calls()[1].orders] == [2, "SYNC"]
    assert handled(service) == [("assigned", 1, False), ("assigned", 1, True), ("replica", 1, "s2", 1.0)]


def test_a_call_that_was_not_sent_is_repeated(make):
    service = make()
    connected_feed(service)
    send_orders(service, set_weight(service, 1, "s3"))
    for _ in range(12):
        calls()[-1].end("unsent")
        service.loop.run(0.7)
    assert len(calls()) == 13 and calls()[-1].orders == calls()[0].orders


def test_a_batch_rejected_as_malformed_is_not_repeated(make):
    service = make()
    connected_feed(service)
    send_orders(service, set_weight(service, 1, "s3"))
    calls()[0].end("answered", 400, {"error": "SYNTAX"})
    service.loop.run(5)
    assert len(calls()) == 1 and "batch rejected by the relay as malformed" in service.log.lines


def test_an_unsupported_order_is_logged_and_not_sent(make):
    service = make()
    service.execute_orders([interface.BindProxy(service.registry.slice(1), service.registry.proxy(1))])
    assert not calls() and any("not supported" in line for line in service.log.lines)


# The relay's feed.


def test_after_a_reconnect_only_changes_become_events(make):
    service = make()
    connected_feed(service).end("broken")
    service.loop.run(1)
    changed = [
        ("lease", {"range": 5, "flag": True}),
        ("line", {"range": 5, "target": "s1", "rps": 1.0}),
        ("line", {"range": 5, "target": "s2", "rps": 0.5}),
    ]
    rows = [item for item in initial_events(proxies=2) if item[1].get("range") not in (4, 5, 6)]
    FakeConnection.created[-1].deliver(
        ("hello", {"id": 0, "site": "south", "rps": 1.0, "new": True}), *rows[1:], *changed
    )
    assert ("left", 2) not in handled(service)  # it may still come
    FakeConnection.created[-1].deliver(())
    assert handled(service) == [
        ("left", 0),
        ("joined", 0),
        ("assigned", 5, True),
        ("replica", 5, "s1", 1.0),
        ("replica", 5, "s2", 0.5),
        ("left", 2),
        ("assigned", 4, False),
        ("assigned", 6, False),
    ]


def test_a_slice_is_assigned_together_with_all_its_lines(make):
    """Without them its table would look empty, and a server would be ordered that it does not need."""
    service = make()
    feed = connected_feed(service)
    feed.deliver(("lease", {"range": 3, "flag": False}), ("lease", {"range": 3, "flag": True}))
    service.loop.run(0.01)
    feed.deliver(("line", {"range": 3, "target": "s1", "rps": 1.0}))
    service.loop.run(0.01)
    feed.deliver(("line", {"range": 3, "target": "s2", "rps": 1.0}))
    assert not any(isinstance(event, interface.SliceReplica) for event in service.pilot.seen)
    service.loop.run(0.2)
    assert handled(service) == [
        ("assigned", 3, False),
        ("assigned", 3, True),
        ("replica", 3, "s1", 1.0),
        ("replica", 3, "s2", 1.0),
    ]


def test_a_silent_feed_is_reconnected(make):
    service = make()
    feed = connected_feed(service)
    for _ in range(4):
        service.loop.run(1)
        feed.deliver(("ack", {"id": 1, "seq": 9, "ms": 300.5}), ())
    assert len(FakeConnection.created) == 1 and ("applied", 1, 9) in handled(service)
    service.loop.run(4)
    assert feed.state == "closed" and FakeConnection.created[-1].state == "awaiting response"


@pytest.mark.parametrize(
    "data", [b"{\n", b"[]\n", b"7\n", b"\xff\n", b"[" * 100_000 + b"\n", b"x" * (2 << 20)]
)
def test_undecodable_feed_data_ends_the_connection(make, data):
    service = make()
    feed = connected_feed(service)
    feed.on_chunk(data)
    assert feed.state == "closed" and not handled(service)
    service.loop.run(1)
    assert FakeConnection.created[-1].state == "awaiting response" and FakeConnection.created[-1] is not feed


@pytest.mark.parametrize(
    "kind, body",
    [
        ("weather", {"sun": True}),
        ("hello", {"id": 99, "site": "south"}),
        ("hello", {"id": 1, "site": "west"}),
        ("lease", {"range": 8, "flag": True}),
        ("ack", {"id": 1, "seq": -1}),
        ("bye", None),
        ("line", {}),
        (["ack"], {}),
    ],
)
def test_unknown_or_malformed_feed_messages_are_skipped(make, kind, body):
    service = make()
    feed = connected_feed(service)
    feed.deliver((kind, body))
    assert feed.state == "awaiting response" and not handled(service)


# Servers, pilots, HTTP, the loop.


@pytest.mark.parametrize(
    "outcome, status, body, result, load",
    [
        ("answered", 200, b"cpu=0.61,waiting=2,odd=1,waiting", "ok", {"util": 0.61, "queue": 2.0}),
        ("answered", 200, b"\xff", "ok", {}),
        ("answered", 503, b"", "full", {}),
        ("answered", 404, b"", "error", {}),
        ("silent", 0, b"", "timeout", {}),
        ("broken", 0, b"", "reset", {}),
        ("unsent", 0, b"", "connect_failed", {}),
        ("garbled", 0, b"", "error", {}),
    ],
)
def test_probe_results_tell_how_the_probe_ended(make, outcome, status, body, result, load):
    service = make()
    service.execute_orders([interface.Probe(service.registry.server("s2"))])
    assert (
        FakeConnection.created[0].path == "/metrics/load"
        and FakeConnection.created[0].target == "127.0.0.1:9002"
    )
    FakeConnection.created[0].end(outcome, status, body)
    (event,) = service.pending_events
    assert (event.status, event.load) == (result, load)


@pytest.mark.parametrize("known", [True, False])
def test_a_probe_that_is_not_sent_makes_no_event(make, known):
    """Reported as a failed connection, it condemned healthy servers when many were probed at once."""
    service = make(limits={"sockets": 16})
    servers = [service.registry.server(f"s{n}") for n in (range(3) if known else range(90, 93))]
    service.execute_orders([interface.Probe(server) for server in servers])
    assert len(FakeConnection.created) == (2 if known else 0) and not service.pending_events
    assert service.warning_counts == {"probe not sent": 1 if known else 3}


def test_datagrams_are_exchanged_only_with_the_listed_pilots(make):
    class RecordingTransport(list):
        def sendto(self, data, to):
            self.append((data, to))

    service = make()
    pilots = PeerMessenger(service, ["127.0.0.1:1", "127.0.0.2:2"], "127.0.0.9:3")
    pilots.connection_made(RecordingTransport())
    pilots.send(1, b"a")
    pilots.send(None, b"b")
    pilots.send(1, bytes(257))
    assert pilots.transport == [(b"a", ("127.0.0.2", 2)), (b"b", ("127.0.0.9", 3))]
    for data, source in ((b"c", ("127.0.0.2", 2)), (b"d", ("127.0.0.3", 2)), (bytes(257), ("127.0.0.2", 2))):
        pilots.datagram_received(data, source)
    assert [(event.pilot, event.data) for event in service.pending_events] == [(1, b"c")]


class UndialledConnection(http.Connection):
    """A connection that the test connects."""

    async def dial(self):
        pass


@pytest.mark.parametrize(
    "data, result",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", ("answered", 200, b"hello")),
        (b"HTTP/1.1 429 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", ("answered", 429, b"")),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
            ("answered", 200, b"hello"),
        ),
        (b"SMTP ready\r\n", ("garbled", 0, b"")),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + b"\n" * 70000, ("garbled", 0, b"")),
    ],
)
@pytest.mark.parametrize("size", [1, 1000])
def test_responses_are_parsed_however_they_are_split(make, data, result, size):
    service, ends = make(limits={"memory_mb": 1, "sockets": 64}), []
    service.loop.create_task = lambda task: task.close()
    connection = UndialledConnection(
        service.clock, service.limits, "127.0.0.1:9", lambda *result: ends.append(result)
    )
    connection.call("GET", "/x", SECOND)
    connection.connection_made(FakeTransport())
    for at in range(0, len(data), size):
        connection.data_received(data[at : at + size])
    assert ends == [result]
    assert connection.state == ("idle" if result[0] == "answered" and b"close" not in data else "closed")


def test_an_error_response_in_place_of_the_feed_is_not_read_as_feed(make):
    service, ends, chunks = make(), [], []
    service.loop.create_task = lambda task: task.close()
    connection = UndialledConnection(
        service.clock, service.limits, "127.0.0.1:9", lambda *result: ends.append(result[0]), chunks.append
    )
    connection.call("GET", "/stream", SECOND)
    connection.connection_made(FakeTransport())
    connection.data_received(b"HTTP/1.1 429 Busy\r\nContent-Length: 2\r\n\r\n{}")
    assert ends == ["garbled"] and not chunks


def test_a_timeout_waits_until_data_that_came_during_a_stall_is_read(make):
    service = make()
    done = []
    service.clock.start_timeout(SECOND, lambda: done.append("late"))
    service.loop.run(1.0)
    assert not done
    service.loop.run(0.1)
    assert done == ["late"]


def test_a_timer_that_is_already_due_fires_in_a_later_turn(make):
    service = make()
    service.pilot.orders = [interface.SetTimer(service.clock.now(), 5)]
    service.enqueue(interface.TimerFired(1))
    service.loop.run(0.001)
    assert [event.label for event in service.pilot.seen] == [1]
    service.loop.run(0.1)
    assert [event.label for event in service.pilot.seen] == [1, 5]


def test_a_timer_that_fires_early_makes_no_event(make):
    """The event loop rounds to milliseconds; decision logic woken too soon would set no other timer."""
    service = make()
    service.execute_orders([interface.SetTimer(service.clock.now() + 60 * SECOND, 5)])
    service.loop.run(300)  # the event loop's time runs ahead of the clock
    assert not service.pending_events and not service.pilot.seen and not service.loop.due[-1].off


def test_an_exception_in_the_decision_logic_ends_the_process_and_is_logged(make):
    service = make()
    service.pilot.handle = lambda now, events: 1 // 0
    service.enqueue(interface.TimerFired(1))
    service.loop.run(1)
    assert service.loop.stopped and service.status == 1
    assert "decision logic raised an exception; stopping" in service.log.lines


@pytest.mark.parametrize(
    "changes, message",
    [
        ({"settings": None}, "config.json"),
        ({"listen": "nowhere"}, "not an address: 'nowhere'"),
        ({"store": {}}, "'address' is missing"),
        ({"known": {"endpoints": [{}]}}, "'name' is missing"),
        ({"peers": ["x:y"]}, "not an address"),
        ({"settings": {"tick": "soon"}}, "config.json"),
    ],
)
def test_a_bad_configuration_is_reported(tmp_path, changes, message):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(platform_config(**changes)))
    with pytest.raises(config.ConfigError, match=message):
        config.load(str(path), {})
