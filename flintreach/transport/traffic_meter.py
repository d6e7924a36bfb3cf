"""What goes over the links of one process: messages and bytes by kind, and what went wrong.  Pure."""


class TrafficMeter:
    """`kinds`: kind of message -> [messages out, bytes out, messages in, bytes in], an answer under the kind
    of its question with " reply" behind it; `faults`: what went wrong -> how often."""

    def __init__(self):
        self.kinds: dict[str, list[int]] = {}
        self.faults: dict[str, int] = {}

    def went(self, kind: str, size: int) -> None:
        row = self.kinds.setdefault(kind, [0, 0, 0, 0])
        row[0] += 1
        row[1] += size

    def came(self, kind: str, size: int) -> None:
        row = self.kinds.setdefault(kind, [0, 0, 0, 0])
        row[2] += 1
        row[3] += size

    def fault(self, name: str) -> None:
        self.faults[name] = self.faults.get(name, 0) + 1

    def rows(self) -> list[dict]:
        """One row a kind, the most bytes first, then one a fault with its number as messages in."""
        names = "kind", "out", "out_bytes", "in", "in_bytes"
        held = sorted(self.kinds.items(), key=lambda item: -item[1][1] - item[1][3])
        rows = [dict(zip(names, (kind, *row))) for kind, row in held]
        return rows + [
            dict(zip(names, (f"fault: {name}", 0, 0, count, 0)))
            for name, count in sorted(self.faults.items())
        ]
