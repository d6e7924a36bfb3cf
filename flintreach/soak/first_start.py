"""Faults during the first start of the system, before anything has been promised to anybody."""

import random
import signal

import gevent

from flintreach.demo.cluster import CONTROLLER_ROLE, DemoCluster, Machine
from flintreach.soak.processes import ProcessFaults

MAX_FAULTS = 4
MAX_DELAY_S = 1.2  # before each fault; a cluster has started within a few times this
MIN_ABSENCE_S = 0.1
MAX_ABSENCE_S = 0.8
SIGNALS = (signal.SIGKILL, signal.SIGKILL, signal.SIGTERM, signal.SIGHUP)


class FirstStartFaults:
    """Kills, stops and signals machines, several at once, while the system starts for the first time.

    Args:
        cluster: the cluster, whose machines have just been started.
        processes: claims machines, and checks how they exit.
        rng: source of all random draws.
    """

    def __init__(self, cluster: DemoCluster, processes: ProcessFaults, rng: random.Random) -> None:
        self.cluster = cluster
        self.processes = processes
        self.rng = rng

    def run(self) -> None:
        """Inject faults one after the other, and wait until all machines are started again."""
        returns = []
        for _ in range(self.rng.randint(1, MAX_FAULTS)):
            gevent.sleep(self.rng.uniform(0.0, MAX_DELAY_S))
            signum = self.rng.choice(SIGNALS)
            machines = self.some_machines()
            if signum == signal.SIGHUP:
                self.processes.hang_up(machines, first_run=True)
            else:
                returns += [gevent.spawn(self.stop_and_start, machine, signum) for machine in machines]
        gevent.joinall(returns)

    def some_machines(self) -> list[Machine]:
        """The machines that one fault concerns."""
        machines = self.cluster.machines
        groups = (
            machines,
            self.cluster.with_role(CONTROLLER_ROLE),
            self.rng.sample(machines, self.rng.randint(1, len(machines))),
        )
        return self.rng.choice(groups)

    def stop_and_start(self, machine: Machine, signum: signal.Signals) -> None:
        """Stop a machine and start it again as the platform does: its disk stays, and is no new one."""
        if not self.processes.claim(machine):
            return
        if signum == signal.SIGTERM:
            self.processes.terminate_process(machine)
        else:
            machine.stop(signum)
        gevent.sleep(self.rng.uniform(MIN_ABSENCE_S, MAX_ABSENCE_S))
        self.cluster.write_settings(machine, first_run=False)
        machine.start()
        self.processes.release(machine)
