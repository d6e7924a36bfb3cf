"""Health of servers, evaluated from their recent responses relative to their peers'.

Does no input or output.
"""

from dataclasses import dataclass, field

from flintreach.pilot import admission
from flintreach.pilot.admission import HIGH_UNANSWERED_SHARE, OVERLOAD_PRESSURE
from flintreach.pilot.interface import SECOND
from flintreach.pilot.records import RECENT_S, Cause, Mode, ServerState
from flintreach.pilot.state import REPORT_CYCLE_NS, FleetState
from flintreach.policy.search import Costs

TICK_NS = SECOND // 4  # interval of the checks of timers and probes
FAILURE_WINDOW_S = 2  # window over which a failure is detected
MIN_TRIES = 6  # minimum number of tries for a server to be evaluated
FAILING_UNANSWERED_SHARE = 0.7  # share of unanswered tries from which a server is failing
MAX_EJECTED_SHARE = 0.25  # of the healthy servers
HIGH_LATENCY_SHARE = 0.4  # mean latency that counts as high, as a share of the latency objective
LATENESS_DECAY = 0.9  # per second without fresh responses
MIN_UTILISATION = 0.3  # lower utilisations count as this one when capacity is derived from responses
EVALUATION_COST_US = 15  # per server


@dataclass(slots=True)
class Evaluation:
    """Result of evaluating all servers.

    Attributes:
        unanswered: share of unanswered tries of each server with enough tries.
        failing: failing servers, each with the reason.
        answered: tries that all servers answered in the recent seconds.
        loads: weighted load and weight of each healthy server that reports its load.
    """

    unanswered: dict[ServerState, float] = field(default_factory=dict)
    failing: dict[ServerState, str] = field(default_factory=dict)
    answered: float = 0
    loads: list[tuple[float, float]] = field(default_factory=list)


def check_timers(state: FleetState) -> None:
    """Mark servers that have warmed up as healthy, and put ejected ones on trial when that is due."""
    for server in state.servers.values():
        if server.mode == Mode.COLD and state.available_share(server) >= 1:
            state.transition(server, Cause.WARM)
        elif server.mode == Mode.EJECTED and state.now_ns >= server.ejected_until_ns:
            state.transition(server, Cause.TRIAL_DUE)


def check_failed_probes(state: FleetState) -> None:
    """Eject servers that leave probes unanswered.

    The check waits one tick after the first failed probe: servers behind a partition fail together, and
    `eject_failing` must see all of them to tell a partition from a failed server.
    """
    failing = {
        server: "probe unanswered"
        for server in state.servers.values()
        if server.probe_failed_ns > state.now_ns - SECOND and not server.unavailable
    }
    if any(server.probe_failed_ns < state.now_ns - TICK_NS for server in failing):
        eject_failing(state, failing)


def eject_failing(state: FleetState, failing: dict[ServerState, str]) -> None:
    """Eject failing servers, unless that would exceed the permitted share of ejected servers.

    Where many fail at once, they are overloaded, partitioned from this pilot, or fail at one operation, and
    ejecting them would not help.  A server on trial is ejected in any case.

    Args:
        state: of the fleet.
        failing: reason by server.
    """
    modes = [server.mode for server in state.servers.values()]
    may_eject = len(failing) + modes.count(Mode.EJECTED) <= MAX_EJECTED_SHARE * modes.count(Mode.HEALTHY)
    for server, reason in failing.items():
        if may_eject or server.mode == Mode.TRIAL:
            state.transition(server, Cause.FAILING, f"{reason}, servers failing: {len(failing)}")


def evaluate(state: FleetState) -> Costs:
    """Evaluate all servers: eject failing ones, end trials, and adjust capacity shares and admission."""
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
    eject_failing(state, evaluation.failing)
    # Servers with too few tries are adjusted too: a low admission level may be what leaves so few, and it
    # must be able to rise again.
    for server in state.servers.values():
        if server.mode == Mode.TRIAL and unanswered.get(server, 1) < HIGH_UNANSWERED_SHARE:
            state.transition(server, Cause.RECOVERED, f"{unanswered[server]:.2f} unanswered")
        admission.adjust(state, server, pressures.get(server, OVERLOAD_PRESSURE / 2), peer_pressure)
    lateness = [0.0, *(0.0 if server.idle else server.lateness for server in unanswered)]
    median = state.median_server
    median.lateness = sorted(lateness)[len(lateness) // 2]
    admission.adjust(state, median, median.lateness if median.lateness > 1 else 0, 0)


def _evaluate_server(
    state: FleetState, server: ServerState, high_latency_ns: float, evaluation: Evaluation
) -> None:
    """Update a server's lateness from its recent responses, and add the server to the evaluation."""
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
    # Overload shows as high latency first; a server that crashes or hangs stops responding without it.
    stopped = last_tries >= MIN_TRIES and last_unanswered >= FAILING_UNANSWERED_SHARE * last_tries
    if stopped and server.lateness < 1:
        evaluation.failing[server] = f"{last_unanswered / last_tries:.2f} unanswered"


def _update_proven_capacity(state: FleetState, evaluation: Evaluation) -> None:
    """Derive the capacity of servers from the responses so far and the utilisation at which they came."""
    owned_quota = sum(state.quotas().values()) * len(state.owned_tables()) / len(state.tables)
    weight = sum(weight for _, weight in evaluation.loads)
    utilisation = sum(load for load, _ in evaluation.loads) / (weight or 1) or 1
    bounded_utilisation = min(1, max(MIN_UTILISATION, utilisation))
    capacity = evaluation.answered / RECENT_S / max(owned_quota, 1) / bounded_utilisation
    state.proven_capacity = max(state.proven_capacity, capacity)
