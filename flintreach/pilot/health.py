"""Which servers are healthy: judged by their answers against peers of the same time.  Pure."""

from dataclasses import dataclass, field

from flintreach.pilot import admission
from flintreach.pilot.admission import HIGH_UNANSWERED_SHARE, OVERLOAD_PRESSURE
from flintreach.pilot.interface import SECOND
from flintreach.pilot.records import RECENT_S, Cause, Mode, ServerState
from flintreach.pilot.state import REPORT_CYCLE_NS, FleetState
from flintreach.policy.search import Costs

TICK_NS = SECOND // 4  # between looks at the clock
FAILURE_WINDOW_S = 2  # of answers by which a death is judged
MIN_TRIES = 6  # with fewer nobody is judged
FAILING_UNANSWERED_SHARE = 0.7  # part unanswered of a failing server
MAX_EJECTED_SHARE = 0.25  # of the fit servers
HIGH_LATENCY_SHARE = 0.4  # part of the latency objective that strains a server
LATENESS_DECAY = 0.9  # of what is known, a second of silence
MIN_UTILISATION = 0.3  # load below which answers prove no capacity
EVALUATION_COST_US = 15  # of one server


@dataclass(slots=True)
class Evaluation:
    """What a look at all servers has found."""

    unanswered: dict[ServerState, float] = field(default_factory=dict)  # shares of those that can be judged
    dead: dict[ServerState, str] = field(default_factory=dict)  # and why
    answered: float = 0  # in the recent seconds, by all
    loads: list[tuple[float, float]] = field(default_factory=list)  # of fit servers: weighted load, weight


def check_timers(state: FleetState) -> None:
    """Servers that have warmed up are fit; the ejected have a trial when it is due."""
    for server in state.servers.values():
        if server.mode == Mode.COLD and state.available_share(server) >= 1:
            state.transition(server, Cause.WARM)
        elif server.mode == Mode.EJECTED and state.now_ns >= server.ejected_until_ns:
            state.transition(server, Cause.DUE)


def check_failed_probes(state: FleetState) -> None:
    """Condemn servers that leave probes unanswered, after a beat: those of one cut fall silent together."""
    silent = {
        server: "no answer to a question"
        for server in state.servers.values()
        if server.probe_failed_ns > state.now_ns - SECOND and not server.unavailable
    }
    if any(server.probe_failed_ns < state.now_ns - TICK_NS for server in silent):
        eject_failing(state, silent)


def eject_failing(state: FleetState, dead: dict[ServerState, str]) -> None:
    """Eject the dead, each with why; many at once are crowded, cut off from us, or fail at one operation."""
    modes = [server.mode for server in state.servers.values()]
    few = len(dead) + modes.count(Mode.EJECTED) <= MAX_EJECTED_SHARE * modes.count(Mode.HEALTHY)
    for server, why in dead.items():
        if few or server.mode == Mode.TRIAL:
            state.transition(server, Cause.FAILING, f"{why}, {len(dead)} such")


def judge(state: FleetState) -> Costs:
    """Judge all servers: eject the dead, end trials, and let the strained bear and let in less."""
    evaluation = Evaluation()
    high_latency_ns = HIGH_LATENCY_SHARE * state.cheapest.objective
    for server in [*state.servers.values()]:
        yield EVALUATION_COST_US
        _evaluate_server(state, server, high_latency_ns, evaluation)
    _update_proven_capacity(state, evaluation)
    unanswered = evaluation.unanswered
    pressures = {
        server: max(share / HIGH_UNANSWERED_SHARE, server.lateness) for server, share in unanswered.items()
    }
    peer_pressure = sorted([*pressures.values(), 0.0])[(len(pressures) + 1) // 4]
    eject_failing(state, evaluation.dead)
    # Also those whose level leaves too little to judge by: they must not be kept at it.
    for server in state.servers.values():
        if server.mode == Mode.TRIAL and unanswered.get(server, 1) < HIGH_UNANSWERED_SHARE:
            state.transition(server, Cause.SOUND, f"{unanswered[server]:.2f} unanswered")
        admission.adjust(state, server, pressures.get(server, OVERLOAD_PRESSURE / 2), peer_pressure)
    lateness = [0.0, *(0.0 if server.idle else server.lateness for server in unanswered)]
    typical = state.median_server
    typical.lateness = sorted(lateness)[len(lateness) // 2]
    admission.adjust(state, typical, typical.lateness if typical.lateness > 1 else 0, 0)


def _evaluate_server(
    state: FleetState, server: ServerState, high_latency_ns: float, evaluation: Evaluation
) -> None:
    """Take a server's recent answers into its lateness and the findings."""
    tries, unanswered, latency = server.answers.total(server.reported_ns, RECENT_S)
    last_tries, last_unanswered, _ = server.answers.total(server.reported_ns, FAILURE_WINDOW_S)
    fresh = state.now_ns - server.reported_ns < REPORT_CYCLE_NS
    answered = tries - unanswered
    if fresh:
        evaluation.answered += answered
        if server.mode == Mode.HEALTHY and server.load is not None:
            evaluation.loads.append((server.load * server.weight, server.weight))
    if fresh and answered > 1:
        server.lateness = latency / answered / high_latency_ns
    else:
        server.lateness *= LATENESS_DECAY
    if tries < MIN_TRIES or server.unavailable or not fresh:
        return
    server.unanswered_share = unanswered / tries
    evaluation.unanswered[server] = server.unanswered_share
    # A jam comes with late answers first; what dies or hangs falls silent out of good health.
    falls_silent = last_tries >= MIN_TRIES and last_unanswered >= FAILING_UNANSWERED_SHARE * last_tries
    if falls_silent and server.lateness < 1:
        evaluation.dead[server] = f"{last_unanswered / last_tries:.2f} unanswered"


def _update_proven_capacity(state: FleetState, evaluation: Evaluation) -> None:
    """Learn from the answers, and the load at which they were given, what a server can answer."""
    owned_quota = sum(state.quotas().values()) * len(state.owned_tables()) / len(state.tables)
    weight = sum(weight for _, weight in evaluation.loads)
    utilisation = sum(load for load, _ in evaluation.loads) / (weight or 1) or 1
    at_most = min(1, max(MIN_UTILISATION, utilisation))
    rate = evaluation.answered / RECENT_S / max(owned_quota, 1) / at_most
    state.proven_capacity = max(state.proven_capacity, rate)
