"""Process faults and planned process operations: kills, pauses, SIGHUP, single and rolling restarts."""

import random
import signal
import time

import gevent

from flintreach.demo.cluster import CONTROLLER_ROLE, PROXY_ROLE, DemoCluster, Machine
from flintreach.soak.checker import Verdict, Violation
from flintreach.soak.history import NS_PER_S, Disturbance, History

GRACE_S = 6.0  # the settings' default: time to exit after SIGTERM
GRACE_SLACK_S = 1.0  # allowance for a shared machine
EXIT_POLL_S = 0.02
CLAIM_POLL_S = 0.05
CONTROLLER_RESTART_PAUSE_S = 2.0  # between controllers in a rolling restart
ROLLING_ROLES = (PROXY_ROLE, PROXY_ROLE, CONTROLLER_ROLE)  # proxies are drawn twice as often


class ProcessFaults:
    """Stops, starts, pauses and signals machines; only one fault at a time may stop or start a machine.

    Attributes:
        busy: names of machines that are being stopped or started, and the marks of paused ones.
        controllers_excluded: whether faults must leave controllers alone because one is being replaced and
            another loss would exceed what the settings allow.
        stopping: whether fault injection is stopping.
    """

    def __init__(self, cluster: DemoCluster, rng: random.Random, history: History, verdict: Verdict) -> None:
        self.cluster = cluster
        self.rng = rng
        self.history = history
        self.verdict = verdict
        self.busy: set[str] = set()
        self.controllers_excluded = False
        self.stopping = False

    # Claims on machines.

    def claim(self, machine: Machine) -> bool:
        """Reserve a machine for a fault that stops or starts it; return whether it was free."""
        if machine.name in self.busy or machine not in self.cluster.machines:
            return False
        self.busy.add(machine.name)
        return True

    def release(self, machine: Machine) -> None:
        """Release a claimed machine."""
        self.busy.discard(machine.name)

    def is_excluded(self, machine: Machine) -> bool:
        """Return whether faults must leave a machine alone; see `controllers_excluded`."""
        return machine.role == CONTROLLER_ROLE and self.controllers_excluded

    def record_disturbance(self, machine: Machine, began_at_ns: int) -> None:
        """Record in the history that a machine was disturbed from `began_at_ns` until now."""
        self.history.disturbances.append(Disturbance(machine, began_at_ns, time.monotonic_ns()))

    # Stops and starts.

    def kill(self) -> None:
        """Kill a machine and start it again."""
        machine = self.rng.choice(self.cluster.machines)
        if self.is_excluded(machine) or not self.claim(machine):
            return
        began_at_ns = time.monotonic_ns()
        machine.stop(signal.SIGKILL)
        gevent.sleep(self.rng.uniform(0.1, 1.5))
        machine.start()
        self.release(machine)
        self.record_disturbance(machine, began_at_ns)

    def terminate(self) -> None:
        """Restart one machine with SIGTERM."""
        self.restart(self.rng.choice(self.cluster.machines))

    def terminate_all(self) -> None:
        """Perform a rolling restart of a role; restarts of proxies may overlap."""
        role = self.rng.choice(ROLLING_ROLES)
        restarts = []
        for machine in self.cluster.with_role(role):
            if self.stopping:
                break
            restart = gevent.spawn(self.restart, machine)
            restarts.append(restart)
            if role == CONTROLLER_ROLE:  # keep a quorum running
                restart.join()
                gevent.sleep(CONTROLLER_RESTART_PAUSE_S)
            gevent.sleep(self.rng.uniform(0.2, 2.0))
        gevent.joinall(restarts)

    def restart(self, machine: Machine) -> None:
        """Restart a machine with SIGTERM, unless another fault has claimed it."""
        if self.is_excluded(machine) or not self.claim(machine):
            return
        if self.terminate_process(machine):
            gevent.sleep(self.rng.uniform(0.0, 0.5))
            machine.start()
        self.release(machine)

    def terminate_process(self, machine: Machine) -> bool:
        """Send SIGTERM to a machine and wait for its exit, which must come in time and with status 0.

        A process that does not exit in time is killed, which is a violation unless the machine was disturbed
        in the meantime.

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
                self.verdict.fail(
                    Violation.UNEXPECTED_EXIT, f"{machine.name} did not exit in time after SIGTERM"
                )
            machine.stop(signal.SIGKILL)
            self.record_disturbance(machine, began_at_ns)
            return True
        if process.returncode == -signal.SIGTERM and not machine.has_logged():
            return True  # the interpreter was still starting
        if process.returncode != 0:
            self.verdict.fail(
                Violation.UNEXPECTED_EXIT,
                f"{machine.name} exited with status {process.returncode} after SIGTERM",
            )
        return True

    def remove(self, machine: Machine) -> None:
        """Remove a machine from the cluster with SIGTERM, once no other fault has claimed it."""
        while not self.claim(machine):
            gevent.sleep(CLAIM_POLL_S)
        self.terminate_process(machine)
        self.cluster.machines.remove(machine)
        self.release(machine)

    def supervise(self) -> None:
        """Restart processes that have exited by themselves, as the platform does.

        Such an exit is a violation, unless SIGHUP arrived while the interpreter was still starting.
        """
        for machine in [*self.cluster.machines]:
            status = machine.process.poll()
            self.check_memory(machine)
            if status is None or machine.name in self.busy:
                continue
            if status != -signal.SIGHUP or machine.has_logged():
                self.verdict.fail(Violation.UNEXPECTED_EXIT, f"{machine.name} exited with status {status}")
            machine.start()

    def check_memory(self, machine: Machine) -> None:
        """Check that a process has stayed within its memory; the platform would have ended it."""
        peak_mb = machine.peak_memory_mb()
        if peak_mb > self.cluster.memory_mb > 0:
            limit = f"{self.cluster.memory_mb:.0f} MB"
            self.verdict.fail(Violation.MEMORY, f"{machine.name} used {peak_mb:.0f} of {limit}")

    # Signals that do not stop a process.

    def hang_up_some(self) -> None:
        """Rewrite the settings of several machines and send them SIGHUP; see `hang_up`."""
        machines = self.cluster.machines
        self.hang_up(self.rng.sample(machines, self.rng.randint(1, len(machines))))

    def hang_up(self, machines: list[Machine], first_run: bool = False) -> None:
        """Rewrite the settings of machines and send them SIGHUP, to some of them three times."""
        for machine in machines:
            for _ in range(self.rng.choice((1, 1, 3))):
                self.cluster.write_settings(machine, first_run)
                if machine.process.poll() is None and machine.name not in self.busy:
                    machine.process.send_signal(signal.SIGHUP)
                gevent.sleep(self.rng.uniform(0.0, 0.1))

    def pause_mark(self, machine: Machine) -> str:
        """Return the entry of a paused machine in `busy`; unlike a claim, it permits stopping the machine."""
        return f"{machine.name} paused"

    def paused(self, machine: Machine) -> bool:
        """Return whether a machine is paused."""
        return self.pause_mark(machine) in self.busy

    def pause(self) -> None:
        """Pause a machine with SIGSTOP for a while."""
        machine = self.rng.choice(self.cluster.machines)
        began_at_ns = time.monotonic_ns()
        process = machine.process
        if self.is_excluded(machine) or process.poll() is not None or self.paused(machine):
            return
        self.busy.add(self.pause_mark(machine))
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(self.rng.uniform(0.3, 4.0))
        process.send_signal(signal.SIGCONT)
        self.record_disturbance(machine, began_at_ns)
        self.busy.discard(self.pause_mark(machine))
