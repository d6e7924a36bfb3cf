"""Graphite's receivers: plain lines, or pickled batches.  What waits is bounded, and costs no turn."""

import asyncio
import pickle
import struct
from collections import deque

from flintreach.net.http import parse_address
from flintreach.pilot.interface import SECOND

# State, input, next state.  A pair that is not here changes nothing.
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
STUCK = 10 * SECOND  # without a byte taken, a receiver is let go


def path(prefix: str, name: str, tags: dict[str, str]) -> str:
    """
    >>> path("flintreach", "turns.count", {"pilot": "p0", "site": "north"})
    'flintreach.turns.count;pilot=p0;site=north'
    """
    return ".".join(filter(None, (prefix, name))) + "".join(f";{key}={value}" for key, value in tags.items())


def plain(rows: list[tuple[str, int, float]]) -> bytes:
    """
    >>> plain([("a.b", 1700000000, 2.5), ("a.c", 1700000000, 3)])
    b'a.b 2.5 1700000000\\na.c 3 1700000000\\n'
    """
    return "".join(f"{name} {value:.10g} {when}\n" for name, when, value in rows).encode()


def pickled(rows: list[tuple[str, int, float]]) -> bytes:
    body = pickle.dumps([(name, (when, value)) for name, when, value in rows], protocol=2)
    return struct.pack("!L", len(body)) + body


ENCODERS = {"plaintext": plain, "pickle": pickled}


class Spool:
    """Batches that wait, `most` bytes of them; the oldest make room and are counted.

    >>> spool = Spool(10)
    >>> [spool.put(data) for data in (b"12345", b"1234", b"123", b"far too long")]
    [0, 0, 1, 1]
    >>> [data for data in spool.batches], spool.size
    ([b'1234', b'123'], 7)
    """

    def __init__(self, most: int):
        self.most, self.size, self.batches = most, 0, deque()

    def put(self, data: bytes) -> int:
        """How many batches were dropped for it, itself included."""
        if len(data) > self.most:
            return 1
        dropped = 0
        self.batches.append(data)
        self.size += len(data)
        while self.size > self.most:
            self.size -= len(self.batches.popleft())
            dropped += 1
        return dropped

    def pop(self) -> bytes:
        data = self.batches.popleft()
        self.size -= len(data)
        return data

    def back(self, data: bytes) -> None:
        """It was not taken whole: the next connection gets all of it, from its first byte."""
        self.batches.appendleft(data)
        self.size += len(data)


class Graphite(asyncio.Protocol):
    """One batch is under way at a time; it counts as sent when the last byte has left us.

    A batch that a reset cut is sent again whole: its points are the same, so they replace themselves, and no
    line is ever sent in part on a connection that goes on.
    """

    def __init__(self, service, to: str, most: int):
        self.service, self.to, self.spool = service, parse_address(to), Spool(most)
        self.state, self.transport, self.flight, self.timer = "down", None, None, None
        self.failures = self.dropped = self.batches = 0

    def step(self, what: str) -> bool:
        before, self.state = self.state, STATES.get((self.state, what), self.state)
        return before != self.state

    def start(self) -> None:
        if self.step("due"):
            self.task = self.service.loop.create_task(self.dial())

    async def dial(self) -> None:
        try:
            await self.service.loop.create_connection(lambda: self, *self.to)
        except OSError as error:
            self.lost(str(error))

    def connection_made(self, transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # heard of as soon as the last byte has left
        if self.step("connected"):
            self.failures = 0
            self.service.log_state("graphite", "up")
            self.push()
        else:
            transport.abort()

    def connection_lost(self, error) -> None:
        self.lost(str(error) if error else "closed")

    def lost(self, why: str, what: str = "lost") -> None:
        if not self.step(what):
            return
        if self.timer:
            self.timer.cancel()
        if self.flight is not None:
            self.spool.back(self.flight)
            self.flight = None
        if self.transport:
            self.transport.abort()
            self.transport = None
        if self.state != "stopped":
            self.service.log_state("graphite", "down", why)
            self.failures += 1
            self.service.clock.retry_later(self.failures + 3, self.start)  # it is no urgent peer

    def put(self, data: bytes) -> None:
        self.dropped += self.spool.put(data)
        self.push()

    def push(self) -> None:
        while self.state == "up" and self.flight is None and self.spool.batches:
            self.flight = self.spool.pop()
            self.transport.write(self.flight)
            if not self.transport.get_write_buffer_size():
                self.resume_writing()
            else:
                self.timer = self.service.clock.start_timeout(
                    STUCK, lambda: self.lost("reads nothing", "stuck")
                )

    def pause_writing(self) -> None:
        """The batch under way has not left whole."""

    def resume_writing(self) -> None:
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.flight is not None:
            self.flight, self.batches = None, self.batches + 1
            self.push()

    def data_received(self, data: bytes) -> None:
        """A receiver has nothing to say."""

    def stop(self) -> None:
        self.lost("stopped", "stop")
