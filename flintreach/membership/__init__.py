"""Which processes there are, found by probes, second opinions and suspicion (SWIM)."""
