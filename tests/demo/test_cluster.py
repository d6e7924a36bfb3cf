"""End-to-end tests of the programs over loopback sockets: startup, configuration, traffic, kills, recovery.

Endpoints are simulated in this process and record the requests that they ran.  Waits end as soon as their
condition holds; the time bound only keeps a broken program from hanging the tests.
"""

import copy
import json
import os
import shutil
import signal
import socket
import time
import unittest

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
from typer.testing import CliRunner

from flintreach.cli.app import build_app
from flintreach.cli.register_values import describe
from flintreach.config.settings import TimingBounds, parse_address
from flintreach.consensus.inspection import read_tables
from flintreach.consensus.store import StoreError
from flintreach.demo.cluster import CONTROLLER_ROLE, PEER_PORT, PROXY_ROLE, DemoCluster, Machine
from flintreach.demo.configuration import CONFIGURATION, HOST
from flintreach.transport.peer_pool import PeerPool

WAIT_BOUND_S = 120.0

WORK_S = 0.05  # duration of a run at an endpoint

# Grace time after SIGTERM by default, and a deadline of requests that is beyond it.
GRACE_S = TimingBounds().grace_s
LONG_DEADLINE_MS = 30_000
KEY = {"X-Shard-Key": "40000"}


def free_port(base: str) -> int:
    """Return a free port that can serve as the first of six, on the first address of a loopback network.

    Args:
        base: first three octets of the addresses.
    """
    while True:
        with socket.socket() as sock:
            sock.bind((f"{base}.1", 0))
            port = sock.getsockname()[1]
        if port < 60000:
            return port


def configuration(version: str) -> dict:
    """Return the demo configuration with another version, and deadlines beyond the grace time."""
    changed = copy.deepcopy({**CONFIGURATION, "edition": version})
    for rule in changed["wickets"][0]["regulations"]:
        rule["dispatch"]["deadline_ms"] = LONG_DEADLINE_MS
    return changed


def run_command(*arguments: str) -> tuple[int, str]:
    """Run a command of the command line and return its exit status and output."""
    result = CliRunner().invoke(build_app(), arguments)
    return result.exit_code, result.output


class ClusterCase(unittest.TestCase):
    """A test case with a cluster that is not started yet."""

    def setUp(self) -> None:
        base = f"127.{40 + os.getpid() % 80}.{os.getpid() // 80 % 250}"
        self.cluster = DemoCluster(base, free_port(base), controllers=3, proxies=2)
        self.addCleanup(self.cluster.stop)
        self.deadline = time.monotonic() + WAIT_BOUND_S

    def put_version(self, version: str) -> bool:
        """Submit a configuration with a version; return whether it was acknowledged in time."""
        return self.cluster.put_configuration(configuration(version), self.deadline)


class ClusterLifecycle(ClusterCase):
    def send_writes(self, count: int, proxies: list[Machine] | None = None) -> list[tuple[int | None, str]]:
        """Send non-repeatable requests concurrently, to the proxies in rotation.

        Returns:
            The status (None for no answer) and id of each request.
        """
        results = []

        def send(number: int) -> None:
            machines = proxies or self.cluster.with_role(PROXY_ROLE)
            machine = machines[number % len(machines)]
            id = f"{number:04}{os.urandom(6).hex()}"
            answer = self.cluster.send_request(
                machine, f"/file/{number}", "POST", {"X-Try-Id": id}, b"a report"
            )
            results.append((answer.status if answer else None, id))

        gevent.joinall([gevent.spawn(send, number) for number in range(count)])
        return results

    def run_count(self, id: str) -> int:
        """Return how often a request ran on the endpoints."""
        return sum(endpoint.run_counts.get(id, 0) for endpoint in self.cluster.endpoints)

    def serves(self, machine: Machine, path: str = "/look/1", **headers: str) -> bool:
        """Return whether an endpoint answers a request to a proxy."""
        answer = self.cluster.send_request(machine, path, headers=headers)
        return answer is not None and answer.status == 200

    def serves_both(self, machine: Machine) -> bool:
        """Return whether a proxy reaches endpoints of both services."""
        return self.serves(machine) and self.serves(machine, "/fetch/1", **KEY)

    def test_cluster_lifecycle(self) -> None:
        cluster = self.cluster
        cluster.start()
        cluster.add_endpoints(plain=4, sharded=2)
        self.assertTrue(cluster.put_configuration(CONFIGURATION, self.deadline))
        self.assertTrue(
            cluster.wait_for(
                lambda: all(self.serves_both(machine) for machine in cluster.with_role(PROXY_ROLE)),
                self.deadline,
            )
        )
        with self.subTest("requests run once, and rejected ones do not run"):
            self.check_requests_run_once()
        with self.subTest("an endpoint receives no requests once its departure is acknowledged"):
            self.check_departed_endpoint_receives_nothing()
        with self.subTest("configurations are accepted and applied after the loss of a controller"):
            self.check_configuration_accepted_after_controller_loss()
        with self.subTest("a proxy answers the requests that it has read before it exits on SIGTERM"):
            self.check_proxy_drains_on_sigterm()
        with self.subTest("a proxy answers requests to silent endpoints before it exits on SIGTERM"):
            self.check_exiting_proxy_answers_requests_to_silent_endpoints()
        with self.subTest("acknowledged state is on the disks after all processes are killed"):
            self.check_acknowledged_state_is_durable()

    def check_requests_run_once(self) -> None:
        """Under overload, each request is answered after one run or rejected without running."""
        answers = self.send_writes(12) + self.send_writes(60)
        self.assertLessEqual({status for status, _ in answers}, {200, 503})
        self.assertEqual({self.run_count(id) for status, id in answers if status == 200}, {1})
        self.assertLessEqual({self.run_count(id) for status, id in answers if status == 503}, {0})
        self.assertGreater(sum(status == 200 for status, _ in answers), 30)

    def check_departed_endpoint_receives_nothing(self) -> None:
        departed = self.cluster.endpoints[0]
        departed.leave()
        self.assertTrue(departed.sign_off())
        requests_before = len(departed.run_counts)
        self.assertTrue(all(status in (200, 503) for status, _ in self.send_writes(20)))
        self.assertEqual(len(departed.run_counts), requests_before)

    def check_configuration_accepted_after_controller_loss(self) -> None:
        self.cluster.with_role(CONTROLLER_ROLE)[0].stop(signal.SIGKILL)
        self.assertTrue(self.put_version("00000002"))
        answers = self.send_writes(20)
        self.assertEqual({self.run_count(id) for status, id in answers if status == 200}, {1})
        self.assertGreater(sum(status == 200 for status, _ in answers), 10)

    def check_proxy_drains_on_sigterm(self) -> None:
        cluster = self.cluster
        proxy = cluster.with_role(PROXY_ROLE)[0]
        requests = gevent.spawn(self.send_writes, 4, [proxy])
        cluster.wait_for(lambda: any(endpoint.running for endpoint in cluster.endpoints), self.deadline)
        proxy.process.send_signal(signal.SIGTERM)
        answers = requests.get()
        self.assertEqual({status for status, _ in answers}, {200})
        self.assertTrue(cluster.wait_for(lambda: proxy.process.poll() is not None, self.deadline))
        self.assertEqual(proxy.process.returncode, 0)

    def check_exiting_proxy_answers_requests_to_silent_endpoints(self) -> None:
        """Guards against an exit that closes the connections of pending requests without a response."""
        cluster = self.cluster
        proxy = cluster.with_role(PROXY_ROLE)[1]
        for endpoint in cluster.endpoints:
            endpoint.work_s = LONG_DEADLINE_MS / 1000
        try:
            requests = [gevent.spawn(self.write_status, proxy) for _ in range(4)]
            cluster.wait_for(
                lambda: sum(endpoint.running for endpoint in cluster.endpoints) == 4, self.deadline
            )
            terminated_at = time.monotonic()
            proxy.process.send_signal(signal.SIGTERM)
            self.assertEqual([request.get() for request in requests], [504] * 4)
            self.assertGreater(time.monotonic() - terminated_at, GRACE_S * 5 / 6)
            self.assertTrue(cluster.wait_for(lambda: proxy.process.poll() is not None, self.deadline))
            self.assertLess(time.monotonic() - terminated_at, GRACE_S)
            self.assertEqual(proxy.process.returncode, 0)
        finally:
            for endpoint in cluster.endpoints:
                endpoint.work_s = WORK_S

    def write_status(self, proxy: Machine) -> int | None:
        """Send a non-repeatable request with a long deadline; return the status, None for no response."""
        client = HTTPClient(
            *parse_address(proxy.listen_addresses["front"]), network_timeout=LONG_DEADLINE_MS / 1000
        )
        headers = {
            "Host": HOST,
            "X-Try-Id": os.urandom(8).hex(),
            "X-Time-Left-Ms": str(LONG_DEADLINE_MS),
        }
        try:
            return client.request("POST", "/file/1", b"a report", headers).status_code
        except (OSError, HTTPParseError):
            return None
        finally:
            client.close()

    def check_acknowledged_state_is_durable(self) -> None:
        cluster = self.cluster
        for machine in cluster.machines:
            machine.stop(signal.SIGKILL)
        disks = [read_tables(machine.data_dir, describe) for machine in cluster.with_role(CONTROLLER_ROLE)]
        stored = [row["holds"] for disk in disks for row in disk["register"] if row["key"] == "timetable"]
        self.assertGreaterEqual(sum("edition 00000002" in summary for summary in stored), 2)
        self.assertEqual({row["line"] for disk in disks for row in disk["endpoints"]}, {"desk", "store"})
        for machine in cluster.machines:
            machine.start()
        self.assertTrue(
            cluster.wait_for(
                lambda: any(
                    self.serves(machine, "/fetch/1", **KEY) for machine in cluster.with_role(PROXY_ROLE)
                ),
                self.deadline,
            )
        )
        with open(
            os.path.join(cluster.with_role(CONTROLLER_ROLE)[2].work_dir, "log"), encoding="utf-8"
        ) as log:
            messages = [json.loads(line) for line in log]
        self.assertIn("ready", [message.get("message_type") for message in messages])

    def test_reading_a_directory_without_tables_fails(self) -> None:
        with self.assertRaisesRegex(StoreError, "no such file"):
            read_tables(self.cluster.work_dir)


class VoterChanges(ClusterCase):
    """Voter changes among four controllers, three of which vote."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = DemoCluster(self.cluster.base, self.cluster.port, controllers=4, proxies=1)
        self.addCleanup(self.cluster.stop)

    def peer_address(self, machine: Machine) -> str:
        """Return the address at which a machine accepts connections from its peers."""
        return f"{machine.ip}:{self.cluster.port + PEER_PORT}"

    def voters(self) -> tuple[int, set[str]] | None:
        """Return epoch and names of the voters from a running controller; None during a change of voters."""
        names = {
            parse_address(self.peer_address(machine)): machine.name
            for machine in self.cluster.with_role(CONTROLLER_ROLE)
        }
        for ip, port in self.cluster.control_addresses():
            voter_rows = PeerPool(("127.0.0.1", 0)).ask((ip, port + PEER_PORT), "show", "voters", 1.0)
            if voter_rows and all(row["set"] in ("votes", "") for row in voter_rows):
                addresses = [parse_address(row["address"]) for row in voter_rows if row["set"]]
                return voter_rows[0]["epoch"], {names[address] for address in addresses}
        return None

    def wait_for_voters(self, *numbers: int) -> bool:
        """Wait until exactly these controllers vote; return whether that happened in time."""
        expected = {f"refuge-{number}" for number in numbers}
        return self.cluster.wait_for(lambda: (self.voters() or (0, ()))[1] == expected, self.deadline)

    def replace_voter(self, asked: Machine, out: Machine, into: Machine) -> tuple[int, str]:
        """Replace a voter by command; return the exit status and output."""
        addresses = [self.peer_address(machine) for machine in (asked, out, into)]
        return run_command("voters", "--at", addresses[0], "--out", addresses[1], "--in", addresses[2])

    def test_voters_are_replaced_on_sigterm_and_by_command(self) -> None:
        """Covers the messages `leaving`, `disk`, `sync` and `replace`, each followed by a loss."""
        cluster = self.cluster
        cluster.start()
        self.assertTrue(
            self.wait_for_voters(0, 1, 2), "the fourth would place two of four voters in one zone"
        )
        self.assertTrue(cluster.put_configuration(CONFIGURATION, self.deadline))
        first, _, third, spare = cluster.with_role(CONTROLLER_ROLE)

        with self.subTest("on SIGTERM, a voter exits after its successor has taken over"):
            epoch_before, _ = self.voters()
            first.process.send_signal(signal.SIGTERM)
            self.assertTrue(cluster.wait_for(lambda: first.process.poll() is not None, self.deadline))
            self.assertEqual(first.process.returncode, 0)
            epoch, names = self.voters()
            self.assertEqual((epoch, names), (epoch_before + 2, {"refuge-1", "refuge-2", "refuge-3"}))

        with self.subTest("no data is lost if another voter is killed right afterwards"):
            third.stop(signal.SIGKILL)
            self.assertTrue(self.put_version("00000002"))
            third.start()
            first.start()

        with self.subTest("a replacement is either rejected with a reason or carried out"):
            self.assertEqual(self.replace_voter(spare, first, spare)[0], 1)
            self.assertIn("does not vote", self.replace_voter(spare, first, spare)[1])
            self.assertTrue(
                cluster.wait_for(lambda: self.replace_voter(third, spare, first)[0] == 0, self.deadline)
            )
            self.assertTrue(self.wait_for_voters(0, 1, 2))

        with self.subTest("no data is lost with the disks of the replaced voter and another one"):
            for machine in (spare, third):
                machine.stop(signal.SIGKILL)
                shutil.rmtree(machine.data_dir)
            control = first.listen_addresses["control"]
            self.assertTrue(
                cluster.wait_for(
                    lambda: '"00000002"' in run_command("get", "--at", control)[1], self.deadline
                )
            )
            self.assertTrue(self.put_version("00000003"))


if __name__ == "__main__":
    unittest.main()
