"""Sizes, counts and times of the transport, set once at the start."""

from dataclasses import dataclass

from flintreach.pilot.interface import SECOND

MS = SECOND // 1000


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the transport; times are nanoseconds."""

    # Clients.
    max_collectors: int = 256  # connections of clients that have named a zone
    # Connections of those that have not.  As many again may wait for the answer to a probe.
    max_strangers: int = 64
    listen_backlog: int = 1024  # connections that the system holds until they are accepted
    max_line_bytes: int = 1 << 20  # of a client, and of the relay's feed
    max_stranger_line_bytes: int = 4096  # of a client that has not named a zone
    max_stranger_age: int = 3 * SECOND // 2  # for such a client, whatever it sends
    line_timeout: int = 4 * SECOND  # for the rest of a collector's incomplete line
    max_unread_bytes: int = 64 << 10  # that a client may leave unread
    max_buffered_bytes: int = 48 << 20  # memory of all clients' buffers together
    max_lines_per_read: int = 500  # of one client in one turn of the event loop

    # Reports.
    max_reported_tries: int = 1_000_000  # in one report
    max_report_span: int = 600 * SECOND
    max_load: float = 1e6  # of a figure in a load report

    # Turns of the decision logic.
    slow_turn_threshold: int = 250 * MS  # from which a turn is counted as slow
    max_pending_events: int = 20_000  # from which clients are not read until a turn has made room
    max_events_per_turn: int = 1500  # the rest waits for the next turn
    rare_gc_slices: int = 1000  # slices from which full garbage collections are made rare

    # Calls to discovery, the relay and servers.
    max_body_bytes: int = 8 << 20  # of an answer
    dial_timeout: int = 400 * MS
    max_call_bytes: int = 60_000  # of the orders in one call
    call_timeout: int = 150 * MS  # the relay answers within 50 ms or never
    timeout_grace: int = 20 * MS  # to read what came during a stall, before a timeout counts
    initial_retry_delay: int = 20 * MS  # doubles with each failure
    max_retry_delay: int = 640 * MS
    slice_settle_time: int = 100 * MS  # without data, after which all lines of a slice have come
    feed_silence_timeout: int = 2500 * MS  # without a heartbeat, after which the feed is lost
    watch_duration: int = 2 * SECOND  # for which discovery may hold a call
    watch_timeout_margin: int = 500 * MS  # beyond that, until the call is given up
    probe_timeout: int = SECOND
    max_concurrent_probes: int = 64  # all servers of a lost zone are probed together
    ready_timeout: int = 2 * SECOND  # for discovery's list, before the pilot is ready without it

    # Other pilots.
    max_datagram_bytes: int = 256

    @classmethod
    def of(cls, allowed: dict) -> "Limits":
        """Derive limits from the descriptors and the memory that the platform allows.

        Collectors get a quarter of the descriptors, and one for strangers and those that wait for an answer
        to a probe.  Buffers of clients get a quarter of the memory, and an answer a sixteenth.

        >>> Limits.of({"sockets": 100, "memory_mb": 64}).max_collectors
        25

        Args:
            allowed: `sockets` and `memory_mb`.
        """
        sockets = int(allowed.get("sockets", 1024))
        memory = int(allowed.get("memory_mb", 192)) << 20
        return cls(
            max_collectors=min(256, sockets // 4),
            max_strangers=min(64, sockets // 8),
            max_concurrent_probes=sockets // 8,
            max_buffered_bytes=memory // 4,
            max_body_bytes=min(8 << 20, memory // 16),
        )
