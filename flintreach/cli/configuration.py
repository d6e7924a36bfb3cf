"""Commands on the operator's configuration and orders: check, put, get, evacuate.

A command's docstring is its help text.
"""

from pathlib import Path
from typing import TYPE_CHECKING

import typer

from flintreach.cli.terminal import ExitStatus, fail, parse_address

if TYPE_CHECKING:
    from flintreach.config.configuration import Configuration
    from flintreach.config.settings import ProcessSettings

CONTROL_OPTION = typer.Option(..., "--at", help="A controller's control address.")
CALL_TIMEOUT_S = 5.0
OK = 200
PUT_PATH = "/v1/timetable/put"
GET_PATH = "/v1/timetable/get"
ERROR_LENGTH = 200  # characters of an answer that are shown


def register(app: typer.Typer) -> None:
    """Add the commands of this group."""
    for command in (check, put, get, evacuate):
        app.command()(command)


def check(file: Path) -> None:
    """Check a configuration or a settings file; an error names the field."""
    typer.echo(checked(file))


def put(file: Path, control: str = CONTROL_OPTION) -> None:
    """Put a configuration, after the same checks as the controller makes."""
    checked(file)
    call(control, "POST", PUT_PATH, file.read_bytes())


def get(control: str = CONTROL_OPTION) -> None:
    """The configuration in force, as it was put."""
    typer.echo(call(control, "GET", GET_PATH).decode())


def evacuate(
    zone: str,
    control: str = CONTROL_OPTION,
    finish: bool = typer.Option(False, "--finish", help="Take it back."),
) -> None:
    """Send nothing more to the endpoints of a zone."""
    step = "finish" if finish else "start"
    call(control, "POST", f"/v1/evacuate/{zone}/{step}")


def checked(path: Path) -> str:
    """Check a file and say what it holds: a configuration (JSON) or a process's settings (YAML).

    Raises:
        typer.Exit: the file can't be used; the status is UNUSABLE.
    """
    from flintreach.config import configuration, settings

    try:
        data = path.read_bytes()
        if data.lstrip().startswith(b"{"):
            return f"{path}: {configuration_summary(configuration.check(data))}"
        return f"{path}: {settings_summary(settings.parse(data.decode(), str(path)))}"
    except OSError as error:
        fail(ExitStatus.UNUSABLE, f"{path}: {error.strerror}")
    except (settings.SettingsError, configuration.ConfigError, UnicodeDecodeError) as error:
        text = str(error)
        fail(ExitStatus.UNUSABLE, text if str(path) in text else f"{path}: {text}")


def configuration_summary(table: "Configuration") -> str:
    """One line on a configuration."""
    routes = sum(len(host.route_rules) for host in table.virtual_hosts)
    return f"edition {table.version}, {routes} routes, {len(table.service_configs)} services"


def settings_summary(node: "ProcessSettings") -> str:
    """One line on a process's settings."""
    return f"{node.identity.node_name} in {node.identity.zone}, serves {' '.join(node.identity.serves)}"


def call(control: str, method: str, path: str, body: bytes = b"") -> bytes:
    """Make one call at a control address.

    Args:
        control: the address, as the operator gave it.
        method: the HTTP method.
        path: as in the table of calls (`flintreach/api/calls.py`).
        body: JSON, or nothing.

    Returns:
        The body of the answer.

    Raises:
        typer.Exit: no answer, or one that is not 200 (status FAILED); no address (status UNUSABLE).
    """
    import http.client

    host, port = parse_address(control)
    connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body or None, {"Content-Type": "application/json"})
        answer = connection.getresponse()
        data = answer.read()
    except OSError as error:
        fail(ExitStatus.FAILED, f"{control}: {error}")
    if answer.status != OK:
        reason = data.decode(errors="replace")[:ERROR_LENGTH]
        fail(ExitStatus.FAILED, f"{control}: {answer.status} {reason}")
    return data
