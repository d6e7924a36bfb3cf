"""Where the load of sharded services lies, from the sums that the proxies tell upward.  Pure."""

from flintreach.sharding.range_assignment import LoadDistribution

FADE, FORGOTTEN = 0.9, 0.05  # what is left of a count after a second; below which it is dropped
FULL, EVERY = 0.6, 2  # part of an endpoint's berths from which it is busy; seconds between tellings to others
SLOW = 0.3  # of a second's told load, in the smoothed one


class KeyLoad:
    """`keys`: service -> bucket of keys -> requests of late; `full`: endpoint -> told load over berths;
    `bytes`: service -> bytes of answers a second."""

    def __init__(self):
        self.keys: dict[str, dict[int, float]] = {}
        self.full: dict[str, float] = {}
        self.bytes: dict[str, float] = {}
        self.heats: dict[str, LoadDistribution] = {}
        self.turn = 0

    def take(self, body: dict | None) -> dict | None:
        """A second's sums; now and then what other refuges are to hear."""
        self.heats = {}
        for counts in self.keys.values():
            for bucket in [*counts]:
                counts[bucket] *= FADE
                if counts[bucket] < FORGOTTEN:
                    del counts[bucket]
        if body:
            for line, told in body["keys"].items():
                counts = self.keys.setdefault(line, {})
                for bucket, count in told.items():
                    counts[bucket] = counts.get(bucket, 0.0) + count
            for line, size in body["bytes"].items():
                self.bytes[line] = (1 - SLOW) * self.bytes.get(line, size) + SLOW * size
            told = {id: full / count for id, (full, count) in body["load"].items()}
            self.full = {id: (1 - SLOW) * self.full.get(id, full) + SLOW * full for id, full in told.items()}
        self.turn += 1
        if self.turn % EVERY or not self.keys:
            return None
        rounded = {
            line: {bucket: round(count, 1) for bucket, count in counts.items()}
            for line, counts in self.keys.items()
        }
        return {
            "keys": rounded,
            "full": {id: round(full, 2) for id, full in self.full.items()},
            "bytes": {line: int(size) for line, size in self.bytes.items()},
        }

    def hear(self, told: dict) -> None:
        """What the refuge that has the sums tells of them."""
        self.keys, self.full, self.bytes, self.heats = told["keys"], told["full"], told["bytes"], {}

    def of(self, line: str) -> tuple[LoadDistribution, set[str]]:
        if line not in self.heats:
            self.heats[line] = LoadDistribution(self.keys.get(line))
        return self.heats[line], {id for id, full in self.full.items() if full >= FULL}

    def at_work(self, berths: dict[str, float]) -> float | None:
        """Berths at work at some endpoints; None where none of them told of its load."""
        told = [self.full[id] * count for id, count in berths.items() if id in self.full]
        return sum(told) * len(berths) / len(told) if told else None
