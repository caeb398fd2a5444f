"""Server side of HTTP/1.1: reads requests, answers them in order, closes cleanly.

Requests sent behind one another run at the same time if their method is safe; the
answers keep the order of the requests. A request that follows an answer with
``Connection: close`` is never started.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import urlsplit

import httptools

from ...protocol.http1 import Header, HttpRequest, HttpResponse, encode_response
from ...state.mesh_config import ClientLimits

logger = logging.getLogger(__name__)

# Requests of one connection that are read ahead of their answers; a client that
# sends more waits.
MAX_PIPELINED = 16
# A connection that was closed is read for this long, so that late bytes of the client
# do not reset it before the last answer has arrived.
LINGER_SECONDS = 1.0
# The colon, the space and the end of the line of a header.
HEADER_OVERHEAD = 4
SAFE_METHODS = frozenset((b"GET", b"HEAD", b"OPTIONS"))
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

Handler = Callable[[HttpRequest], Awaitable[HttpResponse | None]]


@dataclass(slots=True, kw_only=True)
class _Exchange:
    request: HttpRequest
    keep_alive: bool
    task: "asyncio.Task[None] | None" = None
    response: HttpResponse | None = None
    done: bool = False


@dataclass(slots=True, kw_only=True)
class _Reading:
    """The request that is being read."""

    arrived: float
    target: bytes = b""
    headers: list[Header] = field(default_factory=list)
    chunks: list[bytes] = field(default_factory=list)
    # Of the lines that the parser delivered, and of all that came for the head.
    head_bytes: int = 0
    received_bytes: int = 0
    body_bytes: int = 0
    head_complete: bool = False


class HttpServer:
    """The connections of one listening address.

    ``handler`` returns the answer, or None to end the connection without one.
    """

    def __init__(self, *, handler: Handler, limits: Callable[[], ClientLimits]) -> None:
        self.handler = handler
        self.limits = limits
        self.draining = False
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def active(self) -> int:
        """Number of requests that have no whole answer yet."""
        return sum(each.unanswered for each in self.connections)

    async def start(self, host: str, port: int) -> None:
        """Listen on ``host`` and ``port``."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(server=self), host, port, backlog=1024
        )

    def drain(self) -> None:
        """Answer from now on with ``Connection: close``; keep listening."""
        self.draining = True

    def close_listener(self) -> None:
        """Take no new connections; those that are open go on."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Close the listener and the idle connections; abort nothing in flight."""
        self.close_listener()
        for each in tuple(self.connections):
            if not each.unanswered:
                each.close_gracefully()


class ServerConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, *, server: HttpServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._exchanges: deque[_Exchange] = deque()
        self._reading: _Reading | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False
        self._paused = False

    @property
    def unanswered(self) -> int:
        """Number of requests read whole and not answered."""
        return len(self._exchanges)

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)
        self._watch_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._closing = True
        if self._timer is not None:
            self._timer.cancel()
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()

    def eof_received(self) -> bool:
        # A client that closes its connection waits for no answer.
        return False

    def data_received(self, data: bytes) -> None:
        if self._closing:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # No protocol is offered; the request was delivered as a plain one, but
            # the parser accepts nothing more on this connection.
            if self._exchanges:
                self._exchanges[-1].keep_alive = False
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if not isinstance(cause, _RejectedError):
                raise
            self._reject(cause.status)
        except httptools.HttpParserError:
            # Bytes behind a request with "Connection: close" are never read.
            if not (self._exchanges and not self._exchanges[-1].keep_alive):
                self._reject(400)
        else:
            self._check_unfinished_head(len(data))

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        self._reading = _Reading(arrived=self._loop.time())
        self._arm(self._server.limits().header_seconds, self._head_overdue)

    def on_url(self, url: bytes) -> None:
        assert self._reading is not None
        self._reading.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self._reading is not None
        self._reading.headers.append((name.lower(), value))
        self._count_head(len(name) + len(value) + HEADER_OVERHEAD)

    def on_headers_complete(self) -> None:
        reading = self._reading
        assert reading is not None and self._transport is not None
        reading.head_complete = True
        self._check_head()
        expected = [value for name, value in reading.headers if name == b"expect"]
        waits = any(value.lower() == b"100-continue" for value in expected)
        if waits and not self._exchanges:
            self._transport.write(CONTINUE)
        self._arm(self._server.limits().idle_seconds, self._head_overdue)

    def on_body(self, body: bytes) -> None:
        reading = self._reading
        assert reading is not None
        reading.body_bytes += len(body)
        if reading.body_bytes > self._server.limits().body_bytes:
            raise _RejectedError(413)
        reading.chunks.append(body)
        # The time-out of a body restarts with each piece.
        self._arm(self._server.limits().idle_seconds, self._head_overdue)

    def on_message_complete(self) -> None:
        reading, self._reading = self._reading, None
        assert reading is not None
        method = self._parser.get_method()
        request = HttpRequest(
            method=method,
            target=reading.target,
            headers=tuple(reading.headers),
            body=b"".join(reading.chunks),
            arrived=reading.arrived,
        )
        keep_alive = self._parser.should_keep_alive()
        self._exchanges.append(_Exchange(request=request, keep_alive=keep_alive))
        self._disarm()
        self._start_ready()
        if len(self._exchanges) >= MAX_PIPELINED and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()

    # Checks of the head.

    def _count_head(self, size: int) -> None:
        reading = self._reading
        assert reading is not None
        reading.head_bytes += size
        if reading.head_bytes > self._server.limits().header_bytes:
            raise _RejectedError(431)

    def _check_unfinished_head(self, received: int) -> None:
        # The parser delivers a header only once its line has ended.
        reading = self._reading
        if reading is None or reading.head_complete:
            return
        reading.received_bytes += received
        if reading.received_bytes > 2 * self._server.limits().header_bytes:
            self._reject(431)

    def _check_head(self) -> None:
        reading = self._reading
        assert reading is not None
        hosts = [value for name, value in reading.headers if name == b"host"]
        if len(hosts) > 1 or (not hosts and self._parser.get_http_version() == "1.1"):
            raise _RejectedError(400)
        if not reading.target.startswith(b"/") and reading.target != b"*":
            self._take_absolute_target(reading)
        lengths = [
            value for name, value in reading.headers if name == b"content-length"
        ]
        if lengths and int(lengths[0]) > self._server.limits().body_bytes:
            raise _RejectedError(413)

    @staticmethod
    def _take_absolute_target(reading: _Reading) -> None:
        # RFC 9112, section 3.2.2: the host of the target replaces that of the header.
        parts = urlsplit(reading.target)
        if parts.scheme.lower() not in (b"http", b"https") or not parts.netloc:
            raise _RejectedError(400)
        start = reading.target.find(b"/", reading.target.find(b"//") + 2)
        target = reading.target[start:] if start >= 0 else b"/"
        reading.target = target
        reading.headers = [
            (name, parts.netloc if name == b"host" else value)
            for name, value in reading.headers
        ]

    # Answers.

    def _start_ready(self) -> None:
        """Start the requests that may run now.

        Safe requests run beside those before them; any other waits until it is the
        first, because an answer before it may close the connection.
        """
        for position, exchange in enumerate(self._exchanges):
            if position and exchange.request.method not in SAFE_METHODS:
                return
            if exchange.task is None and not exchange.done:
                exchange.task = self._loop.create_task(self._run(exchange))

    async def _run(self, exchange: _Exchange) -> None:
        try:
            exchange.response = await self._server.handler(exchange.request)
        except Exception:
            logger.exception("a request handler failed; the request gets a 500")
            exchange.response = HttpResponse(status=500)
        exchange.done = True
        self._write_ready()

    def _write_ready(self) -> None:
        transport = self._transport
        while self._exchanges and self._exchanges[0].done and transport is not None:
            if self._closing:
                return
            exchange = self._exchanges.popleft()
            if exchange.response is None:
                transport.abort()
                return
            close = not exchange.keep_alive or (
                self._server.draining and not self._exchanges and not self._reading
            )
            limits = self._server.limits()
            transport.write(
                encode_response(
                    exchange.response,
                    method=exchange.request.method,
                    close=close,
                    idle_seconds=limits.idle_seconds,
                )
            )
            if close:
                self.close_gracefully()
                return
        if self._closing:
            return
        self._start_ready()
        if self._paused and len(self._exchanges) < MAX_PIPELINED:
            self._paused = False
            assert transport is not None
            transport.resume_reading()
        self._watch_idle()

    def _reject(self, status: int) -> None:
        """Answer bytes that are no acceptable request, behind the answers due."""
        if self._closing:
            return
        request = HttpRequest(method=b"GET", target=b"/", headers=())
        exchange = _Exchange(request=request, keep_alive=False)
        exchange.response = HttpResponse(status=status)
        exchange.done = True
        self._reading = None
        self._exchanges.append(exchange)
        self._disarm()
        self._write_ready()

    # Time-outs and the end.

    def _arm(self, seconds: float, callback: Callable[[], None]) -> None:
        self._disarm()
        self._timer = self._loop.call_later(seconds, callback)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _watch_idle(self) -> None:
        if not self._exchanges and self._reading is None and not self._closing:
            self._arm(self._server.limits().idle_seconds, self.close_gracefully)

    def _head_overdue(self) -> None:
        self._reject(408)

    def close_gracefully(self) -> None:
        """End the connection after what was written; late bytes are discarded."""
        if self._closing or self._transport is None:
            return
        self._closing = True
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        if self._paused:
            self._transport.resume_reading()
        self._arm(LINGER_SECONDS, self._transport.close)


class _RejectedError(Exception):
    """Raised inside a callback of the parser; ``status`` is the answer."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status
