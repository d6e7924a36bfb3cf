"""What an operator does from a shell: check files, look at a running refuge, put a configuration.

Exit status: 0 done, 1 the other side said no or did not answer, 2 a file or an argument can't be used.
"""

import json
import sys
from pathlib import Path

import typer

VIEWS = ("status", "members", "endpoints", "tables", "keys", "voters", "traffic")


def fail(status: int, text: str) -> None:
    print(f"flintreach: {text}", file=sys.stderr)
    raise typer.Exit(status)


def place(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        fail(2, f"{text}: expected an address and a port, such as 10.0.0.1:7700")
    return host, int(port)


def printed(rows: list[dict]) -> list[str]:
    """A table with a line a row.

    >>> printed([{"id": "a", "n": 1}, {"id": "bcd", "n": 22}])
    ['id   n ', 'a    1 ', 'bcd  22']
    """
    if not rows:
        return ["nothing"]
    names = [*rows[0]]
    table = [names, *([str(row[name]) for name in names] for row in rows)]
    widths = [max(len(line[i]) for line in table) for i in range(len(names))]
    return ["  ".join(cell.ljust(width) for cell, width in zip(line, widths)) for line in table]


def checked(path: Path) -> str:
    """What a file holds: a configuration (JSON) or a process's settings (YAML)."""
    from flintreach.config import configuration, settings

    try:
        data = path.read_bytes()
        if data.lstrip().startswith(b"{"):
            table = configuration.check(data)
            routes = sum(len(host.route_rules) for host in table.virtual_hosts)
            return f"{path}: edition {table.edition}, {routes} routes, {len(table.service_configs)} services"
        node = settings.parse(data.decode(), str(path))
        return f"{path}: {node.sender.node_name} in {node.sender.zone}, serves {' '.join(node.sender.serves)}"
    except OSError as error:
        return fail(2, f"{path}: {error.strerror}")
    except (settings.SettingsError, configuration.ConfigError, UnicodeDecodeError) as error:
        return fail(2, str(error) if str(path) in str(error) else f"{path}: {error}")


def call(at: str, method: str, path: str, body: bytes = b"") -> bytes:
    """One call of the table to a control address; its answer."""
    import http.client

    host, port = place(at)
    link = http.client.HTTPConnection(host, port, timeout=5)
    try:
        link.request(method, path, body or None, {"Content-Type": "application/json"})
        answer = link.getresponse()
        data = answer.read()
    except OSError as error:
        return fail(1, f"{at}: {error}")
    if answer.status != 200:
        fail(1, f"{at}: {answer.status} {data.decode(errors='replace')[:200]}")
    return data


def commands(app: typer.Typer) -> None:
    at = typer.Option(..., "--at", help="A refuge's control address.")

    @app.command()
    def check(file: Path) -> None:
        """Check a configuration or a settings file; an error names the field."""
        typer.echo(checked(file))

    @app.command()
    def show(
        view: str,
        inner: str = typer.Option(..., "--at", help="A refuge's address for other pilots."),
        as_json: bool = typer.Option(False, "--json", help="Rows as JSON."),
    ) -> None:
        """Look at a running refuge: status, members, endpoints, tables, keys or voters."""
        from flintreach.transport.peer_pool import PeerPool

        if view not in VIEWS:
            fail(2, f"{view}: expected one of {', '.join(VIEWS)}")
        rows = PeerPool(("127.0.0.1", 0)).ask(place(inner), "show", view, 3.0)
        if rows is None:
            fail(1, f"{inner}: no answer")
        typer.echo(json.dumps(rows) if as_json else "\n".join(printed(rows)))

    @app.command()
    def put(file: Path, control: str = at) -> None:
        """Put a configuration, after the same checks as the refuge makes."""
        checked(file)
        call(control, "POST", "/v1/timetable/put", file.read_bytes())

    @app.command()
    def get(control: str = at) -> None:
        """The configuration in force, as it was put."""
        typer.echo(call(control, "GET", "/v1/timetable/get").decode())

    @app.command()
    def camp(proxies: int = 3, refuges: int = 3, desks: int = 4, stores: int = 2, port: int = 7600) -> None:
        """The whole system on this machine's loopback, with stand-in endpoints, until it is interrupted."""
        from flintreach.demo.cluster import serve

        raise typer.Exit(serve(proxies, refuges, desks, stores, port))

    @app.command()
    def state(folder: Path, as_json: bool = typer.Option(False, "--json", help="Rows as JSON.")) -> None:
        """Look into the disk folder of a refuge that does not run; nothing there is changed."""
        from flintreach.cli.register_values import describe
        from flintreach.consensus.inspection import rows
        from flintreach.consensus.store import StoreError

        try:
            found = rows(str(folder), describe)
        except StoreError as error:
            fail(2, str(error))
        for title, table in found.items():
            if not as_json:
                typer.echo("\n".join([title, *(f"  {line}" for line in printed(table))]))
        if as_json:
            typer.echo(json.dumps(found))

    @app.command()
    def voters(
        inner: str = typer.Option(..., "--at", help="A refuge's address for other pilots."),
        out: str = typer.Option(None, "--out", help="The voter to leave out, by its inner address."),
        into: str = typer.Option(None, "--in", help="A caught-up disk to take in instead."),
    ) -> None:
        """Exchange, leave out or take in a voter of the register; `show voters` tells who votes."""
        from flintreach.transport.peer_pool import PeerPool

        order = [list(place(text)) if text else None for text in (out, into)]
        said = PeerPool(("127.0.0.1", 0)).ask(place(inner), "replace", order, 6.0)
        if said != "":
            fail(1, f"{inner}: {'no answer' if said is None else said}")

    @app.command()
    def rescue(
        folder: Path,
        epoch: int = typer.Option(..., help="The epoch that is given up."),
        address: str = typer.Option(..., help="This refuge's inner address."),
        confirm: str = typer.Option("", help="The word that is asked for."),
    ) -> None:
        """Last resort after more losses than allowed: the disk of a stopped refuge becomes the only voter."""
        from flintreach.consensus.recovery import CONFIRM, alone
        from flintreach.consensus.store import StoreError

        if confirm != CONFIRM:
            fail(2, f"all that this disk does not hold will be lost: say so by --confirm {CONFIRM}")
        try:
            after = alone(str(folder), epoch, place(address))
        except StoreError as error:
            fail(2, str(error))
        typer.echo(f"{folder}: the only voter, epoch {after.epoch}")

    @app.command()
    def simulate(
        seeds: int = typer.Option(500, help="How many."),
        first: int = typer.Option(0, "--from", help="The first seed."),
        nodes: int = typer.Option(0, help="Refuges; 0: drawn from the seed."),
        trace: int = typer.Option(-1, help="Play one seed alone and print its events."),
        workers: int = typer.Option(4, help="Processes at work."),
        plant: str = typer.Option("", hidden=True),
    ) -> None:
        """Play the control plane in simulated time under faults from seeds; 1 if an invariant breaks."""
        from flintreach.simulation import trial

        if trace >= 0:
            outcome = trial.play(trace, nodes or None, kept=400, plant=plant)
            typer.echo(f"{outcome.report()}\n  digest {outcome.digest}, {outcome.events} events")
            raise typer.Exit(bool(outcome.broken))
        played = range(first, first + seeds)
        raise typer.Exit(trial.show(played, nodes or None, workers, typer.echo, plant))

    @app.command()
    def evacuate(
        zone: str, control: str = at, finish: bool = typer.Option(False, "--finish", help="Take it back.")
    ) -> None:
        """Send nothing more to the endpoints of a zone."""
        call(control, "POST", f"/v1/evacuate/{zone}/{'finish' if finish else 'start'}")
