"""Large answers under way at once: on a thin link all else waits behind them.

No more bytes are asked for than the link brings in DEPTH; who comes later waits in turn, and is sent away
with a time to come back where that would take up too much of its aim.  Pure, but for the `wake` it is given.
"""

from collections import deque
from collections.abc import Callable

DEPTH, WAIT = 0.5, 0.5  # seconds of the link; part of a route's aim that may be waited for a turn
LARGE, FIRST = 16384, 65536  # bytes from which an answer is large; what one is taken for before any was seen
SMOOTH = 8


class Gate:
    def __init__(self, mbps: float):
        self.room = mbps * 1e6 / 8 * DEPTH  # bytes; 0: the settings tell no link
        self.under, self.queue = 0, deque()  # bytes under way; (bytes, wake) of those that wait
        self.sizes: dict[str, int] = {}  # route -> usual size of its answers

    def size(self, route: str, bulky: bool) -> int:
        """Bytes that an answer is expected to have, 0 where it needs no turn; `bulky`: by its kind."""
        usual = self.sizes.get(route, FIRST if bulky else 0)
        return usual if self.room and usual >= LARGE else 0

    def saw(self, route: str, size: int) -> None:
        held = self.sizes.get(route, size)
        self.sizes[route] = held + (size - held) // SMOOTH

    def fits(self, size: int) -> bool:
        return not self.under or self.under + size <= self.room

    def enter(self, size: int, wake: Callable[[], None]) -> bool:
        """Whether it may go on at once; else it stands in the queue, and `wake` is called when it may."""
        if not self.queue and self.fits(size):
            self.under += size
            return True
        self.queue.append((size, wake))
        return False

    def give_up(self, wake: Callable[[], None]) -> bool:
        """It waits no longer.  False where its turn has come meanwhile: then it must leave."""
        kept = deque(row for row in self.queue if row[1] is not wake)
        gone = len(kept) < len(self.queue)
        self.queue = kept
        return gone

    def leave(self, size: int) -> None:
        self.under -= size
        while self.queue and self.fits(self.queue[0][0]):
            size, wake = self.queue.popleft()
            self.under += size
            wake()
