"""Starts the pilot in service: its configuration, the operator's file, and the parts that the file asks for.

`python -m flintreach serve` runs this without Typer, and each part is imported only where it is used: with a
share of a core, either would keep the pilot away for longer.
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
UNUSABLE = 2  # exit status: a file can't be used

Part = Callable[["Service"], Any]  # makes something that starts and stops with the service


def end_unusable(text: str) -> NoReturn:
    """End the process, since a file can't be used.

    Raises:
        SystemExit: always.
    """
    print(f"flintreach: {text}", file=sys.stderr)
    sys.exit(UNUSABLE)


def read_configuration(path: Path | None) -> "Config":
    """The platform's configuration; without a path, that which `PROXY_CONFIG` names.

    Raises:
        SystemExit: it can't be used.
    """
    from flintreach.net import config

    try:
        return config.load(str(path) if path else None)
    except config.ConfigError as error:
        end_unusable(str(error))


def read_operator_file(path: Path | None) -> "OperatorConfig | None":
    """The operator's own file; None where neither the path nor the environment names one.

    Raises:
        SystemExit: it can't be used.
    """
    if not path and not os.environ.get(OPERATOR_VARIABLE):
        return None
    from flintreach.pilot import operator_file

    try:
        return operator_file.load(str(path) if path else None)
    except operator_file.OperatorConfigError as error:
        end_unusable(str(error))


def check_cores(config: "Config", operator: "OperatorConfig") -> None:
    """Check that the cores that the operator asks for are within the platform's limits.

    Raises:
        SystemExit: they are not.
    """
    cores = operator.block("cores")
    if not cores:
        return
    reason = cores.check_limits(config.document.get("limits") or {})
    if reason:
        end_unusable(f"{operator.path}: cores: {reason}")


def client_side(operator: "OperatorConfig") -> Part:
    """What takes the pilot's connections: this process alone, or worker processes beside it."""
    from flintreach.net import run

    cores = operator.block("cores")
    if not cores or not cores.workers:
        return run.Clients
    from flintreach.cores.worker_pool import WorkerPool

    def front(service: "Service") -> WorkerPool:
        return WorkerPool(service, cores)

    return front


def parts_of(operator: "OperatorConfig") -> list[Part]:
    """The parts beside the service that the operator's file asks for."""
    parts: list[Part] = []
    evidence = operator.block("evidence")
    if evidence:
        from flintreach.evidence.receiver import HostLoadReceiver

        def receiver(service: "Service") -> HostLoadReceiver:
            return HostLoadReceiver(service, evidence)

        parts.append(receiver)
    telemetry = operator.block("telemetry")
    if telemetry:
        from flintreach.telemetry.sender import Telemetry

        def sender(service: "Service") -> Telemetry:
            return Telemetry(service, telemetry)

        parts.append(sender)
    return parts


def serve_pilot(config_path: Path | None = None, operator_path: Path | None = None) -> NoReturn:
    """Run one pilot until a signal ends it.

    Raises:
        SystemExit: always, with the status of the service.
    """
    # First: it keeps `rich` from being loaded, which takes half of the processor time of a start.
    from flintreach.net import run

    config = read_configuration(config_path)
    operator = read_operator_file(operator_path)
    if operator is None:
        sys.exit(run.run(config))
    check_cores(config, operator)
    sys.exit(run.run(config, client_side(operator), parts_of(operator)))
