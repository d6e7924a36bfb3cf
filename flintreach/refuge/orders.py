"""The operator's orders at a refuge: the configuration and evacuations, as changes of the register."""

import msgspec

from flintreach.waymark import timetable
from flintreach.waymark.timetable import Standing

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode
ACK_S = 0.85  # callers move on after a second
LATE = "late"  # not known to stand within that time; it may


class Orders:
    def __init__(self, plane):
        self.plane = plane

    def learn(self, key: str, value: bytes | None) -> None:
        """What stands in the register goes out as news."""
        board = self.plane.board
        if value is None:
            return
        if key == "timetable":
            held = Standing.of(value)
            board.offer(key, held.number, held.body)
        elif key == "evac":
            number, zones = UNPACK(value)
            board.offer(key, number, zones)
        elif key == "map":
            number, tables = UNPACK(value)
            if board.offer(key, number, number):
                rows = [(name, ids) for name, ids in tables.items() if board.get(f"slice/{name}") != ids]
                for name, ids in sorted(rows, key=lambda row: len(row[1])):  # what shrinks goes first
                    board.offer(f"slice/{name}", number, ids)

    def put(self, number: int, body: bytes) -> str:
        """What became of a configuration: a word of `timetable`, or LATE."""
        word = LATE

        def step(old):
            nonlocal word
            word, value = timetable.put(old, number, body)
            return value

        done, value = self.plane.register.change("timetable", step, ACK_S)
        if not done:
            return LATE
        self.learn("timetable", value)
        return word

    def get(self) -> tuple[bool, bytes | None]:
        """Whether it is known what stands, and the configuration as it was put, None where there is none."""
        done, value = self.plane.register.read("timetable", ACK_S)
        return done, Standing.of(value).body if value is not None else None

    def evacuate(self, zone: str, on: bool) -> bool:
        def step(old):
            number, zones = UNPACK(old) if old else (0, {})
            return None if bool(zones.get(zone)) == on and old else PACK([number + 1, {**zones, zone: on}])

        done, value = self.plane.register.change("evac", step, ACK_S)
        if done:
            self.learn("evac", value)
        return done
