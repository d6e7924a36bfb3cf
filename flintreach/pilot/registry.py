"""Objects of the decisions by the ids that a protocol gives them; the decisions see no ids."""

import zlib
from weakref import WeakKeyDictionary, WeakValueDictionary

from flintreach.pilot import interface


class Registry:
    """Servers, slices and proxies, each made when it is first named."""

    def __init__(self, settings: interface.Settings) -> None:
        """Begin with the slices of the settings."""
        self.slices = {slice_.number: slice_ for slice_ in settings.slices}
        # Servers come under new ids all day: one that nobody refers to any more is forgotten.
        self.servers: WeakValueDictionary[str, interface.Server] = WeakValueDictionary()
        self.names: WeakKeyDictionary[interface.Server, str] = WeakKeyDictionary()
        self.proxies: dict[int, interface.Proxy] = {}
        self.servers_created = 0  # servers ever named

    def server(self, name: str) -> interface.Server:
        """Give the server of a name; its `name_hash` is drawn from the name, the same at every pilot."""
        server = self.servers.get(name)
        if server is None:
            server = interface.Server(name, name_hash=zlib.crc32(name.encode()))
            self.servers[name] = server
            self.names[server] = name
            self.servers_created += 1
        return server

    @staticmethod
    def weak_server_table() -> WeakValueDictionary[int, interface.Server]:
        """Make an empty table of servers by numbers of the caller's own; it keeps none of them alive."""
        return WeakValueDictionary()

    def proxy(self, number: int) -> interface.Proxy:
        """Give the proxy of a number."""
        return self.proxies.setdefault(number, interface.Proxy(number))

    def slice(self, number: int) -> interface.Slice:
        """Give the slice of a number."""
        return self.slices.setdefault(number, interface.Slice(number))
