"""Settings for host loads from collectd: the block `evidence` of the operator's file."""

from dataclasses import dataclass

from flintreach.pilot.operator_file import address, integer, one_of, string, string_map


@dataclass(frozen=True, slots=True)
class Block:
    """The fields of the block; addresses are numeric because host names are not resolved.

    Attributes:
        listen: UDP address for datagrams of collectd's network plugin.
        lines: TCP address for lines of collectd's `write_graphite` plugin.
        keys: collectd's file of users and passwords; it is reloaded when it changes.
        accept: Which datagrams are accepted. Graphite lines need `any`.
        hosts: Maps collectd's host names to the names of the servers that run on them.
        packets: Datagrams accepted per second and source address; the excess is dropped before parsing.
        interval: Seconds between the lines of one series, since Graphite lines do not state it.
    """

    listen: str = address()
    lines: str = address()
    keys: str = string("")
    accept: str = one_of("signed", "signed", "any")
    hosts: dict = string_map({})
    packets: int = integer(1000, 1, 1_000_000)
    interval: int = integer(10, 1, 600)

    def __post_init__(self) -> None:
        """Check the fields against each other."""
        if not self.listen and not self.lines:
            raise ValueError("listen: expected an address here or in lines")
        if self.lines and self.accept != "any":
            raise ValueError('lines: expected accept = "any", since lines carry no signature')
        if self.accept == "signed" and not self.keys:
            raise ValueError("keys: expected a file, since only signed datagrams are accepted")
