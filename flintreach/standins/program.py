"""A pilot as its operators start it."""

import json
import os
import select
import signal
import socket
import subprocess
import sys

from flintreach.standins.discovery import Discovery
from flintreach.standins.peer import Peer
from flintreach.standins.platform import platform_config


class Program:
    """With a relay that its owner plays by hand, or one that plays itself, and a discovery.

    `own` is the text of the operator's file, `tree` another checkout of the program, `cores` those that it
    may use.
    """

    def __init__(self, folder, own: str = "", relay=None, tree: str | None = None, cores=None, **changes):
        self.tree, self.cores = tree, cores
        self.relay, self.discovery = relay or socket.create_server(("127.0.0.1", 0)), Discovery()
        self.path, self.config, self.open, self.old = (
            folder / "config.json",
            platform_config(**changes),
            [],
            [],
        )
        self.discovery.list = self.config["known"]
        self.own = folder / "flintreach.hcl" if own else None
        if own:
            self.own.write_text(own)
        self.write()
        self.start()

    def write(self):
        self.config |= {
            "store": {"address": "{}:{}".format(*self.relay.getsockname())},
            "discovery": "{}:{}".format(*self.discovery.listener.getsockname()),
        }
        self.path.write_text(json.dumps(self.config))

    def relocate_services(self, answer=None):
        """Discovery and the relay go to other addresses, and the program is told; the old ones stay open."""
        self.old += [self.relay, self.discovery.listener]
        self.relay, self.discovery = socket.create_server(("127.0.0.1", 0)), Discovery()
        self.discovery.publish(answer)
        self.write()
        self.process.send_signal(signal.SIGHUP)

    def start(self):
        variables = {"PROXY_CONFIG": str(self.path), "PROXY_DISCOVERY": self.config["discovery"]}
        variables |= {"FLINTREACH_OPERATOR": str(self.own)} if self.own else {}
        allowed = os.sched_getaffinity(0)
        os.sched_setaffinity(0, self.cores or allowed)  # a child begins with ours
        self.process = subprocess.Popen(
            [sys.executable, "-m", "flintreach", "serve"],
            stdout=subprocess.PIPE,
            env=os.environ | variables,
            cwd=self.tree,
        )
        os.sched_setaffinity(0, allowed)
        self.text, self.lines = "", []
        line = self.wait_for_log("listening")
        self.port = int(line.split("at='127.0.0.1:")[1].split("'")[0])

    def wait_for_log(self, text):
        while True:
            line, end, rest = self.text.partition("\n")
            if not end:
                assert select.select([self.process.stdout], [], [], 30)[0], f"no log line with {text!r}"
                data = os.read(self.process.stdout.fileno(), 65536)
                assert data, f"the log ends without {text!r}"
                self.text += data.decode()
                continue
            self.text = rest
            self.lines.append(line)
            if text in line:
                return line

    def dial(self):
        self.open.append(Peer(socket.create_connection(("127.0.0.1", self.port))))
        return self.open[-1]

    def connect_and_probe(self):
        """A client to whom the sign of life is given."""
        client = self.dial()
        client.send(b'{"msg":"probe"}\n')
        assert json.loads(client.read_until(b"\n")) == {"msg": "alive"}
        return client

    def accept_request(self, path):
        """The next connection at the relay that asks for this path."""
        self.relay.settimeout(30)
        for _ in range(20):
            self.open.append(Peer(self.relay.accept()[0]))
            if self.open[-1].request().path == path:
                return self.open[-1]
        raise AssertionError(f"nobody asks for {path}")

    def stop(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()
        for peer in self.open:
            peer.sock.close()
        for listener in (*self.old, self.relay, self.discovery.listener):
            listener.close()
