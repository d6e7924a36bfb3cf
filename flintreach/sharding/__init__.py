"""Owners of key ranges: leases, assignment, load by key, affinity to regions."""
