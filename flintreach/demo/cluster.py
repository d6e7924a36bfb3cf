"""The whole system on this machine's loopback: controllers and proxies as processes, endpoints in this one.

Each machine of the deployment is an address of its own under 127.0.0.0/8, so all use the same ports, as on
real machines.  For a first look (`flintreach demo`), the soak, and tests of the programs over sockets.
"""

import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import gevent
import yaml
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from flintreach.config.settings import PATH_VARIABLE
from flintreach.demo.configuration import HOST, PLAIN_SERVICE, SHARDED_SERVICE
from flintreach.standins.endpoint import Endpoint, post_acknowledged

ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}  # zone -> its region

# What the settings call a process's job, and the program's name on a command line.
CONTROLLER_ROLE = "refuge"  # as earlier releases wrote it
PROXY_ROLE = "proxy"
# Services of a process -> the port at which it listens, counted from the first port of the cluster.
CONTROLLER_PORTS = {"control": 0, "directory": 1}
PROXY_PORTS = {"front": 2, "ready": 3}
PEER_PORT = 4  # controllers and proxies among each other
LAST_PORT = 5
SEEDS = 3  # controllers that the settings name as first peers
FIRST_ENDPOINT_HOST = 100  # last number of the first endpoint's address
REPORT_MS = 500  # between two heartbeats of an endpoint

PUT_PATH = "/v1/timetable/put"
PUT_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 5.0
REQUEST_TIME_LEFT_MS = 3000
EXIT_POLL_S = 0.01
WAIT_POLL_S = 0.05


@dataclass
class Machine:
    """One process of the system and where it runs."""

    name: str
    role: str
    ip: str
    zone: str
    folder: str
    process: subprocess.Popen | None = None
    posts: dict[str, str] = field(default_factory=dict)  # service -> address at which it listens
    module: str = "flintreach"  # what is run, with the role as its argument
    environ: dict[str, str] = field(default_factory=dict)
    started_at: float = 0.0  # steady seconds

    @property
    def settings_path(self) -> str:
        """The settings file of the process."""
        return os.path.join(self.folder, "node.yaml")

    @property
    def store_folder(self) -> str:
        """Where the process keeps its state."""
        return os.path.join(self.folder, "disk")

    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def running_for(self) -> float:
        """Seconds since its last start."""
        return time.monotonic() - self.started_at

    def start(self) -> None:
        """Start the process; its output is added to the file `log` of its folder."""
        environ = {**os.environ, PATH_VARIABLE: self.settings_path, **self.environ}
        self.started_at = time.monotonic()
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module, self.role], env=environ, stdout=log, stderr=log
            )

    def end(self, how: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal that ends the process, and wait until it has ended."""
        process = self.process
        if process is None or process.poll() is not None:
            return
        process.send_signal(how)
        while process.poll() is None:
            gevent.sleep(EXIT_POLL_S)


class ProxyAnswer(NamedTuple):
    """A proxy's answer to one request."""

    status: int
    body: bytes
    headers: dict[str, str]  # by name in lower case


class DemoCluster:
    """Machines of the system, and endpoints that serve for it.

    Attributes:
        machines: those that belong to the cluster, whether they run or not.
        endpoints: stand-ins in this process.
        folder: settings, disks and logs, a folder a machine.
        owns_folder: whether `stop` removes the folder.
        module, environ: of machines that join later, see `Machine`.
    """

    def __init__(
        self,
        base: str,
        port: int,
        controllers: int = 3,
        proxies: int = 3,
        folder: str | None = None,
        first_run: bool = True,
    ) -> None:
        """Write the settings of all machines; none is started.

        Args:
            base: three numbers of the loopback network, such as "127.41.7".
            port: the first of six ports that are used.
            controllers: how many, in the zones by turns.
            proxies: how many, in the zones by turns.
            folder: where settings, disks and logs go; a temporary folder otherwise.
            first_run: whether the system starts for the first time, so that empty disks are no loss.
        """
        self.base = base
        self.port = port
        self.owns_folder = folder is None
        self.folder = folder or tempfile.mkdtemp(prefix="flintreach-demo-")
        self.machines: list[Machine] = []
        self.endpoints: list[Endpoint] = []
        self.module = "flintreach"
        self.environ: dict[str, str] = {}
        self.losses = {
            "machines": 1 if controllers >= 3 else 0,  # of three, two are a majority
            "zones": 1 if controllers >= len(ZONES) else 0,
        }
        zones = [*ZONES]
        for number in range(controllers):
            self.machines.append(
                self.machine(CONTROLLER_ROLE, number, number + 1, zones[number % len(zones)])
            )
        for index in range(proxies):
            number = controllers + index
            self.machines.append(self.machine(PROXY_ROLE, number, number + 1, zones[index % len(zones)]))
        self.machines_made = len(self.machines)
        for machine in self.machines:
            self.write_settings(machine, first_run)

    def machine(self, role: str, number: int, host: int, zone: str) -> Machine:
        """A machine that has no settings yet.

        Args:
            role: CONTROLLER_ROLE or PROXY_ROLE.
            number: the one in its name.
            host: the last number of its address.
            zone: where it is.
        """
        name = f"{role}-{number}"
        return Machine(name, role, f"{self.base}.{host}", zone, os.path.join(self.folder, name))

    def join(self, role: str, zone: str) -> Machine:
        """A further machine, with empty disk and at an address of its own; it is not started."""
        self.machines_made += 1
        machine = self.machine(role, self.machines_made, self.machines_made, zone)
        machine.module = self.module
        machine.environ = self.environ
        self.machines.append(machine)
        self.write_settings(machine, first_run=False)
        return machine

    def of(self, role: str) -> list[Machine]:
        """The machines with a role."""
        return [machine for machine in self.machines if machine.role == role]

    def write_settings(self, machine: Machine, first_run: bool) -> None:
        """Write a machine's settings, as the platform does: the file is replaced as a whole.

        Args:
            machine: whose settings; its folders are made where they are missing.
            first_run: whether the system starts for the first time.
        """
        ports = CONTROLLER_PORTS if machine.role == CONTROLLER_ROLE else PROXY_PORTS
        machine.posts = {name: f"{machine.ip}:{self.port + number}" for name, number in ports.items()}
        os.makedirs(machine.store_folder, exist_ok=True)
        new_path = machine.settings_path + ".new"
        with open(new_path, "w", encoding="utf-8") as file:
            yaml.safe_dump(self.settings_of(machine, first_run), file)
        os.replace(new_path, machine.settings_path)

    def settings_of(self, machine: Machine, first_run: bool) -> dict[str, Any]:
        """A machine's settings, by the names of the file (see `config/settings.py`)."""
        is_controller = machine.role == CONTROLLER_ROLE
        seeds = self.of(CONTROLLER_ROLE)[:SEEDS]
        return {
            "sender": {
                "node_name": machine.name,
                "ip": machine.ip,
                "zone": machine.zone,
                "region": ZONES[machine.zone],
                "post_role": machine.role,
                "counted": is_controller,
                "first_run": first_run,
                "serves": [*machine.posts],
                "store_dir": machine.store_folder if is_controller else None,
            },
            "network": {
                "posts": machine.posts,
                "spare_ports": [self.port + PEER_PORT, self.port + LAST_PORT],
                "seed_nodes": [f"{seed.ip}:{self.port}" for seed in seeds],
                "zones": ZONES,
            },
            "carrier": {"report_ms": REPORT_MS},
            "tariffs": {"losses": self.losses},
        }

    def control_addresses(self) -> list[tuple[str, int]]:
        """The control addresses of the controllers that run."""
        return [(machine.ip, self.port) for machine in self.of(CONTROLLER_ROLE) if machine.is_running()]

    def start(self) -> None:
        """Start all machines."""
        for machine in self.machines:
            machine.start()

    def add(self, service: str, number: int, zone: str, **options: Any) -> Endpoint:
        """Start a stand-in endpoint.

        Args:
            service: which it serves.
            number: which of the addresses for endpoints it listens at.
            zone: where it says that it is.
            options: further ones of `Endpoint`.
        """
        address = (f"{self.base}.{FIRST_ENDPOINT_HOST + number}", self.port)
        endpoint = Endpoint(service, address, zone, self.control_addresses, **options)
        self.endpoints.append(endpoint)
        endpoint.start()
        return endpoint

    def add_endpoints(self, desks: int = 4, stores: int = 2) -> None:
        """Start endpoints of both services, in the zones by turns.

        Args:
            desks: how many of the plain service.
            stores: how many of the sharded one.
        """
        zones = [*ZONES]
        for number in range(desks + stores):
            sharded = number >= desks
            service = SHARDED_SERVICE if sharded else PLAIN_SERVICE
            self.add(service, number, zones[number % len(zones)], sharded=sharded)

    def put(self, configuration: dict[str, Any], until: float) -> bool:
        """Put a configuration at any controller that accepts it.

        Args:
            configuration: by the names of the wire.
            until: steady seconds at which to give up.

        Returns:
            Whether it was acknowledged.
        """
        body = json.dumps(configuration).encode()

        def acknowledged() -> bool:
            return any(
                post_acknowledged(ip, port, PUT_PATH, body, PUT_TIMEOUT_S)
                for ip, port in self.control_addresses()
            )

        return self.wait(acknowledged, until)

    def ask(
        self,
        machine: Machine,
        target: str,
        method: str = "GET",
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> ProxyAnswer | None:
        """Send one request to a proxy.

        Args:
            machine: the proxy.
            target: path and query.
            method: the HTTP method.
            headers: beside, or in place of, those that each request has.
            body: the request's body.

        Returns:
            Its answer, or None if there is none.
        """
        host, port = machine.posts["front"].split(":")
        client = HTTPClient(
            host, int(port), connection_timeout=CONNECT_TIMEOUT_S, network_timeout=ANSWER_TIMEOUT_S
        )
        sent_headers = {
            "Host": HOST,
            "X-Try-Id": os.urandom(8).hex(),
            "X-Time-Left-Ms": str(REQUEST_TIME_LEFT_MS),
            **(headers or {}),
        }
        try:
            answer = client.request(method, target, body, sent_headers)
            data = bytes(answer.read())
            return ProxyAnswer(
                answer.status_code, data, {name.lower(): value for name, value in answer.items()}
            )
        except (OSError, HTTPParseError):  # also a connection that ends without an answer
            return None
        finally:
            client.close()

    def wait(self, condition: Callable[[], object], until: float) -> bool:
        """Wait for a condition.

        Args:
            condition: asked again and again.
            until: steady seconds at which to give up.

        Returns:
            Whether it became true in time.
        """
        while time.monotonic() < until:
            if condition():
                return True
            gevent.sleep(WAIT_POLL_S)
        return False

    def stop(self) -> None:
        """Stop the endpoints, kill the processes, and remove the folder if it is the cluster's own."""
        for endpoint in self.endpoints:
            endpoint.stop()
        for machine in self.machines:
            machine.end()
        if self.owns_folder:
            shutil.rmtree(self.folder, ignore_errors=True)
