"""The pilot's own figures: measured at next to no cost, sent to Graphite, kept for an hour."""
