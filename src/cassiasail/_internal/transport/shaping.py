"""Emulated links between regions, for test layouts on one machine.

Messages to another region are delivered in order, after a fixed delay and at a limited
rate. With a delay and a rate of zero nothing is emulated. While the link is cut,
messages are kept, as in the send buffer of a connection whose route failed, and new
connections to other regions fail.
"""

import asyncio
from collections.abc import Awaitable, Callable


class RegionLink:
    """The sending side of this process's link to other regions.

    ``delay`` is in seconds, ``rate`` in bytes per second (0: unlimited). All
    connections of the process share the rate.
    """

    def __init__(self, *, delay: float, rate: float) -> None:
        self.delay = delay
        self.rate = rate
        self._busy_until = 0.0
        self._usable = asyncio.Event()
        self._usable.set()

    @property
    def active(self) -> bool:
        """Whether a delay or a rate is emulated."""
        return self.delay > 0 or self.rate > 0

    @property
    def is_cut(self) -> bool:
        """Whether other regions are unreachable."""
        return not self._usable.is_set()

    def set_cut(self, cut: bool) -> None:
        """Cut the link, or restore it if ``cut`` is False."""
        if cut:
            self._usable.clear()
        else:
            self._usable.set()

    async def wait_usable(self) -> None:
        """Wait while the link is cut."""
        await self._usable.wait()

    def schedule(self, size: int) -> float:
        """Reserve the link for ``size`` bytes; return the delivery time (loop time)."""
        now = asyncio.get_running_loop().time()
        start = max(now, self._busy_until)
        self._busy_until = start + (size / self.rate if self.rate else 0.0)
        return self._busy_until + self.delay


class DelayedSender:
    """Sends each message of a connection at its delivery time on the emulated link."""

    def __init__(
        self, *, link: RegionLink, send: Callable[[bytes], Awaitable[bool]]
    ) -> None:
        self._link = link
        self._send = send
        self._queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        self._task = asyncio.create_task(self._run())
        self._open = True

    def put(self, data: bytes) -> bool:
        """Queue a message; return whether the connection was open at the last send."""
        self._queue.put_nowait((self._link.schedule(len(data)), data))
        return self._open

    def close(self) -> None:
        """Drop all queued messages."""
        self._open = False
        self._task.cancel()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while self._open:
            delivery_time, data = await self._queue.get()
            remaining = delivery_time - loop.time()
            if remaining > 0:
                await asyncio.sleep(remaining)
            await self._link.wait_usable()
            self._open = await self._send(data)
