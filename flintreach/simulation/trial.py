"""Trials: a simulated site under callers and faults, from a seed; what broke, and how to see it again."""

import contextlib
import gc
import multiprocessing
import random
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from unittest import mock

from flintreach.common import log
from flintreach.controller import key_ranges
from flintreach.simulation.callers import Callers
from flintreach.simulation.faults import Faults
from flintreach.simulation.invariants import INVARIANTS, InvariantChecker
from flintreach.simulation.mutants import planted
from flintreach.simulation.scheduler import NS_PER_MS, NS_PER_SECOND, Broken, Simulation, seconds_since_start
from flintreach.simulation.site import LeaseOwner, Shape, Site


def course(sim: Simulation, site: Site, watch: InvariantChecker) -> None:
    """A first start, faults, calm, at times a closing fault, calm, and what must hold then."""
    chance, began = random.Random(sim.chance.getrandbits(64)), sim.now_ns
    faults, callers = Faults(site, watch), Callers(site, watch)
    faults.callers, shape = callers, site.shape
    sim.note(
        "site",
        f"{shape.controllers} refuges, {len(shape.places)} zones, loses {shape.machines} machines "
        f"or {shape.zones} zones; report {shape.report_ms} ms",
    )
    slow = chance.choice([*site.controllers.values()]) if chance.random() < 0.2 else None
    for machine in [*site.controllers.values(), *site.proxies.values()]:
        late = chance.uniform(0.5, 4.0) if machine is slow else 0.0
        if machine is slow:
            faults.take(machine)
            sim.after(int(late * NS_PER_SECOND), faults.back, machine)
        sim.after(int((chance.uniform(0, 0.3) + late) * NS_PER_SECOND), site.start, machine, True)
    end = began + int(chance.uniform(14, 30) * NS_PER_SECOND)
    faults.start(end)
    callers.start(end)

    def look():
        watch.look()
        sim.after(250 * NS_PER_MS, look)

    sim.after(250 * NS_PER_MS, look)
    sim.run(end + 2 * NS_PER_SECOND)
    faults.heal_all()
    sim.run(sim.now_ns + int(4.5 * NS_PER_SECOND))
    if shape.machines and faults.later_chance.random() < 0.4:
        faults.hand_over()
    if chance.random() < 0.6:
        # Right after an acknowledgement, or soon after a change was sent.
        when = chance.random()
        if when < 0.3:
            watch.on_ack.append(faults.close)
        elif when < 0.7:
            site.on_answer.append(lambda machine: faults.close())
        else:
            sim.after(int(chance.random() * 30 * NS_PER_MS), faults.close)
        callers.number += 1
        site.runtime.spawn(callers.put, callers.number, chance.choice((0.1, 3.0)))
        sim.run(sim.now_ns + 3 * NS_PER_SECOND)
        faults.close()
        sim.run(sim.now_ns + 6 * NS_PER_SECOND)
    sim.run(sim.now_ns + int(5.5 * NS_PER_SECOND))
    callers.number += 1
    last = []
    site.runtime.spawn(lambda: last.append(callers.put(callers.number, 7.0)))
    zone = chance.choice([*shape.places])
    site.runtime.spawn(lambda: last.append(callers.evacuate(zone, chance.random() < 0.5, 7.0)))
    sim.run(sim.now_ns + 2 * NS_PER_SECOND)
    if len(last) < 2:
        sim.run(sim.now_ns + 6 * NS_PER_SECOND)
    if last != [True, True]:
        watch.broke("live", "after a calm time an order is not acknowledged within receipt_ms")
    # Each refuge answers what stands.
    floor = max(watch.floor, watch.shown)
    for machine in [*site.controllers.values()]:
        site.runtime.spawn(answers, site, watch, machine, floor)
    sim.run(sim.now_ns + int(5.5 * NS_PER_SECOND))
    callers.over = True
    watch.at_end()
    if sim.broken:
        raise sim.broken


def endpoint_turnover(
    sim: Simulation, site: Site, watch: InvariantChecker, seconds: float = 60, rest: float = 160
) -> None:
    """Endpoints come and go in calm, then none is new; what is left of those that are gone."""
    callers = Callers(site, watch)
    for machine in [*site.controllers.values(), *site.proxies.values()]:
        site.start(machine, True)
    callers.start(sim.now_ns + int(seconds * NS_PER_SECOND), quiet=True)
    sim.run(sim.now_ns + int((seconds + rest) * NS_PER_SECOND))
    watch.forgotten([endpoint for endpoint in callers.lives if not endpoint.up])
    callers.over = True
    sim.run(sim.now_ns + 2 * NS_PER_SECOND)


def answers(site: Site, watch: InvariantChecker, machine, floor: int) -> None:
    until = site.sim.now_ns + 4 * NS_PER_SECOND
    while True:
        status, body = site.call(machine, "GET", "/v1/timetable/get")
        if status == 200 or site.sim.now_ns > until:
            break
        site.runtime.sleep(0.2)  # those who ask at once stand in each other's way
    if status:
        watch.got(floor, status, body, machine.name)
    if status != 200:
        watch.broke("live", f"{machine.name} answers a get with {status} after a calm time")


@dataclass
class Outcome:
    seed: int
    nodes: str = ""  # the option that it was played with
    digest: str = ""
    frames: str = ""  # of the messages between processes alone
    events: int = 0
    broken: str = ""  # the invariant that ended the run
    counts: dict = field(default_factory=dict)
    seen: dict = field(default_factory=dict)  # invariant -> (seconds, text) of its first break
    trace: list = field(default_factory=list)
    acks: dict = field(default_factory=dict)

    def report(self) -> str:
        """A short trace, and how to see it again."""
        lines = [f"seed {self.seed}: {self.broken or ', '.join(self.seen) or 'holds'}"]
        lines += [f"  {seconds_since_start(at):8.3f} {who:>10}  {what}" for at, who, what in self.trace]
        lines += [f"  {name} ({INVARIANTS[name]}) at {at}: {text}" for name, (at, text) in self.seen.items()]
        return "\n".join([*lines, f"  again: flintreach simulate --trace {self.seed}{self.nodes}"])


@contextlib.contextmanager
def played(sim: Simulation):
    """The shipped text says its lines to the trace, and its keepers call simulated endpoints."""

    def told(what: str, fields: dict) -> None:
        sim.note(sim.running.name if sim.running else "", f"{what} {fields}")

    with mock.patch.object(log, "teller", told), mock.patch.object(key_ranges, "LeaseOwner", LeaseOwner):
        yield


@contextlib.contextmanager
def uncollected():
    """Tasks of ended processes close their links when they are collected: when that is must not depend on
    what this process did before."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def play(
    seed: int,
    controllers: int | None = None,
    on=tuple(INVARIANTS),
    kept: int = 40,
    plant: str = "",
    course=course,
) -> Outcome:
    """One trial.  `refuges`: how many, None: drawn; `on`: invariants that end it; `kept`: events kept;
    `plant`: a fault that is put into the text (see `simulated_plants`)."""
    sim = Simulation(seed, kept)
    with played(sim), planted(plant), uncollected():
        outcome = Outcome(seed, f" --nodes {controllers}" if controllers else "")
        watch = InvariantChecker(sim, on)
        site = watch.site = Site(sim, Shape(sim.chance, controllers), watch)
        try:
            course(sim, site, watch)
        except Broken as error:
            outcome.broken = error.args[0]
        # Nothing of it may run on when it is collected.
        sim.broken = sim.broken or Broken("over")
        for machine in [*site.network.machines.values()]:
            site.end(machine, power=True)
    outcome.digest, outcome.frames, outcome.events = f"{sim.digest:08x}", f"{sim.frames:08x}", sim.events
    outcome.counts, outcome.seen, outcome.trace = dict(watch.counts), watch.seen, [*sim.notes]
    outcome.acks = dict(watch.acks)
    return outcome


def one(args) -> Outcome:
    return play(*args)


def many(
    seeds, controllers: int | None = None, on=tuple(INVARIANTS), workers: int | None = None, plant: str = ""
):
    """Outcomes in the order of the seeds, played by `workers` processes, one a processor if not told.

    They are started anew, so that nothing of this one (its hash seed, its greenlets) has a part in them.
    """
    context = multiprocessing.get_context("spawn")
    pool = ProcessPoolExecutor(workers, mp_context=context)
    try:
        yield from pool.map(one, [(seed, controllers, on, 40, plant) for seed in seeds], chunksize=4)
    finally:
        pool.shutdown(cancel_futures=True)  # who has seen enough waits for no more


def show(seeds, controllers: int | None, workers: int, say, plant: str = "") -> int:
    """Play seeds and say which break; 0 if none does."""
    broken, number, told = Counter(), 0, set()
    for outcome in many(seeds, controllers, workers=workers, plant=plant):
        number += 1
        if outcome.broken:
            broken[outcome.broken] += 1
            if outcome.broken not in told:
                told.add(outcome.broken)
                say(outcome.report())
    for name, count in broken.most_common():
        say(f"{name}: {count} of {number} seeds")
    say(f"{number - sum(broken.values())} of {number} seeds hold")
    return 1 if broken else 0
