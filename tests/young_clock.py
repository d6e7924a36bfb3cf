"""A pytest plugin (`-p tests.young_clock`): the steady clock reads as on a machine that has just started.

A steady clock counts from the start of its machine (clock_gettime(2), CLOCK_MONOTONIC), so a time at which
something last happened must not be 0 for "never": on a young machine that reads as "just now".  Processes
that tests start have the machine's own clock.
"""

import time

START_S = 2.0  # below every duration of the rules, so that "0" lies within each of them

machine_ns = time.monotonic_ns
offset_ns = int(START_S * 1e9) - machine_ns()


def monotonic_ns() -> int:
    """Nanoseconds of the young machine's steady clock."""
    return machine_ns() + offset_ns


def monotonic() -> float:
    """Seconds of the young machine's steady clock."""
    return monotonic_ns() / 1e9


time.monotonic_ns = monotonic_ns
time.monotonic = monotonic
