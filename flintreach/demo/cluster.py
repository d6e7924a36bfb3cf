"""A local cluster on loopback: controllers and proxies as subprocesses, simulated endpoints in this process.

Each machine has its own address under 127.0.0.0/8, so all of them use the same ports, as in a deployment.
Used by `flintreach demo`, the soak tests and the end-to-end tests.
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

# Process roles, as named in the settings and on the command line.
CONTROLLER_ROLE = "refuge"  # name kept from earlier releases
PROXY_ROLE = "proxy"
# Listening ports by service, as offsets from the cluster's first port.
CONTROLLER_PORTS = {"control": 0, "directory": 1}
PROXY_PORTS = {"front": 2, "ready": 3}
PEER_PORT = 4  # connections between controllers and proxies
LAST_PEER_PORT = 5
SEED_NODES = 3  # number of controllers listed as seed nodes
FIRST_ENDPOINT_HOST = 100  # last octet of the first endpoint's address
REPORT_MS = 500  # heartbeat interval of endpoints

PUT_PATH = "/v1/timetable/put"
PUT_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 5.0
REQUEST_TIME_LEFT_MS = 3000
EXIT_POLL_S = 0.01
WAIT_POLL_S = 0.05
KB_PER_MB = 1024


@dataclass
class Machine:
    """A controller or proxy process and its simulated machine."""

    name: str
    role: str
    ip: str
    zone: str
    work_dir: str
    process: subprocess.Popen | None = None
    listen_addresses: dict[str, str] = field(default_factory=dict)  # by service
    module: str = "flintreach"  # run with the role as its argument
    environ: dict[str, str] = field(default_factory=dict)
    started_at: float = 0.0  # monotonic seconds
    log_bytes_at_start: int = 0  # length of the log at the last start

    @property
    def settings_path(self) -> str:
        """Path of the settings file."""
        return os.path.join(self.work_dir, "node.yaml")

    @property
    def data_dir(self) -> str:
        """Directory of the process's persistent state."""
        return os.path.join(self.work_dir, "disk")

    @property
    def log_path(self) -> str:
        """File that the process's output is appended to."""
        return os.path.join(self.work_dir, "log")

    def has_logged(self) -> bool:
        """Return whether the process has written to its log since its last start."""
        return os.path.getsize(self.log_path) > self.log_bytes_at_start

    def peak_memory_mb(self) -> float:
        """The most memory that the process has had resident since its start; 0 if it has exited."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                peaks = [line.split()[1] for line in file if line.startswith("VmHWM:")]
        except OSError:
            return 0.0
        return int(peaks[0]) / KB_PER_MB if peaks else 0.0

    def is_running(self) -> bool:
        """Return whether the process has been started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def uptime(self) -> float:
        """Return the seconds since the last start."""
        return time.monotonic() - self.started_at

    def start(self) -> None:
        """Start the process, appending its output to `log_path`."""
        environ = {**os.environ, PATH_VARIABLE: self.settings_path, **self.environ}
        self.started_at = time.monotonic()
        with open(self.log_path, "ab") as log:
            self.log_bytes_at_start = os.path.getsize(self.log_path)
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module, self.role], env=environ, stdout=log, stderr=log
            )

    def stop(self, signum: signal.Signals = signal.SIGKILL) -> None:
        """Send a terminating signal and wait until the process has exited."""
        process = self.process
        if process is None or process.poll() is not None:
            return
        process.send_signal(signum)
        while process.poll() is None:
            gevent.sleep(EXIT_POLL_S)


class ProxyResponse(NamedTuple):
    """A proxy's response to one request."""

    status: int
    body: bytes
    headers: dict[str, str]  # by lower-case name


class DemoCluster:
    """A cluster of controllers, proxies and simulated endpoints.

    Attributes:
        machines: members of the cluster, running or not.
        endpoints: simulated endpoints, which run in this process.
        work_dir: holds one directory per machine, with its settings, state and log.
        removes_work_dir: whether `stop` deletes `work_dir`.
        module, environ: used for machines that are added later; see `Machine`.
        memory_mb: memory limit in the machines' settings; 0 for none.
    """

    def __init__(
        self,
        base: str,
        port: int,
        controllers: int = 3,
        proxies: int = 3,
        work_dir: str | None = None,
        first_run: bool = True,
        memory_mb: float = 0,
    ) -> None:
        """Write the settings of all machines without starting any.

        Args:
            base: first three octets of a loopback network, such as "127.41.7".
            port: the first of six consecutive ports.
            controllers: number of controllers, assigned to the zones in rotation.
            proxies: number of proxies, assigned to the zones in rotation.
            work_dir: directory for settings, state and logs; a temporary directory by default.
            first_run: whether this is the cluster's first start, so that empty disks are not data loss.
            memory_mb: memory limit in the machines' settings; 0 for none.
        """
        self.base = base
        self.port = port
        self.removes_work_dir = work_dir is None
        self.work_dir = work_dir or tempfile.mkdtemp(prefix="flintreach-demo-")
        self.machines: list[Machine] = []
        self.endpoints: list[Endpoint] = []
        self.memory_mb = memory_mb
        self.module = "flintreach"
        self.environ: dict[str, str] = {}
        self.tolerated_losses = {
            "machines": 1 if controllers >= 3 else 0,  # two of three are a majority
            "zones": 1 if controllers >= len(ZONES) else 0,
        }
        zones = [*ZONES]
        for number in range(controllers):
            self.machines.append(
                self.new_machine(CONTROLLER_ROLE, number, number + 1, zones[number % len(zones)])
            )
        for index in range(proxies):
            number = controllers + index
            self.machines.append(self.new_machine(PROXY_ROLE, number, number + 1, zones[index % len(zones)]))
        self.last_machine_number = len(self.machines)
        for machine in self.machines:
            self.write_settings(machine, first_run)

    def new_machine(self, role: str, number: int, host: int, zone: str) -> Machine:
        """Return a machine whose settings have not been written yet.

        Args:
            role: CONTROLLER_ROLE or PROXY_ROLE.
            number: numeric suffix of its name.
            host: last octet of its address.
            zone: its zone.
        """
        name = f"{role}-{number}"
        return Machine(name, role, f"{self.base}.{host}", zone, os.path.join(self.work_dir, name))

    def add_machine(self, role: str, zone: str) -> Machine:
        """Add a machine with an empty disk and a new address, without starting it."""
        self.last_machine_number += 1
        machine = self.new_machine(role, self.last_machine_number, self.last_machine_number, zone)
        machine.module = self.module
        machine.environ = self.environ
        self.machines.append(machine)
        self.write_settings(machine, first_run=False)
        return machine

    def with_role(self, role: str) -> list[Machine]:
        """Return the machines that have a role."""
        return [machine for machine in self.machines if machine.role == role]

    def write_settings(self, machine: Machine, first_run: bool) -> None:
        """Write a machine's settings, replacing the file atomically as the platform does.

        Args:
            machine: the machine, whose directories are created if missing.
            first_run: whether this is the cluster's first start.
        """
        ports = CONTROLLER_PORTS if machine.role == CONTROLLER_ROLE else PROXY_PORTS
        machine.listen_addresses = {
            name: f"{machine.ip}:{self.port + number}" for name, number in ports.items()
        }
        os.makedirs(machine.data_dir, exist_ok=True)
        new_path = machine.settings_path + ".new"
        with open(new_path, "w", encoding="utf-8") as file:
            yaml.safe_dump(self.settings_for(machine, first_run), file)
        os.replace(new_path, machine.settings_path)

    def settings_for(self, machine: Machine, first_run: bool) -> dict[str, Any]:
        """Return a machine's settings under the keys of the file (see `config/settings.py`)."""
        is_controller = machine.role == CONTROLLER_ROLE
        seeds = self.with_role(CONTROLLER_ROLE)[:SEED_NODES]
        return {
            "sender": {
                "node_name": machine.name,
                "ip": machine.ip,
                "zone": machine.zone,
                "region": ZONES[machine.zone],
                "post_role": machine.role,
                "counted": is_controller,
                "first_run": first_run,
                "serves": [*machine.listen_addresses],
                "store_dir": machine.data_dir if is_controller else None,
                "limits": {"memory_mb": self.memory_mb},
            },
            "network": {
                "posts": machine.listen_addresses,
                "spare_ports": [self.port + PEER_PORT, self.port + LAST_PEER_PORT],
                "seed_nodes": [f"{seed.ip}:{self.port}" for seed in seeds],
                "zones": ZONES,
            },
            "carrier": {"report_ms": REPORT_MS},
            "tariffs": {"losses": self.tolerated_losses},
        }

    def control_addresses(self) -> list[tuple[str, int]]:
        """Return the control addresses of the running controllers."""
        return [
            (machine.ip, self.port) for machine in self.with_role(CONTROLLER_ROLE) if machine.is_running()
        ]

    def start(self) -> None:
        """Start all machines."""
        for machine in self.machines:
            machine.start()

    def add_endpoint(self, service: str, number: int, zone: str, **options: Any) -> Endpoint:
        """Start a simulated endpoint.

        Args:
            service: the service it belongs to.
            number: index of its address among the endpoint addresses.
            zone: the zone that it reports.
            options: further arguments of `Endpoint`.
        """
        address = (f"{self.base}.{FIRST_ENDPOINT_HOST + number}", self.port)
        endpoint = Endpoint(service, address, zone, self.control_addresses, **options)
        self.endpoints.append(endpoint)
        endpoint.start()
        return endpoint

    def add_endpoints(self, plain: int = 4, sharded: int = 2) -> None:
        """Start endpoints of both services, assigned to the zones in rotation.

        Args:
            plain: number of endpoints of the plain service.
            sharded: number of endpoints of the sharded service.
        """
        zones = [*ZONES]
        for number in range(plain + sharded):
            is_sharded = number >= plain
            service = SHARDED_SERVICE if is_sharded else PLAIN_SERVICE
            self.add_endpoint(service, number, zones[number % len(zones)], sharded=is_sharded)

    def put_configuration(self, configuration: dict[str, Any], deadline: float) -> bool:
        """Submit a configuration to the controllers until one acknowledges it.

        Args:
            configuration: in the wire format.
            deadline: monotonic time at which to give up, in seconds.

        Returns:
            Whether it was acknowledged before the deadline.
        """
        body = json.dumps(configuration).encode()

        def acknowledged() -> bool:
            return any(
                post_acknowledged(ip, port, PUT_PATH, body, PUT_TIMEOUT_S)
                for ip, port in self.control_addresses()
            )

        return self.wait_for(acknowledged, deadline)

    def send_request(
        self,
        machine: Machine,
        target: str,
        method: str = "GET",
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> ProxyResponse | None:
        """Send one request to a proxy.

        Args:
            machine: the proxy.
            target: path and query.
            method: HTTP method.
            headers: added to the default headers, which they override.
            body: request body.

        Returns:
            The response, or None if there was none.
        """
        host, port = machine.listen_addresses["front"].split(":")
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
            response = client.request(method, target, body, sent_headers)
            data = bytes(response.read())
            return ProxyResponse(
                response.status_code, data, {name.lower(): value for name, value in response.items()}
            )
        except (OSError, HTTPParseError):  # includes connections closed without a response
            return None
        finally:
            client.close()

    def wait_for(self, condition: Callable[[], object], deadline: float) -> bool:
        """Poll a condition until it holds.

        Args:
            condition: called at each poll.
            deadline: monotonic time at which to give up, in seconds.

        Returns:
            Whether it held before the deadline.
        """
        while time.monotonic() < deadline:
            if condition():
                return True
            gevent.sleep(WAIT_POLL_S)
        return False

    def stop(self) -> None:
        """Stop the endpoints, kill the processes and delete `work_dir` if `removes_work_dir` is set."""
        for endpoint in self.endpoints:
            endpoint.stop()
        for machine in self.machines:
            machine.stop()
        if self.removes_work_dir:
            shutil.rmtree(self.work_dir, ignore_errors=True)
