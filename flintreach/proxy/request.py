"""Requests of clients and the answers to them, and which headers go from one side to the other.  No I/O."""

from dataclasses import dataclass, field

from flintreach.proxy.caller import Caller
from flintreach.proxy.connection import Connection
from flintreach.proxy.response import Response

NS_PER_MS = 1_000_000

# Headers that concern one connection only (RFC 9110, section 7.6.1), or that this proxy sets itself.
HOP_BY_HOP = {
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

# What a `Connection` header may not take away: these tell whose a request or an answer is.
END_TO_END = {"host", "x-try-id", "x-postmark", "x-shard-key"}

# Methods whose requests have no body as a rule: without one they tell no length (RFC 9110, section 8.6).
BODILESS_METHODS = ("GET", "HEAD", "DELETE", "OPTIONS")

# Statuses whose answers have no body (RFC 9110, sections 15.3.5 and 15.4.5).
NO_CONTENT = 204
NOT_MODIFIED = 304

# Seconds after which a rejected request may come again, as `Retry-After` writes it.
RETRY_AFTER_S = "0.1"

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
UNKNOWN_REASON = "Error"


@dataclass(slots=True)
class Request:
    """A request as the client sent it.

    Attributes:
        method: its method.
        target: its target, as it was sent.
        headers: (name, value) of each header, as they were sent.
        body: its body, without transfer coding.
        received_at: steady clock, in nanoseconds, when it had been read.
        headers_by_name: headers by their names in lower case, values of the same name joined.
        connections: connections to endpoints that it went out on.
        caller: who waits for its answer.
        idempotent: whether its route lets it run twice.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes = b""
    received_at: int = 0
    headers_by_name: dict[str, str] = field(default_factory=dict)
    connections: list[Connection] = field(default_factory=list)
    caller: Caller = field(default_factory=Caller)
    idempotent: bool = False


@dataclass(slots=True)
class ClientResponse:
    """An answer as it goes to the client.

    Attributes:
        status: HTTP status.
        reason: its reason phrase.
        headers: (name, value) of each header.
        body: its body.
        close: whether the client's connection must end with it.
    """

    status: int
    reason: str = ""
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    close: bool = False


def dropped_headers(connection: str) -> set[str]:
    """Headers that concern one connection only, with those that its `Connection` header names."""
    named = {name.strip().lower() for name in connection.split(",")}
    return HOP_BY_HOP | (named - END_TO_END)


def error_response(status: int, retry_after_s: str | None = None, detail: str = "") -> ClientResponse:
    """An answer of the proxy's own.

    Args:
        status: HTTP status.
        retry_after_s: after how many seconds the request may come again; None: it isn't told.
        detail: the body.
    """
    headers = [("Retry-After", retry_after_s)] if retry_after_s else []
    return ClientResponse(status, REASONS.get(status, UNKNOWN_REASON), headers, detail.encode())


def endpoint_request_head(request: Request, endpoint_id: str, left_ns: int) -> bytes:
    """The head of a request as it goes out to an endpoint.

    Args:
        request: the client's.
        endpoint_id: whom it is for; another endpoint at the same address must refuse it.
        left_ns: time until nobody waits for the answer.
    """
    dropped = dropped_headers(request.headers_by_name.get("connection", ""))
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers if name.lower() not in dropped]
    lines.append(f"X-Time-Left-Ms: {max(1, left_ns // NS_PER_MS)}")
    lines.append(f"X-Expect-Endpoint: {endpoint_id}")
    if request.body or request.method not in BODILESS_METHODS:
        lines.append(f"Content-Length: {len(request.body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def forwarded_response(response: Response, request: Request) -> ClientResponse:
    """An endpoint's response as it goes to the client."""
    dropped = dropped_headers(response.get("connection") or "")
    is_to_head = request.method == "HEAD"
    if response.status == NOT_MODIFIED or (is_to_head and response.status != NO_CONTENT):
        dropped -= {"content-length"}  # of the body that a GET would have had (RFC 9110, section 8.6)
    headers = [(name, value) for name, value in response.headers if name.lower() not in dropped]
    if not is_to_head and response.status not in (NO_CONTENT, NOT_MODIFIED):
        headers.append(("Content-Length", str(len(response.body))))
    return ClientResponse(response.status, response.reason, headers, bytes(response.body))
