"""Parsing and validation of completion requests, before credit is spent."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import msgspec

from endivestream import findings
from endivestream.request import prefixes
from endivestream.version import rules as rules_lib

# A larger number is a mistake, and would be charged in full.
_MAX_REQUESTED_TOKENS = 1_000_000


class Generation(NamedTuple):
    """One completion to be generated.

    Attributes:
        model: The requested model or adapter.
        required_model: The model that a target must have loaded.
        chat: Whether the answer is a chat message or plain text.
        stream: Whether the caller requested a stream of events.
        cost: Tokens to charge: prompt plus maximum generated tokens.
        max_tokens: Maximum number of generated tokens.
        prompt_tokens: Number of prompt tokens to charge.
        blocks: Hashes of the prompt's blocks; see `prefixes`.
        body: Request body to send to a target.
    """

    model: str
    required_model: str
    chat: bool
    stream: bool
    cost: int
    max_tokens: int
    prompt_tokens: int
    blocks: tuple[int, ...]
    body: dict[str, Any]


def _invalid_request(detail: str) -> findings.Failure:
    return findings.not_run("invalid_request", detail, status=400)


def read(
    raw: bytes,
    *,
    chat: bool,
    rules: rules_lib.Rules,
    team: str,
    bytes_per_token: int,
) -> Generation | findings.Failure:
    """Parses the body of a completion request.

    Args:
        raw: The received body.
        chat: Whether the request used the chat interface.
        rules: The current rules.
        team: Team of the caller.
        bytes_per_token: Number of prompt bytes that are charged as one token.

    Returns:
        The completion to generate, or the reason why it is refused.
    """
    try:
        body = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return _invalid_request(f"the body is not JSON: {error}")
    if not isinstance(body, dict):
        return _invalid_request("the body must be a JSON object")
    model = body.get("model")
    if not isinstance(model, str):
        return _invalid_request("'model' must name a model or adapter")
    needs = rules.base_model(model)
    if needs is None or model not in rules.allowed.get(team, ()):
        # Models that the team may not use are reported as unknown.
        available = [
            n for n in rules.allowed.get(team, ()) if rules.base_model(n)
        ]
        detail = findings.unknown_word("model", model, available)
        return findings.not_run("unknown_model", detail, status=404)
    problem = _find_problem(body, chat=chat)
    if problem:
        return _invalid_request(problem)
    max_tokens = _parse_max_tokens(body, rules.models[needs].max_tokens)
    if max_tokens is None:
        return _invalid_request(
            f"'max_tokens' must be from 1 to {_MAX_REQUESTED_TOKENS}"
        )
    content = body["messages"] if chat else body["prompt"]
    prompt_bytes = _count_prompt_bytes(content)
    # Cached prefixes of an adapter are not shared with other adapters, so the
    # hashed text starts with the name.
    hashed_text = model.encode() + b"\0" + msgspec.json.encode(content)
    prompt_tokens = -(-prompt_bytes // bytes_per_token)
    forwarded = dict(body)
    # The engine must not generate more tokens than are charged.
    forwarded["max_tokens"] = max_tokens
    forwarded.pop("max_completion_tokens", None)
    # Answers that are not streamed to the caller are also requested as streams,
    # so that they can be resumed.
    forwarded["stream"] = True
    forwarded["stream_options"] = {"include_usage": True}
    return Generation(
        model,
        needs,
        chat,
        body.get("stream") is True,
        prompt_tokens + max_tokens,
        max_tokens,
        prompt_tokens,
        tuple(prefixes.block_hashes(hashed_text)),
        forwarded,
    )


def _find_problem(body: dict[str, Any], *, chat: bool) -> str:
    """Returns a description of the first invalid field, or an empty string."""
    if chat:
        chat_messages = body.get("messages")
        is_nonempty_list = isinstance(chat_messages, list) and chat_messages
        if not is_nonempty_list or not all(
            isinstance(item, dict) for item in chat_messages
        ):
            return "'messages' must be a list of at least one message object"
    elif not isinstance(body.get("prompt"), str):
        return "'prompt' must be a string"
    if body.get("n", 1) != 1:
        return f"'n' is {body['n']!r}; only one choice per request is supported"
    if body.get("stream") not in (None, True, False):
        return f"'stream' is {body['stream']!r}; expected true or false"
    return ""


def _parse_max_tokens(body: dict[str, Any], default: int) -> int | None:
    value = body.get("max_completion_tokens", body.get("max_tokens"))
    if value is None:
        return default
    if type(value) is not int or not 0 < value <= _MAX_REQUESTED_TOKENS:
        return None
    return value


def _count_prompt_bytes(value: Any) -> int:
    """Returns the number of bytes in all strings of a nested prompt."""
    if isinstance(value, str):
        return len(value.encode())
    if isinstance(value, dict):
        return sum(_count_prompt_bytes(item) for item in value.values())
    if isinstance(value, list):
        return sum(_count_prompt_bytes(item) for item in value)
    return 0
