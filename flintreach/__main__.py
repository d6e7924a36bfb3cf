"""The command line: serve, version, check-config."""

import sys
from pathlib import Path

import typer

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False,
                  help="flintreach: the pilot behind a layer of plain proxies.")
CONFIG = typer.Option(None, "--config", help="The configuration; PROXY_CONFIG names it otherwise.")


def configured(path: Path | None):
    from flintreach.net import config

    try:
        return config.load(str(path) if path else None)
    except config.ConfigError as error:
        typer.echo(f"flintreach: {error}", err=True)
        raise typer.Exit(2) from None


@app.command()
def serve(config: Path = CONFIG) -> None:
    """Run one pilot until SIGTERM or SIGINT."""
    from flintreach.net import run

    sys.exit(run.run(configured(config)))


@app.command()
def version() -> None:
    """Print the version."""
    from flintreach import __version__

    typer.echo(__version__)


@app.command("check-config")
def check_config(config: Path = CONFIG) -> None:
    """Read the configuration as serve does, and say what it holds."""
    told = configured(config)
    typer.echo(f"{told.name}: {len(told.settings.slices)} slices, {told.settings.proxies} proxies, "
               f"{len(told.settings.operations)} operations; listens at {told.listen}")


if __name__ == "__main__":
    app()
