"""Partitions by cases."""

import pytest

from flintreach.policy.partition import Partition


@pytest.mark.parametrize(
    "amount, held, welcome", [(0.4, 0, True), (1.1, 0, False), (0.4, 0.8, True), (0.8, 0.8, False)]
)
def test_a_hot_slice_is_not_put_on_a_cold_server(amount, held, welcome):
    """It fits alone, but what is hot grows on: parts are of the server's quota of 40."""
    part = Partition([set(), set()], [0, 0], [0, 40 * (held - 1)], [(9, 40 * amount)], 1, {1: 40}, [0, 0])
    assert part.may_gain(0, 1) == welcome


def test_cold_servers_that_gain_no_more_do_not_stand_for_the_emptiest():
    """Widest pairs are taken from three at each end: as many full cold servers hid all that had room."""
    tender = dict.fromkeys(range(1, 6), 30)
    part = Partition(
        [{0, 1, 2}, *[set() for _ in range(6)]],
        [0] * 7,
        [60, *[-30] * 5, -20],
        [(20, 20)] * 3 + [(0.0, 0.0)],
        0,
        tender,
        [0, 1, 1, 1, 1, 1, 0],
    )
    assert any(part.swaps(x, y) for _, x, y in part.pairs())


def test_the_widest_pair_is_found_without_a_look_at_each():
    memory, demand = [0, 9, -3, 4, -8, 1, 2], [5, -40, 7, 33, -2, 30, -39]
    part = Partition([set()] * 7, memory, demand, [], 1, {}, [0] * 7)
    assert max(part.pairs())[0] == max(
        abs(memory[x] - memory[y]) + abs(demand[x] - demand[y]) for x in range(7) for y in range(7)
    )
