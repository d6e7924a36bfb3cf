"""Commands on controllers and their disks: show, state, voters, rescue.

A command's docstring is its help text.
"""

import json
from pathlib import Path
from typing import Any

import typer

from flintreach.cli.terminal import ExitStatus, fail, parse_address, table_lines

VIEWS = ("status", "members", "endpoints", "tables", "keys", "voters", "traffic")
# Kinds of messages that controllers answer.
SHOW = "show"
REPLACE_VOTER = "replace"
SHOW_TIMEOUT_S = 3.0
REPLACE_TIMEOUT_S = 6.0
ANY_PORT = ("127.0.0.1", 0)  # a command asks, but nothing asks it

PEER_OPTION = typer.Option(..., "--at", help="A controller's address for other pilots.")
JSON_OPTION = typer.Option(False, "--json", help="Rows as JSON.")


def register(app: typer.Typer) -> None:
    """Add the commands of this group."""
    for command in (show, state, voters, rescue):
        app.command()(command)


def show(view: str, peer: str = PEER_OPTION, as_json: bool = JSON_OPTION) -> None:
    """Look at a running controller: status, members, endpoints, tables, keys or voters."""
    if view not in VIEWS:
        fail(ExitStatus.UNUSABLE, f"{view}: expected one of {', '.join(VIEWS)}")
    rows = ask(peer, SHOW, view, SHOW_TIMEOUT_S)
    if rows is None:
        fail(ExitStatus.FAILED, f"{peer}: no answer")
    typer.echo(json.dumps(rows) if as_json else "\n".join(table_lines(rows)))


def state(folder: Path, as_json: bool = JSON_OPTION) -> None:
    """Look into the disk folder of a controller that does not run; nothing there is changed."""
    from flintreach.cli.register_values import describe
    from flintreach.consensus.inspection import read_tables
    from flintreach.consensus.store import StoreError

    try:
        tables = read_tables(str(folder), describe)
    except StoreError as error:
        fail(ExitStatus.UNUSABLE, str(error))
    if as_json:
        typer.echo(json.dumps(tables))
        return
    for title, table in tables.items():
        typer.echo("\n".join([title, *(f"  {line}" for line in table_lines(table))]))


def voters(
    peer: str = PEER_OPTION,
    out: str = typer.Option(None, "--out", help="The voter to leave out, by its inner address."),
    into: str = typer.Option(None, "--in", help="A caught-up disk to take in instead."),
) -> None:
    """Exchange, leave out or take in a voter of the register; `show voters` tells who votes."""
    order = [list(parse_address(text)) if text else None for text in (out, into)]
    # A reason why not, or nothing when it is done.
    refusal = ask(peer, REPLACE_VOTER, order, REPLACE_TIMEOUT_S)
    if refusal is None:
        fail(ExitStatus.FAILED, f"{peer}: no answer")
    if refusal != "":
        fail(ExitStatus.FAILED, f"{peer}: {refusal}")


def rescue(
    folder: Path,
    epoch: int = typer.Option(..., help="The epoch that is given up."),
    address: str = typer.Option(..., help="This controller's inner address."),
    confirm: str = typer.Option("", help="The word that is asked for."),
) -> None:
    """Last resort after more losses than allowed: a stopped controller's disk becomes the only voter."""
    from flintreach.consensus.recovery import CONFIRMATION_PHRASE, force_single_voter
    from flintreach.consensus.store import StoreError

    if confirm != CONFIRMATION_PHRASE:
        text = f"all that this disk does not hold will be lost: say so by --confirm {CONFIRMATION_PHRASE}"
        fail(ExitStatus.UNUSABLE, text)
    try:
        only_voter = force_single_voter(str(folder), epoch, parse_address(address))
    except StoreError as error:
        fail(ExitStatus.UNUSABLE, str(error))
    typer.echo(f"{folder}: the only voter, epoch {only_voter.epoch}")


def ask(peer: str, kind: str, body: object, timeout_s: float) -> Any:
    """Ask a controller at its address for other processes of the system.

    Returns:
        The answer; None if none came in time.

    Raises:
        typer.Exit: `peer` is no address; the status is UNUSABLE.
    """
    from flintreach.transport.peer_pool import PeerPool

    return PeerPool(ANY_PORT).ask(parse_address(peer), kind, body, timeout_s)
