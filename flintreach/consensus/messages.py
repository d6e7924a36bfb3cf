"""Requests and answers of the register between processes: kinds, and rows by named fields.

Kinds, verdicts and field orders stay as earlier releases wrote them: old and new processes work together
while a fleet is exchanged. Each struct is an array on the wire.
"""

from enum import StrEnum
from typing import Any

import msgspec

from flintreach.consensus.acceptor import Ballot, Slot, Verdict
from flintreach.consensus.quorum import VotersRow


class MessageKind(StrEnum):
    """What a request asks for."""

    PREPARE = "prepare"
    ACCEPT = "accept"
    SLOT_BALLOTS = "slots"  # promised and accepted ballots of all keys
    ACCEPTED_BALLOTS = "stamps"  # accepted ballots of all keys
    ACCEPTED_VALUE = "value"  # the value of one key
    VOTERS = "voters"  # tells a configuration, and asks for the receiver's
    DISK_STATUS = "disk"
    SYNC_RECORDS = "sync"  # collect the endpoint records of a quorum


class PrepareRequest(msgspec.Struct, array_like=True, frozen=True):
    """Phase 1 of a proposal."""

    key: str
    ballot: Ballot
    epoch: int


class AcceptRequest(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Phase 2 of a proposal; `incarnation` names the disk that gave its promise."""

    key: str
    ballot: Ballot
    value: bytes | None
    incarnation: str
    epoch: int


class AcceptorAnswer(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What an acceptor answers to prepare and accept."""

    verdict: Verdict
    slot: Slot | None
    incarnation: str


class SlotBallots(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The ballots of one key, without its value."""

    promised: Ballot
    accepted: Ballot


class ValueRequest(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Asks for what a disk has accepted of a key."""

    epoch: int
    key: str


class AcceptedValue(msgspec.Struct, array_like=True, frozen=True):
    """What a disk has accepted of a key."""

    ballot: Ballot
    value: bytes | None


class DiskStatus(msgspec.Struct, array_like=True, frozen=True):
    """What a process tells of its disk.

    Attributes:
        incarnation: the disk.
        caught_up: it doesn't vote, and holds what a quorum holds, under the epoch that stands.
    """

    incarnation: str
    caught_up: bool


class LaterEpoch(msgspec.Struct, array_like=True, frozen=True, tag="newer"):
    """The receiver knows a later epoch than the sender; on the wire ["newer", configuration]."""

    voters: VotersRow


class EarlierEpoch(msgspec.Struct, array_like=True, frozen=True, tag="behind"):
    """The receiver doesn't know the sender's epoch yet; on the wire ["behind"]."""


EpochMismatch = LaterEpoch | EarlierEpoch


def epoch_mismatch(answer: Any) -> EpochMismatch | None:
    """The epoch mismatch that an answer tells of, or None where it is an answer to the request itself."""
    if not isinstance(answer, list) or answer[:1] not in (["newer"], ["behind"]):
        return None
    return msgspec.convert(answer, EpochMismatch)


def acceptor_answer(answer: Any) -> AcceptorAnswer | None:
    """An answer to prepare or accept, or None if it is malformed: one bad answer must not hide the others."""
    try:
        return msgspec.convert(answer, AcceptorAnswer)
    except msgspec.ValidationError:
        return None
