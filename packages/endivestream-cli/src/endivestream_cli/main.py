"""The operators' command `endivestream`.

It manages rules, configurations, keys, targets and voters, and shows a status.
"""

from __future__ import annotations

import argparse
import difflib
import getpass
import hashlib
import json
import os
import pathlib
import secrets
import sys
from typing import Any
import urllib.parse
import uuid

from endivestream.connection import link_keys

from endivestream_cli import client as client_lib
from endivestream_cli import config
from endivestream_cli import show

# Exit statuses, documented in docs/operators/command.md.
EXIT_OK = 0
EXIT_REJECTED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_NOT_IN_FORCE = 5

_DEFAULT_ADDRESS = "127.0.0.1:8081"
_EXAMPLES = """examples:
  endivestream rules check rules.txt
  endivestream rules diff rules.txt
  endivestream rules apply rules.txt --comment 'ticket 41' --wait 10
  endivestream config check new.json --against 10.0.0.1:80
  endivestream key create --label bench-3 --team workshops
  endivestream key revoke bench-3 --wait 10
  endivestream target drain engine-4
  endivestream voter list
  endivestream --output json status

exit statuses: 0 done, 1 rejected, 2 wrong usage, 3 conflict with another
change, 4 no host responds, 5 accepted but not yet in force everywhere
"""


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="endivestream",
        description="Operates endivestream.",
        epilog=_EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--address",
        action="append",
        help="inner IP:PORT of a host; may be repeated, tried in order "
        f"(default ENDIVESTREAM_ADDRESS or {_DEFAULT_ADDRESS})",
    )
    parser.add_argument("--output", choices=("text", "json"), default="text")
    parser.add_argument(
        "--author", default=os.environ.get("USER") or getpass.getuser()
    )
    commands = parser.add_subparsers(dest="command", required=True)
    _add_rules(commands)
    config_parser = commands.add_parser(
        "config", help="check a configuration document"
    )
    config_actions = config_parser.add_subparsers(dest="action", required=True)
    config.add_arguments(
        config_actions.add_parser(
            "check", help="report all errors in a file, and compare it"
        )
    )
    _add_keys(commands)
    target = commands.add_parser("target", help="list and drain targets")
    actions = target.add_subparsers(dest="action", required=True)
    actions.add_parser("list", help="list all announced targets")
    drain = actions.add_parser(
        "drain", help="stop sending new requests to a target"
    )
    drain.add_argument("name")
    drain.add_argument(
        "--undo",
        action="store_true",
        help="send new requests to the target again",
    )
    voter = commands.add_parser(
        "voter", help="list and remove replicas of the log"
    )
    actions = voter.add_subparsers(dest="action", required=True)
    actions.add_parser("list", help="list voters and learners")
    remove = actions.add_parser(
        "remove", help="remove a failed replica immediately"
    )
    remove.add_argument("name", help="host name, or prefix of the identity")
    link_key = commands.add_parser(
        "link-key", help="create a key pair for links between hosts"
    )
    link_key.add_argument("name", help="'system', or a host's name")
    link_key.add_argument("--folder", type=pathlib.Path, required=True)
    commands.add_parser(
        "models", help="list models and the number of their live copies"
    )
    commands.add_parser("status", help="show a summary of the system")
    return parser


def _add_rules(commands: Any) -> None:
    rules = commands.add_parser(
        "rules", help="check, compare, apply and show the rules"
    )
    actions = rules.add_subparsers(dest="action", required=True)
    for name, text in (
        ("check", "report all errors in a file without applying it"),
        ("diff", "compare a file with the rules in force"),
        ("apply", "replace the rules with those in a file"),
    ):
        action = actions.add_parser(name, help=text)
        action.add_argument("file", type=pathlib.Path)
        if name != "apply":
            continue
        action.add_argument(
            "--comment", default="", help="reason, for the history"
        )
        action.add_argument(
            "--expected-version",
            type=int,
            help="version the file was edited from (default: the current one)",
        )
        _add_change(action)
    actions.add_parser("history", help="list the most recent changes")
    actions.add_parser("show", help="show the rules in force")


def _add_keys(commands: Any) -> None:
    key = commands.add_parser(
        "key", help="create, revoke and list callers' keys"
    )
    actions = key.add_subparsers(dest="action", required=True)
    create = actions.add_parser(
        "create", help="create a key; it is shown only once"
    )
    create.add_argument("--label", required=True)
    create.add_argument("--team", required=True)
    _add_change(create)
    revoke = actions.add_parser("revoke", help="revoke a key permanently")
    revoke.add_argument("label")
    _add_change(revoke)
    actions.add_parser("list", help="list all keys by label")


def _add_change(action: argparse.ArgumentParser) -> None:
    action.add_argument(
        "--change-id",
        default=None,
        help="id of the change; reuse it to retry after a lost answer",
    )
    action.add_argument(
        "--wait",
        type=float,
        default=0.0,
        metavar="SECONDS",
        help="how long to wait until the change is in force on every host",
    )


class _Command:
    """Runs the command once with its parsed arguments."""

    def __init__(self, *, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        addresses = arguments.address or os.environ.get(
            "ENDIVESTREAM_ADDRESS", _DEFAULT_ADDRESS
        ).split(",")
        self._client = client_lib.Client(
            addresses=addresses,
            token=os.environ.get("ENDIVESTREAM_TOKEN", ""),
        )

    def run(self) -> int:
        """Runs the command; returns the exit status."""
        arguments = self._arguments
        match arguments.command, getattr(arguments, "action", ""):
            case "rules", "check":
                return self._rules_check()
            case "rules", "diff":
                return self._rules_diff()
            case "rules", "apply":
                return self._rules_apply()
            case "rules", "history":
                return self._show_view("history")
            case "rules", "show":
                return self._rules_show()
            case "config", "check":
                return config.check(arguments, config.FORMAT)
            case "key", "create":
                return self._key_create()
            case "key", "revoke":
                return self._key_revoke()
            case "key", "list":
                return self._show_view("keys")
            case "target", "list":
                return self._show_view("targets")
            case "target", "drain":
                return self._target_drain()
            case "voter", "list":
                return self._show_view("voters")
            case "voter", "remove":
                return self._voter_remove()
            case "link-key", _:
                return self._link_key()
            case "models", _:
                return self._show_view("models")
            case "status", _:
                return self._show_view("status")
        raise AssertionError(f"no such command {arguments.command!r}")

    def _print_result(self, body: Any, text: str) -> None:
        if self._arguments.output == "json":
            print(json.dumps(body, indent=2))
        elif text:
            print(text)

    def _report_failure(self, answer: client_lib.Answer) -> int:
        """Prints the findings of a failed request; returns the exit status."""
        error = answer.body.get("error", {})
        if self._arguments.output == "json":
            print(json.dumps(answer.body, indent=2))
        for finding in error.get("findings", [f"HTTP status {answer.status}"]):
            print(finding, file=sys.stderr)
        if answer.status == 0:
            return EXIT_UNREACHABLE
        return EXIT_CONFLICT if answer.status == 409 else EXIT_REJECTED

    def _show_view(self, view: str) -> int:
        answer = self._client.get(f"/operators/{view}")
        if answer.status != 200:
            return self._report_failure(answer)
        self._print_result(answer.body, show.view(view, answer.body))
        return EXIT_OK

    def _read_file(self) -> str | None:
        try:
            return self._arguments.file.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            print(f"{self._arguments.file}: {error}", file=sys.stderr)
            return None

    def _with_file_name(self, answer: client_lib.Answer) -> client_lib.Answer:
        """Replaces `rules:LINE` by the file's name and line in findings."""
        for name, findings in answer.body.get("error", {}).items():
            if name == "findings":
                findings[:] = [
                    f"{self._arguments.file}:{text[6:]}"
                    if text.startswith("rules:")
                    else text
                    for text in findings
                ]
        return answer

    def _rules_check(self) -> int:
        text = self._read_file()
        if text is None:
            return EXIT_USAGE
        answer = self._client.post(
            "/operators/rules/apply",
            {
                "text": text,
                "expected_version": 0,
                "change_id": "check",
                "author": self._arguments.author,
                "check_only": True,
            },
        )
        if answer.status != 200:
            return self._report_failure(self._with_file_name(answer))
        self._print_result(answer.body, "ok")
        return EXIT_OK

    def _rules_diff(self) -> int:
        text = self._read_file()
        if text is None:
            return EXIT_USAGE
        answer = self._client.get("/operators/rules")
        if answer.status != 200:
            return self._report_failure(answer)
        lines = difflib.unified_diff(
            answer.body["text"].splitlines(),
            text.splitlines(),
            f"in force (version {answer.body['version']})",
            str(self._arguments.file),
            lineterm="",
        )
        diff = list(lines)
        self._print_result({"diff": diff}, "\n".join(diff))
        return EXIT_OK

    def _rules_show(self) -> int:
        answer = self._client.get("/operators/rules")
        if answer.status != 200:
            return self._report_failure(answer)
        self._print_result(answer.body, answer.body["text"].rstrip("\n"))
        return EXIT_OK

    def _rules_apply(self) -> int:
        text = self._read_file()
        if text is None:
            return EXIT_USAGE
        expected = self._arguments.expected_version
        if expected is None:
            answer = self._client.get("/operators/rules")
            if answer.status != 200:
                return self._report_failure(answer)
            expected = answer.body["version"]
        return self._change(
            "/operators/rules/apply",
            {
                "text": text,
                "expected_version": expected,
                "comment": self._arguments.comment,
            },
            "rules",
        )

    def _key_create(self) -> int:
        # The secret is generated here and only its digest is sent: no host,
        # log or target has the secret before a caller presents it.
        secret = secrets.token_urlsafe(32)
        digest = hashlib.sha256(secret.encode()).hexdigest()
        return self._change(
            "/operators/keys/create",
            {
                "label": self._arguments.label,
                "team": self._arguments.team,
                "digest": digest,
            },
            "key",
            extra={"key": secret},
        )

    def _key_revoke(self) -> int:
        label = urllib.parse.quote(self._arguments.label, safe="")
        return self._change(f"/operators/keys/{label}/revoke", {}, "key")

    def _change(
        self,
        path: str,
        body: dict[str, Any],
        subject: str,
        extra: dict[str, str] | None = None,
    ) -> int:
        wait = self._arguments.wait
        change_id = self._arguments.change_id or uuid.uuid4().hex
        body = {
            **body,
            "change_id": change_id,
            "author": self._arguments.author,
        }
        answer = self._client.post(f"{path}?wait={wait}", body)
        if answer.status != 200:
            if answer.status == 0:
                print(
                    f"the change may have been accepted; send it again with "
                    f"--change-id {change_id}",
                    file=sys.stderr,
                )
            return self._report_failure(self._with_file_name(answer))
        result = {**answer.body, **(extra or {})}
        text = f"{subject}: version {result['version']}"
        if wait and result["in_force"]:
            text += ", in force on every host"
        elif wait:
            text += f", not yet in force on {', '.join(result['lagging'])}"
        if extra:
            text += "".join(f"\n{name}: {v}" for name, v in extra.items())
        self._print_result(result, text)
        if wait and not result["in_force"]:
            return EXIT_NOT_IN_FORCE
        return EXIT_OK

    def _target_drain(self) -> int:
        name = urllib.parse.quote(self._arguments.name, safe="")
        answer = self._client.post(
            f"/operators/targets/{name}/drain",
            {"draining": not self._arguments.undo},
        )
        if answer.status != 200:
            return self._report_failure(answer)
        state = (
            "receives new requests"
            if self._arguments.undo
            else "receives no new requests"
        )
        self._print_result(answer.body, f"{self._arguments.name} {state}")
        return EXIT_OK

    def _voter_remove(self) -> int:
        name = urllib.parse.quote(self._arguments.name, safe="")
        answer = self._client.post(f"/operators/voters/{name}/remove", {})
        if answer.status != 200:
            return self._report_failure(answer)
        self._print_result(
            answer.body, f"{self._arguments.name} is being removed"
        )
        return EXIT_OK

    def _link_key(self) -> int:
        try:
            public, secret = link_keys.create(
                self._arguments.folder, self._arguments.name
            )
        except OSError as error:
            print(error, file=sys.stderr)
            return EXIT_USAGE
        self._print_result(
            {"public": public, "secret": secret},
            f"public: {public}\nsecret: {secret}",
        )
        return EXIT_OK


def main() -> None:
    """Runs the command `endivestream` and exits with its status."""
    sys.exit(_Command(arguments=_parser().parse_args()).run())
