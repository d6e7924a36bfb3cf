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
RUN_EVERY = 10 * SECOND  # between runs of the repartitioning on an ordinary path
RUN_FIRST = 4 * SECOND  # before the first run: the map of the start may fit badly
RUN_SOON = 1 * SECOND  # between runs while a server warms up or is on trial
SMOOTHING = 10  # seconds of demand that a slice's figure covers
BETA = 0.7  # a slice gains a copy above this part of the mean demand of a server
LOW_RUNS = 3  # runs for which a copy must have been too many before it goes
DEV = 15.0  # step of the permitted deviation, in hundredths of a mean server's quota
BAND = 10.0  # a run is skipped within the last deviation plus this
SOLUTIONS = 30  # candidates a run
ATTEMPTS = 20  # moves or swaps a candidate
TRIES = 8  # pairs looked at for one of them
JUDGED = 3  # seconds of sums on which a server is judged
ENOUGH = 8  # tries without which nobody is judged
DEAD = 0.95  # part unanswered from which a server counts as failing
GUARD = 2.0  # times its quota that may come to a cold server
OUT_MOST = 0.25  # of the warm servers, how many may be out on our own judgement
OUT_FOR = 8 * SECOND  # first time out; doubles with each failed trial
TRIAL = 4 * SECOND  # how long a trial must look sound
HARD_SHARE, HARD_LATENCY = 0.1, 0.6  # parts unanswered, and of the latency objective, that strain a server
LEVEL_DOWN, LEVEL_UP, LEVEL_LEAST = 0.85, 0.1, 0.2  # a second; how levels fall and come back
HOLD = 2 * SECOND  # between two falls of a level, so that the sums can show the first
CHANNEL = 0.45  # part of the channel's limit that ordinary orders may fill
URGENT = 0.9  # and urgent ones

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
    ("trial", "sound"): ("fit", "pardon"),
    ("out", "due"): ("trial", "try"),
}
CLOSED = ("out", "leaving")
TENDER = ("cold", "trial")


class Ring:
    """Sums in buckets of one second that are used again.

    >>> ring = Ring(4, 2)
    >>> for second in range(6): ring.add(second * SECOND, second, 1)
    >>> ring.total(5 * SECOND, 2), ring.total(9 * SECOND, 4)
    ([9, 2], [0, 0])
    """

    def __init__(self, size, width):
        self.stamps = [-1] * size
        self.sums = [[0] * width for _ in range(size)]

    def add(self, now, *values):
        turn = now // SECOND
        at = turn % len(self.stamps)
        if self.stamps[at] != turn:
            self.stamps[at], self.sums[at] = turn, [0] * len(values)
        self.sums[at] = [old + value for old, value in zip(self.sums[at], values)]

    def total(self, now, span):
        oldest = now // SECOND - span
        fresh = [sums for stamp, sums in zip(self.stamps, self.sums) if stamp > oldest]
        return [sum(column) for column in zip([0] * len(self.sums[0]), *fresh)]


class Target:
    """What the pilot holds of a server."""

    def __init__(self, server):
        self.server, self.mode, self.weight, self.started = server, "unknown", 1.0, 0
        self.heard = Ring(JUDGED + 2, 3)  # tries, unanswered, latency of all that succeeded
        self.until = self.strikes = self.hold = 0
        self.gained = False  # a slice since the last run
        self.level = 1.0  # part of the cheapest operation that it is found to bear


class Unit:
    """What the pilot holds of a slice: what its table shall be and what has been ordered of it."""

    def __init__(self, piece):
        self.slice, self.ours, self.since = piece, False, 0
        self.came = Ring(SMOOTHING, 2)  # invocations, storms left out; all that came
        self.copies, self.low, self.level, self.urgent = 1, 0, 1.0, False
        self.want, self.have = {}, {}


class Partition:
    """A map of units to targets with the gaps between load and quota, kept as it changes."""

    def __init__(self, old, memory, demand, amounts, unit, tender):
        self.old, self.holds = old, [set(held) for held in old]
        self.memory, self.demand = memory[:], demand[:]  # gaps a target
        self.amounts, self.unit, self.tender = amounts, unit, tender
        self.gained, self.distance = [0] * len(old), 0

    def put(self, p, x, sign):
        """Unit p comes to target x (sign 1) or leaves it (-1)."""
        (self.holds[x].add if sign > 0 else self.holds[x].discard)(p)
        if p not in self.old[x]:
            self.distance += sign
            self.gained[x] += sign
        self.memory[x] += sign * self.unit
        self.demand[x] += sign * self.amounts[p]

    def load(self, x):
        return self.memory[x] + self.demand[x]

    def deviation(self, x, y):
        return abs(self.memory[x] - self.memory[y]) + abs(self.demand[x] - self.demand[y])

    def welcome(self, p, y):
        """A target that warms up must not be pushed over: one slice a run, and only one that it can bear."""
        if y not in self.tender or p in self.old[y]:
            return True
        return self.gained[y] < 1 and self.demand[y] + self.amounts[p] <= BAND

    def swaps(self, x, y):
        """The valid moves and swaps between two targets that bring them closer: (benefit, p, q)."""
        memory, demand = self.memory[x] - self.memory[y], self.demand[x] - self.demand[y]
        before, found = abs(memory) + abs(demand), []
        mine = [p for p in sorted(self.holds[x] - self.holds[y]) if self.welcome(p, y)] + [None]
        theirs = [q for q in sorted(self.holds[y] - self.holds[x]) if self.welcome(q, x)] + [None]
        for p in mine:
            for q in theirs:
                moved = (self.amounts[p] if p is not None else 0) - (self.amounts[q] if q is not None else 0)
                units = self.unit * ((p is not None) - (q is not None))
                benefit = before - abs(memory - 2 * units) - abs(demand - 2 * moved)
                if benefit > 1e-9:
                    found.append((benefit, p, q))
        return found

    def worst(self):
        """The widest gap; a target that warms up may lie below its quota, but above it counts threefold."""
        return max(max(w, 3 * a) if x in self.tender and self.holds[x] else max(abs(w), abs(a))
                   for x, (w, a) in enumerate(zip(self.memory, self.demand)))


class Pilot:
    def __init__(self, settings):
        self.settings, self.now, self.orders, self.counter = settings, 0, [], 0
        self.targets = {}  # server -> Target, in the order in which they were met
        self.units = {piece: Unit(piece) for piece in settings.slices}
        self.whole = None if settings.slices else Unit(face.Slice(0))  # a site without slices has one table
        if self.whole:
            self.whole.ours, self.units[self.whole.slice] = True, self.whole
        self.joined = {}  # proxy -> deque of (mark, lines) not yet applied
        self.most_joined, self.sums_at, self.wake_at = 0, 0, 0
        self.marks, self.sent, self.ordinary_at = 0, deque(), 0
        self.pressure = 1.0  # tries for each answer, over the fleet
        self.run_at, self.judge_at, self.dev, self.frozen = 0, 0, DEV, ""
        self.ops = sorted(settings.operations, key=lambda op: op.billed_value)  # the cheapest first

    def handle(self, now, events):
        self.now, self.orders = now, []
        if not self.wake_at:
            self.run_at = now + RUN_FIRST
            self.orders += [face.Observe(True)] if self.settings.asks_roster else []
        for event in events:
            if type(event) in self.HANDLERS:
                self.HANDLERS[type(event)](self, event)
        self.evacuate()
        if now >= self.wake_at:
            self.wake_at = now + BEAT
            self.orders.append(face.Wake(self.wake_at))
            self.beat()
        self.send()
        return self.orders

    def log(self, text):
        self.orders.append(face.Log(text))

    def draw(self):
        self.counter += 1
        return zlib.crc32(b"%d %d" % (self.settings.seed, self.counter)) / 2**32

    def pick(self, weighted):
        """One of (weight, ...) rows, by weight."""
        left = self.draw() * sum(row[0] for row in weighted)
        for row in weighted:
            left -= row[0]
            if left < 0:
                break
        return row

    # What comes in.

    def target(self, server):
        return self.targets.setdefault(server, Target(server))

    def step(self, tgt, what, figures=""):
        mode, effect = MODES.get((tgt.mode, what)) or MODES.get(("any", what)) or (tgt.mode, None)
        if mode != tgt.mode and tgt.mode != "unknown":
            self.log(f"server {tgt.server.name}: {tgt.mode} to {mode}: {what} {figures}")
        tgt.mode = mode
        if effect == "relieve":
            self.relieve(tgt)
            self.run_at = min(self.run_at, self.now + RUN_SOON)
        elif effect == "strike":
            tgt.strikes += 1
            tgt.until = self.now + OUT_FOR * 2 ** min(tgt.strikes - 1, 3)
        elif effect == "try":
            tgt.until = self.now + TRIAL
        elif effect == "pardon":
            tgt.strikes = 0

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
        self.most_joined = max(self.most_joined, len(self.joined))
        if self.whole:
            self.orders.append(face.Bind(self.whole.slice, event.proxy))

    def on_left(self, event):
        self.joined.pop(event.proxy, None)

    def on_given(self, event):
        self.units[event.slice] = unit = Unit(event.slice)
        unit.ours, unit.since = event.ours, self.now

    def on_held(self, event):
        unit, tgt = self.units[event.slice], self.target(event.server)
        unit.have[tgt] = unit.want[tgt] = event.weight
        unit.copies = max(1, len(unit.want))

    def on_heard(self, event):
        self.sums_at = self.now
        latency = (event.tries - event.unanswered) * event.latency
        self.target(event.server).heard.add(self.now, event.tries, event.unanswered, latency)

    def on_demand(self, event):
        self.sums_at = self.now
        if not event.slice:
            return
        unit, tries = self.units[event.slice], event.tries
        if event.unanswered > 0.2 * tries:
            # A retry storm in these sums must not read as demand that calls for copies.
            tries = min(tries, self.demand(unit) * event.span / SECOND)
        unit.came.add(self.now, tries, event.tries)

    def on_applied(self, event):
        waiting = self.joined.get(event.proxy, ())
        while waiting and waiting[0][0] <= event.number:
            waiting.popleft()

    HANDLERS = {face.Roster: on_roster, face.Joined: on_joined, face.Left: on_left, face.Given: on_given,
                face.Held: on_held, face.Heard: on_heard, face.Demand: on_demand, face.Applied: on_applied}

    # Figures.

    def warmth(self, tgt):
        """The part of its capacity that a server surely has: evenly from the cold share to all of it."""
        age = self.now - tgt.started if tgt.started else self.settings.warm_up
        grown = min(1.0, max(0, age) / max(1, self.settings.warm_up)) if self.settings.warm_up else 1.0
        return self.settings.cold_share + (1 - self.settings.cold_share) * grown

    def quotas(self):
        """Hundredths of a mean server by listed weight; less where it warms up or is on trial."""
        open_ = [tgt for tgt in self.targets.values() if tgt.mode not in CLOSED and tgt.mode != "unknown"]
        # Retries and overload press on a cold server too: it takes less as tries outnumber answers.
        bears = {tgt: self.settings.cold_share if tgt.mode == "trial" else self.warmth(tgt) for tgt in open_}
        raw = {tgt: tgt.weight * (bear if bear == 1 else bear / self.pressure)
               for tgt, bear in bears.items()}
        scale = 100 * len(raw) / max(sum(raw.values()), 1e-9)
        return {tgt: part * scale for tgt, part in raw.items()}

    def demand(self, unit):
        """Invocations a second over the smoothing time, or over what is known of it."""
        known = min(SMOOTHING, max(1, (self.now - unit.since) // SECOND))
        return unit.came.total(self.now, SMOOTHING)[0] / known

    def ours(self):
        return [unit for unit in self.units.values() if unit.ours and unit is not self.whole]

    def loads(self, quota):
        """Demand by unit, and load less quota by target, in hundredths of a mean server; other pilots'
        slices are background in proportion to quota."""
        units, total = self.ours(), sum(quota.values())
        share = len(units) / max(1, len(self.units))
        demand = {unit: self.demand(unit) for unit in units}
        scale = total * share / max(sum(demand.values()), 1e-9)
        amounts = {unit: rate * scale for unit, rate in demand.items()}
        gap = {tgt: -part * share for tgt, part in quota.items()}
        for unit in units:
            for tgt in unit.want:
                if tgt in gap:
                    gap[tgt] += amounts[unit] / len(unit.want)
        return amounts, gap

    # Slices that must move now.

    def relieve(self, tgt):
        """A just-started server keeps its least slice at the most: its old load would push it over."""
        units = sorted((unit for unit in self.ours() if tgt in unit.want), key=self.demand)
        tgt.gained = True
        for unit in units[1:]:
            del unit.want[tgt]
            unit.urgent = True

    def evacuate(self):
        """Slices leave dead, draining and condemned servers at once; no table stays empty if it can be."""
        for unit in self.ours():
            for tgt in [tgt for tgt in unit.want if tgt.mode in CLOSED]:
                del unit.want[tgt]
                unit.urgent = True
        bare = [unit for unit in self.ours() if not unit.want]
        amounts, gap = self.loads(self.quotas()) if bare else ({}, {})
        for unit in bare if gap else ():
            # Many slices, or a hot one, would push a cold server over: one a run, and within its quota.
            able = [tgt for tgt in gap
                    if tgt.mode not in TENDER or not tgt.gained and gap[tgt] + amounts[unit] <= 0]
            best = min(able or gap, key=gap.get)
            best.gained = True
            unit.want[best] = 1.0
            gap[best] += amounts[unit]
            unit.copies, unit.urgent = 1, True

    # What is weighed now and then.

    def beat(self):
        for tgt in self.targets.values():
            if tgt.mode == "cold" and self.warmth(tgt) >= 1:
                self.step(tgt, "warm")
            elif tgt.mode == "out" and self.now >= tgt.until:
                self.step(tgt, "due")
        if self.now >= self.judge_at:
            self.judge_at = self.now + SECOND
            self.judge()
            self.guard()
            self.evacuate()
        if self.whole:
            return self.spread()
        if self.now >= self.run_at and not self.freeze():
            tender = any(tgt.mode in TENDER for tgt in self.targets.values())
            self.run_at = self.now + (RUN_SOON if tender else RUN_EVERY)
            self.run()

    def freeze(self):
        """Cut off or blind, the pilot holds still rather than chase the little that it sees."""
        blind = self.now - self.sums_at > 3 * self.settings.period + 3 * SECOND
        why = "few proxies" if len(self.joined) * 2 < self.most_joined else "no sums" if blind else ""
        if why != self.frozen:
            self.log(f"freeze: {why or 'over'}: {len(self.joined)} of {self.most_joined} joined")
        self.frozen = why
        return why

    def judge(self):
        """Against peers of the same time, and never the last warm ones: their slices would fell the cold."""
        seen, tried, answered = {}, 0, 0
        for tgt in self.targets.values():
            tries, unanswered, latency = tgt.heard.total(self.now, JUDGED)
            tried, answered = tried + tries, answered + tries - unanswered
            if tries >= ENOUGH and tgt.mode not in CLOSED:
                share = seen[tgt] = unanswered / tries
                self.relent(tgt, share, latency / (tries - unanswered) if share < 1 else math.inf)
        self.pressure = max(1.0, tried / max(answered, 0.2 * tried, 1))
        middle = sorted([*seen.values(), 0.0])[(len(seen) + 1) // 2]
        for tgt, share in seen.items():
            modes = [other.mode for other in self.targets.values()]
            room = tgt.mode == "trial" or modes.count("out") + 1 <= OUT_MOST * modes.count("fit")
            if share >= DEAD and middle < 0.4 and room:
                self.step(tgt, "failing", f"{share:.2f} unanswered, peers {middle:.2f}")
            elif tgt.mode == "trial" and self.now >= tgt.until and share < max(0.3, 2 * middle):
                self.step(tgt, "sound", f"{share:.2f} unanswered, peers {middle:.2f}")

    def guard(self):
        """A slice may grow hot at a cold server before its smoothed demand tells, or a storm may hide it."""
        quota, units = self.quotas(), self.ours()
        scale = sum(quota.values()) / max(sum(self.demand(unit) for unit in units), 1e-9)
        for tgt in [tgt for tgt in quota if tgt.mode == "cold"]:
            held = [unit for unit in units if tgt in unit.want]
            came = sum(unit.came.total(self.now, 2)[1] / 2 / len(unit.want) for unit in held)
            if came * scale > GUARD * quota[tgt]:
                self.step(tgt, "strained")

    def relent(self, tgt, share, latency):
        """Late and unanswered work is lost: a strained server is sent less of the cheapest operation."""
        objective = self.ops[0].objective
        if share > HARD_SHARE or latency > HARD_LATENCY * objective:
            if self.now >= tgt.hold or tgt.mode in TENDER:
                tgt.level = max(LEVEL_LEAST, tgt.level * min(LEVEL_DOWN, 1 - share))
                tgt.hold = self.now + HOLD
        elif share < HARD_SHARE / 2 and latency < HARD_LATENCY * objective * 2 / 3:
            tgt.level = min(1.0, tgt.level + LEVEL_UP)

    def spread(self):
        """Without slices: one table of all open servers, by quota in steps."""
        self.whole.want = {tgt: max(1, round(share / 10)) for tgt, share in self.quotas().items()}
        self.whole.urgent = any(tgt.mode in CLOSED for tgt in self.whole.have)

    # The mechanism.

    def run(self):
        units, quota = self.ours(), self.quotas()
        for tgt in quota:
            tgt.gained = False
        demand, gap = self.loads(quota)
        if len(quota) < 2 or not sum(demand.values()):
            return
        tgts, mean = list(quota), sum(quota.values()) / len(quota)
        for unit in units:
            self.count(unit, demand[unit], mean, 1 if self.settings.exclusive else len(tgts))
        amounts = [demand[unit] / unit.copies for unit in units]
        memory = mean * len(tgts) / sum(unit.copies for unit in units)
        old = [{p for p, unit in enumerate(units) if tgt in unit.want} for tgt in tgts]
        tender = {x for x, tgt in enumerate(tgts) if tgt.mode in TENDER}
        gaps = [len(held) * memory - quota[tgt] for held, tgt in zip(old, tgts)], [gap[tgt] for tgt in tgts]
        start = Partition(old, *gaps, amounts, memory, tender)
        settled = all(len(unit.want) == unit.copies for unit in units) and all(old[x] for x in tender)
        if settled and start.worst() <= self.dev + BAND:
            return
        best = None  # a candidate that fits a smaller deviation wins, then one with fewer changed placements
        for i in range(SOLUTIONS):
            part = Partition(old, *gaps, amounts, memory, tender)
            self.recount(part, units)
            for _ in range(ATTEMPTS + 1):
                key = (max(1, math.ceil(part.worst() / DEV)) * DEV, part.distance)
                if best is None or key < best[0]:
                    best = key, [set(held) for held in part.holds]
                if key[0] <= DEV or not self.improve(part, 10 * i // SOLUTIONS):
                    break
        self.dev = best[0][0]
        self.log(f"run: gap {start.worst():.0f}, dev {self.dev:.0f}, {best[0][1]} placements")
        for p, unit in enumerate(units):
            mains = [tgt for tgt, held in zip(tgts, best[1]) if p in held]
            if mains and set(mains) != set(unit.want):
                unit.want = dict.fromkeys(mains, 1.0)

    def count(self, unit, demand, mean, most):
        """The copies rule: one more above beta of the mean, one less after some runs under half of that."""
        while unit.copies < most and demand / unit.copies > BETA * mean:
            unit.copies += 1
        unit.low = unit.low + 1 if unit.copies > 1 and demand / (unit.copies - 1) < BETA * mean / 2 else 0
        if unit.low >= LOW_RUNS:
            unit.copies, unit.low = unit.copies - 1, 0

    def recount(self, part, units):
        """Add copies where there is most room, and drop them where there is least."""
        for p, unit in enumerate(units):
            has = [x for x, held in enumerate(part.holds) if p in held]
            for _ in range(unit.copies - len(has)):
                free = [x for x in range(len(part.holds)) if p not in part.holds[x] and part.welcome(p, x)]
                if free:
                    part.put(p, min(free, key=lambda x: part.load(x) + 20 * self.draw()), 1)
            for _ in range(len(has) - unit.copies):
                x = max(has, key=part.load)
                has.remove(x)
                part.put(p, x, -1)

    def improve(self, part, tenth):
        """One move or swap, drawn as in the paper; False if the pair has none."""
        size = len(part.holds)
        pairs = [(part.deviation(x, y), x, y) for x in range(size) for y in range(x + 1, size)]
        widest = tenth < 4 or (tenth >= 7 and self.draw() > 0.9)
        for turn in range(min(TRIES, len(pairs))):  # a tender server is soon full, and its pairs have no swap
            _, x, y = pairs[turn] if widest else self.pick(pairs)
            swaps = part.swaps(x, y)
            if swaps:
                break
        else:
            return False
        best = tenth < 1 or 4 <= tenth < 7 or (tenth >= 7 and self.draw() > 0.9)
        _, p, q = max(swaps, key=lambda row: row[0]) if best else self.pick(swaps)
        for unit, source, goal in ((p, x, y), (q, y, x)):
            if unit is not None:
                part.put(unit, source, -1)
                part.put(unit, goal, 1)
        return True

    # The channel.

    def send(self):
        """Urgent orders first, then what the channel surely takes; removals lead, nothing is said twice."""
        limits, proxies = self.settings, len(self.joined)
        while self.sent and self.sent[0] <= self.now - limits.messages_window:
            self.sent.popleft()
        waiting = sum(lines for marks in self.joined.values() for _, lines in marks)
        most = limits.messages_most or math.inf
        calm = self.now >= self.ordinary_at and len(self.sent) < most / 2
        cost, lines = proxies * (limits.message_head + 1), []
        changed = filter(self.changed, self.units.values()) if len(self.sent) + 1 < most else ()
        for unit in sorted(changed, key=lambda unit: not unit.urgent):
            room = (URGENT if unit.urgent else CHANNEL) * limits.channel_limit - waiting
            replaced = limits.exclusive and unit.want
            gone = [tgt for tgt in unit.have if tgt not in unit.want and not replaced]
            delta = [face.SetLine(unit.slice, tgt.server, 0) for tgt in gone]
            delta += [face.SetLine(unit.slice, tgt.server, weight) for tgt, weight in unit.want.items()
                      if unit.have.get(tgt) != weight]
            level = unit.level if unit.urgent else self.let_in(unit)  # levels wait where slices must move
            if level != unit.level:
                delta.append(face.Admit(unit.slice, (self.ops[0],), level, 1))
            if (unit.urgent or calm) and cost + proxies * len(delta) <= room:
                cost += proxies * len(delta)
                lines += delta
                unit.have, unit.level, unit.urgent = dict(unit.want), level, False
        if not lines:
            return
        self.marks = self.marks % 65535 + 1
        self.orders += [*lines, face.Mark(self.marks)]
        for marks in self.joined.values():
            marks.append((self.marks, cost / proxies))
        self.sent.append(self.now)
        self.ordinary_at = self.now + SECOND

    def let_in(self, unit):
        """A slice's level in steps, since each costs a line at each proxy."""
        levels = [tgt.level for tgt in unit.want] if self.settings.admits_by == "share" else []
        return round(min(levels, default=1.0), 1)

    def changed(self, unit):
        # An ordinary change that waits may still name a server that has begun to drain.
        unit.urgent = unit.urgent or any(tgt.mode in CLOSED for tgt in unit.have)
        return unit.ours and (unit.want != unit.have or self.let_in(unit) != unit.level)
