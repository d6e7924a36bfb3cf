"""Which servers are healthy: judged by their answers against peers of the same time.  Pure."""

from dataclasses import dataclass, field

from flintreach.pilot import admission
from flintreach.pilot.admission import CROWDED_STRAIN, HARD_UNANSWERED
from flintreach.pilot.interface import SECOND
from flintreach.pilot.records import RECENT_S, Cause, Mode, ServerState
from flintreach.pilot.state import REPORT_CYCLE_NS, FleetState
from flintreach.policy.search import Costs

BEAT_NS = SECOND // 4  # between looks at the clock
DEATH_S = 2  # of answers by which a death is judged
LEAST_TRIES = 6  # with fewer nobody is judged
DEAD_SHARE = 0.7  # part unanswered of a failing server
MOST_EJECTED = 0.25  # of the fit servers
HARD_LATENCY = 0.4  # part of the latency objective that strains a server
LATENESS_FADE = 0.9  # of what is known, a second of silence
LEAST_UTILISATION = 0.3  # load below which answers prove no capacity
JUDGE_COST_US = 15  # of one server


@dataclass(slots=True)
class Findings:
    """What a look at all servers has found."""

    unanswered: dict[ServerState, float] = field(default_factory=dict)  # shares of those that can be judged
    dead: dict[ServerState, str] = field(default_factory=dict)  # and why
    answered: float = 0  # in the recent seconds, by all
    loads: list[tuple[float, float]] = field(default_factory=list)  # of fit servers: weighted load, weight


def check_timers(state: FleetState) -> None:
    """Servers that have warmed up are fit; the ejected have a trial when it is due."""
    for server in state.servers.values():
        if server.mode == Mode.COLD and state.warm_share(server) >= 1:
            state.transition(server, Cause.WARM)
        elif server.mode == Mode.OUT and state.now_ns >= server.out_until_ns:
            state.transition(server, Cause.DUE)


def check_silent(state: FleetState) -> None:
    """Condemn servers that leave probes unanswered, after a beat: those of one cut fall silent together."""
    silent = {
        server: "no answer to a question"
        for server in state.servers.values()
        if server.silent_ns > state.now_ns - SECOND and not server.closed
    }
    if any(server.silent_ns < state.now_ns - BEAT_NS for server in silent):
        condemn(state, silent)


def condemn(state: FleetState, dead: dict[ServerState, str]) -> None:
    """Eject the dead, each with why; many at once are crowded, cut off from us, or fail at one operation."""
    modes = [server.mode for server in state.servers.values()]
    few = len(dead) + modes.count(Mode.OUT) <= MOST_EJECTED * modes.count(Mode.FIT)
    for server, why in dead.items():
        if few or server.mode == Mode.TRIAL:
            state.transition(server, Cause.FAILING, f"{why}, {len(dead)} such")


def judge(state: FleetState) -> Costs:
    """Judge all servers: eject the dead, end trials, and let the strained bear and let in less."""
    findings = Findings()
    hard_latency_ns = HARD_LATENCY * state.cheapest.objective
    for server in [*state.servers.values()]:
        yield JUDGE_COST_US
        _examine(state, server, hard_latency_ns, findings)
    _prove_rate(state, findings)
    unanswered = findings.unanswered
    strains = {server: max(share / HARD_UNANSWERED, server.lateness) for server, share in unanswered.items()}
    usual_strain = sorted([*strains.values(), 0.0])[(len(strains) + 1) // 4]
    condemn(state, findings.dead)
    # Also those whose level leaves too little to judge by: they must not be kept at it.
    for server in state.servers.values():
        if server.mode == Mode.TRIAL and unanswered.get(server, 1) < HARD_UNANSWERED:
            state.transition(server, Cause.SOUND, f"{unanswered[server]:.2f} unanswered")
        admission.adjust(state, server, strains.get(server, CROWDED_STRAIN / 2), usual_strain)
    lateness = [0.0, *(0.0 if server.idle else server.lateness for server in unanswered)]
    typical = state.typical_server
    typical.lateness = sorted(lateness)[len(lateness) // 2]
    admission.adjust(state, typical, typical.lateness if typical.lateness > 1 else 0, 0)


def _examine(state: FleetState, server: ServerState, hard_latency_ns: float, findings: Findings) -> None:
    """Take a server's recent answers into its lateness and the findings."""
    tries, unanswered, latency = server.answers.total(server.reported_ns, RECENT_S)
    last_tries, last_unanswered, _ = server.answers.total(server.reported_ns, DEATH_S)
    fresh = state.now_ns - server.reported_ns < REPORT_CYCLE_NS
    answered = tries - unanswered
    if fresh:
        findings.answered += answered
        if server.mode == Mode.FIT and server.load is not None:
            findings.loads.append((server.load * server.weight, server.weight))
    if fresh and answered > 1:
        server.lateness = latency / answered / hard_latency_ns
    else:
        server.lateness *= LATENESS_FADE
    if tries < LEAST_TRIES or server.closed or not fresh:
        return
    server.unanswered_share = unanswered / tries
    findings.unanswered[server] = server.unanswered_share
    # A jam comes with late answers first; what dies or hangs falls silent out of good health.
    falls_silent = last_tries >= LEAST_TRIES and last_unanswered >= DEAD_SHARE * last_tries
    if falls_silent and server.lateness < 1:
        findings.dead[server] = f"{last_unanswered / last_tries:.2f} unanswered"


def _prove_rate(state: FleetState, findings: Findings) -> None:
    """Learn from the answers, and the load at which they were given, what a server can answer."""
    our_quota = sum(state.quotas().values()) * len(state.owned_tables()) / len(state.tables)
    weight = sum(weight for _, weight in findings.loads)
    utilisation = sum(load for load, _ in findings.loads) / (weight or 1) or 1
    at_most = min(1, max(LEAST_UTILISATION, utilisation))
    rate = findings.answered / RECENT_S / max(our_quota, 1) / at_most
    state.proven_rate = max(state.proven_rate, rate)
