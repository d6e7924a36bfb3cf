"""Checks a soak's invariants against the clients' history and the endpoints' records.

A time bound is not enforced on a proxy that was paused or killed within that bound before the event: the
process may have stopped between its last check and the send.
"""

import json
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from flintreach.proxy.metrics import LATE_CANCELLATION, SENT_AFTER_DEPARTURE, SENT_AFTER_DISCONNECT
from flintreach.soak.history import NS_PER_S, History, RequestKind, SentRequest
from flintreach.standins.endpoint import Endpoint, Run, RunEnd

DEPARTURE_BOUND_S = 2.5  # default of the setting `last_call_ms`
LOSS_SLACK_S = 0.5  # the settings' default of 0.2 s plus a margin for a fully loaded machine
CANCELLATION_BOUND_S = 0.5  # required by the users
NOT_RUN_STATUSES = (408, 421, 429, 503)  # guarantee that the request has not run
# Proxy counters that must stay 0.
VIOLATION_COUNTERS = (SENT_AFTER_DEPARTURE, SENT_AFTER_DISCONNECT, LATE_CANCELLATION)
REPEATABLE = (RequestKind.READ, RequestKind.SHARDED_READ)


class Violation(StrEnum):
    """Ways to break the invariants of a soak; the values are the keys of `broken` in a verdict.

    LATE_ARRIVAL: a request reached an endpoint later than `last_call_ms` after the endpoint's departure was
        acknowledged.
    DUPLICATE_RUN: a non-repeatable request ran more than once.
    RUN_AFTER_REJECTION: a request ran although its status (`NOT_RUN_STATUSES`) guarantees that it did not.
    MISDELIVERED_ANSWER: a client received the answer to another request.
    LOST_ANSWER: a connection closed without an answer to a request that had reached an endpoint or waited
        for longer than `LOSS_SLACK_S`, although the proxy was not killed or paused and the endpoint did not
        drop the answer.
    WORK_AFTER_DISCONNECT: more than `CANCELLATION_BOUND_S` after its client disconnected, a request reached
        an endpoint, or an endpoint was still working on a repeatable one.
    UNEXPECTED_EXIT: a process exited by itself, or did not exit in time and with status 0 after SIGTERM.
    COUNTED_BY_PROXY: a proxy counted a violation (`VIOLATION_COUNTERS`).
    CONFIGURATION_LOST: at the end, the newest acknowledged configuration is not in force at some proxy.
    MEMORY: a process has used more memory than its settings grant.
    STARTUP: the cluster did not serve requests in time after its start.
    """

    LATE_ARRIVAL = "late"
    DUPLICATE_RUN = "twice"
    RUN_AFTER_REJECTION = "refused"
    MISDELIVERED_ANSWER = "mixed"
    LOST_ANSWER = "lost"
    WORK_AFTER_DISCONNECT = "gone"
    UNEXPECTED_EXIT = "ended"
    COUNTED_BY_PROXY = "counted"
    CONFIGURATION_LOST = "acknowledged"
    MEMORY = "memory"
    STARTUP = "start"


@dataclass
class Verdict:
    """Result of a soak.

    Attributes:
        seed: seed of the soak.
        broken: descriptions of what broke invariants, by kind of violation.
        statuses: number of requests by response status, with 0 for no response.
        faults: number of injections by fault.
        departures: number of endpoints whose departure was acknowledged.
        latest_arrival_s: longest time from an acknowledged departure to the arrival of a request.
        abandoned: number of requests whose client disconnected.
        cancelled_runs: number of runs cancelled because the client disconnected.
        longest_orphan_run_s: longest work on a repeatable request after its client disconnected.
        persistent_answers: number of answers on persistent connections.
        configurations: number of acknowledged configurations.
        logs: directory of the machines' logs, which is kept if an invariant was broken.
    """

    seed: int
    broken: dict[Violation, list[str]] = field(default_factory=dict)
    statuses: Counter[int] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    departures: int = 0
    latest_arrival_s: float = 0.0
    abandoned: int = 0
    cancelled_runs: int = 0
    longest_orphan_run_s: float = 0.0
    persistent_answers: int = 0
    configurations: int = 0
    logs: str = ""

    def fail(self, violation: Violation, description: str) -> None:
        """Record a violation of an invariant, with a description of the event."""
        self.broken.setdefault(violation, []).append(description)

    def to_json(self) -> str:
        """Return the verdict as one line of JSON."""
        fields = {
            "seed": self.seed,
            "broken": self.broken,
            "statuses": {str(status): count for status, count in sorted(self.statuses.items(), key=str)},
            "faults": dict(sorted(self.faults.items())),
            "departures": self.departures,
            "latest_arrival_s": round(self.latest_arrival_s, 3),
            "abandoned": self.abandoned,
            "cancelled_runs": self.cancelled_runs,
            "longest_orphan_run_s": round(self.longest_orphan_run_s, 3),
            "persistent_answers": self.persistent_answers,
            "configurations": self.configurations,
            "logs": self.logs,
        }
        return json.dumps(fields)


class Checker:
    """Checks a history and records violations in a verdict."""

    def __init__(self, history: History, verdict: Verdict) -> None:
        self.history = history
        self.verdict = verdict

    def check(self, endpoints: list[Endpoint]) -> None:
        """Check all requests after the soak.

        Args:
            endpoints: all endpoints that served during the soak, including departed ones.
        """
        runs: dict[str, list[Run]] = {}
        cancelled: dict[str, list[Run]] = {}  # cancelled before they ran
        arrivals_ns: dict[str, list[int]] = {}
        for endpoint in endpoints:
            self.check_departure(endpoint)
            for run in endpoint.runs:
                runs.setdefault(run.request_id, []).append(run)
            for run in endpoint.cancelled_in_queue:
                cancelled.setdefault(run.request_id, []).append(run)
            for arrived_at_ns, request_id in endpoint.arrivals:
                arrivals_ns.setdefault(request_id, []).append(arrived_at_ns)
        for request in self.history.requests.values():
            own_runs = runs.get(request.id, [])
            self.count_request(request)
            self.check_executions(request, own_runs)
            self.check_loss(request, own_runs)
            self.check_abandonment(
                request, own_runs + cancelled.get(request.id, []), arrivals_ns.get(request.id, [])
            )

    def count_request(self, request: SentRequest) -> None:
        """Add a request to the verdict's counters."""
        self.verdict.statuses[request.status or 0] += 1
        if request.persistent and request.status is not None:
            self.verdict.persistent_answers += 1

    def check_departure(self, endpoint: Endpoint) -> None:
        """Check `Violation.LATE_ARRIVAL` for an endpoint."""
        if endpoint.departed_at_ns is None:
            return
        self.verdict.departures += 1
        for arrived_at_ns, request_id in endpoint.arrivals:
            late_s = (arrived_at_ns - endpoint.departed_at_ns) / NS_PER_S
            request = self.history.requests.get(request_id)
            if request is None:
                continue
            since_ns = arrived_at_ns - int(DEPARTURE_BOUND_S * NS_PER_S)
            if self.history.disturbed(request.machine, since_ns, arrived_at_ns):
                continue
            self.verdict.latest_arrival_s = max(self.verdict.latest_arrival_s, late_s)
            if late_s > DEPARTURE_BOUND_S:
                self.verdict.fail(
                    Violation.LATE_ARRIVAL,
                    f"{request_id} reached {endpoint.id} {late_s:.3f} s after its departure",
                )

    def check_executions(self, request: SentRequest, runs: list[Run]) -> None:
        """Check `Violation.DUPLICATE_RUN` and `Violation.RUN_AFTER_REJECTION` for a request and its runs."""
        if request.kind in REPEATABLE:
            return
        if len(runs) > 1:
            self.verdict.fail(Violation.DUPLICATE_RUN, f"{request.id} ran {len(runs)} times")
        if runs and request.status in NOT_RUN_STATUSES:
            self.verdict.fail(
                Violation.RUN_AFTER_REJECTION, f"{request.id} ran but was answered with {request.status}"
            )

    def check_loss(self, request: SentRequest, runs: list[Run]) -> None:
        """Check `Violation.LOST_ANSWER` for a request and its runs."""
        if not request.unanswered:
            return
        if self.history.disturbed(request.machine, request.sent_at_ns, request.ended_at_ns):
            return
        if any(run.end in (RunEnd.ANSWER_LOST, RunEnd.STOPPED) for run in runs):
            return
        waited_s = (request.ended_at_ns - request.sent_at_ns) / NS_PER_S
        if runs or waited_s > LOSS_SLACK_S:
            ends = [run.end.value if run.end else "running" for run in runs]
            self.verdict.fail(
                Violation.LOST_ANSWER,
                f"{request.id} ({request.kind}) lost after {waited_s:.3f} s, runs: {ends}",
            )

    def check_abandonment(self, request: SentRequest, runs: list[Run], arrivals_ns: list[int]) -> None:
        """Check `Violation.WORK_AFTER_DISCONNECT` for a request.

        Args:
            request: a request; one whose client did not disconnect is skipped.
            runs: its runs, including those cancelled in an endpoint's queue.
            arrivals_ns: monotonic times of its arrival at endpoints.
        """
        if request.disconnected_at_ns is None:
            return
        self.verdict.abandoned += 1
        self.verdict.cancelled_runs += sum(run.end == RunEnd.DROPPED for run in runs)
        limit_ns = request.disconnected_at_ns + int(CANCELLATION_BOUND_S * NS_PER_S)
        if self.history.disturbed(request.machine, request.sent_at_ns, limit_ns):
            return
        for arrived_at_ns in arrivals_ns:
            if arrived_at_ns > limit_ns:
                after_s = (arrived_at_ns - request.disconnected_at_ns) / NS_PER_S
                self.verdict.fail(
                    Violation.WORK_AFTER_DISCONNECT,
                    f"{request.id} arrived {after_s:.3f} s after its client disconnected",
                )
        if request.kind in REPEATABLE:
            self.check_orphan_runs(request, runs, limit_ns)

    def check_orphan_runs(self, request: SentRequest, runs: list[Run], limit_ns: int) -> None:
        """Check that work on a repeatable request ended by `limit_ns` after its client disconnected."""
        for run in runs:
            if run.ended_at_ns is None:
                continue
            after_s = (run.ended_at_ns - max(run.began_at_ns, request.disconnected_at_ns)) / NS_PER_S
            self.verdict.longest_orphan_run_s = max(self.verdict.longest_orphan_run_s, after_s)
            if run.ended_at_ns > limit_ns:
                self.verdict.fail(
                    Violation.WORK_AFTER_DISCONNECT,
                    f"{request.id} ran for {after_s:.3f} s after its client disconnected ({run.end.value})",
                )
