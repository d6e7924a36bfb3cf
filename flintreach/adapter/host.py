"""Hosts instances: keeps each one's ids and objects, and turns wire values into events and orders."""

from collections.abc import Callable

from flintreach import interface as face
from flintreach.adapter import wire

EFFECTS = {"read_like": "idempotent", "idempotency_key": "fingerprinted", "non_idempotent": "side-effecting"}
LOADS = {"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency_ms", "rps": "qps",
         "err_rps": "eps"}
STATES = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}
ROSTERS = {"Partial": "delta", "Complete": "full", "Persisted": "cached", "Error": "failed"}
STATUSES = {"Ok": "ok", "Failed": "error", "QueueFull": "full", "TimedOut": "timeout",
            "ConnectError": "connect_failed", "ResetByPeer": "reset", "Canceled": "error", "Ignored": "error"}
EVERY_TABLE = 65535


def settings_of(seed: int, config: dict[str, str]) -> face.Settings:
    """The start-up settings; keys that are not known are passed over, absent ones keep their defaults."""
    told = face.Settings(seed=seed)

    def take(name: str, path: str, kind: Callable) -> None:
        if config.get(path, "-") != "-":
            setattr(told, name, kind(config[path]))

    def truth(value: str) -> bool:
        return value in ("true", "1")

    def whole(value: str) -> int:
        return int(float(value))

    time, real = wire.nanoseconds, float
    for name, path, kind in (
        ("number", "me", whole), ("pilots", "balancers", whole), ("zone", "az", whole),
        ("weights", "weights", str), ("tick", "tick", time),
        ("proxies", "specifics.proxies", whole), ("exclusive", "specifics.exclusive", truth),
        ("ask_within", "invariants.ask_within", time), ("cold_share", "invariants.cold_from", real),
        ("warm_up", "invariants.warm_up", time), ("drain_grace", "invariants.drain_grace", time),
        ("fall_multiple", "invariants.fall_multiple", real), ("fall_window", "invariants.tip_after", time),
        ("only_draining_binds", "invariants.drain_binds_alone", truth),
        ("bare_limit", "specifics.bare", time), ("channel_pace", "specifics.channel_rate", real),
        ("channel_limit", "specifics.backlog", real), ("message_head", "specifics.overhead", real),
        ("messages_most", "specifics.messages_most", whole),
        ("messages_window", "specifics.update_window", time), ("transit", "specifics.propagation", time),
        ("transit_most", "specifics.transit_max", time), ("period", "specifics.cycle", time),
        ("sums_pace", "specifics.reports_per_s", real), ("admits_by", "specifics.admission", str),
        ("choice", "specifics.choice", str), ("probes", "policy_limits.probes", truth),
        ("tells", "policy_limits.may_tell", truth),
    ):
        take(name, path, kind)
    told.zones = len(config.get("areas", "-").split(","))
    told.asks_roster = config.get("discovery") == "on_request"
    fields = config.get("report.fields", "-")
    told.load_fields = () if fields in ("-", "") else tuple(LOADS.get(f, f) for f in fields.split(","))
    told.slices = [face.Slice(n) for n in range(whole(config.get("specifics.ranges", "0")))]
    writes = config.get("specifics.writers", "").split(",")
    home = config.get("specifics.home_only", "").split(",")
    for place in range(whole(config.get("request_classes.count", "0"))):
        def of(key: str, default: str, place: int = place) -> str:
            return config.get(f"request_classes.{place}.{key}", default)

        def marked(values: list[str], place: int = place) -> bool:
            return place < len(values) and truth(values[place])

        told.operations.append(face.Operation(
            name=of("name", str(place)), place=place, objective=time(of("objective", "1")),
            integration_timeout=time(of("hard_limit", "4")), billed_value=real(of("worth", "1")),
            effect=EFFECTS.get(of("idempotency", ""), "side-effecting"), group=of("group", "all"),
            window=time(of("repeat_window", "0")), writes=marked(writes), home_only=marked(home)))
    return told


class Instance:
    """One pilot with the ids that it has been told."""

    def __init__(self, name: str, seed: int, config: dict[str, str], pilot: Callable):
        self.name = name
        self.settings = settings_of(seed, config)
        self.slices = {piece.number: piece for piece in self.settings.slices}
        self.servers: dict[str, face.Server] = {}
        self.names: dict[face.Server, str] = {}
        self.proxies: dict[int, face.Proxy] = {}
        self.events: list = []
        self.pilot = pilot(self.settings)

    def server(self, name: str) -> face.Server:
        if name not in self.servers:
            self.servers[name] = face.Server(name)
            self.names[self.servers[name]] = name
        return self.servers[name]

    def proxy(self, number: int) -> face.Proxy:
        return self.proxies.setdefault(number, face.Proxy(number))

    def piece(self, number: int) -> face.Slice:
        return self.slices.setdefault(number, face.Slice(number))

    def load(self, row: list[float]) -> dict[str, float]:
        return dict(zip(self.settings.load_fields, row))

    # One method an event; each gives the event for the pilot.

    def sync(self, how, _version, records):
        entries = []
        for name, zone, kind, cell, state, weight, started in records:
            server = self.server(name)
            server.zone, server.kind, server.cell = zone, kind, cell
            entries.append(face.Entry(server, STATES[state], weight, started))
        return face.Roster(ROSTERS[how], entries)

    def wakeup(self, label):
        return face.Woke(label)

    def echo(self, name, status, latency, load):
        return face.Probed(self.server(name), STATUSES[status], latency, self.load(load))

    def neighbour_says(self, pilot, data):
        return face.Told(pilot, data)

    def joined(self, number, zone, rate, fresh):
        proxy = self.proxy(number)
        proxy.zone, proxy.rate = zone, rate
        return face.Joined(proxy, fresh)

    def dropped_off(self, number):
        return face.Left(self.proxy(number))

    def heard(self, zone, name, tries, unanswered, latency, span, load):
        return face.Heard(zone, self.server(name), tries, unanswered, latency, span, self.load(load))

    def traffic(self, proxy, place, tries, unanswered, span):
        return face.Demand(None, self.proxy(proxy), self.settings.operations[place], tries, unanswered, span)

    def activity(self, unanswered, span, place, number, tries):
        return face.Demand(self.piece(number), None, self.settings.operations[place], tries, unanswered, span)

    def tenure(self, number, ours):
        return face.Given(self.piece(number), ours)

    def held(self, name, weight, number):
        return face.Held(self.piece(number), self.server(name), weight)

    def took_effect(self, proxy, number, latency):
        return face.Applied(self.proxy(proxy), number, latency)

    # The way out.

    def bits(self, operations) -> int:
        return sum(1 << operation.place for operation in operations)

    def table(self, piece) -> int:
        return EVERY_TABLE if piece is None else piece.number

    def line(self, order) -> str:
        name, real = self.name, wire.real
        match order:
            case face.SetLine():
                return f"SET_LINE {name} {real(order.weight)} {order.slice.number} {self.names[order.server]}"
            case face.Wake():
                return f"WAKE_ME {name} {wire.seconds(order.at)} {order.label}"
            case face.Log():
                return f"NOTE_DOWN {name} {wire.text(order.text)}"
            case face.Withdraw():
                return f"WITHDRAW {name} {self.names[order.server]} {order.out:d}"
            case face.Admit():
                return (f"ADMIT {name} {self.table(order.slice)} {self.bits(order.operations)} "
                        f"{real(order.level)} {order.resend}")
            case face.Mark():
                return f"NONCE {name} {order.number} {order.everyone:d}"
            case face.Probe():
                return f"ASK_LOAD {name} {self.names[order.server]}"
            case face.Tell():
                to = "all" if order.pilot is None else order.pilot
                return f"NOTIFY {name} {to} {wire.encoded(order.data)}"
            case face.Bind():
                return (f"ATTACH_TABLE {name} {order.slice.number} {self.bits(order.operations)} "
                        f"{order.proxy.number}")
            case face.Clear():
                return f"WIPE {name} {order.slice.number}"
            case face.Observe():
                return f"OBSERVE {name} {order.on:d}"
            case face.FetchRoster():
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
