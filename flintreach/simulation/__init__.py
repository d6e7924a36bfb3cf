"""The control plane in simulated time, under faults from a seed."""
