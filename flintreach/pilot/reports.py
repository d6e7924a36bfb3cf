"""Handlers of server lists, reports and probe results, which update the state of servers.

Does no input or output.
"""

from flintreach.pilot import interface
from flintreach.pilot.interface import SECOND, EntryState, ProbeStatus, ServerListKind
from flintreach.pilot.records import RECENT_S, Cause, Mode, ServerState
from flintreach.pilot.state import MIN_WEIGHT, REPORT_CYCLE_NS, FleetState
from flintreach.policy.window import SlidingSums

RETRY_STORM_SHARE = 0.2  # unanswered share of a demand report above which its tries include retries
SUSPECT_SHARE = 0.3  # unanswered share, of at least two, above which a server may have failed
OVERLOAD_LATENCY_SHARE = 0.5  # mean latency above which a cold server loses its slices, of the objective
# Reported loads below which high latency is not caused by the server's own load.
IDLE_BELOW = {interface.LOAD_QUEUE: 1, interface.LOAD_UTILISATION: 0.8}
PROBE_INTERVAL_NS = SECOND
SPAN_SMOOTHING = 50  # reports over which the span that reports cover is smoothed
NO_ANSWER_STATUSES = (ProbeStatus.CONNECT_FAILED, ProbeStatus.TIMEOUT, ProbeStatus.RESET)


def classify(line: interface.DemandReport | interface.ServerReport, objective_ns: int) -> tuple[bool, ...]:
    """Classify one report by itself; reports of one class may be added up.

    Returns:
        For demand, whether it is a retry storm; for a server, whether it may have failed, whether it is
        overloaded, and whether it is idle by its own report.
    """
    if isinstance(line, interface.DemandReport):
        return (line.unanswered > RETRY_STORM_SHARE * line.tries,)
    idle_signs = [value < IDLE_BELOW[name] for name, value in line.load.items() if name in IDLE_BELOW]
    late = line.latency > OVERLOAD_LATENCY_SHARE * objective_ns
    overloaded = late and line.tries - line.unanswered > 1  # two answers suffice: retries sustain overload
    suspected = line.unanswered > max(1, SUSPECT_SHARE * line.tries)
    return suspected, overloaded, bool(idle_signs) and all(idle_signs)


def on_server_list(state: FleetState, event: interface.ServerList) -> None:
    """Update the servers from a list; if it could not be fetched, request it again."""
    if event.kind == ServerListKind.FAILED:
        state.orders.append(interface.WatchServers(True))
        return
    for entry in event.entries:
        _on_server_entry(state, entry)
    if event.kind == ServerListKind.DELTA:
        return
    listed = {entry.server for entry in event.entries}
    for server in [state.servers[name] for name in state.servers if name not in listed]:
        state.transition(server, Cause.LEAVE, "not in server list")


def _on_server_entry(state: FleetState, entry: interface.ServerEntry) -> None:
    server = state.server(entry.server)
    server.weight = max(entry.weight, MIN_WEIGHT)
    restarted = entry.started > server.started_ns
    server.started_ns = max(entry.started, server.started_ns)
    if entry.state != EntryState.READY:
        state.transition(server, Cause.LEAVE, entry.state)
    elif restarted and state.available_share(server) < 1:  # slices of before the restart may still be on it
        server.answers = SlidingSums(RECENT_S + 2, 3)
        server.host_load = 0.0
        age_s = (state.now_ns - server.started_ns) / 1e9
        state.transition(server, Cause.STARTED, f"{age_s:.1f}s ago")
    elif server.mode in (Mode.UNKNOWN, Mode.LEAVING):
        state.transition(server, Cause.READY)


def on_server_report(state: FleetState, event: interface.ServerReport) -> None:
    """Add what proxies report of a server; probe one that may have failed, relieve an overloaded cold one."""
    server = state.server(event.server)
    answered = max(0, event.tries - event.unanswered)
    # Reports on a process that failed arrive late and must not count against its successor.
    is_current_process = state.now_ns - event.span - REPORT_CYCLE_NS > server.started_ns
    lost = event.unanswered if is_current_process else 0
    server.answers.add(state.now_ns, event.span, answered + lost, lost, answered * event.latency)
    suspected, overloaded, server.idle = event.kind or classify(event, state.cheapest.objective)
    server.reported_ns = state.now_ns
    state.report_span_ns += (event.span - state.report_span_ns) // SPAN_SMOOTHING
    server.load = event.load.get(interface.LOAD_UTILISATION, server.load)
    if lost and suspected:
        _probe(state, server)
    if overloaded and not server.idle:
        state.transition(server, Cause.OVERLOADED)


def _probe(state: FleetState, server: ServerState) -> None:
    """Probe a server that may have failed: reports of a failure arrive late and in parts."""
    if server.unavailable or state.now_ns <= server.probed_ns + PROBE_INTERVAL_NS:
        return
    server.probed_ns = state.now_ns
    if state.settings.probes:
        state.orders.append(interface.Probe(server.server))


def on_host_load(state: FleetState, event: interface.HostLoad) -> None:
    """Store a host's load, unless it is old.

    The load only ever raises that of a server's own reports, and is kept where no more arrive: missing data
    must not make a server seem idle.
    """
    if event.age < REPORT_CYCLE_NS and event.server in state.servers:
        state.servers[event.server].host_load = event.busy


def on_probe_result(state: FleetState, event: interface.ProbeResult) -> None:
    """Store the time of a probe without an answer; `health.check_failed_probes` evaluates it."""
    if event.status in NO_ANSWER_STATUSES:
        state.server(event.server).probe_failed_ns = state.now_ns
