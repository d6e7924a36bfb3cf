"""Whether a request is attempted again, by what came of its last attempt.  Pure.

`forwarding` asks here after each failed attempt, and sees itself whether attempts, time and budget allow a
retry.
"""

from dataclasses import dataclass

from flintreach.proxy.outcome import OutcomeKind


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """What follows a failed attempt.

    Attributes:
        may_retry: whether the request may be attempted again, as far as its outcome goes.
        status: HTTP status of the final answer where it is not attempted again.
    """

    may_retry: bool
    status: int


# RFC 9110, section 9.2.2: a request that is not idempotent is repeated only where it is known not to have
# run.  503 promises that the request has not run and never will; 502 and 504 promise nothing.
RETRY_IF_IDEMPOTENT: dict[OutcomeKind, RetryDecision] = {
    OutcomeKind.UNSENT: RetryDecision(True, 503),
    OutcomeKind.NOT_RUN: RetryDecision(True, 503),
    OutcomeKind.NO_VALID_RESPONSE: RetryDecision(True, 502),
    OutcomeKind.TIMEOUT: RetryDecision(False, 504),
}
RETRY_IF_NOT_IDEMPOTENT: dict[OutcomeKind, RetryDecision] = {
    OutcomeKind.UNSENT: RetryDecision(True, 503),
    OutcomeKind.NOT_RUN: RetryDecision(True, 503),
    OutcomeKind.NO_VALID_RESPONSE: RetryDecision(False, 502),
    OutcomeKind.TIMEOUT: RetryDecision(False, 504),
}


def decide_retry(kind: OutcomeKind, idempotent: bool) -> RetryDecision:
    """What follows an attempt that failed.

    Args:
        kind: what came of it; not `ANSWERED`.
        idempotent: whether the request's route lets it run twice.

    Raises:
        KeyError: `kind` is `ANSWERED`, which leaves nothing to decide.
    """
    decisions = RETRY_IF_IDEMPOTENT if idempotent else RETRY_IF_NOT_IDEMPOTENT
    return decisions[kind]
