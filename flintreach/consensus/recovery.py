"""The last resort when more disks are lost than the deployment was made to bear: one disk stands for all.

What only the lost disks held is gone, and what any other old voter took since is lost when it hears of the
new epoch. So the epoch is raised far above all that those may have decided among themselves, the fact is
written to the disk, and it is logged at each start.
"""

import os
import sqlite3

from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.store import (
    FILE_NAME,
    FORCED_FACT,
    INCARNATION_FACT,
    PUT_FACT,
    SELECT_FACTS,
    VOTING_FACT,
    YES,
    StoreError,
    check_format,
)

EPOCHS_SKIPPED = 1000  # survivors of the old voters can't have come that far by themselves
CONFIRMATION_PHRASE = "lose-what-others-hold"  # what an operator types to confirm
LOCK_TIMEOUT_S = 0.5


def check_disk(path: str, facts: dict[str, str], epoch: int, address: Address) -> None:
    """Refuse a disk that can't stand for all.

    Args:
        path: of the database, for the error.
        facts: of the disk.
        epoch: the epoch that the operator gives up.
        address: of the disk's process.

    Raises:
        StoreError: the disk is of another format, of another epoch, or doesn't know what the voters held.
    """
    check_format(path, facts)
    voters = Voters.from_facts(facts)
    if voters.epoch != epoch:
        raise StoreError(f"{path}: holds epoch {voters.epoch}, not {epoch}")
    if address not in voters.members():
        raise StoreError(f"{path}: {address[0]}:{address[1]} is no voter of epoch {epoch}")
    is_recorded = voters.incarnations(address) <= {"", facts[INCARNATION_FACT]}
    if facts.get(VOTING_FACT) != YES or not is_recorded:
        raise StoreError(f"{path}: this disk came back empty and does not know what the voters held")


def force_single_voter(folder: str, epoch: int, address: Address) -> Voters:
    """Make the disk of a stopped controller the only voter.

    Args:
        folder: of the disk.
        epoch: the epoch that is given up: the one that the disk holds.
        address: of the controller, as the voters have it.

    Returns:
        The configuration that stands now.

    Raises:
        StoreError: the disk can't stand for all, or a controller runs on it; its text says why.
    """
    path = os.path.join(folder, FILE_NAME)
    if not os.path.isfile(path):
        raise StoreError(f"{path}: no such file")
    base = sqlite3.connect(path, isolation_level=None, timeout=LOCK_TIMEOUT_S)
    try:
        for pragma in ("locking_mode=EXCLUSIVE", "journal_mode=WAL", "synchronous=FULL"):
            base.execute(f"pragma {pragma}")
        base.execute("begin immediate")  # refused while a controller has the folder
        facts = dict(base.execute(SELECT_FACTS))
        check_disk(path, facts, epoch, address)
        voters = Voters(epoch + EPOCHS_SKIPPED, ((address, facts[INCARNATION_FACT]),))
        forced = {FORCED_FACT: f"epoch {voters.epoch} by hand over {epoch}"}
        base.executemany(PUT_FACT, (voters.to_facts() | forced).items())
        base.execute("commit")
        return voters
    except sqlite3.Error as error:
        raise StoreError(f"{path}: {error}") from None
    finally:
        base.close()
