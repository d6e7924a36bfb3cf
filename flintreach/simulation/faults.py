"""Faults of a simulated site, from a seed, kept within what its settings allow to be lost at once.

The order in which they draw is part of what a seed plays.
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

CATCH_UP_NS = 4 * NS_PER_SECOND  # for which a machine that is back, or new, still counts as lost
GRACE_NS = 6 * NS_PER_SECOND  # from SIGTERM to the end of the machine
HANDOVER_GRACE_NS = 9 * NS_PER_SECOND
RECOVERY_NS = 5 * NS_PER_SECOND  # for which nothing else is struck after all machines were
ACCEPT_MESSAGE = b"\xa6accept"  # kind of a message, as msgpack writes it
MESSAGE_KIND_END = 12  # bytes of a message in which its kind begins
DURATIONS_S = ((0.05, 0.6), (0.6, 2.0), (2, 6), (6, 9), (20, 20))  # from and to, of a fault


class Fault(StrEnum):
    """What can happen to one machine; the words stand in traces."""

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
    """What can happen to a zone as a whole; the words stand in traces."""

    POWER = "power"
    FREEZE = "freeze"
    CUT = "zone_cut"


# Drawn from, so the more often the likelier.
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
    """End a fault that undoes itself."""


class FaultInjector:
    """Strikes a site from a seed, within what may be lost at once.

    Attributes:
        rng: draws of the faults.
        extra_rng: for faults that came with later releases; what it draws moves no other fault.
        lost: machine -> until when it counts as lost, in nanoseconds; None: not known yet.
        stopped: whether no fault begins any more.
        calm_until_ns: before which no fault begins.
        zone_durations_ns: how long the faults of a zone's machines last, which go and come together.
        closing_fault_injected: whether the closing fault has struck.
        callers: who calls the site; set before `hand_over_and_lose`.
    """

    def __init__(self, site: Site, checker: InvariantChecker) -> None:
        """Prepare; `start` begins to strike."""
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
        # What each fault does; a method a name.
        self.actions: dict[str, Callable[[Machine], None]] = {
            Fault.KILL: self.kill,
            Fault.POWER: self.power,
            Fault.WIPE: self.wipe,
            Fault.FREEZE: self.freeze,
            Fault.CUT: self.cut,
            Fault.CUT_PAIR: self.cut_pair,
            Fault.DISK: self.disk,
            Fault.SLOW_LINK: self.slow_link,
            Fault.REPLACE: self.replace,
        }

    def start(self, until_ns: int) -> None:
        """Strike until a virtual time, in bursts with calm times between."""
        self.until_ns = until_ns
        self.mean_interval_s = self.rng.choice((0.4, 1.0, 2.0, 4.0))
        self.burst_s = self.rng.uniform(3, 20)
        self.calm_s = self.rng.choice((0.0, 7.0, 9.0))
        self.after_s(self.rng.uniform(1.0, 5), self.strike)
        self.after_s(3 + self.burst_s, self.begin_calm)
        if self.rng.random() < 0.25:
            self.after_s(self.rng.uniform(3, 16), self.strike_all)

    def after_s(self, seconds: float, call: Callable[..., Any], *args: Any) -> None:
        """Run a call when some seconds have passed."""
        self.sim.call_after(int(seconds * NS_PER_SECOND), call, *args)

    def begin_calm(self) -> None:
        """Begin a calm time, and have the next come after another burst."""
        self.calm_until_ns = self.sim.now_ns + int(self.calm_s * NS_PER_SECOND)
        self.after_s(self.calm_s + self.burst_s, self.begin_calm)

    @property
    def is_done(self) -> bool:
        """Whether no fault begins any more."""
        return self.stopped or self.sim.now_ns >= self.until_ns

    # What may be lost.

    def lost_machines(self) -> list[Machine]:
        """Machines that count as lost now."""
        now_ns = self.sim.now_ns
        return [machine for machine, until_ns in self.lost.items() if until_ns is None or until_ns > now_ns]

    def may_lose(self, machine: Machine) -> bool:
        """Whether a machine may be lost beside those that are."""
        lost = [*dict.fromkeys([*self.lost_machines(), machine])]
        lost_zones = {lost_machine.zone for lost_machine in lost}
        shape = self.site.shape
        return len(lost) <= shape.lost_machines or len(lost_zones) <= shape.lost_zones

    def may_lose_zone(self, zone: str) -> bool:
        """Whether a whole zone may go now, and all of it is there."""
        if not self.site.shape.lost_zones or self.lost_machines():
            return False
        machines = [machine for machine in self.site.controllers.values() if machine.zone == zone]
        return all(is_up(machine) for machine in machines)

    def mark_lost(self, machine: Machine) -> None:
        """A fault of a machine begins."""
        self.lost[machine] = None
        self.checker.count_fault(1)

    def mark_recovered(self, machine: Machine) -> None:
        """A fault of a machine is over; it counts as lost until it has caught up."""
        if machine not in self.lost or self.lost[machine] is not None:
            return
        self.lost[machine] = self.sim.now_ns + CATCH_UP_NS
        self.checker.count_fault(-1)
        if not self.stopped and self.rng.random() < 0.3:
            self.sim.call_after(CATCH_UP_NS + NS_PER_MS, self.strike_once)  # right when it no longer counts

    def candidates(self) -> list[Machine]:
        """Machines of controllers that are up and may be lost now."""
        lost = self.lost_machines()
        machines = self.site.controllers.values()
        return [
            machine
            for machine in machines
            if machine not in lost and self.may_lose(machine) and is_up(machine)
        ]

    # Which fault, where.

    def strike(self) -> None:
        """Strike in one way or another, and again after a while."""
        if self.is_done:
            return
        if self.extra_rng.random() < 0.25:
            # Keys that a lease owner has just marked for another holder, and whose release goes out no more.
            self.site.on_release = self.strike_at_release
        if self.sim.now_ns >= self.calm_until_ns:
            ways = (self.strike_once, self.strike_once, self.strike_at_accept, self.strike_at_answer)
            self.rng.choice(ways)()
        self.after_s(self.rng.expovariate(1 / self.mean_interval_s), self.strike)

    def strike_at_release(self, machine: Machine) -> None:
        """Strike a lease owner that is about to ask for keys back."""
        self.strike_at(machine, RELEASE_FAULTS)

    def strike_once(self) -> None:
        """Strike a machine, at times a whole zone, at times in a way that costs no machine."""
        rng = self.rng
        if self.is_done:
            return
        if rng.random() < 0.12:
            self.disturb_harmlessly()
            return
        zone = rng.choice([*self.site.shape.region_of_zone])
        if rng.random() < 0.15 and self.may_lose_zone(zone):
            self.strike_zone(zone)
            return
        self.strike_at(None, ALL_FAULTS)

    def strike_at_answer(self) -> None:
        """Strike right when an acknowledgement is on its way: who sends it, or another."""
        strikes_sender = self.rng.random() < 0.5

        def strike(sender: Machine) -> None:
            self.strike_at(sender if strikes_sender else None, HARD_FAULTS)

        self.site.on_post_acknowledged.append(strike)

    def strike_at_accept(self) -> None:
        """Strike in the middle of a change: who has just asked a disk to accept, or that disk's machine."""
        left = self.rng.randint(1, 6)
        strikes_all = self.rng.random() < 0.3

        def trap(sender: Machine, receiver: Machine, data: bytes) -> None:
            nonlocal left
            if sender is receiver or ACCEPT_MESSAGE not in data[:MESSAGE_KIND_END]:
                return
            left -= 1
            if left:
                return
            self.site.network.on_message = None
            if strikes_all:
                self.sim.call_after(int(self.rng.random() * 5 * NS_PER_MS), self.strike_all)
                return
            struck = self.rng.choice((sender, sender, receiver))
            self.sim.call_after(0, self.strike_at, struck, HARD_FAULTS)

        self.site.network.on_message = trap

    def strike_at(self, machine: Machine | None, kinds: Sequence[Fault]) -> None:
        """Strike a machine with one fault of some kinds, if it may be lost now; None: any machine."""
        candidates = self.candidates() if self.sim.now_ns >= self.calm_until_ns else []
        if self.is_done or not candidates:
            return
        if machine is not None and machine not in candidates:
            return
        if machine is None:
            machine = self.rng.choice(candidates)
        self.mark_lost(machine)
        self.actions[self.rng.choice(kinds)](machine)

    # How a fault ends.

    def draw_duration(self) -> int:
        """Draw how long a fault lasts, in nanoseconds; for the machines of a zone the same."""
        if self.zone_durations_ns:
            return self.zone_durations_ns[0]
        low_s, high_s = self.rng.choice(DURATIONS_S)
        return int(self.rng.uniform(low_s, high_s) * NS_PER_SECOND)

    def note(self, machine: Machine | None, text: str) -> None:
        """Record a fault; None: of all machines."""
        self.sim.note("FAULT", f"{machine.name if machine else 'all'}: {text}")

    def schedule_undo(self, machine: Machine, delay_ns: int, call: Callable[..., Any], *args: Any) -> None:
        """Undo a fault after a while, at the latest when all are to be over."""
        now_ns = self.sim.now_ns
        undo_ns = max(now_ns, min(now_ns + delay_ns, self.until_ns))
        self.sim.call_at(undo_ns, self.undo, machine, call, args)

    def undo(self, machine: Machine, call: Callable[..., Any], args: tuple) -> None:
        """Undo a fault now."""
        call(*args)
        self.mark_recovered(machine)

    def restart(self, machine: Machine) -> None:
        """Start the process of a machine, if none runs and it was not removed meanwhile."""
        is_present = machine.ip in self.site.controllers or machine.ip in self.site.proxies
        if is_present and not is_up(machine):
            self.site.start(machine)

    # Faults of one machine.

    def kill(self, machine: Machine) -> None:
        """Its process is killed."""
        self.note(machine, "killed")
        self.site.end(machine)
        delay_ns = int(self.rng.uniform(0.2, 2.0) * NS_PER_SECOND)
        self.schedule_undo(machine, delay_ns, self.restart, machine)

    def power(self, machine: Machine) -> None:
        """It loses power."""
        self.note(machine, "loses power")
        self.site.end(machine, power=True)
        self.schedule_undo(machine, self.draw_duration(), self.restart, machine)

    def wipe(self, machine: Machine) -> None:
        """It loses power and its disk."""
        self.note(machine, "loses its disk")
        self.site.end(machine, power=True)
        self.site.wipe(machine)
        self.schedule_undo(machine, self.draw_duration(), self.restart, machine)

    def freeze(self, machine: Machine) -> None:
        """Its process is stopped for a while."""
        self.note(machine, "frozen")
        process = machine.process
        process.freeze()
        self.schedule_undo(machine, self.draw_duration(), self.thaw, process)

    def thaw(self, process: Process) -> None:
        """A stopped process goes on, if it has not ended meanwhile."""
        if process.alive and process.frozen:
            self.note(process.machine, "thawed")
            process.thaw()

    def cut(self, machine: Machine) -> None:
        """It is partitioned from all others, both ways or one way, at times also from callers."""
        other_ips = [ip for ip in self.site.network.machines if ip != machine.ip]
        if self.rng.random() < 0.7:  # callers still reach it
            other_ips.remove(self.site.outside.machine.ip)
        outward = [(machine.ip, ip) for ip in other_ips]
        inward = [(ip, machine.ip) for ip in other_ips]
        way = self.rng.choice(("both ways", "both ways", "outward", "inward"))
        pairs = {"outward": outward, "inward": inward}.get(way, outward + inward)
        self.partition(machine, pairs, f"cut off, {way}")

    def cut_pair(self, machine: Machine) -> None:
        """It is partitioned from one other controller, both ways or one way."""
        others = [other for other in self.site.controllers.values() if other is not machine]
        if not others:
            return
        other = self.rng.choice(others)
        pairs = [(machine.ip, other.ip), (other.ip, machine.ip)]
        direction_count = self.rng.randint(1, 2)
        way = "one way" if direction_count == 1 else "both ways"
        self.partition(machine, pairs[:direction_count], f"cut from {other.name}, {way}")

    def partition(self, machine: Machine, pairs: list[AddressPair], what: str) -> None:
        """Cut some directions for a while."""
        self.note(machine, what)
        self.site.network.cut(pairs)
        self.schedule_undo(machine, self.draw_duration(), self.heal, machine, pairs)

    def heal(self, machine: Machine, pairs: list[AddressPair]) -> None:
        """Heal some directions."""
        self.note(machine, "healed")
        self.site.network.heal(pairs)

    def disk(self, machine: Machine) -> None:
        """Its disk is full, slow or hangs for a while."""
        disk = self.site.disks[machine.ip]
        disk.fault = self.rng.choice((DiskFault.FULL, DiskFault.SLOW, DiskFault.HUNG))
        self.note(machine, f"disk {disk.fault}")

        def restore() -> None:
            self.note(machine, "trouble is over")
            disk.fault = DiskFault.NONE

        self.schedule_undo(machine, self.draw_duration(), restore)

    def slow_link(self, machine: Machine) -> None:
        """All its messages take longer for a while."""
        machine.extra_delay_ns = self.rng.randint(50, 700) * NS_PER_MS
        self.note(machine, "slow link")

        def restore() -> None:
            self.note(machine, "slow link is over")
            machine.extra_delay_ns = 0

        self.schedule_undo(machine, self.draw_duration(), restore)

    def replace(self, machine: Machine) -> None:
        """It is removed for good; an empty successor comes at another address."""
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

    # Faults of more than one machine, or of none.

    def strike_zone(self, zone: str) -> None:
        """A zone goes as a whole, for one time."""
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
        """Directions between a zone and all other machines, but for the callers."""
        machines = self.site.network.machines
        inside = {machine.ip for machine in machines.values() if machine.zone == zone}
        caller_ip = self.site.outside.machine.ip
        outside = [ip for ip in machines if ip not in inside and ip != caller_ip]
        outward = [(inner, outer) for inner in sorted(inside) for outer in outside]
        return [*outward, *((outer, inner) for inner, outer in outward)]

    def disturb_harmlessly(self) -> None:
        """What costs no controller: steps of the time of day, exchanged seeds, proxies that go."""
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

    def strike_all(self, wiped: Iterable[Machine] = ()) -> None:
        """Every process is killed, or every machine loses power; disks stay, but for those `wiped`."""
        if self.stopped and not wiped and not self.closing_fault_injected:
            return
        power = bool(wiped) or self.rng.random() < 0.5
        strikes_all = not wiped or self.rng.random() < 0.5
        what = "only these lose their disks"
        if strikes_all:
            what = "power lost" if power else "killed"
        self.note(None, what)
        self.checker.count_fault(1)
        # Each counts as lost until it has had its time after its return: nothing else may go until then.
        self.calm_until_ns = max(self.calm_until_ns, self.sim.now_ns + RECOVERY_NS)
        for machine in [*self.site.controllers.values()]:
            if machine in wiped or strikes_all:
                self.strike_one_of_all(machine, power, machine in wiped)
        self.sim.call_after(NS_PER_SECOND, self.checker.count_fault, -1)

    def strike_one_of_all(self, machine: Machine, power: bool, wiped: bool) -> None:
        """End one machine's process as a part of `strike_all`; it starts again soon."""
        if wiped:
            self.note(machine, "loses its disk")
        was_up = is_up(machine)
        self.site.end(machine, power=power)
        if wiped:
            self.site.wipe(machine)
        if was_up:
            self.after_s(self.rng.uniform(0.2, 1.0), self.restart, machine)

    def inject_closing_fault(self) -> None:
        """Strike with the closing fault, once."""
        if self.closing_fault_injected:
            return
        self.closing_fault_injected = True
        wiped: list[Machine] = []
        if self.rng.random() < 0.5:
            wiped = self.rng.sample([*self.site.controllers.values()], self.site.shape.lost_machines)
        self.strike_all(wiped)

    def hand_over_and_lose(self) -> None:
        """In calm, exchange a machine for one that has caught up, as planned or by an operator's order.

        Right when that is done the machine is gone, and another is lost with its disk.
        """
        site = self.site
        sim = self.sim
        rng = self.extra_rng
        machine = rng.choice([*site.controllers.values()])
        asked = rng.choice([other for other in site.controllers.values() if other is not machine])
        successor = site.add_controller(machine.zone)
        struck: list[Machine] = []
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
            sim.call_after(delay_ns, self.lose_after_handover, next_lost, struck)

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
        self.restart(struck[0])
        self.checker.count_fault(-1)
        sim.run(sim.now_ns + int(5.5 * NS_PER_SECOND))

    def lose_after_handover(self, machine: Machine, struck: list[Machine]) -> None:
        """A machine loses power and its disk; it is added to `struck`."""
        struck.append(machine)
        self.note(machine, "loses its disk right after a handover")
        self.site.end(machine, power=True)
        self.site.wipe(machine)

    def order_replacement(
        self, machine: Machine, successor: Machine, asked: Machine, remove: Callable[[], None]
    ) -> None:
        """Order a controller to exchange a voter; where it refuses, the voter's machine leaves by itself.

        Args:
            machine: of the voter.
            successor: the machine that takes its place.
            asked: the machine of the controller that is asked.
            remove: takes the voter's machine away.
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
        """Whether a new configuration is acknowledged while nothing else happens.

        The operator draws whom to ask, and may draw the lost machine some times in a row (seed 66 did for
        7 s).

        Args:
            seconds: to try for.
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
        """Begin no fault any more, and start what has not come back by itself."""
        self.stopped = True
        for machine in [*self.site.controllers.values(), *self.site.proxies.values()]:
            self.restart(machine)


def is_up(machine: Machine) -> bool:
    """Whether the process of a machine has not ended; it may be frozen."""
    return machine.process is not None and machine.process.alive
