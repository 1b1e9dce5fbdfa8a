"""How long a request waits for what this host lacks. Pure.

The load patterns that it answers:

- All hosts lost power together. Entry hosts listen again before the control
  hosts have elected a leader. A caller who is refused meanwhile comes back
  into the same second, is refused again and gives up; one who is held for that
  second is served.
- Demand moves to models that no target holds. A load takes several objectives.
  Callers who would have left before it ends are better told at once when to
  come back; the others wait and are answered late instead of never.
- A model that dozens of requests wait for is loaded. Prompts sent to its engine
  all at once would pause every stream there until they are processed, so these
  requests take turns too, within the limit for waiting for a place.

Who is refused must still have time to come back, so nobody waits until the
end of his time.
"""

from __future__ import annotations

import math

from endivestream.version import document as document_lib

# Of the time that a caller gives, the part that may pass before its request is
# on its way to a target: the rest is for the answer itself, or for another try.
_PLACE_SHARE = 0.7
# Without a lease it is not known whether one comes at all: half is left for a
# try at another host.
_LEASE_SHARE = 0.5
# Callers of streams leave when nothing comes for the longest of these: so many
# seconds, objectives, or longest pauses that are still in time.
_SILENT_SECONDS = 2.0
_SILENT_OBJECTIVES = 4.0
_SILENT_GAPS = 8.0
# The part of that which may pass before a target has the request: a prompt is
# still to be read.
_SILENT_SHARE = 0.85
# Latest turn of a request that can still meet its objective, as a multiple of
# the objective. The rest is left for processing the prompt.
_TURN_OBJECTIVES = 0.6
# A leader confirms within milliseconds, or is being elected.
_CONFIRMED_SECONDS = 0.5
# A process whose lease ran out was frozen, and has the next one at once, or is
# cut off, and callers do better elsewhere.
_NEXT_LEASE_SECONDS = 0.25


def until_lease(*, came: float, deadline: float, fresh: bool) -> float:
    """Returns until when a request waits for this host's lease.

    Its route is not known without one, so it may be the least patient stream.

    Args:
        came: When the request was read, in seconds.
        deadline: When its caller stops waiting, in seconds.
        fresh: Whether this process has never had a lease. It finds a leader
            within an election, if it started together with all others.
    """
    most = _SILENT_SHARE * _SILENT_SECONDS if fresh else _NEXT_LEASE_SECONDS
    return came + min(most, _LEASE_SHARE * max(0.0, deadline - came))


def until_confirmed(*, came: float, deadline: float) -> float:
    """Returns until when a request waits for word of the leader.

    Args:
        came: When the request was read, in seconds.
        deadline: When its caller stops waiting, in seconds.
    """
    most = _LEASE_SHARE * max(0.0, deadline - came)
    return came + min(_CONFIRMED_SECONDS, most)


def until_place(
    *, route: document_lib.Route, came: float, heard: float, deadline: float
) -> float:
    """Returns until when a request waits for a target that can take it.

    Args:
        route: The request's route.
        came: When the request was read, in seconds.
        heard: When its caller last got a part of the answer; 0 if not yet.
        deadline: When its final answer must be out, in seconds.
    """
    until = came + _PLACE_SHARE * max(0.0, deadline - came)
    if route.kind == document_lib.Kind.STREAM:
        until = min(until, max(came, heard) + _SILENT_SHARE * silence(route))
    return until


def until_turn(
    *, route: document_lib.Route, came: float, now: float, deadline: float
) -> float:
    """Returns until when a request waits for its turn at an engine.

    A request that is past `_TURN_OBJECTIVES` has the same limit as one that
    waits for a place.

    Args:
        route: The request's route.
        came: When the request was read, in seconds.
        now: The current time, in seconds.
        deadline: When its final answer must be out, in seconds.
    """
    latest = came + _TURN_OBJECTIVES * route.objective
    if now < latest:
        return min(latest, deadline)
    return until_place(route=route, came=came, heard=0.0, deadline=deadline)


def silence(route: document_lib.Route) -> float:
    """Returns how long callers of a stream wait for its next event."""
    return max(
        _SILENT_SECONDS,
        _SILENT_OBJECTIVES * route.objective,
        _SILENT_GAPS * route.gap,
    )


def come_back(*, expected: float | None, now: float, usual: float) -> float:
    """Returns after how many seconds a refused caller should come back.

    Args:
        expected: When what it lacks will be there, if that is known.
        now: The time.
        usual: What is told otherwise.
    """
    if expected is None or math.isinf(expected):
        return usual
    return max(usual / 2, expected - now)
