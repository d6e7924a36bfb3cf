"""A soak of the whole system on loopback: real processes and sockets, overlapping troubles from a seed."""
