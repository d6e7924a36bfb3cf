"""The decisions of the carrying path: which endpoint, whether again, what to turn away, shares.  Pure.

Times are nanoseconds of the steady clock; nothing here reads a clock, a socket or a name of a deployment.
"""

import zlib
from dataclasses import dataclass, field

SECOND = 1_000_000_000
SEEN_FOR = 2 * SECOND  # an answer shows for so long that an endpoint is there, whatever its beats say
TOLD_FOR = 1 * SECOND  # how long a told load is believed, less and less
FAR, NEXT = 0.5, 0.1  # of a route's aim: what another region, another zone is worth waiting for nearer
OTHERS = 0.05  # of a route's aim: what is another front's part; of one's own the load is known best
OFF = 0.25  # of a route's aim: an endpoint that is not in the slice's table is for what these can't take
SHUN, SHUN_MOST = SECOND // 2, 8 * SECOND  # out of use after a failure, doubled by each one after it
LONGEST_GAP = 8 * SECOND  # between two requests to an endpoint; it counts as that before the first one
FULL_FOR, SOLE_FOR = SECOND // 20, SECOND // 7  # out of use: without room for a connection; a sole holder
FRESH = 0.05  # of a route's aim: what a connection that does not stand yet is, on a link that is in use
IDLE_PART, MINE_PART = 0.6, 0.3  # of the connections an endpoint accepts: idle ones of all; of its owners
SHARE = 0.5  # of the slack of a budget that all pilots together may use up
COLD_PART = 0.6  # of what the rules allow above a cold endpoint's rate: pilots that send there, one each
USUAL, EARLY, LATEST = 3, 0.3, 0.6  # times of its usual work, and parts of its aim, after which one is slow
KEY_WAIT = 0.15  # of a route's aim, to wait for keys that are between two holders
SECOND_SHARE = 0.5  # of a budget, that may go to second tries beside a first that is silent


@dataclass(slots=True, eq=False)
class Endpoint:
    """An endpoint as this process sees it."""

    id: str
    service: str
    addr: str
    zone: str
    region: str
    berths: int
    state: str = "ready"
    present_at: int | None = None  # its own answer showed that it had not begun to leave by then
    left_at: int | None = None  # the earliest moment at which its departure can have been acknowledged
    cold_until: int = 0
    mine: int = 0  # requests of ours that it works on
    told: float = 0.0  # others' requests there when it last told, and when that was
    told_at: int | None = None
    shun_until: int = 0
    strikes: int = 0
    seen: int | None = None  # when it last answered us
    since: int | None = None  # the oldest request that was sent after its last answer
    sent_cold: int | None = None  # when a request was last sent to it while cold
    gap: int = SECOND  # usual time between our requests to it, smoothed, and when the last one went
    sent_at: int | None = None
    went_out_at: int | None = None  # when the kernel had last taken a whole request to it
    own: bool = True  # this process's part of the zone's endpoints
    pool: object = None

    def load(self, now: int) -> float:
        """Requests there, ours and what is left of the others' that it told of."""
        if self.told_at is None:
            return self.mine
        left = 1 - (now - self.told_at) / TOLD_FOR
        return self.mine + (self.told * left if left > 0 else 0.0)

    def hears(self, running: int, waiting: int, now: int) -> None:
        self.told, self.told_at = max(0.0, running + waiting - self.mine), now

    def sends(self, now: int) -> None:
        self.mine += 1
        if self.since is None:
            self.since = now
        gap = LONGEST_GAP if self.sent_at is None else min(now - self.sent_at, LONGEST_GAP)
        self.gap, self.sent_at = (3 * self.gap + gap) // 4, now

    def ends(self, answered: bool, now: int) -> None:
        """A request of ours is over; any answer shows that it is there."""
        self.mine -= 1
        self.seen = now if answered else self.seen
        if answered or not self.mine:
            self.since = now if self.mine else None

    def confirm_present(self, now: int) -> None:
        """Its own answer showed that it had not begun to leave at `now`."""
        self.present_at = now if self.present_at is None else max(self.present_at, now)

    def fails(self, now: int, sole: bool = False) -> None:
        """`sole`: nobody else holds its keys, so shunning it helps nobody for long."""
        self.strikes += 1
        time = min(SHUN_MOST, SHUN << min(self.strikes, 5) >> 1)
        self.shun_until = now + (min(SOLE_FOR, time) if sole else time)

    def there(self, now: int) -> bool:
        """Whether it is to be used: its missing beats may only be another pilot's, if it answers us."""
        if self.state == "silent":
            return self.seen is not None and now - self.seen < SEEN_FOR
        return self.state == "ready"

    def well(self) -> None:
        self.strikes = self.shun_until = 0


@dataclass(slots=True)
class Here:
    """Where this process is, and how many carry traffic beside it."""

    zone: str
    region: str
    fronts: int = 1
    place: dict[str, int] = field(default_factory=dict)  # front -> its place by name
    name: str = ""
    mates: tuple[int, int] = (0, 1)  # this process's place among the fronts of its zone, and their number
    zones: int = 1  # of all fronts


def cold_pilots(rate: float, excess: float, slack: float, fronts: int) -> int:
    """How many may send to one cold endpoint: in any second each sends one beyond its share of the rate."""
    return max(1, min(fronts, int(COLD_PART * (rate * (excess - 1) + slack))))


def divide(endpoints: list[Endpoint], me: int, fronts: int) -> None:
    """Give each front of a zone its part of the endpoints of each service and zone: `me` of `fronts`.

    A front knows the load that it brings at once and that of others late: where all choose among all, they
    choose the same ones.  It is a preference alone; what one's part can't take goes to the others.
    """
    groups: dict[tuple[str, str], list[Endpoint]] = {}
    for endpoint in endpoints:
        groups.setdefault((endpoint.service, endpoint.zone), []).append(endpoint)
    for (service, zone), group in groups.items():
        start = zlib.crc32(f"{service} {zone}".encode())
        for place, endpoint in enumerate(sorted(group, key=lambda endpoint: endpoint.id), start):
            endpoint.own = fronts <= 1 or place % fronts == me


def may_warm(here: Here, id: str, cold_per_s: float, last: int | None, now: int, pilots: int) -> bool:
    """Whether this pilot may send to a cold endpoint: some do, each so seldom that their sum holds.

    `last`: when it sent there last, None if never.
    """
    if cold_per_s <= 0:
        return True
    turn = (here.place.get(here.name, 0) + zlib.crc32(id.encode())) % max(1, here.fronts)
    return turn < pilots and (last is None or now - last >= pilots * SECOND / cold_per_s)


def idle_for(endpoint: Endpoint, here: Here, cap: int, most: int, sole: bool = False) -> int:
    """How long (ns) a connection to an endpoint may lie idle, lest all pilots' fill what it accepts.

    Each zone has one front that an endpoint is the part of: these are its main users, and keep some, that of
    its own zone the most.  To the others, and to the `sole` holder of keys, a connection stands open for this
    time at each use: the uses of all pilots times it are the connections they hold.
    """
    if endpoint.own and not sole:
        kept = MINE_PART * cap if endpoint.zone == here.zone else MINE_PART * cap // max(1, here.zones - 1)
        return most if len(endpoint.pool.idle) < max(1, kept) else 0
    return min(most, int(IDLE_PART * cap / max(1, here.fronts) * endpoint.gap))


def patience(aim: int, work: int) -> int:
    """How long an answer may take before a second endpoint is asked, or the first one is doubted."""
    return int(max(EARLY * aim, min(LATEST * aim, USUAL * work)))


def cost(endpoint: Endpoint, here: Here, aim: int, work: int, now: int) -> float:
    """What sending there is expected to cost, in nanoseconds of waiting."""
    way = 0 if endpoint.zone == here.zone else NEXT * aim if endpoint.region == here.region else FAR * aim
    load = endpoint.load(now)
    over = load + 1 - endpoint.berths
    way += 0 if endpoint.own else OTHERS * aim
    way += 0 if endpoint.pool is None or endpoint.pool.idle else FRESH * aim
    return way + (over / endpoint.berths * work if over > 0 else 0.0) + 0.25 * work * load / endpoint.berths


def choose(
    endpoints: list[Endpoint],
    here: Here,
    aim: int,
    work: int,
    now: int,
    cold_per_s: float,
    pilots: int,
    chance: float,
    table: frozenset[str] | None = None,
) -> Endpoint | None:
    """The endpoint for a try, of those that may serve it; None where none may."""
    best, least = None, 0.0
    for place, endpoint in enumerate(endpoints):
        if endpoint.shun_until > now:
            continue
        if endpoint.cold_until > now and not may_warm(
            here, endpoint.id, cold_per_s, endpoint.sent_cold, now, pilots
        ):
            continue
        # A little chance keeps pilots that see the same from all doing the same.
        price = cost(endpoint, here, aim, work, now) + 0.1 * work * ((chance * (place + 7) * 0.618) % 1)
        if table and endpoint.id not in table:
            price += OFF * aim
        if endpoint.since is not None and now - endpoint.since > 2 * patience(aim, work):
            price += 2 * aim  # silent since then: a machine without power says nothing
        if best is None or price < least:
            best, least = endpoint, price
    return best


class Budget:
    """Further tries to one service: a share of what all pilots together may make in a sliding window."""

    def __init__(self, ratio: float, window_s: float, slack: float):
        self.ratio, self.slack, self.width = ratio, slack, max(1, int(window_s * 4))
        self.came, self.again, self.at = [0] * self.width, [0] * self.width, 0

    def turn(self, now: int) -> int:
        at = now * 4 // SECOND
        for step in range(self.at + 1, min(at, self.at + self.width) + 1):
            self.came[step % self.width] = self.again[step % self.width] = 0
        self.at = max(self.at, at)
        return self.at % self.width

    def request(self, now: int) -> None:
        self.came[self.turn(now)] += 1

    def may(self, now: int, fronts: int, part: float = 1.0) -> bool:
        """Whether one more may be sent, of a `part` of what there is."""
        self.turn(now)
        room = SHARE * (self.ratio * sum(self.came) + self.slack / max(1, fronts))
        return sum(self.again) + 1 <= part * room

    def spend(self, now: int) -> None:
        self.again[self.turn(now)] += 1


# What came of a try, whether the request may run twice, then what is done: "again" where tries, time and
# budget allow it, else the status of the final answer.  503 promises that it has not run and never will.
TABLE = {
    ("unsent", True): ("again", 503),
    ("unsent", False): ("again", 503),
    ("not run", True): ("again", 503),
    ("not run", False): ("again", 503),
    ("broken", True): ("again", 502),
    ("broken", False): ("end", 502),
    ("timeout", True): ("end", 504),
    ("timeout", False): ("end", 504),
}
