"""Leases on what a proxy knows of endpoints: until when a request goes out, by when it arrives.  Pure.

An endpoint's departure may have been acknowledged at any moment after the last one at which it was surely
present.  The rules allow a request to arrive for so long after the acknowledgement; so a request may go out
for the first part of that time, and has the rest of it for its way.  No message need be quick for this to
hold: what is not confirmed again in time is not used (C. Gray, D. Cheriton, "Leases: an efficient
fault-tolerant mechanism for distributed file cache consistency", 1989).

Times are nanoseconds of the steady clock of this process.
"""

from dataclasses import dataclass

MS = 1_000_000
SEND_PART = 0.5  # of what the rules allow, for which a request may go out after the last confirmation
ARRIVE_PART = 0.9  # of it, after which bytes that have not arrived are taken back
UNKNOWN = -(1 << 62)  # a departure of which nobody knows when it was acknowledged: long ago


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Durations after a confirmation: requests go out for `send_for`, and arrive within `arrive_for`.

    >>> LeaseTerms.of(3000)
    LeaseTerms(send_for=1500000000, arrive_for=2700000000)
    """

    send_for: int
    arrive_for: int

    @classmethod
    def of(cls, bound_ms: float) -> "LeaseTerms":
        """Terms that keep a bound of the settings, in milliseconds."""
        return cls(int(SEND_PART * bound_ms * MS), int(ARRIVE_PART * bound_ms * MS))
