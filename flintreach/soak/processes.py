"""Faults of processes and planned work on them: kills, pauses, SIGTERM and SIGHUP, one or a role in turn."""

import random
import signal
import time

import gevent

from flintreach.demo.cluster import CONTROLLER_ROLE, PROXY_ROLE, DemoCluster, Machine
from flintreach.soak.checker import Invariant, Verdict
from flintreach.soak.history import NS_PER_S, Disturbance, History

GRACE_S = 6.0  # the settings' default: within which a process ends after SIGTERM
GRACE_SLACK_S = 1.0  # for a machine that other work shares
START_S = 3.0  # within which a program that has just started may not take signals yet
EXIT_POLL_S = 0.02
CLAIM_POLL_S = 0.05
CONTROLLER_RESTART_PAUSE_S = 2.0  # between two controllers of a rolling restart
ROLLING_ROLES = (PROXY_ROLE, PROXY_ROLE, CONTROLLER_ROLE)  # proxies weigh double


class ProcessFaults:
    """Ends, starts, pauses and signals; a machine is ended or started by one fault at a time.

    Attributes:
        busy: names of machines that are being ended or started, and marks of those that are paused.
        controllers_spared: whether another loss of a controller would be beyond the settings, as one of
            them is being replaced.
        ending: whether the soak's faults are to come to their end.
    """

    def __init__(
        self, cluster: DemoCluster, chance: random.Random, history: History, verdict: Verdict
    ) -> None:
        self.cluster = cluster
        self.chance = chance
        self.history = history
        self.verdict = verdict
        self.busy: set[str] = set()
        self.controllers_spared = False
        self.ending = False

    # Claims on machines.

    def claim(self, machine: Machine) -> bool:
        """Take a machine for a fault that ends or starts it, until `release`; whether it was free."""
        if machine.name in self.busy or machine not in self.cluster.machines:
            return False
        self.busy.add(machine.name)
        return True

    def release(self, machine: Machine) -> None:
        """Give a claimed machine back."""
        self.busy.discard(machine.name)

    def spared(self, machine: Machine) -> bool:
        """Whether a machine is to be left alone, see `controllers_spared`."""
        return machine.role == CONTROLLER_ROLE and self.controllers_spared

    def note_disturbance(self, machine: Machine, began_at_ns: int) -> None:
        """Note in the history that a machine was disturbed until now."""
        self.history.disturbances.append(Disturbance(machine, began_at_ns, time.monotonic_ns()))

    # Ends and starts.

    def kill(self) -> None:
        """SIGKILL a machine, and start it again."""
        machine = self.chance.choice(self.cluster.machines)
        if self.spared(machine) or not self.claim(machine):
            return
        began_at_ns = time.monotonic_ns()
        machine.end(signal.SIGKILL)
        gevent.sleep(self.chance.uniform(0.1, 1.5))
        machine.start()
        self.release(machine)
        self.note_disturbance(machine, began_at_ns)

    def terminate(self) -> None:
        """SIGTERM one machine, and start it again when it has ended."""
        self.restart(self.chance.choice(self.cluster.machines))

    def terminate_all(self) -> None:
        """SIGTERM the machines of a role in turn, the next proxy at times before the last is back."""
        role = self.chance.choice(ROLLING_ROLES)
        restarts = []
        for machine in self.cluster.of(role):
            if self.ending:
                break
            restart = gevent.spawn(self.restart, machine)
            restarts.append(restart)
            if role == CONTROLLER_ROLE:  # a quorum must stay
                restart.join()
                gevent.sleep(CONTROLLER_RESTART_PAUSE_S)
            gevent.sleep(self.chance.uniform(0.2, 2.0))
        gevent.joinall(restarts)

    def restart(self, machine: Machine) -> None:
        """SIGTERM a machine, and start it again when it has ended, unless another fault has it."""
        if self.spared(machine) or not self.claim(machine):
            return
        if self.terminate_process(machine):
            gevent.sleep(self.chance.uniform(0.0, 0.5))
            machine.start()
        self.release(machine)

    def terminate_process(self, machine: Machine) -> bool:
        """SIGTERM a machine and wait for its end, which must come in time and with status 0.

        One that runs on is killed.  That breaks the invariant unless the machine was disturbed meanwhile.

        Returns:
            Whether it was running.
        """
        process = machine.process
        if process.poll() is not None:
            return False
        began_at_ns = time.monotonic_ns()
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            gevent.sleep(EXIT_POLL_S)
            if time.monotonic_ns() - began_at_ns < int((GRACE_S + GRACE_SLACK_S) * NS_PER_S):
                continue
            disturbed = self.history.disturbed(machine, began_at_ns, time.monotonic_ns())
            if not disturbed and not self.paused(machine):
                self.verdict.fail(Invariant.ENDED, f"{machine.name} runs on after SIGTERM")
            machine.end(signal.SIGKILL)
            self.note_disturbance(machine, began_at_ns)
            return True
        if process.returncode == -signal.SIGTERM and machine.running_for() < START_S:
            return True  # it came before the program could take signals
        if process.returncode != 0:
            self.verdict.fail(Invariant.ENDED, f"{machine.name}: status {process.returncode} after SIGTERM")
        return True

    def remove(self, machine: Machine) -> None:
        """SIGTERM a machine that leaves the cluster for good, once no other fault has it."""
        while not self.claim(machine):
            gevent.sleep(CLAIM_POLL_S)
        self.terminate_process(machine)
        self.cluster.machines.remove(machine)
        self.release(machine)

    def supervise(self) -> None:
        """Start again what has ended by itself, as the platform does.

        Its end breaks the invariant, but for a signal that came before the program's first line.
        """
        for machine in [*self.cluster.machines]:
            status = machine.process.poll()
            if status is None or machine.name in self.busy:
                continue
            if status != -signal.SIGHUP or machine.running_for() > START_S:
                self.verdict.fail(Invariant.ENDED, f"{machine.name}: status {status}")
            machine.start()

    # Signals that end nothing.

    def hang_up(self) -> None:
        """SIGHUP a series of machines, each with settings written anew; at times one gets several."""
        machines = self.cluster.machines
        for machine in self.chance.sample(machines, self.chance.randint(1, len(machines))):
            for _ in range(self.chance.choice((1, 1, 3))):
                self.cluster.write_settings(machine, first_run=False)
                if machine.process.poll() is None and machine.name not in self.busy:
                    machine.process.send_signal(signal.SIGHUP)
                gevent.sleep(self.chance.uniform(0.0, 0.1))

    def pause_mark(self, machine: Machine) -> str:
        """What stands in `busy` while a machine is paused; it may be ended meanwhile."""
        return f"{machine.name} paused"

    def paused(self, machine: Machine) -> bool:
        """Whether a machine is paused now."""
        return self.pause_mark(machine) in self.busy

    def pause(self) -> None:
        """SIGSTOP a machine for a while."""
        machine = self.chance.choice(self.cluster.machines)
        began_at_ns = time.monotonic_ns()
        process = machine.process
        if self.spared(machine) or process.poll() is not None or self.paused(machine):
            return
        self.busy.add(self.pause_mark(machine))
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(self.chance.uniform(0.3, 4.0))
        process.send_signal(signal.SIGCONT)
        self.note_disturbance(machine, began_at_ns)
        self.busy.discard(self.pause_mark(machine))
