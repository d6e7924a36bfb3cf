"""Runs the decision logic behind the simulator's text protocol: codec, host and command."""
