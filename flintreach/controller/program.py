"""`flintreach controller`: the control plane as one process, on a machine with a disk."""

import signal
import sys
import time

import gevent
from gevent import pywsgi
from gevent.event import Event

from flintreach.common.keys import ROLE_CONTROLLER
from flintreach.common.log import say
from flintreach.config import settings
from flintreach.config.settings import parse_address
from flintreach.consensus.quorum import Address
from flintreach.consensus.store import Store, StoreError
from flintreach.controller.control_plane import ControlPlane
from flintreach.controller.http_api import CallName, listen
from flintreach.controller.views import Row
from flintreach.membership.failure_detector import FailureDetector
from flintreach.membership.member_list import LEFT, Member
from flintreach.transport.peer_connection import PeerConnection
from flintreach.transport.peer_pool import PeerPool

PEER_PORT_INDEX = 0  # of the spare ports, the one at which other processes reach this one
SHOW_MESSAGE = "show"  # kind of the shell's question
CONTROL_CALLS = frozenset(CallName) - {CallName.RESOLVE}
DIRECTORY_CALLS = frozenset({CallName.RESOLVE})
# Listener in the settings, its calls.
LISTENER_CALLS = (("control", CONTROL_CALLS), ("directory", DIRECTORY_CALLS))
EXIT_UNUSABLE = 2  # settings or a disk that the process can't start with


class ControllerProcess:
    """The control plane on sockets and a disk."""

    def __init__(self, node: settings.ProcessSettings) -> None:
        """Open the disk and assemble the parts; nothing listens before `run`.

        Raises:
            StoreError: the disk can't be used.
        """
        self.node = node
        sender = node.sender
        address = node.peer_address(PEER_PORT_INDEX)
        self.peer_pool = PeerPool(address)
        store = Store(sender.store_dir, sender.node_name, sender.first_run) if sender.store_dir else None
        member = Member(
            sender.node_name,
            ROLE_CONTROLLER,
            *address,
            sender.zone,
            sender.region,
            dict(node.network.posts),
            sender.counted,
            False,
            int(time.time() * 1000),
        )
        self.failure_detector = FailureDetector(member, self.join_addresses)
        self.plane = ControlPlane(
            node, self.peer_pool, store, self.failure_detector.member_list, self.seeds, self.begin
        )
        self.peer_pool.handlers[SHOW_MESSAGE] = self.on_show
        self.servers: list[pywsgi.WSGIServer] = []
        self.stopping = Event()

    def seeds(self) -> list[Address]:
        """Return the addresses to join by, as the settings name them now."""
        return sorted({(ip, self.peer_pool.address[1]) for ip in self.node.seeds()})

    def join_addresses(self) -> list[Address]:
        """Return where to join: the seeds may all have left, and the disk remembers who votes."""
        return sorted({*self.seeds(), *self.plane.register.voters.members()})

    def begin(self) -> None:
        """Tell the others that this controller is ready, and answer callers."""
        self.failure_detector.change(ready=True)
        for listener, names in LISTENER_CALLS:
            if listener in self.node.network.posts:
                server = listen(parse_address(self.node.network.posts[listener]), self.plane, names)
                server.start()
                self.servers.append(server)
        say("ready", endpoints=len(self.plane.registry.records))

    def on_show(self, connection: PeerConnection, view: str) -> list[Row] | None:
        """Answer `flintreach show`."""
        return self.plane.show(view)

    def run(self) -> int:
        """Run until SIGTERM; return the status to exit with."""
        self.peer_pool.start()
        self.failure_detector.start()
        gevent.signal_handler(signal.SIGTERM, self.stopping.set)
        gevent.signal_handler(signal.SIGHUP, self.reread)
        gevent.spawn(settings.watch, self.reread, gevent.sleep)
        self.plane.start()
        self.stopping.wait()
        # Voting is handed over before the others hear that this process has left.
        self.plane.repair.voter_manager.hand_over()
        self.failure_detector.change(state=LEFT)
        say("stopped")
        return 0

    def reread(self) -> None:
        """Read the settings anew; those that were good stay where the file can't be used."""
        node = settings.reload(self.node)
        self.node = node
        self.plane.node = node


def main() -> None:
    """Run a controller by the settings of this machine, and exit."""
    # Addresses are numbers: threads that look names up would only cost memory.
    gevent.config.resolver = "block"
    try:
        controller = ControllerProcess(settings.load())
    except (settings.SettingsError, StoreError) as error:
        print(f"flintreach: {error}", file=sys.stderr)
        sys.exit(EXIT_UNUSABLE)
    sys.exit(controller.run())
