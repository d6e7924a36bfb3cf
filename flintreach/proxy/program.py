"""`flintreach proxy`: one process on a machine that clients reach."""

import signal
import sys
import time

import gevent
from gevent import pywsgi
from gevent.event import Event

from flintreach.common.log import say
from flintreach.config import settings
from flintreach.config.configuration import RequestLimits
from flintreach.config.settings import place
from flintreach.dissemination.load_aggregate import LoadAggregate
from flintreach.dissemination.relay import Relay
from flintreach.dissemination.relay_tree import parents
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.membership.failure_detector import FailureDetector
from flintreach.membership.member_list import Member
from flintreach.proxy.balancing import FleetPosition, SubsetIndex
from flintreach.proxy.carry import Carrier
from flintreach.proxy.front import Front
from flintreach.proxy.metrics import Metrics
from flintreach.proxy.view import RoutingView
from flintreach.transport.peer_pool import PeerPool

POST, REFUGE_POST = 1, 0  # places of the programs in the spare ports
TALLY_S, LEAVE_S, PRUNE_S = 1.0, 1.0, 0.4
SECOND = 1_000_000_000
METRICS_PATH = "/metrics"  # at the `ready` address
ROLE = "bothy"  # the role's name on the wire between instances, also of earlier texts


class Proxy:
    def __init__(self, node: settings.ProcessSettings):
        self.node, me = node, node.sender
        address = node.inner(POST)
        self.peer_pool, self.updates = PeerPool(address), VersionedStore(time.monotonic)
        self.position = FleetPosition(me.zone, me.region, name=me.node_name)
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
        self.carrier = Carrier(self.view, node.bounds, self.metrics, self.load_aggregate, me.limits.link_mbps)
        posts = {"front": node.network.posts["front"], "mbps": str(me.limits.link_mbps)}
        member = Member(
            me.node_name,
            ROLE,
            *address,
            me.zone,
            me.region,
            posts,
            me.counted,
            False,
            int(time.time() * 1000),
        )
        self.failure_detector = FailureDetector(
            member, lambda: [(ip, node.inner(REFUGE_POST)[1]) for ip in self.node.seeds()]
        )
        self.failure_detector.watchers.append(self.recount)
        self.relay = Relay(self.peer_pool, self.updates, self.parents, self.load_aggregate.add)
        self.front = Front(place(node.network.posts["front"]), self.carrier, self.limits)
        self.ready = pywsgi.WSGIServer(place(node.network.posts["ready"]), self.on_ready, log=None)
        self.is_ready, self.stopping = False, Event()

    def confirmed_at(self) -> int:
        """Steady nanoseconds up to which all that was acknowledged anywhere is known here."""
        return int(self.relay.fresh_at * SECOND)

    def limits(self) -> RequestLimits:
        routes = self.view.routes
        return routes.table.limits if routes else RequestLimits()

    def parents(self) -> list[tuple[str, int]]:
        member_list = self.failure_detector.member_list
        known = member_list.alive("refuge")
        controllers = [member for member in known if member.ready] or known
        if not controllers:
            return []
        found = parents(member_list.me, controllers, member_list.alive(ROLE))
        return [member.address for member in found]

    def recount(self) -> None:
        """Shares go by the pilots known of late: one that is missing may only be cut off."""
        member_list = self.failure_detector.member_list
        names = sorted(m.name for m in member_list.members.values() if m.role == ROLE)
        self.position.proxies = len(names)
        self.position.zones = len({m.zone for m in member_list.members.values() if m.role == ROLE})
        self.position.ranks = {name: number for number, name in enumerate(names)}
        mates = sorted(m.name for m in member_list.alive(ROLE) if m.zone == self.position.zone)
        self.position.zone_index = SubsetIndex(mates.index(self.position.name), len(mates))

    def on_ready(self, environ, start):
        if environ["PATH_INFO"] == METRICS_PATH:
            start("200 OK", [("Content-Type", "text/plain; version=0.0.4")])
            return [self.metrics.text().encode()]
        good = self.is_ready and not self.front.draining
        start("200 OK" if good else "503 Service Unavailable", [("Content-Type", "text/plain")])
        return [b"ready\n" if good else b"not ready\n"]

    def tell_up(self) -> None:
        while True:
            gevent.sleep(TALLY_S)
            if body := self.load_aggregate.take():
                self.relay.say_up(body)

    def prune(self) -> None:
        while True:
            gevent.sleep(PRUNE_S)
            now = time.monotonic_ns()
            for endpoint in [*self.view.endpoints.values()]:
                endpoint.pool.prune(now)

    def run(self) -> int:
        self.peer_pool.start()
        self.failure_detector.start()
        self.relay.start()
        self.ready.start()
        gevent.signal_handler(signal.SIGTERM, self.stopping.set)
        gevent.signal_handler(signal.SIGHUP, self.reread)
        gevent.spawn(settings.watch, self.reread, gevent.sleep)
        gevent.spawn(self.tell_up)
        gevent.spawn(self.prune)
        gevent.spawn(self.get_ready)
        self.stopping.wait()
        return self.leave()

    def reread(self) -> None:
        self.node = settings.again(self.node)

    def get_ready(self) -> None:
        """Clients come once this process knows what is in force, as fresh as a refuge has it."""
        while not self.stopping.is_set():
            if self.view.routes is not None and self.relay.age() < 1.0:
                break
            gevent.sleep(0.05)
        if not self.stopping.is_set():
            self.front.start()
            self.is_ready = True
            self.failure_detector.change(ready=True)
            say("ready", edition=self.view.routes.number, endpoints=len(self.view.endpoints))

    def leave(self) -> int:
        """What was read is answered; nobody is sent here any more."""
        say("leaving", counts=self.metrics.counts, greatest=self.metrics.greatest())
        self.front.draining, end = True, time.monotonic() + self.node.bounds.grace_s - 0.7
        self.failure_detector.change(ready=False)
        if not self.is_ready:
            return 0
        gevent.sleep(LEAVE_S)
        self.front.close()
        while time.monotonic() < end:
            for handler in [*self.front.handlers]:
                if handler.idle():
                    handler.end()
            if not self.front.handlers:
                break
            gevent.sleep(0.05)
        self.failure_detector.change(state=3)
        say("stopped", counts=self.metrics.counts, greatest=self.metrics.greatest())
        return 0


def main() -> None:
    # Addresses are numbers: threads that look names up would only cost memory.
    gevent.config.resolver = "block"
    try:
        node = settings.load()
    except settings.SettingsError as error:
        print(f"flintreach: {error}", file=sys.stderr)
        sys.exit(2)
    sys.exit(Proxy(node).run())
