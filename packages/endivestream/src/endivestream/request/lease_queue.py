"""Queue of requests that wait for this host's configuration lease.

A host that has just started accepts connections before it has found a leader.
Requests that arrive in the meantime are admitted once the host has a valid
configuration lease, while their callers still wait; otherwise they are refused
as not run. A request that would be denied permanently, because its route or
key is unknown, waits until the leader has confirmed the configuration.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import math

from endivestream import clock
from endivestream import findings
from endivestream.request import admission
from endivestream.request import call as call_lib
from endivestream.request import queue_deadlines

# Maximum number of waiting requests and of bytes in their bodies. Without these
# limits memory would grow with every caller during an outage.
_MAX_REQUESTS = 500
_MAX_BYTES = 16 * 1024 * 1024


class LeaseQueue:
    """Queue before admission. One exists for the lifetime of the process."""

    def __init__(
        self,
        *,
        rules: admission.AdmissionInputs,
        wait_for_change: Callable[[float], Awaitable[None]],
        confirm_configuration: Callable[[float], Awaitable[bool]],
    ) -> None:
        """Initializes an empty queue.

        Args:
            rules: Inputs of the admission decision.
            wait_for_change: Waits until a lease, a configuration or targets
                change, at most for the given number of seconds.
            confirm_configuration: Waits until the leader confirms that this
                host has the newest configuration, at most for the given number
                of seconds. Returns whether it was confirmed.
        """
        self._confirm_configuration = confirm_configuration
        self._rules = rules
        self._wait_for_change = wait_for_change
        self._requests = 0
        self._body_bytes = 0

    def __repr__(self) -> str:
        return f"<LeaseQueue of {self._requests}, {self._body_bytes} bytes>"

    async def admit(
        self, call: call_lib.Call
    ) -> admission.AdmittedRequest | findings.Failure:
        """Admits a request, after waiting for the lease if necessary.

        Returns:
            The admitted request, or the reason for its refusal.
        """
        work = admission.admit(call, self._rules)
        if not (_lacks_lease(work) or _is_denial(work)):
            return work
        if not self._has_room(call):
            return admission.no_lease()
        self._requests += 1
        self._body_bytes += len(call.body)
        try:
            work = await self._wait_for_lease(call, work)
            if _is_denial(work):
                work = await self._admit_confirmed(call)
            return work
        finally:
            self._requests -= 1
            self._body_bytes -= len(call.body)

    async def _admit_confirmed(
        self, call: call_lib.Call
    ) -> admission.AdmittedRequest | findings.Failure:
        """Admits a request after the leader confirmed the configuration."""
        until = queue_deadlines.confirmation_deadline(
            arrived_at=call.arrived_at,
            deadline=admission.caller_deadline(call, self._rules.names),
        )
        if not await self._confirm_configuration(until - clock.now()):
            return admission.unconfirmed()
        return admission.admit(call, self._rules)

    def _has_room(self, call: call_lib.Call) -> bool:
        return (
            self._requests < _MAX_REQUESTS
            and self._body_bytes + len(call.body) <= _MAX_BYTES
        )

    async def _wait_for_lease(
        self,
        call: call_lib.Call,
        work: admission.AdmittedRequest | findings.Failure,
    ) -> admission.AdmittedRequest | findings.Failure:
        rules = self._rules
        until = queue_deadlines.lease_wait_deadline(
            arrived_at=call.arrived_at,
            deadline=admission.caller_deadline(call, rules.names),
            fresh=rules.lease_until() == -math.inf,
        )
        while _lacks_lease(work) and (remaining := until - clock.now()) > 0:
            if not rules.can_finish(None):
                return admission.stopping()
            await self._wait_for_change(remaining)
            work = admission.admit(call, rules)
        return work


def _is_denial(work: admission.AdmittedRequest | findings.Failure) -> bool:
    return (
        isinstance(work, findings.Failure)
        and work.status in admission.DENIAL_STATUSES
    )


def _lacks_lease(work: admission.AdmittedRequest | findings.Failure) -> bool:
    return (
        isinstance(work, findings.Failure) and work.reason == admission.NO_LEASE
    )
