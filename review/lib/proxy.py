"""A loopback proxy in front of the inbound address of one VM.

``go_silent`` drops the bytes of all open connections and passes on neither resets nor
ends, as a machine without power does; new connections are not answered. After
``come_back`` new connections work, and ``reset_silent`` resets the former ones, as the
machine does when it gets a segment of them.
"""

import asyncio
import socket
import struct


class Proxy:
    """Forwards connections from ``listen`` to ``server``."""

    def __init__(self, listen: tuple[str, int], server: tuple[str, int]) -> None:
        self._listen, self._server_address = listen, server
        self._server: asyncio.Server | None = None
        self._pairs: set[_Pair] = set()
        self.silent = False

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self._listen)

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for pair in tuple(self._pairs):
            pair.reset()

    def go_silent(self) -> None:
        """Lose power: open connections go silent, new ones get no answer."""
        self.silent = True
        for pair in self._pairs:
            pair.silent = True

    def come_back(self) -> None:
        """Accept and forward new connections; those from before stay silent."""
        self.silent = False

    def reset_silent(self) -> int:
        """Reset the connections that went silent; return their number."""
        silent = [pair for pair in self._pairs if pair.silent]
        for pair in silent:
            pair.reset()
        return len(silent)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.silent:
            # The kernel has accepted; nothing is read or answered.
            pair = _Pair((reader, writer), None)
            pair.silent = True
            self._pairs.add(pair)
            return
        try:
            upstream = await asyncio.open_connection(*self._server_address)
        except OSError:
            _reset(writer)
            return
        pair = _Pair((reader, writer), upstream)
        self._pairs.add(pair)
        await asyncio.gather(
            pair.copy(reader, upstream[1]), pair.copy(upstream[0], writer)
        )
        if not pair.silent:
            self._pairs.discard(pair)


Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class _Pair:
    def __init__(self, client: Stream, upstream: Stream | None) -> None:
        self._client, self._upstream = client, upstream
        self.silent = False

    async def copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(1 << 16):
                if not self.silent:
                    writer.write(data)
            if not self.silent:
                writer.close()
        except asyncio.CancelledError:
            _reset(writer)
        except ConnectionError:
            if not self.silent:
                _reset(writer)

    def reset(self) -> None:
        _reset(self._client[1])
        if self._upstream is not None:
            _reset(self._upstream[1])


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close the connection with a reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            pass
    writer.transport.abort()
