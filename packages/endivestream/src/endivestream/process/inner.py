"""HTTP routes for operators and targets, on the inner address."""

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
from endivestream.process import home_gateway as home_gateway_lib
from endivestream.process import views
from endivestream.version import configuration as configuration_lib
from endivestream.version import rules as rules_lib

# Interval of the queries whether an operator's change is in force.
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
    """Base class of all routes on the inner address."""

    def initialize(
        self,
        gateway: gateway_lib.Gateway,
        home_gateway: home_gateway_lib.HomeGateway,
        token: str,
    ) -> None:
        self.gateway = gateway
        self.home_gateway = home_gateway
        self._token = token

    def prepare(self) -> None:
        if not self._token:
            return
        header = self.request.headers.get("Authorization", "")
        if not hmac.compare_digest(
            header.encode(), f"Bearer {self._token}".encode()
        ):
            self.send_findings(
                401, "token_wrong", ["send 'Authorization: Bearer TOKEN'"]
            )

    def home_gateway_urls(self, target: str) -> list[str]:
        """Returns the URLs to which a target should report, best first."""
        hosts = addresses.rank_home_gateways(self.gateway.hosts, target=target)
        return [host.inner_url for host in hosts]

    def send_findings(self, status: int, reason: str, found: list[str]) -> None:
        """Responds with an error and its findings."""
        self.set_status(status)
        self.finish({"error": {"type": reason, "findings": found}})

    def read_body(self, kind: Any) -> Any:
        """Decodes the body as `kind`; responds with an error if it fails.

        Returns:
            The decoded body, or None after an error.
        """
        try:
            return msgspec.json.decode(self.request.body, type=kind)
        except (
            msgspec.DecodeError,
            UnicodeDecodeError,
            RecursionError,
        ) as error:
            self.send_findings(400, "invalid_body", [str(error)])
            return None

    async def request_leader(self, message: messages.Message) -> Any:
        """Sends a request to the leader; responds with an error if it fails.

        Returns:
            The leader's answer, or None after an error.
        """
        seconds = self.gateway.settings.peers.request_seconds
        try:
            return await self.gateway.request_leader(message, seconds=seconds)
        except links.LinkDownError as error:
            # The change may have been accepted nevertheless. The operator can
            # send it again with the same change id, which is idempotent.
            self.send_findings(503, "control_unreachable", [str(error)])
            return None

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        self.send_findings(status_code, "error", [self._reason])


class _ViewHandler(_Handler):
    """`GET /operators/VIEW`."""

    async def get(self, view: str) -> None:
        if view not in views.VIEWS:
            what = findings.unknown_word("view", view, views.VIEWS)
            self.send_findings(404, "unknown_view", [what])
            return
        answer = await self.request_leader(messages.AskStatus(view=view))
        if answer is not None:
            self.set_header("Content-Type", "application/json")
            self.finish(answer.body)


class _ChangeHandler(_Handler):
    """Base class of routes that change the configuration."""

    async def change(self, command: configuration_lib.Command) -> None:
        """Proposes a change; waits until it is in force if requested."""
        answer = await self.request_leader(messages.Propose(command=command))
        if answer is None:
            return
        match answer.result:
            case configuration_lib.Applied(version=version, repeated=repeated):
                seconds = float(self.get_query_argument("wait", "0"))
                lagging = await self._wait_until_in_force(version, seconds)
                self.finish(
                    {
                        "version": version,
                        "repeated": repeated,
                        "in_force": lagging == [],
                        "lagging": lagging,
                    }
                )
            case configuration_lib.Conflict() as conflict:
                await self.send_conflict(command, conflict)
            case configuration_lib.Rejected(findings=found):
                self.send_findings(422, "rejected", found)

    async def _wait_until_in_force(
        self, version: int, seconds: float
    ) -> list[str] | None:
        """Waits until all hosts use a version or have lost their lease.

        Returns:
            The hosts that may still use an older version; None if no wait was
            requested.
        """
        if seconds <= 0:
            return None
        deadline = time.monotonic() + seconds
        while True:
            answer = await self.gateway.request_leader(
                messages.AskStatus(view="in_force", version=version),
                seconds=self.gateway.settings.peers.request_seconds,
            )
            assert isinstance(answer, messages.Status)
            lagging = msgspec.json.decode(answer.body)["lagging"]
            if not lagging or time.monotonic() > deadline:
                return lagging
            await asyncio.sleep(_POLL_SECONDS)

    async def send_conflict(
        self,
        command: configuration_lib.Command,
        conflict: configuration_lib.Conflict,
    ) -> None:
        """Responds to a conflicting change with a diff to the current rules."""
        assert isinstance(command, configuration_lib.ApplyRules)
        answer = await self.request_leader(messages.AskStatus(view="rules"))
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
        self.send_findings(409, "conflict", [what, *diff])


class _RulesHandler(_ChangeHandler):
    """`POST /operators/rules`."""

    async def post(self) -> None:
        body = self.read_body(RulesBody)
        if body is None:
            return
        parsed = rules_lib.parse(body.text)
        if not isinstance(parsed, rules_lib.Rules):
            self.send_findings(
                422, "rejected", [str(found) for found in parsed]
            )
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
        body = self.read_body(KeyBody)
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
        body = self.read_body(DrainBody)
        if body is None:
            return
        answer = await self.request_leader(
            messages.DrainTarget(name=name, draining=body.draining)
        )
        if answer is None:
            return
        if answer.reason:
            self.send_findings(404, "unknown_target", [answer.reason])
            return
        self.finish({"name": name, "draining": body.draining})


class _RemoveVoterHandler(_Handler):
    """`POST /operators/voters/NAME/remove`."""

    async def post(self, name: str) -> None:
        answer = await self.request_leader(messages.RemoveVoter(name=name))
        if answer is None:
            return
        if answer.reason:
            self.send_findings(404, "unknown_voter", [answer.reason])
            return
        self.finish({"name": name, "removing": True})


class _AnnounceHandler(_Handler):
    """`POST /targets/announce`."""

    async def post(self) -> None:
        info = self.read_body(messages.TargetInfo)
        if info is None:
            return
        if info.kind not in ("engine", "service"):
            what = findings.unknown_word(
                "kind", info.kind, ("engine", "service")
            )
            self.send_findings(422, "rejected", [what])
            return
        try:
            refusal = await self.home_gateway.announce(info)
        except links.LinkDownError as error:
            self.send_findings(503, "control_unreachable", [str(error)])
            return
        if refusal:
            self.send_findings(409, "rejected", [refusal])
            return
        self.finish(
            {
                "report_seconds": self.gateway.settings.timing.report_seconds,
                "gateways": self.home_gateway_urls(info.name),
            }
        )


class _ReportHandler(_Handler):
    """`POST /targets/report`."""

    def post(self) -> None:
        report = self.read_body(messages.TargetReport)
        if report is None:
            return
        is_known = self.home_gateway.report(report)
        self.finish(
            {
                "announce_again": not is_known,
                "gateways": self.home_gateway_urls(report.name),
            }
        )


def application(
    *, gateway: gateway_lib.Gateway, home_gateway: home_gateway_lib.HomeGateway
) -> web.Application:
    """Returns the routes for operators and targets."""
    tokens = gateway.settings.tokens
    shared = {"gateway": gateway, "home_gateway": home_gateway}
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
