"""A site of entry and control hosts in one event loop, for tests.

The hosts communicate over loopback.
"""

import asyncio
import pathlib
import socket
import tempfile
import unittest

from endivestream.connection import engines as engines_lib
from endivestream.connection import registry as registry_lib
from endivestream.process import entry as entry_lib
from endivestream.process import site_control
from endivestream.process import site_settings
from endivestream.request import names as names_lib

from tests import standin

BOUNDS = site_settings.Bounds(revoke=3.0, lease=0.1, grace=2.0)


def free_address(ip="127.0.0.1"):
    """Returns an unused address; processes must know theirs beforehand."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return f"{ip}:{sock.getsockname()[1]}"


class NoCodec:
    """Codec of a control host that sends engines no orders."""

    def order(self, order, target):
        return engines_lib.Request("POST", "/order", {}, b"")

    def outcome(self, status):
        return engines_lib.Outcome.REFUSED

    def ask_report(self):
        return engines_lib.Request("GET", "/report", {}, b"")

    def report(self, body):
        return None


class EntrySite(unittest.IsolatedAsyncioTestCase):
    """Three control hosts, two entry hosts and one target, without tests."""

    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.peers = [f"tcp://{free_address()}" for _ in range(3)]
        self.controls = {}
        for peer in self.peers:
            await self._start_control(peer)
        self.entries = [self._start_entry(f"e{n}") for n in range(2)]
        self.target = await standin.Target(
            standin.says(standin.answer(body=b"done"))
        ).start()

    async def asyncTearDown(self):
        for entry in self.entries:
            await entry.close()
        for control in self.controls.values():
            await control.close()
        await self.target.close()
        self.folder.cleanup()

    def _settings(self, name, **fields):
        defaults = {
            "domain": "a",
            "domains": {"a": ""},
            "region": "",
            "callers": "",
            "peers": "",
            "controls": tuple(self.peers),
            "data_folder": "",
            "first_start": False,
            "losses": 1,
            "report": 0.2,
            "bounds": BOUNDS,
        } | fields
        return site_settings.SiteSettings(name=name, **defaults)

    async def _start_control(self, peer, *, first_start=True):
        number = self.peers.index(peer)
        folder = pathlib.Path(self.folder.name) / f"c{number}"
        control = site_control.SiteControl(
            settings=self._settings(
                f"c{number}",
                peers=peer,
                data_folder=str(folder),
                first_start=first_start,
            ),
            codec=NoCodec(),
            on_failed=lambda error: None,
        )
        await control.start()
        self.controls[peer] = control

    def _start_entry(self, name, **fields):
        entry = entry_lib.Entry(
            settings=self._settings(name, callers=free_address(), **fields),
            names=names_lib.HeaderNames(),
        )
        entry.start()
        return entry

    async def _wait_until(self, condition):
        async with asyncio.timeout(30):
            while not condition():
                await asyncio.sleep(0.005)

    async def _apply(self, document, control=None):
        control = control or next(iter(self.controls.values()))
        async with asyncio.timeout(30):
            while not await control.apply(document):
                await asyncio.sleep(0.005)

    async def _wait_in_force(self, version):
        await self._wait_until(
            lambda: all(e.version == version for e in self.entries)
        )

    async def _register(self, *, draining=False, number=1, **fields):
        registration = registry_lib.Registration(
            name="t1",
            service="desk",
            address=self.target.address,
            domain="a",
            started_at_ms=fields.pop("started_at_ms", 1),
            report_number=number,
            draining=draining,
            **fields,
        )
        control = list(self.controls.values())[-1]
        async with asyncio.timeout(30):
            while not await control.register(registration):
                await asyncio.sleep(0.005)

    async def _send_request(self, entry, **headers):
        caller = await standin.Caller(entry._settings.callers).start()
        try:
            return await caller.ask(**headers)
        finally:
            caller.close()
