"""Standard input to standard output, until the input ends."""

import io
import sys
import traceback

from flintreach.adapter import wire
from flintreach.adapter.host import Host
from flintreach.pilot.logic import Pilot


def complain(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def main() -> int:
    source = io.TextIOWrapper(sys.stdin.buffer, encoding="utf-8", newline="\n")
    sink = io.TextIOWrapper(sys.stdout.buffer, encoding="utf-8", newline="\n")
    host = Host(Pilot, complain)
    try:
        for batch in wire.batches(source):
            for line in host.reply(batch, traceback.format_exc):
                sink.write(line + "\n")
            sink.write("ACK\n")
            sink.flush()
    except wire.WireError as error:
        complain(f"flintreach: {error}")
        return 1
    except UnicodeDecodeError as error:
        complain(f"flintreach: the input is not UTF-8: {error.reason}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
