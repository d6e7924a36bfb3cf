"""Command line: one module per group of commands, combined in `app`."""
