"""A site in simulation: machines with refuges and proxies, built of the shipped parts, and calls to them.

The processes are put together as `refuge/program.py` and `proxy/program.py` do it, without their sockets;
callers reach a refuge through `control.Control`, so the statuses are those that they would see.
"""

import io
from collections.abc import Callable
from types import SimpleNamespace

import msgspec
from gevent.pywsgi import Input

from flintreach.common.keys import ROLE_CONTROLLER, ROLE_PROXY
from flintreach.config import settings
from flintreach.consensus.quorum import Voters
from flintreach.controller import lease_owner
from flintreach.controller.control_plane import ControlPlane
from flintreach.controller.endpoint_service import EndpointService
from flintreach.controller.http_api import ControlApi
from flintreach.controller.program import SERVED
from flintreach.dissemination.relay import Relay
from flintreach.dissemination.relay_tree import parents
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.endpoints.registry import EndpointRegistry
from flintreach.membership.member_list import Member
from flintreach.sharding.range_lease import CallKind
from flintreach.simulation.disk import Disk, Store
from flintreach.simulation.network import PEER_PORT, Machine, Network, SimulatedFailureDetector
from flintreach.simulation.process import Process, Waiter
from flintreach.simulation.scheduler import NS_PER_MS, NS_PER_SECOND, Simulation
from flintreach.transport.peer_pool import PeerPool

REFUGE_POST, PROXY_POST = 0, 1
UNPACK = msgspec.msgpack.decode
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


class Shape:
    """How large a site is and what it may lose: drawn from the seed, or by `refuges`."""

    ROWS = (  # refuges, zones, regions, machines and zones that may be lost at once
        (3, 3, 1, 1, 1),
        (3, 3, 2, 1, 1),
        (3, 1, 1, 1, 0),
        (4, 2, 2, 1, 0),
        (5, 3, 2, 2, 0),
        (5, 5, 2, 2, 1),
        (6, 3, 2, 2, 1),
    )

    def __init__(self, chance, controllers: int | None = None):
        rows = [row for row in self.ROWS if controllers in (None, row[0])]
        rows = rows or [(controllers, 3, 1, (controllers - 1) // 2, 0)]
        self.controllers, zones, regions, self.machines, self.zones = chance.choice(rows)
        self.places = {f"z{n}": f"r{n % regions}" for n in range(zones)}
        self.report_ms = chance.choice((600, 1000, 1500))
        self.proxies = chance.choice((1, 2, 2, 3))
        self.sharded = chance.random() < 0.4


class SimulatedController(Process):
    """`refuge/program.py` in simulation.  `listening`: callers are answered."""

    def __init__(self, site: "Site", machine: Machine, first_run: bool):
        super().__init__(site.sim, machine, machine.name, site.crashed)
        self.site, self.listening, self.since = site, False, site.sim.now_ns
        self.node = site.node(machine, ROLE_CONTROLLER, first_run)
        self.peer_pool = PeerPool(self.node.peer_address(REFUGE_POST), self.runtime)
        me = self.node.sender
        self.store = Store(self, site.disks[machine.ip], me.node_name, first_run)
        member = Member(
            me.node_name,
            ROLE_CONTROLLER,
            *self.peer_pool.address,
            me.zone,
            me.region,
            dict(self.node.network.posts),
            me.counted,
            False,
            machine.wall_ms(),
        )
        self.failure_detector = SimulatedFailureDetector(self, member, self.seeds)
        self.plane = ControlPlane(
            self.node, self.peer_pool, self.store, self.failure_detector.member_list, self.seeds, self.begin
        )
        self.handlers = self.peer_pool.handlers
        self.control = ControlApi(self.plane, {name for _, names in SERVED for name in names})
        site.hear(self, self.plane.updates)
        self.failure_detector.start()
        self.plane.start()

    def seeds(self) -> list[tuple[str, int]]:
        return sorted({(ip, self.peer_pool.address[1]) for ip in self.node.seeds()})

    def begin(self) -> None:
        self.failure_detector.change(ready=True)
        self.listening = True
        self.sim.note(self.name, "answers callers")
        self.site.began(self)

    def reread(self) -> None:
        """SIGHUP."""
        self.node = self.plane.node = self.site.node(
            self.machine, ROLE_CONTROLLER, self.node.sender.first_run
        )

    def stop(self, ended: Callable[[], None]) -> None:
        """SIGTERM; `ended()`: called when it has ended by itself."""

        def leave():
            self.plane.repair.voting.leave()
            self.failure_detector.change(state=3)
            self.sim.after(0, self.end, True)
            self.sim.after(0, ended)

        self.do(self.runtime.spawn, leave)

    def end(self, notify_peers: bool) -> None:
        super().end(notify_peers)
        self.listening = False
        self.store.end()


class Proxy(Process):
    """What a proxy is to the news: a child of two parents, with a board.  It takes no requests."""

    def __init__(self, site: "Site", machine: Machine):
        super().__init__(site.sim, machine, machine.name, site.crashed)
        self.node = site.node(machine, ROLE_PROXY, False)
        self.peer_pool = PeerPool(self.node.peer_address(PROXY_POST), self.runtime)
        me = self.node.sender
        member = Member(
            me.node_name,
            ROLE_PROXY,
            *self.peer_pool.address,
            me.zone,
            me.region,
            dict(self.node.network.posts),
            me.counted,
            True,
            machine.wall_ms(),
        )
        self.failure_detector = SimulatedFailureDetector(
            self, member, lambda: [(ip, PEER_PORT) for ip in self.node.seeds()]
        )
        self.updates = VersionedStore(self.runtime.now)
        self.relay = Relay(self.peer_pool, self.updates, self.parents)
        self.handlers = self.peer_pool.handlers
        site.hear(self, self.updates)
        self.failure_detector.start()
        self.relay.start()

    def parents(self) -> list[tuple[str, int]]:
        member_list = self.failure_detector.member_list
        known = member_list.alive(ROLE_CONTROLLER)
        controllers = [member for member in known if member.ready] or known
        return (
            [m.address for m in parents(member_list.local_member, controllers, member_list.alive(ROLE_PROXY))]
            if controllers
            else []
        )


class LeaseOwner(lease_owner.LeaseOwner):
    """Grants go to simulated endpoints."""

    def exchange(self, kind: str, r) -> lease_owner.CallResult:
        process = self.runtime.process
        site, waiter = process.site, Waiter(process)
        if kind != CallKind.GRANT and site.on_release is not None:
            struck, site.on_release = site.on_release, None
            site.sim.after(0, struck, process.machine)
            waiter.wait(0.95)  # it was not sent any more
            return lease_owner.NO_ANSWER
        site.knock(process, kind, r, self, waiter)
        told = waiter.wait(0.95)
        return lease_owner.NO_ANSWER if told is None else told


class Site:
    """`watch` is told of what happens: see `trial.InvariantChecker`."""

    def __init__(self, sim: Simulation, shape: Shape, watch):
        self.sim, self.shape, self.watch = sim, shape, watch
        self.network = Network(sim, loss=sim.chance.choice((0.0, 0.02, 0.1)))
        self.lost_answers = sim.chance.choice((0.0, 0.02, 0.08))
        self.disks: dict[str, Disk] = {}
        self.ghosts: list = []
        self.gone: list[str] = []
        self.on_answer: list = []  # called once each, with the machine that acknowledges next
        self.on_release = None  # called once, with the machine that is about to ask for keys back
        self.controllers: dict[str, Machine] = {}
        self.proxies: dict[str, Machine] = {}
        self.endpoints: dict[str, SimpleNamespace] = {}  # address -> who is there now
        self.number = 0
        outside = Machine(self.network, "outside", "0.0.0.0", "", "")
        outside.powered = True
        outside.process = self.outside = Process(sim, outside, "outside", self.crashed)
        self.runtime = self.outside.runtime
        zones = [*shape.places]
        for n in range(shape.controllers):
            self.machine(self.controllers, "refuge", zones[n % len(zones)])
        self.seeds = [f"{m.ip}:8166" for m in [*self.controllers.values()][:3]]
        for n in range(shape.proxies):
            self.machine(self.proxies, "proxy", zones[n % len(zones)])

    def machine(self, table: dict, role: str, zone: str) -> Machine:
        self.number += 1
        ip = f"10.0.{len(self.shape.places)}.{self.number}"
        machine = Machine(self.network, f"{role}-{self.number}", ip, zone, self.shape.places[zone])
        if role == "refuge":
            self.disks[ip] = Disk(self.sim)
        table[ip] = machine
        return machine

    def node(self, machine: Machine, role: str, first_run: bool) -> settings.ProcessSettings:
        """The settings of a process, as the platform writes them."""
        losses = {"machines": self.shape.machines, "zones": self.shape.zones, "regions": 0}
        return msgspec.convert(
            {
                "sender": {
                    "node_name": machine.name,
                    "ip": machine.ip,
                    "zone": machine.zone,
                    "region": machine.region,
                    "counted": role == ROLE_CONTROLLER,
                    "first_run": first_run,
                    "store_dir": "disk" if role == ROLE_CONTROLLER else None,
                },
                "network": {
                    "posts": {"front": f"{machine.ip}:8161", "control": f"{machine.ip}:8166"},
                    "spare_ports": [PEER_PORT, PEER_PORT + 9],
                    "seed_nodes": self.seeds,
                    "zones": self.shape.places,
                },
                "carrier": {"report_ms": self.shape.report_ms},
                "tariffs": {"losses": losses, "timetable": BOUNDS},
            },
            settings.ProcessSettings,
        )

    # Processes.

    def start(self, machine: Machine, first_run: bool = False) -> None:
        if not machine.powered:
            machine.boot()
        if machine.ip in self.proxies:
            machine.process = Proxy(self, machine)
        else:
            machine.process = SimulatedController(self, machine, first_run)
        self.sim.note(machine.name, "starts" + (" for the first time" if first_run else ""))

    def end(self, machine: Machine, power: bool = False) -> None:
        if machine.process is not None and machine.process.alive:
            machine.process.end(notify_peers=not power)
        if power:
            machine.powered = False

    def wipe(self, machine: Machine) -> None:
        self.bury(machine)
        self.disks[machine.ip] = Disk(self.sim)

    def bury(self, machine: Machine) -> None:
        """A disk that is lost may have been part of a quorum whose word is still on its way."""
        self.ghosts.append((self.sim.now_ns, machine.process_address, self.disks[machine.ip]))

    def copies(self) -> list[tuple[tuple[str, int], Disk]]:
        """Disks by the address of their process, with those that were lost in the last two seconds."""
        self.ghosts = [ghost for ghost in self.ghosts if self.sim.now_ns - ghost[0] < 2 * NS_PER_SECOND]
        return [
            *((m.process_address, self.disks[m.ip]) for m in self.controllers.values()),
            *((address, disk) for _, address, disk in self.ghosts),
        ]

    def remove(self, machine: Machine) -> None:
        """For good, with its disk."""
        self.end(machine, power=True)
        self.bury(machine)
        self.gone.append(machine.ip)
        del self.controllers[machine.ip], self.disks[machine.ip]

    def choose_seeds(self, chance) -> None:
        """Some of the machines that the operator's list has, the newest too."""
        there = [*self.controllers]
        chosen = chance.sample(there, min(3, len(there)))
        if self.gone and chance.random() < 0.3:
            chosen[-1] = chance.choice(self.gone)  # the list lags
        self.seeds = [f"{ip}:8166" for ip in chosen]

    def crashed(self, text: str) -> None:
        self.watch.broke("crash", f"a task ended by an exception:\n{text}")

    def hear(self, process: Process, updates: VersionedStore) -> None:
        updates.watchers.append(lambda key, version, value: self.watch.parcel(process, key, version, value))

    def began(self, controller: SimulatedController) -> None:
        self.watch.began(controller)

    def up(self) -> list[SimulatedController]:
        """Refuges whose process runs."""
        return [
            m.process
            for m in self.controllers.values()
            if m.process is not None and m.process.alive and not m.process.frozen
        ]

    def voters(self) -> Voters:
        """The latest that any disk or process knows to be decided."""
        best = Voters()
        for machine in self.controllers.values():
            if kept := self.disks[machine.ip].facts.get("voters"):
                best = max(best, Voters.of(UNPACK(bytes.fromhex(kept))), key=lambda v: v.epoch)
            if machine.process is not None and machine.process.alive:
                best = max(best, machine.process.plane.register.voters, key=lambda v: v.epoch)
        return best

    def registry(self, disk: Disk) -> EndpointRegistry:
        """What a disk holds of endpoints, read as a start reads it."""
        told = SimpleNamespace(endpoint_rows=disk.endpoint_rows, facts=disk.facts, voting=True)
        plane = SimpleNamespace(
            runtime=self.runtime,
            store=told,
            peer_pool=SimpleNamespace(handlers={}),
            updates=None,
            register=None,
        )
        return EndpointService(plane, self.shape.report_ms).registry

    def answering(self, machine: Machine, method: str) -> None:
        if method == "POST":
            told, self.on_answer = self.on_answer, []
            for call in told:
                self.sim.after(0, call, machine)

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
        """(status, body) of an answer; status 0 where none came within `timeout` seconds."""
        waiter, sim, network = Waiter(self.outside), self.sim, self.network
        here, left = self.outside.machine, []

        def arrives():
            process = machine.process
            if not machine.powered or not network.joined(here.ip, machine.ip):
                return
            if process is None or not process.alive or not process.listening:
                sim.after(network.delay(machine, here), waiter.wake, (0, b""))
                return
            sim.record_message(path.encode())
            process.do(process.runtime.spawn, served, process)

        def served(process):
            status = []
            path_, _, query = path.partition("?")
            environ = {
                "REQUEST_METHOD": method,
                "PATH_INFO": path_,
                "QUERY_STRING": query,
                "wsgi.input": Input(io.BytesIO(body), len(body)),
                "CONTENT_LENGTH": str(len(body)),
                "flintreach.gone": lambda: bool(left and sim.now_ns >= left[0]),
            }
            told = b"".join(process.control(environ, lambda line, headers: status.append(int(line[:3]))))
            if status == [200]:
                self.answering(machine, method)
            lost = sim.chance.random() < self.lost_answers or not network.joined(here.ip, machine.ip)
            if not lost:
                sim.after(network.delay(machine, here), waiter.wake, (status[0], told))

        sim.after(network.delay(here, machine) + int(late * NS_PER_SECOND), arrives)
        told = waiter.wait(timeout) or (0, b"")
        left.append(sim.now_ns + network.delay(here, machine))  # when its end is seen there
        return told

    # Calls of a keeper to an endpoint.

    def knock(self, process: Process, kind: str, r, keeper, waiter: Waiter) -> None:
        sim, network, here, outside = self.sim, self.network, process.machine, self.outside.machine

        def connects():
            if not network.joined(here.ip, outside.ip):
                return
            if self.endpoints.get(r.address) is None:
                sim.after(network.delay(here, outside), process.do, waiter.wake, lease_owner.NO_ANSWER)
            else:
                sim.after(network.delay(here, outside), process.do, connected)

        def connected():
            if not keeper.state.may_send(kind, r, keeper.runtime.now()):
                waiter.wake(lease_owner.NOT_SENT)
                return
            hold = keeper.state.lease_s if kind == CallKind.GRANT else 0.0
            late = sim.chance.random() < 0.05
            sim.after(
                network.delay(here, outside) + (int(sim.chance.random() * 900 * NS_PER_MS) if late else 0),
                arrives,
                hold,
            )

        def arrives(hold):
            endpoint = self.endpoints.get(r.address)
            if endpoint is None or not network.joined(here.ip, outside.ip):
                return
            # Each call names whom it is for: another that has its address now turns it away.
            told = endpoint.take(process, kind, r, hold) if endpoint.id == r.holder else (421, None)
            if sim.chance.random() >= self.lost_answers:
                sim.after(network.delay(here, outside), process.do, waiter.wake, lease_owner.answered(*told))

        sim.after(network.delay(here, outside), connects)
