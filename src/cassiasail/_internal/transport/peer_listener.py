"""Listener for other daemons, with a limit of its connections."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.http11 import Request, Response

from .. import metrics
from .connection_table import Activity, ConnectionState, ConnectionTable
from .listener import ACCEPTS_PER_ITERATION, BACKLOG
from .peers import (
    CALLS_PATH,
    CONTROL_PATH,
    MAX_CONTROL_MESSAGE_BYTES,
    REGION_HEADER,
    CallPool,
    ControlLinks,
    LocalPeer,
)


class _Handshake:
    """A connection of a peer, as the table of connections sees it.

    One whose handshake is done is in use until its peer closes it.
    """

    def __init__(self, *, connection: "_LimitedConnection", opened_at: float) -> None:
        self._connection = connection
        self._opened_at = opened_at

    def state(self) -> ConnectionState:
        """Return what the connection is doing."""
        is_open = self._connection.response is not None
        activity = Activity.SERVED if is_open else Activity.RECEIVING_HEAD
        return ConnectionState(activity=activity, since=self._opened_at)

    def has_unreceived_response(self) -> bool:
        """Return false: a handshake has no response yet."""
        return False

    def abort(self) -> None:
        """Close the connection at once."""
        self._connection.transport.abort()


class _LimitedConnection(ServerConnection):
    """A connection of a peer that counts in ``table``."""

    table: ConnectionTable[_Handshake]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._handshake = _Handshake(connection=self, opened_at=self.loop.time())
        if self.table.make_room():
            self.table.add(self._handshake)
        else:
            metrics.MESSAGES_REFUSED.labels("too_many_connections").inc()
            self._handshake.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.table.discard(self._handshake)
        super().connection_lost(exc)


async def start_listener(
    address: str,
    *,
    local: LocalPeer,
    control: ControlLinks,
    calls: CallPool,
    max_connections: int | None = None,
) -> Server:
    """Listen for peers on ``address`` (``host:port``).

    Beyond ``max_connections`` one without a complete handshake is closed for a new one.
    """
    connections = ConnectionTable[_Handshake](limit=max_connections)
    serve_by_path: dict[str, Callable[[ServerConnection], Awaitable[None]]] = {
        CONTROL_PATH: control.serve,
        CALLS_PATH: calls.serve,
    }

    async def handle(connection: ServerConnection) -> None:
        path = connection.request.path if connection.request else ""
        handler = serve_by_path.get(path)
        if handler is None:
            metrics.MESSAGES_REFUSED.labels("unknown_path").inc()
            return
        await handler(connection)

    def refuse_while_link_is_cut(
        connection: ServerConnection, request: Request
    ) -> Response | None:
        other_region = request.headers.get(REGION_HEADER, "") != local.region
        if local.link.is_cut and other_region:
            return connection.respond(503, "the emulated link is cut\n")
        return None

    def add_region(
        connection: ServerConnection, request: Request, response: Response
    ) -> None:
        # A daemon that connects to a seed address learns the region from this header.
        response.headers[REGION_HEADER] = local.region

    class Connection(_LimitedConnection):
        table = connections

    host, _, port = address.partition(":")
    listening = socket.create_server((host, int(port)))
    server = await serve(
        handle,
        sock=listening,
        create_connection=Connection,
        # The event loop accepts as many before it counts the first of them.
        backlog=ACCEPTS_PER_ITERATION,
        compression=None,
        max_size=MAX_CONTROL_MESSAGE_BYTES,
        ping_interval=None,
        close_timeout=0.5,
        server_header=None,
        process_request=refuse_while_link_is_cut,
        process_response=add_region,
    )
    listening.listen(BACKLOG)
    return server
