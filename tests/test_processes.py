"""Tests of callers' answers when real processes are killed and stopped."""

import asyncio
import json
import pathlib
import signal
import tempfile
import unittest

import processes

from tests import site


class ProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.host = processes.Host(folder=self.folder, name="fes-1")
        self.addCleanup(self.host.kill)
        self.host.wait_ready()
        rules = self.folder / "rules.txt"
        rules.write_text(site.RULES)
        self._operate("rules", "apply", str(rules))
        created = self._operate("key", "create", "--label=k", "--team=band")
        self.key = created["key"]

    def _operate(self, *arguments):
        result = processes.operate(
            "--output=json", *arguments, address=self.host.address
        )
        self.assertEqual(result.returncode, 0, result.stderr)
        return json.loads(result.stdout)

    def _start_engine(self, name, step_seconds=0.01):
        engine = processes.stand_in(
            "engine",
            folder=self.folder,
            name=name,
            arguments=[
                f"--gateway={self.host.inner_url}",
                "--model=brass:100",
                f"--step-seconds={step_seconds}",
            ],
        )
        self.addCleanup(engine.kill)
        processes.wait_for(
            lambda: (
                name in {t["name"] for t in self._operate("target", "list")}
            ),
            f"{name} is announced",
        )
        return engine

    async def _chat(self, count):
        caller = site.Caller(self.host.url.removeprefix("http://"))
        body = {
            "model": "brass",
            "messages": site.prompt(),
            "max_tokens": count,
            "stream": True,
        }
        return await caller.send(
            "POST",
            "/v1/chat/completions",
            key=self.key,
            body=json.dumps(body).encode(),
        )

    async def test_stream_continues_after_engine_is_killed(self):
        """Guards against lost or repeated tokens when an engine fails.

        Of two engines, the one that streams gets SIGKILL (kill -9) after some
        tokens. The other one must continue with the next token.
        """
        engines = {
            name: self._start_engine(name) for name in ("engine-1", "engine-2")
        }
        caller = await self._chat(80)
        await caller.read_some(1500)
        log = self.host.log.read_text()
        name = log.split("event=route ")[1].split("target=")[1].split()[0]
        engines[name].kill()
        rest = await caller._reader.read()
        self.assertIn(b"data: [DONE]", rest)
        words = site.expected_text(80).split()
        self.assertIn(words[-1].encode(), rest)
        for word in words[40:]:
            self.assertEqual(rest.count(word.encode()), 1, word)
        caller.close()

    async def test_stream_is_incomplete_after_gateway_is_killed(self):
        """Guards against truncated answers that look complete.

        The gateway's process gets SIGKILL (kill -9) during a stream. The
        body's last chunk and the final marker must both be missing.
        """
        self._start_engine("engine-1")
        caller = await self._chat(5000)
        await caller.read_some(1500)
        self.host.kill()
        try:
            rest = await caller._reader.read()
        except ConnectionError:
            rest = b""
        self.assertNotIn(b"[DONE]", rest)
        self.assertNotIn(b"\r\n0\r\n\r\n", rest)
        caller.close()

    async def test_second_signal_logs_running_requests(self):
        """Guards against a second signal that cuts off requests.

        The stream must continue to its end through both signals. The log must
        list the requests that the stop still waits for.
        """
        self._start_engine("engine-1", step_seconds=0.03)
        caller = await self._chat(60)
        await caller.read_some(1500)
        self.host.signal(signal.SIGTERM)
        processes.wait_for(
            lambda: "event=stopping" in self.host.log.read_text(), "stopping"
        )
        self.host.signal(signal.SIGTERM)
        processes.wait_for(
            lambda: "would_cut=1" in self.host.log.read_text(), "last words"
        )
        rest = await caller._reader.read()
        self.assertIn(b"data: [DONE]", rest)
        caller.close()
        status = await asyncio.to_thread(self.host.process.wait, 30)
        self.assertEqual(status, 0)

    async def test_command_reports_errors_with_exit_statuses(self):
        """Guards against failed commands that scripts cannot detect."""
        bad = self.folder / "bad.txt"
        bad.write_text("modle x memory=1 # a\n")
        result = processes.operate(
            "rules", "check", str(bad), address=self.host.address
        )
        self.assertEqual(result.returncode, 1)
        self.assertIn(f"{bad}:1:1: unknown kind of rule", result.stderr)
        rules = self.folder / "rules.txt"
        result = processes.operate(
            "rules",
            "apply",
            str(rules),
            "--expected-version=0",
            address=self.host.address,
        )
        self.assertEqual(result.returncode, 3)
        self.assertIn("the rules are at 1", result.stderr)
        result = processes.operate("status", address="127.0.0.1:1")
        self.assertEqual(result.returncode, 4)
