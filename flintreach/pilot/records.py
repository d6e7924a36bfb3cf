"""Records of the pilot's state: what is known of a server and of a slice's table.  They decide nothing."""

from enum import StrEnum
from typing import NamedTuple

from flintreach.pilot import interface
from flintreach.policy.window import SlidingSums

SMOOTHING_S = 10  # of demand that a slice's rate covers
RECENT_S = 3  # of answers that health is judged by, and of demand for its recent rate


class Mode(StrEnum):
    """What a server is to the decisions; the values stand in logs and figures."""

    UNKNOWN = "unknown"  # met in a report, not in a list
    HEALTHY = "fit"
    COLD = "cold"  # just started: it warms up
    TRIAL = "trial"  # back from an ejection, as if cold
    EJECTED = "out"  # ejected for bad health
    LEAVING = "leaving"  # drains, or is gone


class Cause(StrEnum):
    """What makes a server change its mode."""

    LEAVE = "leave"
    STARTED = "started"
    READY = "ready"
    WARM = "warm"
    STRAINED = "strained"
    FAILING = "failing"
    SOUND = "sound"
    DUE = "due"


UNAVAILABLE_MODES = (Mode.UNKNOWN, Mode.EJECTED, Mode.LEAVING)
SLOW_START_MODES = (Mode.COLD, Mode.TRIAL)


class ServerState:
    """What is known of one server; times in nanoseconds, 0 for never."""

    def __init__(self, server: interface.Server | None) -> None:
        """Begin with a server of which nothing is known; None for the one that stands for the fleet."""
        self.server = server
        self.mode = Mode.UNKNOWN
        self.weight = 1.0  # as listed
        self.started_ns = 0
        self.answers = SlidingSums(RECENT_S + 2, 3)  # tries, unanswered, latency of all that succeeded
        self.reported_ns = 0
        self.ejected_until_ns = 0
        self.recent_ejections = 0  # ejections since the last one was forgotten
        self.hold_until_ns = 0  # until then it gains nothing, or bears no less
        self.gained_slice = False  # a slice since the last run
        self.idle = False  # nothing waits, by its own report
        self.lateness = 1.0  # mean latency when last known, in parts of what strains a server
        self.unanswered_share = 0.0
        self.probed_ns = 0
        self.probe_failed_ns = 0  # when a probe got no answer
        self.slices_changed_ns = 0  # when it gained or lost slices
        self.load: float | None = None  # by its own report, of 1
        self.foreign_load = 0.0  # beyond what our slices explain, in parts of its quota
        self.host_load = 0.0  # by its host's report, of 1
        self.capacity_share = 1.0  # part of its weight that it bears
        self.admission_level = 1.0  # part of the cheapest operation that it lets in

    @property
    def unavailable(self) -> bool:
        """Whether it may serve no slice."""
        return self.mode in UNAVAILABLE_MODES

    @property
    def in_slow_start(self) -> bool:
        """Whether it gains one slice a run at the most."""
        return self.mode in SLOW_START_MODES


Weights = dict[ServerState, float]


class SliceTable:
    """One slice: its demand, and the servers that serve it with their weights."""

    def __init__(self, slice_: interface.Slice, owned: bool = False, given_ns: int = 0) -> None:
        """Begin an empty table, of a slice that this pilot has (`owned`) or another."""
        self.slice = slice_
        self.owned = owned
        self.given_ns = given_ns
        self.reported_ns = 0
        self.arrivals = SlidingSums(SMOOTHING_S + RECENT_S, 2)  # invocations without storms; all
        self.rate = 0.0  # invocations a second, smoothed, without storms
        self.recent_rate = 0.0  # the same of late, with storms
        self.replicas = 1
        self.surplus_runs = 0  # runs that found a replica too many
        self.admission_level = 1.0  # as ordered
        self.desired: Weights = {}  # weights that it shall have
        self.ordered: Weights = {}  # weights that have been ordered


class Unconfirmed(NamedTuple):
    """A message that a proxy has not answered."""

    number: int  # of its mark
    lines: float
    sent_ns: int
