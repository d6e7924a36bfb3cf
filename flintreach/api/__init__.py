"""The calls that endpoints, clients and operators make, as a table."""
