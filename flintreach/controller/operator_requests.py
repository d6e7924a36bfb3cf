"""Operators' requests to a controller: configuration and zone evacuations, as changes of the register."""

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

import msgspec

from flintreach.common.keys import (
    ASSIGNMENT_KEY,
    CONFIGURATION_KEY,
    EVACUATION_KEY,
    SLICE_KEY_PREFIX,
    VOTERS_KEY,
)
from flintreach.config import configuration_history
from flintreach.config.configuration_history import ConfigurationHistory, PutOutcome
from flintreach.consensus.quorum import Voters
from flintreach.consensus.register import Register
from flintreach.dissemination.versioned_store import VersionedStore

PACK = msgspec.msgpack.encode
UNPACK = msgspec.msgpack.decode
REGISTER_TIMEOUT_S = 0.85  # below the one second after which callers time out

MayProceed = Callable[[], bool]


class RequestOutcome(StrEnum):
    """Outcome of a request to change a key of the register."""

    ACCEPTED = PutOutcome.ACCEPTED
    REPEATED = PutOutcome.REPEATED  # already in force: acknowledged without a change
    SUPERSEDED = PutOutcome.SUPERSEDED  # a later version is in force
    CONFLICT = PutOutcome.CONFLICT  # other content was acknowledged under this version number
    HISTORY_EXPIRED = PutOutcome.HISTORY_EXPIRED  # too old to tell which content the version number had
    UNKNOWN = "late"  # no result within REGISTER_TIMEOUT_S: the change may or may not be committed
    ABANDONED = "dropped"  # abandoned before a value was proposed to acceptors


Decision = tuple[str, bytes | None]  # text of an outcome, and the new value or None for no change


class OperatorRequestsPlane(Protocol):
    """The part of `control_plane.ControlPlane` that `OperatorRequests` uses."""

    register: Register
    updates: VersionedStore


def unconditionally() -> bool:
    """Let a request proceed unconditionally."""
    return True


class OperatorRequests:
    """Reads and changes the operators' keys of the register, and publishes committed values as updates."""

    def __init__(self, plane: OperatorRequestsPlane) -> None:
        self.plane = plane

    # Publication of committed values.

    def publish(self, key: str, value: bytes | None) -> None:
        """Publish a committed value of the register as an update; None means that the key has no value.

        A voter set is not published but adopted by the register.
        """
        if value is None:
            return
        if key == CONFIGURATION_KEY:
            history = ConfigurationHistory.decode(value)
            self.plane.updates.offer(key, history.number, history.body)
        elif key == EVACUATION_KEY:
            number, zones = UNPACK(value)
            self.plane.updates.offer(key, number, zones)
        elif key == VOTERS_KEY:
            self.plane.register.adopt(Voters.from_row(UNPACK(value)))
        elif key == ASSIGNMENT_KEY:
            number, assignment = UNPACK(value)
            self._publish_assignment(number, assignment)

    def _publish_assignment(self, number: int, assignment: dict[str, list[str]]) -> None:
        updates = self.plane.updates
        if not updates.offer(ASSIGNMENT_KEY, number, number):
            return
        removed_slices = updates.with_prefix(SLICE_KEY_PREFIX).keys() - assignment.keys()
        for name in sorted(removed_slices):
            updates.offer(f"{SLICE_KEY_PREFIX}{name}", number, None)
        changed = [
            (name, ids) for name, ids in assignment.items() if updates.get(f"{SLICE_KEY_PREFIX}{name}") != ids
        ]
        # Shorter assignments first, so that slices that shrink tend to precede those that grow.
        for name, ids in sorted(changed, key=lambda entry: len(entry[1])):
            updates.offer(f"{SLICE_KEY_PREFIX}{name}", number, ids)

    def is_published(self, key: str, value: bytes | None) -> bool:
        """Return whether this controller has published a value of the register, or a later one."""
        if value is None:
            return False
        if key == VOTERS_KEY:
            return Voters.from_row(UNPACK(value)).epoch <= self.plane.register.voters.epoch
        if key == CONFIGURATION_KEY:
            number = ConfigurationHistory.decode(value).number
        else:
            number = UNPACK(value)[0]
        entry = self.plane.updates.entries.get(key)
        return entry is not None and entry[0] >= number

    # Requests.

    def put(self, number: int, body: bytes, may_proceed: MayProceed = unconditionally) -> RequestOutcome:
        """Put a configuration under a version number.

        Args:
            number: version of the configuration.
            body: the configuration as the operator submitted it.
            may_proceed: returns whether the request is still valid; called right before a value is proposed.
        """
        return self._change(
            CONFIGURATION_KEY, lambda current: configuration_history.put(current, number, body), may_proceed
        )

    def published_bytes(self) -> int:
        """Length in bytes of the published configuration; 0 if there is none."""
        return len(self.plane.updates.get(CONFIGURATION_KEY) or b"")

    def get(self) -> tuple[bool, bytes | None]:
        """Read the current configuration.

        Returns:
            Whether a quorum confirmed the read, and the configuration as it was submitted; None if there is
            none.
        """
        is_known, value = self.plane.register.read(CONFIGURATION_KEY, REGISTER_TIMEOUT_S)
        if value is None:
            return is_known, None
        return is_known, ConfigurationHistory.decode(value).body

    def evacuate(
        self, zone: str, is_evacuated: bool, may_proceed: MayProceed = unconditionally
    ) -> RequestOutcome:
        """Begin or end the evacuation of a zone.

        The request has no version number, yet a delayed request must not take effect after a later one. From
        the prepare phase on, ballots ensure this, since those of a later request are higher; `may_proceed`
        covers the time before that, in which the request was waiting unread.

        Args:
            zone: name of the zone.
            is_evacuated: True to begin the evacuation, False to end it.
            may_proceed: as for `put`.

        Returns:
            ACCEPTED, REPEATED, UNKNOWN or ABANDONED.
        """

        def decide(current: bytes | None) -> Decision:
            number, zones = UNPACK(current) if current else (0, {})
            if current and bool(zones.get(zone)) == is_evacuated:
                return RequestOutcome.REPEATED, None
            return RequestOutcome.ACCEPTED, PACK([number + 1, {**zones, zone: is_evacuated}])

        return self._change(EVACUATION_KEY, decide, may_proceed)

    def _change(
        self, key: str, decide: Callable[[bytes | None], Decision], may_proceed: MayProceed
    ) -> RequestOutcome:
        """Change a key of the register by `decide(current value)`, and publish the committed value."""
        outcome = RequestOutcome.UNKNOWN
        was_proposed = False

        def step(current: bytes | None) -> bytes | None:
            nonlocal outcome, was_proposed
            if not may_proceed():
                # What an earlier attempt proposed to acceptors may still be committed.
                outcome = RequestOutcome.UNKNOWN if was_proposed else RequestOutcome.ABANDONED
                return None
            decided, value = decide(current)
            outcome = RequestOutcome(decided)
            was_proposed = was_proposed or value is not None
            return value

        is_done, value = self.plane.register.change(key, step, REGISTER_TIMEOUT_S)
        if not is_done:
            return RequestOutcome.UNKNOWN
        self.publish(key, value)
        return outcome
