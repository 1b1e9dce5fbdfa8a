"""Measures what this process uses of the resources of its host."""

from __future__ import annotations

from collections.abc import Callable
import os
import pathlib
import time

from endivestream.process import site_settings
from endivestream.process.entry_host import share_factor

_MEGABYTE = 1_000_000
_BITS_PER_MEGABIT = 1_000_000


class UsageMeter:
    """Reads the usage since the previous reading."""

    def __init__(
        self,
        *,
        resources: site_settings.HostResources,
        running: Callable[[], int],
        passed_bytes: Callable[[], int],
        now: float,
    ) -> None:
        """Starts at the present counts.

        Args:
            resources: What the host has.
            running: Returns the number of requests in progress.
            passed_bytes: Returns the bytes of requests and answers so far.
                Each passes the link once in each direction: between caller and
                host, and between host and target.
            now: The time.
        """
        self._resources = resources
        self._running = running
        self._passed_bytes = passed_bytes
        self._measured_at = now
        self._processor_seconds = time.process_time()
        self._bytes_before = passed_bytes()

    def measure(self, now: float) -> share_factor.HostUsage:
        """Returns the usage now, and since the last call of the rates."""
        seconds = max(1e-3, now - self._measured_at)
        processor_seconds = time.process_time()
        passed_bytes = self._passed_bytes()
        processor = (processor_seconds - self._processor_seconds) / seconds
        megabits = (
            8 * (passed_bytes - self._bytes_before) / _BITS_PER_MEGABIT
        ) / seconds
        self._measured_at = now
        self._processor_seconds = processor_seconds
        self._bytes_before = passed_bytes
        resources = self._resources
        return share_factor.HostUsage(
            processor=_part(processor, resources.cores),
            memory=_part(_resident_megabytes(), resources.memory_mb),
            descriptors=_part(_open_descriptors(), resources.descriptors),
            link=_part(megabits, resources.link_mbps),
            streams=self._running(),
        )


def _part(used: float, available: float) -> float:
    return used / available if available > 0 else 0.0


def _resident_megabytes() -> float:
    """Returns the resident memory; 0 where the system does not tell."""
    try:
        pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    except OSError:
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / _MEGABYTE


def _open_descriptors() -> int:
    """Returns the open descriptors; 0 where the system does not tell."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 0
