"""Requests that wait for this host's lease, or for word of the leader.

A host that has just started listens before it has found a leader. What comes
meanwhile is admitted once there is a configuration that may be acted on, as
long as its caller stays; it is refused as not run otherwise. What would be
denied for good, for want of its route or key, waits until the leader has
confirmed the configuration.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import math

from endivestream import clock
from endivestream import findings
from endivestream.request import admission
from endivestream.request import call as call_lib
from endivestream.request import patience
from endivestream.version import document as document_lib

# Requests that wait, and the bytes of their bodies, at most: beyond, memory
# would grow with every caller of an outage.
_MOST_REQUESTS = 500
_MOST_BYTES = 16 * 1024 * 1024


class LeaseQueue:
    """The queue before admission. Lives as long as the process."""

    def __init__(
        self,
        *,
        rules: admission.Rules,
        changed: Callable[[float], Awaitable[None]],
        confirm: Callable[[float], Awaitable[bool]],
    ) -> None:
        """Holds nothing yet.

        Args:
            rules: What requests are admitted by.
            changed: Waits until a lease, a configuration or targets change,
                for so many seconds at most.
            confirm: Waits until the configuration here surely is the newest,
                for so many seconds at most; whether it is.
        """
        self._confirm = confirm
        self._rules = rules
        self._changed = changed
        self._requests = 0
        self._bytes = 0

    def __repr__(self) -> str:
        return f"<LeaseQueue of {self._requests}, {self._bytes} bytes>"

    async def admit(
        self, call: call_lib.Call
    ) -> admission.Work | findings.Failure:
        """Returns the admitted request, after the lease if that comes in time.

        Returns:
            The request, or why it is refused.
        """
        work = admission.admit(call, self._rules)
        if not (_lacks_lease(work) or _denies(work)):
            return work
        if not self._has_room(call):
            return admission.no_lease()
        self._requests += 1
        self._bytes += len(call.body)
        try:
            work = await self._wait(call, work)
            if _denies(work):
                work = await self._confirmed(call)
            return work
        finally:
            self._requests -= 1
            self._bytes -= len(call.body)

    async def _confirmed(
        self, call: call_lib.Call
    ) -> admission.Work | findings.Failure:
        """Admits by a configuration that surely is the newest."""
        until = patience.until_confirmed(
            came=call.came,
            deadline=admission.caller_deadline(call, self._rules.names),
        )
        if not await self._confirm(until - clock.now()):
            return admission.unconfirmed()
        return admission.admit(call, self._rules)

    def _has_room(self, call: call_lib.Call) -> bool:
        return (
            self._requests < _MOST_REQUESTS
            and self._bytes + len(call.body) <= _MOST_BYTES
        )

    async def _wait(
        self, call: call_lib.Call, work: admission.Work | findings.Failure
    ) -> admission.Work | findings.Failure:
        rules = self._rules
        until = patience.until_lease(
            came=call.came,
            deadline=admission.caller_deadline(call, rules.names),
            fresh=rules.lease_until() == -math.inf,
        )
        while _lacks_lease(work) and (left := until - clock.now()) > 0:
            # Without its route, it may be what takes longest to finish.
            if not rules.takes(document_lib.Kind.STREAM):
                return admission.stopping()
            await self._changed(left)
            work = admission.admit(call, rules)
        return work


def _denies(work: admission.Work | findings.Failure) -> bool:
    return (
        isinstance(work, findings.Failure) and work.status in admission.DENIALS
    )


def _lacks_lease(work: admission.Work | findings.Failure) -> bool:
    return (
        isinstance(work, findings.Failure) and work.reason == admission.NO_LEASE
    )
