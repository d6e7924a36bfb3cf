"""What endpoints, the operator and clients call: one table of calls, answered as WSGI by gevent's server."""

import gevent
import msgspec
from gevent import pywsgi

from flintreach.hutbook.book import Beat
from flintreach.waymark import calls
from flintreach.waymark.timetable import ConfigError, check

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 413: "Content Too Large",
           503: "Service Unavailable"}
MOST = 32 << 20
LATE = {"fault": "no majority in time"}


class Control:
    """`plane` holds the state; each call of the table has a method here: (segments, environ) -> answer."""

    def __init__(self, plane, names: set[str]):
        self.plane, self.names = plane, names

    def __call__(self, environ, start):
        name, segments = calls.find(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        try:
            if name in self.names:
                status, body = getattr(self, name)(segments, environ)
            else:
                status, body = 404, {"fault": "no such call"}
        except (msgspec.DecodeError, msgspec.ValidationError, ConfigError) as error:
            status, body = 400, {"fault": str(error)}
        except gevent.Timeout:
            status, body = 503, LATE
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        start(f"{status} {REASONS.get(status, 'Error')}", [
            ("Content-Type", "application/json"), ("Content-Length", str(len(data)))])
        return [data]

    def body(self, environ) -> bytes:
        return environ["wsgi.input"].read(MOST)

    def beat(self, segments, environ):
        beat = msgspec.json.decode(self.body(environ), type=Beat)
        return (200, {}) if self.plane.endpoints.beat(segments[0], beat) else (503, LATE)

    def leave(self, segments, environ):
        return (200, {}) if self.plane.endpoints.leave(segments[0]) else (503, LATE)

    def put(self, segments, environ):
        body = self.body(environ)
        table = check(body)
        return (200, {}) if self.plane.orders.put(table.number, body) else (503, LATE)

    def get(self, segments, environ):
        done, value = self.plane.orders.get()
        if not done:
            return 503, LATE
        return (404, {"fault": "no configuration yet"}) if value is None else (200, value)

    def evacuate(self, segments, environ):
        return (200, {}) if self.plane.orders.evacuate(segments[0], True) else (503, LATE)

    def resume(self, segments, environ):
        return (200, {}) if self.plane.orders.evacuate(segments[0], False) else (503, LATE)

    def resolve(self, segments, environ):
        asked = dict(pair.partition("=")[::2] for pair in environ["QUERY_STRING"].split("&"))
        placing = self.plane.placing
        addrs = placing.directions(asked.get("name", ""), asked.get("region", ""), asked.get("zone", ""))
        if not addrs:
            return 503, {"fault": "nobody is ready"}
        return 200, {"post_addrs": addrs, "valid_s": round(placing.valid(self.plane.host.now()), 2)}


def listen(address: tuple[str, int], plane, names: set[str]) -> pywsgi.WSGIServer:
    return pywsgi.WSGIServer(address, Control(plane, names), log=None, error_log=None, backlog=256)
