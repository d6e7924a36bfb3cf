"""Memory and descriptors that this process uses, as the kernel tells (proc(5))."""

import os

STATM_PATH = "/proc/self/statm"
DESCRIPTORS_PATH = "/proc/self/fd"
RESIDENT_FIELD = 1  # index in `statm`, in pages


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes; 0 if it can't be read."""
    try:
        with open(STATM_PATH, encoding="ascii") as file:
            pages = int(file.read().split()[RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


def open_descriptors() -> int:
    """Return the number of descriptors that this process has open; 0 if it can't be read."""
    try:
        return len(os.listdir(DESCRIPTORS_PATH))
    except OSError:
        return 0
