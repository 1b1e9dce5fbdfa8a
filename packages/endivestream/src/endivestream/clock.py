"""The one clock by which leases and silences are counted."""

from __future__ import annotations

import time


def now() -> float:
    """Returns seconds that never go back and that count suspension.

    The monotonic clock stands still while a host is suspended. A lease kept
    by it would still look valid when the host wakes up (symptom: a withdrawn
    key works, or an old configuration is read, seconds after others moved
    on). The boot clock counts that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
