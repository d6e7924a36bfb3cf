"""Commands for the operator's configuration and for evacuations: check, put, get, evacuate.

The docstring of a command is its help text.
"""

from pathlib import Path
from typing import TYPE_CHECKING

import typer

from flintreach.cli.terminal import ExitStatus, fail, parse_address

if TYPE_CHECKING:
    from flintreach.config.configuration import Configuration
    from flintreach.config.settings import ProcessSettings

CONTROL_OPTION = typer.Option(..., "--at", help="Control address of a controller, as HOST:PORT.")
CALL_TIMEOUT_S = 5.0
OK = 200
PUT_PATH = "/v1/timetable/put"
GET_PATH = "/v1/timetable/get"
MAX_ERROR_LENGTH = 200  # characters of an error response that are shown


def register(app: typer.Typer) -> None:
    """Register the commands of this module."""
    for command in (check, put, get, evacuate):
        app.command()(command)


def check(file: Path) -> None:
    """Validate a configuration or a settings file; errors name the invalid field."""
    typer.echo(validate_file(file))


def put(file: Path, control: str = CONTROL_OPTION) -> None:
    """Put a configuration into force; it is validated locally first, as the controller does."""
    validate_file(file)
    call(control, "POST", PUT_PATH, file.read_bytes())


def get(control: str = CONTROL_OPTION) -> None:
    """Print the configuration in force, as it was put."""
    typer.echo(call(control, "GET", GET_PATH).decode())


def evacuate(
    zone: str,
    control: str = CONTROL_OPTION,
    finish: bool = typer.Option(False, "--finish", help="End the evacuation."),
) -> None:
    """Evacuate a zone: send no more requests to its endpoints."""
    action = "finish" if finish else "start"
    call(control, "POST", f"/v1/evacuate/{zone}/{action}")


def validate_file(path: Path) -> str:
    """Validate a configuration (JSON) or a settings file (YAML), and return a summary of it.

    Raises:
        typer.Exit: the file can't be read or is invalid; the status is UNUSABLE.
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


def configuration_summary(configuration: "Configuration") -> str:
    """Summarize a configuration in one line."""
    routes = sum(len(host.route_rules) for host in configuration.virtual_hosts)
    return f"edition {configuration.version}, {routes} routes, {len(configuration.service_configs)} services"


def settings_summary(settings: "ProcessSettings") -> str:
    """Summarize the settings of a process in one line."""
    identity = settings.identity
    return f"{identity.node_name} in {identity.zone}, serves {' '.join(identity.serves)}"


def call(control: str, method: str, path: str, body: bytes = b"") -> bytes:
    """Send an HTTP request to a controller.

    Args:
        control: the control address, as HOST:PORT.
        method: the HTTP method.
        path: the path of a call in `flintreach/api/calls.py`.
        body: JSON, or empty.

    Returns:
        The body of the response.

    Raises:
        typer.Exit: the request failed or its status is not 200 (exit status FAILED), or the address is
            invalid (exit status UNUSABLE).
    """
    import http.client

    host, port = parse_address(control)
    connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body or None, {"Content-Type": "application/json"})
        response = connection.getresponse()
        data = response.read()
    except OSError as error:
        fail(ExitStatus.FAILED, f"{control}: {error}")
    if response.status != OK:
        reason = data.decode(errors="replace")[:MAX_ERROR_LENGTH]
        fail(ExitStatus.FAILED, f"{control}: {response.status} {reason}")
    return data
