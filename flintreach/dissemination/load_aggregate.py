"""What proxies tell upward, summed up at each relay: requests by slice and endpoints' told load.  Pure."""


class LoadAggregate:
    """`came`: slice -> requests; `keys`: sharded service -> bucket of keys -> requests;
    `bytes`: sharded service -> bytes of answers; `load`: endpoint -> [sum of told loads over berths, their
    number]."""

    def __init__(self):
        self.came: dict[str, int] = {}
        self.keys: dict[str, dict[int, int]] = {}
        self.bytes: dict[str, int] = {}
        self.load: dict[str, list[float]] = {}

    def request(self, slice: str) -> None:
        self.came[slice] = self.came.get(slice, 0) + 1

    def key(self, line: str, bucket: int, count: int = 1) -> None:
        held = self.keys.setdefault(line, {})
        held[bucket] = held.get(bucket, 0) + count

    def answer(self, line: str, size: int) -> None:
        self.bytes[line] = self.bytes.get(line, 0) + size

    def told(self, id: str, full: float) -> None:
        held = self.load.setdefault(id, [0.0, 0])
        held[0] += full
        held[1] += 1

    def add(self, body: dict) -> None:
        for slice, count in body["came"].items():
            self.came[slice] = self.came.get(slice, 0) + count
        for line, buckets in body["keys"].items():
            for bucket, count in buckets.items():
                self.key(line, bucket, count)
        for line, size in body["bytes"].items():
            self.answer(line, size)
        for id, (full, count) in body["load"].items():
            held = self.load.setdefault(id, [0.0, 0])
            held[0] += full
            held[1] += count

    def take(self) -> dict | None:
        """What has come since it was last taken; None if nothing has."""
        if not self.came and not self.load:
            return None
        load = {id: [round(full, 2), count] for id, (full, count) in self.load.items()}
        body = {"came": self.came, "keys": self.keys, "bytes": self.bytes, "load": load}
        self.came, self.keys, self.bytes, self.load = {}, {}, {}, {}
        return body
