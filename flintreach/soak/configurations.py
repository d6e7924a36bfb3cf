"""Configuration changes during a soak, each with a higher version."""

import copy
import random
import time
from typing import Any

import gevent

from flintreach.demo.cluster import DemoCluster
from flintreach.demo.configuration import CONFIGURATION
from flintreach.soak.checker import Verdict

Configuration = dict[str, Any]  # in the wire format

PROBE_ROUTE = "probe"  # name prefix of the routes that are added and dropped
MAX_ROUTES = 20
PUT_TIMEOUT_S = 8.0
TARGETS_MS = (600, 800, 1000)
CHANGES = ("add", "drop", "target", "none")


class ConfigurationChanges:
    """Generates configurations and submits them to the cluster.

    Attributes:
        newest: the configuration that was sent last.
        acknowledged_version: the highest acknowledged version.
    """

    def __init__(self, cluster: DemoCluster, rng: random.Random, verdict: Verdict) -> None:
        self.cluster = cluster
        self.rng = rng
        self.verdict = verdict
        self.newest: Configuration = copy.deepcopy(CONFIGURATION)
        self.acknowledged_version = 1

    def configure(self) -> None:
        """Submit a series of configurations that add or drop a route, change a latency target or nothing."""
        for _ in range(self.rng.randint(1, 5)):
            self.put(self.next_configuration())
            gevent.sleep(self.rng.uniform(0.0, 0.6))

    def next_configuration(self) -> Configuration:
        """Derive a configuration with a higher version from the newest one."""
        configuration = copy.deepcopy(self.newest)
        version = int(configuration["edition"], 16) + self.rng.randint(1, 3)
        configuration["edition"] = f"{version:08x}"
        routes = configuration["wickets"][0]["regulations"]
        match self.rng.choice(CHANGES):
            case "add" if len(routes) < MAX_ROUTES:
                name = f"{PROBE_ROUTE}-{configuration['edition']}"
                match_path = {"postcode": f"/{name}/"}
                routes.append({**copy.deepcopy(routes[0]), "name": name, "sorting": match_path})
            case "drop":
                routes[:] = [route for route in routes if not route["name"].startswith(PROBE_ROUTE)]
            case "target":
                routes[0]["target_ms"] = self.rng.choice(TARGETS_MS)
        self.newest = configuration
        return configuration

    def put(self, configuration: Configuration) -> None:
        """Submit a configuration until it is acknowledged or `PUT_TIMEOUT_S` has passed.

        The wait is bounded because a newer configuration may have been acknowledged in the meantime.
        """
        if self.cluster.put_configuration(configuration, time.monotonic() + PUT_TIMEOUT_S):
            version = int(configuration["edition"], 16)
            self.acknowledged_version = max(self.acknowledged_version, version)
            self.verdict.configurations += 1
