"""What a soak has sent and done, and the judgement of it: the invariants.

The endpoints' own ledgers and the clients' tell whether they hold:

- late: no request reaches an endpoint later than `last_call_ms` after its departure was acknowledged;
- twice: no request that must not be repeated is run more than once;
- refused: none that was refused with a promise (503) has run;
- mixed: no answer belongs to another request;
- lost: no connection ends without an answer to a request that reached an endpoint, or that waited for longer
  than `LOSS_SLACK_S`, unless the proxy was killed or paused, or the endpoint broke off;
- gone: half a second after a client left, none of its requests reaches an endpoint, and no endpoint is at
  work on one that may be repeated;
- ended: no process ends by itself, and one that is told to end does so in time and with status 0;
- counted: no proxy has counted a violation (`VIOLATIONS`);
- acknowledged: the newest configuration that was acknowledged is in force at the end, at each proxy.

A proxy that was paused or killed is not judged for what is due within the bound of that rule after it: a
process may stop between its last look and its sending.
"""

import json
from collections import Counter
from dataclasses import dataclass, field

from flintreach.demo.cluster import Machine
from flintreach.proxy.metrics import LATE_ABANDON, SENT_FOR_NOBODY, VIOLATION
from flintreach.standins.endpoint import Endpoint, Run, RunEnd

SECOND = 1_000_000_000
LAST_CALL_S = 2.5  # the settings' default
LOSS_SLACK_S = 0.5  # the settings' default of 0.2, and what a full machine needs besides
GONE_S = 0.5  # by the users' rule
PROMISES = (408, 421, 429, 503)
VIOLATIONS = (VIOLATION, SENT_FOR_NOBODY, LATE_ABANDON)
REPEATABLE = ("look", "fetch")


@dataclass(slots=True)
class SentRequest:
    """One request of a client; steady nanoseconds."""

    id: str
    machine: Machine
    kind: str
    sent_at: int
    kept: bool = False  # on a connection that is used for many
    status: int | None = None  # of its answer
    ended_at: int | None = None  # when its answer or the end of its connection came
    left_at: int | None = None  # when its client closed the connection

    @property
    def unanswered(self) -> bool:
        """The connection ended without an answer, and not by the client."""
        return self.status is None and self.ended_at is not None and self.left_at is None


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A time in which a machine was killed or paused; steady nanoseconds."""

    machine: Machine
    began_at: int
    until: int


@dataclass
class Verdict:
    """What a soak has shown; `broken`: invariant -> what broke it."""

    seed: int
    broken: dict[str, list[str]] = field(default_factory=dict)
    statuses: Counter = field(default_factory=Counter)
    troubles: Counter = field(default_factory=Counter)
    departures: int = 0
    latest_s: float = 0.0  # the latest arrival after an acknowledged departure
    left: int = 0  # requests whose client left
    broken_off: int = 0  # runs that were ended for it
    longest_for_nobody_s: float = 0.0  # the longest work on a repeatable request after its client left
    kept: int = 0  # answers on kept connections
    configurations: int = 0
    logs: str = ""  # the folder of the machines, kept where something broke

    def fail(self, invariant: str, what: str) -> None:
        self.broken.setdefault(invariant, []).append(what)

    def line(self) -> str:
        told = {
            "seed": self.seed,
            "broken": self.broken,
            "statuses": {str(status): count for status, count in sorted(self.statuses.items(), key=str)},
            "troubles": dict(sorted(self.troubles.items())),
            "departures": self.departures,
            "latest_s": round(self.latest_s, 3),
            "left": self.left,
            "broken_off": self.broken_off,
            "longest_for_nobody_s": round(self.longest_for_nobody_s, 3),
            "kept": self.kept,
            "configurations": self.configurations,
            "logs": self.logs,
        }
        return json.dumps(told)


class Ledger:
    """All requests of the clients, and the times in which machines were disturbed."""

    def __init__(self):
        self.sent: dict[str, SentRequest] = {}
        self.disturbances: list[Disturbance] = []

    def disturbed(self, machine: Machine, since: int, until: int) -> bool:
        return any(
            d.machine is machine and d.began_at <= until and d.until >= since for d in self.disturbances
        )

    def judge(self, endpoints: list[Endpoint], verdict: Verdict) -> None:
        runs: dict[str, list[Run]] = {}
        waited: dict[str, list[Run]] = {}  # requests whose connection ended before they were run
        arrivals: dict[str, list[int]] = {}
        for endpoint in endpoints:
            self.judge_departure(endpoint, verdict)
            for run in endpoint.runs:
                runs.setdefault(run.id, []).append(run)
            for run in endpoint.dropped_waiting:
                waited.setdefault(run.id, []).append(run)
            for at, id in endpoint.arrived:
                arrivals.setdefault(id, []).append(at)
        for request in self.sent.values():
            verdict.statuses[request.status or 0] += 1
            verdict.kept += request.kept and request.status is not None
            self.judge_runs(request, runs.get(request.id, []), verdict)
            self.judge_loss(request, runs.get(request.id, []), verdict)
            held = runs.get(request.id, []) + waited.get(request.id, [])
            self.judge_leaving(request, held, arrivals.get(request.id, []), verdict)

    def judge_departure(self, endpoint: Endpoint, verdict: Verdict) -> None:
        if endpoint.departed_at is None:
            return
        verdict.departures += 1
        for at, id in endpoint.arrived:
            late_s = (at - endpoint.departed_at) / SECOND
            request = self.sent.get(id)
            if request is None or self.disturbed(request.machine, at - int(LAST_CALL_S * SECOND), at):
                continue
            verdict.latest_s = max(verdict.latest_s, late_s)
            if late_s > LAST_CALL_S:
                verdict.fail("late", f"{id} at {endpoint.id}: {late_s:.3f} s")

    def judge_runs(self, request: SentRequest, runs: list[Run], verdict: Verdict) -> None:
        if request.kind in REPEATABLE:
            return
        if len(runs) > 1:
            verdict.fail("twice", f"{request.id}: {len(runs)} times")
        if runs and request.status in PROMISES:
            verdict.fail("refused", f"{request.id}: {request.status}")

    def judge_loss(self, request: SentRequest, runs: list[Run], verdict: Verdict) -> None:
        if not request.unanswered or self.disturbed(request.machine, request.sent_at, request.ended_at):
            return
        waited_s = (request.ended_at - request.sent_at) / SECOND
        if any(run.end in (RunEnd.ANSWER_LOST, RunEnd.STOPPED) for run in runs):
            return
        if runs or waited_s > LOSS_SLACK_S:
            ends = [run.end.value if run.end else "at work" for run in runs]
            verdict.fail("lost", f"{request.id} ({request.kind}) after {waited_s:.3f} s, {ends}")

    def judge_leaving(
        self, request: SentRequest, runs: list[Run], arrivals: list[int], verdict: Verdict
    ) -> None:
        if request.left_at is None:
            return
        verdict.left += 1
        verdict.broken_off += sum(run.end == RunEnd.DROPPED for run in runs)
        limit = request.left_at + int(GONE_S * SECOND)
        if self.disturbed(request.machine, request.sent_at, limit):
            return
        for at in arrivals:
            if at > limit:
                verdict.fail("gone", f"{request.id} arrives {(at - request.left_at) / SECOND:.3f} s later")
        for run in runs if request.kind in REPEATABLE else []:
            if run.ended_at is None:
                continue
            after_s = (run.ended_at - max(run.began_at, request.left_at)) / SECOND
            verdict.longest_for_nobody_s = max(verdict.longest_for_nobody_s, after_s)
            if run.ended_at > limit:
                verdict.fail("gone", f"{request.id} runs on for {after_s:.3f} s ({run.end.value})")
