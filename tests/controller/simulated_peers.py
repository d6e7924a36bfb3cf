"""Controllers without sockets for the tests of this package, which control calls, clocks and messages."""

import io
import itertools
import random
from collections.abc import Callable, Iterable, Iterator
from types import SimpleNamespace
from typing import Any

import msgspec
from gevent import pywsgi
from greenlet import greenlet

from flintreach.consensus.acceptor import Slot
from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.register import Register
from flintreach.controller.http_api import ENVIRON_CALLER_DISCONNECTED, CallName, ControlApi
from flintreach.controller.operator_requests import OperatorRequests
from flintreach.controller.peer_exchange import PeerExchange
from flintreach.controller.quorum_contact import QuorumContact, SuspendDetector
from flintreach.controller.repair import Repair
from flintreach.dissemination.versioned_store import VersionedStore

ALL_CALLS = frozenset(CallName)
OWN_ADDRESS = ("10.0.0.0", 7)
PEER_ADDRESSES = [("10.0.0.1", 7), ("10.0.0.2", 7)]
THREE_VOTERS = Voters(1, tuple((address, "") for address in [OWN_ADDRESS, *PEER_ADDRESSES]))
MESSAGE_S = 0.01  # duration of one message in a cluster


class CountingInput(io.BytesIO):
    """A request body that counts the bytes read from it."""

    read_bytes = 0

    def read(self, size: int | None = -1) -> bytes:
        data = super().read(size)
        self.read_bytes += len(data)
        return data

    def readline(self, size: int | None = -1) -> bytes:
        data = super().readline(size)
        self.read_bytes += len(data)
        return data


def configuration_body(number: int, host: str = "a.example") -> bytes:
    """Return a configuration as operators submit it."""
    return msgspec.json.encode(
        {
            "edition": f"{number:08x}",
            "depots": [{"name": "desk"}],
            "wickets": [
                {
                    "destination": host,
                    "regulations": [
                        {
                            "name": "r",
                            "kind": "safe",
                            "sorting": {"postcode": "/x/"},
                            "dispatch": {"line": "desk", "deadline_ms": 2000, "tries": 2},
                        }
                    ],
                }
            ],
        }
    )


def never_gone() -> bool:
    """Report that the caller is still connected."""
    return False


def call_api(
    api: ControlApi,
    method: str,
    path: str,
    body: bytes = b"",
    content_length: int | None = None,
    chunked: bool = False,
    caller_gone: Callable[[], bool] = never_gone,
) -> tuple[int, Any, dict[str, str], int]:
    """Call the API as gevent's server does; return status, decoded body, headers and number of bytes read."""
    counting_input = CountingInput(body)
    if chunked:
        length = None
    else:
        length = len(body) if content_length is None else content_length
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "QUERY_STRING": "",
        ENVIRON_CALLER_DISCONNECTED: caller_gone,
        "wsgi.input": pywsgi.Input(counting_input, length, chunked_input=chunked),
    }
    if length is not None:
        environ["CONTENT_LENGTH"] = str(length)
    started: list[Any] = []

    def start_response(status: str, headers: list[tuple[str, str]]) -> None:
        started.extend((status, dict(headers)))

    data = b"".join(api(environ, start_response))
    environ["wsgi.input"]._discard()  # as the server does after each response
    status_line, headers = started
    return int(status_line.split()[0]), msgspec.json.decode(data), headers, counting_input.read_bytes


class FakePlane:
    """The part of a control plane that `ControlApi` uses, with a simulated clock.

    It starts in contact with a quorum, and loses contact as time passes.
    """

    def __init__(self, **parts: Any) -> None:
        self.runtime = self
        self.time = 100.0
        self.quorum_contact = QuorumContact()
        self.suspend_detector = SuspendDetector(self.time)
        self.refusals: list[str] = []
        self.make_contact()
        vars(self).update(parts)

    def now(self) -> float:
        return self.time

    def make_contact(self) -> None:
        """Record a report of all voters at the current time."""
        for address in (OWN_ADDRESS, *PEER_ADDRESSES):
            self.quorum_contact.record_report(address, self.time, {}, self.time)

    def pass_time(self, seconds: float, suspended: bool = False) -> None:
        """Advance the clock, with the process running or suspended."""
        until = self.time + seconds
        while not suspended and self.time < until - 0.1:
            self.time += 0.1
            self.suspend_detector.is_current(self.time)
        self.time = until

    def quorum_contact_age(self) -> float:
        return self.quorum_contact.age(THREE_VOTERS, self.time)

    def count_refusal(self, reason: str) -> None:
        self.refusals.append(reason)


class UncontendedLock:
    """A lock for tasks that never wait while they hold it."""

    def __enter__(self) -> "UncontendedLock":
        return self

    def __exit__(self, *_: object) -> None:
        pass


class Cluster:
    """Controllers whose messages are function calls; each message is a turn, and tests may order the turns.

    Attributes:
        blocked_links: pairs (from, to) of addresses between which all messages are lost.
        now: the simulated time, which only sleeps advance.
    """

    def __init__(self, size: int, disks: dict[Address, dict[str, Slot]] | None = None) -> None:
        self.now = 100.0
        self.blocked_links: set[tuple[Address, Address]] = set()
        self.rng = random.Random(1)
        self.addresses = [(f"10.0.0.{number}", 7) for number in range(size)]
        self.voters = Voters(1, tuple((address, "") for address in self.addresses))
        self.nodes = [Node(self, address, (disks or {}).get(address)) for address in self.addresses]

    def disks(self) -> dict[Address, dict[str, Slot]]:
        """Return the slots on the disks, for a cluster that restarts with them."""
        return {node.address: node.register.acceptor.slots for node in self.nodes}

    def yield_turn(self) -> None:
        """Let another task run, if there are several."""
        parent = greenlet.getcurrent().parent
        if parent:
            parent.switch()

    def run_interleaved(self, functions: list[Callable[[], Any]], order: Iterable[int] = ()) -> list[Any]:
        """Run functions concurrently, with turns by `order` and then round-robin; return their results."""
        results: dict[int, Any] = {}

        def run(index: int, function: Callable[[], Any]) -> None:
            results[index] = function()

        tasks = [
            greenlet(lambda index=index, function=function: run(index, function))
            for index, function in enumerate(functions)
        ]
        for index in itertools.chain(order, itertools.cycle(range(len(tasks)))):
            if all(task.dead for task in tasks):
                break
            if not tasks[index].dead:
                tasks[index].switch()
        return [results[index] for index in range(len(tasks))]

    def evacuated(self, zone: str) -> Iterator[bool]:
        """Yield for each controller whether it reads a zone as evacuated."""
        for node in self.nodes:
            is_done, value = node.register.read("evac")
            if not is_done:
                raise AssertionError(f"read of evacuations at {node.address} found no quorum")
            yield msgspec.msgpack.decode(value)[1].get(zone, False) if value else False


class Node:
    """One controller's register and requests; also their peer pool, runtime and control plane."""

    def __init__(self, cluster: Cluster, address: Address, slots: dict[str, Slot] | None = None) -> None:
        self.cluster = cluster
        self.address = address
        self.handlers: dict[str, Callable[..., Any]] = {}
        self.rng = cluster.rng
        self.updates = VersionedStore()
        self.peer_pool = self
        self.runtime = self
        disk = SimpleNamespace(
            incarnation=f"incarnation {address}",
            voting=True,
            slots=dict(slots or {}),
            facts={},
            persist=lambda *rows: True,
        )
        self.register = Register(self, cluster.voters, disk)
        self.serving = True
        self.refusals: list[str] = []
        self.quorum_contact = QuorumContact()
        self.suspend_detector = SuspendDetector(cluster.now)
        self.operator_requests = OperatorRequests(self)
        self.repair = Repair(self)
        self.peer_exchange = PeerExchange(self)
        self.api = ControlApi(self, ALL_CALLS)

    # Control plane.

    def quorum_contact_age(self) -> float:
        return 0.0  # tests of the contact age use `quorum_contact` directly

    def count_refusal(self, reason: str) -> None:
        self.refusals.append(reason)

    # Runtime.

    def now(self) -> float:
        return self.cluster.now

    def sleep(self, seconds: float) -> None:
        self.cluster.now += seconds
        for _ in range(1 + int(seconds / MESSAGE_S)):  # others may take one turn for each message time
            self.cluster.yield_turn()

    def spawn(self, function: Callable[..., Any], *args: Any) -> None:
        function(*args)

    def lock(self) -> UncontendedLock:
        return UncontendedLock()

    # Peer pool.

    def ask(self, address: Address, kind: str, body: Any = None, timeout: float = 1.0) -> Any:
        self.cluster.yield_turn()
        if {(self.address, address), (address, self.address)} & self.cluster.blocked_links:
            return None
        peer = self.cluster.nodes[self.cluster.addresses.index(address)]
        packed = msgspec.msgpack.encode(body)
        answer = peer.handlers[kind](None, msgspec.msgpack.decode(packed))
        return msgspec.msgpack.decode(msgspec.msgpack.encode(answer))

    def gather(
        self,
        addresses: list[Address],
        kind: str,
        body: Any,
        enough: Callable[[list], bool],
        timeout: float = 1.0,
        ask: Callable[..., Any] | None = None,
    ) -> list[tuple[Address, Any]]:
        answers: list[tuple[Address, Any]] = []
        own_index = self.cluster.addresses.index(self.address)
        for address in [*addresses[own_index:], *addresses[:own_index]]:  # the local disk first
            question = body(address) if callable(body) else body
            answer = (ask or self.ask)(address, kind, question, timeout)
            if answer is not None:
                answers.append((address, answer))
                enough(answers)
        return answers
