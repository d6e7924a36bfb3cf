"""Length-prefixed MessagePack messages between processes over TCP."""
