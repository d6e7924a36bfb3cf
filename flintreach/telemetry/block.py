"""What the operator sets of the pilot's own figures: the block `telemetry`."""

from dataclasses import dataclass

from flintreach.pilot.operator_file import address, duration, one_of, size, string, string_map


@dataclass(frozen=True, slots=True)
class Block:
    """Addresses are numeric: names are not looked up."""

    graphite: str = address()
    protocol: str = one_of("plaintext", "plaintext", "pickle")
    prefix: str = string("flintreach", r"[A-Za-z0-9_.-]*", "letters, digits, _ . -")
    tags: dict = string_map({})
    every: int = duration("10s", "1s", "60s")  # between two sendings, on whole seconds
    spool: int = size("4MiB", "4KiB", "256MiB")  # of what waits for a receiver; the oldest is dropped
    history: str = string("")  # a directory for the last hour; without one it is held in memory

    def __post_init__(self) -> None:
        for key, value in self.tags.items():
            if not key or not value or any(sign in key + value for sign in " ;=\n") or value.startswith("~"):
                raise ValueError(f"tags: {key}: expected a text without blanks, ; and =")
        if self.every % 1_000_000_000:
            raise ValueError("every: expected whole seconds")
