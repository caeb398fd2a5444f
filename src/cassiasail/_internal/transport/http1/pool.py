"""Idle connections by address, for callers that send one request at a time."""

import asyncio
from collections.abc import Callable

from ...protocol.exchanges import Address, ExchangeFailed, FailureReason
from ...protocol.http1 import HttpRequest, HttpResponse
from .client import ClientConnection, connect

# A connection is not reused this close to the end of the server's idle time.
IDLE_MARGIN_SECONDS = 0.5
# Idle connections kept for one address. A burst opens many; those beyond the slots of
# a target are of no use afterwards, and descriptors are limited for each process.
MAX_IDLE_PER_ADDRESS = 32
# A server that has dropped a connection which rested is taken to drop others too that
# rested for this part of the time, for some seconds.
LEARNT_SHARE = 0.7
# A connection that was lost after a shorter rest says nothing about resting.
SHORTEST_REST_SECONDS = 0.1
LEARNT_SECONDS = 10.0

_DROPPED = frozenset((FailureReason.RESET, FailureReason.CUT_SHORT))


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
        # How long a connection may rest as learnt from lost ones, and until when this
        # is believed.
        self._learnt_by_address: dict[Address, tuple[float, float]] = {}
        self._loop = asyncio.get_running_loop()

    async def exchange(
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: float,
        accept: Callable[[HttpResponse], bool] | None = None,
        max_idle: float | None = None,
        grace: float = 0.0,
    ) -> HttpResponse | ExchangeFailed:
        """Send ``request`` to ``address``; see ``ClientConnection.exchange``.

        ``max_idle`` bounds how long the connection used may have been idle.
        """
        ends = self._loop.time() + timeout
        connection = self._take(address, max_idle)
        rested = (
            0.0 if connection is None else self._loop.time() - connection.idle_since
        )
        if connection is None:
            limit = min(self._connect_timeout, timeout)
            opened = await connect(
                address.host, address.port, timeout=limit, silence_seconds=self._silence
            )
            if isinstance(opened, ExchangeFailed):
                return opened
            connection = opened
        left = ends - self._loop.time()
        result = await connection.exchange(
            request, timeout=left, accept=accept, grace=grace
        )
        if connection.is_open:
            self._keep(address, connection)
        elif isinstance(result, ExchangeFailed) and result.reason in _DROPPED:
            self._learn(address, rested)
        return result

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to ``address``."""
        self._learnt_by_address.pop(address, None)
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle_by_address):
            self.close_idle(address)

    def _learn(self, address: Address, rested: float) -> None:
        """Take over that a connection was lost which had rested before its use."""
        if rested < SHORTEST_REST_SECONDS:
            return
        limit = min(LEARNT_SHARE * rested, self._learnt_limit(address))
        self._learnt_by_address[address] = limit, self._loop.time() + LEARNT_SECONDS

    def _learnt_limit(self, address: Address) -> float:
        limit, until = self._learnt_by_address.get(address, (self._idle, 0.0))
        return limit if self._loop.time() < until else self._idle

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
            limit = self._learnt_limit(address)
            if max_idle is not None:
                limit = min(limit, max_idle)
            if connection.server_idle_seconds is not None:
                margin = connection.server_idle_seconds - IDLE_MARGIN_SECONDS
                limit = min(limit, margin)
            if connection.is_open and now - connection.idle_since <= limit:
                return connection
            connection.close()
        return None
