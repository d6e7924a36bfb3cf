"""What a process goes by: its settings file, and the operator's configuration."""
