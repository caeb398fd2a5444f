"""Client side of HTTP/1.1: one request at a time on one connection.

An answer counts as whole only if its framing says so: all bytes of its length, the
last chunk, or a clean end of the connection where it has no length.
"""

import asyncio
import socket
from collections.abc import Callable

import httptools

from ...protocol.exchanges import ExchangeFailed, FailureReason
from ...protocol.http1 import Header, HttpRequest, HttpResponse, encode_request

# Larger answers would not fit beside others into the memory of a small VM.
MAX_ANSWER_BYTES = 64 << 20
# An answer of which nothing came for this long is no longer arriving: many times what
# lies between two segments on a slow link.
STALLED_SECONDS = 0.3


class ClientConnection(asyncio.Protocol):
    """One connection to a server; not usable for two requests at a time."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[HttpResponse | ExchangeFailed] | None = None
        self._accept: Callable[[HttpResponse], bool] | None = None
        self._method = b""
        self._reset_message()
        # False once bytes came that belong to no request, or the server closes.
        self.reusable = True
        self.idle_since = 0.0
        self._received_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        # Seconds that the server keeps an idle connection, None if it did not say.
        self.server_idle_seconds: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry another request."""
        transport = self._transport
        return self.reusable and transport is not None and not transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.reusable = False
        reason = FailureReason.CUT_SHORT if exc is None else FailureReason.RESET
        self._fail(reason)

    def eof_received(self) -> bool:
        self.reusable = False
        if self._waiter is not None and self._head_complete and not self._framed:
            self._complete()
        self._fail(FailureReason.CUT_SHORT)
        return False

    def data_received(self, data: bytes) -> None:
        if self._waiter is None:
            # Bytes without a request in progress: a late or second answer.
            self.close()
            return
        self._received_at = self._loop.time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reusable = False
            self._fail(FailureReason.MALFORMED)
            self.close()

    def on_message_begin(self) -> None:
        if self._waiter is None:
            self.reusable = False
        self._reset_message()

    def on_status(self, status: bytes) -> None:
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._status = self._parser.get_status_code()
        self._head_complete = True
        named = {name for name, _ in self._headers}
        bodiless = self._status < 200 or self._status in (204, 304)
        self._framed = bool(
            bodiless or named & {b"content-length", b"transfer-encoding"}
        )
        if self._method == b"HEAD" and self._status >= 200:
            # The length describes a body that is not sent; the parser would wait.
            self.reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > MAX_ANSWER_BYTES:
            self._fail(FailureReason.TOO_LARGE)
            self.close()
            return
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        if self._waiter is None:
            return
        if self._status < 200:
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._complete()

    async def exchange(
        self,
        request: HttpRequest,
        *,
        timeout: float,
        accept: Callable[[HttpResponse], bool] | None = None,
        grace: float = 0.0,
    ) -> HttpResponse | ExchangeFailed:
        """Send ``request`` and return its answer, or why there is none.

        ``timeout`` is in seconds; an answer that is arriving by then may take up to
        ``grace`` seconds longer. An answer that ``accept`` declines belongs to an
        earlier request; it is dropped and the next one awaited. Cancelling ends the
        connection.
        """
        transport = self._transport
        if transport is None or not self.is_open:
            return ExchangeFailed(reason=FailureReason.CONNECT_FAILED, sent=False)
        waiter = self._loop.create_future()
        self._waiter, self._accept, self._method = waiter, accept, request.method
        transport.write(encode_request(request))
        timeout = max(0.0, timeout)
        ends = self._loop.time() + timeout + grace
        self._received_at = 0.0
        self._timer = self._loop.call_later(timeout, self._time_out, ends)
        try:
            result: HttpResponse | ExchangeFailed = await waiter
        finally:
            self._timer.cancel()
            if not waiter.done() or waiter.cancelled():
                self._waiter = None
                self.abort()
        if transport.get_write_buffer_size():
            # Answered before the whole body was taken: the rest would be read as
            # another request.
            self.reusable = False
        if not self.reusable:
            self.close()
        self.idle_since = self._loop.time()
        return result

    def close(self) -> None:
        """End the connection."""
        self.reusable = False
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """End the connection at once, so that the server notices."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _time_out(self, ends: float) -> None:
        now = self._loop.time()
        if now < ends and now - self._received_at < STALLED_SECONDS:
            again = min(ends, self._received_at + STALLED_SECONDS)
            self._timer = self._loop.call_at(again, self._time_out, ends)
            return
        self._fail(FailureReason.TIMED_OUT)
        self.abort()

    def _reset_message(self) -> None:
        self._status = 0
        self._reason = b""
        self._headers: list[Header] = []
        self._chunks: list[bytes] = []
        self._size = 0
        self._head_complete = False
        self._framed = False

    def _complete(self) -> None:
        response = HttpResponse(
            status=self._status,
            reason=self._reason,
            headers=tuple(self._headers),
            body=b"".join(self._chunks),
        )
        if self._accept is not None and not self._accept(response):
            self.reusable = False
            return
        waiter, self._waiter = self._waiter, None
        self._note_keep_alive(response)
        self._chunks = []
        if waiter is not None and not waiter.done():
            waiter.set_result(response)

    def _note_keep_alive(self, response: HttpResponse) -> None:
        value = response.header(b"keep-alive")
        if value is None:
            return
        for token in value.split(b","):
            name, _, seconds = token.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.server_idle_seconds = float(seconds)

    def _fail(self, reason: FailureReason) -> None:
        self.reusable = False
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(ExchangeFailed(reason=reason, sent=True))


async def connect(
    host: str, port: int, *, timeout: float, silence_seconds: float
) -> ClientConnection | ExchangeFailed:
    """Open a connection within ``timeout`` seconds.

    A server that acknowledges nothing for ``silence_seconds`` counts as lost.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            transport, connection = await loop.create_connection(
                ClientConnection, host, port
            )
    except (OSError, TimeoutError):
        return ExchangeFailed(reason=FailureReason.CONNECT_FAILED, sent=False)
    opened = transport.get_extra_info("socket")
    if opened is not None:
        detect_silence(opened, silence_seconds)
    return connection


def detect_silence(opened: socket.socket, seconds: float) -> None:
    """Have the kernel end a connection whose other side has gone silent."""
    milliseconds = int(seconds * 1000)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
