"""Configurations that a soak puts one after the other, each with a higher version."""

import copy
import random
import time
from typing import Any

import gevent

from flintreach.demo.cluster import DemoCluster
from flintreach.demo.configuration import CONFIGURATION
from flintreach.soak.checker import Verdict

Configuration = dict[str, Any]  # by the names of the wire

PROBE_ROUTE = "probe"  # first part of the names of routes that configurations add and drop
MAX_ROUTES = 20
PUT_TIMEOUT_S = 8.0
TARGETS_MS = (600, 800, 1000)
CHANGES = ("add", "drop", "target", "none")


class ConfigurationChanges:
    """Puts configurations.

    Attributes:
        newest: the newest that was sent.
        acknowledged_version: the highest version that was acknowledged.
    """

    def __init__(self, cluster: DemoCluster, chance: random.Random, verdict: Verdict) -> None:
        self.cluster = cluster
        self.chance = chance
        self.verdict = verdict
        self.newest: Configuration = copy.deepcopy(CONFIGURATION)
        self.acknowledged_version = 1

    def configure(self) -> None:
        """Put a series: a route comes or goes, a latency target changes, or nothing does."""
        for _ in range(self.chance.randint(1, 5)):
            self.put(self.next_configuration())
            gevent.sleep(self.chance.uniform(0.0, 0.6))

    def next_configuration(self) -> Configuration:
        """Change the newest one and raise its version."""
        configuration = copy.deepcopy(self.newest)
        version = int(configuration["edition"], 16) + self.chance.randint(1, 3)
        configuration["edition"] = f"{version:08x}"
        routes = configuration["wickets"][0]["regulations"]
        match self.chance.choice(CHANGES):
            case "add" if len(routes) < MAX_ROUTES:
                name = f"{PROBE_ROUTE}-{configuration['edition']}"
                match_path = {"postcode": f"/{name}/"}
                routes.append({**copy.deepcopy(routes[0]), "name": name, "sorting": match_path})
            case "drop":
                routes[:] = [route for route in routes if not route["name"].startswith(PROBE_ROUTE)]
            case "target":
                routes[0]["target_ms"] = self.chance.choice(TARGETS_MS)
        self.newest = configuration
        return configuration

    def put(self, configuration: Configuration) -> None:
        """Send a configuration until it is acknowledged, or a newer one may have been."""
        if self.cluster.put(configuration, time.monotonic() + PUT_TIMEOUT_S):
            version = int(configuration["edition"], 16)
            self.acknowledged_version = max(self.acknowledged_version, version)
            self.verdict.configurations += 1
