"""The transport by cases, with no sockets: time, connections and decisions are the helpers'."""

import json

import pytest

from flintreach.net import config, http, relay, roster, servers
from flintreach.net.clients import Client
from flintreach.net.pilots import PeerMessenger
from flintreach.net.service import Service
from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND
from flintreach.pilot.logic import Pilot
from flintreach.standins.platform import listing, row, stands, told
from tests.helpers import FakeConnection, FakeLoop, FakeTransport, RecordingLog, RecordingPilot


@pytest.fixture
def make(monkeypatch, tmp_path):
    """A service that has been told the first list; its connections are in FakeConnection.created."""
    for module in (relay, roster, servers):
        monkeypatch.setattr(module, "Connection", FakeConnection)
    monkeypatch.setattr(FakeConnection, "created", [])

    def build(**changes):
        path = tmp_path / "config.json"
        path.write_text(json.dumps(told(**changes)))
        service = Service(config.load(str(path), {}), FakeLoop(), RecordingLog())
        service.pilot = RecordingPilot()
        service.listed = service.discovery_client.parse_list(
            service.config.cached_list, "cached"
        )  # for as long as decisions would
        return service

    return build


def joined(service):
    """Its news connection, with three proxies and all slices told."""
    service.relay_feed.connect()
    news = FakeConnection.created[-1]
    news.deliver(*stands(), ())
    service.loop.run(0.1)
    service.pilot.seen.clear()
    return news


def seen(service):
    """What the decisions have been told, in short."""
    service.loop.run(0.1)
    short = {
        interface.ProxyJoined: lambda e: ("joined", e.proxy.number),
        interface.ProxyLeft: lambda e: ("left", e.proxy.number),
        interface.SliceAssignment: lambda e: ("given", e.slice.number, e.owned),
        interface.SliceReplica: lambda e: ("held", e.slice.number, e.server.name, e.weight),
        interface.OrdersApplied: lambda e: ("applied", e.proxy.number, e.number),
        interface.ServerList: lambda e: (e.kind, *[(entry.server.name, entry.state) for entry in e.entries]),
    }
    return [short[type(event)](event) for event in service.pilot.seen if type(event) in short]


def put(service, number, server, weight=1.0):
    return interface.SetWeight(service.registry.slice(number), service.registry.server(server), weight)


def calls():
    return [wire for wire in FakeConnection.created if getattr(wire, "path", "") == "/batches"]


def order(service, *orders):
    service.execute_orders([*orders, interface.Mark(7)])


# Clients.


def connect(service, *lines):
    client = Client(service.clients)
    client.connection_made(FakeTransport())
    for line in lines:
        client.data_received(line)
    return client


AGENT = b'{"msg":"agent","site":"south"}\n'
SUMS = {
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


def text(*messages):
    return b"".join(json.dumps(message).encode() + b"\n" for message in messages)


def test_sums_become_events_across_pieces_of_one_byte(make):
    service = make()
    rows = text(SUMS, HOT, SUMS | {"target": "unheard-of"}, DEMAND)
    connect(service, AGENT, *[bytes([byte]) for byte in rows])
    heard, demand, usage = service.pending_events
    assert (usage.slice, usage.proxy.number, usage.tries) == (None, 2, 5)
    assert (heard.zone, heard.server.name, heard.tries, heard.unanswered) == (1, "s1", 9, 1)
    assert (heard.latency, heard.span, heard.load) == (41_500_000, SECOND, {"util": 0.5, "queue": 2})
    # What came a period before may fail in this one: more fail than came.
    assert (demand.slice.number, demand.operation.name, demand.tries, demand.unanswered) == (3, "book", 4, 6)
    assert "unheard-of" not in service.registry.servers


BAD = (None, "", "x", "nan", "9", True, -3, 2.5, 1e300, 10**400, float("nan"), float("inf"), [1], {"a": {}})
SPOILT = [
    *[
        SUMS | {field: bad}
        for field, good in (
            ("count", ()),
            ("fail", ()),
            ("mean", (2.5,)),
            ("over", (2.5,)),
            ("site", ()),
            ("target", ("", "x", "nan", "9")),
            ("util", ()),
        )
        for bad in BAD
        if bad not in good
    ],
    *[HOT | {field: bad} for field in ("range", "lane", "count", "fail") for bad in BAD],
    *[SUMS | {"util": {"cpu": bad}} for bad in BAD if bad != 2.5],
    *[
        {key: value for key, value in message.items() if key != field}
        for message, fields in (
            (SUMS, ("site", "target", "count", "fail", "mean", "over")),
            (HOT, ("range", "lane", "count", "fail", "over")),
        )
        for field in fields
    ],
    SUMS | {"mean": 60_000.0},
    SUMS | {"over": 38654705664},
    HOT | {"range": 8},
    {"msg": "agent", "site": "west"},
    {},
    [],
    7,
    None,
    {"msg": ["probe"]},
    {"msg": "news of tomorrow"},
]


@pytest.mark.parametrize("message", SPOILT, ids=lambda message: json.dumps(message)[:60])
def test_a_spoilt_report_costs_that_one_message_and_a_stranger_its_connection(make, message):
    service = make()
    collector = connect(service, AGENT, text(SUMS)[:20], text(SUMS)[20:] + text(message, HOT))
    assert not collector.transport.closed and collector.state == "collector"
    assert [type(event) for event in service.pending_events] == [
        interface.ServerReport,
        interface.DemandReport,
    ]
    assert service.warning_counts == {"malformed report": 1} or message == SUMS | {"target": "x"}
    assert connect(service, text(message)).transport.closed


@pytest.mark.parametrize("line", [b"{", b"\xff\xfe", b"[" * 100_000, b"GET / HTTP/1.1\r", b"SET 4 s1 1.5"])
def test_bytes_that_cannot_be_read_end_their_connection_alone(make, line):
    service = make()
    other = connect(service, AGENT)
    client = connect(service, AGENT, text(HOT) + line + b"\n" + text(HOT))
    assert (client.transport.closed, other.transport.closed) == (True, False)
    assert len(service.pending_events) == 1 and connect(service, line + b"\n").transport.closed


@pytest.mark.parametrize(
    "message",
    [
        SUMS,
        HOT,
        DEMAND,
        {"msg": "hello", "id": 1, "site": "south"},
        {"msg": "agent", "site": "west"},
        {"changes": []},
    ],
)
def test_before_a_zone_is_named_nothing_but_that_and_the_question_counts(make, message):
    service = make()
    asked = connect(service, b'{"msg":"probe"}\n' + text(message))
    assert connect(service, text(message, HOT)).transport.closed and asked.transport.closed
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
def test_lines_that_do_not_end_are_bounded(make, data, dropped):
    assert connect(make(), data).transport.closed == dropped


def test_half_a_line_of_a_collector_is_borne_for_a_while_and_no_piece_renews_it(make):
    service = make()
    half, slow = connect(service, AGENT + b'{"msg":'), connect(service, AGENT + b'{"msg":"later","pad":"')
    for _ in range(8):
        service.loop.run(1)
        half.data_received(b'"later"}\n{"msg":')  # each line ends in time
        slow.data_received(b"x")
    assert slow.transport.closed and not half.transport.closed
    service.loop.run(5)
    assert half.transport.closed


@pytest.mark.parametrize("says", [b"", b"{", b'{"msg":"probe"}\n'])
def test_a_stranger_is_bound_by_age_whatever_it_says(make, says):
    service = make()
    service.check_ready(True)
    collector, strangers = connect(service, AGENT), [connect(service, says) for _ in range(10)]
    for _ in range(5):
        service.loop.run(0.5)
        for client in strangers:
            if not client.transport.closed and says != b"{":
                client.data_received(says)
    assert all(client.transport.closed for client in strangers) and not collector.transport.closed
    assert (
        not service.clients.by_state["stranger"]
        and service.clients.buffered_bytes == collector.buffered_bytes
    )


def test_hundreds_of_strangers_push_out_neither_collectors_nor_questions(make):
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


def test_long_lines_of_many_do_not_take_all_memory(make):
    service = make(limits={"memory_mb": 32, "sockets": 256})
    clients = [connect(service, AGENT, b'{"msg":"later","pad":"' + b"x" * 900_000) for _ in range(20)]
    assert sum(client.transport.closed for client in clients) > 5
    assert service.clients.buffered_bytes <= service.limits.max_buffered_bytes
    first = next(client for client in clients if not client.transport.closed)
    first.data_received(b'"}\n')
    assert first.buffer.capacity < 100_000 and not first.transport.closed


def test_collectors_that_vanished_make_room_for_new_ones(make):
    """They give no sign; without room the new collectors of their zones would be turned away for ever."""
    service = make()
    old = [connect(service, AGENT) for _ in range(service.limits.max_collectors)]
    for client in old[1:]:
        client.data_received(text(HOT))
    new = connect(service, AGENT)
    assert old[0].transport.closed and not new.transport.closed and not old[1].transport.closed


def test_who_reads_nothing_is_dropped_and_a_flood_of_sums_waits_for_a_turn(make):
    service = make()
    client = connect(service, AGENT)
    client.data_received(text(HOT) * service.limits.max_pending_events)
    assert not client.transport.reading
    service.loop.run(0.1)
    assert client.transport.reading
    client.pause_writing()
    assert client.transport.closed


def test_a_sign_of_life_waits_for_discovery_but_not_for_ever(make):
    service = make()
    client = connect(service, b'{"msg":"probe"}\n')
    service.discovery_client.start()
    assert client.transport.written == b""
    FakeConnection.created[0].end(body=listing())
    assert client.transport.written == b'{"msg":"alive"}\n'
    late = make()
    client = connect(late, b'{"msg":"probe"}\n')
    late.check_ready(True)
    assert client.transport.written == b'{"msg":"alive"}\n'


# Discovery.


def test_the_whole_list_then_watches_at_once(make):
    service = make()
    service.discovery_client.start()
    wire = FakeConnection.created[0]
    assert wire.path == "/discovery/hosts"
    wire.end(body=listing(2, 41))
    assert seen(service) == [("full", ("s0", "ready"), ("s1", "ready"))]
    assert wire.path.startswith("/discovery/hosts?after=41&wait_ms=") and wire.state == "awaiting response"
    changed = [row(1, "draining", since_ms=1_700_000_000_123), row(7, "removed", zone="south")]
    wire.end(body=listing(0, 43, False, endpoints=changed))
    assert seen(service)[1:] == [("delta", ("s1", "draining"), ("s7", "gone"))]
    entry = service.pilot.seen[-1].entries[0]
    assert (entry.started, entry.server.machine_type, entry.server.cell) == (1_700_000_000_123_000_000, 1, 1)
    wire.end(body=listing(0, 43, False))
    assert len(seen(service)) == 2 and "after=43" in wire.path


@pytest.mark.parametrize(
    "how, status, body, path, told",
    [
        ("silent", 0, b"", "?after=41&", []),
        ("broken", 0, b"", "?after=41&", []),
        ("answered", 503, b"", "?after=41&", []),
        ("answered", 200, b"{", "?after=41&", []),
        ("answered", 200, b"[" * 100_000, "?after=41&", []),
        ("answered", 200, {"index": 42}, "?after=41&", []),
        ("answered", 200, listing(0, 42), "?after=41&", []),  # an empty list would take every server away
        (
            "answered",
            200,
            listing(2, 42, endpoints=[row(0), row(1, "asleep")]),
            "?after=42&",
            [("delta", ("s0", "ready"))],
        ),  # the other rows are good; who is named badly is not gone
        (
            "answered",
            200,
            listing(2, 42, False, endpoints=[row(0, "draining"), {"name": 7}]),
            "hosts",
            [("delta", ("s0", "draining"))],
        ),
        ("answered", 200, listing(2, 42, endpoints=[None, row(0, zone=[])]), "?after=41&", []),
        ("answered", 200, listing(2) | {"index": True}, "?after=41&", []),
        ("answered", 200, listing(2, 42, endpoints=[row(0, weight=-1)]), "?after=41&", []),
        ("answered", 200, listing(2, 42, endpoints=[row(0, address="nowhere")]), "?after=41&", []),
        ("answered", 200, listing(1, 7), "?after=7&", [("full", ("s0", "ready"))]),  # it began anew
        ("answered", 200, listing(1, 7, False), "hosts", []),
    ],
)
def test_a_bad_answer_leaves_the_old_list_standing(make, how, status, body, path, told):
    service = make()
    service.discovery_client.start()
    FakeConnection.created[0].end(body=listing(2, 41))
    seen(service)
    service.pilot.seen.clear()
    FakeConnection.created[0].end(how, status, body)
    assert seen(service) == told
    service.loop.run(1)
    wire = FakeConnection.created[-1]
    assert (
        wire.state == "awaiting response"
        and path in wire.path
        and (path != "hosts" or wire.path.endswith("hosts"))
    )


def test_where_the_list_must_be_asked_for_the_decisions_ask(make):
    settings = told()["settings"] | {"discovery": "on_request"}
    service = make(settings=settings)
    service.discovery_client.start()
    assert not FakeConnection.created
    service.execute_orders([interface.WatchServers(True)])
    FakeConnection.created[0].end("broken")
    assert seen(service) == [("failed",)]
    service.execute_orders([interface.FetchServerList()])
    FakeConnection.created[-1].end(body=listing(1))
    assert seen(service)[1:] == [("full", ("s0", "ready"))]


def test_servers_that_come_and_go_all_day_are_forgotten(make):
    """With new ids for ever all that is kept by server would grow; late news must not bring one back."""
    service = make()
    service.pilot, now, news = Pilot(service.settings), 10 * SECOND, joined(service)
    service.pilot.handle(now, [service.listed])
    del service.listed
    collector, sizes = connect(service, AGENT), []
    for n in range(4, 3004):
        rows = [row(n - 4, "removed"), row(n, since_ms=now // 1_000_000)]
        service.enqueue(service.discovery_client.parse_list(listing(0, n, False, endpoints=rows), "delta"))
        collector.data_received(text(SUMS | {"target": f"s{n - 4}"}, SUMS | {"target": f"s{n - 9}"}))
        news.deliver(
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


def test_the_orders_of_a_reply_are_one_call(make):
    service = make()
    joined(service)
    look = service.settings.operations[0]
    order(
        service,
        interface.Withdraw(service.registry.server("s2"), True),
        interface.SetAdmission(None, (look,), 0.6, 1),
        interface.SetAdmission(service.registry.slice(3), (), 1.0, 0),
        put(service, 1, "s0", 0),
        put(service, 1, "s3"),
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


def test_what_waits_is_folded_to_the_last_word_with_removals_first_and_the_mark_last(make):
    service = make()
    news = joined(service)
    order(service, put(service, 1, "s3"))
    order(service, put(service, 2, "s1"), put(service, 4, "s1"))
    service.execute_orders(
        [put(service, 2, "s1", 0), put(service, 2, "s2"), put(service, 3, "s0", 0), interface.Mark(8)]
    )
    news.deliver(("lease", {"range": 4, "flag": False}))
    (first,) = calls()
    first.end("answered", 429, {"error": "BUSY"})
    service.loop.run(1)
    assert [
        (told["op"], told.get("table"), told.get("target"), told.get("rps", told.get("stamp")))
        for told in calls()[1].orders
    ] == [
        ("SET", 2, "s1", 0),
        ("SET", 3, "s0", 0),
        ("SET", 1, "s3", 1.0),
        ("SET", 2, "s2", 1.0),
        ("SYNC", None, None, 8),
    ]


def test_an_order_that_the_relay_refuses_is_left_out_and_the_rest_goes_on(make):
    service = make()
    joined(service)
    order(service, put(service, 1, "s3"), put(service, 2, "s3"), put(service, 3, "s3"))
    calls()[0].end(body={"taken": 1})
    assert [o.get("table", o.get("stamp")) for o in calls()[1].orders] == [3, 7]
    assert service.relay_feed.tables[1] == {"s0": 1.0, "s3": 1.0} and service.relay_feed.tables[2] == {
        "s0": 1.0
    }


def test_a_reply_too_long_for_one_call_is_split(make):
    settings = told()["settings"]
    settings["specifics"]["ranges"] = 3000
    service = make(settings=settings)
    joined(service)
    order(service, *[put(service, n, "s1") for n in range(3000)])
    while calls()[-1].state == "awaiting response":
        assert len(json.dumps({"changes": calls()[-1].orders}, separators=(",", ":"))) <= 60_000
        calls()[-1].end(body={"taken": len(calls()[-1].orders)})
    assert len(calls()) > 2 and sum(len(call.orders) for call in calls()) == 3001


@pytest.mark.parametrize(
    "how, status, body",
    [
        ("broken", 0, b""),
        ("silent", 0, b""),
        ("garbled", 0, b""),
        ("answered", 200, b"{"),
        ("answered", 200, b"[]"),
        ("answered", 200, {"taken": "2"}),
        ("answered", 200, {"taken": -1}),
        *[
            ("answered", 200, spoilt)
            for spoilt in (
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
@pytest.mark.parametrize("carried", [True, False])
def test_a_call_in_doubt_is_settled_by_what_the_store_holds(make, how, status, body, carried):
    """Repeated on a guess, its lines and messages would count twice; dropped, drains would be late."""
    service = make()
    old = joined(service)
    out = interface.Withdraw(service.registry.server("s2"), True)
    order(service, put(service, 1, "s0", 0), put(service, 1, "s3"), out)
    calls()[0].end(how, status, body)
    order(service, put(service, 2, "s3"))
    assert len(calls()) == 1  # it waits until the first is settled
    new = FakeConnection.created[-1]
    assert new.path == "/stream" and old.state == "awaiting response"
    table = "s3" if carried else "s0"
    new.deliver(
        *[
            (kind, it | {"target": table} if kind == "line" and it["range"] == 1 else it)
            for kind, it in stands()
        ],
        (),
    )
    again = [o.get("table", o["op"]) for o in calls()[1].orders]
    assert again == ([2, "SYNC"] if carried else [1, "OUT", 1, 2, "SYNC"])
    assert old.state == "closed" and seen(service) == []


def test_a_call_in_hand_while_news_open_is_no_change_by_others(make):
    service = make()
    joined(service).end("broken")
    service.loop.run(1)
    order(service, put(service, 1, "s0", 0), put(service, 1, "s3"))
    FakeConnection.created[-2].deliver(
        *[
            (kind, it | {"target": "s3"} if kind == "line" and it["range"] == 1 else it)
            for kind, it in stands()
        ],
        (),
    )
    calls()[0].end(body={"taken": 3})
    assert seen(service) == [] and service.relay_feed.tables[1] == {"s3": 1.0}


def test_a_connection_that_opened_before_the_doubt_does_not_settle_it(make):
    service = make()
    joined(service).end("broken")
    service.loop.run(1)
    early = FakeConnection.created[-1]
    early.deliver(*stands())
    order(service, put(service, 1, "s3"))
    calls()[0].end("silent")
    assert (
        early.state == "closed"
        and FakeConnection.created[-1] is not early
        and service.order_sender.state == "doubt"
    )


@pytest.mark.parametrize("end, status, body", [("answered", 429, {"error": "BUSY"}), ("broken", 0, b"")])
def test_orders_of_before_a_slice_was_given_anew_are_dropped(make, end, status, body):
    """The decisions have read its table again by then; what they ordered before would part the two."""
    service = make()
    news = joined(service)
    order(service, put(service, 1, "s3"), put(service, 2, "s3"))
    calls()[0].end(end, status, body)
    again = [
        ("lease", {"range": 1, "flag": False}),
        ("lease", {"range": 1, "flag": True}),
        ("line", {"range": 1, "target": "s2", "rps": 1.0}),
        (),
    ]
    news.deliver(*again)
    if end == "broken":
        FakeConnection.created[-1].deliver(
            *[item for item in stands() if item[1].get("range") != 1], *again[1:]
        )
    service.loop.run(1)
    assert [told.get("table", told["op"]) for told in calls()[1].orders] == [2, "SYNC"]
    assert seen(service) == [("given", 1, False), ("given", 1, True), ("held", 1, "s2", 1.0)]


def test_a_call_that_never_left_is_made_again_soon(make):
    service = make()
    joined(service)
    order(service, put(service, 1, "s3"))
    for _ in range(12):
        calls()[-1].end("unsent")
        service.loop.run(0.7)
    assert len(calls()) == 13 and calls()[-1].orders == calls()[0].orders


def test_a_call_not_understood_is_not_made_for_ever(make):
    service = make()
    joined(service)
    order(service, put(service, 1, "s3"))
    calls()[0].end("answered", 400, {"error": "SYNTAX"})
    service.loop.run(5)
    assert len(calls()) == 1 and "batch rejected by the relay as malformed" in service.log.lines


def test_what_the_protocol_cannot_carry_is_refused_plainly(make):
    service = make()
    service.execute_orders([interface.BindProxy(service.registry.slice(1), service.registry.proxy(1))])
    assert not calls() and any("not supported" in line for line in service.log.lines)


# News.


def test_after_a_new_connection_only_what_changed_is_told(make):
    service = make()
    joined(service).end("broken")
    service.loop.run(1)
    changed = [
        ("lease", {"range": 5, "flag": True}),
        ("line", {"range": 5, "target": "s1", "rps": 1.0}),
        ("line", {"range": 5, "target": "s2", "rps": 0.5}),
    ]
    rows = [item for item in stands(proxies=2) if item[1].get("range") not in (4, 5, 6)]
    FakeConnection.created[-1].deliver(
        ("hello", {"id": 0, "site": "south", "rps": 1.0, "new": True}), *rows[1:], *changed
    )
    assert ("left", 2) not in seen(service)  # perhaps it is still to come
    FakeConnection.created[-1].deliver(())
    assert seen(service) == [
        ("left", 0),
        ("joined", 0),
        ("given", 5, True),
        ("held", 5, "s1", 1.0),
        ("held", 5, "s2", 0.5),
        ("left", 2),
        ("given", 4, False),
        ("given", 6, False),
    ]


def test_a_slice_is_given_with_all_its_lines(make):
    """Given without them, its table would look empty, and a server be ordered that it need not have."""
    service = make()
    news = joined(service)
    news.deliver(("lease", {"range": 3, "flag": False}), ("lease", {"range": 3, "flag": True}))
    service.loop.run(0.01)
    news.deliver(("line", {"range": 3, "target": "s1", "rps": 1.0}))
    service.loop.run(0.01)
    news.deliver(("line", {"range": 3, "target": "s2", "rps": 1.0}))
    assert not any(isinstance(event, interface.SliceReplica) for event in service.pilot.seen)
    service.loop.run(0.2)
    assert seen(service) == [
        ("given", 3, False),
        ("given", 3, True),
        ("held", 3, "s1", 1.0),
        ("held", 3, "s2", 1.0),
    ]


def test_news_that_fall_silent_are_dialled_anew(make):
    service = make()
    news = joined(service)
    for _ in range(4):
        service.loop.run(1)
        news.deliver(("ack", {"id": 1, "seq": 9, "ms": 300.5}), ())
    assert len(FakeConnection.created) == 1 and ("applied", 1, 9) in seen(service)
    service.loop.run(4)
    assert news.state == "closed" and FakeConnection.created[-1].state == "awaiting response"


@pytest.mark.parametrize(
    "data", [b"{\n", b"[]\n", b"7\n", b"\xff\n", b"[" * 100_000 + b"\n", b"x" * (2 << 20)]
)
def test_news_that_cannot_be_read_end_the_connection(make, data):
    service = make()
    news = joined(service)
    news.on_chunk(data)
    assert news.state == "closed" and not seen(service)
    service.loop.run(1)
    assert FakeConnection.created[-1].state == "awaiting response" and FakeConnection.created[-1] is not news


@pytest.mark.parametrize(
    "kind, told",
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
def test_news_of_what_is_not_known_are_passed_over(make, kind, told):
    service = make()
    news = joined(service)
    news.deliver((kind, told))
    assert news.state == "awaiting response" and not seen(service)


# Servers, pilots, HTTP, the loop.


@pytest.mark.parametrize(
    "how, status, body, said, load",
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
def test_probes_tell_how_they_ended(make, how, status, body, said, load):
    service = make()
    service.execute_orders([interface.Probe(service.registry.server("s2"))])
    assert (
        FakeConnection.created[0].path == "/metrics/load"
        and FakeConnection.created[0].target == "127.0.0.1:9002"
    )
    FakeConnection.created[0].end(how, status, body)
    (event,) = service.pending_events
    assert (event.status, event.load) == (said, load)


@pytest.mark.parametrize("known", [True, False])
def test_a_question_that_is_not_sent_says_nothing_of_its_server(make, known):
    """Told as one that could not connect, it condemned healthy servers when many were asked at once."""
    service = make(limits={"sockets": 16})
    servers = [service.registry.server(f"s{n}") for n in (range(3) if known else range(90, 93))]
    service.execute_orders([interface.Probe(server) for server in servers])
    assert len(FakeConnection.created) == (2 if known else 0) and not service.pending_events
    assert service.warning_counts == {"probe not sent": 1 if known else 3}


def test_datagrams_go_and_come_between_the_pilots_alone(make):
    class Sent(list):
        def sendto(self, data, to):
            self.append((data, to))

    service = make()
    pilots = PeerMessenger(service, ["127.0.0.1:1", "127.0.0.2:2"], "127.0.0.9:3")
    pilots.connection_made(Sent())
    pilots.send(1, b"a")
    pilots.send(None, b"b")
    pilots.send(1, bytes(257))
    assert pilots.transport == [(b"a", ("127.0.0.2", 2)), (b"b", ("127.0.0.9", 3))]
    for data, source in ((b"c", ("127.0.0.2", 2)), (b"d", ("127.0.0.3", 2)), (bytes(257), ("127.0.0.2", 2))):
        pilots.datagram_received(data, source)
    assert [(event.pilot, event.data) for event in service.pending_events] == [(1, b"c")]


class Socketless(http.Connection):
    """A connection whose dialling is left to the test."""

    async def dial(self):
        pass


@pytest.mark.parametrize(
    "data, end",
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
def test_answers_are_read_across_any_pieces(make, data, end, size):
    service, ends = make(limits={"memory_mb": 1, "sockets": 64}), []
    service.loop.create_task = lambda task: task.close()
    connection = Socketless(service.clock, service.limits, "127.0.0.1:9", lambda *told: ends.append(told))
    connection.call("GET", "/x", SECOND)
    connection.connection_made(FakeTransport())
    for at in range(0, len(data), size):
        connection.data_received(data[at : at + size])
    assert ends == [end]
    assert connection.state == ("idle" if end[0] == "answered" and b"close" not in data else "closed")


def test_an_error_in_place_of_news_is_no_news(make):
    service, ends, pieces = make(), [], []
    service.loop.create_task = lambda task: task.close()
    connection = Socketless(
        service.clock, service.limits, "127.0.0.1:9", lambda *told: ends.append(told[0]), pieces.append
    )
    connection.call("GET", "/stream", SECOND)
    connection.connection_made(FakeTransport())
    connection.data_received(b"HTTP/1.1 429 Busy\r\nContent-Length: 2\r\n\r\n{}")
    assert ends == ["garbled"] and not pieces


def test_a_time_limit_first_reads_what_came_during_a_stall(make):
    service = make()
    done = []
    service.clock.start_timeout(SECOND, lambda: done.append("late"))
    service.loop.run(1.0)
    assert not done
    service.loop.run(0.1)
    assert done == ["late"]


def test_wakes_come_in_time_and_never_within_the_reply_that_asked(make):
    service = make()
    service.pilot.orders = [interface.SetTimer(service.clock.now(), 5)]
    service.enqueue(interface.TimerFired(1))
    service.loop.run(0.001)
    assert [event.label for event in service.pilot.seen] == [1]
    service.loop.run(0.1)
    assert [event.label for event in service.pilot.seen] == [1, 5]


def test_a_timer_that_fires_early_wakes_nobody(make):
    """The loop rounds to milliseconds; decisions woken too soon would never ask for another wake."""
    service = make()
    service.execute_orders([interface.SetTimer(service.clock.now() + 60 * SECOND, 5)])
    service.loop.run(300)  # the loop's time runs ahead of the clock
    assert not service.pending_events and not service.pilot.seen and not service.loop.due[-1].off


def test_a_failure_of_the_decisions_ends_the_process_with_its_trace(make):
    service = make()
    service.pilot.handle = lambda now, events: 1 // 0
    service.enqueue(interface.TimerFired(1))
    service.loop.run(1)
    assert service.loop.stopped and service.status == 1
    assert "decision logic raised an exception; stopping" in service.log.lines


@pytest.mark.parametrize(
    "changes, what",
    [
        ({"settings": None}, "config.json"),
        ({"listen": "nowhere"}, "not an address: 'nowhere'"),
        ({"store": {}}, "'address' is missing"),
        ({"known": {"endpoints": [{}]}}, "'name' is missing"),
        ({"peers": ["x:y"]}, "not an address"),
        ({"settings": {"tick": "soon"}}, "config.json"),
    ],
)
def test_a_bad_configuration_is_named(tmp_path, changes, what):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(told(**changes)))
    with pytest.raises(config.ConfigError, match=what):
        config.load(str(path), {})
