"""Requests of clients and the answers to them, and which headers go from one side to the other.  No I/O."""

from dataclasses import dataclass, field

from flintreach.proxy.caller import Caller
from flintreach.proxy.reply import Message

MS = 1_000_000
HOP = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "x-expect-endpoint",
    "x-time-left-ms",
}
# What a `Connection` header may not take away: by these it is told whose a request or an answer is.
END_TO_END = {"host", "x-try-id", "x-postmark", "x-shard-key"}
PAUSE = "0.1"  # seconds after which one that was turned away may come again
REASONS = {
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass(slots=True)
class Request:
    """As the client sent it; `came`: steady nanoseconds when it had been read."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes = b""
    came: int = 0
    low: dict[str, str] = field(default_factory=dict)  # by lower name
    connections: list = field(default_factory=list)  # connections that it went out on
    caller: Caller = field(default_factory=Caller)  # who waits for its answer
    repeatable: bool = False  # by its route


@dataclass(slots=True)
class Answer:
    status: int
    reason: str = ""
    headers: list = field(default_factory=list)
    body: bytes = b""
    close: bool = False


def hops(connection: str) -> set[str]:
    """Headers that concern one connection only, with those that its `Connection` header names."""
    return HOP | {name.strip().lower() for name in connection.split(",")} - END_TO_END


def own(status: int, again: str | None = None, why: str = "") -> Answer:
    """An answer of the system's own."""
    headers = [("Retry-After", again)] if again else []
    return Answer(status, REASONS.get(status, "Error"), headers, why.encode())


def endpoint_head(request: Request, endpoint_id: str, left: int) -> bytes:
    """The head of a request as it goes out to an endpoint; `left`: nanoseconds until nobody waits for it."""
    dropped = hops(request.low.get("connection", ""))
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers if name.lower() not in dropped]
    lines += [f"X-Time-Left-Ms: {max(1, left // MS)}", f"X-Expect-Endpoint: {endpoint_id}"]
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"Content-Length: {len(request.body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def relayed(message: Message, request: Request) -> Answer:
    """An endpoint's answer as it goes to the client."""
    dropped = hops(message.get("connection") or "")
    if message.status == 304 or request.method == "HEAD" and message.status != 204:
        dropped -= {"content-length"}  # of the body that a GET would have had
    headers = [(name, value) for name, value in message.headers if name.lower() not in dropped]
    if request.method != "HEAD" and message.status not in (204, 304):
        headers.append(("Content-Length", str(len(message.body))))
    return Answer(message.status, message.reason, headers, bytes(message.body))
