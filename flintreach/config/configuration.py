"""The operator's configuration: typed, and checked before it may come into force.

A configuration is stored and read back as the operator wrote it (see `configuration_history`); these types
are what the programs act on, and `routing` looks routes up by them.  This module alone knows the names that
the wire uses: where a field's name here differs, `name=` gives that of the wire.  Errors go to the operator,
so they call fields by the wire's names.

Source: the wire's page, "The operator".
"""

import string

import msgspec

ROUTE_KINDS = ("safe", "unsafe", "outbound_post")
VERSION_DIGITS = 8


class ConfigError(ValueError):
    """A configuration that must not come into force; its text names the field and the reason."""


class WeightedService(msgspec.Struct, frozen=True):
    """A service, and its weight among those that share a route's requests."""

    service: str = msgspec.field(name="line")
    weight: float


class Dispatch(msgspec.Struct, frozen=True):
    """Where a route's requests go, for how long and how often they are tried."""

    deadline_ms: float
    attempts: int = msgspec.field(name="tries")
    service: str | None = msgspec.field(default=None, name="line")
    weighted_services: tuple[WeightedService, ...] = msgspec.field(default=(), name="apportion")
    home_regions: tuple[str, ...] = ()

    def service_names(self) -> list[str | None]:
        """The services that requests may go to: those with weights, or else the only one."""
        return [share.service for share in self.weighted_services] or [self.service]


class RouteMatch(msgspec.Struct, frozen=True):
    """Which requests a route takes."""

    path_prefix: str = msgspec.field(name="postcode")


class RouteRule(msgspec.Struct, frozen=True):
    """One route of a virtual host."""

    name: str
    kind: str  # one of ROUTE_KINDS
    match: RouteMatch = msgspec.field(name="sorting")
    dispatch: Dispatch
    latency_target_ms: float = msgspec.field(default=1000, name="target_ms")
    precedence: int = 0


class VirtualHost(msgspec.Struct, frozen=True):
    """A host name, and its routes."""

    host: str = msgspec.field(name="destination")
    route_rules: tuple[RouteRule, ...] = msgspec.field(default=(), name="regulations")


class ServiceConfig(msgspec.Struct, frozen=True):
    """How a service's endpoints are used."""

    name: str
    health_path: str = msgspec.field(default="/health", name="checkup")
    connection_limit: int = msgspec.field(
        default=100, name="berth_cap"
    )  # connections that one endpoint accepts
    protocol: str = "h1"
    encrypted: bool = msgspec.field(default=False, name="sealed")
    slow_start_s: float = msgspec.field(default=0.0, name="cold_s")
    slow_start_per_s: float = msgspec.field(
        default=0.0, name="cold_per_s"
    )  # requests that an endpoint takes meanwhile
    sharded: bool = False
    warmup_s: float = 0.0
    permits: str = "call"


class RequestLimits(msgspec.Struct, frozen=True):
    """What a proxy takes of a client: sizes, and how long it waits for them."""

    header_bytes: int = msgspec.field(default=16384, name="envelope_bytes")
    body_bytes: int = msgspec.field(default=67108864, name="contents_bytes")
    header_ms: float = msgspec.field(default=3000, name="envelope_ms")
    idle_ms: float = msgspec.field(default=15000, name="dwell_ms")


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operator's configuration."""

    version: str = msgspec.field(name="edition")  # eight hexadecimal digits
    virtual_hosts: tuple[VirtualHost, ...] = msgspec.field(name="wickets")
    service_configs: tuple[ServiceConfig, ...] = msgspec.field(name="depots")
    limits: RequestLimits = RequestLimits()

    @property
    def number(self) -> int:
        """The version as a number: the higher one is the newer one."""
        return int(self.version, 16)


def parse_version(text: object) -> int:
    """The number of a version as the wire writes it: eight hexadecimal digits.

    Raises:
        ConfigError: the text is anything else.
    """
    # `int` alone would take signs, underscores and digits of other scripts too.
    if not isinstance(text, str) or len(text) != VERSION_DIGITS or not set(text) <= set(string.hexdigits):
        raise ConfigError("edition: expected eight hexadecimal digits")
    return int(text, 16)


def check(body: bytes) -> Configuration:
    """Decode a configuration and check that it may come into force.

    Args:
        body: JSON, as the operator put it.

    Raises:
        ConfigError: the first fault that was found, by field and reason.
    """
    try:
        configuration = msgspec.json.decode(body, type=Configuration)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise ConfigError(str(error)) from None
    parse_version(configuration.version)
    services = check_service_names(configuration)
    matches: set[tuple[str, str]] = set()
    for virtual_host in configuration.virtual_hosts:
        if not virtual_host.host:
            raise ConfigError("wickets: destination: must not be empty")
        for rule in virtual_host.route_rules:
            check_route(rule, services)
            check_match_is_new(virtual_host, rule, matches)
    return configuration


def check_service_names(configuration: Configuration) -> set[str]:
    """The names of all services.

    Raises:
        ConfigError: two services have the same name.
    """
    names = {service_config.name for service_config in configuration.service_configs}
    if len(names) != len(configuration.service_configs):
        raise ConfigError("depots: a name stands twice")
    return names


def check_route(rule: RouteRule, services: set[str]) -> None:
    """Check one route by itself.

    Args:
        rule: the route.
        services: the names that it may refer to.

    Raises:
        ConfigError: the first fault that was found.
    """
    if rule.kind not in ROUTE_KINDS:
        raise ConfigError(f"{field_path(rule)}: kind: expected one of {', '.join(ROUTE_KINDS)}")
    check_services(rule, services)
    prefix = rule.match.path_prefix
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ConfigError(f"{field_path(rule)}: postcode: must begin and end with a slash")
    # "not above" and not "at most": no comparison with NaN is true.
    if not rule.dispatch.deadline_ms > 0:
        raise ConfigError(f"{field_path(rule)}: deadline_ms: must be above 0")


def check_services(rule: RouteRule, services: set[str]) -> None:
    """Check that a route's requests have somewhere to go.

    Raises:
        ConfigError: a weight is below 0, all are 0, or a service is missing or unknown.
    """
    dispatch = rule.dispatch
    weights = [share.weight for share in dispatch.weighted_services]
    if any(not weight >= 0 for weight in weights):
        raise ConfigError(f"{field_path(rule)}: apportion: a weight is below 0")
    if weights and not sum(weights) > 0:
        raise ConfigError(f"{field_path(rule)}: apportion: the weights sum to 0")
    if not weights and not dispatch.service:
        raise ConfigError(f"{field_path(rule)}: dispatch: names no line")
    for service in dispatch.service_names():
        if service not in services:
            raise ConfigError(f"{field_path(rule)}: dispatch: unknown line {service!r:.40}")


def check_match_is_new(virtual_host: VirtualHost, rule: RouteRule, matches: set[tuple[str, str]]) -> None:
    """Check that no earlier route takes the same requests, and note this one.

    Args:
        virtual_host: the host that the route belongs to.
        rule: the route.
        matches: (host in lower case, path prefix) of the earlier routes; this one is added.

    Raises:
        ConfigError: an earlier route has the same host and prefix.
    """
    match = (virtual_host.host.lower(), rule.match.path_prefix)
    if match in matches:
        raise ConfigError(f"{field_path(rule)}: postcode: stands twice under {virtual_host.host}")
    matches.add(match)


def field_path(rule: RouteRule) -> str:
    """How errors name a route."""
    return f"regulations: {rule.name or '?'}"
