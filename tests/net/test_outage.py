"""The pilot as a process while collectd and Graphite are out of service, and under a flood of datagrams."""

import socket
import threading
import time

import pytest

from flintreach.pilot.interface import SECOND
from flintreach.standins import collectd
from flintreach.standins.graphite import Receiver
from flintreach.standins.platform import endpoint_entry, endpoint_list
from flintreach.standins.program import Program
from flintreach.standins.relay import Relay

# A fiftieth of the ten seconds usual for collectd: six seconds here are five minutes there.
INTERVAL = SECOND // 5


class CollectdSender:
    """Sends a host's figures at an interval; those held back while `silent` is set follow in one burst."""

    def __init__(self, to, source="127.0.0.2"):
        self.to, self.idle, self.silent, self.stopped = to, 60.0, threading.Event(), threading.Event()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((source, 0))
        self.held_back = []
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopped.wait(INTERVAL / SECOND):
            data = collectd.cpu("h1", time.time_ns(), self.idle, interval=INTERVAL, processors=2)
            if self.silent.is_set():
                self.held_back.append(data)
            else:
                for datagram in (*self.held_back, data):
                    self.sock.sendto(datagram, self.to)
                self.held_back = []

    def end(self):
        self.stopped.set()
        self.thread.join()
        self.sock.close()


@pytest.fixture
def environment(tmp_path):
    receiver, relay = Receiver(), Relay(initial_server=lambda n: f"s{n % 4}")
    operator_file = (
        f'telemetry {{\n graphite = "127.0.0.1:{receiver.port}"\n every = "1s"\n}}\n'
        'evidence {\n listen = "127.0.0.1:0"\n accept = "any"\n hosts = { "h1" = "s1" }\n}\n'
    )
    program = Program(tmp_path, operator_file, relay)
    at = program.wait_for_log("evidence: listening").split("at='")[1].split("'")[0].rpartition(":")
    sender = CollectdSender((at[0], int(at[2])))
    yield program, relay, receiver, sender
    sender.end()
    program.stop()
    relay.close()
    receiver.close()


def times(receiver, name):
    return sorted(when for path, _, when in receiver.lines if path.startswith(f"flintreach.{name};"))


def test_an_outage_of_collectd_and_graphite_causes_and_delays_no_orders(environment):
    program, relay, receiver, sender = environment
    program.connect_and_probe()
    program.wait_for_log("evidence of h1: fresh")
    receiver.wait(lambda: times(receiver, "evidence.busy"))
    before = len(relay.calls)
    sender.silent.set()
    receiver.script(stalled=True)
    program.wait_for_log("evidence of h1: unknown")
    program.discovery.publish(endpoint_list(0, 2, False, endpoints=[endpoint_entry(2, "draining")]))
    relay.wait(lambda calls: any({"op": "OUT", "target": "s2"} in call.orders for call in calls))
    after = len(relay.calls)
    program.connect_and_probe()
    sender.idle = 1.0
    receiver.script()
    sender.silent.clear()  # all that was held back comes at once
    program.wait_for_log("evidence of h1: fresh")
    receiver.wait(lambda: len(times(receiver, "turns.count")) >= 4)
    # One drain causes one call and later the end of its withdrawal; silence and burst cause no orders.
    touched = {order.get("target") for call in relay.calls[before:] for order in call.orders} - {None}
    lines = [order for call in relay.calls[after:] for order in call.orders if order["op"] == "SET"]
    assert touched <= {"s0", "s1", "s2", "s3"} and lines == [] and relay.audit() == []
    reported = times(receiver, "evidence.busy")
    assert len(reported) == len(set(reported))


def test_a_flood_from_an_unknown_source_delays_neither_figures_nor_orders(environment):
    program, relay, receiver, sender = environment
    program.connect_and_probe()
    program.wait_for_log("evidence of h1: fresh")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as flooder:
        for n in range(50_000):
            flooder.sendto(b"\0\0\0\x09junk\0" if n % 2 else b"junk", sender.to)
            if n == 20_000:
                program.discovery.publish(
                    endpoint_list(0, 2, False, endpoints=[endpoint_entry(1, "draining")])
                )
    relay.wait(lambda calls: any({"op": "OUT", "target": "s1"} in call.orders for call in calls))
    assert "over the rate limit" in program.wait_for_log("evidence: datagrams over the rate limit")
    before = len(times(receiver, "evidence.busy"))
    receiver.wait(lambda: len(times(receiver, "evidence.busy")) > before)
    assert relay.audit() == []
