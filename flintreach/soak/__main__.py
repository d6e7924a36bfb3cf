"""`python -m flintreach.soak --seeds N --seconds S`: soaks one after the other."""

import sys
from typing import Annotated

import typer

from flintreach.soak.run import Mix, Soak, SoakPlan


def main(
    seeds: int = typer.Option(5, help="how many seeds are played"),
    first: int = typer.Option(1, help="the first of them"),
    seconds: float = typer.Option(20.0, help="how long the faults of each go on"),
    mix: Annotated[Mix, typer.Option(help="which faults overlap")] = Mix.BOTH,
    controllers: int = typer.Option(3, help="controller processes"),
    proxies: int = typer.Option(3, help="data plane processes"),
    clients: int = typer.Option(12, help="clients, a third of each kind"),
    at_once: int = typer.Option(3, help="how many faults overlap"),
    base: str = typer.Option("127.45.7", help="three numbers of a loopback network"),
    port: int = typer.Option(7700, help="the first of six ports"),
) -> None:
    """Play soaks; a line each, and 1 if an invariant was broken."""
    plan = SoakPlan(seconds, mix, controllers, proxies, clients, at_once)
    broken = 0
    for seed in range(first, first + seeds):
        verdict = Soak(seed, plan, base, port).run()
        print(verdict.line(), flush=True)
        broken += bool(verdict.broken)
    sys.exit(min(1, broken))


if __name__ == "__main__":
    typer.run(main)
