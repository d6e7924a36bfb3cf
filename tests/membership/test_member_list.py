"""Tests of the SWIM member list: joining, failure detection, refutation, and anti-entropy."""

import random
import unittest
from collections.abc import Iterable
from typing import Any

import msgspec

from flintreach.common.keys import ROLE_PROXY
from flintreach.membership.member_list import (
    ALIVE,
    DEAD,
    DIGEST_BUCKETS,
    MS,
    SUSPECTED,
    Member,
    MemberList,
    digest_bucket,
)

SECOND = 1000 * MS

encode = msgspec.msgpack.encode
decode = msgspec.msgpack.decode


def proxy(name: str, ip: str, incarnation: int = 1) -> Member:
    return Member(name, ROLE_PROXY, ip, 7, "z", "r", incarnation=incarnation)


def select_first(below: int) -> int:
    return 0


def make_member_list(name: str, others: Iterable[str]) -> MemberList:
    """A member list with other members, whose ip is `ip-` followed by their name."""
    member_list = MemberList(proxy(name, f"ip-{name}"), select_first)
    member_list.merge([proxy(other, f"ip-{other}").row() for other in others], 0)
    return member_list


def join_through(joiner: MemberList, peer: MemberList, now: int = 0) -> list[list[Any]]:
    """Join through a peer, and return the rows that it sends back."""
    ((_, message),) = joiner.join([peer.local_member.address])
    answers = peer.receive(joiner.local_member.address, decode(encode(message)), now)
    for _, answer in answers:
        joiner.receive(peer.local_member.address, answer, now)
    return [row for _, answer in answers for row in answer[3]]


def simulate(
    down: Iterable[tuple[str, int]] = (), until_ms: int = 8000, size: int = 5, seed: int = 1
) -> dict[str, MemberList]:
    """Simulate members n0, n1, ... in steps of 100 ms.

    Args:
        down: names of failing members, and the millisecond at which each fails.
        until_ms: duration of the simulation.
        size: number of members.
        seed: seed of the random number generator.

    Returns:
        The member list of each process at the end, by name.
    """
    rng = random.Random(seed)
    names = [f"n{i}" for i in range(size)]
    lists = {name: MemberList(proxy(name, f"10.0.0.{i}"), rng.randrange) for i, name in enumerate(names)}
    name_at = {member_list.local_member.address: name for name, member_list in lists.items()}
    in_flight = [
        (target, name, message)
        for name, member_list in lists.items()
        for target, message in member_list.join([lists["n0"].local_member.address])
    ]
    for at_ms in range(0, until_ms, 100):
        dead = {name for name, since in down if at_ms >= since}
        now = at_ms * MS
        arrived = in_flight
        in_flight = []
        for address, sender, message in arrived:
            target = name_at[tuple(address)]
            if target not in dead and sender not in dead:
                answers = lists[target].receive(lists[sender].local_member.address, message, now)
                in_flight += [(out, target, answer) for out, answer in answers]
        for name, member_list in lists.items():
            if name not in dead:
                in_flight += [(out, name, message) for out, message in member_list.tick(now)]
    return lists


class Detection(unittest.TestCase):
    def test_members_discover_each_other_and_detect_a_failed_one(self) -> None:
        lists = simulate(down=[("n3", 3000)], until_ms=9000)
        for name, member_list in lists.items():
            if name != "n3":
                states = {member.name: member.state for member in member_list.members.values()}
                self.assertEqual(states, {"n0": 0, "n1": 0, "n2": 0, "n3": DEAD, "n4": 0}, name)

    def test_a_suspected_member_refutes_the_suspicion(self) -> None:
        member_list = MemberList(proxy("a", "10.0.0.1", incarnation=5), select_first)
        member_list.merge([["a", "bothy", "10.0.0.1", 7, "z", "r", {}, False, False, 5, SUSPECTED]], 0)
        self.assertEqual((member_list.local_member.incarnation, member_list.local_member.state), (6, ALIVE))


class AntiEntropy(unittest.TestCase):
    def test_a_join_transfers_only_the_buckets_that_differ(self) -> None:
        """Processes join through the seeds every three seconds even when nothing changes.

        Sending whole lists each time would make that traffic grow with the square of the group size.
        """
        names = [f"m{number:03}" for number in range(200)]
        joiner = make_member_list("m000", names)
        peer = make_member_list("m001", names)
        self.assertEqual(join_through(joiner, peer), [])
        self.assertEqual(len(joiner.join([peer.local_member.address])[0][1][-1]), 8 * DIGEST_BUCKETS)
        gone = peer.members["m077"]
        gone.state = DEAD
        peer.record_change("m077", 1)
        rows = join_through(joiner, peer)
        self.assertEqual({digest_bucket(row[0]) for row in rows}, {digest_bucket("m077")})
        self.assertLess(len(rows), 20)
        self.assertEqual(joiner.members["m077"].state, DEAD)
        self.assertEqual(join_through(joiner, peer), [])
        fresh = make_member_list("m777", [])
        self.assertGreaterEqual(len(join_through(fresh, peer)), 199)
        self.assertEqual({*fresh.members} - {"m777"}, {*names} - {"m077"})
        with self.assertRaises(ValueError):
            peer.differing_rows(b"short")

    def test_dead_members_are_removed_although_peers_still_send_them(self) -> None:
        """Peers remove a dead member at different times, and could reintroduce it to each other forever."""
        first = make_member_list("a", ["b", "x"])
        second = make_member_list("b", ["a", "x"])
        for member_list, at_s in ((first, 0), (second, 60)):
            member_list.members["x"].state = DEAD
            member_list.record_change("x", at_s * SECOND)
        for at_s in range(0, 300, 3):
            now = at_s * SECOND
            for member_list in (first, second):
                member_list.changed_ns.update(a=0, b=0)
                member_list.tick(now)
            first.merge(decode(encode([member.row() for member in second.members.values()])), now)
            second.merge(decode(encode([member.row() for member in first.members.values()])), now)
            join_through(first, second, now)
            join_through(second, first, now)
        self.assertNotIn("x", {**first.members, **second.members})


if __name__ == "__main__":
    unittest.main()
