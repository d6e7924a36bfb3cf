"""The last resort when more disks are lost than the deployment was made to bear: one disk stands for all.

What only the lost disks held is gone, and what any other old voter took since is lost when it hears of the
new epoch. So the epoch is raised far above all that those may have decided among themselves, the fact is kept
on the disk, and it is told at each start.
"""

import os
import sqlite3

from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.store import FORMAT, StoreError

FENCE = 1000  # epochs: survivors of the old voters can't have come that far by themselves
CONFIRM = "lose-what-others-hold"


def alone(folder: str, epoch: int, address: Address) -> Voters:
    """Make the disk of a stopped refuge the only voter.  Raises StoreError, which says why not."""
    path = os.path.join(folder, "cairn.db")
    if not os.path.isfile(path):
        raise StoreError(f"{path}: no such file")
    base = sqlite3.connect(path, isolation_level=None, timeout=0.5)
    try:
        for line in ("locking_mode=EXCLUSIVE", "journal_mode=WAL", "synchronous=FULL"):
            base.execute(f"pragma {line}")
        base.execute("begin immediate")  # refused while a refuge has the folder
        facts = dict(base.execute("select name, value from facts"))
        if facts.get("format") != FORMAT:
            raise StoreError(f"{path}: written in format {facts.get('format')}, expected {FORMAT}")
        stands = Voters.kept(facts)
        if stands.epoch != epoch:
            raise StoreError(f"{path}: holds epoch {stands.epoch}, not {epoch}")
        if address not in stands.members():
            raise StoreError(f"{path}: {address[0]}:{address[1]} is no voter of epoch {epoch}")
        if facts.get("voting") != "1" or not stands.lives(address) <= {"", facts["life"]}:
            raise StoreError(f"{path}: this disk came back empty and does not know what the voters held")
        after = Voters(epoch + FENCE, ((address, facts["life"]),))
        told = after.fact() | {"forced": f"epoch {after.epoch} by hand over {epoch}"}
        base.executemany("insert or replace into facts values (?, ?)", told.items())
        base.execute("commit")
        return after
    except sqlite3.Error as error:
        raise StoreError(f"{path}: {error}") from None
    finally:
        base.close()
