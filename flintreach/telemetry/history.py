"""The last hour of metrics, in memory and optionally on disk.

Missing points are recorded as missing and never as zero.
"""

import math
from array import array
from pathlib import Path

SLOT_SECONDS = 10
SLOT_COUNT = 360  # slots in an hour


class Ring:
    """Ring buffer of one metric over an hour; slots without a point are NaN.

    >>> ring = Ring()
    >>> ring.put(1000, 5.0), ring.put(1030, 7.0)
    (None, None)
    >>> ring.latest(1039, 5)
    [(990, nan), (1000, 5.0), (1010, nan), (1020, nan), (1030, 7.0)]
    """

    def __init__(self):
        self.values = array("d", [math.nan]) * SLOT_COUNT
        self.newest = 0  # number of the newest slot

    def put(self, time: int, value: float) -> None:
        """Enter a point; points older than an hour are ignored."""
        slot = time // SLOT_SECONDS
        if slot <= self.newest - SLOT_COUNT:
            return
        for skipped in range(max(self.newest + 1, slot - SLOT_COUNT + 1), slot):
            self.values[skipped % SLOT_COUNT] = math.nan
        self.values[slot % SLOT_COUNT] = value
        self.newest = max(self.newest, slot)

    def latest(self, now: int, count: int) -> list[tuple[int, float]]:
        """Return the time and value of the last `count` slots up to `now`."""
        points = []
        for slot in range(now // SLOT_SECONDS - count + 1, now // SLOT_SECONDS + 1):
            is_held = self.newest - SLOT_COUNT < slot <= self.newest
            points.append((slot * SLOT_SECONDS, self.values[slot % SLOT_COUNT] if is_held else math.nan))
        return points


class DiskHistory:
    """Stores each metric in a whisper file of fixed size, the format of Graphite's own storage.

    Args:
        directory: The directory for the files, which follow the components of the metrics' names.
    """

    def __init__(self, directory: str):
        self.directory = Path(directory)

    def file(self, name: str) -> Path:
        """Return the path of a metric's file."""
        return self.directory.joinpath(*name.split(".")).with_suffix(".wsp")

    def write(self, time: int, values: dict[str, float]) -> None:
        """Write the values of one time.

        Damaged files are created again: empty ones, as a full disk leaves them, before the write, and
        unreadable ones with the next write.

        Raises:
            OSError: the disk is full or not writable.
        """
        import whisper

        for name, value in values.items():
            file = self.file(name)
            if not file.exists() or not file.stat().st_size:
                file.parent.mkdir(parents=True, exist_ok=True)
                file.unlink(missing_ok=True)
                whisper.create(str(file), [(SLOT_SECONDS, SLOT_COUNT)], xFilesFactor=0.0)
            try:
                whisper.update(str(file), value, time, now=time)
            except whisper.WhisperException:
                file.unlink(missing_ok=True)

    def read(
        self, now: int, span: int = SLOT_SECONDS * SLOT_COUNT
    ) -> dict[str, list[tuple[int, float | None]]]:
        """Return each metric's points of the last `span` seconds, with None for missing points.

        Files that cannot be read are skipped.
        """
        import whisper

        points = {}
        for file in sorted(self.directory.rglob("*.wsp")):
            name = ".".join(file.relative_to(self.directory).with_suffix("").parts)
            try:
                (start, _, step), values = whisper.fetch(str(file), now - span, now, now=now)
            except (OSError, whisper.WhisperException, TypeError):
                continue
            points[name] = [(start + index * step, value) for index, value in enumerate(values)]
        return points


SPARK_LEVELS = "▁▂▃▄▅▆▇█"


def sparkline(values: list[float | None], width: int = 40) -> str:
    """Draw the last `width` values as bars, with blanks for missing values.

    >>> sparkline([0, 1, None, 4, 8], 5)
    '▁▁ ▄█'
    """
    values = values[-width:]
    known = [value for value in values if value is not None and value == value]
    low, high = min(known, default=0), max(known, default=0)
    scale = (len(SPARK_LEVELS) - 1) / (high - low) if high > low else 0
    return "".join(
        " " if value is None or value != value else SPARK_LEVELS[int((value - low) * scale)]
        for value in values
    )
