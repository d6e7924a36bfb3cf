"""Connections to one endpoint, and one exchange on one of them.

An exchange tells what is known of whether the request has run, and no more: a request that was written may
have run, whatever happened to its answer.
"""

import errno
import time
from collections.abc import Callable

import gevent
from gevent import socket

from flintreach.proxy.reply import HTTPParseError, Message, Replies, number
from flintreach.rope.link import RESET
from flintreach.waymark.settings import place

ANSWERED, UNSENT, NOT_RUN, BROKEN, TIMEOUT = "answered", "unsent", "not run", "broken", "timeout"
IDLE = 4_000_000_000  # ns that a connection may lie idle when the endpoint tells nothing
MUTE_MS = 1200  # without a sign from the machine's kernel for so long, a connection is dead
REFUSED = (400, 408, 421, 429, 503)  # statuses with which X-Not-Delivered is believed
SURPLUS, MOST = 8, 64 << 20  # whole messages that are not ours, and bytes, that are read for one answer
LOOK_S = 0.003  # seconds for which a fresh connection is looked at: an endpoint that has too many resets it


class Outcome:
    """`dark`: its machine says nothing.  `full`: it takes no further connection at present."""

    __slots__ = ("kind", "message", "dark", "full")

    def __init__(self, kind, message=None, dark=False, full=False):
        self.kind, self.message, self.dark, self.full = kind, message, dark, full


class Connection:
    """One connection to an endpoint."""

    __slots__ = ("sock", "idle_at", "keep")

    def __init__(self, sock):
        self.sock, self.idle_at, self.keep = sock, 0, IDLE

    def usable(self, now: int) -> bool:
        """Nobody has closed it, nothing lies on it unread, and it has not been idle for too long."""
        if now - self.idle_at > self.keep:
            return False
        try:
            self.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            return False  # closed, or bytes that belong to no request
        except BlockingIOError:
            return True
        except OSError:
            return False

    def drop(self) -> None:
        """End it at once: what still waits to be sent must not arrive later."""
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        except OSError:
            pass
        self.sock.close()


class ConnectionPool:
    """Idle connections to one endpoint; the one used last is used first."""

    def __init__(self, addr: str):
        self.address, self.idle = place(addr), []

    def connect(self, timeout: float) -> Connection:
        sock = socket.create_connection(self.address, timeout=timeout)
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, MUTE_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
        return Connection(sock)

    def take(self, but=()) -> Connection | None:
        """An idle connection that is well, none of `but`; None where there is none."""
        now, aside = time.monotonic_ns(), [connection for connection in self.idle if connection in but]
        self.idle = [connection for connection in self.idle if connection not in but] if aside else self.idle
        try:
            while self.idle:
                connection = self.idle.pop()
                if connection.usable(now):
                    return connection
                connection.drop()
            return None
        finally:
            self.idle += aside

    def put(self, connection: Connection, message, most: int) -> None:
        """Keep a connection for later, `most` nanoseconds at the longest."""
        told = message.get("keep-alive") or ""
        connection.idle_at, connection.keep = time.monotonic_ns(), min(IDLE, most)
        for part in told.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and (seconds := number(value)) is not None:
                connection.keep = min(connection.keep, max(0, seconds * 1_000_000_000 - 1_000_000_000))
        if connection.keep > 0:
            self.idle.append(connection)
        else:
            connection.drop()

    def prune(self, now: int) -> None:
        """End connections that have lain idle too long: they count against what their endpoint accepts."""
        for connection in [
            connection for connection in self.idle if now - connection.idle_at > connection.keep
        ]:
            self.idle.remove(connection)
            connection.drop()

    def close(self) -> None:
        while self.idle:
            self.idle.pop().drop()


def turned_away(connection: Connection) -> bool:
    """Whether a fresh connection was ended at once: then nothing was sent on it, and nothing has run."""
    try:
        socket.wait_read(connection.sock.fileno(), timeout=LOOK_S)
    except (OSError, TimeoutError):
        return False
    return True  # bytes before any request are no answer either


def verdict(message: Message) -> str:
    """What an answer to a request tells of it.

    Only a refusal is a promise that it has not run: a busy status without one may come after the work, and
    passed on it would be a promise of ours.  A success without its stamp, or in a coding that nobody asked
    for, is not the endpoint's body.
    """
    status, coding = message.status, (message.get("content-encoding") or "identity").lower()
    refusal = message.get("x-not-delivered") is not None
    if status == 421 or refusal and status in REFUSED:
        return NOT_RUN
    if refusal or status in (408, 429, 503) or not 200 <= status <= 599:
        return BROKEN
    if status < 300 and message.get("x-postmark") is None:
        return BROKEN
    if coding != "identity" or (message.get("transfer-encoding") or "chunked").lower() != "chunked":
        return BROKEN
    return ANSWERED


def exchange(
    pool: ConnectionPool,
    head: bytes,
    body: bytes,
    id: str,
    until: int,
    connect_s: float,
    most: int = IDLE,
    still=lambda: True,
    used: list | None = None,
    sent: Callable[[], None] = lambda: None,
) -> Outcome:
    """Send one request; `until`: steady nanoseconds at which nobody waits for the answer any more; `most`:
    nanoseconds for which its connection may lie idle afterwards; `still()`: whether it may be sent there;
    `used`: connections that this request went out on before, to which its own is added; `sent()`: called
    when the kernel has taken all of it."""
    # The id tells answers apart, so none goes twice on one connection, and one without an id goes alone.
    used = [] if used is None else used
    connection = pool.take(used) if id else None
    if connection is None:
        left = (until - time.monotonic_ns()) / 1e9
        if left <= 0:
            return Outcome(UNSENT)
        try:
            connection = pool.connect(min(connect_s, left))
        except OSError as error:
            return Outcome(UNSENT, dark=error.errno not in (errno.ECONNREFUSED, errno.ECONNRESET))
        if turned_away(connection):
            connection.drop()
            return Outcome(UNSENT, full=True)
    if not still():
        # While the connection came up, news came: the endpoint leaves, or its zone is emptied.
        connection.drop()
        return Outcome(UNSENT)
    used.append(connection)
    replies, size, keep = Replies(head.startswith(b"HEAD ")), 0, False
    try:
        with gevent.Timeout(max(0.0, (until - time.monotonic_ns()) / 1e9)):
            connection.sock.sendall(head + body)
            sent()
            while True:
                data = connection.sock.recv(65536)
                if not data:
                    break
                try:
                    replies.feed(data)
                except HTTPParseError:
                    pass  # what was whole before the garbage counts
                # An old answer may stand in the place of ours: the id tells.
                found = next((message for message in replies.whole if message.answers(id)), None)
                if found is not None:
                    kind = verdict(found)
                    lone = len(replies.whole) == 1 and not replies.surplus and not replies.parser_failed()
                    keep = found.keep and lone and replies.framed and kind != BROKEN and id != ""
                    return Outcome(kind, found)
                size += len(data)
                if replies.parser_failed() or len(replies.whole) > SURPLUS or size > MOST:
                    break
            return Outcome(BROKEN)
    except gevent.Timeout:
        return Outcome(TIMEOUT)
    except OSError as error:
        return Outcome(BROKEN, dark=error.errno in (errno.ETIMEDOUT, errno.EHOSTUNREACH))
    finally:
        if keep:
            pool.put(connection, found, most)
        else:
            connection.drop()
