"""Admission of large responses to a slow link."""

import random
import time
import unittest
from functools import partial

from flintreach.config.settings import TimingBounds
from flintreach.dissemination.load_aggregate import LoadAggregate
from flintreach.proxy.forwarding import Forwarder
from flintreach.proxy.link_admission import DEFAULT_LARGE_ANSWER_BYTES, LinkAdmission
from flintreach.proxy.metrics import Metrics
from flintreach.proxy.request import Request
from tests.proxy.support import configuration, routing_view


class Admission(unittest.TestCase):
    def test_large_responses_are_admitted_in_order_within_the_window(self) -> None:
        draw = random.Random(4)
        admission = LinkAdmission(2.6)
        woken = []
        admitted = []
        waiting = []
        admission.observe("big", 90000)
        admission.observe("small", 1500)
        self.assertEqual(admission.expected_size("small", False), 0)
        for number in range(2000):
            if draw.random() < 0.55:
                size = admission.expected_size("big", True)
                wake = partial(woken.append, number)
                if admission.acquire(size, wake):
                    admitted.append(size)
                else:
                    waiting.append((number, size, wake))
            elif admitted and draw.random() < 0.8:
                admission.release(admitted.pop())
            elif waiting and draw.random() < 0.3:
                number, size, wake = waiting.pop(draw.randrange(len(waiting)))
                self.assertTrue(admission.cancel(wake))
            while woken:
                first = waiting.pop(0)
                self.assertEqual(first[0], woken.pop(0))
                admitted.append(first[1])
            self.assertEqual(admission.in_flight_bytes, sum(admitted))
            self.assertTrue(admission.in_flight_bytes <= admission.window_bytes or len(admitted) == 1)
        self.assertFalse(admission.cancel(lambda: None))

    def test_a_fast_link_or_one_of_unknown_capacity_admits_all(self) -> None:
        self.assertEqual(LinkAdmission(0).expected_size("big", True), 0)
        wide = LinkAdmission(1000.0)
        self.assertTrue(all(wide.acquire(wide.expected_size("big", True), None) for _ in range(200)))

    def test_a_request_that_is_not_admitted_in_time_is_rejected_with_retry_after(self) -> None:
        view, _, _ = routing_view(configuration("outbound_post"), {"e0": "n"})
        forwarder = Forwarder(view, TimingBounds(), Metrics(), LoadAggregate(), mbps=0.01)
        # Occupies the whole window.
        self.assertTrue(forwarder.link_admission.acquire(DEFAULT_LARGE_ANSWER_BYTES, None))
        request = Request("GET", "/x/1", [], headers_by_name={"host": "a"}, received_at=time.monotonic_ns())
        answer = forwarder.forward(request)
        self.assertEqual((answer.status, answer.headers), (503, [("Retry-After", "0.1")]))
        self.assertFalse(forwarder.link_admission.queue)


if __name__ == "__main__":
    unittest.main()
