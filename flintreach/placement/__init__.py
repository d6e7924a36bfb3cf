"""Placement: which endpoints serve each slice, a route with one of its services."""
