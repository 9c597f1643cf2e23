"""Scope that owns asyncio tasks and ends them together."""

import asyncio
import logging
from collections.abc import Coroutine

_logger = logging.getLogger(__name__)


class TaskScope:
    """Async context manager that owns asyncio tasks.

    On exit it waits up to `exit_timeout_s` for its tasks and cancels those
    that have not finished. Unlike in `asyncio.TaskGroup`, a task that raises
    does not cancel the others; its exception is logged.

    Attributes:
        exit_timeout_s: Time to wait for the tasks on exit, in seconds.
        tasks: Tasks that have not finished.
    """

    def __init__(self, grace: float = 0.0):
        self.exit_timeout_s = grace
        self.tasks: set[asyncio.Task] = set()

    def start(self, coroutine: Coroutine) -> asyncio.Task:
        """Runs a coroutine as a task owned by this scope."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def _finish(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _logger.error(
                "background task of a peer connection raised an exception",
                exc_info=task.exception(),
            )

    async def __aenter__(self) -> "TaskScope":
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.tasks and self.exit_timeout_s > 0:
            await asyncio.wait(self.tasks, timeout=self.exit_timeout_s)
        remaining = list(self.tasks)
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)
