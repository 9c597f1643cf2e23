"""Clock for all timeouts and decisions of an entry."""

import time


def now() -> float:
    """Returns the seconds since boot, including time spent suspended.

    Leases continue to run out while the machine is suspended. The monotonic
    clock does not count that time, and the wall clock can jump.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
