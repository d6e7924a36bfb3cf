"""Schema and validation of the operator's configuration.

A configuration is stored and returned byte for byte as the operator sent it (see `configuration_history`);
programs use the decoded types of this module, and `routing` builds its lookup from them.  Where the JSON key
of a field differs from the attribute, `name=` gives the key.  Error messages name fields by their JSON keys,
since the operator reads them.

Specification: the page on the wire protocol, "The operator".
"""

import string

import msgspec

ROUTE_KINDS = ("safe", "unsafe", "outbound_post")
VERSION_DIGITS = 8


class ConfigError(ValueError):
    """The configuration is invalid; the message names the field and the reason."""


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its share of a route's requests."""

    service: str = msgspec.field(name="line")
    weight: float


class Dispatch(msgspec.Struct, frozen=True):
    """Target services, deadline and number of attempts of a route's requests."""

    deadline_ms: float
    attempts: int = msgspec.field(name="tries")
    service: str | None = msgspec.field(default=None, name="line")
    weighted_services: tuple[WeightedService, ...] = msgspec.field(default=(), name="apportion")
    home_regions: tuple[str, ...] = ()

    def service_names(self) -> list[str | None]:
        """Return the weighted services, or the single service if there are none."""
        return [target.service for target in self.weighted_services] or [self.service]


class RouteMatch(msgspec.Struct, frozen=True):
    """Condition under which a route applies to a request."""

    path_prefix: str = msgspec.field(name="postcode")


class RouteRule(msgspec.Struct, frozen=True):
    """A route of a virtual host."""

    name: str
    kind: str  # one of ROUTE_KINDS
    match: RouteMatch = msgspec.field(name="sorting")
    dispatch: Dispatch
    latency_target_ms: float = msgspec.field(default=1000, name="target_ms")
    precedence: int = 0


class VirtualHost(msgspec.Struct, frozen=True):
    """A host name and its routes."""

    host: str = msgspec.field(name="destination")
    route_rules: tuple[RouteRule, ...] = msgspec.field(default=(), name="regulations")


class ServiceConfig(msgspec.Struct, frozen=True):
    """Health check, connection limit and slow start of a service's endpoints."""

    name: str
    health_path: str = msgspec.field(default="/health", name="checkup")
    connection_limit: int = msgspec.field(default=100, name="berth_cap")  # per endpoint
    protocol: str = "h1"
    encrypted: bool = msgspec.field(default=False, name="sealed")
    slow_start_s: float = msgspec.field(default=0.0, name="cold_s")
    # Maximum request rate of an endpoint during its slow start.
    slow_start_per_s: float = msgspec.field(default=0.0, name="cold_per_s")
    sharded: bool = False
    warmup_s: float = 0.0
    permits: str = "call"


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits on the size and the arrival time of a client's requests."""

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
        """The version as an integer; a higher number is a newer configuration."""
        return int(self.version, 16)


def parse_version(text: object) -> int:
    """Parse a version as JSON carries it: a string of eight hexadecimal digits.

    Raises:
        ConfigError: `text` has another type or format.
    """
    # `int` alone would also accept signs, underscores and non-ASCII digits.
    if not isinstance(text, str) or len(text) != VERSION_DIGITS or not set(text) <= set(string.hexdigits):
        raise ConfigError("edition: expected eight hexadecimal digits")
    return int(text, 16)


def check(body: bytes) -> Configuration:
    """Decode and validate a configuration.

    Args:
        body: JSON, as the operator sent it.

    Raises:
        ConfigError: the configuration is invalid; only the first fault is reported.
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
            check_match_is_unique(virtual_host, rule, matches)
    return configuration


def check_service_names(configuration: Configuration) -> set[str]:
    """Check that service names are unique, and return them.

    Raises:
        ConfigError: two services have the same name.
    """
    names = {service_config.name for service_config in configuration.service_configs}
    if len(names) != len(configuration.service_configs):
        raise ConfigError("depots: a name stands twice")
    return names


def check_route(rule: RouteRule, services: set[str]) -> None:
    """Validate one route, without regard to the other routes.

    Args:
        rule: the route.
        services: names of the configured services.

    Raises:
        ConfigError: the route is invalid; only the first fault is reported.
    """
    if rule.kind not in ROUTE_KINDS:
        raise ConfigError(f"{rule_path(rule)}: kind: expected one of {', '.join(ROUTE_KINDS)}")
    check_services(rule, services)
    prefix = rule.match.path_prefix
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ConfigError(f"{rule_path(rule)}: postcode: must begin and end with a slash")
    # `not ... > 0` instead of `<= 0`, so that NaN is rejected too.
    if not rule.dispatch.deadline_ms > 0:
        raise ConfigError(f"{rule_path(rule)}: deadline_ms: must be above 0")


def check_services(rule: RouteRule, services: set[str]) -> None:
    """Validate the target services of a route and their weights.

    Raises:
        ConfigError: a weight is negative, all weights are 0, or a service is missing or unknown.
    """
    dispatch = rule.dispatch
    weights = [target.weight for target in dispatch.weighted_services]
    if any(not weight >= 0 for weight in weights):
        raise ConfigError(f"{rule_path(rule)}: apportion: a weight is below 0")
    if weights and not sum(weights) > 0:
        raise ConfigError(f"{rule_path(rule)}: apportion: the weights sum to 0")
    if not weights and not dispatch.service:
        raise ConfigError(f"{rule_path(rule)}: dispatch: names no line")
    for service in dispatch.service_names():
        if service not in services:
            raise ConfigError(f"{rule_path(rule)}: dispatch: unknown line {service!r:.40}")


def check_match_is_unique(virtual_host: VirtualHost, rule: RouteRule, matches: set[tuple[str, str]]) -> None:
    """Check that no earlier route has the same host and path prefix.

    Args:
        virtual_host: the host that the route belongs to.
        rule: the route.
        matches: (host in lower case, path prefix) of the earlier routes; this route's pair is added.

    Raises:
        ConfigError: an earlier route has the same host and path prefix.
    """
    match = (virtual_host.host.lower(), rule.match.path_prefix)
    if match in matches:
        raise ConfigError(f"{rule_path(rule)}: postcode: stands twice under {virtual_host.host}")
    matches.add(match)


def rule_path(rule: RouteRule) -> str:
    """Return the prefix of error messages about a route."""
    return f"regulations: {rule.name or '?'}"
