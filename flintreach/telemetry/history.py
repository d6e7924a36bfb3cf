"""The last hour: in memory always, on disk where a directory is given.  A gap is a gap, and no zero."""

import math
from array import array
from pathlib import Path

STEP, SLOTS = 10, 360  # seconds of a slot; slots of an hour


class Ring:
    """One figure over an hour; slots that were not written are NaN.

    >>> ring = Ring()
    >>> ring.put(1000, 5.0), ring.put(1030, 7.0)
    (None, None)
    >>> ring.last(1039, 5)
    [(990, nan), (1000, 5.0), (1010, nan), (1020, nan), (1030, 7.0)]
    """

    def __init__(self):
        self.values = array("d", [math.nan]) * SLOTS
        self.newest = 0  # number of the newest slot

    def put(self, when: int, value: float) -> None:
        slot = when // STEP
        if slot <= self.newest - SLOTS:
            return
        for gap in range(max(self.newest + 1, slot - SLOTS + 1), slot):
            self.values[gap % SLOTS] = math.nan
        self.values[slot % SLOTS] = value
        self.newest = max(self.newest, slot)

    def last(self, now: int, count: int) -> list[tuple[int, float]]:
        found = []
        for slot in range(now // STEP - count + 1, now // STEP + 1):
            held = self.newest - SLOTS < slot <= self.newest
            found.append((slot * STEP, self.values[slot % SLOTS] if held else math.nan))
        return found


class Disk:
    """One file a figure, of a fixed size, by the time-series library of Graphite's own store."""

    def __init__(self, folder: str):
        self.folder = Path(folder)

    def file(self, name: str) -> Path:
        return self.folder.joinpath(*name.split(".")).with_suffix(".wsp")

    def put(self, when: int, values: dict[str, float]) -> None:
        """Raises OSError where the disk is full, or not ours to write."""
        import whisper

        for name, value in values.items():
            file = self.file(name)
            if not file.exists() or not file.stat().st_size:  # a file cut off by a full disk is made anew
                file.parent.mkdir(parents=True, exist_ok=True)
                file.unlink(missing_ok=True)
                whisper.create(str(file), [(STEP, SLOTS)], xFilesFactor=0.0)
            try:
                whisper.update(str(file), value, when, now=when)
            except whisper.WhisperException:
                file.unlink(missing_ok=True)  # torn; the next round makes it anew

    def read(self, now: int, span: int = STEP * SLOTS) -> dict[str, list[tuple[int, float | None]]]:
        """Each figure's points, None where there is a gap."""
        import whisper

        found = {}
        for file in sorted(self.folder.rglob("*.wsp")):
            name = ".".join(file.relative_to(self.folder).with_suffix("").parts)
            try:
                (start, _, step), values = whisper.fetch(str(file), now - span, now, now=now)
            except (OSError, whisper.WhisperException, TypeError):
                continue
            found[name] = [(start + place * step, value) for place, value in enumerate(values)]
        return found


BARS = "▁▂▃▄▅▆▇█"


def spark(values: list[float | None], width: int = 40) -> str:
    """
    >>> spark([0, 1, None, 4, 8], 5)
    '▁▁ ▄█'
    """
    values = values[-width:]
    known = [value for value in values if value is not None and value == value]
    low, high = min(known, default=0), max(known, default=0)
    part = (len(BARS) - 1) / (high - low) if high > low else 0
    return "".join(
        " " if value is None or value != value else BARS[int((value - low) * part)] for value in values
    )
