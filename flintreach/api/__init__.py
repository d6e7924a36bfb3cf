"""HTTP API for endpoints, clients and operators."""
