"""Messages of the register between processes.

Kinds, verdicts and the order of fields must stay compatible with earlier releases, because old and new
processes work together during a rolling upgrade. Each struct is encoded as an array.
"""

from enum import StrEnum
from typing import Any

import msgspec

from flintreach.consensus.acceptor import Ballot, Slot, Verdict
from flintreach.consensus.quorum import VotersRow


class MessageKind(StrEnum):
    """Kind of a request."""

    PREPARE = "prepare"
    ACCEPT = "accept"
    SLOT_BALLOTS = "slots"  # read the promised and accepted ballots of all keys
    ACCEPTED_BALLOTS = "stamps"  # read the accepted ballots of all keys
    ACCEPTED_VALUE = "value"  # read the accepted value of one key
    VOTERS = "voters"  # send a configuration, and ask for the receiver's
    DISK_STATUS = "disk"
    SYNC_RECORDS = "sync"  # collect the endpoint records of a quorum
    START_REPORT = "start"  # answered with `interrupted_start.StartReport`


class PrepareRequest(msgspec.Struct, array_like=True, frozen=True):
    """Phase 1 of a proposal."""

    key: str
    ballot: Ballot
    epoch: int


class AcceptRequest(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Phase 2 of a proposal; `incarnation` is that of the disk that promised."""

    key: str
    ballot: Ballot
    value: bytes | None
    incarnation: str
    epoch: int


class AcceptorAnswer(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """An acceptor's answer to prepare or accept."""

    verdict: Verdict
    slot: Slot | None
    incarnation: str


class SlotBallots(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The ballots of one key, without its value."""

    promised: Ballot
    accepted: Ballot


class ValueRequest(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Asks for the value of a key that a disk has accepted."""

    epoch: int
    key: str


class AcceptedValue(msgspec.Struct, array_like=True, frozen=True):
    """The value of a key that a disk has accepted, and its ballot."""

    ballot: Ballot
    value: bytes | None


class DiskStatus(msgspec.Struct, array_like=True, frozen=True):
    """Status of a process's disk.

    Attributes:
        incarnation: the disk's incarnation.
        caught_up: whether it is a non-voter that holds the state of a quorum in the current epoch.
    """

    incarnation: str
    caught_up: bool


class LaterEpoch(msgspec.Struct, array_like=True, frozen=True, tag="newer"):
    """The receiver is in a later epoch than the sender; encoded as ["newer", configuration]."""

    voters: VotersRow


class EarlierEpoch(msgspec.Struct, array_like=True, frozen=True, tag="behind"):
    """The receiver doesn't know the sender's epoch yet; encoded as ["behind"]."""


EpochMismatch = LaterEpoch | EarlierEpoch


def decode_epoch_mismatch(answer: Any) -> EpochMismatch | None:
    """Decode an epoch mismatch; None if the answer is an answer to the request itself."""
    if not isinstance(answer, list) or answer[:1] not in (["newer"], ["behind"]):
        return None
    return msgspec.convert(answer, EpochMismatch)


def decode_acceptor_answer(answer: Any) -> AcceptorAnswer | None:
    """Decode an answer to prepare or accept; None if malformed, so that it doesn't affect other answers."""
    try:
        return msgspec.convert(answer, AcceptorAnswer)
    except msgspec.ValidationError:
        return None
