"""What one proxy knows of one endpoint: its load, its failures and when it was last seen.  Pure.

`view` keeps these records by the updates of the control plane, `attempt` by the answers of the endpoint;
`balancing` reads them.  (The controller's record of an endpoint is `flintreach.endpoints`' `EndpointRecord`.)

Times are nanoseconds of this process's steady clock; None stands for "never".
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flintreach.proxy.connection import ConnectionPool

NS_PER_S = 1_000_000_000

# For so long after an answer an endpoint counts as present, whatever its heartbeats say.
PRESENT_AFTER_ANSWER_NS = 2 * NS_PER_S

# For so long a reported load is believed, less and less.
REPORTED_LOAD_DECAY_NS = 1 * NS_PER_S

# Outlier ejection: how long after a first failure, doubled by each one after it, up to the longest.
EJECTION_BASE_NS = NS_PER_S // 2
EJECTION_MAX_NS = 8 * NS_PER_S
EJECTION_MAX_DOUBLINGS = 5

# Of an endpoint that alone owns its keys: nobody could take its requests meanwhile.
EJECTION_SOLE_OWNER_NS = NS_PER_S // 7

# The longest interval between two requests that counts; before the first request it is taken for that.
MAX_SEND_INTERVAL_NS = 8 * NS_PER_S


class EndpointState(StrEnum):
    """States of an endpoint, as the control plane's updates spell them."""

    READY = "ready"
    SILENT = "silent"  # its heartbeats are missing
    DRAINING = "closing"  # its departure is acknowledged; it still answers what has arrived
    GONE = "gone"


@dataclass(slots=True, eq=False)
class EndpointView:
    """One endpoint as this proxy sees it.

    Attributes:
        id: name of this incarnation of the endpoint.
        service: service that it belongs to.
        address: "host:port".
        zone: its failure domain.
        region: region of that zone; "" where the settings don't tell it.
        concurrency_limit: requests that it works on at the same time.
        state: an `EndpointState`, or a state of a later release, which counts as not ready.
        present_at: its own answer showed that it had not begun to leave by then.
        departed_at: earliest moment at which its departure can have been acknowledged.
        warming_up_until: slow start: until then it gets few requests.
        own_requests: this proxy's requests that it works on.
        reported_requests: other proxies' requests there, when it last reported its load.
        reported_at: when that report came.
        ejected_until: until then it is out of use after failures.
        consecutive_failures: failures since its last success.
        answered_at: when it last answered this proxy.
        unanswered_since: when the oldest request was sent that followed its last answer.
        warm_up_sent_at: when a request was last sent to it while it was warming up.
        send_interval_ns: usual time between this proxy's requests to it, smoothed.
        sent_at: when the last of them was begun.
        written_at: when the kernel had last taken a whole request to it.
        in_subset: whether it is in this proxy's subset of the endpoints (`balancing.assign_subsets`).
        pool: connections to it; None only in tests and models.
    """

    id: str
    service: str
    address: str
    zone: str
    region: str
    concurrency_limit: int
    state: str = EndpointState.READY
    present_at: int | None = None
    departed_at: int | None = None
    warming_up_until: int | None = None
    own_requests: int = 0
    reported_requests: float = 0.0
    reported_at: int | None = None
    ejected_until: int | None = None
    consecutive_failures: int = 0
    answered_at: int | None = None
    unanswered_since: int | None = None
    warm_up_sent_at: int | None = None
    send_interval_ns: int = NS_PER_S
    sent_at: int | None = None
    written_at: int | None = None
    in_subset: bool = True
    pool: "ConnectionPool | None" = None

    def estimated_load(self, now_ns: int) -> float:
        """Requests there: this proxy's, and what is left of the others' by the last report."""
        if self.reported_at is None:
            return self.own_requests
        weight = 1 - (now_ns - self.reported_at) / REPORTED_LOAD_DECAY_NS
        if weight <= 0:
            return self.own_requests + 0.0
        return self.own_requests + self.reported_requests * weight

    def record_reported_load(self, running: int, waiting: int, now_ns: int) -> None:
        """Take in the load that the endpoint reported: requests at work and in its queue, of all proxies."""
        self.reported_requests = max(0.0, running + waiting - self.own_requests)
        self.reported_at = now_ns

    def begin_request(self, now_ns: int) -> None:
        """Count a request that is about to be sent there."""
        self.own_requests += 1
        if self.unanswered_since is None:
            self.unanswered_since = now_ns
        interval_ns = MAX_SEND_INTERVAL_NS
        if self.sent_at is not None:
            interval_ns = min(now_ns - self.sent_at, MAX_SEND_INTERVAL_NS)
        self.send_interval_ns = (3 * self.send_interval_ns + interval_ns) // 4
        self.sent_at = now_ns

    def end_request(self, answered: bool, now_ns: int) -> None:
        """Count a request as over.  Any answer, also a refusal, shows that the endpoint is there."""
        self.own_requests -= 1
        if answered:
            self.answered_at = now_ns
        if answered or not self.own_requests:
            self.unanswered_since = now_ns if self.own_requests else None

    def confirm_present(self, now_ns: int) -> None:
        """Note that its own answer showed that it had not begun to leave at `now_ns`."""
        if self.present_at is None or now_ns > self.present_at:
            self.present_at = now_ns

    def is_warming_up(self, now_ns: int) -> bool:
        """Whether it is in slow start."""
        return self.warming_up_until is not None and self.warming_up_until > now_ns

    def extend_warm_up(self, end_ns: int) -> None:
        """Keep it in slow start until `end_ns`, or longer where that was known already."""
        if self.warming_up_until is None or end_ns > self.warming_up_until:
            self.warming_up_until = end_ns

    def eject_until(self, end_ns: int) -> None:
        """Take it out of use until `end_ns`, or longer where it already is."""
        if self.ejected_until is None or end_ns > self.ejected_until:
            self.ejected_until = end_ns

    def record_failure(self, now_ns: int, sole_owner: bool = False) -> None:
        """Take it out of use for a time that doubles with each failure in a row.

        Args:
            now_ns: steady clock.
            sole_owner: nobody else owns its keys, so that a long ejection would help nobody.
        """
        self.consecutive_failures += 1
        doublings = min(self.consecutive_failures, EJECTION_MAX_DOUBLINGS)
        ejection_ns = min(EJECTION_MAX_NS, (EJECTION_BASE_NS << doublings) >> 1)
        if sole_owner:
            ejection_ns = min(EJECTION_SOLE_OWNER_NS, ejection_ns)
        self.ejected_until = now_ns + ejection_ns

    def record_success(self) -> None:
        """End its ejection, and forget its failures."""
        self.consecutive_failures = 0
        self.ejected_until = None

    def is_healthy(self, now_ns: int) -> bool:
        """Whether requests may go there by its state.

        Its heartbeats may be missing only at the controller that told of it: an endpoint that answers this
        proxy is there.
        """
        if self.state == EndpointState.SILENT:
            return self.answered_at is not None and now_ns - self.answered_at < PRESENT_AFTER_ANSWER_NS
        return self.state == EndpointState.READY
