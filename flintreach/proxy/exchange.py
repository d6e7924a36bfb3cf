"""One exchange with an endpoint: a request goes out on a connection, its response comes back.

`attempt` and `health_check` run exchanges.  An exchange tells what is known of whether the request has run,
and no more: a request that was written may have run, whatever happened to its response.

Times are nanoseconds of this process's steady clock, unless a name ends in `_s`.
"""

import errno
import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from flintreach.proxy.connection import IDLE_LIMIT_NS, Connection, ConnectionPool, was_rejected
from flintreach.proxy.outcome import OutcomeKind
from flintreach.proxy.response import HTTPParseError, Response, ResponseParser

NS_PER_S = 1_000_000_000

# Statuses with which `X-Not-Delivered` is believed.
REFUSAL_STATUSES = (400, 408, 421, 429, 503)

# Statuses that could be taken for a promise that the request has not run.
BUSY_STATUSES = (408, 429, 503)

MISDIRECTED_REQUEST = 421

# What is read at most for one response: complete responses that are not to the request, and bytes.
MAX_SURPLUS_RESPONSES = 8
MAX_RESPONSE_BYTES = 64 << 20

READ_SIZE = 65536

# Stands for "no bound" where a moment is wanted.
NO_LIMIT_NS = 1 << 62


@dataclass(slots=True)
class Outcome:
    """What came of an exchange.

    Attributes:
        kind: what is known of the request.
        response: the endpoint's response, if one came that belongs to the request.
        unreachable: the endpoint's machine gave no sign at all.
        at_connection_limit: the endpoint takes no further connection at present.
        recalled: bytes of the request were taken back, since they would have arrived too late.
    """

    kind: OutcomeKind
    response: Response | None = None
    unreachable: bool = False
    at_connection_limit: bool = False
    recalled: bool = False


def classify_response(response: Response) -> OutcomeKind:
    """What a response tells of its request.

    Only a refusal (`X-Not-Delivered`, or 421: RFC 9110, section 15.5.20) is a promise that the request has
    not run: a busy status without one may come after the work, and passed on it would be a promise of the
    proxy's.  A success without its stamp (`X-Postmark`), or in a coding that nobody asked for, is not the
    endpoint's body.
    """
    status = response.status
    is_refusal = response.get("x-not-delivered") is not None
    if status == MISDIRECTED_REQUEST or (is_refusal and status in REFUSAL_STATUSES):
        return OutcomeKind.NOT_RUN
    if is_refusal or status in BUSY_STATUSES or not 200 <= status <= 599:
        return OutcomeKind.NO_VALID_RESPONSE
    if status < 300 and response.get("x-postmark") is None:
        return OutcomeKind.NO_VALID_RESPONSE
    if (response.get("content-encoding") or "identity").lower() != "identity":
        return OutcomeKind.NO_VALID_RESPONSE
    if (response.get("transfer-encoding") or "chunked").lower() != "chunked":
        return OutcomeKind.NO_VALID_RESPONSE
    return OutcomeKind.ANSWERED


def always_may_send() -> bool:
    """For exchanges that nothing keeps back."""
    return True


def ignore_written() -> None:
    """For exchanges of which nobody wants to know when they are written."""


def no_arrival_limit() -> int:
    """For exchanges whose bytes may arrive at any time."""
    return NO_LIMIT_NS


@dataclass(slots=True)
class ExchangeOptions:
    """What binds one exchange.

    Attributes:
        deadline: nobody waits for the response any more.
        connect_timeout_s: how long a connection may take to be set up.
        idle_limit_ns: how long the connection may lie idle afterwards.
        may_send: asked last, whether the request may be sent; it may raise, and then nothing was sent.
        on_written: called when the kernel has taken all of the request.
        arrive_by: bytes that have not arrived by then are taken back; it may move on meanwhile.
    """

    deadline: int
    connect_timeout_s: float
    idle_limit_ns: int = IDLE_LIMIT_NS
    may_send: Callable[[], bool] = always_may_send
    on_written: Callable[[], None] = ignore_written
    arrive_by: Callable[[], int] = no_arrival_limit


class Exchange:
    """A request on one connection, and what has come of it so far.  It goes on where a wait was ended.

    Args:
        connection: a connection with nothing on it.
        data: the request's bytes.
        request_id: the id that its response must name; "" for none.
        terms: what binds it.

    Attributes:
        reusable: whether the connection may carry another request.
    """

    __slots__ = (
        "connection",
        "request_id",
        "terms",
        "unsent",
        "has_begun",
        "has_arrived",
        "parser",
        "received_bytes",
        "reusable",
    )

    def __init__(self, connection: Connection, data: bytes, request_id: str, terms: ExchangeOptions) -> None:
        self.connection = connection
        self.request_id = request_id
        self.terms = terms
        self.unsent = memoryview(data)
        self.has_begun = False  # bytes went out
        self.has_arrived = False  # all of them are at the endpoint's machine
        self.parser = ResponseParser(to_head=data.startswith(b"HEAD "))
        self.received_bytes = 0
        self.reusable = False

    def run(self) -> Outcome:
        """Send the request and read its response, until an outcome is known."""
        while True:
            timer = gevent.Timeout(self.next_limit_s())
            try:
                with timer:
                    self.send()
                    return self.receive()
            except gevent.Timeout as ended:
                if ended is not timer:
                    raise
                outcome = self.outcome_at_limit()
                if outcome is not None:
                    return outcome
            except OSError as error:
                unreachable = error.errno in (errno.ETIMEDOUT, errno.EHOSTUNREACH)
                return Outcome(OutcomeKind.NO_VALID_RESPONSE, unreachable=unreachable)

    def next_limit_s(self) -> float:
        """Seconds until the next moment at which something must be decided."""
        limit = self.terms.deadline
        if not self.has_arrived:
            limit = min(limit, self.terms.arrive_by())
        return max(0, limit - time.monotonic_ns()) / NS_PER_S

    def send(self) -> None:
        """Give the kernel what it has not taken yet."""
        if not self.unsent:
            return
        while self.unsent:
            sent_bytes = self.connection.sock.send(self.unsent)
            self.unsent = self.unsent[sent_bytes:]
            self.has_begun = True
        self.terms.on_written()

    def receive(self) -> Outcome:
        """Read until the request's response is complete, or it can't be any more."""
        while data := self.connection.sock.recv(READ_SIZE):
            try:
                self.parser.feed(data)
            except HTTPParseError:
                pass  # what was complete before the garbage counts
            # An old response may stand in the place of this one: the id tells.
            for response in self.parser.complete:
                if response.matches_request(self.request_id):
                    return self.take_response(response)
            self.received_bytes += len(data)
            if self.has_read_enough():
                break
        return Outcome(OutcomeKind.NO_VALID_RESPONSE)

    def has_read_enough(self) -> bool:
        """Whether no response to the request is to be expected any more."""
        if self.parser.parser_failed() or len(self.parser.complete) > MAX_SURPLUS_RESPONSES:
            return True
        return self.received_bytes > MAX_RESPONSE_BYTES

    def take_response(self, response: Response) -> Outcome:
        """The outcome by the request's own response; decides whether the connection can be used again."""
        kind = classify_response(response)
        parser = self.parser
        is_alone = len(parser.complete) == 1 and not parser.surplus and not parser.parser_failed()
        is_sound = parser.framed and kind != OutcomeKind.NO_VALID_RESPONSE
        self.reusable = response.keep_alive and is_alone and is_sound and self.request_id != ""
        return Outcome(kind, response)

    def outcome_at_limit(self) -> Outcome | None:
        """What a limit that has passed means; None where the request may go on."""
        now = time.monotonic_ns()
        if now >= self.terms.deadline:
            return Outcome(OutcomeKind.TIMEOUT)
        self.has_arrived = not self.unsent and not self.connection.unacknowledged_bytes()
        if self.has_arrived or now < self.terms.arrive_by():
            return None
        # A part of it may have arrived: then it may have run.
        kind = OutcomeKind.NO_VALID_RESPONSE if self.has_begun else OutcomeKind.UNSENT
        return Outcome(kind, recalled=True)


def open_connection(pool: ConnectionPool, connect_timeout_s: float, deadline: int) -> Connection | Outcome:
    """A fresh connection to an endpoint, or the outcome where there is none: then nothing was sent."""
    left_s = (deadline - time.monotonic_ns()) / NS_PER_S
    if left_s <= 0:
        return Outcome(OutcomeKind.UNSENT)
    try:
        connection = pool.connect(min(connect_timeout_s, left_s))
    except OSError as error:
        # These two are signs of its machine.
        unreachable = error.errno not in (errno.ECONNREFUSED, errno.ECONNRESET)
        return Outcome(OutcomeKind.UNSENT, unreachable=unreachable)
    if was_rejected(connection):
        connection.reset()
        return Outcome(OutcomeKind.UNSENT, at_connection_limit=True)
    return connection


def exchange(
    pool: ConnectionPool,
    head: bytes,
    body: bytes,
    request_id: str,
    terms: ExchangeOptions,
    used: list[Connection] | None = None,
) -> Outcome:
    """Send one request and read its response.

    Args:
        pool: connections to the endpoint.
        head: the request's head, with the empty line.
        body: its body.
        request_id: the id that tells its response from others; "" for none.
        terms: what binds the exchange.
        used: connections that the request went out on before, to which its own is added.

    Returns:
        What came of it.

    Raises:
        BaseException: what `terms.may_send` raises; then nothing was sent.
    """
    # The id tells responses apart, so no request goes twice on one connection, and one without an id has a
    # connection to itself.
    used = [] if used is None else used
    connection = pool.take(used) if request_id else None
    if connection is None:
        opened = open_connection(pool, terms.connect_timeout_s, terms.deadline)
        if isinstance(opened, Outcome):
            return opened
        connection = opened
    running = Exchange(connection, head + body, request_id, terms)
    outcome: Outcome | None = None
    try:
        if not terms.may_send():
            # Since it was chosen, updates came or failed to come: the endpoint or its zone is to be left, or
            # its lease is over.
            return Outcome(OutcomeKind.UNSENT)
        used.append(connection)
        outcome = running.run()
        return outcome
    finally:
        if running.reusable and outcome is not None:
            pool.put(connection, outcome.response, terms.idle_limit_ns)
        else:
            connection.reset()
