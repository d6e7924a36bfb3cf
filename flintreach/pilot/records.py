"""Records of the pilot's state: of servers and of the tables of slices."""

from enum import StrEnum
from typing import NamedTuple

from flintreach.pilot import interface
from flintreach.policy.window import SlidingSums

SMOOTHING_S = 10  # window of a slice's smoothed rate
RECENT_S = 3  # window of the responses that health is evaluated from, and of a slice's recent rate


class Mode(StrEnum):
    """Mode of a server; the values stand in log lines and in names of metrics."""

    UNKNOWN = "unknown"  # named in a report, but in no list
    HEALTHY = "fit"
    COLD = "cold"  # recently started, or overloaded while warming up
    TRIAL = "trial"  # back from an ejection, with the capacity of a cold server
    EJECTED = "out"
    LEAVING = "leaving"  # draining, or gone


class Cause(StrEnum):
    """Cause of a change of mode; the values stand in log lines."""

    LEAVE = "leave"
    STARTED = "started"
    READY = "ready"
    WARM = "warm"
    OVERLOADED = "strained"
    FAILING = "failing"
    RECOVERED = "sound"
    TRIAL_DUE = "due"


UNAVAILABLE_MODES = (Mode.UNKNOWN, Mode.EJECTED, Mode.LEAVING)
SLOW_START_MODES = (Mode.COLD, Mode.TRIAL)


class ServerState:
    """State of one server; times are in nanoseconds, 0 for never."""

    def __init__(self, server: interface.Server | None) -> None:
        """Create the state of an unknown server, or with None of the one that stands for the fleet."""
        self.server = server
        self.mode = Mode.UNKNOWN
        self.weight = 1.0  # as listed
        self.started_ns = 0
        self.answers = SlidingSums(RECENT_S + 2, 3)  # tries, unanswered tries, sum of the answers' latency
        self.reported_ns = 0
        self.ejected_until_ns = 0
        self.recent_ejections = 0
        self.hold_until_ns = 0  # until then it gains no slice, or its capacity share is not decreased
        self.gained_slice = False  # whether it gained a slice since the last run
        self.idle = False  # by its own report
        self.lateness = 1.0  # last known mean latency, relative to the one that counts as high
        self.unanswered_share = 0.0
        self.probed_ns = 0
        self.probe_failed_ns = 0  # when a probe last went unanswered
        self.slices_changed_ns = 0  # when it last gained or lost slices
        self.load: float | None = None  # utilisation by its own report, from 0 to 1
        self.foreign_load = 0.0  # not explained by this pilot's slices, relative to its quota
        self.host_load = 0.0  # utilisation by its host's report, from 0 to 1
        self.capacity_share = 1.0  # share of its weight that counts for its quota
        self.admission_level = 1.0  # share of the cheapest operation that is admitted

    @property
    def unavailable(self) -> bool:
        """Whether it may serve no slice."""
        return self.mode in UNAVAILABLE_MODES

    @property
    def in_slow_start(self) -> bool:
        """Whether it gains at most one slice per run."""
        return self.mode in SLOW_START_MODES


Weights = dict[ServerState, float]


class SliceTable:
    """Demand of one slice, and the weights of the servers that serve it."""

    def __init__(self, slice_: interface.Slice, owned: bool = False, assigned_ns: int = 0) -> None:
        """Create an empty table, of a slice that this pilot (`owned`) or another one is responsible for."""
        self.slice = slice_
        self.owned = owned
        self.assigned_ns = assigned_ns
        self.reported_ns = 0
        self.arrivals = SlidingSums(SMOOTHING_S + RECENT_S, 2)  # invocations without retry storms, and all
        self.rate = 0.0  # invocations per second, smoothed, without retry storms
        self.recent_rate = 0.0  # recent invocations per second, with retry storms
        self.replicas = 1
        self.surplus_runs = 0  # consecutive runs that found one replica too many
        self.admission_level = 1.0  # as ordered
        self.desired: Weights = {}
        self.ordered: Weights = {}


class Unconfirmed(NamedTuple):
    """A message that a proxy has not confirmed."""

    number: int  # of its mark
    lines: float
    sent_ns: int
