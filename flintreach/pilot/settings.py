"""Start-up settings, which every protocol passes as pairs of a path and a string."""

from collections.abc import Callable, Iterator
from decimal import Decimal
from typing import Any

from flintreach.pilot import interface

ABSENT = "-"
# Names in the configuration, and the decisions' names for the same.
EFFECTS = {"read_like": "idempotent", "idempotency_key": "fingerprinted", "non_idempotent": "side-effecting"}
LOAD_FIELDS = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency_ms",
    "rps": "qps",
    "err_rps": "eps",
}


def nanoseconds(text: str) -> int:
    """Convert a decimal number of seconds to whole nanoseconds; "-" is 0.

    Raises:
        ValueError: the number is not finite.
        decimal.InvalidOperation: the string is not a number.

    >>> nanoseconds("8.41225"), nanoseconds("12"), nanoseconds("-")
    (8412250000, 12000000000, 0)
    """
    if text == ABSENT:
        return 0
    value = Decimal(text)
    if not value.is_finite():
        raise ValueError(f"not a finite number of seconds: {text:.60}")
    return int(value.scaleb(9))


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Flatten nested settings from JSON into pairs of a path and a string.

    >>> dict(flatten({"me": 1, "areas": ["a b", "c"], "ops": [{"x": 0.5}], "on": True}))
    {'me': '1', 'areas': 'a_b,c', 'ops.count': '1', 'ops.0.x': '0.5', 'on': 'true'}
    """
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else key)
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        yield f"{path}.count", str(len(value))
        for index, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{index}")
    elif isinstance(value, list):
        yield path, ",".join(text for inner in value for _, text in flatten(inner)) or ABSENT
    else:
        yield path, _text(value).replace(" ", "_").replace(",", "_")


def _text(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return ABSENT if value is None else str(value)


Config = dict[str, str]  # strings by path
Fields = tuple[tuple[str, str, Callable[[str], Any]], ...]  # name in `Settings`, path, parser


def _boolean(text: str) -> bool:
    return text in ("true", "1")


def _integer(text: str) -> int:
    return int(float(text))


FIELDS: Fields = (
    ("number", "me", _integer),
    ("pilots", "balancers", _integer),
    ("zone", "az", _integer),
    ("weights", "weights", str),
    ("tick", "tick", nanoseconds),
    ("proxies", "specifics.proxies", _integer),
    ("exclusive", "specifics.exclusive", _boolean),
    ("ask_within", "invariants.ask_within", nanoseconds),
    ("cold_share", "invariants.cold_from", float),
    ("warm_up", "invariants.warm_up", nanoseconds),
    ("drain_grace", "invariants.drain_grace", nanoseconds),
    ("fall_multiple", "invariants.fall_multiple", float),
    ("fall_window", "invariants.tip_after", nanoseconds),
    ("only_draining_binds", "invariants.drain_binds_alone", _boolean),
    ("bare_limit", "specifics.bare", nanoseconds),
    ("channel_pace", "specifics.channel_rate", float),
    ("channel_limit", "specifics.backlog", float),
    ("message_head", "specifics.overhead", float),
    ("messages_most", "specifics.messages_most", _integer),
    ("messages_window", "specifics.update_window", nanoseconds),
    ("transit", "specifics.propagation", nanoseconds),
    ("transit_most", "specifics.transit_max", nanoseconds),
    ("period", "specifics.cycle", nanoseconds),
    ("sums_pace", "specifics.reports_per_s", float),
    ("admits_by", "specifics.admission", str),
    ("choice", "specifics.choice", str),
    ("probes", "policy_limits.probes", _boolean),
    ("tells", "policy_limits.may_tell", _boolean),
)


def read(seed: int, config: Config) -> interface.Settings:
    """Parse the start-up settings; unknown keys are ignored, and absent ones keep their defaults.

    Args:
        seed: of the decisions' random draws.
        config: strings by path, as `flatten` returns them; "-" stands for absent.

    Returns:
        The start-up settings of an instance.

    Raises:
        ValueError: a string that is not a number where one is expected.
        OverflowError: an infinite number where an integer is expected.
        decimal.InvalidOperation: a string that is not a number of seconds where one is expected.
    """
    settings = interface.Settings(seed=seed)
    for name, path, reader in FIELDS:
        if config.get(path, ABSENT) != ABSENT:
            setattr(settings, name, reader(config[path]))
    settings.zones = len(config.get("areas", ABSENT).split(","))
    settings.server_list_on_request = config.get("discovery") == "on_request"
    settings.load_fields = _load_fields(config)
    settings.slices = [
        interface.Slice(number) for number in range(_integer(config.get("specifics.ranges", "0")))
    ]
    settings.operations = _operations(config)
    return settings


def _load_fields(config: Config) -> tuple[str, ...]:
    """The load metrics that servers report, by the decisions' names for them."""
    text = config.get("report.fields", ABSENT)
    if text in (ABSENT, ""):
        return ()
    return tuple(LOAD_FIELDS.get(name, name) for name in text.split(","))


def _operations(config: Config) -> list[interface.Operation]:
    writes = config.get("specifics.writers", "").split(",")
    home_only = config.get("specifics.home_only", "").split(",")
    operations = []
    for index in range(_integer(config.get("request_classes.count", "0"))):
        operation = _operation(config, index)
        operation.writes = _flag_at(writes, index)
        operation.home_only = _flag_at(home_only, index)
        operations.append(operation)
    return operations


def _flag_at(flags: list[str], index: int) -> bool:
    return index < len(flags) and _boolean(flags[index])


def _operation(config: Config, index: int) -> interface.Operation:
    """Parse one operation, by its index."""

    def text(key: str, default: str) -> str:
        return config.get(f"request_classes.{index}.{key}", default)

    return interface.Operation(
        name=text("name", str(index)),
        index=index,
        objective=nanoseconds(text("objective", "1")),
        attempt_timeout=nanoseconds(text("hard_limit", "4")),
        billed_value=float(text("worth", "1")),
        effect=EFFECTS.get(text("idempotency", ""), "side-effecting"),
        group=text("group", "all"),
        window=nanoseconds(text("repeat_window", "0")),
    )
