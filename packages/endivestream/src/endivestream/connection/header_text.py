"""Texts in header values and request targets. Pure.

HTTP libraries read and write header values as Latin-1, one character for each
byte. Names of teams, targets, models and keys may have any characters; they
travel as UTF-8.
"""

from __future__ import annotations


def encode(text: str) -> str:
    """Returns the header value that carries a text."""
    return text.encode().decode("latin-1")


def decode(value: str) -> str:
    """Returns the text that a header value carries.

    A value that is not UTF-8 is read as Latin-1.
    """
    try:
        return value.encode("latin-1").decode()
    except UnicodeError:
        return value


def is_request_target(value: str) -> bool:
    """Returns whether a received path can be sent on unchanged.

    Valid paths are ASCII. The library writes others as UTF-8, so only those
    that are UTF-8 keep their bytes.
    """
    if value.isascii():
        return True
    try:
        value.encode("latin-1").decode()
    except UnicodeError:
        return False
    return True
