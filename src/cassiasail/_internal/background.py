"""Background tasks of a daemon."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

Work = Coroutine[Any, Any, None]


class BackgroundTasks:
    """A set of running tasks; ``failed`` gets the exception of each task that fails."""

    def __init__(self, *, failed: Callable[[BaseException], None]) -> None:
        self._failed = failed
        # Keeps the tasks alive: the event loop itself has only weak references to them.
        self._tasks: set[asyncio.Task[None]] = set()
        self._running_by_name: dict[str, asyncio.Task[None]] = {}

    def start(self, work: Work) -> asyncio.Task[None]:
        """Run ``work`` in a new task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def start_once(self, name: str, work: Callable[[], Work]) -> None:
        """Run ``work`` unless an earlier task with this ``name`` is still running."""
        running = self._running_by_name.get(name)
        if running is None or running.done():
            self._running_by_name[name] = self.start(work())

    def cancel(self) -> None:
        """Cancel all running tasks."""
        for task in tuple(self._tasks):
            task.cancel()

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._failed(error)
