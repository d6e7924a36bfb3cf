"""Commands of the pilot service: serve, version, check-config, figures.

The docstring of a command is its help text.
"""

import sys
from pathlib import Path

import typer

from flintreach.cli import pilot_service

CONFIG_OPTION = typer.Option(None, "--config", help="Configuration file; default: PROXY_CONFIG.")
OPERATOR_OPTION = typer.Option(None, "--operator", help="Operator file; default: FLINTREACH_OPERATOR.")


def register(app: typer.Typer) -> None:
    """Register the commands of this module."""
    app.command()(serve)
    app.command()(version)
    app.command("check-config")(check_config)
    app.command()(figures)


def serve(config: Path = CONFIG_OPTION, operator: Path = OPERATOR_OPTION) -> None:
    """Run one pilot until SIGTERM or SIGINT; SIGHUP reloads the configuration."""
    pilot_service.serve_pilot(config, operator)


def version() -> None:
    """Print the version."""
    from flintreach import __version__

    typer.echo(__version__)


def check_config(config: Path = CONFIG_OPTION, operator: Path = OPERATOR_OPTION) -> None:
    """Load and validate the configuration as serve does, and print a summary."""
    configuration = pilot_service.read_configuration(config)
    operator_file = pilot_service.read_operator_file(operator)
    if operator_file:
        pilot_service.check_cores(configuration, operator_file)
    settings = configuration.settings
    typer.echo(
        f"{configuration.name}: {len(settings.slices)} slices, {settings.proxies} proxies, "
        f"{len(settings.operations)} operations; listens on {configuration.listen}"
    )
    if operator_file:
        from flintreach.pilot.operator_file import describe

        for line in describe(operator_file):
            typer.echo(line)


def figures(
    directory: Path,
    match: str = typer.Option("", help="Show only names that contain this text."),
    as_json: bool = typer.Option(False, "--json", help="Print points as JSON."),
) -> None:
    """Show the last hour of metrics that a pilot has stored in a directory."""
    from flintreach.telemetry import show

    sys.exit(show.print_history(directory, match, as_json))
