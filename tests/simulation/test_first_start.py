"""First starts of the control plane that are interrupted before the first voters have been decided."""

import random
import unittest
from collections.abc import Callable, Iterable

from flintreach.consensus.quorum import Voters
from flintreach.simulation.invariants import InvariantChecker
from flintreach.simulation.network import Machine
from flintreach.simulation.scheduler import NS_PER_SECOND, Simulation
from flintreach.simulation.site import CONTROL_PORT, Site
from flintreach.simulation.trial import Outcome, Scenario, run_trial
from tests.simulation.common import ON

LATEST_KILL_S = 1.6  # later than the first decision in most trials
KILLED_BEFORE_STORE = 0.6  # share of the processes that are killed before their disk holds anything
RETURN_WITHIN_S = 1.0  # the platform starts a killed process again within this time
SERVE_WITHIN_S = 15.0  # `recovery_s` of the settings
SEEDS = 60


def run_for(sim: Simulation, seconds: float) -> None:
    sim.run(sim.now_ns + int(seconds * NS_PER_SECOND))


def epochs_of(site: Site, machines: Iterable[Machine]) -> list[int]:
    """The epoch that the disk of each machine records, 0 without voters."""
    return [Voters.from_facts(site.disks[machine.ip].facts).epoch for machine in machines]


def check_serving(sim: Simulation, site: Site, checker: InvariantChecker) -> None:
    """Check that all controllers serve, and know the same voters."""
    processes = site.running_controllers()
    serving = [process.listening for process in processes]
    if serving != [True] * len(site.controllers):
        epochs = epochs_of(site, site.controllers.values())
        checker.record_violation("live", f"serving {serving}, epochs {epochs}")
    if len({process.plane.register.voters for process in processes}) != 1:
        checker.record_violation("agree", "the controllers know different voters")
    if sim.violation:
        raise sim.violation


def interrupted_start(kills: Callable[[random.Random], int]) -> Scenario:
    """Scenario: controllers are killed during their first start and return as at any later start.

    Args:
        kills: returns how often all controllers are killed, given the generator of the trial.
    """

    def run(sim: Simulation, site: Site, checker: InvariantChecker) -> None:
        rng = random.Random(sim.rng.getrandbits(64))
        machines = [*site.controllers.values()]
        for machine in machines:
            if rng.random() >= KILLED_BEFORE_STORE:
                sim.call_after(int(rng.uniform(0, 0.3) * NS_PER_SECOND), site.start, machine, True)
        for _ in range(kills(rng)):
            run_for(sim, rng.uniform(0, LATEST_KILL_S))
            for machine in machines:
                site.end(machine)
                sim.call_after(int(rng.uniform(0.1, RETURN_WITHIN_S) * NS_PER_SECOND), site.start, machine)
            run_for(sim, RETURN_WITHIN_S)
        run_for(sim, SERVE_WITHIN_S)
        check_serving(sim, site, checker)

    return run


def started(sim: Simulation, site: Site) -> list[Machine]:
    """Start all controllers for the first time, and wait until they serve; returns their machines."""
    machines = [*site.controllers.values()]
    for machine in machines:
        site.start(machine, True)
    run_for(sim, 5.0)
    return machines


def lost_disks_alone(sim: Simulation, site: Site, checker: InvariantChecker) -> None:
    """Scenario: the machines that lost their disks return long before all others."""
    rng = random.Random(sim.rng.getrandbits(64))
    machines = started(sim, site)
    for machine in machines:
        site.end(machine, power=True)
    lost = rng.sample(machines, site.shape.lost_machines)
    if site.shape.lost_zones and rng.random() < 0.5:
        zone = rng.choice(machines).zone
        lost = [machine for machine in machines if machine.zone == zone]
    for machine in lost:
        site.wipe(machine)
        site.start(machine)
    run_for(sim, rng.uniform(12.0, 25.0))
    if any(epochs_of(site, lost)):
        checker.record_violation("epochs", "disks that were lost decided on voters of their own")
    for machine in machines:
        if machine not in lost:
            site.start(machine)
    run_for(sim, SERVE_WITHIN_S)
    checker.check_invariants()
    check_serving(sim, site, checker)


def seeds_exchanged_for_new_machines(sim: Simulation, site: Site, checker: InvariantChecker) -> None:
    """Scenario: new machines start as the only seeds while all others are being killed and return."""
    rng = random.Random(sim.rng.getrandbits(64))
    machines = started(sim, site)
    zones = [*site.shape.region_of_zone]
    added = [site.add_controller(zones[number % len(zones)]) for number in range(3)]
    site.seeds = [f"{machine.ip}:{CONTROL_PORT}" for machine in added]
    for machine in added:
        sim.call_after(int(rng.uniform(0, 0.5) * NS_PER_SECOND), site.start, machine)
    run_for(sim, rng.uniform(0, 0.5))
    for machine in machines:
        site.end(machine)
        sim.call_after(int(rng.uniform(0.1, RETURN_WITHIN_S) * NS_PER_SECOND), site.start, machine)
    run_for(sim, SERVE_WITHIN_S)
    checker.check_invariants()
    check_serving(sim, site, checker)


class InterruptedFirstStart(unittest.TestCase):
    def trials(self, scenario: Scenario, controllers: int | None = 3) -> list[Outcome]:
        return [
            run_trial(seed, on=ON, controllers=controllers, scenario=scenario) for seed in range(1, SEEDS + 1)
        ]

    def assert_held(self, outcomes: list[Outcome]) -> None:
        broken = [outcome.report() for outcome in outcomes if outcome.broken]
        self.assertFalse(broken, f"{len(broken)} of {len(outcomes)} trials; the first: {broken[:1]}")

    def test_controllers_killed_during_their_first_start_serve_after_their_return(self):
        self.assert_held(self.trials(interrupted_start(lambda rng: 1)))

    def test_controllers_killed_repeatedly_during_their_first_start_serve_after_their_return(self):
        self.assert_held(self.trials(interrupted_start(lambda rng: rng.randint(2, 4)), controllers=None))

    def test_lost_disks_decide_nothing_while_the_others_are_down(self):
        self.assert_held(self.trials(lost_disks_alone, controllers=None))

    def test_new_machines_that_are_the_only_seeds_decide_nothing_of_their_own(self):
        self.assert_held(self.trials(seeds_exchanged_for_new_machines))
