"""Tests of starting and cancelling tasks."""

import asyncio
import unittest

from endivestream import tasks


class CancelTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_task_goes_on_while_another_one_is_cancelled(self):
        """Guards against tasks that use what their owner has closed."""
        finished = []

        async def end_late():
            try:
                await asyncio.Event().wait()
            finally:
                for _ in range(5):
                    await asyncio.sleep(0)

        async def work():
            for _ in range(3):
                await asyncio.sleep(0)
            finished.append("work")

        started = [
            asyncio.create_task(end_late()),
            asyncio.create_task(work()),
        ]
        await asyncio.sleep(0)
        await tasks.cancel(started)
        self.assertEqual([], finished)
