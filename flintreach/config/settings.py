"""The settings file of a process of the system (YAML), read and checked with msgspec.

Source: the platform's page on how the system is run.  Unknown fields are passed over: the file may gain some.
"""

import os
from typing import Any

import msgspec
import yaml

VARIABLE, DEFAULT = "FLINTREACH_NODE_FILE", "/etc/flintreach/node.yaml"
MS, SECOND = 1_000_000, 1_000_000_000


def place(text: str) -> tuple[str, int]:
    """An address as the wire and the settings write it.

    >>> place("10.1.0.13:8166")
    ('10.1.0.13', 8166)
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


class SettingsError(ValueError):
    """A settings file that nobody can start with; its text names the field and what was expected."""


class Limits(msgspec.Struct, frozen=True):
    cpu_share: float = 1.0
    memory_mb: float = 0
    file_handles: int = 1024
    disk_mb: float = 0
    link_mbps: float = 0


class Sender(msgspec.Struct, frozen=True):
    node_name: str
    ip: str
    zone: str
    region: str
    post_role: str = ""
    grade: str = ""
    serves: tuple[str, ...] = ()
    counted: bool = False
    first_run: bool = False
    store_dir: str | None = None
    limits: Limits = Limits()


class Network(msgspec.Struct, frozen=True):
    posts: dict[str, str]
    spare_ports: tuple[int, int]
    seed_nodes: tuple[str, ...] = ()
    zones: dict[str, str] = {}


class Carrier(msgspec.Struct, frozen=True):
    report_ms: float = 1500


class Losses(msgspec.Struct, frozen=True):
    machines: int = 0
    zones: int = 0
    regions: int = 0


class TimingBounds(msgspec.Struct, frozen=True):
    """The figures of the rules, in milliseconds or seconds as their names say."""

    list_lag_s: float = 3
    readdress_s: float = 2
    contact_ms: float = 5000
    receipt_ms: float = 6000
    catch_up_s: float = 4
    last_call_ms: float = 2500
    grace_s: float = 6
    loss_slack_ms: float = 200
    edition_ms: float = 2500
    revert_ms: float = 250
    stretch_ms: float = 10000
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 0
    cold_excess: float = 1.0
    cold_slack: float = 0
    evacuate_ms: float = 5000
    recovery_s: float = 15
    hold_cap_ms: float = 10000
    thaw_ms: float = 300
    ttl_max_s: float = 5


class Tariffs(msgspec.Struct, frozen=True):
    clauses: tuple[str, ...] = ()
    losses: Losses = Losses()
    timetable: TimingBounds = TimingBounds()


class ProcessSettings(msgspec.Struct, frozen=True):
    """One process's settings."""

    sender: Sender
    network: Network
    carrier: Carrier = Carrier()
    tariffs: Tariffs = Tariffs()
    permits: str = "call"

    @property
    def bounds(self) -> TimingBounds:
        return self.tariffs.timetable

    def inner(self, post: int = 0) -> tuple[str, int]:
        """The address at which other pilots reach this process."""
        return self.sender.ip, self.network.spare_ports[0] + post

    def seeds(self) -> list[str]:
        """Addresses (ip) of the machines that the settings name as seeds."""
        return [place(seed)[0] for seed in self.network.seed_nodes]


def parse(text: str, name: str = "settings") -> ProcessSettings:
    """Settings from YAML.  Raises SettingsError, which names the field."""
    try:
        told: Any = yaml.load(text, getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as error:
        raise SettingsError(f"{name}: no YAML: {str(error).splitlines()[0]}") from None
    try:
        return msgspec.convert(told, ProcessSettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{name}: {error}") from None


FileMark = tuple[int, int, int]
last_read: dict[str, FileMark | None] = {}  # path -> the file as it was read last


def again(held: ProcessSettings) -> ProcessSettings:
    """The settings read anew, or those held where the file can't be used: a bad file stops nobody."""
    from flintreach.common.log import say

    try:
        return load()
    except SettingsError as error:
        say("settings", error=str(error))
        return held


def watch(reread, sleep, every: float = 2.0) -> None:
    """Call `reread` when the file has changed: that comes with a signal or without one."""
    path = os.environ.get(VARIABLE) or DEFAULT
    seen = last_read.get(path)
    while True:
        mark = file_mark(path) or seen
        if seen is not None and mark != seen:
            reread()
        seen = mark
        sleep(every)


def file_mark(path: str) -> FileMark | None:
    """What tells one content of a file from another; None where there is no such file."""
    try:
        stat = os.stat(path)
    except OSError:
        return None
    return stat.st_mtime_ns, stat.st_size, stat.st_ino


def load(path: str | None = None) -> ProcessSettings:
    """The settings of this process.  Raises SettingsError."""
    path = path or os.environ.get(VARIABLE) or DEFAULT
    last_read[path] = file_mark(path)
    try:
        with open(path, encoding="utf-8") as file:
            return parse(file.read(), path)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {getattr(error, 'strerror', None) or 'not a text in UTF-8'}") from None
