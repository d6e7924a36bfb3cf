"""The pilot in service: its decisions, and what they take and give."""
