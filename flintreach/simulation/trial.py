"""Trials: a simulated site under callers and faults, from a seed; what broke, and how to see it again."""

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
from flintreach.simulation.faults import Faults
from flintreach.simulation.invariants import INVARIANTS, InvariantChecker
from flintreach.simulation.mutants import planted
from flintreach.simulation.network import Machine
from flintreach.simulation.scheduler import (
    DEFAULT_TRACE_EVENTS,
    NS_PER_MS,
    NS_PER_SECOND,
    InvariantViolation,
    Simulation,
    seconds_since_start,
)
from flintreach.simulation.site import LeaseOwner, Shape, Site

CHECK_INTERVAL_NS = 250 * NS_PER_MS
CALM_S = 5.5  # after which a site without faults must answer every request
ORDER_TIMEOUT_S = 7.0  # for the last requests of a trial
RETRY_S = 0.2
FINAL_GET_TIMEOUT_NS = 4 * NS_PER_SECOND
SEEDS_PER_CHUNK = 4  # handed to a worker process at once
ALL_INVARIANTS = tuple(INVARIANTS)

Course = Callable[[Simulation, Site, InvariantChecker], None]


class Trial:
    """The course of one trial, step by step.

    The order of the draws from `chance`, of the timers and of the tasks is part of what a seed plays: it
    may not change.

    Attributes:
        chance: draws of the course alone.
        end_ns: virtual time at which the faults and the first calls end.
    """

    def __init__(self, sim: Simulation, site: Site, checker: InvariantChecker) -> None:
        """Prepare the faults and callers of a site whose processes have not started."""
        self.sim = sim
        self.site = site
        self.checker = checker
        self.chance = random.Random(sim.rng.getrandbits(64))
        self.began_ns = sim.now_ns
        self.faults = Faults(site, checker)
        self.callers = Callers(site, checker)
        self.faults.callers = self.callers
        self.end_ns = 0

    def run(self) -> None:
        """Play all steps.

        Raises:
            InvariantViolation: an invariant that ends the run does not hold.
        """
        self.note_shape()
        self.first_start()
        self.disturb()
        self.heal()
        if self.site.shape.lost_machines and self.faults.later_chance.random() < 0.4:
            self.faults.hand_over()
        if self.chance.random() < 0.6:
            self.closing_fault()
        self.advance(CALM_S)
        self.last_orders()
        self.last_gets()
        self.callers.over = True
        self.checker.check_at_end()
        if self.sim.violation:
            raise self.sim.violation

    def advance(self, seconds: float) -> None:
        """Play some seconds."""
        self.sim.run(self.sim.now_ns + int(seconds * NS_PER_SECOND))

    def note_shape(self) -> None:
        """Begin the trace with how large the site is."""
        shape = self.site.shape
        self.sim.note(
            "site",
            f"{shape.controllers} refuges, {len(shape.region_of_zone)} zones, "
            f"loses {shape.lost_machines} machines or {shape.lost_zones} zones; report {shape.report_ms} ms",
        )

    def first_start(self) -> None:
        """Start all machines, in one of five trials a controller later than the others."""
        chance = self.chance
        sim = self.sim
        site = self.site
        late_machine = chance.choice([*site.controllers.values()]) if chance.random() < 0.2 else None
        for machine in [*site.controllers.values(), *site.proxies.values()]:
            late_s = 0.0
            if machine is late_machine:
                late_s = chance.uniform(0.5, 4.0)
                self.faults.take(machine)
                sim.call_after(int(late_s * NS_PER_SECOND), self.faults.back, machine)
            start_s = chance.uniform(0, 0.3) + late_s
            sim.call_after(int(start_s * NS_PER_SECOND), site.start, machine, True)

    def disturb(self) -> None:
        """Play faults and calls for 14 to 30 seconds, and check the invariants now and then."""
        sim = self.sim
        self.end_ns = self.began_ns + int(self.chance.uniform(14, 30) * NS_PER_SECOND)
        self.faults.start(self.end_ns)
        self.callers.start(self.end_ns)
        sim.call_after(CHECK_INTERVAL_NS, self.check)
        sim.run(self.end_ns + 2 * NS_PER_SECOND)

    def check(self) -> None:
        """Check the invariants, and again after an interval."""
        self.checker.look()
        self.sim.call_after(CHECK_INTERVAL_NS, self.check)

    def heal(self) -> None:
        """End all faults, and give the site time to recover."""
        self.faults.heal_all()
        self.advance(4.5)

    def closing_fault(self) -> None:
        """Strike all machines at once, at a moment when an order has just been, or is being, decided."""
        chance = self.chance
        faults = self.faults
        moment = chance.random()
        if moment < 0.3:
            self.checker.on_ack.append(faults.close)
        elif moment < 0.7:
            self.site.on_answer.append(lambda machine: faults.close())
        else:
            self.sim.call_after(int(chance.random() * 30 * NS_PER_MS), faults.close)
        self.callers.number += 1
        self.site.runtime.spawn(self.callers.put, self.callers.number, chance.choice((0.1, 3.0)))
        self.advance(3)
        faults.close()  # where the moment has not come
        self.advance(6)

    def last_orders(self) -> None:
        """In calm, a new configuration and an evacuation must be acknowledged in time."""
        callers = self.callers
        callers.number += 1
        acknowledged: list[bool] = []

        def put() -> None:
            acknowledged.append(callers.put(callers.number, ORDER_TIMEOUT_S))

        def evacuate() -> None:
            acknowledged.append(callers.evacuate(zone, self.chance.random() < 0.5, ORDER_TIMEOUT_S))

        self.site.runtime.spawn(put)
        zone = self.chance.choice([*self.site.shape.region_of_zone])
        self.site.runtime.spawn(evacuate)
        self.advance(2)
        if len(acknowledged) < 2:
            self.advance(6)
        if acknowledged != [True, True]:
            self.checker.broke("live", "after a calm time an order is not acknowledged within receipt_ms")

    def last_gets(self) -> None:
        """Each controller answers the configuration that stands."""
        lowest = max(self.checker.highest_acknowledged, self.checker.highest_shown)
        for machine in [*self.site.controllers.values()]:
            self.site.runtime.spawn(check_answer, self.site, self.checker, machine, lowest)
        self.advance(CALM_S)


def course(sim: Simulation, site: Site, checker: InvariantChecker) -> None:
    """A first start, faults, calm, at times a closing fault, calm, and what must hold then."""
    Trial(sim, site, checker).run()


def endpoint_turnover(
    sim: Simulation, site: Site, checker: InvariantChecker, busy_s: float = 60, quiet_s: float = 160
) -> None:
    """Endpoints come and go without faults, then none is new; nothing may be left of those that are gone.

    Args:
        sim: the scheduler.
        site: whose processes have not started.
        checker: of the site.
        busy_s: seconds in which endpoints come.
        quiet_s: seconds after that, in which their records and tombstones must expire.
    """
    callers = Callers(site, checker)
    for machine in [*site.controllers.values(), *site.proxies.values()]:
        site.start(machine, True)
    callers.start(sim.now_ns + int(busy_s * NS_PER_SECOND), quiet=True)
    sim.run(sim.now_ns + int((busy_s + quiet_s) * NS_PER_SECOND))
    checker.check_forgotten([endpoint for endpoint in callers.lives if not endpoint.up])
    callers.over = True
    sim.run(sim.now_ns + 2 * NS_PER_SECOND)


def check_answer(site: Site, checker: InvariantChecker, machine: Machine, lowest: int) -> None:
    """A controller must answer a get after a calm time, with the configuration that stands.

    Args:
        site: of the controller.
        checker: of the site.
        machine: of the controller.
        lowest: the lowest version that may be answered.
    """
    until_ns = site.sim.now_ns + FINAL_GET_TIMEOUT_NS
    while True:
        status, body = site.call(machine, "GET", "/v1/timetable/get")
        if status == 200 or site.sim.now_ns > until_ns:
            break
        site.runtime.sleep(RETRY_S)  # reads at the same time refuse each other's ballots
    if status:
        checker.check_get(lowest, status, body, machine.name)
    if status != 200:
        checker.broke("live", f"{machine.name} answers a get with {status} after a calm time")


@dataclass
class Outcome:
    """What came of one trial.

    Attributes:
        seed: that it was played from.
        nodes: the command's option that it was played with.
        digest: checksum of all events.
        frames: checksum of the messages between processes alone.
        events: how many calls the scheduler ran.
        broken: the invariant that ended the run; empty where it ended by itself.
        counts: invariant -> how often it broke.
        seen: invariant -> (seconds since the beginning, text) of its first break.
        trace: the last events, as `Simulation.trace`.
        acks: kind of request -> how many were acknowledged.
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
        """A short trace, and how to see it again."""
        lines = [f"seed {self.seed}: {self.broken or ', '.join(self.seen) or 'holds'}"]
        for at_ns, who, what in self.trace:
            lines.append(f"  {seconds_since_start(at_ns):8.3f} {who:>10}  {what}")
        for name, (at_s, text) in self.seen.items():
            lines.append(f"  {name} ({INVARIANTS[name]}) at {at_s}: {text}")
        lines.append(f"  again: flintreach simulate --trace {self.seed}{self.nodes}")
        return "\n".join(lines)


@contextlib.contextmanager
def simulated_environment(sim: Simulation) -> Iterator[None]:
    """Have the code's log messages go to the trace, and its lease owners call simulated endpoints."""

    def note(what: str, fields: dict[str, Any]) -> None:
        sim.note(sim.current_process.name if sim.current_process else "", f"{what} {fields}")

    with mock.patch.object(log, "sink", note), mock.patch.object(key_ranges, "LeaseOwner", LeaseOwner):
        yield


@contextlib.contextmanager
def uncollected() -> Iterator[None]:
    """Keep the garbage collector off.

    Tasks of ended processes close their connections when they are collected: when that is must not depend on
    what this process did before.
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
    course: Course = course,
) -> Outcome:
    """Play one trial.

    Args:
        seed: from which everything follows.
        controllers: how many; None: drawn from the seed.
        on: invariants whose break ends the trial.
        trace_length: how many events the trace keeps.
        mutant: a fault that is put into the code; see `mutants`.
        course: what is played.

    Raises:
        KeyError: there is no such mutant.
    """
    sim = Simulation(seed, trace_length)
    with simulated_environment(sim), planted(mutant), uncollected():
        outcome = Outcome(seed, f" --nodes {controllers}" if controllers else "")
        checker = InvariantChecker(sim, on)
        site = Site(sim, Shape(sim.rng, controllers), checker)
        checker.site = site
        try:
            course(sim, site, checker)
        except InvariantViolation as error:
            outcome.broken = error.args[0]
        # Nothing of it may run on when it is collected.
        sim.violation = sim.violation or InvariantViolation("over")
        for machine in [*site.network.machines.values()]:
            site.end(machine, power=True)
    outcome.digest = f"{sim.digest:08x}"
    outcome.frames = f"{sim.frames:08x}"
    outcome.events = sim.events
    outcome.counts = dict(checker.counts)
    outcome.seen = checker.seen
    outcome.trace = [*sim.trace]
    outcome.acks = dict(checker.acks)
    return outcome


def play_arguments(arguments: tuple) -> Outcome:
    """Play one trial in a worker process; `arguments` are those of `run_trial`, in their order."""
    return run_trial(*arguments)


def many(
    seeds: Iterable[int],
    controllers: int | None = None,
    on: Iterable[str] = ALL_INVARIANTS,
    workers: int | None = None,
    mutant: str = "",
) -> Iterator[Outcome]:
    """Play trials on some processes, and give their outcomes in the order of the seeds.

    The processes are started anew, so that nothing of this one (its hash seed, its greenlets) has a part in
    them.

    Args:
        seeds: one a trial.
        controllers: as for `run_trial`.
        on: as for `run_trial`.
        workers: how many processes; None: one a processor.
        mutant: as for `run_trial`.
    """
    context = multiprocessing.get_context("spawn")
    pool = ProcessPoolExecutor(workers, mp_context=context)
    arguments = [(seed, controllers, on, DEFAULT_TRACE_EVENTS, mutant) for seed in seeds]
    try:
        yield from pool.map(play_arguments, arguments, chunksize=SEEDS_PER_CHUNK)
    finally:
        pool.shutdown(cancel_futures=True)  # a caller who has seen enough waits for no more


def run_and_print(
    seeds: Iterable[int],
    controllers: int | None,
    workers: int,
    say: Callable[[str], Any],
    mutant: str = "",
) -> int:
    """Play trials and print which break: a report of the first of each invariant, then how many.

    Args:
        seeds: as for `many`.
        controllers: as for `many`.
        workers: as for `many`.
        say: takes a text to print.
        mutant: as for `many`.

    Returns:
        Status of the command: 1 if an invariant broke, else 0.
    """
    broken: Counter[str] = Counter()
    played_count = 0
    for outcome in many(seeds, controllers, workers=workers, mutant=mutant):
        played_count += 1
        if not outcome.broken:
            continue
        if outcome.broken not in broken:
            say(outcome.report())
        broken[outcome.broken] += 1
    for name, count in broken.most_common():
        say(f"{name}: {count} of {played_count} seeds")
    say(f"{played_count - sum(broken.values())} of {played_count} seeds hold")
    return 1 if broken else 0
