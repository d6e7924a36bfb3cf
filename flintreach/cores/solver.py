"""The swap search beside the decisions: it is given places and figures, and gives a map back.

It decides nothing of its own: the search is `flintreach.policy.search.Search`, as in one process.
"""

import asyncio
import os
import pickle
import socket
import sys
import time

from flintreach.cores.link import Link
from flintreach.cores.worker import begin

SPELL = 0.02  # seconds of search between two looks at the channel


class Solver:
    """Messages are pickled, between processes of one program: in, `(number, search)`; out, a sign of life
    `None`, or `(number, best, counter)`."""

    def __init__(self, loop):
        self.loop, self.task = loop, None
        self.link = Link(pickle.loads, self.take, self.ended, pickle.dumps)

    def take(self, message) -> None:
        """The last word counts: who asks for another search has given the one in hand up."""
        if self.task:
            self.task.cancel()
        self.task = self.loop.create_task(self.solve(*message))

    async def solve(self, number: int, search) -> None:
        until = time.monotonic() + SPELL
        for _ in search.steps():
            if time.monotonic() > until:
                await asyncio.sleep(0)
                until = time.monotonic() + SPELL
        self.link.tell((number, search.best, search.counter))

    async def live(self, sign: float) -> None:
        while True:
            self.link.tell(None)
            await asyncio.sleep(sign)

    def ended(self, why: str) -> None:
        os._exit(0 if why == "ended" else 1)


def main(channel: int, sign: float) -> None:
    loop = begin()
    end = socket.socket(fileno=channel)
    end.setblocking(False)
    solver = Solver(loop)
    loop.run_until_complete(loop.create_connection(lambda: solver.link, sock=end))
    loop.run_until_complete(solver.live(sign))


if __name__ == "__main__":
    main(int(sys.argv[1]), float(sys.argv[2]))
