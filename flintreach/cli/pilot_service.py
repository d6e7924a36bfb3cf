"""Start of the pilot service: its configuration, the operator file, and the components that this enables.

`python -m flintreach serve` runs this without Typer, and each component is imported only if it is used: on a
fraction of a core, superfluous imports delay the start noticeably.
"""

import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

if TYPE_CHECKING:
    from flintreach.net.config import Config
    from flintreach.net.service import Service
    from flintreach.pilot.operator_file import OperatorConfig

OPERATOR_VARIABLE = "FLINTREACH_OPERATOR"
UNUSABLE = 2  # exit status: a file can't be read or is invalid

ComponentFactory = Callable[["Service"], Any]  # creates a component that starts and stops with the service


def exit_unusable(text: str) -> NoReturn:
    """Exit with an error message, since a file can't be read or is invalid.

    Raises:
        SystemExit: always.
    """
    print(f"flintreach: {text}", file=sys.stderr)
    sys.exit(UNUSABLE)


def read_configuration(path: Path | None) -> "Config":
    """Load the platform's configuration; `PROXY_CONFIG` names the file if `path` is None.

    Raises:
        SystemExit: the file can't be read or is invalid.
    """
    from flintreach.net import config

    try:
        return config.load(str(path) if path else None)
    except config.ConfigError as error:
        exit_unusable(str(error))


def read_operator_file(path: Path | None) -> "OperatorConfig | None":
    """Load the operator file; return None if neither `path` nor the environment names one.

    Raises:
        SystemExit: the file can't be read or is invalid.
    """
    if not path and not os.environ.get(OPERATOR_VARIABLE):
        return None
    from flintreach.pilot import operator_file

    try:
        return operator_file.load(str(path) if path else None)
    except operator_file.OperatorConfigError as error:
        exit_unusable(str(error))


def check_cores(config: "Config", operator: "OperatorConfig") -> None:
    """Check that the requested worker processes are within the platform's limits.

    Raises:
        SystemExit: they exceed a limit.
    """
    cores = operator.block("cores")
    if not cores:
        return
    reason = cores.check_limits(config.document.get("limits") or {})
    if reason:
        exit_unusable(f"{operator.path}: cores: {reason}")


def connection_handler_factory(operator: "OperatorConfig") -> ComponentFactory:
    """Return the factory of the connection handler: this process alone, or worker processes beside it."""
    from flintreach.net import run

    cores = operator.block("cores")
    if not cores or not cores.workers:
        return run.Clients
    from flintreach.cores.worker_pool import WorkerPool

    def front(service: "Service") -> WorkerPool:
        return WorkerPool(service, cores)

    return front


def component_factories(operator: "OperatorConfig") -> list[ComponentFactory]:
    """Return factories of the optional components that the operator file enables."""
    factories: list[ComponentFactory] = []
    evidence = operator.block("evidence")
    if evidence:
        from flintreach.evidence.receiver import HostLoadReceiver

        def receiver(service: "Service") -> HostLoadReceiver:
            return HostLoadReceiver(service, evidence)

        factories.append(receiver)
    telemetry = operator.block("telemetry")
    if telemetry:
        from flintreach.telemetry.sender import Telemetry

        def sender(service: "Service") -> Telemetry:
            return Telemetry(service, telemetry)

        factories.append(sender)
    return factories


def serve_pilot(config_path: Path | None = None, operator_path: Path | None = None) -> NoReturn:
    """Run one pilot until it is stopped by a signal.

    Raises:
        SystemExit: always, with the exit status of the service.
    """
    # Imported first, since it prevents the import of `rich`, which takes half of the CPU time of a start.
    from flintreach.net import run

    config = read_configuration(config_path)
    operator = read_operator_file(operator_path)
    if operator is None:
        sys.exit(run.run(config))
    check_cores(config, operator)
    sys.exit(run.run(config, connection_handler_factory(operator), component_factories(operator)))
