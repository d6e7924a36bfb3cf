"""Periodically sends the metrics to Graphite and records them in the history."""

import time

from flintreach.pilot.interface import SECOND
from flintreach.telemetry.block import Block
from flintreach.telemetry.graphite import ENCODERS, GraphiteClient, metric_path
from flintreach.telemetry.history import SLOT_SECONDS, DiskHistory, Ring
from flintreach.telemetry.metrics import MetricsCollector


class Telemetry:
    """Sends snapshots of the metrics at multiples of the configured period.

    Args:
        service: The service to observe.
        block: The settings.
        now: Returns the time in nanoseconds since 1970.
    """

    def __init__(self, service, block: Block, now=time.time_ns):
        self.service = service
        self.block = block
        self.now = now
        self.metrics = MetricsCollector(service)
        self.graphite = GraphiteClient(service, block.graphite, block.spool) if block.graphite else None
        self.rings: dict[str, Ring] = {}
        self.disk = DiskHistory(block.history) if block.history else None
        self.is_writing = False  # whether a write to the disk is under way
        self.last_sent = 0  # in seconds
        self.tags = {"pilot": service.config.name or "pilot", **block.tags}
        service.gauge_sources.append(
            lambda: {"telemetry.dropped": self.graphite.dropped if self.graphite else 0}
        )

    async def start(self) -> None:
        """Connect to Graphite and schedule the first transmission."""
        if self.graphite:
            self.graphite.start()
        self.schedule_send()

    def schedule_send(self) -> None:
        """Schedule a transmission for the next multiple of the period; a stall skips those it covered."""
        every = self.block.every
        wait = every - self.now() % every
        self.service.clock.call_later(max(wait, SECOND // 100), self.send)

    def send(self) -> None:
        """Send and record a snapshot, timestamped with the nearest multiple of the period."""
        every = self.block.every
        when = (self.now() + every // 2) // every * every // SECOND
        if when == self.last_sent:  # a timer that fires slightly early would send the same second twice
            return self.schedule_send()
        self.last_sent = when
        values = self.metrics.snapshot()
        if self.graphite:
            prefix = self.block.prefix
            rows = [(metric_path(prefix, name, self.tags), when, value) for name, value in values.items()]
            for source in self.service.tagged_gauge_sources:
                rows += [
                    (metric_path(prefix, name, self.tags | tags), when, value)
                    for name, tags, value in source()
                ]
            self.graphite.put(ENCODERS[self.block.protocol](rows))
        for name, value in values.items():
            self.rings.setdefault(name, Ring()).put(when, value)
        if self.disk and not self.is_writing and when % SLOT_SECONDS < every // SECOND:
            # In a thread: a slow disk may lose points but must not block the event loop.
            self.is_writing = True
            self.service.loop.run_in_executor(None, self.write_history, when, values)
        self.schedule_send()

    def write_history(self, when: int, values: dict[str, float]) -> None:
        """Write the values to the disk, in a worker thread, and report the result to the event loop."""
        try:
            self.disk.write(when, values)
            state, reason = "written", ""
        except OSError as error:
            state, reason = "not written", str(error)
        self.service.loop.call_soon_threadsafe(self.finish_write, state, reason)

    def finish_write(self, state: str, reason: str) -> None:
        """Log the result of a write if it has changed, and allow the next one."""
        self.is_writing = False
        self.service.log_state("history", state, reason)

    def stop(self) -> None:
        """Close the connection to Graphite."""
        if self.graphite:
            self.graphite.stop()
