"""Measurements on loopback against stand-ins; each is a program of its own with `--help`."""
