"""The operator's configuration: msgspec structs, its checks, and the choice of a route.

Source: the wire's page, "The operator".  A configuration is kept as the operator wrote it, since it is read
back as it was put; the structs are what the programs act on.

What stands of it lasts with a history: which content each number had (see `Standing`).
"""

import string
import struct
from bisect import bisect_left
from hashlib import sha256

import msgspec

KINDS = ("safe", "unsafe", "outbound_post")
ENTRY, KEPT = struct.Struct(">I8s"), 2048  # number, digest; entries at most
# What becomes of a configuration that is put.
TAKEN, AGAIN, OVERTAKEN, OTHER, FORGOTTEN = "taken", "again", "overtaken", "other content", "forgotten"


class ConfigError(ValueError):
    """A configuration that must not come into force; its text names the field and the reason."""


class WeightedService(msgspec.Struct, frozen=True):
    line: str
    weight: float


class Dispatch(msgspec.Struct, frozen=True):
    deadline_ms: float
    tries: int
    line: str | None = None
    apportion: tuple[WeightedService, ...] = ()
    home_regions: tuple[str, ...] = ()


class Sorting(msgspec.Struct, frozen=True):
    postcode: str


class RouteRule(msgspec.Struct, frozen=True):
    name: str
    kind: str
    sorting: Sorting
    dispatch: Dispatch
    target_ms: float = 1000
    precedence: int = 0


class VirtualHost(msgspec.Struct, frozen=True, rename={"route_rules": "regulations"}):
    destination: str
    route_rules: tuple[RouteRule, ...] = ()


class ServiceConfig(msgspec.Struct, frozen=True):
    name: str
    checkup: str = "/health"
    berth_cap: int = 100
    protocol: str = "h1"
    sealed: bool = False
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    sharded: bool = False
    warmup_s: float = 0.0
    permits: str = "call"


class RequestLimits(msgspec.Struct, frozen=True):
    envelope_bytes: int = 16384
    contents_bytes: int = 67108864
    envelope_ms: float = 3000
    dwell_ms: float = 15000


# Python name -> the name that the pages give it.
CONFIGURATION_NAMES = {"virtual_hosts": "wickets", "service_configs": "depots"}


class Configuration(msgspec.Struct, frozen=True, rename=CONFIGURATION_NAMES):
    edition: str
    virtual_hosts: tuple[VirtualHost, ...]
    service_configs: tuple[ServiceConfig, ...]
    limits: RequestLimits = RequestLimits()

    @property
    def number(self) -> int:
        return int(self.edition, 16)


class Route:
    """A route as the carrying path uses it: services with weights, times in nanoseconds."""

    __slots__ = (
        "name",
        "kind",
        "repeatable",
        "prefix",
        "services",
        "deadline",
        "aim",
        "tries",
        "homes",
        "precedence",
    )

    def __init__(self, rule: RouteRule):
        to = rule.dispatch
        self.name, self.kind, self.prefix = rule.name, rule.kind, rule.sorting.postcode
        self.repeatable = rule.kind != "unsafe"
        self.services = [(share.line, share.weight) for share in to.apportion if share.weight > 0] or [
            (to.line or "", 1.0)
        ]
        self.deadline, self.aim = int(to.deadline_ms * 1e6), int(rule.target_ms * 1e6)
        self.tries, self.homes, self.precedence = max(1, to.tries), to.home_regions, rule.precedence


class Routes:
    """All routes of one configuration, looked up by host and path: the longest prefix wins."""

    def __init__(self, table: Configuration):
        self.table, self.number = table, table.number
        self.service_configs = {
            service_config.name: service_config for service_config in table.service_configs
        }
        self.hosts: dict[str, list[Route]] = {}
        for virtual_host in table.virtual_hosts:
            rows = self.hosts.setdefault(virtual_host.destination.lower(), [])
            rows += [Route(rule) for rule in virtual_host.route_rules]
        for rows in self.hosts.values():
            rows.sort(key=lambda route: -len(route.prefix))
        self.all = [route for rows in self.hosts.values() for route in rows]

    def find(self, host: str, path: str) -> Route | None:
        for route in self.hosts.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def edition(text: object) -> int:
    """A version as the wire has it: eight hexadecimal digits."""
    # `int` alone would take signs, underscores and digits of other scripts too.
    if not isinstance(text, str) or len(text) != 8 or not set(text) <= set(string.hexdigits):
        raise ConfigError("edition: expected eight hexadecimal digits")
    return int(text, 16)


def check(body: bytes) -> Configuration:
    """A configuration that may come into force.  Raises ConfigError."""
    try:
        table = msgspec.json.decode(body, type=Configuration)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise ConfigError(str(error)) from None
    edition(table.edition)
    known, places = {service_config.name for service_config in table.service_configs}, set()
    if len(known) != len(table.service_configs):
        raise ConfigError("depots: a name stands twice")
    for virtual_host in table.virtual_hosts:
        if not virtual_host.destination:
            raise ConfigError("wickets: destination: must not be empty")
        for rule in virtual_host.route_rules:
            where, to = f"regulations: {rule.name or '?'}", rule.dispatch
            if rule.kind not in KINDS:
                raise ConfigError(f"{where}: kind: expected one of {', '.join(KINDS)}")
            if any(not share.weight >= 0 for share in to.apportion):
                raise ConfigError(f"{where}: apportion: a weight is below 0")
            if to.apportion and not sum(share.weight for share in to.apportion) > 0:
                raise ConfigError(f"{where}: apportion: the weights sum to 0")
            if not to.apportion and not to.line:
                raise ConfigError(f"{where}: dispatch: names no line")
            for line in [share.line for share in to.apportion] or [to.line]:
                if line not in known:
                    raise ConfigError(f"{where}: dispatch: unknown line {line!r:.40}")
            if not rule.sorting.postcode.startswith("/") or not rule.sorting.postcode.endswith("/"):
                raise ConfigError(f"{where}: postcode: must begin and end with a slash")
            if not to.deadline_ms > 0:
                raise ConfigError(f"{where}: deadline_ms: must be above 0")
            place = virtual_host.destination.lower(), rule.sorting.postcode
            if place in places:
                raise ConfigError(f"{where}: postcode: stands twice under {virtual_host.destination}")
            places.add(place)
    return table


def digest(body: bytes) -> bytes:
    """What tells one content from another: eight bytes, against mistakes, not against a forger."""
    return sha256(body).digest()[:8]


class ConfigurationHistory:
    """What the register holds: the newest body, as it was put, and which content each number had.

    The history is sorted, its highest entry is that of the body, and it keeps the KEPT highest: an order
    that was taken can be acknowledged again, and its number never confirms another content.  The pattern is
    that of idempotency keys (IETF draft "The Idempotency-Key HTTP Header Field"), the number being the key.
    """

    __slots__ = ("body", "history")

    def __init__(self, body: bytes, history: bytes):
        self.body, self.history = body, history

    @classmethod
    def of(cls, value: bytes) -> "ConfigurationHistory":
        """From the register.  Earlier texts kept the body alone, which is JSON and begins otherwise."""
        if value[:1] == b"\x92":
            return cls(*msgspec.msgpack.decode(value))
        number = int(msgspec.json.decode(value)["edition"], 16)
        return cls(value, ENTRY.pack(number, digest(value)))

    def value(self) -> bytes:
        return msgspec.msgpack.encode([self.body, self.history])

    def __len__(self) -> int:
        return len(self.history) // ENTRY.size

    def entry(self, place: int) -> tuple[int, bytes]:
        return ENTRY.unpack_from(self.history, place * ENTRY.size)

    @property
    def number(self) -> int:
        return self.entry(len(self) - 1)[0]

    def put(self, number: int, body: bytes) -> tuple[str, "ConfigurationHistory | None"]:
        """What becomes of a configuration, and what is to stand from then on, None where nothing changes."""
        mark, place = digest(body), bisect_left(range(len(self)), number, key=lambda at: self.entry(at)[0])
        if place < len(self) and self.entry(place)[0] == number:
            return (AGAIN if self.entry(place)[1] == mark else OTHER), None
        if place == 0 and len(self) == KEPT:
            return FORGOTTEN, None  # it may have had any content
        at = place * ENTRY.size
        history = (self.history[:at] + ENTRY.pack(number, mark) + self.history[at:])[-KEPT * ENTRY.size :]
        if place == len(self):
            return TAKEN, ConfigurationHistory(body, history)
        # It changes nothing, but is acknowledged: noted first, lest another content is too.
        return OVERTAKEN, ConfigurationHistory(self.body, history)


def put(held: bytes | None, number: int, body: bytes) -> tuple[str, bytes | None]:
    """A change of the register by a configuration: (what becomes of it, the value; None: nothing changes).

    >>> word, value = put(None, 7, b'{"edition": "00000007"}')
    >>> word, put(value, 7, b'{"edition": "00000007"}'), put(value, 7, b"other")[0], put(value, 3, b"")[0]
    ('taken', ('again', None), 'other content', 'overtaken')
    """
    word, fresh = (ConfigurationHistory.of(held) if held is not None else ConfigurationHistory(b"", b"")).put(
        number, body
    )
    return word, fresh and fresh.value()
