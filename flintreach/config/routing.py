"""Which route of a configuration a request takes, by its host and path."""

from dataclasses import dataclass

from flintreach.config.configuration import Configuration, Dispatch, RouteRule, ServiceConfig

NS_PER_MS = 1e6
UNSAFE = "unsafe"  # the kind of a route whose requests must not run twice


@dataclass(frozen=True, slots=True, eq=False)
class Route:
    """A route as the request path uses it: services with weights, times in nanoseconds."""

    name: str
    kind: str
    idempotent: bool  # whether a request may run more than once
    prefix: str
    services: list[tuple[str, float]]  # those with a weight above 0
    deadline_ns: int
    latency_target_ns: int
    attempts: int  # at least 1
    home_regions: tuple[str, ...]
    precedence: int

    @classmethod
    def of(cls, rule: RouteRule) -> "Route":
        """The route that a rule of the configuration describes."""
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
    """The services that get requests, each with its weight; the only one has weight 1."""
    weighted = [(share.service, share.weight) for share in dispatch.weighted_services if share.weight > 0]
    if weighted:
        return weighted
    return [(dispatch.service or "", 1.0)]


class Routes:
    """All routes of one configuration, looked up by host and path: the longest prefix wins.

    Attributes:
        configuration: the source of the routes.
        number: its version.
        service_configs: by name of the service.
        hosts: host in lower case -> its routes, those with the longest prefix first.
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
            routes += [Route.of(rule) for rule in virtual_host.route_rules]
        for routes in self.hosts.values():
            routes.sort(key=lambda route: -len(route.prefix))
        self.all = [route for routes in self.hosts.values() for route in routes]

    def find(self, host: str, path: str) -> Route | None:
        """The route for a request, or None where none takes it.

        Args:
            host: as the request names it, in any case, without a port.
            path: without the query.
        """
        for route in self.hosts.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
