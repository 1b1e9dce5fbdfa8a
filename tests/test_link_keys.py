import pathlib
import tempfile
import unittest

from endivestream import messages
from endivestream.connection import link_keys
from endivestream.connection import links
from loguru import logger
import zmq.asyncio


class LinkKeysTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.allowed = self.folder / "allowed"
        _, self.system = link_keys.create(self.folder, "system")
        _, self.host = link_keys.create(self.allowed, "host-1")
        _, self.stranger = link_keys.create(self.folder, "stranger")
        self.context = zmq.asyncio.Context()
        self.authenticator = link_keys.LinkAuthenticator(
            context=self.context, allowed_folder=str(self.allowed)
        )
        self.authenticator.start()
        self.server = links.Server(
            address="tcp://127.0.0.1:*",
            handle=self._answer,
            context=self.context,
            keys=link_keys.load(system_file=self.system, host_file=self.host),
        )
        self.server.start()
        self.received = []
        self.lines = []
        sink = logger.add(lambda line: self.lines.append(str(line)))
        self.addCleanup(logger.remove, sink)

    async def asyncTearDown(self):
        await self.server.close()
        self.authenticator.close()
        self.context.destroy(linger=0)

    async def _answer(self, peer, message):
        self.received.append(message)
        return messages.Status(body=b"{}")

    async def _request(self, keys, seconds):
        link = links.Link(
            address=self.server.address,
            context=self.context,
            on_push=lambda message: None,
            silence=30.0,
            keys=keys,
        )
        link.start()
        try:
            return await link.request(
                messages.AskStatus(view="status"), seconds=seconds
            )
        finally:
            await link.close()

    def _keys(self, host_file, system_file=None):
        return link_keys.load(
            system_file=system_file or self.system, host_file=host_file
        )

    async def test_allowed_host_is_answered(self):
        answer = await self._request(self._keys(self.host), 10)
        self.assertIsInstance(answer, messages.Status)

    async def test_unknown_or_missing_key_gets_no_answer_and_one_log_line(self):
        """A host without an allowed key gets no answer, and is logged once.

        It connects many times within a second; one log line contains its key.
        """
        for keys in (self._keys(self.stranger), None):
            with self.assertRaises(links.LinkDownError):
                await self._request(keys, 0.7)
        self.assertEqual(self.received, [])
        refused = [line for line in self.lines if "link_refused" in line]
        self.assertEqual(len(refused), 1, refused)

    async def test_host_sends_nothing_to_a_server_without_the_system_key(self):
        """A host must send nothing to a server without the system's secret."""
        _, other = link_keys.create(self.folder, "other")
        with self.assertRaises(links.LinkDownError):
            await self._request(self._keys(self.host, other), 0.5)
        self.assertEqual(self.received, [])

    async def test_deleted_key_is_refused_at_the_next_connection(self):
        await self._request(self._keys(self.host), 10)
        (self.allowed / "host-1.key").unlink()
        with self.assertRaises(links.LinkDownError):
            await self._request(self._keys(self.host), 0.5)

    def test_error_names_the_unreadable_file(self):
        with self.assertRaisesRegex(OSError, "nowhere"):
            link_keys.load(system_file="nowhere", host_file=self.host)
        public = self.host.removesuffix("_secret")
        with self.assertRaisesRegex(OSError, "contains no secret key"):
            self._keys(public)
