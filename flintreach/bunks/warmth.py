"""Where the load of sharded services lies, from the sums that the bothies tell upward.  Pure."""

from flintreach.bunks.plan import Heat

FADE, FORGOTTEN = 0.9, 0.05  # what is left of a count after a second; below which it is dropped
FULL, EVERY = 0.6, 2  # part of an endpoint's berths from which it is busy; seconds between tellings to others


class Warmth:
    """`keys`: service -> bucket of keys -> requests of late; `busy`: ids of endpoints with little room."""

    def __init__(self):
        self.keys: dict[str, dict[int, float]] = {}
        self.busy: set[str] = set()
        self.heats: dict[str, Heat] = {}
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
            self.busy = {id for id, (full, count) in body["load"].items() if full >= FULL * count}
        self.turn += 1
        if self.turn % EVERY or not self.keys:
            return None
        rounded = {line: {bucket: round(count, 1) for bucket, count in counts.items()}
                   for line, counts in self.keys.items()}
        return {"keys": rounded, "busy": sorted(self.busy)}

    def hear(self, told: dict) -> None:
        """What the refuge that has the sums tells of them."""
        self.keys, self.busy, self.heats = told["keys"], set(told["busy"]), {}

    def of(self, line: str) -> tuple[Heat, set[str]]:
        if line not in self.heats:
            self.heats[line] = Heat(self.keys.get(line))
        return self.heats[line], self.busy
