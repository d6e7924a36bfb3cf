"""Tests of `MemoryBudget`."""

import unittest

import gevent

from flintreach.common.memory_budget import MemoryBudget, Reservation

SHORT_WAIT_S = 0.02


class Budgets(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = MemoryBudget(100)

    def reserved(self, size: int) -> Reservation:
        reservation = Reservation(self.budget)
        self.assertTrue(reservation.grow_to(size, 0))
        return reservation

    def test_a_reservation_beyond_the_capacity_waits_until_memory_is_released(self) -> None:
        first = self.reserved(60)
        second = Reservation(self.budget)
        self.assertFalse(second.grow_to(60, SHORT_WAIT_S))
        waiting = gevent.spawn(second.grow_to, 60)
        gevent.sleep(0)
        first.release()
        self.assertTrue(waiting.get(timeout=1))
        self.assertEqual(self.budget.used_bytes, 60)

    def test_a_single_reservation_may_exceed_the_capacity(self) -> None:
        alone = self.reserved(150)
        self.assertFalse(Reservation(self.budget).grow_to(1, 0))
        alone.release()
        self.assertEqual(self.budget.used_bytes, 0)

    def test_waiting_reservations_are_granted_in_order_of_arrival(self) -> None:
        first = self.reserved(90)
        long = gevent.spawn(Reservation(self.budget).grow_to, 80)
        gevent.sleep(0)
        short = Reservation(self.budget)
        self.assertFalse(short.grow_to(10, SHORT_WAIT_S))  # fits, and would keep the long one waiting
        first.release()
        self.assertTrue(long.get(timeout=1))

    def test_one_that_holds_memory_grows_before_those_that_wait_for_it(self) -> None:
        growing = self.reserved(50)
        gevent.spawn(Reservation(self.budget).grow_to, 70)
        gevent.sleep(0)
        self.assertTrue(growing.grow_to(120, 0))

    def test_one_that_gives_up_lets_those_behind_it_in(self) -> None:
        held = self.reserved(50)
        gevent.spawn(Reservation(self.budget).grow_to, 80, SHORT_WAIT_S)
        gevent.sleep(0)
        self.assertTrue(Reservation(self.budget).grow_to(20, 1))
        held.release()

    def test_a_dropped_or_cancelled_reservation_is_released(self) -> None:
        reservation = self.reserved(100)
        waiting = gevent.spawn(Reservation(self.budget).grow_to, 50)
        gevent.sleep(0)
        waiting.kill()
        self.assertFalse(self.budget.waiting)
        del reservation
        self.assertEqual(self.budget.used_bytes, 0)


if __name__ == "__main__":
    unittest.main()
