"""Settings of one process, read from a TOML file and validated.

All errors in the file are found in one pass. Each is reported with its line,
the value and what was expected. Each setting is declared here with its
default, its unit and its reason; `endivestreamd --show-settings` prints this
list.
"""

from __future__ import annotations

import dataclasses
import pathlib
import re
import tomllib
from typing import Any

from endivestream import findings


def _setting(default: Any, unit: str, reason: str) -> Any:
    metadata = {"unit": unit, "reason": reason}
    if isinstance(default, list):
        return dataclasses.field(
            default_factory=lambda: list(default), metadata=metadata
        )
    return dataclasses.field(default=default, metadata=metadata)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Host:
    """Identity, location and storage of this process."""

    name: str = _setting(
        "local", "", "name of this host, unique among all hosts"
    )
    domain: str = _setting("local", "", "failure domain of this host")
    data_folder: str = _setting(
        "",
        "folder",
        "stores the replicated log; empty on a host without a disk",
    )
    log_level: str = _setting("INFO", "", "DEBUG, INFO, WARNING or ERROR")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Http:
    """HTTP servers for callers, and for operators and targets."""

    address: str = _setting("127.0.0.1:8080", "IP:PORT", "callers")
    inner_address: str = _setting(
        "127.0.0.1:8081",
        "IP:PORT",
        "listen address for operators and targets; never open to callers",
    )
    url: str = _setting(
        "", "URL", "sent to callers by /v1/addresses; empty: built from address"
    )
    max_header_bytes: int = _setting(
        16384, "bytes", "maximum size of one request's head"
    )
    max_body_bytes: int = _setting(
        8 * 1024 * 1024, "bytes", "maximum size of one request's body"
    )
    idle_seconds: float = _setting(
        60.0,
        "s",
        "a connection that completes no request head in this time is closed",
    )
    body_seconds: float = _setting(
        30.0,
        "s",
        "a request whose body is incomplete after this time is closed",
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tokens:
    """Bearer tokens of operators and targets."""

    operator: str = _setting(
        "", "", "bearer token; needed when inner_address is not loopback"
    )
    target: str = _setting(
        "", "", "bearer token; needed when inner_address is not loopback"
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Peers:
    """Links between the hosts of the system."""

    address: str = _setting(
        "tcp://127.0.0.1:8082",
        "tcp://IP:PORT",
        "listen address of a control host",
    )
    control: list[str] = _setting(
        [],
        "list of tcp://IP:PORT",
        "all control hosts; empty: this host is the only one",
    )
    voters: int = _setting(
        3,
        "",
        "replicas of the log that vote; all further replicas are learners",
    )
    replace_voter_seconds: float = _setting(
        1800.0, "s", "a voter silent for this time is replaced by a learner"
    )
    silence_seconds: float = _setting(
        2.0, "s", "a link without received frames for this time is replaced"
    )
    request_seconds: float = _setting(
        2.0, "s", "timeout of a request to another host"
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class LinkKeys:
    """Keys of links between hosts; `endivestream link-key` creates them."""

    system_file: str = _setting(
        "",
        "file",
        "key of the system; on control hosts the file with the secret key",
    )
    host_file: str = _setting("", "file", "this host's secret key")
    allowed_folder: str = _setting(
        "", "folder", "public keys of all hosts; used on control hosts only"
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """Times whose relations are checked; see `_Checker._check_relations`."""

    lease_seconds: float = _setting(
        3.0, "s", "a gateway without a renewal for longer refuses new requests"
    )
    watch_seconds: float = _setting(
        0.5, "s", "interval at which a gateway renews its lease"
    )
    host_silence_seconds: float = _setting(
        2.0, "s", "a host silent for longer is removed from the address list"
    )
    target_silence_seconds: float = _setting(
        3.0,
        "s",
        "a target without a report for longer receives no new requests",
    )
    report_seconds: float = _setting(
        1.0, "s", "interval at which targets report"
    )
    address_lifetime_seconds: float = _setting(
        5.0, "s", "time for which callers cache the address list"
    )
    drain_margin_seconds: float = _setting(
        1.0, "s", "added to the lifetime before a draining host stops listening"
    )
    election_seconds: float = _setting(
        0.5,
        "s",
        "minimum time without a message of the leader before an election",
    )
    plan_seconds: float = _setting(
        0.5, "s", "interval between two placement plans"
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Requests:
    """Limits of one request."""

    queue_seconds: float = _setting(
        10.0,
        "s",
        "maximum wait for a target; Endivestream-Patience can shorten it",
    )
    credit_seconds: float = _setting(
        1.0,
        "s",
        "maximum wait for credit if a request has no Endivestream-Patience",
    )
    connect_seconds: float = _setting(
        1.0, "s", "timeout for connecting to a target"
    )
    first_byte_seconds: float = _setting(
        30.0, "s", "timeout from sending a request to the head of its answer"
    )
    stream_silence_seconds: float = _setting(
        10.0,
        "s",
        "an engine's stream silent for longer is resumed on another engine",
    )
    service_seconds: float = _setting(
        60.0, "s", "timeout for a service's complete answer"
    )
    attempts: int = _setting(
        4, "", "maximum number of targets tried for one request"
    )
    retry_share: float = _setting(
        0.2, "", "maximum share of retries in recent requests"
    )
    bytes_per_token: int = _setting(
        4, "bytes", "number of prompt bytes that are charged as one token"
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class WeightStore:
    """The load budget of the weight store, for all hosts together."""

    loads_at_once: int = _setting(
        11, "", "maximum number of model loads in progress at a time"
    )
    loads_per_second: float = _setting(
        3.0, "1/s", "maximum rate at which model loads are started"
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """All sections of the file."""

    host: Host = dataclasses.field(default_factory=Host)
    http: Http = dataclasses.field(default_factory=Http)
    tokens: Tokens = dataclasses.field(default_factory=Tokens)
    peers: Peers = dataclasses.field(default_factory=Peers)
    link_keys: LinkKeys = dataclasses.field(default_factory=LinkKeys)
    timing: Timing = dataclasses.field(default_factory=Timing)
    requests: Requests = dataclasses.field(default_factory=Requests)
    weight_store: WeightStore = dataclasses.field(default_factory=WeightStore)

    @property
    def is_control(self) -> bool:
        """Whether this process stores a replica of the log."""
        return bool(self.host.data_folder)

    @property
    def is_alone(self) -> bool:
        """Whether this is the only control host."""
        return self.peers.control in ([], [self.peers.address])

    @property
    def url(self) -> str:
        """The URL at which callers reach this host."""
        return self.http.url or f"http://{self.http.address}"


_VALUE_TYPES = {
    "str": (str, "a string"),
    "int": (int, "a whole number"),
    "float": (float, "a number"),
    "list[str]": (list, "a list of strings"),
}
_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def load(path: pathlib.Path) -> Settings | list[findings.Finding]:
    """Reads and validates a settings file.

    Args:
        path: The file.

    Returns:
        The settings, or all findings sorted by line.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        place = findings.Place(str(path))
        return [findings.Finding(place, f"cannot be read: {error}")]
    return parse(text, source=str(path))


def parse(text: str, *, source: str) -> Settings | list[findings.Finding]:
    """Validates the text of a settings file; see `load`."""
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        match = re.search(r"at line (\d+), column (\d+)", str(error))
        line, column = (int(n) for n in match.groups()) if match else (0, 0)
        place = findings.Place(source, line, column)
        return [findings.Finding(place, f"invalid TOML: {error}")]
    checker = _Checker(text=text, source=source)
    settings = checker.settings(tables)
    if checker.all_findings:
        return sorted(checker.all_findings)
    return settings


class _Checker:
    """Validates one file and collects its findings."""

    def __init__(self, *, text: str, source: str) -> None:
        self._source = source
        self._lines = _line_numbers(text)
        self.all_findings: list[findings.Finding] = []

    def _report(self, section: str, key: str, message: str) -> None:
        line = self._lines.get((section, key)) or self._lines.get(
            (section, ""), 0
        )
        place = findings.Place(self._source, line)
        self.all_findings.append(findings.Finding(place, message))

    def settings(self, tables: dict[str, Any]) -> Settings:
        sections = {f.name: f for f in dataclasses.fields(Settings)}
        values = {}
        for section, table in tables.items():
            if section not in sections or not isinstance(table, dict):
                message = findings.unknown_word("section", section, sections)
                self._report(section, "", message)
                continue
            kind = sections[section].default_factory
            values[section] = self._parse_section(section, kind, table)
        settings = Settings(**values)
        self._check_relations(settings)
        return settings

    def _parse_section(
        self, section: str, kind: Any, table: dict[str, Any]
    ) -> Any:
        valid_fields = {f.name: f for f in dataclasses.fields(kind)}
        values = {}
        for key, value in table.items():
            if key not in valid_fields:
                message = findings.unknown_word(
                    f"setting in [{section}]", key, valid_fields
                )
                self._report(section, key, message)
                continue
            python_type, expected = _VALUE_TYPES[str(valid_fields[key].type)]
            if python_type is float and type(value) is int:
                value = float(value)
            is_valid = type(value) is python_type
            if is_valid and python_type is list:
                is_valid = all(isinstance(item, str) for item in value)
            if is_valid and python_type in (int, float):
                is_valid = value > 0
                expected += " above 0"
            if not is_valid:
                message = f"{section}.{key} = {value!r}: expected {expected}"
                self._report(section, key, message)
                continue
            values[key] = value
        return kind(**values)

    def _check_relations(self, settings: Settings) -> None:
        """Checks the format of values and the relations between settings."""
        host, timing = settings.host, settings.timing
        if host.log_level not in _LOG_LEVELS:
            message = findings.unknown_word(
                "log level", host.log_level, _LOG_LEVELS
            )
            self._report("host", "log_level", message)
        if not re.fullmatch(r"[A-Za-z0-9._-]+", host.name):
            message = (
                f"host.name = {host.name!r}: expected only letters, digits, "
                ". _ -"
            )
            self._report("host", "name", message)
        if not settings.peers.control and not host.data_folder:
            message = (
                "host.data_folder is required when peers.control is empty: "
                "this host stores the replicated log"
            )
            self._report("host", "data_folder", message)
        for key in ("address", "inner_address"):
            address = getattr(settings.http, key)
            if not re.fullmatch(r"\d+(\.\d+){3}:\d+", address):
                message = f"http.{key} = {address!r}: expected IP:PORT"
                self._report("http", key, message)
        for address in (settings.peers.address, *settings.peers.control):
            if not re.fullmatch(r"tcp://\d+(\.\d+){3}:(\d+|\*)", address):
                message = f"peers: {address!r}: expected tcp://IP:PORT"
                self._report("peers", "address", message)
        is_loopback = settings.http.inner_address.startswith("127.")
        for key in ("operator", "target"):
            if not is_loopback and not getattr(settings.tokens, key):
                message = (
                    f"tokens.{key} is required: http.inner_address "
                    f"{settings.http.inner_address} is reachable from other "
                    "hosts"
                )
                self._report("tokens", key, message)
        self._check_link_keys(settings)
        # A lease must outlast a lost renewal. Otherwise every dropped frame
        # makes a healthy gateway refuse requests (symptom: 503 no_lease in
        # bursts).
        self._check_at_least(
            "timing.lease_seconds",
            timing.lease_seconds,
            "4 x timing.watch_seconds",
            4 * timing.watch_seconds,
        )
        # A gateway must find the new leader before its lease expires. This
        # takes the renewal that the failed leader does not answer, an election
        # of up to twice the election time, and one more renewal.
        self._check_at_least(
            "timing.lease_seconds",
            timing.lease_seconds,
            "3 x timing.election_seconds + 2 x timing.watch_seconds",
            3 * timing.election_seconds + 2 * timing.watch_seconds,
        )
        if settings.peers.voters % 2 == 0:
            message = (
                f"peers.voters = {settings.peers.voters}: expected an odd "
                "number"
            )
            self._report("peers", "voters", message)
        # A broken link must be reopened before the lease expires.
        self._check_at_least(
            "timing.lease_seconds",
            timing.lease_seconds,
            "peers.silence_seconds + timing.watch_seconds",
            settings.peers.silence_seconds + timing.watch_seconds,
        )
        self._check_at_least(
            "timing.target_silence_seconds",
            timing.target_silence_seconds,
            "2 x timing.report_seconds",
            2 * timing.report_seconds,
        )
        self._check_at_least(
            "timing.host_silence_seconds",
            timing.host_silence_seconds,
            "3 x timing.watch_seconds",
            3 * timing.watch_seconds,
        )

    def _check_link_keys(self, settings: Settings) -> None:
        keys = settings.link_keys
        required = ["system_file", "host_file"]
        if settings.is_control:
            required.append("allowed_folder")
        present = [name for name in required if getattr(keys, name)]
        for name in required:
            if present and name not in present:
                message = (
                    f"link_keys.{name} is required because {present[0]} is set"
                )
                self._report("link_keys", name, message)
        # Without link keys, anyone who can connect to this address could
        # become the leader, place models and read the digests of all keys.
        is_loopback = settings.peers.address.startswith("tcp://127.")
        if settings.is_control and not is_loopback and not present:
            message = (
                f"link_keys are required: peers.address "
                f"{settings.peers.address} is reachable from other hosts"
            )
            self._report("link_keys", "system_file", message)

    def _check_at_least(
        self, name: str, value: float, other: str, minimum: float
    ) -> None:
        if value < minimum:
            section, key = name.split(".")
            message = f"{name} = {value} must be at least {other} = {minimum}"
            self._report(section, key, message)


def _line_numbers(text: str) -> dict[tuple[str, str], int]:
    """Returns the lines of sections and keys, which `tomllib` does not."""
    numbers: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        header = re.match(r"\s*\[\s*([\w-]+)\s*\]", line)
        if header:
            section = header.group(1)
            numbers[(section, "")] = number
            continue
        key = re.match(r"\s*([\w-]+)\s*=", line)
        if key:
            numbers[(section, key.group(1))] = number
    return numbers


def show() -> str:
    """Returns all settings with defaults, units and reasons, as TOML."""
    lines = []
    for section in dataclasses.fields(Settings):
        lines.append(f"[{section.name}]")
        for field in dataclasses.fields(section.default_factory):
            unit = field.metadata["unit"]
            comment = f"{unit}: " if unit else ""
            default = field.default
            if default is dataclasses.MISSING:
                default = field.default_factory()
            default_text = (
                f'"{default}"' if isinstance(default, str) else default
            )
            lines.append(f"# {comment}{field.metadata['reason']}")
            lines.append(f"{field.name} = {default_text}")
        lines.append("")
    return "\n".join(lines)
