"""HTTP/1.1 client connection that carries one request at a time.

A response is complete only if its framing shows it: all bytes of ``Content-Length``,
the last chunk, or, without framing headers, an orderly end of the connection.
"""

import asyncio
import errno
import socket
from collections.abc import Callable

import httptools

from ... import metrics
from ...protocol.exchanges import ExchangeFailed, FailureReason, ResponseMatch
from ...protocol.http1 import (
    Header,
    HttpRequest,
    HttpResponse,
    encode_request_parts,
)
from ...state import ranges
from .link_pacer import LinkPacer
from .memory import BodyMemory
from .message_writer import MessageWriter

# A faulty server may send bytes without end. Larger bodies are not expected: the store
# limits its responses to a few MB.
MAX_RESPONSE_BYTES = 16 << 20
# Limit of all bytes of an exchange that belong to no body: status lines, headers,
# trailers and interim responses, which have no limit of their own in the protocol.
MAX_RESPONSE_OVERHEAD_BYTES = 64 << 10
# Limit of the header lines of one response, trailers included. A short line takes
# twenty times its length in memory.
MAX_RESPONSE_HEADERS = 1000
# The framing of chunks adds to that limit: at most this many bytes for each byte of
# body, which a chunk of one byte needs.
CHUNK_FRAMING_BYTES = 6
# A response is no longer arriving if no byte was received for this long, which is many
# times the interval between two segments on a slow link.
STALL_TIMEOUT_SECONDS = 0.3


class ClientConnection(asyncio.Protocol):
    """One connection to a server; doesn't support concurrent requests.

    ``pacer`` paces large requests that leave over a link. ``closed`` is called when the
    connection is closed.
    """

    def __init__(
        self,
        *,
        memory: BodyMemory,
        pacer: LinkPacer | None = None,
        closed: Callable[[], None] = lambda: None,
    ) -> None:
        self._memory = memory
        self._closed = closed
        self._pacer = pacer
        self._writer: MessageWriter | None = None
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[HttpResponse | ExchangeFailed] | None = None
        self._match: Callable[[HttpResponse], ResponseMatch] | None = None
        self._request_method = b""
        # Bytes received in this exchange, and those of them that belong to bodies.
        self._received_bytes = 0
        self._received_body_bytes = 0
        self._reset_response()
        # Whether a response was delivered; later ones have to name their requests.
        self._has_delivered = False
        # False after unexpected bytes, a failure, or when the server closes.
        self.reusable = True
        self.idle_since = 0.0
        self._last_received_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        # Idle timeout that the server announced in Keep-Alive, None without one.
        self.server_idle_seconds: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry another request."""
        transport = self._transport
        return self.reusable and transport is not None and not transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._writer = MessageWriter(
            transport=transport, pacer=self._pacer, finished=lambda: None
        )

    def connection_lost(self, exc: Exception | None) -> None:
        self.reusable = False
        self._closed()
        if self._writer is not None:
            self._writer.stop()
        reason = FailureReason.CUT_SHORT if exc is None else FailureReason.RESET
        self._fail(reason)

    def pause_writing(self) -> None:
        if self._writer is not None:
            self._writer.pause()

    def resume_writing(self) -> None:
        if self._writer is not None:
            self._writer.resume()

    def eof_received(self) -> bool:
        self.reusable = False
        if self._waiter is not None and self._header_complete and not self._has_framing:
            self._complete()
        self._fail(FailureReason.CUT_SHORT)
        return False

    def data_received(self, data: bytes) -> None:
        if self._waiter is None:
            # Bytes without a request in progress: a late or second response.
            self.close()
            return
        self._last_received_at = self._loop.time()
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail(FailureReason.MALFORMED)
            self.abort()
            return
        overhead = self._received_bytes - self._received_body_bytes
        framing = CHUNK_FRAMING_BYTES * self._received_body_bytes
        if self._waiter is not None and (
            overhead > MAX_RESPONSE_OVERHEAD_BYTES + framing
        ):
            self._drop_too_large()

    def on_message_begin(self) -> None:
        if self._waiter is None:
            self.reusable = False
        self._reset_response()

    def on_status(self, status: bytes) -> None:
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(self._headers) >= MAX_RESPONSE_HEADERS:
            # Ends the parsing of the bytes received so far.
            raise ValueError("response has too many header lines")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        # An error ends the parsing, as for a response that is not valid.
        self._status = ranges.http_status(self._parser.get_status_code())
        self._header_complete = True
        header_names = {name for name, _ in self._headers}
        bodiless = self._status < 200 or self._status in (204, 304)
        self._has_framing = bool(
            bodiless or header_names & {b"content-length", b"transfer-encoding"}
        )
        if self._request_method == b"HEAD" and self._status >= 200:
            # Content-Length describes a body that is not sent, and the parser would
            # wait for it.
            self.reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        self._received_body_bytes += len(body)
        if self._waiter is None:
            return
        self._body_bytes += len(body)
        if self._body_bytes > MAX_RESPONSE_BYTES:
            self._drop_too_large()
            return
        self._body_chunks.append(body)
        self._memory.hold(self, len(body), self._drop_too_large)

    def _drop_too_large(self) -> None:
        """Fail the exchange, free the response and close the connection at once."""
        self._fail(FailureReason.TOO_LARGE)
        self.abort()

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
        match: Callable[[HttpResponse], ResponseMatch] | None = None,
        grace: float = 0.0,
    ) -> HttpResponse | ExchangeFailed:
        """Send ``request`` and return its response, or the reason of the failure.

        ``timeout`` is in seconds; a response that is arriving by then may take up to
        ``grace`` seconds longer. A response that belongs to another request by
        ``match`` is dropped and the next one awaited. Cancellation aborts the
        connection.
        """
        transport, writer = self._transport, self._writer
        if transport is None or writer is None or not self.is_open:
            return ExchangeFailed(reason=FailureReason.CONNECT_FAILED, sent=False)
        waiter = self._loop.create_future()
        self._waiter, self._match, self._request_method = (
            waiter,
            match,
            request.method,
        )
        self._received_bytes = self._received_body_bytes = 0
        writer.write(*encode_request_parts(request))
        timeout = max(0.0, timeout)
        deadline = self._loop.time() + timeout + grace
        self._last_received_at = 0.0
        self._timer = self._loop.call_later(timeout, self._time_out, deadline)
        try:
            result: HttpResponse | ExchangeFailed = await waiter
        finally:
            self._timer.cancel()
            if not waiter.done() or waiter.cancelled():
                self._waiter = None
                self._reset_response()
                self.abort()
        if writer.remaining or transport.get_write_buffer_size():
            # The response came before the whole request was sent. The server would
            # read the rest of the body as another request.
            self.reusable = False
        if not self.reusable:
            self.close()
        self.idle_since = self._loop.time()
        return result

    def close(self) -> None:
        """Close the connection after the bytes that the transport has."""
        self.reusable = False
        if self._writer is not None:
            self._writer.stop()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, so that the server notices."""
        self.reusable = False
        if self._writer is not None:
            self._writer.stop()
        if self._transport is not None:
            self._transport.abort()

    def _time_out(self, deadline: float) -> None:
        """Fail the request, unless its response is arriving before ``deadline``."""
        now = self._loop.time()
        if now < deadline and now - self._last_received_at < STALL_TIMEOUT_SECONDS:
            next_check = min(deadline, self._last_received_at + STALL_TIMEOUT_SECONDS)
            self._timer = self._loop.call_at(next_check, self._time_out, deadline)
            return
        self._fail(FailureReason.TIMED_OUT)
        self.abort()

    def _reset_response(self) -> None:
        self._memory.release(self)
        self._status = 0
        self._reason = b""
        self._headers: list[Header] = []
        self._body_chunks: list[bytes] = []
        self._body_bytes = 0
        self._header_complete = False
        self._has_framing = False

    def _complete(self) -> None:
        """Deliver the response that was read, or drop that of another request."""
        response = HttpResponse(
            status=self._status,
            reason=self._reason,
            headers=tuple(self._headers),
            body=b"".join(self._body_chunks),
        )
        self._body_chunks = []
        self._memory.release(self)
        match = ResponseMatch.OWN if self._match is None else self._match(response)
        if match is not ResponseMatch.OWN:
            self.reusable = False
        if match is ResponseMatch.OTHER:
            metrics.MESH_RESPONSES_DROPPED.labels("other_request").inc()
            return
        if match is ResponseMatch.UNKNOWN and self._has_delivered:
            # The server names requests in its responses, or this connection would not
            # be in use again. These are additional bytes of an earlier response.
            metrics.MESH_RESPONSES_DROPPED.labels("unnamed").inc()
            return
        self._has_delivered = True
        waiter, self._waiter = self._waiter, None
        self._read_idle_timeout(response)
        if waiter is not None and not waiter.done():
            waiter.set_result(response)

    def _read_idle_timeout(self, response: HttpResponse) -> None:
        """Store the idle timeout that the Keep-Alive header announces."""
        value = response.header(b"keep-alive")
        if value is None:
            return
        for token in value.split(b","):
            name, _, seconds = token.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.server_idle_seconds = float(seconds)

    def _fail(self, reason: FailureReason) -> None:
        self.reusable = False
        self._reset_response()
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(ExchangeFailed(reason=reason, sent=True))


async def connect(
    host: str,
    port: int,
    *,
    timeout: float,
    ack_timeout: float,
    memory: BodyMemory,
    pacer: LinkPacer | None = None,
    closed: Callable[[], None] = lambda: None,
) -> ClientConnection | ExchangeFailed:
    """Open a connection within ``timeout`` seconds.

    The kernel closes it if the server acknowledges nothing for ``ack_timeout`` seconds.
    ``memory`` holds the body of a response while it is read; ``pacer`` paces large
    requests. ``closed`` is called when the connection is closed.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            transport, connection = await loop.create_connection(
                lambda: ClientConnection(memory=memory, pacer=pacer, closed=closed),
                host,
                port,
            )
    except OSError as error:  # TimeoutError is one as well.
        reason = FailureReason.CONNECT_FAILED
        if error.errno in (errno.EMFILE, errno.ENFILE):
            # Nothing is known about the server.
            reason = FailureReason.NO_DESCRIPTOR
        return ExchangeFailed(reason=reason, sent=False)
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is not None:
        set_ack_timeout(tcp_socket, ack_timeout)
    return connection


def set_ack_timeout(tcp_socket: socket.socket, ack_timeout: float) -> None:
    """Make the kernel close a connection whose peer acknowledges nothing.

    TCP_USER_TIMEOUT covers sent bytes; keepalive probes cover an idle connection.
    """
    milliseconds = int(ack_timeout * 1000)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
