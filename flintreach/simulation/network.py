"""Simulated network: machines, connections, datagrams, and partitions between machines.

`PeerConnection` replaces `transport.peer_connection.PeerConnection`; `SimulatedFailureDetector` replaces the
UDP socket of `membership.failure_detector.FailureDetector`.

The model of TCP covers in-order delivery in each direction, data that a partition delays, a connection that
fails after `USER_TIMEOUT_MS` without an acknowledgement (`transport/peer_connection.py` sets that socket
option), resets when the peer's process has ended, a machine without power that does not answer, and a frozen
process whose operating system still acknowledges.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from flintreach.membership.failure_detector import FailureDetector
from flintreach.membership.member_list import Member
from flintreach.simulation.process import FIN, Process, Waiter
from flintreach.simulation.scheduler import NS_PER_MS, NS_PER_SECOND, Simulation
from flintreach.transport.peer_connection import (
    ANSWER_KIND,
    USER_TIMEOUT_MS,
    Address,
    ConnectionClosed,
    MessageHandler,
    MessageHandlers,
)

PEER_PORT = 7700  # port of a controller for connections from other processes
DELAY_IN_ZONE_NS = 300_000
DELAY_IN_REGION_NS = 1_000_000
DELAY_BETWEEN_REGIONS_NS = 20_000_000
MEAN_REORDERING_MS = 20  # mean additional delay of a reordered datagram
START_OF_WALL_CLOCK_MS = 1_700_000_000_000
REFUSED = object()  # outcome of dialling a port without a listener

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder().decode

AddressPair = tuple[str, str]  # IP addresses of sender and receiver


class PeerConnection:
    """One end of a connection, with the interface of `transport.peer_connection.PeerConnection`.

    Attributes:
        peer: the other end.
        pending: waiters for answers, by request number.
        last_number: number of the last request.
        closed: whether this end is closed.
        on_close: called with this connection when this end is closed.
        inbox: received messages that are not handled yet.
        reading: whether a task is processing the inbox.
        in_flight: messages that were sent and have not arrived.
        blocked_arrivals: number of arrivals that a partition holds back.
        last_arrival_ns: arrival time of the last message sent.
        unacknowledged_since_ns: when acknowledgements stopped; None while they arrive.
    """

    def __init__(self, process: Process, handlers: MessageHandlers) -> None:
        """Create an end; `ConnectionAttempt` sets its peer."""
        self.process = process
        self.handlers = handlers
        self.network = process.machine.network
        self.peer: PeerConnection | None = None
        self.pending: dict[int, Waiter] = {}
        self.last_number = 0
        self.closed = False
        self.on_close: list[Callable[[PeerConnection], None]] = []
        self.inbox: deque = deque()
        self.reading = False
        self.in_flight: deque = deque()
        self.blocked_arrivals = 0
        self.last_arrival_ns = 0
        self.unacknowledged_since_ns: int | None = None
        process.connections[self] = None

    def send(self, kind: str, body: Any = None, number: int = 0) -> None:
        """Send a message; does nothing if the connection is closed or the process has ended."""
        if not self.closed and self.process.alive:
            self.put(encode([number, kind, body]))

    def put(self, data: Any) -> None:
        """Send an encoded message or `FIN`."""
        self.in_flight.append(data)
        self.schedule_arrival()

    def schedule_arrival(self) -> None:
        """Schedule the arrival of one message, after the arrivals of all messages sent earlier."""
        sim = self.process.sim
        delay_ns = self.network.delay(self.process.machine, self.peer.process.machine)
        self.last_arrival_ns = max(self.last_arrival_ns + 1, sim.now_ns + delay_ns)
        sim.call_at(self.last_arrival_ns, self.network.deliver, self)

    def ask(self, kind: str, body: Any = None, timeout: float = 1.0) -> Any:
        """Send a request and wait for the answer.

        Args:
            kind: kind of the message.
            body: body of the request.
            timeout: maximum wait in seconds.

        Returns:
            The body of the answer.

        Raises:
            ConnectionClosed: no answer arrived in time, or the connection was closed; the peer may or may not
                have executed the request.
        """
        if self.closed:
            raise ConnectionClosed
        self.last_number += 1
        number = self.last_number
        waiter = Waiter(self.process)
        self.pending[number] = waiter
        self.send(kind, body, number)
        try:
            answer = waiter.wait(timeout)
        finally:
            self.pending.pop(number, None)
        if answer is None:
            raise ConnectionClosed
        return answer[0]

    def receive(self, data: Any) -> None:
        """Add a message or `FIN` to the inbox, and start a task to process it."""
        self.inbox.append(data)
        if not self.reading:
            self.reading = True
            self.process.runtime.spawn(self.process_inbox)

    def process_inbox(self) -> None:
        """Handle the messages in the inbox; `FIN` or an invalid message closes the connection."""
        stays_open = False
        try:
            while self.inbox and not self.closed:
                data = self.inbox.popleft()
                if data is FIN:
                    return
                self.handle_message(data)
            stays_open = True
        except (OSError, msgspec.DecodeError, ValueError, TypeError):
            pass
        finally:
            self.reading = False
            if not stays_open:
                self.close()

    def handle_message(self, data: bytes) -> None:
        """Handle one message: an answer, a request, or a one-way message."""
        number, kind, body = decode(data)
        if number < 0:
            waiter = self.pending.get(-number)
            if waiter is not None:
                self.process.call_soon(waiter.wake, (body,))
            return
        handler = self.handlers.get(kind)
        if handler is None:
            return
        if number:
            self.process.runtime.spawn(self.handle_request, handler, number, body)
        else:
            handler(self, body)

    def handle_request(self, handler: MessageHandler, number: int, body: Any) -> None:
        """Call the handler of a request and send its result as the answer."""
        self.send(ANSWER_KIND, handler(self, body), -number)

    def close(self) -> None:
        """Close the connection and notify the peer."""
        if self.closed or not self.process.alive:
            return
        self.put(FIN)
        self.finish_close()

    def finish_close(self) -> None:
        """Mark this end as closed, fail pending requests, and run the `on_close` callbacks."""
        self.closed = True
        self.process.connections.pop(self, None)
        for waiter in [*self.pending.values()]:
            self.process.call_soon(waiter.wake, None)
        for callback in self.on_close:
            callback(self)

    def abort(self) -> None:
        """Drop the messages in flight and close this end, as after a reset or a TCP user timeout."""
        self.in_flight.clear()
        if not self.closed:
            self.finish_close()


class Machine:
    """A machine with its power state, address, location and clocks.

    Attributes:
        powered: whether the machine has power.
        process: the process that runs on it.
        extra_delay_ns: delay that a slow link adds to each message from and to the machine.
        recovered_at_ns: when its process was last thawed or a partition that affected it last healed.
        clock_offset_ns: offset of its monotonic clock from virtual time.
        wall_clock_error_ms: error of its wall clock.
    """

    def __init__(self, network: "Network", name: str, ip: str, zone: str, region: str) -> None:
        """Create a machine without power and register it with the network under `ip`."""
        self.network = network
        self.name = name
        self.ip = ip
        self.zone = zone
        self.region = region
        self.powered = False
        self.process: Process | None = None
        self.extra_delay_ns = 0
        self.recovered_at_ns = 0
        rng = network.sim.rng
        self.clock_offset_ns = rng.randrange(10**6) * NS_PER_SECOND
        self.wall_clock_error_ms = rng.randrange(-300, 300)
        network.machines[ip] = self

    @property
    def process_address(self) -> Address:
        """Address at which other processes reach a controller on this machine."""
        return self.ip, PEER_PORT

    def boot(self) -> None:
        """Power on; the monotonic clock restarts."""
        self.powered = True
        sim = self.network.sim
        self.clock_offset_ns = sim.rng.randrange(100) * NS_PER_SECOND - sim.now_ns

    def wall_ms(self) -> int:
        """Wall-clock time of this machine in milliseconds since the epoch."""
        return START_OF_WALL_CLOCK_MS + self.network.sim.now_ns // NS_PER_MS + self.wall_clock_error_ms


class Network:
    """Reachability, delays and message delivery between machines.

    Attributes:
        loss: fraction of datagrams that are lost.
        machines: machines by IP address.
        cuts: blocked directions, each with the number of partitions that block it.
        on_message: called with the sender's machine, the receiver's machine and the data of each message that
            is delivered over a connection.
        blocked: connections with messages that a partition holds back, by direction.
    """

    def __init__(self, sim: Simulation, loss: float) -> None:
        """Create a network without machines or partitions."""
        self.sim = sim
        self.loss = loss
        self.machines: dict[str, Machine] = {}
        self.cuts: dict[AddressPair, int] = {}
        self.on_message: Callable[[Machine, Machine, bytes], None] | None = None
        self.blocked: dict[AddressPair, dict[PeerConnection, None]] = {}

    def delay(self, sender: Machine, receiver: Machine) -> int:
        """Draw the delay of a message in nanoseconds."""
        if sender.zone == receiver.zone:
            base_ns = DELAY_IN_ZONE_NS
        elif sender.region == receiver.region:
            base_ns = DELAY_IN_REGION_NS
        else:
            base_ns = DELAY_BETWEEN_REGIONS_NS
        drawn_ns = int(base_ns * (1 + self.sim.rng.random()))
        return drawn_ns + sender.extra_delay_ns + receiver.extra_delay_ns

    def cut(self, pairs: Iterable[AddressPair]) -> None:
        """Block some directions; each stays blocked until it was healed as often as it was cut."""
        for pair in pairs:
            self.cuts[pair] = self.cuts.get(pair, 0) + 1

    def heal(self, pairs: Iterable[AddressPair]) -> None:
        """Undo one `cut`; messages that it held back are retransmitted in order."""
        for pair in pairs:
            self.cuts[pair] -= 1
            if self.cuts[pair]:
                continue
            del self.cuts[pair]
            for ip in pair:
                self.machines[ip].recovered_at_ns = self.sim.now_ns
            for connection in self.blocked.pop(pair, {}):
                blocked_arrivals = connection.blocked_arrivals
                connection.blocked_arrivals = 0
                if not connection.process.machine.powered:
                    continue
                for _ in range(blocked_arrivals):
                    connection.schedule_arrival()

    def connected(self, first_ip: str, second_ip: str) -> bool:
        """Whether no direction between two addresses is blocked."""
        return (first_ip, second_ip) not in self.cuts and (second_ip, first_ip) not in self.cuts

    # Connections.

    def deliver(self, connection: PeerConnection) -> None:
        """Deliver the next message of a connection to its peer, if the network and the peer permit."""
        if not connection.in_flight:
            return
        sender = connection.process.machine
        receiver = connection.peer.process.machine
        pair = sender.ip, receiver.ip
        if pair in self.cuts:
            connection.blocked_arrivals += 1
            self.blocked.setdefault(pair, {})[connection] = None
            self.start_user_timeout(connection)
            return
        data = connection.in_flight.popleft()
        if not receiver.powered:
            self.start_user_timeout(connection)
            return
        if (receiver.ip, sender.ip) in self.cuts:
            self.start_user_timeout(connection)  # the message arrives, but its acknowledgement is lost
        if connection.peer.closed or not connection.peer.process.alive:
            if data is not FIN:
                self.sim.call_after(self.delay(receiver, sender), self.deliver_reset, connection)
            return
        if data is not FIN:
            self.sim.record_message(data)
            if self.on_message is not None:
                self.on_message(sender, receiver, data)
                if not connection.peer.process.alive:
                    return
        connection.peer.process.dispatch(connection.peer.receive, data)

    def deliver_reset(self, connection: PeerConnection) -> None:
        """Deliver a reset from the peer's system, whose process has ended or closed the connection."""
        if self.connected(connection.process.machine.ip, connection.peer.process.machine.ip):
            connection.process.dispatch(connection.abort)

    def start_user_timeout(self, connection: PeerConnection) -> None:
        """Start the TCP user timeout of unacknowledged data, unless it is already running."""
        if connection.unacknowledged_since_ns is None:
            connection.unacknowledged_since_ns = self.sim.now_ns
            self.sim.call_after(USER_TIMEOUT_MS * NS_PER_MS, self.expire_user_timeout, connection)

    def expire_user_timeout(self, connection: PeerConnection) -> None:
        """Abort a connection if the peer is unreachable or messages are held back after `USER_TIMEOUT_MS`."""
        connection.unacknowledged_since_ns = None
        receiver = connection.peer.process.machine
        reachable = self.connected(connection.process.machine.ip, receiver.ip) and receiver.powered
        if not reachable or connection.blocked_arrivals:
            connection.in_flight.clear()
            connection.process.dispatch(connection.abort)

    def dial(
        self, process: Process, address: Address, handlers: MessageHandlers, timeout: float
    ) -> PeerConnection:
        """Open a connection from a process to another.

        Args:
            process: the process that dials.
            address: address to dial; the port is ignored, as a machine runs one process.
            handlers: handlers for messages from the peer.
            timeout: maximum wait in seconds.

        Raises:
            ConnectionRefusedError: no process listens there.
            TimeoutError: no answer within `timeout` seconds.
        """
        attempt = ConnectionAttempt(self, process, address, handlers)
        outcome = attempt.run(timeout)
        if isinstance(outcome, PeerConnection):
            return outcome
        if outcome is REFUSED:
            raise ConnectionRefusedError(str(address))
        raise TimeoutError(str(address))

    # Datagrams.

    def send_datagram(self, sender: Machine, address: Address, data: bytes) -> None:
        """Send a datagram, which may be lost, duplicated or reordered."""
        rng = self.sim.rng
        receiver = self.machines.get(address[0])
        if receiver is None or rng.random() < self.loss:
            return
        copies = 2 if rng.random() < self.loss / 4 else 1
        for _ in range(copies):
            reordering_ns = 0
            if rng.random() < 0.1:
                reordering_ns = int(rng.expovariate(1 / MEAN_REORDERING_MS) * NS_PER_MS)
            delay_ns = self.delay(sender, receiver) + reordering_ns
            self.sim.call_after(delay_ns, self.deliver_datagram, sender, receiver, data)

    def deliver_datagram(self, sender: Machine, receiver: Machine, data: bytes) -> None:
        """Deliver a datagram, if the receiver is reachable and its process listens."""
        if (sender.ip, receiver.ip) in self.cuts or not receiver.powered:
            return
        process = receiver.process
        if process is None or not process.on_datagram:
            return
        self.sim.record_message(data)
        process.dispatch(process.on_datagram, data, sender)


class ConnectionAttempt:
    """A single attempt to open a connection: the request to a machine and the outcome sent back."""

    def __init__(
        self, network: Network, process: Process, address: Address, handlers: MessageHandlers
    ) -> None:
        """Prepare an attempt by the current task; see `Network.dial`."""
        self.network = network
        self.process = process
        self.handlers = handlers
        self.waiter = Waiter(process)
        self.receiver = network.machines.get(address[0])

    def run(self, timeout: float) -> Any:
        """Return the connection, `REFUSED`, or None if no outcome arrived within `timeout` seconds."""
        if self.receiver is not None:
            delay_ns = self.network.delay(self.process.machine, self.receiver)
            self.network.sim.call_after(delay_ns, self.arrive)
        return self.waiter.wait(timeout)

    def arrive(self) -> None:
        """Handle the request at the receiver: accept or refuse it, or drop it if a way is blocked."""
        sender = self.process.machine
        receiver = self.receiver
        if not receiver.powered or not self.network.connected(sender.ip, receiver.ip):
            return
        outcome: Any = REFUSED
        listener = receiver.process
        if listener is not None and listener.alive and listener.handlers is not None:
            outcome = PeerConnection(self.process, self.handlers)
            outcome.peer = PeerConnection(listener, listener.handlers)
            outcome.peer.peer = outcome
        delay_ns = self.network.delay(receiver, sender)
        self.network.sim.call_after(delay_ns, self.process.dispatch, self.finish, outcome)

    def finish(self, outcome: Any) -> None:
        """Handle the outcome at the caller; a connection that opens after the timeout is closed."""
        if self.waiter.done and outcome is not REFUSED:
            self.process.connections.pop(outcome, None)
            outcome.close()
        self.waiter.wake(outcome)


class SimulatedFailureDetector(FailureDetector):
    """Failure detector over simulated datagrams."""

    def __init__(
        self, process: Process, local_member: Member, seeds: Callable[[], Iterable[Address]]
    ) -> None:
        """Start listening; `start` begins to send.  For the arguments see `FailureDetector`."""
        self.process = process
        super().__init__(local_member, seeds, runtime=process.runtime)

    def open(self) -> None:
        """Receive the datagrams that arrive at the process."""
        port = self.member_list.local_member.port

        def receive(data: bytes, sender: Machine) -> None:
            self.on_datagram(data, (sender.ip, port))

        self.process.on_datagram = receive

    def start(self) -> None:
        """Start the protocol in a task."""
        self.runtime.spawn(self.run)

    def send_datagram(self, data: bytes, address: Address) -> None:
        """Send a datagram; does nothing if the process has ended."""
        if self.process.alive:
            machine = self.process.machine
            machine.network.send_datagram(machine, address, data)
