"""The clock used for leases and for times without reports."""

from __future__ import annotations

import asyncio
import math
import time


def now() -> float:
    """Returns seconds of a clock that never goes back and counts suspension.

    The monotonic clock stops while a host is suspended. A lease measured by it
    would still appear valid after the host resumes (symptom: a revoked key is
    accepted, or an old configuration is used, seconds after it was replaced on
    other hosts). The boot clock includes that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def loop_time(when: float) -> float | None:
    """Converts a time of the boot clock to a time of the event loop."""
    if math.isinf(when):
        return None
    return asyncio.get_running_loop().time() + (when - now())
