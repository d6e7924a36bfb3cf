"""Client of discovery: fetches the whole list of servers, then long-polls for changes."""

import json

from flintreach.net.http import Connection, parse_address
from flintreach.net.limits import MS
from flintreach.net.reading import DECODE_ERRORS, nonnegative_int, nonnegative_number
from flintreach.pilot import interface

STATES = {"up": "ready", "draining": "draining", "removed": "gone"}
PATH = "/discovery/hosts"


def parse_entry(row: dict, config) -> tuple:
    """Read one entry of a list, whole or not at all.

    Returns:
        Name, address, zone, machine type, group, state, weight, and the start of the process in nanoseconds.

    Raises:
        ValueError: a field is malformed; or another of `DECODE_ERRORS`.
    """
    if not isinstance(row["name"], str):
        raise ValueError("name is not a string")
    parse_address(row["address"])
    return (
        row["name"],
        row["address"],
        config.zones[row["zone"]],
        config.machine_types.get(row.get("type"), 0),
        nonnegative_int(row.get("group", 0)),
        STATES[row["status"]],
        float(nonnegative_number(row.get("weight", 1.0))),
        int(nonnegative_number(row.get("since_ms", 0)) * MS),
    )


class DiscoveryClient:
    """Keeps the decision logic's list of servers up to date.

    Attributes:
        index: version of the list from which to watch; None asks for the whole list.
        has_list: whether discovery has ever sent a list.
        has_malformed: whether the list that was parsed last has malformed entries.
        failures: calls that failed in a row.
        watching: whether changes are wanted.
    """

    def __init__(self, service) -> None:
        self.service = service
        self.index = None
        self.has_list = False
        self.has_malformed = False
        self.connection: Connection | None = None
        self.failures = 0
        self.watching = not service.settings.server_list_on_request

    def parse_list(self, answer: dict, kind: str) -> interface.ServerList:
        """Make an event of a list, and take its servers' addresses.

        Args:
            answer: the list as discovery or the configuration gives it.
            kind: "full", "delta" or "cached".

        Raises:
            ValueError: no entry can be read.
        """
        entries = []
        self.has_malformed = False
        for row in answer["endpoints"]:
            try:
                name, address, zone, machine_type, cell, state, weight, started = parse_entry(
                    row, self.service.config
                )
            except DECODE_ERRORS as error:
                self.has_malformed = True
                self.service.count_warning("malformed server list entry", repr(error))
                continue
            server = self.service.registry.server(name)
            server.zone, server.machine_type, server.cell = zone, machine_type, cell
            self.service.prober.addresses[server] = address
            entries.append(interface.ServerEntry(server, state, weight, started))
        if self.has_malformed and not entries:
            raise ValueError("no entry can be read")
        # The server of a malformed entry is not gone: as a delta, the list leaves it as it was.
        if self.has_malformed and kind == "full":
            kind = "delta"
        return interface.ServerList(kind, entries)

    def start(self) -> None:
        """Connect to discovery, if its list is wanted and there is no connection."""
        if self.watching and not self.connection:
            self.connection = Connection(
                self.service.clock, self.service.limits, self.service.discovery, self.on_call_end
            )
            self.request()

    def set_watching(self, on: bool) -> None:
        """Start to watch the list, or stop after the call that is under way."""
        self.watching = on
        self.start()

    def refetch(self) -> None:
        """Fetch the whole list at once, on a new connection."""
        self.index = None
        if self.connection:
            self.connection.close()
            self.connection = None
        self.watching = True
        self.start()

    def on_address_changed(self) -> None:
        """Fetch the whole list from the new address, which may count its versions otherwise."""
        self.failures = 0
        if self.watching:
            self.refetch()

    def request(self) -> None:
        """Ask for the whole list, or for what has changed since the last."""
        limits = self.service.limits
        if self.index is None:
            self.connection.call("GET", PATH, limits.watch_timeout_margin)
            return
        # Discovery holds the call for a short time only: a vanished connection gives no sign, and a change
        # counts as delivered soon after discovery has it.
        path = f"{PATH}?after={self.index}&wait_ms={limits.watch_duration // MS}"
        self.connection.call("GET", path, limits.watch_duration + limits.watch_timeout_margin)

    def on_call_end(self, outcome: str, status: int, body: bytes) -> None:
        """Take an answer, and watch on."""
        try:
            if outcome != "answered" or status != 200:
                raise ValueError(f"{outcome} {status}")
            answer = json.loads(body)
            index = nonnegative_int(answer["index"])
            full = answer["snapshot"] is True
            if full and not answer["endpoints"]:
                # Accepted, one empty answer would take every server from every proxy.
                raise ValueError("empty list")
            if not full and (self.index is None or index < self.index):
                # Discovery has started anew: only the whole list tells what holds.
                self.index = None
                index = None
            else:
                event = self.parse_list(answer, "full" if full else "delta")
                if event.entries:
                    self.service.enqueue(event)
                if self.has_malformed and not full:
                    index = None  # the whole list tells what the malformed entry would have
        except DECODE_ERRORS as error:
            self.on_failure(f"{type(error).__name__} {error}")
            return
        self.index = index
        self.failures = 0
        self.service.log_state("discovery", "up to date", f"index {index}")
        if not self.has_list and index is not None:
            self.has_list = True
            self.service.check_ready()
        if self.watching and self.connection.state == "idle":
            self.request()
        else:
            self.connection.close()
            self.connection = None
            self.start()

    def on_failure(self, why: str) -> None:
        """Call again after a pause; where lists come on request, tell the decision logic."""
        self.connection.close()
        self.connection = None
        self.failures += 1
        self.service.log_state("discovery", "lost", why)
        if self.service.settings.server_list_on_request:
            self.service.enqueue(interface.ServerList("failed", []))
        self.service.clock.retry_later(self.failures, self.start)
