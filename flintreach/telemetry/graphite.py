"""Client for Graphite's plaintext and pickle receivers.

Batches wait in a bounded spool and are sent asynchronously, so that a slow receiver does not delay the pilot.
"""

import asyncio
import pickle
import struct
from collections import deque

from flintreach.net.http import parse_address
from flintreach.pilot.interface import SECOND

# (state, input) -> next state. Pairs that are not listed change nothing.
STATES = {
    ("down", "due"): "dialling",
    ("dialling", "connected"): "up",
    ("dialling", "lost"): "down",
    ("up", "lost"): "down",
    ("up", "stuck"): "down",
    ("down", "stop"): "stopped",
    ("dialling", "stop"): "stopped",
    ("up", "stop"): "stopped",
}
WRITE_TIMEOUT = 10 * SECOND  # the connection is closed if a batch has not been written by then
INITIAL_BACKOFF_STEPS = 3  # doublings of the first reconnect delay; metrics may wait longer than other peers


def metric_path(prefix: str, name: str, tags: dict[str, str]) -> str:
    """Return the path of a metric in Graphite's format for tagged series.

    >>> metric_path("flintreach", "turns.count", {"pilot": "p0", "site": "north"})
    'flintreach.turns.count;pilot=p0;site=north'
    """
    path = ".".join(filter(None, (prefix, name)))
    return path + "".join(f";{key}={value}" for key, value in tags.items())


def encode_plaintext(rows: list[tuple[str, int, float]]) -> bytes:
    """Encode rows of path, time and value in the plaintext protocol.

    >>> encode_plaintext([("a.b", 1700000000, 2.5), ("a.c", 1700000000, 3)])
    b'a.b 2.5 1700000000\\na.c 3 1700000000\\n'
    """
    return "".join(f"{path} {value:.10g} {time}\n" for path, time, value in rows).encode()


def encode_pickle(rows: list[tuple[str, int, float]]) -> bytes:
    """Encode rows of path, time and value in the pickle protocol."""
    body = pickle.dumps([(path, (time, value)) for path, time, value in rows], protocol=2)
    return struct.pack("!L", len(body)) + body


ENCODERS = {"plaintext": encode_plaintext, "pickle": encode_pickle}


class Spool:
    """A queue of batches that holds at most `max_bytes` and drops the oldest ones to make room.

    >>> spool = Spool(10)
    >>> [spool.put(data) for data in (b"12345", b"1234", b"123", b"far too long")]
    [0, 0, 1, 1]
    >>> [data for data in spool.batches], spool.size
    ([b'1234', b'123'], 7)
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.size = 0
        self.batches: deque[bytes] = deque()

    def put(self, data: bytes) -> int:
        """Append a batch.

        Returns:
            The number of batches dropped, which includes the new one if it is too large by itself.
        """
        if len(data) > self.max_bytes:
            return 1
        dropped = 0
        self.batches.append(data)
        self.size += len(data)
        while self.size > self.max_bytes:
            self.size -= len(self.batches.popleft())
            dropped += 1
        return dropped

    def pop(self) -> bytes:
        """Remove and return the oldest batch."""
        data = self.batches.popleft()
        self.size -= len(data)
        return data

    def put_back(self, data: bytes) -> None:
        """Return a batch that was not written completely, so that the next connection sends it in full.

        The size limit is applied again with the next `put`.
        """
        self.batches.appendleft(data)
        self.size += len(data)


class GraphiteClient(asyncio.Protocol):
    """Connection to a Graphite receiver, which is reestablished after failures.

    One batch is written at a time; it counts as sent when its last byte has been handed to the kernel. A
    batch that a connection failure interrupts is sent again in full. Its points replace themselves at the
    receiver, and no connection ever continues after a partial line.

    Args:
        service: The service that provides the loop, the timers and the log.
        address: The receiver's numeric address and port.
        spool_bytes: Limit on the size of the spool.
    """

    def __init__(self, service, address: str, spool_bytes: int):
        self.service = service
        self.address = parse_address(address)
        self.spool = Spool(spool_bytes)
        self.state = "down"
        self.transport = None
        self.in_flight: bytes | None = None  # the batch being written
        self.write_timer = None
        self.failures = 0  # consecutive connection failures
        self.dropped = 0  # batches dropped from the spool
        self.sent_batches = 0

    def apply_input(self, what: str) -> bool:
        """Move to the next state and return whether the state has changed."""
        previous_state = self.state
        self.state = STATES.get((previous_state, what), previous_state)
        return previous_state != self.state

    def start(self) -> None:
        """Connect unless a connection exists, is being made, or the client has been stopped."""
        if self.apply_input("due"):
            self.task = self.service.loop.create_task(self.connect())

    async def connect(self) -> None:
        """Open the connection."""
        try:
            await self.service.loop.create_connection(lambda: self, *self.address)
        except OSError as error:
            self.disconnect(str(error))

    def connection_made(self, transport) -> None:
        """Start sending, or close the connection if the client has been stopped meanwhile."""
        self.transport = transport
        # With a limit of 0, resume_writing is called only when the whole batch has been written.
        transport.set_write_buffer_limits(high=0)
        if self.apply_input("connected"):
            self.failures = 0
            self.service.log_state("graphite", "up")
            self.send_next()
        else:
            transport.abort()

    def connection_lost(self, error) -> None:
        """Handle a connection that the receiver has closed."""
        self.disconnect(str(error) if error else "connection closed")

    def disconnect(self, reason: str, what: str = "lost") -> None:
        """Drop the connection, put an interrupted batch back and schedule the next attempt.

        Args:
            reason: The reason for the log.
            what: The input to the state machine.
        """
        if not self.apply_input(what):
            return
        if self.write_timer:
            self.write_timer.cancel()
        if self.in_flight is not None:
            self.spool.put_back(self.in_flight)
            self.in_flight = None
        if self.transport:
            self.transport.abort()
            self.transport = None
        if self.state != "stopped":
            self.service.log_state("graphite", "down", reason)
            self.failures += 1
            self.service.clock.retry_later(self.failures + INITIAL_BACKOFF_STEPS, self.start)

    def put(self, data: bytes) -> None:
        """Queue a batch and send it as soon as possible."""
        self.dropped += self.spool.put(data)
        self.send_next()

    def send_next(self) -> None:
        """Write the next batch unless one is being written."""
        while self.state == "up" and self.in_flight is None and self.spool.batches:
            self.in_flight = self.spool.pop()
            self.transport.write(self.in_flight)
            if not self.transport.get_write_buffer_size():
                self.resume_writing()
            else:
                self.write_timer = self.service.clock.start_timeout(
                    WRITE_TIMEOUT, lambda: self.disconnect("batch not written within 10 s", "stuck")
                )

    def pause_writing(self) -> None:
        """Do nothing: the next batch waits for `resume_writing` in any case."""

    def resume_writing(self) -> None:
        """Count the batch as sent and write the next one."""
        if self.write_timer:
            self.write_timer.cancel()
            self.write_timer = None
        if self.in_flight is not None:
            self.in_flight = None
            self.sent_batches += 1
            self.send_next()

    def data_received(self, data: bytes) -> None:
        """Ignore data, since the protocol has no responses."""

    def stop(self) -> None:
        """Close the connection for good."""
        self.disconnect("stopped", "stop")
