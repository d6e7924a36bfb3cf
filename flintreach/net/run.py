"""Starts the event loop, the log and the service of one pilot, and ends them."""

import os
import select
import signal
import sys

import uvloop

from flintreach.net.clients import Clients
from flintreach.net.service import Service

# structlog imports rich, if installed, for a console that the pilot does not have: half of a start's CPU.
sys.modules.setdefault("rich", None)
import structlog  # noqa: E402


class LogSink:
    """Writes log lines to a file descriptor without ever blocking.

    A reader that hangs or a full disk must not stop the event loop; lines are lost then.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def write(self, text: str) -> None:
        """Write a line, or drop it where it can't be written at once."""
        try:
            if any(event & select.POLLOUT for _, event in self.poll.poll(0)):
                # A writable pipe takes at least this much without blocking.
                os.write(self.descriptor, text.encode()[: select.PIPE_BUF])
        except OSError:
            pass

    def flush(self) -> None:
        """Do nothing: lines are written at once."""


def make_logger(name: str):
    """Configure structlog for standard output, and make the logger of the named pilot."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.KeyValueRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=LogSink(sys.stdout.fileno())),
    )
    return structlog.get_logger(pilot=name)


def run(config, front=Clients, parts=()) -> int:
    """Run one pilot until a signal or a failure ends it.

    Args:
        config: the platform's configuration.
        front: makes the client side from the service.
        parts: each makes, from the service, something that starts and stops with it.

    Returns:
        The exit status of the process.
    """
    log = make_logger(config.name)
    loop = uvloop.new_event_loop()
    service = Service(config, loop, log, front)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, service.stop, 0)
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    parts = [part(service) for part in parts]
    try:
        loop.run_until_complete(service.start())
        for part in parts:
            loop.run_until_complete(part.start())
    except OSError as error:
        log.error("can't listen", error=str(error))
        return 1
    if not service.status:
        loop.run_forever()
    for part in parts:
        part.stop()
    service.clients.close()
    return service.status
