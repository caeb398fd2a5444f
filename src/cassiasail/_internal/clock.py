"""Clocks, passed as a parameter wherever a decision depends on time."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time for decisions.

    ``now`` returns seconds that never go back and include time spent suspended,
    so that a paused holder of a lease sees it lapse. ``wall`` returns seconds since
    the epoch, for display and incarnations only.
    """

    def now(self) -> float: ...

    def wall(self) -> float: ...

    async def sleep(self, seconds: float) -> None: ...


class SystemClock:
    """The clock of the VM."""

    def now(self) -> float:
        # CLOCK_MONOTONIC stops while a VM is suspended; leases must not.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
