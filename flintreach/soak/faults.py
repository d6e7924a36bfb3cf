"""Fault injection of a soak; each fault is a call that lasts a few seconds.

Planned operations: SIGTERM and SIGHUP to one machine or in turn to all of a role, configuration changes,
replaced machines and endpoints.  Unplanned faults: kills, pauses, partitions, lost answers and
acknowledgements.  Slow endpoints occur among both.
"""

import random
from collections.abc import Callable

import gevent

from flintreach.demo.cluster import CONTROLLER_ROLE, PROXY_ROLE, DemoCluster
from flintreach.soak.checker import Verdict
from flintreach.soak.configurations import ConfigurationChanges
from flintreach.soak.history import History
from flintreach.soak.membership import MembershipChanges
from flintreach.soak.partitions import Partitions
from flintreach.soak.processes import ProcessFaults
from flintreach.standins.endpoint import EndpointState

SLOW_WORK_S = 1.5  # duration of a request at a slow endpoint
SLOW_DIVISOR = 3  # one in this many endpoints becomes slow

Fault = Callable[[], None]


class FaultInjector:
    """Injects faults into a cluster; all faults draw from one random source.

    Attributes:
        losing_responses: whether endpoints currently lose answers and acknowledgements.
    """

    def __init__(
        self,
        cluster: DemoCluster,
        rng: random.Random,
        history: History,
        verdict: Verdict,
        partitions_path: str,
    ) -> None:
        """Create the injector.

        Args:
            cluster: the cluster, which need not be running yet.
            rng: random source of all faults.
            history: receives the disturbances.
            verdict: receives the fault counts and violations.
            partitions_path: partitions file, which `flintreach.standins.faulty` reads.
        """
        self.cluster = cluster
        self.rng = rng
        self.verdict = verdict
        self.losing_responses = False
        self.processes = ProcessFaults(cluster, rng, history, verdict)
        self.partitions = Partitions(partitions_path)
        self.configurations = ConfigurationChanges(cluster, rng, verdict)
        self.membership = MembershipChanges(cluster, rng, self.processes, self.partitions)

    def planned(self) -> list[Fault]:
        """Return the planned operations, repeated according to their weight."""
        return [
            self.processes.terminate,
            self.processes.terminate,
            self.processes.terminate_all,
            self.processes.hang_up_some,
            self.configurations.configure,
            self.configurations.configure,
            self.membership.replace_proxy,
            self.membership.replace_controller,
            self.slow,
        ]

    def unplanned(self) -> list[Fault]:
        """Return the unplanned faults, repeated according to their weight."""
        return [self.processes.kill, self.processes.pause, self.cut, self.cut, self.lose, self.slow]

    def inject(self, fault: Fault) -> None:
        """Run a fault and count it in the verdict under the name of its function."""
        self.verdict.faults[fault.__name__] += 1
        fault()

    def stop(self) -> None:
        """Make faults that consist of several steps finish early."""
        self.processes.stopping = True

    def cut(self) -> None:
        """Partition a proxy from all controllers, or any machine from some of them."""
        controllers = self.cluster.with_role(CONTROLLER_ROLE)
        if self.rng.random() < 0.5:
            machine = self.rng.choice(self.cluster.with_role(PROXY_ROLE))
            others = controllers
        else:
            machine = self.rng.choice(self.cluster.machines)
            if self.processes.is_excluded(machine):
                return
            others = [controller for controller in controllers if controller is not machine]
            others = self.rng.sample(others, self.rng.randint(1, len(others)))
        pairs = [(machine.ip, other.ip) for other in others]
        self.partitions.isolate(pairs, self.rng.uniform(1.0, 7.0))

    def lose(self) -> None:
        """Make endpoints lose answers and acknowledgements for a while."""
        self.losing_responses = True
        gevent.sleep(self.rng.uniform(0.5, 3.0))
        self.losing_responses = False

    def slow(self) -> None:
        """Make some endpoints slow for a while."""
        ready = [endpoint for endpoint in self.cluster.endpoints if endpoint.state == EndpointState.READY]
        chosen = self.rng.sample(ready, max(1, len(ready) // SLOW_DIVISOR)) if ready else []
        usual_work_s = [endpoint.work_s for endpoint in chosen]
        for endpoint in chosen:
            endpoint.work_s = SLOW_WORK_S
        gevent.sleep(self.rng.uniform(1.0, 4.0))
        for endpoint, work_s in zip(chosen, usual_work_s):
            # An overlapping fault may have saved the slow value; the minimum keeps it from restoring that.
            endpoint.work_s = min(endpoint.work_s, work_s)
