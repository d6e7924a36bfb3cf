"""The settings file of a process (YAML): typed, read, checked, and watched for changes.

Each program of the system (controller, proxy) reads one such file when it starts and again when it changes.
This module alone knows the names that the file uses: where a field's name here differs, `name=` gives that of
the file.

Source: the platform's page on how the system is run.  Fields that it doesn't know are passed over, since the
file may gain some.
"""

import os
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
import yaml

PATH_VARIABLE = "FLINTREACH_NODE_FILE"
DEFAULT_PATH = "/etc/flintreach/node.yaml"
WATCH_INTERVAL_S = 2.0


class SettingsError(ValueError):
    """A settings file that no process can start with; its text names the field and what was expected."""


class ResourceLimits(msgspec.Struct, frozen=True):
    """What the platform grants to a process."""

    cpu_share: float = 1.0
    memory_mb: float = 0
    file_handles: int = 1024
    disk_mb: float = 0
    link_mbps: float = 0


class ProcessIdentity(msgspec.Struct, frozen=True):
    """Who a process is, and where it runs."""

    node_name: str
    ip: str
    zone: str
    region: str
    role: str = msgspec.field(default="", name="post_role")
    grade: str = ""
    serves: tuple[str, ...] = ()
    voter_eligible: bool = msgspec.field(default=False, name="counted")  # whether its disk may hold a vote
    first_run: bool = False  # the system starts for the first time: empty disks are no loss
    store_dir: str | None = None
    limits: ResourceLimits = ResourceLimits()


class NetworkSettings(msgspec.Struct, frozen=True):
    """Addresses of this process, those of its first peers, and the region of each zone."""

    # name of a service of this process -> the address at which it listens
    listen_addresses: dict[str, str] = msgspec.field(name="posts")
    spare_ports: tuple[int, int]  # first and last port that the process may use among its peers
    seed_nodes: tuple[str, ...] = ()
    zones: dict[str, str] = {}


class HeartbeatSettings(msgspec.Struct, frozen=True):
    """How endpoints report."""

    report_ms: float = 1500


class ToleratedLosses(msgspec.Struct, frozen=True):
    """How many failure domains of each size may be lost at a time without a loss of acknowledged data."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


class TimingBounds(msgspec.Struct, frozen=True):
    """The figures of the operator's rules, in the unit that each name ends in; others are ratios or counts.

    Names without a `name=` are those of the rules' page, which defines them.
    """

    list_lag_s: float = 3
    readdress_s: float = 2
    contact_ms: float = 5000
    receipt_ms: float = 6000
    catch_up_s: float = 4
    last_call_ms: float = 2500  # from an acknowledged departure to the last request at that endpoint
    grace_s: float = 6  # from SIGTERM to SIGKILL
    loss_slack_ms: float = 200
    edition_ms: float = 2500  # from an acknowledged configuration to the last request by an older one
    revert_ms: float = 250
    stretch_ms: float = 10000
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 0
    slow_start_excess: float = msgspec.field(default=1.0, name="cold_excess")
    slow_start_slack: float = msgspec.field(default=0, name="cold_slack")
    evacuate_ms: float = 5000  # from an acknowledged evacuation to the last request into that zone
    recovery_s: float = 15
    max_lease_ms: float = msgspec.field(default=10000, name="hold_cap_ms")
    thaw_ms: float = 300
    ttl_max_s: float = 5  # for how long at most clients may use a list of proxies


class Rules(msgspec.Struct, frozen=True):
    """What the operator demands of the system."""

    clauses: tuple[str, ...] = ()
    losses: ToleratedLosses = ToleratedLosses()
    timing: TimingBounds = msgspec.field(default=TimingBounds(), name="timetable")


class ProcessSettings(msgspec.Struct, frozen=True):
    """The settings of one process."""

    identity: ProcessIdentity = msgspec.field(name="sender")
    network: NetworkSettings
    heartbeats: HeartbeatSettings = msgspec.field(default=HeartbeatSettings(), name="carrier")
    rules: Rules = msgspec.field(default=Rules(), name="tariffs")
    permits: str = "call"

    @property
    def bounds(self) -> TimingBounds:
        """The bounds in time that the rules set."""
        return self.rules.timing

    def peer_address(self, port_offset: int = 0) -> tuple[str, int]:
        """The address at which other processes of the system reach this one.

        Args:
            port_offset: which of the spare ports, counted from the first.
        """
        first_port = self.network.spare_ports[0]
        return self.identity.ip, first_port + port_offset

    def seeds(self) -> list[str]:
        """IP addresses of the machines that the settings name as first peers."""
        return [parse_address(seed)[0] for seed in self.network.seed_nodes]


class FileVersion(NamedTuple):
    """What tells one content of a file from another, without a reading of it."""

    modified_ns: int
    size: int
    inode: int


last_read: dict[str, FileVersion | None] = {}  # path -> the file as it was read last


def parse_address(text: str) -> tuple[str, int]:
    """Host and port of an address as the wire and the settings write it.

    Raises:
        ValueError: the part after the last colon is no number.

    >>> parse_address("10.1.0.13:8166")
    ('10.1.0.13', 8166)
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


def parse(text: str, name: str = "settings") -> ProcessSettings:
    """Settings from YAML.

    Args:
        text: the content of a settings file.
        name: what errors call it, such as its path.

    Raises:
        SettingsError: the text is no YAML, or a field is missing or has another type.
    """
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        content: Any = yaml.load(text, loader)
    except yaml.YAMLError as error:
        first_line = str(error).splitlines()[0]
        raise SettingsError(f"{name}: no YAML: {first_line}") from None
    try:
        return msgspec.convert(content, ProcessSettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{name}: {error}") from None


def settings_path() -> str:
    """Where the settings file of this process is."""
    return os.environ.get(PATH_VARIABLE) or DEFAULT_PATH


def load(path: str | None = None) -> ProcessSettings:
    """Read the settings of this process.

    Args:
        path: the file; that of `settings_path` otherwise.

    Raises:
        SettingsError: the file can't be read, or its content can't be used.
    """
    path = path or settings_path()
    # Before the reading: a change that comes during it is then found by `watch`.
    last_read[path] = file_version(path)
    try:
        with open(path, encoding="utf-8") as file:
            return parse(file.read(), path)
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not a text in UTF-8"
        raise SettingsError(f"{path}: {reason}") from None


def reload(current: ProcessSettings) -> ProcessSettings:
    """The settings read anew, or `current` where the file can't be used: a bad file stops no process."""
    # Here, since `check` of the command line must not write a log.
    from flintreach.common.log import log_event

    try:
        return load()
    except SettingsError as error:
        log_event("settings", error=str(error))
        return current


def watch(
    reread: Callable[[], object], sleep: Callable[[float], object], interval_s: float = WATCH_INTERVAL_S
) -> None:
    """Call `reread` whenever the settings file has changed since it was read; does not return.

    A change comes with a SIGHUP or without one, and a SIGHUP that comes before a program handles it is lost.
    """
    path = settings_path()
    seen = last_read.get(path)
    while True:
        current = file_version(path) or seen
        if seen is not None and current != seen:
            reread()
        seen = current
        sleep(interval_s)


def file_version(path: str) -> FileVersion | None:
    """The version of a file; None where there is no such file."""
    try:
        stat = os.stat(path)
    except OSError:
        return None
    return FileVersion(stat.st_mtime_ns, stat.st_size, stat.st_ino)
