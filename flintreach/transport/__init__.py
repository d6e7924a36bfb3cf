"""Messages between processes over TCP: msgpack, each behind four bytes of length."""
