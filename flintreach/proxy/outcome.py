"""Outcomes of one attempt of a request."""

from enum import StrEnum


class OutcomeKind(StrEnum):
    """Outcome of an attempt.  The values are names of counters that operators monitor and must not change."""

    ANSWERED = "answered"  # the endpoint responded, and the response can be forwarded
    UNSENT = "unsent"  # no byte was sent
    NOT_RUN = "not run"  # the endpoint guarantees that the request has not run and never will
    NO_VALID_RESPONSE = "broken"  # it may have run, and there is no usable response
    TIMEOUT = "timeout"  # the deadline has passed; it may still be running
