"""The service: a real pilot's sockets round the decisions, one module a peer."""
