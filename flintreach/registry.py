"""Objects by the ids that a protocol gives them; ids stay at the door."""

from flintreach import interface as face


class Registry:
    def __init__(self, settings: face.Settings):
        self.slices = {piece.number: piece for piece in settings.slices}
        self.servers: dict[str, face.Server] = {}
        self.names: dict[face.Server, str] = {}
        self.proxies: dict[int, face.Proxy] = {}

    def server(self, name: str) -> face.Server:
        if name not in self.servers:
            self.servers[name] = face.Server(name)
            self.names[self.servers[name]] = name
        return self.servers[name]

    def proxy(self, number: int) -> face.Proxy:
        return self.proxies.setdefault(number, face.Proxy(number))

    def piece(self, number: int) -> face.Slice:
        return self.slices.setdefault(number, face.Slice(number))
