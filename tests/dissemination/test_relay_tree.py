"""Tests that every proxy has two parents, and that no single process failure cuts it off from updates."""

import unittest
from collections import Counter

from flintreach.common.keys import ROLE_CONTROLLER, ROLE_PROXY
from flintreach.dissemination.relay_tree import CONTROLLER_FANOUT, FANOUT, choose_parents
from flintreach.membership.member_list import Member


def fleet(proxies: int, zones: int = 4, controllers: int = 5) -> tuple[list[Member], list[Member]]:
    """Create controllers r0, r1, ... and proxies f0000, f0001, ..., distributed over zones in two regions."""

    def member(name: str, zone: str, role: str = ROLE_PROXY) -> Member:
        return Member(name, role, "ip-" + name, 7, zone, zone[0])

    return (
        [member(f"r{i}", f"{'ab'[i % 2]}{i % zones}", ROLE_CONTROLLER) for i in range(controllers)],
        [member(f"f{i:04}", f"{'ab'[i % 2]}{i % zones}") for i in range(proxies)],
    )


def parent_names(controllers: list[Member], proxies: list[Member]) -> dict[str, list[str]]:
    """Names of each proxy's two parents, by the name of the proxy."""
    return {
        proxy.name: [parent.name for parent in choose_parents(proxy, controllers, proxies)[:2]]
        for proxy in proxies
    }


class RelayTree(unittest.TestCase):
    def test_small_fleets_use_controllers_directly_and_large_ones_use_relays(self) -> None:
        for number, direct in ((12, True), (80, True), (1000, False)):
            controllers, proxies = fleet(number)
            names = parent_names(controllers, proxies)
            children = Counter(parent for pair in names.values() for parent in pair)
            self.assertLessEqual(
                max(count for name, count in children.items() if name[0] == "f") if not direct else 0,
                2 * FANOUT + 2,
            )
            self.assertEqual(all(name[0] == "r" for pair in names.values() for name in pair), direct)
            for proxy in proxies:  # parents sort before their children, so there are no cycles
                self.assertEqual(len(set(names[proxy.name])), 2)
                self.assertTrue(all(name[0] == "r" or name < proxy.name for name in names[proxy.name]))
            self.assertLessEqual(
                sum(count for name, count in children.items() if name[0] == "r"),
                CONTROLLER_FANOUT * len(controllers) + 2 * 4,
            )

    def test_no_single_failure_cuts_a_proxy_off_from_updates(self) -> None:
        controllers, proxies = fleet(1000)
        names = parent_names(controllers, proxies)
        for failed in [member.name for member in controllers + proxies[:40]]:
            reached = {member.name for member in controllers} - {failed}
            for name, parents in sorted(names.items()):
                if name != failed and reached & set(parents):
                    reached.add(name)
            self.assertEqual({*names} - reached - {failed}, set())


if __name__ == "__main__":
    unittest.main()
