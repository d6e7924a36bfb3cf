"""Processes find each other, agree on who is dead, and forget the dead."""

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


def draw_first(below: int) -> int:
    return 0


def list_of(name: str, others: Iterable[str]) -> MemberList:
    """A member list that knows some others, whose ip is `ip-` and their name."""
    member_list = MemberList(proxy(name, f"ip-{name}"), draw_first)
    member_list.merge([proxy(other, f"ip-{other}").row() for other in others], 0)
    return member_list


def join(joiner: MemberList, peer: MemberList, now: int = 0) -> list[list[Any]]:
    """The rows that a process receives from another when it joins there."""
    ((_, message),) = joiner.join([peer.local_member.address])
    answers = peer.receive(joiner.local_member.address, decode(encode(message)), now)
    for _, answer in answers:
        joiner.receive(peer.local_member.address, answer, now)
    return [row for _, answer in answers for row in answer[3]]


def play(
    down: Iterable[tuple[str, int]] = (), until_ms: int = 8000, size: int = 5, seed: int = 1
) -> dict[str, MemberList]:
    """Play members n0, n1, ... in turns of 100 ms.

    Args:
        down: names, and from which millisecond they are dead.
        until_ms: when to end.
        size: how many members there are.
        seed: of their random draws.

    Returns:
        What each believes at the end.
    """
    draw = random.Random(seed)
    names = [f"n{i}" for i in range(size)]
    lists = {name: MemberList(proxy(name, f"10.0.0.{i}"), draw.randrange) for i, name in enumerate(names)}
    name_at = {member_list.local_member.address: name for name, member_list in lists.items()}
    mail = [
        (target, name, message)
        for name, member_list in lists.items()
        for target, message in member_list.join([lists["n0"].local_member.address])
    ]
    for at_ms in range(0, until_ms, 100):
        dead = {name for name, since in down if at_ms >= since}
        now = at_ms * MS
        inbox = mail
        mail = []
        for address, sender, message in inbox:
            target = name_at[tuple(address)]
            if target not in dead and sender not in dead:
                answers = lists[target].receive(lists[sender].local_member.address, message, now)
                mail += [(out, target, answer) for out, answer in answers]
        for name, member_list in lists.items():
            if name not in dead:
                mail += [(out, name, message) for out, message in member_list.tick(now)]
    return lists


class Detection(unittest.TestCase):
    def test_all_find_each_other_and_a_dead_one_is_found_out(self) -> None:
        lists = play(down=[("n3", 3000)], until_ms=9000)
        for name, member_list in lists.items():
            if name != "n3":
                states = {member.name: member.state for member in member_list.members.values()}
                self.assertEqual(states, {"n0": 0, "n1": 0, "n2": 0, "n3": DEAD, "n4": 0}, name)

    def test_one_that_is_suspected_contradicts(self) -> None:
        member_list = MemberList(proxy("a", "10.0.0.1", incarnation=5), draw_first)
        member_list.merge([["a", "bothy", "10.0.0.1", 7, "z", "r", {}, False, False, 5, SUSPECTED]], 0)
        self.assertEqual((member_list.local_member.incarnation, member_list.local_member.state), (6, ALIVE))


class AntiEntropy(unittest.TestCase):
    def test_who_believes_the_same_receives_nothing_and_else_what_differs(self) -> None:
        """At rest each process asks the seeds every three seconds: whole lists would grow with the square."""
        names = [f"m{number:03}" for number in range(200)]
        joiner = list_of("m000", names)
        peer = list_of("m001", names)
        self.assertEqual(join(joiner, peer), [])
        self.assertEqual(len(joiner.join([peer.local_member.address])[0][1][-1]), 8 * DIGEST_BUCKETS)
        gone = peer.members["m077"]
        gone.state = DEAD
        peer.note_change("m077", 1)
        rows = join(joiner, peer)
        self.assertEqual({digest_bucket(row[0]) for row in rows}, {digest_bucket("m077")})
        self.assertLess(len(rows), 20)
        self.assertEqual(joiner.members["m077"].state, DEAD)
        self.assertEqual(join(joiner, peer), [])
        fresh = list_of("m777", [])
        self.assertGreaterEqual(len(join(fresh, peer)), 199)
        self.assertEqual({*fresh.members} - {"m777"}, {*names} - {"m077"})
        with self.assertRaises(ValueError):
            peer.differing_rows(b"short")

    def test_the_dead_are_forgotten_though_others_still_send_them(self) -> None:
        """Each forgets at a time of its own: sent back and forth they would stand for ever."""
        first = list_of("a", ["b", "x"])
        second = list_of("b", ["a", "x"])
        for member_list, at_s in ((first, 0), (second, 60)):
            member_list.members["x"].state = DEAD
            member_list.note_change("x", at_s * SECOND)
        for at_s in range(0, 300, 3):
            now = at_s * SECOND
            for member_list in (first, second):
                member_list.changed_ns.update(a=0, b=0)
                member_list.tick(now)
            first.merge(decode(encode([member.row() for member in second.members.values()])), now)
            second.merge(decode(encode([member.row() for member in first.members.values()])), now)
            join(first, second, now)
            join(second, first, now)
        self.assertNotIn("x", {**first.members, **second.members})


if __name__ == "__main__":
    unittest.main()
