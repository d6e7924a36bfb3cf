"""A pilot in a process of its own, started as an operator starts it."""

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

TIMEOUT_S = 30  # for a log line, and for a connection at the relay


class Program:
    """A pilot's process, with the relay and the discovery service that it connects to.

    Attributes:
        relay: a listening socket, whose connections the test serves itself, or a `Relay`.
        discovery: the stand-in discovery service.
        path: the platform's configuration file.
        config: its content.
        operator_path: the operator's settings file, if there is one.
        connections: the connections that were dialled or accepted for the test.
        old_listeners: listeners that `relocate_services` replaced.
        text: log output that was read but not yet split into lines.
        lines: the log lines read so far.
        port: the loopback port on which the pilot listens.
    """

    def __init__(
        self, folder, operator_text: str = "", relay=None, tree: str | None = None, cores=None, **changes
    ):
        """Write the configuration, and start the pilot.

        Args:
            folder: where the files are written.
            operator_text: content of the operator's settings file; there is none if it is empty.
            relay: the relay; a plain listening socket if it is not given.
            tree: another checkout of the program, which is started in place of this one.
            cores: the cores that the process may use; those of this process if they are not given.
            changes: values that replace those of the platform's configuration.
        """
        self.tree = tree
        self.cores = cores
        self.relay = relay or socket.create_server(("127.0.0.1", 0))
        self.discovery = Discovery()
        self.path = folder / "config.json"
        self.config = platform_config(**changes)
        self.connections = []
        self.old_listeners = []
        self.discovery.list = self.config["known"]
        self.operator_path = folder / "flintreach.hcl" if operator_text else None
        if operator_text:
            self.operator_path.write_text(operator_text)
        self.write()
        self.start()

    def write(self):
        """Write the configuration file, with the present addresses of the relay and the discovery service."""
        self.config |= {
            "store": {"address": "{}:{}".format(*self.relay.getsockname())},
            "discovery": "{}:{}".format(*self.discovery.listener.getsockname()),
        }
        self.path.write_text(json.dumps(self.config))

    def relocate_services(self, answer=None):
        """Move the relay and the discovery service to new addresses, and reload the configuration.

        The old listeners stay open until the program is stopped.

        Args:
            answer: the endpoint list that the new discovery service publishes; its default if not given.
        """
        self.old_listeners += [self.relay, self.discovery.listener]
        self.relay = socket.create_server(("127.0.0.1", 0))
        self.discovery = Discovery()
        self.discovery.publish(answer)
        self.write()
        self.process.send_signal(signal.SIGHUP)

    def start(self):
        """Start the process, and wait until it listens."""
        variables = {"PROXY_CONFIG": str(self.path), "PROXY_DISCOVERY": self.config["discovery"]}
        if self.operator_path:
            variables["FLINTREACH_OPERATOR"] = str(self.operator_path)
        allowed = os.sched_getaffinity(0)
        os.sched_setaffinity(0, self.cores or allowed)  # a child process inherits the affinity
        self.process = subprocess.Popen(
            [sys.executable, "-m", "flintreach", "serve"],
            stdout=subprocess.PIPE,
            env=os.environ | variables,
            cwd=self.tree,
        )
        os.sched_setaffinity(0, allowed)
        self.text = ""
        self.lines = []
        line = self.wait_for_log("listening")
        self.port = int(line.split("at='127.0.0.1:")[1].split("'")[0])

    def wait_for_log(self, text):
        """Read the log up to the next line that contains a text, and return that line.

        Raises:
            AssertionError: nothing was logged for `TIMEOUT_S`, or the log ended.
        """
        while True:
            line, end, rest = self.text.partition("\n")
            if not end:
                readable = select.select([self.process.stdout], [], [], TIMEOUT_S)[0]
                assert readable, f"no log output for {TIMEOUT_S} s while waiting for {text!r}"
                data = os.read(self.process.stdout.fileno(), 65536)
                assert data, f"the log ended without {text!r}"
                self.text += data.decode()
                continue
            self.text = rest
            self.lines.append(line)
            if text in line:
                return line

    def dial(self):
        """Connect to the pilot."""
        self.connections.append(Peer(socket.create_connection(("127.0.0.1", self.port))))
        return self.connections[-1]

    def connect_and_probe(self):
        """Connect to the pilot, check that it answers a probe, and return the connection."""
        client = self.dial()
        client.send(b'{"msg":"probe"}\n')
        assert json.loads(client.read_until(b"\n")) == {"msg": "alive"}
        return client

    def accept_request(self, path):
        """Accept connections at the relay until one requests a path, and return that one."""
        self.relay.settimeout(TIMEOUT_S)
        for _ in range(20):
            self.connections.append(Peer(self.relay.accept()[0]))
            if self.connections[-1].request().path == path:
                return self.connections[-1]
        raise AssertionError(f"none of 20 connections requested {path}")

    def stop(self):
        """Kill the process, and close all connections and listeners."""
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()
        for peer in self.connections:
            peer.sock.close()
        for listener in (*self.old_listeners, self.relay, self.discovery.listener):
            listener.close()
