"""Owners of key ranges: leases, allocation, load by key, affinity to regions."""
