"""Who calls a simulated site: operators, endpoints, readers, clients of the directory."""

import msgspec

from flintreach.endpoints.registry import EndpointState
from flintreach.sharding.range_lease import CallKind
from flintreach.simulation.invariants import configuration
from flintreach.simulation.scheduler import NS_PER_SECOND


class Callers:
    """`until`: when the last call begins (ns)."""

    def __init__(self, site, watch):
        self.site, self.watch, self.sim, self.runtime = site, watch, site.sim, site.runtime
        self.chance = site.runtime.chance
        self.number, self.salt, self.endpoints = 0, 0, 0
        self.old: list = []  # configurations that were sent, to be sent again
        self.over = False
        self.lives: list = []  # all endpoints that there were

    def start(self, until: int, quiet: bool = False) -> None:
        """`quiet`: endpoints alone, which come and go."""
        self.until = until
        runtime = self.runtime
        if quiet:
            for _ in range(6):
                runtime.spawn(self.places)
            runtime.spawn(self.put, 1, 6.0)
            self.number = 1
            return
        for _ in range(2):
            runtime.spawn(self.operator)
        runtime.spawn(self.evacuator)
        runtime.spawn(self.reader)
        runtime.spawn(self.client)
        for _ in range(self.chance.randint(2, 4)):
            runtime.spawn(self.places)

    @property
    def calling(self) -> bool:
        return not self.over and self.sim.now_ns < self.until

    def pick(self):
        return self.chance.choice([*self.site.controllers.values()])

    def insist(self, method: str, path: str, body: bytes, told, seconds: float) -> bool:
        """Send until it is acknowledged or refused, to any refuge; `told(status, machine)` hears each answer.
        Whether it was acknowledged."""
        pause, began = 0.05, self.sim.now_ns
        while self.sim.now_ns < began + seconds * NS_PER_SECOND and not self.over:
            machine = self.pick()
            status, _ = self.site.call(machine, method, path, body)
            if status:
                told(status, machine.name)
            if status == 200 or status in (400, 404, 409, 412, 413, 422):
                return status == 200
            self.runtime.sleep(pause * (0.5 + self.chance.random()))
            pause = min(1.0, pause * 1.6)
        return False

    def within(self, what: str, began: int, done: bool) -> None:
        """Whether an order was acknowledged in time, if it was calm."""
        if self.watch.calm(began) and self.sim.now_ns - began > 6 * NS_PER_SECOND:
            self.watch.broke("live", f"{what}: {'late' if done else 'not'} acknowledged in a calm time")

    # The operator.

    def operator(self) -> None:
        while True:
            self.runtime.sleep(self.chance.uniform(0.1, 2.5))
            if not self.calling:
                return
            if self.old and self.chance.random() < 0.25:
                put = self.chance.choice(self.old)  # an old order arrives again
                status, _ = self.site.call(machine := self.pick(), "POST", "/v1/timetable/put", put.body)
                if status:
                    self.watch.check_put_answer(put, status, machine.name)
                continue
            # Two operators take one number now and then.
            if not self.number or self.chance.random() < 0.65:
                self.number += self.chance.randint(1, 3)
            self.put(self.number, self.chance.choice((0.1, 2.0, 6.5, 12.0)))

    def put(self, number: int, seconds: float) -> bool:
        self.salt += 1
        put = self.watch.record_put(number, configuration(number, self.salt, self.site.shape.sharded))
        self.old.append(put)
        began = self.sim.now_ns
        done = self.insist(
            "POST",
            "/v1/timetable/put",
            put.body,
            lambda status, who: self.watch.check_put_answer(put, status, who),
            seconds,
        )
        if not put.refused_ns:
            self.within(f"configuration {number}", began, done)
        return done

    def evacuator(self) -> None:
        while True:
            self.runtime.sleep(self.chance.uniform(0.5, 5))
            if not self.calling:
                return
            zone = self.chance.choice([*self.site.shape.region_of_zone])
            for on in (True, False):
                self.evacuate(zone, on, 6.5)
                self.runtime.sleep(self.chance.uniform(0, 4))

    def evacuate(self, zone: str, on: bool, seconds: float) -> bool:
        order = self.watch.record_evacuation(zone, on)
        done = self.insist(
            "POST",
            f"/v1/evacuate/{zone}/{'start' if on else 'finish'}",
            b"",
            lambda status, who: self.watch.check_evacuation_answer(zone, order, status, who),
            seconds,
        )
        self.within(f"evacuation of {zone}", order.began_ns, done)
        return done

    def get(self) -> int:
        floor = max(self.watch.highest_acknowledged, self.watch.highest_shown)
        status, body = self.site.call(machine := self.pick(), "GET", "/v1/timetable/get")
        if status:
            self.watch.check_get(floor, status, body, machine.name)
        return status

    def reader(self) -> None:
        while not self.over:
            self.runtime.sleep(self.chance.uniform(0.1, 0.8))
            self.get()

    def client(self) -> None:
        while not self.over:
            self.runtime.sleep(self.chance.uniform(0.2, 1.0))
            machine = self.pick()
            status, _ = self.site.call(machine, "GET", "/v1/directions?name=a.example&region=r0&zone=z0")
            if status and machine.process is not None:
                self.watch.check_directions(machine.process, status)

    # Endpoints.

    def places(self) -> None:
        """One endpoint after the other, at times at the address of the one before it."""
        self.runtime.sleep(self.chance.uniform(0, 3))
        addr = None
        while self.calling:
            self.endpoints += 1
            keep = addr is not None and self.chance.random() < 0.6
            addr = addr if keep else f"10.128.0.{self.endpoints}:8080"
            endpoint = Endpoint(self, f"i-{self.endpoints}", addr)
            self.lives.append(endpoint)
            endpoint.run()
            self.runtime.sleep(self.chance.uniform(2.0, 4.0))


class Endpoint:
    """One life.  Its clock for holds runs up to 2% slow."""

    def __init__(self, callers: Callers, id: str, addr: str):
        self.callers, self.site, self.watch = callers, callers.site, callers.watch
        self.id, self.addr = id, addr
        chance = self.chance = callers.chance
        self.line = "keyed" if self.site.shape.sharded and chance.random() < 0.7 else "plain"
        self.zone = chance.choice([*self.site.shape.region_of_zone])
        self.slow, self.seq, self.up, self.state = 1 + 0.02 * chance.random(), 0, True, EndpointState.READY
        self.first, self.denied = None, 0  # when it was first acknowledged; how often in a row told as gone
        self.holds, self.seen, self.sent = [], [], []
        self.at = callers.pick()

    def steady(self) -> bool:
        """Up, not leaving, and acknowledged of late."""
        return (
            self.up
            and self.state == EndpointState.READY
            and self.first is not None
            and self.callers.sim.now_ns - self.first > 5 * NS_PER_SECOND
        )

    def run(self) -> None:
        callers, runtime, sim = self.callers, self.callers.runtime, self.callers.sim
        self.site.endpoints[self.addr] = self
        sim.note(self.id, f"up at {self.addr}")
        if self.chance.random() < 0.12:
            # Its one call is held up by the network, and comes when another may live at its address.
            self.seq = 1
            path = f"/v1/endpoints/{self.id}/check-in"
            runtime.spawn(self.late, path, self.body(), self.chance.uniform(3.0, 9.0))
            sim.note(self.id, "crashes, its first check-in under way")
            self.end()
            return
        life = self.chance.choice((self.chance.uniform(1, 8), self.chance.uniform(3, 40)))
        until, report = sim.now_ns + int(life * NS_PER_SECOND), self.site.shape.report_ms / 1000
        while sim.now_ns < until or not callers.calling:
            self.check_in()
            runtime.sleep(report * self.chance.uniform(0.9, 1.1))
            if callers.over:
                return
        if self.chance.random() < 0.35:
            sim.note(self.id, "crashes")
            self.end()
            return
        self.state = "closing"
        sim.note(self.id, "begins to leave")
        began = sim.now_ns
        done = self.insist(lambda: self.check_in(tries=1), 6.5)
        callers.within(f"closing of {self.id}", began, done)
        if self.chance.random() < 0.5:
            # Its closing is heard again and again until it ends, as each beat says it.
            for _ in range(self.chance.randint(1, 3)):
                runtime.sleep(report)
                self.check_in(tries=1)
        runtime.sleep(self.chance.uniform(3.0, 5.0))
        if done or self.chance.random() < 0.5:
            self.stop()  # with its sign-off it ends: it begins nothing more, though the answer may be lost
            self.insist(self.sign_off, 3.0)
        self.end()

    def stop(self) -> None:
        self.up = False
        if self.site.endpoints.get(self.addr) is self:
            del self.site.endpoints[self.addr]

    def end(self) -> None:
        self.stop()
        # What a slow network still holds of it arrives after its end.
        for path, body in self.chance.sample(self.sent, min(len(self.sent), self.chance.randint(0, 2))):
            self.callers.runtime.spawn(self.late, path, body, self.chance.uniform(0.5, 8.0))

    def late(self, path: str, body: bytes, seconds: float) -> None:
        self.site.call(self.callers.pick(), "POST", path, body, late=seconds, timeout=10.0)

    def insist(self, call, seconds: float) -> bool:
        sim, runtime = self.callers.sim, self.callers.runtime
        began = sim.now_ns
        while sim.now_ns < began + seconds * NS_PER_SECOND and not self.callers.over:
            if call():
                return True
            runtime.sleep(0.1 + 0.3 * self.chance.random())
        return False

    def post(self, path: str, body: bytes) -> tuple[int, object]:
        machine = self.at
        self.sent.append((path, body))
        status, _ = self.site.call(machine, "POST", path, body)
        if 400 <= status < 500:
            self.watch.broke("answered", f"{path}: {status} from {machine.name}")
        if status != 200:
            self.at = self.callers.pick()
        return status, machine

    def body(self) -> bytes:
        return msgspec.json.encode(
            {
                "line": self.line,
                "addr": self.addr,
                "zone": self.zone,
                "edition": "v1",
                "berths": 6,
                "state": self.state,
                "cold_left_ms": 0,
                "call_seq": self.seq,
            }
        )

    def check_in(self, tries: int = 3) -> bool:
        for _ in range(tries):
            self.seq += 1
            closing = self.state == "closing"
            status, machine = self.post(f"/v1/endpoints/{self.id}/check-in", self.body())
            if status == 200 and machine.process is not None:
                now = self.callers.sim.now_ns
                self.watch.check_heartbeat(self, self.first is None, closing, machine.process)
                self.first = self.first or now
                return True
        return False

    def sign_off(self) -> bool:
        status, machine = self.post(f"/v1/endpoints/{self.id}/sign-off", b"")
        if status == 200:
            self.watch.record_leaving(self, "sign-off", machine.name)
            self.watch.check_endpoint_on_disks(self, True, "sign-off", machine.name)
        return status == 200

    # What a keeper calls.

    def take(self, process, kind: str, r, hold: float) -> tuple[int, str | None]:
        now, low, high = self.callers.sim.now_ns, r.low, r.high
        if kind != CallKind.GRANT:
            self.holds = [part for held in self.holds for part in without(held, low, high)]
            return 200, f"h{r.fence}"
        if any(fence > r.fence and a <= high and low <= b for a, b, fence in self.seen):
            return 409, None
        older = [row for row in self.seen if not (low <= row[0] and row[1] <= high)]
        self.seen = [*older, (low, high, r.fence)]
        rest = [part for held in self.holds if held[3] > now for part in without(held, low, high)]
        self.holds = [*rest, (low, high, r.fence, now + int(hold * self.slow * NS_PER_SECOND))]
        self.watch.check_grant(process, self, low, high)
        return 200, None


def without(held: tuple, low: int, high: int) -> list[tuple]:
    """What is left of a range when another is taken out of it."""
    a, b, fence, until = held
    parts = [(a, min(b, low - 1), fence, until), (max(a, high + 1), b, fence, until)]
    return [part for part in parts if part[0] <= part[1]]
