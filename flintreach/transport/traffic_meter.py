"""Counts of what goes over the connections of one process, and of what went wrong.  Pure: no I/O."""

from dataclasses import dataclass

REPLY_SUFFIX = " reply"  # behind the kind of a question, its answers' kind
FAULT_PREFIX = "fault: "


@dataclass(slots=True)
class KindTraffic:
    """Messages and bytes of one kind, in either direction."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0


class TrafficMeter:
    """Counters since the start of the process.

    Attributes:
        kinds: traffic by kind of message; an answer counts under the kind of its question and REPLY_SUFFIX.
        faults: how often something went wrong, by what it was.
    """

    def __init__(self) -> None:
        """Begin with nothing counted."""
        self.kinds: dict[str, KindTraffic] = {}
        self.faults: dict[str, int] = {}

    def sent(self, kind: str, size: int) -> None:
        """Count a message of `size` bytes that was queued for a peer."""
        traffic = self.kinds.get(kind)
        if traffic is None:
            traffic = self.kinds[kind] = KindTraffic()
        traffic.sent_messages += 1
        traffic.sent_bytes += size

    def received(self, kind: str, size: int) -> None:
        """Count a message of `size` bytes that a peer sent."""
        traffic = self.kinds.get(kind)
        if traffic is None:
            traffic = self.kinds[kind] = KindTraffic()
        traffic.received_messages += 1
        traffic.received_bytes += size

    def fault(self, name: str) -> None:
        """Count something that went wrong."""
        self.faults[name] = self.faults.get(name, 0) + 1

    def rows(self) -> list[dict[str, str | int]]:
        """Give one row a kind, the most bytes first, then one a fault with its number as messages in.

        The keys of a row are what operators' commands print, as earlier releases named them.
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
