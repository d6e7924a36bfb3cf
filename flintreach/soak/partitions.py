"""Network partitions between the processes of a soak, set through a file read by `standins.faulty`."""

import os

import gevent

AddressPair = tuple[str, str]  # two machines' IP addresses


class Partitions:
    """The pairs of machines that are currently partitioned from each other.

    Attributes:
        path: the partitions file, with one pair per line.
        pairs: the partitioned pairs, with one entry per fault if faults overlap.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        self.pairs: list[AddressPair] = []
        self.write()

    def write(self) -> None:
        """Write the partitions file, replacing it atomically so that no process reads a partial file."""
        new_path = self.path + ".new"
        with open(new_path, "w", encoding="ascii") as file:
            file.writelines(f"{first} {second}\n" for first, second in self.pairs)
        os.replace(new_path, self.path)

    def isolate(self, pairs: list[AddressPair], duration_s: float) -> None:
        """Partition pairs of machines for `duration_s` seconds."""
        self.pairs += pairs
        self.write()
        gevent.sleep(duration_s)
        for pair in pairs:
            self.pairs.remove(pair)
        self.write()
