"""Distribution of versioned updates down a tree of relays, and aggregation of load reports up it."""
