"""Hosts the simulator's instances of the pilot: turns its messages into events, and orders into lines."""

from collections.abc import Callable, Iterable

from flintreach.adapter import wire
from flintreach.pilot import interface, settings
from flintreach.pilot.registry import Registry

STATES = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}
LIST_KINDS = {"Partial": "delta", "Complete": "full", "Persisted": "cached", "Error": "failed"}
STATUSES = {
    "Ok": "ok",
    "Failed": "error",
    "QueueFull": "full",
    "TimedOut": "timeout",
    "ConnectError": "connect_failed",
    "ResetByPeer": "reset",
    "Canceled": "error",
    "Ignored": "error",
}
ALL_TABLES = 65535  # number that stands for the tables of all slices


class Instance:
    """One pilot, with the servers, proxies and slices that its events have named.

    Args:
        name: of the instance, which its lines repeat.
        seed: of its random draws.
        config: settings by their paths.
        pilot: makes the decision logic from the settings.

    Attributes:
        events: those that wait for the end of the batch.
    """

    def __init__(self, name: str, seed: int, config: dict[str, str], pilot: Callable) -> None:
        self.name = name
        self.settings = settings.read(seed, config)
        self.registry = Registry(self.settings)
        self.server = self.registry.server
        self.proxy = self.registry.proxy
        self.slice = self.registry.slice
        self.events: list = []
        self.pilot = pilot(self.settings)

    def load(self, values: list[float]) -> dict[str, float]:
        """Name the figures of a load report, which come in the order of the settings."""
        return dict(zip(self.settings.load_fields, values))

    # One method for each event, named for its word in lower case; each returns the event for the pilot.

    def sync(self, kind: str, _version: int, records: list[list]) -> interface.ServerList:
        """SYNC: a list of servers, or the changes in it."""
        entries = []
        for name, zone, machine_type, cell, state, weight, started in records:
            server = self.server(name)
            server.zone, server.machine_type, server.cell = zone, machine_type, cell
            entries.append(interface.ServerEntry(server, STATES[state], weight, started))
        return interface.ServerList(LIST_KINDS[kind], entries)

    def wakeup(self, label: int) -> interface.TimerFired:
        """WAKEUP: a timer has fired."""
        return interface.TimerFired(label)

    def echo(self, name: str, status: str, latency: int, load: list[float]) -> interface.ProbeResult:
        """ECHO: the result of a probe."""
        return interface.ProbeResult(self.server(name), STATUSES[status], latency, self.load(load))

    def neighbour_says(self, pilot: int, data: bytes) -> interface.PilotMessage:
        """NEIGHBOUR_SAYS: a message of another pilot."""
        return interface.PilotMessage(pilot, data)

    def joined(self, number: int, zone: int, rate: float, fresh: bool) -> interface.ProxyJoined:
        """JOINED: a proxy has joined."""
        proxy = self.proxy(number)
        proxy.zone, proxy.rate = zone, rate
        return interface.ProxyJoined(proxy, fresh)

    def dropped_off(self, number: int) -> interface.ProxyLeft:
        """DROPPED_OFF: a proxy has left."""
        return interface.ProxyLeft(self.proxy(number))

    def heard(
        self,
        zone: int,
        name: str,
        tries: int,
        unanswered: int,
        latency: int,
        span: int,
        load: list[float],
    ) -> interface.ServerReport:
        """HEARD: a report on a server."""
        return interface.ServerReport(
            zone, self.server(name), tries, unanswered, latency, span, self.load(load)
        )

    def traffic(
        self, proxy: int, operation: int, tries: int, unanswered: int, span: int
    ) -> interface.DemandReport:
        """TRAFFIC: a report on the demand at a proxy."""
        return interface.DemandReport(
            None, self.proxy(proxy), self.settings.operations[operation], tries, unanswered, span
        )

    def activity(
        self, unanswered: int, span: int, operation: int, number: int, tries: int
    ) -> interface.DemandReport:
        """ACTIVITY: a report on the demand of a slice."""
        return interface.DemandReport(
            self.slice(number), None, self.settings.operations[operation], tries, unanswered, span
        )

    def tenure(self, number: int, owned: bool) -> interface.SliceAssignment:
        """TENURE: a slice is assigned to this pilot, or withdrawn."""
        return interface.SliceAssignment(self.slice(number), owned)

    def held(self, name: str, weight: float, number: int) -> interface.SliceReplica:
        """HELD: a line of a slice's table."""
        return interface.SliceReplica(self.slice(number), self.server(name), weight)

    def took_effect(self, proxy: int, number: int, latency: int) -> interface.OrdersApplied:
        """TOOK_EFFECT: a proxy has applied the orders up to a mark."""
        return interface.OrdersApplied(self.proxy(proxy), number, latency)

    # Orders.

    def operation_bits(self, operations: Iterable[interface.Operation]) -> int:
        """Operations as a bit mask."""
        return sum(1 << operation.index for operation in operations)

    def table_number(self, slice_: interface.Slice | None) -> int:
        """The number of a slice's table; without a slice, that of all tables."""
        return ALL_TABLES if slice_ is None else slice_.number

    def line(self, order: object) -> str:
        """Format an order as a line.

        Raises:
            TypeError: the protocol does not carry such orders.
        """
        name = self.name
        names = self.registry.names
        match order:
            case interface.SetWeight():
                weight = wire.format_number(order.weight)
                return f"SET_LINE {name} {weight} {order.slice.number} {names[order.server]}"
            case interface.SetTimer():
                return f"WAKE_ME {name} {wire.format_seconds(order.at)} {order.label}"
            case interface.Log():
                return f"NOTE_DOWN {name} {wire.format_text(order.text)}"
            case interface.Withdraw():
                return f"WITHDRAW {name} {names[order.server]} {order.out:d}"
            case interface.SetAdmission():
                return (
                    f"ADMIT {name} {self.table_number(order.slice)} {self.operation_bits(order.operations)} "
                    f"{wire.format_number(order.level)} {order.resend}"
                )
            case interface.Mark():
                return f"NONCE {name} {order.number} {order.everyone:d}"
            case interface.Probe():
                return f"ASK_LOAD {name} {names[order.server]}"
            case interface.SendToPilot():
                to = "all" if order.pilot is None else order.pilot
                return f"NOTIFY {name} {to} {wire.format_bytes(order.data)}"
            case interface.BindProxy():
                return (
                    f"ATTACH_TABLE {name} {order.slice.number} {self.operation_bits(order.operations)} "
                    f"{order.proxy.number}"
                )
            case interface.ClearTable():
                return f"WIPE {name} {order.slice.number}"
            case interface.WatchServers():
                return f"OBSERVE {name} {order.on:d}"
            case interface.FetchServerList():
                return f"GET_LIST {name}"
        raise TypeError(f"not an order: {order!r}")


class Host:
    """All instances of a process, which share nothing but the numbered catalogs of the protocol.

    Args:
        pilot: makes the decision logic of an instance from its settings.
        report: takes the traceback of an exception in the decision logic.
    """

    def __init__(self, pilot: Callable, report: Callable[[str], None]) -> None:
        self.pilot = pilot
        self.report = report
        self.instances: dict[str, Instance] = {}
        self.catalogs: dict[int, list] = {}

    def reply(self, batch: wire.Batch, failure: Callable[[], str]) -> list[str]:
        """Run a batch through the instances.

        Args:
            batch: its messages.
            failure: returns the traceback of the exception that is being handled.

        Returns:
            The lines that answer it; an instance that failed answers with BUG.

        Raises:
            WireError: a message names an instance, a catalog or an id that does not exist.
        """
        lines: list[str] = []
        for message in batch.messages:
            word, values = message.word, message.values
            try:
                if word == "CATALOG":
                    self.catalogs[values[0]] = values[1]
                elif word == "NEW_INSTANCE":
                    self.instances[values[0]] = Instance(*values, self.pilot)
                elif word == "CRASH_NOW":
                    del self.instances[values[0]]
                else:
                    instance, rest = self.instances[values[0]], values[1:]
                    if word == "SYNC":
                        has_list = rest[0] != "Error"
                        rest[2] = self.catalogs[wire.parse_int(rest[2])] if has_list else []
                    instance.events.append(getattr(instance, word.lower())(*rest))
            except (KeyError, IndexError, ValueError) as error:
                raise wire.WireError(
                    f"line {message.line}: {word}: unknown reference or value: {error}"
                ) from None
        for instance in list(self.instances.values()):
            if not instance.events:
                continue
            events, instance.events = instance.events, []
            try:
                lines += [instance.line(order) for order in instance.pilot.handle(batch.now, events)]
            except Exception as error:
                self.report(failure())
                lines.append(f"BUG {instance.name} {wire.format_text(f'{type(error).__name__}: {error}')}")
        return lines
