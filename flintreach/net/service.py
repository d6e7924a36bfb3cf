"""Gathers what is ready, hands it to the decisions in one go, and carries out what comes back."""

import asyncio
import gc
import traceback

from flintreach.net.clients import Clients
from flintreach.net.clock import Clock
from flintreach.net.config import ConfigError, load
from flintreach.net.http import parse_address
from flintreach.net.pilots import PeerMessenger
from flintreach.net.reading import nonnegative_int
from flintreach.net.relay import OrderSender, RelayFeed
from flintreach.net.roster import DiscoveryClient
from flintreach.net.servers import Prober
from flintreach.pilot import interface, settings
from flintreach.pilot.logic import Pilot
from flintreach.pilot.registry import Registry

MOVED = {"discovery", "store", "known", "seed"}  # what a configuration read again may change, or need not
SUMS = (interface.ServerReport, interface.DemandReport)
RELAYED = (
    interface.SetWeight,
    interface.ClearTable,
    interface.Withdraw,
    interface.SetAdmission,
    interface.Mark,
)


class Service:
    def __init__(self, config, loop: asyncio.AbstractEventLoop, log, front=Clients):
        self.loop, self.log, self.limits = loop, log, config.limits
        self.settings, self.zones = config.settings, config.zones
        self.operations = {operation.name: operation for operation in config.settings.operations}
        self.load_names, self.config = settings.LOAD_FIELDS, config
        self.attempt_timeout = max((op.attempt_timeout for op in config.settings.operations), default=0)
        self.discovery, self.store = config.discovery, config.store
        self.registry, self.clock = Registry(config.settings), Clock(loop, config.seed, config.limits)
        self.pilot = Pilot(config.settings)
        self.pending_events, self.turn_scheduled, self.ready, self.status = [], False, False, 0
        self.logged_states, self.warning_counts = {}, {}
        self.clients, self.order_sender, self.relay_feed = front(self), OrderSender(self), RelayFeed(self)
        self.discovery_client, self.prober, self.peer_messenger = DiscoveryClient(self), Prober(self), None
        self.longest_turn = self.turn_count = self.peak_pending_events = 0
        self.frozen = False
        self.gauge_sources: list = []  # of figures that parts have: functions that give names and values
        # The same of objects: functions that give rows of name, tags and value.
        self.tagged_gauge_sources: list = []
        self.turn_observers: list = []  # they see each turn: its time, events, orders, and how long it took
        loop.set_exception_handler(self.fault)

    # What comes in.

    def enqueue(self, event) -> None:
        self.pending_events.append(event)
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.clock.call_later(self.settings.tick, self.run_turn)

    def some(self, events: list) -> tuple[list, list]:
        """What one turn takes, and what waits.  Sums by the thousand must not hold up what is urgent."""
        if len(events) <= self.limits.max_events_per_turn:
            return events, []
        most = self.limits.max_events_per_turn
        rest = [event for event in events if not isinstance(event, SUMS)]
        sums = [event for event in events if isinstance(event, SUMS)]
        while most < len(rest) and isinstance(rest[most], interface.SliceReplica):
            most += 1  # a slice without its lines would be taken for one with an empty table
        left = max(0, self.limits.max_events_per_turn - len(rest))
        return rest[:most] + sums[:left], rest[most:] + sums[left:]

    def queue_full(self) -> bool:
        return len(self.pending_events) >= self.limits.max_pending_events

    def proxy(self, number: int) -> interface.Proxy:
        return self.registry.proxy(nonnegative_int(number, self.settings.proxies))

    # The loop.

    def run_turn(self) -> None:
        self.peak_pending_events = max(self.peak_pending_events, len(self.pending_events))
        events, self.pending_events = self.some(self.pending_events)
        self.turn_scheduled = False
        began = self.clock.now()
        try:
            orders = self.pilot.handle(began, events)
        except Exception:
            self.log.error("the decisions failed", trace=traceback.format_exc())
            return self.stop(1)
        took = self.clock.now() - began
        self.turn_count, self.longest_turn = self.turn_count + 1, max(self.longest_turn, took)
        if took > self.limits.slow_turn_threshold:
            self.count_warning("slow turn")
        for tap in self.turn_observers:
            tap(began, events, orders, took)
        if self.pending_events and not self.turn_scheduled:
            self.turn_scheduled = True
            self.clock.call_later(self.settings.tick, self.run_turn)
        if len(self.pending_events) < self.limits.max_events_per_turn:
            self.clients.resume()
        self.execute_orders(orders)

    def execute_orders(self, orders: list) -> None:
        relayed = [order for order in orders if isinstance(order, RELAYED)]
        if relayed:
            self.order_sender.send(relayed)
        for order in orders:
            match order:
                case interface.SetTimer(at, label):
                    self.wake(at, label)
                case interface.Log(text):
                    self.log.info(text)
                case interface.Probe(server) if self.settings.probes:
                    self.prober.probe(server)
                case interface.SendToPilot(pilot, data) if self.settings.tells and self.peer_messenger:
                    self.peer_messenger.tell(pilot, data)
                case interface.WatchServers(on):
                    self.discovery_client.observe(on)
                case interface.FetchServerList():
                    self.discovery_client.fetch()
                case interface.RunSearch(search):
                    self.clients.solve(search)
                case _ if not isinstance(order, RELAYED):
                    self.log.error("an order that this protocol can't carry", order=type(order).__name__)

    def wake(self, at: int, label: int) -> None:
        """Never early: the loop rounds its times, and decisions woken too soon ask for no other wake."""
        wait = at - self.clock.now()
        if wait > 0:
            self.clock.call_later(wait, lambda: self.wake(at, label))
        else:
            self.enqueue(interface.TimerFired(label))

    # Log.

    def log_state(self, what: str, now: str, figures: str = "") -> None:
        """One line for each change of mode, never one a message."""
        before, self.logged_states[what] = self.logged_states.get(what), now
        if before != now:
            self.log.info(f"{what}: {now}", figures=figures)

    def count_warning(self, what: str, figures: str = "", times: int = 1) -> None:
        """The first is logged; the repeated are counted and told at the end and each power of ten."""
        before = self.warning_counts.get(what, 0)
        number = self.warning_counts[what] = before + times
        if len(str(number)) > len(str(before)) or not before:
            self.log.warning(what, times=number, **{"figures": figures[:80]} if figures else {})

    def fault(self, loop, context: dict) -> None:
        """A fault of the transport ends one callback, and is never hidden."""
        error = context.get("exception")
        self.log.error(
            "fault in the transport",
            what=context.get("message"),
            trace="".join(traceback.format_exception(error)) if error else "",
        )

    # Start and end.

    async def start(self) -> None:
        config = self.config
        self.pending_events.append(
            self.discovery_client.parse_list(config.cached_list or {"endpoints": []}, "cached")
        )
        self.run_turn()
        host, port = await self.clients.listen(config.listen)
        if config.peer_listen:
            self.peer_messenger = PeerMessenger(self, config.peers, config.peers_all)
            await self.loop.create_datagram_endpoint(
                lambda: self.peer_messenger, parse_address(config.peer_listen)
            )
        self.log.info("listening", at=f"{host}:{port}")
        self.discovery_client.start()
        self.relay_feed.look()
        self.clock.call_later(self.limits.ready_timeout, lambda: self.check_ready(True))

    def check_ready(self, late: bool = False) -> None:
        """Decisions stand on a list of servers; a discovery that is down must not keep us out for ever."""
        if not self.ready and (late or self.discovery_client.has_list):
            self.ready = True
            self.log.info(
                "ready", servers=len(self.registry.servers), discovery=self.discovery_client.has_list
            )
            self.clients.notify_ready()

    def settled(self) -> None:
        """All that stands is known: a full collection over it holds the loop for 50 ms at a thousand servers,
        and finds nothing.  Once, lest what is cast off with each new connection stays for ever."""
        if not self.frozen:
            self.frozen = True
            if (
                len(self.relay_feed.tables) >= self.limits.rare_gc_slices
            ):  # buckets of sums are made anew all the time
                gc.set_threshold(5000, 20, 100)
            self.clock.call_later(interface.SECOND, gc.freeze)

    def reload(self) -> None:
        """SIGHUP moves the addresses of discovery and the relay, and keeps all state.  A call in hand ends
        where it began; the next ones and a fresh news connection, beside the old, go to the new address."""
        try:
            told = load(self.config.path, again=True)
        except ConfigError as error:
            return self.log.error("reload: the old configuration stays", error=str(error))
        old, new = self.config.document, told.document
        kept = [name for name in sorted({*old, *new} - MOVED) if old.get(name) != new.get(name)]
        moved = [name for name in ("discovery", "store") if getattr(self, name) != getattr(told, name)]
        self.log.info("reload", moved=moved, only_at_a_start=kept)
        self.discovery, self.store = told.discovery, told.store
        if "discovery" in moved:
            self.discovery_client.move()
        if "store" in moved:
            self.relay_feed.look(again=True)

    def stop(self, status: int) -> None:
        self.status = status
        self.log.info(
            "stopped",
            status=status,
            turns=self.turn_count,
            longest_ms=self.longest_turn // 1_000_000,
            deepest=self.peak_pending_events,
            lines=self.clients.lines_read,
            **{what.replace(" ", "_"): number for what, number in self.warning_counts.items()},
        )
        self.loop.stop()
