"""One seed of the soak: a cluster, its clients, its faults, and the verdict."""

import os
import random
import signal
import time
from dataclasses import dataclass
from enum import Enum

import gevent

from flintreach.demo.cluster import PROXY_ROLE, ZONES, DemoCluster, Machine
from flintreach.demo.configuration import CONFIGURATION, PLAIN_SERVICE, SHARDED_SERVICE
from flintreach.soak.checker import LAST_CALL_S, Checker, Invariant, Verdict
from flintreach.soak.clients import Client
from flintreach.soak.faults import Fault, FaultInjector
from flintreach.soak.final_checks import FinalChecks, serves
from flintreach.soak.history import History
from flintreach.standins.endpoint import Endpoint, EndpointState
from flintreach.standins.faulty import PARTITIONS_VARIABLE

FAULTY_MODULE = "flintreach.standins.faulty"  # what machines run in place of `flintreach`
PLAIN_ENDPOINTS = 6
SHARDED_ENDPOINTS = 2
ENDPOINT_ADDRESSES = 150  # of one cluster
ENDPOINT_CAPACITY = 8  # requests at once
ANSWER_LOSS = 0.2  # chance of an answer, while answers are lost
ACKNOWLEDGEMENT_LOSS = 0.5  # chance of an acknowledgement, likewise
ANNOUNCED_DEPARTURES = 0.7  # share of endpoints that announce their end ahead of it
DEPARTURE_TRIES = 8
DEPARTURE_RETRY_S = 0.3
DEPARTURE_SLACK_S = 1.5  # for which a departed endpoint serves on after `LAST_CALL_S`, to see late requests
SUPERVISE_PAUSE_S = 0.1
START_S = 60.0  # for the system to serve, and a second more for each proxy
JOIN_S = 60.0  # for clients and faults to end
STEADY_S = 8.0  # at the end, without faults, before the final checks
SERVED_PATH = "/fetch/1"


class Mix(Enum):
    """Which faults overlap."""

    PLANNED = "planned"  # nothing but planned work: no answer may be lost
    UNPLANNED = "unplanned"
    BOTH = "both"


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The size of a soak.

    Attributes:
        seconds: how long its faults go on.
        mix: which faults overlap.
        controllers: how many at the start, likewise `proxies`.
        clients: a third of each kind.
        at_once: how many faults overlap.
    """

    seconds: float
    mix: Mix = Mix.BOTH
    controllers: int = 3
    proxies: int = 3
    clients: int = 12
    at_once: int = 3


class Soak:
    """One soak, from its start to its verdict."""

    def __init__(self, seed: int, plan: SoakPlan, base: str, port: int) -> None:
        """Make the cluster's folders; nothing runs yet.

        Args:
            seed: of all random draws.
            plan: its size.
            base: three numbers of a loopback network.
            port: the first of six.
        """
        self.plan = plan
        self.verdict = Verdict(seed)
        self.history = History()
        self.chance = random.Random(seed)
        self.cluster = DemoCluster(base, port, plan.controllers, plan.proxies)
        partitions_path = os.path.join(self.cluster.folder, "cuts")
        self.cluster.module = FAULTY_MODULE
        self.cluster.environ = {PARTITIONS_VARIABLE: partitions_path}
        for machine in self.cluster.machines:
            machine.module = self.cluster.module
            machine.environ = self.cluster.environ
        self.faults = FaultInjector(self.cluster, self.chance, self.history, self.verdict, partitions_path)
        self.endpoint_numbers = iter(range(PLAIN_ENDPOINTS + SHARDED_ENDPOINTS, ENDPOINT_ADDRESSES))
        self.ending = False

    # Endpoints.

    def add(self, service: str, number: int) -> Endpoint:
        """Start an endpoint at the address with this number; it loses answers when the faults say so."""
        zones = [*ZONES]
        endpoint = self.cluster.add(
            service,
            number,
            zones[number % len(zones)],
            sharded=service == SHARDED_SERVICE,
            capacity=ENDPOINT_CAPACITY,
        )
        endpoint.lose_answer = lambda: self.faults.losing and self.chance.random() < ANSWER_LOSS
        endpoint.lose_acknowledgement = lambda: (
            self.faults.losing and self.chance.random() < ACKNOWLEDGEMENT_LOSS
        )
        return endpoint

    def replace_endpoints(self) -> None:
        """One endpoint after the other leaves, most announce it first, and another takes its place."""
        departures = []
        while not self.ending:
            gevent.sleep(self.chance.uniform(0.4, 1.2))
            ready = [endpoint for endpoint in self.cluster.endpoints if endpoint.state == EndpointState.READY]
            number = next(self.endpoint_numbers, None)
            if number is None or not ready:
                break
            leaving = self.chance.choice(ready)
            self.add(leaving.service, number)
            announces = self.chance.random() < ANNOUNCED_DEPARTURES
            departures.append(gevent.spawn(self.depart, leaving, announces))
        gevent.joinall(departures)

    def depart(self, endpoint: Endpoint, announces: bool) -> None:
        """Let an endpoint leave, and serve on for longer than requests may still come.

        Args:
            endpoint: a ready one.
            announces: whether it announces a planned end first, or only signs off.
        """
        say_departure = endpoint.leave if announces else endpoint.announce_end
        for _ in range(DEPARTURE_TRIES):
            if say_departure():
                break
            gevent.sleep(DEPARTURE_RETRY_S)
        gevent.sleep(LAST_CALL_S + DEPARTURE_SLACK_S)
        endpoint.sign_off()

    # Clients and faults.

    def proxies(self) -> list[Machine]:
        """The proxies that belong to the cluster now."""
        return self.cluster.of(PROXY_ROLE)

    def client(self, number: int) -> Client:
        """Make a client with draws of its own."""
        name = f"{self.verdict.seed} {number}"
        return Client(name, self.proxies, self.history, self.verdict, lambda: self.ending)

    def kinds_of_faults(self) -> list[Fault]:
        """The faults of the plan's mix, each as often as it is to be drawn."""
        planned = self.faults.planned() if self.plan.mix != Mix.UNPLANNED else []
        unplanned = self.faults.unplanned() if self.plan.mix != Mix.PLANNED else []
        return planned + unplanned

    def inject_faults(self, chance: random.Random) -> None:
        """Inject one fault after the other; several greenlets do so, each with draws of its own."""
        kinds = self.kinds_of_faults()
        while not self.ending:
            self.faults.inject(chance.choice(kinds))
            gevent.sleep(chance.uniform(0.0, 0.5))

    def supervise(self) -> None:
        """Start again what ends by itself, all the while."""
        while not self.ending:
            self.faults.processes.supervise()
            gevent.sleep(SUPERVISE_PAUSE_S)

    # The course of a soak.

    def served(self) -> bool:
        """Whether each proxy serves now."""
        served = [serves(self.cluster, machine, SERVED_PATH) for machine in self.proxies()]
        return all(served)

    def start(self) -> bool:
        """Start machines and endpoints; whether the whole system serves in time."""
        self.cluster.start()
        for number in range(PLAIN_ENDPOINTS + SHARDED_ENDPOINTS):
            self.add(PLAIN_SERVICE if number < PLAIN_ENDPOINTS else SHARDED_SERVICE, number)
        until = time.monotonic() + START_S + self.plan.proxies
        return self.cluster.put(CONFIGURATION, until) and self.cluster.wait(self.served, until)

    def stop(self) -> None:
        """Stop everything; the machines' folder is kept where an invariant was broken."""
        if self.verdict.broken:
            self.cluster.owns_folder = False
            self.verdict.logs = self.cluster.folder
        for machine in self.cluster.machines:
            if machine.is_running():
                machine.process.send_signal(signal.SIGCONT)
        self.cluster.stop()

    def judge(self) -> None:
        """Judge the history by the invariants."""
        Checker(self.history, self.verdict).check(self.cluster.endpoints)

    def check_machines(self) -> None:
        """Judge what the machines say of themselves."""
        checks = FinalChecks(self.cluster, self.verdict)
        checks.check_configuration(self.faults.configurations.acknowledged_version)
        checks.check_processes()
        checks.check_counters()

    def play(self) -> None:
        """Let clients ask and faults happen for the time of the plan, and wait until all has ended."""
        clients = [self.client(number) for number in range(self.plan.clients)]
        ways = (Client.ask_once_each, Client.keep, Client.leave_early)
        jobs = [gevent.spawn(ways[number % len(ways)], client) for number, client in enumerate(clients)]
        for number in range(self.plan.at_once):
            # "trouble" is part of the seeds of earlier soaks: the same seed plays the same faults.
            chance = random.Random(f"{self.verdict.seed} trouble {number}")
            jobs.append(gevent.spawn(self.inject_faults, chance))
        jobs.append(gevent.spawn(self.replace_endpoints))
        jobs.append(gevent.spawn(self.supervise))
        gevent.sleep(self.plan.seconds)
        self.ending = True
        self.faults.stop()
        gevent.joinall(jobs, timeout=JOIN_S)
        gevent.sleep(STEADY_S)

    def run(self) -> Verdict:
        """Play the soak from its start to its end."""
        try:
            if not self.start():
                self.verdict.fail(Invariant.START, "the system did not serve in time")
                return self.verdict
            self.play()
            self.check_machines()
            self.judge()
            return self.verdict
        finally:
            self.stop()
