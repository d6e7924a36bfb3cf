"""The whole program while collectd and Graphite fall silent and come back, and under a stranger's flood."""

import socket
import threading
import time

import pytest

from flintreach.pilot.interface import SECOND
from flintreach.standins import collectd
from flintreach.standins.graphite import Receiver
from flintreach.standins.platform import listing, row
from flintreach.standins.program import Program
from flintreach.standins.relay import Relay

INTERVAL = SECOND // 5  # a fiftieth of collectd's usual ten seconds, so five minutes are six seconds


class Sender:
    """Rounds of one host at its interval, until it is told to be silent; what it owes comes in a burst."""

    def __init__(self, to, source="127.0.0.2"):
        self.to, self.idle, self.silent, self.over = to, 60.0, threading.Event(), threading.Event()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((source, 0))
        self.owed = []
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.over.wait(INTERVAL / SECOND):
            data = collectd.cpu("h1", time.time_ns(), self.idle, interval=INTERVAL, processors=2)
            if self.silent.is_set():
                self.owed.append(data)
            else:
                for late in (*self.owed, data):
                    self.sock.sendto(late, self.to)
                self.owed = []

    def end(self):
        self.over.set()
        self.thread.join()
        self.sock.close()


@pytest.fixture
def scene(tmp_path):
    receiver, relay = Receiver(), Relay(spread=lambda n: f"s{n % 4}")
    own = (
        f'telemetry {{\n graphite = "127.0.0.1:{receiver.port}"\n every = "1s"\n}}\n'
        'evidence {\n listen = "127.0.0.1:0"\n accept = "any"\n hosts = { "h1" = "s1" }\n}\n'
    )
    program = Program(tmp_path, own, relay)
    at = program.logged("evidence: listening").split("at='")[1].split("'")[0].rpartition(":")
    sender = Sender((at[0], int(at[2])))
    yield program, relay, receiver, sender
    sender.end()
    program.end()
    relay.close()
    receiver.close()


def whens(receiver, name):
    return sorted(when for path, _, when in receiver.lines if path.startswith(f"flintreach.{name};"))


def test_an_outage_of_both_invents_no_order_and_delays_none(scene):
    program, relay, receiver, sender = scene
    program.ready()
    program.logged("evidence of h1: fresh")
    receiver.wait(lambda: whens(receiver, "evidence.busy"))
    before = len(relay.calls)
    sender.silent.set()
    receiver.script(deaf=True)
    program.logged("evidence of h1: unknown")
    program.discovery.tell(listing(0, 2, False, endpoints=[row(2, "draining")]))
    relay.wait(lambda calls: any({"op": "OUT", "target": "s2"} in call.orders for call in calls))
    after = len(relay.calls)
    program.ready()
    sender.idle = 1.0
    receiver.script()
    sender.silent.clear()  # all that was owed comes at once
    program.logged("evidence of h1: fresh")
    receiver.wait(lambda: len(whens(receiver, "turns.count")) >= 4)
    # One drain, one call, and what takes its withdrawal back: nothing came of the silence or the burst.
    touched = {order.get("target") for call in relay.calls[before:] for order in call.orders} - {None}
    lines = [order for call in relay.calls[after:] for order in call.orders if order["op"] == "SET"]
    assert touched <= {"s0", "s1", "s2", "s3"} and lines == [] and relay.audit() == []
    shown = whens(receiver, "evidence.busy")
    assert len(shown) == len(set(shown))


def test_a_flood_of_a_stranger_holds_up_neither_figures_nor_orders(scene):
    program, relay, receiver, sender = scene
    program.ready()
    program.logged("evidence of h1: fresh")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        for n in range(50_000):
            stranger.sendto(b"\0\0\0\x09junk\0" if n % 2 else b"junk", sender.to)
            if n == 20_000:
                program.discovery.tell(listing(0, 2, False, endpoints=[row(1, "draining")]))
    relay.wait(lambda calls: any({"op": "OUT", "target": "s1"} in call.orders for call in calls))
    assert "over the rate limit" in program.logged("evidence: datagrams over the rate limit")
    before = len(whens(receiver, "evidence.busy"))
    receiver.wait(lambda: len(whens(receiver, "evidence.busy")) > before)
    assert relay.audit() == []
