"""Emulated links between regions, for test layouts on one machine.

Messages to another region leave after a fixed delay and at a bounded rate; their
order is kept. With a delay and a rate of zero nothing is added. While the link is cut,
messages wait, as they would in the buffers of a connection without a route, and new
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
        self._free_at = 0.0
        self._usable = asyncio.Event()
        self._usable.set()

    @property
    def active(self) -> bool:
        """Whether the link changes anything."""
        return self.delay > 0 or self.rate > 0

    @property
    def is_cut(self) -> bool:
        """Whether other regions can't be reached."""
        return not self._usable.is_set()

    def set_cut(self, cut: bool) -> None:
        """Cut the link or heal it."""
        if cut:
            self._usable.clear()
        else:
            self._usable.set()

    async def wait_usable(self) -> None:
        """Wait until the link is not cut."""
        await self._usable.wait()

    def departure(self, size: int) -> float:
        """Reserve the link for ``size`` bytes; return the arrival, in loop time."""
        now = asyncio.get_running_loop().time()
        start = max(now, self._free_at)
        self._free_at = start + (size / self.rate if self.rate else 0.0)
        return self._free_at + self.delay


class DelayedSender:
    """Sends messages of one connection when the emulated link delivers them."""

    def __init__(
        self, *, link: RegionLink, send: Callable[[bytes], Awaitable[bool]]
    ) -> None:
        self._link = link
        self._send = send
        self._queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        self._task = asyncio.create_task(self._run())
        self._open = True

    def put(self, data: bytes) -> bool:
        """Queue a message; return whether the connection still works."""
        self._queue.put_nowait((self._link.departure(len(data)), data))
        return self._open

    def close(self) -> None:
        """Drop what has not been delivered."""
        self._open = False
        self._task.cancel()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while self._open:
            arrival, data = await self._queue.get()
            wait = arrival - loop.time()
            if wait > 0:
                await asyncio.sleep(wait)
            await self._link.wait_usable()
            self._open = await self._send(data)
