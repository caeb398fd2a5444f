"""HTTP/1.1 server: a listener and its connections."""

import asyncio
from collections.abc import Callable, Iterator

from ... import metrics
from ...protocol.http1 import HttpRequest, HttpResponse
from ...state.mesh_config import ClientLimits
from .exchange_queue import UnansweredRequest
from .link_pacer import LinkPacer
from .memory import (
    MAX_REQUEST_BODIES_BYTES,
    MAX_UNSENT_BYTES,
    BodyMemory,
    UnsentResponses,
)
from .server_connection import ServerConnection
from .service import (
    Handler,
    HttpService,
    OutcomeUnknown,
    TimeLimit,
    bad_gateway,
)


class HttpServer:
    """A listener and its connections.

    ``handler`` returns the response, or None to abort the connection without one.
    ``memory`` holds the bodies of requests without a response; servers may share it. A
    request whose body does not fit gets 503 and is not handled. One whose body is
    incomplete at its ``time_limit`` gets 408 and is not handled either; without a time
    limit, the whole body must arrive within the idle timeout. ``unsent`` counts the
    responses that clients have not taken. ``pacer`` paces large responses. Beyond
    ``max_connections`` the connection that was idle for longest is closed, or the new
    one if none is idle. ``outcome_unknown`` returns the response to a request whose own
    response was dropped.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], ClientLimits],
        memory: BodyMemory | None = None,
        time_limit: TimeLimit = lambda request: None,
        unsent: UnsentResponses | None = None,
        pacer: LinkPacer | None = None,
        max_connections: int | None = None,
        outcome_unknown: OutcomeUnknown = bad_gateway,
    ) -> None:
        self.memory = memory or BodyMemory(limit=MAX_REQUEST_BODIES_BYTES)
        self._service = HttpService(
            handler=handler,
            limits=limits,
            time_limit=time_limit,
            memory=self.memory,
            unsent=unsent or UnsentResponses(limit=MAX_UNSENT_BYTES),
            pacer=pacer,
            outcome_unknown=outcome_unknown,
        )
        self._max_connections = max_connections
        # In the order of their last request, the first one being the oldest.
        self._connections: dict[ServerConnection, None] = {}
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> tuple[ServerConnection, ...]:
        """The open connections."""
        return tuple(self._connections)

    @property
    def in_flight(self) -> int:
        """Number of requests whose response was not handed to the transport yet."""
        return sum(connection.in_flight for connection in self._connections)

    @property
    def sending(self) -> bool:
        """Whether a client has not yet acknowledged all bytes of its responses."""
        return any(
            connection.unacknowledged_bytes() for connection in self._connections
        )

    def unanswered(self) -> Iterator[UnansweredRequest]:
        """Yield the requests whose response was not written yet."""
        for connection in self.connections:
            yield from connection.unanswered()

    async def start(self, host: str, port: int) -> None:
        """Listen on ``host`` and ``port``."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(
                service=self._service,
                opened=self._open,
                closed=self._close,
                used=self._use,
            ),
            host,
            port,
            backlog=1024,
        )

    def _open(self, connection: ServerConnection) -> None:
        """Count a new connection, and close one if there are too many."""
        self._connections[connection] = None
        limit = self._max_connections
        if limit is None or len(self._connections) <= limit:
            return
        idle = (
            each
            for each in self._connections
            if each.is_idle and not each.unacknowledged_bytes()
        )
        # The new connection is idle as well and the last one.
        oldest = next(idle, connection)
        metrics.MESH_CLIENTS_DROPPED.labels("connections").inc()
        # It counts no longer, also while its end is still to be reported.
        del self._connections[oldest]
        oldest.abort()

    def _close(self, connection: ServerConnection) -> None:
        self._connections.pop(connection, None)

    def _use(self, connection: ServerConnection) -> None:
        """Put a connection with a new request last in the order."""
        if self._max_connections is not None and connection in self._connections:
            self._connections[connection] = self._connections.pop(connection)

    def drain(self) -> None:
        """Respond with ``Connection: close`` from now on; keep listening."""
        self._service.draining = True

    def answer_unfinished(self, respond: Callable[[HttpRequest], HttpResponse]) -> None:
        """Cancel the running handlers and send what ``respond`` returns instead.

        Responses that are ready but wait for an earlier one are sent as well.
        """
        for connection in self.connections:
            connection.answer_unfinished(respond)

    def close_listener(self) -> None:
        """Accept no new connections; open ones continue."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Close the listener and the connections without requests in flight."""
        self.close_listener()
        self._service.hangups.close()
        for connection in self.connections:
            if not connection.in_flight:
                connection.close_gracefully()
