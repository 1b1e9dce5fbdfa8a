"""Names of the request headers that the product reads and sets."""

from __future__ import annotations

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header names, by what they hold. The defaults are the product's own.

    Attributes:
        request: Id of one attempt of a caller.
        deadline_ms: How long the receiver of a request may take.
        model: `MODEL` or `MODEL/ADAPTER`.
        tokens: Prompt tokens and most generated tokens, with a comma between.
        prefix: Parts of the prompt as `ID:TOKENS`, with commas between.
        team: Whose request it is; for targets.
        instance: The target that is meant; others refuse without running it.
        not_run: In a target's answer: the request has not run.
        priority: 0 to 9, 0 is first; for targets.
        last_event: The last event that a resumed stream's caller has.
        retry_after: Seconds after which to come back.
        key_scheme: The word before the key in `Authorization`.
        rate_limit: In a target's answer: the requests a second that it takes
            from all hosts together, for as long as it says so.
        reserved: Further headers that only this system may set.
    """

    request: str = "X-Request-Id"
    deadline_ms: str = "X-Deadline-Ms"
    model: str = "X-Model"
    tokens: str = "X-Tokens"
    prefix: str = "X-Prefix"
    team: str = "X-Team"
    instance: str = "X-Expect-Target"
    not_run: str = "X-Not-Run"
    priority: str = "X-Priority"
    last_event: str = "Last-Event-ID"
    retry_after: str = "Retry-After"
    key_scheme: str = "Bearer"
    rate_limit: str = "X-Rate-Limit"
    reserved: tuple[str, ...] = ()
