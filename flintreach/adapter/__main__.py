"""Answers the simulator's batches from standard input on standard output, until the input ends."""

import io
import sys
import traceback

from flintreach.adapter import wire
from flintreach.adapter.host import Host
from flintreach.pilot.logic import Pilot


def print_error(text: str) -> None:
    """Print a line to standard error."""
    print(text, file=sys.stderr, flush=True)


def main() -> int:
    """Serve the input; returns the exit status, 1 where a line is malformed."""
    source = io.TextIOWrapper(sys.stdin.buffer, encoding="utf-8", newline="\n")
    sink = io.TextIOWrapper(sys.stdout.buffer, encoding="utf-8", newline="\n")
    host = Host(Pilot, print_error)
    try:
        for batch in wire.batches(source):
            for line in host.reply(batch, traceback.format_exc):
                sink.write(line + "\n")
            sink.write("ACK\n")
            sink.flush()
    except wire.WireError as error:
        print_error(f"flintreach: {error}")
        return 1
    except UnicodeDecodeError as error:
        print_error(f"flintreach: the input is not UTF-8: {error.reason}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
