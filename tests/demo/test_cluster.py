"""The programs of the whole system over loopback sockets: found, configured, served, killed, read back.

Endpoints are stand-ins in this process, whose ledgers tell what was run.  Waits end by what is seen; their
bounds only keep a broken text from hanging.
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

from flintreach.__main__ import commands
from flintreach.cli.register_values import describe
from flintreach.config.settings import place
from flintreach.consensus.inspection import rows
from flintreach.consensus.store import StoreError
from flintreach.demo.cluster import TIMETABLE, DemoCluster
from flintreach.transport.peer_pool import PeerPool

BOUND = 120.0


def free_port(base: str) -> int:
    """The first of six ports that nobody uses at some addresses of a base."""
    while True:
        with socket.socket() as sock:
            sock.bind((f"{base}.1", 0))
            port = sock.getsockname()[1]
        if port < 60000:
            return port


class Whole(unittest.TestCase):
    def setUp(self):
        base = f"127.{40 + os.getpid() % 80}.{os.getpid() // 80 % 250}"
        self.cluster = DemoCluster(base, free_port(base), controllers=3, proxies=2)
        self.addCleanup(self.cluster.stop)
        self.until = time.monotonic() + BOUND

    def file(self, count, proxies=None):
        """Filings at the proxies in turn: (status, id) of each."""
        found = []

        def one(number):
            machines = proxies or self.cluster.of("proxy")
            id = f"{number:04}{os.urandom(6).hex()}"
            answer = self.cluster.ask(
                machines[number % len(machines)], f"/file/{number}", "POST", {"X-Try-Id": id}, b"a report"
            )
            found.append((answer[0] if answer else None, id))

        gevent.joinall([gevent.spawn(one, number) for number in range(count)])
        return found

    def ran(self, id):
        return sum(endpoint.ran.get(id, 0) for endpoint in self.cluster.endpoints)

    def serves(self, machine, path="/look/1", **headers):
        answer = self.cluster.ask(machine, path, headers=headers)
        return answer is not None and answer[0] == 200

    def test_a_day_of_the_whole_system(self):
        cluster = self.cluster
        cluster.start()
        cluster.people(desks=4, stores=2)
        self.assertTrue(cluster.put(TIMETABLE, self.until))
        key = {"X-Shard-Key": "40000"}
        self.assertTrue(
            cluster.wait(
                lambda: all(
                    self.serves(m) and self.serves(m, "/fetch/1", **key) for m in cluster.of("proxy")
                ),
                self.until,
            )
        )

        with self.subTest("filings run once, and what is refused has not run"):
            answers = self.file(12) + self.file(60)  # the second time there are more than find a place
            self.assertLessEqual({status for status, _ in answers}, {200, 503})
            self.assertEqual({self.ran(id) for status, id in answers if status == 200}, {1})
            self.assertLessEqual({self.ran(id) for status, id in answers if status == 503}, {0})
            self.assertGreater(sum(status == 200 for status, _ in answers), 30)

        with self.subTest("an endpoint that leaves gets nothing more once it has signed off"):
            gone = cluster.endpoints[0]
            gone.leave()
            self.assertTrue(gone.sign_off())
            before = len(gone.ran)
            self.assertTrue(all(status in (200, 503) for status, _ in self.file(20)))
            self.assertEqual(len(gone.ran), before)

        with self.subTest("a refuge dies, and what is put is still taken and read"):
            cluster.of("refuge")[0].end(signal.SIGKILL)
            self.assertTrue(cluster.put({**TIMETABLE, "edition": "00000002"}, self.until))
            answers = self.file(20)
            self.assertEqual({self.ran(id) for status, id in answers if status == 200}, {1})
            self.assertGreater(sum(status == 200 for status, _ in answers), 10)

        with self.subTest("what was read is answered at a SIGTERM"):
            proxy = cluster.of("proxy")[0]
            slow = gevent.spawn(self.file, 4, [proxy])
            cluster.wait(lambda: any(e.running for e in cluster.endpoints), self.until)
            proxy.process.send_signal(signal.SIGTERM)
            answers = slow.get()
            self.assertEqual({status for status, _ in answers}, {200})
            self.assertTrue(cluster.wait(lambda: proxy.process.poll() is not None, self.until))
            self.assertEqual(proxy.process.returncode, 0)

        with self.subTest("all are killed, and what was acknowledged stands on the disks"):
            for machine in cluster.machines:
                machine.end(signal.SIGKILL)
            disks = [rows(os.path.join(machine.folder, "disk"), describe) for machine in cluster.of("refuge")]
            held = [row["holds"] for disk in disks for row in disk["register"] if row["key"] == "timetable"]
            self.assertGreaterEqual(sum("edition 00000002" in holds for holds in held), 2)
            self.assertEqual({row["line"] for disk in disks for row in disk["endpoints"]}, {"desk", "store"})
            for machine in cluster.machines:
                machine.start()
            self.assertTrue(
                cluster.wait(
                    lambda: any(self.serves(m, "/fetch/1", **key) for m in cluster.of("proxy")), self.until
                )
            )
            with open(os.path.join(cluster.of("refuge")[2].folder, "log"), encoding="utf-8") as log:
                told = [json.loads(line) for line in log]
            self.assertIn("ready", [line.get("message_type") for line in told])

    def voters(self):
        """Who votes, by the view of any refuge that runs: (epoch, names), None while two sets stand."""
        names = {(m.ip, self.cluster.port + 4): m.name for m in self.cluster.of("refuge")}
        for ip, port in self.cluster.control():
            rows = PeerPool(("127.0.0.1", 0)).ask((ip, port + 4), "show", "voters", 1.0)
            if rows and all(row["set"] in ("votes", "") for row in rows):
                return rows[0]["epoch"], {names[place(row["address"])] for row in rows if row["set"]}
        return None

    def vote(self, *numbers):
        """Whether these refuges come to be the voters, and nobody else."""
        wanted = {f"refuge-{number}" for number in numbers}
        return self.cluster.wait(lambda: (self.voters() or (0, ()))[1] == wanted, self.until)

    def desk(self, *words):
        """An operator's command: its status, and what it printed."""
        said = CliRunner().invoke(commands(), words)
        return said.exit_code, said.output

    def test_voters_hand_over_at_a_sigterm_and_by_an_order(self):
        """The words `leaving`, `disk`, `sync` and `replace` over sockets, each followed by a loss."""
        self.cluster = cluster = DemoCluster(self.cluster.base, self.cluster.port, controllers=4, proxies=1)
        self.addCleanup(cluster.stop)
        cluster.start()
        self.assertTrue(self.vote(0, 1, 2), "the fourth would put two of four into one zone")
        self.assertTrue(cluster.put(TIMETABLE, self.until))
        first, _, third, spare = cluster.of("refuge")

        def exchange(at, out, into):
            inner = [f"{machine.ip}:{cluster.port + 4}" for machine in (at, out, into)]
            return self.desk("voters", "--at", inner[0], "--out", inner[1], "--in", inner[2])

        with self.subTest("one that gets SIGTERM waits for its successor, then ends"):
            began, _ = self.voters()
            first.process.send_signal(signal.SIGTERM)
            self.assertTrue(cluster.wait(lambda: first.process.poll() is not None, self.until))
            self.assertEqual(first.process.returncode, 0)
            epoch, names = self.voters()
            self.assertEqual((epoch, names), (began + 2, {"refuge-1", "refuge-2", "refuge-3"}))

        with self.subTest("a loss right after it takes nothing"):
            third.end(signal.SIGKILL)
            self.assertTrue(cluster.put({**TIMETABLE, "edition": "00000002"}, self.until))
            third.start()
            first.start()

        with self.subTest("an order is refused with its reason, or done"):
            self.assertEqual(exchange(spare, first, spare)[0], 1)
            self.assertIn("does not vote", exchange(spare, first, spare)[1])
            self.assertTrue(cluster.wait(lambda: exchange(third, spare, first)[0] == 0, self.until))
            self.assertTrue(self.vote(0, 1, 2))

        with self.subTest("the one that was left out and another are lost with their disks"):
            for machine in (spare, third):
                machine.end(signal.SIGKILL)
                shutil.rmtree(os.path.join(machine.folder, "disk"))
            read = lambda: self.desk("get", "--at", first.posts["control"])[1]  # noqa: E731
            self.assertTrue(cluster.wait(lambda: '"00000002"' in read(), self.until))
            self.assertTrue(cluster.put({**TIMETABLE, "edition": "00000003"}, self.until))

    def test_a_folder_that_is_no_disk_is_told(self):
        with self.assertRaisesRegex(StoreError, "no such file"):
            rows(self.cluster.folder)


if __name__ == "__main__":
    unittest.main()
