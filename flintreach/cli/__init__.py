"""The command line, one module a group of commands; `app` puts them together."""
