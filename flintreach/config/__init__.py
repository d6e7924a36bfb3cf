"""Settings of a process, and the configuration that the operator puts into force at run time."""
