"""Settings of the C library's memory allocator, so that freed bodies go back to the system."""

from __future__ import annotations

import ctypes
from typing import Final

from absl import logging

# Parameters of `mallopt` in glibc.
M_MMAP_THRESHOLD: Final = -3
M_ARENA_MAX: Final = -8
# Larger blocks are mapped on their own. By default glibc raises this up to 32 MiB once a larger
# block was freed; then bodies leave gaps in the heaps of the threads.
MMAP_THRESHOLD_BYTES: Final = 131_072
# Threads hold the interpreter lock while they allocate, so more arenas only add gaps.
ARENA_COUNT: Final = 2


def configure() -> None:
    """Set the parameters; call it before threads are started."""
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError) as error:
        logging.info("the allocator keeps its defaults: %s", error)
        return
    for parameter, value in (
        (M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES),
        (M_ARENA_MAX, ARENA_COUNT),
    ):
        if not set_option(parameter, value):
            logging.warning("the allocator refused parameter %d = %d", parameter, value)
