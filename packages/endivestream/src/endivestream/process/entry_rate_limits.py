"""Limits of targets on one entry host."""

from __future__ import annotations

from endivestream import clock
from endivestream import logs
from endivestream.connection import registry as registry_lib
from endivestream.request import rate_limits as rate_limits_lib


class EntryRateLimits:
    """What this host knows of targets' limits. Lives with the process."""

    def __init__(self) -> None:
        self._limits = rate_limits_lib.RateLimits()

    @property
    def limits(self) -> rate_limits_lib.RateLimits:
        """The limits that are known."""
        return self._limits

    def heard(self, said: registry_lib.Registration, text: str | None) -> None:
        """Takes in what an answer of a target says.

        Args:
            said: The target.
            text: The limit that the answer names; None if it names none.
        """
        rate = None
        if text is not None:
            rate = rate_limits_lib.parse(text)
            if rate is None:
                # Its author meant some limit, so the last one stays.
                logs.warn("rate_limit_unreadable", target=said.name, text=text)
                return
        now = clock.now()
        if self._limits.heard(said.name, said.born, rate, now):
            logs.event(
                "rate_limit",
                target=said.name,
                rate="none" if rate is None else rate,
                told_by="target",
            )
