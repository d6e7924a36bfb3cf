"""Disaster recovery when more disks are lost than the deployment tolerates: one disk becomes the only voter.

Data that only the lost disks held is lost. Changes accepted by other old voters since then are lost as soon
as they learn of the new epoch. The new epoch is therefore far above any that they may have decided among
themselves, and the forced recovery is recorded on the disk and logged at every start.
"""

import os
import sqlite3

from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.store import (
    FILE_NAME,
    FORCED_FACT,
    INCARNATION_FACT,
    SELECT_FACTS,
    UPSERT_FACT,
    VOTING_FACT,
    YES,
    StoreError,
    check_format,
)

FORCED_EPOCH_STEP = 1000  # more epochs than surviving old voters could have decided by themselves
CONFIRMATION_PHRASE = "lose-what-others-hold"  # the operator has to type this
LOCK_TIMEOUT_S = 0.5


def check_disk(path: str, facts: dict[str, str], epoch: int, address: Address) -> None:
    """Check that a disk can become the only voter.

    Args:
        path: path of the database, for error messages.
        facts: facts stored on the disk.
        epoch: the epoch that the operator gives up.
        address: address of the disk's process.

    Raises:
        StoreError: the disk has another format or epoch, is not a voter's, or was wiped and not recovered.
    """
    check_format(path, facts)
    voters = Voters.from_facts(facts)
    if voters.epoch != epoch:
        raise StoreError(f"{path}: holds epoch {voters.epoch}, not {epoch}")
    if address not in voters.members():
        raise StoreError(f"{path}: {address[0]}:{address[1]} is not a voter of epoch {epoch}")
    is_recorded = voters.incarnations(address) <= {"", facts[INCARNATION_FACT]}
    if facts.get(VOTING_FACT) != YES or not is_recorded:
        raise StoreError(f"{path}: disk came back empty and has not recovered the state of the voters")


def force_single_voter(folder: str, epoch: int, address: Address) -> Voters:
    """Make the disk of a stopped controller the only voter.

    Args:
        folder: folder of the disk.
        epoch: the epoch to give up, which must be the one on the disk.
        address: the controller's address, as recorded in the configuration.

    Returns:
        The new configuration.

    Raises:
        StoreError: the disk can't become the only voter, or a controller is running on it.
    """
    path = os.path.join(folder, FILE_NAME)
    if not os.path.isfile(path):
        raise StoreError(f"{path}: no such file")
    connection = sqlite3.connect(path, isolation_level=None, timeout=LOCK_TIMEOUT_S)
    try:
        for pragma in ("locking_mode=EXCLUSIVE", "journal_mode=WAL", "synchronous=FULL"):
            connection.execute(f"pragma {pragma}")
        connection.execute("begin immediate")  # fails while a controller holds the lock
        facts = dict(connection.execute(SELECT_FACTS))
        check_disk(path, facts, epoch, address)
        voters = Voters(epoch + FORCED_EPOCH_STEP, ((address, facts[INCARNATION_FACT]),))
        forced = {FORCED_FACT: f"epoch {voters.epoch} by hand over {epoch}"}
        connection.executemany(UPSERT_FACT, (voters.to_facts() | forced).items())
        connection.execute("commit")
        return voters
    except sqlite3.Error as error:
        raise StoreError(f"{path}: {error}") from None
    finally:
        connection.close()
