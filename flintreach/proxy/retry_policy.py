"""Retry policy: whether a request may be retried, by the outcome of its last attempt.

Pure functions.  `forwarding` consults this policy after each failed attempt, and checks the limits on
attempts, time and the retry budget itself.
"""

from dataclasses import dataclass

from flintreach.proxy.outcome import OutcomeKind


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Consequence of a failed attempt.

    Attributes:
        may_retry: whether the outcome allows a retry.
        status: HTTP status to return if there is no retry.
    """

    may_retry: bool
    status: int


# RFC 9110, section 9.2.2: a request that is not idempotent is retried only if it is known not to have run.
# Status 503 guarantees that the request has not run and never will; 502 and 504 guarantee nothing.
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
    """Returns the decision for a failed attempt.

    Args:
        kind: outcome of the attempt; not `ANSWERED`.
        idempotent: whether the route declares the request idempotent.

    Raises:
        KeyError: `kind` is `ANSWERED`, for which there is no decision.
    """
    decisions = RETRY_IF_IDEMPOTENT if idempotent else RETRY_IF_NOT_IDEMPOTENT
    return decisions[kind]
