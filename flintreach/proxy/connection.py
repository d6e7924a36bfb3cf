"""Connections to one endpoint: how they are set up, lie idle, are reused and end.

`exchange` takes them from a pool for one request each, and puts them back.
"""

import fcntl
import termios
import time
from array import array
from collections.abc import Collection

from gevent import socket

from flintreach.config.settings import parse_address
from flintreach.proxy.response import Response, parse_count
from flintreach.transport.peer_connection import RESET

NS_PER_S = 1_000_000_000

# How long a connection may lie idle when the endpoint tells nothing.
IDLE_LIMIT_NS = 4 * NS_PER_S

# Taken off the time that an endpoint tells in `Keep-Alive`, for a request that is on its way meanwhile.
KEEP_ALIVE_MARGIN_NS = NS_PER_S

# Without a sign from the endpoint's machine for so long, a connection is dead: while data are unacknowledged
# (TCP_USER_TIMEOUT), and while there are none (keep-alive probes; see tcp(7)).
USER_TIMEOUT_MS = 1200
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2

# For so long a fresh connection is looked at: an endpoint that has too many of them resets it.
RESET_LOOK_S = 0.003


class Connection:
    """One connection to an endpoint.

    Attributes:
        sock: its socket, in blocking mode.
        idle_since: steady clock, in nanoseconds, when it was put back into its pool.
        idle_limit_ns: how long it may lie idle.
    """

    __slots__ = ("sock", "idle_since", "idle_limit_ns")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.idle_since = 0
        self.idle_limit_ns = IDLE_LIMIT_NS

    def is_expired(self, now_ns: int) -> bool:
        """Whether it has been idle for too long."""
        return now_ns - self.idle_since > self.idle_limit_ns

    def is_usable(self, now_ns: int) -> bool:
        """Whether nobody has closed it, nothing lies on it unread, and it has not been idle for too long."""
        if self.is_expired(now_ns):
            return False
        try:
            self.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            return False  # closed, or bytes that belong to no request
        except BlockingIOError:
            return True
        except OSError:
            return False

    def unacknowledged_bytes(self) -> int:
        """Bytes that the peer's machine has not acknowledged yet (SIOCOUTQ, see tcp(7)); 0 once it ended."""
        count = array("i", [0])
        try:
            fcntl.ioctl(self.sock.fileno(), termios.TIOCOUTQ, count)
        except (OSError, ValueError):
            return 0
        return count[0]

    def reset(self) -> None:
        """End it at once: what still waits to be sent must not arrive later."""
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        except OSError:
            pass
        self.sock.close()


class ConnectionPool:
    """Idle connections to one endpoint; the one used last is used first.

    Args:
        address: the endpoint's, "host:port".
    """

    def __init__(self, address: str) -> None:
        self.address: tuple[str, int] = parse_address(address)
        self.idle: list[Connection] = []

    def connect(self, timeout_s: float) -> Connection:
        """A fresh connection.

        Raises:
            OSError: none came up within `timeout_s`.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(timeout_s)
            sock.connect(self.address)
        except BaseException:  # also where the greenlet that waits for it is ended
            sock.close()
            raise
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
        return Connection(sock)

    def take(self, excluded: Collection[Connection] = ()) -> Connection | None:
        """An idle connection that can be used, none of `excluded`; None where there is none."""
        now_ns = time.monotonic_ns()
        set_aside = [connection for connection in self.idle if connection in excluded]
        if set_aside:
            self.idle = [connection for connection in self.idle if connection not in excluded]
        try:
            while self.idle:
                connection = self.idle.pop()
                if connection.is_usable(now_ns):
                    return connection
                connection.reset()
            return None
        finally:
            self.idle += set_aside

    def put(self, connection: Connection, response: Response, longest_ns: int) -> None:
        """Keep a connection for later.

        Args:
            connection: it has just brought `response`.
            response: its `Keep-Alive` header may tell how long the endpoint keeps the connection
                (RFC 2068, section 19.7.1).
            longest_ns: how long it may lie idle at most.
        """
        connection.idle_since = time.monotonic_ns()
        connection.idle_limit_ns = min(IDLE_LIMIT_NS, longest_ns)
        for parameter in (response.get("keep-alive") or "").split(","):
            name, _, value = parameter.strip().partition("=")
            if name.lower() != "timeout":
                continue
            timeout_s = parse_count(value)
            if timeout_s is not None:
                kept_ns = max(0, timeout_s * NS_PER_S - KEEP_ALIVE_MARGIN_NS)
                connection.idle_limit_ns = min(connection.idle_limit_ns, kept_ns)
        if connection.idle_limit_ns > 0:
            self.idle.append(connection)
        else:
            connection.reset()

    def prune(self, now_ns: int) -> None:
        """End connections that have lain idle too long: they count against what their endpoint accepts."""
        expired = [connection for connection in self.idle if connection.is_expired(now_ns)]
        for connection in expired:
            self.idle.remove(connection)
            connection.reset()

    def close(self) -> None:
        """End all idle connections."""
        while self.idle:
            self.idle.pop().reset()


def was_rejected(connection: Connection) -> bool:
    """Whether a fresh connection was ended at once: then nothing was sent on it, and nothing has run.

    Where the waiting greenlet is ended, the connection is too.
    """
    try:
        socket.wait_read(connection.sock.fileno(), timeout=RESET_LOOK_S)
    except (OSError, TimeoutError):
        return False
    except BaseException:
        connection.reset()
        raise
    return True  # bytes before any request are no response either
