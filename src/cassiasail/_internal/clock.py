"""Clocks; code whose decisions depend on time gets one as a parameter."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time.

    ``now`` returns seconds that never decrease and include the time for which the VM
    was suspended, so that a lease also expires for a holder that was suspended.
    ``wall`` returns seconds since the epoch and is only for display and incarnations.
    """

    def now(self) -> float: ...

    def wall(self) -> float: ...

    async def sleep(self, seconds: float) -> None: ...


class SystemClock:
    """The clock of the VM."""

    def now(self) -> float:
        # CLOCK_MONOTONIC stops while the VM is suspended, but leases expire meanwhile.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
