"""The pilot process's side: it accepts connections, hands them to workers, and takes in aggregated reports.

`WorkerPool` takes the place that `flintreach.net.clients.Clients` has in a single process.  All decisions and
all orders stay in the pilot process, so that no two processes can issue the same order or disagree about a
drain.
"""

import copy
import gc
import os
import pickle
import signal
import socket
import subprocess
import sys
from dataclasses import asdict, replace
from typing import TYPE_CHECKING, Any

from flintreach.cores import messages
from flintreach.cores.block import Block
from flintreach.cores.lifecycle import ConnectionOwners, Lifecycle
from flintreach.cores.link import TORN, Link
from flintreach.net.http import parse_address
from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND

if TYPE_CHECKING:
    from flintreach.net.service import Service
    from flintreach.policy.search import Search

MAX_ACCEPTS_PER_CALLBACK = 64
HANDOVER_BUFFER_BYTES = 16 << 10  # of connections that wait for a worker to receive them
WORKER_LINES_PER_READ = 100  # lines that a worker reads from one client before it turns to others
EXIT_TIMEOUT_S = 0.3  # for child processes to exit by themselves
START_TIMEOUT_FACTOR = 10  # a process takes longer to start than to send a heartbeat
GC_THRESHOLDS = 5000, 20, 100  # a full collection over all windows of sums takes 50 ms


class ChildProcess:
    """A child process, as the pilot process sees it.

    The effects of `lifecycle.TRANSITIONS` are methods, which `step` calls by name.

    Attributes:
        kind: the module of this package that the process runs, and its name in the log.
        exit_fd: becomes readable when the process exits; None while there is no process.
        hang_timer: fires if nothing is heard of the process.
    """

    kind = ""

    def __init__(self, pool: "WorkerPool", number: int, block: Block) -> None:
        self.pool = pool
        self.number = number
        self.service = pool.service
        self.lifecycle = Lifecycle(block.pause_first, block.pause_longest, block.steady)
        self.process: subprocess.Popen | None = None
        self.link: Any = None
        self.connect_task: Any = None
        self.hang_timer: Any = None
        self.exit_fd: int | None = None

    def step(self, event: str, reason: str = "") -> None:
        """Apply an input of the life cycle: carry out its effect and log a change of state."""
        before = self.lifecycle.state
        effect = self.lifecycle.step(event, self.service.clock.now())
        if effect:
            getattr(self, effect)()
        if before != self.lifecycle.state:
            self.service.log_state(f"{self.kind} {self.number}", self.lifecycle.state, reason)

    @property
    def serves(self) -> bool:
        """Whether the process has started and is alive."""
        return self.lifecycle.state == "serving"

    # Effects.

    def spawn(self) -> None:
        """Start the process and connect the link to it."""
        loop = self.service.loop
        parent_end, child_end = socket.socketpair()
        parent_end.setblocking(False)
        self.link, inherited, arguments = self.open_channels(child_end)
        try:
            self.process = subprocess.Popen(
                [sys.executable, "-m", f"flintreach.cores.{self.kind}", *arguments],
                pass_fds=[child_socket.fileno() for child_socket in inherited],
                stdin=subprocess.DEVNULL,
            )
        except OSError as error:
            # Memory or processes have run out: treated as a process that exits at once.
            self.service.count_warning(f"{self.kind} not started", str(error))
            parent_end.close()
            self.process = None
            self.service.clock.call_later(0, self.on_exit)
            return
        finally:
            for child_socket in inherited:
                child_socket.close()
        self.exit_fd = os.pidfd_open(self.process.pid)
        loop.add_reader(self.exit_fd, self.on_exit)
        link = self.link
        self.connect_task = loop.create_task(loop.create_connection(lambda: link, sock=parent_end))
        self.connect_task.add_done_callback(lambda done: self.on_connected(link))
        self.restart_hang_timer(START_TIMEOUT_FACTOR * self.pool.block.hang)

    def activate(self) -> None:
        """Begin to use the process, which is ready."""
        raise NotImplementedError

    def close(self) -> None:
        """Close the link, upon which the process exits."""
        self.link.close()
        self.release()

    def kill(self) -> None:
        """Close the link and kill the process."""
        self.close()
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)

    def back_off(self) -> None:
        """Schedule a restart."""
        self.close()
        self.service.clock.call_later(self.lifecycle.backoff(), lambda: self.step("due"))

    def restart_hang_timer(self, timeout: int) -> None:
        """Set the time after which a silent process counts as hung; stalls of this process do not count."""
        if self.hang_timer:
            self.hang_timer.cancel()
        self.hang_timer = self.service.clock.start_timeout(timeout, lambda: self.step("silent"))

    def release(self) -> None:
        """Release what belongs to the process that ends."""
        if self.hang_timer:
            self.hang_timer.cancel()

    # Events.

    def on_link_end(self, reason: str) -> None:
        """Handle the end of the stream by the other side."""
        if reason.startswith(TORN):
            self.service.count_warning("torn record dropped", reason)
        self.step("torn", reason)

    def on_exit(self) -> None:
        """Handle the exit of the process, or that it could not be started."""
        if self.exit_fd is not None:
            self.service.loop.remove_reader(self.exit_fd)
            os.close(self.exit_fd)
            self.exit_fd = None
            self.process.wait()
        self.step("ended", f"status {self.process.returncode}" if self.process else "not started")

    def on_alive(self) -> None:
        """Note that the process has sent a message."""
        if self.serves:
            self.restart_hang_timer(self.pool.block.hang)

    def on_connected(self, link: Link) -> None:
        """Send the first message, if there is one."""

    def open_channels(self, child_end: socket.socket) -> tuple[Link, list[socket.socket], list[str]]:
        """Create the channels to a new process.

        Args:
            child_end: the child's end of the link.

        Returns:
            The link, the sockets that the child inherits, and the child's arguments.
        """
        raise NotImplementedError


class WorkerProcess(ChildProcess):
    """A worker process.

    Attributes:
        handover: the socket over which connections are handed to the worker.
        known_servers: numbers of the servers that the worker knows.
        processing_times: of the worker's records, in nanoseconds, until the pilot has handled their reports.
        pending_rows, lines_read, cpu_time, open_connections: as in the last heartbeat.
    """

    kind = "worker"

    def __init__(self, pool: "WorkerPool", number: int, block: Block) -> None:
        super().__init__(pool, number, block)
        self.handover: socket.socket | None = None
        self.known_servers: set[int] = set()
        self.processing_times: list[int] = []
        self.pending_rows = 0
        self.lines_read = 0
        self.cpu_time = 0
        self.open_connections = 0, 0

    def open_channels(self, child_end: socket.socket) -> tuple[Link, list[socket.socket], list[str]]:
        """Create the link and the socket for connections."""
        self.handover, child_handover = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.handover.setblocking(False)
        self.handover.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, HANDOVER_BUFFER_BYTES)
        self.known_servers = set()
        self.processing_times = []
        inherited = [child_end, child_handover]
        return (
            Link(messages.decode_in_pilot, self.on_message, self.on_link_end),
            inherited,
            [str(child_socket.fileno()) for child_socket in inherited],
        )

    def on_connected(self, link: Link) -> None:
        """Send the configuration."""
        link.send(self.pool.start_message)

    def activate(self) -> None:
        """Tell the worker the servers and begin to hand connections to it."""
        self.pool.owners.add_worker(self)
        self.send_server_names()
        self.link.send(messages.PilotHeartbeat(self.service.ready, 0))
        self.pool.set_accepting(True)

    def release(self) -> None:
        """Forget the worker's connections, which are reset: their clients connect again, to other workers."""
        super().release()
        self.pool.lines_of_ended_workers += self.lines_read
        self.lines_read = 0
        if self.handover:
            self.handover.close()
            self.handover = None
        self.pool.owners.remove_worker(self)

    def on_message(self, message: Any) -> None:
        """Handle a message of the worker."""
        self.on_alive()
        if isinstance(message, messages.AggregatedReports):
            self.on_reports(message)
        elif isinstance(message, messages.WorkerHeartbeat):
            self.pending_rows = message.pending_rows
            self.lines_read = message.lines_read
            self.cpu_time = message.cpu_time
            self.open_connections = message.open_connections
            for warning, (count, figures) in message.warnings.items():
                self.service.count_warning(warning, figures, count)
            for number in message.closed:
                self.pool.owners.release(self, number)
        else:
            self.step("greeted", f"process {message.process_id}")
            self.on_alive()

    def on_reports(self, message: messages.AggregatedReports) -> None:
        """Pass aggregated reports on to the pilot, and measure how long that takes."""
        service = self.service
        registry = service.registry
        began = service.clock.now()
        for server_row in message.servers:
            server = self.pool.servers.get(server_row.number)
            if server is not None:
                service.enqueue(
                    interface.ServerReport(
                        server_row.zone,
                        server,
                        server_row.tries,
                        server_row.unanswered,
                        server_row.latency,
                        server_row.span,
                        server_row.load,
                        server_row.kind,
                    )
                )
        for demand_row in message.demand:
            reported_slice = registry.slices[demand_row.slice] if demand_row.slice >= 0 else None
            proxy = None
            if demand_row.proxy >= 0:
                proxy = registry.proxies.get(demand_row.proxy) or service.proxy(demand_row.proxy)
            service.enqueue(
                interface.DemandReport(
                    reported_slice,
                    proxy,
                    service.settings.operations[demand_row.operation],
                    demand_row.tries,
                    demand_row.unanswered,
                    demand_row.span,
                    demand_row.kind,
                    demand_row.lines,
                )
            )
        self.processing_times.append(service.clock.now() - began)
        if not service.turn_scheduled:
            self.pool.resume()

    def send_server_names(self) -> None:
        """Tell the worker which servers have been added and removed since the last time."""
        names = self.pool.server_names
        added = names.keys() - self.known_servers
        removed = self.known_servers - names.keys()
        if added or removed:
            self.known_servers = set(names)
            self.link.send(
                messages.ServerNames([(number, names[number]) for number in sorted(added)], sorted(removed))
            )

    def hand_over(self, connection: socket.socket, number: int) -> bool:
        """Send a connection to the worker and return whether that worked."""
        try:
            data = number.to_bytes(messages.NUMBER_BYTES, "little")
            socket.send_fds(self.handover, [data], [connection.fileno()])
            return True
        except OSError:  # the worker hangs and its buffer is full, or it has just exited
            return False


class SolverProcess(ChildProcess):
    """The search process, which does one search at a time; the pilot does those that it does not finish.

    Attributes:
        search: the search that it does, if any.
        request_number: the number of the last request; answers to earlier ones are ignored.
    """

    kind = "solver"

    def __init__(self, pool: "WorkerPool", number: int, block: Block) -> None:
        super().__init__(pool, number, block)
        self.search: Search | None = None
        self.request_number = 0

    def open_channels(self, child_end: socket.socket) -> tuple[Link, list[socket.socket], list[str]]:
        """Create the link."""
        link = Link(pickle.loads, self.on_message, self.on_link_end, pickle.dumps)
        return link, [child_end], [str(child_end.fileno()), str(self.pool.block.sign / SECOND)]

    def activate(self) -> None:
        """Expect heartbeats from now on."""
        self.restart_hang_timer(self.pool.block.hang)

    def release(self) -> None:
        """Return a search that the process had not finished."""
        super().release()
        if self.search:
            self.finish(None, self.search.counter)

    def solve(self, search: "Search") -> None:
        """Request a search; without a process, return it undone."""
        self.search = None  # the pilot has abandoned an earlier one
        if not self.serves:
            self.service.enqueue(interface.SearchResult(search, None, search.counter))
            return
        self.search = search
        self.request_number += 1
        self.link.send((self.request_number, local_copy(search)))

    def on_message(self, message: tuple | None) -> None:
        """Handle a heartbeat, of which the first one tells that the process is ready, or a result."""
        self.on_alive()
        if message is None:
            self.step("greeted", f"process {self.process.pid}")
        elif message[0] == self.request_number and self.search:
            self.finish(*message[1:])

    def finish(self, best: tuple | None, counter: int) -> None:
        """Pass the result of the current search on to the pilot."""
        search, self.search = self.search, None
        self.service.enqueue(interface.SearchResult(search, best, counter))


def local_copy(search: "Search") -> "Search":
    """Copy a search so that the process which receives it does its steps."""
    copied = copy.copy(search)
    copied.offloaded = False
    return copied


class WorkerPool:
    """The child processes and the listening socket of a pilot on several cores.

    Attributes:
        owners: the workers that serve, and their connections.
        last_number: the last number given to a connection or a server.
        server_numbers, server_names: numbers of the listed servers by name, and the reverse.
        servers: servers by number, held weakly.
        servers_created: the registry's count at the last update of names.
        lines_of_ended_workers: lines that were read by workers which have exited since.
    """

    def __init__(self, service: "Service", block: Block) -> None:
        self.service = service
        self.block = block
        self.owners = ConnectionOwners()
        self.listener: socket.socket | None = None
        self.last_number = 0
        self.servers_created = 0
        self.lines_of_ended_workers = 0
        self.servers = service.registry.weak_server_table()
        self.server_numbers: dict[str, int] = {}
        self.server_names: dict[int, str] = {}
        self.workers = [WorkerProcess(self, number, block) for number in range(block.workers)]
        self.solver = SolverProcess(self, 0, block) if block.search else None
        service.settings.offload_search = block.search
        limits = service.limits
        parts = max(1, block.workers)
        worker_limits = replace(
            limits,
            max_collectors=-(-limits.max_collectors // parts),
            max_strangers=-(-limits.max_strangers // parts),
            max_buffered_bytes=limits.max_buffered_bytes // parts,
            max_lines_per_read=WORKER_LINES_PER_READ,
        )
        self.start_message = messages.Start(
            configuration=service.config.document,
            limits=asdict(worker_limits),
            max_rows=block.rows,
            max_wait=block.wait,
            idle_ratio=parts / block.share,
            heartbeat_interval=block.sign,
            heartbeat_expiry=block.stale,
        )

    @property
    def lines_read(self) -> int:
        """Lines read by all workers, with those that have exited."""
        return self.lines_of_ended_workers + sum(worker.lines_read for worker in self.workers)

    async def listen(self, at: str) -> tuple[str, int]:
        """Start the child processes and listen.

        Args:
            at: the address, as host and port.

        Returns:
            The address that the socket is bound to.
        """
        host, port = parse_address(at)
        self.listener = socket.create_server((host, port), backlog=self.service.limits.listen_backlog)
        self.listener.setblocking(False)
        for child in self.child_processes():
            child.step("start")
        gc.set_threshold(*GC_THRESHOLDS)
        self.send_heartbeats()
        return self.listener.getsockname()[:2]

    def set_accepting(self, on: bool) -> None:
        """Start or stop accepting; without workers, connections wait in the listening socket's backlog."""
        if on:
            self.service.loop.add_reader(self.listener, self.accept)
        else:
            self.service.loop.remove_reader(self.listener)

    def accept(self) -> None:
        """Accept connections that wait, and hand each to the worker with the fewest that takes it."""
        for _ in range(MAX_ACCEPTS_PER_CALLBACK):
            if not self.owners.connections:
                self.set_accepting(False)
                return
            try:
                connection, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:  # descriptors have run out; the connection waits in the backlog
                self.service.count_warning("connection not accepted", str(error))
                return
            self.last_number += 1
            number = self.last_number
            tried: list[WorkerProcess] = []
            with connection:
                worker = self.owners.assign(number, tried)
                while worker and not worker.hand_over(connection, number):
                    self.owners.release(worker, number)
                    tried.append(worker)
                    worker = self.owners.assign(number, tried)
                if worker is None:
                    self.service.count_warning("connection refused: no worker accepted it")

    def send_heartbeats(self) -> None:
        """Send a heartbeat to each worker at each interval, and changes of the listed servers."""
        self.update_server_names()
        for worker in self.workers:
            if worker.serves:
                worker.link.send(messages.PilotHeartbeat(self.service.ready))
        self.service.clock.call_later(self.block.sign, self.send_heartbeats)

    def update_server_names(self) -> None:
        """Assign numbers to new servers, and tell the workers of changes.

        Numbers are never reused: a server that was forgotten and is listed again is a different one, and
        reports about the old one must not be attributed to it.
        """
        listed = dict(self.service.registry.servers)
        number_before = self.last_number
        self.servers_created = self.service.registry.servers_created
        removed = [
            name
            for name, number in self.server_numbers.items()
            if name not in listed or listed[name] is not self.servers.get(number)
        ]
        for name in removed:
            del self.server_names[self.server_numbers.pop(name)]
        for name in listed.keys() - self.server_numbers.keys():
            self.last_number += 1
            self.server_numbers[name] = self.last_number
            self.server_names[self.last_number] = name
            self.servers[self.last_number] = listed[name]
        if removed or self.last_number != number_before:
            for worker in self.workers:
                if worker.serves:
                    worker.send_server_names()

    def notify_ready(self) -> None:
        """Let the workers answer the probes that wait."""
        for worker in self.workers:
            if worker.serves:
                worker.link.send(messages.PilotHeartbeat(True))

    def resume(self) -> None:
        """After a turn of the pilot: let workers whose reports have been handled send the next record."""
        if self.servers_created != self.service.registry.servers_created:
            self.update_server_names()
        for worker in self.workers:
            if worker.serves:
                for took in worker.processing_times:
                    worker.link.send(messages.PilotHeartbeat(self.service.ready, took))
            worker.processing_times = []

    def gauges(self) -> dict[str, float]:
        """Return the gauges, added up over all workers that serve."""
        serving = [worker for worker in self.workers if worker.serves]
        return {
            "workers.serving": len(serving),
            "workers.waiting": sum(worker.pending_rows for worker in serving),
            "clients.strangers": sum(worker.open_connections[0] for worker in serving),
            "clients.collectors": sum(worker.open_connections[1] for worker in serving),
        }

    def child_processes(self) -> list[ChildProcess]:
        """Return all child processes."""
        return [*self.workers, self.solver] if self.solver else [*self.workers]

    def solve(self, search: "Search") -> None:
        """Offload a search."""
        self.solver.solve(search)

    def close(self) -> None:
        """Stop all child processes and close the listening socket."""
        for child in self.child_processes():
            child.step("stop")
        for child in self.child_processes():
            if child.process:
                try:
                    child.process.wait(EXIT_TIMEOUT_S)
                except subprocess.TimeoutExpired:
                    child.process.kill()
                    child.process.wait()
        if self.listener:
            self.set_accepting(False)
            self.listener.close()
            self.listener = None
