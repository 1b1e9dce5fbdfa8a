"""Checks of targets' registrations from outside the process. Pure.

A registration passes through the leader's table, messages between hosts, the
log, header values and sockets. One with a value that any of these cannot
represent names no target to use; all others stay in use. The same check applies
to registrations from hosts of other builds, which may accept more.
"""

from __future__ import annotations

from collections.abc import Iterator
import re

from endivestream.connection import addresses
from endivestream.connection import registry as registry_lib

# Largest integer that all JSON implementations represent.
_MAX_TIME_MS = 2**53 - 1
# Integers in messages and in the log have 64 bits.
_MAX_INTEGER = 2**63 - 1
_MAX_SLOTS = 2**31 - 1
_MAX_SECONDS = 1e12
_MAX_NAME_CHARACTERS = 256
# Loaded models, their adapters and the models of each kind of copy.
_MAX_MODEL_NAMES = 16_384
_MAX_QUOTED_CHARACTERS = 64
_CONTROL_CHARACTER_PATTERN = re.compile(r"[\x00-\x1f\x7f\ud800-\udfff]")


def find_problem(registration: registry_lib.Registration) -> str:
    """Returns why a registration names no usable target; empty if it does.

    The text names the field, its value and what is valid.
    """
    return next(_problems(registration), "")


def find_name_problem(name: str) -> str:
    """Returns why a name cannot be that of a target; empty if it can."""
    return next(_text_problems("name", name), "")


def _problems(registration: registry_lib.Registration) -> Iterator[str]:
    if addresses.parse_endpoint(registration.address) is None:
        quoted = _quote(registration.address)
        yield f"address is {quoted}; valid: IP:PORT with a port of 1 to 65535"
    yield from _integer_problems(registration)
    for field in ("warmup_seconds", "shutdown_in"):
        value = getattr(registration, field)
        # Also false for NaN.
        if value is not None and not abs(value) <= _MAX_SECONDS:
            yield f"{field} is {value:g}; valid: at most {_MAX_SECONDS:g}"
    yield from _name_problems(registration)


def _integer_problems(registration: registry_lib.Registration) -> Iterator[str]:
    for field, value, largest in (
        ("started_at_ms", registration.started_at_ms, _MAX_TIME_MS),
        ("report_number", registration.report_number, _MAX_INTEGER),
        ("slots", registration.slots, _MAX_SLOTS),
    ):
        if not 0 <= value <= largest:
            yield f"{field} is {_quote(value)}; valid: 0 to {largest}"


def _name_problems(registration: registry_lib.Registration) -> Iterator[str]:
    models = [*registration.in_memory, *registration.on_disk]
    for loaded in registration.loaded:
        models += [loaded.model, *loaded.adapters]
        if not abs(loaded.version) <= _MAX_INTEGER:
            yield (
                f"version of model {_quote(loaded.model)} is "
                f"{_quote(loaded.version)}; valid: an integer of 64 bits"
            )
    if len(models) > _MAX_MODEL_NAMES:
        yield (
            f"it names {len(models)} models and adapters; valid: at most "
            f"{_MAX_MODEL_NAMES}"
        )
        return
    texts = {
        "name": registration.name,
        "service": registration.service,
        "domain": registration.domain,
        "software": registration.software or "",
    }
    # One search in all texts: the leader checks thousands of reports a second.
    every_text = " ".join([*texts.values(), *models])
    if (
        len(max(texts.values(), key=len)) <= _MAX_NAME_CHARACTERS
        and len(max(models, key=len, default="")) <= _MAX_NAME_CHARACTERS
        and not _CONTROL_CHARACTER_PATTERN.search(every_text)
    ):
        return
    for field, text in texts.items():
        yield from _text_problems(field, text)
    for model in models:
        yield from _text_problems("model", model)


def _text_problems(field: str, text: str) -> Iterator[str]:
    if len(text) > _MAX_NAME_CHARACTERS:
        yield (
            f"{field} has {len(text)} characters; valid: at most "
            f"{_MAX_NAME_CHARACTERS}"
        )
    elif _CONTROL_CHARACTER_PATTERN.search(text):
        yield f"{field} is {_quote(text)}; valid: no control characters"


def _quote(value: str | int) -> str:
    """Returns a short form of a value, which may be of any length."""
    if isinstance(value, int):
        # Longer decimal texts of integers are an error.
        return f"{value}" if abs(value) < 2**256 else "an integer over 2**256"
    text = repr(value[:_MAX_QUOTED_CHARACTERS])
    return text if len(value) <= _MAX_QUOTED_CHARACTERS else f"{text}..."
