"""The start-up settings, read the same for every protocol from pairs of a path and a text."""

from collections.abc import Callable, Iterator
from decimal import Decimal

from flintreach.pilot import interface as face

EFFECTS = {"read_like": "idempotent", "idempotency_key": "fingerprinted", "non_idempotent": "side-effecting"}
LOADS = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency_ms",
    "rps": "qps",
    "err_rps": "eps",
}


def nanoseconds(text: str) -> int:
    """Seconds written out, in whole nanoseconds.

    >>> nanoseconds("8.41225"), nanoseconds("12"), nanoseconds("-")
    (8412250000, 12000000000, 0)
    """
    if text == "-":
        return 0
    value = Decimal(text)
    if not value.is_finite():
        raise ValueError("not a time")
    return int(value.scaleb(9))


def flat(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """The same settings as nested JSON, as pairs of a path and a text.

    >>> dict(flat({"me": 1, "areas": ["a b", "c"], "ops": [{"x": 0.5}], "on": True}))
    {'me': '1', 'areas': 'a_b,c', 'ops.count': '1', 'ops.0.x': '0.5', 'on': 'true'}
    """
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flat(inner, f"{path}.{key}" if path else key)
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        yield f"{path}.count", str(len(value))
        for place, inner in enumerate(value):
            yield from flat(inner, f"{path}.{place}")
    elif isinstance(value, list):
        yield path, ",".join(text for inner in value for _, text in flat(inner)) or "-"
    else:
        text = str(value).lower() if isinstance(value, bool) else "-" if value is None else str(value)
        yield path, text.replace(" ", "_").replace(",", "_")


def read(seed: int, config: dict[str, str]) -> face.Settings:
    """The start-up settings; keys that are not known are passed over, absent ones keep their defaults."""
    told = face.Settings(seed=seed)

    def take(name: str, path: str, kind: Callable) -> None:
        if config.get(path, "-") != "-":
            setattr(told, name, kind(config[path]))

    def truth(value: str) -> bool:
        return value in ("true", "1")

    def whole(value: str) -> int:
        return int(float(value))

    time, real = nanoseconds, float
    for name, path, kind in (
        ("number", "me", whole),
        ("pilots", "balancers", whole),
        ("zone", "az", whole),
        ("weights", "weights", str),
        ("tick", "tick", time),
        ("proxies", "specifics.proxies", whole),
        ("exclusive", "specifics.exclusive", truth),
        ("ask_within", "invariants.ask_within", time),
        ("cold_share", "invariants.cold_from", real),
        ("warm_up", "invariants.warm_up", time),
        ("drain_grace", "invariants.drain_grace", time),
        ("fall_multiple", "invariants.fall_multiple", real),
        ("fall_window", "invariants.tip_after", time),
        ("only_draining_binds", "invariants.drain_binds_alone", truth),
        ("bare_limit", "specifics.bare", time),
        ("channel_pace", "specifics.channel_rate", real),
        ("channel_limit", "specifics.backlog", real),
        ("message_head", "specifics.overhead", real),
        ("messages_most", "specifics.messages_most", whole),
        ("messages_window", "specifics.update_window", time),
        ("transit", "specifics.propagation", time),
        ("transit_most", "specifics.transit_max", time),
        ("period", "specifics.cycle", time),
        ("sums_pace", "specifics.reports_per_s", real),
        ("admits_by", "specifics.admission", str),
        ("choice", "specifics.choice", str),
        ("probes", "policy_limits.probes", truth),
        ("tells", "policy_limits.may_tell", truth),
    ):
        take(name, path, kind)
    told.zones = len(config.get("areas", "-").split(","))
    told.asks_roster = config.get("discovery") == "on_request"
    fields = config.get("report.fields", "-")
    told.load_fields = () if fields in ("-", "") else tuple(LOADS.get(f, f) for f in fields.split(","))
    told.slices = [face.Slice(n) for n in range(whole(config.get("specifics.ranges", "0")))]
    writes = config.get("specifics.writers", "").split(",")
    home = config.get("specifics.home_only", "").split(",")
    for place in range(whole(config.get("request_classes.count", "0"))):

        def of(key: str, default: str, place: int = place) -> str:
            return config.get(f"request_classes.{place}.{key}", default)

        def marked(values: list[str], place: int = place) -> bool:
            return place < len(values) and truth(values[place])

        told.operations.append(
            face.Operation(
                name=of("name", str(place)),
                place=place,
                objective=time(of("objective", "1")),
                integration_timeout=time(of("hard_limit", "4")),
                billed_value=real(of("worth", "1")),
                effect=EFFECTS.get(of("idempotency", ""), "side-effecting"),
                group=of("group", "all"),
                window=time(of("repeat_window", "0")),
                writes=marked(writes),
                home_only=marked(home),
            )
        )
    return told
