"""Probes of servers, at the addresses that discovery provides."""

from weakref import WeakKeyDictionary

from flintreach.net.http import Connection
from flintreach.net.reading import figure
from flintreach.pilot import interface

STATUSES = {"unsent": "connect_failed", "broken": "reset", "silent": "timeout", "garbled": "error"}


def report(text: str, names: tuple[str, ...], known: dict[str, str], most: float) -> dict[str, float]:
    """
    >>> report("cpu=0.61,waiting=x,odd=2", ("util", "queue"), {"cpu": "util", "waiting": "queue"}, 9.0)
    {'util': 0.61}
    """
    found = {}
    for part in text.strip().split(","):
        name, _, value = part.partition("=")
        name = known.get(name, name)
        try:
            if name in names:
                found[name] = figure(float(value), most)
        except ValueError:
            continue
    return found


class Servers:
    def __init__(self, service):
        self.service, self.addresses, self.open = service, WeakKeyDictionary(), set()

    def probe(self, server: interface.Server) -> None:
        limits, clock = self.service.limits, self.service.clock
        if len(self.open) >= limits.probes or server not in self.addresses:
            self.service.count("question not sent")  # told as unanswered, it would condemn a healthy server
            return
        began, fields = clock.now(), self.service.settings.load_fields

        def done(how: str, status: int, body: bytes) -> None:
            self.open.discard(connection)
            connection.close()
            said = {200: "ok", 503: "full"}.get(status, "error") if how == "answered" else STATUSES[how]
            text = body.decode("ascii", "replace") if said == "ok" else ""
            load = report(text, fields, self.service.loads, limits.load)
            self.service.event(interface.ProbeResult(server, said, clock.now() - began, load))

        connection = Connection(clock, limits, self.addresses[server], done)
        self.open.add(connection)
        connection.call("GET", "/metrics/load" if fields else "/alive", limits.probe_wait)
