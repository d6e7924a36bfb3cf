"""Machines of a soak that are replaced by others at new addresses."""

import random

import gevent
from gevent.lock import BoundedSemaphore

from flintreach.demo.cluster import CONTROLLER_ROLE, PROXY_ROLE, DemoCluster
from flintreach.soak.partitions import Partitions
from flintreach.soak.processes import ProcessFaults

CATCH_UP_S = 4.0  # the settings' default: for which a controller still counts as lost when it is back
COPY_S = 3.0  # for a new controller to copy what a quorum has, before an old one leaves
HEALTH_POLL_S = 0.1


class MembershipChanges:
    """Replaces one machine at a time."""

    def __init__(
        self, cluster: DemoCluster, chance: random.Random, processes: ProcessFaults, partitions: Partitions
    ) -> None:
        self.cluster = cluster
        self.chance = chance
        self.processes = processes
        self.partitions = partitions
        self.lock = BoundedSemaphore(1)

    def replace_proxy(self) -> None:
        """A proxy joins at a new address; then one leaves for good."""
        with self.lock:
            leaving = self.chance.choice(self.cluster.of(PROXY_ROLE))
            self.cluster.join(PROXY_ROLE, leaving.zone).start()
            gevent.sleep(self.chance.uniform(0.5, 2.0))
            self.processes.remove(leaving)

    def replace_controller(self) -> None:
        """An empty controller joins at a new address and copies; then an old one leaves for good.

        A disk that goes for good is a loss, and the settings allow one at a time: the leave waits until the
        others have been well for `CATCH_UP_S`, and no other fault meets them until the successor has had as
        long.
        """
        with self.lock:
            self.processes.controllers_spared = True
            if self.wait_until_controllers_are_well():
                leaving = self.chance.choice(self.cluster.of(CONTROLLER_ROLE))
                self.cluster.join(CONTROLLER_ROLE, leaving.zone).start()
                gevent.sleep(COPY_S)
                self.processes.remove(leaving)
                gevent.sleep(CATCH_UP_S)
            self.processes.controllers_spared = False

    def wait_until_controllers_are_well(self) -> bool:
        """Wait; False where the soak's faults end before that."""
        while not self.controllers_are_well():
            if self.processes.ending:
                return False
            gevent.sleep(HEALTH_POLL_S)
        return True

    def controllers_are_well(self) -> bool:
        """Whether no controller is lost, by the settings' reckoning."""
        controllers = self.cluster.of(CONTROLLER_ROLE)
        for machine in controllers:
            if machine.process.poll() is not None or machine.running_for() <= CATCH_UP_S:
                return False
            if self.processes.paused(machine):
                return False
        addresses = {machine.ip for machine in controllers}
        return not any(addresses.issuperset(pair) for pair in self.partitions.pairs)
