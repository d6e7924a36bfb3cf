"""The pilot: its decisions, and the interface of events and orders around them."""
