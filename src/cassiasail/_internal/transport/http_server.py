"""HTTP server that answers malformed requests and internal errors with refusals.

aiohttp would send its own error pages, which are neither problem documents nor counted.
It limits neither the connections nor the time for which one is held, so this server
does.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

from absl import logging
from aiohttp import web

from .. import metrics
from ..state.refusals import Executed, Refusal, RefusalReason
from .connection_table import Activity, ConnectionState
from .limited_listener import LimitedListener
from .reading_turns import PacedReader, ReadingTurns

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
RefusalToResponse = Callable[[Refusal], web.Response]

# A connection without a request is closed after this time.
IDLE_SECONDS = 75.0
# A connection is closed if a head is incomplete, or if its client takes no byte of a
# response, for this long.
MAX_HELD_UP_SECONDS = 15.0
SWEEP_SECONDS = 1.0
# Calls that are still running when the server closes are cancelled after this time.
SHUTDOWN_SECONDS = 60.0


class _Connection(web.RequestHandler):
    """One connection; replaces aiohttp's error responses by those of ``refuse``."""

    __slots__ = (
        "refuse",
        "closed",
        "refused",
        "_requests",
        "_bodies",
        "_head_since",
        "_received_at",
        "_idle_since",
        "_blocked_since",
        "_has_paused",
        "reader",
        "_aborted",
    )

    refuse: RefusalToResponse
    closed: Callable[["_Connection"], None]
    # Beyond the limit of connections: all requests are refused.
    refused: bool
    # What hands the connection its bytes.
    reader: PacedReader

    def __init__(self, manager: web.Server, **options: Any) -> None:
        super().__init__(manager, **options)
        now = asyncio.get_running_loop().time()
        # Requests that are being served, and those of them whose body is being read.
        self._requests = self._bodies = 0
        self._received_at = self._idle_since = now
        # Loop times since when a head is incomplete and since when the client takes no
        # byte of a response.
        self._head_since: float | None = None
        self._blocked_since: float | None = None
        self._aborted = False
        # Whether aiohttp has paused reading, as a body is not taken.
        self._has_paused = False

    def state(self) -> ConnectionState:
        """Return what the connection is doing."""
        if self._blocked_since is not None:
            return ConnectionState(activity=Activity.BLOCKED, since=self._blocked_since)
        if self._bodies:
            return ConnectionState(
                activity=Activity.RECEIVING_BODY, since=self._received_at
            )
        if self._requests:
            return ConnectionState(activity=Activity.SERVED, since=self._received_at)
        if self._head_since is not None:
            return ConnectionState(
                activity=Activity.RECEIVING_HEAD, since=self._head_since
            )
        return ConnectionState(activity=Activity.IDLE, since=self._idle_since)

    def has_unreceived_response(self) -> bool:
        """Return whether bytes of a response are still to be handed to the kernel."""
        transport = self.transport
        if not isinstance(transport, asyncio.WriteTransport):
            return False
        return transport.get_write_buffer_size() > 0

    def abort(self) -> None:
        """Close the connection at once."""
        self._aborted = True
        if isinstance(self.transport, asyncio.Transport):
            self.transport.abort()

    @contextmanager
    def serving(self) -> Iterator[None]:
        """Count a request that is being served."""
        self._head_since = None
        self._requests += 1
        try:
            yield
        finally:
            self._requests -= 1
            self._idle_since = asyncio.get_running_loop().time()

    @contextmanager
    def receiving_body(self) -> Iterator[None]:
        """Mark that the rest of a body is awaited."""
        self._bodies += 1
        try:
            yield
        finally:
            self._bodies -= 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self._aborted:
            # It was closed for another one before it was set up.
            self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        self.closed(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        self._received_at = asyncio.get_running_loop().time()
        if not self._requests and self._head_since is None:
            self._head_since = self._received_at
        super().data_received(data)

    def pause_writing(self) -> None:
        self._blocked_since = asyncio.get_running_loop().time()
        super().pause_writing()

    def resume_writing(self) -> None:
        self._blocked_since = None
        super().resume_writing()

    def pause_reading(self) -> None:
        self._has_paused = True
        super().pause_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        # aiohttp calls this for each part of a body that is taken, and would resume a
        # connection that waits for its turn.
        if not self._has_paused:
            return
        self._has_paused = False
        resume = super().resume_reading
        # The parser continues with the bytes that it holds back.
        self.reader.measure(lambda: resume(resume_parser))

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if status < 500:
            refusal = Refusal(
                reason=RefusalReason.MALFORMED,
                executed=Executed.NO,
                detail="the request is not valid HTTP",
            )
        else:
            logging.error("internal error while handling a request", exc_info=exc)
            refusal = Refusal(reason=RefusalReason.INTERNAL, executed=Executed.UNKNOWN)
        response = self.refuse(refusal)
        if request.writer.output_size > 0:
            # Part of another response is already sent; this closes the connection.
            raise ConnectionError("the response has already been started")
        response.force_close()
        return response


@contextmanager
def receiving_body(request: web.BaseRequest) -> Iterator[None]:
    """Mark that the rest of the body of ``request`` is awaited."""
    connection = request.protocol
    assert isinstance(connection, _Connection)
    with connection.receiving_body():
        yield


class HttpServer(web.Server):
    """aiohttp's low-level server; ``refuse`` turns a refusal into the response.

    Beyond ``max_connections`` one that is not in use is closed for a new one. If all
    are in use, requests on the new one are refused; ``max_refused`` of these are kept
    at a time. Servers that share ``turns`` share the time for parsing.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        refuse: RefusalToResponse,
        max_connections: int | None = None,
        max_refused: int | None = None,
        turns: ReadingTurns | None = None,
        **options: Any,
    ) -> None:
        super().__init__(
            self._serve, keepalive_timeout=IDLE_SECONDS, access_log=None, **options
        )
        self._handler = handler
        self._refuse = refuse
        self._turns = turns or ReadingTurns()
        self._listener = LimitedListener[_Connection](
            create=self._create,
            max_connections=max_connections,
            max_refused=max_refused,
        )
        self._sweep_timer: asyncio.TimerHandle | None = None

    def listen(self, address: str) -> None:
        """Listen on ``address`` (``host:port``)."""
        host, _, port = address.partition(":")
        self._listener.start(host, int(port))
        self._sweep()

    def close_listener(self) -> None:
        """Accept no further connections; open ones stay open."""
        self._listener.close()

    async def close(self) -> None:
        """Stop listening and wait for open connections to finish."""
        self.close_listener()
        self.pre_shutdown()
        await self.shutdown(SHUTDOWN_SECONDS)
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    def _create(self, refused: bool) -> tuple[_Connection, PacedReader]:
        connection = _Connection(self, loop=self._loop, **self._kwargs)
        connection.refuse = self._refuse
        connection.closed = self._listener.discard
        connection.refused = refused
        connection.reader = PacedReader(protocol=connection, turns=self._turns)
        return connection, connection.reader

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, _Connection)
        if connection.refused:
            metrics.MESH_CLIENTS_REFUSED.inc()
            response = self._refuse(
                Refusal(
                    reason=RefusalReason.TOO_MANY_CONNECTIONS,
                    executed=Executed.NO,
                    retry_after=1.0,
                )
            )
            response.force_close()
            return response
        with connection.serving():
            return await self._handler(request)

    def _sweep(self) -> None:
        """Close the connections that are held up for too long."""
        self._sweep_timer = self._loop.call_later(SWEEP_SECONDS, self._sweep)
        now = self._loop.time()
        for connection in self._listener.connections:
            state = connection.state()
            may_last = state.activity in (Activity.RECEIVING_HEAD, Activity.BLOCKED)
            if may_last and now - state.since > MAX_HELD_UP_SECONDS:
                metrics.MESH_CLIENTS_DROPPED.labels("stalled").inc()
                connection.abort()
