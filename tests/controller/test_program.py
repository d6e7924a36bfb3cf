"""Tests of `ControllerProcess`."""

import unittest
from types import SimpleNamespace

from gevent.event import Event

from flintreach.controller.program import ControllerProcess


class StartOfServing(unittest.TestCase):
    def test_any_exception_ends_the_process(self) -> None:
        """Guards against a controller that runs on without its listeners."""
        for error in (OSError("address in use"), AttributeError("limits")):

            def fail(error: Exception = error) -> None:
                raise error

            process = SimpleNamespace(start_listeners=fail, stopping=Event(), start_error=None)
            ControllerProcess.start_serving(process)
            self.assertTrue(process.stopping.is_set())
            self.assertIs(process.start_error, error)


if __name__ == "__main__":
    unittest.main()
