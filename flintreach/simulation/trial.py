"""Trials: a simulated site under load and faults from a seed, with a report of violated invariants."""

import contextlib
import gc
import multiprocessing
import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import Any
from unittest import mock

from flintreach.common import log
from flintreach.controller import key_ranges
from flintreach.simulation.callers import Callers
from flintreach.simulation.faults import FaultInjector
from flintreach.simulation.invariants import INVARIANTS, InvariantChecker
from flintreach.simulation.mutants import mutant_applied
from flintreach.simulation.network import Machine
from flintreach.simulation.scheduler import (
    DEFAULT_TRACE_EVENTS,
    NS_PER_MS,
    NS_PER_SECOND,
    InvariantViolation,
    Simulation,
    seconds_since_start,
)
from flintreach.simulation.site import LeaseOwner, Site, SiteShape

CHECK_INTERVAL_NS = 250 * NS_PER_MS
SETTLE_S = 5.5  # time without faults after which a site must answer every request
FINAL_REQUEST_TIMEOUT_S = 7.0  # for the operator requests at the end of a trial
RETRY_INTERVAL_S = 0.2
FINAL_GET_TIMEOUT_NS = 4 * NS_PER_SECOND
SEEDS_PER_CHUNK = 4  # seeds that a worker process takes at a time
ALL_INVARIANTS = tuple(INVARIANTS)

Scenario = Callable[[Simulation, Site, InvariantChecker], None]


class Trial:
    """The steps of one trial.

    The order of random draws, timers and tasks determines the events of a seed and must not change.

    Attributes:
        rng: generator for the steps of the trial only.
        end_ns: virtual time at which faults and regular calls end.
    """

    def __init__(self, sim: Simulation, site: Site, checker: InvariantChecker) -> None:
        """Prepare the fault injection and the callers of a site whose processes have not started."""
        self.sim = sim
        self.site = site
        self.checker = checker
        self.rng = random.Random(sim.rng.getrandbits(64))
        self.start_ns = sim.now_ns
        self.faults = FaultInjector(site, checker)
        self.callers = Callers(site, checker)
        self.faults.callers = self.callers
        self.end_ns = 0

    def run(self) -> None:
        """Run all steps.

        Raises:
            InvariantViolation: an invariant whose violation ends the trial was violated.
        """
        self.note_shape()
        self.start_machines()
        self.run_faults()
        self.heal()
        if self.site.shape.lost_machines and self.faults.extra_rng.random() < 0.4:
            self.faults.hand_over_and_lose()
        if self.rng.random() < 0.6:
            self.final_fault()
        self.advance(SETTLE_S)
        self.check_final_requests()
        self.check_final_reads()
        self.callers.stopped = True
        self.checker.check_at_end()
        if self.sim.violation:
            raise self.sim.violation

    def advance(self, seconds: float) -> None:
        """Run the simulation for some seconds."""
        self.sim.run(self.sim.now_ns + int(seconds * NS_PER_SECOND))

    def note_shape(self) -> None:
        """Record the size of the site at the start of the trace."""
        shape = self.site.shape
        self.sim.note(
            "site",
            f"{shape.controllers} refuges, {len(shape.region_of_zone)} zones, "
            f"loses {shape.lost_machines} machines or {shape.lost_zones} zones; report {shape.report_ms} ms",
        )

    def start_machines(self) -> None:
        """Start all machines; in one of five trials, one controller starts later than the others."""
        rng = self.rng
        sim = self.sim
        site = self.site
        late_machine = rng.choice([*site.controllers.values()]) if rng.random() < 0.2 else None
        for machine in [*site.controllers.values(), *site.proxies.values()]:
            late_s = 0.0
            if machine is late_machine:
                late_s = rng.uniform(0.5, 4.0)
                self.faults.mark_lost(machine)
                sim.call_after(int(late_s * NS_PER_SECOND), self.faults.mark_recovered, machine)
            start_s = rng.uniform(0, 0.3) + late_s
            sim.call_after(int(start_s * NS_PER_SECOND), site.start, machine, True)

    def run_faults(self) -> None:
        """Run faults and calls for 14 to 30 seconds, and check the invariants periodically."""
        sim = self.sim
        self.end_ns = self.start_ns + int(self.rng.uniform(14, 30) * NS_PER_SECOND)
        self.faults.start(self.end_ns)
        self.callers.start(self.end_ns)
        sim.call_after(CHECK_INTERVAL_NS, self.check)
        sim.run(self.end_ns + 2 * NS_PER_SECOND)

    def check(self) -> None:
        """Check the invariants, and schedule the next check."""
        self.checker.check_invariants()
        self.sim.call_after(CHECK_INTERVAL_NS, self.check)

    def heal(self) -> None:
        """End all faults and wait for the site to recover."""
        self.faults.stop()
        self.advance(4.5)

    def final_fault(self) -> None:
        """Fail all machines at once, while a configuration is being committed or just after it was."""
        rng = self.rng
        faults = self.faults
        moment = rng.random()
        if moment < 0.3:
            self.checker.on_ack.append(faults.inject_closing_fault)
        elif moment < 0.7:
            self.site.on_post_acknowledged.append(lambda machine: faults.inject_closing_fault())
        else:
            self.sim.call_after(int(rng.random() * 30 * NS_PER_MS), faults.inject_closing_fault)
        self.callers.last_version += 1
        self.site.runtime.spawn(self.callers.put, self.callers.last_version, rng.choice((0.1, 3.0)))
        self.advance(3)
        faults.inject_closing_fault()  # has no effect unless the trigger has not fired yet
        self.advance(6)

    def check_final_requests(self) -> None:
        """Without faults, a new configuration and an evacuation must be acknowledged in time."""
        callers = self.callers
        callers.last_version += 1
        acknowledged: list[bool] = []

        def put() -> None:
            acknowledged.append(callers.put(callers.last_version, FINAL_REQUEST_TIMEOUT_S))

        def evacuate() -> None:
            acknowledged.append(callers.evacuate(zone, self.rng.random() < 0.5, FINAL_REQUEST_TIMEOUT_S))

        self.site.runtime.spawn(put)
        zone = self.rng.choice([*self.site.shape.region_of_zone])
        self.site.runtime.spawn(evacuate)
        self.advance(2)
        if len(acknowledged) < 2:
            self.advance(6)
        if acknowledged != [True, True]:
            self.checker.record_violation(
                "live", "after a calm time an order is not acknowledged within receipt_ms"
            )

    def check_final_reads(self) -> None:
        """Check that each controller returns the current configuration."""
        lowest = max(self.checker.highest_acknowledged, self.checker.highest_shown)
        for machine in [*self.site.controllers.values()]:
            self.site.runtime.spawn(check_final_read, self.site, self.checker, machine, lowest)
        self.advance(SETTLE_S)


def fault_scenario(sim: Simulation, site: Site, checker: InvariantChecker) -> None:
    """Run a trial with a first start, faults, recovery, sometimes a final fault, and the final checks."""
    Trial(sim, site, checker).run()


def endpoint_turnover(
    sim: Simulation, site: Site, checker: InvariantChecker, busy_s: float = 60, quiet_s: float = 160
) -> None:
    """Start and stop endpoints without faults; afterwards no record of an ended endpoint may remain.

    Args:
        sim: the scheduler.
        site: a site whose processes have not started.
        checker: the invariant checker of the site.
        busy_s: seconds during which endpoints start.
        quiet_s: seconds after that, within which their records and tombstones must expire.
    """
    callers = Callers(site, checker)
    for machine in [*site.controllers.values(), *site.proxies.values()]:
        site.start(machine, True)
    callers.start(sim.now_ns + int(busy_s * NS_PER_SECOND), quiet=True)
    sim.run(sim.now_ns + int((busy_s + quiet_s) * NS_PER_SECOND))
    checker.check_forgotten([endpoint for endpoint in callers.endpoints if not endpoint.up])
    callers.stopped = True
    sim.run(sim.now_ns + 2 * NS_PER_SECOND)


def check_final_read(site: Site, checker: InvariantChecker, machine: Machine, lowest: int) -> None:
    """Check that a controller answers a get after a time without faults, with the current configuration.

    Args:
        site: site of the controller.
        checker: the invariant checker of the site.
        machine: machine of the controller.
        lowest: lowest configuration version that is a valid answer.
    """
    until_ns = site.sim.now_ns + FINAL_GET_TIMEOUT_NS
    while True:
        status, body = site.call(machine, "GET", "/v1/timetable/get")
        if status == 200 or site.sim.now_ns > until_ns:
            break
        site.runtime.sleep(RETRY_INTERVAL_S)  # concurrent reads reject each other's ballots
    if status:
        checker.check_get(lowest, status, body, machine.name)
    if status != 200:
        checker.record_violation("live", f"{machine.name} answers a get with {status} after a calm time")


@dataclass
class Outcome:
    """Result of one trial.

    Attributes:
        seed: seed of the trial.
        nodes: command-line option that sets the number of controllers; empty if the seed determines it.
        digest: checksum of all events.
        frames: checksum of the messages between processes only.
        events: number of calls that the scheduler ran.
        broken: the invariant whose violation ended the trial; empty if the trial ran to its end.
        counts: invariant -> number of violations.
        seen: invariant -> (seconds since the start, text) of its first violation.
        trace: the last notes, as in `Simulation.trace`.
        acks: kind of request -> number of acknowledged requests.
    """

    seed: int
    nodes: str = ""
    digest: str = ""
    frames: str = ""
    events: int = 0
    broken: str = ""
    counts: dict[str, int] = field(default_factory=dict)
    seen: dict[str, tuple[float, str]] = field(default_factory=dict)
    trace: list[tuple[int, str, str]] = field(default_factory=list)
    acks: dict[str, int] = field(default_factory=dict)

    def report(self) -> str:
        """Format the trace, the violations and the command that reproduces the trial."""
        lines = [f"seed {self.seed}: {self.broken or ', '.join(self.seen) or 'holds'}"]
        for at_ns, who, what in self.trace:
            lines.append(f"  {seconds_since_start(at_ns):8.3f} {who:>10}  {what}")
        for name, (at_s, text) in self.seen.items():
            lines.append(f"  {name} ({INVARIANTS[name]}) at {at_s}: {text}")
        lines.append(f"  reproduce with: flintreach simulate --trace {self.seed}{self.nodes}")
        return "\n".join(lines)


@contextlib.contextmanager
def simulated_environment(sim: Simulation) -> Iterator[None]:
    """Redirect log messages to the trace, and calls of lease owners to simulated endpoints."""

    def note(text: str, fields: dict[str, Any]) -> None:
        sim.note(sim.current_process.name if sim.current_process else "", f"{text} {fields}")

    with mock.patch.object(log, "sink", note), mock.patch.object(key_ranges, "LeaseOwner", LeaseOwner):
        yield


@contextlib.contextmanager
def garbage_collection_disabled() -> Iterator[None]:
    """Disable the cyclic garbage collector.

    Tasks of ended processes close their connections when they are collected, and the time of that must not
    depend on what the Python process did before.
    """
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def run_trial(
    seed: int,
    controllers: int | None = None,
    on: Iterable[str] = ALL_INVARIANTS,
    trace_length: int = DEFAULT_TRACE_EVENTS,
    mutant: str = "",
    scenario: Scenario = fault_scenario,
) -> Outcome:
    """Run one trial.

    Args:
        seed: seed of all random draws.
        controllers: number of controllers; None draws it from the seed.
        on: invariants whose violation ends the trial.
        trace_length: number of notes that the trace keeps.
        mutant: name of a mutant to apply to the code, or empty; see `mutants`.
        scenario: the scenario to run.

    Raises:
        KeyError: the mutant does not exist.
    """
    sim = Simulation(seed, trace_length)
    with simulated_environment(sim), mutant_applied(mutant), garbage_collection_disabled():
        outcome = Outcome(seed, f" --nodes {controllers}" if controllers else "")
        checker = InvariantChecker(sim, on)
        site = Site(sim, SiteShape(sim.rng, controllers), checker)
        checker.site = site
        try:
            scenario(sim, site, checker)
        except InvariantViolation as error:
            outcome.broken = error.args[0]
        # Stops the scheduler, so that nothing runs when the tasks are collected.
        sim.violation = sim.violation or InvariantViolation("over")
        for machine in [*site.network.machines.values()]:
            site.end(machine, power=True)
    outcome.digest = f"{sim.digest:08x}"
    outcome.frames = f"{sim.frames:08x}"
    outcome.events = sim.events
    outcome.counts = dict(checker.counts)
    outcome.seen = checker.first_violations
    outcome.trace = [*sim.trace]
    outcome.acks = dict(checker.acks)
    return outcome


def run_trial_with(arguments: tuple) -> Outcome:
    """Run one trial in a worker process; `arguments` are the positional arguments of `run_trial`."""
    return run_trial(*arguments)


def many(
    seeds: Iterable[int],
    controllers: int | None = None,
    on: Iterable[str] = ALL_INVARIANTS,
    workers: int | None = None,
    mutant: str = "",
) -> Iterator[Outcome]:
    """Run trials in worker processes, and yield their outcomes in the order of the seeds.

    The workers are spawned, not forked, so that the state of this process (its hash seed, its greenlets)
    does not affect them.

    Args:
        seeds: one seed per trial.
        controllers: as for `run_trial`.
        on: as for `run_trial`.
        workers: number of worker processes; None starts one per CPU.
        mutant: as for `run_trial`.
    """
    context = multiprocessing.get_context("spawn")
    pool = ProcessPoolExecutor(workers, mp_context=context)
    arguments = [(seed, controllers, on, DEFAULT_TRACE_EVENTS, mutant) for seed in seeds]
    try:
        yield from pool.map(run_trial_with, arguments, chunksize=SEEDS_PER_CHUNK)
    finally:
        pool.shutdown(cancel_futures=True)  # a caller may stop before the last outcome


def run_and_print(
    seeds: Iterable[int],
    controllers: int | None,
    workers: int,
    echo: Callable[[str], Any],
    mutant: str = "",
) -> int:
    """Run trials and print a report of the first violation of each invariant, then a count of violations.

    Args:
        seeds: as for `many`.
        controllers: as for `many`.
        workers: as for `many`.
        echo: function that prints a line of text.
        mutant: as for `many`.

    Returns:
        Exit status of the command: 1 if an invariant was violated, else 0.
    """
    violations: Counter[str] = Counter()
    trial_count = 0
    for outcome in many(seeds, controllers, workers=workers, mutant=mutant):
        trial_count += 1
        if not outcome.broken:
            continue
        if outcome.broken not in violations:
            echo(outcome.report())
        violations[outcome.broken] += 1
    for name, count in violations.most_common():
        echo(f"{name}: {count} of {trial_count} seeds")
    echo(f"{trial_count - sum(violations.values())} of {trial_count} seeds hold")
    return 1 if violations else 0
