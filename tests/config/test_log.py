"""Log of the programs: fields of an event are independent of the parameter names of `log_event`.

A field named like the first parameter was a TypeError, which stopped a controller from learning the voters
after a forced recovery: it logs `voters_forced` with the field `what`.
"""

import unittest
from unittest import mock

from flintreach.common import log


class EventFields(unittest.TestCase):
    def test_an_event_may_have_a_field_of_any_name(self) -> None:
        sink = mock.Mock()
        with mock.patch.object(log, "sink", sink):
            log.log_event("voters_forced", what="epoch 3", event_type="recovery")
        sink.assert_called_once_with("voters_forced", {"what": "epoch 3", "event_type": "recovery"})

    def test_fields_are_written_beside_the_type_of_the_event(self) -> None:
        with mock.patch.object(log, "log_message") as log_message:
            log.write("voters_forced", {"what": "epoch 3", "event_type": "recovery"})
        log_message.assert_called_once_with(
            message_type="voters_forced", what="epoch 3", event_type="recovery"
        )


if __name__ == "__main__":
    unittest.main()
