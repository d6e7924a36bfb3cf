"""What the operator sets of others' figures: the block `evidence`."""

from dataclasses import dataclass

from flintreach.pilot.operator_file import address, integer, one_of, string, string_map


@dataclass(frozen=True, slots=True)
class Block:
    """Addresses are numeric: names are not looked up."""

    listen: str = address()  # for datagrams
    lines: str = address()  # for Graphite lines
    keys: str = string("")  # collectd's file of users and passwords, read again when it changes
    accept: str = one_of("signed", "signed", "any")  # of datagrams; lines need "any"
    hosts: dict = string_map({})  # collectd's name of a host, to the list's of its server
    packets: int = integer(1000, 1, 1_000_000)  # a second from one address; what is more is dropped unread
    interval: int = integer(10, 1, 600)  # seconds between lines of one series: lines do not tell it

    def __post_init__(self) -> None:
        if not self.listen and not self.lines:
            raise ValueError("listen: expected an address here or in lines")
        if self.lines and self.accept != "any":
            raise ValueError('lines: expected accept = "any", since lines carry no signature')
        if self.accept == "signed" and not self.keys:
            raise ValueError("keys: expected a file, since only signed datagrams are accepted")
