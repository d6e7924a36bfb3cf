"""Who calls a simulated site: operators, endpoints, readers, clients of the directory.

All of them run as tasks of the site's process `outside`.  The order in which they draw, spawn and wait is
part of what a seed plays.
"""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

import msgspec

from flintreach.endpoints.registry import EndpointState
from flintreach.sharding.range_assignment import Range
from flintreach.sharding.range_lease import CallKind
from flintreach.simulation.invariants import EvacuationOrder, InvariantChecker, Put, configuration
from flintreach.simulation.network import Machine
from flintreach.simulation.process import Process
from flintreach.simulation.scheduler import NS_PER_SECOND
from flintreach.simulation.site import Site

# Plain integers: an answer of an endpoint may stand in a trace, as it came over the wire.
OK = HTTPStatus.OK.value
CONFLICT = HTTPStatus.CONFLICT.value
PUT_PATH = "/v1/timetable/put"
GET_PATH = "/v1/timetable/get"
DIRECTIONS_PATH = "/v1/directions?name=a.example&region=r0&zone=z0"
RECEIPT_NS = 6 * NS_PER_SECOND  # `receipt_ms`, within which an order is acknowledged in calm times
ORDER_TIMEOUT_S = 6.5
SIGN_OFF_TIMEOUT_S = 3.0
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
BACKOFF_FACTOR = 1.6
LATE_CALL_TIMEOUT_S = 10.0
STEADY_NS = 5 * NS_PER_SECOND  # after its first acknowledgement, until all processes know of an endpoint
QUIET_ENDPOINT_TASKS = 6
CLOCK_DRIFT = 0.02  # by which an endpoint's clock may be slow
FINAL_STATUSES = (
    HTTPStatus.BAD_REQUEST,
    HTTPStatus.NOT_FOUND,
    HTTPStatus.CONFLICT,
    HTTPStatus.PRECONDITION_FAILED,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    HTTPStatus.UNPROCESSABLE_ENTITY,
)


class Callers:
    """All callers of a site.

    Attributes:
        chance: their draws.
        last_version: version of the last configuration.
        salt: of the last configuration; tells contents of one version apart.
        endpoint_count: how many endpoints there were.
        old_puts: configurations that were sent, to be sent again.
        stopped: whether no call is begun any more.
        endpoints: all endpoints that there were.
        until_ns: virtual time at which operators and endpoints begin their last calls.
    """

    def __init__(self, site: Site, checker: InvariantChecker) -> None:
        """Prepare; `start` begins the calls."""
        self.site = site
        self.checker = checker
        self.sim = site.sim
        self.runtime = site.runtime
        self.chance = site.runtime.rng
        self.last_version = 0
        self.salt = 0
        self.endpoint_count = 0
        self.old_puts: list[Put] = []
        self.stopped = False
        self.endpoints: list[Endpoint] = []
        self.until_ns = 0

    def start(self, until_ns: int, quiet: bool = False) -> None:
        """Begin to call.

        Args:
            until_ns: virtual time at which the last calls begin.
            quiet: one configuration, then only endpoints, which come and go.
        """
        self.until_ns = until_ns
        runtime = self.runtime
        if quiet:
            for _ in range(QUIET_ENDPOINT_TASKS):
                runtime.spawn(self.run_endpoints)
            runtime.spawn(self.put, 1, 6.0)
            self.last_version = 1
            return
        for _ in range(2):
            runtime.spawn(self.run_operator)
        runtime.spawn(self.run_evacuator)
        runtime.spawn(self.run_reader)
        runtime.spawn(self.run_client)
        for _ in range(self.chance.randint(2, 4)):
            runtime.spawn(self.run_endpoints)

    @property
    def calling(self) -> bool:
        """Whether operators and endpoints go on."""
        return not self.stopped and self.sim.now_ns < self.until_ns

    def pick(self) -> Machine:
        """Draw a controller's machine to call."""
        return self.chance.choice([*self.site.controllers.values()])

    def insist(self, path: str, body: bytes, on_answer: Callable[[int, str], None], seconds: float) -> bool:
        """Send an order, to any controller, until it is acknowledged or refused.

        Args:
            path: of the POST.
            body: of the POST.
            on_answer: called with the status and the controller's name at each answer.
            seconds: after which no further attempt begins.

        Returns:
            Whether it was acknowledged.
        """
        backoff_s = FIRST_BACKOFF_S
        began_ns = self.sim.now_ns
        while self.sim.now_ns < began_ns + seconds * NS_PER_SECOND and not self.stopped:
            machine = self.pick()
            status, _ = self.site.call(machine, "POST", path, body)
            if status:
                on_answer(status, machine.name)
            if status == HTTPStatus.OK:
                return True
            if status in FINAL_STATUSES:
                return False
            self.runtime.sleep(backoff_s * (0.5 + self.chance.random()))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * BACKOFF_FACTOR)
        return False

    def check_in_time(self, what: str, began_ns: int, acknowledged: bool) -> None:
        """An order that has just ended was acknowledged in time, if it was calm since its beginning."""
        if self.checker.calm(began_ns) and self.sim.now_ns - began_ns > RECEIPT_NS:
            how = "late" if acknowledged else "not"
            self.checker.record_violation("live", f"{what}: {how} acknowledged in a calm time")

    # Operators.

    def run_operator(self) -> None:
        """Put configurations, also earlier ones again, and others under a number that is taken."""
        while True:
            self.runtime.sleep(self.chance.uniform(0.1, 2.5))
            if not self.calling:
                return
            if self.old_puts and self.chance.random() < 0.25:
                self.repeat_put()
                continue
            # Two operators take one number now and then.
            if not self.last_version or self.chance.random() < 0.65:
                self.last_version += self.chance.randint(1, 3)
            self.put(self.last_version, self.chance.choice((0.1, 2.0, 6.5, 12.0)))

    def repeat_put(self) -> None:
        """An earlier put arrives again."""
        put = self.chance.choice(self.old_puts)
        machine = self.pick()
        status, _ = self.site.call(machine, "POST", PUT_PATH, put.body)
        if status:
            self.checker.check_put_answer(put, status, machine.name)

    def put(self, number: int, seconds: float) -> bool:
        """Put a new content under a number, for some seconds; whether it was acknowledged."""
        self.salt += 1
        body = configuration(number, self.salt, self.site.shape.sharded)
        put = self.checker.record_put(number, body)
        self.old_puts.append(put)
        began_ns = self.sim.now_ns

        def check(status: int, who: str) -> None:
            self.checker.check_put_answer(put, status, who)

        acknowledged = self.insist(PUT_PATH, put.body, check, seconds)
        if not put.refused_ns:
            self.check_in_time(f"configuration {number}", began_ns, acknowledged)
        return acknowledged

    def run_evacuator(self) -> None:
        """Begin and end evacuations."""
        while True:
            self.runtime.sleep(self.chance.uniform(0.5, 5))
            if not self.calling:
                return
            zone = self.chance.choice([*self.site.shape.region_of_zone])
            for is_evacuated in (True, False):
                self.evacuate(zone, is_evacuated, ORDER_TIMEOUT_S)
                self.runtime.sleep(self.chance.uniform(0, 4))

    def evacuate(self, zone: str, is_evacuated: bool, seconds: float) -> bool:
        """Order to begin or end an evacuation, for some seconds; whether it was acknowledged."""
        order: EvacuationOrder = self.checker.record_evacuation(zone, is_evacuated)

        def check(status: int, who: str) -> None:
            self.checker.check_evacuation_answer(zone, order, status, who)

        path = f"/v1/evacuate/{zone}/{'start' if is_evacuated else 'finish'}"
        acknowledged = self.insist(path, b"", check, seconds)
        self.check_in_time(f"evacuation of {zone}", order.began_ns, acknowledged)
        return acknowledged

    # Readers.

    def run_reader(self) -> None:
        """Get the configuration again and again."""
        while not self.stopped:
            self.runtime.sleep(self.chance.uniform(0.1, 0.8))
            lowest = max(self.checker.highest_acknowledged, self.checker.highest_shown)
            machine = self.pick()
            status, body = self.site.call(machine, "GET", GET_PATH)
            if status:
                self.checker.check_get(lowest, status, body, machine.name)

    def run_client(self) -> None:
        """Ask the directory again and again."""
        while not self.stopped:
            self.runtime.sleep(self.chance.uniform(0.2, 1.0))
            machine = self.pick()
            status, _ = self.site.call(machine, "GET", DIRECTIONS_PATH)
            if status and machine.process is not None:
                self.checker.check_directions(machine.process, status)

    # Endpoints.

    def run_endpoints(self) -> None:
        """Run one endpoint after the other, at times at the address of the one before it."""
        self.runtime.sleep(self.chance.uniform(0, 3))
        address: str | None = None
        while self.calling:
            self.endpoint_count += 1
            keeps_address = address is not None and self.chance.random() < 0.6
            if not keeps_address:
                address = f"10.128.0.{self.endpoint_count}:8080"
            endpoint = Endpoint(self, f"i-{self.endpoint_count}", address)
            self.endpoints.append(endpoint)
            endpoint.run()
            self.runtime.sleep(self.chance.uniform(2.0, 4.0))


class SeenFence(NamedTuple):
    """Keys that an endpoint was granted once, with the fencing token."""

    low: int
    high: int
    fence: int


class KeyLease(NamedTuple):
    """Keys that an endpoint holds until a virtual time, in nanoseconds."""

    low: int
    high: int
    fence: int
    until_ns: int


class Endpoint:
    """One endpoint, from its start to its end.

    Attributes:
        line: name of its service.
        slowness: how much longer than granted it takes its leases to last: its clock runs slow.
        sequence: of its last heartbeat.
        up: False from its end on.
        first_ns: when it was first acknowledged; None before.
        denied: how often in a row a controller acknowledged it and told it as gone.
        holds: its leases.
        seen: fencing tokens that it knows.
        sent: paths and bodies of its calls.
        machine: of the controller that it calls.
    """

    def __init__(self, callers: Callers, id: str, address: str) -> None:
        """Draw what it is like; `run` starts it."""
        self.callers = callers
        self.site = callers.site
        self.checker = callers.checker
        self.id = id
        self.address = address
        self.chance = callers.chance
        is_keyed = self.site.shape.sharded and self.chance.random() < 0.7
        self.line = "keyed" if is_keyed else "plain"
        self.zone = self.chance.choice([*self.site.shape.region_of_zone])
        self.slowness = 1 + CLOCK_DRIFT * self.chance.random()
        self.sequence = 0
        self.up = True
        self.state = EndpointState.READY
        self.first_ns: int | None = None
        self.denied = 0
        self.holds: list[KeyLease] = []
        self.seen: list[SeenFence] = []
        self.sent: list[tuple[str, bytes]] = []
        self.machine = callers.pick()

    def steady(self) -> bool:
        """Whether it is up, not leaving, and was acknowledged long enough ago for all to know of it."""
        if not self.up or self.state != EndpointState.READY or self.first_ns is None:
            return False
        return self.callers.sim.now_ns - self.first_ns > STEADY_NS

    def run(self) -> None:
        """Live: start, send heartbeats, then crash or leave."""
        self.site.endpoints[self.address] = self
        self.note(f"up at {self.address}")
        if self.chance.random() < 0.12:
            self.crash_at_start()
            return
        if not self.serve():
            return
        if self.chance.random() < 0.35:
            self.note("crashes")
            self.end()
            return
        self.leave()

    def note(self, what: str) -> None:
        """Record an event of its life."""
        self.callers.sim.note(self.id, what)

    def crash_at_start(self) -> None:
        """Its one call is held up by the network, and comes when another may have its address."""
        self.sequence = 1
        path = self.heartbeat_path()
        body = self.body()
        self.callers.runtime.spawn(self.call_late, path, body, self.chance.uniform(3.0, 9.0))
        self.note("crashes, its first check-in under way")
        self.end()

    def serve(self) -> bool:
        """Send heartbeats until its time is over; False where the trial ended before."""
        callers = self.callers
        life_s = self.chance.choice((self.chance.uniform(1, 8), self.chance.uniform(3, 40)))
        until_ns = callers.sim.now_ns + int(life_s * NS_PER_SECOND)
        report_s = self.site.shape.report_ms / 1000
        while callers.sim.now_ns < until_ns or not callers.calling:
            self.check_in()
            callers.runtime.sleep(report_s * self.chance.uniform(0.9, 1.1))
            if callers.stopped:
                return False
        return True

    def leave(self) -> None:
        """Drain, wait, sign off, end; at times without the sign-off where the draining was not heard."""
        callers = self.callers
        runtime = callers.runtime
        self.state = EndpointState.DRAINING
        self.note("begins to leave")
        began_ns = callers.sim.now_ns
        acknowledged = self.insist(lambda: self.check_in(tries=1), ORDER_TIMEOUT_S)
        callers.check_in_time(f"closing of {self.id}", began_ns, acknowledged)
        if self.chance.random() < 0.5:
            # Its closing is heard again and again until it ends, as each heartbeat says it.
            for _ in range(self.chance.randint(1, 3)):
                runtime.sleep(self.site.shape.report_ms / 1000)
                self.check_in(tries=1)
        runtime.sleep(self.chance.uniform(3.0, 5.0))
        if acknowledged or self.chance.random() < 0.5:
            # With its sign-off it ends: it begins nothing more, though the answer may be lost.
            self.stop()
            self.insist(self.sign_off, SIGN_OFF_TIMEOUT_S)
        self.end()

    def stop(self) -> None:
        """Serve no more, and give the address up."""
        self.up = False
        if self.site.endpoints.get(self.address) is self:
            del self.site.endpoints[self.address]

    def end(self) -> None:
        """Stop; what a slow network still holds of its calls arrives later."""
        self.stop()
        count = min(len(self.sent), self.chance.randint(0, 2))
        for path, body in self.chance.sample(self.sent, count):
            self.callers.runtime.spawn(self.call_late, path, body, self.chance.uniform(0.5, 8.0))

    # Calls to controllers.

    def call_late(self, path: str, body: bytes, seconds: float) -> None:
        """Make a call that the network delivers after some seconds."""
        machine = self.callers.pick()
        self.site.call(machine, "POST", path, body, late=seconds, timeout=LATE_CALL_TIMEOUT_S)

    def insist(self, call: Callable[[], bool], seconds: float) -> bool:
        """Make a call until it succeeds, for some seconds; whether it did."""
        sim = self.callers.sim
        began_ns = sim.now_ns
        while sim.now_ns < began_ns + seconds * NS_PER_SECOND and not self.callers.stopped:
            if call():
                return True
            self.callers.runtime.sleep(0.1 + 0.3 * self.chance.random())
        return False

    def post(self, path: str, body: bytes) -> tuple[int, Machine]:
        """Call its controller, and choose another where that did not succeed.

        Returns:
            The status, 0 without an answer, and the machine that was called.
        """
        machine = self.machine
        self.sent.append((path, body))
        status, _ = self.site.call(machine, "POST", path, body)
        if 400 <= status < 500:
            self.checker.record_violation("answered", f"{path}: {status} from {machine.name}")
        if status != HTTPStatus.OK:
            self.machine = self.callers.pick()
        return status, machine

    def heartbeat_path(self) -> str:
        """Where its heartbeats go."""
        return f"/v1/endpoints/{self.id}/check-in"

    def body(self) -> bytes:
        """A heartbeat, with the names that the pages give its fields."""
        return msgspec.json.encode(
            {
                "line": self.line,
                "addr": self.address,
                "zone": self.zone,
                "edition": "v1",
                "berths": 6,
                "state": self.state,
                "cold_left_ms": 0,
                "call_seq": self.sequence,
            }
        )

    def check_in(self, tries: int = 3) -> bool:
        """Send a heartbeat, some times at most; whether one was acknowledged."""
        for _ in range(tries):
            self.sequence += 1
            closing = self.state == EndpointState.DRAINING
            status, machine = self.post(self.heartbeat_path(), self.body())
            if status == HTTPStatus.OK and machine.process is not None:
                now_ns = self.callers.sim.now_ns
                self.checker.check_heartbeat(self, self.first_ns is None, closing, machine.process)
                self.first_ns = self.first_ns or now_ns
                return True
        return False

    def sign_off(self) -> bool:
        """Say that it ends; whether that was acknowledged."""
        status, machine = self.post(f"/v1/endpoints/{self.id}/sign-off", b"")
        if status != HTTPStatus.OK:
            return False
        self.checker.record_leaving(self, "sign-off", machine.name)
        self.checker.check_endpoint_on_disks(self, True, "sign-off", machine.name)
        return True

    # Calls of a lease owner.

    def take(
        self, process: Process, kind: CallKind, key_range: Range, lease_s: float
    ) -> tuple[int, str | None]:
        """Answer a grant or a release.

        Args:
            process: of the lease owner.
            kind: of the call.
            key_range: the keys, with their fencing token.
            lease_s: seconds that a grant is for.

        Returns:
            Status, and what is left for the next holder of released keys.
        """
        low = key_range.low
        high = key_range.high
        if kind != CallKind.GRANT:
            self.holds = [part for lease in self.holds for part in without(lease, low, high)]
            return OK, f"h{key_range.fence}"
        for seen in self.seen:
            if seen.fence > key_range.fence and seen.low <= high and low <= seen.high:
                return CONFLICT, None
        kept_seen = [seen for seen in self.seen if not (low <= seen.low and seen.high <= high)]
        self.seen = [*kept_seen, SeenFence(low, high, key_range.fence)]
        now_ns = self.callers.sim.now_ns
        valid = [lease for lease in self.holds if lease.until_ns > now_ns]
        rest = [part for lease in valid for part in without(lease, low, high)]
        until_ns = now_ns + int(lease_s * self.slowness * NS_PER_SECOND)
        self.holds = [*rest, KeyLease(low, high, key_range.fence, until_ns)]
        self.checker.check_grant(process, self, low, high)
        return OK, None


def without(lease: KeyLease, low: int, high: int) -> list[KeyLease]:
    """What is left of a lease when the keys from `low` to `high` are taken out of it."""
    below = lease._replace(high=min(lease.high, low - 1))
    above = lease._replace(low=max(lease.low, high + 1))
    return [part for part in (below, above) if part.low <= part.high]
