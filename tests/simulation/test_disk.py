"""Durability of simulated disks when their process ends."""

import unittest

from flintreach.simulation.disk import Disk, DiskFault, Store
from tests.simulation.common import ProcessPair


class Disks(unittest.TestCase):
    def test_acknowledged_writes_survive_the_end_of_the_process(self):
        survived, lost = 0, 0
        for seed in range(40):
            pair, acknowledged = ProcessPair(seed), []
            disk = Disk(pair.sim)
            store = Store(pair.a, disk, "a", True)

            def write(store=store, acknowledged=acknowledged):
                for n in range(50):
                    if store.persist({}, {f"f{n}": "x"}):
                        acknowledged.append(f"f{n}")

            pair.a.runtime.spawn(write)
            pair.run(0.03)
            pair.a.end(notify_peers=False)
            store.end()
            pair.run(1)
            stored = {name for name in disk.facts if name[0] == "f" and name != "format"}
            self.assertLessEqual(set(acknowledged), stored)
            self.assertLessEqual(len(stored), len(acknowledged) + 1)
            survived += len(stored) > len(acknowledged)
            lost += len(stored) == len(acknowledged)
            disk.fault = DiskFault.FULL
            restarted = Store(pair.b, disk, "a", False)
            results = []
            pair.b.runtime.spawn(lambda s=restarted, r=results: r.append(s.persist({}, {"g": "x"})))
            pair.run(1)
            self.assertIs(results[-1], False)
            self.assertNotIn("g", disk.facts)
        self.assertTrue(survived and lost, "a commit in progress must survive with some seeds only")


if __name__ == "__main__":
    unittest.main()
