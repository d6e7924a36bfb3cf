"""Which endpoints serve each slice, by FLEX's closest repartitioning, on the search in `policy.search`.

A slice is one route with one of its services; each of its replicas is an endpoint that serves it.  Per
service a partition of its slices among its endpoints is sought whose endpoints' loads deviate little from
their quotas, and which differs little from the one in force.  In it an endpoint's quota is its capacity,
where 100 is the mean endpoint's, and a slice's demand is its part of the service's load on the same scale.

No input or output here.  Times are nanoseconds of the steady clock of this process, unless a name says
otherwise; rates are requests a second.

Source: L. Cherkasova, S. Ponnekanti, HPL-2000-27; what was kept and changed stands in docs/design/system.md.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from flintreach.policy.partition import Partition
from flintreach.policy.replicas import replica_count
from flintreach.policy.search import Search
from flintreach.policy.window import SlidingSums

NS_PER_S = 1_000_000_000
SMOOTHING_S = 10  # of demand that a slice's rate covers
FULL_RUN_INTERVAL_NS = 10 * NS_PER_S  # in between, only slices that lack endpoints are placed
MIN_DEMAND_AGE_NS = 4 * NS_PER_S  # of demand, before a slice is placed
MEAN_QUOTA = 100
PERMITTED_DEVIATION = 5.0
DEVIATION_SLACK = 10.0  # beyond the deviation that was reached before a full run searches anew
MEMORY_WEIGHT = 0.25  # of the number of slices, beside the demand, in an endpoint's load
# Background load of an endpoint counts in full while this part of the mean capacity is unused.
BACKGROUND_HEADROOM = 0.5
MAX_BACKGROUND = 0.5  # background load at most, as a part of the quota
NEVER_RUN = 0


@dataclass(slots=True, eq=False)
class SliceState:
    """One slice.

    Attributes:
        service: the service of it.
        homes: regions in which it may be served; none: any.
        first_demand_ns: when the first request was reported.
        arrivals: requests, by second.
        endpoints: ids of the endpoints that serve it.
        replicas: how many are to serve it.
        surplus_runs: full runs in a row in which it had one more than it needs.
        rate: smoothed requests a second.
    """

    name: str
    service: str
    homes: tuple[str, ...] = ()
    first_demand_ns: int | None = None
    arrivals: SlidingSums = field(default_factory=lambda: SlidingSums(SMOOTHING_S + 2, 1))
    endpoints: set[str] = field(default_factory=set)
    replicas: int = 1
    surplus_runs: int = 0
    rate: float = 0.0

    def update_rate(self, now_ns: int) -> None:
        """Smooth the demand of late over the time for which there was any."""
        requests = self.arrivals.total(now_ns, SMOOTHING_S)[0]
        age_s = max(1, (now_ns - self.first_demand_ns) / NS_PER_S)
        self.rate = requests / min(SMOOTHING_S, age_s)

    def is_due(self, service: str, now_ns: int) -> bool:
        """Whether it belongs to a service, and has had demand for long enough to be placed."""
        if self.service != service or self.first_demand_ns is None:
            return False
        return now_ns - self.first_demand_ns >= MIN_DEMAND_AGE_NS


@dataclass(slots=True, eq=False)
class Candidate:
    """One endpoint that may serve.

    Attributes:
        capacity: requests that it serves at a time.
        warming_up: whether it is in its slow start.
        utilization: its reported load over its capacity; None where it reported none.
        background: its load beyond what the slices explain, as a part of its quota.
    """

    id: str
    service: str
    region: str
    capacity: int
    warming_up: bool = False
    utilization: float | None = None
    background: float = 0.0


class ConstrainedPartition(Partition):
    """A partition in which some endpoints may not serve some slices.

    Attributes:
        excluded: by the index of a slice, the indices of those endpoints.
    """

    excluded: list[set[int]]

    def may_gain(self, p: int, y: int) -> bool:
        """Whether endpoint `y` may gain slice `p`."""
        return y not in self.excluded[p] and super().may_gain(p, y)

    def excluded_targets(self, p: int) -> set[int]:
        """The endpoints that may not gain slice `p`."""
        return {*super().excluded_targets(p), *self.excluded[p]}


@dataclass(slots=True, frozen=True)
class ReplicaChange:
    """A slice that has too many or too few replicas, by the indices that the search uses."""

    slice_index: int
    replicas: list[int]
    wanted: int


@dataclass(slots=True)
class ServiceProblem:
    """What is to be searched for one service.

    Attributes:
        slices: its slices; their index is that of the search.
        candidates: its endpoints by id; their index is that of the search.
        quotas: by endpoint.
        full: whether this is a full run.
        excluded: by slice, the endpoints outside its homes; one entry more for the search's empty slice.
        demands: by slice, the demand that a replica brings, to a warm endpoint and to one in its slow start.
        assigned: by endpoint, the slices that it serves now.
        changes: slices whose number of replicas isn't the one wanted.
    """

    slices: list[SliceState]
    candidates: list[Candidate]
    quotas: list[float]
    full: bool
    excluded: list[set[int]] = field(default_factory=list)
    demands: list[tuple[float, float]] = field(default_factory=list)
    assigned: list[set[int]] = field(default_factory=list)
    changes: list[ReplicaChange] = field(default_factory=list)


class Placer:
    """Keeps the state of all slices, and searches for better placements of them.

    Attributes:
        seed: of the search's draws.
        counter: how many draws were made.
        slices: name -> its state.
        deviations: service -> the deviation that the last search reached.
        next_full_run_ns: when all services are looked at again.
        changed: after `run`, name of a slice -> sorted ids of its endpoints, where they are new.
    """

    def __init__(self, seed: int) -> None:
        """Start without slices.

        Args:
            seed: of the search's draws; each process has its own.
        """
        self.seed = seed
        self.counter = 0
        self.slices: dict[str, SliceState] = {}
        self.deviations: dict[str, float] = {}
        self.next_full_run_ns = NEVER_RUN
        self.changed: dict[str, list[str]] = {}

    def configure(
        self, configured: list[tuple[str, str, tuple[str, ...]]], in_force: dict[str, list[str]]
    ) -> None:
        """Take over the slices of the configuration in force, and the placement that stands.

        Args:
            configured: name, service and home regions of each slice.
            in_force: name of a slice -> ids of its endpoints.
        """
        slices = {}
        for name, service, homes in configured:
            state = self.slices.get(name) or SliceState(name, service)
            slices[name] = state
            state.service = service
            state.homes = homes
            if name in in_force:
                state.endpoints = {*in_force[name]}
                if state.replicas == 1:
                    state.replicas = max(1, len(state.endpoints))
        self.slices = slices
        services = {state.service for state in slices.values()}
        self.deviations = {
            service: deviation for service, deviation in self.deviations.items() if service in services
        }

    def record_demand(self, counts: dict[str, int], now_ns: int) -> None:
        """Take in the requests that came in the last second, by slice."""
        for name, count in counts.items():
            state = self.slices.get(name)
            if state is None:
                continue
            if state.first_demand_ns is None:
                state.first_demand_ns = now_ns
            state.arrivals.add(now_ns, NS_PER_S, count)

    def run(self, candidates: list[Candidate], now_ns: int) -> Iterator[int]:
        """Search for better placements in small steps, so that others get their turn; fills `changed`.

        Yields:
            The effort of a step, which is of no use here.
        """
        self.changed = {}
        full = now_ns >= self.next_full_run_ns
        if full:
            self.next_full_run_ns = now_ns + FULL_RUN_INTERVAL_NS
        for service in sorted({state.service for state in self.slices.values()}):
            slices = [state for state in self.slices.values() if state.is_due(service, now_ns)]
            own = sorted(
                (candidate for candidate in candidates if candidate.service == service),
                key=lambda candidate: candidate.id,
            )
            if slices and len(own) > 1:
                yield from self.place_service(service, slices, own, full, now_ns)

    def place_service(
        self,
        service: str,
        slices: list[SliceState],
        candidates: list[Candidate],
        full: bool,
        now_ns: int,
    ) -> Iterator[int]:
        """Search for a better placement of one service's slices, where the one in force isn't good enough."""
        for state in slices:
            state.update_rate(now_ns)
        total_rate = sum(state.rate for state in slices)
        if not total_rate:
            return
        problem = self.describe(slices, candidates, full, total_rate)
        search = self.prepare_search(problem)
        ids = {candidate.id for candidate in candidates}
        lost_endpoints = any(not state.endpoints <= ids for state in slices)
        if not problem.changes and not lost_endpoints:
            reached = self.deviations.get(service, PERMITTED_DEVIATION)
            if not full or search.initial_deviation <= reached + DEVIATION_SLACK:
                return
        assigned = problem.assigned
        if problem.changes or full:
            yield from search.steps()
            (self.deviations[service], _), assigned = search.best
            self.counter = search.counter
        self.take_over(problem, assigned)

    def describe(
        self, slices: list[SliceState], candidates: list[Candidate], full: bool, total_rate: float
    ) -> ServiceProblem:
        """Decide how many replicas each slice is to have, and what the placement in force is."""
        count = len(candidates)
        mean_capacity = sum(candidate.capacity for candidate in candidates) / count
        problem = ServiceProblem(
            slices=slices,
            candidates=candidates,
            quotas=[MEAN_QUOTA * candidate.capacity / mean_capacity for candidate in candidates],
            full=full,
            assigned=[set() for _ in candidates],
        )
        problem.excluded = [excluded_endpoints(state, candidates) for state in slices]
        index_of = {candidate.id: index for index, candidate in enumerate(candidates)}
        for slice_index, state in enumerate(slices):
            excluded = problem.excluded[slice_index]
            demand = MEAN_QUOTA * count * state.rate / total_rate
            max_replicas = max(1, count - len(excluded))
            state.replicas, state.surplus_runs = replica_count(
                state.replicas, state.surplus_runs, demand / MEAN_QUOTA, max_replicas, full
            )
            state.replicas = min(state.replicas, max_replicas)
            per_replica = demand / state.replicas
            problem.demands.append((per_replica, per_replica))
            present = (index_of[id] for id in state.endpoints if id in index_of)
            replicas = sorted(index for index in present if index not in excluded)
            for index in replicas:
                problem.assigned[index].add(slice_index)
            if len(replicas) != state.replicas:
                problem.changes.append(ReplicaChange(slice_index, replicas, state.replicas))
        problem.excluded.append(set())
        return problem

    def prepare_search(self, problem: ServiceProblem) -> Search:
        """The search from the placement in force, with all loads on the scale of quotas."""
        quotas = problem.quotas
        assigned = problem.assigned
        replicas = max(1, sum(state.replicas for state in problem.slices))
        memory = MEMORY_WEIGHT * MEAN_QUOTA * len(quotas) / replicas
        demand_gaps = [
            sum(problem.demands[slice_index][0] for slice_index in served) - quota
            for served, quota in zip(assigned, quotas)
        ]
        estimate_background(problem.candidates, demand_gaps, quotas)
        demand_gaps = [
            gap + candidate.background * quota
            for gap, candidate, quota in zip(demand_gaps, problem.candidates, quotas)
        ]
        start = ConstrainedPartition(
            original=assigned,
            memory_gaps=[
                len(served) * memory - MEMORY_WEIGHT * quota for served, quota in zip(assigned, quotas)
            ],
            demand_gaps=demand_gaps,
            demands=[*problem.demands, (0.0, 0.0)],  # the last is the search's empty slice
            unit_memory=memory,
            slow_start_quotas={
                index: quotas[index]
                for index, candidate in enumerate(problem.candidates)
                if candidate.warming_up
            },
            gains=[0] * len(quotas),
            empty_deviation=0.0,
        )
        start.excluded = problem.excluded
        changes = [(change.slice_index, change.replicas, change.wanted) for change in problem.changes]
        return Search(self.seed, self.counter, start, changed=changes, deviation=PERMITTED_DEVIATION)

    def take_over(self, problem: ServiceProblem, assigned: Sequence[set[int]]) -> None:
        """Note the slices whose endpoints are new; one that would have none keeps those that it has."""
        for slice_index, state in enumerate(problem.slices):
            endpoints = {
                candidate.id
                for candidate, served in zip(problem.candidates, assigned)
                if slice_index in served
            }
            if endpoints and endpoints != state.endpoints:
                state.endpoints = endpoints
                self.changed[state.name] = sorted(endpoints)


def excluded_endpoints(state: SliceState, candidates: Sequence[Candidate]) -> set[int]:
    """Indices of the endpoints that lie outside a slice's home regions."""
    if not state.homes:
        return set()
    return {index for index, candidate in enumerate(candidates) if candidate.region not in state.homes}


def estimate_background(
    candidates: Sequence[Candidate], demand_gaps: Sequence[float], quotas: Sequence[float]
) -> None:
    """Set each candidate's background load: what it reports beyond what its slices explain.

    Where all endpoints are full, what they report is noise, and none of it counts.

    Args:
        candidates: changed in place.
        demand_gaps: by candidate, the demand of its slices beyond its quota.
        quotas: by candidate.
    """
    reporting = [index for index, candidate in enumerate(candidates) if candidate.utilization is not None]
    if not reporting:
        return
    mean = sum(candidates[index].utilization for index in reporting) / len(reporting)
    weight = min(1.0, max(0.0, 1 - mean) / BACKGROUND_HEADROOM)
    for index in reporting:
        explained = mean * (1 + demand_gaps[index] / quotas[index])
        beyond = weight * (candidates[index].utilization - explained)
        candidates[index].background = max(-MAX_BACKGROUND, min(MAX_BACKGROUND, beyond))
