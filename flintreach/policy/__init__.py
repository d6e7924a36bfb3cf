"""Placement algorithms that the pilot and the controllers share."""
