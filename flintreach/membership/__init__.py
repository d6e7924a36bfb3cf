"""Group membership and failure detection with the SWIM protocol."""
