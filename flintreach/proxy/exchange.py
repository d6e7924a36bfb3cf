"""One request/response exchange with an endpoint.

`attempt` and `health_check` run exchanges.  The outcome claims no more than is known about whether the
request has run: one that was written may have run, whatever happened to its response.

Times are nanoseconds of the process's monotonic clock, unless a name ends in `_s`.
"""

import errno
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from flintreach.common.memory_budget import MemoryBudget, Reservation
from flintreach.proxy.connection import IDLE_LIMIT_NS, Connection, ConnectionPool, was_rejected
from flintreach.proxy.message_memory import GROWTH_FACTOR, MAX_SHORT_BODY_BYTES
from flintreach.proxy.outcome import OutcomeKind
from flintreach.proxy.response import HTTPParseError, Response, ResponseParser

NS_PER_S = 1_000_000_000

# Statuses for which an `X-Not-Delivered` header is accepted as a refusal.
REFUSAL_STATUSES = (400, 408, 421, 429, 503)

# Statuses that a client may take as a guarantee that the request has not run.
BUSY_STATUSES = (408, 429, 503)

MISDIRECTED_REQUEST = 421

# Limits on what is read for one response: complete responses that do not match the request, and bytes.
MAX_UNMATCHED_RESPONSES = 8
MAX_RESPONSE_BYTES = 64 << 20

READ_SIZE = 65536

# Other tasks run after so many reads: receiving gives way to them only if no data has arrived.
READS_BETWEEN_YIELDS = 4

# Up to this length, a body is sent together with its head.
MAX_JOINED_BODY_BYTES = 65536

# A time that is never reached.
NO_LIMIT_NS = 1 << 62


@dataclass(slots=True)
class Outcome:
    """The outcome of an exchange.

    Attributes:
        kind: what is known about the request.
        response: the response that matches the request, if one was received.
        unreachable: the endpoint's machine did not respond at all.
        at_connection_limit: the endpoint currently accepts no further connections.
        missed_arrival_limit: the connection was reset, as bytes of the request would have reached the
            endpoint's machine after `ExchangeOptions.arrive_by`.
    """

    kind: OutcomeKind
    response: Response | None = None
    unreachable: bool = False
    at_connection_limit: bool = False
    missed_arrival_limit: bool = False


def classify_response(response: Response) -> OutcomeKind:
    """Classify a response by what it shows about its request.

    Only a refusal (`X-Not-Delivered`, or 421: RFC 9110, section 15.5.20) guarantees that the request has not
    run.  A busy status without that header may follow the work, and if it were forwarded, the client would
    take it as the proxy's guarantee.  A success without an `X-Postmark` header, or with a content or transfer
    coding that was not requested, is not accepted as the endpoint's response.
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
    """Default for `ExchangeOptions.may_send`: sending is always permitted."""
    return True


def ignore_written() -> None:
    """Default for `ExchangeOptions.on_written`: does nothing."""


def no_arrival_limit() -> int:
    """Default for `ExchangeOptions.arrive_by`: bytes may arrive at any time."""
    return NO_LIMIT_NS


@dataclass(slots=True)
class ExchangeOptions:
    """Limits and callbacks of one exchange.

    Attributes:
        deadline: time after which the client no longer waits for the response.
        connect_timeout_s: limit for establishing a connection.
        idle_limit_ns: how long the connection may stay idle in its pool afterwards.
        may_send: called immediately before sending; if it returns False or raises, nothing is sent.
        on_written: called when the kernel has accepted the whole request.
        arrive_by: returns the time by which the request must have reached the endpoint's machine, or else the
            connection is reset; the time may be extended during the exchange.
        memory: budget for long bodies of responses.
    """

    deadline: int
    connect_timeout_s: float
    idle_limit_ns: int = IDLE_LIMIT_NS
    may_send: Callable[[], bool] = always_may_send
    on_written: Callable[[], None] = ignore_written
    arrive_by: Callable[[], int] = no_arrival_limit
    memory: MemoryBudget = field(default_factory=MemoryBudget)


def buffers_to_send(head: bytes, body: bytes | bytearray) -> list[memoryview]:
    """The parts of a request in the order in which they are sent; a long body is not copied."""
    if len(body) <= MAX_JOINED_BODY_BYTES:
        return [memoryview(head + body)]
    return [memoryview(head), memoryview(body)]


class Exchange:
    """A request on one connection and the state of its response; it resumes after each wait that times out.

    Args:
        connection: a connection without unread or unsent data.
        head: the request's head, including the empty line.
        body: the request's body; it must not change during the exchange.
        request_id: the id that its response must have; "" for none.
        options: limits and callbacks.

    Attributes:
        reusable: whether the connection may carry another request.
    """

    __slots__ = (
        "connection",
        "request_id",
        "options",
        "unsent",
        "sending_started",
        "is_acknowledged",
        "parser",
        "received_bytes",
        "reads",
        "memory",
        "reusable",
    )

    def __init__(
        self,
        connection: Connection,
        head: bytes,
        body: bytes | bytearray,
        request_id: str,
        options: ExchangeOptions,
    ) -> None:
        self.connection = connection
        self.request_id = request_id
        self.options = options
        self.unsent = buffers_to_send(head, body)
        self.sending_started = False  # some bytes have been sent
        self.is_acknowledged = False  # the endpoint's machine has acknowledged all bytes
        self.parser = ResponseParser(to_head=head.startswith(b"HEAD "))
        self.received_bytes = 0
        self.reads = 0
        self.memory = Reservation(options.memory)
        self.reusable = False

    def run(self) -> Outcome:
        """Send the request and read responses until the outcome is known."""
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
        """Seconds until the deadline, or until the arrival limit if that is still pending and earlier."""
        limit = self.options.deadline
        if not self.is_acknowledged:
            limit = min(limit, self.options.arrive_by())
        return max(0, limit - time.monotonic_ns()) / NS_PER_S

    def send(self) -> None:
        """Write the remaining bytes of the request to the socket."""
        if not self.unsent:
            return
        while self.unsent:
            sent_bytes = self.connection.sock.send(self.unsent[0])
            self.sending_started = True
            self.unsent[0] = self.unsent[0][sent_bytes:]
            if not self.unsent[0]:
                del self.unsent[0]
        self.options.on_written()

    def receive(self) -> Outcome:
        """Read until the request's response is complete, or can no longer be expected."""
        while data := self.receive_data():
            try:
                self.parser.feed(data)
            except HTTPParseError:
                pass  # responses that were complete before the malformed data count
            # A stale response to an earlier request may come first; the id distinguishes it.
            for response in self.parser.complete:
                if response.matches_request(self.request_id):
                    return self.accept_response(response)
            self.received_bytes += len(data)
            if self.should_stop_reading():
                break
        return Outcome(OutcomeKind.NO_VALID_RESPONSE)

    def receive_data(self) -> bytes:
        """Read from the socket, once there is memory for the response; empty at the connection's end."""
        expected_bytes = max(self.received_bytes, self.parser.announced_bytes())
        if expected_bytes > MAX_SHORT_BODY_BYTES:
            self.memory.grow_to(int(expected_bytes * GROWTH_FACTOR) + READ_SIZE)
        self.reads += 1
        if self.reads % READS_BETWEEN_YIELDS == 0:
            gevent.sleep(0)
        return self.connection.sock.recv(READ_SIZE)

    def should_stop_reading(self) -> bool:
        """Whether parsing has failed or the limits on responses and bytes are exceeded."""
        if self.parser.parser_failed() or len(self.parser.complete) > MAX_UNMATCHED_RESPONSES:
            return True
        return max(self.received_bytes, self.parser.announced_bytes()) > MAX_RESPONSE_BYTES

    def accept_response(self, response: Response) -> Outcome:
        """The outcome for the request's own response; also sets whether the connection is reusable."""
        kind = classify_response(response)
        parser = self.parser
        is_only_message = (
            len(parser.complete) == 1 and not parser.has_extra_message and not parser.parser_failed()
        )
        is_intact = parser.has_framing_header and kind != OutcomeKind.NO_VALID_RESPONSE
        self.reusable = response.keep_alive and is_only_message and is_intact and self.request_id != ""
        response.memory = self.memory
        return Outcome(kind, response)

    def outcome_at_limit(self) -> Outcome | None:
        """The outcome after a wait has timed out; None if the exchange may continue."""
        now = time.monotonic_ns()
        if now >= self.options.deadline:
            return Outcome(OutcomeKind.TIMEOUT)
        self.is_acknowledged = not self.unsent and not self.connection.unacknowledged_bytes()
        if self.is_acknowledged or now < self.options.arrive_by():
            return None
        # If some bytes were sent, they may have arrived, and the request may have run.
        kind = OutcomeKind.NO_VALID_RESPONSE if self.sending_started else OutcomeKind.UNSENT
        return Outcome(kind, missed_arrival_limit=True)


def open_connection(pool: ConnectionPool, connect_timeout_s: float, deadline: int) -> Connection | Outcome:
    """Open a connection to an endpoint; on failure return the outcome, in which case nothing was sent."""
    remaining_s = (deadline - time.monotonic_ns()) / NS_PER_S
    if remaining_s <= 0:
        return Outcome(OutcomeKind.UNSENT)
    try:
        connection = pool.connect(min(connect_timeout_s, remaining_s))
    except OSError as error:
        # These two errors show that the endpoint's machine is responding.
        unreachable = error.errno not in (errno.ECONNREFUSED, errno.ECONNRESET)
        return Outcome(OutcomeKind.UNSENT, unreachable=unreachable)
    if was_rejected(connection):
        connection.reset()
        return Outcome(OutcomeKind.UNSENT, at_connection_limit=True)
    return connection


def exchange(
    pool: ConnectionPool,
    head: bytes,
    body: bytes | bytearray,
    request_id: str,
    options: ExchangeOptions,
    used_connections: list[Connection] | None = None,
) -> Outcome:
    """Send one request and read its response.

    Args:
        pool: connections to the endpoint.
        head: the request's head, including the empty line.
        body: the request's body.
        request_id: the id that identifies the response; "" for none.
        options: limits and callbacks.
        used_connections: connections on which the request was sent before; the one used now is appended.

    Raises:
        BaseException: whatever `options.may_send` raises; nothing was sent then.
    """
    # Responses are matched by request id.  So a request is never sent twice on one connection, and a request
    # without an id gets a connection of its own.
    used_connections = [] if used_connections is None else used_connections
    connection = pool.take(used_connections) if request_id else None
    if connection is None:
        result = open_connection(pool, options.connect_timeout_s, options.deadline)
        if isinstance(result, Outcome):
            return result
        connection = result
    active_exchange = Exchange(connection, head, body, request_id, options)
    outcome: Outcome | None = None
    try:
        if not options.may_send():
            # Since the endpoint was selected, an update has taken it or its zone out of use, or its lease has
            # expired because no update came.
            return Outcome(OutcomeKind.UNSENT)
        used_connections.append(connection)
        outcome = active_exchange.run()
        return outcome
    finally:
        if active_exchange.reusable and outcome is not None:
            pool.put(connection, outcome.response, options.idle_limit_ns)
        else:
            connection.reset()
