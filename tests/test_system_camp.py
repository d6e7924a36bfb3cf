"""The programs of the whole system over loopback sockets: found, configured, served, killed, read back.

Endpoints are stand-ins in this process, whose ledgers tell what was run.  Waits end by what is seen; their
bounds only keep a broken text from hanging.
"""

import json
import os
import signal
import socket
import time
import unittest

import gevent

from flintreach.cairn.offline import rows
from flintreach.cairn.store import StoreError
from flintreach.standins.camp import TIMETABLE, Camp

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
        self.camp = Camp(base, free_port(base), refuges=3, bothies=2)
        self.addCleanup(self.camp.stop)
        self.until = time.monotonic() + BOUND

    def file(self, count, bothies=None):
        """Filings at the bothies in turn: (status, id) of each."""
        found = []

        def one(number):
            machines = bothies or self.camp.of("bothy")
            id = f"{number:04}{os.urandom(6).hex()}"
            answer = self.camp.ask(machines[number % len(machines)], f"/file/{number}", "POST",
                                   {"X-Try-Id": id}, b"a report")
            found.append((answer[0] if answer else None, id))

        gevent.joinall([gevent.spawn(one, number) for number in range(count)])
        return found

    def ran(self, id):
        return sum(endpoint.ran.get(id, 0) for endpoint in self.camp.endpoints)

    def serves(self, machine, path="/look/1", **headers):
        answer = self.camp.ask(machine, path, headers=headers)
        return answer is not None and answer[0] == 200

    def test_a_day_of_the_whole_system(self):
        camp = self.camp
        camp.start()
        camp.people(desks=4, stores=2)
        self.assertTrue(camp.put(TIMETABLE, self.until))
        key = {"X-Shard-Key": "40000"}
        self.assertTrue(camp.wait(lambda: all(
            self.serves(m) and self.serves(m, "/fetch/1", **key) for m in camp.of("bothy")), self.until))

        with self.subTest("filings run once, and what is refused has not run"):
            answers = self.file(12) + self.file(60)  # the second time there are more than find a place
            self.assertLessEqual({status for status, _ in answers}, {200, 503})
            self.assertEqual({self.ran(id) for status, id in answers if status == 200}, {1})
            self.assertLessEqual({self.ran(id) for status, id in answers if status == 503}, {0})
            self.assertGreater(sum(status == 200 for status, _ in answers), 30)

        with self.subTest("an endpoint that leaves gets nothing more once it has signed off"):
            gone = camp.endpoints[0]
            gone.leave()
            self.assertTrue(gone.sign_off())
            before = len(gone.ran)
            self.assertTrue(all(status in (200, 503) for status, _ in self.file(20)))
            self.assertEqual(len(gone.ran), before)

        with self.subTest("a refuge dies, and what is put is still taken and read"):
            camp.of("refuge")[0].end(signal.SIGKILL)
            self.assertTrue(camp.put({**TIMETABLE, "edition": "00000002"}, self.until))
            answers = self.file(20)
            self.assertEqual({self.ran(id) for status, id in answers if status == 200}, {1})
            self.assertGreater(sum(status == 200 for status, _ in answers), 10)

        with self.subTest("what was read is answered at a SIGTERM"):
            bothy = camp.of("bothy")[0]
            slow = gevent.spawn(self.file, 4, [bothy])
            camp.wait(lambda: any(e.running for e in camp.endpoints), self.until)
            bothy.process.send_signal(signal.SIGTERM)
            answers = slow.get()
            self.assertEqual({status for status, _ in answers}, {200})
            self.assertTrue(camp.wait(lambda: bothy.process.poll() is not None, self.until))
            self.assertEqual(bothy.process.returncode, 0)

        with self.subTest("all are killed, and what was acknowledged stands on the disks"):
            for machine in camp.machines:
                machine.end(signal.SIGKILL)
            disks = [rows(os.path.join(machine.folder, "disk")) for machine in camp.of("refuge")]
            held = [row["holds"] for disk in disks for row in disk["register"] if row["key"] == "timetable"]
            self.assertGreaterEqual(sum("edition 00000002" in holds for holds in held), 2)
            self.assertEqual({row["line"] for disk in disks for row in disk["endpoints"]}, {"desk", "store"})
            for machine in camp.machines:
                machine.start()
            self.assertTrue(camp.wait(lambda: any(self.serves(m, "/fetch/1", **key)
                                                  for m in camp.of("bothy")), self.until))
            with open(os.path.join(camp.of("refuge")[2].folder, "log"), encoding="utf-8") as log:
                told = [json.loads(line) for line in log]
            self.assertIn("ready", [line.get("message_type") for line in told])

    def test_a_folder_that_is_no_disk_is_told(self):
        with self.assertRaisesRegex(StoreError, "no such file"):
            rows(self.camp.folder)


if __name__ == "__main__":
    unittest.main()
