"""Idle connections by address, for callers that send one request at a time."""

import asyncio
from collections.abc import Callable

from ...protocol.exchanges import Address, ExchangeFailed
from ...protocol.http1 import HttpRequest, HttpResponse
from .client import ClientConnection, connect

# A connection is not reused this close to the end of the server's idle time.
IDLE_MARGIN_SECONDS = 0.5
# Idle connections kept for one address. A burst opens many; those beyond the slots of
# a target are of no use afterwards, and descriptors are limited for each process.
MAX_IDLE_PER_ADDRESS = 32


class ConnectionPool:
    """Connections to any number of addresses; the newest idle one is used first.

    Times are in seconds: ``connect_timeout`` bounds the opening, ``silence`` is how
    long sent bytes may stay unacknowledged, ``idle`` how long an unused connection
    stays open.
    """

    def __init__(self, *, connect_timeout: float, silence: float, idle: float) -> None:
        self._connect_timeout = connect_timeout
        self._silence = silence
        self._idle = idle
        self._idle_by_address: dict[Address, list[ClientConnection]] = {}
        self._loop = asyncio.get_running_loop()

    async def exchange(
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: float,
        accept: Callable[[HttpResponse], bool] | None = None,
        max_idle: float | None = None,
    ) -> HttpResponse | ExchangeFailed:
        """Send ``request`` to ``address``; see ``ClientConnection.exchange``.

        ``max_idle`` bounds how long the connection used may have been idle.
        """
        ends = self._loop.time() + timeout
        connection = self._take(address, max_idle)
        if connection is None:
            limit = min(self._connect_timeout, timeout)
            opened = await connect(
                address.host, address.port, timeout=limit, silence_seconds=self._silence
            )
            if isinstance(opened, ExchangeFailed):
                return opened
            connection = opened
        left = ends - self._loop.time()
        result = await connection.exchange(request, timeout=left, accept=accept)
        if connection.is_open:
            self._keep(address, connection)
        return result

    def forget(self, address: Address) -> None:
        """Close the idle connections to ``address``."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle_by_address):
            self.forget(address)

    def _keep(self, address: Address, connection: ClientConnection) -> None:
        idle = [each for each in self._idle_by_address.get(address, ()) if each.is_open]
        idle.append(connection)
        while len(idle) > MAX_IDLE_PER_ADDRESS:
            idle.pop(0).close()
        self._idle_by_address[address] = idle

    def _take(
        self, address: Address, max_idle: float | None
    ) -> ClientConnection | None:
        idle = self._idle_by_address.get(address)
        now = self._loop.time()
        while idle:
            connection = idle.pop()
            limit = self._idle if max_idle is None else min(max_idle, self._idle)
            if connection.server_idle_seconds is not None:
                margin = connection.server_idle_seconds - IDLE_MARGIN_SECONDS
                limit = min(limit, margin)
            if connection.is_open and now - connection.idle_since <= limit:
                return connection
            connection.close()
        return None
