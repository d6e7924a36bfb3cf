"""Commands to try out the system: demo (and its earlier name, camp), simulate.

The docstring of a command is its help text.
"""

import typer

SIMULATION_TRACE_EVENTS = 400
NO_TRACE = -1


def register(app: typer.Typer) -> None:
    """Register the commands of this module."""
    app.command()(demo)
    app.command(hidden=True)(camp)
    app.command()(simulate)


def demo(proxies: int = 3, controllers: int = 3, desks: int = 4, stores: int = 2, port: int = 7600) -> None:
    """Run the whole system on the loopback interface, with simulated endpoints, until interrupted."""
    from flintreach.demo.program import serve

    raise typer.Exit(serve(proxies, controllers, desks, stores, port))


def camp(proxies: int = 3, refuges: int = 3, desks: int = 4, stores: int = 2, port: int = 7600) -> None:
    """Earlier name of demo."""
    demo(proxies, refuges, desks, stores, port)


def simulate(
    seeds: int = typer.Option(500, help="Number of seeds."),
    first: int = typer.Option(0, "--from", help="First seed."),
    nodes: int = typer.Option(0, help="Number of controllers; 0: derived from the seed."),
    trace: int = typer.Option(NO_TRACE, help="Run only this seed and print its events."),
    workers: int = typer.Option(4, help="Number of worker processes."),
    plant: str = typer.Option("", hidden=True),
) -> None:
    """Simulate the control plane under random faults; the exit status is 1 if an invariant is violated."""
    from flintreach.simulation import trial

    controllers = nodes or None
    if trace > NO_TRACE:
        outcome = trial.run_trial(trace, controllers, trace_length=SIMULATION_TRACE_EVENTS, mutant=plant)
        typer.echo(f"{outcome.report()}\n  digest {outcome.digest}, {outcome.events} events")
        raise typer.Exit(bool(outcome.broken))
    played = range(first, first + seeds)
    raise typer.Exit(trial.run_and_print(played, controllers, workers, typer.echo, plant))
