"""Sums over a sliding time window."""

import pytest

from flintreach.pilot.interface import SECOND
from flintreach.policy.window import SlidingSums


@pytest.mark.parametrize("span, expected", [(1, [12, 0, 0]), (3, [4, 4, 4]), (0, [12, 0, 0]), (9, [2, 2, 2])])
def test_values_are_spread_over_their_span(span, expected):
    """Reports of a large fleet come in turns and cover several seconds; unspread they look like bursts."""
    sums = SlidingSums(6, 1)
    sums.add(100 * SECOND, span * SECOND, 12)
    assert [sums.total((100 - back) * SECOND, 1)[0] for back in range(3)] == expected
