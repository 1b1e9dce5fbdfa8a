"""Messages about credit of teams, retries and rate limits of targets."""

from __future__ import annotations

import math
from typing import NamedTuple

import msgspec


class Need(NamedTuple):
    """A team's credit as held and needed by an entry host.

    Attributes:
        team: Name of the team.
        returned: Credit that the host returns because demand has fallen.
        balance: Credit that the host still holds.
        wanted: Credit that the host needs in total.
    """

    team: str
    returned: float
    balance: float
    wanted: float


class Grant(NamedTuple):
    """A team's credit granted to an entry host, and when more is available.

    Attributes:
        team: Name of the team.
        credit: Credit to add to the host's balance.
        rate: Credit a second that the host may add by itself while it receives
            nothing from a leader.
        available_in: Seconds until the requested credit is available; 0 if it
            was granted.
        max_balance: Maximum credit that the host may hold; it returns the
            excess.
        usable_in: Seconds until the credit may be spent, and only by the
            request that it was requested for.
        retry_after: Seconds after which a refused caller should retry.
    """

    team: str
    credit: float
    rate: float
    available_in: float
    max_balance: float = math.inf
    usable_in: float = 0.0
    retry_after: float = 0.0


class RateLimit(NamedTuple):
    """Rate limit that a target has reported for its requests.

    Attributes:
        target: Id of the target.
        started_at_ms: Start time of the target process that reported the limit.
        rate: Requests a second from all hosts together; None if the target no
            longer reports a limit.
        age: Seconds since the limit was reported.
    """

    target: str
    started_at_ms: int
    rate: float | None
    age: float


class CreditRequest(NamedTuple):
    """Request for credit for one waiting request of a caller.

    Attributes:
        need: Credit of the team that the host holds and needs.
        timely_within: Seconds that the caller's request can wait and still be
            on time.
        max_wait_seconds: Maximum seconds that the caller's request can wait.
    """

    need: Need
    timely_within: float = 0.0
    max_wait_seconds: float = 0.0


class AskCredit(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests credit immediately, for waiting requests of callers.

    Attributes:
        host: Name of the requesting host.
        credit_requests: Credit needed by each waiting request.
    """

    host: str
    credit_requests: tuple[CreditRequest, ...] = msgspec.field(name="asked")


class GiveCredit(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskCredit`.

    Attributes:
        grants: One grant for each entry of `credit_requests`, in the same
            order.
    """

    grants: tuple[Grant, ...]


class AskRepeat(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests one retry from a service's shared retry budget.

    Attributes:
        service: Name of the service.
    """

    service: str


class GiveRepeat(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskRepeat`.

    Attributes:
        granted: Whether the budget allows the retry.
    """

    granted: bool


class AskHedge(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests one hedge of what hosts share.

    Attributes:
        route: Route of the request.
        arrivals: Requests of the route that the host no longer counts itself.
        ratio: Hedges for each request; 0 if the host's own requests allow the
            hedge.
        scope: Route that the limit belongs to; empty for that of the settings.
        grant: Name of the grant, which no other grant has.
        limit: Maximum number of hedges at once over all hosts; 0 if no slot is
            needed.
        seconds: Maximum time for which the hedge runs.
    """

    route: str
    arrivals: int
    ratio: float
    scope: str
    grant: str
    limit: int
    seconds: float


class GiveHedge(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskHedge`.

    Attributes:
        granted: Whether the hedge is granted.
        is_over_ratio: Whether it is denied because of the ratio.
    """

    granted: bool
    is_over_ratio: bool = False


class EndHedge(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reports that a granted hedge has ended, or was not sent.

    Attributes:
        scope: Route that the limit belongs to; empty for that of the settings.
        grant: Name of the grant.
    """

    scope: str
    grant: str


class AskSend(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Requests permission for one send to a target that accepts few.

    Attributes:
        limit: Rate limit of the target, as last received by the requesting
            host; without a rate if it has reported none.
        max_wait_seconds: Seconds that the caller's request can wait.
        cold_rate: Requests a second that the target accepts because it is cold;
            None if it is not.
    """

    limit: RateLimit
    max_wait_seconds: float = msgspec.field(name="patience")
    cold_rate: float | None = None


class GiveSend(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Answer to `AskSend`.

    Attributes:
        send_in: Seconds after which the request may be sent; None if denied.
        retry_in: If denied, seconds after which to request permission again.
    """

    send_in: float | None = msgspec.field(default=None, name="wait")
    retry_in: float = msgspec.field(default=0.0, name="again")


class CountSend(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reports an order or query sent to a target with a rate limit.

    Attributes:
        target: Id of the target.
    """

    target: str
