"""Log lines of a start and of an end, and exceptions that nothing handles."""

import sys
import unittest
from unittest import mock

import gevent

from flintreach.common import lifecycle
from flintreach.common.lifecycle import StartLog, StartStage, UnhandledErrors, run_to_end
from flintreach.common.resources import open_descriptors, resident_bytes


class Lifecycle(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[tuple[str, dict]] = []
        patch = mock.patch.object(
            lifecycle, "log_event", lambda event, /, **fields: self.lines.append((event, fields))
        )
        patch.start()
        self.addCleanup(patch.stop)

    def test_a_stage_is_logged_when_it_or_its_reason_changes(self) -> None:
        log = StartLog()
        for disks in (1, 1, 2, 2):
            log.enter(StartStage.WAITING_FOR_DISKS, disks=disks)
        log.enter(StartStage.WAITING_FOR_VOTERS)
        log.enter(StartStage.WAITING_FOR_DISKS, disks=2)
        self.assertEqual(
            [(fields["stage"], fields.get("disks")) for _, fields in self.lines],
            [
                ("waiting for disks", 1),
                ("waiting for disks", 2),
                ("waiting for the voters", None),
                ("waiting for disks", 2),
            ],
        )

    def test_an_exception_that_ends_a_greenlet_is_counted_and_logged_with_its_place(self) -> None:
        hub = gevent.get_hub()
        errors = UnhandledErrors()
        errors.install()
        self.addCleanup(vars(hub).pop, "print_exception")

        def fail() -> None:
            raise LookupError("no such thing")

        for _ in range(11):
            gevent.spawn(fail).join()
        self.assertEqual(errors.total, 11)
        self.assertEqual([fields["times"] for _, fields in self.lines], [1, 10])
        event, fields = self.lines[0]
        self.assertEqual((event, fields["error"]), ("unhandled_error", "LookupError: no such thing"))
        self.assertIn("in fail", fields["trace"])

    def test_an_exception_that_ends_the_program_is_logged_and_gives_status_1(self) -> None:
        def fail() -> int:
            raise OSError("disk on fire")

        self.assertEqual(run_to_end(fail), 1)
        event, fields = self.lines[0]
        self.assertEqual((event, fields["error"]), ("ended", "OSError: disk on fire"))
        self.assertEqual(run_to_end(lambda: 0), 0)
        self.assertEqual(len(self.lines), 1)

    def test_memory_and_descriptors_of_this_process_are_read(self) -> None:
        before = open_descriptors()
        with open(sys.executable, "rb"):
            self.assertEqual(open_descriptors(), before + 1)
        self.assertGreater(resident_bytes(), 1 << 20)


if __name__ == "__main__":
    unittest.main()
