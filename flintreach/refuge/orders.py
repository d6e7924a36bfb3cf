"""The operator's orders at a refuge: the configuration and evacuations, as changes of the register."""

import msgspec

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode
ACK_S = 0.85  # callers move on after a second


class Orders:
    def __init__(self, plane):
        self.plane = plane

    def learn(self, key: str, value: bytes | None) -> None:
        """What stands in the register goes out as news."""
        board = self.plane.board
        if value is None:
            return
        if key == "timetable":
            board.offer(key, int(msgspec.json.decode(value)["edition"], 16), value)
        elif key == "evac":
            number, zones = UNPACK(value)
            board.offer(key, number, zones)
        elif key == "map":
            number, tables = UNPACK(value)
            if board.offer(key, number, number):
                for name in sorted(board.under("slice/").keys() - tables.keys()):
                    board.offer(f"slice/{name}", number, None)  # of routes that are no more
                rows = [(name, ids) for name, ids in tables.items() if board.get(f"slice/{name}") != ids]
                for name, ids in sorted(rows, key=lambda row: len(row[1])):  # what shrinks goes first
                    board.offer(f"slice/{name}", number, ids)

    def put(self, number: int, body: bytes) -> bool:
        def step(old):
            if old is not None and int(msgspec.json.decode(old)["edition"], 16) >= number:
                return None
            return body

        done, value = self.plane.register.change("timetable", step, ACK_S)
        if done:
            self.learn("timetable", value)
        return done

    def get(self) -> tuple[bool, bytes | None]:
        return self.plane.register.read("timetable", ACK_S)

    def evacuate(self, zone: str, on: bool) -> bool:
        def step(old):
            number, zones = UNPACK(old) if old else (0, {})
            return None if bool(zones.get(zone)) == on and old else PACK([number + 1, {**zones, zone: on}])

        done, value = self.plane.register.change("evac", step, ACK_S)
        if done:
            self.learn("evac", value)
        return done
