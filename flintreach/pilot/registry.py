"""Objects by the ids that a protocol gives them; ids stay at the door."""

import zlib
from weakref import WeakKeyDictionary, WeakValueDictionary

from flintreach.pilot import interface as face


class Registry:
    def __init__(self, settings: face.Settings):
        self.slices = {piece.number: piece for piece in settings.slices}
        # Servers come under new ids all day: one that nobody holds any more is forgotten.
        self.servers: WeakValueDictionary[str, face.Server] = WeakValueDictionary()
        self.names: WeakKeyDictionary[face.Server, str] = WeakKeyDictionary()
        self.proxies: dict[int, face.Proxy] = {}
        self.made = 0  # servers ever named

    def server(self, name: str) -> face.Server:
        server = self.servers.get(name)
        if server is None:
            server = self.servers[name] = face.Server(name, lot=zlib.crc32(name.encode()))
            self.names[server] = name
            self.made += 1
        return server

    @staticmethod
    def named() -> WeakValueDictionary[int, face.Server]:
        """Servers by a number of one's own; held by nobody for it."""
        return WeakValueDictionary()

    def proxy(self, number: int) -> face.Proxy:
        return self.proxies.setdefault(number, face.Proxy(number))

    def piece(self, number: int) -> face.Slice:
        return self.slices.setdefault(number, face.Slice(number))
