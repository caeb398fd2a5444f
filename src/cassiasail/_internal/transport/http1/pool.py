"""Pool of client connections by address; each carries one request at a time."""

import asyncio
from collections.abc import Callable

from ... import metrics
from ...protocol.exchanges import (
    Address,
    ExchangeFailed,
    FailureReason,
    ResponseMatch,
)
from ...protocol.http1 import HttpRequest, HttpResponse
from .client import ClientConnection, connect
from .link_pacer import LinkPacer
from .memory import MAX_RESPONSE_BODIES_BYTES, BodyMemory

# A connection is not reused this close to the idle timeout that the server announced.
IDLE_MARGIN_SECONDS = 0.5
# Idle connections kept for one address. A burst opens many. Those beyond the slots of a
# target are not needed afterwards, and a process has a limited number of descriptors.
MAX_IDLE_PER_ADDRESS = 32
# A server that dropped an idle connection may drop others that have been idle for less
# time. Connections to it are then reused only if they have been idle for at most this
# fraction of the idle time of the lost one.
REDUCED_IDLE_FRACTION = 0.7
# The loss of a connection after a shorter idle time does not reduce the limit, because
# it was not caused by the idle time.
MIN_DROPPED_IDLE_SECONDS = 0.1
# How long the reduced limit applies.
REDUCED_IDLE_LIMIT_SECONDS = 10.0

_CONNECTION_LOST = frozenset((FailureReason.RESET, FailureReason.CUT_SHORT))


class ConnectionPool:
    """Connections to any number of addresses; the one used last is reused first.

    Times are in seconds: ``connect_timeout`` limits the opening of a connection,
    ``ack_timeout`` how long sent bytes may stay unacknowledged, and ``idle_timeout``
    how long a connection may be idle and still be reused. ``memory`` holds the bodies
    of the responses that are being read; several pools may share it. ``pacer`` paces
    large requests that leave over a link. At most ``max_connections`` are open at a
    time: an idle one is closed for a new one, and without one the exchange fails.
    ``use`` is the label of such failures.
    """

    def __init__(
        self,
        *,
        connect_timeout: float,
        ack_timeout: float,
        idle_timeout: float,
        memory: BodyMemory | None = None,
        pacer: LinkPacer | None = None,
        max_connections: int | None = None,
        use: str = "other",
    ) -> None:
        self._pacer = pacer
        self._max_connections = max_connections
        self._use = use
        # One token for each connection that is open or being opened.
        self._open_tokens: set[object] = set()
        self._memory = memory or BodyMemory(limit=MAX_RESPONSE_BODIES_BYTES)
        self._connect_timeout = connect_timeout
        self._ack_timeout = ack_timeout
        self._idle_timeout = idle_timeout
        self._idle_by_address: dict[Address, list[ClientConnection]] = {}
        # Reduced idle limit after a lost connection, and the time at which it expires.
        self._reduced_idle_limit_by_address: dict[Address, tuple[float, float]] = {}
        self._loop = asyncio.get_running_loop()

    async def exchange(
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: float,
        match: Callable[[HttpResponse], ResponseMatch] | None = None,
        max_idle: float | None = None,
        grace: float = 0.0,
    ) -> HttpResponse | ExchangeFailed:
        """Send ``request`` to ``address``; see ``ClientConnection.exchange``.

        A connection that has been idle for longer than ``max_idle`` seconds is not
        reused.
        """
        deadline = self._loop.time() + timeout
        connection = self._pop_idle(address, max_idle)
        idle_seconds = (
            0.0 if connection is None else self._loop.time() - connection.idle_since
        )
        if connection is None:
            opened = await self._open(address, min(self._connect_timeout, timeout))
            if isinstance(opened, ExchangeFailed):
                return opened
            connection = opened
        remaining = deadline - self._loop.time()
        result = await connection.exchange(
            request, timeout=remaining, match=match, grace=grace
        )
        if connection.is_open:
            self._add_idle(address, connection)
        elif isinstance(result, ExchangeFailed) and result.reason in _CONNECTION_LOST:
            self._reduce_idle_limit(address, idle_seconds)
        return result

    async def _open(
        self, address: Address, timeout: float
    ) -> ClientConnection | ExchangeFailed:
        if not self._make_room():
            metrics.MESH_CONNECTIONS_REFUSED.labels(self._use).inc()
            return ExchangeFailed(reason=FailureReason.NO_DESCRIPTOR, sent=False)
        token = object()
        self._open_tokens.add(token)
        opened = await connect(
            address.host,
            address.port,
            timeout=timeout,
            ack_timeout=self._ack_timeout,
            memory=self._memory,
            pacer=self._pacer,
            closed=lambda: self._open_tokens.discard(token),
        )
        if isinstance(opened, ExchangeFailed):
            self._open_tokens.discard(token)
        return opened

    def _make_room(self) -> bool:
        """Close the longest idle connection if the limit is reached; false without."""
        limit = self._max_connections
        if limit is None or len(self._open_tokens) < limit:
            return True
        idle = [each for each in self._idle_by_address.values() if each]
        if not idle:
            return False
        min(idle, key=lambda connections: connections[0].idle_since).pop(0).close()
        return True

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to ``address`` and reset its idle limit."""
        self._reduced_idle_limit_by_address.pop(address, None)
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle_by_address):
            self.close_idle(address)

    def _reduce_idle_limit(self, address: Address, idle_seconds: float) -> None:
        """Reduce the idle limit of ``address`` after a reused connection was lost."""
        if idle_seconds < MIN_DROPPED_IDLE_SECONDS:
            return
        limit = min(REDUCED_IDLE_FRACTION * idle_seconds, self._idle_limit(address))
        self._reduced_idle_limit_by_address[address] = (
            limit,
            self._loop.time() + REDUCED_IDLE_LIMIT_SECONDS,
        )

    def _idle_limit(self, address: Address) -> float:
        """Return how many seconds a reused connection may have been idle."""
        limit, expires_at = self._reduced_idle_limit_by_address.get(
            address, (self._idle_timeout, 0.0)
        )
        return limit if self._loop.time() < expires_at else self._idle_timeout

    def _add_idle(self, address: Address, connection: ClientConnection) -> None:
        """Keep ``connection`` for reuse; close the oldest ones above the maximum."""
        idle = [
            pooled
            for pooled in self._idle_by_address.get(address, ())
            if pooled.is_open
        ]
        idle.append(connection)
        while len(idle) > MAX_IDLE_PER_ADDRESS:
            idle.pop(0).close()
        self._idle_by_address[address] = idle

    def _pop_idle(
        self, address: Address, max_idle: float | None
    ) -> ClientConnection | None:
        """Return the idle connection used last that is within all idle limits."""
        idle = self._idle_by_address.get(address)
        now = self._loop.time()
        while idle:
            connection = idle.pop()
            limit = self._idle_limit(address)
            if max_idle is not None:
                limit = min(limit, max_idle)
            if connection.server_idle_seconds is not None:
                server_limit = connection.server_idle_seconds - IDLE_MARGIN_SECONDS
                limit = min(limit, server_limit)
            if connection.is_open and now - connection.idle_since <= limit:
                return connection
            connection.close()
        return None
