"""Fault injection for a simulated site, within the simultaneous losses that its settings tolerate.

A seed reproduces a run only while the order of the random draws here stays the same.
"""

import random
from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from typing import Any

from flintreach.simulation.callers import Callers
from flintreach.simulation.disk import DiskFault
from flintreach.simulation.invariants import InvariantChecker
from flintreach.simulation.network import AddressPair, Machine
from flintreach.simulation.process import Process
from flintreach.simulation.scheduler import NS_PER_MS, NS_PER_SECOND
from flintreach.simulation.site import Site

CATCH_UP_NS = 4 * NS_PER_SECOND  # for which a recovered or new machine still counts as lost
GRACE_NS = 6 * NS_PER_SECOND  # between SIGTERM and the removal of the machine
HANDOVER_GRACE_NS = 9 * NS_PER_SECOND
RECOVERY_NS = 5 * NS_PER_SECOND  # without further faults after a fault of all machines
ACCEPT_MESSAGE = b"\xa6accept"  # kind of an accept request, encoded in msgpack
MESSAGE_KIND_END = 12  # the kind lies within this many first bytes of a message
# Ranges from which the duration of a fault is drawn.
DURATIONS_S = ((0.05, 0.6), (0.6, 2.0), (2, 6), (6, 9), (20, 20))


class Fault(StrEnum):
    """A fault of one machine; the values occur in traces."""

    KILL = "kill"
    POWER = "power"
    WIPE = "wipe"
    FREEZE = "freeze"
    CUT = "cut"
    CUT_PAIR = "cut_pair"
    DISK = "disk"
    SLOW_LINK = "slow_link"
    REPLACE = "replace"


class ZoneFault(StrEnum):
    """A fault of a whole zone; the values occur in traces."""

    POWER = "power"
    FREEZE = "freeze"
    CUT = "zone_cut"


# Faults are drawn uniformly from these: repetition is weight.
ALL_FAULTS = (
    (Fault.KILL,) * 3
    + (Fault.POWER,) * 3
    + (Fault.WIPE,) * 2
    + (Fault.FREEZE,) * 3
    + (Fault.CUT,) * 4
    + (Fault.CUT_PAIR, Fault.CUT_PAIR, Fault.DISK, Fault.DISK, Fault.SLOW_LINK)
    + (Fault.REPLACE, Fault.REPLACE)
)
HARD_FAULTS = (Fault.KILL, Fault.POWER, Fault.WIPE, Fault.FREEZE, Fault.CUT, Fault.CUT)
RELEASE_FAULTS = (Fault.KILL, Fault.POWER, Fault.CUT)


def do_nothing() -> None:
    """Do nothing: undo action of a fault that ends without one."""


class FaultInjector:
    """Injects random faults into a site, within the losses that it tolerates.

    Attributes:
        rng: random generator of the faults.
        extra_rng: for faults added in later releases; it is separate so that they do not change the others.
        lost: machine -> time until which it counts as lost, in nanoseconds; None while its fault lasts.
        stopped: whether no further fault begins.
        calm_until_ns: time before which no fault begins.
        zone_durations_ns: duration of the current zone fault, once for each machine; they recover together.
        closing_fault_injected: whether the closing fault was injected.
        callers: the callers of the site; must be set before `hand_over_and_lose`.
        mean_interval_s: mean time between two faults.
        burst_s: length of a burst of faults.
        calm_s: length of the calm time between two bursts.
        actions: fault -> the method that injects it.
    """

    def __init__(self, site: Site, checker: InvariantChecker) -> None:
        """Create an idle injector; `start` begins the faults."""
        self.site = site
        self.checker = checker
        self.sim = site.sim
        self.rng = random.Random(site.sim.rng.getrandbits(64))
        self.extra_rng = random.Random(self.rng.getstate()[1][0])
        self.lost: dict[Machine, int | None] = {}
        self.stopped = False
        self.calm_until_ns = 0
        self.zone_durations_ns: list[int] = []
        self.closing_fault_injected = False
        self.callers: Callers | None = None
        self.until_ns = 0
        self.mean_interval_s = 0.0
        self.burst_s = 0.0
        self.calm_s = 0.0
        self.actions: dict[str, Callable[[Machine], None]] = {
            Fault.KILL: self.kill,
            Fault.POWER: self.power,
            Fault.WIPE: self.wipe,
            Fault.FREEZE: self.freeze,
            Fault.CUT: self.cut,
            Fault.CUT_PAIR: self.cut_pair,
            Fault.DISK: self.disturb_disk,
            Fault.SLOW_LINK: self.slow_link,
            Fault.REPLACE: self.replace,
        }

    def start(self, until_ns: int) -> None:
        """Inject faults until a virtual time, in bursts separated by calm times."""
        self.until_ns = until_ns
        self.mean_interval_s = self.rng.choice((0.4, 1.0, 2.0, 4.0))
        self.burst_s = self.rng.uniform(3, 20)
        self.calm_s = self.rng.choice((0.0, 7.0, 9.0))
        self.after_s(self.rng.uniform(1.0, 5), self.inject_next)
        self.after_s(3 + self.burst_s, self.begin_calm)
        if self.rng.random() < 0.25:
            self.after_s(self.rng.uniform(3, 16), self.crash_all)

    def after_s(self, seconds: float, call: Callable[..., Any], *args: Any) -> None:
        """Run a call after some seconds."""
        self.sim.call_after(int(seconds * NS_PER_SECOND), call, *args)

    def begin_calm(self) -> None:
        """Begin a calm time, and schedule the next one after another burst."""
        self.calm_until_ns = self.sim.now_ns + int(self.calm_s * NS_PER_SECOND)
        self.after_s(self.calm_s + self.burst_s, self.begin_calm)

    @property
    def is_done(self) -> bool:
        """Whether no further fault begins."""
        return self.stopped or self.sim.now_ns >= self.until_ns

    # Tolerated losses.

    def lost_machines(self) -> list[Machine]:
        """Return the machines that currently count as lost."""
        now_ns = self.sim.now_ns
        return [machine for machine, until_ns in self.lost.items() if until_ns is None or until_ns > now_ns]

    def may_lose(self, machine: Machine) -> bool:
        """Whether the site tolerates the loss of a machine beside the current losses."""
        lost = [*dict.fromkeys([*self.lost_machines(), machine])]
        lost_zones = {lost_machine.zone for lost_machine in lost}
        shape = self.site.shape
        return len(lost) <= shape.lost_machines or len(lost_zones) <= shape.lost_zones

    def may_lose_zone(self, zone: str) -> bool:
        """Whether the site tolerates the loss of a zone now, and all machines of the zone are up."""
        if not self.site.shape.lost_zones or self.lost_machines():
            return False
        machines = [machine for machine in self.site.controllers.values() if machine.zone == zone]
        return all(is_up(machine) for machine in machines)

    def mark_lost(self, machine: Machine) -> None:
        """Count a machine as lost: a fault of it begins."""
        self.lost[machine] = None
        self.checker.count_fault(1)

    def mark_recovered(self, machine: Machine) -> None:
        """End a fault of a machine, which counts as lost until it has caught up."""
        if machine not in self.lost or self.lost[machine] is not None:
            return
        self.lost[machine] = self.sim.now_ns + CATCH_UP_NS
        self.checker.count_fault(-1)
        if not self.stopped and self.rng.random() < 0.3:
            # As soon as it no longer counts as lost.
            self.sim.call_after(CATCH_UP_NS + NS_PER_MS, self.inject_one)

    def candidates(self) -> list[Machine]:
        """Return the controllers' machines that are up and whose loss is tolerated now."""
        lost = self.lost_machines()
        machines = self.site.controllers.values()
        return [
            machine
            for machine in machines
            if machine not in lost and self.may_lose(machine) and is_up(machine)
        ]

    # Choice of faults and targets.

    def inject_next(self) -> None:
        """Inject a fault by a random method, and schedule the next."""
        if self.is_done:
            return
        if self.extra_rng.random() < 0.25:
            # The owner has just marked the keys for another holder, and the release is never sent.
            self.site.on_release = self.inject_at_release
        if self.sim.now_ns >= self.calm_until_ns:
            methods = (self.inject_one, self.inject_one, self.inject_at_accept, self.inject_at_answer)
            self.rng.choice(methods)()
        self.after_s(self.rng.expovariate(1 / self.mean_interval_s), self.inject_next)

    def inject_at_release(self, machine: Machine) -> None:
        """Inject a fault at a lease owner that is about to send a release."""
        self.inject_at(machine, RELEASE_FAULTS)

    def inject_one(self) -> None:
        """Inject a fault of a machine, of a whole zone, or one without the loss of a controller."""
        rng = self.rng
        if self.is_done:
            return
        if rng.random() < 0.12:
            self.disturb_harmlessly()
            return
        zone = rng.choice([*self.site.shape.region_of_zone])
        if rng.random() < 0.15 and self.may_lose_zone(zone):
            self.inject_zone_fault(zone)
            return
        self.inject_at(None, ALL_FAULTS)

    def inject_at_answer(self) -> None:
        """Inject a fault just as the next acknowledgement is sent, at its sender or at a random machine."""
        hits_sender = self.rng.random() < 0.5

        def inject(sender: Machine) -> None:
            self.inject_at(sender if hits_sender else None, HARD_FAULTS)

        self.site.on_post_acknowledged.append(inject)

    def inject_at_accept(self) -> None:
        """Inject a fault at the sender or receiver of an accept request, in the middle of a change."""
        left = self.rng.randint(1, 6)
        hits_all = self.rng.random() < 0.3

        def on_message(sender: Machine, receiver: Machine, data: bytes) -> None:
            nonlocal left
            if sender is receiver or ACCEPT_MESSAGE not in data[:MESSAGE_KIND_END]:
                return
            left -= 1
            if left:
                return
            self.site.network.on_message = None
            if hits_all:
                self.sim.call_after(int(self.rng.random() * 5 * NS_PER_MS), self.crash_all)
                return
            target = self.rng.choice((sender, sender, receiver))
            self.sim.call_after(0, self.inject_at, target, HARD_FAULTS)

        self.site.network.on_message = on_message

    def inject_at(self, machine: Machine | None, kinds: Sequence[Fault]) -> None:
        """Inject one of some faults at a machine (None: a random one), if its loss is tolerated now."""
        candidates = self.candidates() if self.sim.now_ns >= self.calm_until_ns else []
        if self.is_done or not candidates:
            return
        if machine is not None and machine not in candidates:
            return
        if machine is None:
            machine = self.rng.choice(candidates)
        self.mark_lost(machine)
        self.actions[self.rng.choice(kinds)](machine)

    # End of faults.

    def draw_duration(self) -> int:
        """Return a random duration in nanoseconds, the same for all machines in a zone fault."""
        if self.zone_durations_ns:
            return self.zone_durations_ns[0]
        low_s, high_s = self.rng.choice(DURATIONS_S)
        return int(self.rng.uniform(low_s, high_s) * NS_PER_SECOND)

    def note(self, machine: Machine | None, text: str) -> None:
        """Record a fault of a machine (None: of all) in the trace."""
        self.sim.note("FAULT", f"{machine.name if machine else 'all'}: {text}")

    def schedule_undo(self, machine: Machine, delay_ns: int, call: Callable[..., Any], *args: Any) -> None:
        """Schedule the end of a fault after a delay, no later than `until_ns`."""
        now_ns = self.sim.now_ns
        undo_ns = max(now_ns, min(now_ns + delay_ns, self.until_ns))
        self.sim.call_at(undo_ns, self.undo, machine, call, args)

    def undo(self, machine: Machine, call: Callable[..., Any], args: tuple) -> None:
        """Undo a fault by a call, and mark the machine as recovered."""
        call(*args)
        self.mark_recovered(machine)

    def restart(self, machine: Machine) -> None:
        """Start the process of a machine, unless one runs or the machine was removed."""
        is_present = machine.ip in self.site.controllers or machine.ip in self.site.proxies
        if is_present and not is_up(machine):
            self.site.start(machine)

    # Faults of one machine.

    def kill(self, machine: Machine) -> None:
        """Kill the process for a short time."""
        self.note(machine, "killed")
        self.site.end(machine)
        delay_ns = int(self.rng.uniform(0.2, 2.0) * NS_PER_SECOND)
        self.schedule_undo(machine, delay_ns, self.restart, machine)

    def power(self, machine: Machine) -> None:
        """Cut the power of the machine for a while."""
        self.note(machine, "loses power")
        self.site.end(machine, power=True)
        self.schedule_undo(machine, self.draw_duration(), self.restart, machine)

    def wipe(self, machine: Machine) -> None:
        """Cut the power of the machine for a while, and lose its disk."""
        self.note(machine, "loses its disk")
        self.site.end(machine, power=True)
        self.site.wipe(machine)
        self.schedule_undo(machine, self.draw_duration(), self.restart, machine)

    def freeze(self, machine: Machine) -> None:
        """Freeze the process for a while."""
        self.note(machine, "frozen")
        process = machine.process
        process.freeze()
        self.schedule_undo(machine, self.draw_duration(), self.thaw, process)

    def thaw(self, process: Process) -> None:
        """Resume a frozen process, unless it has ended."""
        if process.alive and process.frozen:
            self.note(process.machine, "thawed")
            process.thaw()

    def cut(self, machine: Machine) -> None:
        """Partition the machine from all others, in one or both directions, sometimes also from callers."""
        other_ips = [ip for ip in self.site.network.machines if ip != machine.ip]
        if self.rng.random() < 0.7:  # callers can still reach it
            other_ips.remove(self.site.outside.machine.ip)
        outward = [(machine.ip, ip) for ip in other_ips]
        inward = [(ip, machine.ip) for ip in other_ips]
        way = self.rng.choice(("both ways", "both ways", "outward", "inward"))
        pairs = {"outward": outward, "inward": inward}.get(way, outward + inward)
        self.partition(machine, pairs, f"cut off, {way}")

    def cut_pair(self, machine: Machine) -> None:
        """Partition the machine from one other controller, in one or both directions."""
        others = [other for other in self.site.controllers.values() if other is not machine]
        if not others:
            return
        other = self.rng.choice(others)
        pairs = [(machine.ip, other.ip), (other.ip, machine.ip)]
        direction_count = self.rng.randint(1, 2)
        way = "one way" if direction_count == 1 else "both ways"
        self.partition(machine, pairs[:direction_count], f"cut from {other.name}, {way}")

    def partition(self, machine: Machine, pairs: list[AddressPair], what: str) -> None:
        """Cut the network between pairs of addresses for a while; a pair is one direction."""
        self.note(machine, what)
        self.site.network.cut(pairs)
        self.schedule_undo(machine, self.draw_duration(), self.heal, machine, pairs)

    def heal(self, machine: Machine, pairs: list[AddressPair]) -> None:
        """Restore the network between pairs of addresses."""
        self.note(machine, "healed")
        self.site.network.heal(pairs)

    def disturb_disk(self, machine: Machine) -> None:
        """Make the disk full, slow or hung for a while."""
        disk = self.site.disks[machine.ip]
        disk.fault = self.rng.choice((DiskFault.FULL, DiskFault.SLOW, DiskFault.HUNG))
        self.note(machine, f"disk {disk.fault}")

        def restore() -> None:
            self.note(machine, "trouble is over")
            disk.fault = DiskFault.NONE

        self.schedule_undo(machine, self.draw_duration(), restore)

    def slow_link(self, machine: Machine) -> None:
        """Delay all messages of the machine for a while."""
        machine.extra_delay_ns = self.rng.randint(50, 700) * NS_PER_MS
        self.note(machine, "slow link")

        def restore() -> None:
            self.note(machine, "slow link is over")
            machine.extra_delay_ns = 0

        self.schedule_undo(machine, self.draw_duration(), restore)

    def replace(self, machine: Machine) -> None:
        """Remove the machine permanently, and add an empty successor at another address."""
        site = self.site
        is_planned = self.rng.random() < 0.5
        self.note(machine, "is replaced" + (", as planned" if is_planned else " after it is lost"))
        successor = site.add_controller(machine.zone)
        comes_first = is_planned and self.rng.random() < 0.5

        def arrive() -> None:
            site.choose_seeds(self.rng)
            site.start(successor)

        def leave() -> None:
            if is_planned and is_up(machine):
                machine.process.stop(remove)
                self.sim.call_after(GRACE_NS, remove)
            else:
                remove()

        def remove() -> None:
            if machine.ip not in site.controllers:
                return
            site.remove(machine)
            site.choose_seeds(self.rng)
            if not comes_first:
                self.sim.call_after(NS_PER_SECOND, arrive)
            self.schedule_undo(machine, (0 if comes_first else NS_PER_SECOND) + 1, do_nothing)

        if comes_first:
            arrive()
            self.after_s(self.rng.uniform(0.1, 5), leave)
        else:
            leave()

    # Faults of several machines, or of none.

    def inject_zone_fault(self, zone: str) -> None:
        """Inject the same fault at all machines of a zone for the same time."""
        machines = [machine for machine in self.site.controllers.values() if machine.zone == zone]
        duration_ns = self.draw_duration()
        kind = self.rng.choice((ZoneFault.POWER, ZoneFault.FREEZE, ZoneFault.CUT))
        self.note(None, f"{zone} goes: {kind}")
        self.zone_durations_ns = [duration_ns] * len(machines)
        for machine in machines:
            self.mark_lost(machine)
            if kind != ZoneFault.CUT:
                self.actions[kind](machine)
        self.zone_durations_ns = []
        if kind == ZoneFault.CUT:
            pairs = self.zone_border(zone)
            self.site.network.cut(pairs)
            self.schedule_undo(machines[0], duration_ns, self.heal, machines[0], pairs)
            for machine in machines[1:]:
                self.schedule_undo(machine, duration_ns, do_nothing)

    def zone_border(self, zone: str) -> list[AddressPair]:
        """Return the directed pairs between a zone and all other machines except the callers."""
        machines = self.site.network.machines
        inside = {machine.ip for machine in machines.values() if machine.zone == zone}
        caller_ip = self.site.outside.machine.ip
        outside = [ip for ip in machines if ip not in inside and ip != caller_ip]
        outward = [(inner, outer) for inner in sorted(inside) for outer in outside]
        return [*outward, *((outer, inner) for inner, outer in outward)]

    def disturb_harmlessly(self) -> None:
        """Inject a fault that loses no controller: a clock step, changed seeds or the loss of a proxy."""
        rng = self.rng
        site = self.site
        what = rng.choice(("clock", "seeds", "proxy"))
        if what == "clock":
            machine = rng.choice([*site.controllers.values()])
            machine.wall_clock_error_ms += rng.choice((-1, 1)) * rng.randint(100, 600_000)
            self.note(machine, "time of day stepped")
            self.checker.count_fault(0)
        elif what == "seeds":
            site.choose_seeds(rng)
            for controller in site.running_controllers():
                controller.reload_settings()
        else:
            machine = rng.choice([*site.proxies.values()])
            if is_up(machine):
                self.note(machine, "killed")
                self.site.end(machine, power=rng.random() < 0.5)
                self.after_s(rng.uniform(0.2, 3), self.restart, machine)

    def crash_all(self, wiped: Iterable[Machine] = ()) -> None:
        """Kill all controllers or cut their power; only machines in `wiped` lose their disks.

        With `wiped` the others may be spared.
        """
        if self.stopped and not wiped and not self.closing_fault_injected:
            return
        power = bool(wiped) or self.rng.random() < 0.5
        hits_all = not wiped or self.rng.random() < 0.5
        what = "only these lose their disks"
        if hits_all:
            what = "power lost" if power else "killed"
        self.note(None, what)
        self.checker.count_fault(1)
        # All machines count as lost until they have recovered: no other fault is tolerated until then.
        self.calm_until_ns = max(self.calm_until_ns, self.sim.now_ns + RECOVERY_NS)
        for machine in [*self.site.controllers.values()]:
            if machine in wiped or hits_all:
                self.crash_one_of_all(machine, power, machine in wiped)
        self.sim.call_after(NS_PER_SECOND, self.checker.count_fault, -1)

    def crash_one_of_all(self, machine: Machine, power: bool, wiped: bool) -> None:
        """End the process of one machine as part of `crash_all`, and schedule its restart."""
        if wiped:
            self.note(machine, "loses its disk")
        was_up = is_up(machine)
        self.site.end(machine, power=power)
        if wiped:
            self.site.wipe(machine)
        if was_up:
            self.after_s(self.rng.uniform(0.2, 1.0), self.restart, machine)

    def inject_closing_fault(self) -> None:
        """Inject the final fault of all machines, at most once."""
        if self.closing_fault_injected:
            return
        self.closing_fault_injected = True
        wiped: list[Machine] = []
        if self.rng.random() < 0.5:
            wiped = self.rng.sample([*self.site.controllers.values()], self.site.shape.lost_machines)
        self.crash_all(wiped)

    def hand_over_and_lose(self) -> None:
        """Replace a machine by a successor that has caught up, by a planned stop or an operator's order.

        Right after the handover the machine is removed, and another loses power and its disk.  A new
        configuration must still be acknowledged.  Runs while no other fault is active.
        """
        site = self.site
        sim = self.sim
        rng = self.extra_rng
        machine = rng.choice([*site.controllers.values()])
        asked = rng.choice([other for other in site.controllers.values() if other is not machine])
        successor = site.add_controller(machine.zone)
        wiped: list[Machine] = []
        site.start(successor)
        sim.run(sim.now_ns + CATCH_UP_NS + int(rng.random() * NS_PER_SECOND))
        self.checker.count_fault(1)

        def remove() -> None:
            if machine.ip not in site.controllers:
                return
            site.remove(machine)
            site.choose_seeds(rng)
            left = [*site.controllers.values()]
            next_lost = asked if rng.random() < 0.5 else rng.choice(left)
            delay_ns = int(rng.choice((0.0, rng.random())) * 40 * NS_PER_MS)
            sim.call_after(delay_ns, self.lose_after_handover, next_lost, wiped)

        self.note(machine, "hands over")
        if rng.random() < 0.6:
            order_args = (machine, successor, asked, remove)
            asked.process.dispatch(asked.process.runtime.spawn, self.order_replacement, *order_args)
        else:
            machine.process.stop(remove)
        sim.call_after(HANDOVER_GRACE_NS, remove)
        sim.run(sim.now_ns + 14 * NS_PER_SECOND)
        if not self.put_acknowledged():
            self.checker.record_violation("live", "after a handover and a loss an order is not acknowledged")
        self.restart(wiped[0])
        self.checker.count_fault(-1)
        sim.run(sim.now_ns + int(5.5 * NS_PER_SECOND))

    def lose_after_handover(self, machine: Machine, wiped: list[Machine]) -> None:
        """Cut the power of a machine, wipe its disk, and append the machine to `wiped`."""
        wiped.append(machine)
        self.note(machine, "loses its disk right after a handover")
        self.site.end(machine, power=True)
        self.site.wipe(machine)

    def order_replacement(
        self, machine: Machine, successor: Machine, asked: Machine, remove: Callable[[], None]
    ) -> None:
        """Order a controller to replace a voter; if it refuses, the voter is stopped as planned.

        Args:
            machine: of the voter.
            successor: the machine that replaces it.
            asked: machine of the controller that receives the order.
            remove: removes the voter's machine.
        """
        voting = asked.process.plane.repair.voter_manager
        addresses = [[*machine.process_address], [*successor.process_address]]
        refusal = voting.on_replace(None, addresses)
        self.note(asked, f"ordered to exchange {machine.name}: {refusal or 'done'}")
        if refusal:
            machine.process.stop(remove)
        else:
            self.sim.call_after(0, remove)

    def put_acknowledged(self, seconds: float = 14.0) -> bool:
        """Put a new configuration while nothing else happens; whether it is acknowledged.

        The operator asks random controllers and may choose the lost machine several times in a row: for 7 s
        with seed 66.

        Args:
            seconds: time limit for the attempts.
        """
        results: list[bool] = []
        callers = self.callers
        callers.last_version += 1

        def put() -> None:
            results.append(callers.put(callers.last_version, seconds))

        self.site.runtime.spawn(put)
        until_ns = self.sim.now_ns + int((seconds + 1) * NS_PER_SECOND)
        while not results and self.sim.now_ns < until_ns:
            self.sim.run(self.sim.now_ns + NS_PER_SECOND // 10)
        return results == [True]

    def stop(self) -> None:
        """Begin no further faults, and restart all processes that have ended."""
        self.stopped = True
        for machine in [*self.site.controllers.values(), *self.site.proxies.values()]:
            self.restart(machine)


def is_up(machine: Machine) -> bool:
    """Whether the process of a machine has started and not ended; it may be frozen."""
    return machine.process is not None and machine.process.alive
