"""The whole system on this machine's loopback: refuges and proxies as processes, endpoints as stand-ins here.

Each machine of the deployment is an address of its own under 127.0.0.0/8, so all use the same ports, as on
real machines.  For a first look (`flintreach camp`) and for tests of the programs over sockets.
"""

import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field

import gevent
import gevent.event
import yaml
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from flintreach.standins.endpoint import Endpoint, told

ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}
TIMETABLE = {
    "edition": "00000001",
    "wickets": [
        {
            "destination": "camp.example",
            "regulations": [
                {
                    "name": "look",
                    "kind": "safe",
                    "target_ms": 800,
                    "sorting": {"postcode": "/look/"},
                    "dispatch": {"line": "desk", "deadline_ms": 3000, "tries": 2},
                },
                {
                    "name": "file",
                    "kind": "unsafe",
                    "target_ms": 800,
                    "sorting": {"postcode": "/file/"},
                    "dispatch": {"line": "desk", "deadline_ms": 3000, "tries": 2},
                },
                {
                    "name": "fetch",
                    "kind": "outbound_post",
                    "target_ms": 800,
                    "sorting": {"postcode": "/fetch/"},
                    "dispatch": {"line": "store", "deadline_ms": 3000, "tries": 2},
                },
            ],
        }
    ],
    "depots": [{"name": "desk"}, {"name": "store", "sharded": True}],
}


@dataclass
class Machine:
    """One process of the system and where it stands."""

    name: str
    role: str
    ip: str
    zone: str
    folder: str
    process: subprocess.Popen | None = None
    posts: dict[str, str] = field(default_factory=dict)
    module: str = "flintreach"  # what is run, with the role as its argument
    environ: dict[str, str] = field(default_factory=dict)
    started_at: float = 0.0  # steady seconds

    def running_for(self) -> float:
        """Seconds since its last start."""
        return time.monotonic() - self.started_at

    def start(self) -> None:
        settings = {"FLINTREACH_NODE_FILE": os.path.join(self.folder, "node.yaml")}
        environ = {**os.environ, **settings, **self.environ}
        self.started_at = time.monotonic()
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module, self.role], env=environ, stdout=log, stderr=log
            )

    def end(self, how=signal.SIGKILL) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(how)
            while self.process.poll() is None:
                gevent.sleep(0.01)


class DemoCluster:
    """`base`: three numbers of the loopback network, such as "127.41.7"; `port`: the first of six used."""

    def __init__(
        self,
        base: str,
        port: int,
        controllers: int = 3,
        proxies: int = 3,
        folder: str | None = None,
        first_run: bool = True,
    ):
        self.base, self.port, self.own = base, port, folder is None
        self.folder = folder or tempfile.mkdtemp(prefix="flintreach-camp-")
        names, self.machines, self.endpoints = [*ZONES], [], []
        self.module, self.environ = "flintreach", {}  # of machines that join later
        self.losses = {"machines": (controllers - 1) // 2 and 1, "zones": int(controllers >= len(ZONES))}
        for number in range(controllers + proxies):
            role = "refuge" if number < controllers else "proxy"
            zone = names[(number if role == "refuge" else number - controllers) % len(names)]
            self.machines.append(
                Machine(
                    f"{role}-{number}",
                    role,
                    f"{base}.{number + 1}",
                    zone,
                    os.path.join(self.folder, f"{role}-{number}"),
                )
            )
        self.made = len(self.machines)
        for machine in self.machines:
            self.settle(machine, first_run)

    def join(self, role: str, zone: str) -> Machine:
        """A further machine, with empty disk and at an address of its own; it is not started."""
        self.made += 1
        name = f"{role}-{self.made}"
        machine = Machine(name, role, f"{self.base}.{self.made}", zone, os.path.join(self.folder, name))
        machine.module, machine.environ = self.module, self.environ
        self.machines.append(machine)
        self.settle(machine, first_run=False)
        return machine

    def of(self, role: str) -> list[Machine]:
        return [machine for machine in self.machines if machine.role == role]

    def settle(self, machine: Machine, first_run: bool) -> None:
        """Write a machine's settings, as the platform does."""
        at = lambda number: f"{machine.ip}:{self.port + number}"  # noqa: E731
        controller = machine.role == "refuge"
        names = {"control": 0, "directory": 1} if controller else {"front": 2, "ready": 3}
        machine.posts = {name: at(number) for name, number in names.items()}
        os.makedirs(os.path.join(machine.folder, "disk"), exist_ok=True)
        node = {
            "sender": {
                "node_name": machine.name,
                "ip": machine.ip,
                "zone": machine.zone,
                "region": ZONES[machine.zone],
                "post_role": machine.role,
                "counted": controller,
                "first_run": first_run,
                "serves": [*machine.posts],
                "store_dir": os.path.join(machine.folder, "disk") if controller else None,
            },
            "network": {
                "posts": machine.posts,
                "spare_ports": [self.port + 4, self.port + 5],
                "seed_nodes": [f"{m.ip}:{self.port}" for m in self.of("refuge")][:3],
                "zones": ZONES,
            },
            "carrier": {"report_ms": 500},
            "tariffs": {"losses": self.losses},
        }
        path = os.path.join(machine.folder, "node.yaml")
        with open(path + ".new", "w", encoding="utf-8") as file:
            yaml.safe_dump(node, file)
        os.replace(path + ".new", path)

    def control(self) -> list[tuple[str, int]]:
        return [(m.ip, self.port) for m in self.of("refuge") if m.process and m.process.poll() is None]

    def start(self) -> None:
        for machine in self.machines:
            machine.start()

    def add(self, line: str, number: int, zone: str, **more) -> Endpoint:
        endpoint = Endpoint(line, (f"{self.base}.{100 + number}", self.port), zone, self.control, **more)
        self.endpoints.append(endpoint)
        endpoint.start()
        return endpoint

    def people(self, desks: int = 4, stores: int = 2) -> None:
        """Endpoints of both services, the zones in turn."""
        names = [*ZONES]
        for number in range(desks + stores):
            sharded = number >= desks
            self.add("store" if sharded else "desk", number, names[number % len(names)], sharded=sharded)

    def put(self, timetable: dict, until: float) -> bool:
        """Put a configuration at any refuge that takes it; `until`: steady seconds."""
        body = json.dumps(timetable).encode()
        return self.wait(
            lambda: any(told(ip, port, "/v1/timetable/put", body, 2.0) for ip, port in self.control()), until
        )

    def ask(
        self,
        machine: Machine,
        target: str,
        method: str = "GET",
        headers: dict | None = None,
        body: bytes = b"",
    ):
        """One request to a proxy: (status, body, headers by lower name), or None if it does not answer."""
        host, port = machine.posts["front"].split(":")
        client = HTTPClient(host, int(port), connection_timeout=0.5, network_timeout=5.0)
        try:
            sent = {"Host": "camp.example", "X-Try-Id": os.urandom(8).hex(), "X-Time-Left-Ms": "3000"}
            answer = client.request(method, target, body, {**sent, **(headers or {})})
            data = bytes(answer.read())
            return answer.status_code, data, {name.lower(): value for name, value in answer.items()}
        except (OSError, HTTPParseError):  # also a connection that ends without an answer
            return None
        finally:
            client.close()

    def wait(self, good, until: float) -> bool:
        """Whether `good()` became true before a moment of the steady clock."""
        while time.monotonic() < until:
            if good():
                return True
            gevent.sleep(0.05)
        return False

    def stop(self) -> None:
        for endpoint in self.endpoints:
            endpoint.stop()
        for machine in self.machines:
            machine.end()
        if self.own:
            shutil.rmtree(self.folder, ignore_errors=True)


def serve(proxies: int, controllers: int, desks: int, stores: int, port: int) -> int:
    """Start a camp, say how to ask it, and stay until SIGINT or SIGTERM."""
    cluster, ending = DemoCluster("127.41.7", port, controllers, proxies), gevent.event.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, ending.set)
    try:
        cluster.start()
        cluster.people(desks, stores)
        if not cluster.put(TIMETABLE, time.monotonic() + 30):
            print(f"flintreach: no refuge took a configuration; logs under {cluster.folder}", file=sys.stderr)
            cluster.own = False
            return 1
        first, controller = cluster.of("proxy")[0], cluster.of("refuge")[0]
        good = lambda path, **more: (cluster.ask(first, path, headers=more) or (0,))[0] == 200  # noqa: E731
        served = cluster.wait(
            lambda: good("/look/1") and good("/fetch/1", **{"X-Shard-Key": "7"}), time.monotonic() + 30
        )
        front = first.posts["front"]
        print(
            f"{controllers} controllers, {proxies} proxies, {desks + stores} endpoints; "
            f"logs under {cluster.folder}"
        )
        print(f"  curl -H 'Host: camp.example' http://{front}/look/7")
        print(f"  curl -H 'Host: camp.example' -H 'X-Shard-Key: 7' http://{front}/fetch/7")
        print(f"  python3 -m flintreach show status --at {controller.ip}:{port + 4}")
        print("ready" if served else "not all is served yet", flush=True)
        ending.wait()
        return 0
    except OSError as error:
        print(f"flintreach: {error}; another camp, perhaps: choose another --port", file=sys.stderr)
        return 1
    finally:
        cluster.stop()
