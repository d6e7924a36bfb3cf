"""Runs a soak with one seed: cluster, clients, fault injection and checks."""

import os
import random
import signal
import time
from dataclasses import dataclass
from enum import Enum

import gevent

from flintreach.demo.cluster import PROXY_ROLE, ZONES, DemoCluster, Machine
from flintreach.demo.configuration import CONFIGURATION, PLAIN_SERVICE, SHARDED_SERVICE
from flintreach.soak.checker import DEPARTURE_BOUND_S, Checker, Verdict, Violation
from flintreach.soak.clients import Client
from flintreach.soak.faults import Fault, FaultInjector
from flintreach.soak.final_checks import FinalChecks, serves
from flintreach.soak.first_start import FirstStartFaults
from flintreach.soak.history import History
from flintreach.standins.endpoint import Endpoint, EndpointState
from flintreach.standins.faulty import PARTITIONS_VARIABLE

FAULTY_MODULE = "flintreach.standins.faulty"  # run by the machines in place of `flintreach`
PLAIN_ENDPOINTS = 6
SHARDED_ENDPOINTS = 2
ENDPOINT_ADDRESSES = 150  # available in a cluster
ENDPOINT_CAPACITY = 8  # concurrent requests
ANSWER_LOSS_PROBABILITY = 0.2  # per answer, while `losing_responses` is set
ACKNOWLEDGEMENT_LOSS_PROBABILITY = 0.5  # per acknowledgement, likewise
ANNOUNCED_DEPARTURE_SHARE = 0.7  # share of departures that are announced before the sign-off
DEPARTURE_TRIES = 8
DEPARTURE_RETRY_S = 0.3
# A departed endpoint serves this much longer than `DEPARTURE_BOUND_S`, to detect late requests.
DEPARTURE_SLACK_S = 1.5
SUPERVISE_PAUSE_S = 0.1
START_TIMEOUT_S = 60.0  # for the cluster to serve requests, plus a second for each proxy
JOIN_TIMEOUT_S = 60.0  # for clients and faults to finish
SETTLE_S = 8.0  # without faults, before the final checks
SERVED_PATH = "/fetch/1"


class Mix(Enum):
    """Which faults a soak injects."""

    PLANNED = "planned"  # planned operations only: no answer may be lost
    UNPLANNED = "unplanned"
    BOTH = "both"


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The parameters of a soak.

    Attributes:
        seconds: duration of fault injection.
        mix: faults to inject.
        controllers: initial number of controllers.
        proxies: initial number of proxies.
        clients: number of clients with short bodies, a third in each mode; one more sends long bodies.
        concurrent_faults: number of faults in progress at a time.
        memory_mb: memory limit of each process.
        disturbs_first_start: whether faults are injected during the first start.
    """

    seconds: float
    mix: Mix = Mix.BOTH
    controllers: int = 3
    proxies: int = 3
    clients: int = 12
    concurrent_faults: int = 3
    memory_mb: float = 300
    disturbs_first_start: bool = True


class Soak:
    """A soak, from startup to verdict."""

    def __init__(self, seed: int, plan: SoakPlan, base: str, port: int) -> None:
        """Create the cluster's directories without starting anything.

        Args:
            seed: seed of all random draws.
            plan: parameters of the soak.
            base: first three octets of a loopback network.
            port: the first of six consecutive ports.
        """
        self.plan = plan
        self.verdict = Verdict(seed)
        self.history = History()
        self.rng = random.Random(seed)
        self.cluster = DemoCluster(base, port, plan.controllers, plan.proxies, memory_mb=plan.memory_mb)
        partitions_path = os.path.join(self.cluster.work_dir, "cuts")
        self.cluster.module = FAULTY_MODULE
        self.cluster.environ = {PARTITIONS_VARIABLE: partitions_path}
        for machine in self.cluster.machines:
            machine.module = self.cluster.module
            machine.environ = self.cluster.environ
        self.faults = FaultInjector(self.cluster, self.rng, self.history, self.verdict, partitions_path)
        self.endpoint_numbers = iter(range(PLAIN_ENDPOINTS + SHARDED_ENDPOINTS, ENDPOINT_ADDRESSES))
        self.stopping = False

    # Endpoints.

    def start_endpoint(self, service: str, number: int) -> Endpoint:
        """Start an endpoint whose answers and acknowledgements can be lost; `number` selects its address."""
        zones = [*ZONES]
        endpoint = self.cluster.add_endpoint(
            service,
            number,
            zones[number % len(zones)],
            sharded=service == SHARDED_SERVICE,
            capacity=ENDPOINT_CAPACITY,
        )
        endpoint.lose_answer = lambda: (
            self.faults.losing_responses and self.rng.random() < ANSWER_LOSS_PROBABILITY
        )
        endpoint.lose_acknowledgement = lambda: (
            self.faults.losing_responses and self.rng.random() < ACKNOWLEDGEMENT_LOSS_PROBABILITY
        )
        return endpoint

    def replace_endpoints(self) -> None:
        """Replace endpoints one after the other; most of them announce their departure in advance."""
        departures = []
        while not self.stopping:
            gevent.sleep(self.rng.uniform(0.4, 1.2))
            ready = [endpoint for endpoint in self.cluster.endpoints if endpoint.state == EndpointState.READY]
            number = next(self.endpoint_numbers, None)
            if number is None or not ready:
                break
            leaving = self.rng.choice(ready)
            self.start_endpoint(leaving.service, number)
            announces = self.rng.random() < ANNOUNCED_DEPARTURE_SHARE
            departures.append(gevent.spawn(self.depart, leaving, announces))
        gevent.joinall(departures)

    def depart(self, endpoint: Endpoint, announces: bool) -> None:
        """Make an endpoint depart, and keep it serving for longer than requests may still arrive.

        Args:
            endpoint: an endpoint in the state `READY`.
            announces: whether it announces its departure in advance instead of only signing off.
        """
        report_departure = endpoint.leave if announces else endpoint.send_sign_off
        for _ in range(DEPARTURE_TRIES):
            if report_departure():
                break
            gevent.sleep(DEPARTURE_RETRY_S)
        gevent.sleep(DEPARTURE_BOUND_S + DEPARTURE_SLACK_S)
        endpoint.sign_off()

    # Clients and faults.

    def proxies(self) -> list[Machine]:
        """Return the current proxies of the cluster."""
        return self.cluster.with_role(PROXY_ROLE)

    def client(self, number: int) -> Client:
        """Create a client with its own random source."""
        name = f"{self.verdict.seed} {number}"
        return Client(name, self.proxies, self.history, self.verdict, lambda: self.stopping)

    def available_faults(self) -> list[Fault]:
        """Return the faults of the plan's mix, repeated according to their weight."""
        planned = self.faults.planned() if self.plan.mix != Mix.UNPLANNED else []
        unplanned = self.faults.unplanned() if self.plan.mix != Mix.PLANNED else []
        return planned + unplanned

    def inject_faults(self, rng: random.Random) -> None:
        """Inject faults one after the other; runs in several greenlets, each with its own random source."""
        kinds = self.available_faults()
        while not self.stopping:
            self.faults.inject(rng.choice(kinds))
            gevent.sleep(rng.uniform(0.0, 0.5))

    def supervise(self) -> None:
        """Restart exited processes periodically, and check the others, until the soak stops."""
        while not self.stopping:
            self.faults.processes.supervise()
            gevent.sleep(SUPERVISE_PAUSE_S)

    # Phases of a soak.

    def all_proxies_serve(self) -> bool:
        """Return whether each proxy serves requests."""
        serving = [serves(self.cluster, machine, SERVED_PATH) for machine in self.proxies()]
        return all(serving)

    def start(self) -> bool:
        """Start machines and endpoints; return whether all proxies serve requests in time."""
        self.cluster.start()
        gevent.spawn(self.supervise)
        if self.plan.disturbs_first_start:
            rng = random.Random(f"{self.verdict.seed} first start")
            FirstStartFaults(self.cluster, self.faults.processes, rng).run()
        for number in range(PLAIN_ENDPOINTS + SHARDED_ENDPOINTS):
            self.start_endpoint(PLAIN_SERVICE if number < PLAIN_ENDPOINTS else SHARDED_SERVICE, number)
        deadline = time.monotonic() + START_TIMEOUT_S + self.plan.proxies
        return self.cluster.put_configuration(CONFIGURATION, deadline) and self.cluster.wait_for(
            self.all_proxies_serve, deadline
        )

    def stop(self) -> None:
        """Stop everything, keeping the machines' directories if an invariant was broken."""
        self.stopping = True
        if self.verdict.broken:
            self.cluster.removes_work_dir = False
            self.verdict.logs = self.cluster.work_dir
        for machine in self.cluster.machines:
            if machine.is_running():
                machine.process.send_signal(signal.SIGCONT)
        self.cluster.stop()

    def check_history(self) -> None:
        """Check the history against the invariants."""
        Checker(self.history, self.verdict).check(self.cluster.endpoints)

    def check_machines(self) -> None:
        """Check the running machines."""
        checks = FinalChecks(self.cluster, self.verdict)
        checks.check_configuration(self.faults.configurations.acknowledged_version)
        checks.check_processes()
        checks.check_counters()

    def run_workload(self) -> None:
        """Run clients and fault injection for the planned time, and wait until all of them have finished."""
        clients = [self.client(number) for number in range(self.plan.clients)]
        modes = (Client.run_without_keep_alive, Client.run_with_keep_alive, Client.run_with_early_disconnect)
        jobs = [gevent.spawn(modes[number % len(modes)], client) for number, client in enumerate(clients)]
        jobs.append(gevent.spawn(Client.run_with_long_bodies, self.client(self.plan.clients)))
        for number in range(self.plan.concurrent_faults):
            # The label "trouble" is kept from earlier releases, so that a seed still yields the same faults.
            rng = random.Random(f"{self.verdict.seed} trouble {number}")
            jobs.append(gevent.spawn(self.inject_faults, rng))
        jobs.append(gevent.spawn(self.replace_endpoints))
        gevent.sleep(self.plan.seconds)
        self.stopping = True
        self.faults.stop()
        gevent.joinall(jobs, timeout=JOIN_TIMEOUT_S)
        gevent.sleep(SETTLE_S)

    def run(self) -> Verdict:
        """Run the soak and return its verdict."""
        try:
            if not self.start():
                self.verdict.fail(
                    Violation.STARTUP, "not every proxy served requests in time after the start"
                )
                return self.verdict
            self.run_workload()
            self.check_machines()
            self.check_history()
            return self.verdict
        finally:
            self.stop()
