"""Placement of slices on endpoints, by FLEX's closest repartitioning with the search in `policy.search`.

A slice is a route with one of its services; each replica of it is an endpoint that serves it. For each
service, the search looks for a partition of the slices among the endpoints in which the endpoints' loads
deviate little from their quotas, and which differs little from the current one. An endpoint's quota is its
capacity, scaled to a mean of 100. A slice's demand is its share of the service's load on the same scale.

This module does no I/O. Times are nanoseconds of this process's monotonic clock unless a name says otherwise;
rates are requests per second.

See L. Cherkasova, S. Ponnekanti, HPL-2000-27; docs/design/system.md says what was kept and changed.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from flintreach.policy.partition import Partition
from flintreach.policy.replicas import replica_count
from flintreach.policy.search import Search
from flintreach.policy.window import SlidingSums

NS_PER_S = 1_000_000_000
SMOOTHING_S = 10  # window of a slice's request rate
FULL_RUN_INTERVAL_NS = 10 * NS_PER_S  # other runs only place slices that lack endpoints
MIN_DEMAND_AGE_NS = 4 * NS_PER_S  # time since the first request before a slice is placed
MEAN_QUOTA = 100
PERMITTED_DEVIATION = 5.0
DEVIATION_SLACK = 10.0  # a full run searches only if the last deviation is exceeded by more
MEMORY_WEIGHT = 0.25  # weight of the number of slices in an endpoint's load, relative to the demand
# Background load counts in full while at least this share of the mean capacity is unused.
BACKGROUND_HEADROOM = 0.5
MAX_BACKGROUND_SHARE = 0.5  # limit of the background load, as a share of the quota
NEVER_RUN = 0


@dataclass(slots=True, eq=False)
class SliceState:
    """State of one slice.

    Attributes:
        service: name of its service.
        homes: regions in which it may be served; empty if in any.
        first_demand_ns: when the first request was reported.
        arrivals: requests by second.
        endpoints: ids of the endpoints that serve it.
        replicas: target number of replicas.
        surplus_runs: number of consecutive full runs with one replica more than needed.
        rate: smoothed request rate.
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
        """Update the rate: the mean over the window, or since the first request if that is more recent."""
        requests = self.arrivals.total(now_ns, SMOOTHING_S)[0]
        age_s = max(1, (now_ns - self.first_demand_ns) / NS_PER_S)
        self.rate = requests / min(SMOOTHING_S, age_s)

    def is_due(self, service: str, now_ns: int) -> bool:
        """Whether the slice belongs to `service`, and its first request is old enough for it to be placed."""
        if self.service != service or self.first_demand_ns is None:
            return False
        return now_ns - self.first_demand_ns >= MIN_DEMAND_AGE_NS


@dataclass(slots=True, eq=False)
class Candidate:
    """Endpoint that may be assigned slices.

    Attributes:
        capacity: number of requests that it serves concurrently.
        warming_up: whether it is in its slow start.
        utilization: ratio of reported load to capacity; None if nothing was reported.
        background: load that its slices do not explain, as a share of its quota.
    """

    id: str
    service: str
    region: str
    capacity: int
    warming_up: bool = False
    utilization: float | None = None
    background: float = 0.0


class ConstrainedPartition(Partition):
    """Partition in which some endpoints may not serve some slices.

    Attributes:
        excluded: indices of the endpoints that may not serve a slice, by slice index.
    """

    excluded: list[set[int]]

    def may_gain(self, p: int, y: int) -> bool:
        """Whether endpoint `y` may gain slice `p`."""
        return y not in self.excluded[p] and super().may_gain(p, y)

    def excluded_targets(self, p: int) -> set[int]:
        """Endpoints that may not gain slice `p`."""
        return {*super().excluded_targets(p), *self.excluded[p]}


@dataclass(slots=True, frozen=True)
class ReplicaChange:
    """Slice with too many or too few replicas, by the indices of the search."""

    slice_index: int
    replicas: list[int]
    wanted: int


@dataclass(slots=True)
class ServiceProblem:
    """Placement problem of one service.

    Attributes:
        slices: slices of the service, in the order of the search's indices.
        candidates: endpoints of the service, sorted by id, in the order of the search's indices.
        quotas: quota of each endpoint.
        full: whether this is a full run.
        excluded: endpoints outside the homes of each slice, with an additional entry for the search's empty
            slice.
        demands: demand that a replica of each slice adds to a warm endpoint, and to one in its slow start.
        assignment: slices currently served by each endpoint.
        replica_changes: slices whose number of replicas differs from the target.
    """

    slices: list[SliceState]
    candidates: list[Candidate]
    quotas: list[float]
    full: bool
    excluded: list[set[int]] = field(default_factory=list)
    demands: list[tuple[float, float]] = field(default_factory=list)
    assignment: list[set[int]] = field(default_factory=list)
    replica_changes: list[ReplicaChange] = field(default_factory=list)


class Placer:
    """Keeps the state of all slices, and searches for better placements.

    Attributes:
        seed: seed of the search's random numbers.
        counter: number of random numbers drawn.
        slices: slice states by name.
        deviations: deviation that the last search achieved, by service.
        next_full_run_ns: time of the next full run.
        changed: slices whose placement the last `run` changed, with sorted endpoint ids.
    """

    def __init__(self, seed: int) -> None:
        """Create a placer without slices.

        Args:
            seed: seed of the search's random numbers; it differs between processes.
        """
        self.seed = seed
        self.counter = 0
        self.slices: dict[str, SliceState] = {}
        self.deviations: dict[str, float] = {}
        self.next_full_run_ns = NEVER_RUN
        self.changed: dict[str, list[str]] = {}

    def configure(
        self, configured: list[tuple[str, str, tuple[str, ...]]], current: dict[str, list[str]]
    ) -> None:
        """Apply the slices of the current configuration, and the current placement.

        Args:
            configured: name, service and home regions of each slice.
            current: endpoint ids by slice name.
        """
        slices = {}
        for name, service, homes in configured:
            state = self.slices.get(name) or SliceState(name, service)
            slices[name] = state
            state.service = service
            state.homes = homes
            if name in current:
                state.endpoints = {*current[name]}
                if state.replicas == 1:
                    state.replicas = max(1, len(state.endpoints))
        self.slices = slices
        services = {state.service for state in slices.values()}
        self.deviations = {
            service: deviation for service, deviation in self.deviations.items() if service in services
        }

    def record_demand(self, counts: dict[str, int], now_ns: int) -> None:
        """Add the requests of the last second, by slice."""
        for name, count in counts.items():
            state = self.slices.get(name)
            if state is None:
                continue
            if state.first_demand_ns is None:
                state.first_demand_ns = now_ns
            state.arrivals.add(now_ns, NS_PER_S, count)

    def run(self, candidates: list[Candidate], now_ns: int) -> Iterator[int]:
        """Search for better placements in small steps, so that other tasks can run in between; set `changed`.

        Yields:
            Cost of each search step; callers may ignore it.
        """
        self.changed = {}
        full = now_ns >= self.next_full_run_ns
        if full:
            self.next_full_run_ns = now_ns + FULL_RUN_INTERVAL_NS
        for service in sorted({state.service for state in self.slices.values()}):
            slices = [state for state in self.slices.values() if state.is_due(service, now_ns)]
            service_candidates = sorted(
                (candidate for candidate in candidates if candidate.service == service),
                key=lambda candidate: candidate.id,
            )
            if slices and len(service_candidates) > 1:
                yield from self.place_service(service, slices, service_candidates, full, now_ns)

    def place_service(
        self,
        service: str,
        slices: list[SliceState],
        candidates: list[Candidate],
        full: bool,
        now_ns: int,
    ) -> Iterator[int]:
        """Search for a better placement of one service's slices if the current one is not good enough."""
        for state in slices:
            state.update_rate(now_ns)
        total_rate = sum(state.rate for state in slices)
        if not total_rate:
            return
        problem = self.build_problem(slices, candidates, full, total_rate)
        search = self.prepare_search(problem)
        ids = {candidate.id for candidate in candidates}
        lost_endpoints = any(not state.endpoints <= ids for state in slices)
        if not problem.replica_changes and not lost_endpoints:
            last_deviation = self.deviations.get(service, PERMITTED_DEVIATION)
            if not full or search.initial_deviation <= last_deviation + DEVIATION_SLACK:
                return
        assignment = problem.assignment
        if problem.replica_changes or full:
            yield from search.steps()
            (self.deviations[service], _), assignment = search.best
            self.counter = search.counter
        self.apply_assignment(problem, assignment)

    def build_problem(
        self, slices: list[SliceState], candidates: list[Candidate], full: bool, total_rate: float
    ) -> ServiceProblem:
        """Determine each slice's number of replicas and the current placement."""
        count = len(candidates)
        mean_capacity = sum(candidate.capacity for candidate in candidates) / count
        problem = ServiceProblem(
            slices=slices,
            candidates=candidates,
            quotas=[MEAN_QUOTA * candidate.capacity / mean_capacity for candidate in candidates],
            full=full,
            assignment=[set() for _ in candidates],
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
                problem.assignment[index].add(slice_index)
            if len(replicas) != state.replicas:
                problem.replica_changes.append(ReplicaChange(slice_index, replicas, state.replicas))
        problem.excluded.append(set())
        return problem

    def prepare_search(self, problem: ServiceProblem) -> Search:
        """Create the search from the current placement, with all loads on the scale of the quotas."""
        quotas = problem.quotas
        assignment = problem.assignment
        replicas = max(1, sum(state.replicas for state in problem.slices))
        memory = MEMORY_WEIGHT * MEAN_QUOTA * len(quotas) / replicas
        demand_gaps = [
            sum(problem.demands[slice_index][0] for slice_index in served) - quota
            for served, quota in zip(assignment, quotas)
        ]
        estimate_background(problem.candidates, demand_gaps, quotas)
        demand_gaps = [
            gap + candidate.background * quota
            for gap, candidate, quota in zip(demand_gaps, problem.candidates, quotas)
        ]
        start = ConstrainedPartition(
            original=assignment,
            memory_gaps=[
                len(served) * memory - MEMORY_WEIGHT * quota for served, quota in zip(assignment, quotas)
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
        replica_changes = [
            (change.slice_index, change.replicas, change.wanted) for change in problem.replica_changes
        ]
        return Search(self.seed, self.counter, start, changed=replica_changes, deviation=PERMITTED_DEVIATION)

    def apply_assignment(self, problem: ServiceProblem, assignment: Sequence[set[int]]) -> None:
        """Record the slices with changed endpoints; a slice that would have none keeps its current ones."""
        for slice_index, state in enumerate(problem.slices):
            endpoints = {
                candidate.id
                for candidate, served in zip(problem.candidates, assignment)
                if slice_index in served
            }
            if endpoints and endpoints != state.endpoints:
                state.endpoints = endpoints
                self.changed[state.name] = sorted(endpoints)


def excluded_endpoints(state: SliceState, candidates: Sequence[Candidate]) -> set[int]:
    """Indices of the endpoints outside a slice's home regions."""
    if not state.homes:
        return set()
    return {index for index, candidate in enumerate(candidates) if candidate.region not in state.homes}


def estimate_background(
    candidates: Sequence[Candidate], demand_gaps: Sequence[float], quotas: Sequence[float]
) -> None:
    """Set each candidate's background load: the reported load that its slices do not explain.

    It counts less as the mean utilization approaches 1, where differences between reports are noise.

    Args:
        candidates: modified in place.
        demand_gaps: demand of each candidate's slices minus its quota.
        quotas: quota of each candidate.
    """
    reporting = [index for index, candidate in enumerate(candidates) if candidate.utilization is not None]
    if not reporting:
        return
    mean = sum(candidates[index].utilization for index in reporting) / len(reporting)
    weight = min(1.0, max(0.0, 1 - mean) / BACKGROUND_HEADROOM)
    for index in reporting:
        explained = mean * (1 + demand_gaps[index] / quotas[index])
        unexplained = weight * (candidates[index].utilization - explained)
        candidates[index].background = max(-MAX_BACKGROUND_SHARE, min(MAX_BACKGROUND_SHARE, unexplained))
