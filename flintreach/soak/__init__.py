"""A soak of the whole system on loopback: real processes and sockets, overlapping faults from a seed."""
