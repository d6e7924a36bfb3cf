"""An open-loop load of collector reports, and a sampler that measures how soon a report takes effect.

The load goes to loopback only and lasts for a bounded time.  A line that would wait in the sender's buffer is
counted and not sent.
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
    """Return report lines as a collector sends them, in random order.

    Args:
        servers: number of servers to report on.
        slices: number of slices to report on.
        number: number of lines.
        seed: seed of the random number generator.
        site: the collector's site.
        mix: share of the lines that report on servers; the others report on slices.
    """
    rnd = random.Random(seed)
    rates = [rnd.lognormvariate(1.5, 0.8) for _ in range(slices)]
    encoded = []
    for place in range(number):
        if place < number * mix:
            report = {
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
            slice_number = rnd.randrange(slices)
            report = {
                "msg": "hot",
                "range": slice_number,
                "lane": "look",
                "count": 1 + int(rates[slice_number]),
                "fail": 0,
                "over": 1000.0,
            }
        encoded.append(json.dumps(report, separators=(",", ":")).encode() + b"\n")
    rnd.shuffle(encoded)
    return encoded


class Sender(asyncio.Protocol):
    """One connection of a collector.

    Attributes:
        place: index of the next line in the pool.
        open: whether lines may be written now.
        sent: number of lines sent.
        held_back: number of lines not sent because the other side reads too slowly.
        resets: number of times the connection was lost.
    """

    def __init__(self, site: str, pool: list[bytes], place: int):
        self.site = site
        self.pool = pool
        self.place = place
        self.open = True
        self.sent = self.held_back = self.resets = 0

    def connection_made(self, transport) -> None:
        """Limit the write buffer, and introduce the collector with its site."""
        self.transport = transport
        transport.set_write_buffer_limits(high=256 << 10)
        transport.write((AGENT % self.site).encode())

    def pause_writing(self) -> None:
        """Hold lines back while the write buffer is full."""
        self.open = False

    def resume_writing(self) -> None:
        """Send lines again."""
        self.open = True

    def connection_lost(self, error) -> None:
        """Count the loss, and send nothing more."""
        self.open = False
        self.resets += 1

    def send(self, number: int) -> None:
        """Send the next lines of the pool, or count them as held back."""
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
    """Send lines at a constant rate over several connections.

    The number of lines that are due is taken from the clock, so a sender that was delayed catches up.

    Args:
        at: address of the pilot.
        connections: number of connections.
        rate: lines per second over all connections.
        seconds: duration.
        pool: lines to send, over and over.
        site: the collectors' site.
        step: pause between writes, seconds.

    Returns:
        The lines sent, their rate per second in the second half, the lines held back, and the connections
        lost.
    """
    loop = asyncio.get_running_loop()
    senders = []
    for place in range(connections):
        _, sender = await loop.create_connection(
            lambda place=place: Sender(site, pool, place * len(pool) // connections), *at
        )
        senders.append(sender)
    began = time.monotonic()
    done = 0
    half = None
    while (elapsed := time.monotonic() - began) < seconds:
        due = int(elapsed * rate) - done
        done += due
        for place, sender in enumerate(senders):
            sender.send(due // connections + (place < due % connections))
        if half is None and elapsed >= seconds / 2:
            half = sum(sender.sent for sender in senders), time.monotonic()
        await asyncio.sleep(step)
    sent, end = sum(sender.sent for sender in senders), time.monotonic()
    result = {
        "sent": sent,
        "rate": (sent - half[0]) / (end - half[1]),
        "held_back": sum(sender.held_back for sender in senders),
        "resets": sum(sender.resets for sender in senders),
    }
    for sender in senders:
        sender.transport.abort()
    return result


class ProbeResponder(asyncio.Protocol):
    """A server's end of a health probe: calls back on each request, and answers as a healthy server."""

    def __init__(self, on_probe: Callable[[], None]):
        self.on_probe = on_probe

    def connection_made(self, transport) -> None:
        """Keep the transport of the new connection."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Report the probe, and answer it."""
        self.on_probe()
        body = b"util=0.4"
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class Sampler:
    """Measures the time from a report that makes a server suspect to the pilot's probe of that server.

    A server is probed at most once a second, so each is reported that often or less.

    Attributes:
        ports: port of each server.
        reported_at: time of the report that was not yet followed by a probe, by server; 0 if there is none.
        latencies_ns: nanoseconds from the last byte of a report to the probe.
        missed: number of reports that were followed by no probe in time.
        reconnects: number of times the collector connected again.
    """

    def __init__(self, servers: int):
        self.listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(servers)]
        self.ports = [listener.getsockname()[1] for listener in self.listeners]
        self.reported_at = [0] * servers
        self.latencies_ns: list[int] = []
        self.missed = self.reconnects = 0

    def record_probe(self, place: int) -> None:
        """Record the latency of the report that a probe follows."""
        if self.reported_at[place]:
            self.latencies_ns.append(time.monotonic_ns() - self.reported_at[place])
            self.reported_at[place] = 0

    async def run(self, at: tuple[str, int], first: int, seconds: float, site: str = "north") -> None:
        """Send reports for a time, and record the probes that follow.

        Args:
            at: address of the pilot.
            first: number of the first of the servers; the others follow.
            seconds: duration, without the last second in which only probes are awaited.
            site: the collector's site.
        """
        loop = asyncio.get_running_loop()
        for place, listener in enumerate(self.listeners):
            await loop.create_server(
                lambda place=place: ProbeResponder(lambda: self.record_probe(place)), sock=listener
            )
        _, sender = await loop.create_connection(lambda: Sender(site, [], 0), *at)
        rnd = random.Random(7)
        began = time.monotonic()
        count = 0
        pause = 1.3 / len(self.ports)
        while time.monotonic() - began < seconds:
            place = count % len(self.ports)
            if self.reported_at[place]:
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
            if sender.transport.is_closing():  # reconnect, as collectors do
                self.missed += sum(map(bool, self.reported_at))
                self.reported_at = [0] * len(self.reported_at)
                self.reconnects += 1
                _, sender = await loop.create_connection(lambda: Sender(site, [], 0), *at)
            sender.transport.write(json.dumps(line).encode() + b"\n")
            self.reported_at[place] = time.monotonic_ns()
            count += 1
            await asyncio.sleep(pause * rnd.uniform(0.5, 1.5))
        await asyncio.sleep(1)
        self.missed += sum(map(bool, self.reported_at))
        sender.transport.abort()
