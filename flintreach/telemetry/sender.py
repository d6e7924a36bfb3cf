"""On whole seconds, what has been measured goes to Graphite and into the history."""

import time

from flintreach.pilot.interface import SECOND
from flintreach.telemetry.block import Block
from flintreach.telemetry.graphite import ENCODERS, Graphite, path
from flintreach.telemetry.history import STEP, Disk, Ring
from flintreach.telemetry.metrics import MetricsCollector


class Telemetry:
    def __init__(self, service, block: Block, now=time.time_ns):
        self.service, self.block, self.now = service, block, now
        self.measures = MetricsCollector(service)
        self.graphite = Graphite(service, block.graphite, block.spool) if block.graphite else None
        self.rings: dict[str, Ring] = {}
        self.disk = Disk(block.history) if block.history else None
        self.writing, self.told = False, 0  # told: the last whole second
        self.tags = {"pilot": service.config.name or "pilot", **block.tags}
        service.gauge_sources.append(
            lambda: {"telemetry.dropped": self.graphite.dropped if self.graphite else 0}
        )

    async def start(self) -> None:
        if self.graphite:
            self.graphite.start()
        self.next()

    def next(self) -> None:
        """The next whole second; a stall skips what it covered, and sends nothing twice."""
        every = self.block.every
        wait = every - self.now() % every
        self.service.clock.call_later(max(wait, SECOND // 100), self.send)

    def send(self) -> None:
        when = (self.now() + self.block.every // 2) // self.block.every * self.block.every // SECOND
        if when == self.told:  # a timer fires early, and the next would tell the same second again
            return self.next()
        self.told, values = when, self.measures.snapshot()
        if self.graphite:
            rows = [(path(self.block.prefix, name, self.tags), when, value) for name, value in values.items()]
            for source in self.service.tagged_gauge_sources:
                rows += [
                    (path(self.block.prefix, name, self.tags | tags), when, value)
                    for name, tags, value in source()
                ]
            self.graphite.put(ENCODERS[self.block.protocol](rows))
        for name, value in values.items():
            self.rings.setdefault(name, Ring()).put(when, value)
        if self.disk and not self.writing and when % STEP < self.block.every // SECOND:
            self.writing = True  # a slow disk costs points, and no turn
            self.service.loop.run_in_executor(None, self.write, when, values)
        self.next()

    def write(self, when: int, values: dict[str, float]) -> None:
        try:
            self.disk.put(when, values)
            state, why = "written", ""
        except OSError as error:
            state, why = "not written", str(error)
        self.service.loop.call_soon_threadsafe(self.written, state, why)

    def written(self, state: str, why: str) -> None:
        self.writing = False
        self.service.log_state("history", state, why)

    def stop(self) -> None:
        if self.graphite:
            self.graphite.stop()
