"""Commands to try the system out: demo (and its earlier spelling, camp), simulate.

A command's docstring is its help text.
"""

import typer

SIMULATION_TRACE_EVENTS = 400
NO_TRACE = -1


def register(app: typer.Typer) -> None:
    """Add the commands of this group."""
    app.command()(demo)
    app.command(hidden=True)(camp)
    app.command()(simulate)


def demo(proxies: int = 3, controllers: int = 3, desks: int = 4, stores: int = 2, port: int = 7600) -> None:
    """The whole system on this machine's loopback, with stand-in endpoints, until it is interrupted."""
    from flintreach.demo.program import serve

    raise typer.Exit(serve(proxies, controllers, desks, stores, port))


def camp(proxies: int = 3, refuges: int = 3, desks: int = 4, stores: int = 2, port: int = 7600) -> None:
    """The earlier spelling of demo."""
    demo(proxies, refuges, desks, stores, port)


def simulate(
    seeds: int = typer.Option(500, help="How many."),
    first: int = typer.Option(0, "--from", help="The first seed."),
    nodes: int = typer.Option(0, help="Controllers; 0: drawn from the seed."),
    trace: int = typer.Option(NO_TRACE, help="Play one seed alone and print its events."),
    workers: int = typer.Option(4, help="Processes at work."),
    plant: str = typer.Option("", hidden=True),
) -> None:
    """Play the control plane in simulated time under faults from seeds; 1 if an invariant breaks."""
    from flintreach.simulation import trial

    controllers = nodes or None
    if trace > NO_TRACE:
        outcome = trial.play(trace, controllers, kept=SIMULATION_TRACE_EVENTS, mutant=plant)
        typer.echo(f"{outcome.report()}\n  digest {outcome.digest}, {outcome.events} events")
        raise typer.Exit(bool(outcome.broken))
    played = range(first, first + seeds)
    raise typer.Exit(trial.show(played, controllers, workers, typer.echo, plant))
