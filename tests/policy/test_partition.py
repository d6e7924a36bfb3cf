"""Partitions: which units a target may gain, and which pairs of targets are compared."""

import pytest

from flintreach.policy.partition import Partition


@pytest.mark.parametrize(
    "amount, held, permitted", [(0.4, 0, True), (1.1, 0, False), (0.4, 0.8, True), (0.8, 0.8, False)]
)
def test_a_hot_slice_is_not_placed_on_a_cold_server(amount, held, permitted):
    """A hot slice keeps growing.  Amounts are shares of the server's quota of 40."""
    partition = Partition(
        [set(), set()], [0, 0], [0, 40 * (held - 1)], [(9, 40 * amount)], 1, {1: 40}, [0, 0]
    )
    assert partition.may_gain(0, 1) == permitted


def test_cold_servers_that_may_gain_no_more_do_not_rank_as_the_emptiest():
    """Pairs are formed from three targets at each end; full cold servers would hide all those with room."""
    slow_start_quotas = dict.fromkeys(range(1, 6), 30)
    partition = Partition(
        [{0, 1, 2}, *[set() for _ in range(6)]],
        [0] * 7,
        [60, *[-30] * 5, -20],
        [(20, 20)] * 3 + [(0.0, 0.0)],
        0,
        slow_start_quotas,
        [0, 1, 1, 1, 1, 1, 0],
    )
    assert any(partition.swaps(x, y) for _, x, y in partition.pairs())


def test_the_pairs_contain_the_most_distant_one():
    memory, demand = [0, 9, -3, 4, -8, 1, 2], [5, -40, 7, 33, -2, 30, -39]
    partition = Partition([set()] * 7, memory, demand, [], 1, {}, [0] * 7)
    assert max(partition.pairs())[0] == max(
        abs(memory[x] - memory[y]) + abs(demand[x] - demand[y]) for x in range(7) for y in range(7)
    )
