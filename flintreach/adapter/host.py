"""Hosts instances: turns wire values into events, and orders into lines."""

from collections.abc import Callable

from flintreach.adapter import wire
from flintreach.pilot import interface, settings
from flintreach.pilot.registry import Registry

STATES = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}
ROSTERS = {"Partial": "delta", "Complete": "full", "Persisted": "cached", "Error": "failed"}
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
EVERY_TABLE = 65535


class Instance:
    """One pilot with the ids that it has been told."""

    def __init__(self, name: str, seed: int, config: dict[str, str], pilot: Callable):
        self.name = name
        self.settings = settings.read(seed, config)
        self.registry = Registry(self.settings)
        self.server, self.proxy, self.piece = (self.registry.server, self.registry.proxy, self.registry.slice)
        self.events: list = []
        self.pilot = pilot(self.settings)

    def load(self, row: list[float]) -> dict[str, float]:
        return dict(zip(self.settings.load_fields, row))

    # One method an event; each gives the event for the pilot.

    def sync(self, how, _version, records):
        entries = []
        for name, zone, kind, cell, state, weight, started in records:
            server = self.server(name)
            server.zone, server.machine_type, server.cell = zone, kind, cell
            entries.append(interface.ServerEntry(server, STATES[state], weight, started))
        return interface.ServerList(ROSTERS[how], entries)

    def wakeup(self, label):
        return interface.TimerFired(label)

    def echo(self, name, status, latency, load):
        return interface.ProbeResult(self.server(name), STATUSES[status], latency, self.load(load))

    def neighbour_says(self, pilot, data):
        return interface.PilotMessage(pilot, data)

    def joined(self, number, zone, rate, fresh):
        proxy = self.proxy(number)
        proxy.zone, proxy.rate = zone, rate
        return interface.ProxyJoined(proxy, fresh)

    def dropped_off(self, number):
        return interface.ProxyLeft(self.proxy(number))

    def heard(self, zone, name, tries, unanswered, latency, span, load):
        return interface.ServerReport(
            zone, self.server(name), tries, unanswered, latency, span, self.load(load)
        )

    def traffic(self, proxy, place, tries, unanswered, span):
        return interface.DemandReport(
            None, self.proxy(proxy), self.settings.operations[place], tries, unanswered, span
        )

    def activity(self, unanswered, span, place, number, tries):
        return interface.DemandReport(
            self.piece(number), None, self.settings.operations[place], tries, unanswered, span
        )

    def tenure(self, number, ours):
        return interface.SliceAssignment(self.piece(number), ours)

    def held(self, name, weight, number):
        return interface.SliceReplica(self.piece(number), self.server(name), weight)

    def took_effect(self, proxy, number, latency):
        return interface.OrdersApplied(self.proxy(proxy), number, latency)

    # The way out.

    def bits(self, operations) -> int:
        return sum(1 << operation.index for operation in operations)

    def table(self, piece) -> int:
        return EVERY_TABLE if piece is None else piece.number

    def line(self, order) -> str:
        name, names, real = self.name, self.registry.names, wire.real
        match order:
            case interface.SetWeight():
                return f"SET_LINE {name} {real(order.weight)} {order.slice.number} {names[order.server]}"
            case interface.SetTimer():
                return f"WAKE_ME {name} {wire.seconds(order.at)} {order.label}"
            case interface.Log():
                return f"NOTE_DOWN {name} {wire.text(order.text)}"
            case interface.Withdraw():
                return f"WITHDRAW {name} {names[order.server]} {order.out:d}"
            case interface.SetAdmission():
                return (
                    f"ADMIT {name} {self.table(order.slice)} {self.bits(order.operations)} "
                    f"{real(order.level)} {order.resend}"
                )
            case interface.Mark():
                return f"NONCE {name} {order.number} {order.everyone:d}"
            case interface.Probe():
                return f"ASK_LOAD {name} {names[order.server]}"
            case interface.SendToPilot():
                to = "all" if order.pilot is None else order.pilot
                return f"NOTIFY {name} {to} {wire.encoded(order.data)}"
            case interface.BindProxy():
                return (
                    f"ATTACH_TABLE {name} {order.slice.number} {self.bits(order.operations)} "
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
    """All instances of a process.  They share nothing but the numbered catalogs of the wire."""

    def __init__(self, pilot: Callable, report: Callable[[str], None]):
        self.pilot = pilot
        self.report = report  # takes the text of a failure in the decisions
        self.instances: dict[str, Instance] = {}
        self.catalogs: dict[int, list] = {}

    def reply(self, batch: wire.Batch, failure: Callable[[], str]) -> list[str]:
        """The lines that answer a batch; `failure` gives the traceback of the exception in hand."""
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
                        known = rest[0] != "Error"
                        rest[2] = self.catalogs[wire.whole(rest[2])] if known else []
                    instance.events.append(getattr(instance, word.lower())(*rest))
            except (KeyError, IndexError, ValueError) as error:
                raise wire.WireError(f"line {message.line}: {word}: not known here: {error}") from None
        for instance in list(self.instances.values()):
            if not instance.events:
                continue
            events, instance.events = instance.events, []
            try:
                lines += [instance.line(order) for order in instance.pilot.handle(batch.now, events)]
            except Exception as error:
                self.report(failure())
                lines.append(f"BUG {instance.name} {wire.text(f'{type(error).__name__}: {error}')}")
        return lines
