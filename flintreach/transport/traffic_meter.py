"""Traffic and fault counters of the connections of one process.  Pure: no I/O."""

from dataclasses import dataclass

REPLY_SUFFIX = " reply"  # appended to the kind of a request to name its responses
FAULT_PREFIX = "fault: "


@dataclass(slots=True)
class KindTraffic:
    """Messages and bytes of one kind of message, by direction."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0


class TrafficMeter:
    """Counters since the start of the process.

    Attributes:
        kinds: traffic by kind of message; responses are listed under the kind of the request and
            REPLY_SUFFIX.
        faults: number of faults by name.
    """

    def __init__(self) -> None:
        """Create a meter with all counters at zero."""
        self.kinds: dict[str, KindTraffic] = {}
        self.faults: dict[str, int] = {}

    def count_sent(self, kind: str, size: int) -> None:
        """Count a message of `size` bytes queued for a peer."""
        traffic = self.kinds.get(kind)
        if traffic is None:
            traffic = self.kinds[kind] = KindTraffic()
        traffic.sent_messages += 1
        traffic.sent_bytes += size

    def count_received(self, kind: str, size: int) -> None:
        """Count a message of `size` bytes received from a peer."""
        traffic = self.kinds.get(kind)
        if traffic is None:
            traffic = self.kinds[kind] = KindTraffic()
        traffic.received_messages += 1
        traffic.received_bytes += size

    def count_fault(self, name: str) -> None:
        """Count a fault."""
        self.faults[name] = self.faults.get(name, 0) + 1

    def rows(self) -> list[dict[str, str | int]]:
        """Return one row per kind in descending order of bytes, then one per fault.

        The row of a fault has its count in the field of received messages.  Operator commands print the keys
        of the rows, which are fixed for compatibility with earlier releases.
        """
        busiest_first = sorted(
            self.kinds.items(), key=lambda item: -(item[1].sent_bytes + item[1].received_bytes)
        )
        rows: list[dict[str, str | int]] = [
            {
                "kind": kind,
                "out": traffic.sent_messages,
                "out_bytes": traffic.sent_bytes,
                "in": traffic.received_messages,
                "in_bytes": traffic.received_bytes,
            }
            for kind, traffic in busiest_first
        ]
        for name, count in sorted(self.faults.items()):
            rows.append(
                {"kind": f"{FAULT_PREFIX}{name}", "out": 0, "out_bytes": 0, "in": count, "in_bytes": 0}
            )
        return rows
