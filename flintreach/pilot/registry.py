"""Objects of the decisions by the ids that a protocol uses for them; the decisions see no ids."""

import zlib
from weakref import WeakKeyDictionary, WeakValueDictionary

from flintreach.pilot import interface


class Registry:
    """Servers, slices and proxies, each created when it is first named."""

    def __init__(self, settings: interface.Settings) -> None:
        """Create a registry with the slices of the settings."""
        self.slices = {slice_.number: slice_ for slice_ in settings.slices}
        # Servers come and go under new ids, so one that is no longer referred to must not be kept alive here.
        self.servers: WeakValueDictionary[str, interface.Server] = WeakValueDictionary()
        self.names: WeakKeyDictionary[interface.Server, str] = WeakKeyDictionary()
        self.proxies: dict[int, interface.Proxy] = {}
        self.servers_created = 0

    def server(self, name: str) -> interface.Server:
        """Get a server by its name, from which its `name_hash` is computed, the same at every pilot."""
        server = self.servers.get(name)
        if server is None:
            server = interface.Server(name, name_hash=zlib.crc32(name.encode()))
            self.servers[name] = server
            self.names[server] = name
            self.servers_created += 1
        return server

    @staticmethod
    def weak_server_table() -> WeakValueDictionary[int, interface.Server]:
        """Create an empty table of servers by numbers of the caller's, which keeps no server alive."""
        return WeakValueDictionary()

    def proxy(self, number: int) -> interface.Proxy:
        """Get a proxy by its number."""
        return self.proxies.setdefault(number, interface.Proxy(number))

    def slice(self, number: int) -> interface.Slice:
        """Get a slice by its number."""
        return self.slices.setdefault(number, interface.Slice(number))
