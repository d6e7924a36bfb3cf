"""Helpers shared by the tests of the simulation."""

from flintreach.simulation.invariants import INVARIANTS
from flintreach.simulation.network import Machine, Network, PeerConnection
from flintreach.simulation.process import Process
from flintreach.simulation.scheduler import NS_PER_SECOND, Simulation

# Invariants known to be violated (see docs/design/simulation.md); the command checks them nevertheless.
KNOWN_VIOLATIONS: tuple[str, ...] = ()
ON = tuple(name for name in INVARIANTS if name not in KNOWN_VIOLATIONS)


class ProcessPair:
    """Two processes on two machines of one simulated network."""

    def __init__(self, seed: int = 1) -> None:
        self.sim = Simulation(seed)
        self.network = Network(self.sim, 0.0)
        self.machines = [
            Machine(self.network, name, ip, name, "r") for name, ip in (("a", "10.0.0.1"), ("b", "10.0.0.2"))
        ]
        for machine in self.machines:
            machine.boot()
            machine.process = Process(self.sim, machine, machine.name)
            machine.process.handlers = {}
        self.a, self.b = (machine.process for machine in self.machines)

    def run(self, seconds: float) -> None:
        """Run the simulation for some seconds."""
        self.sim.run(self.sim.now_ns + int(seconds * NS_PER_SECOND))

    def connect(self) -> PeerConnection:
        """Connect the first process to the second."""
        opened = []
        self.a.runtime.spawn(lambda: opened.append(self.a.runtime.dial(("10.0.0.2", 1), {}, 1.0)))
        self.run(0.1)
        return opened[0]
