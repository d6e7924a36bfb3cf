"""The `flintreach proxy` process.

It receives updates from the controllers (`view`), forwards client requests (`client_listener`, `forwarding`),
and reports load to the controllers.
"""

import signal
import sys
import time
from collections.abc import Callable
from functools import partial
from typing import Any

import gevent
from gevent import pywsgi
from gevent.event import Event

from flintreach.common.keys import ROLE_CONTROLLER, ROLE_PROXY
from flintreach.common.lifecycle import StartLog, StartStage, UnhandledErrors, run_to_end
from flintreach.common.log import log_event
from flintreach.common.resources import open_descriptors, resident_bytes
from flintreach.config import settings
from flintreach.config.configuration import RequestLimits
from flintreach.config.settings import parse_address
from flintreach.dissemination.load_aggregate import LoadAggregate
from flintreach.dissemination.relay import Relay
from flintreach.dissemination.relay_tree import choose_parents
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.membership.failure_detector import FailureDetector
from flintreach.membership.member_list import Member
from flintreach.proxy.balancing import FleetPosition, SubsetIndex
from flintreach.proxy.client_listener import ClientListener
from flintreach.proxy.forwarding import Forwarder
from flintreach.proxy.metrics import (
    CLIENT_CONNECTIONS,
    DESCRIPTOR_LIMIT,
    MEMORY_LIMIT,
    MESSAGE_MEMORY,
    OPEN_DESCRIPTORS,
    RESIDENT_MEMORY,
    UNHANDLED_ERRORS,
    Metrics,
)
from flintreach.proxy.view import RoutingView
from flintreach.transport.listening import bind_when_available
from flintreach.transport.peer_pool import PeerPool
from flintreach.transport.runtime import run_loop

NS_PER_S = 1_000_000_000
MS_PER_S = 1000
BYTES_PER_MB = 1 << 20

# Offsets of the programs' ports within a machine's `spare_ports`.
PROXY_PORT_INDEX = 1
CONTROLLER_PORT_INDEX = 0

# Names of this process's ports in the settings file.
CLIENT_PORT = "front"
READY_PORT = "ready"

# State of a member that has left, in the membership protocol.
LEFT_STATE = 3

LOAD_REPORT_INTERVAL_S = 1.0
PRUNE_INTERVAL_S = 0.4

# Maximum age of updates for the proxy to become ready.
READY_MAX_UPDATE_AGE_S = 1.0
READY_POLL_INTERVAL_S = 0.05

# A draining proxy accepts connections for this long, since clients learn with a delay that it is not ready.
DRAIN_NOTICE_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05

# Part of the grace time that is left when the wait for endpoints ends, and the part of that in which the
# requests still pending are answered.
DRAIN_MARGIN_S = 0.7
FINAL_RESPONSES_S = 0.4

EXIT_UNUSABLE = 2  # the settings are unusable

# Path of the metrics on the `ready` port.
METRICS_PATH = "/metrics"


class Proxy:
    """The proxy process: owns its components, and starts and stops them in order."""

    def __init__(self, node: settings.ProcessSettings) -> None:
        self.node = node
        self.start_log = StartLog()
        self.start_log.enter(StartStage.SETTINGS_READ, first_run=node.identity.first_run)
        self.unhandled_errors = UnhandledErrors()
        self.unhandled_errors.install()
        sender = node.identity
        address = node.peer_address(PROXY_PORT_INDEX)
        self.peer_pool = PeerPool(address)
        self.updates = VersionedStore(time.monotonic)
        self.position = FleetPosition(sender.zone, sender.region, name=sender.node_name)
        self.metrics = Metrics()
        self.view = RoutingView(
            self.updates,
            self.position,
            node.network.zones,
            time.monotonic_ns,
            node.bounds,
            self.confirmed_at,
            self.metrics,
        )
        self.load_aggregate = LoadAggregate()
        link_mbps = sender.limits.link_mbps
        self.forwarder = Forwarder(
            self.view,
            node.bounds,
            self.metrics,
            self.load_aggregate,
            link_mbps,
            sender.limits.memory_mb,
        )
        client_post = node.network.listen_addresses[CLIENT_PORT]
        member = Member(
            sender.node_name,
            ROLE_PROXY,
            *address,
            sender.zone,
            sender.region,
            {"front": client_post, "mbps": str(link_mbps)},
            sender.voter_eligible,
            False,
            int(time.time() * MS_PER_S),
        )
        self.failure_detector = FailureDetector(member, self.controller_addresses)
        self.failure_detector.watchers.append(self.update_position)
        self.relay = Relay(self.peer_pool, self.updates, self.choose_parents, self.load_aggregate.add_report)
        self.client_listener = ClientListener(parse_address(client_post), self.forwarder, self.request_limits)
        ready_address = parse_address(node.network.listen_addresses[READY_PORT])
        self.ready_listener = pywsgi.WSGIServer(ready_address, self.serve_ready, log=None)
        self.is_ready = False
        self.stopping = Event()
        self.listen_error: OSError | None = None

    def controller_addresses(self) -> list[tuple[str, int]]:
        """Returns the controller addresses from the settings, used to discover the first members."""
        port = self.node.peer_address(CONTROLLER_PORT_INDEX)[1]
        return [(ip, port) for ip in self.node.seeds()]

    def confirmed_at(self) -> int:
        """Returns the monotonic time in nanoseconds up to which all acknowledged updates are known here."""
        return int(self.relay.fresh_at * NS_PER_S)

    def request_limits(self) -> RequestLimits:
        """Returns the request limits of the current configuration."""
        routes = self.view.routes
        return routes.configuration.limits if routes else RequestLimits()

    def choose_parents(self) -> list[tuple[str, int]]:
        """Returns the addresses to receive updates from, in order of preference."""
        member_list = self.failure_detector.member_list
        alive = member_list.alive(ROLE_CONTROLLER)
        controllers = [member for member in alive if member.ready] or alive
        if not controllers:
            return []
        chosen = choose_parents(member_list.local_member, controllers, member_list.alive(ROLE_PROXY))
        return [member.address for member in chosen]

    def update_position(self) -> None:
        """Handles a change of the member list.

        Shares are computed from all listed proxies, including those not alive: a missing proxy may only be
        partitioned from this one and still send its share.
        """
        member_list = self.failure_detector.member_list
        proxies = [member for member in member_list.members.values() if member.role == ROLE_PROXY]
        names = sorted(member.name for member in proxies)
        position = self.position
        position.proxies = len(names)
        position.zones = len({member.zone for member in proxies})
        position.ranks = {name: rank for rank, name in enumerate(names)}
        zone_names = sorted(
            member.name for member in member_list.alive(ROLE_PROXY) if member.zone == position.zone
        )
        position.zone_index = SubsetIndex(zone_names.index(position.name), len(zone_names))

    def serve_ready(
        self, environ: dict[str, Any], start_response: Callable[[str, list[tuple[str, str]]], Any]
    ) -> list[bytes]:
        """WSGI application on the `ready` port: serves the readiness check and the metrics."""
        if environ["PATH_INFO"] == METRICS_PATH:
            start_response("200 OK", [("Content-Type", "text/plain; version=0.0.4")])
            return [self.metrics.text(self.gauges()).encode()]
        is_ready = self.is_ready and not self.client_listener.draining
        status = "200 OK" if is_ready else "503 Service Unavailable"
        start_response(status, [("Content-Type", "text/plain")])
        return [b"ready\n" if is_ready else b"not ready\n"]

    def gauges(self) -> dict[str, float]:
        """Returns current values for the metrics, by name."""
        limits = self.node.identity.limits
        return {
            RESIDENT_MEMORY: resident_bytes(),
            MEMORY_LIMIT: limits.memory_mb * BYTES_PER_MB,
            OPEN_DESCRIPTORS: open_descriptors(),
            DESCRIPTOR_LIMIT: limits.file_handles,
            MESSAGE_MEMORY: self.forwarder.memory.used_bytes(),
            CLIENT_CONNECTIONS: len(self.client_listener.handlers),
            UNHANDLED_ERRORS: self.unhandled_errors.total,
        }

    def report_load(self) -> None:
        """Sends load reports to the controllers periodically."""
        while True:
            gevent.sleep(LOAD_REPORT_INTERVAL_S)
            body = self.load_aggregate.flush()
            if body:
                self.relay.send_report(body)

    def prune_connections(self) -> None:
        """Closes idle connections to endpoints periodically."""
        while True:
            gevent.sleep(PRUNE_INTERVAL_S)
            now_ns = time.monotonic_ns()
            for endpoint in [*self.view.endpoints.values()]:
                endpoint.pool.prune(now_ns)

    def run(self) -> int:
        """Runs until SIGTERM.

        Returns:
            Exit status of the process.

        Raises:
            OSError: an address can't be bound.
        """
        self.peer_pool.start()
        self.start_log.enter(StartStage.LISTENING)
        self.failure_detector.start()
        self.relay.start()
        bind_when_available(self.ready_listener.start, self.ready_listener.address)
        gevent.signal_handler(signal.SIGTERM, self.stopping.set)
        gevent.signal_handler(signal.SIGHUP, self.reload_settings)
        loops = (
            partial(settings.watch, self.reload_settings, gevent.sleep),
            self.report_load,
            self.prune_connections,
            self.become_ready,
        )
        for loop in loops:
            gevent.spawn(run_loop, loop)
        self.stopping.wait()
        if self.listen_error is not None:
            raise self.listen_error
        return self.drain()

    def reload_settings(self) -> None:
        """Reloads the settings file."""
        self.node = settings.reload(self.node)

    def become_ready(self) -> None:
        """Accepts clients once a configuration was received and updates are sufficiently fresh."""
        while not self.stopping.is_set():
            stage = self.pending_stage()
            if stage is None:
                break
            self.start_log.enter(stage)
            gevent.sleep(READY_POLL_INTERVAL_S)
        if self.stopping.is_set():
            return
        try:
            bind_when_available(self.client_listener.start, self.client_listener.address)
        except OSError as error:
            self.listen_error = error
            self.stopping.set()
            return
        self.is_ready = True
        self.failure_detector.update_local(ready=True)
        log_event("ready", edition=self.view.routes.number, endpoints=len(self.view.endpoints))

    def pending_stage(self) -> StartStage | None:
        """Returns what the start waits for; None if clients can be served."""
        if self.view.routes is None:
            peers = self.failure_detector.member_list.alive(ROLE_CONTROLLER)
            return StartStage.WAITING_FOR_CONFIGURATION if peers else StartStage.WAITING_FOR_PEERS
        if self.relay.age() >= READY_MAX_UPDATE_AGE_S:
            return StartStage.WAITING_FOR_UPDATES
        return None

    def drain(self) -> int:
        """Stops accepting clients, and waits for pending responses up to the grace time.

        Requests that have no response by then are answered by the proxy, within the grace time.

        Returns:
            Exit status of the process.
        """
        log_event("draining", counts=self.metrics.counts, greatest=self.metrics.max_values())
        self.client_listener.draining = True
        end_s = time.monotonic() + self.node.bounds.grace_s - DRAIN_MARGIN_S
        self.failure_detector.update_local(ready=False)
        if not self.is_ready:
            return 0
        gevent.sleep(DRAIN_NOTICE_S)
        self.client_listener.close()
        closed_idle = self.close_idle_until(end_s)
        self.forwarder.in_flight.cancel_all()
        closed_idle += self.close_idle_until(time.monotonic() + FINAL_RESPONSES_S)
        self.failure_detector.update_local(state=LEFT_STATE)
        log_event(
            "stopped",
            counts=self.metrics.counts,
            greatest=self.metrics.max_values(),
            unanswered=self.client_listener.pending_requests(),
            closed_idle=closed_idle,
        )
        return 0

    def close_idle_until(self, end_s: float) -> int:
        """Closes idle connections until no connection is left.

        Args:
            end_s: monotonic time in seconds at which to return in any case.

        Returns:
            Number of connections closed.
        """
        closed = 0
        while time.monotonic() < end_s:
            closed += self.client_listener.close_idle()
            if not self.client_listener.handlers:
                break
            gevent.sleep(DRAIN_POLL_INTERVAL_S)
        return closed


def run_proxy() -> int:
    """Runs a proxy with this machine's settings.

    Returns:
        Exit status of the process.
    """
    try:
        node = settings.load_at_start(gevent.sleep)
    except settings.SettingsError as error:
        print(f"flintreach: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    return Proxy(node).run()


def main() -> None:
    """Runs a proxy, and exits the process."""
    # All addresses are numeric, so the resolver's thread pool would only use memory.
    gevent.config.resolver = "block"
    sys.exit(run_to_end(run_proxy))
