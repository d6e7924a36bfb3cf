"""The table of calls that endpoints, clients and operators make."""
