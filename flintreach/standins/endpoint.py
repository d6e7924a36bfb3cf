"""A stand-in for an endpoint of the whole system: heartbeats, a concurrency limit, a queue, leases on keys.

Written from the wire's page, apart from the code that it stands opposite to; for tests, the demo, the soak
and benchmarks.  Its work is a wait.  It records what it ran, so that a test can tell what must not have
happened.
"""

import itertools
import time
import uuid
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Any, NamedTuple

import gevent
import msgspec
from gevent import pywsgi
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from flintreach.api import calls
from flintreach.proxy.caller import Caller, ClientDisconnected, HangupMonitor
from flintreach.sharding.range_assignment import KEYS
from flintreach.standins.key_leases import KeyLeases

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.0
NS_PER_S = 1_000_000_000
MS_PER_S = 1000
HEALTH_PATH = "/health"
VERSION = "v1"  # of the software that the endpoint says it runs

# Keys of our own in a request's WSGI environ.
LOST_KEY = "flintreach.lost"  # whether the answer is to be lost
CALLER_KEY = "flintreach.caller"  # who waits for the answer

OK = "200 OK"
BAD_REQUEST = "400 Bad Request"
CONFLICT = "409 Conflict"
MISDIRECTED = "421 Misdirected Request"
CANCELLED = "500 Internal Server Error"  # read by nobody
DRAINING = "503 Leaving"
OVERLOADED = "503 Service Unavailable"

Environ = dict[str, Any]
Address = tuple[str, int]


def post_acknowledged(ip: str, port: int, path: str, body: bytes, timeout: float = CALL_TIMEOUT_S) -> bool:
    """Post JSON to a controller; whether it answered with 200 within `timeout` seconds."""
    client = HTTPClient(ip, port, connection_timeout=CONNECT_TIMEOUT_S, network_timeout=timeout)
    try:
        answer = client.post(path, body, headers={"Content-Type": "application/json"})
        answer.read()
        return answer.status_code == 200
    except (OSError, HTTPParseError):
        return False
    finally:
        client.close()


def never() -> bool:
    """For endpoints that lose nothing."""
    return False


class EndpointState(StrEnum):
    """What an endpoint says of itself, by the names of the wire."""

    READY = "ready"
    DRAINING = "closing"
    GONE = "gone"


class CheckIn(msgspec.Struct):
    """A heartbeat; its fields in the order and by the names of the wire."""

    service: str = msgspec.field(name="line")
    address: str = msgspec.field(name="addr")
    zone: str
    version: str = msgspec.field(name="edition")
    capacity: int = msgspec.field(name="berths")
    state: EndpointState
    warm_up_left_ms: int = msgspec.field(name="cold_left_ms")
    sequence: int = msgspec.field(name="call_seq")


class ReleaseCall(msgspec.Struct):
    """The end of a lease on the keys from `low` to `high`; `fence` is its owner's fencing token."""

    low: int = msgspec.field(name="from_edition")
    high: int = msgspec.field(name="to_edition")
    fence: int


class GrantCall(ReleaseCall):
    """A lease on the keys, for so long from now."""

    lease_ms: float = msgspec.field(name="hold_ms")


def is_range(call: ReleaseCall) -> bool:
    """Whether a call names keys that there are, in their order."""
    return 0 <= call.low <= call.high < KEYS


class RunEnd(Enum):
    """How the work on one request ended."""

    ANSWERED = "answered"
    ANSWER_LOST = "answer lost"  # it was done, and its connection was ended in place of an answer
    DROPPED = "dropped"  # its caller closed the connection
    STOPPED = "stopped"  # the endpoint ended meanwhile


@dataclass(slots=True)
class Run:
    """Work on one request; steady nanoseconds.

    Attributes:
        request_id: of the attempt, from `X-Try-Id`.
        began_at_ns: when the work began; for one that was cancelled in the queue, when it arrived.
        work_ns: how long it takes if nobody cancels it.
        ended_at_ns: None while it is at work.
        end: likewise.
    """

    request_id: str
    began_at_ns: int
    work_ns: int
    ended_at_ns: int | None = None
    end: RunEnd | None = None

    def finish(self, end: RunEnd) -> None:
        """Note that the work has ended now, and how."""
        self.ended_at_ns = time.monotonic_ns()
        self.end = end


class Reply(NamedTuple):
    """An answer; its headers beside those that all answers have."""

    status: str
    headers: list[tuple[str, str]]
    body: bytes


class EndpointHandler(pywsgi.WSGIHandler):
    """Lets a request's work know whether its caller is still there, and loses answers.

    In place of an answer that is to be lost it ends the connection.
    """

    def handle(self) -> None:
        """Serve one connection, and watch whether its client hangs up."""
        self.caller = Caller()
        monitor = self.server.hangups
        descriptor = self.socket.fileno()
        try:
            monitor.add(self.socket, self.caller)
            super().handle()
        except OSError:
            pass  # it had ended before it was served
        finally:
            monitor.callers.pop(descriptor, None)  # the descriptor is closed, which ended the watch

    def get_environ(self) -> Environ:
        """The environ of a request, with its caller."""
        return {**super().get_environ(), CALLER_KEY: self.caller}

    def _sendall(self, data: bytes) -> None:
        if self.environ is not None and self.environ.get(LOST_KEY):
            self.close_connection = True
            return
        super()._sendall(data)


class Endpoint:
    """One incarnation of an endpoint.

    Attributes:
        id: its name on the wire, new with each incarnation.
        state: what it says of itself.
        running: requests at work.
        waiting: requests in the queue.
        run_counts: id of an attempt -> how often it was run here.
        rejected: requests that were refused with a promise that they have not run.
        arrivals: (steady nanoseconds, id of an attempt) of each request that it was meant to get.
        runs: the work that it began.
        cancelled_in_queue: work that was not begun, as its caller hung up while it waited.
        departed_at_ns: when its departure was first acknowledged, also if that was lost.
        lose_answer, lose_acknowledgement: whether the next one is lost.
    """

    def __init__(
        self,
        service: str,
        address: Address,
        zone: str,
        control: Callable[[], Iterable[Address]],
        work_s: float = 0.05,
        capacity: int = 4,
        queue_limit: int = 8,
        sharded: bool = False,
        report_s: float = 0.5,
        warm_up_s: float = 0.0,
    ) -> None:
        """Make an endpoint; `start` makes it listen.

        Args:
            service: which it serves.
            address: at which it listens.
            zone: where it says that it is.
            control: gives the controllers' addresses, in the order in which it tries them.
            work_s: seconds of work on a request.
            capacity: requests at work at once.
            queue_limit: requests that wait; further ones are rejected.
            sharded: whether it serves only keys on which it has a lease.
            report_s: seconds between heartbeats.
            warm_up_s: seconds from now for which it says that it is warming up.
        """
        self.id = f"i-{uuid.uuid4().hex[:8]}"
        self.service = service
        self.address = address
        self.zone = zone
        self.control = control
        self.work_s = work_s
        self.capacity = capacity
        self.queue_limit = queue_limit
        self.sharded = sharded
        self.report_s = report_s
        self.warm_at = time.monotonic() + warm_up_s
        self.leases = KeyLeases()
        self.state = EndpointState.READY
        self.sequence = itertools.count(1)
        self.running = 0
        self.waiting = 0
        self.slots = BoundedSemaphore(capacity)
        self.run_counts: dict[str, int] = {}
        self.rejected = 0
        self.arrivals: list[tuple[int, str]] = []
        self.runs: list[Run] = []
        self.cancelled_in_queue: list[Run] = []
        self.departed_at_ns: int | None = None
        self.lose_answer: Callable[[], bool] = never
        self.lose_acknowledgement: Callable[[], bool] = never
        self.server = pywsgi.WSGIServer(
            address, self.answer, log=None, error_log=None, handler_class=EndpointHandler
        )
        self.server.hangups = HangupMonitor()
        self.heartbeats: gevent.Greenlet | None = None

    def start(self) -> None:
        """Listen, and send heartbeats."""
        self.server.start()
        self.heartbeats = gevent.spawn(self.report)

    def stop(self) -> None:
        """End as in a crash: nobody is notified."""
        if self.heartbeats is not None:
            self.heartbeats.kill(block=False)
        self.server.stop(timeout=0)
        for run in self.runs:
            if run.end is None:
                run.finish(RunEnd.STOPPED)

    # What others call.

    def answer(self, environ: Environ, start: Callable[[str, list[tuple[str, str]]], Any]) -> list[bytes]:
        """Answer a request of a proxy or a controller, as a WSGI application."""
        reply = self.reply_to(environ)
        load = f"{self.running},{self.waiting},{self.capacity}"
        headers = [
            ("X-Endpoint-Id", self.id),
            ("X-Endpoint-Load", load),
            ("Content-Length", str(len(reply.body))),
            *reply.headers,
        ]
        request_id = environ.get("HTTP_X_TRY_ID")
        if request_id:
            headers.append(("X-Try-Id", request_id))
        if self.state != EndpointState.READY:
            headers.append(("Connection", "close"))
        start(reply.status, headers)
        return [reply.body]

    def reply_to(self, environ: Environ) -> Reply:
        """Answer by method and path: a call on leases, a health check, or work."""
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        data = environ["wsgi.input"].read()
        if method == "POST" and path == calls.GRANT_PATH:
            return self.grant(msgspec.json.decode(data, type=GrantCall))
        if method == "POST" and path == calls.RELEASE_PATH:
            return self.release(msgspec.json.decode(data, type=ReleaseCall))
        if method == "GET" and path == HEALTH_PATH:
            return Reply(OK if self.state == EndpointState.READY else DRAINING, [], b"")
        return self.work(environ)

    def grant(self, call: GrantCall) -> Reply:
        """Take a lease, unless a higher fencing token was seen."""
        now = time.monotonic()
        if not is_range(call):
            return Reply(BAD_REQUEST, [], b"")
        granted = self.leases.grant(call.low, call.high, call.fence, call.lease_ms / MS_PER_S, now)
        return Reply(OK if granted else CONFLICT, [], b"")

    def release(self, call: ReleaseCall) -> Reply:
        """Give a lease up, with a handover for the next endpoint."""
        if not is_range(call):
            return Reply(BAD_REQUEST, [], b"")
        self.leases.release(call.low, call.high)
        return Reply(OK, [("X-Handover", f"{call.fence:016x}")], b"")

    def reject(self, status: str) -> Reply:
        """Refuse a request, with the promise that it has not run."""
        self.rejected += 1
        return Reply(status, [("X-Not-Delivered", "1")], b"")

    def is_meant(self, environ: Environ) -> bool:
        """Whether a request is for this incarnation, and for keys on which it has a lease."""
        if environ.get("HTTP_X_EXPECT_ENDPOINT") not in (None, self.id):
            return False
        if not self.sharded:
            return True
        key = environ.get("HTTP_X_SHARD_KEY", "")
        return key.isdigit() and self.leases.covers(int(key), time.monotonic())

    def work(self, environ: Environ) -> Reply:
        """Run a request, when its turn in the queue comes."""
        if not self.is_meant(environ):
            return self.reject(MISDIRECTED)
        arrived_at_ns = time.monotonic_ns()
        request_id = environ.get("HTTP_X_TRY_ID", "")
        caller = environ[CALLER_KEY]
        self.arrivals.append((arrived_at_ns, request_id))
        if self.waiting >= self.queue_limit:
            return self.reject(OVERLOADED)
        self.waiting += 1
        with self.slots:
            self.waiting -= 1
            if caller.disconnected_at is not None:
                cancelled = Run(request_id, arrived_at_ns, 0, caller.disconnected_at, RunEnd.DROPPED)
                self.cancelled_in_queue.append(cancelled)
                return Reply(CANCELLED, [], b"nobody waits")
            run = self.begin_run(request_id)
            try:
                self.wait_for_work(caller)
            except ClientDisconnected:
                run.finish(RunEnd.DROPPED)
                return Reply(CANCELLED, [], b"nobody waits")
            finally:
                self.running -= 1
        environ[LOST_KEY] = self.lose_answer()
        run.finish(RunEnd.ANSWER_LOST if environ[LOST_KEY] else RunEnd.ANSWERED)
        return self.result(environ, request_id)

    def begin_run(self, request_id: str) -> Run:
        """Record that the work on a request begins now."""
        self.running += 1
        self.run_counts[request_id] = self.run_counts.get(request_id, 0) + 1
        run = Run(request_id, time.monotonic_ns(), int(self.work_s * NS_PER_S))
        self.runs.append(run)
        return run

    def wait_for_work(self, caller: Caller) -> None:
        """Wait for as long as the work on one request takes.

        Raises:
            ClientDisconnected: its caller ended the connection.
        """
        hung_up = Event()
        with caller.calling_on_disconnect(hung_up.set):
            hung_up.wait(self.work_s)
        caller.raise_if_disconnected()

    def result(self, environ: Environ, request_id: str) -> Reply:
        """The answer of a request that has run, stamped with how often it has."""
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        body = f"{self.service} at {self.id} did {method} {path}\n".encode()
        stamp = f"{self.id}.{self.run_counts[request_id]}"
        return Reply(OK, [("X-Postmark", stamp), ("Content-Type", "text/plain")], body)

    # What it says of itself.

    def call_controller(self, path: str, body: bytes) -> bool:
        """Call the controllers in turn; whether one's acknowledgement came.

        The departure counts from the first acknowledgement, also from one that was lost.
        """
        for ip, port in self.control():
            if not post_acknowledged(ip, port, path, body):
                continue
            if self.state != EndpointState.READY and self.departed_at_ns is None:
                self.departed_at_ns = time.monotonic_ns()
            if not self.lose_acknowledgement():
                return True
        return False

    def send_heartbeat(self) -> bool:
        """Send one heartbeat; whether it was acknowledged."""
        warm_up_left_s = self.warm_at - time.monotonic()
        check_in = CheckIn(
            service=self.service,
            address=f"{self.address[0]}:{self.address[1]}",
            zone=self.zone,
            version=VERSION,
            capacity=self.capacity,
            state=self.state,
            warm_up_left_ms=max(0, int(warm_up_left_s * MS_PER_S)),
            sequence=next(self.sequence),
        )
        return self.call_controller(f"/v1/endpoints/{self.id}/check-in", msgspec.json.encode(check_in))

    def report(self) -> None:
        """Send heartbeats all the while."""
        while True:
            self.send_heartbeat()
            gevent.sleep(self.report_s)

    def leave(self) -> bool:
        """Announce a planned end; whether it was acknowledged."""
        self.state = EndpointState.DRAINING
        return self.send_heartbeat()

    def send_sign_off(self) -> bool:
        """Sign off, and serve on; whether it was acknowledged."""
        self.state = EndpointState.GONE
        if self.heartbeats is not None:
            self.heartbeats.kill(block=False)
        return self.call_controller(f"/v1/endpoints/{self.id}/sign-off", b"")

    def sign_off(self) -> bool:
        """Sign off, and end; whether it was acknowledged."""
        acknowledged = self.send_sign_off()
        self.stop()
        return acknowledged
