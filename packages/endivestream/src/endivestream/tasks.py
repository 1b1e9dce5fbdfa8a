"""How a part ends its tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import contextlib
from typing import Any


async def cancel(tasks: Iterable[asyncio.Task[Any] | None]) -> None:
    """Cancels tasks and waits until each has ended; None is passed over."""
    for task in list(tasks):
        if task is not None:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
