"""The command line: serve, version, check-config.  Each loads only what it uses."""

import os
import signal
import sys
from pathlib import Path

# How a deploy file calls a program -> the package that holds it.
PROGRAMS = {
    "proxy": "proxy",
    "controller": "controller",
    # As in deploy files of earlier releases.
    "bothy": "proxy",
    "refuge": "controller",
}


def configured(path: Path | None):
    from flintreach.net import config

    try:
        return config.load(str(path) if path else None)
    except config.ConfigError as error:
        print(f"flintreach: {error}", file=sys.stderr)
        sys.exit(2)


def operated(path: Path | None):
    """The operator's own file, where one is named."""
    if not path and not os.environ.get("FLINTREACH_OPERATOR"):
        return None
    from flintreach.pilot import operator_file

    try:
        return operator_file.load(str(path) if path else None)
    except operator_file.OperatorError as error:
        print(f"flintreach: {error}", file=sys.stderr)
        sys.exit(2)


def fitting(config, operator) -> None:
    """What the operator wants must keep the platform's limits."""
    cores = operator.block("cores")
    why = cores and cores.fits(config.told.get("limits") or {})
    if why:
        print(f"flintreach: {operator.path}: cores: {why}", file=sys.stderr)
        sys.exit(2)


def run(path: Path | None, own: Path | None = None):
    from flintreach.net import run

    config, operator = configured(path), operated(own)
    if operator is None:
        sys.exit(run.run(config))
    fitting(config, operator)
    cores, parts = operator.block("cores"), []
    front = run.Clients
    if cores and cores.workers:
        from flintreach.cores.front import Front

        front = lambda service: Front(service, cores)  # noqa: E731
    if block := operator.block("evidence"):
        from flintreach.evidence.intake import Intake

        parts.append(lambda service, block=block: Intake(service, block))
    if block := operator.block("telemetry"):
        from flintreach.telemetry.sender import Telemetry

        parts.append(lambda service, block=block: Telemetry(service, block))
    sys.exit(run.run(config, front, parts))


def commands():
    import typer

    app = typer.Typer(
        add_completion=False,
        no_args_is_help=True,
        pretty_exceptions_enable=False,
        help="flintreach: the pilot behind a layer of plain proxies.",
    )
    option = typer.Option(None, "--config", help="The configuration; PROXY_CONFIG names it otherwise.")
    own = typer.Option(None, "--operator", help="The operator's file, or by FLINTREACH_OPERATOR.")

    @app.command()
    def serve(config: Path = option, operator: Path = own) -> None:
        """Run one pilot until SIGTERM or SIGINT; SIGHUP reads the configuration again."""
        run(config, operator)

    @app.command()
    def version() -> None:
        """Print the version."""
        from flintreach import __version__

        typer.echo(__version__)

    @app.command("check-config")
    def check_config(config: Path = option, operator: Path = own) -> None:
        """Read the configuration as serve does, and say what it holds."""
        told, file = configured(config), operated(operator)
        if file:
            fitting(told, file)
        typer.echo(
            f"{told.name}: {len(told.settings.slices)} slices, {told.settings.proxies} proxies, "
            f"{len(told.settings.operations)} operations; listens at {told.listen}"
        )
        if file:
            from flintreach.pilot.operator_file import describe

            for line in describe(file):
                typer.echo(line)

    @app.command()
    def figures(
        directory: Path,
        match: str = typer.Option("", help="Only names that hold this text."),
        as_json: bool = typer.Option(False, "--json", help="Points as JSON."),
    ) -> None:
        """Show the last hour that a pilot has kept in a directory."""
        from flintreach.telemetry import show

        sys.exit(show.show(directory, match, as_json))

    from flintreach.cli import system

    system.commands(app)
    return app


def program(name: str) -> None:
    """A program of the whole system; it loads nothing of the pilot in service, nor that of it."""
    import importlib

    # Until it can take the signal, one must not end it: what changed meanwhile is found by `settings.watch`.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module(f"flintreach.{name}.program").main()


if __name__ == "__main__":
    # The platform's own start: with a part of a core, loading typer would keep the pilot away for longer.
    if sys.argv[1:] == ["serve"]:
        run(None)
    elif len(sys.argv) == 2 and sys.argv[1] in PROGRAMS:
        program(PROGRAMS[sys.argv[1]])
    else:
        commands()()
