"""The operator's orders at a refuge: the configuration and evacuations, as changes of the register."""

from collections.abc import Callable

import msgspec

from flintreach.config import configuration_history
from flintreach.config.configuration_history import ConfigurationHistory, PutOutcome
from flintreach.consensus.quorum import Voters

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode
ACK_S = 0.85  # callers move on after a second
LATE, DROPPED = "late", "dropped"  # not known to stand within that time; not begun, or given up
YES = lambda: True  # noqa: E731


class OperatorRequests:
    def __init__(self, plane):
        self.plane = plane

    def learn(self, key: str, value: bytes | None) -> None:
        """What stands in the register goes out as news."""
        updates = self.plane.updates
        if value is None:
            return
        if key == "timetable":
            held = ConfigurationHistory.of(value)
            updates.offer(key, held.number, held.body)
        elif key == "evac":
            number, zones = UNPACK(value)
            updates.offer(key, number, zones)
        elif key == "voters":
            self.plane.register.adopt(Voters.of(UNPACK(value)))
        elif key == "map":
            number, tables = UNPACK(value)
            if updates.offer(key, number, number):
                for name in sorted(updates.under("slice/").keys() - tables.keys()):
                    updates.offer(f"slice/{name}", number, None)  # of routes that are no more
                rows = [(name, ids) for name, ids in tables.items() if updates.get(f"slice/{name}") != ids]
                for name, ids in sorted(rows, key=lambda row: len(row[1])):  # what shrinks goes first
                    updates.offer(f"slice/{name}", number, ids)

    def holds(self, key: str, value: bytes | None) -> bool:
        """Whether this refuge's news have a value of the register, or a later one."""
        if value is None:
            return False
        if key == "voters":
            return Voters.of(UNPACK(value)).epoch <= self.plane.register.voters.epoch
        number = ConfigurationHistory.of(value).number if key == "timetable" else UNPACK(value)[0]
        held = self.plane.updates.entries.get(key)
        return held is not None and held[0] >= number

    def put(self, number: int, body: bytes, still: Callable[[], bool] = YES) -> str:
        """What became of a configuration: a `PutOutcome`, LATE or DROPPED.

        `still()`: asked right before anything is told to acceptors, whether it may yet be done.
        """
        return self.change("timetable", lambda old: configuration_history.put(old, number, body), still)

    def change(self, key: str, made: Callable, still: Callable[[], bool]) -> str:
        """`made(old)`: (what becomes of the order, the new value or None), as it is changed in the end."""
        word, begun = LATE, False

        def step(old):
            nonlocal word, begun
            if still():
                word, value = made(old)
                begun = begun or value is not None
            else:  # what an attempt before this one told to acceptors may come to stand
                word, value = LATE if begun else DROPPED, None
            return value

        done, value = self.plane.register.change(key, step, ACK_S)
        if not done:
            return LATE
        self.learn(key, value)
        return word

    def get(self) -> tuple[bool, bytes | None]:
        """Whether it is known what stands, and the configuration as it was put, None where there is none."""
        done, value = self.plane.register.read("timetable", ACK_S)
        return done, ConfigurationHistory.of(value).body if value is not None else None

    def evacuate(self, zone: str, on: bool, still: Callable[[], bool] = YES) -> str:
        """ACCEPTED or REPEATED, LATE or DROPPED.

        The order has no number: one that was delayed must not act after a later one.  Ballots see to it from
        the prepares on, as a later order's are higher; `still` is for what comes before, while it lay unread.
        """

        def made(old):
            number, zones = UNPACK(old) if old else (0, {})
            if old and bool(zones.get(zone)) == on:
                return PutOutcome.REPEATED, None
            return PutOutcome.ACCEPTED, PACK([number + 1, {**zones, zone: on}])

        return self.change("evac", made, still)
