"""Every size, count and time of the transport, filled once at the start and handed down."""

from dataclasses import dataclass

from flintreach.pilot.interface import SECOND

MS = SECOND // 1000


@dataclass(frozen=True, slots=True)
class Limits:
    collectors: int = 256  # connections to us at once that have named a zone
    strangers: int = 64  # and that have not; as many again may wait for a sign of life before it can be given
    backlog: int = 1024  # connections that the system holds until we take them in
    line: int = 1 << 20  # bytes of a client's line, and of a line of news
    stranger_line: int = 4096  # and before a zone is named
    stranger_time: int = 3 * SECOND // 2  # a stranger's age, whatever it says
    line_time: int = 4 * SECOND  # for the rest of a collector's line
    unread: int = 64 << 10  # bytes that a client may leave unread
    body: int = 8 << 20  # bytes of an answer
    held: int = 48 << 20  # bytes that the buffers of all clients may take
    slow_turn: int = 250 * MS  # of the loop, from which it is worth a log line
    events: int = 20_000  # gathered in one turn; then clients are not read until it is over
    turn: int = 1500  # of them handed over in one turn; the rest waits for the next
    many: int = 1000  # slices, from which full collections are made rare
    portion: int = 500  # lines of one client that are read in a turn of the loop
    tries: int = 1_000_000  # the most that one report may count
    span: int = 600 * SECOND  # and its longest time
    load: float = 1e6  # the largest figure of a load report
    call_bytes: int = 60_000  # of orders in one call
    call_wait: int = 150 * MS  # for a call's answer, which comes within 50 ms or never
    dial_wait: int = 400 * MS
    grace: int = 20 * MS  # to read what came during a stall, before a time limit counts
    retry_first: int = 20 * MS  # first pause after a failure; doubles to the longest
    retry_longest: int = 640 * MS
    settle: int = 100 * MS  # of quiet after which all lines of a slice have come
    silence: int = 2500 * MS  # without a sign of life, news count as dead
    watch: int = 2 * SECOND  # that discovery may hold a call
    watch_late: int = 500 * MS  # over that, the call is given up
    probe_wait: int = SECOND
    probes: int = 64  # at once: many servers of a lost zone are asked together
    datagram: int = 256
    ready_wait: int = 2 * SECOND  # for discovery, before a sign of life is given without it

    @classmethod
    def of(cls, told: dict) -> "Limits":
        """By what is allowed: a quarter of the descriptors for collectors, and one for strangers;
        a quarter of the memory for what clients have sent in part, a sixteenth for an answer.

        >>> Limits.of({"sockets": 100, "memory_mb": 64}).collectors
        25
        """
        sockets, memory = int(told.get("sockets", 1024)), int(told.get("memory_mb", 192)) << 20
        part = min(64, sockets // 8)
        return cls(
            collectors=min(256, sockets // 4),
            strangers=part,
            probes=sockets // 8,
            held=memory // 4,
            body=min(8 << 20, memory // 16),
        )
