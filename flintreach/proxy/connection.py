"""Connections to one endpoint: how they come up, lie idle, are used again and end."""

import fcntl
import termios
import time
from array import array

from gevent import socket

from flintreach.config.settings import parse_address
from flintreach.proxy.reply import number
from flintreach.transport.peer_connection import RESET

IDLE = 4_000_000_000  # ns that a connection may lie idle when the endpoint tells nothing
MUTE_MS = 1200  # without a sign from the machine's kernel for so long, a connection is dead
LOOK_S = 0.003  # seconds for which a fresh connection is looked at: an endpoint that has too many resets it


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

    def unacknowledged(self) -> int:
        """Bytes that the peer's machine has not acknowledged yet (SIOCOUTQ, see tcp(7)); 0 once it ended."""
        waiting = array("i", [0])
        try:
            fcntl.ioctl(self.sock.fileno(), termios.TIOCOUTQ, waiting)
        except (OSError, ValueError):
            return 0
        return waiting[0]

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
        self.address, self.idle = parse_address(addr), []

    def connect(self, timeout: float) -> Connection:
        """A fresh connection.  Raises OSError where none comes up within `timeout` seconds."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.settimeout(timeout)
            sock.connect(self.address)
        except BaseException:  # also where the one that waits for it is ended
            sock.close()
            raise
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
    except BaseException:
        connection.drop()
        raise
    return True  # bytes before any request are no answer either
