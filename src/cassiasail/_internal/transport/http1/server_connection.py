"""Server side of an HTTP/1.1 connection: requests, responses in order, orderly close.

Pipelined requests run concurrently if their method is safe; the responses keep the
order of the requests. After a response with ``Connection: close``, no further request
of the connection is started.
"""

import asyncio
import logging
from collections.abc import Callable, Iterator

import httptools

from ... import metrics
from ...protocol.http1 import Header, HttpRequest, HttpResponse
from ..connection_table import Activity, ConnectionState
from .exchange_queue import (
    MAX_PIPELINED,
    Exchange,
    ExchangeQueue,
    UnansweredRequest,
)
from .partial_request import PartialRequest, RejectedError
from .response_sender import RECEIVED_CHECK_FRACTION, ResponseSender
from .service import HttpService

logger = logging.getLogger(__name__)

# After the last response, the connection is still read for this long, and as often
# again while the client receives it. Otherwise late bytes of the client could reset the
# connection before that response has arrived.
LINGERING_CLOSE_SECONDS = 1.0
# Bytes before a request that belong to none: empty lines, which servers should ignore
# (RFC 9112, section 2.2). Clients send one or two, if any.
MAX_BLANK_BYTES = 256
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ServerConnection(asyncio.Protocol):
    """One connection of a client.

    ``closed`` is called with the connection when it is closed. All requests of one that
    is ``refused`` get 503 and are not handled.
    """

    def __init__(
        self,
        *,
        service: HttpService,
        closed: Callable[["ServerConnection"], None],
        refused: bool = False,
    ) -> None:
        self._service = service
        self._closed = closed
        self._refused = refused
        self._loop = asyncio.get_running_loop()
        self._exchanges = ExchangeQueue(service=service, done=self._finish)
        self._partial: PartialRequest | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False
        self._reading_paused = False
        self._sender: ResponseSender | None = None
        # Bytes received since the last request that belong to no request.
        self._blank_bytes = 0
        # The client waits for 100 (Continue) before it sends the body.
        self._expects_continue = False
        # Loop times of the last bytes received, and of the end of the last exchange.
        self._received_at = self._idle_since = self._loop.time()

    @property
    def in_flight(self) -> int:
        """Number of complete requests whose response was not written yet."""
        return len(self._exchanges) + self._is_sending

    def state(self) -> ConnectionState:
        """Return what the connection is doing."""
        if self.in_flight:
            blocked_since = None if self._sender is None else self._sender.blocked_since
            if blocked_since is not None:
                return ConnectionState(activity=Activity.BLOCKED, since=blocked_since)
            return ConnectionState(activity=Activity.SERVED, since=self._loop.time())
        partial = self._partial
        if partial is None:
            return ConnectionState(activity=Activity.IDLE, since=self._idle_since)
        if partial.header_complete:
            return ConnectionState(
                activity=Activity.RECEIVING_BODY, since=self._received_at
            )
        return ConnectionState(
            activity=Activity.RECEIVING_HEAD, since=partial.arrived_at
        )

    def has_unreceived_response(self) -> bool:
        """Return whether the client has not acknowledged all bytes of its responses."""
        return self.unacknowledged_bytes() > 0

    def unacknowledged_bytes(self) -> int:
        """Return the number of response bytes that the client has not acknowledged."""
        return 0 if self._sender is None else self._sender.unacknowledged_bytes()

    @property
    def _is_sending(self) -> bool:
        return self._sender is not None and self._sender.is_sending

    @property
    def _is_idle(self) -> bool:
        return not self.in_flight and self._partial is None

    def unanswered(self) -> Iterator[UnansweredRequest]:
        """Yield the complete requests whose response was not written yet."""
        yield from self._exchanges.unanswered()

    def answer_unfinished(self, respond: Callable[[HttpRequest], HttpResponse]) -> None:
        """Answer the started requests now; see ``HttpServer.answer_unfinished``."""
        self._exchanges.answer_unfinished(respond)
        self._write_finished()

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._closing:
            # It was closed for another one before it was set up.
            transport.abort()
            return
        self._sender = ResponseSender(
            transport=transport,
            service=self._service,
            finished=self._continue_after,
            ready=self._write_finished,
            dropped=self.abort,
            is_waiting=lambda: self._exchanges.is_waiting,
            shed=self._exchanges.shed_waiting,
        )
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._closed(self)
        self._closing = True
        self._unwatch_hangup()
        if self._timer is not None:
            self._timer.cancel()
        if self._sender is not None:
            self._sender.stop()
        self._cancel_exchanges()

    def pause_writing(self) -> None:
        if self._sender is not None:
            self._sender.pause()

    def resume_writing(self) -> None:
        if self._sender is not None:
            self._sender.resume()

    def eof_received(self) -> bool:
        # A client that closes its connection no longer waits for responses.
        self._cancel_exchanges()
        return False

    def data_received(self, data: bytes) -> None:
        self._received_at = self._loop.time()
        # The parser doesn't tell where in a piece a request begins. All bytes of the
        # next piece belong to that request, or its header section is complete; pieces
        # of this size are enough to limit it.
        size = max(1, self._service.limits().header_bytes)
        if len(data) <= size:
            self._parse(data)
            return
        for start in range(0, len(data), size):
            self._parse(data[start : start + size])

    def _parse(self, data: bytes) -> None:
        # Behind the last request of the connection, bytes are ignored.
        if self._closing or self._exchanges.has_last:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The server supports no upgrade. The parser has delivered the request as
            # a normal one, but accepts no further bytes on this connection.
            self._exchanges.mark_last()
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if not isinstance(cause, RejectedError):
                raise
            self._reject(cause.status)
        except httptools.HttpParserError:
            # Bytes after a request with "Connection: close" are ignored.
            if not self._exchanges.has_last:
                self._reject(400)
        else:
            if self._partial is not None:
                self._limit_header(self._partial, len(data))
            if self._partial is None and not self._exchanges:
                self._count_blank_bytes(len(data))
            self._start_body_timer()

    def _limit_header(self, partial: PartialRequest, received: int) -> None:
        """Reject a header section that is too long, or too much with the others."""
        if partial.exceeds_header_limit(received):
            self._reject(431)
            return
        try:
            partial.hold_header(received)
        except RejectedError as error:
            self._reject(error.status)

    def _count_blank_bytes(self, size: int) -> None:
        """Limit the bytes that arrive without the start of a request."""
        self._blank_bytes += size
        if self._blank_bytes > MAX_BLANK_BYTES:
            metrics.MESH_CLIENTS_DROPPED.labels("empty_lines").inc()
            self.abort()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        if self._closing:
            # Ends the parsing of the bytes received so far.
            raise RejectedError(400)
        service = self._service
        self._blank_bytes = 0
        self._expects_continue = False
        self._partial = PartialRequest(
            arrived_at=self._loop.time(), limits=service.limits(), memory=service.memory
        )
        service.memory.begin(self._partial, lambda: self._reject(503))
        self._start_timer(service.limits().header_seconds, self._request_timed_out)

    def on_url(self, url: bytes) -> None:
        assert self._partial is not None
        self._partial.add_target(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self._partial is not None
        self._partial.add_header(name, value)

    def on_headers_complete(self) -> None:
        partial = self._partial
        assert partial is not None and self._transport is not None
        partial.complete_header(http_version=self._parser.get_http_version())
        partial.hold_header(0)
        if self._refused:
            metrics.MESH_CLIENTS_REFUSED.inc()
            raise RejectedError(503)
        self._expects_continue = any(
            value.lower() == b"100-continue" for value in partial.values(b"expect")
        )
        self._send_continue()

    def _send_continue(self) -> None:
        """Tell a client that waits for it to send the body, behind all responses."""
        if self._expects_continue and self._partial and not self.in_flight:
            assert self._transport is not None
            self._expects_continue = False
            self._transport.write(CONTINUE_RESPONSE)

    def on_body(self, body: bytes) -> None:
        assert self._partial is not None
        self._expects_continue = False
        self._partial.add_body(body)

    def on_message_complete(self) -> None:
        partial, self._partial = self._partial, None
        assert partial is not None
        request = partial.request(self._parser.get_method(), body=bytes(partial.body))
        # ``partial`` stays as the holder of the memory until the response is written.
        partial.body = bytearray()
        self._service.memory.complete(partial)
        keep_alive = self._parser.should_keep_alive()
        self._exchanges.add(
            Exchange(request=request, keep_alive=keep_alive, partial=partial)
        )
        self._stop_timer()
        most = self._service.max_unanswered
        if most is not None and len(self._exchanges) > most:
            metrics.MESH_CLIENTS_DROPPED.labels("pipelined").inc()
            self.abort()
            return
        self._start_runnable()
        if len(self._exchanges) >= MAX_PIPELINED and self._transport is not None:
            self._pause_reading(self._transport)

    # Responses.

    def _start_runnable(self) -> None:
        if self._sender is not None and self._sender.is_blocked:
            # The client doesn't take the responses that are ready.
            return
        self._exchanges.start_runnable()

    def _finish(self, exchange: Exchange) -> None:
        """Send the response of ``exchange``, or hold it until it is due."""
        if exchange.response is not None and self._sender and not self._closing:
            exchange.unsent_size = len(exchange.response.body)
            self._sender.hold(exchange.unsent_size)
        self._write_finished()

    def abort(self) -> None:
        """Close the connection at once and drop what it holds."""
        self._closing = True
        if self._sender is not None:
            self._sender.stop()
        self._cancel_exchanges()
        if self._transport is not None:
            self._transport.abort()

    def _write_finished(self) -> None:
        """Write the responses that are due in order, then start the next requests."""
        transport, sender = self._transport, self._sender
        while self._exchanges and not self._exchanges.is_waiting:
            if self._closing or transport is None or sender is None:
                return
            if sender.is_sending or sender.is_blocked:
                return
            exchange = self._exchanges.pop_first()
            if exchange.response is None:
                transport.abort()
                return
            close = not exchange.keep_alive or (
                self._service.draining and not self._exchanges and not self._partial
            )
            sent = sender.send(
                exchange.response,
                method=exchange.request.method,
                close=close,
                size=exchange.unsent_size,
            )
            if not sent:
                return
            if close:
                self.close_gracefully()
                return
        if self._closing or self._is_sending:
            return
        self._idle_since = self._loop.time()
        self._send_continue()
        self._start_runnable()
        if len(self._exchanges) < MAX_PIPELINED:
            self._resume_reading()
        self._start_idle_timer()

    def _continue_after(self, was_last: bool) -> None:
        """Continue after a response that could not be sent at once."""
        if was_last:
            self.close_gracefully()
        else:
            self._write_finished()

    # Pauses of reading.

    def _pause_reading(self, transport: asyncio.Transport) -> None:
        """Read no more for now, but notice if the client closes the connection."""
        self._reading_paused = True
        transport.pause_reading()
        connection = transport.get_extra_info("socket")
        if connection is not None:
            self._service.hangups.watch(connection, self._hung_up)

    def _resume_reading(self) -> None:
        if not self._reading_paused or self._transport is None:
            return
        self._reading_paused = False
        self._unwatch_hangup()
        self._transport.resume_reading()

    def _unwatch_hangup(self) -> None:
        if self._transport is None:
            return
        connection = self._transport.get_extra_info("socket")
        if connection is not None:
            self._service.hangups.unwatch(connection)

    def _hung_up(self) -> None:
        """Drop the requests of a client that waits for no more responses."""
        metrics.MESH_HANGUPS_WHILE_PAUSED.inc()
        if self._transport is not None:
            self._transport.abort()

    def _reject(self, status: int) -> None:
        """Respond with ``status`` after the pending responses, then close."""
        if self._closing:
            return
        headers: tuple[Header, ...] = ()
        if status == 503:
            seconds = self._service.returns.retry_after(self._loop.time())
            headers = ((b"retry-after", b"%.2f" % seconds),)
        self._drop_partial()
        self._exchanges.add(
            Exchange(
                request=HttpRequest(method=b"GET", target=b"/", headers=()),
                keep_alive=False,
                response=HttpResponse(status=status, headers=headers),
                done=True,
            )
        )
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
        """Close the connection once it was idle for the idle time.

        That time starts when the client has received the last response, which is
        checked in short intervals. Nothing reports the moment.
        """
        if self._is_idle and not self._closing:
            seconds = self._service.limits().idle_seconds * RECEIVED_CHECK_FRACTION
            self._start_timer(seconds, self._check_received)

    def _check_received(self) -> None:
        if self._sender is not None and self._sender.client_receives():
            self._start_idle_timer()
        elif self.unacknowledged_bytes():
            self.close_gracefully()
        else:
            idle_seconds = self._service.limits().idle_seconds
            self._start_timer(idle_seconds, self.close_gracefully)

    def _end_lingering(self) -> None:
        """Close the connection once the client has all responses or takes no more.

        From the close on nothing is read, and unread bytes would reset the connection.
        """
        if self._sender is not None and self._sender.client_receives():
            self._start_timer(LINGERING_CLOSE_SECONDS, self._end_lingering)
        elif self._transport is not None and self.unacknowledged_bytes():
            self._transport.abort()
        elif self._transport is not None:
            self._transport.close()

    def _body_due_at(self, partial: PartialRequest) -> float:
        """Return the loop time by which the whole body must have arrived."""
        seconds = self._service.time_limit(
            partial.request(self._parser.get_method(), body=b"")
        )
        if seconds is None:
            return self._loop.time() + self._service.limits().idle_seconds
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
        idle_seconds = self._service.limits().idle_seconds
        self._start_timer(min(idle_seconds, due_in), self._request_timed_out)

    def _request_timed_out(self) -> None:
        has_header = self._partial is not None and self._partial.header_complete
        part = "body" if has_header else "header"
        metrics.MESH_REQUESTS_TIMED_OUT.labels(part).inc()
        self._reject(408)

    def _drop_partial(self) -> None:
        partial, self._partial = self._partial, None
        if partial is not None:
            partial.release_memory()

    def _cancel_exchanges(self) -> None:
        """Cancel requests whose response was not written yet."""
        self._drop_partial()
        self._exchanges.clear()

    def close_gracefully(self) -> None:
        """Close the connection after the written bytes; discard what still arrives.

        Cancels requests whose response was not written yet.
        """
        if self._closing or self._transport is None:
            return
        if self._is_sending:
            # Part of a response would be followed by an orderly end.
            self.abort()
            return
        self._closing = True
        if self._sender is not None:
            self._sender.stop()
        self._cancel_exchanges()
        try:
            self._transport.write_eof()
        except OSError:
            # The client has reset the connection, which was not noticed yet.
            self._transport.abort()
            return
        self._resume_reading()
        self._start_timer(LINGERING_CLOSE_SECONDS, self._end_lingering)
