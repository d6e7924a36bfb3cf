"""Every size, count and time of the transport, filled once at the start and handed down."""

from dataclasses import dataclass

from flintreach.pilot.interface import SECOND

MS = SECOND // 1000


@dataclass(frozen=True, slots=True)
class Limits:
    max_collectors: int = 256  # connections to us at once that have named a zone
    max_strangers: int = (
        64  # and that have not; as many again may wait for a sign of life before it can be given
    )
    listen_backlog: int = 1024  # connections that the system holds until we take them in
    max_line_bytes: int = 1 << 20  # bytes of a client's line, and of a line of news
    max_stranger_line_bytes: int = 4096  # and before a zone is named
    max_stranger_age: int = 3 * SECOND // 2  # a stranger's age, whatever it says
    line_timeout: int = 4 * SECOND  # for the rest of a collector's line
    max_unread_bytes: int = 64 << 10  # bytes that a client may leave unread
    max_body_bytes: int = 8 << 20  # bytes of an answer
    max_buffered_bytes: int = 48 << 20  # bytes that the buffers of all clients may take
    slow_turn_threshold: int = 250 * MS  # of the loop, from which it is worth a log line
    max_pending_events: int = 20_000  # gathered in one turn; then clients are not read until it is over
    max_events_per_turn: int = 1500  # of them handed over in one turn; the rest waits for the next
    rare_gc_slices: int = 1000  # slices, from which full collections are made rare
    max_lines_per_read: int = 500  # lines of one client that are read in a turn of the loop
    max_reported_tries: int = 1_000_000  # the most that one report may count
    max_report_span: int = 600 * SECOND  # and its longest time
    max_load: float = 1e6  # the largest figure of a load report
    max_call_bytes: int = 60_000  # of orders in one call
    call_timeout: int = 150 * MS  # for a call's answer, which comes within 50 ms or never
    dial_timeout: int = 400 * MS
    timeout_grace: int = 20 * MS  # to read what came during a stall, before a time limit counts
    initial_retry_delay: int = 20 * MS  # first pause after a failure; doubles to the longest
    max_retry_delay: int = 640 * MS
    slice_settle_time: int = 100 * MS  # of quiet after which all lines of a slice have come
    feed_silence_timeout: int = 2500 * MS  # without a sign of life, news count as dead
    watch_duration: int = 2 * SECOND  # that discovery may hold a call
    watch_timeout_margin: int = 500 * MS  # over that, the call is given up
    probe_timeout: int = SECOND
    max_concurrent_probes: int = 64  # at once: many servers of a lost zone are asked together
    max_datagram_bytes: int = 256
    ready_timeout: int = 2 * SECOND  # for discovery, before a sign of life is given without it

    @classmethod
    def of(cls, told: dict) -> "Limits":
        """By what is allowed: a quarter of the descriptors for collectors, and one for strangers;
        a quarter of the memory for what clients have sent in part, a sixteenth for an answer.

        >>> Limits.of({"sockets": 100, "memory_mb": 64}).max_collectors
        25
        """
        sockets, memory = int(told.get("sockets", 1024)), int(told.get("memory_mb", 192)) << 20
        part = min(64, sockets // 8)
        return cls(
            max_collectors=min(256, sockets // 4),
            max_strangers=part,
            max_concurrent_probes=sockets // 8,
            max_buffered_bytes=memory // 4,
            max_body_bytes=min(8 << 20, memory // 16),
        )
