"""Limits on the time that a request waits in a queue. Does no I/O.

The limits are designed for these situations:

- All hosts lose power at the same time. Entry hosts accept connections again
  before the control hosts have elected a leader. A caller that is refused in
  the meantime retries within the same second, is refused again and gives up. A
  caller that is queued for that second is served.
- Demand shifts to models that no target has loaded. Loading a model takes
  several times the latency objective. Callers that would disconnect before the
  load ends are refused immediately with a retry time. The others wait and are
  answered late instead of never.
- A model that dozens of requests wait for has been loaded. Prompts sent to its
  engine simultaneously would pause every stream there until they are
  processed, so these requests wait for prefill turns too, within the limit for
  waiting for a target.

A refused caller needs time for a retry, so no request waits until its
deadline.
"""

from __future__ import annotations

import math

from endivestream.version import document as document_lib

# Share of the time until the deadline that may pass before the request is sent
# to a target. The rest is for the answer, or for a retry.
_TARGET_WAIT_SHARE = 0.7
# The same for waiting for a lease. It is unknown whether a lease will be
# granted, so half of the time is left for a retry at another host.
_LEASE_WAIT_SHARE = 0.5
# Callers of streams disconnect when they receive no event for the maximum of
# these: seconds, multiples of the latency objective, and multiples of the
# objective for the gap between events.
_SILENCE_SECONDS = 2.0
_SILENCE_OBJECTIVES = 4.0
_SILENCE_GAPS = 8.0
# An answer is ended if its caller takes nothing of it for a multiple of the
# time for which callers wait for the next event. A caller whose network has
# failed for a moment can take the rest.
_UNREAD_SILENCES = 3.0
_MIN_UNREAD_SECONDS = 5.0
# Share of that time that may pass before the request is sent to a target. The
# rest is left for processing the prompt.
_SILENCE_WAIT_SHARE = 0.85
# Latest prefill turn of a request that can still meet its objective, as a share
# of the objective. The rest is left for processing the prompt.
_TURN_OBJECTIVE_SHARE = 0.6
# Callers that are refused until the same moment return over this share of the
# time until then, at most over this time.
_RETRY_SPREAD_SHARE = 0.25
_MAX_RETRY_SPREAD_SECONDS = 2.0
# Its multiples are evenly distributed modulo 1.
_GOLDEN_RATIO = (math.sqrt(5) - 1) / 2
# Maximum wait for a leader to confirm the configuration. A leader confirms it
# within milliseconds; otherwise an election is in progress.
_CONFIRMATION_SECONDS = 0.5
# Maximum wait of a host whose lease has expired. Either its process was frozen
# and renews the lease immediately, or the host is unreachable and callers are
# served better by another host.
_LEASE_RENEWAL_SECONDS = 0.25


def lease_wait_deadline(
    *, arrived_at: float, deadline: float, fresh: bool
) -> float:
    """Returns the time until which a request waits for this host's lease.

    The route is unknown without a lease, so the request may be a stream with
    the shortest allowed silence.

    Args:
        arrived_at: Time at which the request was read, in seconds.
        deadline: Deadline of the caller, in seconds.
        fresh: Whether this process has never had a lease. If it started
            together with all others, it finds a leader within the time of an
            election.
    """
    max_wait = (
        _SILENCE_WAIT_SHARE * _SILENCE_SECONDS
        if fresh
        else _LEASE_RENEWAL_SECONDS
    )
    return arrived_at + min(
        max_wait, _LEASE_WAIT_SHARE * max(0.0, deadline - arrived_at)
    )


def confirmation_deadline(*, arrived_at: float, deadline: float) -> float:
    """Returns the time until which a request waits for the leader.

    The leader confirms that this host has the newest configuration.

    Args:
        arrived_at: Time at which the request was read, in seconds.
        deadline: Deadline of the caller, in seconds.
    """
    max_wait = _LEASE_WAIT_SHARE * max(0.0, deadline - arrived_at)
    return arrived_at + min(_CONFIRMATION_SECONDS, max_wait)


def target_wait_deadline(
    *,
    route: document_lib.Route,
    arrived_at: float,
    last_sent_at: float,
    deadline: float,
) -> float:
    """Returns the time until which a request waits for a target.

    Args:
        route: Route of the request.
        arrived_at: Time at which the request was read, in seconds.
        last_sent_at: Time at which the last part of the answer was sent to the
            caller; 0 if there was none.
        deadline: Time by which the complete answer must have been sent, in
            seconds.
    """
    until = arrived_at + _TARGET_WAIT_SHARE * max(0.0, deadline - arrived_at)
    if route.kind == document_lib.Kind.STREAM:
        until = min(
            until,
            max(arrived_at, last_sent_at)
            + _SILENCE_WAIT_SHARE * silence_limit(route),
        )
    return until


def timely_turn_deadline(
    *, route: document_lib.Route, arrived_at: float
) -> float:
    """Returns the latest time to send a request that meets its objective.

    Args:
        route: Route of the request.
        arrived_at: Time at which the request was read, in seconds.
    """
    return arrived_at + _TURN_OBJECTIVE_SHARE * route.objective


def turn_wait_deadline(
    *, route: document_lib.Route, arrived_at: float, now: float, deadline: float
) -> float:
    """Returns the time until which a request waits for its prefill turn.

    A request that is past `_TURN_OBJECTIVE_SHARE` has the same limit as one
    that waits for a target.

    Args:
        route: Route of the request.
        arrived_at: Time at which the request was read, in seconds.
        now: Current time, in seconds.
        deadline: Time by which the complete answer must have been sent, in
            seconds.
    """
    latest = timely_turn_deadline(route=route, arrived_at=arrived_at)
    if now < latest:
        return min(latest, deadline)
    return target_wait_deadline(
        route=route, arrived_at=arrived_at, last_sent_at=0.0, deadline=deadline
    )


def silence_limit(route: document_lib.Route) -> float:
    """Returns the seconds for which callers of a stream wait for an event."""
    return max(
        _SILENCE_SECONDS,
        _SILENCE_OBJECTIVES * route.objective,
        _SILENCE_GAPS * route.max_event_gap,
    )


def unread_limit(route: document_lib.Route) -> float:
    """Returns the seconds after which an answer that is not read is ended."""
    silence = max(_SILENCE_SECONDS, _SILENCE_GAPS * route.max_event_gap)
    return max(_MIN_UNREAD_SECONDS, _UNREAD_SILENCES * silence)


def retry_after_seconds(
    *, expected: float | None, now: float, usual: float
) -> float:
    """Returns the seconds after which a refused caller should retry.

    Args:
        expected: Time at which the request can be served, if known.
        now: Current time.
        usual: Value returned if `expected` is unknown.
    """
    if expected is None or math.isinf(expected):
        return usual
    return max(usual / 2, expected - now)


class RetrySpread:
    """Spreads the retries of callers that are refused until the same moment."""

    def __init__(self) -> None:
        self._phase = 0.0

    def spread(self, expected: float, now: float) -> float:
        """Returns when the next refused caller should retry.

        Args:
            expected: Time from which requests can be served.
            now: Current time.
        """
        self._phase = (self._phase + _GOLDEN_RATIO) % 1.0
        window = min(
            _MAX_RETRY_SPREAD_SECONDS, _RETRY_SPREAD_SHARE * (expected - now)
        )
        return expected + self._phase * max(0.0, window)
