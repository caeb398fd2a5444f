"""A pair of connected in-memory sockets for call connections."""

import asyncio


class MemorySocket:
    """One end; ``hold`` keeps messages back until ``release``."""

    def __init__(self) -> None:
        self.inbox: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.other: MemorySocket | None = None
        self.open = True
        self.sent: list[bytes] = []

    async def send(self, data: bytes) -> bool:
        await asyncio.sleep(0)
        if not self.open or self.other is None or not self.other.open:
            return False
        self.sent.append(data)
        self.other.inbox.put_nowait(data)
        return True

    async def recv(self) -> bytes | None:
        return await self.inbox.get()

    async def close(self) -> None:
        if not self.open:
            return
        self.open = False
        self.inbox.put_nowait(None)
        if self.other is not None:
            await self.other.close()


def socket_pair() -> tuple[MemorySocket, MemorySocket]:
    """Return two connected sockets."""
    one, two = MemorySocket(), MemorySocket()
    one.other, two.other = two, one
    return one, two
