"""A worker process: it serves connections, and reads, checks and aggregates reports for the pilot process.

It makes no decisions.  Its connections are those of `flintreach.net.clients`, so that the same code parses
reports whether one process serves or several.  It exits with the pilot process, however that ends.
"""

import asyncio
import ctypes
import gc
import os
import signal
import socket
import sys
import time
from typing import Any

import uvloop

from flintreach.cores import messages
from flintreach.cores.aggregation import Report, ReportAggregator, SendPacer
from flintreach.cores.link import ENDED, Link
from flintreach.net.clients import Client, Clients
from flintreach.net.clock import Clock
from flintreach.net.limits import Limits
from flintreach.net.reading import nonnegative_int
from flintreach.pilot import interface, reports, settings
from flintreach.pilot.registry import Registry

PR_SET_PDEATHSIG = 1  # of prctl(2)
MAX_DESCRIPTORS = 4  # accepted from one datagram; the pilot process sends one
MAX_FIGURES_LENGTH = 80
# Rows are many and form no reference cycles.
GC_THRESHOLDS = 50_000, 20, 100


class WorkerClient(Client):
    """A connection that the pilot process handed over, with its number."""

    def __init__(self, clients: Clients, number: int) -> None:
        super().__init__(clients)
        self.number = number

    def connection_lost(self, error: Exception | None) -> None:
        """Also note the end of the connection for the pilot process."""
        super().connection_lost(error)
        self.service.on_connection_closed(self.number)


class WorkerService:
    """The part of `flintreach.net.service.Service` that connections use, in a worker process.

    Attributes:
        servers_by_number, server_numbers: the servers that reports may name, and their numbers.
        warnings, closed_connections: what has not been reported to the pilot process yet.
        last_heartbeat, pilot_ready: when the last heartbeat of the pilot process came, and what it said.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, link: Link, start: messages.Start) -> None:
        self.loop = loop
        self.link = link
        self.start = start
        platform_settings = start.configuration["settings"]
        self.limits = Limits(**start.limits)
        self.settings = settings.read(0, dict(settings.flatten(platform_settings)))
        self.zones = {name: place for place, name in enumerate(platform_settings.get("areas", ()))}
        operations = self.settings.operations
        self.operations = {operation.name: operation for operation in operations}
        self.attempt_timeout = max((operation.attempt_timeout for operation in operations), default=0)
        self.load_names = settings.LOAD_FIELDS
        self.registry = Registry(self.settings)
        self.clock = Clock(loop, 0, self.limits)
        objective = min(operations, key=lambda operation: operation.billed_value).objective
        self.aggregator = ReportAggregator(
            lambda event: reports.classify(event, objective), self.limits.max_pending_events
        )
        self.pacer = SendPacer(start.idle_ratio, start.max_wait)
        self.flush_scheduled = False
        self.flush_timer: Any = None
        self.servers_by_number: dict[int, interface.Server] = {}
        self.server_numbers: dict[interface.Server, int] = {}
        self.warnings: dict[str, tuple[int, str]] = {}
        self.closed_connections: list[int] = []
        self.last_heartbeat = 0
        self.pilot_ready = False
        self.clients = Clients(self)

    # The interface that connections use.

    @property
    def ready(self) -> bool:
        """Whether liveness probes are answered: they ask for the pilot process, not for this worker."""
        age = self.clock.now() - self.last_heartbeat
        return self.pilot_ready and age <= self.start.heartbeat_expiry

    def enqueue(self, event: Report) -> None:
        """Aggregate a report."""
        self.aggregator.add(event)
        self.schedule_flush()

    def queue_full(self) -> bool:
        """Return whether connections must stop reading."""
        return self.aggregator.full

    def proxy(self, number: int) -> interface.Proxy:
        """Get a proxy by its number."""
        return self.registry.proxy(nonnegative_int(number, self.settings.proxies))

    def count_warning(self, warning: str, figures: str = "") -> None:
        """Count a warning for the pilot process, which logs it, with the first one's figures."""
        count, first = self.warnings.get(warning, (0, figures))
        self.warnings[warning] = count + 1, first[:MAX_FIGURES_LENGTH]

    def on_connection_closed(self, number: int) -> None:
        """Note a closed connection for the next heartbeat."""
        self.closed_connections.append(number)

    # Messages of the pilot process.

    def on_message(self, message: messages.PilotHeartbeat | messages.ServerNames) -> None:
        """Handle a heartbeat, or changes of the servers that reports may name."""
        if isinstance(message, messages.PilotHeartbeat):
            self.last_heartbeat = self.clock.now()
            self.pilot_ready = message.ready
            if message.took is not None:
                self.pacer.on_processed(self.last_heartbeat, message.took)
                self.clients.resume()
                self.schedule_flush()
            if message.ready:
                self.clients.notify_ready()
        elif isinstance(message, messages.ServerNames):
            for number, name in message.added:
                server = self.registry.server(name)
                self.servers_by_number[number] = server
                self.server_numbers[server] = number
            for number in message.removed:
                removed = self.servers_by_number.pop(number, None)
                if removed and self.server_numbers.get(removed) == number:
                    del self.server_numbers[removed]
                    self.aggregator.forget_server(removed)

    # Messages to the pilot process.

    def schedule_flush(self) -> None:
        """Send rows after the current callbacks, so that all reports of one loop iteration go together."""
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.loop.call_soon(self.flush)

    def flush(self) -> None:
        """Send a record of rows if the pace allows it, or try again when it does."""
        self.flush_scheduled = False
        if not self.aggregator:
            return
        now = self.clock.now()
        if self.pacer.may_send(now, bool(self.aggregator.urgent)):
            servers: list[messages.ServerRow] = []
            demand: list[messages.DemandRow] = []
            for event in self.aggregator.take(self.start.max_rows):
                self.append_row(event, servers, demand)
            self.pacer.on_sent()
            self.link.send(messages.AggregatedReports(servers, demand))
        elif not self.pacer.in_flight and not self.flush_timer:
            self.flush_timer = self.clock.call_later(self.pacer.next_at - now, self.on_flush_timer)

    def on_flush_timer(self) -> None:
        """Flush after the pause between two records."""
        self.flush_timer = None
        self.flush()

    def append_row(
        self, event: Report, servers: list[messages.ServerRow], demand: list[messages.DemandRow]
    ) -> None:
        """Convert a report into a row; one about a server that is no longer listed is dropped."""
        if isinstance(event, interface.DemandReport):
            demand.append(
                messages.DemandRow(
                    event.slice.number if event.slice else -1,
                    event.proxy.number if event.proxy else -1,
                    event.operation.index,
                    event.tries,
                    event.unanswered,
                    event.span,
                    event.kind,
                    event.lines,
                )
            )
        elif event.server in self.server_numbers:
            servers.append(
                messages.ServerRow(
                    self.server_numbers[event.server],
                    event.zone,
                    event.tries,
                    event.unanswered,
                    event.latency,
                    event.span,
                    event.kind,
                    event.load,
                )
            )

    def send_heartbeat(self) -> None:
        """Send a heartbeat at each interval, by which the pilot process also detects a worker that hangs.

        While the pilot process does not read, none are added to those that wait.
        """
        if not self.link.transport.get_write_buffer_size():
            warnings, self.warnings = self.warnings, {}
            closed, self.closed_connections = self.closed_connections, []
            by_state = self.clients.by_state
            self.link.send(
                messages.WorkerHeartbeat(
                    warnings,
                    closed,
                    len(self.aggregator),
                    self.clients.lines_read,
                    time.process_time_ns(),
                    (len(by_state["stranger"]) + len(by_state["asking"]), len(by_state["collector"])),
                )
            )
        self.clock.call_later(self.start.heartbeat_interval, self.send_heartbeat)


class Worker:
    """The worker process: it is configured by the first message, then takes over connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handover: socket.socket) -> None:
        """Create a worker that waits for its configuration.

        Args:
            loop: the event loop of the process.
            handover: the socket from which connections are received.
        """
        self.loop = loop
        self.handover = handover
        self.service: WorkerService | None = None
        self.tasks: set[asyncio.Task] = set()
        self.link = Link(messages.decode_in_worker, self.on_message, self.on_end)

    def on_message(self, message: Any) -> None:
        """Configure the worker with the first message; pass on the others."""
        if self.service is None:
            self.service = WorkerService(self.loop, self.link, message)
            self.loop.add_reader(self.handover, self.receive_connection)
            self.link.send(messages.WorkerReady(os.getpid()))
            self.service.send_heartbeat()
            gc.freeze()
            gc.set_threshold(*GC_THRESHOLDS)
        else:
            self.service.on_message(message)

    def receive_connection(self) -> None:
        """Receive one datagram, which carries one connection and its number."""
        try:
            data, descriptors, _, _ = socket.recv_fds(self.handover, messages.NUMBER_BYTES, MAX_DESCRIPTORS)
        except BlockingIOError:
            return
        if not data:
            self.on_end("handover socket closed")
            return
        for descriptor in descriptors[:1]:
            connection = socket.socket(fileno=descriptor)
            connection.setblocking(False)
            number = int.from_bytes(data, "little")
            task = self.loop.create_task(self.serve_connection(connection, number))
            self.tasks.add(task)  # the loop holds only a weak reference
            task.add_done_callback(self.tasks.discard)

    async def serve_connection(self, connection: socket.socket, number: int) -> None:
        """Attach a connection to the event loop."""
        clients = self.service.clients
        try:
            await self.loop.connect_accepted_socket(lambda: WorkerClient(clients, number), connection)
        except OSError:
            self.service.on_connection_closed(number)

    def on_end(self, reason: str) -> None:
        """Exit with the pilot process: the connections are reset, and clients connect again."""
        os._exit(0 if reason == ENDED else 1)


def create_child_loop() -> asyncio.AbstractEventLoop:
    """Prepare a child process, which must not outlive the pilot process, and create its event loop."""
    # Signals of the operator or the platform are handled by the pilot process, which then stops its children.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    # A process that hangs, or is stopped by a signal, would not notice that its link was closed.
    parent = os.getppid()
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:  # the parent had exited before the call
        os._exit(1)
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    return loop


def main(link_fd: int, handover_fd: int) -> None:
    """Run a worker process.

    Args:
        link_fd: the stream socket to the pilot process.
        handover_fd: the socket from which connections are received.
    """
    loop = create_child_loop()
    link_socket = socket.socket(fileno=link_fd)
    handover = socket.socket(fileno=handover_fd)
    for end in (link_socket, handover):
        end.setblocking(False)
    worker = Worker(loop, handover)
    loop.run_until_complete(loop.create_connection(lambda: worker.link, sock=link_socket))
    loop.run_forever()


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
