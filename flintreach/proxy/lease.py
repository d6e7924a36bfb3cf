"""Terms of leases on endpoints: until when a request may be sent, and by when it must arrive.

Pure: no clock, no I/O.  `view` applies these terms to each endpoint; `attempt` and `exchange` enforce them.

An endpoint's departure may have been acknowledged at any time after the endpoint was last known to be
present.  The bounds allow a request to arrive for a limited time after the acknowledgement; a request may be
sent during the first part of that time and has the rest to travel.  Correctness does not depend on timely
delivery of updates: an endpoint whose presence is not confirmed again in time is not used.

Times are nanoseconds of this process's monotonic clock.

Source: C. Gray, D. Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache
consistency", 1989; docs/design/leases.md.
"""

from dataclasses import dataclass

NS_PER_MS = 1_000_000

# Fraction of the bound during which a request may be sent after the last confirmation.
SEND_FRACTION = 0.5

# Fraction of the bound after which the connection is reset to discard bytes that have not arrived.
ARRIVAL_FRACTION = 0.9

# Departure time used when the time of the acknowledgement is unknown; any lease counted from it has expired.
UNKNOWN_DEPARTURE_NS = -(1 << 62)


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Durations of a lease, counted from the last confirmation that the endpoint was present.

    >>> LeaseTerms.from_bound_ms(3000)
    LeaseTerms(send_window_ns=1500000000, arrival_window_ns=2700000000)

    Attributes:
        send_window_ns: how long requests may be sent.
        arrival_window_ns: how long bytes of requests may arrive.
    """

    send_window_ns: int
    arrival_window_ns: int

    @classmethod
    def from_bound_ms(cls, bound_ms: float) -> "LeaseTerms":
        """Returns the terms that keep a bound of the settings.

        Args:
            bound_ms: how long after the acknowledgement a request may still arrive.
        """
        send_window_ns = int(SEND_FRACTION * bound_ms * NS_PER_MS)
        arrival_window_ns = int(ARRIVAL_FRACTION * bound_ms * NS_PER_MS)
        return cls(send_window_ns, arrival_window_ns)
