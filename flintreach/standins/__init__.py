"""Stand-ins for the services that programs connect to, for tests, rehearsal and benchmarks; loopback only."""
