"""The `flintreach controller` process: runs the control plane on real sockets and a disk."""

import signal
import sys
import time
from functools import partial

import gevent
from gevent import pywsgi
from gevent.event import Event

from flintreach.common.keys import ROLE_CONTROLLER
from flintreach.common.lifecycle import StartLog, StartStage, UnhandledErrors, run_to_end
from flintreach.common.log import log_event
from flintreach.config import settings
from flintreach.config.settings import parse_address
from flintreach.consensus.quorum import Address
from flintreach.consensus.store import Store, StoreError
from flintreach.controller.control_plane import ControlPlane
from flintreach.controller.http_api import CallName, listen
from flintreach.controller.request_body import configuration_memory
from flintreach.controller.views import Row
from flintreach.membership.failure_detector import FailureDetector
from flintreach.membership.member_list import LEFT, Member
from flintreach.transport.listening import bind_when_available
from flintreach.transport.peer_connection import PeerConnection
from flintreach.transport.peer_pool import PeerPool
from flintreach.transport.runtime import run_loop

PEER_PORT_INDEX = 0  # index, among the spare ports, of the port for peer traffic
SHOW_MESSAGE = "show"  # message kind of `flintreach show`
CONTROL_CALLS = frozenset(CallName) - {CallName.RESOLVE}
DIRECTORY_CALLS = frozenset({CallName.RESOLVE})
# Names of the listeners in the settings, with the calls that each answers.
LISTENER_CALLS = (("control", CONTROL_CALLS), ("directory", DIRECTORY_CALLS))
EXIT_UNUSABLE = 2  # the settings or the disk are unusable


class ControllerProcess:
    """A controller: the control plane with its sockets, disk and failure detector."""

    def __init__(self, node: settings.ProcessSettings) -> None:
        """Open the store and construct the components; nothing listens before `run`.

        Raises:
            StoreError: the disk is unusable.
        """
        self.node = node
        self.start_log = StartLog()
        self.start_log.enter(StartStage.SETTINGS_READ, first_run=node.identity.first_run)
        self.unhandled_errors = UnhandledErrors()
        self.unhandled_errors.install()
        sender = node.identity
        address = node.peer_address(PEER_PORT_INDEX)
        self.peer_pool = PeerPool(address)
        store = Store(sender.store_dir, sender.node_name, sender.first_run) if sender.store_dir else None
        if store:
            self.start_log.enter(
                StartStage.STORE_OPENED, votes=store.voting, created_later=store.created_later
            )
        member = Member(
            sender.node_name,
            ROLE_CONTROLLER,
            *address,
            sender.zone,
            sender.region,
            dict(node.network.listen_addresses),
            sender.voter_eligible,
            False,
            int(time.time() * 1000),
        )
        self.failure_detector = FailureDetector(member, self.join_addresses)
        self.plane = ControlPlane(
            node, self.peer_pool, store, self.failure_detector.member_list, self.seeds, self.start_serving
        )
        self.plane.unhandled_errors = self.unhandled_errors
        self.peer_pool.handlers[SHOW_MESSAGE] = self.on_show
        self.servers: list[pywsgi.WSGIServer] = []
        self.stopping = Event()
        self.start_error: Exception | None = None

    def seeds(self) -> list[Address]:
        """Return the seed addresses from the current settings."""
        return sorted({(ip, self.peer_pool.address[1]) for ip in self.node.seeds()})

    def join_addresses(self) -> list[Address]:
        """Return the addresses to join by: the seeds, and the stored voters in case all seeds have left."""
        return sorted({*self.seeds(), *self.plane.register.voters.members()})

    def start_serving(self) -> None:
        """Start the API listeners, and announce this controller as ready; end the process if that fails.

        The caller calls it once, so a controller that went on after an exception would never serve.
        """
        try:
            self.start_listeners()
        except Exception as error:
            self.start_error = error
            self.stopping.set()
            return
        self.failure_detector.update_local(ready=True)
        log_event("ready", endpoints=len(self.plane.registry.records))

    def start_listeners(self) -> None:
        """Start the API listeners.

        Raises:
            OSError: an address can't be bound; see `listening.bind_when_available`.
        """
        memory = configuration_memory(self.node.identity.limits.memory_mb)
        for listener, names in LISTENER_CALLS:
            if listener in self.node.network.listen_addresses:
                address = parse_address(self.node.network.listen_addresses[listener])
                server = listen(address, self.plane, names, memory)
                bind_when_available(server.start, address)
                self.servers.append(server)

    def on_show(self, connection: PeerConnection, view: str) -> list[Row] | None:
        """Answer a request of `flintreach show`."""
        return self.plane.show(view)

    def run(self) -> int:
        """Run until SIGTERM; return the exit status.

        Raises:
            Exception: an address can't be bound, or serving failed to start for another reason.
        """
        self.peer_pool.start()
        self.start_log.enter(StartStage.LISTENING)
        self.failure_detector.start()
        gevent.signal_handler(signal.SIGTERM, self.stopping.set)
        gevent.signal_handler(signal.SIGHUP, self.reload_settings)
        gevent.spawn(run_loop, partial(settings.watch, self.reload_settings, gevent.sleep))
        self.plane.start()
        self.stopping.wait()
        if self.start_error is not None:
            raise self.start_error
        # Voting is handed over before the departure is announced to the other members.
        self.plane.repair.voter_manager.hand_over()
        self.failure_detector.update_local(state=LEFT)
        log_event("stopped")
        return 0

    def reload_settings(self) -> None:
        """Reload the settings; keep the current ones if the file is invalid."""
        node = settings.reload(self.node)
        self.node = node
        self.plane.node = node


def run_controller() -> int:
    """Run a controller with the settings of this machine; return the exit status."""
    try:
        controller = ControllerProcess(settings.load_at_start(gevent.sleep))
    except (settings.SettingsError, StoreError) as error:
        print(f"flintreach: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    return controller.run()


def main() -> None:
    """Run a controller, and exit the process."""
    # All addresses are numeric, so the memory of a resolver thread pool would be wasted.
    gevent.config.resolver = "block"
    sys.exit(run_to_end(run_controller))
