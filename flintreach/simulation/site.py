"""A site in simulation: machines with controllers and proxies, built of the shipped parts, and calls to them.

The processes are put together as `controller/program.py` and `proxy/program.py` do it, without their sockets.
Callers reach a controller through `controller.http_api.ControlApi`, so the statuses are those that they would
see.
"""

import io
import random
from collections.abc import Callable
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
from gevent.pywsgi import Input

from flintreach.common.keys import ROLE_CONTROLLER, ROLE_PROXY, VOTERS_KEY
from flintreach.config import settings
from flintreach.consensus.quorum import Voters
from flintreach.controller import lease_owner
from flintreach.controller.control_plane import ControlPlane
from flintreach.controller.endpoint_service import EndpointService
from flintreach.controller.http_api import ControlApi
from flintreach.controller.program import LISTENER_CALLS
from flintreach.dissemination.relay import Relay
from flintreach.dissemination.relay_tree import choose_parents
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.endpoints.registry import EndpointRegistry
from flintreach.membership.member_list import Member, MemberState
from flintreach.sharding.range_assignment import Range
from flintreach.sharding.range_lease import CallKind
from flintreach.simulation.disk import Disk, Store
from flintreach.simulation.invariants import InvariantChecker
from flintreach.simulation.network import PEER_PORT, Machine, Network, SimulatedFailureDetector
from flintreach.simulation.process import Process, Waiter
from flintreach.simulation.scheduler import NS_PER_MS, NS_PER_SECOND, Simulation
from flintreach.transport.peer_connection import Address
from flintreach.transport.peer_pool import PeerPool

if TYPE_CHECKING:
    from flintreach.simulation.callers import Endpoint

CONTROLLER_POST = 0  # which of the spare ports a process takes
PROXY_POST = 1
# Names of machines begin so: they stand in messages and traces, whose checksums are recorded.
CONTROLLER_NAME = "refuge"
PROXY_NAME = "proxy"
CONTROL_PORT = 8166
MAX_SEEDS = 3
LOST_DISK_MEMORY_NS = 2 * NS_PER_SECOND
LEASE_CALL_TIMEOUT_S = 0.95
MAX_LATE_GRANT_MS = 900
MISDIRECTED = 421
NO_STATUS = (0, b"")  # in place of an answer

decode = msgspec.msgpack.decode

# Time bounds of the settings file, by the names that the pages give them.
BOUNDS = {
    "list_lag_s": 3,
    "readdress_s": 2,
    "contact_ms": 5000,
    "receipt_ms": 6000,
    "catch_up_s": 4,
    "last_call_ms": 3000,
    "grace_s": 6,
    "edition_ms": 4000,
    "evacuate_ms": 5000,
    "hold_cap_ms": 10000,
    "thaw_ms": 300,
    "ttl_max_s": 5,
}


class Size(NamedTuple):
    """How large a site is, and how many machines and zones may be lost at once."""

    controllers: int
    zones: int
    regions: int
    lost_machines: int
    lost_zones: int


SIZES = (
    Size(3, 3, 1, 1, 1),
    Size(3, 3, 2, 1, 1),
    Size(3, 1, 1, 1, 0),
    Size(4, 2, 2, 1, 0),
    Size(5, 3, 2, 2, 0),
    Size(5, 5, 2, 2, 1),
    Size(6, 3, 2, 2, 1),
)


class SiteShape:
    """How large a site is and what it may lose.

    Attributes:
        controllers: how many.
        proxies: how many.
        region_of_zone: by the zone's name.
        lost_machines: how many machines with controllers may be lost at once.
        lost_zones: how many whole zones may be lost at once.
        report_ms: interval between heartbeats of an endpoint, in milliseconds.
        sharded: whether there is a service with key ranges.
    """

    def __init__(self, chance: random.Random, controllers: int | None = None) -> None:
        """Draw a shape; `controllers` is how many there shall be, None: drawn too."""
        sizes = [size for size in SIZES if controllers in (None, size.controllers)]
        if not sizes:
            sizes = [Size(controllers, 3, 1, (controllers - 1) // 2, 0)]
        size = chance.choice(sizes)
        self.controllers = size.controllers
        self.lost_machines = size.lost_machines
        self.lost_zones = size.lost_zones
        self.region_of_zone = {f"z{number}": f"r{number % size.regions}" for number in range(size.zones)}
        self.report_ms = chance.choice((600, 1000, 1500))
        self.proxies = chance.choice((1, 2, 2, 3))
        self.sharded = chance.random() < 0.4


def member_of(
    node: settings.ProcessSettings, address: Address, role: str, machine: Machine, ready: bool
) -> Member:
    """The entry of a process in the member list, as it starts."""
    sender = node.identity
    return Member(
        sender.node_name,
        role,
        *address,
        sender.zone,
        sender.region,
        dict(node.network.listen_addresses),
        sender.voter_eligible,
        ready,
        machine.wall_ms(),
    )


class SimulatedController(Process):
    """`controller/program.py` in simulation.

    Attributes:
        listening: whether callers are answered.
        plane: the shipped control plane.
        control: the shipped WSGI application.
    """

    def __init__(self, site: "Site", machine: Machine, first_run: bool) -> None:
        """Assemble the parts and start them, in the order of the program."""
        super().__init__(site.sim, machine, machine.name, site.report_crash)
        self.site = site
        self.listening = False
        self.node = site.node(machine, ROLE_CONTROLLER, first_run)
        self.peer_pool = PeerPool(self.node.peer_address(CONTROLLER_POST), self.runtime)
        self.store = Store(self, site.disks[machine.ip], self.node.identity.node_name, first_run)
        member = member_of(self.node, self.peer_pool.address, ROLE_CONTROLLER, machine, ready=False)
        self.failure_detector = SimulatedFailureDetector(self, member, self.seeds)
        self.plane = ControlPlane(
            self.node, self.peer_pool, self.store, self.failure_detector.member_list, self.seeds, self.begin
        )
        self.handlers = self.peer_pool.handlers
        self.control = ControlApi(self.plane, {name for _, names in LISTENER_CALLS for name in names})
        site.watch_updates(self, self.plane.updates)
        self.failure_detector.start()
        self.plane.start()

    def seeds(self) -> list[Address]:
        """Addresses to join by, from the settings as they stand."""
        return sorted({(ip, self.peer_pool.address[1]) for ip in self.node.seeds()})

    def begin(self) -> None:
        """The control plane has caught up: answer callers from now on."""
        self.failure_detector.update_local(ready=True)
        self.listening = True
        self.sim.note(self.name, "answers callers")
        self.site.checker.check_start(self)

    def reload_settings(self) -> None:
        """Read the settings anew, as at SIGHUP."""
        self.node = self.site.node(self.machine, ROLE_CONTROLLER, self.node.identity.first_run)
        self.plane.node = self.node

    def stop(self, ended: Callable[[], None]) -> None:
        """Leave and end, as at SIGTERM; `ended` is called when it has ended by itself."""

        def leave() -> None:
            self.plane.repair.voter_manager.hand_over()
            self.failure_detector.update_local(state=MemberState.LEFT)
            self.sim.call_after(0, self.end, True)
            self.sim.call_after(0, ended)

        self.dispatch(self.runtime.spawn, leave)

    def end(self, notify_peers: bool) -> None:
        """End at once; see `Process.end`."""
        super().end(notify_peers)
        self.listening = False
        self.store.end()


class Proxy(Process):
    """What a proxy is to the control plane: a child of two parents, with a versioned store.

    It takes no requests.

    Attributes:
        updates: what it has received.
        relay: receives it.
    """

    def __init__(self, site: "Site", machine: Machine) -> None:
        """Assemble the parts and start them."""
        super().__init__(site.sim, machine, machine.name, site.report_crash)
        self.node = site.node(machine, ROLE_PROXY, False)
        self.peer_pool = PeerPool(self.node.peer_address(PROXY_POST), self.runtime)
        member = member_of(self.node, self.peer_pool.address, ROLE_PROXY, machine, ready=True)
        self.failure_detector = SimulatedFailureDetector(self, member, self.seeds)
        self.updates = VersionedStore(self.runtime.now)
        self.relay = Relay(self.peer_pool, self.updates, self.parents)
        self.handlers = self.peer_pool.handlers
        site.watch_updates(self, self.updates)
        self.failure_detector.start()
        self.relay.start()

    def seeds(self) -> list[Address]:
        """Addresses to join by."""
        return [(ip, PEER_PORT) for ip in self.node.seeds()]

    def parents(self) -> list[Address]:
        """Where to take updates from: controllers that serve, or any where none is known to serve."""
        member_list = self.failure_detector.member_list
        known = member_list.alive(ROLE_CONTROLLER)
        controllers = [member for member in known if member.ready] or known
        if not controllers:
            return []
        chosen = choose_parents(member_list.local_member, controllers, member_list.alive(ROLE_PROXY))
        return [member.address for member in chosen]


class LeaseOwner(lease_owner.LeaseOwner):
    """The shipped lease owner, whose grants go to simulated endpoints."""

    def exchange(self, kind: str, key_range: Range) -> lease_owner.CallResult:
        """Call the endpoint that holds a range; see `controller.lease_owner.LeaseOwner.exchange`."""
        process = self.runtime.process
        site = process.site
        waiter = Waiter(process)
        if kind != CallKind.GRANT and site.on_release is not None:
            strike = site.on_release
            site.on_release = None
            site.sim.call_after(0, strike, process.machine)
            waiter.wait(LEASE_CALL_TIMEOUT_S)  # the release is not sent any more
            return lease_owner.NO_ANSWER
        EndpointCall(site, self, kind, key_range, waiter).start()
        result = waiter.wait(LEASE_CALL_TIMEOUT_S)
        return lease_owner.NO_ANSWER if result is None else result


class LostDisk(NamedTuple):
    """A disk that was part of the site until a moment ago."""

    lost_at_ns: int
    address: Address
    disk: Disk


class Site:
    """The machines of a site, and calls to them from outside.

    Attributes:
        checker: told of what happens.
        network: between all machines.
        lost_answers: share of the answers to callers that are lost.
        disks: of controllers, by IP address of the machine.
        controllers: machines of controllers by IP address.
        proxies: machines of proxies by IP address.
        endpoints: which endpoint is at an address now.
        on_post_acknowledged: called once each, with the machine that acknowledges a POST next.
        on_release: called once, with the machine that is about to ask for keys back.
        outside: the process that stands for all callers.
        runtime: of `outside`.
        seeds: addresses that the settings name to join by.
    """

    def __init__(self, sim: Simulation, shape: SiteShape, checker: InvariantChecker) -> None:
        """Make the machines; nothing runs on them before `start`."""
        self.sim = sim
        self.shape = shape
        self.checker = checker
        self.network = Network(sim, loss=sim.rng.choice((0.0, 0.02, 0.1)))
        self.lost_answers = sim.rng.choice((0.0, 0.02, 0.08))
        self.disks: dict[str, Disk] = {}
        self.lost_disks: list[LostDisk] = []
        self.removed_ips: list[str] = []
        self.on_post_acknowledged: list[Callable[[Machine], None]] = []
        self.on_release: Callable[[Machine], None] | None = None
        self.controllers: dict[str, Machine] = {}
        self.proxies: dict[str, Machine] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.machine_count = 0
        outside = Machine(self.network, "outside", "0.0.0.0", "", "")
        outside.powered = True
        self.outside = Process(sim, outside, "outside", self.report_crash)
        outside.process = self.outside
        self.runtime = self.outside.runtime
        zones = [*shape.region_of_zone]
        for number in range(shape.controllers):
            self.add_controller(zones[number % len(zones)])
        first_machines = [*self.controllers.values()][:MAX_SEEDS]
        self.seeds = [f"{machine.ip}:{CONTROL_PORT}" for machine in first_machines]
        for number in range(shape.proxies):
            self.add_machine(self.proxies, PROXY_NAME, zones[number % len(zones)])

    def add_controller(self, zone: str) -> Machine:
        """Make a machine with an empty disk for a controller."""
        machine = self.add_machine(self.controllers, CONTROLLER_NAME, zone)
        self.disks[machine.ip] = Disk(self.sim)
        return machine

    def add_machine(self, table: dict[str, Machine], name: str, zone: str) -> Machine:
        """Make a machine without power, and enter it in a table of machines by IP address."""
        self.machine_count += 1
        ip = f"10.0.{len(self.shape.region_of_zone)}.{self.machine_count}"
        region = self.shape.region_of_zone[zone]
        machine = Machine(self.network, f"{name}-{self.machine_count}", ip, zone, region)
        table[ip] = machine
        return machine

    def node(self, machine: Machine, role: str, first_run: bool) -> settings.ProcessSettings:
        """The settings of a process, as the platform writes them."""
        is_controller = role == ROLE_CONTROLLER
        losses = {"machines": self.shape.lost_machines, "zones": self.shape.lost_zones, "regions": 0}
        return msgspec.convert(
            {
                "sender": {
                    "node_name": machine.name,
                    "ip": machine.ip,
                    "zone": machine.zone,
                    "region": machine.region,
                    "counted": is_controller,
                    "first_run": first_run,
                    "store_dir": "disk" if is_controller else None,
                },
                "network": {
                    "posts": {"front": f"{machine.ip}:8161", "control": f"{machine.ip}:{CONTROL_PORT}"},
                    "spare_ports": [PEER_PORT, PEER_PORT + 9],
                    "seed_nodes": self.seeds,
                    "zones": self.shape.region_of_zone,
                },
                "carrier": {"report_ms": self.shape.report_ms},
                "tariffs": {"losses": losses, "timetable": BOUNDS},
            },
            settings.ProcessSettings,
        )

    # Processes.

    def start(self, machine: Machine, first_run: bool = False) -> None:
        """Give a machine power, if it has none, and start its process."""
        if not machine.powered:
            machine.boot()
        if machine.ip in self.proxies:
            machine.process = Proxy(self, machine)
        else:
            machine.process = SimulatedController(self, machine, first_run)
        self.sim.note(machine.name, "starts" + (" for the first time" if first_run else ""))

    def end(self, machine: Machine, power: bool = False) -> None:
        """Kill the process of a machine; with `power` the machine loses its power."""
        if machine.process is not None and machine.process.alive:
            machine.process.end(notify_peers=not power)
        if power:
            machine.powered = False

    def wipe(self, machine: Machine) -> None:
        """Exchange the disk of a machine for an empty one."""
        self.remember_lost_disk(machine)
        self.disks[machine.ip] = Disk(self.sim)

    def remember_lost_disk(self, machine: Machine) -> None:
        """A disk that is lost may have been part of a quorum whose answer is still on its way."""
        lost = LostDisk(self.sim.now_ns, machine.process_address, self.disks[machine.ip])
        self.lost_disks.append(lost)

    def disks_with_addresses(self) -> list[tuple[Address, Disk]]:
        """Disks with the address of their process, with those that were lost a moment ago."""
        now_ns = self.sim.now_ns
        self.lost_disks = [lost for lost in self.lost_disks if now_ns - lost.lost_at_ns < LOST_DISK_MEMORY_NS]
        present = [(machine.process_address, self.disks[machine.ip]) for machine in self.controllers.values()]
        return [*present, *((lost.address, lost.disk) for lost in self.lost_disks)]

    def remove(self, machine: Machine) -> None:
        """Take a controller's machine away for good, with its disk."""
        self.end(machine, power=True)
        self.remember_lost_disk(machine)
        self.removed_ips.append(machine.ip)
        del self.controllers[machine.ip]
        del self.disks[machine.ip]

    def choose_seeds(self, chance: random.Random) -> None:
        """Exchange the seeds for some of the machines that there are, the newest too."""
        present = [*self.controllers]
        chosen = chance.sample(present, min(MAX_SEEDS, len(present)))
        if self.removed_ips and chance.random() < 0.3:
            chosen[-1] = chance.choice(self.removed_ips)  # the operator's list lags
        self.seeds = [f"{ip}:{CONTROL_PORT}" for ip in chosen]

    def report_crash(self, text: str) -> None:
        """A task of a process was ended by an exception."""
        self.checker.record_violation("crash", f"a task ended by an exception:\n{text}")

    def watch_updates(self, process: Process, updates: VersionedStore) -> None:
        """Let the checker know of all that a process's versioned store takes in."""

        def record(key: str, version: Any, value: Any) -> None:
            self.checker.record_update(process, key, version, value)

        updates.watchers.append(record)

    def running_controllers(self) -> list[SimulatedController]:
        """Controllers whose process runs."""
        processes = [machine.process for machine in self.controllers.values()]
        return [
            process for process in processes if process is not None and process.alive and not process.frozen
        ]

    def voters(self) -> Voters:
        """The latest voters that any disk or process knows to be decided."""
        latest = Voters()
        for machine in self.controllers.values():
            stored = self.disks[machine.ip].facts.get(VOTERS_KEY)
            if stored:
                latest = max(
                    latest, Voters.from_row(decode(bytes.fromhex(stored))), key=lambda voters: voters.epoch
                )
            if machine.process is not None and machine.process.alive:
                known = machine.process.plane.register.voters
                latest = max(latest, known, key=lambda voters: voters.epoch)
        return latest

    def registry(self, disk: Disk) -> EndpointRegistry:
        """What a disk holds of endpoints, read as a start reads it."""
        store = SimpleNamespace(endpoint_rows=disk.endpoint_rows, facts=disk.facts, voting=True)
        plane = SimpleNamespace(
            runtime=self.runtime,
            store=store,
            peer_pool=SimpleNamespace(handlers={}),
            updates=None,
            register=None,
        )
        return EndpointService(plane, self.shape.report_ms).registry

    # Calls from outside.

    def call(
        self,
        machine: Machine,
        method: str,
        path: str,
        body: bytes = b"",
        timeout: float = 1.0,
        late: float = 0.0,
    ) -> tuple[int, bytes]:
        """Call a controller, and wait for its answer.

        Args:
            machine: of the controller.
            method: of HTTP.
            path: with the query.
            body: of the request.
            timeout: seconds to wait at most.
            late: seconds that the request spends on its way beside the network's delay.

        Returns:
            Status and body of the answer; status 0 where none came in time.
        """
        return CallerRequest(self, machine, method, path, body).run(timeout, late)


class CallerRequest:
    """One request to a controller from outside."""

    def __init__(self, site: Site, machine: Machine, method: str, path: str, body: bytes) -> None:
        """Prepare a request of the running task; see `Site.call`."""
        self.site = site
        self.sim = site.sim
        self.network = site.network
        self.machine = machine
        self.method = method
        self.path = path
        self.body = body
        self.caller = site.outside.machine
        self.waiter = Waiter(site.outside)
        self.caller_gone_ns: int | None = None  # when the controller sees that the caller waits no more

    def run(self, timeout: float, late: float) -> tuple[int, bytes]:
        """Send the request, and wait for its answer; times in seconds."""
        delay_ns = self.network.delay(self.caller, self.machine) + int(late * NS_PER_SECOND)
        self.sim.call_after(delay_ns, self.arrive)
        answer = self.waiter.wait(timeout) or NO_STATUS
        self.caller_gone_ns = self.sim.now_ns + self.network.delay(self.caller, self.machine)
        return answer

    def arrive(self) -> None:
        """The request reaches the machine, whose process serves it, or whose system refuses it."""
        process = self.machine.process
        if not self.machine.powered or not self.network.connected(self.caller.ip, self.machine.ip):
            return
        if process is None or not process.alive or not process.listening:
            self.answer(NO_STATUS)
            return
        self.sim.record_message(self.path.encode())
        process.dispatch(process.runtime.spawn, self.serve, process)

    def serve(self, process: SimulatedController) -> None:
        """Run the shipped application, in a task of the controller."""
        statuses: list[int] = []

        def start_response(status_line: str, headers: list[tuple[str, str]]) -> None:
            statuses.append(int(status_line[:3]))

        body = b"".join(process.control(self.environ(), start_response))
        if statuses == [200]:
            self.notify_acknowledged()
        is_lost = self.sim.rng.random() < self.site.lost_answers
        if is_lost or not self.network.connected(self.caller.ip, self.machine.ip):
            return
        self.answer((statuses[0], body))

    def environ(self) -> dict[str, Any]:
        """The request as PEP 3333 has it."""
        path, _, query = self.path.partition("?")
        return {
            "REQUEST_METHOD": self.method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "wsgi.input": Input(io.BytesIO(self.body), len(self.body)),
            "CONTENT_LENGTH": str(len(self.body)),
            "flintreach.gone": self.is_caller_gone,
        }

    def is_caller_gone(self) -> bool:
        """Whether the controller can see that the caller waits no more."""
        return self.caller_gone_ns is not None and self.sim.now_ns >= self.caller_gone_ns

    def notify_acknowledged(self) -> None:
        """Call those who wait for an acknowledgement, before it is on its way."""
        if self.method != "POST":
            return
        watchers = self.site.on_post_acknowledged
        self.site.on_post_acknowledged = []
        for watcher in watchers:
            self.sim.call_after(0, watcher, self.machine)

    def answer(self, answer: tuple[int, bytes]) -> None:
        """Send an answer back."""
        self.sim.call_after(self.network.delay(self.machine, self.caller), self.waiter.wake, answer)


class EndpointCall:
    """One call of a lease owner to an endpoint: connect, send, answer."""

    def __init__(
        self, site: Site, owner: LeaseOwner, kind: CallKind, key_range: Range, waiter: Waiter
    ) -> None:
        """Prepare a call; `waiter` is woken with its `CallResult`."""
        self.site = site
        self.sim = site.sim
        self.network = site.network
        self.owner = owner
        self.kind = kind
        self.key_range = key_range
        self.waiter = waiter
        self.process = owner.runtime.process
        self.caller = self.process.machine
        self.outside = site.outside.machine

    def start(self) -> None:
        """Dial."""
        self.sim.call_after(self.delay(), self.connect)

    def delay(self) -> int:
        """Draw the time of a message either way, in nanoseconds."""
        return self.network.delay(self.caller, self.outside)

    def connect(self) -> None:
        """The dial reaches the endpoint's machine."""
        if not self.network.connected(self.caller.ip, self.outside.ip):
            return
        if self.site.endpoints.get(self.key_range.address) is None:
            self.answer(lease_owner.NO_ANSWER)
        else:
            self.sim.call_after(self.delay(), self.process.dispatch, self.send)

    def send(self) -> None:
        """The connection is up: send, if the owner still may."""
        state = self.owner.state
        if not state.authorize_send(self.kind, self.key_range, self.owner.runtime.now()):
            self.waiter.wake(lease_owner.NOT_SENT)
            return
        lease_s = state.lease_s if self.kind == CallKind.GRANT else 0.0
        is_late = self.sim.rng.random() < 0.05
        delay_ns = self.delay()
        if is_late:
            delay_ns += int(self.sim.rng.random() * MAX_LATE_GRANT_MS * NS_PER_MS)
        self.sim.call_after(delay_ns, self.arrive, lease_s)

    def arrive(self, lease_s: float) -> None:
        """The call reaches the endpoint that has the address now."""
        key_range = self.key_range
        endpoint = self.site.endpoints.get(key_range.address)
        if endpoint is None or not self.network.connected(self.caller.ip, self.outside.ip):
            return
        # Each call names whom it is for: another endpoint that has its address now rejects it.
        answer: tuple[int, str | None] = (MISDIRECTED, None)
        if endpoint.id == key_range.holder:
            answer = endpoint.take(self.process, self.kind, key_range, lease_s)
        if self.sim.rng.random() >= self.site.lost_answers:
            self.answer(lease_owner.answered(*answer))

    def answer(self, result: lease_owner.CallResult) -> None:
        """Bring a result back to the lease owner."""
        self.sim.call_after(self.delay(), self.process.dispatch, self.waiter.wake, result)
