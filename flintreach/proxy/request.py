"""Clients' requests, the responses to them, and the headers that are forwarded in each direction.  No I/O."""

from dataclasses import dataclass, field

from flintreach.common.memory_budget import Reservation
from flintreach.proxy.caller import Caller
from flintreach.proxy.connection import Connection
from flintreach.proxy.message_memory import RequestMemory
from flintreach.proxy.response import Response

NS_PER_MS = 1_000_000

# Headers that apply to a single connection (RFC 9110, section 7.6.1), or that the proxy sets itself.
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

# Headers that a `Connection` header cannot remove: they identify a request or a response.
END_TO_END = {"host", "x-try-id", "x-postmark", "x-shard-key"}

# Methods whose requests usually have no body: without one, no length is sent (RFC 9110, section 8.6).
BODILESS_METHODS = ("GET", "HEAD", "DELETE", "OPTIONS")

# Statuses whose responses have no body (RFC 9110, sections 15.3.5 and 15.4.5).
NO_CONTENT = 204
NOT_MODIFIED = 304

# `Retry-After` value of rejected requests, in seconds.
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
    """A request as received from a client.

    Attributes:
        method: HTTP method.
        target: request target, not decoded.
        headers: (name, value) of each header, as received.
        body: body with the transfer coding removed.
        received_at: monotonic time, in nanoseconds, when it had been read completely.
        headers_by_name: header values by lower-case name, several values of one name joined by commas.
        connections: endpoint connections on which it has been sent.
        caller: the client that waits for the response.
        idempotent: whether its route permits it to run more than once.
        memory: the memory reserved for it.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes | bytearray = b""
    received_at: int = 0
    headers_by_name: dict[str, str] = field(default_factory=dict)
    connections: list[Connection] = field(default_factory=list)
    caller: Caller = field(default_factory=Caller)
    idempotent: bool = False
    memory: RequestMemory | None = None


@dataclass(slots=True)
class ClientResponse:
    """A response to be sent to a client.

    Attributes:
        status: HTTP status.
        reason: reason phrase.
        headers: (name, value) of each header.
        body: body.
        close: whether the client's connection must be closed after it.
        memory: the memory reserved for its body, if that is long.
    """

    status: int
    reason: str = ""
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes | bytearray = b""
    close: bool = False
    memory: Reservation | None = None

    def release_memory(self) -> None:
        """Give the memory for the body back, after it has been sent."""
        self.body = b""
        if self.memory is not None:
            self.memory.release()


def excluded_headers(connection: str) -> set[str]:
    """Names of the headers that are not forwarded, given the value of the message's `Connection` header."""
    connection_options = {name.strip().lower() for name in connection.split(",")}
    return HOP_BY_HOP | (connection_options - END_TO_END)


def error_response(status: int, retry_after_s: str | None = None, detail: str = "") -> ClientResponse:
    """A response that the proxy generates itself.

    Args:
        status: HTTP status.
        retry_after_s: value of `Retry-After`, in seconds; None for no such header.
        detail: the body.
    """
    headers = [("Retry-After", retry_after_s)] if retry_after_s else []
    return ClientResponse(status, REASONS.get(status, UNKNOWN_REASON), headers, detail.encode())


def endpoint_request_head(request: Request, endpoint_id: str, remaining_ns: int) -> bytes:
    """The head of a request as it is sent to an endpoint.

    Args:
        request: the client's request.
        endpoint_id: id of the endpoint; a different endpoint at the same address must refuse the request.
        remaining_ns: time left until the deadline.
    """
    excluded = excluded_headers(request.headers_by_name.get("connection", ""))
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers if name.lower() not in excluded]
    lines.append(f"X-Time-Left-Ms: {max(1, remaining_ns // NS_PER_MS)}")
    lines.append(f"X-Expect-Endpoint: {endpoint_id}")
    if request.body or request.method not in BODILESS_METHODS:
        lines.append(f"Content-Length: {len(request.body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def forwarded_response(response: Response, request: Request) -> ClientResponse:
    """An endpoint's response as it is sent to the client."""
    excluded = excluded_headers(response.get("connection") or "")
    is_head_request = request.method == "HEAD"
    if response.status == NOT_MODIFIED or (is_head_request and response.status != NO_CONTENT):
        # The length of the body that a GET would have returned (RFC 9110, section 8.6).
        excluded -= {"content-length"}
    headers = [(name, value) for name, value in response.headers if name.lower() not in excluded]
    if not is_head_request and response.status not in (NO_CONTENT, NOT_MODIFIED):
        headers.append(("Content-Length", str(len(response.body))))
    return ClientResponse(response.status, response.reason, headers, response.body, memory=response.memory)
