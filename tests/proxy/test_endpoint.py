"""Endpoint state derived from responses and failures."""

import unittest
from typing import Any

from flintreach.proxy.endpoint import NS_PER_S, EndpointView


def endpoint_view(**fields: Any) -> EndpointView:
    """Returns an endpoint with a concurrency limit of 2."""
    return EndpointView("e", "desk", "10.0.0.1:80", "a", "r", 2, **fields)


class EndpointViews(unittest.TestCase):
    def test_an_endpoint_that_responds_is_healthy_without_heartbeats(self) -> None:
        """Guards against excluding endpoints whose heartbeats reach only one controller.

        This once marked a third of a service as silent although the endpoints were responding.
        """
        endpoint = endpoint_view(state="silent")
        now = 10 * NS_PER_S
        self.assertFalse(endpoint.is_healthy(now))
        endpoint.begin_request(now)
        endpoint.end_request(True, now)
        self.assertTrue(endpoint.is_healthy(now + NS_PER_S))
        self.assertFalse(endpoint.is_healthy(now + 3 * NS_PER_S))

    def test_a_sole_owner_is_not_ejected_for_long(self) -> None:
        endpoint = endpoint_view()
        for _ in range(6):
            endpoint.record_failure(0, sole_owner=True)
        self.assertLessEqual(endpoint.ejected_until, NS_PER_S // 4)
        endpoint.record_failure(0)
        self.assertGreater(endpoint.ejected_until, 2 * NS_PER_S)


if __name__ == "__main__":
    unittest.main()
