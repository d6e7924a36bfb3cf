"""The simulator's protocol: its codec and the host of its instances."""

import io

import pytest

from flintreach.adapter import wire
from flintreach.adapter.host import Host
from flintreach.pilot import interface
from flintreach.pilot.settings import read

CONFIG = (
    "me=1 balancers=2 areas=a,b az=1 specifics.ranges=3 request_classes.count=1 "
    "request_classes.0.name=x request_classes.0.objective=1.2 "
    "request_classes.0.idempotency=read_like new.key=7 tick=0.004"
)


@pytest.mark.parametrize(
    "text, message",
    [
        ("TOCK 1\n", "line 1: expected TICK at the start of a batch"),
        ("TICK x\n", "line 1: TICK: not a time"),
        ("TICK 1\nNOISE pilot/1\n", "line 2: unknown event"),
        ("TICK 1\nWAKEUP pilot/1 1.5\n", "line 2: WAKEUP: not an integer"),
        ("TICK 1\nWAKEUP pilot/1 1\nEOF_BATCH\n", "line 2: WAKEUP: unknown reference or value"),
        ("TICK 1\nCATALOG 0 1\nEOF_BATCH\n", "line 3: unknown event"),
        ("TICK 1\n", "input ends within a batch"),
    ],
)
def test_a_malformed_input_is_reported_with_its_line(text, message):
    host = Host(lambda settings: None, print)
    with pytest.raises(wire.WireError, match=message):
        for batch in wire.batches(io.StringIO(text)):
            host.reply(batch, str)


def test_settings_keep_times_exact_and_ignore_unknown_keys():
    settings = read(5, wire.parse_settings(CONFIG))
    assert (settings.number, settings.pilots, settings.zones, settings.tick) == (1, 2, 2, 4_000_000)
    assert settings.operations[0].objective == 1_200_000_000 and settings.operations[0].effect == "idempotent"
    assert [slice_.number for slice_ in settings.slices] == [0, 1, 2]


class Scripted:
    """Stands in for the decision logic: returns an order of most types, then raises an exception."""

    def __init__(self, settings):
        self.settings, self.seen = settings, []

    def handle(self, now, events):
        self.seen += events
        if any(isinstance(event, interface.TimerFired) for event in events):
            raise RuntimeError("two\nlines")
        server, slice_ = events[0].entries[0].server, self.settings.slices[2]
        return [
            interface.SetWeight(slice_, server, 0.75),
            interface.SetTimer(now + 1, 9),
            interface.Log("a\nb"),
            interface.Mark(3),
            interface.SetAdmission(None, tuple(self.settings.operations), 0.5, 1),
            interface.Withdraw(server, True),
            interface.SendToPilot(None, b"hi"),
            interface.Probe(server),
        ]


def test_the_host_answers_events_with_orders_and_an_exception_with_a_bug_line():
    start = f"NEW_INSTANCE pilot/1 5 {CONFIG}"
    text = (
        f"TICK 1\nCATALOG 0 1\nITEM h:1 0 0 0 SERVING 1 -\n{start}\nSYNC pilot/1 Persisted 1 0\n"
        f"CATALOG 0 1\nITEM h:2 0 0 0 DRAINING 1 2.5\nSYNC pilot/1 Partial 2 0\nEOF_BATCH\n"
        "TICK 2\nWAKEUP pilot/1 9\nEOF_BATCH\n"
        f"TICK 3\nCRASH_NOW pilot/1\n{start}\nEOF_BATCH\n"
    )
    reports = []
    host = Host(Scripted, reports.append)
    first, second, third = wire.batches(io.StringIO(text))
    assert host.reply(first, str) == [
        "SET_LINE pilot/1 0.75 2 h:1",
        "WAKE_ME pilot/1 1.000001 9",
        "NOTE_DOWN pilot/1 a b",
        "NONCE pilot/1 3 0",
        "ADMIT pilot/1 65535 1 0.5 1",
        "WITHDRAW pilot/1 h:1 1",
        "NOTIFY pilot/1 all aGk=",
        "ASK_LOAD pilot/1 h:1",
    ]
    entry = host.instances["pilot/1"].pilot.seen[1].entries[0]
    assert (entry.state, entry.started) == ("draining", 2_500_000_000)
    assert host.reply(second, lambda: "trace") == ["BUG pilot/1 RuntimeError: two lines"]
    assert reports == ["trace"]
    assert host.reply(third, str) == [] and host.instances["pilot/1"].pilot.seen == []
