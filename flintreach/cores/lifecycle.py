"""The life of a worker, and who owns which connection.  Pure."""

# State, input, next state, effect.  A pair that is not here changes nothing.
LIFE = {
    ("absent", "start"): ("starting", "spawn"),
    ("starting", "greeted"): ("serving", "open"),
    ("starting", "silent"): ("ending", "kill"),
    ("starting", "torn"): ("ending", "kill"),
    ("serving", "silent"): ("ending", "kill"),
    ("serving", "torn"): ("ending", "kill"),
    ("starting", "ended"): ("held off", "pause"),
    ("serving", "ended"): ("held off", "pause"),
    ("ending", "ended"): ("held off", "pause"),
    ("held off", "due"): ("starting", "spawn"),
    ("starting", "stop"): ("stopped", "kill"),
    ("serving", "stop"): ("stopped", "close"),
    ("ending", "stop"): ("stopped", "kill"),
    ("held off", "stop"): ("stopped", None),
    ("absent", "stop"): ("stopped", None),
}


class Life:
    """One worker's state; `step` gives the effect, `pause` how long it is held off."""

    def __init__(self, first: int, longest: int, steady: int):
        self.state, self.failures, self.served = "absent", 0, None
        self.first, self.longest, self.steady = first, longest, steady

    def step(self, what: str, now: int) -> str | None:
        state, effect = LIFE.get((self.state, what), (self.state, None))
        if what == "greeted" and state != self.state:
            self.served = now
        if effect == "pause":
            # One that dies again and again must not take the core from those that serve.
            lasted = self.served is not None and now - self.served >= self.steady
            self.failures, self.served = 1 if lasted else self.failures + 1, None
        self.state = state
        return effect

    def pause(self) -> int:
        """
        >>> life = Life(100, 1000, 5000)
        >>> [life.pause() for life.failures in (1, 2, 3, 4, 5, 60)]
        [100, 200, 400, 800, 1000, 1000]
        """
        return min(self.longest, self.first << min(self.failures - 1, 30))


class Owners:
    """Each connection has one owner; the worker with the fewest gets the next.

    >>> owners = Owners()
    >>> owners.open("a"), owners.open("b"), [owners.give(n) for n in range(5)]
    (None, None, ['a', 'b', 'a', 'b', 'a'])
    >>> owners.close("a"), owners.give(5), owners.open("a"), [owners.give(n) for n in range(6, 9)]
    ([0, 2, 4], 'b', None, ['a', 'a', 'a'])
    """

    def __init__(self):
        self.held: dict[object, dict[int, None]] = {}
        self.owner: dict[int, object] = {}

    def open(self, worker) -> None:
        self.held[worker] = {}

    def close(self, worker) -> list[int]:
        """The connections that end with it."""
        gone = [*self.held.pop(worker, ())]
        for number in gone:
            del self.owner[number]
        return gone

    def give(self, number: int, but: tuple = ()):
        """Who gets it; None where nobody can."""
        able = [worker for worker in self.held if worker not in but]
        if not able:
            return None
        worker = min(able, key=lambda worker: len(self.held[worker]))
        self.held[worker][number] = None
        self.owner[number] = worker
        return worker

    def left(self, worker, number: int) -> bool:
        """Whether it was this worker's: the word of one about another's connection counts for nothing."""
        if self.owner.get(number) is not worker:
            return False
        del self.owner[number], self.held[worker][number]
        return True
