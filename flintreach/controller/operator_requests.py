"""The operator's requests at a controller: configuration and evacuations, as changes of the register."""

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
REGISTER_TIMEOUT_S = 0.85  # callers give a controller up after a second

MayProceed = Callable[[], bool]


class RequestOutcome(StrEnum):
    """What became of a request to change something."""

    ACCEPTED = PutOutcome.ACCEPTED
    REPEATED = PutOutcome.REPEATED  # it stood already: acknowledged, and no change
    SUPERSEDED = PutOutcome.SUPERSEDED  # a later version stands
    CONFLICT = PutOutcome.CONFLICTING  # another content was acknowledged under this number
    HISTORY_EXPIRED = PutOutcome.FORGOTTEN  # too old to tell which content the number had
    UNKNOWN = "late"  # not known to stand within REGISTER_TIMEOUT_S: it may or may not
    ABANDONED = "dropped"  # given up before anything was sent to acceptors


Decision = tuple[str, bytes | None]  # an outcome's text, and the new value or None for no change


class RegisterAndUpdates(Protocol):
    """What `OperatorRequests` takes of the control plane."""

    register: Register
    updates: VersionedStore


def always() -> bool:
    """Let a request proceed at any time."""
    return True


class OperatorRequests:
    """Changes and reads the operator's keys of the register, and publishes what stands as updates."""

    def __init__(self, plane: RegisterAndUpdates) -> None:
        self.plane = plane

    # What stands in the register goes out as updates.

    def publish(self, key: str, value: bytes | None) -> None:
        """Offer a value that stands in the register to the updates; None: the key has none.

        A voter set is adopted by the register instead.
        """
        if value is None:
            return
        if key == CONFIGURATION_KEY:
            history = ConfigurationHistory.of(value)
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
        removed_routes = updates.under(SLICE_KEY_PREFIX).keys() - assignment.keys()
        for name in sorted(removed_routes):
            updates.offer(f"{SLICE_KEY_PREFIX}{name}", number, None)
        changed = [
            (name, ids) for name, ids in assignment.items() if updates.get(f"{SLICE_KEY_PREFIX}{name}") != ids
        ]
        # What shrinks goes first.
        for name, ids in sorted(changed, key=lambda entry: len(entry[1])):
            updates.offer(f"{SLICE_KEY_PREFIX}{name}", number, ids)

    def is_published(self, key: str, value: bytes | None) -> bool:
        """Return whether this controller's updates have a value of the register, or a later one."""
        if value is None:
            return False
        if key == VOTERS_KEY:
            return Voters.from_row(UNPACK(value)).epoch <= self.plane.register.voters.epoch
        if key == CONFIGURATION_KEY:
            number = ConfigurationHistory.of(value).number
        else:
            number = UNPACK(value)[0]
        entry = self.plane.updates.entries.get(key)
        return entry is not None and entry[0] >= number

    # Requests.

    def put(self, number: int, body: bytes, may_proceed: MayProceed = always) -> RequestOutcome:
        """Put a configuration under a number.

        Args:
            number: its version.
            body: the configuration, as the operator wrote it.
            may_proceed: asked right before anything is sent to acceptors, whether it may still be done.
        """
        return self._change(
            CONFIGURATION_KEY, lambda standing: configuration_history.put(standing, number, body), may_proceed
        )

    def get(self) -> tuple[bool, bytes | None]:
        """Read the configuration that stands.

        Returns:
            Whether it is known what stands, and the configuration as it was put, None where there is none.
        """
        is_known, value = self.plane.register.read(CONFIGURATION_KEY, REGISTER_TIMEOUT_S)
        if value is None:
            return is_known, None
        return is_known, ConfigurationHistory.of(value).body

    def evacuate(self, zone: str, is_evacuated: bool, may_proceed: MayProceed = always) -> RequestOutcome:
        """Begin or end the evacuation of a zone: ACCEPTED or REPEATED, UNKNOWN or ABANDONED.

        The request has no number, yet one that was delayed must not act after a later one.  Ballots see to
        that from the prepares on, as a later request's are higher; `may_proceed` is for what comes before,
        while the request lay unread.

        Args:
            zone: its name.
            is_evacuated: whether it is to be evacuated from now on.
            may_proceed: as for `put`.
        """

        def decide(standing: bytes | None) -> Decision:
            number, zones = UNPACK(standing) if standing else (0, {})
            if standing and bool(zones.get(zone)) == is_evacuated:
                return RequestOutcome.REPEATED, None
            return RequestOutcome.ACCEPTED, PACK([number + 1, {**zones, zone: is_evacuated}])

        return self._change(EVACUATION_KEY, decide, may_proceed)

    def _change(
        self, key: str, decide: Callable[[bytes | None], Decision], may_proceed: MayProceed
    ) -> RequestOutcome:
        """Change a key of the register by `decide(standing value)`, and publish what stands then."""
        outcome = RequestOutcome.UNKNOWN
        was_proposed = False

        def step(standing: bytes | None) -> bytes | None:
            nonlocal outcome, was_proposed
            if not may_proceed():
                # What an earlier attempt sent to acceptors may still come to stand.
                outcome = RequestOutcome.UNKNOWN if was_proposed else RequestOutcome.ABANDONED
                return None
            decided, value = decide(standing)
            outcome = RequestOutcome(decided)
            was_proposed = was_proposed or value is not None
            return value

        is_done, value = self.plane.register.change(key, step, REGISTER_TIMEOUT_S)
        if not is_done:
            return RequestOutcome.UNKNOWN
        self.publish(key, value)
        return outcome
