"""The program itself: started as its operators do, and spoken to over loopback sockets."""

import json
import os
import signal
import subprocess
import sys

import pytest

from flintreach.standins.peer import Peer
from flintreach.standins.platform import listing, row, stands, told
from flintreach.standins.program import Program


@pytest.fixture
def start(tmp_path):
    programs = []

    def build(**changes):
        programs.append(Program(tmp_path, **changes))
        return programs[-1]

    yield build
    for program in programs:
        program.end()


def spread(number):
    return f"s{number % 4}"


def ready(program):
    """All that stands has been told, and the sign of life is given."""
    news = program.called("/stream")
    news.stream()
    news.tell(*stands(new=True, spread=spread), ())
    client = program.dial()
    client.send(b'{"msg":"probe"}\n')
    assert json.loads(client.until(b"\n")) == {"msg": "alive"}
    return news, client


def moves(call, server=1):
    """Slices that a call takes off a server, and those that it puts elsewhere."""
    sets, name = [told for told in call.orders if told["op"] == "SET"], f"s{server}"
    return (
        {told["table"] for told in sets if told["target"] == name and told["rps"] == 0},
        {told["table"] for told in sets if told["target"] != name and told["rps"] > 0},
    )


def drained(program, number=1, index=2):
    program.discovery.tell(listing(0, index, False, endpoints=[row(number, "draining")]))


@pytest.mark.parametrize("piece", [1, 100_000])
def test_a_drain_becomes_one_call_that_moves_its_slices(start, piece):
    program = start()
    program.discovery.piece = piece
    news, _ = ready(program)
    news.tell(("ack", {"id": 1, "seq": 1, "ms": 3.0}), piece=piece)
    drained(program)
    call = program.called("/batches")
    assert moves(call) == ({1, 5}, {1, 5})
    assert call.orders[0] == {"op": "OUT", "target": "s1"} and call.orders[-1]["op"] == "SYNC"
    call.answer({"taken": len(call.orders)}, piece=piece)


@pytest.mark.parametrize(
    "spoil",
    [
        lambda call: call.reset(),
        lambda call: call.answer(b"{"),
        lambda call: call.send(b"what?\r\n\r\n"),
        lambda call: None,
    ],
    ids=["reset", "half an answer", "garbage", "silence"],
)
@pytest.mark.parametrize("carried", [True, False])
def test_a_spoilt_call_is_settled_by_the_store(start, spoil, carried):
    program = start()
    news, _ = ready(program)
    drained(program)
    call = program.called("/batches")
    targets = {told["table"]: told["target"] for told in call.orders if told.get("rps")}
    spoil(call)
    again = program.called("/stream")
    again.stream()
    again.tell(*stands(spread=lambda n: targets.get(n, spread(n)) if carried else spread(n)), ())
    if carried:  # nothing is ordered again: the next call is for the next drain
        drained(program, 2, 3)
    second = program.called("/batches")
    assert ({"op": "OUT", "target": "s1"} in second.orders) != carried
    assert (moves(second)[0] == {1, 5}) != carried


def test_a_call_reset_before_its_last_byte_is_made_again(start):
    program = start()
    ready(program)
    drained(program)
    peer = Peer(program.relay.accept()[0])
    peer.sock.recv(20)
    peer.reset()
    again = program.called("/stream")
    again.stream()
    again.tell(*stands(spread=spread), ())
    second = program.called("/batches")
    assert moves(second) == ({1, 5}, {1, 5}) and {"op": "OUT", "target": "s1"} in second.orders


def test_a_call_refused_for_now_and_a_short_answer_lose_no_order(start):
    program = start()
    ready(program)
    drained(program)
    call = program.called("/batches")
    call.answer({"error": "BUSY"}, "429 Too Many Requests")
    second = program.called("/batches")
    assert sorted(map(str, second.orders)) == sorted(map(str, call.orders))
    second.answer({"taken": 1})
    assert program.called("/batches").orders == second.orders[2:]


def test_news_that_break_go_on_and_a_lost_slice_is_left_alone(start):
    program = start()
    news, _ = ready(program)
    news.reset()
    again = program.called("/stream")
    again.stream()
    again.tell(*[item for item in stands(new=True, spread=spread) if item[1].get("range") != 5], ())
    program.logged("relay feed: lost")
    program.logged("relay feed: told")
    drained(program)
    assert moves(program.called("/batches")) == ({1}, {1})


def test_news_that_fall_silent_are_dialled_anew(start):
    program = start()
    news, _ = ready(program)
    program.called("/stream").stream()
    assert "silent" in program.logged("relay feed: lost") and news.ended()


def test_discovery_silent_then_anew_with_a_lower_index(start):
    program = start()
    ready(program)
    program.discovery.asked("after=1&")
    program.discovery.tell(mute=True)
    program.logged("discovery: lost")
    program.discovery.asked("after=1&")  # on a fresh connection
    program.discovery.tell(listing(0, 0, endpoints=[row(0), row(1, "draining"), row(2), row(3)]))
    assert moves(program.called("/batches")) == ({1, 5}, {1, 5})


def test_strangers_and_a_line_of_two_mebibytes_do_not_keep_collectors_out(start):
    program = start()
    _, client = ready(program)
    for _ in range(300):
        program.dial()
    program.logged("too many")
    collector = program.dial()
    collector.send(b'{"msg":"agent","site":"north"}\n' + b'{"msg":"probe"}\n')
    assert collector.until(b"\n")
    other = program.dial()
    other.send(b'{"msg":"agent","site":"south"}\n')
    with pytest.raises((ConnectionError, EOFError)):
        other.send(b"x" * (2 << 20), 1 << 16)
        other.until(b"\n")
    collector.send(b'{"msg":"probe"}\n')
    assert collector.until(b"\n")


def test_a_reload_under_load_moves_the_addresses_and_keeps_all_state(start):
    program = start()
    news, client = ready(program)
    where = {n: spread(n) for n in range(8)}
    for server, others in ((1, (1,)), (2, (1, 2))):
        program.discovery.tell(listing(0, 1 + server, False, endpoints=[row(server, "draining")]))
        call = program.called("/batches")
        assert moves(call, server)[0] == {n for n in where if where[n] == f"s{server}"}  # and no other
        program.move(
            listing(4, 1 + server, endpoints=[row(n, "draining" if n in others else "up") for n in range(4)])
        )
        assert "moved=['discovery', 'store']" in program.logged("reload")
        program.discovery.asked("hosts")
        again = program.called("/stream")
        call.answer({"taken": len(call.orders)})  # it ends where it began, and is not made again
        where |= {told["table"]: told["target"] for told in call.orders if told.get("rps")}
        again.stream()
        again.tell(*stands(spread=where.get), ())
        assert news.ended()
        news = again
        client = program.dial()
        client.send(b'{"msg":"probe"}\n')
        assert client.until(b"\n")


@pytest.mark.parametrize("text", [None, "", '{"name":', "[]", '{"settings": {}}'])
def test_a_configuration_that_cannot_be_read_again_changes_nothing(start, text):
    program = start()
    ready(program)
    program.path.unlink() if text is None else program.path.write_text(text)
    program.process.send_signal(signal.SIGHUP)
    program.logged("reload failed; keeping the current configuration")
    drained(program)
    assert moves(program.called("/batches")) == ({1, 5}, {1, 5})


@pytest.mark.parametrize(
    "sign, moved", [(signal.SIGTERM, False), (signal.SIGINT, False), (signal.SIGTERM, True)]
)
def test_a_signal_ends_it_cleanly(start, sign, moved):
    program = start()
    ready(program)
    if moved:
        program.move()
        program.called("/stream")
    program.process.send_signal(sign)
    assert program.process.wait(30) == 0


def test_killed_and_started_again_it_takes_up_what_stands(start):
    program = start()
    ready(program)
    program.process.kill()
    program.process.wait()
    program.process.stdout.close()
    program.start()
    ready(program)
    drained(program)
    assert moves(program.called("/batches")) == ({1, 5}, {1, 5})


def test_a_log_that_nobody_reads_does_not_stop_it(start):
    program = start()
    _, client = ready(program)
    program.process.stdout.close()
    drained(program)
    call = program.called("/batches")
    call.answer({"taken": len(call.orders)})
    client.send(b'{"msg":"probe"}\n')
    assert client.until(b"\n")


def test_the_platforms_start_loads_nothing_that_it_does_not_use():
    ran = subprocess.run(
        [sys.executable, "-X", "importtime", "-m", "flintreach", "serve"],
        text=True,
        capture_output=True,
        env=os.environ | {"PROXY_CONFIG": "nowhere"},
        timeout=60,
    )
    assert ran.returncode == 2 and "uvloop" in ran.stderr and "structlog" in ran.stderr
    assert not any(f" {name}" in ran.stderr for name in ("typer.", "rich.", "pygments."))


@pytest.mark.parametrize(
    "arguments, changes, status, words",
    [
        (["check-config"], {}, 0, "p0: 8 slices, 3 proxies, 2 operations; listens at 127.0.0.1:0"),
        (["check-config"], {"listen": 7}, 2, "flintreach: "),
        (["serve"], {"settings": []}, 2, "flintreach: "),
        (["serve", "--config", "nowhere.json"], {}, 2, "flintreach: nowhere.json: No such file or directory"),
        (["version"], {}, 0, "0."),
    ],
)
def test_commands_say_in_one_line_what_is_wrong(tmp_path, arguments, changes, status, words):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(told(**changes)))
    ran = subprocess.run(
        [sys.executable, "-m", "flintreach", *arguments],
        capture_output=True,
        text=True,
        env=os.environ | {"PROXY_CONFIG": str(path)},
        timeout=60,
    )
    assert ran.returncode == status and "Traceback" not in ran.stderr
    assert (ran.stdout + ran.stderr).startswith(words) and (ran.stdout + ran.stderr).count("\n") == 1
