"""Starts the loop, the log and the service of one pilot, and ends them."""

import os
import select
import signal
import sys

import uvloop

from flintreach.net.clients import Clients
from flintreach.net.service import Service

# structlog loads rich for a console that we do not have, if it is there: half of the CPU of a start.
sys.modules.setdefault("rich", None)
import structlog  # noqa: E402


class Sink:
    """Where log lines go.  A reader that hangs or a full disk must not stop the loop: lines are lost then."""

    def __init__(self, number: int):
        self.number, self.poll = number, select.poll()
        self.poll.register(number, select.POLLOUT)

    def write(self, text: str) -> None:
        try:
            if any(event & select.POLLOUT for _, event in self.poll.poll(0)):
                os.write(self.number, text.encode()[: select.PIPE_BUF])  # a pipe takes so much at once
        except OSError:
            pass

    def flush(self) -> None:
        pass


def logger(name: str):
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.KeyValueRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=Sink(sys.stdout.fileno())),
    )
    return structlog.get_logger(pilot=name)


def run(config, front=Clients, parts=()) -> int:
    """Until a signal ends it; `front(service)` is what takes the connections to us, each of `parts(service)`
    starts and stops with it."""
    log, loop = logger(config.name), uvloop.new_event_loop()
    service = Service(config, loop, log, front)
    for sign in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sign, service.stop, 0)
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
