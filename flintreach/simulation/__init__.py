"""Deterministic simulation of the control plane in virtual time, with fault injection from a seed."""
