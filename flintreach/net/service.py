"""The pilot's service: collects events, hands them to the decision logic in turns, executes its orders."""

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

# Keys of the configuration that a reload applies, or that only matter at a start.
RELOADABLE_KEYS = {"discovery", "store", "known", "seed"}
REPORTS = (interface.ServerReport, interface.DemandReport)
RELAYED_ORDERS = (
    interface.SetWeight,
    interface.ClearTable,
    interface.Withdraw,
    interface.SetAdmission,
    interface.Mark,
)


class Service:
    """One pilot: its connections, its decision logic, and the event queue between them.

    Args:
        config: the platform's configuration.
        loop: the event loop, which the service stops when it ends.
        log: a structured logger.
        front: makes the client side from the service: `Clients`, or worker processes that stand in for it.

    Attributes:
        pending_events: events that wait for the next turn.
        gauge_sources: functions that return gauges as names and values.
        tagged_gauge_sources: functions that return gauges of single objects, as rows of name, tags and value.
        turn_observers: functions called after each turn with its start, events, orders and duration.
        warning_counts: how often each warning was counted since the start.
        status: exit status of the process.
    """

    def __init__(self, config, loop: asyncio.AbstractEventLoop, log, front=Clients) -> None:
        self.loop = loop
        self.log = log
        self.limits = config.limits
        self.settings = config.settings
        self.zones = config.zones
        self.operations = {operation.name: operation for operation in config.settings.operations}
        self.load_names = settings.LOAD_FIELDS
        self.config = config
        self.attempt_timeout = max((op.attempt_timeout for op in config.settings.operations), default=0)
        self.discovery = config.discovery
        self.store = config.store
        self.registry = Registry(config.settings)
        self.clock = Clock(loop, config.seed, config.limits)
        self.pilot = Pilot(config.settings)
        self.pending_events = []
        self.turn_scheduled = False
        self.ready = False
        self.status = 0
        self.logged_states = {}
        self.warning_counts = {}
        self.clients = front(self)
        self.order_sender = OrderSender(self)
        self.relay_feed = RelayFeed(self)
        self.discovery_client = DiscoveryClient(self)
        self.prober = Prober(self)
        self.peer_messenger = None
        self.longest_turn = 0
        self.turn_count = 0
        self.peak_pending_events = 0
        self.gc_frozen = False
        self.gauge_sources: list = []
        self.tagged_gauge_sources: list = []
        self.turn_observers: list = []
        loop.set_exception_handler(self.on_loop_exception)

    # Event queue.

    def enqueue(self, event: object) -> None:
        """Add an event to the next turn, which runs one tick from now at the latest."""
        self.pending_events.append(event)
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.clock.call_later(self.settings.tick, self.run_turn)

    def split_batch(self, events: list) -> tuple[list, list]:
        """Split events into those of one turn and the rest; reports come last.

        Thousands of reports must not delay urgent events.
        """
        if len(events) <= self.limits.max_events_per_turn:
            return events, []
        size = self.limits.max_events_per_turn
        urgent = [event for event in events if not isinstance(event, REPORTS)]
        reports = [event for event in events if isinstance(event, REPORTS)]
        while size < len(urgent) and isinstance(urgent[size], interface.SliceReplica):
            size += 1  # a slice that came without its replicas would be taken for one with an empty table
        room = max(0, self.limits.max_events_per_turn - len(urgent))
        return urgent[:size] + reports[:room], urgent[size:] + reports[room:]

    def queue_full(self) -> bool:
        """Whether so many events wait that clients must not be read."""
        return len(self.pending_events) >= self.limits.max_pending_events

    def proxy(self, number: int) -> interface.Proxy:
        """The proxy of this number.

        Raises:
            ValueError: the number is not one of the settings.
        """
        return self.registry.proxy(nonnegative_int(number, self.settings.proxies))

    # Turns.

    def run_turn(self) -> None:
        """Hand one batch of events to the decision logic and execute the orders that it returns."""
        self.peak_pending_events = max(self.peak_pending_events, len(self.pending_events))
        events, self.pending_events = self.split_batch(self.pending_events)
        self.turn_scheduled = False
        started = self.clock.now()
        try:
            orders = self.pilot.handle(started, events)
        except Exception:
            self.log.error("decision logic raised an exception; stopping", trace=traceback.format_exc())
            self.stop(1)
            return
        duration = self.clock.now() - started
        self.turn_count += 1
        self.longest_turn = max(self.longest_turn, duration)
        if duration > self.limits.slow_turn_threshold:
            self.count_warning("slow turn")
        for observe in self.turn_observers:
            observe(started, events, orders, duration)
        if self.pending_events and not self.turn_scheduled:
            self.turn_scheduled = True
            self.clock.call_later(self.settings.tick, self.run_turn)
        if len(self.pending_events) < self.limits.max_events_per_turn:
            self.clients.resume()
        self.execute_orders(orders)

    def execute_orders(self, orders: list) -> None:
        """Send the orders of one turn to where they belong; those for proxies go to the relay together."""
        relayed = [order for order in orders if isinstance(order, RELAYED_ORDERS)]
        if relayed:
            self.order_sender.send(relayed)
        for order in orders:
            match order:
                case interface.SetTimer(at, label):
                    self.fire_timer_at(at, label)
                case interface.Log(text):
                    self.log.info(text)
                case interface.Probe(server) if self.settings.probes:
                    self.prober.probe(server)
                case interface.SendToPilot(pilot, data) if self.settings.tells and self.peer_messenger:
                    self.peer_messenger.send(pilot, data)
                case interface.WatchServers(on):
                    self.discovery_client.set_watching(on)
                case interface.FetchServerList():
                    self.discovery_client.refetch()
                case interface.RunSearch(search):
                    self.clients.solve(search)
                case _ if not isinstance(order, RELAYED_ORDERS):
                    self.log.error("order type not supported by this protocol", order=type(order).__name__)

    def fire_timer_at(self, at: int, label: int) -> None:
        """Enqueue a timer's event, never early.

        The event loop rounds its times, and decision logic that is woken too soon sets no other timer.
        """
        wait = at - self.clock.now()
        if wait > 0:
            self.clock.call_later(wait, lambda: self.fire_timer_at(at, label))
        else:
            self.enqueue(interface.TimerFired(label))

    # Log.

    def log_state(self, subject: str, state: str, figures: str = "") -> None:
        """Log a component's state when it changes, and not with each message.

        Args:
            subject: the component.
            state: its state now.
            figures: details for the log line.
        """
        before = self.logged_states.get(subject)
        self.logged_states[subject] = state
        if before != state:
            self.log.info(f"{subject}: {state}", figures=figures)

    def count_warning(self, text: str, figures: str = "", times: int = 1) -> None:
        """Count a warning; the first, each power of ten and, at the end, the total are logged."""
        before = self.warning_counts.get(text, 0)
        number = self.warning_counts[text] = before + times
        if len(str(number)) > len(str(before)) or not before:
            self.log.warning(text, times=number, **{"figures": figures[:80]} if figures else {})

    def on_loop_exception(self, loop: asyncio.AbstractEventLoop, context: dict) -> None:
        """Log an exception that ended a callback of the event loop; the service goes on."""
        error = context.get("exception")
        self.log.error(
            "unhandled exception in a transport callback",
            what=context.get("message"),
            trace="".join(traceback.format_exception(error)) if error else "",
        )

    # Start, reload and stop.

    async def start(self) -> None:
        """Take the cached server list, then listen and connect to peers, discovery and the relay.

        Raises:
            OSError: an address can't be listened at.
        """
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
        self.relay_feed.connect()
        self.clock.call_later(self.limits.ready_timeout, lambda: self.check_ready(True))

    def check_ready(self, timed_out: bool = False) -> None:
        """Become ready once discovery has sent its list, or has had its time.

        Decisions rest on a list of servers, but a discovery that is down must not keep the pilot out of
        service for ever.
        """
        if not self.ready and (timed_out or self.discovery_client.has_list):
            self.ready = True
            self.log.info(
                "ready", servers=len(self.registry.servers), discovery=self.discovery_client.has_list
            )
            self.clients.notify_ready()

    def on_initial_state(self) -> None:
        """Exclude the long-lived state from garbage collection, once, when the relay has sent all of it.

        A full collection over it holds the loop for 50 ms at a thousand servers and finds nothing.  Only the
        first feed connection does this: objects that each new one discards would otherwise never be freed.
        """
        if not self.gc_frozen:
            self.gc_frozen = True
            # Buckets of sums are allocated all the time.
            if len(self.relay_feed.tables) >= self.limits.rare_gc_slices:
                gc.set_threshold(5000, 20, 100)
            self.clock.call_later(interface.SECOND, gc.freeze)

    def reload(self) -> None:
        """On SIGHUP, switch to new addresses of discovery and the relay and keep all state.

        A call that is under way ends where it began.  Later calls, and a new feed connection beside the old
        one, go to the new address.
        """
        try:
            config = load(self.config.path, again=True)
        except ConfigError as error:
            self.log.error("reload failed; keeping the current configuration", error=str(error))
            return
        old, new = self.config.document, config.document
        ignored = [name for name in sorted({*old, *new} - RELOADABLE_KEYS) if old.get(name) != new.get(name)]
        moved = [name for name in ("discovery", "store") if getattr(self, name) != getattr(config, name)]
        self.log.info("configuration reloaded", moved=moved, needs_restart=ignored)
        self.discovery = config.discovery
        self.store = config.store
        if "discovery" in moved:
            self.discovery_client.on_address_changed()
        if "store" in moved:
            self.relay_feed.connect(again=True)

    def stop(self, status: int) -> None:
        """End the service with an exit status, and log what it has counted."""
        self.status = status
        self.log.info(
            "stopped",
            status=status,
            turns=self.turn_count,
            longest_ms=self.longest_turn // 1_000_000,
            deepest=self.peak_pending_events,
            lines=self.clients.lines_read,
            **{text.replace(" ", "_"): number for text, number in self.warning_counts.items()},
        )
        self.loop.stop()
