"""Endpoint registry: lifecycle state of every endpoint, derived from its heartbeats."""
