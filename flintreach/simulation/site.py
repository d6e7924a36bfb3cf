"""A simulated site: machines that run the production controller and proxy components, and calls to them.

The processes are assembled as in `controller/program.py` and `proxy/program.py`, without sockets.  Callers
reach a controller through `controller.http_api.ControlApi`, so they see the same HTTP statuses as in
production.
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

# Index of the spare port on which a process listens.
CONTROLLER_POST = 0
PROXY_POST = 1
# Prefixes of machine names.  The names occur in messages and traces, whose checksums are recorded.
CONTROLLER_NAME = "refuge"
PROXY_NAME = "proxy"
CONTROL_PORT = 8166
MAX_SEEDS = 3
LOST_DISK_RETENTION_NS = 2 * NS_PER_SECOND
LEASE_CALL_TIMEOUT_S = 0.95
MAX_LATE_GRANT_MS = 900
MISDIRECTED = 421
NO_STATUS = (0, b"")  # status and body where no answer arrived

decode = msgspec.msgpack.decode

# Time bounds in the settings file, under their documented names.
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


class SiteSize(NamedTuple):
    """Size of a site, and the machines and zones whose simultaneous loss it tolerates."""

    controllers: int
    zones: int
    regions: int
    lost_machines: int
    lost_zones: int


SITE_SIZES = (
    SiteSize(3, 3, 1, 1, 1),
    SiteSize(3, 3, 2, 1, 1),
    SiteSize(3, 1, 1, 1, 0),
    SiteSize(4, 2, 2, 1, 0),
    SiteSize(5, 3, 2, 2, 0),
    SiteSize(5, 5, 2, 2, 1),
    SiteSize(6, 3, 2, 2, 1),
)


class SiteShape:
    """Layout of a site, and the losses that it tolerates.

    Attributes:
        controllers: number of controllers.
        proxies: number of proxies.
        region_of_zone: zone -> its region.
        lost_machines: number of controllers' machines that may be lost at once.
        lost_zones: number of whole zones that may be lost at once.
        report_ms: interval between heartbeats of an endpoint, in milliseconds.
        sharded: whether there is a service with key ranges.
    """

    def __init__(self, rng: random.Random, controllers: int | None = None) -> None:
        """Choose a random layout; `controllers` is the number of controllers, None for a random one."""
        sizes = [size for size in SITE_SIZES if controllers in (None, size.controllers)]
        if not sizes:
            sizes = [SiteSize(controllers, 3, 1, (controllers - 1) // 2, 0)]
        size = rng.choice(sizes)
        self.controllers = size.controllers
        self.lost_machines = size.lost_machines
        self.lost_zones = size.lost_zones
        self.region_of_zone = {f"z{number}": f"r{number % size.regions}" for number in range(size.zones)}
        self.report_ms = rng.choice((600, 1000, 1500))
        self.proxies = rng.choice((1, 2, 2, 3))
        self.sharded = rng.random() < 0.4


def member_of(
    node: settings.ProcessSettings, address: Address, role: str, machine: Machine, ready: bool
) -> Member:
    """Return the member list entry of a process that starts."""
    identity = node.identity
    return Member(
        identity.node_name,
        role,
        *address,
        identity.zone,
        identity.region,
        dict(node.network.listen_addresses),
        identity.voter_eligible,
        ready,
        machine.wall_ms(),
    )


class SimulatedController(Process):
    """A simulated controller process, assembled as in `controller/program.py`.

    Attributes:
        listening: whether it answers callers.
        plane: the production control plane.
        control: the production WSGI application.
    """

    def __init__(self, site: "Site", machine: Machine, first_run: bool) -> None:
        """Assemble and start the components in the same order as the program."""
        super().__init__(site.sim, machine, machine.name, site.report_crash)
        self.site = site
        self.listening = False
        self.node = site.process_settings(machine, ROLE_CONTROLLER, first_run)
        self.peer_pool = PeerPool(self.node.peer_address(CONTROLLER_POST), self.runtime)
        self.store = Store(self, site.disks[machine.ip], self.node.identity.node_name, first_run)
        member = member_of(self.node, self.peer_pool.address, ROLE_CONTROLLER, machine, ready=False)
        self.failure_detector = SimulatedFailureDetector(self, member, self.seeds)
        self.plane = ControlPlane(
            self.node,
            self.peer_pool,
            self.store,
            self.failure_detector.member_list,
            self.seeds,
            self.begin_serving,
        )
        self.handlers = self.peer_pool.handlers
        self.control = ControlApi(self.plane, {name for _, names in LISTENER_CALLS for name in names})
        site.watch_updates(self, self.plane.updates)
        self.failure_detector.start()
        self.plane.start()

    def seeds(self) -> list[Address]:
        """Return the seed addresses of the current settings."""
        return sorted({(ip, self.peer_pool.address[1]) for ip in self.node.seeds()})

    def begin_serving(self) -> None:
        """Start to answer callers; called when the control plane has caught up."""
        self.failure_detector.update_local(ready=True)
        self.listening = True
        self.sim.note(self.name, "answers callers")
        self.site.checker.check_start(self)

    def reload_settings(self) -> None:
        """Reload the settings, as on SIGHUP."""
        self.node = self.site.process_settings(self.machine, ROLE_CONTROLLER, self.node.identity.first_run)
        self.plane.node = self.node

    def stop(self, ended: Callable[[], None]) -> None:
        """Leave and end, as on SIGTERM; `ended` is called once the process has ended."""

        def leave() -> None:
            self.plane.repair.voter_manager.hand_over()
            self.failure_detector.update_local(state=MemberState.LEFT)
            self.sim.call_after(0, self.end, True)
            self.sim.call_after(0, ended)

        self.dispatch(self.runtime.spawn, leave)

    def end(self, notify_peers: bool) -> None:
        """End immediately; see `Process.end`."""
        super().end(notify_peers)
        self.listening = False
        self.store.end()


class Proxy(Process):
    """The control-plane side of a proxy: a versioned store fed by two parents in the relay tree.

    It serves no requests.

    Attributes:
        updates: versioned store of the received updates.
        relay: receives the updates from the parents.
    """

    def __init__(self, site: "Site", machine: Machine) -> None:
        """Assemble and start the components."""
        super().__init__(site.sim, machine, machine.name, site.report_crash)
        self.node = site.process_settings(machine, ROLE_PROXY, False)
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
        """Return the seed addresses."""
        return [(ip, PEER_PORT) for ip in self.node.seeds()]

    def parents(self) -> list[Address]:
        """Choose the parents among the ready controllers, or among all if none is known to be ready."""
        member_list = self.failure_detector.member_list
        known = member_list.alive(ROLE_CONTROLLER)
        controllers = [member for member in known if member.ready] or known
        if not controllers:
            return []
        chosen = choose_parents(member_list.local_member, controllers, member_list.alive(ROLE_PROXY))
        return [member.address for member in chosen]


class LeaseOwner(lease_owner.LeaseOwner):
    """The production lease owner, with calls to simulated endpoints."""

    def exchange(self, kind: str, key_range: Range) -> lease_owner.CallResult:
        """Call the endpoint that holds a range; see `controller.lease_owner.LeaseOwner.exchange`."""
        process = self.runtime.process
        site = process.site
        waiter = Waiter(process)
        if kind != CallKind.GRANT and site.on_release is not None:
            callback = site.on_release
            site.on_release = None
            site.sim.call_after(0, callback, process.machine)
            waiter.wait(LEASE_CALL_TIMEOUT_S)  # the release is never sent
            return lease_owner.NO_ANSWER
        EndpointCall(site, self, kind, key_range, waiter).start()
        result = waiter.wait(LEASE_CALL_TIMEOUT_S)
        return lease_owner.NO_ANSWER if result is None else result


class LostDisk(NamedTuple):
    """A disk that was recently lost."""

    lost_at_ns: int
    address: Address
    disk: Disk


class Site:
    """The machines of a site, and calls to them from outside.

    Attributes:
        checker: checks the invariants.
        network: connects all machines.
        answer_loss: probability that an answer to a caller is lost.
        disks: IP address of a controller's machine -> its disk.
        controllers: IP address -> machine of a controller.
        proxies: IP address -> machine of a proxy.
        endpoints: address -> the endpoint that uses it now.
        on_post_acknowledged: callbacks, each called once with the machine that next acknowledges a POST.
        on_release: called once with the machine that is about to send a release of keys.
        outside: the process in which all callers run.
        runtime: of `outside`.
        seeds: seed addresses in the settings.
    """

    def __init__(self, sim: Simulation, shape: SiteShape, checker: InvariantChecker) -> None:
        """Create the machines; no process runs before `start`."""
        self.sim = sim
        self.shape = shape
        self.checker = checker
        self.network = Network(sim, loss=sim.rng.choice((0.0, 0.02, 0.1)))
        self.answer_loss = sim.rng.choice((0.0, 0.02, 0.08))
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
        """Add a machine with an empty disk for a controller."""
        machine = self.add_machine(self.controllers, CONTROLLER_NAME, zone)
        self.disks[machine.ip] = Disk(self.sim)
        return machine

    def add_machine(self, table: dict[str, Machine], name: str, zone: str) -> Machine:
        """Create a powered-off machine and add it to `table` under its IP address."""
        self.machine_count += 1
        ip = f"10.0.{len(self.shape.region_of_zone)}.{self.machine_count}"
        region = self.shape.region_of_zone[zone]
        machine = Machine(self.network, f"{name}-{self.machine_count}", ip, zone, region)
        table[ip] = machine
        return machine

    def process_settings(self, machine: Machine, role: str, first_run: bool) -> settings.ProcessSettings:
        """Return the settings of a process, as the platform generates them."""
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
        """Power on a machine if necessary, and start its process."""
        if not machine.powered:
            machine.boot()
        if machine.ip in self.proxies:
            machine.process = Proxy(self, machine)
        else:
            machine.process = SimulatedController(self, machine, first_run)
        self.sim.note(machine.name, "starts" + (" for the first time" if first_run else ""))

    def end(self, machine: Machine, power: bool = False) -> None:
        """Kill the process of a machine; with `power` the machine loses power."""
        if machine.process is not None and machine.process.alive:
            machine.process.end(notify_peers=not power)
        if power:
            machine.powered = False

    def wipe(self, machine: Machine) -> None:
        """Replace the disk of a machine by an empty one."""
        self.remember_lost_disk(machine)
        self.disks[machine.ip] = Disk(self.sim)

    def remember_lost_disk(self, machine: Machine) -> None:
        """Keep a lost disk for a while: it may belong to a quorum whose answer is still in flight."""
        lost = LostDisk(self.sim.now_ns, machine.process_address, self.disks[machine.ip])
        self.lost_disks.append(lost)

    def disks_with_addresses(self) -> list[tuple[Address, Disk]]:
        """Return the disks with the addresses of their processes, including recently lost ones."""
        now_ns = self.sim.now_ns
        self.lost_disks = [
            lost for lost in self.lost_disks if now_ns - lost.lost_at_ns < LOST_DISK_RETENTION_NS
        ]
        present = [(machine.process_address, self.disks[machine.ip]) for machine in self.controllers.values()]
        return [*present, *((lost.address, lost.disk) for lost in self.lost_disks)]

    def remove(self, machine: Machine) -> None:
        """Remove a controller's machine and its disk permanently."""
        self.end(machine, power=True)
        self.remember_lost_disk(machine)
        self.removed_ips.append(machine.ip)
        del self.controllers[machine.ip]
        del self.disks[machine.ip]

    def choose_seeds(self, rng: random.Random) -> None:
        """Choose new seeds among the present controllers' machines, and at times a removed one."""
        present = [*self.controllers]
        chosen = rng.sample(present, min(MAX_SEEDS, len(present)))
        if self.removed_ips and rng.random() < 0.3:
            chosen[-1] = rng.choice(self.removed_ips)  # an outdated entry in the operator's list
        self.seeds = [f"{ip}:{CONTROL_PORT}" for ip in chosen]

    def report_crash(self, text: str) -> None:
        """Report a task that ended with an unhandled exception."""
        self.checker.record_violation("crash", f"a task ended by an exception:\n{text}")

    def watch_updates(self, process: Process, updates: VersionedStore) -> None:
        """Report every update applied to a process's versioned store to the checker."""

        def record(key: str, version: Any, value: Any) -> None:
            self.checker.record_update(process, key, version, value)

        updates.watchers.append(record)

    def running_controllers(self) -> list[SimulatedController]:
        """Return the controllers whose process runs and is not frozen."""
        processes = [machine.process for machine in self.controllers.values()]
        return [
            process for process in processes if process is not None and process.alive and not process.frozen
        ]

    def voters(self) -> Voters:
        """Return the voters of the highest epoch known to any disk or process."""
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
        """Load the endpoint registry from a disk, as a starting controller does."""
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
        """Call a controller and wait for its answer.

        Args:
            machine: of the controller.
            method: HTTP method.
            path: with the query.
            body: of the request.
            timeout: longest time to wait, in seconds.
            late: extra delay of the request in seconds, beyond the network's delay.

        Returns:
            Status and body of the answer; status 0 if none arrived in time.
        """
        return CallerRequest(self, machine, method, path, body).run(timeout, late)


class CallerRequest:
    """One request from a caller to a controller."""

    def __init__(self, site: Site, machine: Machine, method: str, path: str, body: bytes) -> None:
        """Create a request of the running task; see `Site.call`."""
        self.site = site
        self.sim = site.sim
        self.network = site.network
        self.machine = machine
        self.method = method
        self.path = path
        self.body = body
        self.caller = site.outside.machine
        self.waiter = Waiter(site.outside)
        self.caller_gone_ns: int | None = None  # when the controller sees that the caller has disconnected

    def run(self, timeout: float, late: float) -> tuple[int, bytes]:
        """Send the request and wait for its answer; times in seconds."""
        delay_ns = self.network.delay(self.caller, self.machine) + int(late * NS_PER_SECOND)
        self.sim.call_after(delay_ns, self.arrive)
        answer = self.waiter.wait(timeout) or NO_STATUS
        self.caller_gone_ns = self.sim.now_ns + self.network.delay(self.caller, self.machine)
        return answer

    def arrive(self) -> None:
        """Deliver the request; a machine without a listening process refuses the connection."""
        process = self.machine.process
        if not self.machine.powered or not self.network.connected(self.caller.ip, self.machine.ip):
            return
        if process is None or not process.alive or not process.listening:
            self.answer(NO_STATUS)
            return
        self.sim.record_message(self.path.encode())
        process.dispatch(process.runtime.spawn, self.serve, process)

    def serve(self, process: SimulatedController) -> None:
        """Run the production WSGI application in a task of the controller."""
        statuses: list[int] = []

        def start_response(status_line: str, headers: list[tuple[str, str]]) -> None:
            statuses.append(int(status_line[:3]))

        body = b"".join(process.control(self.environ(), start_response))
        if statuses == [200]:
            self.notify_acknowledged()
        is_lost = self.sim.rng.random() < self.site.answer_loss
        if is_lost or not self.network.connected(self.caller.ip, self.machine.ip):
            return
        self.answer((statuses[0], body))

    def environ(self) -> dict[str, Any]:
        """Return the WSGI environment of the request (PEP 3333)."""
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
        """Whether the controller can see that the caller has disconnected."""
        return self.caller_gone_ns is not None and self.sim.now_ns >= self.caller_gone_ns

    def notify_acknowledged(self) -> None:
        """Run the callbacks that wait for an acknowledged POST, before the answer is sent."""
        if self.method != "POST":
            return
        watchers = self.site.on_post_acknowledged
        self.site.on_post_acknowledged = []
        for watcher in watchers:
            self.sim.call_after(0, watcher, self.machine)

    def answer(self, answer: tuple[int, bytes]) -> None:
        """Send an answer to the caller."""
        self.sim.call_after(self.network.delay(self.machine, self.caller), self.waiter.wake, answer)


class EndpointCall:
    """One call from a lease owner to an endpoint: connect, send, answer."""

    def __init__(
        self, site: Site, owner: LeaseOwner, kind: CallKind, key_range: Range, waiter: Waiter
    ) -> None:
        """Create a call; `waiter` is woken with its `CallResult`."""
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
        """Start to connect to the endpoint."""
        self.sim.call_after(self.delay(), self.connect)

    def delay(self) -> int:
        """Return a random one-way network delay in nanoseconds."""
        return self.network.delay(self.caller, self.outside)

    def connect(self) -> None:
        """Connect at the endpoint's machine, or refuse if no endpoint has the address."""
        if not self.network.connected(self.caller.ip, self.outside.ip):
            return
        if self.site.endpoints.get(self.key_range.address) is None:
            self.answer(lease_owner.NO_ANSWER)
        else:
            self.sim.call_after(self.delay(), self.process.dispatch, self.send)

    def send(self) -> None:
        """Send the call over the established connection, if the owner is still authorized to."""
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
        """Deliver the call to the endpoint that currently has the address."""
        key_range = self.key_range
        endpoint = self.site.endpoints.get(key_range.address)
        if endpoint is None or not self.network.connected(self.caller.ip, self.outside.ip):
            return
        # Each call names the intended endpoint: another one that now has the address rejects it.
        answer: tuple[int, str | None] = (MISDIRECTED, None)
        if endpoint.id == key_range.holder:
            answer = endpoint.answer_lease_call(self.process, self.kind, key_range, lease_s)
        if self.sim.rng.random() >= self.site.answer_loss:
            self.answer(lease_owner.answered(*answer))

    def answer(self, result: lease_owner.CallResult) -> None:
        """Return a result to the lease owner."""
        self.sim.call_after(self.delay(), self.process.dispatch, self.waiter.wake, result)
