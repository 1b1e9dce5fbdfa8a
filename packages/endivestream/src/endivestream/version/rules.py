"""Parser of the operators' rules: a text file with one rule on each line.

A line is `KIND NAME option=value ... # who asked`. All errors of a text are
found in one pass and returned together; a text with an error is never applied.
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

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,119}\Z")
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}\Z")


class Team(NamedTuple):
    """A team and its share of the capacity of all hosts.

    Attributes:
        name: The name that keys and `allow` lines use.
        rate: Tokens per second over all hosts together.
        burst: Maximum of tokens that may be spent without a wait.
        weight: Weight in fair queueing, relative to other teams.
    """

    name: str
    rate: int
    burst: int
    weight: int


class Model(NamedTuple):
    """A model that must be kept loaded.

    Attributes:
        name: The model name in requests.
        memory: Accelerator memory of one copy, in MiB.
        copies: Minimum number of loaded copies.
        max_tokens: Maximum of generated tokens for requests that set none.
    """

    name: str
    memory: int
    copies: int
    max_tokens: int


class Adapter(NamedTuple):
    """A small set of weights that is applied on top of a model.

    Attributes:
        name: The name in requests, in place of a model name.
        model: Name of the model that it belongs to.
        memory: Size in a target's adapter memory, in MiB.
    """

    name: str
    model: str
    memory: int


class Service(NamedTuple):
    """A plain service, as opposed to the engines that serve models.

    Attributes:
        name: The name in `/v1/services/NAME/`.
        idempotent: Whether a call may be sent twice. A non-idempotent call
            needs an Idempotency-Key and runs at most once.
        cost: Tokens charged to the team for each call.
    """

    name: str
    idempotent: bool
    cost: int


class Key(NamedTuple):
    """A caller's key, stored as its digest only.

    Attributes:
        label: Name of the key for operators.
        team: Name of the team that it authenticates.
        digest: SHA-256 of the key, hexadecimal.
    """

    label: str
    team: str
    digest: str


class Rules(NamedTuple):
    """A complete and valid rules text.

    Attributes:
        teams: Teams by name.
        models: Models by name.
        adapters: Adapters by name.
        services: Services by name.
        keys: Keys by label; only those that the text defines.
        allowed: Names of the models, adapters and services that each team may
            use, by team.
    """

    teams: Mapping[str, Team]
    models: Mapping[str, Model]
    adapters: Mapping[str, Adapter]
    services: Mapping[str, Service]
    keys: Mapping[str, Key]
    allowed: Mapping[str, frozenset[str]]

    def base_model(self, name: str) -> str | None:
        """Returns the model that serves a model or adapter name, or None."""
        if name in self.models:
            return name
        adapter = self.adapters.get(name)
        return adapter.model if adapter else None


class _Option(NamedTuple):
    """How one `option=value` is parsed.

    Attributes:
        parse: Converts the text to a value; raises ValueError or KeyError.
        expected: Description of the accepted values, for findings.
        default: The value if absent; `_REQUIRED` if it must be given.
    """

    parse: Callable[[str], Any]
    expected: str
    default: Any


_REQUIRED = object()


def _parse_positive_int(text: str) -> int:
    value = int(text)
    if not 0 < value < 2**53:
        raise ValueError(text)
    return value


def _parse_yes_no(text: str) -> bool:
    return {"yes": True, "no": False}[text]


def _parse_digest(text: str) -> str:
    if not _DIGEST_PATTERN.match(text):
        raise ValueError(text)
    return text


def _count_option(default: Any) -> _Option:
    return _Option(_parse_positive_int, "a whole number above 0", default)


def _name_option() -> _Option:
    return _Option(str, "a name", _REQUIRED)


# Options by kind of rule. `allow` takes names instead of options and is parsed
# separately.
_OPTIONS_BY_KIND: dict[str, dict[str, _Option]] = {
    "team": {
        "rate": _count_option(_REQUIRED),
        "burst": _count_option(_REQUIRED),
        "weight": _count_option(1),
    },
    "key": {
        "team": _name_option(),
        "sha256": _Option(_parse_digest, "64 hexadecimal digits", _REQUIRED),
    },
    "model": {
        "memory": _count_option(_REQUIRED),
        "copies": _count_option(1),
        "max_tokens": _count_option(512),
    },
    "adapter": {"model": _name_option(), "memory": _count_option(_REQUIRED)},
    "service": {
        "idempotent": _Option(_parse_yes_no, "yes or no", False),
        "cost": _count_option(1),
    },
    "allow": {},
}


class _ParsedLine(NamedTuple):
    """One parsed rule, and its words with their positions in the text."""

    kind: str
    name: str
    options: dict[str, Any]
    words: list[tuple[findings.Place, str]]


class _Parser:
    """Parses the lines of one text and collects its findings."""

    def __init__(self, *, source: str) -> None:
        self._source = source
        self.findings: list[findings.Finding] = []

    def _add_finding(self, place: findings.Place, message: str) -> None:
        self.findings.append(findings.Finding(place, message))

    def parse_line(self, number: int, text: str) -> _ParsedLine | None:
        """Parses one line; None if it has no rule or an invalid one."""
        start = findings.Place(self._source, number, 1)
        rule, comment = _split_comment(text)
        if not rule.strip():
            return None
        if not comment:
            self._add_finding(
                start,
                "a comment that names the requester is missing ('# name')",
            )
        try:
            unquoted = shlex.split(rule)
        except ValueError as error:
            self._add_finding(start, f"cannot be split into words: {error}")
            return None
        words = self._locate_words(number, rule, unquoted)
        place, kind = words[0]
        if kind not in _OPTIONS_BY_KIND:
            self._add_finding(
                place,
                findings.unknown_word("kind of rule", kind, _OPTIONS_BY_KIND),
            )
            return None
        if len(words) < 2:
            self._add_finding(place, f"{kind!r} must be followed by a name")
            return None
        place, name = words[1]
        if not _NAME_PATTERN.match(name):
            self._add_finding(
                place,
                f"{name!r} is not a name: letters, digits and . _ : / - only",
            )
            return None
        if kind == "allow":
            if len(words) < 3:
                self._add_finding(
                    place,
                    "'allow' requires at least one model, adapter or service",
                )
            return _ParsedLine(kind, name, {}, words)
        options = self._parse_options(kind, words[1][0], words[2:])
        return (
            None if options is None else _ParsedLine(kind, name, options, words)
        )

    def _locate_words(
        self, number: int, rule: str, unquoted: list[str]
    ) -> list[tuple[findings.Place, str]]:
        located = []
        position = 0
        for word in unquoted:
            index = rule.find(word, position)
            # `find` misses a word whose quotes were removed; the position of
            # the previous word is close enough.
            position = index if index >= 0 else position
            place = findings.Place(self._source, number, position + 1)
            located.append((place, word))
            position += len(word) if index >= 0 else 0
        return located

    def _parse_options(
        self,
        kind: str,
        name_place: findings.Place,
        words: list[tuple[findings.Place, str]],
    ) -> dict[str, Any] | None:
        options = _OPTIONS_BY_KIND[kind]
        values: dict[str, Any] = {}
        valid = True
        for place, word in words:
            name, equals, text = word.partition("=")
            if name not in options or not equals:
                message = findings.unknown_word(f"{kind} option", name, options)
                self._add_finding(place, message)
                valid = False
                continue
            if name in values:
                self._add_finding(place, f"{name!r} is given twice")
                valid = False
                continue
            try:
                values[name] = options[name].parse(text)
            except (ValueError, KeyError):
                self._add_finding(
                    place, f"{name}={text!r}: expected {options[name].expected}"
                )
                valid = False
        for name, option in options.items():
            if name in values:
                continue
            if option.default is _REQUIRED:
                if valid:
                    self._add_finding(
                        name_place,
                        f"{kind!r} requires {name}=, {option.expected}",
                    )
                valid = False
            values[name] = option.default
        return values if valid else None


def _split_comment(text: str) -> tuple[str, str]:
    """Splits a line at the first `#` that starts a word."""
    match = re.search(r"(^|\s)#", text)
    if not match:
        return text, ""
    return text[: match.start()], text[match.end() :].strip()


def parse(
    text: str, *, source: str = "rules"
) -> Rules | list[findings.Finding]:
    """Parses a rules text.

    Args:
        text: The complete text.
        source: Name of the file, for findings.

    Returns:
        The rules, or all findings in the order of their lines.
    """
    parser = _Parser(source=source)
    lines = []
    for number, raw in enumerate(text.splitlines(), start=1):
        line = parser.parse_line(number, raw)
        if line:
            lines.append(line)
    rules = _build_rules(parser, lines)
    if parser.findings:
        return sorted(parser.findings)
    return rules


def _build_rules(parser: _Parser, lines: list[_ParsedLine]) -> Rules:
    """Builds the rules; reports unknown and duplicate names."""
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
        # Requests name an adapter in place of a model, so adapters and models
        # share one namespace.
        namespace = "model" if line.kind == "adapter" else line.kind
        line_no = defined.setdefault((namespace, line.name), place.line)
        if line_no != place.line:
            parser.findings.append(
                findings.Finding(
                    place,
                    f"{line.kind} {line.name!r} is defined on line {line_no}",
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
    allowed = _resolve_allowed_names(
        parser, lines, teams, models, adapters, services
    )
    return Rules(teams, models, adapters, services, keys, allowed)


def _resolve_allowed_names(
    parser: _Parser,
    lines: list[_ParsedLine],
    teams: dict[str, Team],
    models: dict[str, Model],
    adapters: dict[str, Adapter],
    services: dict[str, Service],
) -> dict[str, frozenset[str]]:
    allowable = {*models, *adapters, *services}
    allowed: dict[str, frozenset[str]] = dict.fromkeys(teams, frozenset())

    def check_defined(
        kind: str, place: findings.Place, name: str, defined: Any
    ) -> bool:
        if name in defined:
            return True
        message = findings.unknown_word(kind, name, defined)
        parser.findings.append(findings.Finding(place, message))
        return False

    for line in lines:
        if line.kind == "key":
            check_defined("team", line.words[1][0], line.options["team"], teams)
        elif line.kind == "adapter":
            check_defined(
                "model", line.words[1][0], line.options["model"], models
            )
        elif line.kind == "allow":
            names = frozenset(
                name
                for place, name in line.words[2:]
                if check_defined(
                    "model, adapter or service", place, name, allowable
                )
            )
            if check_defined("team", line.words[1][0], line.name, teams):
                allowed[line.name] = allowed[line.name] | names
    return allowed
