"""A pytest plugin (`-p tests.young_clock`): the monotonic clock reads as on a freshly booted machine.

The monotonic clock counts from boot (clock_gettime(2), CLOCK_MONOTONIC), so 0 must not stand for "never"
in the time of a last event: shortly after boot it reads as "just now".  Subprocesses started by tests use
the system clock.
"""

import time

UPTIME_S = 2.0  # shorter than every configured duration, so that a time of 0 falls within each of them

system_monotonic_ns = time.monotonic_ns
offset_ns = int(UPTIME_S * 1e9) - system_monotonic_ns()


def monotonic_ns() -> int:
    return system_monotonic_ns() + offset_ns


def monotonic() -> float:
    return monotonic_ns() / 1e9


time.monotonic_ns = monotonic_ns
time.monotonic = monotonic
