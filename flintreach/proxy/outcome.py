"""What can come of one attempt of a request.  Pure."""

from enum import StrEnum


class OutcomeKind(StrEnum):
    """What is known of an attempt.  The values are names of counters that operators watch: they must stay."""

    ANSWERED = "answered"  # the endpoint's own answer, fit for the client
    UNSENT = "unsent"  # no byte of it went out
    NOT_RUN = "not run"  # the endpoint promised that it has not run the request and never will
    NO_VALID_RESPONSE = "broken"  # it may have run, and there is no answer that can be used
    TIMEOUT = "timeout"  # it may be running; the client's deadline has passed
