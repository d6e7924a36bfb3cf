"""Discovery: the whole list first, then watches, each at once after the last answer."""

import json

from flintreach.net.http import Connection, parse_address
from flintreach.net.limits import MS
from flintreach.net.reading import DECODE_ERRORS, nonnegative_int, nonnegative_number
from flintreach.pilot import interface

STATES = {"up": "ready", "draining": "draining", "removed": "gone"}
PATH = "/discovery/hosts"


def entry(row: dict, config) -> tuple:
    """What a row lists; all of it is read before any of it counts."""
    if not isinstance(row["name"], str):
        raise ValueError("a name is no text")
    parse_address(row["address"])
    return (
        row["name"],
        row["address"],
        config.zones[row["zone"]],
        config.kinds.get(row.get("type"), 0),
        nonnegative_int(row.get("group", 0)),
        STATES[row["status"]],
        float(nonnegative_number(row.get("weight", 1.0))),
        int(nonnegative_number(row.get("since_ms", 0)) * MS),
    )


class DiscoveryClient:
    def __init__(self, service):
        self.service, self.index, self.has_list, self.spoilt = service, None, False, False
        self.connection, self.failures, self.on = None, 0, not service.settings.server_list_on_request

    def parse_list(self, answer: dict, how: str) -> interface.ServerList:
        listed, self.spoilt = [], False
        for row in answer["endpoints"]:
            try:
                name, place, zone, kind, cell, state, weight, started = entry(row, self.service.config)
            except DECODE_ERRORS as error:
                self.spoilt = True
                self.service.count_warning("row of the list not understood", repr(error))
                continue
            server = self.service.registry.server(name)
            server.zone, server.machine_type, server.cell = zone, kind, cell
            self.service.prober.addresses[server] = place
            listed.append(interface.ServerEntry(server, state, weight, started))
        if self.spoilt and not listed:
            raise ValueError("no row is understood")
        # What a row says that can't be read is not gone: its server stays as it was.
        return interface.ServerList("delta" if self.spoilt and how == "full" else how, listed)

    def start(self) -> None:
        if self.on and not self.connection:
            self.connection = Connection(
                self.service.clock, self.service.limits, self.service.discovery, self.done
            )
            self.ask()

    def observe(self, on: bool) -> None:
        self.on = on
        self.start()

    def fetch(self) -> None:
        """The whole list once more: with the next call."""
        self.index = None
        if self.connection:
            self.connection.close()
            self.connection = None
        self.on = True
        self.start()

    def move(self) -> None:
        """The new address may count its versions otherwise: the whole list from there, at once."""
        self.failures = 0
        if self.on:
            self.fetch()

    def ask(self) -> None:
        limits = self.service.limits
        if self.index is None:
            return self.connection.call("GET", PATH, limits.watch_timeout_margin)
        # Held for a short time only: a connection that vanished tells nothing, and what discovery has to
        # tell soon counts as told.
        path = f"{PATH}?after={self.index}&wait_ms={limits.watch_duration // MS}"
        self.connection.call("GET", path, limits.watch_duration + limits.watch_timeout_margin)

    def done(self, how: str, status: int, body: bytes) -> None:
        try:
            if how != "answered" or status != 200:
                raise ValueError(f"{how} {status}")
            answer = json.loads(body)
            index, full = nonnegative_int(answer["index"]), answer["snapshot"] is True
            if full and not answer["endpoints"]:
                # Believed, it would take every server from every proxy at one word.
                raise ValueError("an empty list")
            if not full and (self.index is None or index < self.index):
                self.index, index = None, None  # it began anew: only the whole list says what holds
            else:
                event = self.parse_list(answer, "full" if full else "delta")
                if event.entries:
                    self.service.enqueue(event)
                if self.spoilt and not full:
                    index = None  # the whole list tells what the spoilt row would have
        except DECODE_ERRORS as error:
            return self.failed(f"{type(error).__name__} {error}")
        self.index, self.failures = index, 0
        self.service.log_state("discovery", "told", f"index {index}")
        if not self.has_list and index is not None:
            self.has_list = True
            self.service.check_ready()
        if self.on and self.connection.state == "idle":
            self.ask()
        else:
            self.connection.close()
            self.connection = None
            self.start()

    def failed(self, why: str) -> None:
        self.connection.close()
        self.connection = None
        self.failures += 1
        self.service.log_state("discovery", "lost", why)
        if self.service.settings.server_list_on_request:
            self.service.enqueue(interface.ServerList("failed", []))
        self.service.clock.retry_later(self.failures, self.start)
