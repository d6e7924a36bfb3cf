"""The pilot's own metrics: collected at little cost, sent to Graphite and kept for an hour."""
