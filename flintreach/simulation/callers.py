"""Simulated callers of a site: operators, endpoints, configuration readers and directory clients.

All of them run as tasks of the site's process `outside`.  A seed reproduces a run only while the order of
their random draws, spawns and waits stays the same.
"""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

import msgspec

from flintreach.endpoints.registry import EndpointState
from flintreach.sharding.range_assignment import Range
from flintreach.sharding.range_lease import CallKind
from flintreach.simulation.invariants import EvacuationOrder, InvariantChecker, Put, encode_configuration
from flintreach.simulation.network import Machine
from flintreach.simulation.process import Process
from flintreach.simulation.scheduler import NS_PER_SECOND
from flintreach.simulation.site import Site

# Plain integers, not enum members: traces contain the statuses of endpoints as they are on the wire.
OK = HTTPStatus.OK.value
CONFLICT = HTTPStatus.CONFLICT.value
PUT_PATH = "/v1/timetable/put"
GET_PATH = "/v1/timetable/get"
DIRECTIONS_PATH = "/v1/directions?name=a.example&region=r0&zone=z0"
RECEIPT_NS = 6 * NS_PER_SECOND  # `receipt_ms`, within which an order is acknowledged without faults
ORDER_TIMEOUT_S = 6.5
SIGN_OFF_TIMEOUT_S = 3.0
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
BACKOFF_FACTOR = 1.6
LATE_CALL_TIMEOUT_S = 10.0
STEADY_NS = 5 * NS_PER_SECOND  # after its first acknowledgement, all processes know of an endpoint
QUIET_ENDPOINT_TASKS = 6
CLOCK_DRIFT = 0.02  # fraction by which an endpoint's clock may run slow
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
        rng: random generator of the callers.
        last_version: version of the last configuration.
        content_id: of the last configuration; distinguishes contents of the same version.
        endpoint_count: number of endpoints started so far.
        sent_puts: configurations that were sent, for repeated puts.
        stopped: whether no further call begins.
        endpoints: all endpoints started so far, including those that ended.
        until_ns: virtual time at which operators and endpoints stop.
    """

    def __init__(self, site: Site, checker: InvariantChecker) -> None:
        """Create the callers; `start` begins the calls."""
        self.site = site
        self.checker = checker
        self.sim = site.sim
        self.runtime = site.runtime
        self.rng = site.runtime.rng
        self.last_version = 0
        self.content_id = 0
        self.endpoint_count = 0
        self.sent_puts: list[Put] = []
        self.stopped = False
        self.endpoints: list[Endpoint] = []
        self.until_ns = 0

    def start(self, until_ns: int, quiet: bool = False) -> None:
        """Spawn the callers' tasks.

        Args:
            until_ns: virtual time at which operators and endpoints stop.
            quiet: put one configuration, and otherwise run only endpoints that start and end.
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
        for _ in range(self.rng.randint(2, 4)):
            runtime.spawn(self.run_endpoints)

    @property
    def calling(self) -> bool:
        """Whether operators and endpoints continue."""
        return not self.stopped and self.sim.now_ns < self.until_ns

    def pick(self) -> Machine:
        """Choose the machine of a random controller."""
        return self.rng.choice([*self.site.controllers.values()])

    def retry_order(
        self, path: str, body: bytes, on_answer: Callable[[int, str], None], seconds: float
    ) -> bool:
        """Send an order to random controllers until it is acknowledged or refused.

        Args:
            path: of the POST request.
            body: of the POST request.
            on_answer: called with the status and the controller's name for each answer.
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
            self.runtime.sleep(backoff_s * (0.5 + self.rng.random()))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * BACKOFF_FACTOR)
        return False

    def check_in_time(self, what: str, began_ns: int, acknowledged: bool) -> None:
        """Check that a finished order was acknowledged in time, if no fault was active since its start."""
        if self.checker.is_calm(began_ns) and self.sim.now_ns - began_ns > RECEIPT_NS:
            how = "late" if acknowledged else "not"
            self.checker.record_violation("live", f"{what}: {how} acknowledged in a calm time")

    # Operators.

    def run_operator(self) -> None:
        """Put new configurations, repeat earlier ones, and put other contents under a version in use."""
        while True:
            self.runtime.sleep(self.rng.uniform(0.1, 2.5))
            if not self.calling:
                return
            if self.sent_puts and self.rng.random() < 0.25:
                self.repeat_put()
                continue
            # Sometimes reuse the last version, as two concurrent operators may.
            if not self.last_version or self.rng.random() < 0.65:
                self.last_version += self.rng.randint(1, 3)
            self.put(self.last_version, self.rng.choice((0.1, 2.0, 6.5, 12.0)))

    def repeat_put(self) -> None:
        """Send an earlier put again."""
        put = self.rng.choice(self.sent_puts)
        machine = self.pick()
        status, _ = self.site.call(machine, "POST", PUT_PATH, put.body)
        if status:
            self.checker.check_put_answer(put, status, machine.name)

    def put(self, version: int, seconds: float) -> bool:
        """Put a new content under a version, with retries for some seconds; whether it was acknowledged."""
        self.content_id += 1
        body = encode_configuration(version, self.content_id, self.site.shape.sharded)
        put = self.checker.record_put(version, body)
        self.sent_puts.append(put)
        began_ns = self.sim.now_ns

        def check(status: int, controller_name: str) -> None:
            self.checker.check_put_answer(put, status, controller_name)

        acknowledged = self.retry_order(PUT_PATH, put.body, check, seconds)
        if not put.refused_ns:
            self.check_in_time(f"configuration {version}", began_ns, acknowledged)
        return acknowledged

    def run_evacuator(self) -> None:
        """Start and finish evacuations of random zones."""
        while True:
            self.runtime.sleep(self.rng.uniform(0.5, 5))
            if not self.calling:
                return
            zone = self.rng.choice([*self.site.shape.region_of_zone])
            for is_evacuated in (True, False):
                self.evacuate(zone, is_evacuated, ORDER_TIMEOUT_S)
                self.runtime.sleep(self.rng.uniform(0, 4))

    def evacuate(self, zone: str, is_evacuated: bool, seconds: float) -> bool:
        """Start or finish an evacuation, with retries for some seconds; whether it was acknowledged."""
        order: EvacuationOrder = self.checker.record_evacuation(zone, is_evacuated)

        def check(status: int, controller_name: str) -> None:
            self.checker.check_evacuation_answer(zone, order, status, controller_name)

        path = f"/v1/evacuate/{zone}/{'start' if is_evacuated else 'finish'}"
        acknowledged = self.retry_order(path, b"", check, seconds)
        self.check_in_time(f"evacuation of {zone}", order.began_ns, acknowledged)
        return acknowledged

    # Readers.

    def run_reader(self) -> None:
        """Get the configuration repeatedly."""
        while not self.stopped:
            self.runtime.sleep(self.rng.uniform(0.1, 0.8))
            lowest = max(self.checker.highest_acknowledged, self.checker.highest_shown)
            machine = self.pick()
            status, body = self.site.call(machine, "GET", GET_PATH)
            if status:
                self.checker.check_get(lowest, status, body, machine.name)

    def run_client(self) -> None:
        """Query the directory repeatedly."""
        while not self.stopped:
            self.runtime.sleep(self.rng.uniform(0.2, 1.0))
            machine = self.pick()
            status, _ = self.site.call(machine, "GET", DIRECTIONS_PATH)
            if status and machine.process is not None:
                self.checker.check_directions(machine.process, status)

    # Endpoints.

    def run_endpoints(self) -> None:
        """Run endpoints one after the other; some reuse the address of their predecessor."""
        self.runtime.sleep(self.rng.uniform(0, 3))
        address: str | None = None
        while self.calling:
            self.endpoint_count += 1
            keeps_address = address is not None and self.rng.random() < 0.6
            if not keeps_address:
                address = f"10.128.0.{self.endpoint_count}:8080"
            endpoint = Endpoint(self, f"i-{self.endpoint_count}", address)
            self.endpoints.append(endpoint)
            endpoint.run()
            self.runtime.sleep(self.rng.uniform(2.0, 4.0))


class KnownFence(NamedTuple):
    """The fencing token with which an endpoint was last granted a range of keys."""

    low: int
    high: int
    fence: int


class KeyLease(NamedTuple):
    """A lease on a range of keys, until a virtual time in nanoseconds."""

    low: int
    high: int
    fence: int
    until_ns: int


class Endpoint:
    """A simulated endpoint, from its start to its end.

    Attributes:
        service: name of its service.
        lease_stretch: factor by which it overestimates the length of leases, because its clock runs slow.
        sequence: sequence number of its last heartbeat.
        up: whether it has not ended.
        first_ns: when a heartbeat was first acknowledged; None before.
        consecutive_gone: acknowledged heartbeats in a row after which the controller listed it as gone.
        leases: that it holds.
        known_fences: fencing tokens of the grants that it accepted.
        sent_calls: paths and bodies of its calls.
        machine: of the controller that it calls.
    """

    def __init__(self, callers: Callers, id: str, address: str) -> None:
        """Create an endpoint with random properties; `run` starts it."""
        self.callers = callers
        self.site = callers.site
        self.checker = callers.checker
        self.id = id
        self.address = address
        self.rng = callers.rng
        is_keyed = self.site.shape.sharded and self.rng.random() < 0.7
        self.service = "keyed" if is_keyed else "plain"
        self.zone = self.rng.choice([*self.site.shape.region_of_zone])
        self.lease_stretch = 1 + CLOCK_DRIFT * self.rng.random()
        self.sequence = 0
        self.up = True
        self.state = EndpointState.READY
        self.first_ns: int | None = None
        self.consecutive_gone = 0
        self.leases: list[KeyLease] = []
        self.known_fences: list[KnownFence] = []
        self.sent_calls: list[tuple[str, bytes]] = []
        self.machine = callers.pick()

    def is_steady(self) -> bool:
        """Whether it is up and ready, and was acknowledged long enough ago for all processes to know it."""
        if not self.up or self.state != EndpointState.READY or self.first_ns is None:
            return False
        return self.callers.sim.now_ns - self.first_ns > STEADY_NS

    def run(self) -> None:
        """Start, send heartbeats, then crash or leave."""
        self.site.endpoints[self.address] = self
        self.note(f"up at {self.address}")
        if self.rng.random() < 0.12:
            self.crash_at_start()
            return
        if not self.serve():
            return
        if self.rng.random() < 0.35:
            self.note("crashes")
            self.end()
            return
        self.leave()

    def note(self, what: str) -> None:
        """Record an event of this endpoint in the trace."""
        self.callers.sim.note(self.id, what)

    def crash_at_start(self) -> None:
        """Crash with its only heartbeat still in flight, which arrives when the address may be reused."""
        self.sequence = 1
        path = self.heartbeat_path()
        body = self.body()
        self.callers.runtime.spawn(self.call_late, path, body, self.rng.uniform(3.0, 9.0))
        self.note("crashes, its first check-in under way")
        self.end()

    def serve(self) -> bool:
        """Send heartbeats for a random time; False if the trial stopped before the end."""
        callers = self.callers
        life_s = self.rng.choice((self.rng.uniform(1, 8), self.rng.uniform(3, 40)))
        until_ns = callers.sim.now_ns + int(life_s * NS_PER_SECOND)
        report_s = self.site.shape.report_ms / 1000
        while callers.sim.now_ns < until_ns or not callers.calling:
            self.check_in()
            callers.runtime.sleep(report_s * self.rng.uniform(0.9, 1.1))
            if callers.stopped:
                return False
        return True

    def leave(self) -> None:
        """Drain, wait, sign off and end; without an acknowledged draining the sign-off may be left out."""
        callers = self.callers
        runtime = callers.runtime
        self.state = EndpointState.DRAINING
        self.note("begins to leave")
        began_ns = callers.sim.now_ns
        acknowledged = self.retry(lambda: self.check_in(tries=1), ORDER_TIMEOUT_S)
        callers.check_in_time(f"closing of {self.id}", began_ns, acknowledged)
        if self.rng.random() < 0.5:
            # Each heartbeat until its end repeats the draining state.
            for _ in range(self.rng.randint(1, 3)):
                runtime.sleep(self.site.shape.report_ms / 1000)
                self.check_in(tries=1)
        runtime.sleep(self.rng.uniform(3.0, 5.0))
        if acknowledged or self.rng.random() < 0.5:
            # The sign-off ends it, even if the answer is lost: it begins nothing more.
            self.stop()
            self.retry(self.sign_off, SIGN_OFF_TIMEOUT_S)
        self.end()

    def stop(self) -> None:
        """Stop serving and release the address."""
        self.up = False
        if self.site.endpoints.get(self.address) is self:
            del self.site.endpoints[self.address]

    def end(self) -> None:
        """Stop, and have up to two of its earlier calls arrive again after a delay."""
        self.stop()
        count = min(len(self.sent_calls), self.rng.randint(0, 2))
        for path, body in self.rng.sample(self.sent_calls, count):
            self.callers.runtime.spawn(self.call_late, path, body, self.rng.uniform(0.5, 8.0))

    # Calls to controllers.

    def call_late(self, path: str, body: bytes, seconds: float) -> None:
        """Make a call that the network delays by some seconds."""
        machine = self.callers.pick()
        self.site.call(machine, "POST", path, body, late=seconds, timeout=LATE_CALL_TIMEOUT_S)

    def retry(self, call: Callable[[], bool], seconds: float) -> bool:
        """Repeat a call for some seconds until it succeeds; whether it did."""
        sim = self.callers.sim
        began_ns = sim.now_ns
        while sim.now_ns < began_ns + seconds * NS_PER_SECOND and not self.callers.stopped:
            if call():
                return True
            self.callers.runtime.sleep(0.1 + 0.3 * self.rng.random())
        return False

    def post(self, path: str, body: bytes) -> tuple[int, Machine]:
        """Send a POST request to its controller, and choose another controller if that fails.

        Returns:
            The status (0 if there was no answer) and the machine that was called.
        """
        machine = self.machine
        self.sent_calls.append((path, body))
        status, _ = self.site.call(machine, "POST", path, body)
        if 400 <= status < 500:
            self.checker.record_violation("answered", f"{path}: {status} from {machine.name}")
        if status != HTTPStatus.OK:
            self.machine = self.callers.pick()
        return status, machine

    def heartbeat_path(self) -> str:
        """Return the path of its heartbeats."""
        return f"/v1/endpoints/{self.id}/check-in"

    def body(self) -> bytes:
        """Encode a heartbeat, with the field names of the documented API."""
        return msgspec.json.encode(
            {
                "line": self.service,
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
        """Send heartbeats until one is acknowledged, at most `tries`; whether one was."""
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
        """Send the sign-off; whether it was acknowledged."""
        status, machine = self.post(f"/v1/endpoints/{self.id}/sign-off", b"")
        if status != HTTPStatus.OK:
            return False
        self.checker.record_leaving(self, "sign-off", machine.name)
        self.checker.check_endpoint_on_disks(self, True, "sign-off", machine.name)
        return True

    # Calls of a lease owner.

    def answer_lease_call(
        self, process: Process, kind: CallKind, key_range: Range, lease_s: float
    ) -> tuple[int, str | None]:
        """Answer a grant or release from a lease owner.

        Args:
            process: of the lease owner.
            kind: of the call.
            key_range: the keys, with their fencing token.
            lease_s: length of a granted lease in seconds.

        Returns:
            The status, and for a release the handover data for the next holder of the keys.
        """
        low = key_range.low
        high = key_range.high
        if kind != CallKind.GRANT:
            self.leases = [part for lease in self.leases for part in without(lease, low, high)]
            return OK, f"h{key_range.fence}"
        for known in self.known_fences:
            if known.fence > key_range.fence and known.low <= high and low <= known.high:
                return CONFLICT, None
        kept_fences = [known for known in self.known_fences if not (low <= known.low and known.high <= high)]
        self.known_fences = [*kept_fences, KnownFence(low, high, key_range.fence)]
        now_ns = self.callers.sim.now_ns
        valid = [lease for lease in self.leases if lease.until_ns > now_ns]
        rest = [part for lease in valid for part in without(lease, low, high)]
        until_ns = now_ns + int(lease_s * self.lease_stretch * NS_PER_SECOND)
        self.leases = [*rest, KeyLease(low, high, key_range.fence, until_ns)]
        self.checker.check_grant(process, self, low, high)
        return OK, None


def without(lease: KeyLease, low: int, high: int) -> list[KeyLease]:
    """Return the parts of a lease that remain without the keys from `low` to `high`."""
    below = lease._replace(high=min(lease.high, low - 1))
    above = lease._replace(low=max(lease.low, high + 1))
    return [part for part in (below, above) if part.low <= part.high]
