"""What endpoints, the operator and clients call: one table of calls, answered as WSGI by gevent's server."""

import socket
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from gevent import pywsgi

from flintreach.api import calls
from flintreach.common.log import say
from flintreach.config import configuration
from flintreach.config.configuration import ConfigError, check
from flintreach.controller.operator_requests import DROPPED, LATE
from flintreach.endpoints.registry import Heartbeat
from flintreach.transport import peer_connection

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    503: "Service Unavailable",
}
# A configuration goes through links inside a message that also holds other keys: far below what ends a link.
LARGE, SMALL = peer_connection.MOST // 2, 64 << 10  # bytes of a configuration; of any other body
AGAIN_S = "0.2"  # Retry-After: another refuge may answer at once
GONE = "flintreach.gone"  # in the environ: whether the caller went away
# Why a call is answered 503: the process slept; no contact with a quorum; read too long ago; caller gone.
SLEPT, ALONE, TIMED, LEFT = "slept", "out of touch", "late", "caller gone"
UNSURE = 503, {"fault": "no majority in time"}
ORDERS = {
    configuration.TAKEN: (200, {}),
    configuration.AGAIN: (200, {}),
    configuration.OVERTAKEN: (200, {}),
    configuration.OTHER: (409, {"fault": "edition: another content was acknowledged under this number"}),
    configuration.FORGOTTEN: (503, {"fault": "edition: too old to tell which content it had"}),
    LATE: UNSURE,
    DROPPED: (503, {"fault": "given up before anything was changed"}),
}


class TooLarge(Exception):
    """A body beyond what its call takes; the rest of it is left unread."""


class CutShort(Exception):
    """A body that ended before its length, or is not chunked as it should be."""


def body_of(environ, most: int) -> bytes:
    """A request's body.  Raises TooLarge as soon as that is known, by its length or by what has come."""
    told = environ.get("CONTENT_LENGTH") or "0"
    if told.isdigit() and int(told) > most:
        raise TooLarge
    try:
        data = environ["wsgi.input"].read(most + 1)
    except OSError as error:
        raise CutShort(str(error)) from None
    if len(data) > most:
        raise TooLarge
    return data


@dataclass(frozen=True, slots=True)
class Call:
    """One call that was read whole at `at`, on the steady clock; `gone()`: whether its caller went away."""

    name: str
    segments: list[str]
    query: str
    body: bytes
    at: float
    gone: Callable[[], bool]


class ControlApi:
    """`plane` holds the state; each call of the table has a method here: call -> (status, answer)."""

    def __init__(self, plane, names: set[str]):
        self.plane, self.names = plane, names

    def __call__(self, environ, start):
        status, body = self.answer(environ)
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
        if status == 503:
            headers.append(("Retry-After", AGAIN_S))
        coming = environ["wsgi.input"]
        if status != 200 and (coming.chunked_input or coming.position < (coming.content_length or 0)):
            # The server would read what is left of the body, however much, before it takes the next request.
            coming.content_length, coming.chunked_input = coming.position, False
            headers.append(("Connection", "close"))
        start(f"{status} {REASONS[status]}", headers)
        return [data]

    def answer(self, environ) -> tuple[int, bytes | dict]:
        name, segments = calls.find(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if name not in self.names:
            return 404, {"fault": "no such call"}
        most = LARGE if name == "put" else SMALL
        try:
            call = Call(
                name,
                segments,
                environ["QUERY_STRING"],
                body_of(environ, most),
                self.plane.runtime.now(),
                environ[GONE],
            )
        except TooLarge:
            return 413, {"fault": f"body: at most {most} bytes"}
        except CutShort as error:
            return 400, {"fault": f"body: {error}"}
        # Before anything is done, and again after the last wait: this process may have slept in between.
        if refused := self.refusal(call):
            return refused
        answer = self.judged(call)
        return self.refusal(call) or answer

    def judged(self, call: Call) -> tuple[int, bytes | dict]:
        try:
            return getattr(self, call.name)(call)
        except (msgspec.DecodeError, msgspec.ValidationError, ConfigError) as error:
            return 400, {"fault": str(error)}

    def refusal(self, call: Call) -> tuple[int, dict] | None:
        """Why a call may not be confirmed, as its answer: nothing clear, so that the caller goes on."""
        reason = self.reason(call)
        if reason is None:
            return None
        self.plane.refused(reason)
        return 503, {"fault": reason}

    def reason(self, call: Call) -> str | None:
        now, (contact, within) = self.plane.runtime.now(), calls.BOUNDS[call.name]
        for reason, holds in (
            (SLEPT, lambda: within is not None and not self.plane.suspend_detector.look(now)),
            (ALONE, lambda: contact is not None and self.plane.contact_age() > contact),
            (TIMED, lambda: within is not None and now - call.at > within),
            (LEFT, lambda: within is not None and call.gone()),
        ):
            if holds():
                return reason
        return None

    def may(self, call: Call) -> Callable[[], bool]:
        return lambda: self.reason(call) is None

    def beat(self, call):
        beat = msgspec.json.decode(call.body, type=Heartbeat)
        return (200, {}) if self.plane.endpoints.heartbeat(call.segments[0], beat) else UNSURE

    def leave(self, call):
        return (200, {}) if self.plane.endpoints.leave(call.segments[0]) else UNSURE

    def put(self, call):
        number = check(call.body).number
        word = self.plane.operator_requests.put(number, call.body, self.may(call))
        if word == configuration.OTHER:
            say("conflict", edition=f"{number:08x}")
        return ORDERS[word]

    def get(self, call):
        done, value = self.plane.operator_requests.get()
        if not done:
            return UNSURE
        return (404, {"fault": "no configuration yet"}) if value is None else (200, value)

    def evacuate(self, call):
        return ORDERS[self.plane.operator_requests.evacuate(call.segments[0], True, self.may(call))]

    def resume(self, call):
        return ORDERS[self.plane.operator_requests.evacuate(call.segments[0], False, self.may(call))]

    def resolve(self, call):
        asked = dict(pair.partition("=")[::2] for pair in call.query.split("&"))
        load_placement = self.plane.load_placement
        addrs = load_placement.directions(
            asked.get("name", ""), asked.get("region", ""), asked.get("zone", "")
        )
        if not addrs:
            return 503, {"fault": "nobody is ready"}
        return 200, {"post_addrs": addrs, "valid_s": round(load_placement.valid(self.plane.runtime.now()), 2)}


class Handler(pywsgi.WSGIHandler):
    """Tells a call whether its caller went away: an order may outlive the patience of who sent it."""

    def get_environ(self):
        environ = super().get_environ()
        environ[GONE] = self.gone
        return environ

    def gone(self) -> bool:
        try:
            return not self.socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True


def listen(address: tuple[str, int], plane, names: set[str]) -> pywsgi.WSGIServer:
    return pywsgi.WSGIServer(
        address, ControlApi(plane, names), log=None, error_log=None, backlog=256, handler_class=Handler
    )
