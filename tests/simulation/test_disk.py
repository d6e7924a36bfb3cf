"""The simulated disk, whatever ends its process."""

import unittest

from flintreach.simulation.disk import Disk, DiskFault, Store
from tests.simulation.common import World


class Disks(unittest.TestCase):
    def test_a_disk_has_what_was_acknowledged_whatever_ends_its_process(self):
        kept, lost = 0, 0
        for seed in range(40):
            world, told = World(seed), []
            disk = Disk(world.sim)
            store = Store(world.a, disk, "a", True)

            def write(store=store, told=told):
                for n in range(50):
                    if store.persist({}, {f"f{n}": "x"}):
                        told.append(f"f{n}")

            world.a.runtime.spawn(write)
            world.run(0.03)
            world.a.end(notify_peers=False)
            store.end()
            world.run(1)
            there = {name for name in disk.facts if name[0] == "f" and name != "format"}
            self.assertLessEqual(set(told), there)
            self.assertLessEqual(len(there), len(told) + 1)
            kept, lost = kept + (len(there) > len(told)), lost + (len(there) == len(told))
            disk.fault = DiskFault.FULL
            again = Store(world.b, disk, "a", False)
            world.b.runtime.spawn(lambda again=again, told=told: told.append(again.persist({}, {"g": "x"})))
            world.run(1)
            self.assertIs(told[-1], False)
            self.assertNotIn("g", disk.facts)
        self.assertTrue(kept and lost, "what was under way is there or not, by lot")


if __name__ == "__main__":
    unittest.main()
