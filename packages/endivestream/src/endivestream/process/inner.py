"""HTTP routes for operators and for targets, on the inner address."""

from __future__ import annotations

import asyncio
import difflib
import hmac
import time
from typing import Any

import msgspec
from tornado import web

from endivestream import findings
from endivestream import messages
from endivestream.connection import addresses
from endivestream.connection import links
from endivestream.process import gateway as gateway_lib
from endivestream.process import home as home_lib
from endivestream.process import views
from endivestream.version import configuration as configuration_lib
from endivestream.version import rules as rules_lib

# How often a waiting operator's change is asked about.
_POLL_SECONDS = 0.1


class RulesBody(msgspec.Struct, kw_only=True):
    """Body of `POST /operators/rules`."""

    text: str
    expected_version: int
    change_id: str
    author: str
    comment: str = ""
    check_only: bool = False


class KeyBody(msgspec.Struct, kw_only=True):
    """Body of `POST /operators/keys` and `.../LABEL/revoke`."""

    change_id: str
    author: str
    label: str = ""
    team: str = ""
    digest: str = ""


class DrainBody(msgspec.Struct, kw_only=True):
    """Body of `POST /operators/targets/NAME/drain`."""

    draining: bool = True


class _Handler(web.RequestHandler):
    """What all inner routes have in common."""

    def initialize(
        self, gateway: gateway_lib.Gateway, home: home_lib.Home, token: str
    ) -> None:
        self.gateway = gateway
        self.home = home
        self._token = token

    def prepare(self) -> None:
        if not self._token:
            return
        header = self.request.headers.get("Authorization", "")
        if not hmac.compare_digest(
            header.encode(), f"Bearer {self._token}".encode()
        ):
            self.fail(
                401, "token_wrong", ["send 'Authorization: Bearer TOKEN'"]
            )

    def homes(self, target: str) -> list[str]:
        """Returns where a target should report, the best first."""
        hosts = addresses.homes(self.gateway.hosts, target=target)
        return [host.inner_url for host in hosts]

    def fail(self, status: int, reason: str, found: list[str]) -> None:
        """Answers with findings."""
        self.set_status(status)
        self.finish({"error": {"type": reason, "findings": found}})

    def read(self, kind: Any) -> Any:
        """Reads the body as `kind`; answers and returns None if it is not."""
        try:
            return msgspec.json.decode(self.request.body, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.fail(400, "invalid_body", [str(error)])
            return None

    async def ask(self, message: messages.Message) -> Any:
        """Asks the control host; answers and returns None if it is away."""
        seconds = self.gateway.settings.peers.request_seconds
        try:
            return await self.gateway.ask(message, seconds=seconds)
        except links.LinkDownError as error:
            # A change may have been accepted all the same; the same change id
            # sent again tells.
            self.fail(503, "control_unreachable", [str(error)])
            return None

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        self.fail(status_code, "error", [self._reason])


class _ViewHandler(_Handler):
    """`GET /operators/VIEW`."""

    async def get(self, view: str) -> None:
        if view not in views.VIEWS:
            what = findings.unknown_word("view", view, views.VIEWS)
            self.fail(404, "unknown_view", [what])
            return
        answer = await self.ask(messages.AskStatus(view=view))
        if answer is not None:
            self.set_header("Content-Type", "application/json")
            self.finish(answer.body)


class _ChangeHandler(_Handler):
    """What the routes that change the configuration have in common."""

    async def change(self, command: configuration_lib.Command) -> None:
        """Proposes a change, and waits until it is in force if asked to."""
        answer = await self.ask(messages.Propose(command=command))
        if answer is None:
            return
        match answer.result:
            case configuration_lib.Applied(version=version, repeated=repeated):
                seconds = float(self.get_query_argument("wait", "0"))
                lagging = await self._in_force(version, seconds)
                self.finish(
                    {
                        "version": version,
                        "repeated": repeated,
                        "in_force": lagging == [],
                        "lagging": lagging,
                    }
                )
            case configuration_lib.Conflict() as conflict:
                await self.conflict(command, conflict)
            case configuration_lib.Rejected(findings=found):
                self.fail(422, "rejected", found)

    async def _in_force(self, version: int, seconds: float) -> list[str] | None:
        """Waits until no host may act on less; names those that still may."""
        if seconds <= 0:
            return None
        until = time.monotonic() + seconds
        while True:
            answer = await self.gateway.ask(
                messages.AskStatus(view="in_force", version=version),
                seconds=self.gateway.settings.peers.request_seconds,
            )
            assert isinstance(answer, messages.Status)
            lagging = msgspec.json.decode(answer.body)["lagging"]
            if not lagging or time.monotonic() > until:
                return lagging
            await asyncio.sleep(_POLL_SECONDS)

    async def conflict(
        self,
        command: configuration_lib.Command,
        conflict: configuration_lib.Conflict,
    ) -> None:
        """Tells the loser of a race what won."""
        assert isinstance(command, configuration_lib.ApplyRules)
        answer = await self.ask(messages.AskStatus(view="rules"))
        if answer is None:
            return
        current = msgspec.json.decode(answer.body)["text"]
        diff = difflib.unified_diff(
            current.splitlines(),
            command.text.splitlines(),
            f"version {conflict.version} by {conflict.author}",
            "yours",
            lineterm="",
            n=1,
        )
        what = (
            f"expected version {command.expected_version}, but the rules are "
            f"at {conflict.version}, changed by {conflict.author!r}"
        )
        self.fail(409, "conflict", [what, *diff])


class _RulesHandler(_ChangeHandler):
    """`POST /operators/rules`."""

    async def post(self) -> None:
        body = self.read(RulesBody)
        if body is None:
            return
        parsed = rules_lib.parse(body.text)
        if not isinstance(parsed, rules_lib.Rules):
            self.fail(422, "rejected", [str(found) for found in parsed])
            return
        if body.check_only:
            self.finish({"ok": True})
            return
        await self.change(
            configuration_lib.ApplyRules(
                text=body.text,
                expected_version=body.expected_version,
                change_id=body.change_id,
                author=body.author,
                comment=body.comment,
                at=time.time(),
            )
        )


class _KeysHandler(_ChangeHandler):
    """`POST /operators/keys` and `POST /operators/keys/LABEL/revoke`."""

    async def post(self, label: str | None = None) -> None:
        body = self.read(KeyBody)
        if body is None:
            return
        if label is not None:
            await self.change(
                configuration_lib.RevokeKey(
                    label=label,
                    change_id=body.change_id,
                    author=body.author,
                    at=time.time(),
                )
            )
            return
        await self.change(
            configuration_lib.CreateKey(
                label=body.label,
                team=body.team,
                digest=body.digest,
                change_id=body.change_id,
                author=body.author,
                at=time.time(),
            )
        )


class _DrainHandler(_Handler):
    """`POST /operators/targets/NAME/drain`."""

    async def post(self, name: str) -> None:
        body = self.read(DrainBody)
        if body is None:
            return
        answer = await self.ask(
            messages.DrainTarget(name=name, draining=body.draining)
        )
        if answer is None:
            return
        if answer.reason:
            self.fail(404, "unknown_target", [answer.reason])
            return
        self.finish({"name": name, "draining": body.draining})


class _RemoveVoterHandler(_Handler):
    """`POST /operators/voters/NAME/remove`."""

    async def post(self, name: str) -> None:
        answer = await self.ask(messages.RemoveVoter(name=name))
        if answer is None:
            return
        if answer.reason:
            self.fail(404, "unknown_voter", [answer.reason])
            return
        self.finish({"name": name, "removing": True})


class _AnnounceHandler(_Handler):
    """`POST /targets/announce`."""

    async def post(self) -> None:
        info = self.read(messages.TargetInfo)
        if info is None:
            return
        if info.kind not in ("engine", "service"):
            what = findings.unknown_word(
                "kind", info.kind, ("engine", "service")
            )
            self.fail(422, "rejected", [what])
            return
        try:
            refused = await self.home.announce(info)
        except links.LinkDownError as error:
            self.fail(503, "control_unreachable", [str(error)])
            return
        if refused:
            self.fail(409, "rejected", [refused])
            return
        self.finish(
            {
                "report_seconds": self.gateway.settings.timing.report_seconds,
                "gateways": self.homes(info.name),
            }
        )


class _ReportHandler(_Handler):
    """`POST /targets/report`."""

    def post(self) -> None:
        report = self.read(messages.TargetReport)
        if report is None:
            return
        known = self.home.report(report)
        self.finish(
            {
                "announce_again": not known,
                "gateways": self.homes(report.name),
            }
        )


def application(
    *, gateway: gateway_lib.Gateway, home: home_lib.Home
) -> web.Application:
    """Returns the routes for operators and targets."""
    tokens = gateway.settings.tokens
    shared = {"gateway": gateway, "home": home}
    operator = {**shared, "token": tokens.operator}
    target = {**shared, "token": tokens.target}
    return web.Application(
        [
            (r"/operators/rules/apply", _RulesHandler, operator),
            (r"/operators/keys/create", _KeysHandler, operator),
            (r"/operators/keys/([^/]+)/revoke", _KeysHandler, operator),
            (r"/operators/targets/([^/]+)/drain", _DrainHandler, operator),
            (
                r"/operators/voters/([^/]+)/remove",
                _RemoveVoterHandler,
                operator,
            ),
            (r"/operators/([a-z_]+)", _ViewHandler, operator),
            (r"/targets/announce", _AnnounceHandler, target),
            (r"/targets/report", _ReportHandler, target),
        ],
        log_function=lambda handler: None,
    )
