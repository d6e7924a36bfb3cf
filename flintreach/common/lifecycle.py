"""Log lines that tell how a program starts and why it ends, and exceptions that nothing handles.

An end by a signal that no handler has caught, SIGKILL above all, leaves no line: the platform knows it.
"""

import sys
import traceback
from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from types import TracebackType
from typing import Any

import gevent

from flintreach.common.log import log_event

EXIT_EXCEPTION = 1
MAX_LOGGED_FRAMES = 12  # of a traceback, innermost last


class StartStage(StrEnum):
    """How far a start has come; values of the field `stage` of the log line `start`."""

    SETTINGS_READ = "settings read"
    STORE_OPENED = "store opened"
    LISTENING = "listening to peers"
    PEERS_MET = "peers met"
    CONFIGURATION_RECEIVED = "configuration received"
    WAITING_FOR_ADDRESS = "waiting for an address"
    WAITING_FOR_STORE = "waiting for the store"
    WAITING_FOR_SETTINGS = "waiting for the settings"
    WAITING_FOR_DISKS = "waiting for disks"
    WAITING_FOR_VOTERS = "waiting for the voters"
    WAITING_FOR_QUORUM = "waiting for a quorum"
    WAITING_FOR_PEERS = "waiting for peers"
    WAITING_FOR_CONFIGURATION = "waiting for a configuration"
    WAITING_FOR_UPDATES = "waiting for fresh updates"


class StartLog:
    """Logs the stages of a start, each once in a row.

    Attributes:
        state: the fields that were logged last.
    """

    def __init__(self) -> None:
        self.state: dict[str, Any] = {}

    def enter(self, stage: StartStage, **reason: Any) -> None:
        """Log a stage and why the start stays in it, unless that was the latest line."""
        state = {"stage": stage.value, **reason}
        if state != self.state:
            self.state = state
            log_event("start", **state)


class UnhandledErrors:
    """Counts exceptions that end a greenlet or a callback, and logs some of each kind.

    Attributes:
        counts: number of exceptions by type and place.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def install(self) -> None:
        """Receive the exceptions that gevent would print."""
        gevent.get_hub().print_exception = self.record

    @property
    def total(self) -> int:
        """Number of all exceptions."""
        return self.counts.total()

    def record(
        self,
        context: Any,
        error_type: type[BaseException],
        error: BaseException,
        trace: TracebackType | None,
    ) -> None:
        """Count an exception; log the first, tenth, hundredth and so on of its kind.

        Args:
            context: what raised it, such as a greenlet or a handler.
            error_type: type of the exception.
            error: the exception.
            trace: its traceback, if there is one.
        """
        frames = traceback.extract_tb(trace)
        place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else "unknown place"
        kind = f"{error_type.__name__} at {place}"
        self.counts[kind] += 1
        if not is_power_of_ten(self.counts[kind]):
            return
        log_event(
            "unhandled_error",
            error=f"{error_type.__name__}: {error}",
            context=str(context),
            times=self.counts[kind],
            trace="".join(traceback.format_list(frames[-MAX_LOGGED_FRAMES:])),
        )


def is_power_of_ten(number: int) -> bool:
    """Whether a positive number is a power of ten.

    >>> [number for number in range(1, 1001) if is_power_of_ten(number)]
    [1, 10, 100, 1000]
    """
    return str(number).strip("0") == "1"


def run_to_end(program: Callable[[], int]) -> int:
    """Run a program, and log the exception that ends it, if one does.

    Returns:
        The exit status.
    """
    try:
        return program()
    except Exception as error:
        trace = "".join(traceback.format_exception(error, limit=-MAX_LOGGED_FRAMES))
        log_event("ended", error=f"{type(error).__name__}: {error}", trace=trace)
        sys.stdout.flush()
        return EXIT_EXCEPTION
