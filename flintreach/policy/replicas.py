"""The number of replicas that a slice's demand calls for.  Pure."""

REPLICA_DEMAND = 0.7  # of a mean server's demand: above it, per replica, a slice gets one more
SURPLUS_RUNS = 3  # full runs with a replica too many before one is given up


def replica_count(
    replicas: int, surplus_runs: int, demand: float, most: int, full_run: bool
) -> tuple[int, int]:
    """Apply the replica rule: more at once, one fewer only after several runs with too many.

    Args:
        replicas: how many the slice has.
        surplus_runs: runs in a row that found one too many, as the last call returned it.
        demand: of the whole slice, in mean servers.
        most: permitted replicas.
        full_run: whether this run counts for `surplus_runs`.

    Returns:
        The number of replicas to have, and the new `surplus_runs`.
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
