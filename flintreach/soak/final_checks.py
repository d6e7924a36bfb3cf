"""Checks of the running machines at the end of a soak, after fault injection has stopped."""

import re
import time

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from flintreach.demo.cluster import CONTROLLER_ROLE, PROXY_ROLE, DemoCluster, Machine
from flintreach.proxy.metrics import PREFIX
from flintreach.soak.checker import VIOLATION_COUNTERS, Verdict, Violation

CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 2.0
CONFIGURATION_TIMEOUT_S = 6.0  # for a configuration to come into force, on a shared machine
CONFIGURATION_PATH = "/v1/timetable/get"
METRICS_PATH = "/metrics"
SHARD_KEY = {"X-Shard-Key": "7"}  # any key will do


class FinalChecks:
    """Checks for the violations `UNEXPECTED_EXIT`, `COUNTED_BY_PROXY` and `CONFIGURATION_LOST`."""

    def __init__(self, cluster: DemoCluster, verdict: Verdict) -> None:
        self.cluster = cluster
        self.verdict = verdict

    def get(self, machine: Machine, service: str, path: str) -> bytes | None:
        """Fetch a path from a machine, or return None if it does not answer with 200."""
        host, port = machine.listen_addresses[service].split(":")
        client = HTTPClient(
            host, int(port), connection_timeout=CONNECT_TIMEOUT_S, network_timeout=ANSWER_TIMEOUT_S
        )
        try:
            response = client.get(path)
            data = bytes(response.read())
            return data if response.status_code == 200 else None
        except (OSError, HTTPParseError):
            return None
        finally:
            client.close()

    def check_processes(self) -> None:
        """Check that all machines are running."""
        for machine in self.cluster.machines:
            status = machine.process.poll()
            if status is not None:
                self.verdict.fail(Violation.UNEXPECTED_EXIT, f"{machine.name} exited with status {status}")

    def check_counters(self) -> None:
        """Check that no proxy has counted a violation."""
        for machine in self.cluster.with_role(PROXY_ROLE):
            text = (self.get(machine, "ready", METRICS_PATH) or b"").decode()
            for name in VIOLATION_COUNTERS:
                pattern = rf"^{PREFIX}{name.replace(' ', '_')}_total (\d+)$"
                counter = re.search(pattern, text, re.MULTILINE)
                if counter and int(counter[1]):
                    self.verdict.fail(
                        Violation.COUNTED_BY_PROXY, f"{machine.name} counted {counter[1]} of '{name}'"
                    )

    def stored_configuration(self) -> bytes | None:
        """Return the stored configuration from the first controller that answers."""
        for machine in self.cluster.with_role(CONTROLLER_ROLE):
            data = self.get(machine, "control", CONFIGURATION_PATH)
            if data:
                return data
        return None

    def check_configuration(self, acknowledged_version: int) -> None:
        """Check that the newest configuration can be read back and is in force at each proxy.

        Args:
            acknowledged_version: the highest acknowledged version; a newer one may have been stored
                without being acknowledged.
        """
        data = self.stored_configuration()
        if data is None:
            self.verdict.fail(Violation.CONFIGURATION_LOST, "no controller returned the configuration")
            return
        configuration = msgspec.json.decode(data)
        version = int(configuration["edition"], 16)
        if version < acknowledged_version:
            self.verdict.fail(
                Violation.CONFIGURATION_LOST,
                f"version {version} is stored, but {acknowledged_version} was acknowledged",
            )
        newest_path = configuration["wickets"][0]["regulations"][-1]["sorting"]["postcode"]
        deadline = time.monotonic() + CONFIGURATION_TIMEOUT_S
        for machine in self.cluster.with_role(PROXY_ROLE):
            if not self.wait_until_served(machine, newest_path, deadline):
                self.verdict.fail(
                    Violation.CONFIGURATION_LOST, f"{machine.name} does not serve {newest_path}"
                )

    def wait_until_served(self, machine: Machine, path: str, deadline: float) -> bool:
        """Return whether a proxy answers a path with 200 before `deadline`, in monotonic seconds."""
        return self.cluster.wait_for(lambda: serves(self.cluster, machine, path), deadline)


def serves(cluster: DemoCluster, machine: Machine, path: str) -> bool:
    """Return whether a proxy answers a path with 200."""
    response = cluster.send_request(machine, path, headers=SHARD_KEY)
    return response is not None and response.status == 200
