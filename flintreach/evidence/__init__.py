"""What others measure of the servers' hosts, as evidence: delayed, doubted, no reason to pour load."""
