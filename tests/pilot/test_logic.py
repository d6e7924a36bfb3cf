"""The coordinator: the shared table, and determinism."""

from tests.helpers import Fleet


def test_without_slices_all_available_servers_share_one_table():
    fleet = Fleet(slices=0)
    fleet.run(1)
    (table,) = [table for table in fleet.tables.values() if table]
    assert set(table) == set(fleet.servers)
    fleet.handle(fleet.server_list(s2="gone"))
    fleet.run(1)
    assert fleet.servers[2] not in table


def test_the_same_events_give_the_same_orders():
    def run():
        fleet = Fleet(servers=5, slices=20)
        fleet.rates[fleet.slices[3]] = 60
        fleet.run(15)
        fleet.handle(fleet.server_list(s1="gone"))
        fleet.run(15)
        return [
            (now, type(order).__name__, getattr(order, "weight", None))
            for now, orders in fleet.replies
            for order in orders
        ]

    assert run() == run()
