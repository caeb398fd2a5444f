"""A loopback proxy that can delay, reset or drop the traffic of its connections."""

import asyncio
from enum import Enum

from cassiasail._internal.protocol.exchanges import Address

READ_BYTES = 1 << 16
DELAY_SECONDS = 0.08


class LinkMode(Enum):
    """How a proxy treats the bytes of its connections."""

    NORMAL = "normal"
    DELAYED = "delayed"
    # Open and new connections are reset.
    RESET = "reset"
    # Bytes towards the server, the client or both are dropped without an error.
    DROPS_TO_SERVER = "drops_to_server"
    DROPS_TO_CLIENT = "drops_to_client"
    DROPS_ALL = "drops_all"
    # As DROPS_ALL; the end of a connection is not passed on either.
    SILENT = "silent"


_DROPPING_ALL = (LinkMode.DROPS_ALL, LinkMode.SILENT)
_MODES_DROPPING_TO_SERVER = (LinkMode.DROPS_TO_SERVER, *_DROPPING_ALL)
_MODES_DROPPING_TO_CLIENT = (LinkMode.DROPS_TO_CLIENT, *_DROPPING_ALL)
# How often it is checked whether a link is still silent.
SILENT_POLL_SECONDS = 0.01


class LoopbackProxy:
    """Forwards connections from ``listen`` to ``server`` according to its mode."""

    def __init__(self, *, listen: Address, server: Address) -> None:
        self._listen = listen
        self._server_address = server
        self._mode = LinkMode.NORMAL
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Writers whose bytes were dropped stay unusable, as after a network partition.
        self._broken: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, *self._listen)

    def set_mode(self, mode: LinkMode) -> None:
        """Apply ``mode`` to open and new connections."""
        self._mode = mode
        if mode is LinkMode.RESET:
            for writer in tuple(self._writers):
                writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.set_mode(LinkMode.RESET)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode is LinkMode.RESET:
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection(*self._server_address)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream[1]}
        try:
            await asyncio.gather(
                self._forward(reader, upstream[1], _MODES_DROPPING_TO_SERVER),
                self._forward(upstream[0], writer, _MODES_DROPPING_TO_CLIENT),
            )
        except OSError:
            pass  # One side closed its connection; the other one is aborted below.
        finally:
            await self._wait_while_silent()
            for each in (writer, upstream[1]):
                each.transport.abort()
                self._writers.discard(each)
                self._broken.discard(each)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dropping_modes: tuple[LinkMode, ...],
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self._mode is LinkMode.DELAYED:
                await asyncio.sleep(DELAY_SECONDS)
            if self._mode in dropping_modes:
                self._broken.add(writer)
            if writer not in self._broken:
                writer.write(data)
                await writer.drain()
        await self._wait_while_silent()
        if writer not in self._broken and writer.can_write_eof():
            writer.write_eof()

    async def _wait_while_silent(self) -> None:
        while self._mode is LinkMode.SILENT:
            await asyncio.sleep(SILENT_POLL_SECONDS)
