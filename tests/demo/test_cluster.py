"""The programs of the whole system over loopback sockets: found, configured, served, killed, read back.

Endpoints are stand-ins in this process, which note what they ran.  Waits end as soon as what they wait for is
seen; their bounds only keep a broken program from hanging the tests.
"""

import json
import os
import shutil
import signal
import socket
import time
import unittest

import gevent
from typer.testing import CliRunner

from flintreach.cli.app import build_app
from flintreach.cli.register_values import describe
from flintreach.config.settings import parse_address
from flintreach.consensus.inspection import read_tables
from flintreach.consensus.store import StoreError
from flintreach.demo.cluster import CONTROLLER_ROLE, PEER_PORT, PROXY_ROLE, DemoCluster, Machine
from flintreach.demo.configuration import CONFIGURATION
from flintreach.transport.peer_pool import PeerPool

WAIT_BOUND_S = 120.0
KEY = {"X-Shard-Key": "40000"}


def free_port(base: str) -> int:
    """The first of six ports that nobody uses at some addresses of a network.

    Args:
        base: the first three numbers of the addresses.
    """
    while True:
        with socket.socket() as sock:
            sock.bind((f"{base}.1", 0))
            port = sock.getsockname()[1]
        if port < 60000:
            return port


def configuration(version: str) -> dict:
    """The demo's configuration under another version."""
    return {**CONFIGURATION, "edition": version}


def command(*arguments: str) -> tuple[int, str]:
    """An operator's command: its status, and what it printed."""
    result = CliRunner().invoke(build_app(), arguments)
    return result.exit_code, result.output


class ClusterCase(unittest.TestCase):
    """A case with a cluster that is not started yet."""

    def setUp(self) -> None:
        base = f"127.{40 + os.getpid() % 80}.{os.getpid() // 80 % 250}"
        self.cluster = DemoCluster(base, free_port(base), controllers=3, proxies=2)
        self.addCleanup(self.cluster.stop)
        self.until = time.monotonic() + WAIT_BOUND_S

    def put(self, version: str) -> bool:
        """Whether a configuration is acknowledged in time."""
        return self.cluster.put(configuration(version), self.until)


class WholeSystem(ClusterCase):
    def file_requests(self, count: int, proxies: list[Machine] | None = None) -> list[tuple[int | None, str]]:
        """Requests that must not run twice, all at once, at the proxies in turn.

        Returns:
            The status of each (None: no answer) and its id.
        """
        results = []

        def send(number: int) -> None:
            machines = proxies or self.cluster.of(PROXY_ROLE)
            machine = machines[number % len(machines)]
            id = f"{number:04}{os.urandom(6).hex()}"
            answer = self.cluster.ask(machine, f"/file/{number}", "POST", {"X-Try-Id": id}, b"a report")
            results.append((answer.status if answer else None, id))

        gevent.joinall([gevent.spawn(send, number) for number in range(count)])
        return results

    def times_run(self, id: str) -> int:
        """How often endpoints ran a request."""
        return sum(endpoint.run_counts.get(id, 0) for endpoint in self.cluster.endpoints)

    def serves(self, machine: Machine, path: str = "/look/1", **headers: str) -> bool:
        """Whether a proxy's request is answered by an endpoint."""
        answer = self.cluster.ask(machine, path, headers=headers)
        return answer is not None and answer.status == 200

    def serves_both(self, machine: Machine) -> bool:
        """Whether a proxy has endpoints for both services."""
        return self.serves(machine) and self.serves(machine, "/fetch/1", **KEY)

    def test_a_day_of_the_whole_system(self) -> None:
        cluster = self.cluster
        cluster.start()
        cluster.add_endpoints(desks=4, stores=2)
        self.assertTrue(cluster.put(CONFIGURATION, self.until))
        self.assertTrue(
            cluster.wait(
                lambda: all(self.serves_both(machine) for machine in cluster.of(PROXY_ROLE)), self.until
            )
        )
        with self.subTest("requests run once, and what is rejected has not run"):
            self.requests_run_once()
        with self.subTest("an endpoint that leaves gets nothing more once its departure is acknowledged"):
            self.a_departed_endpoint_gets_nothing()
        with self.subTest("a controller dies, and configurations are still accepted and read"):
            self.a_configuration_comes_into_force_after_a_loss()
        with self.subTest("what was read is answered at a SIGTERM"):
            self.a_proxy_answers_before_it_ends()
        with self.subTest("all are killed, and what was acknowledged stands on the disks"):
            self.the_disks_have_what_was_acknowledged()

    def requests_run_once(self) -> None:
        """More requests than find a place: each is answered after one run, or rejected before any."""
        answers = self.file_requests(12) + self.file_requests(60)
        self.assertLessEqual({status for status, _ in answers}, {200, 503})
        self.assertEqual({self.times_run(id) for status, id in answers if status == 200}, {1})
        self.assertLessEqual({self.times_run(id) for status, id in answers if status == 503}, {0})
        self.assertGreater(sum(status == 200 for status, _ in answers), 30)

    def a_departed_endpoint_gets_nothing(self) -> None:
        departed = self.cluster.endpoints[0]
        departed.leave()
        self.assertTrue(departed.sign_off())
        requests_before = len(departed.run_counts)
        self.assertTrue(all(status in (200, 503) for status, _ in self.file_requests(20)))
        self.assertEqual(len(departed.run_counts), requests_before)

    def a_configuration_comes_into_force_after_a_loss(self) -> None:
        self.cluster.of(CONTROLLER_ROLE)[0].end(signal.SIGKILL)
        self.assertTrue(self.put("00000002"))
        answers = self.file_requests(20)
        self.assertEqual({self.times_run(id) for status, id in answers if status == 200}, {1})
        self.assertGreater(sum(status == 200 for status, _ in answers), 10)

    def a_proxy_answers_before_it_ends(self) -> None:
        cluster = self.cluster
        proxy = cluster.of(PROXY_ROLE)[0]
        requests = gevent.spawn(self.file_requests, 4, [proxy])
        cluster.wait(lambda: any(endpoint.running for endpoint in cluster.endpoints), self.until)
        proxy.process.send_signal(signal.SIGTERM)
        answers = requests.get()
        self.assertEqual({status for status, _ in answers}, {200})
        self.assertTrue(cluster.wait(lambda: proxy.process.poll() is not None, self.until))
        self.assertEqual(proxy.process.returncode, 0)

    def the_disks_have_what_was_acknowledged(self) -> None:
        cluster = self.cluster
        for machine in cluster.machines:
            machine.end(signal.SIGKILL)
        disks = [read_tables(machine.store_folder, describe) for machine in cluster.of(CONTROLLER_ROLE)]
        stored = [row["holds"] for disk in disks for row in disk["register"] if row["key"] == "timetable"]
        self.assertGreaterEqual(sum("edition 00000002" in summary for summary in stored), 2)
        self.assertEqual({row["line"] for disk in disks for row in disk["endpoints"]}, {"desk", "store"})
        for machine in cluster.machines:
            machine.start()
        self.assertTrue(
            cluster.wait(
                lambda: any(self.serves(machine, "/fetch/1", **KEY) for machine in cluster.of(PROXY_ROLE)),
                self.until,
            )
        )
        with open(os.path.join(cluster.of(CONTROLLER_ROLE)[2].folder, "log"), encoding="utf-8") as log:
            messages = [json.loads(line) for line in log]
        self.assertIn("ready", [message.get("message_type") for message in messages])

    def test_a_folder_that_is_no_disk_is_told(self) -> None:
        with self.assertRaisesRegex(StoreError, "no such file"):
            read_tables(self.cluster.folder)


class VoterChanges(ClusterCase):
    """Four controllers, three of which vote."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = DemoCluster(self.cluster.base, self.cluster.port, controllers=4, proxies=1)
        self.addCleanup(self.cluster.stop)

    def peer_address(self, machine: Machine) -> str:
        """A machine's address for other processes of the system."""
        return f"{machine.ip}:{self.cluster.port + PEER_PORT}"

    def voters(self) -> tuple[int, set[str]] | None:
        """Epoch and names of the voters, as any controller that runs has them; None while two sets vote."""
        names = {
            parse_address(self.peer_address(machine)): machine.name
            for machine in self.cluster.of(CONTROLLER_ROLE)
        }
        for ip, port in self.cluster.control_addresses():
            voter_rows = PeerPool(("127.0.0.1", 0)).ask((ip, port + PEER_PORT), "show", "voters", 1.0)
            if voter_rows and all(row["set"] in ("votes", "") for row in voter_rows):
                addresses = [parse_address(row["address"]) for row in voter_rows if row["set"]]
                return voter_rows[0]["epoch"], {names[address] for address in addresses}
        return None

    def come_to_vote(self, *numbers: int) -> bool:
        """Whether these controllers come to be the voters, and nobody else."""
        expected = {f"refuge-{number}" for number in numbers}
        return self.cluster.wait(lambda: (self.voters() or (0, ()))[1] == expected, self.until)

    def exchange(self, asked: Machine, out: Machine, into: Machine) -> tuple[int, str]:
        """An operator's order to exchange a voter: its status, and what it printed."""
        addresses = [self.peer_address(machine) for machine in (asked, out, into)]
        return command("voters", "--at", addresses[0], "--out", addresses[1], "--in", addresses[2])

    def test_voters_hand_over_at_a_sigterm_and_by_an_order(self) -> None:
        """The messages `leaving`, `disk`, `sync` and `replace` over sockets, each followed by a loss."""
        cluster = self.cluster
        cluster.start()
        self.assertTrue(self.come_to_vote(0, 1, 2), "the fourth would put two of four into one zone")
        self.assertTrue(cluster.put(CONFIGURATION, self.until))
        first, _, third, spare = cluster.of(CONTROLLER_ROLE)

        with self.subTest("one that gets SIGTERM waits for its successor, then ends"):
            epoch_before, _ = self.voters()
            first.process.send_signal(signal.SIGTERM)
            self.assertTrue(cluster.wait(lambda: first.process.poll() is not None, self.until))
            self.assertEqual(first.process.returncode, 0)
            epoch, names = self.voters()
            self.assertEqual((epoch, names), (epoch_before + 2, {"refuge-1", "refuge-2", "refuge-3"}))

        with self.subTest("a loss right after it takes nothing"):
            third.end(signal.SIGKILL)
            self.assertTrue(self.put("00000002"))
            third.start()
            first.start()

        with self.subTest("an order is refused with its reason, or done"):
            self.assertEqual(self.exchange(spare, first, spare)[0], 1)
            self.assertIn("does not vote", self.exchange(spare, first, spare)[1])
            self.assertTrue(cluster.wait(lambda: self.exchange(third, spare, first)[0] == 0, self.until))
            self.assertTrue(self.come_to_vote(0, 1, 2))

        with self.subTest("the one that was left out and another are lost with their disks"):
            for machine in (spare, third):
                machine.end(signal.SIGKILL)
                shutil.rmtree(machine.store_folder)
            control = first.posts["control"]
            self.assertTrue(
                cluster.wait(lambda: '"00000002"' in command("get", "--at", control)[1], self.until)
            )
            self.assertTrue(self.put("00000003"))


if __name__ == "__main__":
    unittest.main()
