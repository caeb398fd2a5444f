"""HTTP/1.1 server: reads requests, responds in order and closes connections cleanly.

Pipelined requests run concurrently if their method is safe; the responses keep the
order of the requests. After a response with ``Connection: close``, no further request
of the connection is started.
"""

import asyncio
import fcntl
import logging
import sys
import termios
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from urllib.parse import urlsplit

import httptools

from ... import metrics
from ...protocol.http1 import Header, HttpRequest, HttpResponse, encode_response
from ...state.mesh_config import ClientLimits
from .memory import MAX_REQUEST_BODIES_BYTES, BodyMemory

logger = logging.getLogger(__name__)

# Requests of one connection that may be without a response; reading pauses at this
# number.
MAX_PIPELINED = 16
# After the last response, the connection is still read for this long, and as often
# again as the client acknowledges further bytes of it. Otherwise late bytes of the
# client could reset the connection before that response has arrived.
LINGERING_CLOSE_SECONDS = 1.0
# Retry-After of a request whose body does not fit into memory; the others are done or
# timed out soon.
RETRY_BODY_SECONDS = 0.5
# Bytes of a header line besides name and value: colon, space and line end.
HEADER_LINE_OVERHEAD_BYTES = 4
SAFE_METHODS = frozenset((b"GET", b"HEAD", b"OPTIONS"))
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

Handler = Callable[[HttpRequest], Awaitable[HttpResponse | None]]
# Receives a request without its body; returns the seconds from its arrival to its
# deadline, None if it has none.
TimeLimit = Callable[[HttpRequest], float | None]


@dataclass(slots=True, kw_only=True)
class _Exchange:
    """A complete request and, once it is done, its response."""

    request: HttpRequest
    keep_alive: bool
    # Key under which the memory for the body is held.
    holder: object = None
    task: "asyncio.Task[None] | None" = None
    response: HttpResponse | None = None
    done: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class UnansweredRequest:
    """A complete request whose response was not written yet.

    ``position`` is the number of requests before it on its connection that are not
    answered either. ``has_response`` is true if its response waits only for theirs.
    """

    request: HttpRequest
    position: int
    has_response: bool


@dataclass(slots=True, kw_only=True, eq=False)
class _PartialRequest:
    """A request that is being read."""

    arrived_at: float
    target: bytes = b""
    headers: list[Header] = field(default_factory=list)
    # Not a list of parts, as an object for two bytes takes 22 times their memory.
    body: bytearray = field(default_factory=bytearray)
    # Bytes of the header lines that the parser has delivered, and all bytes received
    # for the header section.
    header_bytes_parsed: int = 0
    header_bytes_received: int = 0
    body_bytes: int = 0
    # Body bytes for which memory is held; the whole length if it was announced.
    held_bytes: int = 0
    header_complete: bool = False
    # Loop time by which the whole body must have arrived; None until a part is missing.
    body_due_at: float | None = None


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
        self.handler = handler
        self.limits = limits
        self.time_limit = time_limit
        self.memory = memory or BodyMemory(limit=MAX_REQUEST_BODIES_BYTES)
        self.draining = False
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
            lambda: ServerConnection(server=self), host, port, backlog=1024
        )

    def drain(self) -> None:
        """Respond with ``Connection: close`` from now on; keep listening."""
        self.draining = True

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
        for connection in tuple(self.connections):
            if not connection.in_flight:
                connection.close_gracefully()


class ServerConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, *, server: HttpServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._exchanges: deque[_Exchange] = deque()
        self._partial: _PartialRequest | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False
        self._reading_paused = False
        # As of the last check whether the client still receives its responses.
        self._unacknowledged_bytes = 0

    @property
    def in_flight(self) -> int:
        """Number of complete requests whose response was not written yet."""
        return len(self._exchanges)

    def unacknowledged_bytes(self) -> int:
        """Return the number of response bytes that the client has not acknowledged."""
        transport = self._transport
        if transport is None:
            return 0
        buffered = transport.get_write_buffer_size()
        connection = transport.get_extra_info("socket")
        if connection is None or connection.fileno() < 0:
            return buffered
        try:
            sent = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4))
        except OSError as error:
            # Only the bytes that the kernel has not taken yet are known then.
            logger.debug("the send queue of a connection is unknown: %s", error)
            return buffered
        return buffered + int.from_bytes(sent, sys.byteorder)

    def _client_receives(self) -> bool:
        """Return whether the client acknowledged bytes since the last call.

        False also if there are none that it has to acknowledge.
        """
        before = self._unacknowledged_bytes
        self._unacknowledged_bytes = now = self.unacknowledged_bytes()
        return now > 0 and now != before

    def unanswered(self) -> Iterator[UnansweredRequest]:
        """Yield the complete requests whose response was not written yet."""
        for position, exchange in enumerate(self._exchanges):
            yield UnansweredRequest(
                request=exchange.request,
                position=position,
                has_response=exchange.done,
            )

    def answer_unfinished(self, respond: Callable[[HttpRequest], HttpResponse]) -> None:
        """Answer the started requests now; see ``HttpServer.answer_unfinished``."""
        for exchange in self._exchanges:
            if exchange.task is not None and not exchange.done:
                exchange.task.cancel()
                exchange.response = respond(exchange.request)
                exchange.done = True
        self._write_finished()

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._closing = True
        if self._timer is not None:
            self._timer.cancel()
        self._cancel_exchanges()

    def eof_received(self) -> bool:
        # A client that closes its connection no longer waits for responses.
        return False

    def data_received(self, data: bytes) -> None:
        # Behind the last request of the connection, bytes are ignored.
        if self._closing or (self._exchanges and not self._exchanges[-1].keep_alive):
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The server supports no upgrade. The parser has delivered the request as
            # a normal one, but accepts no further bytes on this connection.
            if self._exchanges:
                self._exchanges[-1].keep_alive = False
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if not isinstance(cause, _RejectedError):
                raise
            self._reject(cause.status, cause.headers)
        except httptools.HttpParserError:
            # Bytes after a request with "Connection: close" are ignored.
            if not (self._exchanges and not self._exchanges[-1].keep_alive):
                self._reject(400)
        else:
            self._check_incomplete_header(len(data))
            self._start_body_timer()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        self._partial = _PartialRequest(arrived_at=self._loop.time())
        self._start_timer(self._server.limits().header_seconds, self._request_timed_out)

    def on_url(self, url: bytes) -> None:
        assert self._partial is not None
        self._partial.target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self._partial is not None
        self._partial.headers.append((name.lower(), value))
        self._count_header_bytes(len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        partial = self._partial
        assert partial is not None and self._transport is not None
        partial.header_complete = True
        self._check_header()
        expected = [value for name, value in partial.headers if name == b"expect"]
        expects_continue = any(value.lower() == b"100-continue" for value in expected)
        if expects_continue and not self._exchanges:
            self._transport.write(CONTINUE_RESPONSE)

    def on_body(self, body: bytes) -> None:
        partial = self._partial
        assert partial is not None
        partial.body_bytes += len(body)
        if partial.body_bytes > self._server.limits().body_bytes:
            raise _RejectedError(413)
        self._hold_body(partial, partial.body_bytes)
        partial.body += body

    def on_message_complete(self) -> None:
        partial, self._partial = self._partial, None
        assert partial is not None
        request = self._request(partial, body=bytes(partial.body))
        # ``partial`` stays as the holder of the memory until the response is written.
        partial.body = bytearray()
        keep_alive = self._parser.should_keep_alive()
        self._exchanges.append(
            _Exchange(request=request, keep_alive=keep_alive, holder=partial)
        )
        self._stop_timer()
        self._start_runnable()
        if len(self._exchanges) >= MAX_PIPELINED and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()

    def _request(self, partial: _PartialRequest, *, body: bytes) -> HttpRequest:
        return HttpRequest(
            method=self._parser.get_method(),
            target=partial.target,
            headers=tuple(partial.headers),
            body=body,
            arrived=partial.arrived_at,
        )

    # Checks of the header section.

    def _count_header_bytes(self, size: int) -> None:
        partial = self._partial
        assert partial is not None
        partial.header_bytes_parsed += size
        if partial.header_bytes_parsed > self._server.limits().header_bytes:
            raise _RejectedError(431)

    def _check_incomplete_header(self, received: int) -> None:
        # The parser delivers only complete header lines, so an endless line is limited
        # here by the bytes received.
        partial = self._partial
        if partial is None or partial.header_complete:
            return
        partial.header_bytes_received += received
        if partial.header_bytes_received > 2 * self._server.limits().header_bytes:
            self._reject(431)

    def _check_header(self) -> None:
        """Reject an invalid Host header or target, or a body that is too large."""
        partial = self._partial
        assert partial is not None
        hosts = [value for name, value in partial.headers if name == b"host"]
        if len(hosts) > 1 or (not hosts and self._parser.get_http_version() == "1.1"):
            raise _RejectedError(400)
        if not partial.target.startswith(b"/") and partial.target != b"*":
            self._convert_absolute_target(partial)
        lengths = [
            value for name, value in partial.headers if name == b"content-length"
        ]
        if lengths and int(lengths[0]) > self._server.limits().body_bytes:
            raise _RejectedError(413)
        if lengths:
            self._hold_body(partial, int(lengths[0]))
        codings = [
            value for name, value in partial.headers if name == b"transfer-encoding"
        ]
        if codings and b",".join(codings).strip().lower() != b"chunked":
            # The body would be forwarded without the coding that was not undone.
            raise _RejectedError(501)

    def _hold_body(self, partial: _PartialRequest, size: int) -> None:
        """Hold memory for ``size`` bytes of the body, or reject the request."""
        if size <= partial.held_bytes:
            return
        if not self._server.memory.try_hold(partial, size - partial.held_bytes):
            metrics.MESH_BODIES_REFUSED.inc()
            raise _RejectedError(503, ((b"retry-after", b"%.1f" % RETRY_BODY_SECONDS),))
        partial.held_bytes = size

    @staticmethod
    def _convert_absolute_target(partial: _PartialRequest) -> None:
        # RFC 9112, section 3.2.2: the host of the target overrides the Host header.
        parts = urlsplit(partial.target)
        if parts.scheme.lower() not in (b"http", b"https") or not parts.netloc:
            raise _RejectedError(400)
        start = partial.target.find(b"/", partial.target.find(b"//") + 2)
        target = partial.target[start:] if start >= 0 else b"/"
        partial.target = target
        partial.headers = [
            (name, parts.netloc if name == b"host" else value)
            for name, value in partial.headers
        ]

    # Responses.

    def _start_runnable(self) -> None:
        """Start the requests that may run now.

        Safe requests run concurrently with earlier ones. Any other request waits until
        it is the first, because an earlier response may close the connection.
        """
        for position, exchange in enumerate(self._exchanges):
            if position and exchange.request.method not in SAFE_METHODS:
                return
            if exchange.task is None and not exchange.done:
                exchange.task = self._loop.create_task(self._handle(exchange))

    async def _handle(self, exchange: _Exchange) -> None:
        """Run the handler; a failure of it becomes a response with status 500."""
        try:
            exchange.response = await self._server.handler(exchange.request)
        except Exception:
            logger.exception("request handler failed; responding with status 500")
            exchange.response = HttpResponse(status=500)
        exchange.done = True
        self._write_finished()

    def _write_finished(self) -> None:
        """Write the responses that are due in order, then start the next requests."""
        transport = self._transport
        while self._exchanges and self._exchanges[0].done and transport is not None:
            if self._closing:
                return
            exchange = self._exchanges.popleft()
            self._server.memory.release(exchange.holder)
            if exchange.response is None:
                transport.abort()
                return
            close = not exchange.keep_alive or (
                self._server.draining and not self._exchanges and not self._partial
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
        self._start_runnable()
        if self._reading_paused and len(self._exchanges) < MAX_PIPELINED:
            self._reading_paused = False
            assert transport is not None
            transport.resume_reading()
        self._start_idle_timer()

    def _reject(self, status: int, headers: tuple[Header, ...] = ()) -> None:
        """Respond with ``status`` after the pending responses, then close."""
        if self._closing:
            return
        request = HttpRequest(method=b"GET", target=b"/", headers=())
        exchange = _Exchange(request=request, keep_alive=False)
        exchange.response = HttpResponse(status=status, headers=headers)
        exchange.done = True
        self._drop_partial()
        self._exchanges.append(exchange)
        self._stop_timer()
        self._write_finished()

    # Timeouts and closing.

    def _start_timer(self, seconds: float, callback: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, callback)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start_idle_timer(self) -> None:
        if not self._exchanges and self._partial is None and not self._closing:
            self._start_timer(self._server.limits().idle_seconds, self._idle_timed_out)

    def _idle_timed_out(self) -> None:
        # A client that still receives a response is not idle.
        if self._client_receives():
            self._start_idle_timer()
        else:
            self.close_gracefully()

    def _end_lingering(self) -> None:
        """Close the connection once the client has all responses or takes no more.

        From the close on nothing is read, and unread bytes would reset the connection.
        """
        if self._client_receives():
            self._start_timer(LINGERING_CLOSE_SECONDS, self._end_lingering)
        elif self._transport is not None and self._unacknowledged_bytes:
            self._transport.abort()
        elif self._transport is not None:
            self._transport.close()

    def _body_due_at(self, partial: _PartialRequest) -> float:
        """Return the loop time by which the whole body must have arrived."""
        seconds = self._server.time_limit(self._request(partial, body=b""))
        if seconds is None:
            return self._loop.time() + self._server.limits().idle_seconds
        return partial.arrived_at + seconds

    def _start_body_timer(self) -> None:
        """Wait for the next part of an incomplete body, but not beyond its due time.

        The idle timeout restarts with each part. Alone it would let a client hold a
        connection and memory for hours by sending single bytes.
        """
        partial = self._partial
        if partial is None or not partial.header_complete:
            return
        if partial.body_due_at is None:
            partial.body_due_at = self._body_due_at(partial)
        due_in = max(0.0, partial.body_due_at - self._loop.time())
        idle_seconds = self._server.limits().idle_seconds
        self._start_timer(min(idle_seconds, due_in), self._request_timed_out)

    def _request_timed_out(self) -> None:
        has_header = self._partial is not None and self._partial.header_complete
        part = "body" if has_header else "header"
        metrics.MESH_REQUESTS_TIMED_OUT.labels(part).inc()
        self._reject(408)

    def _drop_partial(self) -> None:
        partial, self._partial = self._partial, None
        if partial is not None:
            self._server.memory.release(partial)

    def _cancel_exchanges(self) -> None:
        """Cancel requests whose response was not written yet."""
        self._drop_partial()
        for exchange in self._exchanges:
            self._server.memory.release(exchange.holder)
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()

    def close_gracefully(self) -> None:
        """Close the connection after the written bytes; discard what still arrives.

        Cancels requests whose response was not written yet.
        """
        if self._closing or self._transport is None:
            return
        self._closing = True
        self._cancel_exchanges()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        if self._reading_paused:
            self._transport.resume_reading()
        self._start_timer(LINGERING_CLOSE_SECONDS, self._end_lingering)


class _RejectedError(Exception):
    """Raised in parser callbacks to reject a request with ``status``."""

    def __init__(self, status: int, headers: tuple[Header, ...] = ()) -> None:
        super().__init__(status)
        self.status = status
        self.headers = headers
