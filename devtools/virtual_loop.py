"""An asyncio event loop on virtual time, in which waiting takes no real time.

When the loop would block until its next timer, its clock advances to that time.
"""

import asyncio
import selectors
from typing import Any


class _VirtualTimeSelector(selectors.SelectSelector):
    """A selector that advances the virtual time instead of waiting."""

    def __init__(self, start: float) -> None:
        super().__init__()
        self.now = start

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is set")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose ``time()`` advances only while every task waits.

    It starts at 1000 s.
    """

    def __init__(self, start: float = 1000.0) -> None:
        self._virtual_selector = _VirtualTimeSelector(start)
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now

    def advance(self, seconds: float) -> None:
        """Advance the time at once, as for a process that stands still."""
        self._virtual_selector.now += seconds
