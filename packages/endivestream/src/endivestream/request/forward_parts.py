"""What the forwarder shares with the rest of an entry host."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from endivestream.connection import exchange as exchange_lib
from endivestream.connection import registry as registry_lib
from endivestream.request import admission
from endivestream.request import choice as choice_lib
from endivestream.request import repeats as repeats_lib
from endivestream.version import document as document_lib


class Credit:
    """Where a team's credit comes from; see `process.entry`."""

    async def take(
        self,
        team: document_lib.Team,
        cost: float,
        *,
        soon: float,
        patience: float,
    ) -> float | None:
        """Takes credit, waiting for it if that pays.

        Args:
            team: Whose credit.
            cost: How much.
            soon: Seconds that the request can wait and still be in time.
            patience: Seconds that it can wait at all.

        Returns:
            None, or seconds after which the caller should come back.
        """
        raise NotImplementedError

    def refund(self, team: document_lib.Team, cost: float) -> None:
        """Gives back the credit of a request that has not run."""
        raise NotImplementedError


class Parts(NamedTuple):
    """What requests share on this host.

    Attributes:
        rules: What requests are admitted by.
        view: Targets.
        pool: Connections to targets.
        credit: Teams' credit.
        repeats: Returns this host's repeat budget for a service.
        ask_repeat: Asks the leader for one repeat from a service's shared
            repeat budget.
        missing: Tells the planner what is missing; returns what ends that.
        changed: Waits until targets change, for so many seconds at most.
        confirm: Waits until the configuration here surely is the newest, for
            so many seconds at most; whether it is.
        asked: Counts a request for a model.
        found: Told of a request that has found its target.
        idle: Told when the last run of a model that is to go has ended.
        freed: Told when a place on a target may be free.
        permit: Waits until a request may be sent to a target that names a
            limit, for so many seconds at most. Returns None if it may, else
            the seconds after which the target may be tried again.
        heard_limit: Told what each answer of a target says of the requests
            that it takes; None if it says nothing.
        turn: Returns seconds until an engine should get a prompt, by the
            engine, its failure domain, the prompt's tokens, its rank.
        observe: Takes a finished request's figures.
    """

    rules: admission.Rules
    view: choice_lib.View
    pool: exchange_lib.Pool
    credit: Credit
    repeats: Callable[[str], repeats_lib.RepeatBudget]
    ask_repeat: Callable[[str], Awaitable[bool]]
    missing: Callable[[admission.Work], Callable[[], None]]
    changed: Callable[[float], Awaitable[None]]
    confirm: Callable[[float], Awaitable[bool]]
    asked: Callable[[admission.Work], None]
    found: Callable[[admission.Work], None]
    idle: Callable[[], None]
    freed: Callable[[], None]
    permit: Callable[
        [registry_lib.Registration, float], Awaitable[float | None]
    ]
    heard_limit: Callable[[registry_lib.Registration, str | None], None]
    turn: Callable[[str, str, float, int], Awaitable[float]]
    observe: Callable[[Ended], None]


class Ended(NamedTuple):
    """A finished request, for logs and metrics.

    Attributes:
        route: The route's name, or empty.
        kind: The route's kind, or empty.
        team: The team's name, or empty.
        status: The status sent; 0 if the caller left before.
        reason: Why it ended so.
        waited: Seconds until it was first sent to a target.
        first: Seconds until the first byte of the answer.
        total: Seconds until the end.
        gap: Longest pause between two pieces of a stream, in seconds.
        tries: Targets that it was sent to.
    """

    route: str
    kind: str
    team: str
    status: int
    reason: str
    waited: float
    first: float
    total: float
    gap: float
    tries: int
