"""The map of slices and servers: demand in buckets, the rule of copies, the search.  Pure."""

import copy
import math
import zlib
from bisect import bisect_left, insort

from flintreach.pilot.interface import SECOND

BETA, LOW_RUNS = 0.7, 3  # of a server's mean demand, for one copy more; runs of too many before one goes
STEP, FILL, NONE = 1 / 2, 0.25, -1  # of the permitted deviation; above a cold quota; a swap for nothing
SOLUTIONS, ATTEMPTS, NEAR = 20, 20, 3  # candidates a run; moves each, at least; servers paired at each end
EFFORT, A_STEP = 6000, 150  # of a second's work in a turn, of a move or swap: about microseconds of a core


class Ring:  # sums in buckets of one second that are used again
    def __init__(self, size, width):
        self.stamps, self.sums = [-1] * size, [[0] * width for _ in range(size)]

    def add(self, now, span, *values):
        """A line that covers some seconds is no burst: it is booked evenly into all of them."""
        size, last = len(self.stamps), now // SECOND
        turns = min(max(1, round(span / SECOND)), size)
        for turn in range(last - turns + 1, last + 1):
            old = self.sums[turn % size] if self.stamps[turn % size] == turn else [0] * len(values)
            self.stamps[turn % size] = turn
            self.sums[turn % size] = [sum + value / turns for sum, value in zip(old, values)]

    def total(self, now, span):
        fresh = [sums for stamp, sums in zip(self.stamps, self.sums) if 0 <= now // SECOND - stamp < span]
        return [sum(column) for column in zip([0] * len(self.sums[0]), *fresh)]


def recopy(unit, demand, most, full):  # the rule of copies; demand in mean servers
    while unit.copies < most and demand / unit.copies > BETA:
        unit.copies += 1
    unit.low = unit.low + full if unit.copies > 1 and demand / (unit.copies - 1) < BETA / 2 else 0
    if unit.low >= LOW_RUNS:
        unit.copies, unit.low = unit.copies - 1, 0


class Partition:  # a map of units to targets with the gaps between load and quota, kept as it changes
    def __init__(self, old, memory, demand, amounts, unit, tender, gained, empty=0.0):
        self.old, self.holds, self.shared, self.distance, self.tried = old, old, {*range(len(old))}, 0, 0
        self.memory, self.demand, self.gained = memory, demand, gained  # gaps and gains a target
        self.amounts, self.unit, self.tender, self.empty = amounts, unit, tender, empty
        self.figures = [self.figure(x) for x in range(len(old))]
        self.orders = [sorted((value, x) for x, value in enumerate(row)) for row in zip(*self.figures)]

    def fork(self):
        part = copy.copy(self)
        part.shared, part.orders = {*self.shared}, [rows[:] for rows in self.orders]
        for name in ("holds", "memory", "demand", "gained", "figures"):
            setattr(part, name, getattr(self, name)[:])
        return part

    def figure(self, x):  # sum and difference of the gaps, the demand's, and load above a quota, or as told
        quota, low = self.tender.get(x), 0.0 if x in self.tender and self.gained[x] else -math.inf
        w, a = max(low, self.memory[x]), max(low, self.demand[x])  # who gains no more is not the emptiest
        over = max(w, a) if quota is None else 50 * a / quota if self.holds[x] else self.empty * (low < 0)
        return w + a, w - a, a, over

    def put(self, p, x, sign):  # 1: unit p comes to target x; -1: it leaves
        if x in self.shared:  # with a map that is kept
            self.shared.remove(x)
            self.holds[x] = {*self.holds[x]}
        (self.holds[x].add if sign > 0 else self.holds[x].discard)(p)
        if p not in self.old[x]:
            self.distance += sign
            self.gained[x] += sign
        self.memory[x] += sign * self.unit
        self.demand[x] += sign * self.amounts[p][x in self.tender]
        before, self.figures[x] = self.figures[x], self.figure(x)
        for rows, value, fresh in zip(self.orders, before, self.figures[x]):
            del rows[bisect_left(rows, (value, x))]
            insort(rows, (fresh, x))

    def pairs(self):  # (deviation, x, y): the ends by sum and by difference of the gaps hold the widest
        found = set()
        for rows in self.orders[:2]:
            found.update((min(x, y), max(x, y)) for _, x in rows[:NEAR] for _, y in rows[-NEAR:])
        return [
            (gap, x, y)
            for x, y in sorted(found)
            if (gap := abs(self.memory[x] - self.memory[y]) + abs(self.demand[x] - self.demand[y])) > 0
        ]

    def welcome(self, p, y):
        """A target that warms up must not be pushed over: one slice a run, and only one that it can bear."""
        if y not in self.tender or p in self.old[y]:
            return True
        room = min(self.tender[y], FILL * self.tender[y] - self.demand[y])  # a hot slice grows on
        return self.gained[y] < 1 and self.amounts[p][True] <= room

    def barred(self, p):  # targets that may not gain a unit
        return [x for x in self.tender if not self.welcome(p, x)]

    def swaps(self, x, y):  # (benefit, p, q): the valid moves and swaps that bring two targets closer
        memory, demand = self.memory[x] - self.memory[y], self.demand[x] - self.demand[y]
        before, both = abs(memory) + abs(demand), abs(memory)
        mine, theirs = (
            [(p, self.amounts[p][False]) for p in sorted(self.holds[a] - self.holds[b]) if self.welcome(p, b)]
            for a, b in ((x, y), (y, x))
        )
        away, back = (abs(memory - 2 * self.unit * way) for way in (1, -1))
        swaps = [(q, b, both) for q, b in theirs] + [(NONE, 0.0, away)]
        rows = [(p, a, swaps) for p, a in mine] + [(NONE, 0.0, [(q, b, back) for q, b in theirs])]
        self.tried += len(rows) * len(swaps)
        return [
            (benefit, p, q)
            for p, a, ways in rows
            for q, b, gap in ways
            if (benefit := before - abs(demand - 2 * (a - b)) - gap) > 1e-9
        ]


class Search:  # for a map near the old one: it knows places alone, so it can run beside the decisions
    def __init__(self, seed, counter, start, changed, dev, elsewhere=False):
        self.seed, self.counter, self.start, self.changed, self.dev = seed, counter, start, changed, dev
        self.elsewhere = elsewhere  # its steps are taken beside the decisions; without an answer, here
        self.best, self.widest = None, start.orders[3][-1][0]

    def draw(self, ahead=1):
        return zlib.crc32(b"%d %d" % (self.seed, self.counter + ahead)) / 2**32

    def chance(self, row):
        self.counter += 1
        return self.draw(0) ** (1 / row[0])

    def steps(self):
        """A candidate that fits a smaller deviation wins, then one with fewer changed placements."""
        size, dev, step = len(self.start.old), self.dev, self.dev * STEP
        while self.elsewhere:
            yield EFFORT
        for i in range(0 if self.best else SOLUTIONS):
            yield 2 * size
            part = self.start.fork()
            for p, has, copies in self.changed:
                yield 150
                self.recount(part, p, has, copies)
            for _ in range(max(ATTEMPTS, size) + 1):
                key = max(dev, step * math.ceil(part.orders[3][-1][0] / step)), part.distance
                if self.best is None or key < self.best[0]:
                    self.best, part.shared = (key, part.holds[:]), {*range(size)}
                if key[0] <= dev or not self.improve(part, 10 * i < SOLUTIONS):
                    break
                yield A_STEP + part.tried // 4  # as the last one told
                part.tried = 0

    def recount(self, part, p, has, copies):
        """Copies go where room is least, come where it is most; who can't win by the best draw has none."""
        load, few = part.demand, copies - len(has)
        for x in sorted(has, key=load.__getitem__)[copies:]:
            part.put(p, x, -1)
        barred, found = sorted({*has, *part.barred(p)}), []
        for least, x in part.orders[2]:
            if len(found) >= few and (few <= 0 or least > found[few - 1][0]):
                break
            if x not in barred:
                insort(found, (least + 20 * self.draw(x - bisect_left(barred, x) + 1), x))
        self.counter += len(load) - len(barred)
        for _, x in found[: max(0, few)]:
            part.put(p, x, 1)

    def improve(self, part, sure):
        """One move or swap: the best of the widest pair, or drawn by deviation and benefit."""
        chance = (lambda row: row[0]) if sure else self.chance
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
