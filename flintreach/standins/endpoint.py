"""A stand-in for an endpoint of the whole system: beats, berths, a queue, keys, and a ledger of what it ran.

Written from the wire's page; for tests, the base camp and benchmarks.  Its work is a wait.
"""

import itertools
import time
import uuid
from dataclasses import dataclass
from enum import Enum

import gevent
import msgspec
from gevent import pywsgi
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from flintreach.api import calls
from flintreach.proxy.caller import Caller, ClientLeft, HangupMonitor
from flintreach.sharding.range_assignment import KEYS


def told(ip: str, port: int, path: str, body: bytes, timeout: float = 1.0) -> bool:
    """Whether a refuge acknowledged one call."""
    client = HTTPClient(ip, port, connection_timeout=0.5, network_timeout=timeout)
    try:
        answer = client.post(path, body, headers={"Content-Type": "application/json"})
        answer.read()
        return answer.status_code == 200
    except (OSError, HTTPParseError):
        return False
    finally:
        client.close()


LOST = "flintreach.lost"  # in the environ: whether the answer is to be lost
CALLER = "flintreach.caller"  # in the environ: who waits for the answer


class RunEnd(Enum):
    """How the work on one request ended."""

    ANSWERED = "answered"
    ANSWER_LOST = "answer lost"  # it was done, and its connection was ended in place of an answer
    DROPPED = "dropped"  # its caller closed the connection
    STOPPED = "stopped"  # the endpoint ended meanwhile


@dataclass(slots=True)
class Run:
    """Work on one request; steady nanoseconds, `ended_at` None while it is at work."""

    id: str
    began_at: int
    work_ns: int  # how long it takes if nobody breaks it off
    ended_at: int | None = None
    end: RunEnd | None = None

    def finish(self, end: RunEnd) -> None:
        self.ended_at, self.end = time.monotonic_ns(), end


class Held:
    """Keys that an endpoint holds: ranges by fence, each until a moment of the steady clock."""

    def __init__(self):
        self.ranges: list[tuple[int, int, int, float]] = []  # low, high, fence, until
        self.seen: list[tuple[int, int, int]] = []  # low, high, highest fence

    def grant(self, low: int, high: int, fence: int, hold: float, now: float) -> bool:
        """False where a higher fence was seen on any of the keys."""
        if any(low <= top and bottom <= high and seen > fence for bottom, top, seen in self.seen):
            return False
        self.seen = [row for row in self.seen if row[:2] != (low, high)] + [(low, high, fence)]
        self.release(low, high)
        self.ranges.append((low, high, fence, now + hold))
        return True

    def release(self, low: int, high: int) -> None:
        """Give up a part of what is held, or all of it."""
        kept = []
        for bottom, top, fence, until in self.ranges:
            if bottom > high or top < low:
                kept.append((bottom, top, fence, until))
                continue
            kept += [(bottom, low - 1, fence, until)] if bottom < low else []
            kept += [(high + 1, top, fence, until)] if top > high else []
        self.ranges = kept

    def holds(self, key: int, now: float) -> bool:
        return any(low <= key <= high and now < until for low, high, _, until in self.ranges)


class EndpointHandler(pywsgi.WSGIHandler):
    """Tells a request's work whether its caller is still there, and ends the connection in place of an answer
    that is to be lost."""

    def handle(self):
        self.caller, monitor, number = Caller(), self.server.hangups, self.socket.fileno()
        try:
            monitor.add(self.socket, self.caller)
            super().handle()
        except OSError:
            pass  # it had ended before it was served
        finally:
            monitor.callers.pop(number, None)  # its descriptor is closed, which ended the watch

    def get_environ(self):
        return {**super().get_environ(), CALLER: self.caller}

    def _sendall(self, data):
        if self.environ is not None and self.environ.get(LOST):
            self.close_connection = True
            return
        super()._sendall(data)


class Endpoint:
    """One life of an endpoint.  `control()`: addresses (ip, port) to which it may beat.

    `arrived`: (steady ns, id of a try) of each request that it was meant to get; `departed_at`: when its
    departure was first acknowledged; `runs`: the work that it began; `lose_answer()`, `lose_ack()`: whether
    the next one is lost.
    """

    def __init__(
        self,
        line,
        address,
        zone,
        control,
        work_s=0.05,
        berths=4,
        queue=8,
        sharded=False,
        report_s=0.5,
        cold_s=0.0,
    ):
        self.id, self.line, self.zone, self.control = f"i-{uuid.uuid4().hex[:8]}", line, zone, control
        self.address, self.work_s, self.berths, self.queue = address, work_s, berths, queue
        self.sharded, self.report_s, self.held = sharded, report_s, Held()
        self.cold_until = time.monotonic() + cold_s
        self.state, self.seq, self.running, self.waiting = "ready", itertools.count(1), 0, 0
        self.places = BoundedSemaphore(berths)
        self.ran: dict[str, int] = {}  # id of a try -> how often it was run here
        self.refused = 0
        self.arrived: list[tuple[int, str]] = []
        self.runs: list[Run] = []
        self.dropped_waiting: list[
            Run
        ] = []  # not begun, as their callers ended the connection; from their arrival
        self.departed_at: int | None = None
        self.lose_answer = self.lose_ack = lambda: False
        self.server = pywsgi.WSGIServer(
            address, self.answer, log=None, error_log=None, handler_class=EndpointHandler
        )
        self.server.hangups = HangupMonitor()
        self.beats = None

    def start(self) -> None:
        self.server.start()
        self.beats = gevent.spawn(self.report)

    def stop(self) -> None:
        """As in a crash: nobody is told."""
        if self.beats is not None:
            self.beats.kill(block=False)
        self.server.stop(timeout=0)
        for run in self.runs:
            if run.end is None:
                run.finish(RunEnd.STOPPED)

    # What others call.

    def answer(self, environ, start):
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        data = environ["wsgi.input"].read()
        headers = [("X-Endpoint-Id", self.id)]
        if method == "POST" and path in (calls.GRANT, calls.RELEASE):
            status, more, body = self.keys(path, msgspec.json.decode(data))
        elif method == "GET" and path == "/health":
            status, more, body = ("200 OK" if self.state == "ready" else "503 Leaving"), [], b""
        else:
            status, more, body = self.work(environ)
        load = f"{self.running},{self.waiting},{self.berths}"
        headers += [("X-Endpoint-Load", load), ("Content-Length", str(len(body))), *more]
        if id := environ.get("HTTP_X_TRY_ID"):
            headers.append(("X-Try-Id", id))
        if self.state != "ready":
            headers.append(("Connection", "close"))
        start(status, headers)
        return [body]

    def keys(self, path, body):
        low, high, now = body["from_edition"], body["to_edition"], time.monotonic()
        if not 0 <= low <= high < KEYS:
            return "400 Bad Request", [], b""
        if path == calls.GRANT:
            good = self.held.grant(low, high, body["fence"], body["hold_ms"] / 1000, now)
            return ("200 OK" if good else "409 Conflict"), [], b""
        self.held.release(low, high)
        return "200 OK", [("X-Handover", f"{body['fence']:016x}")], b""

    def work(self, environ):
        def refused(status):
            self.refused += 1
            return status, [("X-Not-Delivered", "1")], b""

        expected, key = environ.get("HTTP_X_EXPECT_ENDPOINT"), environ.get("HTTP_X_SHARD_KEY", "")
        if expected not in (None, self.id):
            return refused("421 Misdirected Request")
        if self.sharded and not (key.isdigit() and self.held.holds(int(key), time.monotonic())):
            return refused("421 Misdirected Request")
        arrived_at, id, caller = time.monotonic_ns(), environ.get("HTTP_X_TRY_ID", ""), environ[CALLER]
        self.arrived.append((arrived_at, id))
        if self.waiting >= self.queue:
            return refused("503 Service Unavailable")
        self.waiting += 1
        with self.places:
            self.waiting -= 1
            if caller.left_at is not None:
                self.dropped_waiting.append(Run(id, arrived_at, 0, caller.left_at, RunEnd.DROPPED))
                return "500 Internal Server Error", [], b"nobody waits"
            self.running += 1
            self.ran[id] = self.ran.get(id, 0) + 1
            run = Run(id, time.monotonic_ns(), int(self.work_s * 1e9))
            self.runs.append(run)
            try:
                self.wait_for_work(caller)
            except ClientLeft:
                run.finish(RunEnd.DROPPED)
                return "500 Internal Server Error", [], b"nobody waits"
            finally:
                self.running -= 1
        environ[LOST] = self.lose_answer()
        run.finish(RunEnd.ANSWER_LOST if environ[LOST] else RunEnd.ANSWERED)
        body = f"{self.line} at {self.id} did {environ['REQUEST_METHOD']} {environ['PATH_INFO']}\n".encode()
        return "200 OK", [("X-Postmark", f"{self.id}.{self.ran[id]}"), ("Content-Type", "text/plain")], body

    def wait_for_work(self, caller: Caller) -> None:
        """The work on one request.  Raises ClientLeft when its caller ends the connection."""
        dropped = Event()
        with caller.waking(dropped.set):
            dropped.wait(self.work_s)
        caller.raise_if_left()

    # What it says of itself.

    def tell(self, path: str, body: bytes) -> bool:
        """Whether an acknowledgement came; its departure counts from one that was lost, too."""
        for ip, port in self.control():
            if not told(ip, port, path, body):
                continue
            if self.state != "ready" and self.departed_at is None:
                self.departed_at = time.monotonic_ns()
            if not self.lose_ack():
                return True
        return False

    def beat(self) -> bool:
        cold = max(0, int((self.cold_until - time.monotonic()) * 1000))
        return self.tell(
            f"/v1/endpoints/{self.id}/check-in",
            msgspec.json.encode(
                {
                    "line": self.line,
                    "addr": f"{self.address[0]}:{self.address[1]}",
                    "zone": self.zone,
                    "edition": "v1",
                    "berths": self.berths,
                    "state": self.state,
                    "cold_left_ms": cold,
                    "call_seq": next(self.seq),
                }
            ),
        )

    def report(self) -> None:
        while True:
            self.beat()
            gevent.sleep(self.report_s)

    def leave(self) -> bool:
        """Announce a planned end; whether it was acknowledged."""
        self.state = "closing"
        return self.beat()

    def announce_end(self) -> bool:
        """Sign off, and serve on; whether it was acknowledged."""
        self.state = "gone"
        if self.beats is not None:
            self.beats.kill(block=False)
        return self.tell(f"/v1/endpoints/{self.id}/sign-off", b"")

    def sign_off(self) -> bool:
        told = self.announce_end()
        self.stop()
        return told
