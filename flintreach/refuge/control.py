"""What endpoints, the operator and clients call: one table of calls, answered as WSGI by gevent's server."""

import msgspec
from gevent import pywsgi

from flintreach.hutbook.book import Beat
from flintreach.refuge.orders import LATE
from flintreach.rope import link
from flintreach.waymark import calls, timetable
from flintreach.waymark.timetable import ConfigError, check

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           413: "Content Too Large", 503: "Service Unavailable"}
# A configuration goes through links inside a message that also holds other keys: far below what ends a link.
LARGE, SMALL = link.MOST // 2, 64 << 10  # bytes of a configuration; of any other body
AGAIN_S = "0.2"  # Retry-After: another refuge may answer at once
UNSURE = {"fault": "no majority in time"}
PUT = {
    timetable.TAKEN: (200, {}), timetable.AGAIN: (200, {}), timetable.OVERTAKEN: (200, {}),
    timetable.OTHER: (409, {"fault": "edition: another content was acknowledged under this number"}),
    timetable.FORGOTTEN: (503, {"fault": "edition: too old to tell which content it had"}),
    LATE: (503, UNSURE),
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


class Control:
    """`plane` holds the state; each call of the table has a method here: (segments, environ) -> answer."""

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
            return getattr(self, name)(segments, environ, body_of(environ, most))
        except TooLarge:
            return 413, {"fault": f"body: at most {most} bytes"}
        except CutShort as error:
            return 400, {"fault": f"body: {error}"}
        except (msgspec.DecodeError, msgspec.ValidationError, ConfigError) as error:
            return 400, {"fault": str(error)}

    def beat(self, segments, environ, body):
        beat = msgspec.json.decode(body, type=Beat)
        return (200, {}) if self.plane.endpoints.beat(segments[0], beat) else (503, UNSURE)

    def leave(self, segments, environ, body):
        return (200, {}) if self.plane.endpoints.leave(segments[0]) else (503, UNSURE)

    def put(self, segments, environ, body):
        table = check(body)
        return PUT[self.plane.orders.put(table.number, body)]

    def get(self, segments, environ, body):
        done, value = self.plane.orders.get()
        if not done:
            return 503, UNSURE
        return (404, {"fault": "no configuration yet"}) if value is None else (200, value)

    def evacuate(self, segments, environ, body):
        return (200, {}) if self.plane.orders.evacuate(segments[0], True) else (503, UNSURE)

    def resume(self, segments, environ, body):
        return (200, {}) if self.plane.orders.evacuate(segments[0], False) else (503, UNSURE)

    def resolve(self, segments, environ, body):
        asked = dict(pair.partition("=")[::2] for pair in environ["QUERY_STRING"].split("&"))
        placing = self.plane.placing
        addrs = placing.directions(asked.get("name", ""), asked.get("region", ""), asked.get("zone", ""))
        if not addrs:
            return 503, {"fault": "nobody is ready"}
        return 200, {"post_addrs": addrs, "valid_s": round(placing.valid(self.plane.host.now()), 2)}


def listen(address: tuple[str, int], plane, names: set[str]) -> pywsgi.WSGIServer:
    return pywsgi.WSGIServer(address, Control(plane, names), log=None, error_log=None, backlog=256)
