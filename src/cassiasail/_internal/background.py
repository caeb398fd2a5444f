"""Tasks that run beside the main work of a daemon."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

Work = Coroutine[Any, Any, None]


class BackgroundTasks:
    """Running tasks; ``failed`` gets the exception of each one that ends with one."""

    def __init__(self, *, failed: Callable[[BaseException], None]) -> None:
        self._failed = failed
        # The loop itself keeps only weak references.
        self._tasks: set[asyncio.Task[None]] = set()
        self._running_by_name: dict[str, asyncio.Task[None]] = {}

    def start(self, work: Work) -> asyncio.Task[None]:
        """Run ``work``."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end)
        return task

    def start_once(self, name: str, work: Callable[[], Work]) -> None:
        """Run ``work`` unless what was started under ``name`` still runs."""
        running = self._running_by_name.get(name)
        if running is None or running.done():
            self._running_by_name[name] = self.start(work())

    def cancel(self) -> None:
        """End all that runs."""
        for task in tuple(self._tasks):
            task.cancel()

    def _end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._failed(error)
