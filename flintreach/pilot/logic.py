"""The decisions of flintreach.

A host makes one `Pilot(settings)` an instance; `handle(now, events)` replies with orders, as `interface.py`
has them.  Pure: the same events give the same orders.  The mechanism is FLEX's; see `docs/design.md`.
"""

from collections import deque

from flintreach.pilot import interface as face
from flintreach.pilot.interface import SECOND
from flintreach.policy.demand import SlidingSums as Ring
from flintreach.policy.demand import replica_count
from flintreach.policy.partition import Partition
from flintreach.policy.search import DEVIATION_STEP as STEP
from flintreach.policy.search import TURN_BUDGET_US, Search

BEAT, RUN_EVERY, RUN_FIRST = SECOND // 4, 10 * SECOND, 4 * SECOND  # between looks, and full runs; the first
SMOOTHING, RECENT, LAST = 10, 3, 2  # seconds: of demand that a slice's figure covers; of a jump; of a death
TURN = 3 * SECOND  # sums of a large fleet come by turns: silence for so long is no lack of demand
DEV, DEV_ALL, BAND, MEMORY = 30.0, 70.0, 1 / 3, 0.25  # permitted: one pilot, all; its slack; memory's weight
ENOUGH, FADE = 6, 0.9  # tries without which nobody is judged; how what is known fades in a second of silence
DEAD, OUT_MOST = 0.7, 0.25  # part unanswered of a failing server; of the servers, how many may be taken out
OUT_FOR, FORGET = 8 * SECOND, 60 * SECOND  # first time out, doubled by failed trials; these are forgotten
HARD_SHARE, HARD_LATE = 0.3, 0.4  # parts unanswered, and of the latency objective, that strain a server
STORM, SUSPECT = 0.2, 0.3  # parts of a line unanswered: repeats; and, two at least, a server that may be dead
SLACK, EXTRA_MOST = 0.4, 1.0  # room of all servers from which such loads count in full; the most of a quota
COLD_LATE, USED_LEAST = 0.5, 0.3  # part of the objective that empties a cold server; load to judge by
CROWDED, WORSE = 0.6, 1.5  # strain, as such and by the best quarter's, from which a server is crowded
BEARS_DOWN, BEARS_UP, BEARS_LEAST = 0.8, 0.05, 0.5  # how a crowded server's quota falls and comes back
LEVEL_DOWN, LEVEL_UP, LEVEL_LEAST = 0.4, 0.2, 0.05  # how levels fall at the most, and come back
QUIET = {"queue": 1, "util": 0.8}  # reports below which late answers are not a server's own load
HOLD, LOST = 2 * SECOND, 10 * SECOND  # of a relieved cold server; of a mark, that a lost answer holds up
ROOM = 0.5, 0.55, 0.62  # parts of the channel's limit to fill: with what can wait, bad health, and drains

# What a server is to us, what comes in, what it becomes, what is done; any other pair changes nothing.
# Closed servers hold no lines; tender ones gain one slice a run at most.
MODES = {
    ("any", "leave"): ("leaving", None),
    ("any", "started"): ("cold", "relieve"),
    ("unknown", "ready"): ("fit", None),
    ("leaving", "ready"): ("fit", None),
    ("cold", "warm"): ("fit", None),
    ("cold", "strained"): ("cold", "relieve"),
    **{(mode, "failing"): ("out", "strike") for mode in ("fit", "cold", "trial")},
    ("trial", "sound"): ("fit", None),
    ("out", "due"): ("trial", None),
}
CLOSED, TENDER = ("unknown", "out", "leaving"), ("cold", "trial")


def kind(line, objective):
    """Lines of one kind may be summed up: (a storm), or of a server (suspect, jammed, nothing waits)."""
    if isinstance(line, face.Demand):
        return (line.unanswered > STORM * line.tries,)
    signs = [value < QUIET[name] for name, value in line.load.items() if name in QUIET]
    late = line.latency > COLD_LATE * objective and line.tries - line.unanswered > 1  # retries feed a jam
    return line.unanswered > max(1, SUSPECT * line.tries), late, bool(signs) and all(signs)


class Target:
    def __init__(self, server):
        self.server, self.mode, self.weight, self.started = server, "unknown", 1.0, 0
        self.heard = Ring(RECENT + 2, 3)  # tries, unanswered, latency of all that succeeded
        self.heard_at = self.until = self.strikes = self.hold = 0
        self.gained = self.idle = False  # a slice since the last run; nothing waits, by its own report
        self.late, self.part = 1.0, 0.0  # mean latency when last known, in parts of what strains; unanswered
        self.asked = self.mute = self.moved = 0  # when it was asked, gave no answer, and got or lost slices
        self.full, self.extra, self.host = None, 0.0, 0.0  # load by its report; what is not ours; by its host
        self.bears = self.level = 1.0  # parts: of its weight that it bears, of the cheapest operation let in


class Unit:
    def __init__(self, piece, ours=False, since=0):
        self.slice, self.ours, self.since, self.told_at = piece, ours, since, 0
        self.came = Ring(SMOOTHING + RECENT, 2)  # invocations, storms left out; all that came
        self.rate = self.press = 0.0  # invocations a second: smoothed without storms; all, of late
        self.copies, self.low, self.level = 1, 0, 1.0
        self.want, self.have = {}, {}  # what its table shall be, and what has been ordered of it


class Pilot:
    def __init__(self, settings):
        self.settings, self.now, self.orders, self.counter, self.span = settings, 0, [], 0, SECOND
        self.targets = {}  # server -> Target, in the order in which they were met
        self.units = {piece: Unit(piece) for piece in settings.slices}
        self.whole = None if settings.slices else Unit(face.Slice(0), True)  # without slices: one table
        self.units |= {self.whole.slice: self.whole} if self.whole else {}
        self.joined, self.shut = {}, {}  # proxy -> deque of (mark, lines, time) not applied; targets shut out
        self.wake_at = self.judge_at = self.sent_at = self.marks = 0
        self.fleet, self.level = Target(None), 1.0  # as its middle server; the level that is in force
        self.proven = 0.0  # most answers a second seen for a hundredth of a mean server
        self.dev, self.stir, self.mine = DEV, False, None  # stir: it may want orders at once; mine: our units
        self.work, self.go_at, self.owed = None, 0, 0  # a second's work; when it goes on, at what cost
        self.ops = sorted(settings.operations, key=lambda op: op.billed_value)  # the cheapest first

    def handle(self, now, events):
        self.now, self.orders = now, []
        if not self.wake_at:
            self.run_at = self.full_at = now + RUN_FIRST
            self.orders += [face.Observe(True)] if self.settings.asks_roster else []
        for event in events:
            getattr(self, f"on_{type(event).__name__.lower()}", lambda event: None)(event)
        if now >= self.wake_at:
            self.wake_at = now + BEAT
            self.orders.append(face.Wake(self.wake_at))
            self.beat()
            self.stir = True
        elif self.work and now >= self.go_at:
            self.go_on(
                0 if self.stir or self.orders else TURN_BUDGET_US
            )  # what was ordered must not wait for it
        if self.stir:
            self.stir = False
            self.evacuate()
            self.send()
        return self.orders

    def go_on(self, effort):
        """A second's work grows with the fleet: beyond so much a turn, all else has its turn first."""
        spent = 0
        while effort and (not spent or spent + self.owed <= effort):  # owed: what the next part costs
            spent, self.owed = spent + self.owed, next(self.work, None)
            if self.owed is None:
                self.work, self.owed, self.stir = None, 0, True
                return
        self.go_at = (
            self.now + TURN_BUDGET_US * 500
        )  # half as long: a call takes several passes of its host's loop
        self.orders.append(face.Wake(self.go_at))

    def target(self, server):
        return self.targets.get(server) or self.targets.setdefault(server, Target(server))

    def step(self, tgt, what, figures=""):
        mode, effect = MODES.get((tgt.mode, what)) or MODES.get(("any", what)) or (tgt.mode, None)
        if mode != tgt.mode and tgt.mode != "unknown":
            self.orders.append(face.Log(f"server {tgt.server.name}: {tgt.mode} to {mode}: {what} {figures}"))
        tgt.mode, self.stir = mode, True
        if effect == "relieve":
            for unit in self.ours():  # its old load would push it over
                unit.want.pop(tgt, None)
            tgt.gained, tgt.hold = True, self.now + HOLD
        elif effect == "strike":
            tgt.strikes = 1 + tgt.strikes * (self.now < tgt.until + FORGET)
            tgt.until = self.now + OUT_FOR * 2 ** min(tgt.strikes - 1, 3)

    def on_roster(self, event):
        if event.how == "failed":
            return self.orders.append(face.Observe(True))
        for entry in event.entries:
            tgt = self.target(entry.server)
            tgt.weight = max(entry.weight, 1e-6)
            fresh, tgt.started = entry.started > tgt.started, max(entry.started, tgt.started)
            if entry.state != "ready":
                self.step(tgt, "leave", entry.state)
            elif fresh and self.warmth(tgt) < 1:  # its old load may still be there
                tgt.heard, tgt.host = Ring(RECENT + 2, 3), 0.0
                self.step(tgt, "started", f"{(self.now - tgt.started) / 1e9:.1f}s ago")
            elif tgt.mode in ("unknown", "leaving"):
                self.step(tgt, "ready")
        listed = {entry.server for entry in event.entries} if event.how != "delta" else self.targets
        for tgt in [tgt for server, tgt in self.targets.items() if server not in listed]:
            self.step(tgt, "leave", "gone from the list")

    def on_joined(self, event):
        self.joined[event.proxy] = deque()
        self.orders += [face.Bind(self.whole.slice, event.proxy)] if self.whole else []

    def on_left(self, event):
        self.joined.pop(event.proxy, None)

    def on_given(self, event):
        self.units[event.slice], self.stir, self.mine = Unit(event.slice, event.ours, self.now), True, None

    def on_held(self, event):
        unit, tgt = self.units[event.slice], self.target(event.server)
        unit.have[tgt] = unit.want[tgt] = event.weight
        unit.copies = max(1, len(unit.want))

    def on_heard(self, event):
        tgt = self.target(event.server)
        answered = max(0, event.tries - event.unanswered)
        # A dead process's sums come late, and must not condemn the one that follows it.
        lost = event.unanswered if self.now - event.span - TURN > tgt.started else 0
        tgt.heard.add(self.now, event.span, answered + lost, lost, answered * event.latency)
        suspect, jammed, tgt.idle = event.kind or kind(event, self.ops[0].objective)
        tgt.heard_at, self.span = self.now, self.span + (event.span - self.span) // 50
        tgt.full = event.load.get("util", tgt.full)
        if lost and suspect and tgt.mode not in CLOSED and self.now > tgt.asked + SECOND:
            tgt.asked = self.now  # the sums of a death come late and by halves: a question tells at once
            self.orders += [face.Probe(tgt.server)] if self.settings.probes else []
        if jammed and not tgt.idle:
            self.step(tgt, "strained")

    def on_measured(self, event):  # it only adds to a report, and stands through silence, which frees nobody
        if event.age < TURN and event.server in self.targets:
            self.targets[event.server].host = event.busy

    def on_probed(self, event):
        if event.status in ("connect_failed", "timeout", "reset"):
            self.target(event.server).mute = self.now

    def on_demand(self, event):
        unit, tries = self.units.get(event.slice) or self.whole, event.tries
        (storm,) = event.kind or kind(event, 0)
        if storm and unit.rate:  # repeats are no demand that calls for copies
            tries = min(tries, unit.rate * event.span / SECOND * event.lines)
        unit.came.add(self.now, event.span, tries, event.tries)
        unit.told_at = self.now

    def on_solved(self, event):
        event.search.elsewhere, event.search.best, event.search.counter = False, event.best, event.counter

    def on_applied(self, event):
        waiting = self.joined.get(event.proxy, ())
        while any(number == event.number for number, *_ in waiting):  # an answer to no mark confirms nothing
            waiting.popleft()

    def warmth(self, tgt):
        """The part of its capacity that a server surely has: evenly from the cold share to all of it."""
        age = 0 if tgt.mode == "trial" else self.now - tgt.started if tgt.started else self.settings.warm_up
        cold, grown = self.settings.cold_share, max(0, age) / max(1, self.settings.warm_up)
        return min(1.0, cold + (1 - cold) * grown) if self.settings.warm_up else 1.0

    def quotas(self):
        """Hundredths of a mean server by listed weight; less where it is crowded, on trial or warms up."""
        raw = {
            tgt: tgt.weight * tgt.bears * self.warmth(tgt)
            for tgt in self.targets.values()
            if tgt.mode not in CLOSED and tgt not in self.shut
        }
        scale = 100 * len(raw) / max(sum(raw.values()), 1e-9)
        return {tgt: part * scale for tgt, part in raw.items()}

    def ours(self):
        if self.mine is None:
            self.mine = [unit for unit in self.units.values() if unit.ours and unit is not self.whole]
        return self.mine

    def measure(self):
        """Rates of our slices, over the smoothing time or what is known of it, and what presses of late."""
        known = [unit.rate for unit in self.ours() if unit.told_at]
        usual = sum(known) / max(1, len(known))  # for slices taken over whose sums have yet to come round
        for unit in self.ours():
            yield 13
            end = max(unit.told_at, self.now - TURN)
            age = max(1, (end - unit.since) / SECOND)
            told, young = unit.came.total(end, SMOOTHING)[0], self.now < unit.since + SMOOTHING * SECOND
            unit.rate = told / min(SMOOTHING, age) if unit.told_at else usual * young
            unit.press = max(unit.rate, unit.came.total(end, RECENT)[1] / min(RECENT, age))

    def fills(self, tgt, share):
        """Our part of a quota.  Shares of a cold server hold no slice: one pilot fills it, no other does."""
        mine = tgt.server.lot % self.settings.pilots == self.settings.number
        return float(mine) if tgt.mode == "cold" else share

    def loads(self, quota):
        """Demand by unit (usual, tender), and load less quota by target; others' slices lie as reported."""
        units = self.ours()
        share = len(units) / max(1, len(self.units))
        scale = sum(quota.values()) * share / max(sum(unit.rate for unit in units), 1e-9)
        gap = {tgt: part * (tgt.extra - self.fills(tgt, share)) for tgt, part in quota.items()}
        # A slice may grow hot before its smoothed demand tells, and a storm's repeats fell a cold server too.
        each = self.proven or 1 / max(scale, 1e-9)
        amounts = {unit: (unit.rate * scale, unit.press / each) for unit in units}
        for unit, pair in amounts.items():
            for tgt in unit.want:
                if tgt in gap:
                    gap[tgt] += pair[tgt.mode in TENDER] / len(unit.want)
        return amounts, gap

    def evacuate(self):
        """Slices leave dead, draining and condemned servers at once; no table stays empty if it can be."""
        closed = {tgt for tgt in self.targets.values() if tgt.mode in CLOSED}
        for unit in self.ours():
            if not closed.isdisjoint(unit.want):
                unit.want = {tgt: weight for tgt, weight in unit.want.items() if tgt not in closed}
        bare = [unit for unit in self.ours() if not unit.want]
        amounts, gap = self.loads(self.quotas()) if bare else ({}, {})
        for unit in bare if gap else ():
            # Many slices, or a hot one, would push a cold server over: one a run, and within its quota.
            able = [
                tgt
                for tgt in gap
                if tgt.mode not in TENDER or not tgt.gained and gap[tgt] + amounts[unit][True] <= 0
            ]
            best = min(able or gap, key=gap.get)
            best.gained = True
            unit.want[best] = 1.0
            gap[best] += amounts[unit][best.mode in TENDER]

    def beat(self):
        for tgt in self.targets.values():
            if tgt.mode == "cold" and self.warmth(tgt) >= 1 or tgt.mode == "out" and self.now >= tgt.until:
                self.step(tgt, "warm" if tgt.mode == "cold" else "due")
        mute = {
            tgt: "no answer to a question"
            for tgt in self.targets.values()
            if tgt.mute > self.now - SECOND and tgt.mode not in CLOSED
        }
        if any(tgt.mute < self.now - BEAT for tgt in mute):  # those of one cut are mute at one time
            self.condemn(mute)
        if self.now >= self.judge_at and not self.work:
            self.judge_at, self.work = self.now + SECOND, self.second()
            self.go_on(TURN_BUDGET_US)

    def second(self):
        """What is done each second; before each part it gives what that costs, in about microseconds."""
        yield from self.measure()
        yield from self.judge()
        yield 2 * len(self.units)
        self.weigh()
        yield 2 * len(self.units)
        # With new ids all day what is gone must leave nothing behind; named again, it is unknown.
        gone = {tgt for tgt in self.targets.values() if tgt.mode in ("unknown", "leaving")} - self.shut.keys()
        gone -= {tgt for unit in self.units.values() for tgt in (*unit.have, *unit.want)} if gone else set()
        self.targets = {server: tgt for server, tgt in self.targets.items() if tgt not in gone}
        self.evacuate()
        if self.whole:  # one table of all open servers, by quota in steps
            self.whole.want = {tgt: max(1, round(share / 10)) for tgt, share in self.quotas().items()}
        elif self.now >= self.run_at:
            full = self.now >= self.full_at
            self.full_at = self.now + RUN_EVERY if full else self.full_at
            yield from self.run(full)

    def judge(self):  # against peers of the same time
        shares, dead, answered, loads, hard = {}, {}, 0, [], HARD_LATE * self.ops[0].objective
        for tgt in [*self.targets.values()]:
            yield 15
            (tries, unanswered, latency), last = (tgt.heard.total(tgt.heard_at, t) for t in (RECENT, LAST))
            fresh, good = self.now - tgt.heard_at < TURN, tries - unanswered
            answered += good * fresh
            told = fresh and tgt.mode == "fit" and tgt.full is not None
            loads += [(tgt.full * tgt.weight, tgt.weight)] if told else []
            tgt.late = latency / good / hard if fresh and good > 1 else tgt.late * FADE
            if tries >= ENOUGH and tgt.mode not in CLOSED and fresh:
                shares[tgt] = tgt.part = unanswered / tries
                # A jam comes with late answers first; what dies or hangs falls silent out of good health.
                if last[0] >= ENOUGH and last[1] >= DEAD * last[0] and tgt.late < 1:
                    dead[tgt] = f"{last[1] / last[0]:.2f} unanswered"
        part = sum(self.quotas().values()) * len(self.ours()) / len(self.units)
        used = sum(load for load, _ in loads) / (sum(weight for _, weight in loads) or 1) or 1  # at that load
        self.proven = max(self.proven, answered / RECENT / max(part, 1) / min(1, max(USED_LEAST, used)))
        strains = {tgt: max(share / HARD_SHARE, tgt.late) for tgt, share in shares.items()}
        usual = sorted([*strains.values(), 0.0])[(len(strains) + 1) // 4]
        self.condemn(dead)
        for tgt in self.targets.values():  # whose level leaves too little to judge by must not be kept at it
            if tgt.mode == "trial" and shares.get(tgt, 1) < HARD_SHARE:
                self.step(tgt, "sound", f"{shares[tgt]:.2f} unanswered")
            self.relent(tgt, strains.get(tgt, CROWDED / 2), usual)
        late = [0.0, *(0.0 if tgt.idle else tgt.late for tgt in shares)]
        self.fleet.late = sorted(late)[len(late) // 2]
        self.relent(self.fleet, self.fleet.late if self.fleet.late > 1 else 0, 0)

    def condemn(self, dead):
        """Many that fail at once are crowded, cut off from us, or fail at one operation."""
        modes = [tgt.mode for tgt in self.targets.values()]
        alone = len(dead) + modes.count("out") <= OUT_MOST * modes.count("fit")
        for tgt, why in dead.items():
            if alone or tgt.mode == "trial":
                self.step(tgt, "failing", f"{why}, {len(dead)} such")

    def weigh(self):
        """Load beyond what our slices explain; each pilot mends its share of it, lest all mend it twice."""
        quota, share = self.quotas(), len(self.ours()) / len(self.units)
        gap = self.loads(quota)[1]
        known = [tgt for tgt in quota if tgt.full is not None and self.now - tgt.heard_at < TURN]
        full = {tgt: max(tgt.full, tgt.host) for tgt in known}
        mean = sum(full[tgt] * quota[tgt] for tgt in full) / max(1, sum(quota[tgt] for tgt in full))
        slack = min(1.0, max(0.0, 1 - mean) / SLACK)  # where all are full, what sets them apart is noise
        for tgt in quota:
            if tgt not in full:
                tgt.extra *= FADE
            elif self.now > tgt.moved + TURN:  # else the report is of before the move
                extra = share * slack * (full[tgt] - mean * (1 + gap[tgt] / quota[tgt] - tgt.extra))
                # Who fails at once, or has just started, only seems to have room.
                least = 0.0 if tgt.mode in TENDER or tgt.part > HARD_SHARE / 2 else -EXTRA_MOST
                tgt.extra += (max(least, min(EXTRA_MOST, extra)) - tgt.extra) / 2

    def relent(self, tgt, strain, usual):
        """A server worse off than its peers bears less; where it is late, less of the cheapest is let in."""
        if strain > max(CROWDED, WORSE * usual) and self.now >= tgt.hold:
            tgt.bears, tgt.hold = max(BEARS_LEAST, tgt.bears * BEARS_DOWN), self.now + SECOND + self.span
            if tgt.late > 1 and not tgt.idle:
                tgt.level = max(LEVEL_LEAST, tgt.level * max(LEVEL_DOWN, 1 / tgt.late))
        if strain < CROWDED / 2 or tgt.idle and tgt.full is not None and tgt.part < HARD_SHARE / 2:
            tgt.bears = min(1.0, tgt.bears + BEARS_UP)
        tgt.level = min(1.0, tgt.level + LEVEL_UP * (tgt.late < 2 / 3))

    def run(self, full):
        # A full run also tries servers that warm up and are empty; a short one looks after load alone.
        yield 2 * len(self.units) + 2 * len(self.targets)
        units, quota, empty = self.ours(), self.quotas(), 2 * DEV if full else 0.0
        for tgt in quota:
            tgt.gained = tgt.mode == "cold" and (self.now < tgt.hold or not self.fills(tgt, 1))
        demand, gap = self.loads(quota)
        if len(quota) < 2 or not sum(rate for rate, _ in demand.values()):
            return
        tgts = list(quota)
        for unit in units:
            most = 1 if self.settings.exclusive else len(tgts)
            unit.copies, unit.low = replica_count(
                unit.copies, unit.low, demand[unit][False] / 100, most, full
            )
        yield 2 * len(units)
        share, memory = len(units) / len(self.units), MEMORY * 100 * len(tgts) / len(self.units)
        amounts = [(usual / unit.copies, most / unit.copies) for unit, (usual, most) in demand.items()]
        place, old = {t: x for x, t in enumerate(tgts)}, [set() for _ in tgts]
        for p, unit in enumerate(units):
            for tgt in unit.want.keys() & place.keys():
                old[place[tgt]].add(p)
        tender = {x: max(share, self.fills(t, 0)) * quota[t] for t, x in place.items() if t.mode in TENDER}
        room = [len(held) * memory - MEMORY * self.fills(t, share) * quota[t] for held, t in zip(old, tgts)]
        changed = [
            (p, sorted(place[tgt] for tgt in unit.want if tgt in place), unit.copies)
            for p, unit in enumerate(units)
            if len(unit.want) != unit.copies
        ]
        states, starts = [(tgt.mode, tgt.gained) for tgt in tgts], [[*unit.want] for unit in units]
        least, gained = min(DEV, DEV_ALL * share), [gained for _, gained in states]  # deviations add up
        self.dev = max(least, self.dev - least * STEP)
        start = Partition(old, room, [*gap.values()], amounts + [(0.0, 0.0)], memory, tender, gained, empty)
        search = Search(self.settings.seed, self.counter, start, changed, least, self.settings.elsewhere)
        if search.widest <= self.dev + least * BAND and not changed:
            return
        self.orders += [face.Solve(search)] * search.elsewhere
        yield from search.steps()
        yield 3 * len(units)
        self.adopt(search, units, starts, tgts, states)

    def adopt(self, search, units, starts, tgts, states):
        """The map may have moved on while the search ran: what has gone, or has been moved, stays so."""
        (self.dev, moves), holds = search.best
        self.counter = search.counter
        self.orders.append(face.Log(f"run: gap {search.widest:.0f}, dev {self.dev:.0f}, {moves} placements"))
        found, quota = [[] for _ in units], self.quotas()
        bears = [
            tgt in quota and mode == tgt.mode and gained >= (tgt.gained and mode in TENDER)
            for tgt, (mode, gained) in zip(tgts, states)
        ]
        for x, held in enumerate(holds):
            for p in held:
                found[p].append(x)
        moved = {p for held, was in zip(holds, search.start.original) if held is not was for p in held ^ was}
        for p, (unit, chosen, start) in enumerate(zip(units, found, starts)):
            if p in moved or len(chosen) != len(start):
                stands = self.units.get(unit.slice) is unit and [*unit.want] == start
                if stands and all(bears[x] for x in chosen):
                    unit.want = {tgts[x]: 1.0 for x in chosen} or unit.want

    def send(self):
        """Urgent orders first, then what the channel surely takes; removals lead, nothing is said twice."""
        limits, proxies = self.settings, len(self.joined)
        waiting = sum(lines * (self.now < at + LOST) for row in self.joined.values() for _, lines, at in row)
        low = {tgt for tgt in self.targets.values() if self.let_in([tgt]) < 1}
        changed = [
            (self.urgent(unit), unit)
            for unit in self.units.values()
            if unit.ours
            and (
                unit.want != unit.have
                or unit.level != (1 if low.isdisjoint(unit.want) else self.let_in(unit.want))
            )
        ]
        pace = limits.messages_window / max(1, limits.messages_most - 1) if limits.messages_most else 0
        calm = self.now >= self.sent_at + max(SECOND // 2, 2 * pace)
        if self.now < self.sent_at + pace or not (calm or any(urgent for urgent, _ in changed)):
            return
        # A zone's slices can fill the channel past the grace: one line a proxy shuts a server out before.
        named = {tgt for unit in self.ours() for tgt in unit.have} if self.shut else ()
        stale = dict.fromkeys(
            tgt for _, unit in changed for tgt in unit.have if tgt not in unit.want and unit is not self.whole
        )
        shut = [tgt for tgt in stale if tgt.mode in ("leaving", "out") and tgt not in self.shut]
        back = [
            tgt
            for tgt in self.shut
            if (changed and tgt not in named if tgt.mode in CLOSED else tgt not in stale)
        ]
        self.shut = {tgt: None for tgt in [*self.shut, *shut] if tgt not in back}
        lines, level = [face.Withdraw(t.server, t in shut) for t in shut + back], self.let_in([self.fleet])
        if level != self.level:  # one line a proxy, where each slice's would fill the channel
            self.level = level
            lines.append(face.Admit(None, (self.ops[0],), level, 1))
        cost = proxies * (limits.message_head + 1 + len(lines))
        for urgent, unit in sorted(changed, key=lambda row: -row[0]):  # what can wait rides along
            room = ROOM[urgent] * limits.channel_limit - waiting
            # Lines to a server that is shut out can wait: they are half of what a death costs.
            dead = (tgt for tgt in unit.have if urgent and tgt.mode == "out" and tgt in self.shut)
            left = {tgt: unit.have[tgt] for tgt in dead} | unit.want
            delta = [face.SetLine(unit.slice, tgt.server, 0) for tgt in unit.have if tgt not in left]
            delta += [
                face.SetLine(unit.slice, tgt.server, weight)
                for tgt, weight in unit.want.items()
                if unit.have.get(tgt) != weight
            ]
            level = unit.level if urgent else self.let_in(unit.want)  # levels wait where slices must move
            if level != unit.level:
                delta.append(face.Admit(unit.slice, (self.ops[0],), level, 1))
            if cost + proxies * len(delta) <= room:
                cost += proxies * len(delta)
                lines += delta
                for tgt in unit.have.keys() ^ unit.want.keys():
                    tgt.moved = self.now
                unit.have, unit.level = left, level
        if not lines:
            return
        self.marks = self.marks % 65535 + 1
        self.orders += [*lines, face.Mark(self.marks)]
        for marks in self.joined.values():
            marks.append((self.marks, cost / proxies, self.now))
        self.sent_at = self.now

    def let_in(self, tgts):  # in steps, since each costs a line at each proxy
        return round(5 * min((t.level for t in tgts if self.settings.admits_by == "share"), default=1)) / 5

    def urgent(self, unit):
        """2: it must leave a drained server or has no other, 1: it must leave one in bad health."""
        held = unit.have.keys() - self.shut.keys()
        modes = {tgt.mode for tgt in held - unit.want.keys()}
        return 2 if "leaving" in modes or not held else bool(modes - {"fit"})
