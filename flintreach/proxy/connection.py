"""Connections to one endpoint, and the pool that keeps idle ones for reuse.

`exchange` takes a connection from the pool for one request at a time, and puts it back.
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

# Idle timeout of a connection whose endpoint announces none.
IDLE_LIMIT_NS = 4 * NS_PER_S

# Subtracted from the timeout in an endpoint's `Keep-Alive` header, so that a request in transit still arrives
# before the endpoint closes the connection.
KEEP_ALIVE_MARGIN_NS = NS_PER_S

# Limits after which the kernel closes a connection to an unresponsive machine: with unacknowledged data
# (TCP_USER_TIMEOUT), and without any (keep-alive probes); see tcp(7).
USER_TIMEOUT_MS = 1200
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2

# How long to wait for a reset on a new connection: an endpoint at its connection limit resets it.
RESET_WAIT_S = 0.003


class Connection:
    """One connection to an endpoint.

    Attributes:
        sock: its socket, in blocking mode.
        idle_since: monotonic time, in nanoseconds, when it was put back into its pool.
        idle_limit_ns: its idle timeout.
    """

    __slots__ = ("sock", "idle_since", "idle_limit_ns")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.idle_since = 0
        self.idle_limit_ns = IDLE_LIMIT_NS

    def is_expired(self, now_ns: int) -> bool:
        """Whether its idle timeout has passed."""
        return now_ns - self.idle_since > self.idle_limit_ns

    def is_usable(self, now_ns: int) -> bool:
        """Whether it is open, has no unread data, and its idle timeout has not passed."""
        if self.is_expired(now_ns):
            return False
        try:
            self.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            return False  # closed, or data that no request is waiting for
        except BlockingIOError:
            return True
        except OSError:
            return False

    def unacknowledged_bytes(self) -> int:
        """Bytes that the peer has not acknowledged (SIOCOUTQ, see tcp(7)); 0 if the connection is closed."""
        count = array("i", [0])
        try:
            fcntl.ioctl(self.sock.fileno(), termios.TIOCOUTQ, count)
        except (OSError, ValueError):
            return 0
        return count[0]

    def reset(self) -> None:
        """Close it with a reset, so that unsent data is discarded and cannot arrive later."""
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        except OSError:
            pass
        self.sock.close()


class ConnectionPool:
    """Idle connections to one endpoint, reused in last-in, first-out order.

    Args:
        address: the endpoint's address, "host:port".
    """

    def __init__(self, address: str) -> None:
        self.address: tuple[str, int] = parse_address(address)
        self.idle: list[Connection] = []

    def connect(self, timeout_s: float) -> Connection:
        """Open a new connection.

        Raises:
            OSError: it could not be established within `timeout_s`.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(timeout_s)
            sock.connect(self.address)
        except BaseException:  # also when the waiting greenlet is killed
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
        """Remove and return a usable idle connection that is not in `excluded`; None if there is none."""
        now_ns = time.monotonic_ns()
        skipped = [connection for connection in self.idle if connection in excluded]
        if skipped:
            self.idle = [connection for connection in self.idle if connection not in excluded]
        try:
            while self.idle:
                connection = self.idle.pop()
                if connection.is_usable(now_ns):
                    return connection
                connection.reset()
            return None
        finally:
            self.idle += skipped

    def put(self, connection: Connection, response: Response, max_idle_ns: int) -> None:
        """Return a connection to the pool, or reset it if it may not stay idle.

        Args:
            connection: the connection that `response` was received on.
            response: its `Keep-Alive` header may announce how long the endpoint keeps the connection
                (RFC 2068, section 19.7.1).
            max_idle_ns: upper bound of the idle timeout.
        """
        connection.idle_since = time.monotonic_ns()
        connection.idle_limit_ns = min(IDLE_LIMIT_NS, max_idle_ns)
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
        """Close expired connections, as idle ones count towards the endpoint's connection limit."""
        expired = [connection for connection in self.idle if connection.is_expired(now_ns)]
        for connection in expired:
            self.idle.remove(connection)
            connection.reset()

    def close(self) -> None:
        """Close all idle connections."""
        while self.idle:
            self.idle.pop().reset()


def was_rejected(connection: Connection) -> bool:
    """Whether the endpoint closed a new connection at once, so that nothing was sent on it.

    If the waiting greenlet is killed, the connection is reset.
    """
    try:
        socket.wait_read(connection.sock.fileno(), timeout=RESET_WAIT_S)
    except (OSError, TimeoutError):
        return False
    except BaseException:
        connection.reset()
        raise
    return True  # data before any request is not a response either
