"""What the processes of one pilot say to each other, as typed messages in MessagePack.

Servers go by numbers that the deciding process gives; a number is never used twice.
"""

import msgspec


class Start(msgspec.Struct, tag="start", array_like=True):
    """The first word to a worker."""

    told: dict  # the platform's configuration, as it was read
    limits: dict  # of this worker
    rows: int
    wait: int  # nanoseconds
    ratio: float
    sign: int  # nanoseconds
    stale: int


class Names(msgspec.Struct, tag="names", array_like=True):
    added: list[tuple[int, str]]
    gone: list[int]


class Sign(msgspec.Struct, tag="sign", array_like=True):
    """The deciding process lives; with `took`, it has taken the last sums in, in so many nanoseconds."""

    ready: bool
    took: int | None = None


class Server(msgspec.Struct, array_like=True):
    """One row about a server; times are nanoseconds."""

    number: int
    zone: int
    tries: int
    unanswered: int
    latency: int
    span: int
    kind: tuple[bool, ...]
    load: dict[str, float]


class Slice(msgspec.Struct, array_like=True):
    """One row about a slice, or without slices about a proxy; -1 stands for none."""

    slice: int
    proxy: int
    operation: int
    tries: int
    unanswered: int
    span: int
    kind: tuple[bool, ...]
    lines: int


class Greet(msgspec.Struct, tag="greet", array_like=True):
    """A worker is ready for connections."""

    process: int


class Beat(msgspec.Struct, tag="beat", array_like=True):
    """A worker lives; what it had to count and which connections have ended since its last word."""

    counts: dict[str, tuple[int, str]]
    gone: list[int]
    waiting: int  # rows not yet sent
    lines: int  # read since the start
    busy: int  # nanoseconds of processor time
    open: tuple[int, int]  # strangers and collectors


class Sums(msgspec.Struct, tag="sums", array_like=True):
    servers: list[Server]
    slices: list[Slice]


encode = msgspec.msgpack.Encoder().encode
to_worker = msgspec.msgpack.Decoder(Start | Names | Sign).decode
to_pilot = msgspec.msgpack.Decoder(Greet | Beat | Sums).decode
UNREADABLE = msgspec.MsgspecError
