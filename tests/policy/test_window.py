"""Sums over a sliding window."""

import pytest

from flintreach.pilot.interface import SECOND
from flintreach.policy.window import SlidingSums


@pytest.mark.parametrize("span, expected", [(1, [12, 0, 0]), (3, [4, 4, 4]), (0, [12, 0, 0]), (9, [2, 2, 2])])
def test_a_line_of_sums_is_booked_over_its_span(span, expected):
    """Lines of a large fleet come by turns and span seconds; booked at once they read as bursts."""
    ring = SlidingSums(6, 1)
    ring.add(100 * SECOND, span * SECOND, 12)
    assert [ring.total((100 - back) * SECOND, 1)[0] for back in range(3)] == expected
