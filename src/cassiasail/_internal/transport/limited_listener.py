"""A listener with a limit of its connections."""

import asyncio
from collections.abc import Callable
from typing import Generic

from .connection_table import HELD_UP_SECONDS, C, ConnectionTable
from .listener import Listener


class LimitedListener(Generic[C]):
    """Listens on one address and keeps a table of the connections.

    ``create`` returns a new connection and the protocol that is given its bytes. It is
    called with true if the connection is beyond ``max_connections`` and none is closed
    for it; ``max_refused`` of these are kept at a time.
    """

    def __init__(
        self,
        *,
        create: Callable[[bool], tuple[C, asyncio.BaseProtocol]],
        max_connections: int | None,
        max_refused: int | None,
        held_up_seconds: float = HELD_UP_SECONDS,
    ) -> None:
        self._create = create
        self._table = ConnectionTable[C](
            limit=max_connections, held_up_seconds=held_up_seconds
        )
        self._refused = ConnectionTable[C](limit=max_refused)
        self._listener = Listener(accept=self._accept, close_one=self._table.close_one)

    @property
    def connections(self) -> tuple[C, ...]:
        """The open connections."""
        return self._table.connections + self._refused.connections

    @property
    def port(self) -> int:
        """The port of the open listener."""
        return self._listener.port

    def start(self, host: str, port: int) -> None:
        """Listen on ``host`` and ``port``."""
        self._listener.start(host, port)

    def close(self) -> None:
        """Accept no further connections; open ones stay open."""
        self._listener.close()

    def discard(self, connection: C) -> None:
        """Count a connection no longer."""
        self._table.discard(connection)
        self._refused.discard(connection)

    def _accept(self) -> asyncio.BaseProtocol:
        is_refused = not self._table.make_room()
        if is_refused and not self._refused.make_room():
            self._refused.close_oldest()
        connection, protocol = self._create(is_refused)
        (self._refused if is_refused else self._table).add(connection)
        return protocol
