"""Probes of servers, at the addresses that discovery provides."""

from weakref import WeakKeyDictionary

from flintreach.net.http import Connection
from flintreach.net.reading import nonnegative_number
from flintreach.pilot import interface

# Status of a probe by the outcome of its call, where there was no answer.
STATUSES = {"unsent": "connect_failed", "broken": "reset", "silent": "timeout", "garbled": "error"}


def parse_load(
    text: str, names: tuple[str, ...], aliases: dict[str, str], max_value: float
) -> dict[str, float]:
    """Read a load report: `name=value` pairs with commas between them.

    Pairs that are malformed or not wanted are skipped.

    >>> parse_load("cpu=0.61,waiting=x,odd=2", ("util", "queue"), {"cpu": "util", "waiting": "queue"}, 9.0)
    {'util': 0.61}

    Args:
        text: the report.
        names: figures that are wanted.
        aliases: names of the platform to ours.
        max_value: values from here on are malformed.
    """
    found = {}
    for pair in text.strip().split(","):
        name, _, value = pair.partition("=")
        name = aliases.get(name, name)
        try:
            if name in names:
                found[name] = nonnegative_number(float(value), max_value)
        except ValueError:
            continue
    return found


class Prober:
    """Asks servers for their load, or only whether they are alive where the settings name no load fields.

    Attributes:
        addresses: of each server, as discovery lists them.
        in_flight: connections of probes that wait for their answer.
    """

    def __init__(self, service) -> None:
        self.service = service
        self.addresses = WeakKeyDictionary()
        self.in_flight = set()

    def probe(self, server: interface.Server) -> None:
        """Probe a server; its result becomes an event."""
        limits = self.service.limits
        clock = self.service.clock
        if len(self.in_flight) >= limits.max_concurrent_probes or server not in self.addresses:
            # No event: reported as unanswered, it would condemn a healthy server.
            self.service.count_warning("probe not sent")
            return
        started = clock.now()
        fields = self.service.settings.load_fields

        def on_end(outcome: str, status: int, body: bytes) -> None:
            self.in_flight.discard(connection)
            connection.close()
            if outcome == "answered":
                result = {200: "ok", 503: "full"}.get(status, "error")
            else:
                result = STATUSES[outcome]
            text = body.decode("ascii", "replace") if result == "ok" else ""
            load = parse_load(text, fields, self.service.load_names, limits.max_load)
            self.service.enqueue(interface.ProbeResult(server, result, clock.now() - started, load))

        connection = Connection(clock, limits, self.addresses[server], on_end)
        self.in_flight.add(connection)
        connection.call("GET", "/metrics/load" if fields else "/alive", limits.probe_timeout)
