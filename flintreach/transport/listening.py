"""Start of listening sockets at addresses that may be in use, or not exist yet, for a while."""

import errno
import time
from collections.abc import Callable

import gevent

from flintreach.common.lifecycle import StartLog, StartStage

# After a restart, the previous process or its machine may still hold the address.
UNAVAILABLE_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)
TIMEOUT_S = 30.0
RETRY_INTERVAL_S = 0.1


def bind_when_available(bind: Callable[[], None], address: tuple[str, int]) -> None:
    """Call `bind` until the address is available.

    Args:
        bind: binds a socket, and listens on it.
        address: the address, for the log.

    Raises:
        OSError: the address was not available within `TIMEOUT_S`, or binding failed for another reason.
    """
    deadline = time.monotonic() + TIMEOUT_S
    log = StartLog()
    while True:
        try:
            bind()
            return
        except OSError as error:
            if error.errno not in UNAVAILABLE_ERRORS or time.monotonic() > deadline:
                raise
            log.enter(
                StartStage.WAITING_FOR_ADDRESS, address=f"{address[0]}:{address[1]}", error=error.strerror
            )
        gevent.sleep(RETRY_INTERVAL_S)
