"""Admission of requests on an entry host. Does no I/O; reads the clock.

A request that is refused here has not run on any target.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math
import re
from typing import NamedTuple

from endivestream import clock
from endivestream import findings
from endivestream.connection import header_text
from endivestream.request import call as call_lib
from endivestream.request import names as names_lib
from endivestream.request import routes as routes_lib
from endivestream.request.buffering import target_memory
from endivestream.version import document as document_lib

# Reason of a refusal by a host without a valid configuration lease.
NO_LEASE = "no_lease"
# Reason of a refusal by a host that is about to reach its memory or
# descriptors.
NEAR_LIMIT = "near_limit"
# Statuses of refusals that a caller should not retry.
DENIAL_STATUSES = (401, 404)
# Default delay after which a refused caller should retry, if the time at which
# it can be served is unknown.
DEFAULT_RETRY_SECONDS = 0.5
# The same if other hosts can serve the request immediately.
_OTHER_HOST_RETRY_SECONDS = 0.05
# Number of prompt tokens, and of generated tokens after a comma. Sums of such
# numbers fit into 64 bits.
_TOKENS_PATTERN = re.compile(
    r"[ \t]*([0-9]{1,12})[ \t]*(?:,[ \t]*([0-9]{0,12})[ \t]*)?"
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmittedRequest:
    """An admitted request.

    Attributes:
        request: Id of the attempt.
        route: Route of the request.
        service: Service that answers the request.
        team: Team of the caller; None without a key.
        cost: Credit that the request costs.
        prompt: Number of prompt tokens; 0 if the caller does not state it.
        model: Name of the model, or empty.
        adapter: Name of the adapter, or empty.
        session: Id shared by requests with a common prompt prefix, or empty.
        arrived_at: Time at which the request was read.
        deadline: Time by which the complete answer must have been sent.
        max_running: Maximum number of this host's requests on one target.
        load: What it takes of a target's memory.
    """

    request: str
    route: document_lib.Route
    service: document_lib.Service
    team: document_lib.Team | None
    cost: float
    prompt: float
    model: str
    adapter: str
    session: str
    arrived_at: float
    deadline: float
    max_running: int
    load: target_memory.Load


class AdmissionInputs(NamedTuple):
    """Inputs of the admission decision.

    Attributes:
        names: Names of the request headers.
        table: Returns the current route table, or None before the first one.
        lease_until: Returns the expiry time of the configuration lease.
        share: Returns this host's share of a target's connections.
        can_finish: Returns whether a request of a route can finish before this
            host stops; None for a request whose route is unknown.
    """

    names: names_lib.HeaderNames
    table: Callable[[], routes_lib.Table | None]
    lease_until: Callable[[], float]
    share: Callable[[], float]
    can_finish: Callable[[document_lib.Route | None], bool]


def admit(
    call: call_lib.Call, rules: AdmissionInputs
) -> AdmittedRequest | findings.Failure:
    """Returns the admitted request, or the reason for its refusal."""
    names = rules.names
    table = rules.table()
    if table is None or rules.lease_until() < clock.now():
        return no_lease()
    if call.is_refused:
        return near_limit()
    if not header_text.is_request_target(call.uri):
        detail = "the path has bytes that are not UTF-8"
        return findings.not_run("invalid_path", detail, status=400)
    route = table.route(call.headers.get("Host", ""), call.path)
    if route is None:
        detail = "no route matches this host name and path"
        return findings.not_run("no_route", detail, status=404)
    if not rules.can_finish(route):
        return stopping()
    key = _parse_key(call.headers.get("Authorization", ""), names.key_scheme)
    owner = table.owner(route, key)
    if owner is None:
        detail = "this key is unknown"
        return findings.not_run("unknown_key", detail, status=401)
    request = call.headers.get(names.request, "")
    service = table.service(routes_lib.pick_service(route, request))
    assert service is not None, "checked when the document was applied"
    given_deadline = caller_deadline(call, names)
    model, _, adapter = header_text.decode(
        call.headers.get(names.model, "")
    ).partition("/")
    token_texts = call.headers.get_list(names.tokens)
    tokens = _parse_tokens(token_texts)
    if token_texts and tokens is None:
        detail = f"{names.tokens} is not PROMPT,GENERATED in whole numbers"
        return findings.not_run("invalid_tokens", detail, status=400)
    max_running = max(1, int(service.connections * rules.share()))
    return AdmittedRequest(
        request=request,
        route=route,
        service=service,
        team=owner.team,
        cost=_credit_cost(owner.team, tokens),
        prompt=tokens.prompt if tokens else 0.0,
        model=model,
        adapter=adapter,
        session=_parse_session(call.headers.get(names.prefix, "")),
        arrived_at=call.arrived_at,
        deadline=min(given_deadline, call.arrived_at + route.timeout),
        max_running=max_running,
        load=target_memory.Load.of(
            body_bytes=len(call.body),
            prompt=tokens.prompt if tokens else 0.0,
            generated=tokens.generated if tokens else 0.0,
        ),
    )


def at_service(
    work: AdmittedRequest, name: str, rules: AdmissionInputs
) -> AdmittedRequest | None:
    """Returns an admitted request for another service of its route.

    None if the route has no such service.
    """
    table = rules.table()
    names = {each.service for each in work.route.services if each.weight > 0}
    service = table.service(name) if table is not None else None
    if service is None or name not in names:
        return None
    max_running = max(1, int(service.connections * rules.share()))
    return dataclasses.replace(work, service=service, max_running=max_running)


def stopping() -> findings.Failure:
    """Returns the refusal of a host that stops before the request ends."""
    detail = "this host is stopping"
    return findings.not_run(
        "stopping", detail, status=503, retry_after=_OTHER_HOST_RETRY_SECONDS
    )


def near_limit() -> findings.Failure:
    """Returns the refusal of a host that accepts no new connections."""
    detail = "this host has no room for new connections"
    return findings.not_run(
        NEAR_LIMIT, detail, status=503, retry_after=_OTHER_HOST_RETRY_SECONDS
    )


def no_lease() -> findings.Failure:
    """Returns the refusal of a host without a valid configuration lease."""
    detail = "this host has no valid configuration lease"
    return findings.not_run(
        NO_LEASE, detail, status=503, retry_after=DEFAULT_RETRY_SECONDS
    )


def unconfirmed() -> findings.Failure:
    """Returns the refusal of a host whose configuration may be outdated."""
    detail = "no leader has confirmed this host's configuration"
    return findings.not_run(
        "unconfirmed", detail, status=503, retry_after=DEFAULT_RETRY_SECONDS
    )


def _parse_key(authorization: str, scheme: str) -> str:
    """Returns the key in an `Authorization` header, or an empty string."""
    authorization_scheme, _, key = authorization.strip().partition(" ")
    if authorization_scheme.lower() != scheme.lower():
        return ""
    return header_text.decode(key.strip())


def caller_deadline(call: call_lib.Call, names: names_lib.HeaderNames) -> float:
    """Returns the caller's deadline; infinite if it states none.

    A value that is not a finite number is ignored.
    """
    try:
        seconds = float(call.headers.get(names.deadline_ms, "")) / 1000
    except ValueError:
        return math.inf
    return call.arrived_at + seconds if math.isfinite(seconds) else math.inf


class _RequestSize(NamedTuple):
    """Size of a request in tokens, as stated by its caller.

    Attributes:
        prompt: Number of prompt tokens.
        generated: Maximum number of generated tokens.
    """

    prompt: float
    generated: float


def _parse_tokens(texts: Sequence[str]) -> _RequestSize | None:
    """Returns the size in the headers of a request; None if it is invalid."""
    match = _TOKENS_PATTERN.fullmatch(texts[0]) if len(texts) == 1 else None
    if match is None:
        return None
    return _RequestSize(float(match[1]), float(match[2] or 0))


def _credit_cost(
    team: document_lib.Team | None, tokens: _RequestSize | None
) -> float:
    """Returns the credit that a request costs."""
    if team is None:
        return 0.0
    if not team.by_tokens:
        return 1.0
    if tokens is None:
        return team.plain_cost
    return tokens.prompt + tokens.generated


def _parse_session(prefix: str) -> str:
    """Returns the session id, which is the id of the last prompt part."""
    return prefix.rpartition(",")[2].partition(":")[0].strip()
