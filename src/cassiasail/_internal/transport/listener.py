"""Accepts connections as long as the process has descriptors for them.

The event loop's own servers accept all that have arrived before the first of them is
counted, and log a traceback for each one for which there is no descriptor.
"""

import asyncio
import logging
import socket
from collections.abc import Callable

from .. import metrics

logger = logging.getLogger(__name__)

# Connections that the kernel keeps until they are accepted.
BACKLOG = 1024
# Connections accepted in one iteration of the event loop. Their descriptors are in use
# before those of connections that are closed for them are free.
ACCEPTS_PER_ITERATION = 16
# Pause after a connection for which there was no descriptor.
RETRY_SECONDS = 0.05
# The shortest time between two log lines on missing descriptors.
LOG_INTERVAL_SECONDS = 10.0


class Listener:
    """Listens on one address and hands each connection to a protocol.

    ``accept`` returns the protocol of a new connection, and closes others if there are
    too many. ``close_one`` is called if the process has no descriptor left; it closes a
    connection if it can.
    """

    def __init__(
        self,
        *,
        accept: Callable[[], asyncio.BaseProtocol],
        close_one: Callable[[], object],
    ) -> None:
        self._accept = accept
        self._close_one = close_one
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._retry: asyncio.TimerHandle | None = None
        self._logged_at = float("-inf")
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, host: str, port: int) -> None:
        """Listen on ``host`` and ``port``; raises OSError if that is not possible."""
        self._socket = socket.create_server((host, port), backlog=BACKLOG)
        self._socket.setblocking(False)
        self._loop.add_reader(self._socket.fileno(), self._accept_arrived)

    @property
    def port(self) -> int:
        """The port of the open listener."""
        assert self._socket is not None
        return int(self._socket.getsockname()[1])

    def close(self) -> None:
        """Accept no further connections; those accepted stay open."""
        if self._retry is not None:
            self._retry.cancel()
        if self._socket is not None:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _accept_arrived(self) -> None:
        for _ in range(ACCEPTS_PER_ITERATION):
            if self._socket is None:
                return
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._pause(error)
                return
            connection.setblocking(False)
            task = self._loop.create_task(self._serve(connection, self._accept()))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, connection: socket.socket, protocol: asyncio.BaseProtocol
    ) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: protocol, connection)
        except OSError as error:
            connection.close()
            protocol.connection_lost(error)

    def _pause(self, error: OSError) -> None:
        """Close a connection and wait until its descriptor is free."""
        metrics.ACCEPTS_FAILED.inc()
        now = self._loop.time()
        if now - self._logged_at >= LOG_INTERVAL_SECONDS:
            self._logged_at = now
            logger.warning("cannot accept a connection: %s", error)
        self._close_one()
        assert self._socket is not None
        self._loop.remove_reader(self._socket.fileno())
        self._retry = self._loop.call_later(RETRY_SECONDS, self._resume)

    def _resume(self) -> None:
        if self._socket is not None:
            self._loop.add_reader(self._socket.fileno(), self._accept_arrived)
