"""Calls of endpoints, the operator and clients: one table of calls, as a WSGI application on gevent."""

import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus
from typing import Any, Protocol

import msgspec
from gevent import pywsgi

from flintreach.api import calls
from flintreach.common.log import say
from flintreach.config.configuration import ConfigError, check
from flintreach.controller.endpoint_service import EndpointService
from flintreach.controller.load_placement import LoadPlacement
from flintreach.controller.operator_requests import OperatorRequests, RequestOutcome
from flintreach.controller.quorum_contact import SuspendDetector
from flintreach.endpoints.registry import Heartbeat
from flintreach.transport import peer_connection
from flintreach.transport.runtime import Runtime

# A configuration goes to peers inside a message that also has other keys: far below what ends a connection.
MAX_CONFIGURATION_BYTES = peer_connection.MAX_MESSAGE_BYTES // 2
MAX_BODY_BYTES = 64 << 10  # of any other call
RETRY_AFTER_S = "0.2"  # another controller may answer at once
LISTEN_BACKLOG = 256
# WSGI environ: a function that tells whether the caller went away.
ENVIRON_CALLER_DISCONNECTED = "flintreach.gone"
# The phrase of RFC 9110, section 15.5.14; Python 3.11 has that of the RFC before it.
REASON_PHRASES = {HTTPStatus.REQUEST_ENTITY_TOO_LARGE: "Content Too Large"}


class CallName(StrEnum):
    """Names of the calls that a controller answers, as the table of calls has them."""

    HEARTBEAT = "beat"
    LEAVE = "leave"
    PUT_CONFIGURATION = "put"
    GET_CONFIGURATION = "get"
    EVACUATE = "evacuate"
    END_EVACUATION = "resume"
    RESOLVE = "resolve"


class Refusal(StrEnum):
    """Why a call is answered 503 though it may have been done; the texts are part of the answers."""

    SUSPENDED = "slept"  # this process was suspended, and the call may be old
    NO_QUORUM_CONTACT = "out of touch"
    TOO_LATE = "late"  # read so long ago that the caller has gone to another
    CALLER_DISCONNECTED = "caller gone"


@dataclass(frozen=True, slots=True)
class Answer:
    """A status, and a body that is sent as it is (bytes) or as JSON."""

    status: HTTPStatus
    body: bytes | dict[str, Any] = field(default_factory=dict)

    @classmethod
    def fault(cls, status: HTTPStatus, text: str) -> "Answer":
        """Return an answer whose body tells what is wrong."""
        return cls(status, {"fault": text})


OK = Answer(HTTPStatus.OK)
NO_MAJORITY = Answer.fault(HTTPStatus.SERVICE_UNAVAILABLE, "no majority in time")
OUTCOME_ANSWERS = {
    RequestOutcome.ACCEPTED: OK,
    RequestOutcome.REPEATED: OK,
    RequestOutcome.SUPERSEDED: OK,
    RequestOutcome.CONFLICT: Answer.fault(
        HTTPStatus.CONFLICT, "edition: another content was acknowledged under this number"
    ),
    RequestOutcome.HISTORY_EXPIRED: Answer.fault(
        HTTPStatus.SERVICE_UNAVAILABLE, "edition: too old to tell which content it had"
    ),
    RequestOutcome.UNKNOWN: NO_MAJORITY,
    RequestOutcome.ABANDONED: Answer.fault(
        HTTPStatus.SERVICE_UNAVAILABLE, "given up before anything was changed"
    ),
}


class BodyTooLarge(Exception):
    """A body beyond what its call takes; the rest of it is left unread."""


class BodyIncomplete(Exception):
    """A body that ended before its length, or is not chunked as it should be."""


class ControlApiPlane(Protocol):
    """What `ControlApi` takes of the control plane."""

    runtime: Runtime
    suspend_detector: SuspendDetector
    endpoints: EndpointService
    operator_requests: OperatorRequests
    load_placement: LoadPlacement

    def quorum_contact_age(self) -> float:
        """Return the seconds since a time up to which all that was acknowledged is known here."""

    def count_refusal(self, reason: str) -> None:
        """Count a call that was not confirmed, for the operator to see."""


@dataclass(frozen=True, slots=True)
class Call:
    """One call that was read whole.

    Attributes:
        name: of the table of calls.
        segments: what stands in the path for the table's `{}`.
        query: the query string.
        body: the body.
        read_at: when it had been read, on the steady clock, in seconds.
        caller_gone: tells whether its caller went away.
    """

    name: str
    segments: list[str]
    query: str
    body: bytes
    read_at: float
    caller_gone: Callable[[], bool]


def read_body(environ: dict[str, Any], max_bytes: int) -> bytes:
    """Read a request's body.

    Raises:
        BodyTooLarge: as soon as that is known, by its length or by what has come.
        BodyIncomplete: it ended early, or its chunks make no sense.
    """
    content_length = environ.get("CONTENT_LENGTH") or "0"
    if content_length.isdigit() and int(content_length) > max_bytes:
        raise BodyTooLarge
    try:
        body = environ["wsgi.input"].read(max_bytes + 1)
    except OSError as error:
        raise BodyIncomplete(str(error)) from error
    if len(body) > max_bytes:
        raise BodyTooLarge
    return body


class ControlApi:
    """WSGI application for the calls of the table; `plane` has the state."""

    def __init__(self, plane: ControlApiPlane, names: Iterable[str]) -> None:
        """Answer the calls of these names only: each listener has its own."""
        self.plane = plane
        self.names = frozenset(names)
        self.handlers: dict[str, Callable[[Call], Answer]] = {
            CallName.HEARTBEAT: self.record_heartbeat,
            CallName.LEAVE: self.record_leave,
            CallName.PUT_CONFIGURATION: self.put_configuration,
            CallName.GET_CONFIGURATION: self.get_configuration,
            CallName.EVACUATE: self.start_evacuation,
            CallName.END_EVACUATION: self.end_evacuation,
            CallName.RESOLVE: self.resolve,
        }

    def __call__(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        """Answer one request, as PEP 3333 has it."""
        answer = self.answer(environ)
        body = answer.body if isinstance(answer.body, bytes) else msgspec.json.encode(answer.body)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            headers.append(("Retry-After", RETRY_AFTER_S))
        request_input = environ["wsgi.input"]
        is_partly_unread = request_input.chunked_input or request_input.position < (
            request_input.content_length or 0
        )
        if answer.status != HTTPStatus.OK and is_partly_unread:
            # The server would read what is left of the body, however much, before it takes the next request.
            request_input.content_length = request_input.position
            request_input.chunked_input = False
            headers.append(("Connection", "close"))
        phrase = REASON_PHRASES.get(answer.status, answer.status.phrase)
        start_response(f"{answer.status.value} {phrase}", headers)
        return [body]

    def answer(self, environ: dict[str, Any]) -> Answer:
        """Read a call, do it, and answer it unless it may not be confirmed."""
        name, segments = calls.find(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if name not in self.names:
            return Answer.fault(HTTPStatus.NOT_FOUND, "no such call")
        max_bytes = MAX_CONFIGURATION_BYTES if name == CallName.PUT_CONFIGURATION else MAX_BODY_BYTES
        try:
            body = read_body(environ, max_bytes)
        except BodyTooLarge:
            return Answer.fault(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"body: at most {max_bytes} bytes")
        except BodyIncomplete as error:
            return Answer.fault(HTTPStatus.BAD_REQUEST, f"body: {error}")
        read_at = self.plane.runtime.now()
        call = Call(
            name, segments, environ["QUERY_STRING"], body, read_at, environ[ENVIRON_CALLER_DISCONNECTED]
        )
        # Before anything is done, and again after the last wait: this process may be suspended in between.
        refusal_before = self.refusal(call)
        if refusal_before is not None:
            return refusal_before
        answer = self._handle(call)
        return self.refusal(call) or answer

    def _handle(self, call: Call) -> Answer:
        try:
            return self.handlers[call.name](call)
        except (msgspec.DecodeError, msgspec.ValidationError, ConfigError) as error:
            return Answer.fault(HTTPStatus.BAD_REQUEST, str(error))

    # Whether a call may be confirmed.

    def refusal(self, call: Call) -> Answer | None:
        """Return the answer to a call that may not be confirmed, None where it may.

        It says nothing clear, so that the caller goes on to another controller.
        """
        reason = self._refusal_reason(call)
        if reason is None:
            return None
        self.plane.count_refusal(reason)
        return Answer.fault(HTTPStatus.SERVICE_UNAVAILABLE, reason)

    def _refusal_reason(self, call: Call) -> Refusal | None:
        now = self.plane.runtime.now()
        max_contact_age_s, max_call_age_s = calls.BOUNDS[call.name]
        if max_call_age_s is not None and not self.plane.suspend_detector.is_current(now):
            return Refusal.SUSPENDED
        if max_contact_age_s is not None and self.plane.quorum_contact_age() > max_contact_age_s:
            return Refusal.NO_QUORUM_CONTACT
        if max_call_age_s is None:
            return None
        if now - call.read_at > max_call_age_s:
            return Refusal.TOO_LATE
        if call.caller_gone():
            return Refusal.CALLER_DISCONNECTED
        return None

    def _may_proceed(self, call: Call) -> Callable[[], bool]:
        return lambda: self._refusal_reason(call) is None

    # Handlers of the calls.

    def record_heartbeat(self, call: Call) -> Answer:
        """Take an endpoint's heartbeat."""
        heartbeat = msgspec.json.decode(call.body, type=Heartbeat)
        return OK if self.plane.endpoints.record_heartbeat(call.segments[0], heartbeat) else NO_MAJORITY

    def record_leave(self, call: Call) -> Answer:
        """Take an endpoint's sign-off."""
        return OK if self.plane.endpoints.sign_off(call.segments[0]) else NO_MAJORITY

    def put_configuration(self, call: Call) -> Answer:
        """Put a configuration under its number."""
        number = check(call.body).number
        outcome = self.plane.operator_requests.put(number, call.body, self._may_proceed(call))
        if outcome == RequestOutcome.CONFLICT:
            say("conflict", edition=f"{number:08x}")
        return OUTCOME_ANSWERS[outcome]

    def get_configuration(self, call: Call) -> Answer:
        """Return the configuration that stands, as it was put."""
        is_known, body = self.plane.operator_requests.get()
        if not is_known:
            return NO_MAJORITY
        if body is None:
            return Answer.fault(HTTPStatus.NOT_FOUND, "no configuration yet")
        return Answer(HTTPStatus.OK, body)

    def start_evacuation(self, call: Call) -> Answer:
        """Begin to evacuate a zone."""
        return self._evacuate(call, True)

    def end_evacuation(self, call: Call) -> Answer:
        """End the evacuation of a zone."""
        return self._evacuate(call, False)

    def _evacuate(self, call: Call, is_evacuated: bool) -> Answer:
        may_proceed = self._may_proceed(call)
        outcome = self.plane.operator_requests.evacuate(call.segments[0], is_evacuated, may_proceed)
        return OUTCOME_ANSWERS[outcome]

    def resolve(self, call: Call) -> Answer:
        """Return the proxies to which a client of a host should connect."""
        parameters = dict(pair.partition("=")[::2] for pair in call.query.split("&"))
        directory = self.plane.load_placement
        addresses = directory.proxy_addresses(
            parameters.get("name", ""), parameters.get("region", ""), parameters.get("zone", "")
        )
        if not addresses:
            return Answer.fault(HTTPStatus.SERVICE_UNAVAILABLE, "nobody is ready")
        valid_s = round(directory.record_answer(self.plane.runtime.now()), 2)
        return Answer(HTTPStatus.OK, {"post_addrs": addresses, "valid_s": valid_s})


class RequestHandler(pywsgi.WSGIHandler):
    """Lets a call ask whether its caller went away: a request may outlive the patience of who sent it."""

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environ, with that question."""
        environ = super().get_environ()
        environ[ENVIRON_CALLER_DISCONNECTED] = self.caller_gone
        return environ

    def caller_gone(self) -> bool:
        """Return whether the caller closed its connection; bytes of a next request mean that it did not."""
        try:
            return not self.socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True


def listen(address: tuple[str, int], plane: ControlApiPlane, names: Iterable[str]) -> pywsgi.WSGIServer:
    """Return a server, yet to be started, that answers the calls of these names at an address."""
    return pywsgi.WSGIServer(
        address,
        ControlApi(plane, names),
        log=None,
        error_log=None,
        backlog=LISTEN_BACKLOG,
        handler_class=RequestHandler,
    )
