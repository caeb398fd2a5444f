"""A pair of connected in-memory sockets for call connections."""

import asyncio


class MemorySocket:
    """One end of the pair; ``sent`` keeps all messages that it sent."""

    def __init__(self) -> None:
        self.inbox: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.peer: MemorySocket | None = None
        self.open = True
        self.sent: list[bytes] = []

    async def send(self, data: bytes) -> bool:
        await asyncio.sleep(0)
        if not self.open or self.peer is None or not self.peer.open:
            return False
        self.sent.append(data)
        self.peer.inbox.put_nowait(data)
        return True

    async def recv(self) -> bytes | None:
        return await self.inbox.get()

    async def close(self) -> None:
        if not self.open:
            return
        self.open = False
        self.inbox.put_nowait(None)
        if self.peer is not None:
            await self.peer.close()


def socket_pair() -> tuple[MemorySocket, MemorySocket]:
    """Return two connected sockets."""
    first, second = MemorySocket(), MemorySocket()
    first.peer, second.peer = second, first
    return first, second
