"""Settings for the pilot's own metrics: the block `telemetry` of the operator's file."""

from dataclasses import dataclass

from flintreach.pilot.operator_file import address, duration, one_of, size, string, string_map


@dataclass(frozen=True, slots=True)
class Block:
    """The fields of the block; addresses are numeric because host names are not resolved.

    Attributes:
        graphite: Address of the Graphite receiver, if any.
        protocol: Protocol of the receiver.
        prefix: First component of all metric paths.
        tags: Tags that are added to all metrics.
        every: Nanoseconds between two transmissions, in whole seconds.
        spool: Most bytes that wait for the receiver; the oldest batches are dropped beyond it.
        history: Directory for the last hour of metrics; without one they are only kept in memory.
    """

    graphite: str = address()
    protocol: str = one_of("plaintext", "plaintext", "pickle")
    prefix: str = string("flintreach", r"[A-Za-z0-9_.-]*", "letters, digits, _ . -")
    tags: dict = string_map({})
    every: int = duration("10s", "1s", "60s")
    spool: int = size("4MiB", "4KiB", "256MiB")
    history: str = string("")

    def __post_init__(self) -> None:
        """Check that Graphite accepts the tags and that the period is a whole number of seconds."""
        for key, value in self.tags.items():
            if not key or not value or any(sign in key + value for sign in " ;=\n") or value.startswith("~"):
                raise ValueError(f"tags: {key}: expected a text without blanks, ; and =")
        if self.every % 1_000_000_000:
            raise ValueError("every: expected whole seconds")
