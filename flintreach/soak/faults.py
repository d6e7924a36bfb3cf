"""Troubles and planned work of a soak; each call is one of them and lasts some seconds.

Planned: SIGTERM and SIGHUP, one machine or all of a role in turn; configurations; machines and endpoints that
are exchanged.  Unplanned: kills, pauses, cuts, lost answers and acknowledgements, slow endpoints.
"""

import copy
import os
import random
import signal
import time

import gevent
from gevent.lock import BoundedSemaphore

from flintreach.demo.cluster import DemoCluster, Machine
from flintreach.demo.configuration import CONFIGURATION
from flintreach.soak.ledger import SECOND, Disturbance, Ledger, Verdict

GRACE_S = 6.0  # the settings' default
CATCH_UP_S = 4.0  # the settings' default: for which a control process still counts as lost when it is back
SLOW_WORK_S = 1.5  # of an endpoint in trouble
START_S = 3.0  # within which a program that has just started may not take signals yet
NEW_HOLDER_S = 3.0  # for a new refuge to copy what a quorum holds, before an old one leaves
DROPPED_ROUTE = "probe"  # routes that configurations add and drop


class Troubles:
    """`cuts`: the file that `standins.faulty` reads."""

    def __init__(
        self, cluster: DemoCluster, chance: random.Random, ledger: Ledger, verdict: Verdict, cuts: str
    ):
        self.cluster, self.chance, self.ledger, self.verdict, self.cuts = (
            cluster,
            chance,
            ledger,
            verdict,
            cuts,
        )
        self.pairs: list[tuple[str, str]] = []
        self.losing, self.ending = False, False
        self.timetable = copy.deepcopy(CONFIGURATION)  # the newest that was sent
        self.acknowledged = 1  # the highest edition that was
        self.membership = BoundedSemaphore(1)  # one machine is exchanged at a time
        self.refuges_spared = False  # while one of them is exchanged
        self.busy: set[str] = set()  # names of machines that are ended or started by somebody
        self.write_cuts()

    def begin(self, kind: str) -> None:
        self.verdict.troubles[kind] += 1

    # Ends and starts.

    def claim(self, machine: Machine) -> bool:
        """Whether nobody else ends or starts a machine; it is then the caller's until `busy` forgets it."""
        if machine.name in self.busy or machine not in self.cluster.machines:
            return False
        self.busy.add(machine.name)
        return True

    def kill(self) -> None:
        machine = self.chance.choice(self.cluster.machines)
        if self.spared(machine) or not self.claim(machine):
            return
        began = time.monotonic_ns()
        machine.end(signal.SIGKILL)
        gevent.sleep(self.chance.uniform(0.1, 1.5))
        machine.start()
        self.busy.discard(machine.name)
        self.ledger.disturbances.append(Disturbance(machine, began, time.monotonic_ns()))

    def terminate(self) -> None:
        """SIGTERM one machine, and start it again when it has ended."""
        self.restart(self.chance.choice(self.cluster.machines))

    def terminate_all(self) -> None:
        """SIGTERM the machines of a role in turn, the next at times before the last is back."""
        role = self.chance.choice(("proxy", "proxy", "refuge"))
        jobs = []
        for machine in self.cluster.of(role):
            if self.ending:
                break
            jobs.append(gevent.spawn(self.restart, machine))
            if role == "refuge":  # a quorum must stay
                jobs[-1].join()
                gevent.sleep(2.0)
            gevent.sleep(self.chance.uniform(0.2, 2.0))
        gevent.joinall(jobs)

    def restart(self, machine: Machine) -> None:
        if self.spared(machine) or not self.claim(machine):
            return
        if self.terminated(machine):
            gevent.sleep(self.chance.uniform(0.0, 0.5))
            machine.start()
        self.busy.discard(machine.name)

    def terminated(self, machine: Machine) -> bool:
        """SIGTERM a machine; whether it was running.  It must end in time, with status 0."""
        process = machine.process
        if process.poll() is not None:
            return False
        began = time.monotonic_ns()
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            gevent.sleep(0.02)
            if time.monotonic_ns() - began < int((GRACE_S + 1.0) * SECOND):
                continue
            if not self.ledger.disturbed(machine, began, time.monotonic_ns()) and not self.paused(machine):
                self.verdict.fail("ended", f"{machine.name} runs on after SIGTERM")
            machine.end(signal.SIGKILL)
            self.ledger.disturbances.append(Disturbance(machine, began, time.monotonic_ns()))
            return True
        if process.returncode == -signal.SIGTERM and machine.running_for() < START_S:
            return True  # it came before the program could take signals
        if process.returncode != 0:
            self.verdict.fail("ended", f"{machine.name}: status {process.returncode} after SIGTERM")
        return True

    def supervise(self) -> None:
        """Start what has ended by itself again, as the platform does.

        It is a fault, but for a signal that came before the program's first line.
        """
        for machine in [*self.cluster.machines]:
            status = machine.process.poll()
            if status is None or machine.name in self.busy:
                continue
            if status != -signal.SIGHUP or machine.running_for() > START_S:
                self.verdict.fail("ended", f"{machine.name}: status {status}")
            machine.start()

    # Signals that change nothing or the settings.

    def hang_up(self) -> None:
        """SIGHUP a series of machines, each with settings written anew; at times one gets several."""
        for machine in self.chance.sample(
            self.cluster.machines, self.chance.randint(1, len(self.cluster.machines))
        ):
            for _ in range(self.chance.choice((1, 1, 3))):
                self.cluster.write_settings(machine, first_run=False)
                if machine.process.poll() is None and machine.name not in self.busy:
                    machine.process.send_signal(signal.SIGHUP)
                gevent.sleep(self.chance.uniform(0.0, 0.1))

    # Pauses and cuts.

    def paused(self, machine: Machine) -> bool:
        return f"{machine.name} paused" in self.busy

    def pause(self) -> None:
        machine, began = self.chance.choice(self.cluster.machines), time.monotonic_ns()
        process, mark = machine.process, f"{machine.name} paused"
        if self.spared(machine) or process.poll() is not None or mark in self.busy:
            return
        self.busy.add(mark)
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(self.chance.uniform(0.3, 4.0))
        process.send_signal(signal.SIGCONT)
        self.ledger.disturbances.append(Disturbance(machine, began, time.monotonic_ns()))
        self.busy.discard(mark)

    def write_cuts(self) -> None:
        with open(self.cuts + ".new", "w", encoding="ascii") as file:
            file.writelines(f"{a} {b}\n" for a, b in self.pairs)
        os.replace(self.cuts + ".new", self.cuts)

    def cut(self) -> None:
        """A proxy from all refuges, or any machine from some of them."""
        controllers = self.cluster.of("refuge")
        if self.chance.random() < 0.5:
            machine, others = self.chance.choice(self.cluster.of("proxy")), controllers
        else:
            machine = self.chance.choice(self.cluster.machines)
            if self.spared(machine):
                return
            others = [m for m in controllers if m is not machine]
            others = self.chance.sample(others, self.chance.randint(1, len(others)))
        self.apart([(machine.ip, other.ip) for other in others], self.chance.uniform(1.0, 7.0))

    def apart(self, pairs: list[tuple[str, str]], seconds: float) -> None:
        self.pairs += pairs
        self.write_cuts()
        gevent.sleep(seconds)
        for pair in pairs:
            self.pairs.remove(pair)
        self.write_cuts()

    # Endpoints.

    def lose(self) -> None:
        self.losing = True
        gevent.sleep(self.chance.uniform(0.5, 3.0))
        self.losing = False

    def slow(self) -> None:
        """Some endpoints work slowly for a while."""
        there = [endpoint for endpoint in self.cluster.endpoints if endpoint.state == "ready"]
        chosen = self.chance.sample(there, max(1, len(there) // 3)) if there else []
        usual = [endpoint.work_s for endpoint in chosen]
        for endpoint in chosen:
            endpoint.work_s = SLOW_WORK_S
        gevent.sleep(self.chance.uniform(1.0, 4.0))
        for endpoint, work_s in zip(chosen, usual):
            endpoint.work_s = min(endpoint.work_s, work_s)

    # Configurations.

    def configure(self) -> None:
        """A series of configurations: a route comes or goes, an aim changes, or nothing does."""
        for _ in range(self.chance.randint(1, 5)):
            self.put(self.next_timetable())
            gevent.sleep(self.chance.uniform(0.0, 0.6))

    def next_timetable(self) -> dict:
        made = copy.deepcopy(self.timetable)
        made["edition"] = f"{int(made['edition'], 16) + self.chance.randint(1, 3):08x}"
        rules = made["wickets"][0]["regulations"]
        match self.chance.choice(("add", "drop", "aim", "idle")):
            case "add" if len(rules) < 20:
                name = f"{DROPPED_ROUTE}-{made['edition']}"
                rules.append({**copy.deepcopy(rules[0]), "name": name, "sorting": {"postcode": f"/{name}/"}})
            case "drop":
                rules[:] = [rule for rule in rules if not rule["name"].startswith(DROPPED_ROUTE)]
            case "aim":
                rules[0]["target_ms"] = self.chance.choice((600, 800, 1000))
        self.timetable = made
        return made

    def put(self, timetable: dict) -> None:
        """Send a configuration until it is acknowledged, or a newer one may have been."""
        if self.cluster.put(timetable, time.monotonic() + 8.0):
            self.acknowledged = max(self.acknowledged, int(timetable["edition"], 16))
            self.verdict.configurations += 1

    # Membership.

    def exchange_proxy(self) -> None:
        """A proxy joins at a new address; then one leaves for good."""
        with self.membership:
            old = self.chance.choice(self.cluster.of("proxy"))
            new = self.cluster.join("proxy", old.zone)
            new.start()
            gevent.sleep(self.chance.uniform(0.5, 2.0))
            self.remove(old)

    def exchange_refuge(self) -> None:
        """An empty refuge joins at a new address and copies; then an old one leaves for good.

        A disk that goes for good is a loss, and the settings allow one at a time: it waits until the others
        have been well for `CATCH_UP_S`, and nothing else is done to them until its successor has had as long.
        """
        with self.membership:
            self.refuges_spared = True
            while not self.refuges_well():
                if self.ending:
                    self.refuges_spared = False
                    return
                gevent.sleep(0.1)
            old = self.chance.choice(self.cluster.of("refuge"))
            new = self.cluster.join("refuge", old.zone)
            new.start()
            gevent.sleep(NEW_HOLDER_S)
            self.remove(old)
            gevent.sleep(CATCH_UP_S)
            self.refuges_spared = False

    def refuges_well(self) -> bool:
        """Whether no control process is lost, by the settings' reckoning."""
        controllers = self.cluster.of("refuge")
        addresses = {machine.ip for machine in controllers}
        return all(
            machine.process.poll() is None and machine.running_for() > CATCH_UP_S and not self.paused(machine)
            for machine in controllers
        ) and not any(addresses.issuperset(pair) for pair in self.pairs)

    def spared(self, machine: Machine) -> bool:
        """Whether another loss of a control process would be beyond the settings."""
        return machine.role == "refuge" and self.refuges_spared

    def remove(self, machine: Machine) -> None:
        while not self.claim(machine):  # somebody else ends it just now
            gevent.sleep(0.05)
        self.terminated(machine)
        self.cluster.machines.remove(machine)
        self.busy.discard(machine.name)
