"""How a worker sums up what is reported, so that the deciding core reads less and loses nothing.  Pure.

Lines about one server from one zone over as many seconds, or about one slice and operation, become one row
while the decisions would judge each of them alike: `pilot.reports.classify` says so, not this module.  Counts
and the sum of latencies are kept exactly; of two spans within the same second the longer stands; the newest
load report of a server goes with its last row.  A row of another kind than the last of its object is urgent.
"""

from collections.abc import Callable
from itertools import islice

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND


class Row:
    """Lines that have been summed up; `latency` is the sum over all that succeeded, in nanoseconds."""

    __slots__ = ("event", "answered", "latency", "lines", "last")

    def __init__(self, event, last: int):
        self.event, self.last, self.lines = event, last, 1
        self.answered = self.latency = 0

    def add(self, event, last: int) -> None:
        mine = self.event
        mine.tries += event.tries
        mine.unanswered += event.unanswered
        mine.span = max(mine.span, event.span)
        self.last, self.lines = last, self.lines + 1


class Fold:
    """`most` rows are held at the most: then `full`, and no more may be read until some have been taken.

    `kind(event)` is the decisions' verdict on a single line.
    """

    def __init__(self, kind: Callable[[object], tuple], most: int):
        self.kind, self.most, self.counter = kind, most, 0
        self.rows: dict[tuple, Row] = {}  # by what they are about, the first heard first
        self.loads: dict[interface.Server, dict] = {}  # the newest report of those that have rows
        self.kinds: dict[object, tuple] = {}  # last heard of each object
        self.urgent: dict[tuple, None] = {}  # rows of a kind that was not the last one heard of their object

    def __len__(self) -> int:
        return len(self.rows)

    @property
    def full(self) -> bool:
        return len(self.rows) >= self.most

    def add(self, event) -> None:
        """The event is the fold's from now on."""
        kind, heard = self.kind(event), type(event) is interface.ServerReport
        self.counter += 1
        turns = (event.span + SECOND // 2) // SECOND
        if heard:
            about = event.server
            key = about, event.zone, turns, kind
            if event.load:
                self.loads[about] = event.load
        else:
            about = event.slice or event.proxy
            key = about, event.operation, turns, kind
        if self.kinds.get(about) != kind:
            self.kinds[about] = kind
            self.urgent[key] = None
        row = self.rows.get(key)
        if row is None:
            event.kind = kind
            row = self.rows[key] = Row(event, self.counter)
        else:
            row.add(event, self.counter)
        if heard:
            answered = max(0, event.tries - event.unanswered)
            row.answered += answered
            row.latency += answered * event.latency

    def take(self, most: int) -> list:
        """The urgent rows and those that have waited longest, as events, `most` at the most; in the order of
        their last lines, so that a server's newest report is read last."""
        first = list(islice(self.urgent, most))
        for key in first:
            del self.urgent[key]
        rows = [self.rows.pop(key) for key in first]
        rows += [self.rows.pop(key) for key in list(islice(self.rows, most - len(rows)))]
        if self.urgent:
            self.urgent = {key: None for key in self.urgent if key in self.rows}
        rows.sort(key=lambda row: row.last)
        return [self.event(row) for row in rows]

    def event(self, row: Row):
        event = row.event
        if isinstance(event, interface.ServerReport):
            event.latency = row.latency // row.answered if row.answered else event.latency
            if event.server in self.loads:
                event.load = self.loads[event.server]
        else:
            event.lines = row.lines
        return event

    def forget(self, server: interface.Server) -> None:
        """A server that is on no list any more: what was heard of it must not stay for ever."""
        self.loads.pop(server, None)
        self.kinds.pop(server, None)
        for key in [key for key in self.rows if key[0] is server]:
            del self.rows[key]
            self.urgent.pop(key, None)


class Pace:
    """When a worker may send: one record at a time, the next when the deciding core has had its rest; a
    second one beside it where there is something urgent to say.

    `ratio`: nanoseconds of rest for each that the last record took to read; `wait`: the longest rest.
    """

    def __init__(self, ratio: float, wait: int):
        self.ratio, self.wait, self.next, self.out = ratio, wait, 0, 0

    def sent(self) -> None:
        self.out += 1

    def credit(self, now: int, took: int) -> None:
        self.out, self.next = max(0, self.out - 1), now + min(self.wait, int(took * self.ratio))

    def due(self, now: int, urgent: bool) -> bool:
        """What is urgent does not wait for the rest, nor for one record that is under way."""
        return self.out < 2 if urgent else not self.out and now >= self.next
