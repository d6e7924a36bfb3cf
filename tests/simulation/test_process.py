"""Waits and locks of simulated tasks."""

import unittest

from tests.simulation.common import World


class Locks(unittest.TestCase):
    def test_a_lock_goes_to_who_waits_longest_and_is_reentrant(self):
        world, order = World(), []
        lock = world.a.runtime.lock()

        def hold(name: str, timeout: float) -> None:
            if lock.acquire(timeout=timeout):
                with lock:
                    order.append(name)
                    world.a.runtime.sleep(1.0)
                lock.release()
            else:
                order.append(f"not {name}")

        for name, timeout in (("first", 5.0), ("second", 0.5), ("third", 5.0)):
            world.a.runtime.spawn(hold, name, timeout)
        world.run(4)
        self.assertEqual(order, ["first", "not second", "third"])


if __name__ == "__main__":
    unittest.main()
