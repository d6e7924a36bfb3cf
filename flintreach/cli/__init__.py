"""The command line, one module a group of commands."""
