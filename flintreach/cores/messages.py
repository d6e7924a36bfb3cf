"""Messages between the pilot process and its workers, in MessagePack.

Servers are identified by numbers that the pilot process assigns and never reuses.  Times are in nanoseconds.
"""

from typing import Any

import msgspec

NUMBER_BYTES = 8  # of a connection's number, in the datagram that hands it to a worker


class Start(msgspec.Struct, tag="start", array_like=True):
    """The first message to a worker: its configuration."""

    configuration: dict  # the platform's configuration document
    limits: dict  # of this worker, as fields of `Limits`
    max_rows: int  # in one record
    max_wait: int  # of ordinary rows
    idle_ratio: float  # of the pilot process: idle time for each nanosecond of handling this worker's rows
    heartbeat_interval: int
    heartbeat_expiry: int  # age of the last heartbeat from which liveness probes are not answered


class ServerNames(msgspec.Struct, tag="names", array_like=True):
    """To a worker: changes of the servers that reports may name."""

    added: list[tuple[int, str]]
    removed: list[int]


class PilotHeartbeat(msgspec.Struct, tag="sign", array_like=True):
    """To a worker: the pilot process is alive."""

    ready: bool  # whether liveness probes may be answered
    took: int | None = None  # time that the last record of this worker took to handle; it may send the next


class ServerRow(msgspec.Struct, array_like=True):
    """Aggregated reports about a server."""

    number: int
    zone: int
    tries: int
    unanswered: int
    latency: int
    span: int
    kind: tuple[bool, ...]
    load: dict[str, float]


class DemandRow(msgspec.Struct, array_like=True):
    """Aggregated reports about a slice, or about a proxy where there are no slices; -1 stands for none."""

    slice: int
    proxy: int
    operation: int
    tries: int
    unanswered: int
    span: int
    kind: tuple[bool, ...]
    lines: int


class WorkerReady(msgspec.Struct, tag="greet", array_like=True):
    """From a worker: it is ready for connections."""

    process_id: int


class WorkerHeartbeat(msgspec.Struct, tag="beat", array_like=True):
    """From a worker: it is alive, with its figures."""

    warnings: dict[str, tuple[int, str]]  # since the last heartbeat: how often, and the first one's figures
    closed: list[int]  # connections, since the last heartbeat
    pending_rows: int
    lines_read: int  # since the start
    cpu_time: int  # since the start
    open_connections: tuple[int, int]  # strangers and collectors


class AggregatedReports(msgspec.Struct, tag="sums", array_like=True):
    """From a worker: reports that have been added up."""

    servers: list[ServerRow]
    demand: list[DemandRow]


encode: Any = msgspec.msgpack.Encoder().encode
decode_in_worker: Any = msgspec.msgpack.Decoder(Start | ServerNames | PilotHeartbeat).decode
decode_in_pilot: Any = msgspec.msgpack.Decoder(WorkerReady | WorkerHeartbeat | AggregatedReports).decode
DECODE_ERROR = msgspec.MsgspecError
