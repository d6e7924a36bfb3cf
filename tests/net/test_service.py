"""The pilot as a process: started as operators start it, with its peers on loopback sockets."""

import json
import os
import signal
import subprocess
import sys

import pytest

from flintreach.standins.peer import Peer
from flintreach.standins.platform import endpoint_entry, endpoint_list, initial_events, platform_config
from flintreach.standins.program import Program


@pytest.fixture
def start(tmp_path):
    programs = []

    def build(**changes):
        programs.append(Program(tmp_path, **changes))
        return programs[-1]

    yield build
    for program in programs:
        program.stop()


def initial_server(number):
    return f"s{number % 4}"


def ready(program):
    """Bring the whole state on the feed, and wait until a probe is answered; the feed and the client."""
    feed = program.accept_request("/stream")
    feed.start_stream()
    feed.send_events(*initial_events(new=True, initial_server=initial_server), ())
    client = program.dial()
    client.send(b'{"msg":"probe"}\n')
    assert json.loads(client.read_until(b"\n")) == {"msg": "alive"}
    return feed, client


def moved_slices(call, server=1):
    """Slices that a call takes off a server, and those that it assigns to others."""
    sets, name = [order for order in call.orders if order["op"] == "SET"], f"s{server}"
    return (
        {order["table"] for order in sets if order["target"] == name and order["rps"] == 0},
        {order["table"] for order in sets if order["target"] != name and order["rps"] > 0},
    )


def drain(program, number=1, index=2):
    program.discovery.publish(endpoint_list(0, index, False, endpoints=[endpoint_entry(number, "draining")]))


@pytest.mark.parametrize("chunk_bytes", [1, 100_000])
def test_a_drain_becomes_one_call_that_moves_the_slices_of_the_server(start, chunk_bytes):
    program = start()
    program.discovery.chunk_size = chunk_bytes
    feed, _ = ready(program)
    feed.send_events(("ack", {"id": 1, "seq": 1, "ms": 3.0}), chunk_size=chunk_bytes)
    drain(program)
    call = program.accept_request("/batches")
    assert moved_slices(call) == ({1, 5}, {1, 5})
    assert call.orders[0] == {"op": "OUT", "target": "s1"} and call.orders[-1]["op"] == "SYNC"
    call.answer({"taken": len(call.orders)}, chunk_size=chunk_bytes)


@pytest.mark.parametrize(
    "fail",
    [
        lambda call: call.reset(),
        lambda call: call.answer(b"{"),
        lambda call: call.send(b"what?\r\n\r\n"),
        lambda call: None,
    ],
    ids=["reset", "truncated answer", "garbage", "no answer"],
)
@pytest.mark.parametrize("executed", [True, False])
def test_a_call_with_unknown_outcome_is_settled_by_the_state_of_the_store(start, fail, executed):
    program = start()
    feed, _ = ready(program)
    drain(program)
    call = program.accept_request("/batches")
    targets = {order["table"]: order["target"] for order in call.orders if order.get("rps")}
    fail(call)
    again = program.accept_request("/stream")
    again.start_stream()
    held = targets if executed else {}
    again.send_events(*initial_events(initial_server=lambda n: held.get(n, initial_server(n))), ())
    if executed:  # nothing is sent again: the next call is for the next drain
        drain(program, 2, 3)
    second = program.accept_request("/batches")
    assert ({"op": "OUT", "target": "s1"} in second.orders) != executed
    assert (moved_slices(second)[0] == {1, 5}) != executed


def test_a_call_that_is_reset_while_it_is_sent_is_repeated(start):
    program = start()
    ready(program)
    drain(program)
    peer = Peer(program.relay.accept()[0])
    peer.sock.recv(20)
    peer.reset()
    again = program.accept_request("/stream")
    again.start_stream()
    again.send_events(*initial_events(initial_server=initial_server), ())
    second = program.accept_request("/batches")
    assert moved_slices(second) == ({1, 5}, {1, 5}) and {"op": "OUT", "target": "s1"} in second.orders


def test_no_order_is_lost_when_the_relay_is_busy_or_takes_only_some(start):
    program = start()
    ready(program)
    drain(program)
    call = program.accept_request("/batches")
    call.answer({"error": "BUSY"}, "429 Too Many Requests")
    second = program.accept_request("/batches")
    assert sorted(map(str, second.orders)) == sorted(map(str, call.orders))
    second.answer({"taken": 1})
    assert program.accept_request("/batches").orders == second.orders[2:]


def test_a_broken_feed_is_reconnected_and_a_slice_that_is_gone_is_not_ordered(start):
    program = start()
    feed, _ = ready(program)
    feed.reset()
    again = program.accept_request("/stream")
    again.start_stream()
    again.send_events(
        *[
            item
            for item in initial_events(new=True, initial_server=initial_server)
            if item[1].get("range") != 5
        ],
        (),
    )
    program.wait_for_log("relay feed: lost")
    program.wait_for_log("relay feed: up to date")
    drain(program)
    assert moved_slices(program.accept_request("/batches")) == ({1}, {1})


def test_a_silent_feed_is_reconnected(start):
    program = start()
    feed, _ = ready(program)
    program.accept_request("/stream").start_stream()
    assert "silent" in program.wait_for_log("relay feed: lost") and feed.wait_closed()


def test_discovery_that_falls_silent_and_restarts_with_a_lower_index_is_followed(start):
    program = start()
    ready(program)
    program.discovery.wait_for_request("after=1&")
    program.discovery.publish(silent=True)
    program.wait_for_log("discovery: lost")
    program.discovery.wait_for_request("after=1&")  # on a new connection
    program.discovery.publish(
        endpoint_list(
            0,
            0,
            endpoints=[
                endpoint_entry(0),
                endpoint_entry(1, "draining"),
                endpoint_entry(2),
                endpoint_entry(3),
            ],
        )
    )
    assert moved_slices(program.accept_request("/batches")) == ({1, 5}, {1, 5})


def test_strangers_and_an_overlong_line_do_not_keep_collectors_out(start):
    program = start()
    _, client = ready(program)
    for _ in range(300):
        program.dial()
    program.wait_for_log("too many")
    collector = program.dial()
    collector.send(b'{"msg":"agent","site":"north"}\n' + b'{"msg":"probe"}\n')
    assert collector.read_until(b"\n")
    other = program.dial()
    other.send(b'{"msg":"agent","site":"south"}\n')
    with pytest.raises((ConnectionError, EOFError)):
        other.send(b"x" * (2 << 20), 1 << 16)
        other.read_until(b"\n")
    collector.send(b'{"msg":"probe"}\n')
    assert collector.read_until(b"\n")


def test_a_reload_during_calls_switches_addresses_and_keeps_all_state(start):
    program = start()
    feed, client = ready(program)
    servers_by_slice = {n: initial_server(n) for n in range(8)}
    for server, others in ((1, (1,)), (2, (1, 2))):
        program.discovery.publish(
            endpoint_list(0, 1 + server, False, endpoints=[endpoint_entry(server, "draining")])
        )
        call = program.accept_request("/batches")
        slices_of_server = {n for n in servers_by_slice if servers_by_slice[n] == f"s{server}"}
        assert moved_slices(call, server)[0] == slices_of_server  # and no other
        program.relocate_services(
            endpoint_list(
                4,
                1 + server,
                endpoints=[endpoint_entry(n, "draining" if n in others else "up") for n in range(4)],
            )
        )
        assert "moved=['discovery', 'store']" in program.wait_for_log("reload")
        program.discovery.wait_for_request("hosts")
        again = program.accept_request("/stream")
        call.answer({"taken": len(call.orders)})  # it ends on the old connection and is not repeated
        servers_by_slice |= {order["table"]: order["target"] for order in call.orders if order.get("rps")}
        again.start_stream()
        again.send_events(*initial_events(initial_server=servers_by_slice.get), ())
        assert feed.wait_closed()
        feed = again
        client = program.dial()
        client.send(b'{"msg":"probe"}\n')
        assert client.read_until(b"\n")


@pytest.mark.parametrize("text", [None, "", '{"name":', "[]", '{"settings": {}}'])
def test_a_reload_of_an_unusable_configuration_changes_nothing(start, text):
    program = start()
    ready(program)
    program.path.unlink() if text is None else program.path.write_text(text)
    program.process.send_signal(signal.SIGHUP)
    program.wait_for_log("reload failed; keeping the current configuration")
    drain(program)
    assert moved_slices(program.accept_request("/batches")) == ({1, 5}, {1, 5})


@pytest.mark.parametrize(
    "number, moved", [(signal.SIGTERM, False), (signal.SIGINT, False), (signal.SIGTERM, True)]
)
def test_a_signal_ends_the_process_with_status_0(start, number, moved):
    program = start()
    ready(program)
    if moved:
        program.relocate_services()
        program.accept_request("/stream")
    program.process.send_signal(number)
    assert program.process.wait(30) == 0


def test_after_a_kill_a_new_process_goes_on_from_the_state_of_the_relay(start):
    program = start()
    ready(program)
    program.process.kill()
    program.process.wait()
    program.process.stdout.close()
    program.start()
    ready(program)
    drain(program)
    assert moved_slices(program.accept_request("/batches")) == ({1, 5}, {1, 5})


def test_a_closed_log_pipe_does_not_stop_the_pilot(start):
    program = start()
    _, client = ready(program)
    program.process.stdout.close()
    drain(program)
    call = program.accept_request("/batches")
    call.answer({"taken": len(call.orders)})
    client.send(b'{"msg":"probe"}\n')
    assert client.read_until(b"\n")


def test_serve_imports_no_command_line_libraries():
    result = subprocess.run(
        [sys.executable, "-X", "importtime", "-m", "flintreach", "serve"],
        text=True,
        capture_output=True,
        env=os.environ | {"PROXY_CONFIG": "nowhere"},
        timeout=60,
    )
    assert result.returncode == 2 and "uvloop" in result.stderr and "structlog" in result.stderr
    assert not any(f" {name}" in result.stderr for name in ("typer.", "rich.", "pygments."))


@pytest.mark.parametrize(
    "arguments, changes, status, message",
    [
        (["check-config"], {}, 0, "p0: 8 slices, 3 proxies, 2 operations; listens on 127.0.0.1:0"),
        (["check-config"], {"listen": 7}, 2, "flintreach: "),
        (["serve"], {"settings": []}, 2, "flintreach: "),
        (["serve", "--config", "nowhere.json"], {}, 2, "flintreach: nowhere.json: No such file or directory"),
        (["version"], {}, 0, "0."),
    ],
)
def test_commands_report_their_result_or_error_in_one_line(tmp_path, arguments, changes, status, message):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(platform_config(**changes)))
    result = subprocess.run(
        [sys.executable, "-m", "flintreach", *arguments],
        capture_output=True,
        text=True,
        env=os.environ | {"PROXY_CONFIG": str(path)},
        timeout=60,
    )
    assert result.returncode == status and "Traceback" not in result.stderr
    output = result.stdout + result.stderr
    assert output.startswith(message) and output.count("\n") == 1
