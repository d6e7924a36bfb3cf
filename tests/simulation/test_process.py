"""Locks of simulated tasks."""

import unittest

from tests.simulation.common import ProcessPair


class Locks(unittest.TestCase):
    def test_a_lock_is_reentrant_and_granted_in_fifo_order(self):
        pair, order = ProcessPair(), []
        lock = pair.a.runtime.lock()

        def hold(name: str, timeout: float) -> None:
            if lock.acquire(timeout=timeout):
                with lock:
                    order.append(name)
                    pair.a.runtime.sleep(1.0)
                lock.release()
            else:
                order.append(f"{name} timed out")

        for name, timeout in (("first", 5.0), ("second", 0.5), ("third", 5.0)):
            pair.a.runtime.spawn(hold, name, timeout)
        pair.run(4)
        self.assertEqual(order, ["first", "second timed out", "third"])


if __name__ == "__main__":
    unittest.main()
