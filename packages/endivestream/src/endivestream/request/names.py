"""Names of the request and response headers that this system uses."""

from __future__ import annotations

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header names by content. The defaults are this system's own names.

    Attributes:
        request: Id of one attempt of a caller.
        deadline_ms: Time in milliseconds within which to answer a request.
        model: `MODEL` or `MODEL/ADAPTER`.
        tokens: Number of prompt tokens and maximum number of generated tokens,
            separated by a comma.
        prefix: Parts of the prompt as `ID:TOKENS`, separated by commas.
        team: Team of the caller; sent to targets.
        instance: Target that the request is sent to; other targets refuse the
            request without running it.
        not_run: In a target's answer: the request has not run.
        priority: 0 to 9, where 0 is the highest priority; sent to targets.
        last_event: Last event that the caller of a resumed stream received.
        resumes: Attempt of the caller that received the first event of a
            resumed stream.
        retry_after: Seconds after which the caller should retry; in a
            target's answer, seconds for which it accepts nothing from the host
            that it refused.
        key_scheme: Scheme before the key in `Authorization`.
        rate_limit: In a target's answer: requests per second that the target
            accepts from all hosts together, while it sends this header.
        draining: In a target's answer, with value 1: the target is about to
            stop.
        brittle: In a target's answer: refusals for want of room in a second,
            over all hosts, above which the target fails.
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
    resumes: str = "X-Resumes"
    retry_after: str = "Retry-After"
    key_scheme: str = "Bearer"
    rate_limit: str = "X-Rate-Limit"
    draining: str = "X-Draining"
    brittle: str = "X-Brittle"
    reserved: tuple[str, ...] = ()
