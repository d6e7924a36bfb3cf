"""Probes of servers, at the addresses that discovery provides."""

from weakref import WeakKeyDictionary

from flintreach.net.http import Connection
from flintreach.net.reading import nonnegative_number
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
                found[name] = nonnegative_number(float(value), most)
        except ValueError:
            continue
    return found


class Prober:
    def __init__(self, service):
        self.service, self.addresses, self.in_flight = service, WeakKeyDictionary(), set()

    def probe(self, server: interface.Server) -> None:
        limits, clock = self.service.limits, self.service.clock
        if len(self.in_flight) >= limits.max_concurrent_probes or server not in self.addresses:
            self.service.count_warning(
                "question not sent"
            )  # told as unanswered, it would condemn a healthy server
            return
        began, fields = clock.now(), self.service.settings.load_fields

        def done(how: str, status: int, body: bytes) -> None:
            self.in_flight.discard(connection)
            connection.close()
            said = {200: "ok", 503: "full"}.get(status, "error") if how == "answered" else STATUSES[how]
            text = body.decode("ascii", "replace") if said == "ok" else ""
            load = report(text, fields, self.service.load_names, limits.max_load)
            self.service.enqueue(interface.ProbeResult(server, said, clock.now() - began, load))

        connection = Connection(clock, limits, self.addresses[server], done)
        self.in_flight.add(connection)
        connection.call("GET", "/metrics/load" if fields else "/alive", limits.probe_timeout)
