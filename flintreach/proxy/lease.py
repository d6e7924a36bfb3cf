"""Leases on what a proxy knows of endpoints: until when a request may be sent, by when it must arrive.

Pure: no clock, no I/O.  `view` applies these terms to each endpoint, `attempt` and `exchange` enforce them.

An endpoint's departure may have been acknowledged at any moment after the last one at which the endpoint was
surely present.  The rules allow a request to arrive for a bounded time after the acknowledgement; so a
request may be sent during the first part of that time, and has the rest of it to travel.  No message need be
fast for this to hold: knowledge that is not confirmed again in time is not used.

Times are nanoseconds of this process's steady clock.

Source: C. Gray, D. Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache
consistency", 1989; docs/design/leases.md.
"""

from dataclasses import dataclass

NS_PER_MS = 1_000_000

# Part of the allowed time during which a request may be sent after the last confirmation.
SEND_FRACTION = 0.5

# Part of the allowed time after which bytes that have not arrived are taken back.
ARRIVAL_FRACTION = 0.9

# Stands for a departure whose acknowledgement nobody can date: so long ago that any lease on it is over.
UNKNOWN_DEPARTURE_NS = -(1 << 62)


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Durations, counted from the last confirmation, that bind the requests sent on its strength.

    >>> LeaseTerms.from_bound_ms(3000)
    LeaseTerms(send_window_ns=1500000000, arrival_window_ns=2700000000)

    Attributes:
        send_window_ns: for how long requests may be sent.
        arrival_window_ns: for how long their bytes may arrive.
    """

    send_window_ns: int
    arrival_window_ns: int

    @classmethod
    def from_bound_ms(cls, bound_ms: float) -> "LeaseTerms":
        """Terms that keep a bound of the settings.

        Args:
            bound_ms: for how long the rules allow a request to arrive after the acknowledgement.
        """
        send_window_ns = int(SEND_FRACTION * bound_ms * NS_PER_MS)
        arrival_window_ns = int(ARRIVAL_FRACTION * bound_ms * NS_PER_MS)
        return cls(send_window_ns, arrival_window_ns)
