"""Placement: which endpoints serve each route and service."""
