"""Placement of slices, the pairs of a route and one of its services, on endpoints."""
