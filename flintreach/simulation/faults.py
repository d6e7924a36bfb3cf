"""Faults of a simulated site, from a seed, kept within what its settings allow to be lost at once."""

import random

from flintreach.simulation.disk import DiskFault
from flintreach.simulation.invariants import InvariantChecker
from flintreach.simulation.scheduler import NS_PER_MS, NS_PER_SECOND
from flintreach.simulation.site import Site

CATCH_UP = 4 * NS_PER_SECOND  # for which a machine that is back, or new, still counts as lost


class Faults:
    """From a seed, within what may be lost at once.  `lost`: machine -> until when it counts (ns), None:
    not known yet."""

    def __init__(self, site: Site, watch: InvariantChecker):
        self.site, self.watch, self.sim = site, watch, site.sim
        self.chance = random.Random(site.sim.chance.getrandbits(64))
        self.later_chance = random.Random(self.chance.getstate()[1][0])  # what it draws moves no other fault
        self.lost: dict = {}
        self.over = False

    def start(self, until: int) -> None:
        self.until = until
        self.gap = self.chance.choice((0.4, 1.0, 2.0, 4.0))
        # Between bursts of faults there are calm times.
        self.burst, self.rest = self.chance.uniform(3, 20), self.chance.choice((0.0, 7.0, 9.0))
        self.sim.after(int(self.chance.uniform(1.0, 5) * NS_PER_SECOND), self.strike)
        self.sim.after(int((3 + self.burst) * NS_PER_SECOND), self.pause)
        if self.chance.random() < 0.25:
            self.sim.after(int(self.chance.uniform(3, 16) * NS_PER_SECOND), self.all_at_once)

    def pause(self) -> None:
        self.resting = self.sim.now_ns + int(self.rest * NS_PER_SECOND)
        self.sim.after(int((self.rest + self.burst) * NS_PER_SECOND), self.pause)

    resting = 0

    # What may be lost.

    def counted(self) -> list:
        return [m for m, until in self.lost.items() if until is None or until > self.sim.now_ns]

    def may(self, machine) -> bool:
        lost = [*dict.fromkeys([*self.counted(), machine])]
        shape = self.site.shape
        return len(lost) <= shape.lost_machines or len({m.zone for m in lost}) <= shape.lost_zones

    def may_zone(self, zone: str) -> bool:
        """Whether a whole zone may go now, and all of it is there."""
        there = [m for m in self.site.controllers.values() if m.zone == zone]
        return (
            self.site.shape.lost_zones > 0
            and not self.counted()
            and all(m.process is not None and m.process.alive for m in there)
        )

    def take(self, machine) -> None:
        self.lost[machine] = None
        self.watch.count_fault(1)

    def back(self, machine) -> None:
        if machine in self.lost and self.lost[machine] is None:
            self.lost[machine] = self.sim.now_ns + CATCH_UP
            self.watch.count_fault(-1)
            if not self.over and self.chance.random() < 0.3:
                self.sim.after(CATCH_UP + NS_PER_MS, self.strike_once)  # right when it no longer counts

    # Which fault, where.

    def strike(self) -> None:
        if self.over or self.sim.now_ns >= self.until:
            return
        if self.later_chance.random() < 0.25:
            # Keys that a keeper has just marked for another holder, and whose release goes out no more.
            self.site.on_release = lambda machine: self.strike_at(machine, ("kill", "power", "cut"))
        if self.sim.now_ns >= self.resting:
            self.chance.choice((self.strike_once, self.strike_once, self.ambush, self.at_answer))()
        self.sim.after(int(self.chance.expovariate(1 / self.gap) * NS_PER_SECOND), self.strike)

    ALL = (
        ("kill",) * 3
        + ("power",) * 3
        + ("wipe",) * 2
        + ("freeze",) * 3
        + ("cut",) * 4
        + ("cut_pair", "cut_pair", "disk", "disk", "slow_link", "replace", "replace")
    )

    def strike_once(self) -> None:
        chance = self.chance
        if self.over or self.sim.now_ns >= self.until:
            return
        if chance.random() < 0.12:
            self.harmless()
            return
        zone = chance.choice([*self.site.shape.region_of_zone])
        if chance.random() < 0.15 and self.may_zone(zone):
            self.zone(zone)
            return
        self.strike_at(None, self.ALL)

    spans: list = []  # of a zone's machines, that go and come together

    def at_answer(self) -> None:
        """Strike right when an acknowledgement is on its way: who sends it, or another."""
        where = self.chance.random() < 0.5
        self.site.on_answer.append(lambda machine: self.strike_at(machine if where else None, self.HARD))

    def ambush(self) -> None:
        """Strike in the middle of a change: who has just told a disk to accept, or that disk's machine."""
        left, everywhere = self.chance.randint(1, 6), self.chance.random() < 0.3

        def trap(here, there, data: bytes) -> None:
            nonlocal left
            if here is not there and b"\xa6accept" in data[:12]:
                left -= 1
                if not left:
                    self.site.network.trap = None
                    if everywhere:
                        self.sim.after(int(self.chance.random() * 5 * NS_PER_MS), self.all_at_once)
                        return
                    self.sim.after(0, self.strike_at, self.chance.choice((here, here, there)), self.HARD)

        self.site.network.trap = trap

    HARD = "kill", "power", "wipe", "freeze", "cut", "cut"

    def strike_at(self, machine, kinds) -> None:
        """One fault of some kinds at a machine (None: any), if it may be lost now."""
        ready = self.ready() if self.sim.now_ns >= self.resting else []
        if not self.over and self.sim.now_ns < self.until and ready and (machine is None or machine in ready):
            machine = machine or self.chance.choice(ready)
            self.take(machine)
            getattr(self, self.chance.choice(kinds))(machine)

    def ready(self) -> list:
        lost = self.counted()
        return [
            m
            for m in self.site.controllers.values()
            if m not in lost and self.may(m) and m.process is not None and m.process.alive
        ]

    def span(self) -> int:
        if self.spans:
            return self.spans[0]
        low, high = self.chance.choice(((0.05, 0.6), (0.6, 2.0), (2, 6), (6, 9), (20, 20)))
        return int(self.chance.uniform(low, high) * NS_PER_SECOND)

    def note(self, machine, text: str) -> None:
        self.sim.note("FAULT", f"{machine.name if machine else 'all'}: {text}")

    def later(self, machine, delay: int, call, *args) -> None:
        """What undoes a fault, at the latest when all are to be over."""
        self.sim.at(
            max(self.sim.now_ns, min(self.sim.now_ns + delay, self.until)), self.undo, machine, call, args
        )

    def undo(self, machine, call, args) -> None:
        call(*args)
        self.back(machine)

    def start_again(self, machine) -> None:
        there = (
            machine.ip in self.site.controllers or machine.ip in self.site.proxies
        )  # not removed meanwhile
        if there and (machine.process is None or not machine.process.alive):
            self.site.start(machine)

    def kill(self, machine) -> None:
        self.note(machine, "killed")
        self.site.end(machine)
        self.later(machine, int(self.chance.uniform(0.2, 2.0) * NS_PER_SECOND), self.start_again, machine)

    def power(self, machine) -> None:
        self.note(machine, "loses power")
        self.site.end(machine, power=True)
        self.later(machine, self.span(), self.start_again, machine)

    def wipe(self, machine) -> None:
        self.note(machine, "loses its disk")
        self.site.end(machine, power=True)
        self.site.wipe(machine)
        self.later(machine, self.span(), self.start_again, machine)

    def freeze(self, machine) -> None:
        self.note(machine, "frozen")
        process = machine.process
        process.freeze()
        self.later(machine, self.span(), self.thaw, process)

    def thaw(self, process) -> None:
        if process.alive and process.frozen:
            self.note(process.machine, "thawed")
            process.thaw()

    def cut(self, machine) -> None:
        others = [ip for ip in self.site.network.machines if ip != machine.ip]
        if self.chance.random() < 0.7:  # callers still reach it
            others.remove(self.site.outside.machine.ip)
        out, into = [(machine.ip, ip) for ip in others], [(ip, machine.ip) for ip in others]
        way = self.chance.choice(("both ways", "both ways", "outward", "inward"))
        self.sever(machine, {"outward": out, "inward": into}.get(way, out + into), f"cut off, {way}")

    def cut_pair(self, machine) -> None:
        others = [m for m in self.site.controllers.values() if m is not machine]
        if others:
            other = self.chance.choice(others)
            pairs = [(machine.ip, other.ip), (other.ip, machine.ip)]
            way = self.chance.randint(1, 2)
            self.sever(machine, pairs[:way], f"cut from {other.name}, {('one way', 'both ways')[way - 1]}")

    def sever(self, machine, pairs: list, what: str) -> None:
        self.note(machine, what)
        self.site.network.cut(pairs)
        self.later(machine, self.span(), self.heal, machine, pairs)

    def heal(self, machine, pairs: list) -> None:
        self.note(machine, "healed")
        self.site.network.heal(pairs)

    def disk(self, machine) -> None:
        disk = self.site.disks[machine.ip]
        disk.fault = self.chance.choice((DiskFault.FULL, DiskFault.SLOW, DiskFault.HUNG))
        self.note(machine, f"disk {disk.fault}")
        self.later(machine, self.span(), self.ease, machine, disk, "fault", DiskFault.NONE, "trouble")

    def slow_link(self, machine) -> None:
        machine.extra_delay_ns = self.chance.randint(50, 700) * NS_PER_MS
        self.note(machine, "slow link")
        self.later(machine, self.span(), self.ease, machine, machine, "extra_delay_ns", 0, "slow link")

    def ease(self, machine, thing, name: str, value, label: str) -> None:
        self.note(machine, f"{label} is over")
        setattr(thing, name, value)

    def replace(self, machine) -> None:
        """Removed for good; an empty successor at another address."""
        site, planned = self.site, self.chance.random() < 0.5
        self.note(machine, "is replaced" + (", as planned" if planned else " after it is lost"))
        fresh = site.add_controller(machine.zone)
        early = planned and self.chance.random() < 0.5

        def arrive():
            site.choose_seeds(self.chance)
            site.start(fresh)

        def leave():
            if planned and machine.process is not None and machine.process.alive:
                machine.process.stop(gone)
                self.sim.after(6 * NS_PER_SECOND, gone)  # grace is over
            else:
                gone()

        def gone():
            if machine.ip not in site.controllers:
                return
            site.remove(machine)
            site.choose_seeds(self.chance)
            if not early:
                self.sim.after(NS_PER_SECOND, arrive)
            self.later(machine, (0 if early else NS_PER_SECOND) + 1, lambda: None)

        if early:
            arrive()
            self.sim.after(int(self.chance.uniform(0.1, 5) * NS_PER_SECOND), leave)
        else:
            leave()

    def zone(self, zone: str) -> None:
        """A zone goes as a whole, for one time."""
        there, span = [m for m in self.site.controllers.values() if m.zone == zone], self.span()
        kind = self.chance.choice(("power", "freeze", "zone_cut"))
        self.note(None, f"{zone} goes: {kind}")
        self.spans = [span] * len(there)
        inside = {m.ip for m in self.site.network.machines.values() if m.zone == zone}
        pairs = [
            (a, b)
            for a in sorted(inside)
            for b in self.site.network.machines
            if b not in inside and b != self.site.outside.machine.ip
        ]
        for machine in there:
            self.take(machine)
            if kind == "zone_cut":
                continue
            getattr(self, kind)(machine)
        self.spans = []
        if kind == "zone_cut":
            pairs += [(b, a) for a, b in pairs]
            self.site.network.cut(pairs)
            self.later(there[0], span, self.heal, there[0], pairs)
            for machine in there[1:]:
                self.later(machine, span, lambda: None)

    def harmless(self) -> None:
        """What costs no machine: steps of the time of day, exchanged seeds, proxies that go."""
        chance, site = self.chance, self.site
        what = chance.choice(("clock", "seeds", "proxy"))
        if what == "clock":
            machine = chance.choice([*site.controllers.values()])
            machine.wall_clock_error_ms += chance.choice((-1, 1)) * chance.randint(100, 600_000)
            self.note(machine, "time of day stepped")
            self.watch.count_fault(0)
        elif what == "seeds":
            site.choose_seeds(chance)
            for controller in site.running_controllers():
                controller.reload_settings()
        else:
            machine = chance.choice([*site.proxies.values()])
            if machine.process is not None and machine.process.alive:
                self.note(machine, "killed")
                self.site.end(machine, power=chance.random() < 0.5)
                self.sim.after(int(chance.uniform(0.2, 3) * NS_PER_SECOND), self.start_again, machine)

    def all_at_once(self, wiped=()) -> None:
        """Every process is killed, or every machine loses power; disks stay, but for those `wiped`."""
        if self.over and not wiped and not self.closing:
            return
        power = bool(wiped) or self.chance.random() < 0.5
        rest = not wiped or self.chance.random() < 0.5
        self.note(None, ("power lost" if power else "killed") if rest else "only these lose their disks")
        self.watch.count_fault(1)
        # Each counts as lost until it has had its time after its return: nothing else may go until then.
        self.resting = max(self.resting, self.sim.now_ns + 5 * NS_PER_SECOND)
        for machine in [*self.site.controllers.values()]:
            if machine in wiped:
                self.note(machine, "loses its disk")
            if machine in wiped or rest:
                alive = machine.process is not None and machine.process.alive
                self.site.end(machine, power=power)
                if machine in wiped:
                    self.site.wipe(machine)
                if alive:
                    self.sim.after(
                        int(self.chance.uniform(0.2, 1.0) * NS_PER_SECOND), self.start_again, machine
                    )
        self.sim.after(NS_PER_SECOND, self.watch.count_fault, -1)

    closing = False

    def close(self) -> None:
        """The closing fault."""
        if self.closing:
            return
        self.closing, wiped = True, []
        if self.chance.random() < 0.5:
            wiped = self.chance.sample([*self.site.controllers.values()], self.site.shape.lost_machines)
        self.all_at_once(wiped)

    def hand_over(self) -> None:
        """In calm, one is exchanged for one that has had its time, as planned or by an operator's order;
        right when that is done it is gone, and another is lost with its disk."""
        site, sim, chance = self.site, self.sim, self.later_chance
        machine = chance.choice([*site.controllers.values()])
        asked = chance.choice([m for m in site.controllers.values() if m is not machine])
        fresh, struck = site.add_controller(machine.zone), []
        site.start(fresh)
        sim.run(sim.now_ns + CATCH_UP + int(chance.random() * NS_PER_SECOND))
        self.watch.count_fault(1)

        def gone():
            if machine.ip in site.controllers:
                site.remove(machine)
                site.choose_seeds(chance)
                left = [*site.controllers.values()]
                one = asked if chance.random() < 0.5 else chance.choice(left)
                sim.after(int(chance.choice((0.0, chance.random())) * 40 * NS_PER_MS), lose, one)

        def lose(one):
            struck.append(one)
            self.note(one, "loses its disk right after a handover")
            site.end(one, power=True)
            site.wipe(one)

        def order():
            voting, wanted = (
                asked.process.plane.repair.voting,
                [machine.process_address, fresh.process_address],
            )
            said = voting.on_replace(None, [[*place] for place in wanted])
            self.note(asked, f"ordered to exchange {machine.name}: {said or 'done'}")
            if said:
                machine.process.stop(gone)
            else:
                sim.after(0, gone)

        self.note(machine, "hands over")
        if chance.random() < 0.6:
            asked.process.do(asked.process.runtime.spawn, order)
        else:
            machine.process.stop(gone)
        sim.after(9 * NS_PER_SECOND, gone)  # grace is over
        sim.run(sim.now_ns + 14 * NS_PER_SECOND)
        if not self.acknowledged():
            self.watch.broke("live", "after a handover and a loss an order is not acknowledged")
        self.start_again(struck[0])
        self.watch.count_fault(-1)
        sim.run(sim.now_ns + int(5.5 * NS_PER_SECOND))

    def acknowledged(self, seconds: float = 14.0) -> bool:
        """Whether a new configuration is taken while nothing else happens.  The operator draws whom to ask,
        and may draw the lost one some times in a row (seed 66 did for 7 s)."""
        told, callers = [], self.callers
        callers.number += 1
        self.site.runtime.spawn(lambda: told.append(callers.put(callers.number, seconds)))
        until = self.sim.now_ns + int((seconds + 1) * NS_PER_SECOND)
        while not told and self.sim.now_ns < until:
            self.sim.run(self.sim.now_ns + NS_PER_SECOND // 10)
        return told == [True]

    def heal_all(self) -> None:
        """Whatever an undoing left."""
        self.over = True
        for machine in [*self.site.controllers.values(), *self.site.proxies.values()]:
            self.start_again(machine)
