"""Typer application with all commands."""

import typer

from flintreach.cli import configuration, inspection, pilot, trials

HELP = "flintreach: the pilot behind a layer of plain proxies."


def build_app() -> typer.Typer:
    """Return the application with the commands of all groups."""
    app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False, help=HELP)
    for group in (pilot, configuration, inspection, trials):
        group.register(app)
    return app
