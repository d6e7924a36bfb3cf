"""HTTP API of a controller for endpoints, operators and clients: a WSGI application served by gevent."""

import errno
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus
from typing import Any, Protocol

import gevent
import msgspec
from gevent import pywsgi

from flintreach.api import calls
from flintreach.common.log import log_event
from flintreach.common.memory_budget import MemoryBudget, Reservation
from flintreach.config.configuration import ConfigError, check
from flintreach.controller.endpoint_service import EndpointService
from flintreach.controller.load_placement import LoadPlacement
from flintreach.controller.operator_requests import OperatorRequests, RequestOutcome
from flintreach.controller.quorum_contact import SuspendDetector
from flintreach.controller.request_body import (
    GET_COPIES,
    PUT_COPIES,
    BodyIncomplete,
    BodyTooLarge,
    NoMemory,
    ReservedBody,
    announced_bytes,
    read_body,
    reserve,
)
from flintreach.endpoints.registry import Heartbeat
from flintreach.transport.runtime import Runtime

# A controller holds several copies of a configuration, and one for each of its connections to proxies.
MAX_CONFIGURATION_BYTES = 2 << 20
MAX_BODY_BYTES = 64 << 10  # for all other calls
RETRY_AFTER_S = "0.2"  # short, as another controller may be able to answer immediately
LISTEN_BACKLOG = 256
SEND_TIMEOUT_S = 15.0  # for the whole of a response
# WSGI environ key of a function that returns whether the caller closed its connection.
ENVIRON_CALLER_DISCONNECTED = "flintreach.gone"
# RFC 9110, section 15.5.14; Python 3.11 still has the reason phrase of RFC 7231.
REASON_PHRASES = {HTTPStatus.REQUEST_ENTITY_TOO_LARGE: "Content Too Large"}


class CallName(StrEnum):
    """Calls that a controller answers, by their names in `api.calls.TABLE`."""

    HEARTBEAT = "beat"
    SIGN_OFF = "leave"
    PUT_CONFIGURATION = "put"
    GET_CONFIGURATION = "get"
    EVACUATE = "evacuate"
    END_EVACUATION = "resume"
    RESOLVE = "resolve"


class Refusal(StrEnum):
    """Reason for which a call is answered with 503, though it may have taken effect.

    The values are sent to callers and shown in the status view.
    """

    SUSPENDED = "slept"  # this process was just suspended, so the request may be stale
    NO_QUORUM_CONTACT = "out of touch"
    TOO_LATE = "late"  # the caller will have timed out and retried on another controller
    CALLER_DISCONNECTED = "caller gone"
    NO_MEMORY = "no memory"  # other calls take the memory for long configurations


@dataclass(frozen=True, slots=True)
class Response:
    """An HTTP status, and a body that is sent verbatim (bytes) or as JSON."""

    status: HTTPStatus
    body: bytes | dict[str, Any] = field(default_factory=dict)

    @classmethod
    def error(cls, status: HTTPStatus, text: str) -> "Response":
        """Return a response whose body describes the error."""
        return cls(status, {"fault": text})


OK = Response(HTTPStatus.OK)
NO_QUORUM = Response.error(HTTPStatus.SERVICE_UNAVAILABLE, "no majority in time")
OUTCOME_RESPONSES = {
    RequestOutcome.ACCEPTED: OK,
    RequestOutcome.REPEATED: OK,
    RequestOutcome.SUPERSEDED: OK,
    RequestOutcome.CONFLICT: Response.error(
        HTTPStatus.CONFLICT, "edition: another content was acknowledged under this number"
    ),
    RequestOutcome.HISTORY_EXPIRED: Response.error(
        HTTPStatus.SERVICE_UNAVAILABLE, "edition: too old to tell which content it had"
    ),
    RequestOutcome.UNKNOWN: NO_QUORUM,
    RequestOutcome.ABANDONED: Response.error(
        HTTPStatus.SERVICE_UNAVAILABLE, "given up before anything was changed"
    ),
}


class ControlApiPlane(Protocol):
    """The part of the control plane that `ControlApi` uses."""

    runtime: Runtime
    suspend_detector: SuspendDetector
    endpoints: EndpointService
    operator_requests: OperatorRequests
    load_placement: LoadPlacement

    def quorum_contact_age(self) -> float:
        """Return an upper bound on this controller's staleness, in seconds."""

    def count_refusal(self, reason: str) -> None:
        """Count a call that could not be confirmed, for the status view."""


@dataclass(frozen=True, slots=True)
class Call:
    """One call, read completely.

    Attributes:
        name: its name in the table of calls.
        segments: path segments that match a `{}` of the table.
        query: the query string.
        body: the request body.
        read_at: monotonic time at which the request had been read, in seconds.
        caller_disconnected: returns whether the caller closed its connection.
    """

    name: str
    segments: list[str]
    query: str
    body: bytes
    read_at: float
    caller_disconnected: Callable[[], bool]


class ControlApi:
    """WSGI application that answers the control and directory calls from the state of `plane`."""

    def __init__(
        self, plane: ControlApiPlane, names: Iterable[str], memory: MemoryBudget | None = None
    ) -> None:
        """Answer only the calls named in `names`; each listener has its own set.

        Args:
            plane: the control plane.
            names: names of the calls.
            memory: budget for long configurations; without limit by default.
        """
        self.plane = plane
        self.memory = memory or MemoryBudget()
        self.names = frozenset(names)
        self.handlers: dict[str, Callable[[Call], Response]] = {
            CallName.HEARTBEAT: self.record_heartbeat,
            CallName.SIGN_OFF: self.record_sign_off,
            CallName.PUT_CONFIGURATION: self.put_configuration,
            CallName.GET_CONFIGURATION: self.get_configuration,
            CallName.EVACUATE: self.start_evacuation,
            CallName.END_EVACUATION: self.end_evacuation,
            CallName.RESOLVE: self.resolve,
        }

    def __call__(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        """Answer one request (PEP 3333)."""
        reservation = Reservation(self.memory)
        response = self.answer(environ, reservation)
        body = response.body if isinstance(response.body, bytes) else msgspec.json.encode(response.body)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            headers.append(("Retry-After", RETRY_AFTER_S))
        request_input = environ["wsgi.input"]
        is_partly_unread = request_input.chunked_input or request_input.position < (
            request_input.content_length or 0
        )
        if response.status != HTTPStatus.OK and is_partly_unread:
            # Otherwise the server would read the rest of the body, of any size, before the next request.
            request_input.content_length = request_input.position
            request_input.chunked_input = False
            headers.append(("Connection", "close"))
        phrase = REASON_PHRASES.get(response.status, response.status.phrase)
        start_response(f"{response.status.value} {phrase}", headers)
        return ReservedBody(body, reservation)

    def answer(self, environ: dict[str, Any], reservation: Reservation) -> Response:
        """Read and execute a call, and answer with its result unless it can't be confirmed.

        Args:
            environ: the WSGI environ.
            reservation: the memory for a long configuration.
        """
        name, segments = calls.find(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if name not in self.names:
            return Response.error(HTTPStatus.NOT_FOUND, "no such call")
        max_bytes = MAX_CONFIGURATION_BYTES if name == CallName.PUT_CONFIGURATION else MAX_BODY_BYTES
        try:
            self._reserve_memory(name, environ, reservation)
            body = read_body(environ, max_bytes)
        except NoMemory:
            return self._refuse(Refusal.NO_MEMORY)
        except BodyTooLarge:
            return Response.error(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"body: at most {max_bytes} bytes")
        except BodyIncomplete as error:
            return Response.error(HTTPStatus.BAD_REQUEST, f"body: {error}")
        read_at = self.plane.runtime.now()
        call = Call(
            name, segments, environ["QUERY_STRING"], body, read_at, environ[ENVIRON_CALLER_DISCONNECTED]
        )
        # Checked before execution and again after it: this process may be suspended in between.
        early_refusal = self.refusal(call)
        if early_refusal is not None:
            return early_refusal
        response = self._handle(call)
        return self.refusal(call) or response

    def _reserve_memory(self, name: str, environ: dict[str, Any], reservation: Reservation) -> None:
        """Reserve memory for the configuration that a call brings or returns.

        Raises:
            NoMemory: it was not available in time.
        """
        if name == CallName.PUT_CONFIGURATION:
            reserve(reservation, announced_bytes(environ, MAX_CONFIGURATION_BYTES), PUT_COPIES)
        elif name == CallName.GET_CONFIGURATION:
            reserve(reservation, self.plane.operator_requests.published_bytes(), GET_COPIES)

    def _handle(self, call: Call) -> Response:
        try:
            return self.handlers[call.name](call)
        except (msgspec.DecodeError, msgspec.ValidationError, ConfigError) as error:
            return Response.error(HTTPStatus.BAD_REQUEST, str(error))

    # Checks before a call is confirmed.

    def refusal(self, call: Call) -> Response | None:
        """Return the response to a call that can't be confirmed; None if it can be.

        It is a 503, which leaves the outcome open, so that the caller retries on another controller.
        """
        reason = self._refusal_reason(call)
        return None if reason is None else self._refuse(reason)

    def _refuse(self, reason: Refusal) -> Response:
        """Count a call that can't be confirmed, and return the response to it."""
        self.plane.count_refusal(reason)
        return Response.error(HTTPStatus.SERVICE_UNAVAILABLE, reason)

    def _refusal_reason(self, call: Call) -> Refusal | None:
        now = self.plane.runtime.now()
        max_contact_age_s, max_call_age_s = calls.CALL_LIMITS[call.name]
        if max_call_age_s is not None and not self.plane.suspend_detector.is_current(now):
            return Refusal.SUSPENDED
        if max_contact_age_s is not None and self.plane.quorum_contact_age() > max_contact_age_s:
            return Refusal.NO_QUORUM_CONTACT
        if max_call_age_s is None:
            return None
        if now - call.read_at > max_call_age_s:
            return Refusal.TOO_LATE
        if call.caller_disconnected():
            return Refusal.CALLER_DISCONNECTED
        return None

    def _may_proceed(self, call: Call) -> Callable[[], bool]:
        return lambda: self._refusal_reason(call) is None

    # Call handlers.

    def record_heartbeat(self, call: Call) -> Response:
        """Process the heartbeat of an endpoint."""
        heartbeat = msgspec.json.decode(call.body, type=Heartbeat)
        return OK if self.plane.endpoints.record_heartbeat(call.segments[0], heartbeat) else NO_QUORUM

    def record_sign_off(self, call: Call) -> Response:
        """Process the sign-off of an endpoint."""
        return OK if self.plane.endpoints.sign_off(call.segments[0]) else NO_QUORUM

    def put_configuration(self, call: Call) -> Response:
        """Store a configuration under the number it contains."""
        number = check(call.body).number
        outcome = self.plane.operator_requests.put(number, call.body, self._may_proceed(call))
        if outcome == RequestOutcome.CONFLICT:
            log_event("conflict", edition=f"{number:08x}")
        return OUTCOME_RESPONSES[outcome]

    def get_configuration(self, call: Call) -> Response:
        """Return the current configuration, as it was uploaded."""
        is_known, body = self.plane.operator_requests.get()
        if not is_known:
            return NO_QUORUM
        if body is None:
            return Response.error(HTTPStatus.NOT_FOUND, "no configuration yet")
        return Response(HTTPStatus.OK, body)

    def start_evacuation(self, call: Call) -> Response:
        """Start the evacuation of a zone."""
        return self._evacuate(call, True)

    def end_evacuation(self, call: Call) -> Response:
        """End the evacuation of a zone."""
        return self._evacuate(call, False)

    def _evacuate(self, call: Call, is_evacuated: bool) -> Response:
        may_proceed = self._may_proceed(call)
        outcome = self.plane.operator_requests.evacuate(call.segments[0], is_evacuated, may_proceed)
        return OUTCOME_RESPONSES[outcome]

    def resolve(self, call: Call) -> Response:
        """Return the addresses of the proxies that a client of a host should connect to."""
        parameters = dict(pair.partition("=")[::2] for pair in call.query.split("&"))
        load_placement = self.plane.load_placement
        addresses = load_placement.proxy_addresses(
            parameters.get("name", ""), parameters.get("region", ""), parameters.get("zone", "")
        )
        if not addresses:
            return Response.error(HTTPStatus.SERVICE_UNAVAILABLE, "nobody is ready")
        valid_s = round(load_placement.record_answer(self.plane.runtime.now()), 2)
        return Response(HTTPStatus.OK, {"post_addrs": addresses, "valid_s": valid_s})


class RequestHandler(pywsgi.WSGIHandler):
    """Request handler that lets a call detect that its caller has disconnected, e.g. after a time-out."""

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environ, with `caller_disconnected` added."""
        environ = super().get_environ()
        environ[ENVIRON_CALLER_DISCONNECTED] = self.caller_disconnected
        return environ

    def _sendall(self, data: bytes) -> None:
        """Send data; a caller that does not read it in time loses its connection."""
        try:
            with gevent.Timeout(SEND_TIMEOUT_S):
                super()._sendall(data)
        except gevent.Timeout:
            # The server closes the connection.
            raise OSError(errno.EPIPE, "the caller does not read") from None

    def caller_disconnected(self) -> bool:
        """Return whether the caller closed its connection; bytes of a next request mean that it is open."""
        try:
            return not self.socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True


def listen(
    address: tuple[str, int],
    plane: ControlApiPlane,
    names: Iterable[str],
    memory: MemoryBudget | None = None,
) -> pywsgi.WSGIServer:
    """Create, but do not start, a server for the named calls at an address; see `ControlApi`."""
    return pywsgi.WSGIServer(
        address,
        ControlApi(plane, names, memory),
        log=None,
        error_log=None,
        backlog=LISTEN_BACKLOG,
        handler_class=RequestHandler,
    )
