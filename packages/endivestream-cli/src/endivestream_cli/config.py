"""The command `config check`: checks a configuration before it is sent."""

from __future__ import annotations

import argparse
from collections.abc import Callable
from collections.abc import Mapping
import json
import os
import pathlib
import re
import sys
from typing import Any
from typing import NamedTuple

from endivestream.process import site_settings
from endivestream.version import document as document_lib
from endivestream.version import document_check
from endivestream.version import document_differences

from endivestream_cli import client as client_lib

EXIT_OK = 0
EXIT_FINDINGS = 1
EXIT_UNREADABLE = 2

_HOST_PATTERN = re.compile(r"(https?://\S+|[^/\s]+:\d+)\Z")


class Format(NamedTuple):
    """A format of configurations.

    Attributes:
        read: Decodes a text; returns the first error if it cannot.
        names: Names of the fields in a text.
    """

    read: Callable[[bytes], document_lib.Document | document_check.Located]
    names: document_check.Names


FORMAT = Format(document_check.read, document_check.NAMES)


class _Reference(NamedTuple):
    """What a file is compared with.

    Attributes:
        document: The other configuration.
        is_in_force: Whether it is in force at a host.
        targets: Number of targets by service; None if they are unknown.
    """

    document: document_lib.Document
    is_in_force: bool = False
    targets: Mapping[str, int] | None = None


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of the command."""
    parser.add_argument("file", type=pathlib.Path)
    parser.add_argument(
        "--against",
        metavar="FILE|HOST",
        default="",
        help="file, or IP:PORT of a control host, to compare with",
    )
    parser.add_argument(
        "--retry-ratio",
        type=float,
        default=site_settings.Bounds().repeat_ratio,
        help="retries for each request in the hosts' settings "
        "(default %(default)s)",
    )
    parser.add_argument(
        "--json",
        dest="output",
        action="store_const",
        const="json",
        default=argparse.SUPPRESS,
        help="short form of --output json",
    )


def check(arguments: argparse.Namespace, document_format: Format) -> int:
    """Checks a file and prints what was found; returns the exit status."""
    try:
        source = arguments.file.read_bytes()
    except OSError as error:
        return _report_unreadable(f"{arguments.file}: {error.strerror}")
    document = document_format.read(source)
    if isinstance(document, document_check.Located):
        return _report_unreadable(str(document.finding(str(arguments.file))))
    reference = None
    if arguments.against:
        reference = _read_reference(arguments.against, document_format)
        if isinstance(reference, str):
            return _report_unreadable(reference)
    faults = document_check.locate(
        document_check.check(
            document,
            targets=reference.targets if reference else None,
            max_hedge_ratio=arguments.retry_ratio,
            version_in_force=reference.document.version
            if reference and reference.is_in_force
            else None,
        ),
        source,
        document_format.names,
    )
    differences = None
    if reference is not None:
        differences = document_differences.compare(reference.document, document)
    if arguments.output == "json":
        body = _as_json(str(arguments.file), faults, differences)
        print(json.dumps(body, indent=2))
    else:
        _print_text(str(arguments.file), faults, differences)
    return EXIT_FINDINGS if faults else EXIT_OK


def _report_unreadable(message: str) -> int:
    print(message, file=sys.stderr)
    return EXIT_UNREADABLE


def _read_reference(against: str, document_format: Format) -> _Reference | str:
    """Returns what to compare with, or why it cannot be read."""
    path = pathlib.Path(against)
    is_host = not path.exists() and _HOST_PATTERN.match(against) is not None
    targets = None
    if is_host:
        client = client_lib.Client(
            addresses=[against],
            token=os.environ.get("ENDIVESTREAM_TOKEN", ""),
        )
        answer = client.get("/config")
        if answer.status != 200:
            return f"{against}: {_failure(answer)}"
        source = json.dumps(answer.body).encode()
        targets = _read_targets(client, against)
    else:
        try:
            source = path.read_bytes()
        except OSError as error:
            return f"{against}: {error.strerror}"
    document = document_format.read(source)
    if isinstance(document, document_check.Located):
        return str(document.finding(against))
    return _Reference(document, is_host, targets)


def _read_targets(
    client: client_lib.Client, host: str
) -> Mapping[str, int] | None:
    answer = client.get("/instances")
    if answer.status == 200:
        return answer.body["services"]
    print(
        f"{host}: does not state its targets, so they are not checked: "
        f"{_failure(answer)}",
        file=sys.stderr,
    )
    return None


def _failure(answer: client_lib.Answer) -> str:
    if answer.status:
        return f"HTTP status {answer.status}"
    return "; ".join(answer.body["error"]["findings"])


def _as_json(
    file: str,
    faults: list[document_check.Located],
    differences: list[document_differences.Difference] | None,
) -> dict[str, Any]:
    body: dict[str, Any] = {
        "findings": [{"file": file, **fault._asdict()} for fault in faults]
    }
    if differences is not None:
        body["differences"] = [
            {"kind": type(each).__name__.lower(), **vars(each)}
            for each in differences
        ]
    return body


def _print_text(
    file: str,
    faults: list[document_check.Located],
    differences: list[document_differences.Difference] | None,
) -> None:
    for fault in faults:
        print(fault.finding(file))
    if not faults:
        print("ok")
    for difference in differences or ():
        match difference:
            case document_differences.Added(entry=entry):
                print(f"{entry}: added")
            case document_differences.Removed(entry=entry):
                print(f"{entry}: removed")
            case document_differences.Changed(
                entry=entry, field=field, before=before, after=after
            ):
                before, after = before or "none", after or "none"
                print(f"{entry}: {field}: {before} -> {after}")
    if differences == []:
        print("no differences")
