"""The whole system on one machine, with stand-in endpoints."""
