"""SIGHUP to the platform's programs while they start."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import unittest

from tests import entry_site
from tests import test_platform_processes

_ROOT = pathlib.Path(__file__).parent.parent
_TIMEOUT_SECONDS = 60.0
# Runs the program, which gets SIGHUP as it imports argparse.
_DRIVER = """
import os, runpy, signal, sys

class SignalAtImport:
    def find_spec(self, name, path=None, target=None):
        if name == "argparse":
            os.kill(os.getpid(), signal.SIGHUP)

program = sys.argv[1]
del sys.argv[0]
sys.path.insert(0, os.path.dirname(program))
sys.modules.pop("argparse", None)
sys.meta_path.insert(0, SignalAtImport())
runpy.run_path(program, run_name="__main__")
"""


class ReloadTest(unittest.IsolatedAsyncioTestCase):
    def _write_settings(self, folder, role):
        ip = test_platform_processes.IP
        control = entry_site.free_address(ip)
        port = test_platform_processes.two_free_ports()
        front = entry_site.free_address(ip)
        is_control = role == "control"
        settings = {
            "node": f"{role}-1",
            "ip": ip,
            "zone": "a",
            "listen": {"control": control} if is_control else {"front": front},
            "internalPorts": [port, port + 15],
            "seeds": [control],
            "bootstrap": True,
            "dataDir": str(folder / "data") if is_control else None,
            "faultTolerance": {"machines": 0},
            "bounds": {"graceS": test_platform_processes.GRACE_SECONDS},
        }
        file = folder / f"{role}.json"
        file.write_text(json.dumps(settings))
        return file

    async def test_reload_during_start_is_applied_after_it(self):
        """Guards against processes that SIGHUP ends before they are up."""
        for role in ("edge", "control"):
            with self.subTest(role), tempfile.TemporaryDirectory() as folder:
                file = self._write_settings(pathlib.Path(folder), role)
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-c",
                    _DRIVER,
                    str(_ROOT / "platform" / "main.py"),
                    role,
                    env=os.environ
                    | {
                        "ENDIVESTREAM_CONFIG": str(file),
                        "PYTHONPATH": str(
                            _ROOT / "packages" / "endivestream" / "src"
                        ),
                    },
                    stdout=asyncio.subprocess.PIPE,
                )
                try:
                    await self._check_reload(process)
                finally:
                    if process.returncode is None:
                        process.kill()
                    await process.wait()

    async def _check_reload(self, process):
        events = []
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            while "reload" not in events:
                line = (await process.stdout.readline()).decode()
                self.assertTrue(line, f"ended after {events}")
                events += [
                    word.removeprefix("event=")
                    for word in line.split()
                    if word.startswith("event=")
                ]
            self.assertIn("started", events)
            process.send_signal(signal.SIGTERM)
            await process.stdout.read()
            self.assertEqual(0, await process.wait())


if __name__ == "__main__":
    unittest.main()
