"""One exchange with an endpoint: a request goes out on a connection, its answer comes back.

An exchange tells what is known of whether the request has run, and no more: a request that was written may
have run, whatever happened to its answer.
"""

import errno
import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from flintreach.proxy.connection import IDLE, Connection, ConnectionPool, turned_away
from flintreach.proxy.outcome import OutcomeKind
from flintreach.proxy.reply import HTTPParseError, Message, Replies

REFUSED = (400, 408, 421, 429, 503)  # statuses with which X-Not-Delivered is believed
SURPLUS, MOST = 8, 64 << 20  # whole messages that are not ours, and bytes, that are read for one answer
READ_SIZE = 65536
SECOND = 1_000_000_000
NEVER = 1 << 62  # no bound, in nanoseconds of the steady clock


class Outcome:
    """What came of an exchange.

    `dark`: its machine says nothing.  `full`: it takes no further connection at present.  `recalled`: its
    bytes were taken back, since they would have arrived too late.
    """

    __slots__ = ("kind", "message", "dark", "full", "recalled")

    def __init__(self, kind, message=None, dark=False, full=False, recalled=False):
        self.kind, self.message, self.dark, self.full = kind, message, dark, full
        self.recalled = recalled


def verdict(message: Message) -> OutcomeKind:
    """What an answer to a request tells of it.

    Only a refusal is a promise that it has not run: a busy status without one may come after the work, and
    passed on it would be a promise of ours.  A success without its stamp, or in a coding that nobody asked
    for, is not the endpoint's body.
    """
    status, coding = message.status, (message.get("content-encoding") or "identity").lower()
    refusal = message.get("x-not-delivered") is not None
    if status == 421 or refusal and status in REFUSED:
        return OutcomeKind.NOT_RUN
    if refusal or status in (408, 429, 503) or not 200 <= status <= 599:
        return OutcomeKind.BROKEN
    if status < 300 and message.get("x-postmark") is None:
        return OutcomeKind.BROKEN
    if coding != "identity" or (message.get("transfer-encoding") or "chunked").lower() != "chunked":
        return OutcomeKind.BROKEN
    return OutcomeKind.ANSWERED


@dataclass(slots=True)
class ExchangeTerms:
    """What binds one exchange.  Moments are nanoseconds of the steady clock.

    `until`: nobody waits for the answer any more; `connect_s`: seconds for a connection to come up;
    `idle_ns`: nanoseconds for which it may lie idle afterwards.  `may_go()`: asked last, whether the request
    may go out; it may raise, and then nothing was sent.  `went_out()`: called when the kernel has taken all
    of it.  `arrive_by()`: bytes that have not arrived by then are taken back; it may move on meanwhile.
    """

    until: int
    connect_s: float
    idle_ns: int = IDLE
    may_go: Callable[[], bool] = lambda: True
    went_out: Callable[[], None] = lambda: None
    arrive_by: Callable[[], int] = lambda: NEVER


class Exchange:
    """A request on one connection, and what has come of it so far.  It goes on where a wait was ended."""

    def __init__(self, connection: Connection, data: bytes, id: str, terms: ExchangeTerms):
        self.connection, self.id, self.terms = connection, id, terms
        self.left = memoryview(data)
        self.begun, self.arrived = False, False  # bytes went out; all of them are at the endpoint's machine
        self.replies, self.size = Replies(data.startswith(b"HEAD ")), 0
        self.reusable = False

    def run(self) -> Outcome:
        while True:
            until = self.terms.until
            limit = until if self.arrived else min(until, self.terms.arrive_by())
            timer = gevent.Timeout(max(0, limit - time.monotonic_ns()) / SECOND)
            try:
                with timer:
                    self.send()
                    return self.receive()
            except gevent.Timeout as ended:
                if ended is not timer:
                    raise
                if (outcome := self.over()) is not None:
                    return outcome
            except OSError as error:
                return Outcome(OutcomeKind.BROKEN, dark=error.errno in (errno.ETIMEDOUT, errno.EHOSTUNREACH))

    def send(self) -> None:
        if not self.left:
            return
        while self.left:
            self.left = self.left[self.connection.sock.send(self.left) :]
            self.begun = True
        self.terms.went_out()

    def receive(self) -> Outcome:
        while data := self.connection.sock.recv(READ_SIZE):
            try:
                self.replies.feed(data)
            except HTTPParseError:
                pass  # what was whole before the garbage counts
            # An old answer may stand in the place of ours: the id tells.
            found = next((message for message in self.replies.whole if message.answers(self.id)), None)
            if found is not None:
                return self.answered(found)
            self.size += len(data)
            if self.replies.parser_failed() or len(self.replies.whole) > SURPLUS or self.size > MOST:
                break
        return Outcome(OutcomeKind.BROKEN)

    def answered(self, found: Message) -> Outcome:
        kind, replies = verdict(found), self.replies
        lone = len(replies.whole) == 1 and not replies.surplus and not replies.parser_failed()
        self.reusable = (
            found.keep and lone and replies.framed and kind != OutcomeKind.BROKEN and self.id != ""
        )
        return Outcome(kind, found)

    def over(self) -> Outcome | None:
        """What a limit that has passed means; None where the request may go on."""
        now = time.monotonic_ns()
        if now >= self.terms.until:
            return Outcome(OutcomeKind.TIMEOUT)
        self.arrived = not self.left and not self.connection.unacknowledged()
        if self.arrived or now < self.terms.arrive_by():
            return None
        # A part of it may have arrived: then it may have run.
        return Outcome(OutcomeKind.BROKEN if self.begun else OutcomeKind.UNSENT, recalled=True)


def connected(pool: ConnectionPool, connect_s: float, until: int) -> Connection | Outcome:
    """A fresh connection to an endpoint, or why there is none: then nothing was sent."""
    left = (until - time.monotonic_ns()) / SECOND
    if left <= 0:
        return Outcome(OutcomeKind.UNSENT)
    try:
        connection = pool.connect(min(connect_s, left))
    except OSError as error:
        return Outcome(OutcomeKind.UNSENT, dark=error.errno not in (errno.ECONNREFUSED, errno.ECONNRESET))
    if turned_away(connection):
        connection.drop()
        return Outcome(OutcomeKind.UNSENT, full=True)
    return connection


def exchange(
    pool: ConnectionPool,
    head: bytes,
    body: bytes,
    id: str,
    terms: ExchangeTerms,
    used: list[Connection] | None = None,
) -> Outcome:
    """Send one request and read its answer.

    `used`: connections that the request went out on before, to which its own is added.  Raises what
    `terms.may_go` raises.
    """
    # The id tells answers apart, so none goes twice on one connection, and one without an id goes alone.
    used = [] if used is None else used
    connection = pool.take(used) if id else None
    if connection is None:
        connection = connected(pool, terms.connect_s, terms.until)
        if isinstance(connection, Outcome):
            return connection
    job = Exchange(connection, head + body, id, terms)
    try:
        if not terms.may_go():
            # Since it was chosen, news came or failed to come: its departure, its zone's, or a lease is over.
            return Outcome(OutcomeKind.UNSENT)
        used.append(connection)
        outcome = job.run()
        return outcome
    finally:
        if job.reusable:
            pool.put(connection, outcome.message, terms.idle_ns)
        else:
            connection.drop()
