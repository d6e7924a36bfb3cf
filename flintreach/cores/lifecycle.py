"""The life cycle of a child process, and the assignment of client connections to workers.

Does no input or output.
"""

from collections.abc import Collection
from typing import Any

# (state, input) to (next state, effect).  A pair that is absent changes nothing and has no effect.
TRANSITIONS: dict[tuple[str, str], tuple[str, str | None]] = {
    ("not started", "start"): ("starting", "spawn"),
    ("starting", "greeted"): ("serving", "activate"),
    ("starting", "silent"): ("terminating", "kill"),
    ("starting", "torn"): ("terminating", "kill"),
    ("serving", "silent"): ("terminating", "kill"),
    ("serving", "torn"): ("terminating", "kill"),
    ("starting", "ended"): ("backing off", "back_off"),
    ("serving", "ended"): ("backing off", "back_off"),
    ("terminating", "ended"): ("backing off", "back_off"),
    ("backing off", "due"): ("starting", "spawn"),
    ("starting", "stop"): ("stopped", "kill"),
    ("serving", "stop"): ("stopped", "close"),
    ("terminating", "stop"): ("stopped", "kill"),
    ("backing off", "stop"): ("stopped", None),
    ("not started", "stop"): ("stopped", None),
}
MAX_BACKOFF_DOUBLINGS = 30  # bounds the shift; the longest back-off is reached long before


class Lifecycle:
    """State machine of one child process, with exponential back-off between restarts.

    All times are in nanoseconds.

    Attributes:
        state: a state of `TRANSITIONS`.
        failures: consecutive exits that count for the back-off.
        serving_since: when the process began to serve, or None while it does not.
    """

    def __init__(self, first_backoff: int, longest_backoff: int, stable_after: int) -> None:
        """Create the life cycle of a process that is not started.

        Args:
            first_backoff: the delay before the first restart; it doubles with each further failure.
            longest_backoff: the upper limit of the delay.
            stable_after: time of service after which earlier failures no longer count.
        """
        self.state = "not started"
        self.failures = 0
        self.serving_since: int | None = None
        self.first_backoff = first_backoff
        self.longest_backoff = longest_backoff
        self.stable_after = stable_after

    def step(self, event: str, now: int) -> str | None:
        """Apply an input and return the effect that the caller must carry out, if any."""
        state, effect = TRANSITIONS.get((self.state, event), (self.state, None))
        if event == "greeted" and state != self.state:
            self.serving_since = now
        if effect == "back_off":
            # A process that crashes repeatedly must not take processor time from those that serve.
            stable = self.serving_since is not None and now - self.serving_since >= self.stable_after
            self.failures = 1 if stable else self.failures + 1
            self.serving_since = None
        self.state = state
        return effect

    def backoff(self) -> int:
        """Return the delay before the next restart.

        >>> lifecycle = Lifecycle(100, 1000, 5000)
        >>> [lifecycle.backoff() for lifecycle.failures in (1, 2, 3, 4, 5, 60)]
        [100, 200, 400, 800, 1000, 1000]
        """
        return min(self.longest_backoff, self.first_backoff << min(self.failures - 1, MAX_BACKOFF_DOUBLINGS))


class ConnectionOwners:
    """Assigns each connection to one worker: the one that has the fewest.

    >>> owners = ConnectionOwners()
    >>> owners.add_worker("a"), owners.add_worker("b"), [owners.assign(n) for n in range(5)]
    (None, None, ['a', 'b', 'a', 'b', 'a'])
    >>> owners.remove_worker("a"), owners.assign(5)
    ([0, 2, 4], 'b')
    >>> owners.add_worker("a"), [owners.assign(n) for n in range(6, 9)]
    (None, ['a', 'a', 'a'])
    """

    def __init__(self) -> None:
        self.connections: dict[Any, dict[int, None]] = {}
        self.owner: dict[int, Any] = {}

    def add_worker(self, worker: Any) -> None:
        """Make a worker available for connections."""
        self.connections[worker] = {}

    def remove_worker(self, worker: Any) -> list[int]:
        """Remove a worker and return the numbers of the connections that it owned."""
        closed = [*self.connections.pop(worker, ())]
        for number in closed:
            del self.owner[number]
        return closed

    def assign(self, number: int, excluded: Collection = ()) -> Any:
        """Assign a connection to the worker with the fewest, and return that worker.

        Args:
            number: the connection.
            excluded: workers that must not get it.

        Returns:
            The new owner, or None if no worker is available.
        """
        available = [worker for worker in self.connections if worker not in excluded]
        if not available:
            return None
        worker = min(available, key=lambda worker: len(self.connections[worker]))
        self.connections[worker][number] = None
        self.owner[number] = worker
        return worker

    def release(self, worker: Any, number: int) -> bool:
        """Forget a closed connection, and return whether it belonged to this worker.

        A worker's report about a connection that it does not own is ignored.
        """
        if self.owner.get(number) is not worker:
            return False
        del self.owner[number]
        del self.connections[worker][number]
        return True
