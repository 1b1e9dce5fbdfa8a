"""Start and cancellation of asyncio tasks."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from endivestream import logs

# Delay before a failed task runs again, so that a permanent cause takes little
# processor time.
_RESTART_DELAY_SECONDS = 0.5

_restarts: collections.Counter[str] = collections.Counter()


def restarts() -> Mapping[str, int]:
    """Returns how often this process restarted failed tasks, by task name."""
    return dict(_restarts)


def start(work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
    """Starts a task whose failure is logged.

    Asyncio does not report the error of a task that nobody awaits: a host would
    continue without one of its parts, and no log line would show it.

    Args:
        work: The coroutine to run.
        name: Name of the task in the log.
    """
    task = asyncio.create_task(work, name=name)
    task.add_done_callback(_log_failure)
    return task


def start_restarting(
    run: Callable[[], Coroutine[Any, Any, None]], name: str
) -> asyncio.Task[Any]:
    """Starts a task that runs again after a failure, until it is cancelled.

    For loops that serve many hosts, targets or requests: one item that raises
    must not end the loop for the others.

    Args:
        run: Creates the coroutine; called again after each failure. Its state
            must allow that at any await.
        name: Name of the task in the log and in `restarts`.
    """

    async def keep_running() -> None:
        while True:
            try:
                return await run()
            except Exception as error:
                _restarts[name] += 1
                logs.log_error("task_restarted", error, task=name)
            await asyncio.sleep(_RESTART_DELAY_SECONDS)

    return start(keep_running(), name)


def _log_failure(task: asyncio.Task[Any]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        logs.log_error("task_failed", error, task=task.get_name())


async def cancel(tasks: Iterable[asyncio.Task[Any] | None]) -> None:
    """Cancels tasks and waits until each has ended; skips None.

    All tasks are cancelled before the first one is awaited: a task that goes on
    meanwhile may use what its owner has closed.

    Raises:
        Exception: A task ended with this error.
    """
    cancelled = [task for task in tasks if task is not None]
    for task in cancelled:
        task.cancel()
    if not cancelled:
        return
    await asyncio.wait(cancelled)
    for task in cancelled:
        if not task.cancelled() and (error := task.exception()) is not None:
            raise error
