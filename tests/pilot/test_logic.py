"""The decisions, by cases, with no bench."""

import pytest

from flintreach.pilot import admission
from flintreach.pilot import interface as face
from flintreach.pilot.interface import SECOND
from flintreach.pilot.records import Cause
from flintreach.pilot.state import TRANSITIONS
from flintreach.policy.partition import Partition
from flintreach.policy.window import SlidingSums
from tests.helpers import Fleet


@pytest.mark.parametrize(
    "state, settings",
    [
        ("draining", {}),
        ("gone", {}),
        ("gone", {"messages_most": 12}),
        ("draining", {"channel_limit": 1500.0}),
    ],
)
def test_slices_leave_a_leaving_server_at_once(state, settings):
    fleet = Fleet(**settings)
    fleet.run(5)
    fleet.say(fleet.roster(s1=state))
    assert not fleet.holds(fleet.servers[1])
    assert all(fleet.mains(piece) for piece in fleet.slices)


def test_a_waiting_change_that_names_a_leaving_server_becomes_urgent():
    """The ordinary change was held back by the pace when the server began to drain."""
    fleet = Fleet(messages_most=4)
    fleet.run(3)
    unit = fleet.pilot.state.tables[fleet.slices[1]]
    unit.wanted, fleet.pilot.dispatcher.sent_ns = (
        {fleet.pilot.state.server(fleet.servers[2]): 1.0},
        fleet.now - 4 * SECOND,
    )
    fleet.say(fleet.roster(s1="draining"))
    assert not fleet.holds(fleet.servers[1])


def test_ordinary_orders_flow_without_a_message_limit():
    fleet = Fleet(messages_most=0)
    fleet.rates[fleet.slices[0]] = 40
    fleet.run(15)
    assert len(fleet.mains(fleet.slices[0])) > 1


def test_hot_slice_gains_copies_and_loses_them_late():
    fleet = Fleet(servers=5, slices=20)
    fleet.rates[fleet.slices[3]] = 60
    fleet.run(25)
    assert len(fleet.mains(fleet.slices[3])) > 1
    fleet.rates[fleet.slices[3]] = 4
    fleet.run(11)
    assert len(fleet.mains(fleet.slices[3])) > 1
    fleet.run(120)
    assert len(fleet.mains(fleet.slices[3])) == 1


def test_a_retry_storm_is_not_demand():
    fleet = Fleet(servers=5, slices=20)
    fleet.run(12)
    unit = fleet.pilot.state.tables[fleet.slices[3]]
    before = unit.rate
    for _ in range(5):
        fleet.now += SECOND
        fleet.say(face.Demand(fleet.slices[3], None, fleet.ops[0], 90, 80, SECOND), face.Woke(0))
    assert unit.rate <= 1.2 * before and unit.recent_rate > 10 * before


def test_a_fast_restart_is_relieved_of_its_old_load():
    """No list showed it gone: only the new start time tells that it is cold."""
    fleet = Fleet(servers=4, slices=24)
    fleet.run(5)
    held = len(fleet.holds(fleet.servers[1]))
    fleet.say(fleet.roster(s1=("ready", fleet.now - SECOND)))
    assert held > 4 and len(fleet.holds(fleet.servers[1])) <= 1
    fleet.run(3)
    assert len(fleet.holds(fleet.servers[1])) <= 2


def test_a_just_started_server_is_not_given_many_slices_at_once():
    """Slices of another server that leaves in the same batch went to the cold one, which fell over."""
    fleet = Fleet(servers=4, slices=40)
    fleet.run(5)
    fleet.say(fleet.roster(s1="gone"))
    fleet.say(fleet.roster(s1=("ready", fleet.now), s2="gone"))
    assert len(fleet.holds(fleet.servers[1])) <= 1 and not fleet.holds(fleet.servers[2])


def cold_server_with_slices():
    fleet = Fleet(servers=6, slices=48)
    fleet.run(8)
    fleet.say(fleet.roster(s1=("ready", fleet.now)))
    for piece in fleet.slices[4:6]:
        fleet.pilot.state.tables[piece].wanted = {fleet.pilot.state.server(fleet.servers[1]): 1.0}
    fleet.run(1)
    assert len(fleet.holds(fleet.servers[1])) >= 2
    return fleet, fleet.servers[1]


def test_a_slice_that_grows_hot_at_a_cold_server_is_guarded():
    """Smoothed demand tells too late, and most of its invocations go unanswered."""
    fleet, cold = cold_server_with_slices()
    for _ in range(2):
        fleet.now += SECOND
        hot = [face.Demand(piece, None, fleet.ops[0], 60, 55, SECOND) for piece in fleet.slices[4:6]]
        fleet.say(*hot, face.Woke(0))
        fleet.go_on(fleet.now + SECOND // 5)
    assert len(fleet.holds(cold)) <= 1


@pytest.mark.parametrize(
    "amount, held, welcome", [(0.4, 0, True), (1.1, 0, False), (0.4, 0.8, True), (0.8, 0.8, False)]
)
def test_a_hot_slice_is_not_put_on_a_cold_server(amount, held, welcome):
    """It fits alone, but what is hot grows on: parts are of the server's quota of 40."""
    part = Partition([set(), set()], [0, 0], [0, 40 * (held - 1)], [(9, 40 * amount)], 1, {1: 40}, [0, 0])
    assert part.may_gain(0, 1) == welcome


def grown(number, pilots=5, lots=(0, 0, 0)):
    """Nine servers, each warm one full; a fifth of the slices is ours; three servers have just started."""
    fleet = Fleet(servers=9, slices=90, pilots=pilots, number=number, warm_up=60 * SECOND)
    for server, lot in zip(fleet.servers[6:], lots):
        server.lot = lot
    fleet.say(fleet.roster(s6="gone", s7="gone", s8="gone"))
    fleet.say(*[face.Given(piece, False) for piece in fleet.slices[18:]])
    fleet.tables = {piece: table for piece, table in fleet.tables.items() if piece in fleet.slices[:18]}
    fleet.rates = dict.fromkeys(fleet.slices[:18], 4)
    fleet.run(8)
    for name in ("s6", "s7", "s8"):
        fleet.say(fleet.roster(**{name: ("ready", fleet.now)}))
    fleet.run(20)
    return [len(fleet.holds(server)) for server in fleet.servers[6:]]


@pytest.mark.parametrize(
    "number, lots, filled",
    [
        (0, (0, 5, 10), (True, True, True)),
        (3, (0, 5, 10), (False, False, False)),
        (3, (3, 7, 8), (True, False, True)),
        (4, (3, 7, 8), (False, False, False)),
    ],
)
def test_one_pilot_fills_a_cold_server_and_the_others_leave_it(number, lots, filled):
    """A fifth of what a cold server bears was less than any slice: of five pilots none put one there."""
    assert tuple(held > 0 for held in grown(number, lots=lots)) == filled


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


@pytest.mark.parametrize("others, most, mended", [(4, 4.5, True), (0, 2.5, False)])
def test_several_pilots_permit_smaller_gaps_each(others, most, mended):
    """The gap is a quarter of a mean server both times.  Each pilot permitted what one alone may leave, and
    what five left added up to servers that jammed."""
    servers, each = 10, 12 * (1 + others)  # slices
    fleet = Fleet(servers=servers, slices=servers * each, pilots=1 + others, demand=2)
    keep = fleet.slices[: 12 * servers]
    fleet.say(*[face.Given(piece, False) for piece in fleet.slices[len(keep) :]])
    fleet.tables = {piece: {fleet.servers[n % servers]: 1.0} for n, piece in enumerate(keep)}
    fleet.rates = {piece: most if n % servers == 3 else 2.0 for n, piece in enumerate(keep)}
    fleet.run(14)
    assert (len(fleet.holds(fleet.servers[3])) < 12) == mended


@pytest.mark.parametrize(
    "load, part", [({}, 1.0), ({"util": 0.5}, 0.5), ({"util": 0.01}, 0.3), ({"util": 2.0}, 1.0)]
)
def test_what_a_server_could_answer_is_read_from_its_load(load, part):
    """Measured by what a half idle fleet answered, each slice looked too large for any cold server."""
    proven = []
    for told in ({}, load):
        fleet = Fleet(servers=5, slices=20)
        fleet.load = told
        fleet.run(6)
        proven.append(fleet.pilot.state.proven_rate)
    assert abs(proven[0] / proven[1] - part) < 0.02


@pytest.mark.parametrize("span, falls", [(1, 4), (6, 2)])
def test_a_quota_falls_again_once_sums_of_after_the_first_fall_have_come(span, falls):
    """With hundreds of servers a line covers seconds: levels fell to nothing before one told of the first."""
    fleet = Fleet(servers=4, slices=24)
    fleet.pilot.state.report_span_ns = span * SECOND
    tgt, told, now = fleet.pilot.state.server(fleet.servers[1]), [], 200
    tgt.lateness = 2.0
    for second in range(8):
        fleet.pilot.state.now_ns = (now + second) * SECOND
        admission.adjust(fleet.pilot.state, tgt, 2.0, 0.0)
        told.append(tgt.capacity_share)
    assert len(set(told)) == falls


@pytest.mark.parametrize("late, level", [(0.9, 1.0), (1.25, 0.8), (5.0, 0.4)])
def test_one_fall_of_a_level_goes_by_lateness_and_not_to_nothing(late, level):
    fleet = Fleet(servers=4, slices=24)
    tgt = fleet.pilot.state.server(fleet.servers[1])
    tgt.lateness, fleet.pilot.state.now_ns = late, 200 * SECOND
    admission.adjust(fleet.pilot.state, tgt, 2.0, 0.0)
    assert tgt.admission_level == level


@pytest.mark.parametrize("after, part", [(1, 1.0), (7, 1.0), (12, 0.0)])
def test_slices_just_taken_over_count_as_usual_ones_until_their_sums_could_have_come(after, part):
    """Counted as idle, they made the known ones look heavy: a takeover moved slices about.
    Without any invocation no line ever comes, so it is for a while."""
    fleet = Fleet(servers=5, slices=40)
    taken = fleet.slices[20:]
    fleet.say(*[face.Given(piece, False) for piece in taken])
    fleet.run(12)
    for piece in taken:
        fleet.tables[piece] = {fleet.servers[0]: 1.0}
        fleet.say(face.Given(piece, True), face.Held(piece, fleet.servers[0], 1.0))
    fleet.rates = {piece: rate for piece, rate in fleet.rates.items() if piece not in taken}
    fleet.run(after)
    rates = [fleet.pilot.state.tables[piece].rate for piece in taken]
    assert all(abs(rate - 4 * part) < 0.2 for rate in rates)


def test_spans_of_lines_are_learned():
    fleet = Fleet(servers=4, slices=24)
    for _ in range(300):
        fleet.say(face.Heard(0, fleet.servers[0], 8, 0, SECOND // 5, 6 * SECOND, {}))
    assert 5 * SECOND < fleet.pilot.state.report_span_ns <= 6 * SECOND


@pytest.mark.parametrize("tries, load, emptied", [(30, {}, True), (2, {}, True), (2, {"queue": 0.0}, False)])
def test_a_cold_server_with_late_answers_is_emptied(tries, load, emptied):
    """Its jam fed on the retries that it caused; with two pilots neither heard enough to judge by."""
    fleet, cold = cold_server_with_slices()
    fleet.say(face.Heard(0, cold, tries, 0, SECOND, SECOND, load))
    fleet.run(2)
    assert bool(fleet.holds(cold)) != emptied


def test_late_answers_lower_the_cheapest_operation_and_silence_does_not():
    """An operation that fails on many servers leaves invocations unanswered; letting in less helps nobody."""
    fleet = Fleet(servers=4, slices=24)
    fleet.run(5)
    fleet.failing = dict.fromkeys(fleet.servers, 0.5)
    fleet.run(8)
    assert not fleet.levels
    fleet.failing, fleet.latency = {}, SECOND
    fleet.run(8)
    assert fleet.levels and all(op is fleet.ops[0] and level < 0.7 for (_, op), level in fleet.levels.items())
    fleet.latency = SECOND // 5
    fleet.run(20)
    assert all(level == 1 for level in fleet.levels.values())


@pytest.mark.parametrize("rate", [0, 0.1])
def test_a_level_that_leaves_too_little_to_judge_by_rises_again(rate):
    """Five in a hundred were let in for good at idle servers: fewer than six answers told of them."""
    fleet = Fleet(servers=4, slices=8)
    fleet.run(8)
    tgt = fleet.pilot.state.server(fleet.servers[1])
    fleet.rates = {piece: rate if fleet.servers[1] in fleet.tables[piece] else 4 for piece in fleet.slices}
    fleet.run(4)
    tgt.admission_level, tgt.lateness = 0.05, 5.0
    fleet.run(30)
    assert tgt.admission_level == 1 and all(level == 1 for level in fleet.levels.values())


def test_where_all_are_late_one_line_a_proxy_lowers_all_tables():
    """Hundreds of slices' own levels filled the channel, and the fall came half a minute late."""
    fleet = Fleet(servers=8, slices=200, proxies=40)
    fleet.run(5)
    fleet.latency = SECOND
    fleet.run(5)
    assert fleet.levels[None, fleet.ops[0]] < 0.7 and len(fleet.levels) == 1


@pytest.mark.parametrize(
    "load, lowered",
    [
        ({"queue": 0.0}, False),
        ({"queue": 5.0}, True),
        ({}, True),
        ({"util": 0.3}, False),
        ({"util": 0.9}, True),
        ({"latency_ms": 9.0}, True),
        ({"util": 0.3, "queue": 4.0}, True),
    ],
)
def test_late_answers_of_idle_servers_lower_nothing(load, lowered):
    """Far from some proxies: the way is long, and letting in less shortens it for nobody."""
    fleet = Fleet(servers=4, slices=24)
    fleet.load, fleet.latency = load, SECOND
    fleet.run(8)
    assert bool(fleet.levels) == lowered


def test_a_jam_is_told_from_a_death_by_the_late_answers_before_it():
    fleet = Fleet(demand=8)
    fleet.run(5)
    fleet.latency = SECOND
    fleet.run(4)
    fleet.failing = {fleet.servers[1]: 1.0}
    fleet.run(3)
    assert fleet.pilot.state.server(fleet.servers[1]).mode == "fit"


def test_a_server_worse_off_than_its_peers_bears_less():
    """Slow, or far from some proxies: it answers, but more than half as late as its peers at their best."""
    fleet = Fleet(servers=6, slices=48)
    fleet.run(12)
    held = len(fleet.holds(fleet.servers[2]))
    fleet.slow = {fleet.servers[2]: SECOND * 35 // 100}
    fleet.run(20)
    assert fleet.pilot.state.server(fleet.servers[2]).capacity_share < 0.7
    assert len(fleet.holds(fleet.servers[2])) < held and not fleet.levels


@pytest.mark.parametrize("span, expected", [(1, [12, 0, 0]), (3, [4, 4, 4]), (0, [12, 0, 0]), (9, [2, 2, 2])])
def test_a_line_of_sums_is_booked_over_its_span(span, expected):
    """Lines of a large fleet come by turns and span seconds; booked at once they read as bursts."""
    ring = SlidingSums(6, 1)
    ring.add(100 * SECOND, span * SECOND, 12)
    assert [ring.total((100 - back) * SECOND, 1)[0] for back in range(3)] == expected


def test_the_widest_pair_is_found_without_a_look_at_each():
    memory, demand = [0, 9, -3, 4, -8, 1, 2], [5, -40, 7, 33, -2, 30, -39]
    part = Partition([set()] * 7, memory, demand, [], 1, {}, [0] * 7)
    assert max(part.pairs())[0] == max(
        abs(memory[x] - memory[y]) + abs(demand[x] - demand[y]) for x in range(7) for y in range(7)
    )


@pytest.mark.parametrize(
    "failing, condemned",
    [
        ({1: 1.0}, [1]),
        ({1: 0.1}, []),
        ({0: 0.3, 1: 0.3, 2: 0.3, 3: 0.3}, []),
        (dict.fromkeys(range(4), 1.0), []),
    ],
)
def test_health_is_judged_against_peers(failing, condemned):
    fleet = Fleet(demand=8)
    fleet.run(5)
    fleet.failing = {fleet.servers[n]: share for n, share in failing.items()}
    fleet.run(5)
    out = [n for n, server in enumerate(fleet.servers) if fleet.pilot.state.server(server).mode == "out"]
    assert out == condemned
    assert all(not fleet.holds(fleet.servers[n]) for n in condemned)


def test_the_last_warm_servers_of_a_release_are_not_condemned():
    """Crowded with all slices they answered nothing; taken out, the cold ones got everything and fell."""
    fleet = Fleet(servers=6, slices=24)
    fleet.run(5)
    fleet.say(fleet.roster(**{f"s{n}": ("ready", fleet.now) for n in range(2, 6)}))
    fleet.failing = dict.fromkeys(fleet.servers[:1], 1.0)
    fleet.run(6)
    assert fleet.pilot.state.server(fleet.servers[0]).mode == "fit"


def test_a_flapping_server_stays_out_longer_each_time():
    fleet = Fleet(slices=24, demand=8)
    fleet.run(5)
    fleet.failing = {fleet.servers[1]: 1.0}
    fleet.run(120)
    tgt = fleet.pilot.state.server(fleet.servers[1])
    assert 3 <= tgt.strikes <= 6


def test_drains_leave_before_other_urgent_orders():
    """Where the channel has no room for all, slices of a condemned server may wait, a drained one's not."""
    fleet = Fleet(slices=24, proxies=10, channel_limit=400.0, demand=8)
    fleet.run(5)
    out, drained = fleet.pilot.state.server(fleet.servers[0]), fleet.servers[1]
    before = [fleet.holds(server) for server in (out.server, drained)]
    fleet.pilot.state.transition(out, Cause.FAILING)
    fleet.say(fleet.roster(s1="draining"))
    assert all(map(fleet.mains, before[1])) and not all(map(fleet.mains, before[0]))


def test_what_stands_is_replaced_before_what_is_dead_is_removed():
    """A crash of a fifth filled the channel for six seconds, half of it with lines to servers shut out."""
    fleet = Fleet(servers=8, slices=48, proxies=10, channel_limit=500.0)
    fleet.run(5)
    fleet.pilot.state.transition(fleet.pilot.state.server(fleet.servers[0]), Cause.FAILING)
    fleet.pilot.state.transition(fleet.pilot.state.server(fleet.servers[1]), Cause.FAILING)
    fleet.say(face.Woke(0))
    assert all(map(fleet.mains, fleet.slices)) and fleet.shut == set(fleet.servers[:2])
    fleet.run(8)
    assert not any(server in table for table in fleet.tables.values() for server in fleet.servers[:2])


def test_a_drain_does_not_wait_for_room_in_the_channel():
    """A zone's slices filled it past the grace, and proxies went on sending to servers that were gone."""
    fleet = Fleet(slices=60, proxies=10, channel_limit=220.0)
    fleet.run(5)
    fleet.say(fleet.roster(s1="gone"))
    assert not all(map(fleet.mains, fleet.slices)) and fleet.shut == {fleet.servers[1]}
    fleet.run(20)
    assert all(map(fleet.mains, fleet.slices))
    assert all(fleet.servers[1] not in table for table in fleet.tables.values())
    fleet.say(fleet.roster(s1=("ready", fleet.now)))
    fleet.run(2)
    assert not fleet.shut


def test_answers_lost_with_the_news_do_not_hold_the_channel_for_ever():
    """The last marks stayed unanswered, so the lines of their orders seemed to wait and no order had room."""
    fleet = Fleet(slices=60, proxies=10, channel_limit=220.0)
    fleet.run(5)
    fleet.say(fleet.roster(s1="gone"))
    fleet.marks.clear()
    fleet.run(5)
    assert not all(map(fleet.mains, fleet.slices))
    fleet.run(30)
    assert all(map(fleet.mains, fleet.slices))


def test_a_slice_taken_over_opens_the_server_that_it_is_on():
    """Another pilot had put it on a server that came back; still shut out here, the slice would be bare."""
    fleet = Fleet(slices=24)
    fleet.run(5)
    fleet.say(fleet.roster(s1="gone"))
    piece = fleet.slices[0]
    fleet.say(fleet.roster(s1="ready"), face.Given(piece, True), face.Held(piece, fleet.servers[1], 1.0))
    fleet.run(2)
    assert not fleet.shut


def test_messages_and_lines_stay_within_the_limits():
    fleet = Fleet(servers=6, slices=60, messages_most=6, channel_limit=2000.0, warm_up=4 * SECOND)
    for n in range(60):
        fleet.run(1)
        server = f"s{n % 6}"
        fleet.say(fleet.roster(**{server: "gone" if n % 2 else ("ready", fleet.now)}))
    sent = [now for now, orders in fleet.replies if any(isinstance(order, face.SetLine) for order in orders)]
    for now in sent:
        assert sum(now - 10 * SECOND < other <= now for other in sent) <= 6


def test_without_slices_all_open_servers_share_one_table():
    fleet = Fleet(slices=0)
    fleet.run(1)
    (table,) = [table for table in fleet.tables.values() if table]
    assert set(table) == set(fleet.servers)
    fleet.say(fleet.roster(s2="gone"))
    fleet.run(1)
    assert fleet.servers[2] not in table


def report(fleet, number, tries, unanswered, **load):
    return face.Heard(0, fleet.servers[number], tries, unanswered, fleet.latency, SECOND, load)


@pytest.mark.parametrize(
    "status, unanswered, out",
    [
        ("connect_failed", 4, True),
        ("timeout", 4, True),
        ("reset", 4, True),
        ("ok", 4, False),
        ("full", 4, False),
        ("error", 4, False),
        ("connect_failed", 1, False),
    ],
)
def test_a_server_that_leaves_tries_unanswered_is_asked_and_its_silence_condemns_it(status, unanswered, out):
    """Sums tell of a death by halves and seconds late; proxies went on calling dead servers for four."""
    fleet = Fleet(slices=24, probes=True)
    fleet.run(5)
    orders = fleet.say(report(fleet, 1, 10, unanswered))
    assert (face.Probe(fleet.servers[1]) in orders) == (unanswered > 3)
    fleet.say(face.Probed(fleet.servers[1], status, 0, {}) if unanswered > 3 else face.Woke(0))
    fleet.run(1, sums=False)
    assert bool(fleet.holds(fleet.servers[1])) != out


def test_where_many_are_mute_at_once_the_pilot_is_cut_off_and_condemns_nobody():
    fleet = Fleet(servers=6, slices=24, probes=True)
    fleet.run(5)
    for number in range(3):
        fleet.say(report(fleet, number, 10, 8))
        fleet.say(face.Probed(fleet.servers[number], "timeout", 0, {}))
    fleet.run(1, sums=False)
    assert all(fleet.holds(server) for server in fleet.servers)


def test_without_leave_to_ask_nobody_is_asked():
    fleet = Fleet(slices=24)
    fleet.run(5)
    assert not any(isinstance(order, face.Probe) for order in fleet.say(report(fleet, 1, 10, 8)))


def test_a_dead_process_s_sums_do_not_condemn_the_one_that_follows_it():
    """They come late: four servers went out a second after their return, for eight more."""
    fleet = Fleet(servers=8, slices=24, demand=8)
    fleet.run(5)
    fleet.say(fleet.roster(s1="gone"))
    fleet.run(2)
    fleet.say(report(fleet, 1, 40, 40))
    fleet.say(fleet.roster(s1=("ready", fleet.now - 2 * SECOND)), report(fleet, 1, 40, 40))
    fleet.run(2)
    assert fleet.pilot.state.server(fleet.servers[1]).mode == "cold"
    fleet.now += 4 * SECOND
    fleet.say(report(fleet, 1, 40, 40))
    fleet.run(1, sums=False)
    assert fleet.pilot.state.server(fleet.servers[1]).mode == "out"


@pytest.mark.parametrize(
    "fill, moved", [((0.1, 0.5, 0.5, 0.5, 0.5, 1.0), True), ((0.7, 1.1, 1.1, 1.1, 1.1, 1.6), False)]
)
def test_a_server_that_others_fill_gets_less_of_ours_and_an_idle_one_more(fill, moved):
    """Two pilots spread their slices without a look at each other's: some servers jammed, others idled.
    Where all are full, what sets them apart is noise, and moves cost more than they mend."""
    fleet = Fleet(servers=6, slices=48)
    fleet.run(12)
    before = [len(fleet.holds(server)) for server in fleet.servers]
    for _ in range(25):
        fleet.run(1)
        fleet.say(*[report(fleet, number, 2, 0, util=fill[number]) for number in range(6)])
    after = [len(fleet.holds(server)) for server in fleet.servers]
    assert (after[0] > before[0] and after[5] < before[5]) == moved and sum(after) == sum(before)


def test_a_server_that_fails_at_once_only_seems_to_have_room():
    """Its errors cost it nothing, so it reports to be idle; more slices would all be lost."""
    fleet = Fleet(servers=6, slices=48)
    fleet.run(12)
    before = len(fleet.holds(fleet.servers[0]))
    fleet.failing = {fleet.servers[0]: 0.5}
    for _ in range(25):
        fleet.run(1)
        fleet.say(*[report(fleet, number, 2, number == 0, util=0.9 * (number > 0)) for number in range(6)])
    assert len(fleet.holds(fleet.servers[0])) <= before


def test_an_answer_to_no_mark_confirms_nothing():
    fleet = Fleet(slices=24)
    fleet.run(5)
    fleet.say(fleet.roster(s1="gone"))
    waiting = fleet.pilot.dispatcher.unconfirmed[fleet.proxies[0]]
    held = len(waiting)
    for number in (0, 65535, 10**12):
        fleet.say(face.Applied(fleet.proxies[0], number, 0))
    assert held == len(waiting) > 0
    fleet.say(face.Applied(fleet.proxies[0], fleet.marks[-1], 0))
    assert not waiting


def test_servers_that_come_and_go_all_day_leave_nothing_behind():
    fleet = Fleet(servers=6, slices=24, warm_up=2 * SECOND)
    fleet.run(5)
    for n in range(300):
        gone = fleet.servers.pop(0)
        fleet.servers.append(face.Server(f"s{6 + n}"))
        fleet.say(
            face.Roster(
                "delta",
                [
                    face.Entry(gone, "draining", 1.0, 0),
                    face.Entry(fleet.servers[-1], "ready", 1.0, fleet.now),
                ],
            )
        )
        fleet.run(1)
        fleet.say(
            face.Roster("delta", [face.Entry(gone, "gone", 1.0, 0)]), face.Heard(0, gone, 9, 9, 0, 1, {})
        )
        fleet.run(2)
    assert (
        len(fleet.pilot.state.servers) <= 8 and len(fleet.shut) <= 2 and len(fleet.pilot.state.shut_out) <= 2
    )
    assert all(set(table) <= set(fleet.servers) for table in fleet.tables.values())


def test_each_mode_answers_or_refuses_each_input():
    modes = {mode for mode, _ in TRANSITIONS} | {*TRANSITIONS.values()}
    assert modes == {"any", "unknown", "fit", "cold", "trial", "out", "leaving"}
    assert all((mode, "failing") in TRANSITIONS for mode in ("fit", "cold", "trial"))


def test_the_same_events_give_the_same_orders():
    def day():
        fleet = Fleet(servers=5, slices=20)
        fleet.rates[fleet.slices[3]] = 60
        fleet.run(15)
        fleet.say(fleet.roster(s1="gone"))
        fleet.run(15)
        return [
            (now, type(order).__name__, getattr(order, "weight", None))
            for now, orders in fleet.replies
            for order in orders
        ]

    assert day() == day()
