"""Versioned updates down a tree of relays, load figures up it."""
