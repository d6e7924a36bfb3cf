"""Settings file of a process (YAML): schema, loading, validation, and watching for changes.

Each controller and proxy reads one settings file at start and again when the file changes.  Where the key of
a field in the file differs from the attribute, `name=` gives the key.

Specification: the platform's page on how the system is run.  Unknown keys are ignored, since later versions
of the platform may add some.
"""

import os
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
import yaml

PATH_VARIABLE = "FLINTREACH_NODE_FILE"
DEFAULT_PATH = "/etc/flintreach/node.yaml"
WATCH_INTERVAL_S = 2.0
MAX_PORT = 65535
START_TIMEOUT_S = 3.0
START_RETRY_INTERVAL_S = 0.1


class SettingsError(ValueError):
    """The settings file can't be read or is invalid; the message names the file and the field."""


class ResourceLimits(msgspec.Struct, frozen=True):
    """Resources that the platform grants to a process."""

    cpu_share: float = 1.0
    memory_mb: float = 0
    file_handles: int = 1024
    disk_mb: float = 0
    link_mbps: float = 0


class ProcessIdentity(msgspec.Struct, frozen=True):
    """Identity, placement and role of a process."""

    node_name: str
    ip: str
    zone: str
    region: str
    role: str = msgspec.field(default="", name="post_role")
    grade: str = ""
    serves: tuple[str, ...] = ()
    voter_eligible: bool = msgspec.field(default=False, name="counted")  # may become a voter
    first_run: bool = False  # first start of the system: empty disks are expected
    store_dir: str | None = None
    limits: ResourceLimits = ResourceLimits()


class NetworkSettings(msgspec.Struct, frozen=True):
    """Listen addresses, ports and seed nodes of a process, and the region of each zone."""

    # Name of a listener -> address that it binds to.
    listen_addresses: dict[str, str] = msgspec.field(name="posts")
    spare_ports: tuple[int, int]  # first and last port for connections between processes
    seed_nodes: tuple[str, ...] = ()
    zones: dict[str, str] = {}


class HeartbeatSettings(msgspec.Struct, frozen=True):
    """Interval of the endpoints' heartbeats."""

    report_ms: float = 1500


class ToleratedLosses(msgspec.Struct, frozen=True):
    """Number of failure domains of each level that may fail at a time without loss of acknowledged data."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


class TimingBounds(msgspec.Struct, frozen=True):
    """Numeric limits of the operator's rules; a suffix gives the unit, others are ratios or counts.

    Attributes without `name=` have the names of the page on the rules, which defines them.
    """

    list_lag_s: float = 3
    readdress_s: float = 2
    contact_ms: float = 5000
    receipt_ms: float = 6000
    catch_up_s: float = 4
    last_call_ms: float = 2500  # from the acknowledgment of a departure to the last request to that endpoint
    grace_s: float = 6  # from SIGTERM to SIGKILL
    loss_slack_ms: float = 200
    edition_ms: float = (
        2500  # from the acknowledgment of a configuration to the last request under an older one
    )
    revert_ms: float = 250
    stretch_ms: float = 10000
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 0
    slow_start_excess: float = msgspec.field(default=1.0, name="cold_excess")
    slow_start_slack: float = msgspec.field(default=0, name="cold_slack")
    evacuate_ms: float = 5000  # from the acknowledgment of an evacuation to the last request into that zone
    recovery_s: float = 15
    max_lease_ms: float = msgspec.field(default=10000, name="hold_cap_ms")
    thaw_ms: float = 300
    ttl_max_s: float = 5  # maximum lifetime of a list of proxies at clients


class Rules(msgspec.Struct, frozen=True):
    """Guarantees that the operator requires of the system."""

    clauses: tuple[str, ...] = ()
    losses: ToleratedLosses = ToleratedLosses()
    timing: TimingBounds = msgspec.field(default=TimingBounds(), name="timetable")


class ProcessSettings(msgspec.Struct, frozen=True):
    """Content of the settings file of one process."""

    identity: ProcessIdentity = msgspec.field(name="sender")
    network: NetworkSettings
    heartbeats: HeartbeatSettings = msgspec.field(default=HeartbeatSettings(), name="carrier")
    rules: Rules = msgspec.field(default=Rules(), name="tariffs")
    permits: str = "call"

    @property
    def bounds(self) -> TimingBounds:
        """The numeric limits of the rules."""
        return self.rules.timing

    def peer_address(self, port_offset: int = 0) -> tuple[str, int]:
        """Return the address at which other processes of the system reach this one.

        Args:
            port_offset: offset from the first spare port.
        """
        first_port = self.network.spare_ports[0]
        return self.identity.ip, first_port + port_offset

    def seeds(self) -> list[str]:
        """Return the IP addresses of the seed nodes."""
        return [parse_address(seed)[0] for seed in self.network.seed_nodes]


class FileVersion(NamedTuple):
    """File metadata that changes when the content is replaced."""

    modified_ns: int
    size: int
    inode: int


loaded_versions: dict[str, FileVersion | None] = {}  # path -> version at the latest load


def parse_address(text: str) -> tuple[str, int]:
    """Split an address of the form HOST:PORT.

    Raises:
        ValueError: the part after the last colon is not a port number.

    >>> parse_address("10.1.0.13:8166")
    ('10.1.0.13', 8166)
    """
    host, _, port_text = text.rpartition(":")
    port = int(port_text)
    if not 0 <= port <= MAX_PORT:
        raise ValueError(f"{text}: no port number")
    return host, port


def parse(text: str, name: str = "settings") -> ProcessSettings:
    """Parse and validate settings.

    Args:
        text: YAML, the content of a settings file.
        name: name of the source in error messages, such as its path.

    Raises:
        SettingsError: the text is not valid YAML, or a field is missing or has the wrong type.
    """
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        content: Any = yaml.load(text, loader)
    except yaml.YAMLError as error:
        first_line = str(error).splitlines()[0]
        raise SettingsError(f"{name}: invalid YAML: {first_line}") from None
    try:
        return msgspec.convert(content, ProcessSettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{name}: {error}") from None


def settings_path() -> str:
    """Return the path of this process's settings file."""
    return os.environ.get(PATH_VARIABLE) or DEFAULT_PATH


def load(path: str | None = None) -> ProcessSettings:
    """Load the settings of this process.

    Args:
        path: the settings file; `settings_path()` if not given.

    Raises:
        SettingsError: the file can't be read, or its content is invalid.
    """
    path = path or settings_path()
    # Taken before the file is read, so that `watch` detects a change made during the read.
    loaded_versions[path] = file_version(path)
    try:
        with open(path, encoding="utf-8") as file:
            return parse(file.read(), path)
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not valid UTF-8"
        raise SettingsError(f"{path}: {reason}") from None


def load_at_start(sleep: Callable[[float], object], timeout_s: float = START_TIMEOUT_S) -> ProcessSettings:
    """Load the settings of this process, waiting for a file that is being replaced.

    Args:
        sleep: suspends the caller for some seconds.
        timeout_s: how long to wait for settings that can be used, in seconds.

    Raises:
        SettingsError: the settings can't be used, and could not during all that time.
    """
    # Imported here for the reason that `reload` gives.
    from flintreach.common.lifecycle import StartLog, StartStage

    deadline = time.monotonic() + timeout_s
    log = StartLog()
    while True:
        try:
            return load()
        except SettingsError as error:
            if time.monotonic() >= deadline:
                raise
            log.enter(StartStage.WAITING_FOR_SETTINGS, error=str(error))
        sleep(START_RETRY_INTERVAL_S)


def reload(current: ProcessSettings) -> ProcessSettings:
    """Load the settings again; return `current` if the file is invalid, so that the process keeps running."""
    # Imported here, since importing it starts the log on stdout, where the command `check` writes its result.
    from flintreach.common.log import log_event

    try:
        return load()
    except SettingsError as error:
        log_event("settings", error=str(error))
        return current


def watch(
    on_change: Callable[[], object], sleep: Callable[[float], object], interval_s: float = WATCH_INTERVAL_S
) -> None:
    """Poll the settings file, and call `on_change` when it differs from the loaded one; does not return.

    Polling is needed beside SIGHUP: the file may change without a signal, and a SIGHUP that arrives before
    the program has installed its handler is lost.
    """
    path = settings_path()
    seen = loaded_versions.get(path)
    while True:
        current = file_version(path) or seen
        if seen is not None and current != seen:
            on_change()
        seen = current
        sleep(interval_s)


def file_version(path: str) -> FileVersion | None:
    """Return the version of a file; None if the file can't be accessed."""
    try:
        stat = os.stat(path)
    except OSError:
        return None
    return FileVersion(stat.st_mtime_ns, stat.st_size, stat.st_ino)
