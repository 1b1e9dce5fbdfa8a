"""Software versions that targets of a service have had. Pure."""

from __future__ import annotations

from endivestream.connection import registry as registry_lib
from endivestream.version import software_versions


class SoftwareHistory:
    """When each software version was last seen, by service."""

    def __init__(self) -> None:
        self._last_seen_at: dict[tuple[str, str | None], float] = {}

    def record(
        self, registration: registry_lib.Registration, now: float
    ) -> None:
        """Records the version that a target has reported."""
        key = registration.service, registration.software
        self._last_seen_at[key] = now
        for key, seen_at in list(self._last_seen_at.items()):
            if now - seen_at > software_versions.MEMORY_SECONDS:
                del self._last_seen_at[key]

    @staticmethod
    def covers(seconds: float) -> bool:
        """Returns whether no version seen in so many seconds is forgotten."""
        return seconds <= software_versions.MEMORY_SECONDS

    def versions(self, service: str, since: float) -> tuple[str | None, ...]:
        """Returns the versions of a service that were seen since a time.

        Includes None if a target named no version.
        """
        return tuple(
            software
            for (name, software), seen_at in self._last_seen_at.items()
            if name == service and seen_at >= since
        )
