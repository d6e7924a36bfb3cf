"""Benchmarks on loopback against simulated peers; each module is a program with `--help`."""
