"""Keys by which requests are recognized under which targets end.

A caller's retry has an attempt id of its own, may arrive at any host and is
otherwise the same request. A resumed stream names the attempt that began it.
"""

from __future__ import annotations

import functools
import hashlib
import math
from typing import NamedTuple

from endivestream.request import admission
from endivestream.request import call as call_lib
from endivestream.request import names as names_lib
from endivestream.request import request_index

_DIGEST_BYTES = 12
# Parts of a prompt that are considered, and the length of their ids. Callers
# choose both.
_MAX_PARTS = 16
_MAX_PART_LENGTH = 64
_PART_PREFIX = "part:"


_KINDS = ("attempt:", "content:", _PART_PREFIX, request_index.PREFIX)


def is_key(key: str) -> bool:
    """Returns whether a text is a key."""
    return key.startswith(_KINDS) and not key.endswith(":")


def unknown_key(key: str) -> str:
    """Returns the message for a text that is no key."""
    return f"unknown key {key!r}; keys begin with {', '.join(_KINDS)}"


def is_part(key: str) -> bool:
    """Returns whether a key stands for a part of prompts."""
    return key.startswith(_PART_PREFIX)


class Grant(NamedTuple):
    """The leader's grant of one attempt at a caller's request.

    Attributes:
        key: Key of the request, as the leader lists it.
        attempt: Name of the attempt.
    """

    key: str
    attempt: str


class CrashKeys:
    """Keys of one request; the digest is computed when it is first needed.

    Attributes:
        trial_key: The quarantined part that the request may be sent with once;
            empty if there is none.
        grant: What the leader has granted and no attempt has used up.
    """

    def __init__(
        self, *, call: call_lib.Call, names: names_lib.HeaderNames
    ) -> None:
        self._call = call
        self._names = names
        self.trial_key = ""
        self.grant: Grant | None = None

    @property
    def request(self) -> str:
        """Id of the caller's attempt."""
        return self._call.headers.get(self._names.request, "")

    @functools.cached_property
    def all(self) -> tuple[str, ...]:
        """All keys of the request."""
        return (self.attempt_key, self.content_key, *self.parts)

    @functools.cached_property
    def caller_request(self) -> request_index.CallerRequest | None:
        """The caller's request; None if it states no time that it has."""
        deadline = admission.caller_deadline(self._call, self._names)
        if not math.isfinite(deadline):
            return None
        _, _, content = self.content_key.partition(":")
        return request_index.CallerRequest(content, deadline)

    @functools.cached_property
    def parts(self) -> tuple[str, ...]:
        """Keys of the prompt's parts; the last part is the request's own."""
        prefix = self._call.headers.get(self._names.prefix, "")
        parts = prefix.split(",")[:-1][:_MAX_PARTS]
        ids = (part.partition(":")[0].strip().lower() for part in parts)
        return tuple(
            dict.fromkeys(
                _PART_PREFIX + each[:_MAX_PART_LENGTH] for each in ids if each
            )
        )

    @functools.cached_property
    def attempt_key(self) -> str:
        """Key of the attempt that began the request's answer."""
        headers = self._call.headers
        first_attempt = headers.get(self._names.resumes, "") or self.request
        return f"attempt:{_digest(first_attempt.encode())}"

    @functools.cached_property
    def content_key(self) -> str:
        """Key of all that a caller's retry has in common with the request."""
        call, names = self._call, self._names
        fields = (
            call.method,
            call.uri,
            *(
                call.headers.get(name, "")
                for name in (
                    "Host",
                    "Authorization",
                    names.model,
                    names.tokens,
                    names.prefix,
                )
            ),
        )
        content = "\0".join(fields).encode() + b"\0" + call.body
        return f"content:{_digest(content)}"


def _digest(content: bytes) -> str:
    return hashlib.blake2b(content, digest_size=_DIGEST_BYTES).hexdigest()
