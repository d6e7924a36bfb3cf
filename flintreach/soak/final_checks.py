"""What is read from the running machines at the end of a soak, when its faults are over."""

import re
import time

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from flintreach.demo.cluster import CONTROLLER_ROLE, PROXY_ROLE, DemoCluster, Machine
from flintreach.proxy.metrics import PREFIX
from flintreach.soak.checker import VIOLATIONS, Invariant, Verdict

CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 2.0
IN_FORCE_S = 6.0  # for an acknowledged configuration to be in force, on a machine that other work shares
CONFIGURATION_PATH = "/v1/timetable/get"
METRICS_PATH = "/metrics"
SHARD_KEY = {"X-Shard-Key": "7"}  # header of requests that any key would do for


class FinalChecks:
    """Judges `Invariant.ENDED`, `COUNTED` and `ACKNOWLEDGED` by the machines' own answers."""

    def __init__(self, cluster: DemoCluster, verdict: Verdict) -> None:
        self.cluster = cluster
        self.verdict = verdict

    def get(self, machine: Machine, service: str, path: str) -> bytes | None:
        """Read a page of a machine; None where it doesn't answer with 200."""
        host, port = machine.posts[service].split(":")
        client = HTTPClient(
            host, int(port), connection_timeout=CONNECT_TIMEOUT_S, network_timeout=ANSWER_TIMEOUT_S
        )
        try:
            answer = client.get(path)
            data = bytes(answer.read())
            return data if answer.status_code == 200 else None
        except (OSError, HTTPParseError):
            return None
        finally:
            client.close()

    def check_processes(self) -> None:
        """All machines must run."""
        for machine in self.cluster.machines:
            status = machine.process.poll()
            if status is not None:
                self.verdict.fail(Invariant.ENDED, f"{machine.name}: status {status}")

    def check_counters(self) -> None:
        """No proxy may have counted a violation."""
        for machine in self.cluster.of(PROXY_ROLE):
            text = (self.get(machine, "ready", METRICS_PATH) or b"").decode()
            for name in VIOLATIONS:
                pattern = rf"^{PREFIX}{name.replace(' ', '_')}_total (\d+)$"
                counter = re.search(pattern, text, re.MULTILINE)
                if counter and int(counter[1]):
                    self.verdict.fail(Invariant.COUNTED, f"{machine.name}: {name} {counter[1]}")

    def stored_configuration(self) -> bytes | None:
        """The configuration as the first controller that answers gives it."""
        for machine in self.cluster.of(CONTROLLER_ROLE):
            data = self.get(machine, "control", CONFIGURATION_PATH)
            if data:
                return data
        return None

    def check_configuration(self, acknowledged_version: int) -> None:
        """The newest configuration must be read back, and be in force at each proxy.

        Args:
            acknowledged_version: the highest version that was acknowledged; a newer one may have been
                accepted without an acknowledgement.
        """
        data = self.stored_configuration()
        if data is None:
            self.verdict.fail(Invariant.ACKNOWLEDGED, "no controller gives the configuration")
            return
        configuration = msgspec.json.decode(data)
        version = int(configuration["edition"], 16)
        if version < acknowledged_version:
            self.verdict.fail(Invariant.ACKNOWLEDGED, f"{acknowledged_version} was, {version} is stored")
        newest_path = configuration["wickets"][0]["regulations"][-1]["sorting"]["postcode"]
        until = time.monotonic() + IN_FORCE_S
        for machine in self.cluster.of(PROXY_ROLE):
            if not self.wait_until_served(machine, newest_path, until):
                self.verdict.fail(Invariant.ACKNOWLEDGED, f"{machine.name} does not serve {newest_path}")

    def wait_until_served(self, machine: Machine, path: str, until: float) -> bool:
        """Whether a proxy answers a path with 200 before `until`, steady seconds."""
        return self.cluster.wait(lambda: serves(self.cluster, machine, path), until)


def serves(cluster: DemoCluster, machine: Machine, path: str) -> bool:
    """Whether a proxy answers a path with 200 now."""
    answer = cluster.ask(machine, path, headers=SHARD_KEY)
    return answer is not None and answer.status == 200
