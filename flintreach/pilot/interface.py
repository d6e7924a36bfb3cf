"""Interface between the pilot's decisions and the protocol that carries them: events in, orders out.

All times are whole nanoseconds.  Servers, slices, proxies and operations are objects that both sides share
and compare by identity; only the protocol knows their ids.
"""

from dataclasses import dataclass, field
from enum import StrEnum

SECOND = 1_000_000_000  # in nanoseconds

# Load metrics that the decisions use, by their names in `ServerReport.load`.
LOAD_QUEUE = "queue"  # queued invocations
LOAD_UTILISATION = "util"  # from 0 to 1
ADMITS_BY_SHARE = "share"  # value of `Settings.admits_by`: a level is the share of invocations admitted


class ServerListKind(StrEnum):
    """Kind of a server list, the values of `ServerList.kind`."""

    DELTA = "delta"  # only the changes
    FULL = "full"
    CACHED = "cached"  # the last full list, which may be stale
    FAILED = "failed"  # the list could not be fetched


class EntryState(StrEnum):
    """State of a listed server, the values of `ServerEntry.state`."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ProbeStatus(StrEnum):
    """Outcome of a probe, the values of `ProbeResult.status`."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"


@dataclass(slots=True, eq=False, weakref_slot=True)
class Server:
    """A server process as the server list names it; its object stays the same over restarts."""

    name: str  # only for log lines
    zone: int = 0  # failure domain, by number
    machine_type: int = 0  # by number
    cell: int = 0  # group of servers, by number
    name_hash: int = 0  # hash of the name, the same at every pilot


@dataclass(slots=True, eq=False)
class Slice:
    """A shard of the key space, with one table of the servers that serve it and their weights."""

    number: int


@dataclass(slots=True, eq=False)
class Proxy:
    """A proxy that has joined at least once; it holds the tables and routes invocations by them."""

    number: int
    zone: int = 0
    rate: float = 0.0  # usual rate of invocations per second


@dataclass(slots=True, eq=False)
class Operation:
    """A class of invocations, as the operator has configured it."""

    name: str  # only for log lines
    index: int  # position among the operations of the settings
    objective: int  # latency objective
    attempt_timeout: int  # time after which an attempt can no longer be answered
    billed_value: float = 1.0
    effect: str = "idempotent"  # or "fingerprinted", "side-effecting"
    group: str = "all"  # fingerprinted: servers that drop duplicates: "all", "zone" or "cell"
    window: int = 0  # fingerprinted: for how long duplicates are dropped
    writes: bool = False
    home_only: bool = False  # whether it is routed only to servers in the proxy's zone


@dataclass(slots=True)
class Settings:
    """Start-up settings of an instance."""

    seed: int = 0  # of all random draws
    number: int = 0  # index of this pilot
    pilots: int = 1  # number of pilots among which the slices are divided
    zone: int = 0  # of this pilot
    zones: int = 1
    proxies: int = 1
    operations: list[Operation] = field(default_factory=list)
    slices: list[Slice] = field(default_factory=list)
    exclusive: bool = False  # whether a slice has at most one replica
    server_list_on_request: bool = False  # whether server lists come only when requested
    ask_within: int = 10 * SECOND
    weights: str = "none"  # meaning of a listed weight: "none", "nominal", "rough" or "live"
    cold_share: float = 1.0  # minimum share of its capacity that a process has when it starts
    warm_up: int = 0  # time after which a process has its full capacity
    drain_grace: int = SECOND
    fall_multiple: float = 3.0
    fall_window: int = 2 * SECOND
    only_draining_binds: bool = False
    bare_limit: int = 5 * SECOND
    tick: int = 1_000_000  # time for which events are collected before they are handled in one turn
    channel_pace: float = 1000.0  # lines per second
    channel_limit: float = 1000.0  # lines that may be queued
    message_head: float = 8.0  # overhead of a message, in lines
    messages_most: int = 0  # maximum number to one proxy within messages_window; 0: no limit
    messages_window: int = 10 * SECOND
    transit: int = 0
    transit_most: int = 0
    period: int = SECOND  # interval of reports
    sums_pace: float = 100.0  # maximum number of report lines per second
    admits_by: str = "share"  # "share", "rate" or "none"
    choice: str = "weighted"  # "weighted", "round" or "two"
    load_fields: tuple[str, ...] = ()  # "inflight", "queue", "util", "latency_ms", "qps", "eps"
    probes: bool = False
    tells: bool = False
    offload_search: bool = False  # whether another process does searches: RunSearch, then SearchResult


# Events, handled in the order in which they arrived.


@dataclass(slots=True)
class ServerEntry:
    """One server of a server list."""

    server: Server
    state: str  # of EntryState
    weight: float
    started: int  # start time of the process; 0: long ago


@dataclass(slots=True)
class ServerList:
    """A list of servers, or the changes in it."""

    kind: str  # of ServerListKind
    entries: list[ServerEntry]


@dataclass(slots=True)
class ProxyJoined:
    """A proxy has joined; no message that was sent to it before will be confirmed."""

    proxy: Proxy
    fresh: bool


@dataclass(slots=True)
class ProxyLeft:
    """A proxy has left."""

    proxy: Proxy


@dataclass(slots=True)
class SliceAssignment:
    """A slice has been assigned to this pilot, or to another one."""

    slice: Slice
    owned: bool


@dataclass(slots=True)
class SliceReplica:
    """A server in the stored table of a slice that has just been assigned to this pilot."""

    slice: Slice
    server: Server
    weight: float


@dataclass(slots=True)
class ServerReport:
    """Tries that the proxies of a zone have sent to a server within `span`, with their outcomes."""

    zone: int
    server: Server
    tries: int
    unanswered: int
    latency: int  # mean of the answered tries; 0: there were none
    span: int
    load: dict[str, float]
    kind: tuple[bool, ...] | None = None  # class of the reports that it adds up; None: it is a single one


@dataclass(slots=True)
class HostLoad:
    """CPU utilisation of a server's host, from a monitoring system."""

    server: Server
    busy: float  # from 0 to 1
    age: int  # time since the measurement


@dataclass(slots=True)
class DemandReport:
    """Invocations that arrived for a slice within `span`; without slices, at a proxy."""

    slice: Slice | None
    proxy: Proxy | None
    operation: Operation
    tries: int
    unanswered: int
    span: int
    kind: tuple[bool, ...] | None = None  # as in ServerReport
    lines: int = 1  # number of reports that it adds up


@dataclass(slots=True)
class OrdersApplied:
    """A proxy has applied all orders up to a mark."""

    proxy: Proxy
    number: int
    latency: int


@dataclass(slots=True)
class ProbeResult:
    """The result of a `Probe`, which may be that there was no answer."""

    server: Server
    status: str  # of ProbeStatus
    latency: int
    load: dict[str, float]


@dataclass(slots=True)
class SearchResult:
    """The result of an offloaded search; `best` is None where it was not done, so the pilot must do it."""

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


# Orders.  The orders of one reply reach each proxy as one message.


@dataclass(slots=True)
class SetWeight:
    """Set the weight of a server in a slice's table."""

    slice: Slice
    server: Server
    weight: float  # 0 removes the server from the table


@dataclass(slots=True)
class BindProxy:
    """Without slices: make a proxy use a table, for all operations or for some."""

    slice: Slice
    proxy: Proxy
    operations: tuple[Operation, ...] = ()


@dataclass(slots=True)
class ClearTable:
    """Empty a slice's table."""

    slice: Slice


@dataclass(slots=True)
class Withdraw:
    """Withdraw a server from all tables at every proxy, or restore it."""

    server: Server
    out: bool


@dataclass(slots=True)
class SetAdmission:
    """Limit the admission of some operations, and the retries of a failed attempt."""

    slice: Slice | None  # None: every table
    operations: tuple[Operation, ...]
    level: float
    resend: int  # 0: no retry; 1: one, if the attempt surely never ran; 2: one after any failure; 3: two


@dataclass(slots=True)
class Mark:
    """Request an `OrdersApplied` event from each proxy once it has applied all orders so far."""

    number: int
    everyone: bool = False


@dataclass(slots=True)
class SetTimer:
    """Request a `TimerFired` event at a time, and not earlier."""

    at: int
    label: int = 0


@dataclass(slots=True)
class WatchServers:
    """Subscribe to the server list and its changes, or cancel the subscription."""

    on: bool = True


@dataclass(slots=True)
class FetchServerList:
    """Request the full server list again."""


@dataclass(slots=True)
class Probe:
    """Request the health and load of a server; the answer arrives as `ProbeResult`."""

    server: Server


@dataclass(slots=True)
class SendToPilot:
    """Send a message to another pilot, or to all of them."""

    pilot: int | None  # None: all
    data: bytes


@dataclass(slots=True)
class RunSearch:
    """Offload a search: it can be copied to another process, which iterates over `search.steps()`."""

    search: object


@dataclass(slots=True)
class Log:
    """Write a log line."""

    text: str
