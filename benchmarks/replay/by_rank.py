"""Results of a replay by rank, with the reasons of unserved requests.

The reasons: `no_model` (no copy, and none was loaded in time), `forecast` (a
queue refused it at arrival), `full` (it waited for a slot and got none),
`other` (it had not ended at the end of the replay). All columns are shares of
the requests of a rank, except `value`: the value of its answers in time as a
share of the value of its requests.
"""

from __future__ import annotations

from collections.abc import Iterable

from replay import engine as engine_lib

_REASONS = ("no_model", "forecast", "full", "other")
COLUMNS = ("in_time", "late", "unserved", *_REASONS, "value")
MAX_GAP_SECONDS = 0.3


def summarize(
    requests: Iterable[engine_lib.Request],
) -> dict[str, tuple[float, ...]]:
    """Returns the columns by rank and, as `all`, in total."""
    groups: dict[str, list[engine_lib.Request]] = {}
    for request in requests:
        groups.setdefault(str(request.rank), []).append(request)
        groups.setdefault("all", []).append(request)
    return {name: _columns(groups[name]) for name in sorted(groups)}


def is_in_time(request: engine_lib.Request) -> bool:
    """Returns whether a request was answered within its objectives."""
    return (
        request.ended_at is not None
        and request.first_event_at is not None
        and request.first_event_at - request.arrived_at <= request.objective
        and request.longest_gap <= MAX_GAP_SECONDS
    )


def _columns(requests: list[engine_lib.Request]) -> tuple[float, ...]:
    counts = dict.fromkeys(COLUMNS, 0.0)
    for request in requests:
        if is_in_time(request):
            counts["in_time"] += 1.0
            counts["value"] += request.value
        elif request.ended_at is not None:
            counts["late"] += 1.0
        else:
            counts["unserved"] += 1.0
            known = request.reason in _REASONS
            counts[request.reason if known else "other"] += 1.0
    total = sum(request.value for request in requests)
    counts["value"] *= len(requests) / total
    return tuple(counts[name] / len(requests) for name in COLUMNS)
