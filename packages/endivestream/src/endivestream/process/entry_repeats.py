"""Repeat budgets of one entry host, and requests for the leader's repeats."""

from __future__ import annotations

from endivestream import clock
from endivestream import limit_messages
from endivestream.connection import watch as watch_lib
from endivestream.process import site_settings
from endivestream.request import repeats as repeats_lib

# Limits how long a failed request waits for the leader to grant a repeat. The
# leader normally answers within milliseconds.
_TIMEOUT_SECONDS = 0.1
# After a repeat was not granted, no further request for the service is sent
# for this long. Otherwise every failed request would send one when all targets
# fail.
_BACKOFF_SECONDS = 0.5


class EntryRepeats:
    """Repeat budgets by service, created once when the process starts."""

    def __init__(
        self, *, bounds: site_settings.Bounds, watch: watch_lib.LeaderSession
    ) -> None:
        self._bounds = bounds
        # Budgets count their first window from here, not from their first
        # request: an earlier process of this host spent no repeats after this.
        self._started = clock.now()
        self._watch = watch
        self._hosts = 1
        self._budgets: dict[str, repeats_lib.RepeatBudget] = {}
        self._backoff_until: dict[str, float] = {}

    def set_hosts(self, hosts: int) -> None:
        """Sets how many entry hosts share the budgets."""
        self._hosts = hosts
        for budget in self._budgets.values():
            budget.set_hosts(hosts)

    def budget(self, service: str) -> repeats_lib.RepeatBudget:
        """Returns this host's budget for a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = repeats_lib.RepeatBudget(
                ratio=self._bounds.repeat_ratio,
                window=self._bounds.repeat_window,
                slack=self._bounds.repeat_slack,
                now=self._started,
            )
            budget.set_hosts(self._hosts)
            self._budgets[service] = budget
        return budget

    async def request(self, service: str) -> bool:
        """Requests a repeat from the leader; returns whether it was granted."""
        if self._backoff_until.get(service, 0.0) > clock.now():
            return False
        answer = await self._watch.request(
            limit_messages.AskRepeat(service=service), seconds=_TIMEOUT_SECONDS
        )
        granted = (
            isinstance(answer, limit_messages.GiveRepeat) and answer.granted
        )
        if not granted:
            self._backoff_until[service] = clock.now() + _BACKOFF_SECONDS
        return granted
