"""Replacement of machines by new ones at other addresses during a soak."""

import random

import gevent
from gevent.lock import BoundedSemaphore

from flintreach.demo.cluster import CONTROLLER_ROLE, PROXY_ROLE, DemoCluster
from flintreach.soak.partitions import Partitions
from flintreach.soak.processes import ProcessFaults

CATCH_UP_S = 4.0  # the settings' default: how long a restarted controller still counts as lost
COPY_S = 3.0  # for a new controller to copy the quorum's state before an old one leaves
HEALTH_POLL_S = 0.1


class MembershipChanges:
    """Replaces machines, one at a time."""

    def __init__(
        self, cluster: DemoCluster, rng: random.Random, processes: ProcessFaults, partitions: Partitions
    ) -> None:
        self.cluster = cluster
        self.rng = rng
        self.processes = processes
        self.partitions = partitions
        self.lock = BoundedSemaphore(1)

    def replace_proxy(self) -> None:
        """Add a proxy at a new address, then remove an existing one."""
        with self.lock:
            leaving = self.rng.choice(self.cluster.with_role(PROXY_ROLE))
            self.cluster.add_machine(PROXY_ROLE, leaving.zone).start()
            gevent.sleep(self.rng.uniform(0.5, 2.0))
            self.processes.remove(leaving)

    def replace_controller(self) -> None:
        """Add an empty controller at a new address, let it copy the state, then remove an existing one.

        Removing a disk is a loss, and the settings allow one loss at a time.  The replacement therefore
        starts once all controllers have been healthy for `CATCH_UP_S`, and other faults exclude controllers
        until the same time has passed after the removal.
        """
        with self.lock:
            self.processes.controllers_excluded = True
            if self.wait_until_controllers_healthy():
                leaving = self.rng.choice(self.cluster.with_role(CONTROLLER_ROLE))
                self.cluster.add_machine(CONTROLLER_ROLE, leaving.zone).start()
                gevent.sleep(COPY_S)
                self.processes.remove(leaving)
                gevent.sleep(CATCH_UP_S)
            self.processes.controllers_excluded = False

    def wait_until_controllers_healthy(self) -> bool:
        """Wait until the controllers are healthy; return False if fault injection stops first."""
        while not self.controllers_healthy():
            if self.processes.stopping:
                return False
            gevent.sleep(HEALTH_POLL_S)
        return True

    def controllers_healthy(self) -> bool:
        """Return whether no controller counts as lost under the settings."""
        controllers = self.cluster.with_role(CONTROLLER_ROLE)
        for machine in controllers:
            if machine.process.poll() is not None or machine.uptime() <= CATCH_UP_S:
                return False
            if self.processes.paused(machine):
                return False
        addresses = {machine.ip for machine in controllers}
        return not any(addresses.issuperset(pair) for pair in self.partitions.pairs)
