"""HTTP/1.1 server: a listener and its connections."""

import asyncio
from collections.abc import Callable, Iterator

from ...protocol.http1 import HttpRequest, HttpResponse
from ...state.mesh_config import ClientLimits
from .memory import MAX_REQUEST_BODIES_BYTES, BodyMemory
from .server_connection import ServerConnection, UnansweredRequest
from .service import Handler, HttpService, TimeLimit


class HttpServer:
    """A listener and its connections.

    ``handler`` returns the response, or None to abort the connection without one.
    ``memory`` holds the bodies of requests without a response; servers may share it. A
    request whose body does not fit gets 503 and is not handled. One whose body is
    incomplete at its ``time_limit`` gets 408 and is not handled either; without a time
    limit, the whole body must arrive within the idle timeout.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], ClientLimits],
        memory: BodyMemory | None = None,
        time_limit: TimeLimit = lambda request: None,
    ) -> None:
        self.memory = memory or BodyMemory(limit=MAX_REQUEST_BODIES_BYTES)
        self._service = HttpService(
            handler=handler, limits=limits, time_limit=time_limit, memory=self.memory
        )
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def in_flight(self) -> int:
        """Number of requests whose response was not handed to the transport yet."""
        return sum(connection.in_flight for connection in self.connections)

    @property
    def sending(self) -> bool:
        """Whether a client has not yet acknowledged all bytes of its responses."""
        return any(connection.unacknowledged_bytes() for connection in self.connections)

    def unanswered(self) -> Iterator[UnansweredRequest]:
        """Yield the requests whose response was not written yet."""
        for connection in tuple(self.connections):
            yield from connection.unanswered()

    async def start(self, host: str, port: int) -> None:
        """Listen on ``host`` and ``port``."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(
                service=self._service,
                opened=self.connections.add,
                closed=self.connections.discard,
            ),
            host,
            port,
            backlog=1024,
        )

    def drain(self) -> None:
        """Respond with ``Connection: close`` from now on; keep listening."""
        self._service.draining = True

    def answer_unfinished(self, respond: Callable[[HttpRequest], HttpResponse]) -> None:
        """Cancel the running handlers and send what ``respond`` returns instead.

        Responses that are ready but wait for an earlier one are sent as well.
        """
        for connection in tuple(self.connections):
            connection.answer_unfinished(respond)

    def close_listener(self) -> None:
        """Accept no new connections; open ones continue."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Close the listener and the connections without requests in flight."""
        self.close_listener()
        self._service.hangups.close()
        for connection in tuple(self.connections):
            if not connection.in_flight:
                connection.close_gracefully()
