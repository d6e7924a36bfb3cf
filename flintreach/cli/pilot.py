"""Commands of the pilot in service: serve, version, check-config, figures.

A command's docstring is its help text.
"""

import sys
from pathlib import Path

import typer

from flintreach.cli import pilot_service

CONFIG_OPTION = typer.Option(None, "--config", help="The configuration; PROXY_CONFIG names it otherwise.")
OPERATOR_OPTION = typer.Option(None, "--operator", help="The operator's file, or by FLINTREACH_OPERATOR.")


def register(app: typer.Typer) -> None:
    """Add the commands of this group."""
    app.command()(serve)
    app.command()(version)
    app.command("check-config")(check_config)
    app.command()(figures)


def serve(config: Path = CONFIG_OPTION, operator: Path = OPERATOR_OPTION) -> None:
    """Run one pilot until SIGTERM or SIGINT; SIGHUP reads the configuration again."""
    pilot_service.serve_pilot(config, operator)


def version() -> None:
    """Print the version."""
    from flintreach import __version__

    typer.echo(__version__)


def check_config(config: Path = CONFIG_OPTION, operator: Path = OPERATOR_OPTION) -> None:
    """Read the configuration as serve does, and say what it holds."""
    configuration = pilot_service.read_configuration(config)
    operator_file = pilot_service.read_operator_file(operator)
    if operator_file:
        pilot_service.check_cores(configuration, operator_file)
    settings = configuration.settings
    typer.echo(
        f"{configuration.name}: {len(settings.slices)} slices, {settings.proxies} proxies, "
        f"{len(settings.operations)} operations; listens at {configuration.listen}"
    )
    if operator_file:
        from flintreach.pilot.operator_file import describe

        for line in describe(operator_file):
            typer.echo(line)


def figures(
    directory: Path,
    match: str = typer.Option("", help="Only names that hold this text."),
    as_json: bool = typer.Option(False, "--json", help="Points as JSON."),
) -> None:
    """Show the last hour that a pilot has kept in a directory."""
    from flintreach.telemetry import show

    sys.exit(show.print_history(directory, match, as_json))
