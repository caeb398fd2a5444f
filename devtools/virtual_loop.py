"""An asyncio event loop on virtual time: waiting costs no real time.

Whenever the loop would block until its next timer, its clock jumps there.
"""

import asyncio
import selectors
from typing import Any


class _JumpingSelector(selectors.SelectSelector):
    """A selector that advances virtual time in place of waiting."""

    def __init__(self, start: float) -> None:
        super().__init__()
        self.now = start

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("no timer is left: the simulation cannot go on")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """``time()`` starts at 1000 s and moves only while every task waits."""

    def __init__(self, start: float = 1000.0) -> None:
        self._jumping = _JumpingSelector(start)
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now
