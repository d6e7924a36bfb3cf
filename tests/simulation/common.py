"""What the tests of the simulation share."""

from flintreach.simulation.invariants import INVARIANTS
from flintreach.simulation.network import Machine, Network, PeerConnection
from flintreach.simulation.process import Process
from flintreach.simulation.scheduler import NS_PER_SECOND, Simulation

# Invariants that do not hold yet (see docs/design/simulation.md); the command has all of them on.
OPEN: tuple[str, ...] = ()
ON = tuple(name for name in INVARIANTS if name not in OPEN)


class World:
    """Two processes on two machines."""

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
        """Play some seconds."""
        self.sim.run(self.sim.now_ns + int(seconds * NS_PER_SECOND))

    def linked(self) -> PeerConnection:
        """Connect the first process to the second."""
        found = []
        self.a.runtime.spawn(lambda: found.append(self.a.runtime.dial(("10.0.0.2", 1), {}, 1.0)))
        self.run(0.1)
        return found[0]
