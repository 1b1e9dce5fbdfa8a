"""Requests of callers, recognized over attempts and hosts. Pure.

A caller that sends a request again changes the id of the attempt and the time
that it has left, but neither the content nor the moment at which that time
ends. Several callers may send equal contents; their time ends at other moments.
Clocks of hosts differ, so hosts exchange the seconds that are left, and each
keeps the moment by its own clock. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

import sortedcontainers

# Difference of the moments at which the time of one request ends, as different
# hosts see it: the way of its attempts, perhaps over a lossy link or to a slow
# host, and that of reports about them. With a content that other callers send,
# too, only what is near enough to be hardly theirs counts as one.
_SAME_DEADLINE_SECONDS = 2.0
_SHARED_DEADLINE_SECONDS = 0.25
PREFIX = "request:"
# Sorts behind all keys.
_AFTER_ALL_KEYS = "s"


class CallerRequest(NamedTuple):
    """What the attempts of a caller at one request have in common.

    Attributes:
        content: Digest of its content.
        deadline: When the time that its caller states ends.
        is_shared: Whether other callers' requests have the content.
    """

    content: str
    deadline: float
    is_shared: bool = False

    @property
    def tolerance(self) -> float:
        """Largest difference of the deadlines of its attempts."""
        if self.is_shared:
            return _SHARED_DEADLINE_SECONDS
        return _SAME_DEADLINE_SECONDS


def is_same(one: CallerRequest, other: CallerRequest) -> bool:
    """Returns whether two attempts are at one request."""
    difference = abs(one.deadline - other.deadline)
    return one.content == other.content and difference <= min(
        one.tolerance, other.tolerance
    )


class RequestIndex:
    """Keys of requests by content and deadline, on one host."""

    def __init__(self) -> None:
        self._deadlines: dict[str, float] = {}
        # Deadlines and keys by content.
        self._by_content: dict[
            str, sortedcontainers.SortedList[tuple[float, str]]
        ] = {}

    @property
    def requests(self) -> Collection[CallerRequest]:
        """All requests."""
        return [
            CallerRequest(content(key), deadline)
            for key, deadline in self._deadlines.items()
        ]

    def find(self, request: CallerRequest) -> str | None:
        """Returns the key of a request; None if it has none."""
        known = self._by_content.get(request.content)
        if known is None:
            return None
        near = known.irange(
            (request.deadline - request.tolerance, ""),
            (request.deadline + request.tolerance, _AFTER_ALL_KEYS),
        )
        _, key = min(
            ((abs(deadline - request.deadline), key) for deadline, key in near),
            default=(0.0, None),
        )
        return key

    def find_or_add(self, request: CallerRequest) -> str:
        """Returns the key of a request, which may be new."""
        key = self.find(request)
        if key is None:
            moment = int(request.deadline * 1000)
            key = f"{PREFIX}{request.content}:{moment}"
            self._set(key, request.deadline)
        return key

    def add(self, key: str, left: float, now: float) -> None:
        """Adds a request under the key that another host has given it.

        Args:
            key: The key.
            left: Seconds until its deadline.
            now: Current time.
        """
        self.remove(key)
        self._set(key, now + left)

    def left(self, key: str, now: float) -> float:
        """Returns the seconds until the deadline of a request."""
        return self._deadlines.get(key, now) - now

    def remove(self, key: str) -> None:
        """Removes the key of a request."""
        deadline = self._deadlines.pop(key, None)
        if deadline is None:
            return
        known = self._by_content[content(key)]
        known.remove((deadline, key))
        if not known:
            del self._by_content[content(key)]

    def _set(self, key: str, deadline: float) -> None:
        self._deadlines[key] = deadline
        self._by_content.setdefault(
            content(key), sortedcontainers.SortedList()
        ).add((deadline, key))


def content(key: str) -> str:
    """Returns the digest of the content of the request with a key."""
    return key.removeprefix(PREFIX).partition(":")[0]
