"""The operators' rules: a text file, one line a rule.

A line is `KIND NAME option=value ... # who asked`. All faults of a text are
found in one pass and returned together; a text with a fault is never applied.
The grammar is described for operators in docs/operators/rules.md.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import re
import shlex
from typing import Any
from typing import NamedTuple

from endivestream import findings

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,119}\Z")
_DIGEST = re.compile(r"[0-9a-f]{64}\Z")


class Team(NamedTuple):
    """A tenant with its share of the whole fleet.

    Attributes:
        name: The name that keys and `allow` lines use.
        rate: Tokens a second over all hosts together.
        burst: Tokens that may be taken at once.
        weight: Share in fair queueing, relative to other teams.
    """

    name: str
    rate: int
    burst: int
    weight: int


class Model(NamedTuple):
    """A model that must stay reachable.

    Attributes:
        name: The name callers ask for.
        memory: Accelerator memory of one copy, in MiB.
        copies: The least number of loaded copies.
        max_tokens: Tokens generated when a request names no maximum.
    """

    name: str
    memory: int
    copies: int
    max_tokens: int


class Adapter(NamedTuple):
    """A small set of weights served on top of a model.

    Attributes:
        name: The name callers ask for, as if it were a model.
        model: The model it belongs to.
        memory: Accelerator memory in a target's adapter arena, in MiB.
    """

    name: str
    model: str
    memory: int


class Service(NamedTuple):
    """A plain service that stands beside the engines.

    Attributes:
        name: The name in `/v1/services/NAME/`.
        idempotent: Whether a call may be sent twice. A non-idempotent one
            needs an Idempotency-Key and runs at most once.
        cost: Tokens charged to the team for a call.
    """

    name: str
    idempotent: bool
    cost: int


class Key(NamedTuple):
    """A caller's key; only its digest is known here.

    Attributes:
        label: The name operators use for it.
        team: The team whose work it opens.
        digest: SHA-256 of the key, hexadecimal.
    """

    label: str
    team: str
    digest: str


class Rules(NamedTuple):
    """A whole, checked rules text.

    Attributes:
        teams: By name.
        models: By name.
        adapters: By name.
        services: By name.
        keys: By label; only those written in the text.
        allowed: For each team the models, adapters and services it may use.
    """

    teams: Mapping[str, Team]
    models: Mapping[str, Model]
    adapters: Mapping[str, Adapter]
    services: Mapping[str, Service]
    keys: Mapping[str, Key]
    allowed: Mapping[str, frozenset[str]]

    def model_of(self, name: str) -> str | None:
        """Returns the model behind a model's or adapter's name, or None."""
        if name in self.models:
            return name
        adapter = self.adapters.get(name)
        return adapter.model if adapter else None


class _Option(NamedTuple):
    """How one `option=value` is read.

    Attributes:
        read: Turns the text into a value, or raises ValueError.
        expected: What the reader takes, for findings.
        default: The value when absent; `_NEEDED` when it must be given.
    """

    read: Callable[[str], Any]
    expected: str
    default: Any


_NEEDED = object()


def _positive(text: str) -> int:
    value = int(text)
    if not 0 < value < 2**53:
        raise ValueError(text)
    return value


def _yes_no(text: str) -> bool:
    return {"yes": True, "no": False}[text]


def _digest(text: str) -> str:
    if not _DIGEST.match(text):
        raise ValueError(text)
    return text


def _count(default: Any) -> _Option:
    return _Option(_positive, "a whole number above 0", default)


def _word() -> _Option:
    return _Option(str, "a name", _NEEDED)


# Kind -> options. `allow` takes bare names instead and stands apart.
_KINDS: dict[str, dict[str, _Option]] = {
    "team": {
        "rate": _count(_NEEDED),
        "burst": _count(_NEEDED),
        "weight": _count(1),
    },
    "key": {
        "team": _word(),
        "sha256": _Option(_digest, "64 hexadecimal digits", _NEEDED),
    },
    "model": {
        "memory": _count(_NEEDED),
        "copies": _count(1),
        "max_tokens": _count(512),
    },
    "adapter": {"model": _word(), "memory": _count(_NEEDED)},
    "service": {
        "idempotent": _Option(_yes_no, "yes or no", False),
        "cost": _count(1),
    },
    "allow": {},
}


class _Line(NamedTuple):
    """One rule as written: its words, each with its place."""

    kind: str
    name: str
    options: dict[str, Any]
    words: list[tuple[findings.Place, str]]


class _Parser:
    """Collects lines and findings of one text."""

    def __init__(self, *, source: str) -> None:
        self._source = source
        self.found: list[findings.Finding] = []

    def _report(self, place: findings.Place, what: str) -> None:
        self.found.append(findings.Finding(place, what))

    def line(self, number: int, text: str) -> _Line | None:
        """Reads one line; None for an empty, pure comment or faulty one."""
        start = findings.Place(self._source, number, 1)
        rule, comment = _split_comment(text)
        if not rule.strip():
            return None
        if not comment:
            self._report(start, "no comment that names who asked ('# name')")
        try:
            plain = shlex.split(rule)
        except ValueError as error:
            self._report(start, f"cannot be split into words: {error}")
            return None
        words = self._place_words(number, rule, plain)
        place, kind = words[0]
        if kind not in _KINDS:
            self._report(
                place, findings.unknown_word("kind of rule", kind, _KINDS)
            )
            return None
        if len(words) < 2:
            self._report(place, f"{kind!r} needs a name after it")
            return None
        place, name = words[1]
        if not _NAME.match(name):
            self._report(
                place,
                f"{name!r} is not a name: letters, digits and . _ : / - only",
            )
            return None
        if kind == "allow":
            if len(words) < 3:
                self._report(place, "'allow' needs at least one name to allow")
            return _Line(kind, name, {}, words)
        options = self._options(kind, words[1][0], words[2:])
        return None if options is None else _Line(kind, name, options, words)

    def _place_words(
        self, number: int, rule: str, plain: list[str]
    ) -> list[tuple[findings.Place, str]]:
        placed = []
        position = 0
        for word in plain:
            found = rule.find(word, position)
            # Quoting can hide a word from `find`; the last place is near.
            position = found if found >= 0 else position
            place = findings.Place(self._source, number, position + 1)
            placed.append((place, word))
            position += len(word) if found >= 0 else 0
        return placed

    def _options(
        self,
        kind: str,
        after: findings.Place,
        words: list[tuple[findings.Place, str]],
    ) -> dict[str, Any] | None:
        known = _KINDS[kind]
        values: dict[str, Any] = {}
        sound = True
        for place, word in words:
            name, equals, text = word.partition("=")
            if name not in known or not equals:
                what = findings.unknown_word(f"{kind} option", name, known)
                self._report(place, what)
                sound = False
                continue
            if name in values:
                self._report(place, f"{name!r} is given twice")
                sound = False
                continue
            try:
                values[name] = known[name].read(text)
            except (ValueError, KeyError):
                self._report(
                    place, f"{name}={text!r}: expected {known[name].expected}"
                )
                sound = False
        for name, option in known.items():
            if name in values:
                continue
            if option.default is _NEEDED:
                if sound:
                    self._report(
                        after,
                        f"{kind!r} needs {name}=, {option.expected}",
                    )
                sound = False
            values[name] = option.default
        return values if sound else None


def _split_comment(text: str) -> tuple[str, str]:
    """Splits a line at the first `#` that starts a word."""
    match = re.search(r"(^|\s)#", text)
    if not match:
        return text, ""
    return text[: match.start()], text[match.end() :].strip()


def parse(
    text: str, *, source: str = "rules"
) -> Rules | list[findings.Finding]:
    """Reads a rules text.

    Args:
        text: The whole text.
        source: The file's name, for findings.

    Returns:
        The rules, or every finding in the order of its line.
    """
    parser = _Parser(source=source)
    lines = []
    for number, raw in enumerate(text.splitlines(), start=1):
        line = parser.line(number, raw)
        if line:
            lines.append(line)
    rules = _build(parser, lines)
    if parser.found:
        return sorted(parser.found)
    return rules


def _build(parser: _Parser, lines: list[_Line]) -> Rules:
    """Resolves names between lines; reports unknown and doubled ones."""
    teams: dict[str, Team] = {}
    models: dict[str, Model] = {}
    adapters: dict[str, Adapter] = {}
    services: dict[str, Service] = {}
    keys: dict[str, Key] = {}
    defined: dict[tuple[str, str], int] = {}
    for line in lines:
        place = line.words[1][0]
        if line.kind == "allow":
            continue
        # Callers ask for adapters as models, so the two share their names.
        space = "model" if line.kind == "adapter" else line.kind
        earlier = defined.setdefault((space, line.name), place.line)
        if earlier != place.line:
            parser.found.append(
                findings.Finding(
                    place,
                    f"{line.kind} {line.name!r} is defined on line {earlier}",
                )
            )
            continue
        match line.kind:
            case "team":
                teams[line.name] = Team(line.name, **line.options)
            case "model":
                models[line.name] = Model(line.name, **line.options)
            case "adapter":
                adapters[line.name] = Adapter(line.name, **line.options)
            case "service":
                services[line.name] = Service(line.name, **line.options)
            case "key":
                keys[line.name] = Key(
                    line.name, line.options["team"], line.options["sha256"]
                )
    allowed = _resolve(parser, lines, teams, models, adapters, services)
    return Rules(teams, models, adapters, services, keys, allowed)


def _resolve(
    parser: _Parser,
    lines: list[_Line],
    teams: dict[str, Team],
    models: dict[str, Model],
    adapters: dict[str, Adapter],
    services: dict[str, Service],
) -> dict[str, frozenset[str]]:
    targets = {*models, *adapters, *services}
    allowed: dict[str, frozenset[str]] = dict.fromkeys(teams, frozenset())

    def check(kind: str, place: findings.Place, name: str, valid: Any) -> bool:
        if name in valid:
            return True
        what = findings.unknown_word(kind, name, valid)
        parser.found.append(findings.Finding(place, what))
        return False

    for line in lines:
        if line.kind == "key":
            check("team", line.words[1][0], line.options["team"], teams)
        elif line.kind == "adapter":
            check("model", line.words[1][0], line.options["model"], models)
        elif line.kind == "allow":
            names = frozenset(
                name
                for place, name in line.words[2:]
                if check("model, adapter or service", place, name, targets)
            )
            if check("team", line.words[1][0], line.name, teams):
                allowed[line.name] = allowed[line.name] | names
    return allowed
