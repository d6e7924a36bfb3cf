"""What passes between the decisions and whatever protocol carries them.

All times are whole nanoseconds.  Servers, slices, proxies and operations are objects that
the two sides share and compare by identity; their ids stay with the protocol.
"""

from dataclasses import dataclass, field

SECOND = 1_000_000_000


@dataclass(slots=True, eq=False, weakref_slot=True)
class Server:
    """A machine's process as the roster names it; it keeps its object over restarts."""

    name: str  # for log lines alone
    zone: int = 0
    kind: int = 0
    cell: int = 0
    lot: int = 0  # drawn from what it is called, so the same at every pilot


@dataclass(slots=True, eq=False)
class Slice:
    """A part of the key space, which has one table."""

    number: int


@dataclass(slots=True, eq=False)
class Proxy:
    """A proxy that has joined at least once."""

    number: int
    zone: int = 0
    rate: float = 0.0  # invocations a second that it usually gets


@dataclass(slots=True, eq=False)
class Operation:
    """A kind of invocation; billed value, objective and effect are the operator's."""

    name: str  # for log lines alone
    place: int
    objective: int
    integration_timeout: int
    billed_value: float = 1.0
    effect: str = "idempotent"  # or "fingerprinted", "side-effecting"
    group: str = "all"  # fingerprinted: who drops repeats: "all", "zone" or "cell"
    window: int = 0  # fingerprinted: for how long
    writes: bool = False
    home_only: bool = False  # goes only to servers in the proxy's zone


@dataclass(slots=True)
class Settings:
    """What an instance is told at its start."""

    seed: int = 0
    number: int = 0
    pilots: int = 1
    zone: int = 0
    zones: int = 1
    proxies: int = 1
    operations: list[Operation] = field(default_factory=list)
    slices: list[Slice] = field(default_factory=list)
    exclusive: bool = False
    asks_roster: bool = False  # the roster comes only when asked for
    ask_within: int = 10 * SECOND
    weights: str = "none"  # what a listed weight holds: "none", "nominal", "rough" or "live"
    cold_share: float = 1.0  # a process starts at this part of its capacity, or more
    warm_up: int = 0
    drain_grace: int = SECOND
    fall_multiple: float = 3.0
    fall_window: int = 2 * SECOND
    only_draining_binds: bool = False
    bare_limit: int = 5 * SECOND
    tick: int = 1_000_000
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
    elsewhere: bool = False  # searches are to be done beside the decisions: Solve, then Solved


# Events, in the order in which they came.


@dataclass(slots=True)
class Entry:
    server: Server
    state: str  # "ready", "draining" or "gone"
    weight: float
    started: int  # 0: long ago


@dataclass(slots=True)
class Roster:
    how: str  # "delta", "full", "cached" (the last one held, maybe old) or "failed"
    entries: list[Entry]


@dataclass(slots=True)
class Joined:
    proxy: Proxy
    fresh: bool


@dataclass(slots=True)
class Left:
    proxy: Proxy


@dataclass(slots=True)
class Given:
    slice: Slice
    ours: bool


@dataclass(slots=True)
class Held:
    """A line of the store's table of a slice just given."""

    slice: Slice
    server: Server
    weight: float


@dataclass(slots=True)
class Heard:
    """What joined proxies of a zone met at a server."""

    zone: int
    server: Server
    tries: int
    unanswered: int
    latency: int  # mean of those that succeeded; 0: none did
    span: int
    load: dict[str, float]
    kind: tuple[bool, ...] | None = None  # of the lines that it sums up, by the decisions; None: one line


@dataclass(slots=True)
class Measured:
    """What a server's host says of itself, by others' means: the part of its processors that works."""

    server: Server
    busy: float
    age: int  # since it was true


@dataclass(slots=True)
class Demand:
    """Invocations that came for a slice; without slices, to a proxy."""

    slice: Slice | None
    proxy: Proxy | None
    operation: Operation
    tries: int
    unanswered: int
    span: int
    kind: tuple[bool, ...] | None = None  # as in Heard
    lines: int = 1  # that it sums up


@dataclass(slots=True)
class Applied:
    proxy: Proxy
    number: int
    latency: int


@dataclass(slots=True)
class Probed:
    server: Server
    status: str  # "ok", "error", "full", "timeout", "connect_failed" or "reset"
    latency: int
    load: dict[str, float]


@dataclass(slots=True)
class Solved:
    """A search that was done elsewhere, to its end; `best` None: nobody did it, and the decisions must."""

    search: object
    best: tuple | None
    counter: int


@dataclass(slots=True)
class Told:
    pilot: int
    data: bytes


@dataclass(slots=True)
class Woke:
    label: int


# Orders.  What is ordered in one reply reaches each proxy as one message.


@dataclass(slots=True)
class SetLine:
    slice: Slice
    server: Server
    weight: float  # 0 removes the line


@dataclass(slots=True)
class Bind:
    """Without slices: put a proxy on a table, for all operations or for some."""

    slice: Slice
    proxy: Proxy
    operations: tuple[Operation, ...] = ()


@dataclass(slots=True)
class Clear:
    slice: Slice


@dataclass(slots=True)
class Withdraw:
    server: Server
    out: bool


@dataclass(slots=True)
class Admit:
    slice: Slice | None  # None: every table
    operations: tuple[Operation, ...]
    level: float
    resend: int  # 0: never; 1: once, on proof that it never ran; 2: once after any failure; 3: twice


@dataclass(slots=True)
class Mark:
    number: int
    everyone: bool = False


@dataclass(slots=True)
class Wake:
    at: int
    label: int = 0


@dataclass(slots=True)
class Observe:
    on: bool = True


@dataclass(slots=True)
class FetchRoster:
    pass


@dataclass(slots=True)
class Probe:
    server: Server


@dataclass(slots=True)
class Tell:
    pilot: int | None  # None: all
    data: bytes


@dataclass(slots=True)
class Solve:
    """A search that may be done elsewhere: it can be copied, and `for _ in search.steps(): pass` does it."""

    search: object


@dataclass(slots=True)
class Log:
    text: str
