"""Endpoints by their heartbeats: serving, draining, silent or gone."""
