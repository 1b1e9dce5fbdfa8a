"""Lines of the entries of a JSON text. Pure."""

from __future__ import annotations

from collections.abc import Mapping
import json
import re

Path = tuple[str | int, ...]

_TOKEN_PATTERN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},:]|[^\s\[\]{},:"]+|\n')


def find(text: str) -> Mapping[Path, int]:
    """Returns the line of each entry of a JSON text, from 1.

    An entry is a member of an object, which begins with its key, or an element
    of an array. Its path consists of keys and indexes. Entries after an error
    of the text may be missing.
    """
    lines: dict[Path, int] = {}
    line = 1
    # Key or next index of each open container.
    path: list[str | int] = []
    is_object: list[bool] = []
    expects_key = False
    for match in _TOKEN_PATTERN.finditer(text):
        token = match.group()
        if token == "\n":
            line += 1
            continue
        if token in "]},:" and not path:
            return lines
        if token in "]}":
            path.pop()
            is_object.pop()
            expects_key = False
            continue
        if token == ",":
            expects_key = is_object[-1]
            if not expects_key:
                path[-1] = int(path[-1]) + 1
            continue
        if token == ":":
            continue
        if expects_key:
            if not token.startswith('"'):
                return lines
            try:
                path[-1] = json.loads(token)
            except ValueError:
                return lines
            lines[tuple(path)] = line
            expects_key = False
            continue
        if path and not is_object[-1]:
            lines[tuple(path)] = line
        if token in "[{":
            expects_key = token == "{"
            is_object.append(expects_key)
            path.append("" if expects_key else 0)
    return lines


def nearest(lines: Mapping[Path, int], path: Path) -> int:
    """Returns the line of an entry, or of the closest one that contains it.

    Returns:
        The line from 1; 0 if the text has none of them.
    """
    while path:
        if path in lines:
            return lines[path]
        path = path[:-1]
    return 0


def format_path(path: Path) -> str:
    """Returns a path as text, such as `routes[0].host`."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".")


def parse_path(text: str) -> Path:
    """Returns the path of a text such as `$.routes[0].host`."""
    return tuple(
        int(index) if index else key
        for index, key in re.findall(r"\[(\d+)\]|([^.\[\]$]+)", text)
    )
