"""Objects of the decisions by the ids that a protocol gives them; the decisions see no ids."""

import zlib
from weakref import WeakKeyDictionary, WeakValueDictionary

from flintreach.pilot import interface as face


class Registry:
    """Servers, slices and proxies, each made when it is first named."""

    def __init__(self, settings: face.Settings) -> None:
        """Begin with the slices of the settings."""
        self.slices = {slice_.number: slice_ for slice_ in settings.slices}
        # Servers come under new ids all day: one that nobody refers to any more is forgotten.
        self.servers: WeakValueDictionary[str, face.Server] = WeakValueDictionary()
        self.names: WeakKeyDictionary[face.Server, str] = WeakKeyDictionary()
        self.proxies: dict[int, face.Proxy] = {}
        self.made = 0  # servers ever named

    def server(self, name: str) -> face.Server:
        """Give the server of a name; its `lot` is drawn from the name, so it is the same at every pilot."""
        server = self.servers.get(name)
        if server is None:
            server = face.Server(name, lot=zlib.crc32(name.encode()))
            self.servers[name] = server
            self.names[server] = name
            self.made += 1
        return server

    @staticmethod
    def named() -> WeakValueDictionary[int, face.Server]:
        """Make an empty table of servers by numbers of the caller's own; it keeps none of them alive."""
        return WeakValueDictionary()

    def proxy(self, number: int) -> face.Proxy:
        """Give the proxy of a number."""
        return self.proxies.setdefault(number, face.Proxy(number))

    def piece(self, number: int) -> face.Slice:
        """Give the slice of a number."""
        return self.slices.setdefault(number, face.Slice(number))
