"""The decisions of flintreach.

A host makes one `Pilot(settings)` an instance and calls `handle(now, events)` for each batch; the reply is
the list of orders, in order.  Settings, events and orders are the dataclasses of `flintreach/interface.py`.
The module is pure: no clock, no input or output, no ids; the same events give the same orders.
The mechanism is the "closest" repartitioning of FLEX; `docs/design.md` tells what was kept and changed.
"""

import math
import zlib
from collections import deque

from flintreach import interface as face
from flintreach.interface import SECOND

BEAT = SECOND // 4  # how often the pilot looks up
RUN_EVERY = 10 * SECOND  # between full runs of the repartitioning; short ones come each second
RUN_FIRST = 4 * SECOND  # before the first run: the map of the start may fit badly
SMOOTHING = 10  # seconds of demand that a slice's figure covers
RECENT = 3  # seconds that show a jump
TURN = 3 * SECOND  # sums of a large fleet come by turns: silence for so long is no lack of demand
BETA = 0.7  # a slice gains a copy above this part of the mean demand of a server
LOW_RUNS = 3  # runs for which a copy must have been too many before it goes
DEV, STEP = 30.0, 15.0  # the first permitted deviation and its steps, in hundredths of a mean server's quota
BAND = 10.0  # a run is skipped within the last deviation plus this
MEMORY = 0.25  # what the memory of all slices counts against their demand
FILL = 0.25  # part of its quota that a slice may bring above it to a server that warms up
SOLUTIONS = 20  # candidates a run
ATTEMPTS = 20  # moves or swaps a candidate, or as many as there are servers
NEAR = 3  # servers at each end that are paired for the widest gaps
ENOUGH = 8  # tries without which nobody is judged
FADE = 0.9  # how what is known of its latency fades each second without answers
DEAD = 0.7  # part unanswered from which a server counts as failing
OUT_MOST = 0.25  # of the servers, how many may fail at once and still be taken out
OUT_FOR = 8 * SECOND  # first time out; doubles with each failed trial
FORGET = 60 * SECOND  # after the last time out, until its strikes are forgotten
HARD_SHARE, HARD_LATE = 0.3, 0.4  # parts unanswered, and of the latency objective, that strain a server
COLD_LATE = 0.5  # and of the latency objective in one line, two answers, that empty a cold one
CROWDED = 0.6  # strain from which a server may be worse off than its peers
WORSE = 1.5  # times the strain of the best quarter of peers from which a server is crowded
BEARS_DOWN, BEARS_UP, BEARS_LEAST = 0.8, 0.05, 0.5  # how a crowded server's quota falls and comes back
LEVEL_DOWN, LEVEL_UP, LEVEL_LEAST = 0.4, 0.2, 0.05  # how levels fall at the most, and come back
QUIET = {"queue": 1, "util": 0.8}  # reports below which late answers are not a server's own load
LOST = 10 * SECOND  # then a mark counts as answered: one lost with the news would hold the channel for ever
HOLD = 2 * SECOND  # between two falls of a quota or a level, so that the sums can show the first
ROOM = 0.5, 0.55, 0.62  # parts of the channel's limit to fill: with what can wait, bad health, and drains

# What a server is to us, what comes in, what it becomes, and what is done.  A pair that is not here is
# refused: the server stays as it is.  Closed servers hold no lines; tender ones gain one slice a run at most.
MODES = {
    ("any", "leave"): ("leaving", None),
    ("any", "started"): ("cold", "relieve"),
    ("unknown", "ready"): ("fit", None),
    ("leaving", "ready"): ("fit", None),
    ("cold", "warm"): ("fit", None),
    ("cold", "strained"): ("cold", "relieve"),
    ("fit", "failing"): ("out", "strike"),
    ("cold", "failing"): ("out", "strike"),
    ("trial", "failing"): ("out", "strike"),
    ("trial", "sound"): ("fit", None),
    ("out", "due"): ("trial", None),
}
CLOSED = ("unknown", "out", "leaving")
TENDER = ("cold", "trial")
NONE = -1  # in place of a slice, where a swap is a move; its demand stands last and is 0


class Ring:
    """Sums in buckets of one second that are used again."""

    def __init__(self, size, width):
        self.stamps = [-1] * size
        self.sums = [[0] * width for _ in range(size)]

    def add(self, now, span, *values):
        """A line that covers some seconds is no burst: it is booked evenly into all of them."""
        size, last = len(self.stamps), now // SECOND
        turns = min(max(1, round(span / SECOND)), size)
        for turn in range(last - turns + 1, last + 1):
            if self.stamps[turn % size] != turn:
                self.stamps[turn % size], self.sums[turn % size] = turn, [0] * len(values)
            row = self.sums[turn % size]
            for place, value in enumerate(values):
                row[place] += value / turns

    def total(self, now, span):
        last = now // SECOND
        fresh = [sums for stamp, sums in zip(self.stamps, self.sums) if last - span < stamp <= last]
        return [sum(column) for column in zip([0] * len(self.sums[0]), *fresh)]


class Target:
    """What the pilot holds of a server."""

    def __init__(self, server):
        self.server, self.mode, self.weight, self.started = server, "unknown", 1.0, 0
        self.heard = Ring(RECENT + 2, 3)  # tries, unanswered, latency of all that succeeded
        self.heard_at = self.until = self.strikes = self.hold = 0
        self.gained = self.idle = False  # a slice since the last run; nothing waits, by its own report
        self.late = 1.0  # mean latency when it was last known, in parts of what strains a server
        self.bears = 1.0  # part of its listed weight that it is found to bear
        self.level = 1.0  # part of the cheapest operation that it is let in


class Unit:
    """What the pilot holds of a slice: what its table shall be and what has been ordered of it."""

    def __init__(self, piece):
        self.slice, self.ours, self.since, self.told_at = piece, False, 0, 0
        self.came = Ring(SMOOTHING + RECENT, 2)  # invocations, storms left out; all that came
        self.rate = self.press = 0.0  # invocations a second: smoothed without storms; all, of late
        self.copies, self.low, self.level = 1, 0, 1.0
        self.want, self.have = {}, {}


class Partition:
    """A map of units to targets with the gaps between load and quota, kept as it changes."""

    def __init__(self, old, memory, demand, amounts, unit, tender, gained):
        self.old, self.holds = old, [set(held) for held in old]
        self.memory, self.demand = memory[:], demand[:]  # gaps a target
        self.amounts, self.unit, self.tender = amounts, unit, tender
        self.gained, self.distance = gained[:], 0

    def put(self, p, x, sign):
        """Unit p comes to target x (sign 1) or leaves it (-1)."""
        (self.holds[x].add if sign > 0 else self.holds[x].discard)(p)
        if p not in self.old[x]:
            self.distance += sign
            self.gained[x] += sign
        self.memory[x] += sign * self.unit
        self.demand[x] += sign * self.amounts[p][x in self.tender]

    def deviation(self, x, y):
        return abs(self.memory[x] - self.memory[y]) + abs(self.demand[x] - self.demand[y])

    def pairs(self):
        """Rows of (deviation, x, y): the ends by sum and by difference of the gaps hold the widest surely."""
        found = set()
        for sign in (1, -1):
            order = sorted(range(len(self.old)), key=lambda x: self.memory[x] + sign * self.demand[x])
            found.update((min(x, y), max(x, y)) for x in order[:NEAR] for y in order[-NEAR:])
        return [(gap, x, y) for x, y in sorted(found) if (gap := self.deviation(x, y)) > 0]

    def welcome(self, p, y):
        """A target that warms up must not be pushed over: one slice a run, and only one that it can bear."""
        if y not in self.tender or p in self.old[y]:
            return True
        room = min(self.tender[y], FILL * self.tender[y] - self.demand[y])  # a hot slice grows on
        return self.gained[y] < 1 and self.amounts[p][True] <= room

    def swaps(self, x, y):
        """The valid moves and swaps between two targets that bring them closer: (benefit, p, q)."""
        memory, demand = self.memory[x] - self.memory[y], self.demand[x] - self.demand[y]
        before, found = abs(memory) + abs(demand), []
        mine = [p for p in sorted(self.holds[x] - self.holds[y]) if self.welcome(p, y)] + [NONE]
        theirs = [q for q in sorted(self.holds[y] - self.holds[x]) if self.welcome(q, x)] + [NONE]
        for p in mine:
            for q in theirs:
                moved = self.amounts[p][False] - self.amounts[q][False]
                units = self.unit * ((p != NONE) - (q != NONE))
                benefit = before - abs(memory - 2 * units) - abs(demand - 2 * moved)
                if benefit > 1e-9:
                    found.append((benefit, p, q))
        return found

    def worst(self, empty):
        """The widest load above a quota; where a target warms up, by that quota; empty ones count as told."""
        return max((50 * a / self.tender[x] if self.holds[x] else empty) if x in self.tender else max(w, a)
                   for x, (w, a) in enumerate(zip(self.memory, self.demand)))


class Pilot:
    def __init__(self, settings):
        self.settings, self.now, self.orders, self.counter = settings, 0, [], 0
        self.targets = {}  # server -> Target, in the order in which they were met
        self.units = {piece: Unit(piece) for piece in settings.slices}
        self.whole = None if settings.slices else Unit(face.Slice(0))  # a site without slices has one table
        if self.whole:
            self.whole.ours, self.units[self.whole.slice] = True, self.whole
        self.joined = {}  # proxy -> deque of (mark, lines, time) not yet applied
        self.shut = {}  # targets that joined proxies are told to keep away from, in order
        self.wake_at = self.judge_at = self.sent_at = self.marks = 0
        self.fleet, self.level = Target(None), 1.0  # as its middle server; the level that is in force
        self.proven = 0.0  # most answers a second seen for a hundredth of a mean server
        self.dev, self.stir = DEV, False  # stir: something came that may want orders at once
        self.ops = sorted(settings.operations, key=lambda op: op.billed_value)  # the cheapest first

    def handle(self, now, events):
        self.now, self.orders = now, []
        if not self.wake_at:
            self.run_at = self.full_at = now + RUN_FIRST
            self.orders += [face.Observe(True)] if self.settings.asks_roster else []
        for event in events:
            if type(event) in self.HANDLERS:
                self.HANDLERS[type(event)](self, event)
        if now >= self.wake_at:
            self.wake_at = now + BEAT
            self.orders.append(face.Wake(self.wake_at))
            self.beat()
            self.stir = True
        if self.stir:
            self.stir = False
            self.evacuate()
            self.send()
        return self.orders

    def draw(self):
        self.counter += 1
        return zlib.crc32(b"%d %d" % (self.settings.seed, self.counter)) / 2**32

    # What comes in.

    def target(self, server):
        if server not in self.targets:
            self.targets[server] = Target(server)
        return self.targets[server]

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
        listed = [self.target(entry.server) for entry in event.entries]
        for tgt, entry in zip(listed, event.entries):
            tgt.weight = max(entry.weight, 1e-6)
            fresh, tgt.started = entry.started > tgt.started, max(entry.started, tgt.started)
            if entry.state != "ready":
                self.step(tgt, "leave", entry.state)
            elif fresh and self.warmth(tgt) < 1:
                # A crash shorter than the list's delay brings a server back cold with its whole old load.
                self.step(tgt, "started", f"{(self.now - tgt.started) / 1e9:.1f}s ago")
            elif tgt.mode in ("unknown", "leaving"):
                self.step(tgt, "ready")
        for tgt in self.targets.values():
            if event.how != "delta" and tgt not in listed:
                self.step(tgt, "leave", "gone from the list")

    def on_joined(self, event):
        self.joined[event.proxy] = deque()
        if self.whole:
            self.orders.append(face.Bind(self.whole.slice, event.proxy))

    def on_left(self, event):
        self.joined.pop(event.proxy, None)

    def on_given(self, event):
        self.units[event.slice] = unit = Unit(event.slice)
        unit.ours, unit.since, self.stir = event.ours, self.now, True

    def on_held(self, event):
        unit, tgt = self.units[event.slice], self.target(event.server)
        unit.have[tgt] = unit.want[tgt] = event.weight
        unit.copies = max(1, len(unit.want))

    def on_heard(self, event):
        tgt = self.target(event.server)
        latency = (event.tries - event.unanswered) * event.latency
        tgt.heard.add(self.now, event.span, event.tries, event.unanswered, latency)
        signs = [value < QUIET[name] for name, value in event.load.items() if name in QUIET]
        tgt.heard_at, tgt.idle = self.now, bool(signs) and all(signs)
        if latency > event.latency > COLD_LATE * self.ops[0].objective and not tgt.idle:
            self.step(tgt, "strained")  # two late answers: a jam at a cold server feeds on its own retries

    def on_demand(self, event):
        if not event.slice:
            return
        unit, tries = self.units[event.slice], event.tries
        if event.unanswered > 0.2 * tries and unit.rate:
            # A retry storm in these sums must not read as demand that calls for copies.
            tries = min(tries, unit.rate * event.span / SECOND)
        unit.came.add(self.now, event.span, tries, event.tries)
        unit.told_at = self.now

    def on_applied(self, event):
        waiting = self.joined.get(event.proxy, ())
        while waiting and waiting[0][0] <= event.number:
            waiting.popleft()

    HANDLERS = {face.Roster: on_roster, face.Joined: on_joined, face.Left: on_left, face.Given: on_given,
                face.Held: on_held, face.Heard: on_heard, face.Demand: on_demand, face.Applied: on_applied}

    # Figures.

    def warmth(self, tgt):
        """The part of its capacity that a server surely has: evenly from the cold share to all of it."""
        age = 0 if tgt.mode == "trial" else self.now - tgt.started if tgt.started else self.settings.warm_up
        cold, grown = self.settings.cold_share, max(0, age) / max(1, self.settings.warm_up)
        return min(1.0, cold + (1 - cold) * grown) if self.settings.warm_up else 1.0

    def quotas(self):
        """Hundredths of a mean server by listed weight; less where it is crowded, on trial or warms up."""
        raw = {tgt: tgt.weight * tgt.bears * self.warmth(tgt) for tgt in self.targets.values()
               if tgt.mode not in CLOSED and tgt not in self.shut}
        scale = 100 * len(raw) / max(sum(raw.values()), 1e-9)
        return {tgt: part * scale for tgt, part in raw.items()}

    def ours(self):
        return [unit for unit in self.units.values() if unit.ours and unit is not self.whole]

    def measure(self):
        """Rates of our slices, over the smoothing time or what is known of it, and what presses of late."""
        for unit in self.ours():
            end = max(unit.told_at, self.now - TURN)
            age = max(1, (end - unit.since) / SECOND)
            if unit.told_at:
                unit.rate = unit.came.total(end, SMOOTHING)[0] / min(SMOOTHING, age)
            unit.press = max(unit.rate, unit.came.total(end, RECENT)[1] / min(RECENT, age))

    def loads(self, quota):
        """Demand by unit (usual, tender), and load less quota by target; others' slices lie evenly."""
        units = self.ours()
        share = len(units) / max(1, len(self.units))
        scale = sum(quota.values()) * share / max(sum(unit.rate for unit in units), 1e-9)
        # A slice may grow hot before its smoothed demand tells, and a storm's repeats fell a cold server too.
        amounts = {unit: (unit.rate * scale, unit.press / (self.proven or 1 / scale)) for unit in units}
        gap = {tgt: -part * share for tgt, part in quota.items()}
        for unit in units:
            for tgt in unit.want.keys() & gap.keys():
                gap[tgt] += amounts[unit][tgt.mode in TENDER] / len(unit.want)
        return amounts, gap

    # Slices that must move now.

    def evacuate(self):
        """Slices leave dead, draining and condemned servers at once; no table stays empty if it can be."""
        for unit in self.ours():
            unit.want = {tgt: weight for tgt, weight in unit.want.items() if tgt.mode not in CLOSED}
        bare = [unit for unit in self.ours() if not unit.want]
        amounts, gap = self.loads(self.quotas()) if bare else ({}, {})
        for unit in bare if gap else ():
            # Many slices, or a hot one, would push a cold server over: one a run, and within its quota.
            able = [tgt for tgt in gap
                    if tgt.mode not in TENDER or not tgt.gained and gap[tgt] + amounts[unit][True] <= 0]
            best = min(able or gap, key=gap.get)
            best.gained = True
            unit.want[best] = 1.0
            gap[best] += amounts[unit][best.mode in TENDER]

    # What is weighed now and then.

    def beat(self):
        for tgt in self.targets.values():
            if tgt.mode == "cold" and self.warmth(tgt) >= 1:
                self.step(tgt, "warm")
            elif tgt.mode == "out" and self.now >= tgt.until:
                self.step(tgt, "due")
        if self.now < self.judge_at:
            return
        self.judge_at = self.now + SECOND
        self.measure()
        self.judge()
        self.evacuate()
        if self.whole:  # one table of all open servers, by quota in steps
            self.whole.want = {tgt: max(1, round(share / 10)) for tgt, share in self.quotas().items()}
        elif self.now >= self.run_at:
            full = self.now >= self.full_at
            self.full_at = self.now + RUN_EVERY if full else self.full_at
            self.run(full)

    def judge(self):
        """Against peers of the same time; many that fail at once are crowded or fail at one operation."""
        shares, answered = {}, 0
        for tgt in self.targets.values():
            tries, unanswered, latency = tgt.heard.total(tgt.heard_at, RECENT)
            fresh, good = self.now - tgt.heard_at < TURN, tries - unanswered
            answered += good * fresh
            if fresh:
                tgt.late = latency / good / HARD_LATE / self.ops[0].objective if good > 1 else tgt.late * FADE
            if tries >= ENOUGH and tgt.mode not in CLOSED and fresh:
                shares[tgt] = unanswered / tries
        strains = {tgt: max(share / HARD_SHARE, tgt.late) for tgt, share in shares.items()}
        part = sum(self.quotas().values()) * len(self.ours()) / len(self.units)
        self.proven = max(self.proven, answered / RECENT / max(part, 1))
        usual = sorted([*strains.values(), 0.0])[(len(strains) + 1) // 4]
        modes = [tgt.mode for tgt in self.targets.values()]
        # A jam comes with late answers first; what dies or hangs falls silent out of good health.
        dead = [tgt for tgt, share in shares.items() if share >= DEAD and tgt.late < 1]
        alone = len(dead) + modes.count("out") <= OUT_MOST * modes.count("fit")
        for tgt, share in shares.items():
            if tgt in dead and (alone or tgt.mode == "trial"):
                self.step(tgt, "failing", f"{share:.2f} unanswered, {len(dead)} such")
            elif tgt.mode == "trial" and share < HARD_SHARE:
                self.step(tgt, "sound", f"{share:.2f} unanswered")
            self.relent(tgt, strains[tgt], usual)
        late = [0.0, *(0.0 if tgt.idle else tgt.late for tgt in shares)]
        self.fleet.late = sorted(late)[len(late) // 2]
        self.relent(self.fleet, self.fleet.late if self.fleet.late > 1 else 0, 0)

    def relent(self, tgt, strain, usual):
        """A server worse off than its peers bears less than is listed: slow, crowded, cut off for some or
        failing at some operation.  Late work is lost: where it is late, less of the cheapest is let in."""
        if strain > max(CROWDED, WORSE * usual) and self.now >= tgt.hold:
            tgt.bears, tgt.hold = max(BEARS_LEAST, tgt.bears * BEARS_DOWN), self.now + HOLD
            if tgt.late > 1 and not tgt.idle:
                tgt.level = max(LEVEL_LEAST, tgt.level * max(LEVEL_DOWN, 1 / tgt.late))
        if strain < CROWDED / 2:
            tgt.bears = min(1.0, tgt.bears + BEARS_UP)
        if tgt.late < 2 / 3:
            tgt.level = min(1.0, tgt.level + LEVEL_UP)

    # The mechanism.

    def run(self, full):
        """A full run also tries servers that warm up and are empty; a short one looks after load alone."""
        units, quota, empty = self.ours(), self.quotas(), 2 * DEV if full else 0.0
        for tgt in quota:
            tgt.gained = tgt.mode == "cold" and self.now < tgt.hold
        demand, gap = self.loads(quota)
        if len(quota) < 2 or not sum(rate for rate, _ in demand.values()):
            return
        tgts = list(quota)
        for unit in units:
            self.count(unit, demand[unit][False] / 100, 1 if self.settings.exclusive else len(tgts), full)
        share = len(units) / len(self.units)
        amounts = [[part / unit.copies for part in demand[unit]] for unit in units] + [[0.0, 0.0]]
        memory = MEMORY * 100 * len(tgts) / len(self.units)
        old = [{p for p, unit in enumerate(units) if tgt in unit.want} for tgt in tgts]
        tender = {x: share * quota[t] for x, t in enumerate(tgts) if t.mode in TENDER}
        room = [len(held) * memory - MEMORY * share * quota[tgt] for held, tgt in zip(old, tgts)]
        given = old, room, [*gap.values()], amounts, memory, tender, [tgt.gained for tgt in tgts]
        widest = Partition(*given).worst(empty)
        self.dev = max(DEV, self.dev - STEP)  # what could not be mended may be by now
        settled = all(len(unit.want) == unit.copies for unit in units)
        if settled and widest <= self.dev + BAND:
            return
        best = None  # a candidate that fits a smaller deviation wins, then one with fewer changed placements
        for i in range(SOLUTIONS):
            part = Partition(*given)
            self.recount(part, units)
            for _ in range(max(ATTEMPTS, len(tgts)) + 1):
                key = max(DEV, STEP * math.ceil(part.worst(empty) / STEP)), part.distance
                if best is None or key < best[0]:
                    best = key, [set(held) for held in part.holds]
                if key[0] <= DEV or not self.improve(part, 10 * i < SOLUTIONS):
                    break
        self.dev, moves = best[0]
        self.orders.append(face.Log(f"run: gap {widest:.0f}, dev {self.dev:.0f}, {moves} placements"))
        for p, unit in enumerate(units):
            chosen = [tgt for tgt, held in zip(tgts, best[1]) if p in held]
            if chosen and set(chosen) != set(unit.want):
                unit.want = dict.fromkeys(chosen, 1.0)

    def count(self, unit, demand, most, full):
        """The copies rule: one more above beta of the mean, one less after some runs under half of that."""
        while unit.copies < most and demand / unit.copies > BETA:
            unit.copies += 1
        unit.low = unit.low + full if unit.copies > 1 and demand / (unit.copies - 1) < BETA / 2 else 0
        if unit.low >= LOW_RUNS:
            unit.copies, unit.low = unit.copies - 1, 0

    def recount(self, part, units):
        """Drop copies where there is least room, and add them where there is most."""
        for p, unit in enumerate(units):
            if len(unit.want) != unit.copies:
                has = [x for x, held in enumerate(part.holds) if p in held]
                has.sort(key=part.demand.__getitem__)
                free = [x for x in range(len(part.holds)) if x not in has and part.welcome(p, x)]
                free.sort(key=lambda x: part.demand[x] + 20 * self.draw())
                for x in has[unit.copies:]:
                    part.put(p, x, -1)
                for x in free[:max(0, unit.copies - len(has))]:
                    part.put(p, x, 1)

    def improve(self, part, sure):
        """One move or swap: the best of the widest pair, or drawn by deviation and benefit."""
        def chance(row):
            return row[0] if sure else self.draw() ** (1 / row[0])

        for _, x, y in sorted(part.pairs(), key=chance, reverse=True):
            swaps = part.swaps(x, y)  # a tender server is soon full, and its pairs have none
            if swaps:
                _, *moved = max(swaps, key=chance)
                for p, source, goal in zip(moved, (x, y), (y, x)):
                    if p != NONE:
                        part.put(p, source, -1)
                        part.put(p, goal, 1)
                return True
        return False

    # The channel.

    def send(self):
        """Urgent orders first, then what the channel surely takes; removals lead, nothing is said twice."""
        limits, proxies = self.settings, len(self.joined)
        waiting = sum(lines * (self.now < at + LOST) for row in self.joined.values() for _, lines, at in row)
        changed = [(self.urgent(unit), unit) for unit in self.units.values() if unit.ours
                   and (unit.want != unit.have or self.let_in(unit.want) != unit.level)]
        pace = limits.messages_window / max(1, limits.messages_most - 1) if limits.messages_most else 0
        calm = self.now >= self.sent_at + max(SECOND // 2, 2 * pace)
        if self.now < self.sent_at + pace or not (calm or any(urgent for urgent, _ in changed)):
            return
        # A zone's slices can fill the channel past the grace: one line a proxy shuts a server out before.
        stale = dict.fromkeys(tgt for unit in self.ours() for tgt in unit.have if tgt not in unit.want)
        shut = [tgt for tgt in stale if tgt.mode == "leaving" and tgt not in self.shut]
        back = [tgt for tgt in self.shut if tgt.mode not in CLOSED and tgt not in stale]
        self.shut = {tgt: None for tgt in [*self.shut, *shut] if tgt not in back}
        lines = [face.Withdraw(tgt.server, tgt in shut) for tgt in shut + back]
        level = self.let_in([self.fleet])
        if level != self.level:  # one line a proxy, where each slice's would fill the channel
            self.level = level
            lines.append(face.Admit(None, (self.ops[0],), level, 1))
        cost = proxies * (limits.message_head + 1 + len(lines))
        for urgent, unit in sorted(changed, key=lambda row: -row[0]):  # what can wait rides along
            room = ROOM[urgent] * limits.channel_limit - waiting
            delta = [face.SetLine(unit.slice, tgt.server, 0) for tgt in unit.have if tgt not in unit.want]
            delta += [face.SetLine(unit.slice, tgt.server, weight) for tgt, weight in unit.want.items()
                      if unit.have.get(tgt) != weight]
            level = unit.level if urgent else self.let_in(unit.want)  # levels wait where slices must move
            if level != unit.level:
                delta.append(face.Admit(unit.slice, (self.ops[0],), level, 1))
            if cost + proxies * len(delta) <= room:
                cost += proxies * len(delta)
                lines += delta
                unit.have, unit.level = dict(unit.want), level
        if not lines:
            return
        self.marks = self.marks % 65535 + 1
        self.orders += [*lines, face.Mark(self.marks)]
        for marks in self.joined.values():
            marks.append((self.marks, cost / proxies, self.now))
        self.sent_at = self.now

    def let_in(self, tgts):
        """The level of what stays on some servers, in steps, since each costs a line at each proxy."""
        levels = [tgt.level for tgt in tgts] if self.settings.admits_by == "share" else []
        return round(5 * min(levels, default=1.0)) / 5

    def urgent(self, unit):
        """2: it must leave a drained server, 1: one in bad health; a waiting change may still name one."""
        modes = [tgt.mode for tgt in unit.have if tgt not in unit.want]
        return 2 if "leaving" in modes else 1 if not unit.have or set(modes) - {"fit"} else 0
