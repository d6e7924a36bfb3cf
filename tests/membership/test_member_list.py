"""Who is believed to be there."""

import random
import unittest
from collections import Counter

import msgspec

from flintreach.dissemination.relay_tree import BORNE, FAN, parents
from flintreach.membership.member_list import ALIVE, BUCKETS, DEAD, SUSPECTED, Member, MemberList, bucket
from flintreach.proxy.balancing import NS_PER_S as SECOND

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode


class Membership(unittest.TestCase):
    def play(self, down=(), until=8000, size=5, seed=1):
        """Members in one world of 100 ms turns; `down`: (name, from ms).  What each believes at the end."""
        draw = random.Random(seed)
        names = [f"n{i}" for i in range(size)]
        nodes = {
            name: MemberList(Member(name, "bothy", f"10.0.0.{i}", 7, "z", "r", life=1), draw.randrange)
            for i, name in enumerate(names)
        }
        by = {member_list.me.address: name for name, member_list in nodes.items()}
        mail = [
            (to, name, message)
            for name, member_list in nodes.items()
            for to, message in member_list.join([nodes["n0"].me.address])
        ]
        for at in range(0, until, 100):
            dead = {name for name, since in down if at >= since}
            now, box, mail = at * 1_000_000, mail, []
            for to, name, message in box:
                target = by[tuple(to)]
                if target not in dead and name not in dead:
                    mail += [
                        (out, target, m)
                        for out, m in nodes[target].hear(nodes[name].me.address, message, now)
                    ]
            for name, member_list in nodes.items():
                if name not in dead:
                    mail += [(out, name, message) for out, message in member_list.tick(now)]
        return nodes

    def test_all_find_each_other_and_a_dead_one_is_found_out(self):
        nodes = self.play(down=[("n3", 3000)], until=9000)
        for name, member_list in nodes.items():
            if name != "n3":
                states = {m.name: m.state for m in member_list.members.values()}
                self.assertEqual(states, {"n0": 0, "n1": 0, "n2": 0, "n3": DEAD, "n4": 0}, name)

    def test_one_that_is_suspected_contradicts(self):
        member_list = MemberList(Member("a", "bothy", "10.0.0.1", 7, "z", "r", life=5), lambda n: 0)
        member_list.take([["a", "bothy", "10.0.0.1", 7, "z", "r", {}, False, False, 5, SUSPECTED]], 0)
        self.assertEqual((member_list.me.life, member_list.me.state), (6, ALIVE))

    def known(self, name, others, life=1):
        member_list = MemberList(Member(name, "bothy", f"ip-{name}", 7, "z", "r", life=life), lambda n: 0)
        member_list.take(
            [Member(other, "bothy", f"ip-{other}", 7, "z", "r", life=1).row() for other in others], 0
        )
        return member_list

    def asked(self, one, other, now=0):
        """Rows that one pilot is told by another when it joins there."""
        ((_, message),) = one.join([other.me.address])
        answers = other.hear(one.me.address, UNPACK(PACK(message)), now)
        for _, answer in answers:
            one.hear(other.me.address, answer, now)
        return [row for _, answer in answers for row in answer[3]]

    def test_who_believes_the_same_is_told_nothing_and_else_what_differs(self):
        """At rest each pilot asks the seeds every three seconds: whole rosters would grow with the square."""
        names = [f"m{number:03}" for number in range(200)]
        one, other = self.known("m000", names), self.known("m001", names)
        self.assertEqual(self.asked(one, other), [])
        self.assertEqual(len(one.join([other.me.address])[0][1][-1]), 8 * BUCKETS)
        gone = other.members["m077"]
        gone.state = DEAD
        other.news("m077", 1)
        told = self.asked(one, other)
        self.assertEqual({bucket(row[0]) for row in told}, {bucket("m077")})
        self.assertLess(len(told), 20)
        self.assertEqual(one.members["m077"].state, DEAD)
        self.assertEqual(self.asked(one, other), [])
        fresh = self.known("m777", [])
        self.assertGreaterEqual(len(self.asked(fresh, other)), 199)
        self.assertEqual({*fresh.members} - {"m777"}, {*names} - {"m077"})
        with self.assertRaises(ValueError):
            other.crowd(b"short")

    def test_the_dead_are_forgotten_though_others_still_tell_of_them(self):
        """Each forgets at a time of its own: told back and forth they would stand for ever."""
        one, other = self.known("a", ["b", "x"]), self.known("b", ["a", "x"])
        for member_list, at in ((one, 0), (other, 60)):
            member_list.members["x"].state = DEAD
            member_list.news("x", at * SECOND)
        for second in range(0, 300, 3):
            for member_list in (one, other):
                member_list.changed.update(a=0, b=0)
                member_list.tick(second * SECOND)
            one.take(UNPACK(PACK([m.row() for m in other.members.values()])), second * SECOND)
            other.take(UNPACK(PACK([m.row() for m in one.members.values()])), second * SECOND)
            self.asked(one, other, second * SECOND)
            self.asked(other, one, second * SECOND)
        self.assertNotIn("x", {**one.members, **other.members})

    def fleet(self, fronts, zones=4, controllers=5):
        def member(name, zone, role="bothy"):
            return Member(name, role, "ip-" + name, 7, zone, zone[0])

        return (
            [member(f"r{i}", f"{'ab'[i % 2]}{i % zones}", "refuge") for i in range(controllers)],
            [member(f"f{i:04}", f"{'ab'[i % 2]}{i % zones}") for i in range(fronts)],
        )

    def test_a_small_fleet_hears_from_refuges_and_a_large_one_through_relays(self):
        for fronts, direct in ((12, True), (80, True), (1000, False)):
            controllers, all_fronts = self.fleet(fronts)
            known = {m.name: [p.name for p in parents(m, controllers, all_fronts)[:2]] for m in all_fronts}
            children = Counter(parent for names in known.values() for parent in names)
            self.assertLessEqual(
                max(count for name, count in children.items() if name[0] == "f") if not direct else 0,
                2 * FAN + 2,
            )
            self.assertEqual(all(name[0] == "r" for names in known.values() for name in names), direct)
            for m in all_fronts:  # relays stand before those that hear from them: nothing goes round
                self.assertEqual(len(set(known[m.name])), 2)
                self.assertTrue(all(name[0] == "r" or name < m.name for name in known[m.name]))
            self.assertLessEqual(
                sum(count for name, count in children.items() if name[0] == "r"),
                BORNE * len(controllers) + 2 * 4,
            )

    def test_no_single_loss_takes_the_news_from_a_pilot(self):
        controllers, fronts = self.fleet(1000)
        known = {m.name: [p.name for p in parents(m, controllers, fronts)[:2]] for m in fronts}
        for lost in [m.name for m in controllers + fronts[:40]]:
            heard = {m.name for m in controllers} - {lost}
            for name, above in sorted(known.items()):
                if name != lost and heard & set(above):
                    heard.add(name)
            self.assertEqual({*known} - heard - {lost}, set())


if __name__ == "__main__":
    unittest.main()
