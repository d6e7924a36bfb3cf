"""`flintreach refuge`: one process on a machine with a disk; control, directory and the register."""

import signal
import sys
import time

import gevent
from gevent.event import Event

from flintreach.common.log import say
from flintreach.config import settings
from flintreach.config.settings import parse_address
from flintreach.consensus.store import Store, StoreError
from flintreach.controller.control_plane import ControlPlane
from flintreach.controller.http_api import listen
from flintreach.controller.repair import ROLE
from flintreach.membership.failure_detector import FailureDetector
from flintreach.membership.member_list import Member
from flintreach.transport.peer_pool import PeerPool

POST = 0
SERVED = (("control", {"beat", "leave", "put", "get", "evacuate", "resume"}), ("directory", {"resolve"}))


class ControllerProcess:
    """The control plane on sockets and a disk."""

    def __init__(self, node: settings.ProcessSettings):
        self.node, me = node, node.sender
        address = node.peer_address(POST)
        self.peer_pool = PeerPool(address)
        store = Store(me.store_dir, me.node_name, me.first_run) if me.store_dir else None
        member = Member(
            me.node_name,
            ROLE,
            *address,
            me.zone,
            me.region,
            dict(node.network.posts),
            me.counted,
            False,
            int(time.time() * 1000),
        )
        self.failure_detector = FailureDetector(member, self.known)
        self.plane = ControlPlane(
            node, self.peer_pool, store, self.failure_detector.member_list, self.seeds, self.begin
        )
        self.peer_pool.handlers["show"] = lambda link, what: self.plane.show(what)
        self.servers, self.stopping = [], Event()

    def seeds(self) -> list[tuple[str, int]]:
        return sorted({(ip, self.peer_pool.address[1]) for ip in self.node.seeds()})

    def known(self) -> list[tuple[str, int]]:
        """Where to join: the seeds may all have left, and the disk remembers who votes."""
        return sorted({*self.seeds(), *self.plane.register.voters.members()})

    def begin(self) -> None:
        self.failure_detector.change(ready=True)
        for post, names in SERVED:
            if post in self.node.network.posts:
                server = listen(parse_address(self.node.network.posts[post]), self.plane, names)
                server.start()
                self.servers.append(server)
        say("ready", endpoints=len(self.plane.registry.records))

    def run(self) -> int:
        self.peer_pool.start()
        self.failure_detector.start()
        gevent.signal_handler(signal.SIGTERM, self.stopping.set)
        gevent.signal_handler(signal.SIGHUP, self.reread)
        gevent.spawn(settings.watch, self.reread, gevent.sleep)
        self.plane.start()
        self.stopping.wait()
        self.plane.repair.voting.leave()
        self.failure_detector.change(state=3)
        say("stopped")
        return 0

    def reread(self) -> None:
        self.node = self.plane.node = settings.reload(self.node)


def main() -> None:
    # Addresses are numbers: threads that look names up would only cost memory.
    gevent.config.resolver = "block"
    try:
        controller = ControllerProcess(settings.load())
    except (settings.SettingsError, StoreError) as error:
        print(f"flintreach: {error}", file=sys.stderr)
        sys.exit(2)
    sys.exit(controller.run())
