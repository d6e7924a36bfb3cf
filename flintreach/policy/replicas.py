"""The number of replicas that a slice needs for its demand.  Does no input or output."""

REPLICA_DEMAND = 0.7  # demand per replica above which a slice gets another one, in mean servers
SURPLUS_RUNS = 3  # consecutive full runs with a surplus replica before one is removed


def replica_count(
    replicas: int, surplus_runs: int, demand: float, most: int, full_run: bool
) -> tuple[int, int]:
    """Add replicas at once, but remove one only after several runs with a surplus.

    Args:
        replicas: current number of replicas.
        surplus_runs: consecutive runs with a surplus replica, as the previous call returned it.
        demand: of the whole slice, in mean servers.
        most: maximum number of replicas.
        full_run: whether this run counts for `surplus_runs`.

    Returns:
        The desired number of replicas, and the new `surplus_runs`.
    """
    while replicas < most and demand / replicas > REPLICA_DEMAND:
        replicas += 1
    if replicas > 1 and demand / (replicas - 1) < REPLICA_DEMAND / 2:
        surplus_runs += full_run
    else:
        surplus_runs = 0
    if surplus_runs >= SURPLUS_RUNS:
        return replicas - 1, 0
    return replicas, surplus_runs
