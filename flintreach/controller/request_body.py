"""Reading of the bodies of calls to a controller, within bounds on length, time and memory."""

from typing import Any

import gevent

from flintreach.common.memory_budget import MemoryBudget, Reservation

BYTES_PER_MB = 1 << 20
BODY_TIMEOUT_S = 5.0

# Memory that long configurations in calls may take, as a share of the limit.
CONFIGURATION_SHARE = 0.35

# A configuration is held this many times while it is stored: read, decoded, and in messages to other voters.
PUT_COPIES = 8
# Likewise while it is read back: in messages of other voters, and in the response.
GET_COPIES = 4

# Shorter configurations reserve no memory.
MAX_SHORT_CONFIGURATION_BYTES = 64 << 10

# How long a call waits for memory; callers time out after one second.
MEMORY_TIMEOUT_S = 0.4


class BodyTooLarge(Exception):
    """The request body exceeds the limit of its call; the rest of it is left unread."""


class BodyIncomplete(Exception):
    """The request body is shorter than its Content-Length, malformed, or was not received in time."""


class NoMemory(Exception):
    """Other calls have taken the memory for configurations."""


def configuration_memory(limit_mb: float) -> MemoryBudget:
    """The budget for long configurations in calls of a process with a memory limit in MB; 0 for no limit."""
    return MemoryBudget(int(limit_mb * CONFIGURATION_SHARE * BYTES_PER_MB))


def announced_bytes(environ: dict[str, Any], max_bytes: int) -> int:
    """The length in bytes that a request announces for its body; at most, or without one, `max_bytes`."""
    if environ["wsgi.input"].chunked_input:
        return max_bytes
    content_length = environ.get("CONTENT_LENGTH") or "0"
    return min(int(content_length), max_bytes) if content_length.isdigit() else max_bytes


def reserve(reservation: Reservation, configuration_bytes: int, copies: int) -> None:
    """Reserve memory for a configuration that is held several times.

    Raises:
        NoMemory: it was not available in time.
    """
    if configuration_bytes <= MAX_SHORT_CONFIGURATION_BYTES:
        return
    if not reservation.grow_to(copies * configuration_bytes, MEMORY_TIMEOUT_S):
        raise NoMemory


def read_body(environ: dict[str, Any], max_bytes: int) -> bytes:
    """Read a request body.

    Raises:
        BodyTooLarge: the Content-Length or the bytes read so far exceed `max_bytes`.
        BodyIncomplete: the body ended early, its chunked encoding is malformed, or it took too long.
    """
    content_length = environ.get("CONTENT_LENGTH") or "0"
    if content_length.isdigit() and int(content_length) > max_bytes:
        raise BodyTooLarge
    try:
        with gevent.Timeout(BODY_TIMEOUT_S):
            body = environ["wsgi.input"].read(max_bytes + 1)
    except OSError as error:
        raise BodyIncomplete(str(error)) from error
    except gevent.Timeout:
        raise BodyIncomplete("not received in time") from None
    if len(body) > max_bytes:
        raise BodyTooLarge
    return body


class ReservedBody(list[bytes]):
    """A response body for which memory is reserved until it has been sent.

    Args:
        body: the body.
        reservation: the memory.
    """

    def __init__(self, body: bytes, reservation: Reservation) -> None:
        super().__init__([body])
        self.reservation = reservation

    def close(self) -> None:
        """Give the memory back; called by the server (PEP 3333)."""
        self.reservation.release()
