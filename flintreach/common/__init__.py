"""Shared by all programs: keys of stored data, and the log."""
