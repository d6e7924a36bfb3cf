"""A complete local cluster on loopback addresses, with simulated endpoints."""
