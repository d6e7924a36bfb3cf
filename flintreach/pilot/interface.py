"""What passes between the decisions and whatever protocol carries them: events in, orders out.

All times are whole nanoseconds.  Servers, slices, proxies and operations are objects that
the two sides share and compare by identity; their ids stay with the protocol.
"""

from dataclasses import dataclass, field
from enum import StrEnum

SECOND = 1_000_000_000  # in nanoseconds

# Figures of load that the decisions read, by their names in `ServerReport.load`.
LOAD_QUEUE = "queue"  # invocations that wait
LOAD_UTILISATION = "util"  # of 1
ADMITS_BY_SHARE = "share"  # of `Settings.admits_by`: a level is the part of an operation that is let in


class ServerListKind(StrEnum):
    """What a roster is, as `ServerList.kind` holds it."""

    DELTA = "delta"  # what has changed
    FULL = "full"
    CACHED = "cached"  # the last full one, which may be old
    FAILED = "failed"  # there is none


class EntryState(StrEnum):
    """What a roster says of a server, as `ServerEntry.state` holds it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ProbeStatus(StrEnum):
    """How a probe ended, as `ProbeResult.status` holds it."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"


@dataclass(slots=True, eq=False, weakref_slot=True)
class Server:
    """A machine's process as the roster names it; it keeps its object over restarts."""

    name: str  # for log lines alone
    zone: int = 0  # failure domain, by its number
    machine_type: int = 0  # its type, by its number
    cell: int = 0  # its group, by its number
    name_hash: int = 0  # a hash of what it is called, so the same at every pilot


@dataclass(slots=True, eq=False)
class Slice:
    """A shard of the key space, which has one table: the servers that serve it, with their weights."""

    number: int


@dataclass(slots=True, eq=False)
class Proxy:
    """A proxy that has joined at least once; it holds the tables and sends invocations by them."""

    number: int
    zone: int = 0
    rate: float = 0.0  # invocations a second that it usually gets


@dataclass(slots=True, eq=False)
class Operation:
    """A kind of invocation; billed value, objective and effect are the operator's."""

    name: str  # for log lines alone
    index: int  # its position among the operations of the settings
    objective: int  # latency that it should keep
    attempt_timeout: int  # after it no answer to an attempt comes
    billed_value: float = 1.0
    effect: str = "idempotent"  # or "fingerprinted", "side-effecting"
    group: str = "all"  # fingerprinted: who drops repeats: "all", "zone" or "cell"
    window: int = 0  # fingerprinted: for how long
    writes: bool = False
    home_only: bool = False  # goes only to servers in the proxy's zone


@dataclass(slots=True)
class Settings:
    """What an instance is told at its start."""

    seed: int = 0  # of all random draws
    number: int = 0  # of this pilot
    pilots: int = 1  # among which the slices are divided
    zone: int = 0  # of this pilot
    zones: int = 1
    proxies: int = 1
    operations: list[Operation] = field(default_factory=list)
    slices: list[Slice] = field(default_factory=list)
    exclusive: bool = False  # a slice has one replica at the most
    server_list_on_request: bool = False  # the roster comes only when asked for
    ask_within: int = 10 * SECOND
    weights: str = "none"  # what a listed weight holds: "none", "nominal", "rough" or "live"
    cold_share: float = 1.0  # a process starts at this part of its capacity, or more
    warm_up: int = 0  # time until it has all of its capacity
    drain_grace: int = SECOND
    fall_multiple: float = 3.0
    fall_window: int = 2 * SECOND
    only_draining_binds: bool = False
    bare_limit: int = 5 * SECOND
    tick: int = 1_000_000  # how long events gather before a turn takes them
    channel_pace: float = 1000.0  # lines a second
    channel_limit: float = 1000.0  # lines that may wait
    message_head: float = 8.0  # lines that a message costs besides its own
    messages_most: int = 0  # to one proxy within messages_window; 0: no limit
    messages_window: int = 10 * SECOND
    transit: int = 0
    transit_most: int = 0
    period: int = SECOND  # of the sums
    sums_pace: float = 100.0  # lines of sums a second at most
    admits_by: str = "share"  # "share", "rate" or "none"
    choice: str = "weighted"  # "weighted", "round" or "two"
    load_fields: tuple[str, ...] = ()  # "inflight", "queue", "util", "latency_ms", "qps", "eps"
    probes: bool = False
    tells: bool = False
    offload_search: bool = False  # searches are to be done beside the decisions: RunSearch, then SearchResult


# Events, in the order in which they came.


@dataclass(slots=True)
class ServerEntry:
    """One server of a roster."""

    server: Server
    state: str  # of EntryState
    weight: float
    started: int  # 0: long ago


@dataclass(slots=True)
class ServerList:
    """A list of servers, or what has changed in it."""

    kind: str  # of ServerListKind
    entries: list[ServerEntry]


@dataclass(slots=True)
class ProxyJoined:
    """A proxy has joined; nothing that was sent to it before is outstanding any more."""

    proxy: Proxy
    fresh: bool


@dataclass(slots=True)
class ProxyLeft:
    """A proxy has gone."""

    proxy: Proxy


@dataclass(slots=True)
class SliceAssignment:
    """A slice is now ours, or another pilot's."""

    slice: Slice
    owned: bool


@dataclass(slots=True)
class SliceReplica:
    """A line of the store's table of a slice just given."""

    slice: Slice
    server: Server
    weight: float


@dataclass(slots=True)
class ServerReport:
    """What joined proxies of a zone met at a server, summed up over `span`."""

    zone: int
    server: Server
    tries: int
    unanswered: int
    latency: int  # mean of those that succeeded; 0: none did
    span: int
    load: dict[str, float]
    kind: tuple[bool, ...] | None = None  # of the lines that it sums up, by the decisions; None: one line


@dataclass(slots=True)
class HostLoad:
    """What a server's host says of itself, by others' means: the part of its processors that works."""

    server: Server
    busy: float
    age: int  # since it was true


@dataclass(slots=True)
class DemandReport:
    """Invocations that came for a slice within `span`; without slices, to a proxy."""

    slice: Slice | None
    proxy: Proxy | None
    operation: Operation
    tries: int
    unanswered: int
    span: int
    kind: tuple[bool, ...] | None = None  # as in ServerReport
    lines: int = 1  # that it sums up


@dataclass(slots=True)
class OrdersApplied:
    """A proxy has applied all orders up to a mark."""

    proxy: Proxy
    number: int
    latency: int


@dataclass(slots=True)
class ProbeResult:
    """The answer to a `Probe`, or that there was none."""

    server: Server
    status: str  # of ProbeStatus
    latency: int
    load: dict[str, float]


@dataclass(slots=True)
class SearchResult:
    """A search that was done elsewhere, to its end; `best` None: nobody did it, and the decisions must."""

    search: object
    best: tuple | None
    counter: int


@dataclass(slots=True)
class PilotMessage:
    """A message from another pilot."""

    pilot: int
    data: bytes


@dataclass(slots=True)
class TimerFired:
    """The time of an earlier `SetTimer` has come."""

    label: int


# Orders.  What is ordered in one reply reaches each proxy as one message.


@dataclass(slots=True)
class SetWeight:
    """Give a server a weight in a slice's table."""

    slice: Slice
    server: Server
    weight: float  # 0 removes the line


@dataclass(slots=True)
class BindProxy:
    """Without slices: put a proxy on a table, for all operations or for some."""

    slice: Slice
    proxy: Proxy
    operations: tuple[Operation, ...] = ()


@dataclass(slots=True)
class ClearTable:
    """Empty a slice's table."""

    slice: Slice


@dataclass(slots=True)
class Withdraw:
    """Shut a server out of all tables at every proxy, or open it again."""

    server: Server
    out: bool


@dataclass(slots=True)
class SetAdmission:
    """Let in a part of some operations, and say how often a failed attempt may be repeated."""

    slice: Slice | None  # None: every table
    operations: tuple[Operation, ...]
    level: float
    resend: int  # 0: never; 1: once, on proof that it never ran; 2: once after any failure; 3: twice


@dataclass(slots=True)
class Mark:
    """Ask each proxy for `OrdersApplied` once it has applied all orders so far."""

    number: int
    everyone: bool = False


@dataclass(slots=True)
class SetTimer:
    """Ask for a turn at a time, and not earlier."""

    at: int
    label: int = 0


@dataclass(slots=True)
class WatchServers:
    """Ask for the roster and its changes from then on, or for no more of them."""

    on: bool = True


@dataclass(slots=True)
class FetchServerList:
    """Ask for the whole roster once more."""


@dataclass(slots=True)
class Probe:
    """Ask a server for its health and load; the answer comes as `ProbeResult`."""

    server: Server


@dataclass(slots=True)
class SendToPilot:
    """Send a message to another pilot, or to all."""

    pilot: int | None  # None: all
    data: bytes


@dataclass(slots=True)
class RunSearch:
    """A search that may be done elsewhere: it can be copied, and `for _ in search.steps(): pass` does it."""

    search: object


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str
