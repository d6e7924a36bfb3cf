"""HTTP calls that the system answers, and paths of the calls that it makes to endpoints.

Specification: the page on the wire protocol.  `controller/http_api.py` answers all calls of the table except
`ready`, which a proxy answers according to the age of its updates (`proxy/program.py`).
"""

from dataclasses import dataclass
from typing import NamedTuple

PARAMETER = "{}"  # in a path: matches any one segment, which is passed to the handler
GRANT_PATH = "/v1/grant"  # the lease owner grants a key range to an endpoint
RELEASE_PATH = "/v1/release"  # the lease owner revokes a key range

# After longer without quorum contact, other controllers may have confirmed changes unknown to this one.
QUORUM_CONTACT_S = 1.2
# Longer than for other calls: a list of proxies from a controller that was just partitioned is better than
# none, and clients use older lists anyway.
DIRECTORY_CONTACT_S = 2.0
# Callers time out after 1 s and retry on another controller, so a later confirmation would be of no use.
ANSWER_WITHIN_S = 0.95


class CallLimits(NamedTuple):
    """Limits that are checked right before a call is answered; None: no limit."""

    contact_age_s: float | None  # maximum time since the last quorum contact (`controller/quorum_contact.py`)
    answer_within_s: float | None  # maximum time since the call was read


@dataclass(frozen=True, slots=True)
class Call:
    """An HTTP call, and the limits on its answer (see `CallLimits`)."""

    name: str  # key of its handler
    method: str
    path: str
    contact_age_s: float | None
    answer_within_s: float | None


def quorum_call(name: str, method: str, path: str) -> Call:
    """Return a call that reads or changes stored data, which requires quorum contact and a timely answer."""
    return Call(name, method, path, QUORUM_CONTACT_S, ANSWER_WITHIN_S)


TABLE = (
    Call("ready", "GET", "/v1/ready", None, None),
    Call("resolve", "GET", "/v1/directions", DIRECTORY_CONTACT_S, None),
    quorum_call("beat", "POST", "/v1/endpoints/{}/check-in"),
    quorum_call("leave", "POST", "/v1/endpoints/{}/sign-off"),
    quorum_call("put", "POST", "/v1/timetable/put"),
    quorum_call("get", "GET", "/v1/timetable/get"),
    quorum_call("evacuate", "POST", "/v1/evacuate/{}/start"),
    quorum_call("resume", "POST", "/v1/evacuate/{}/finish"),
)
PATTERNS = [(call, call.path.split("/")) for call in TABLE]
CALL_LIMITS = {call.name: CallLimits(call.contact_age_s, call.answer_within_s) for call in TABLE}


def find(method: str, path: str) -> tuple[str | None, list[str]]:
    """Look up the call that a request makes.

    Args:
        method: the HTTP method.
        path: the path of the request, without the query.

    Returns:
        The name of the call and its path parameters; None and an empty list if no call matches.

    >>> find("POST", "/v1/evacuate/north/start"), find("GET", "/v1/evacuate/north/start")
    (('evacuate', ['north']), (None, []))
    """
    segments = path.split("/")
    for call, pattern in PATTERNS:
        if call.method == method and matches(pattern, segments):
            return call.name, parameters(pattern, segments)
    return None, []


def matches(pattern: list[str], segments: list[str]) -> bool:
    """Return whether a path matches a pattern; a parameter matches any segment."""
    if len(pattern) != len(segments):
        return False
    return all(expected in (PARAMETER, segment) for expected, segment in zip(pattern, segments))


def parameters(pattern: list[str], segments: list[str]) -> list[str]:
    """Return the segments at the positions of the pattern's parameters."""
    return [segment for expected, segment in zip(pattern, segments) if expected == PARAMETER]
