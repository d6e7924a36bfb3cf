"""What the operator sets of several cores: the block `cores`."""

from dataclasses import dataclass

from flintreach.pilot.operator_file import boolean, duration, integer, number

DECIDES_MB, WORKER_MB = 32, 32  # resident at the least, of the deciding process and of each other
DECIDES, EACH = 48, 6  # descriptors beside connections, of the deciding process and for each other


@dataclass(frozen=True, slots=True)
class Block:
    """Times are whole nanoseconds."""

    workers: int = integer(0, 0, 64)  # processes that take connections; 0: the one process does all
    search: bool = boolean(True)  # the swap search in a process of its own
    share: float = number(0.2, 0.01, 1.0)  # of the deciding core, for reading what all workers bring
    wait: int = duration("200ms", "0ms", "1s")  # the longest that an ordinary sum waits for the deciding core
    rows: int = integer(2000, 100, 10_000)  # in one record of a worker
    sign: int = duration("50ms", "10ms", "1s")  # between signs of life, both ways
    stale: int = duration("400ms", "50ms", "10s")  # without the deciding process's, none is given outside
    hang: int = duration("2s", "200ms", "60s")  # without one from a worker, it is replaced
    pause_first: int = duration("100ms", "10ms", "10s")  # before a worker that ended is started again
    pause_longest: int = duration("10s", "100ms", "10m")  # it doubles with each end up to this
    steady: int = duration("30s", "1s", "1h")  # of service, after which a worker's earlier ends are forgotten

    def __post_init__(self) -> None:
        for small, large in (("sign", "stale"), ("sign", "hang"), ("pause_first", "pause_longest")):
            if getattr(self, small) > getattr(self, large):
                raise ValueError(f"{small}: expected no more than {large}")

    @property
    def processes(self) -> int:
        """Beside the deciding one."""
        return self.workers + (self.search and self.workers > 0)

    def check_limits(self, limits: dict) -> str | None:
        """Why the platform's limits, which all processes share, do not hold them; None where they do.

        >>> Block(workers=3).check_limits({"memory_mb": 64, "sockets": 1024})
        'workers: 5 processes want 160 MB and 72 descriptors, of 64 and 1024 allowed'
        >>> Block(workers=3).check_limits({"memory_mb": 192, "sockets": 256})
        >>> Block().check_limits({"memory_mb": 16})
        """
        memory, sockets = limits.get("memory_mb", 192), limits.get("sockets", 1024)
        wanted = DECIDES_MB + WORKER_MB * self.processes, DECIDES + EACH * self.processes
        if not self.workers or wanted[0] <= memory and wanted[1] <= sockets // 2:
            return None
        return (
            f"workers: {1 + self.processes} processes want {wanted[0]} MB and {wanted[1]} descriptors, "
            f"of {memory} and {sockets} allowed"
        )
