"""HTTP/1.1 server: a listener and its connections."""

import asyncio
from collections.abc import Callable, Iterator

from ...protocol.http1 import HttpRequest, HttpResponse
from ...state.mesh_config import ClientLimits
from ..connection_table import HELD_UP_SECONDS
from ..limited_listener import LimitedListener
from ..reading_turns import PacedReader, ReadingTurns
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
    MAX_PIPELINED_TOGETHER,
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
    responses that clients have not taken. ``pacer`` paces large responses.

    Beyond ``max_connections`` one that is not in use, or without progress for
    ``held_up_seconds``, is closed for a new one. If all are in use, requests on the new
    one get 503; ``max_refused`` of these are kept at a time.

    ``max_pipelined`` limits the requests that run before earlier ones of their
    connections are answered, ``max_unanswered`` those of one connection, which is
    dropped beyond it. ``outcome_unknown`` returns the response to a request whose own
    response was dropped. Servers that share ``turns`` share the time for parsing.
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
        max_refused: int | None = None,
        max_pipelined: int = MAX_PIPELINED_TOGETHER,
        max_unanswered: int | None = None,
        outcome_unknown: OutcomeUnknown = bad_gateway,
        held_up_seconds: float = HELD_UP_SECONDS,
        turns: ReadingTurns | None = None,
    ) -> None:
        self.memory = memory or BodyMemory(limit=MAX_REQUEST_BODIES_BYTES)
        self._service = HttpService(
            handler=handler,
            limits=limits,
            time_limit=time_limit,
            memory=self.memory,
            unsent=unsent or UnsentResponses(limit=MAX_UNSENT_BYTES),
            pacer=pacer,
            max_pipelined=max_pipelined,
            max_unanswered=max_unanswered,
            outcome_unknown=outcome_unknown,
        )
        self._turns = turns or ReadingTurns()
        self._listener = LimitedListener[ServerConnection](
            create=self._create,
            max_connections=max_connections,
            max_refused=max_refused,
            held_up_seconds=held_up_seconds,
        )

    @property
    def connections(self) -> tuple[ServerConnection, ...]:
        """The open connections."""
        return self._listener.connections

    @property
    def port(self) -> int:
        """The port on which the server listens."""
        return self._listener.port

    @property
    def in_flight(self) -> int:
        """Number of requests whose response was not handed to the transport yet."""
        return sum(connection.in_flight for connection in self.connections)

    @property
    def sending(self) -> bool:
        """Whether a client has not yet acknowledged all bytes of its responses."""
        return any(
            connection.has_unreceived_response() for connection in self.connections
        )

    def unanswered(self) -> Iterator[UnansweredRequest]:
        """Yield the requests whose response was not written yet."""
        for connection in self.connections:
            yield from connection.unanswered()

    async def start(self, host: str, port: int) -> None:
        """Listen on ``host`` and ``port``."""
        self._listener.start(host, port)

    def _create(self, refused: bool) -> tuple[ServerConnection, PacedReader]:
        connection = ServerConnection(
            service=self._service, closed=self._close, refused=refused
        )
        return connection, PacedReader(protocol=connection, turns=self._turns)

    def _close(self, connection: ServerConnection) -> None:
        self._listener.discard(connection)
        self._service.returns.record_free(asyncio.get_running_loop().time())

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
        self._listener.close()

    async def stop(self) -> None:
        """Close the listener and the connections without requests in flight."""
        self.close_listener()
        self._service.hangups.close()
        for connection in self.connections:
            if not connection.in_flight:
                connection.close_gracefully()
