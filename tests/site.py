"""A complete site in one event loop, for tests of failures.

Hosts are real daemons on ephemeral loopback ports, targets are the stand-ins.
Tests wait for conditions, which `until` polls, and not for fixed times.
"""

import asyncio
import hashlib
import json
import pathlib
import tempfile
import unittest

from endivestream.process import daemon as daemon_lib
from endivestream.process import settings as settings_lib
from endivestream.version import configuration
from standins import engine as engine_lib
from standins import service as service_lib

RULES = """\
team band rate=100000 burst=100000      # test
team shop rate=100000 burst=100000      # test
model brass memory=100                  # test
adapter horns model=brass memory=5      # test
service desk                            # test
service lookup idempotent=yes           # test
allow band brass horns desk lookup      # test
allow shop brass                        # test
"""
KEY = "band-secret-key"
OTHER_KEY = "shop-secret-key"
_TIMEOUT_SECONDS = 20.0


async def until(condition, what="condition"):
    """Waits until `condition()` is true and returns its value."""
    async with asyncio.timeout(_TIMEOUT_SECONDS):
        while True:
            value = condition()
            if value:
                return value
            await asyncio.sleep(0.005)


class Reply:
    """An answer as received by a caller."""

    def __init__(self, status, headers, body, cut):
        self.status = status
        self.headers = headers
        self.body = body
        self.cut = cut

    @property
    def events(self):
        return [
            block[6:]
            for block in self.body.decode().split("\n\n")
            if block.startswith("data: ")
        ]

    @property
    def whole(self):
        return not self.cut and self.events[-1:] == ["[DONE]"]

    @property
    def error(self):
        text = self.events[-1] if self.events else self.body.decode()
        return json.loads(text).get("error") if text else None

    @property
    def text(self):
        pieces = []
        for event in self.events:
            if event == "[DONE]":
                continue
            for choice in json.loads(event).get("choices", []):
                pieces.append(choice["delta"].get("content") or "")
        return "".join(pieces)


class Caller:
    """Raw connection of a caller, which exposes how an answer ended."""

    def __init__(self, address):
        self._address = address
        self._reader = self._writer = None

    async def send(self, method, path, *, key=KEY, body=b"", headers=None):
        host, port = self._address.split(":")
        self._reader, self._writer = await asyncio.open_connection(host, port)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._address}"]
        if key:
            lines.append(f"Authorization: Bearer {key}")
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        self._writer.write("\r\n".join(lines).encode() + body)
        await self._writer.drain()
        return self

    async def head(self):
        raw = await self._reader.readuntil(b"\r\n\r\n")
        first, *lines = raw.decode().strip().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines)
        return int(first.split()[1]), headers

    async def read_some(self, size):
        return await self._reader.readexactly(size)

    async def reply(self):
        try:
            status, headers = await self.head()
        except (asyncio.IncompleteReadError, ConnectionError):
            return Reply(0, {}, b"", True)
        body, cut = b"", False
        try:
            if headers.get("Transfer-Encoding") != "chunked":
                size = int(headers.get("Content-Length", 0))
                body = await self._reader.readexactly(size)
            else:
                while True:
                    size = int(await self._reader.readuntil(b"\r\n"), 16)
                    chunk = await self._reader.readexactly(size + 2)
                    if not size:
                        break
                    body += chunk[:-2]
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            cut = True
        self.close()
        return Reply(status, headers, body, cut)

    def close(self):
        self._writer.close()


def prompt(text="The third valve sticks."):
    return [{"role": "user", "content": text}]


def expected_text(count, messages=None):
    prompt_text = engine_lib.prompt_of({"messages": messages or prompt()})
    return "".join(
        engine_lib.token(prompt_text, n) for n in range(1, count + 1)
    )


class SiteTest(unittest.IsolatedAsyncioTestCase):
    """Starts a control host, and the hosts and targets that a test adds."""

    more_settings = ""
    more_http = ""
    more_peers = ""

    async def asyncSetUp(self):
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)
        self._closers = []
        self.targets = []
        self.control = await self.start_host("control")

    async def asyncTearDown(self):
        for target in self.targets:
            await target.close()
        for close in reversed(self._closers):
            await close()
        self._folder.cleanup()

    async def start_host(
        self, name, *, control=(), domain="fes-hall", disk=None, address=None
    ):
        """Starts a host.

        Without `control`, the host forms a new system. Otherwise it joins an
        existing one, as a replica if it has a `disk`.
        """
        disk = not control if disk is None else disk
        folder = f'data_folder = "{self.folder / name}"\n' if disk else ""
        text = (
            f'[host]\nname = "{name}"\ndomain = "{domain}"\n{folder}'
            '[http]\naddress = "127.0.0.1:0"\ninner_address = "127.0.0.1:0"\n'
            f"{self.more_http}"
            f'[peers]\naddress = "{address or "tcp://127.0.0.1:*"}"\n'
        )
        if control:
            text += f"control = {json.dumps(list(control))}\n"
        text += self.more_peers + self.more_settings
        settings = settings_lib.parse(text, source="test")
        assert isinstance(settings, settings_lib.Settings), settings
        host = daemon_lib.Daemon(settings=settings)
        await host.start()
        self._closers.append(host.close)
        await until(lambda: host.gateway.leased, f"{name} has its lease")
        return host

    def forget_host(self, host):
        self._closers.remove(host.close)

    def inner_url(self, host=None):
        return f"http://{(host or self.control).settings.http.inner_address}"

    async def change(self, command):
        result = await self.control.gateway.propose(command)
        version = getattr(result, "version", 0)
        for host in self._hosts():
            await until(lambda h=host: h.gateway.view.version >= version)
        return result

    def _hosts(self):
        return [close.__self__ for close in self._closers]

    async def set_up_rules(self, text=RULES):
        applied = await self.change(
            configuration.ApplyRules(
                text=text,
                expected_version=0,
                change_id="rules",
                author="test",
                comment="",
                at=0.0,
            )
        )
        self.assertIsInstance(applied, configuration.Applied, applied)
        for label, team, key in (
            ("band-1", "band", KEY),
            ("shop-1", "shop", OTHER_KEY),
        ):
            digest = hashlib.sha256(key.encode()).hexdigest()
            await self.change(
                configuration.CreateKey(
                    label=label,
                    team=team,
                    digest=digest,
                    change_id=label,
                    author="test",
                    at=0.0,
                )
            )

    async def revoke(self, label):
        return await self.change(
            configuration.RevokeKey(
                label=label, change_id=f"revoke-{label}", author="t", at=0.0
            )
        )

    async def add_engine(self, name, **arguments):
        options = arguments.pop("options", None) or engine_lib.Options(
            step_seconds=0.001
        )
        engine = engine_lib.Engine(
            name=name,
            domain="fes-hall",
            gateways=[self.inner_url()],
            loaded=arguments.pop("loaded", {"brass": 100}),
            options=options,
            **arguments,
        )
        engine.serve()
        self.targets.append(engine)
        await self.until_live(name)
        return engine

    async def add_service(self, name="desk-1"):
        service = service_lib.Service(
            name=name,
            services=["desk", "lookup"],
            domain="fes-hall",
            gateways=[self.inner_url()],
        )
        service.serve()
        self.targets.append(service)
        await self.until_live(name)
        return service

    async def until_live(self, name):
        await until(lambda: name in self.control.control.live_targets, name)

    async def chat(self, *, host=None, key=KEY, count=20, **more):
        body = {
            "model": "horns",
            "messages": prompt(),
            "max_tokens": count,
            "stream": True,
            **more,
        }
        address = (host or self.control).settings.http.address
        return await Caller(address).send(
            "POST",
            "/v1/chat/completions",
            key=key,
            body=json.dumps(body).encode(),
        )

    async def order(self, *, name, host=None, key=KEY, body=b"{}", path="desk"):
        address = (host or self.control).settings.http.address
        headers = {"Idempotency-Key": name} if name else {}
        caller = await Caller(address).send(
            "POST",
            f"/v1/services/{path}/orders",
            key=key,
            body=body,
            headers=headers,
        )
        return await caller.reply()
