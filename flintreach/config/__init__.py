"""Settings of a process and the operator's configuration: read, checked, typed."""
