"""Network partitions between the processes of a soak, by the file that `flintreach.standins.faulty` reads."""

import os

import gevent

AddressPair = tuple[str, str]  # two machines' IP addresses


class Partitions:
    """The pairs of machines that are cut off from each other now.

    Attributes:
        path: the file that names them, one pair a line.
        pairs: as often as faults that overlap have cut them.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        self.pairs: list[AddressPair] = []
        self.write()

    def write(self) -> None:
        """Write the file; it is replaced whole, so no process reads half of it."""
        new_path = self.path + ".new"
        with open(new_path, "w", encoding="ascii") as file:
            file.writelines(f"{first} {second}\n" for first, second in self.pairs)
        os.replace(new_path, self.path)

    def isolate(self, pairs: list[AddressPair], duration_s: float) -> None:
        """Cut pairs off from each other, and heal the partition after `duration_s` seconds."""
        self.pairs += pairs
        self.write()
        gevent.sleep(duration_s)
        for pair in pairs:
            self.pairs.remove(pair)
        self.write()
