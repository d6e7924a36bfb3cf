"""The simulated network: machines, connections, datagrams, and partitions between machines.

`PeerConnection` stands in for `transport.peer_connection.PeerConnection`, `SimulatedFailureDetector` for the
UDP socket under `membership.failure_detector.FailureDetector`.

What is modelled of TCP: order within a direction, bytes that a partition holds up, an end after
`USER_TIMEOUT_MS` without an acknowledgement (`transport/peer_connection.py` asks the system for that), resets
by a process that is gone, silence of a machine without power, a receiver that sleeps while its system still
acknowledges.
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

PEER_PORT = 7700  # of a controller, for other processes
DELAY_IN_ZONE_NS = 300_000
DELAY_IN_REGION_NS = 1_000_000
DELAY_BETWEEN_REGIONS_NS = 20_000_000
MEAN_REORDERING_MS = 20  # by which a datagram that others overtake comes later
START_OF_WALL_CLOCK_MS = 1_700_000_000_000
REFUSED = object()  # the outcome of a dial to a port at which nobody listens

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder().decode

AddressPair = tuple[str, str]  # IP addresses: from, to


class PeerConnection:
    """One end of a connection, with the interface of `transport.peer_connection.PeerConnection`.

    Attributes:
        peer: the other end.
        waiting: who waits for an answer, by the number of the question.
        number: of the last question.
        closed: whether it has ended at this end.
        on_close: called with this connection when it has ended here.
        inbox: what has arrived and is not handled.
        reading: whether a task is handling the inbox.
        in_flight: what was sent and has not arrived.
        held_up: how many arrivals a partition holds up.
        last_arrival_ns: when the last message sent arrives.
        unacknowledged_since_ns: when the acknowledgements stopped; None while they come.
    """

    def __init__(self, process: Process, handlers: MessageHandlers) -> None:
        """Make an end without a peer, which `ConnectionAttempt` sets."""
        self.process = process
        self.handlers = handlers
        self.network = process.machine.network
        self.peer: PeerConnection | None = None
        self.waiting: dict[int, Waiter] = {}
        self.number = 0
        self.closed = False
        self.on_close: list[Callable[[PeerConnection], None]] = []
        self.inbox: deque = deque()
        self.reading = False
        self.in_flight: deque = deque()
        self.held_up = 0
        self.last_arrival_ns = 0
        self.unacknowledged_since_ns: int | None = None
        process.links[self] = None

    def send(self, kind: str, body: Any = None, number: int = 0) -> None:
        """Send a message; nothing happens where the connection or the process has ended."""
        if not self.closed and self.process.alive:
            self.put(encode([number, kind, body]))

    def put(self, data: Any) -> None:
        """Send bytes of a message, or `FIN`."""
        self.in_flight.append(data)
        self.schedule_arrival()

    def schedule_arrival(self) -> None:
        """Have the next of `in_flight` arrive, after all that was sent before it."""
        sim = self.process.sim
        delay_ns = self.network.delay(self.process.machine, self.peer.process.machine)
        self.last_arrival_ns = max(self.last_arrival_ns + 1, sim.now_ns + delay_ns)
        sim.call_at(self.last_arrival_ns, self.network.arrive, self)

    def ask(self, kind: str, body: Any = None, timeout: float = 1.0) -> Any:
        """Send a question and wait for its answer.

        Args:
            kind: kind of the message.
            body: what is asked.
            timeout: seconds to wait at most.

        Returns:
            The body of the answer.

        Raises:
            ConnectionClosed: no answer came in time, or the connection ended; whether the peer acted on the
                question is not known.
        """
        if self.closed:
            raise ConnectionClosed
        self.number += 1
        number = self.number
        waiter = Waiter(self.process)
        self.waiting[number] = waiter
        self.send(kind, body, number)
        try:
            answer = waiter.wait(timeout)
        finally:
            self.waiting.pop(number, None)
        if answer is None:
            raise ConnectionClosed
        return answer[0]

    def take(self, data: Any) -> None:
        """Hand what has arrived to a task of this process."""
        self.inbox.append(data)
        if not self.reading:
            self.reading = True
            self.process.runtime.spawn(self.read)

    def read(self) -> None:
        """Handle what is in the inbox; `FIN` or a message that can't be handled closes the connection."""
        stays_open = False
        try:
            while self.inbox and not self.closed:
                data = self.inbox.popleft()
                if data is FIN:
                    return
                self.handle(data)
            stays_open = True
        except (OSError, msgspec.DecodeError, ValueError, TypeError):
            pass
        finally:
            self.reading = False
            if not stays_open:
                self.close()

    def handle(self, data: bytes) -> None:
        """Handle one message: an answer, a question, or one that wants no answer."""
        number, kind, body = decode(data)
        if number < 0:
            waiter = self.waiting.get(-number)
            if waiter is not None:
                self.process.call_soon(waiter.wake, (body,))
            return
        handler = self.handlers.get(kind)
        if handler is None:
            return
        if number:
            self.process.runtime.spawn(self.answer, handler, number, body)
        else:
            handler(self, body)

    def answer(self, handler: MessageHandler, number: int, body: Any) -> None:
        """Answer a question with what its handler returns."""
        self.send(ANSWER_KIND, handler(self, body), -number)

    def close(self) -> None:
        """Close the connection, and let the peer know."""
        if self.closed or not self.process.alive:
            return
        self.put(FIN)
        self.ended()

    def ended(self) -> None:
        """Tell this process that the connection has ended here, for whatever reason."""
        self.closed = True
        self.process.links.pop(self, None)
        for waiter in [*self.waiting.values()]:
            self.process.call_soon(waiter.wake, None)
        for watcher in self.on_close:
            watcher(self)

    def lost(self) -> None:
        """The system gave the connection up, with what is under way."""
        self.in_flight.clear()
        if not self.closed:
            self.ended()


class Machine:
    """Power, an address, clocks.

    Attributes:
        powered: whether it has power.
        process: what runs there now.
        extra_delay_ns: what a slow link adds to each message from and to it.
        recovered_at_ns: when it was last thawed, or a partition that it was in healed.
        clock_offset_ns: from virtual time to its steady clock.
        wall_clock_error_ms: of its time of day.
    """

    def __init__(self, network: "Network", name: str, ip: str, zone: str, region: str) -> None:
        """Begin without power, known to the network by `ip`."""
        self.network = network
        self.name = name
        self.ip = ip
        self.zone = zone
        self.region = region
        self.powered = False
        self.process: Process | None = None
        self.extra_delay_ns = 0
        self.recovered_at_ns = 0
        chance = network.sim.rng
        self.clock_offset_ns = chance.randrange(10**6) * NS_PER_SECOND
        self.wall_clock_error_ms = chance.randrange(-300, 300)
        network.machines[ip] = self

    @property
    def process_address(self) -> Address:
        """Where other processes reach a controller on it."""
        return self.ip, PEER_PORT

    def boot(self) -> None:
        """Get power; the steady clock begins anew."""
        self.powered = True
        sim = self.network.sim
        self.clock_offset_ns = sim.rng.randrange(100) * NS_PER_SECOND - sim.now_ns

    def wall_ms(self) -> int:
        """The time of day as this machine has it, in milliseconds."""
        return START_OF_WALL_CLOCK_MS + self.network.sim.now_ns // NS_PER_MS + self.wall_clock_error_ms


class Network:
    """Who reaches whom, and how fast.

    Attributes:
        loss: share of datagrams that are lost.
        machines: by IP address.
        cuts: directions in which nothing passes, each with how many partitions cut it.
        on_message: called with the sender's machine, the receiver's and the data, at each message that
            arrives.
        stuck: connections with bytes that a partition holds up, by direction.
    """

    def __init__(self, sim: Simulation, loss: float) -> None:
        """Begin without machines and partitions."""
        self.sim = sim
        self.loss = loss
        self.machines: dict[str, Machine] = {}
        self.cuts: dict[AddressPair, int] = {}
        self.on_message: Callable[[Machine, Machine, bytes], None] | None = None
        self.stuck: dict[AddressPair, dict[PeerConnection, None]] = {}

    def delay(self, sender: Machine, receiver: Machine) -> int:
        """Draw how long a message takes, in nanoseconds."""
        if sender.zone == receiver.zone:
            base_ns = DELAY_IN_ZONE_NS
        elif sender.region == receiver.region:
            base_ns = DELAY_IN_REGION_NS
        else:
            base_ns = DELAY_BETWEEN_REGIONS_NS
        drawn_ns = int(base_ns * (1 + self.sim.rng.random()))
        return drawn_ns + sender.extra_delay_ns + receiver.extra_delay_ns

    def cut(self, pairs: Iterable[AddressPair]) -> None:
        """Let nothing pass in some directions, until each is healed as often as it was cut."""
        for pair in pairs:
            self.cuts[pair] = self.cuts.get(pair, 0) + 1

    def heal(self, pairs: Iterable[AddressPair]) -> None:
        """Undo one `cut`; what it held up is sent again, in order."""
        for pair in pairs:
            self.cuts[pair] -= 1
            if self.cuts[pair]:
                continue
            del self.cuts[pair]
            for ip in pair:
                self.machines[ip].recovered_at_ns = self.sim.now_ns
            for link in self.stuck.pop(pair, {}):
                held_up = link.held_up
                link.held_up = 0
                if not link.process.machine.powered:
                    continue
                for _ in range(held_up):
                    link.schedule_arrival()

    def connected(self, first_ip: str, second_ip: str) -> bool:
        """Whether messages pass both ways between two addresses."""
        return (first_ip, second_ip) not in self.cuts and (second_ip, first_ip) not in self.cuts

    # Connections.

    def arrive(self, link: PeerConnection) -> None:
        """Bring the next message of a connection to the other end, or not."""
        if not link.in_flight:
            return
        sender = link.process.machine
        receiver = link.peer.process.machine
        pair = sender.ip, receiver.ip
        if pair in self.cuts:
            link.held_up += 1
            self.stuck.setdefault(pair, {})[link] = None
            self.miss_acknowledgement(link)
            return
        data = link.in_flight.popleft()
        if not receiver.powered:
            self.miss_acknowledgement(link)
            return
        if (receiver.ip, sender.ip) in self.cuts:
            self.miss_acknowledgement(link)  # the message arrives, but the acknowledgement does not
        if link.peer.closed or not link.peer.process.alive:
            if data is not FIN:
                self.sim.call_after(self.delay(receiver, sender), self.reset, link)
            return
        if data is not FIN:
            self.sim.record_message(data)
            if self.on_message is not None:
                self.on_message(sender, receiver, data)
                if not link.peer.process.alive:
                    return
        link.peer.process.dispatch(link.peer.take, data)

    def reset(self, link: PeerConnection) -> None:
        """A reset by the peer's system arrives: its process is gone, or has closed its end."""
        if self.connected(link.process.machine.ip, link.peer.process.machine.ip):
            link.process.dispatch(link.lost)

    def miss_acknowledgement(self, link: PeerConnection) -> None:
        """From now on nothing is acknowledged: have `give_up` look at that when the time limit is over."""
        if link.unacknowledged_since_ns is None:
            link.unacknowledged_since_ns = self.sim.now_ns
            self.sim.call_after(USER_TIMEOUT_MS * NS_PER_MS, self.give_up, link)

    def give_up(self, link: PeerConnection) -> None:
        """End a connection whose data stayed unacknowledged for `USER_TIMEOUT_MS`, if it still does."""
        link.unacknowledged_since_ns = None
        receiver = link.peer.process.machine
        reachable = self.connected(link.process.machine.ip, receiver.ip) and receiver.powered
        if not reachable or link.held_up:
            link.in_flight.clear()
            link.process.dispatch(link.lost)

    def dial(
        self, process: Process, address: Address, handlers: MessageHandlers, timeout: float
    ) -> PeerConnection:
        """Connect a process to another.

        Args:
            process: who dials.
            address: whom; the port is not looked at, as a machine has one process.
            handlers: of messages that the other sends.
            timeout: seconds to wait at most.

        Raises:
            ConnectionRefusedError: at once, where nobody listens.
            TimeoutError: nobody answered within `timeout` seconds.
        """
        attempt = ConnectionAttempt(self, process, address, handlers)
        outcome = attempt.run(timeout)
        if isinstance(outcome, PeerConnection):
            return outcome
        if outcome is REFUSED:
            raise ConnectionRefusedError(str(address))
        raise TimeoutError(str(address))

    # Datagrams.

    def datagram(self, sender: Machine, address: Address, data: bytes) -> None:
        """Send a datagram: it may be lost, doubled, or overtaken by others."""
        chance = self.sim.rng
        receiver = self.machines.get(address[0])
        if receiver is None or chance.random() < self.loss:
            return
        copies = 2 if chance.random() < self.loss / 4 else 1
        for _ in range(copies):
            reordering_ns = 0
            if chance.random() < 0.1:
                reordering_ns = int(chance.expovariate(1 / MEAN_REORDERING_MS) * NS_PER_MS)
            delay_ns = self.delay(sender, receiver) + reordering_ns
            self.sim.call_after(delay_ns, self.deliver_datagram, sender, receiver, data)

    def deliver_datagram(self, sender: Machine, receiver: Machine, data: bytes) -> None:
        """Hand a datagram to the process that listens for it, if it can arrive."""
        if (sender.ip, receiver.ip) in self.cuts or not receiver.powered:
            return
        process = receiver.process
        if process is None or not process.on_datagram:
            return
        self.sim.record_message(data)
        process.dispatch(process.on_datagram, data, sender)


class ConnectionAttempt:
    """One dial: a request on its way to a machine, and its outcome on the way back."""

    def __init__(
        self, network: Network, process: Process, address: Address, handlers: MessageHandlers
    ) -> None:
        """Prepare a dial by the running task; see `Network.dial`."""
        self.network = network
        self.process = process
        self.handlers = handlers
        self.waiter = Waiter(process)
        self.receiver = network.machines.get(address[0])

    def run(self, timeout: float) -> Any:
        """Give the connection, `REFUSED`, or None where no outcome came within `timeout` seconds."""
        if self.receiver is not None:
            delay_ns = self.network.delay(self.process.machine, self.receiver)
            self.network.sim.call_after(delay_ns, self.arrive)
        return self.waiter.wait(timeout)

    def arrive(self) -> None:
        """The request reaches the machine, which accepts or refuses it, or stays silent."""
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
        """The outcome reaches who dialled; a connection that comes after the time-out is closed."""
        if self.waiter.done and outcome is not REFUSED:
            self.process.links.pop(outcome, None)
            outcome.close()
        self.waiter.wake(outcome)


class SimulatedFailureDetector(FailureDetector):
    """Membership over simulated datagrams."""

    def __init__(
        self, process: Process, local_member: Member, seeds: Callable[[], Iterable[Address]]
    ) -> None:
        """Listen at once; `start` begins to send.  For the arguments see `FailureDetector`."""
        self.process = process
        super().__init__(local_member, seeds, runtime=process.runtime)

    def open(self) -> None:
        """Take the datagrams that arrive at the process."""
        port = self.member_list.local_member.port

        def receive(data: bytes, sender: Machine) -> None:
            self.on_datagram(data, (sender.ip, port))

        self.process.on_datagram = receive

    def start(self) -> None:
        """Run beside the caller."""
        self.runtime.spawn(self.run)

    def send_datagram(self, data: bytes, address: Address) -> None:
        """Send a datagram, unless the process has ended."""
        if self.process.alive:
            machine = self.process.machine
            machine.network.datagram(machine, address, data)
