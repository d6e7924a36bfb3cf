"""Commands to inspect and repair controllers and their disks: show, state, voters, rescue.

The docstring of a command is its help text.
"""

import json
from pathlib import Path
from typing import Any

import typer

from flintreach.cli.terminal import ExitStatus, fail, parse_address, table_lines

VIEWS = ("status", "members", "endpoints", "tables", "keys", "voters", "traffic")
# Kinds of peer messages.
SHOW = "show"
REPLACE_VOTER = "replace"
SHOW_TIMEOUT_S = 3.0
REPLACE_TIMEOUT_S = 6.0
ANY_PORT = ("127.0.0.1", 0)  # commands send requests but receive none

PEER_OPTION = typer.Option(..., "--at", help="Peer address of a controller, as HOST:PORT.")
JSON_OPTION = typer.Option(False, "--json", help="Print rows as JSON.")


def register(app: typer.Typer) -> None:
    """Register the commands of this module."""
    for command in (show, state, voters, rescue):
        app.command()(command)


def show(view: str, peer: str = PEER_OPTION, as_json: bool = JSON_OPTION) -> None:
    """Show a view of a running controller: status, members, endpoints, tables, keys, voters or traffic."""
    if view not in VIEWS:
        fail(ExitStatus.UNUSABLE, f"{view}: expected one of {', '.join(VIEWS)}")
    rows = ask(peer, SHOW, view, SHOW_TIMEOUT_S)
    if rows is None:
        fail(ExitStatus.FAILED, f"{peer}: no response")
    typer.echo(json.dumps(rows) if as_json else "\n".join(table_lines(rows)))


def state(folder: Path, as_json: bool = JSON_OPTION) -> None:
    """Show the data folder of a stopped controller, without modifying it."""
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
    out: str = typer.Option(None, "--out", help="Peer address of the voter to remove."),
    into: str = typer.Option(None, "--in", help="Peer address of a caught-up controller to add as a voter."),
) -> None:
    """Replace, remove or add a voter of the register; `show voters` lists the voters."""
    replacement = [list(parse_address(text)) if text else None for text in (out, into)]
    # An empty string on success, otherwise the reason of the refusal.
    refusal = ask(peer, REPLACE_VOTER, replacement, REPLACE_TIMEOUT_S)
    if refusal is None:
        fail(ExitStatus.FAILED, f"{peer}: no response")
    if refusal != "":
        fail(ExitStatus.FAILED, f"{peer}: {refusal}")


def rescue(
    folder: Path,
    epoch: int = typer.Option(..., help="Epoch of the voter set that is abandoned."),
    address: str = typer.Option(..., help="Peer address of this controller."),
    confirm: str = typer.Option(
        "", help="Confirmation phrase; without it, the command prints the phrase and exits."
    ),
) -> None:
    """Disaster recovery after too many losses: make the disk of a stopped controller the only voter."""
    from flintreach.consensus.recovery import CONFIRMATION_PHRASE, force_single_voter
    from flintreach.consensus.store import StoreError

    if confirm != CONFIRMATION_PHRASE:
        text = f"all data that is not on this disk will be lost; confirm with --confirm {CONFIRMATION_PHRASE}"
        fail(ExitStatus.UNUSABLE, text)
    try:
        only_voter = force_single_voter(str(folder), epoch, parse_address(address))
    except StoreError as error:
        fail(ExitStatus.UNUSABLE, str(error))
    typer.echo(f"{folder}: is now the only voter, epoch {only_voter.epoch}")


def ask(peer: str, kind: str, body: object, timeout_s: float) -> Any:
    """Send a request to a controller's peer address.

    Returns:
        The body of the response; None if none arrived in time.

    Raises:
        typer.Exit: `peer` is not an address; the status is UNUSABLE.
    """
    from flintreach.transport.peer_pool import PeerPool

    return PeerPool(ANY_PORT).ask(parse_address(peer), kind, body, timeout_s)
