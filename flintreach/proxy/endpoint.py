"""Per-endpoint state of one proxy: load, failures and last known presence.

Performs no I/O.  `view` updates these records from the control plane and `attempt` from the endpoint's
responses; `balancing` reads them.  (The controller's record of an endpoint is `flintreach.endpoints`'
`EndpointRecord`.)

Times are nanoseconds of this process's monotonic clock; None means "never".
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flintreach.proxy.connection import ConnectionPool

NS_PER_S = 1_000_000_000

# An endpoint counts as present for this long after a response, even if its heartbeats are missing.
PRESENT_AFTER_ANSWER_NS = 2 * NS_PER_S

# The weight of a reported load decreases linearly to zero over this time.
REPORTED_LOAD_DECAY_NS = 1 * NS_PER_S

# Outlier ejection: duration after the first failure, doubled by each consecutive one up to the maximum.
EJECTION_BASE_NS = NS_PER_S // 2
EJECTION_MAX_NS = 8 * NS_PER_S
EJECTION_MAX_DOUBLINGS = 5

# Maximum ejection of an endpoint that is the only owner of its keys: no other endpoint can serve its
# requests.
EJECTION_SOLE_OWNER_NS = NS_PER_S // 7

# Upper limit of the measured interval between requests, also used for the first request.
MAX_SEND_INTERVAL_NS = 8 * NS_PER_S


class EndpointState(StrEnum):
    """States of an endpoint, with the values used in control plane updates."""

    READY = "ready"
    SILENT = "silent"  # heartbeats are missing
    DRAINING = "closing"  # departure acknowledged; still responds to requests that have arrived
    GONE = "gone"


@dataclass(slots=True, eq=False)
class EndpointView:
    """One endpoint as seen by this proxy.

    Attributes:
        id: name of this incarnation of the endpoint.
        service: name of its service.
        address: "host:port".
        zone: failure domain of the endpoint.
        region: region of that zone, or "" if the settings do not give it.
        concurrency_limit: number of requests that it processes concurrently.
        state: an `EndpointState`, or a state introduced by a later release, which is treated as not ready.
        present_at: latest time for which its own response showed that it had not started to leave.
        departed_at: earliest time at which its departure can have been acknowledged.
        warming_up_until: end of slow start; until then it receives few requests.
        own_requests: number of this proxy's requests in flight at the endpoint.
        reported_requests: other proxies' requests at the endpoint, by its last load report.
        reported_at: when that report was received.
        ejected_until: end of its ejection after failures.
        consecutive_failures: failures since its last success.
        answered_at: when it last responded to this proxy.
        unanswered_since: when the oldest request since its last response was sent.
        warm_up_sent_at: when a request was last sent to it during slow start.
        send_interval_ns: smoothed interval between this proxy's requests to it.
        sent_at: when the most recent request was started.
        written_at: when the kernel last accepted a complete request to it.
        in_subset: whether it is in this proxy's subset (`balancing.assign_subsets`).
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
        """Returns the estimated number of requests at the endpoint.

        This is the number of this proxy's requests plus the last reported number of others, discounted by
        age.
        """
        if self.reported_at is None:
            return self.own_requests
        weight = 1 - (now_ns - self.reported_at) / REPORTED_LOAD_DECAY_NS
        if weight <= 0:
            return self.own_requests + 0.0
        return self.own_requests + self.reported_requests * weight

    def record_reported_load(self, running: int, waiting: int, now_ns: int) -> None:
        """Records the load reported by the endpoint: requests running and queued, from all proxies."""
        self.reported_requests = max(0.0, running + waiting - self.own_requests)
        self.reported_at = now_ns

    def begin_request(self, now_ns: int) -> None:
        """Records the start of a request to the endpoint."""
        self.own_requests += 1
        if self.unanswered_since is None:
            self.unanswered_since = now_ns
        interval_ns = MAX_SEND_INTERVAL_NS
        if self.sent_at is not None:
            interval_ns = min(now_ns - self.sent_at, MAX_SEND_INTERVAL_NS)
        self.send_interval_ns = (3 * self.send_interval_ns + interval_ns) // 4
        self.sent_at = now_ns

    def end_request(self, answered: bool, now_ns: int) -> None:
        """Records the end of a request.  Any response, even a rejection, shows that the endpoint is alive."""
        self.own_requests -= 1
        if answered:
            self.answered_at = now_ns
        if answered or not self.own_requests:
            self.unanswered_since = now_ns if self.own_requests else None

    def confirm_present(self, now_ns: int) -> None:
        """Records that the endpoint's own response showed it had not started to leave at `now_ns`."""
        if self.present_at is None or now_ns > self.present_at:
            self.present_at = now_ns

    def is_warming_up(self, now_ns: int) -> bool:
        """Returns whether the endpoint is in slow start."""
        return self.warming_up_until is not None and self.warming_up_until > now_ns

    def extend_warm_up(self, end_ns: int) -> None:
        """Extends slow start to `end_ns`; never shortens it."""
        if self.warming_up_until is None or end_ns > self.warming_up_until:
            self.warming_up_until = end_ns

    def eject_until(self, end_ns: int) -> None:
        """Ejects the endpoint until `end_ns`; never shortens an existing ejection."""
        if self.ejected_until is None or end_ns > self.ejected_until:
            self.ejected_until = end_ns

    def record_failure(self, now_ns: int, sole_owner: bool = False) -> None:
        """Ejects the endpoint for a time that doubles with each consecutive failure.

        Args:
            now_ns: current time.
            sole_owner: whether it is the only owner of its keys; then the ejection is kept short, since no
                other endpoint can serve its requests.
        """
        self.consecutive_failures += 1
        doublings = min(self.consecutive_failures, EJECTION_MAX_DOUBLINGS)
        ejection_ns = min(EJECTION_MAX_NS, (EJECTION_BASE_NS << doublings) >> 1)
        if sole_owner:
            ejection_ns = min(EJECTION_SOLE_OWNER_NS, ejection_ns)
        self.ejected_until = now_ns + ejection_ns

    def record_success(self) -> None:
        """Ends the ejection and resets the failure count."""
        self.consecutive_failures = 0
        self.ejected_until = None

    def is_healthy(self, now_ns: int) -> bool:
        """Returns whether the state of the endpoint allows requests to it.

        Heartbeats may be missing only at the controller that reported the endpoint silent: an endpoint that
        still responds to this proxy counts as present.
        """
        if self.state == EndpointState.SILENT:
            return self.answered_at is not None and now_ns - self.answered_at < PRESENT_AFTER_ANSWER_NS
        return self.state == EndpointState.READY
