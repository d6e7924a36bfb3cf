"""A test double for a service endpoint: heartbeats, a concurrency limit, a request queue, key-range leases.

Used by tests, the demo, the soak and benchmarks.  It is implemented from the protocol documentation,
independently of the proxy and controller code that it exchanges messages with.  Processing a request is
simulated by a wait.  The endpoint records every request that it runs, so that a test can detect runs that
must not have happened.
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
VERSION = "v1"  # software version reported in heartbeats

# Additional keys in the WSGI environ of a request.
LOST_KEY = "flintreach.lost"  # bool: close the connection instead of sending the response
CALLER_KEY = "flintreach.caller"  # the `Caller` that waits for the response

OK = "200 OK"
BAD_REQUEST = "400 Bad Request"
CONFLICT = "409 Conflict"
MISDIRECTED = "421 Misdirected Request"
CANCELLED = "500 Internal Server Error"  # the client has already disconnected
DRAINING = "503 Leaving"
OVERLOADED = "503 Service Unavailable"

Environ = dict[str, Any]
Address = tuple[str, int]


def post_acknowledged(ip: str, port: int, path: str, body: bytes, timeout: float = CALL_TIMEOUT_S) -> bool:
    """Post JSON to a controller; return whether it responded with 200 within `timeout` seconds."""
    client = HTTPClient(ip, port, connection_timeout=CONNECT_TIMEOUT_S, network_timeout=timeout)
    try:
        answer = client.post(path, body, headers={"Content-Type": "application/json"})
        answer.read()
        return answer.status_code == 200
    except (OSError, HTTPParseError):
        return False
    finally:
        client.close()


def lose_nothing() -> bool:
    """Default of `lose_answer` and `lose_acknowledgement`: lose nothing."""
    return False


class EndpointState(StrEnum):
    """State that an endpoint reports in heartbeats; the values are those on the wire."""

    READY = "ready"
    DRAINING = "closing"
    GONE = "gone"


class Heartbeat(msgspec.Struct):
    """Body of a heartbeat; fields are encoded in wire order under their wire names."""

    service: str = msgspec.field(name="line")
    address: str = msgspec.field(name="addr")
    zone: str
    version: str = msgspec.field(name="edition")
    capacity: int = msgspec.field(name="berths")
    state: EndpointState
    warm_up_left_ms: int = msgspec.field(name="cold_left_ms")
    sequence: int = msgspec.field(name="call_seq")


class ReleaseCall(msgspec.Struct):
    """Request to release the lease on keys `low` to `high`; `fence` is the owner's fencing token."""

    low: int = msgspec.field(name="from_edition")
    high: int = msgspec.field(name="to_edition")
    fence: int


class GrantCall(ReleaseCall):
    """Request to grant a lease on a key range for `lease_ms` from receipt."""

    lease_ms: float = msgspec.field(name="hold_ms")


def is_valid_range(call: ReleaseCall) -> bool:
    """Whether the bounds of a key range are ordered and within the key space."""
    return 0 <= call.low <= call.high < KEYS


class RunEnd(Enum):
    """Outcome of a run."""

    ANSWERED = "answered"
    ANSWER_LOST = "answer lost"  # completed, but the connection was closed instead of responding
    DROPPED = "dropped"  # cancelled: the caller closed the connection
    STOPPED = "stopped"  # the endpoint stopped before the run completed


@dataclass(slots=True)
class Run:
    """Execution of one request; times are monotonic nanoseconds.

    Attributes:
        request_id: attempt id, from `X-Try-Id`.
        began_at_ns: start time; for a request cancelled in the queue, its arrival time.
        work_ns: duration unless cancelled.
        ended_at_ns: end time; None while running.
        end: outcome; None while running.
    """

    request_id: str
    began_at_ns: int
    work_ns: int
    ended_at_ns: int | None = None
    end: RunEnd | None = None

    def finish(self, end: RunEnd) -> None:
        """Record the outcome, with the current time as end time."""
        self.ended_at_ns = time.monotonic_ns()
        self.end = end


class Reply(NamedTuple):
    """A response; `headers` excludes those that every response has."""

    status: str
    headers: list[tuple[str, str]]
    body: bytes


class EndpointHandler(pywsgi.WSGIHandler):
    """Handler that detects client disconnects while a request runs, and simulates lost responses.

    A lost response is simulated by closing the connection instead of sending it.
    """

    def handle(self) -> None:
        """Serve one connection, and monitor it for a disconnect of the client."""
        self.caller = Caller()
        monitor = self.server.hangups
        descriptor = self.socket.fileno()
        try:
            monitor.add(self.socket, self.caller)
            super().handle()
        except OSError:
            pass  # the connection was closed before it could be served
        finally:
            monitor.callers.pop(descriptor, None)  # closing the descriptor ended the monitoring

    def get_environ(self) -> Environ:
        """The WSGI environ of a request, extended with its caller."""
        return {**super().get_environ(), CALLER_KEY: self.caller}

    def _sendall(self, data: bytes) -> None:
        if self.environ is not None and self.environ.get(LOST_KEY):
            self.close_connection = True
            return
        super()._sendall(data)


class Endpoint:
    """One incarnation of an endpoint.

    Attributes:
        id: endpoint id on the wire, unique to each incarnation.
        state: state reported in heartbeats.
        running: number of running requests.
        waiting: number of queued requests.
        run_counts: attempt id -> number of times this endpoint ran it.
        rejected: number of requests refused with `X-Not-Delivered`, which guarantees that they did not run.
        arrivals: (monotonic nanoseconds, attempt id) of each request that `is_responsible_for` accepts.
        runs: all runs that started.
        cancelled_in_queue: requests that never ran because the caller disconnected while they were queued.
        departed_at_ns: time of the first acknowledgement of the departure, including a simulated lost one.
        lose_answer, lose_acknowledgement: decide whether the next response or acknowledgement is lost.
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
        heartbeat_interval_s: float = 0.5,
        warm_up_s: float = 0.0,
        padding_bytes: int = 0,
    ) -> None:
        """Create an endpoint that does not listen until `start` is called.

        Args:
            service: name of the service.
            address: listen address.
            zone: zone reported in heartbeats.
            control: returns the controller addresses in the order in which to try them.
            work_s: duration of a run in seconds.
            capacity: maximum number of concurrent runs.
            queue_limit: maximum number of queued requests; further ones are rejected.
            sharded: whether to accept only requests for keys that it holds a lease on.
            heartbeat_interval_s: heartbeat interval in seconds.
            warm_up_s: seconds from now during which heartbeats report a warm-up.
            padding_bytes: length of the padding after each response, to make it long.
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
        self.heartbeat_interval_s = heartbeat_interval_s
        self.warm_up_ends_at = time.monotonic() + warm_up_s
        self.padding = bytes(padding_bytes)
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
        self.lose_answer: Callable[[], bool] = lose_nothing
        self.lose_acknowledgement: Callable[[], bool] = lose_nothing
        self.server = pywsgi.WSGIServer(
            address, self.answer, log=None, error_log=None, handler_class=EndpointHandler
        )
        self.server.hangups = HangupMonitor()
        self.heartbeats: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start listening and sending heartbeats."""
        self.server.start()
        self.heartbeats = gevent.spawn(self.send_heartbeats)

    def stop(self) -> None:
        """Stop as in a crash, without notifying controllers."""
        if self.heartbeats is not None:
            self.heartbeats.kill(block=False)
        self.server.stop(timeout=0)
        for run in self.runs:
            if run.end is None:
                run.finish(RunEnd.STOPPED)

    # Requests from proxies and controllers.

    def answer(self, environ: Environ, start: Callable[[str, list[tuple[str, str]]], Any]) -> list[bytes]:
        """WSGI application that serves requests from proxies and controllers."""
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
        """Dispatch by method and path to a lease call, a health check or a service request."""
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
        """Accept a lease unless a higher fencing token has been seen."""
        now = time.monotonic()
        if not is_valid_range(call):
            return Reply(BAD_REQUEST, [], b"")
        granted = self.leases.grant(call.low, call.high, call.fence, call.lease_ms / MS_PER_S, now)
        return Reply(OK if granted else CONFLICT, [], b"")

    def release(self, call: ReleaseCall) -> Reply:
        """Release a lease, and return a handover value for the next owner."""
        if not is_valid_range(call):
            return Reply(BAD_REQUEST, [], b"")
        self.leases.release(call.low, call.high)
        return Reply(OK, [("X-Handover", f"{call.fence:016x}")], b"")

    def reject(self, status: str) -> Reply:
        """Refuse a request, stating in a header that it has not run."""
        self.rejected += 1
        return Reply(status, [("X-Not-Delivered", "1")], b"")

    def is_responsible_for(self, environ: Environ) -> bool:
        """Whether a request is for this incarnation and, if sharded, for a key that it has a lease on."""
        if environ.get("HTTP_X_EXPECT_ENDPOINT") not in (None, self.id):
            return False
        if not self.sharded:
            return True
        key = environ.get("HTTP_X_SHARD_KEY", "")
        return key.isdigit() and self.leases.covers(int(key), time.monotonic())

    def work(self, environ: Environ) -> Reply:
        """Queue a request, and run it as soon as a slot is free."""
        if not self.is_responsible_for(environ):
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
        """Record the start of a run."""
        self.running += 1
        self.run_counts[request_id] = self.run_counts.get(request_id, 0) + 1
        run = Run(request_id, time.monotonic_ns(), int(self.work_s * NS_PER_S))
        self.runs.append(run)
        return run

    def wait_for_work(self, caller: Caller) -> None:
        """Simulate the processing of a request by waiting for `work_s` seconds.

        Raises:
            ClientDisconnected: the caller closed the connection.
        """
        disconnected = Event()
        with caller.calling_on_disconnect(disconnected.set):
            disconnected.wait(self.work_s)
        caller.raise_if_disconnected()

    def result(self, environ: Environ, request_id: str) -> Reply:
        """The response to a completed request; `X-Postmark` contains the number of its runs."""
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        body = f"{self.service} at {self.id} did {method} {path}\n".encode() + self.padding
        stamp = f"{self.id}.{self.run_counts[request_id]}"
        return Reply(OK, [("X-Postmark", stamp), ("Content-Type", "text/plain")], body)

    # Reports to the controllers.

    def call_controller(self, path: str, body: bytes) -> bool:
        """Call the controllers in turn until one acknowledges; return whether one did.

        The departure takes effect with the first acknowledgement, even if that is treated as lost.
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
        """Send one heartbeat; return whether it was acknowledged."""
        warm_up_left_s = self.warm_up_ends_at - time.monotonic()
        heartbeat = Heartbeat(
            service=self.service,
            address=f"{self.address[0]}:{self.address[1]}",
            zone=self.zone,
            version=VERSION,
            capacity=self.capacity,
            state=self.state,
            warm_up_left_ms=max(0, int(warm_up_left_s * MS_PER_S)),
            sequence=next(self.sequence),
        )
        return self.call_controller(f"/v1/endpoints/{self.id}/check-in", msgspec.json.encode(heartbeat))

    def send_heartbeats(self) -> None:
        """Send heartbeats until killed."""
        while True:
            self.send_heartbeat()
            gevent.sleep(self.heartbeat_interval_s)

    def leave(self) -> bool:
        """Start draining and announce it; return whether it was acknowledged."""
        self.state = EndpointState.DRAINING
        return self.send_heartbeat()

    def send_sign_off(self) -> bool:
        """Sign off but continue to serve; return whether it was acknowledged."""
        self.state = EndpointState.GONE
        if self.heartbeats is not None:
            self.heartbeats.kill(block=False)
        return self.call_controller(f"/v1/endpoints/{self.id}/sign-off", b"")

    def sign_off(self) -> bool:
        """Sign off and stop; return whether it was acknowledged."""
        acknowledged = self.send_sign_off()
        self.stop()
        return acknowledged
