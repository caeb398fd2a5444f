"""A small deterministic event loop on virtual time, for benches and fuzzing.

It runs coroutines that await only ``VirtualLoop.sleep`` and ``Gate.wait``.
A task can be killed at any await, where only its ``finally`` blocks still run, or
suspended for a while like a paused process.
"""

import heapq
from collections.abc import Awaitable, Coroutine, Generator
from typing import Any


class _Sleep(Awaitable[None]):
    def __init__(self, seconds: float) -> None:
        self.seconds = seconds

    def __await__(self) -> Generator[Any, None, None]:
        yield self


class Gate(Awaitable[Any]):
    """A result that one task waits for and another one sets."""

    def __init__(self, loop: "VirtualLoop") -> None:
        self._loop = loop
        self._waiters: list[Task] = []
        self.is_set = False
        self.value: Any = None

    def set(self, value: Any = None) -> None:
        """Wake the waiting tasks with ``value``; later calls have no effect."""
        if self.is_set:
            return
        self.is_set, self.value = True, value
        for task in self._waiters:
            self._loop.schedule(task, 0.0)

    def add_waiter(self, task: "Task") -> None:
        """Wake ``task`` when the gate is set."""
        self._waiters.append(task)

    def __await__(self) -> Generator[Any, None, Any]:
        if not self.is_set:
            yield self
        return self.value


class Task:
    """A coroutine on a ``VirtualLoop``; it does not run before ``held_until``."""

    __slots__ = ("coroutine", "done", "held_until")

    def __init__(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        self.coroutine = coroutine
        self.done = False
        self.held_until = 0.0


class VirtualLoop:
    """Runs tasks in the order of virtual time; implements ``Clock``."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start
        self._order = 0
        self._heap: list[tuple[float, int, Task]] = []

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return a virtual wall-clock time in seconds."""
        return 1_700_000_000.0 + self._now

    async def sleep(self, seconds: float) -> None:
        """Suspend the running task for ``seconds`` of virtual time."""
        await _Sleep(seconds)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> Task:
        """Schedule a new task at the current time."""
        task = Task(coroutine)
        self.schedule(task, 0.0)
        return task

    def schedule(self, task: Task, delay: float) -> None:
        """Wake ``task`` after ``delay`` seconds."""
        self._order += 1
        heapq.heappush(self._heap, (self._now + delay, self._order, task))

    def kill(self, task: Task) -> None:
        """End a task at its current await, as a crash does.

        Only its ``finally`` blocks run; they must not await.
        """
        task.done = True
        task.coroutine.close()

    def close(self) -> None:
        """End all tasks that are still scheduled."""
        for _, _, task in self._heap:
            self.kill(task)

    def run_until(self, end: float) -> None:
        """Run all tasks that are due by ``end``, then set the time to ``end``."""
        while self._heap and self._heap[0][0] <= end:
            due, _, task = heapq.heappop(self._heap)
            self._now = max(self._now, due)
            if task.done:
                continue
            if task.held_until > self._now:
                self.schedule(task, task.held_until - self._now)
                continue
            self._resume(task)
        self._now = max(self._now, end)

    def _resume(self, task: Task) -> None:
        try:
            awaited = task.coroutine.send(None)
        except StopIteration:
            task.done = True
            return
        if isinstance(awaited, Gate):
            awaited.add_waiter(task)
        else:
            self.schedule(task, awaited.seconds)
