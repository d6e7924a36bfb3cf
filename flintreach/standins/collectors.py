"""Collectors that report by the thousand in an open loop, and questions that show how soon a line is heard.

Load goes to loopback alone, for a bounded time.  A line that would wait in the sender is counted, not sent.
"""

import asyncio
import json
import random
import socket
import time
from collections.abc import Callable

AGENT = '{"msg":"agent","site":"%s"}\n'


def report_lines(
    servers: int, slices: int, number: int, seed: int, site: str = "north", mix: float = 0.5
) -> list[bytes]:
    """Lines as a collector sends them: `mix` of them on servers, the others on slices."""
    rnd = random.Random(seed)
    rates = [rnd.lognormvariate(1.5, 0.8) for _ in range(slices)]
    found = []
    for place in range(number):
        if place < number * mix:
            told = {
                "msg": "outcomes",
                "site": site,
                "target": f"s{rnd.randrange(servers)}",
                "count": rnd.randrange(5, 60),
                "fail": 0,
                "mean": round(rnd.uniform(20, 60), 1),
                "over": 1000.0,
                "util": {"cpu": round(rnd.uniform(0.2, 0.5), 2)},
            }
        else:
            piece = rnd.randrange(slices)
            told = {
                "msg": "hot",
                "range": piece,
                "lane": "look",
                "count": 1 + int(rates[piece]),
                "fail": 0,
                "over": 1000.0,
            }
        found.append(json.dumps(told, separators=(",", ":")).encode() + b"\n")
    rnd.shuffle(found)
    return found


class Sender(asyncio.Protocol):
    """One connection.  `held_back` counts lines not sent, as the other side reads too slowly."""

    def __init__(self, site: str, pool: list[bytes], place: int):
        self.site, self.pool, self.place, self.open = site, pool, place, True
        self.sent = self.held_back = self.resets = 0

    def connection_made(self, transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=256 << 10)
        transport.write((AGENT % self.site).encode())

    def pause_writing(self) -> None:
        self.open = False

    def resume_writing(self) -> None:
        self.open = True

    def connection_lost(self, error) -> None:
        self.open, self.resets = False, self.resets + 1

    def send(self, number: int) -> None:
        if not self.open:
            self.held_back += number
            return
        while number > 0:
            part = self.pool[self.place : self.place + number]
            self.transport.write(b"".join(part))
            self.sent += len(part)
            number -= len(part)
            self.place = (self.place + len(part)) % len(self.pool)


async def send_load(
    at: tuple[str, int],
    connections: int,
    rate: float,
    seconds: float,
    pool: list[bytes],
    site: str = "north",
    step: float = 0.005,
) -> dict:
    """`rate` lines a second over all connections; what is due is counted from the clock, so a late sender
    catches up.  Gives lines sent in the second half, and those held back."""
    loop = asyncio.get_running_loop()
    senders = []
    for place in range(connections):
        _, sender = await loop.create_connection(
            lambda place=place: Sender(site, pool, place * len(pool) // connections), *at
        )
        senders.append(sender)
    began, done, half = time.monotonic(), 0, None
    while (gone := time.monotonic() - began) < seconds:
        due = int(gone * rate) - done
        done += due
        for place, sender in enumerate(senders):
            sender.send(due // connections + (place < due % connections))
        if half is None and gone >= seconds / 2:
            half = sum(sender.sent for sender in senders), time.monotonic()
        await asyncio.sleep(step)
    sent, end = sum(sender.sent for sender in senders), time.monotonic()
    told = {
        "sent": sent,
        "rate": (sent - half[0]) / (end - half[1]),
        "held_back": sum(sender.held_back for sender in senders),
        "resets": sum(sender.resets for sender in senders),
    }
    for sender in senders:
        sender.transport.abort()
    return told


class Question(asyncio.Protocol):
    """A stand-in server's side of a probe: it notes when it was asked, and is well."""

    def __init__(self, asked: Callable[[], None]):
        self.asked = asked

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.asked()
        body = b"util=0.4"
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class Sampler:
    """Lines by which a server becomes suspect, each at its time; the pilot's probe shows that it was heard.

    A server is asked once a second at the most, so each is named that often or less.
    """

    def __init__(self, servers: int):
        self.listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(servers)]
        self.ports = [listener.getsockname()[1] for listener in self.listeners]
        self.told = [0] * servers
        self.latencies_ns: list[int] = []  # nanoseconds from the line's last byte to the probe
        self.missed = self.again = 0

    def asked(self, place: int) -> None:
        if self.told[place]:
            self.latencies_ns.append(time.monotonic_ns() - self.told[place])
            self.told[place] = 0

    async def run(self, at: tuple[str, int], first: int, seconds: float, site: str = "north") -> None:
        """`first` is the number of the first of its servers; the others follow."""
        loop = asyncio.get_running_loop()
        for place, listener in enumerate(self.listeners):
            await loop.create_server(lambda place=place: Question(lambda: self.asked(place)), sock=listener)
        _, sender = await loop.create_connection(lambda: Sender(site, [], 0), *at)
        rnd, began, count = random.Random(7), time.monotonic(), 0
        pause = 1.3 / len(self.ports)
        while time.monotonic() - began < seconds:
            place = count % len(self.ports)
            if self.told[place]:
                self.missed += 1
            line = {
                "msg": "outcomes",
                "site": site,
                "target": f"s{first + place}",
                "count": 10,
                "fail": 5,
                "mean": 30.0,
                "over": 1000.0,
                "util": {"cpu": 0.3},
            }
            if sender.transport.is_closing():  # as a collector, it dials again
                self.missed += sum(map(bool, self.told))
                self.told, self.again = [0] * len(self.told), self.again + 1
                _, sender = await loop.create_connection(lambda: Sender(site, [], 0), *at)
            sender.transport.write(json.dumps(line).encode() + b"\n")
            self.told[place] = time.monotonic_ns()
            count += 1
            await asyncio.sleep(pause * rnd.uniform(0.5, 1.5))
        await asyncio.sleep(1)
        self.missed += sum(map(bool, self.told))
        sender.transport.abort()
