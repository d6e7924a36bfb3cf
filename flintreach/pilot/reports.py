"""What lists, reports and probes tell of servers, taken into the state.  Pure."""

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND, EntryState, ProbeStatus, ServerListKind
from flintreach.pilot.records import RECENT_S, Cause, Mode, ServerState
from flintreach.pilot.state import MIN_WEIGHT, REPORT_CYCLE_NS, FleetState
from flintreach.policy.window import SlidingSums

RETRY_STORM_SHARE = 0.2  # part of a line unanswered: it holds repeats
SUSPECT_SHARE = 0.3  # part of a line unanswered, and two at least: its server may be dead
OVERLOAD_LATENCY_SHARE = 0.5  # part of the latency objective that empties a cold server
# Reports below which late answers are not a server's own load.
IDLE_BELOW = {interface.LOAD_QUEUE: 1, interface.LOAD_UTILISATION: 0.8}
PROBE_INTERVAL_NS = SECOND
SPAN_SMOOTHING = 50  # reports by which the learned span follows
NO_ANSWER_STATUSES = (ProbeStatus.CONNECT_FAILED, ProbeStatus.TIMEOUT, ProbeStatus.RESET)


def classify(line: interface.DemandReport | interface.ServerReport, objective_ns: int) -> tuple[bool, ...]:
    """What a line is judged by alone: lines of one kind may be summed up.

    Returns:
        Of demand, (a storm of repeats); of a server, (suspect, jammed, nothing waits).
    """
    if isinstance(line, interface.DemandReport):
        return (line.unanswered > RETRY_STORM_SHARE * line.tries,)
    idle_signs = [value < IDLE_BELOW[name] for name, value in line.load.items() if name in IDLE_BELOW]
    late = line.latency > OVERLOAD_LATENCY_SHARE * objective_ns
    overloaded = late and line.tries - line.unanswered > 1  # retries feed a jam
    suspected = line.unanswered > max(1, SUSPECT_SHARE * line.tries)
    return suspected, overloaded, bool(idle_signs) and all(idle_signs)


def on_server_list(state: FleetState, event: interface.ServerList) -> None:
    """Take a list of servers; where it could not be had, ask again."""
    if event.kind == ServerListKind.FAILED:
        state.orders.append(interface.WatchServers(True))
        return
    for entry in event.entries:
        _on_server_entry(state, entry)
    if event.kind == ServerListKind.DELTA:
        return
    listed = {entry.server for entry in event.entries}
    for server in [state.servers[name] for name in state.servers if name not in listed]:
        state.transition(server, Cause.LEAVE, "gone from the list")


def _on_server_entry(state: FleetState, entry: interface.ServerEntry) -> None:
    server = state.server(entry.server)
    server.weight = max(entry.weight, MIN_WEIGHT)
    restarted = entry.started > server.started_ns
    server.started_ns = max(entry.started, server.started_ns)
    if entry.state != EntryState.READY:
        state.transition(server, Cause.LEAVE, entry.state)
    elif restarted and state.available_share(server) < 1:  # its old load may still be there
        server.answers = SlidingSums(RECENT_S + 2, 3)
        server.host_load = 0.0
        age_s = (state.now_ns - server.started_ns) / 1e9
        state.transition(server, Cause.STARTED, f"{age_s:.1f}s ago")
    elif server.mode in (Mode.UNKNOWN, Mode.LEAVING):
        state.transition(server, Cause.READY)


def on_server_report(state: FleetState, event: interface.ServerReport) -> None:
    """Take what proxies met at a server; one that may be dead is probed, a cold one that jams relieved."""
    server = state.server(event.server)
    answered = max(0, event.tries - event.unanswered)
    # A dead process's sums come late, and must not condemn the one that follows it.
    of_this_process = state.now_ns - event.span - REPORT_CYCLE_NS > server.started_ns
    lost = event.unanswered if of_this_process else 0
    server.answers.add(state.now_ns, event.span, answered + lost, lost, answered * event.latency)
    suspected, overloaded, server.idle = event.kind or classify(event, state.cheapest.objective)
    server.reported_ns = state.now_ns
    state.report_span_ns += (event.span - state.report_span_ns) // SPAN_SMOOTHING
    server.load = event.load.get(interface.LOAD_UTILISATION, server.load)
    if lost and suspected:
        _probe(state, server)
    if overloaded and not server.idle:
        state.transition(server, Cause.STRAINED)


def _probe(state: FleetState, server: ServerState) -> None:
    """The sums of a death come late and by halves: a probe tells at once."""
    if server.unavailable or state.now_ns <= server.probed_ns + PROBE_INTERVAL_NS:
        return
    server.probed_ns = state.now_ns
    if state.settings.probes:
        state.orders.append(interface.Probe(server.server))


def on_host_load(state: FleetState, event: interface.HostLoad) -> None:
    """Take a host's load: it only adds to a report, and stands through silence, which frees nobody."""
    if event.age < REPORT_CYCLE_NS and event.server in state.servers:
        state.servers[event.server].host_load = event.busy


def on_probe_result(state: FleetState, event: interface.ProbeResult) -> None:
    """Note a probe without an answer; `health.check_failed_probes` judges it."""
    if event.status in NO_ANSWER_STATUSES:
        state.server(event.server).probe_failed_ns = state.now_ns
