"""A loopback proxy whose connections can be delayed, reset, cut or silenced."""

import asyncio
from enum import Enum

from cassiasail._internal.protocol.exchanges import Address

PART_BYTES = 1 << 16
DELAY_SECONDS = 0.08


class Link(Enum):
    """What happens to the bytes of a proxied address."""

    WHOLE = "whole"
    DELAYED = "delayed"
    # Connections are ended with a reset, new ones too.
    RESET = "reset"
    # Bytes towards the server, or back, are swallowed; nobody is told.
    CUT_THERE = "cut_there"
    CUT_BACK = "cut_back"
    SILENT = "silent"


_SWALLOWED_THERE = (Link.CUT_THERE, Link.SILENT)
_SWALLOWED_BACK = (Link.CUT_BACK, Link.SILENT)


class LoopbackProxy:
    """Passes connections from ``listen`` on to ``server`` as ``link`` says."""

    def __init__(self, *, listen: Address, server: Address) -> None:
        self._listen = listen
        self._server_address = server
        self._link = Link.WHOLE
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Connections that lost bytes never work again, as behind a partition.
        self._broken: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, *self._listen)

    def set_link(self, link: Link) -> None:
        """Take ``link`` into force, also for open connections."""
        self._link = link
        if link is Link.RESET:
            for writer in tuple(self._writers):
                writer.transport.abort()

    async def stop(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        self.set_link(Link.RESET)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._link is Link.RESET:
            writer.transport.abort()
            return
        try:
            there = await asyncio.open_connection(*self._server_address)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, there[1]}
        try:
            await asyncio.gather(
                self._pass(reader, there[1], _SWALLOWED_THERE),
                self._pass(there[0], writer, _SWALLOWED_BACK),
            )
        except OSError:
            pass  # One side is gone; the other one is told below.
        finally:
            for each in (writer, there[1]):
                each.transport.abort()
                self._writers.discard(each)
                self._broken.discard(each)

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        swallowed: tuple[Link, ...],
    ) -> None:
        while part := await reader.read(PART_BYTES):
            if self._link is Link.DELAYED:
                await asyncio.sleep(DELAY_SECONDS)
            if self._link in swallowed:
                self._broken.add(writer)
            if writer not in self._broken:
                writer.write(part)
                await writer.drain()
        if writer not in self._broken and writer.can_write_eof():
            writer.write_eof()
