"""One seed of the soak: a camp, its clients, its troubles, and the verdict."""

import os
import random
import re
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import gevent
import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from flintreach.demo.cluster import ZONES, DemoCluster, Machine
from flintreach.demo.configuration import CONFIGURATION
from flintreach.proxy.metrics import PREFIX
from flintreach.soak.clients import Client
from flintreach.soak.faults import Troubles
from flintreach.soak.ledger import LAST_CALL_S, VIOLATIONS, Ledger, Verdict
from flintreach.standins.endpoint import Endpoint
from flintreach.standins.faulty import VARIABLE

DESKS, STORES = 6, 2
ENDPOINT_ADDRESSES = 150  # of one camp
EDITION_S = 6.0  # for an acknowledged configuration to be in force, on a machine that other work shares
STEADY_S = 8.0  # at the end, without troubles, before the last looks


class Mix(Enum):
    """Which troubles overlap."""

    PLANNED = "planned"  # nothing but planned work: no answer may be lost
    UNPLANNED = "unplanned"
    BOTH = "both"


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The size of a soak.  `seconds`: how long its troubles go on; `at_once`: how many of them overlap."""

    seconds: float
    mix: Mix = Mix.BOTH
    controllers: int = 3
    proxies: int = 3
    clients: int = 12
    at_once: int = 3


class Soak:
    """`base`: three numbers of a loopback network, `port`: the first of six ports."""

    def __init__(self, seed: int, plan: SoakPlan, base: str, port: int):
        self.plan, self.verdict, self.ledger = plan, Verdict(seed), Ledger()
        self.chance = random.Random(seed)
        self.cluster = DemoCluster(base, port, plan.controllers, plan.proxies)
        cuts = os.path.join(self.cluster.folder, "cuts")
        self.cluster.module, self.cluster.environ = "flintreach.standins.faulty", {VARIABLE: cuts}
        for machine in self.cluster.machines:
            machine.module, machine.environ = self.cluster.module, self.cluster.environ
        self.troubles = Troubles(self.cluster, self.chance, self.ledger, self.verdict, cuts)
        self.numbers = iter(range(DESKS + STORES, ENDPOINT_ADDRESSES))
        self.ending = False

    def add(self, service: str, number: int) -> Endpoint:
        zones = [*ZONES]
        endpoint = self.cluster.add(
            service, number, zones[number % len(zones)], sharded=service == "store", berths=8
        )
        endpoint.lose_answer = lambda: self.troubles.losing and self.chance.random() < 0.2
        endpoint.lose_ack = lambda: self.troubles.losing and self.chance.random() < 0.5
        return endpoint

    def client(self, number: int) -> Client:
        return Client(
            f"{self.verdict.seed} {number}",
            lambda: self.cluster.of("proxy"),
            self.ledger,
            self.verdict,
            lambda: self.ending,
        )

    def kinds_of_trouble(self) -> list[Callable[[], None]]:
        it, mix = self.troubles, self.plan.mix
        planned = [
            it.terminate,
            it.terminate,
            it.terminate_all,
            it.hang_up,
            it.configure,
            it.configure,
            it.exchange_proxy,
            it.exchange_refuge,
            it.slow,
        ]
        unplanned = [it.kill, it.pause, it.cut, it.cut, it.lose, it.slow]
        return (planned if mix != Mix.UNPLANNED else []) + (unplanned if mix != Mix.PLANNED else [])

    def make_trouble(self, chance: random.Random) -> None:
        kinds = self.kinds_of_trouble()
        while not self.ending:
            what = chance.choice(kinds)
            self.troubles.begin(what.__name__)
            what()
            gevent.sleep(chance.uniform(0.0, 0.5))

    def supervise(self) -> None:
        while not self.ending:
            self.troubles.supervise()
            gevent.sleep(0.1)

    def departures(self) -> None:
        """One endpoint after the other leaves, most announce it first, and another takes its place."""
        leaving = []
        while not self.ending:
            gevent.sleep(self.chance.uniform(0.4, 1.2))
            there = [e for e in self.cluster.endpoints if e.state == "ready"]
            number = next(self.numbers, None)
            if number is None or not there:
                break
            endpoint = self.chance.choice(there)
            self.add(endpoint.line, number)
            leaving.append(gevent.spawn(self.leave, endpoint, self.chance.random() < 0.7))
        gevent.joinall(leaving)

    def leave(self, endpoint: Endpoint, announces: bool) -> None:
        said = endpoint.leave if announces else endpoint.announce_end
        for _ in range(8):
            if said():
                break
            gevent.sleep(0.3)
        gevent.sleep(LAST_CALL_S + 1.5)
        endpoint.sign_off()

    # The last looks.

    def get(self, machine: Machine, post: str, path: str) -> bytes | None:
        """What a machine answers with 200, or None."""
        host, port = machine.posts[post].split(":")
        client = HTTPClient(host, int(port), connection_timeout=1.0, network_timeout=2.0)
        try:
            answer = client.get(path)
            data = bytes(answer.read())
            return data if answer.status_code == 200 else None
        except (OSError, HTTPParseError):
            return None
        finally:
            client.close()

    def read_counters(self) -> None:
        for machine in self.cluster.machines:
            if machine.process.poll() is not None:
                self.verdict.fail("ended", f"{machine.name}: status {machine.process.returncode}")
        for machine in self.cluster.of("proxy"):
            text = (self.get(machine, "ready", "/metrics") or b"").decode()
            for name in VIOLATIONS:
                found = re.search(rf"^{PREFIX}{name.replace(' ', '_')}_total (\d+)$", text, re.MULTILINE)
                if found and int(found[1]):
                    self.verdict.fail("counted", f"{machine.name}: {name} {found[1]}")

    def read_configuration(self) -> None:
        """The newest acknowledged configuration is read back, and in force at each proxy."""
        held = next(
            (
                data
                for m in self.cluster.of("refuge")
                if (data := self.get(m, "control", "/v1/timetable/get"))
            ),
            None,
        )
        if held is None:
            self.verdict.fail("acknowledged", "no refuge tells the configuration")
            return
        table = msgspec.json.decode(held)
        number = int(table["edition"], 16)
        if number < self.troubles.acknowledged:
            self.verdict.fail("acknowledged", f"{self.troubles.acknowledged} was, {number} is held")
        probe = table["wickets"][0]["regulations"][-1]["sorting"]["postcode"]
        headers = {"X-Shard-Key": "7"}
        limit = time.monotonic() + EDITION_S
        for machine in self.cluster.of("proxy"):
            good = lambda machine=machine: (  # noqa: E731
                (self.cluster.ask(machine, probe, headers=headers) or (0,))[0] == 200
            )
            if not self.cluster.wait(good, limit):
                self.verdict.fail("acknowledged", f"{machine.name} does not serve {probe}")

    def served(self) -> bool:
        asked = [
            self.cluster.ask(m, "/fetch/1", headers={"X-Shard-Key": "7"}) for m in self.cluster.of("proxy")
        ]
        return all(answer is not None and answer[0] == 200 for answer in asked)

    def start(self) -> bool:
        """Whether the whole system serves in time."""
        self.cluster.start()
        for number in range(DESKS + STORES):
            self.add("desk" if number < DESKS else "store", number)
        limit = time.monotonic() + 60 + self.plan.proxies
        return self.cluster.put(CONFIGURATION, limit) and self.cluster.wait(self.served, limit)

    def stop(self) -> None:
        if self.verdict.broken:
            self.cluster.owns_folder, self.verdict.logs = False, self.cluster.folder
        for machine in self.cluster.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
        self.cluster.stop()

    def judge(self) -> None:
        self.ledger.judge(self.cluster.endpoints, self.verdict)

    def run(self) -> Verdict:
        try:
            if not self.start():
                self.verdict.fail("start", "the system did not serve in time")
                return self.verdict
            clients = [self.client(number) for number in range(self.plan.clients)]
            ways = (Client.ask_once_each, Client.keep, Client.leave_early)
            jobs = [gevent.spawn(ways[number % len(ways)], client) for number, client in enumerate(clients)]
            troubles = [
                gevent.spawn(self.make_trouble, random.Random(f"{self.verdict.seed} trouble {number}"))
                for number in range(self.plan.at_once)
            ]
            troubles += [gevent.spawn(self.departures), gevent.spawn(self.supervise)]
            gevent.sleep(self.plan.seconds)
            self.ending = self.troubles.ending = True
            gevent.joinall([*jobs, *troubles], timeout=60)
            gevent.sleep(STEADY_S)
            self.read_configuration()
            self.read_counters()
            self.judge()
            return self.verdict
        finally:
            self.stop()
