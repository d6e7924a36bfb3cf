"""A soak of the whole system on loopback: real processes and sockets, overlapping troubles from a seed.

Clients send all the while, endpoints leave and are replaced, and two or three troubles overlap: kills,
pauses, cuts of links, lost answers and lost acknowledgements.  The endpoints' ledgers tell whether the
invariants hold:

- late: no request reaches an endpoint later than `last_call_ms` after its departure was acknowledged;
- twice: no request that must not be repeated is run more than once;
- refused: none that was refused with a promise (503) has run;
- ended: no process ends by itself;
- counted: no proxy has counted a sending after its endpoint's lease (`metrics.VIOLATION`).

A request of a proxy that was paused within the bound before its arrival is not judged as late: a process may
stop between its last look and its sending.  `python -m flintreach.standins.soak --seeds N --seconds S`.
"""

import json
import os
import random
import re
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

import gevent
import typer
from geventhttpclient import HTTPClient

from flintreach.proxy.metrics import PREFIX, VIOLATION
from flintreach.standins.camp import TIMETABLE, ZONES, Camp, Machine
from flintreach.standins.endpoint import Endpoint
from flintreach.standins.faulty import VARIABLE

SECOND = 1_000_000_000
LAST_CALL_S = 2.5  # the settings' default
CLIENTS, PAUSE_S = 12, 0.08  # clients, and seconds between the requests of one
DESKS, STORES = 6, 2
MOST_TROUBLES = 3
COUNTER = re.compile(rf"^{PREFIX}{VIOLATION.replace(' ', '_')}_total (\d+)$", re.MULTILINE)


@dataclass
class Verdict:
    """What a soak has shown; `broken`: invariant -> what broke it."""

    seed: int
    broken: dict[str, list[str]] = field(default_factory=dict)
    statuses: Counter = field(default_factory=Counter)
    troubles: Counter = field(default_factory=Counter)
    departures: int = 0
    latest_s: float = 0.0  # the latest arrival after an acknowledged departure

    def fail(self, invariant: str, what: str) -> None:
        self.broken.setdefault(invariant, []).append(what)

    def line(self) -> str:
        return json.dumps(
            {
                "seed": self.seed,
                "broken": self.broken,
                "statuses": {str(status): count for status, count in sorted(self.statuses.items(), key=str)},
                "troubles": dict(sorted(self.troubles.items())),
                "departures": self.departures,
                "latest_s": round(self.latest_s, 3),
            }
        )


class Soak:
    """One seed: a camp, its clients, its troubles.  `seconds`: how long the troubles go on."""

    def __init__(self, seed: int, seconds: float, base: str, port: int):
        self.chance, self.seconds, self.verdict = random.Random(seed), seconds, Verdict(seed)
        self.camp = Camp(base, port, refuges=3, proxies=3)
        self.cuts = os.path.join(self.camp.folder, "cuts")
        self.pairs: list[tuple[str, str]] = []
        self.write_cuts()
        self.sent: dict[str, tuple[Machine, str]] = {}  # id of a try -> the proxy, and its path
        self.answers: dict[str, int] = {}
        self.paused: list[tuple[Machine, int, int]] = []  # proxy, from, until (steady ns)
        self.numbers, self.ending, self.losing = iter(range(DESKS + STORES, 150)), False, False
        for machine in self.camp.machines:
            machine.module, machine.environ = "flintreach.standins.faulty", {VARIABLE: self.cuts}

    # Surroundings.

    def write_cuts(self) -> None:
        with open(self.cuts + ".new", "w", encoding="ascii") as file:
            file.writelines(f"{a} {b}\n" for a, b in self.pairs)
        os.replace(self.cuts + ".new", self.cuts)

    def add(self, service: str, number: int) -> Endpoint:
        zones = [*ZONES]
        sharded = service == "store"
        endpoint = self.camp.add(service, number, zones[number % len(zones)], sharded=sharded)
        endpoint.lose_answer = lambda: self.losing and self.chance.random() < 0.2
        endpoint.lose_ack = lambda: self.losing and self.chance.random() < 0.5
        return endpoint

    def client(self, number: int) -> None:
        chance = random.Random(f"{self.verdict.seed} {number}")
        while not self.ending:
            machine = chance.choice(self.camp.of("proxy"))
            kind, id = chance.choice(("look", "file", "file", "fetch")), f"{chance.getrandbits(64):016x}"
            headers = {"X-Try-Id": id, "X-Shard-Key": str(chance.randrange(65536))}
            self.sent[id] = machine, kind
            method = "POST" if kind == "file" else "GET"
            answer = self.camp.ask(machine, f"/{kind}/{number}", method, headers)
            self.answers[id] = answer[0] if answer else 0
            self.verdict.statuses[self.answers[id]] += 1
            gevent.sleep(PAUSE_S)

    # Troubles, each for some seconds.

    def kill(self) -> None:
        machine = self.chance.choice(self.camp.machines)
        machine.end(signal.SIGKILL)
        gevent.sleep(self.chance.uniform(0.1, 1.5))
        if machine.process.poll() is not None:  # another kill that overlaps may have started it
            machine.start()

    def pause(self) -> None:
        machine, began = self.chance.choice(self.camp.machines), time.monotonic_ns()
        process = machine.process
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            gevent.sleep(self.chance.uniform(0.3, 4.0))
            process.send_signal(signal.SIGCONT)
        self.paused.append((machine, began, time.monotonic_ns()))

    def cut(self) -> None:
        """A proxy from all refuges, or any machine from some of them."""
        refuges = self.camp.of("refuge")
        if self.chance.random() < 0.5:
            machine, others = self.chance.choice(self.camp.of("proxy")), refuges
        else:
            machine = self.chance.choice(self.camp.machines)
            others = [m for m in refuges if m is not machine]
            others = self.chance.sample(others, self.chance.randint(1, len(others)))
        self.apart([(machine.ip, other.ip) for other in others], self.chance.uniform(1.0, 7.0))

    def apart(self, pairs: list[tuple[str, str]], seconds: float) -> None:
        self.pairs += pairs
        self.write_cuts()
        gevent.sleep(seconds)
        for pair in pairs:
            self.pairs.remove(pair)
        self.write_cuts()

    def lose(self) -> None:
        self.losing = True
        gevent.sleep(self.chance.uniform(0.5, 3.0))
        self.losing = False

    def trouble(self) -> None:
        while not self.ending:
            what = self.chance.choice((self.kill, self.pause, self.cut, self.cut, self.lose))
            self.verdict.troubles[what.__name__] += 1
            what()
            gevent.sleep(self.chance.uniform(0.0, 0.5))

    def departures(self) -> None:
        """One endpoint after the other leaves, most announce it first, and another takes its place."""
        leaving = []
        while not self.ending:
            gevent.sleep(self.chance.uniform(0.4, 1.2))
            there = [e for e in self.camp.endpoints if e.state == "ready"]
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

    # Judgement.

    def judge(self) -> None:
        verdict = self.verdict
        for endpoint in self.camp.endpoints:
            if endpoint.departed_at is None:
                continue
            verdict.departures += 1
            for at, id in endpoint.arrived:
                late = (at - endpoint.departed_at) / SECOND
                if id in self.sent and not self.was_paused(self.sent[id][0], at):
                    verdict.latest_s = max(verdict.latest_s, late)
                    if late > LAST_CALL_S:
                        verdict.fail("late", f"{id} at {endpoint.id}: {late:.3f} s")
        for id, (_, kind) in self.sent.items():
            ran = sum(endpoint.ran.get(id, 0) for endpoint in self.camp.endpoints)
            if kind == "file" and ran > 1:
                verdict.fail("twice", f"{id}: {ran} times")
            if kind == "file" and self.answers.get(id) in (408, 421, 429, 503) and ran:
                verdict.fail("refused", f"{id}: {self.answers[id]}")

    def was_paused(self, machine: Machine, at: int) -> bool:
        since = at - int(LAST_CALL_S * SECOND)
        return any(m is machine and began <= at and until >= since for m, began, until in self.paused)

    def read_counters(self) -> None:
        for machine in self.camp.machines:
            if machine.process.poll() is not None:
                self.verdict.fail("ended", f"{machine.name}: status {machine.process.returncode}")
        for machine in self.camp.of("proxy"):
            if machine.process.poll() is not None:
                continue
            host, port = machine.posts["ready"].split(":")
            client = HTTPClient(host, int(port), connection_timeout=1.0, network_timeout=2.0)
            try:
                text = bytes(client.get("/metrics").read()).decode()
            except OSError:
                continue
            finally:
                client.close()
            if (found := COUNTER.search(text)) and int(found[1]):
                self.verdict.fail("counted", f"{machine.name}: {found[1]}")

    def served(self) -> bool:
        asked = [self.camp.ask(m, "/fetch/1", headers={"X-Shard-Key": "7"}) for m in self.camp.of("proxy")]
        return all(answer is not None and answer[0] == 200 for answer in asked)

    def start(self) -> bool:
        """Whether the whole system serves within a minute."""
        self.camp.start()
        for number in range(DESKS + STORES):
            self.add("desk" if number < DESKS else "store", number)
        limit = time.monotonic() + 60
        return self.camp.put(TIMETABLE, limit) and self.camp.wait(self.served, limit)

    def stop(self) -> None:
        for machine in self.camp.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
        self.camp.stop()

    def run(self) -> Verdict:
        try:
            if not self.start():
                self.verdict.fail("start", "the system did not serve within a minute")
                return self.verdict
            jobs = [gevent.spawn(self.client, number) for number in range(CLIENTS)]
            jobs += [gevent.spawn(self.trouble) for _ in range(MOST_TROUBLES)]
            jobs.append(gevent.spawn(self.departures))
            gevent.sleep(self.seconds)
            self.ending = True
            gevent.joinall(jobs, timeout=30)
            self.read_counters()
            self.judge()
            return self.verdict
        finally:
            self.stop()


def main(
    seeds: int = typer.Option(5, help="how many seeds are played"),
    first: int = typer.Option(1, help="the first of them"),
    seconds: float = typer.Option(20.0, help="how long the troubles of each go on"),
    base: str = typer.Option("127.45.7", help="three numbers of a loopback network"),
    port: int = typer.Option(7700, help="the first of six ports"),
) -> None:
    """Play soaks one after the other; a line each, and 1 if an invariant was broken."""
    broken = 0
    for seed in range(first, first + seeds):
        verdict = Soak(seed, seconds, base, port).run()
        print(verdict.line(), flush=True)
        broken += bool(verdict.broken)
    sys.exit(min(1, broken))


if __name__ == "__main__":
    typer.run(main)
