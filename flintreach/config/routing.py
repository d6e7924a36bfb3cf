"""Route lookup by host and path prefix."""

from dataclasses import dataclass

from flintreach.config.configuration import Configuration, Dispatch, RouteRule, ServiceConfig

NS_PER_MS = 1e6
UNSAFE = "unsafe"  # kind of routes whose requests must not be executed twice


@dataclass(frozen=True, slots=True, eq=False)
class Route:
    """A route in the form used to forward requests: weighted services, times in nanoseconds."""

    name: str
    kind: str
    idempotent: bool  # whether a request may be executed more than once
    prefix: str
    services: list[tuple[str, float]]  # (service, weight); services with weight 0 are left out
    deadline_ns: int
    latency_target_ns: int
    attempts: int  # at least 1
    home_regions: tuple[str, ...]
    precedence: int

    @classmethod
    def from_rule(cls, rule: RouteRule) -> "Route":
        """Create a route from a rule of the configuration."""
        dispatch = rule.dispatch
        return cls(
            name=rule.name,
            kind=rule.kind,
            idempotent=rule.kind != UNSAFE,
            prefix=rule.match.path_prefix,
            services=services_in_use(dispatch),
            deadline_ns=int(dispatch.deadline_ms * NS_PER_MS),
            latency_target_ns=int(rule.latency_target_ms * NS_PER_MS),
            attempts=max(1, dispatch.attempts),
            home_regions=dispatch.home_regions,
            precedence=rule.precedence,
        )


def services_in_use(dispatch: Dispatch) -> list[tuple[str, float]]:
    """Return the services with a positive weight; a single unweighted service gets weight 1."""
    weighted = [(target.service, target.weight) for target in dispatch.weighted_services if target.weight > 0]
    if weighted:
        return weighted
    return [(dispatch.service or "", 1.0)]


class Routes:
    """Routing table of one configuration; the route with the longest matching prefix applies.

    Attributes:
        configuration: the source of the routes.
        number: the version of the configuration.
        service_configs: service name -> its configuration.
        hosts: host in lower case -> its routes, longest prefix first.
        all: the routes of all hosts.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.number = configuration.number
        self.service_configs: dict[str, ServiceConfig] = {
            service_config.name: service_config for service_config in configuration.service_configs
        }
        self.hosts: dict[str, list[Route]] = {}
        for virtual_host in configuration.virtual_hosts:
            routes = self.hosts.setdefault(virtual_host.host.lower(), [])
            routes += [Route.from_rule(rule) for rule in virtual_host.route_rules]
        for routes in self.hosts.values():
            routes.sort(key=lambda route: -len(route.prefix))
        self.all = [route for routes in self.hosts.values() for route in routes]

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request; None if no route matches.

        Args:
            host: the request's host, in any case, without the port.
            path: the request's path, without the query.
        """
        for route in self.hosts.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
