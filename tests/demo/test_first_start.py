"""Real processes that are disturbed during the first start of the system (issue 64, Fault)."""

import os
import signal
import socket
import time
import unittest
from functools import partial

import gevent

from flintreach.demo.cluster import CONTROLLER_ROLE, PEER_PORT, PROXY_ROLE, DemoCluster, Machine
from flintreach.demo.configuration import CONFIGURATION
from tests.demo.test_cluster import WAIT_BOUND_S, free_port

RETURN_AFTER_S = 0.5  # the platform starts a killed process again within a second
DISTURBED_S = 1.5


class FirstStart(unittest.TestCase):
    def setUp(self) -> None:
        base = f"127.{130 + os.getpid() % 80}.{os.getpid() // 80 % 250}"
        self.cluster = DemoCluster(base, free_port(base), controllers=3, proxies=2)
        self.addCleanup(self.cluster.stop)
        self.deadline = time.monotonic() + WAIT_BOUND_S

    def log(self, machine: Machine) -> str:
        with open(os.path.join(machine.work_dir, "log"), encoding="utf-8") as file:
            return file.read()

    def is_starting(self, machine: Machine) -> bool:
        return "settings read" in self.log(machine)

    def assert_serves(self) -> None:
        cluster = self.cluster
        cluster.add_endpoints()
        self.assertTrue(cluster.put_configuration(CONFIGURATION, self.deadline))
        for machine in cluster.with_role(PROXY_ROLE):
            self.assertTrue(cluster.wait_for(partial(self.serves, machine), self.deadline), machine.name)

    def serves(self, machine: Machine) -> bool:
        answer = self.cluster.send_request(machine, "/look/1")
        return answer is not None and answer.status == 200

    def assert_never_ended(self) -> None:
        ended = {
            machine.name: self.log(machine) for machine in self.cluster.machines if not machine.is_running()
        }
        self.assertEqual(ended, {})

    def restart(self, machines: list[Machine]) -> None:
        """Start machines again as the platform does: it is not the first start of the system any more."""
        gevent.sleep(RETURN_AFTER_S)
        for machine in machines:
            self.cluster.write_settings(machine, first_run=False)
            machine.start()

    def test_controllers_killed_before_their_stores_exist_serve_after_their_return(self) -> None:
        controllers = self.cluster.with_role(CONTROLLER_ROLE)
        self.cluster.start()
        for machine in controllers:
            machine.stop(signal.SIGKILL)
        self.restart(controllers)
        self.assert_serves()
        self.assertIn("first_start_resumed", "".join(self.log(machine) for machine in controllers))

    def test_processes_terminated_at_their_start_end_with_status_0_and_serve_after_their_return(self) -> None:
        machines = self.cluster.machines
        self.cluster.start()
        for machine in machines:
            self.assertTrue(self.cluster.wait_for(partial(self.is_starting, machine), self.deadline))
            machine.stop(signal.SIGTERM)
        self.assertEqual({machine.process.returncode for machine in machines}, {0})
        self.restart(machines)
        self.assert_serves()

    def test_processes_wait_for_addresses_that_are_in_use(self) -> None:
        holders = []
        for machine in self.cluster.machines:
            for port in (PEER_PORT, PEER_PORT + 1, *range(PEER_PORT)):
                holder = socket.socket()
                holder.bind((machine.ip, self.cluster.port + port))
                holder.listen()
                holders.append(holder)
        self.cluster.start()
        gevent.sleep(DISTURBED_S)
        for holder in holders:
            holder.close()
        self.assert_serves()
        self.assert_never_ended()

    def test_controllers_wait_for_disks_that_can_not_be_used_yet(self) -> None:
        controllers = self.cluster.with_role(CONTROLLER_ROLE)
        for machine in controllers:
            os.rmdir(machine.data_dir)
            with open(machine.data_dir, "w", encoding="utf-8"):
                pass
        self.cluster.start()
        gevent.sleep(DISTURBED_S)
        for machine in controllers:
            os.remove(machine.data_dir)
            os.mkdir(machine.data_dir)
        self.assert_serves()
        self.assert_never_ended()
        self.assertIn("waiting for the store", self.log(controllers[0]))

    def test_processes_wait_for_settings_that_are_being_replaced(self) -> None:
        for machine in self.cluster.machines:
            with open(machine.settings_path, "w", encoding="utf-8"):
                pass
        self.cluster.start()
        gevent.sleep(DISTURBED_S)
        for machine in self.cluster.machines:
            self.cluster.write_settings(machine, first_run=True)
        self.assert_serves()
        self.assert_never_ended()


if __name__ == "__main__":
    unittest.main()
