"""The one table of calls that endpoints, clients and operators make of the system, and how one is told.

A row: name, method, path.  A `{}` stands for one segment, which is handed to what answers the call.  Then
what the process that answers must be sure of, right before it answers, in seconds, or None:

- contact: how old its contact with a quorum may be (`refuge/contact.py`).  The directory has more: an answer
  of a refuge that was just cut off is better than none, and clients hold on to older ones.
- within: how long ago the call may have been read.  Callers move on after a second, and what is confirmed
  later they have asked of another.

A proxy answers `ready`, by the age of its news (`trail/relay.py`).
"""

TABLE = (
    ("ready", "GET", "/v1/ready", None, None),
    ("resolve", "GET", "/v1/directions", 2.0, None),
    ("beat", "POST", "/v1/endpoints/{}/check-in", 1.2, 0.95),
    ("leave", "POST", "/v1/endpoints/{}/sign-off", 1.2, 0.95),
    ("put", "POST", "/v1/timetable/put", 1.2, 0.95),
    ("get", "GET", "/v1/timetable/get", 1.2, 0.95),
    ("evacuate", "POST", "/v1/evacuate/{}/start", 1.2, 0.95),
    ("resume", "POST", "/v1/evacuate/{}/finish", 1.2, 0.95),
)
GRANT, RELEASE = "/v1/grant", "/v1/release"
ROWS = [(name, method, path.split("/")) for name, method, path, *_ in TABLE]
BOUNDS = {name: (contact, within) for name, _, _, contact, within in TABLE}


def find(method: str, path: str) -> tuple[str | None, list[str]]:
    """The name of a call and its segments; without a name if there is no such call.

    >>> find("POST", "/v1/evacuate/north/start"), find("GET", "/v1/evacuate/north/start")
    (('evacuate', ['north']), (None, []))
    """
    parts = path.split("/")
    for name, verb, wanted in ROWS:
        if verb == method and len(wanted) == len(parts):
            if all(want in ("{}", part) for want, part in zip(wanted, parts)):
                return name, [part for want, part in zip(wanted, parts) if want == "{}"]
    return None, []
