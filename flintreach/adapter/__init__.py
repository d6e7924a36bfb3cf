"""The simulator's wire in front of the decisions: codec, host and command."""
