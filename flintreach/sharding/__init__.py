"""Key ranges of sharded services: leases, assignment, load by key, region affinity."""
