"""Every proxy has two parents, and no loss of one process takes the updates from it."""

import unittest
from collections import Counter

from flintreach.common.keys import ROLE_CONTROLLER, ROLE_PROXY
from flintreach.dissemination.relay_tree import CONTROLLER_FANOUT, FANOUT, choose_parents
from flintreach.membership.member_list import Member


def fleet(proxies: int, zones: int = 4, controllers: int = 5) -> tuple[list[Member], list[Member]]:
    """Make controllers r0, r1, ... and proxies f0000, f0001, ..., spread over zones in two regions."""

    def member(name: str, zone: str, role: str = ROLE_PROXY) -> Member:
        return Member(name, role, "ip-" + name, 7, zone, zone[0])

    return (
        [member(f"r{i}", f"{'ab'[i % 2]}{i % zones}", ROLE_CONTROLLER) for i in range(controllers)],
        [member(f"f{i:04}", f"{'ab'[i % 2]}{i % zones}") for i in range(proxies)],
    )


def parent_names(controllers: list[Member], proxies: list[Member]) -> dict[str, list[str]]:
    """The names of each proxy's two parents, by the proxy's name."""
    return {
        proxy.name: [parent.name for parent in choose_parents(proxy, controllers, proxies)[:2]]
        for proxy in proxies
    }


class TreeOfRelays(unittest.TestCase):
    def test_a_small_fleet_receives_from_controllers_and_a_large_one_through_relays(self) -> None:
        for number, direct in ((12, True), (80, True), (1000, False)):
            controllers, proxies = fleet(number)
            names = parent_names(controllers, proxies)
            children = Counter(parent for pair in names.values() for parent in pair)
            self.assertLessEqual(
                max(count for name, count in children.items() if name[0] == "f") if not direct else 0,
                2 * FANOUT + 2,
            )
            self.assertEqual(all(name[0] == "r" for pair in names.values() for name in pair), direct)
            for proxy in proxies:  # relays stand before those that receive from them: nothing goes round
                self.assertEqual(len(set(names[proxy.name])), 2)
                self.assertTrue(all(name[0] == "r" or name < proxy.name for name in names[proxy.name]))
            self.assertLessEqual(
                sum(count for name, count in children.items() if name[0] == "r"),
                CONTROLLER_FANOUT * len(controllers) + 2 * 4,
            )

    def test_no_single_loss_takes_the_updates_from_a_proxy(self) -> None:
        controllers, proxies = fleet(1000)
        names = parent_names(controllers, proxies)
        for lost in [member.name for member in controllers + proxies[:40]]:
            reached = {member.name for member in controllers} - {lost}
            for name, above in sorted(names.items()):
                if name != lost and reached & set(above):
                    reached.add(name)
            self.assertEqual({*names} - reached - {lost}, set())


if __name__ == "__main__":
    unittest.main()
