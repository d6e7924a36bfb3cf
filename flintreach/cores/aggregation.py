"""Aggregation of reports in a worker, so that the pilot process has fewer to handle and none is lost.

Reports about one server from one zone over the same number of seconds, or about one slice and operation,
are added up while the pilot would classify each of them alike; `pilot.reports.classify` decides that.
Counts and the sum of latencies are exact; of two spans that round to the same second, the longer is kept; the
newest load report of a server goes with its last row.  A row whose class differs from the last one of its
object is urgent.

Does no input or output.
"""

from collections.abc import Callable
from itertools import islice

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND

Report = interface.ServerReport | interface.DemandReport
MAX_URGENT_IN_FLIGHT = 2  # records: an urgent one may be sent beside an ordinary one


class Row:
    """Reports that have been added up.

    Attributes:
        event: the first report, which carries the sums of tries and of unanswered ones.
        last: the sequence number of the last report added.
        lines: number of reports.
        answered: tries that succeeded.
        latency: the sum over all tries that succeeded, in nanoseconds.
    """

    __slots__ = ("event", "answered", "latency", "lines", "last")

    def __init__(self, event: Report, last: int) -> None:
        self.event = event
        self.last = last
        self.lines = 1
        self.answered = 0
        self.latency = 0

    def add(self, event: Report, last: int) -> None:
        """Add another report of the same key."""
        total = self.event
        total.tries += event.tries
        total.unanswered += event.unanswered
        total.span = max(total.span, event.span)
        self.last = last
        self.lines += 1


class ReportAggregator:
    """Holds a bounded number of rows until they are sent.

    Attributes:
        rows: by their key, in the order of their first report.
        loads: the newest load report of each server that gave one.
        classes: the class of the last report about each object.
        urgent: keys of rows whose class differed from the last one of their object.
    """

    def __init__(self, classify: Callable[[Report], tuple[bool, ...]], max_rows: int) -> None:
        """Create an aggregator without rows.

        Args:
            classify: gives the class of a single report, as the pilot would.
            max_rows: number of rows at which `full` is set; then reports are not read until some are taken.
        """
        self.classify = classify
        self.max_rows = max_rows
        self.sequence = 0
        self.rows: dict[tuple, Row] = {}
        self.loads: dict[interface.Server, dict] = {}
        self.classes: dict[object, tuple[bool, ...]] = {}
        self.urgent: dict[tuple, None] = {}

    def __len__(self) -> int:
        return len(self.rows)

    @property
    def full(self) -> bool:
        """Whether the limit of rows has been reached."""
        return len(self.rows) >= self.max_rows

    def add(self, event: Report) -> None:
        """Add a report, which must not be used by the caller afterwards."""
        report_class = self.classify(event)
        self.sequence += 1
        seconds = (event.span + SECOND // 2) // SECOND
        subject: interface.Server | interface.Slice | interface.Proxy | None
        key: tuple
        if type(event) is interface.ServerReport:
            subject = event.server
            key = subject, event.zone, seconds, report_class
            if event.load:
                self.loads[subject] = event.load
        else:
            subject = event.slice or event.proxy
            key = subject, event.operation, seconds, report_class
        if self.classes.get(subject) != report_class:
            self.classes[subject] = report_class
            self.urgent[key] = None
        row = self.rows.get(key)
        if row is None:
            event.kind = report_class
            row = self.rows[key] = Row(event, self.sequence)
        else:
            row.add(event, self.sequence)
        if type(event) is interface.ServerReport:
            answered = max(0, event.tries - event.unanswered)
            row.answered += answered
            row.latency += answered * event.latency

    def take(self, max_rows: int) -> list[Report]:
        """Remove the urgent rows, then the oldest ones, and return them as reports.

        The reports are in the order of their last lines, so that a server's newest load is handled last.
        """
        urgent = list(islice(self.urgent, max_rows))
        for key in urgent:
            del self.urgent[key]
        rows = [self.rows.pop(key) for key in urgent]
        rows += [self.rows.pop(key) for key in list(islice(self.rows, max_rows - len(rows)))]
        if self.urgent:
            self.urgent = {key: None for key in self.urgent if key in self.rows}
        rows.sort(key=lambda row: row.last)
        return [self.to_report(row) for row in rows]

    def to_report(self, row: Row) -> Report:
        """Convert a row into one report, with the mean latency and the server's newest load."""
        event = row.event
        if isinstance(event, interface.ServerReport):
            if row.answered:
                event.latency = row.latency // row.answered
            if event.server in self.loads:
                event.load = self.loads[event.server]
        else:
            event.lines = row.lines
        return event

    def forget_server(self, server: interface.Server) -> None:
        """Drop all state of a server that is no longer listed, so that it does not accumulate."""
        self.loads.pop(server, None)
        self.classes.pop(server, None)
        for key in [key for key in self.rows if key[0] is server]:
            del self.rows[key]
            self.urgent.pop(key, None)


class SendPacer:
    """Limits the share of the pilot process's time that a worker's records take.

    One record is sent at a time, the next one after the pilot has been idle for a multiple of the time that
    the last one took.  While there are urgent rows, a second record may be sent beside it.
    """

    def __init__(self, idle_ratio: float, max_wait: int) -> None:
        """Create a pacer that may send at once.

        Args:
            idle_ratio: nanoseconds to wait for each one that the last record took.
            max_wait: the longest wait, in nanoseconds.
        """
        self.idle_ratio = idle_ratio
        self.max_wait = max_wait
        self.next_at = 0
        self.in_flight = 0

    def on_sent(self) -> None:
        """Count a record that was sent."""
        self.in_flight += 1

    def on_processed(self, now: int, took: int) -> None:
        """Note that the pilot has handled a record, which took this many nanoseconds."""
        self.in_flight = max(0, self.in_flight - 1)
        self.next_at = now + min(self.max_wait, int(took * self.idle_ratio))

    def may_send(self, now: int, urgent: bool) -> bool:
        """Return whether a record may be sent; an urgent one waits neither for the pause nor for another."""
        if urgent:
            return self.in_flight < MAX_URGENT_IN_FLIGHT
        return self.in_flight == 0 and now >= self.next_at
