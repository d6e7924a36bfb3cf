"""Endpoints as their heartbeats tell of them: ready, leaving, silent, gone."""
