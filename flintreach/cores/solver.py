"""The search process: it runs the placement searches that the pilot process offloads.

The search is `flintreach.policy.search.Search`, the same that the pilot runs where nothing is offloaded.
"""

import asyncio
import os
import pickle
import socket
import sys
import time
from typing import TYPE_CHECKING

from flintreach.cores.link import ENDED, Link
from flintreach.cores.worker import create_child_loop

if TYPE_CHECKING:
    from flintreach.policy.search import Search

TIME_SLICE_S = 0.02  # of search, after which the event loop runs


class Solver:
    """Runs one search at a time.

    Messages are pickled, since both processes run the same program.  The pilot process sends
    `(number, search)`; the answer is `(number, best, counter)`.  A heartbeat is `None`.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.task: asyncio.Task | None = None
        self.link = Link(pickle.loads, self.on_message, self.on_end, pickle.dumps)

    def on_message(self, message: "tuple[int, Search]") -> None:
        """Start a search; a request for another one cancels that which is running."""
        if self.task:
            self.task.cancel()
        self.task = self.loop.create_task(self.solve(*message))

    async def solve(self, number: int, search: "Search") -> None:
        """Run a search and send its result, with pauses for heartbeats and for a newer request."""
        until = time.monotonic() + TIME_SLICE_S
        for _ in search.steps():
            if time.monotonic() > until:
                await asyncio.sleep(0)
                until = time.monotonic() + TIME_SLICE_S
        self.link.send((number, search.best, search.counter))

    async def send_heartbeats(self, interval_s: float) -> None:
        """Send heartbeats until the process ends."""
        while True:
            self.link.send(None)
            await asyncio.sleep(interval_s)

    def on_end(self, reason: str) -> None:
        """Exit with the pilot process, which closed the stream."""
        os._exit(0 if reason == ENDED else 1)


def main(link_fd: int, heartbeat_interval_s: float) -> None:
    """Run the search process.

    Args:
        link_fd: the socket to the pilot process.
        heartbeat_interval_s: seconds between heartbeats.
    """
    loop = create_child_loop()
    link_socket = socket.socket(fileno=link_fd)
    link_socket.setblocking(False)
    solver = Solver(loop)
    loop.run_until_complete(loop.create_connection(lambda: solver.link, sock=link_socket))
    loop.run_until_complete(solver.send_heartbeats(heartbeat_interval_s))


if __name__ == "__main__":
    main(int(sys.argv[1]), float(sys.argv[2]))
