"""All faults and planned work of a soak; each call is one of them and lasts some seconds.

Planned: SIGTERM and SIGHUP, one machine or all of a role in turn; configurations; machines and endpoints that
are replaced.  Unplanned: kills, pauses, partitions, lost answers and acknowledgements, slow endpoints.
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

SLOW_WORK_S = 1.5  # of a request at a slow endpoint
SLOW_SHARE = 3  # one endpoint of so many becomes slow

Fault = Callable[[], None]


class FaultInjector:
    """Injects faults into a cluster; the draws of all come from one source.

    Attributes:
        losing: whether endpoints may lose answers and acknowledgements now.
    """

    def __init__(
        self,
        cluster: DemoCluster,
        chance: random.Random,
        history: History,
        verdict: Verdict,
        partitions_path: str,
    ) -> None:
        """Make the injector.

        Args:
            cluster: with its machines, which may not run yet.
            chance: source of all draws.
            history: gets the disturbances.
            verdict: gets the counts, and broken invariants.
            partitions_path: the file that `flintreach.standins.faulty` reads.
        """
        self.cluster = cluster
        self.chance = chance
        self.verdict = verdict
        self.losing = False
        self.processes = ProcessFaults(cluster, chance, history, verdict)
        self.partitions = Partitions(partitions_path)
        self.configurations = ConfigurationChanges(cluster, chance, verdict)
        self.membership = MembershipChanges(cluster, chance, self.processes, self.partitions)

    def planned(self) -> list[Fault]:
        """Planned work, each as often as it is to be drawn."""
        return [
            self.processes.terminate,
            self.processes.terminate,
            self.processes.terminate_all,
            self.processes.hang_up,
            self.configurations.configure,
            self.configurations.configure,
            self.membership.replace_proxy,
            self.membership.replace_controller,
            self.slow,
        ]

    def unplanned(self) -> list[Fault]:
        """Faults, each as often as it is to be drawn."""
        return [self.processes.kill, self.processes.pause, self.cut, self.cut, self.lose, self.slow]

    def inject(self, fault: Fault) -> None:
        """Count a fault by its name, and run it to its end."""
        self.verdict.faults[fault.__name__] += 1
        fault()

    def stop(self) -> None:
        """Let faults of several steps end early."""
        self.processes.ending = True

    def cut(self) -> None:
        """Cut a proxy off from all controllers, or any machine from some of them."""
        controllers = self.cluster.of(CONTROLLER_ROLE)
        if self.chance.random() < 0.5:
            machine = self.chance.choice(self.cluster.of(PROXY_ROLE))
            others = controllers
        else:
            machine = self.chance.choice(self.cluster.machines)
            if self.processes.spared(machine):
                return
            others = [controller for controller in controllers if controller is not machine]
            others = self.chance.sample(others, self.chance.randint(1, len(others)))
        pairs = [(machine.ip, other.ip) for other in others]
        self.partitions.isolate(pairs, self.chance.uniform(1.0, 7.0))

    def lose(self) -> None:
        """Let endpoints lose answers and acknowledgements for a while."""
        self.losing = True
        gevent.sleep(self.chance.uniform(0.5, 3.0))
        self.losing = False

    def slow(self) -> None:
        """Let some endpoints work slowly for a while."""
        ready = [endpoint for endpoint in self.cluster.endpoints if endpoint.state == EndpointState.READY]
        chosen = self.chance.sample(ready, max(1, len(ready) // SLOW_SHARE)) if ready else []
        usual_work_s = [endpoint.work_s for endpoint in chosen]
        for endpoint in chosen:
            endpoint.work_s = SLOW_WORK_S
        gevent.sleep(self.chance.uniform(1.0, 4.0))
        for endpoint, work_s in zip(chosen, usual_work_s):
            # The least of both: a fault that overlaps may have seen it slow, and would leave it so.
            endpoint.work_s = min(endpoint.work_s, work_s)
