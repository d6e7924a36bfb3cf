"""Loops that last as long as a process go on after an exception."""

import unittest
from unittest import mock

import gevent

from flintreach.transport import runtime
from flintreach.transport.runtime import Runtime


class Loops(unittest.TestCase):
    def test_a_loop_goes_on_after_an_exception_that_is_reported(self) -> None:
        reported = []
        calls = []

        def loop() -> None:
            calls.append(len(calls))
            if len(calls) < 3:
                raise ZeroDivisionError

        with (
            mock.patch.object(runtime, "LOOP_RESTART_DELAY_S", 0.0),
            mock.patch.object(gevent.get_hub(), "print_exception", lambda *error: reported.append(error)),
        ):
            Runtime().spawn_loop(loop)
            for _ in range(20):
                gevent.sleep(0)
        self.assertEqual(calls, [0, 1, 2])
        self.assertEqual(len(reported), 2)


if __name__ == "__main__":
    unittest.main()
