"""The calls that endpoints, clients and operators make of the system, and those it makes of endpoints.

Source: the wire's page.  `controller/http_api.py` answers all of the table but `ready`, which a proxy answers
by the age of its updates (`proxy/program.py`).
"""

from dataclasses import dataclass
from typing import NamedTuple

PARAMETER = "{}"  # in a path: any one segment, which is handed to what answers the call
GRANT_PATH = "/v1/grant"  # a lease holder gives an endpoint a key range
RELEASE_PATH = "/v1/release"  # it takes the range back

# With an older contact, other controllers may have confirmed what this one doesn't know.
QUORUM_CONTACT_S = 1.2
# A list of proxies from a controller that was just cut off is better than none: clients use older ones too.
DIRECTORY_CONTACT_S = 2.0
# Callers move on after a second; what is confirmed later they have asked of another controller.
ANSWER_WITHIN_S = 0.95


class CallLimits(NamedTuple):
    """What the process that answers must be sure of, right before it answers; None: it need not be."""

    contact_age_s: float | None  # how old its contact with a quorum may be (`controller/quorum_contact.py`)
    answer_within_s: float | None  # how long ago the call may have been read


@dataclass(frozen=True, slots=True)
class Call:
    """One call of the table."""

    name: str  # that of the method that answers it
    method: str
    path: str
    contact_age_s: float | None
    answer_within_s: float | None


def order(name: str, method: str, path: str) -> Call:
    """A call that changes what is stored or reads it: it takes a quorum, and an answer in time."""
    return Call(name, method, path, QUORUM_CONTACT_S, ANSWER_WITHIN_S)


TABLE = (
    Call("ready", "GET", "/v1/ready", None, None),
    Call("resolve", "GET", "/v1/directions", DIRECTORY_CONTACT_S, None),
    order("beat", "POST", "/v1/endpoints/{}/check-in"),
    order("leave", "POST", "/v1/endpoints/{}/sign-off"),
    order("put", "POST", "/v1/timetable/put"),
    order("get", "GET", "/v1/timetable/get"),
    order("evacuate", "POST", "/v1/evacuate/{}/start"),
    order("resume", "POST", "/v1/evacuate/{}/finish"),
)
PATTERNS = [(call, call.path.split("/")) for call in TABLE]
CALL_LIMITS = {call.name: CallLimits(call.contact_age_s, call.answer_within_s) for call in TABLE}


def find(method: str, path: str) -> tuple[str | None, list[str]]:
    """Look a request up in the table.

    Args:
        method: the HTTP method.
        path: without the query.

    Returns:
        The name of the call and its parameters; None and no parameters if there is no such call.

    >>> find("POST", "/v1/evacuate/north/start"), find("GET", "/v1/evacuate/north/start")
    (('evacuate', ['north']), (None, []))
    """
    segments = path.split("/")
    for call, pattern in PATTERNS:
        if call.method == method and matches(pattern, segments):
            return call.name, parameters(pattern, segments)
    return None, []


def matches(pattern: list[str], segments: list[str]) -> bool:
    """Whether the segments of a path are those of a pattern, but for its parameters."""
    if len(pattern) != len(segments):
        return False
    return all(expected in (PARAMETER, segment) for expected, segment in zip(pattern, segments))


def parameters(pattern: list[str], segments: list[str]) -> list[str]:
    """The segments that stand where a pattern has parameters."""
    return [segment for expected, segment in zip(pattern, segments) if expected == PARAMETER]
