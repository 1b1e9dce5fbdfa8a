"""What a caller asks of a model, read and checked before anything is spent."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import msgspec

from endivestream import findings
from endivestream.request import prefixes
from endivestream.version import rules as rules_lib

# A larger number cannot be meant, and would be charged in full.
_MOST_TOKENS = 1_000_000


class Generation(NamedTuple):
    """One completion to be generated.

    Attributes:
        model: The model or adapter asked for.
        needs: The model that a target must have loaded.
        chat: Whether the answer is a chat message or plain text.
        stream: Whether the caller wants events.
        cost: Tokens charged: prompt plus largest generated count.
        max_tokens: Largest generated count.
        prompt_tokens: The charged prompt.
        blocks: Names of the prompt's blocks; see `prefixes`.
        body: The request as it goes to a target.
    """

    model: str
    needs: str
    chat: bool
    stream: bool
    cost: int
    max_tokens: int
    prompt_tokens: int
    blocks: tuple[int, ...]
    body: dict[str, Any]


def _bad(what: str) -> findings.Failure:
    return findings.not_run("invalid_request", what, status=400)


def read(
    raw: bytes,
    *,
    chat: bool,
    rules: rules_lib.Rules,
    team: str,
    bytes_per_token: int,
) -> Generation | findings.Failure:
    """Reads a request's body.

    Args:
        raw: The body as it came.
        chat: Whether it came to the chat interface.
        rules: The rules in force.
        team: The caller's team.
        bytes_per_token: Prompt bytes that are charged one token.

    Returns:
        What to generate, or why not.
    """
    try:
        body = msgspec.json.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return _bad(f"the body is not JSON: {error}")
    if not isinstance(body, dict):
        return _bad("the body must be a JSON object")
    model = body.get("model")
    if not isinstance(model, str):
        return _bad("'model' must name a model or adapter")
    needs = rules.model_of(model)
    if needs is None or model not in rules.allowed.get(team, ()):
        # Names outside the team's own are not told apart from unknown ones.
        own = [n for n in rules.allowed.get(team, ()) if rules.model_of(n)]
        what = findings.unknown_word("model", model, own)
        return findings.not_run("unknown_model", what, status=404)
    wrong = _check(body, chat=chat)
    if wrong:
        return _bad(wrong)
    max_tokens = _max_tokens(body, rules.models[needs].max_tokens)
    if max_tokens is None:
        return _bad(f"'max_tokens' must be from 1 to {_MOST_TOKENS}")
    content = body["messages"] if chat else body["prompt"]
    prompt = _prompt_bytes(content)
    # An adapter's readings are its own: the name begins the text.
    text = model.encode() + b"\0" + msgspec.json.encode(content)
    prompt_tokens = -(-prompt // bytes_per_token)
    forwarded = dict(body)
    # The engine must stop where the charge does.
    forwarded["max_tokens"] = max_tokens
    forwarded.pop("max_completion_tokens", None)
    # Also a whole answer is taken as a stream, so that it can be resumed.
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
        tuple(prefixes.block_names(text)),
        forwarded,
    )


def _check(body: dict[str, Any], *, chat: bool) -> str:
    """Returns what is wrong with a body, or an empty string."""
    if chat:
        sent = body.get("messages")
        sound = isinstance(sent, list) and sent
        if not sound or not all(isinstance(item, dict) for item in sent):
            return "'messages' must be a list of at least one message object"
    elif not isinstance(body.get("prompt"), str):
        return "'prompt' must be a string"
    if body.get("n", 1) != 1:
        return f"'n' is {body['n']!r}; only one choice is served a request"
    if body.get("stream") not in (None, True, False):
        return f"'stream' is {body['stream']!r}; expected true or false"
    return ""


def _max_tokens(body: dict[str, Any], default: int) -> int | None:
    value = body.get("max_completion_tokens", body.get("max_tokens"))
    if value is None:
        return default
    if type(value) is not int or not 0 < value <= _MOST_TOKENS:
        return None
    return value


def _prompt_bytes(value: Any) -> int:
    """Counts the text in a prompt, however it is nested."""
    if isinstance(value, str):
        return len(value.encode())
    if isinstance(value, dict):
        return sum(_prompt_bytes(item) for item in value.values())
    if isinstance(value, list):
        return sum(_prompt_bytes(item) for item in value)
    return 0
