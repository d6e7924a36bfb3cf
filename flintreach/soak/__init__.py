"""Soak tests of a local cluster: real processes and sockets, with overlapping faults drawn from a seed."""
