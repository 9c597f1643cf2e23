"""Ownership of background tasks."""

import asyncio
import logging
from collections.abc import Coroutine

_logger = logging.getLogger(__name__)


class TaskScope:
    """Owns tasks; on exit waits for them for a while, then cancels them.

    Unlike `asyncio.TaskGroup`, one failing task does not end the others.

    Attributes:
        exit_timeout_s: Seconds to wait on exit.
        tasks: Tasks that have not finished.
    """

    def __init__(self, grace: float = 0.0):
        self.exit_timeout_s = grace
        self.tasks: set[asyncio.Task] = set()

    def start(self, coroutine: Coroutine) -> asyncio.Task:
        """Starts a task that the scope owns."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def _finish(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _logger.error("background task failed", exc_info=task.exception())

    async def __aenter__(self) -> "TaskScope":
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.tasks and self.exit_timeout_s > 0:
            await asyncio.wait(self.tasks, timeout=self.exit_timeout_s)
        remaining = list(self.tasks)
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)
