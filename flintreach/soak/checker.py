"""The invariants of a soak, judged from the clients' history and from what the endpoints recorded.

A proxy that was paused or killed is not judged for what is due within the bound of that rule after it: a
process may stop between its last check and its sending.
"""

import json
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from flintreach.proxy.metrics import LATE_CANCELLATION, SENT_AFTER_DEPARTURE, SENT_AFTER_DISCONNECT
from flintreach.soak.history import NS_PER_S, History, RequestKind, SentRequest
from flintreach.standins.endpoint import Endpoint, Run, RunEnd

LAST_CALL_S = 2.5  # the settings' default
LOSS_SLACK_S = 0.5  # the settings' default of 0.2, and what a fully loaded machine needs besides
ABANDON_S = 0.5  # by the users' rule
PROMISES = (408, 421, 429, 503)  # statuses that promise that the request has not run
# counters of a proxy that must stay 0
VIOLATIONS = (SENT_AFTER_DEPARTURE, SENT_AFTER_DISCONNECT, LATE_CANCELLATION)
REPEATABLE = (RequestKind.LOOK, RequestKind.FETCH)


class Invariant(StrEnum):
    """What must hold, by the name under which a verdict lists what broke it.

    LATE: no request reaches an endpoint later than `last_call_ms` after its departure was acknowledged.
    TWICE: no request that must not be repeated is run more than once.
    REFUSED: none that was refused with a promise (`PROMISES`) has run.
    MIXED: no answer belongs to another request.
    LOST: no connection ends without an answer to a request that reached an endpoint, or that waited for
        longer than `LOSS_SLACK_S`, unless the proxy was killed or paused, or the endpoint broke off.
    GONE: `ABANDON_S` after a client left, none of its requests reaches an endpoint, and no endpoint is at
        work on one that may be repeated.
    ENDED: no process ends by itself, and one that is told to end does so in time and with status 0.
    COUNTED: no proxy has counted a violation (`VIOLATIONS`).
    ACKNOWLEDGED: the newest configuration that was acknowledged is in force at the end, at each proxy.
    START: the system serves in time after its start.
    """

    LATE = "late"
    TWICE = "twice"
    REFUSED = "refused"
    MIXED = "mixed"
    LOST = "lost"
    GONE = "gone"
    ENDED = "ended"
    COUNTED = "counted"
    ACKNOWLEDGED = "acknowledged"
    START = "start"


@dataclass
class Verdict:
    """What a soak has shown.

    Attributes:
        seed: of the soak.
        broken: invariant -> what broke it.
        statuses: answers by their status, 0 for requests without one.
        faults: how often each was injected.
        departures: endpoints whose departure was acknowledged.
        latest_arrival_s: the latest arrival after an acknowledged departure.
        abandoned: requests whose client left.
        cancelled_runs: runs that were ended for it.
        longest_orphan_run_s: the longest work on a repeatable request after its client left.
        persistent_answers: answers on connections that are used for many requests.
        configurations: those that were acknowledged.
        logs: the folder of the machines, kept where something broke.
    """

    seed: int
    broken: dict[Invariant, list[str]] = field(default_factory=dict)
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

    def fail(self, invariant: Invariant, what: str) -> None:
        """Note that an invariant was broken, and by what."""
        self.broken.setdefault(invariant, []).append(what)

    def line(self) -> str:
        """All of it as one line of JSON."""
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
    """Judges a history; what it finds goes into the verdict."""

    def __init__(self, history: History, verdict: Verdict) -> None:
        self.history = history
        self.verdict = verdict

    def check(self, endpoints: list[Endpoint]) -> None:
        """Judge all requests, once the soak is over.

        Args:
            endpoints: all that served in it, also those that have left.
        """
        runs: dict[str, list[Run]] = {}
        cancelled: dict[str, list[Run]] = {}  # requests whose connection ended before they were run
        arrivals_ns: dict[str, list[int]] = {}
        for endpoint in endpoints:
            self.check_departure(endpoint)
            for run in endpoint.runs:
                runs.setdefault(run.request_id, []).append(run)
            for run in endpoint.cancelled_in_queue:
                cancelled.setdefault(run.request_id, []).append(run)
            for arrived_at_ns, request_id in endpoint.arrivals:
                arrivals_ns.setdefault(request_id, []).append(arrived_at_ns)
        for request in self.history.sent.values():
            own_runs = runs.get(request.id, [])
            self.count(request)
            self.check_executions(request, own_runs)
            self.check_loss(request, own_runs)
            self.check_abandonment(
                request, own_runs + cancelled.get(request.id, []), arrivals_ns.get(request.id, [])
            )

    def count(self, request: SentRequest) -> None:
        """Add a request to the verdict's counts."""
        self.verdict.statuses[request.status or 0] += 1
        if request.persistent and request.status is not None:
            self.verdict.persistent_answers += 1

    def check_departure(self, endpoint: Endpoint) -> None:
        """Judge `Invariant.LATE` for an endpoint."""
        if endpoint.departed_at_ns is None:
            return
        self.verdict.departures += 1
        for arrived_at_ns, request_id in endpoint.arrivals:
            late_s = (arrived_at_ns - endpoint.departed_at_ns) / NS_PER_S
            request = self.history.sent.get(request_id)
            if request is None:
                continue
            since_ns = arrived_at_ns - int(LAST_CALL_S * NS_PER_S)
            if self.history.disturbed(request.machine, since_ns, arrived_at_ns):
                continue
            self.verdict.latest_arrival_s = max(self.verdict.latest_arrival_s, late_s)
            if late_s > LAST_CALL_S:
                self.verdict.fail(Invariant.LATE, f"{request_id} at {endpoint.id}: {late_s:.3f} s")

    def check_executions(self, request: SentRequest, runs: list[Run]) -> None:
        """Judge `Invariant.TWICE` and `Invariant.REFUSED` for a request and its runs."""
        if request.kind in REPEATABLE:
            return
        if len(runs) > 1:
            self.verdict.fail(Invariant.TWICE, f"{request.id}: {len(runs)} times")
        if runs and request.status in PROMISES:
            self.verdict.fail(Invariant.REFUSED, f"{request.id}: {request.status}")

    def check_loss(self, request: SentRequest, runs: list[Run]) -> None:
        """Judge `Invariant.LOST` for a request and its runs."""
        if not request.unanswered:
            return
        if self.history.disturbed(request.machine, request.sent_at_ns, request.ended_at_ns):
            return
        if any(run.end in (RunEnd.ANSWER_LOST, RunEnd.STOPPED) for run in runs):
            return
        waited_s = (request.ended_at_ns - request.sent_at_ns) / NS_PER_S
        if runs or waited_s > LOSS_SLACK_S:
            ends = [run.end.value if run.end else "at work" for run in runs]
            self.verdict.fail(Invariant.LOST, f"{request.id} ({request.kind}) after {waited_s:.3f} s, {ends}")

    def check_abandonment(self, request: SentRequest, runs: list[Run], arrivals_ns: list[int]) -> None:
        """Judge `Invariant.GONE` for a request.

        Args:
            request: any one; nothing is judged unless its client left.
            runs: the work on it, also what was cancelled in an endpoint's queue.
            arrivals_ns: when it came to endpoints, steady nanoseconds.
        """
        if request.left_at_ns is None:
            return
        self.verdict.abandoned += 1
        self.verdict.cancelled_runs += sum(run.end == RunEnd.DROPPED for run in runs)
        limit_ns = request.left_at_ns + int(ABANDON_S * NS_PER_S)
        if self.history.disturbed(request.machine, request.sent_at_ns, limit_ns):
            return
        for arrived_at_ns in arrivals_ns:
            if arrived_at_ns > limit_ns:
                after_s = (arrived_at_ns - request.left_at_ns) / NS_PER_S
                self.verdict.fail(Invariant.GONE, f"{request.id} arrives {after_s:.3f} s later")
        if request.kind in REPEATABLE:
            self.check_orphan_runs(request, runs, limit_ns)

    def check_orphan_runs(self, request: SentRequest, runs: list[Run], limit_ns: int) -> None:
        """Judge the work on a repeatable request whose client left; it must end by `limit_ns`."""
        for run in runs:
            if run.ended_at_ns is None:
                continue
            after_s = (run.ended_at_ns - max(run.began_at_ns, request.left_at_ns)) / NS_PER_S
            self.verdict.longest_orphan_run_s = max(self.verdict.longest_orphan_run_s, after_s)
            if run.ended_at_ns > limit_ns:
                self.verdict.fail(
                    Invariant.GONE, f"{request.id} runs on for {after_s:.3f} s ({run.end.value})"
                )
