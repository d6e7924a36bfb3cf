"""Command line of the soak tests: `python -m flintreach.soak --seeds N --seconds S`."""

import sys
from typing import Annotated

import typer

from flintreach.soak.run import Mix, Soak, SoakPlan


def main(
    seeds: int = typer.Option(5, help="number of seeds to run"),
    first: int = typer.Option(1, help="first seed"),
    seconds: float = typer.Option(20.0, help="duration of fault injection per seed"),
    mix: Annotated[Mix, typer.Option(help="faults to inject")] = Mix.BOTH,
    controllers: int = typer.Option(3, help="controller processes"),
    proxies: int = typer.Option(3, help="proxy processes"),
    clients: int = typer.Option(12, help="clients, a third of each connection mode"),
    at_once: int = typer.Option(3, help="number of concurrent faults"),
    memory_mb: float = typer.Option(300, help="memory limit of each process"),
    base: str = typer.Option("127.45.7", help="first three octets of a loopback network"),
    port: int = typer.Option(7700, help="first of six consecutive ports"),
) -> None:
    """Run soaks in turn and print a JSON line for each; exit with 1 if an invariant was broken."""
    plan = SoakPlan(seconds, mix, controllers, proxies, clients, at_once, memory_mb)
    broken = 0
    for seed in range(first, first + seeds):
        verdict = Soak(seed, plan, base, port).run()
        print(verdict.to_json(), flush=True)
        broken += bool(verdict.broken)
    sys.exit(min(1, broken))


if __name__ == "__main__":
    typer.run(main)
