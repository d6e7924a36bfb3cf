"""The block `cores` of the operator's file: settings of a pilot on several cores."""

from dataclasses import dataclass
from typing import Any

from flintreach.pilot.operator_file import boolean, duration, integer, number

# The least resident memory of the pilot process, and of each child process.
PILOT_MB, CHILD_MB = 32, 32
# File descriptors beside those of connections, of the pilot process and for each child process.
PILOT_DESCRIPTORS, CHILD_DESCRIPTORS = 48, 6
DEFAULT_MEMORY_MB, DEFAULT_SOCKETS = 192, 1024  # where the platform gives no limits


@dataclass(frozen=True, slots=True)
class Block:
    """Settings of the worker processes and the search process; times are in nanoseconds."""

    workers: int = integer(0, 0, 64)  # processes that serve connections; 0: a single process does everything
    search: bool = boolean(True)  # whether placement searches run in a process of their own
    share: float = number(0.2, 0.01, 1.0)  # of the pilot process's time, for the reports of all workers
    wait: int = duration("200ms", "0ms", "1s")  # the longest wait of a worker between two ordinary records
    rows: int = integer(2000, 100, 10_000)  # maximum in one record of a worker
    sign: int = duration("50ms", "10ms", "1s")  # interval of heartbeats, in both directions
    stale: int = duration("400ms", "50ms", "10s")  # without a pilot heartbeat, probes are no longer answered
    hang: int = duration("2s", "200ms", "60s")  # without a message from it, a worker is replaced
    pause_first: int = duration("100ms", "10ms", "10s")  # before a process that exited is restarted
    pause_longest: int = duration("10s", "100ms", "10m")  # the pause doubles with each exit up to this
    steady: int = duration("30s", "1s", "1h")  # of service, after which earlier exits are forgotten

    def __post_init__(self) -> None:
        for small, large in (("sign", "stale"), ("sign", "hang"), ("pause_first", "pause_longest")):
            if getattr(self, small) > getattr(self, large):
                raise ValueError(f"{small}: expected no more than {large}")

    @property
    def child_processes(self) -> int:
        """Number of processes beside the pilot process."""
        return self.workers + (self.search and self.workers > 0)

    def check_limits(self, limits: dict[str, Any]) -> str | None:
        """Check that all processes fit into the platform's limits, which they share.

        Returns:
            The reason why they do not fit, or None.

        >>> Block(workers=3).check_limits({"memory_mb": 64, "sockets": 1024})
        'workers: 5 processes need 160 MB and 72 descriptors; the limits are 64 MB and 1024 sockets'
        >>> Block(workers=3).check_limits({"memory_mb": 192, "sockets": 256})
        >>> Block().check_limits({"memory_mb": 16})
        """
        memory_limit = limits.get("memory_mb", DEFAULT_MEMORY_MB)
        socket_limit = limits.get("sockets", DEFAULT_SOCKETS)
        memory = PILOT_MB + CHILD_MB * self.child_processes
        descriptors = PILOT_DESCRIPTORS + CHILD_DESCRIPTORS * self.child_processes
        # Half of the descriptors stay free for connections.
        if not self.workers or (memory <= memory_limit and descriptors <= socket_limit // 2):
            return None
        return (
            f"workers: {1 + self.child_processes} processes need {memory} MB and {descriptors} descriptors; "
            f"the limits are {memory_limit} MB and {socket_limit} sockets"
        )
