"""HTTP server for callers and for the heartbeats of the target beside this daemon.

Uses aiohttp's low-level server: calls are routed by service and path from the route
table, so aiohttp's router would only add time to each call.
"""

import asyncio
import hashlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from .. import metrics
from ..coordination.calls import Call
from ..protocol import headers as header_names
from ..protocol.frames import Headers
from ..protocol.problems import PROBLEM_CONTENT_TYPE, problem_body, status_of
from ..protocol.responses import Body, CallResponse, close_body
from ..state.refusals import Executed, Refusal, RefusalReason
from .http1.memory import BodyMemory
from .http_server import HttpServer, receiving_body
from .reading_turns import ReadingTurns

HEARTBEAT_PATH_PREFIX = "/_cassiasail/targets/"
# Bodies up to this size are read whole before the call is routed, so that the call can
# be retried and has a body digest. Longer bodies are streamed, which works only once.
MAX_BUFFERED_BODY_BYTES = 1024 * 1024
MAX_HEADER_FIELD_BYTES = 16 * 1024
# Memory that aiohttp uses for the part of a body that was not read yet.
STREAMED_BODY_BYTES = 256 * 1024
# Time after which a caller should send a call again for which there is no memory. The
# bodies of others are received, or give way, within this time.
RETRY_BODY_SECONDS = 1.0

HandleCall = Callable[[Call], Awaitable[CallResponse | Refusal]]
ApplyHeartbeat = Callable[[str, dict[str, Any]], Refusal | None]


class RequestBody:
    """Streams the body of a call and refuses it once it exceeds ``limit`` bytes."""

    def __init__(self, *, request: web.BaseRequest, limit: int) -> None:
        self._request = request
        self._remaining_bytes = limit

    async def read(self) -> bytes | None | Refusal:
        try:
            with receiving_body(self._request):
                part = await self._request.content.readany()
        except (OSError, web.HTTPException, ValueError):
            return Refusal(reason=RefusalReason.CANCELLED, executed=Executed.UNKNOWN)
        self._remaining_bytes -= len(part)
        if self._remaining_bytes < 0:
            return Refusal(
                reason=RefusalReason.BODY_TOO_LARGE, executed=Executed.UNKNOWN
            )
        return part or None

    def close(self) -> None:
        """Do nothing: aiohttp discards the unread rest of a request body."""


class EntryServer:
    """Listener for callers and for heartbeats.

    While ``closing`` is set, each response closes its connection, so that callers
    connect to another daemon. ``memory`` holds the bodies of calls without a response;
    one that is incomplete after ``body_seconds`` is refused. ``max_connections`` and
    ``max_refused`` are those of ``HttpServer``.
    """

    def __init__(
        self,
        *,
        handle_call: HandleCall,
        apply_heartbeat: ApplyHeartbeat,
        max_body: int,
        body_seconds: float,
        memory: BodyMemory,
        max_connections: int,
        max_refused: int,
        turns: ReadingTurns,
    ) -> None:
        self._handle_call = handle_call
        self._apply_heartbeat = apply_heartbeat
        self._max_body = max_body
        self._body_seconds = body_seconds
        self._memory = memory
        self._max_connections, self._max_refused = max_connections, max_refused
        self._turns = turns
        self._server: HttpServer | None = None
        self.closing = False

    async def start(self, address: str) -> None:
        """Listen on ``address`` (``host:port``)."""
        self._server = HttpServer(
            self._handle_and_release,
            refuse=self._refuse,
            max_connections=self._max_connections,
            max_refused=self._max_refused,
            turns=self._turns,
            max_line_size=MAX_HEADER_FIELD_BYTES,
            max_field_size=MAX_HEADER_FIELD_BYTES,
            # Cancels the call when its caller closes the connection.
            handler_cancellation=True,
        )
        self._server.listen(address)

    async def stop_listening(self) -> None:
        """Accept no further connections; open ones stay open."""
        if self._server is not None:
            self._server.close_listener()

    async def close(self) -> None:
        """Stop listening and wait for open connections to finish."""
        if self._server is not None:
            await self._server.close()

    async def _handle_and_release(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await self._handle(request)
        finally:
            self._memory.release(request.protocol)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path.startswith(HEARTBEAT_PATH_PREFIX):
            return await self._handle_heartbeat(request)
        executed = Executed.NO
        try:
            call = await self._read_call(request)
            if isinstance(call, Refusal):
                return self._refuse(call)
            executed = Executed.UNKNOWN
            result = await self._handle_call(call)
        except asyncio.CancelledError:
            # The caller closed its connection, so the refusal is counted but not sent.
            reason = RefusalReason.CANCELLED.value
            metrics.CALLS_REFUSED.labels(reason, executed.value).inc()
            raise
        if isinstance(result, Refusal):
            return self._refuse(result)
        try:
            return await self._send_response(request, call, result)
        finally:
            close_body(result.body)

    async def _read_call(self, request: web.BaseRequest) -> Call | Refusal:
        service, _, rest = request.raw_path[1:].partition("/")
        if not service:
            return _malformed("the path must be /SERVICE/path")
        headers = header_names.end_to_end(request.headers.items())
        if not _is_utf8(request.raw_path, headers):
            return _malformed("path and headers must be UTF-8")
        body = await self._read_body(request)
        if isinstance(body, Refusal):
            return body
        return Call(
            customer=request.headers.get(header_names.CUSTOMER, ""),
            service=service,
            method=request.method,
            path=f"/{rest}",
            headers=headers,
            body=body,
            body_length=len(body)
            if isinstance(body, bytes)
            else _declared_length(request),
            body_digest=_body_digest(body),
            idempotency_key=request.headers.get(header_names.IDEMPOTENCY_KEY),
            deadline_ms=request.headers.get(header_names.DEADLINE),
            attempt=request.headers.get(header_names.ATTEMPT),
            depth=request.headers.get(header_names.DEPTH),
        )

    async def _read_body(self, request: web.BaseRequest) -> Body | Refusal:
        if not request.can_read_body:
            return b""
        length = request.content_length
        if length is not None and length > self._max_body:
            return _too_large(self._max_body)
        is_streamed = length is None or length > MAX_BUFFERED_BODY_BYTES
        # A connection serves one call at a time.
        holder = request.protocol
        self._memory.begin(holder, lambda: _abort_slow_body(request))
        held = STREAMED_BODY_BYTES if length is None or is_streamed else length
        if not self._memory.try_hold(holder, held):
            return Refusal(
                reason=RefusalReason.NO_MEMORY,
                executed=Executed.NO,
                retry_after=RETRY_BODY_SECONDS,
            )
        if is_streamed:
            return RequestBody(request=request, limit=self._max_body)
        try:
            with receiving_body(request):
                async with asyncio.timeout(self._body_seconds):
                    body = await request.content.read(-1)
        except TimeoutError:
            return Refusal(reason=RefusalReason.DEADLINE_EXCEEDED, executed=Executed.NO)
        except (OSError, web.HTTPException, ValueError):
            return _malformed("the body is shorter than its Content-Length")
        self._memory.complete(holder)
        return body

    def _refuse(self, refusal: Refusal) -> web.Response:
        metrics.CALLS_REFUSED.labels(refusal.reason.value, refusal.executed.value).inc()
        headers = {}
        if refusal.retry_after is not None:
            headers["Retry-After"] = str(max(1, round(refusal.retry_after)))
        response = web.Response(
            status=status_of(refusal),
            body=problem_body(refusal),
            content_type=PROBLEM_CONTENT_TYPE,
            headers=headers,
        )
        if self.closing:
            response.force_close()
        return response

    async def _send_response(
        self, request: web.BaseRequest, call: Call, call_response: CallResponse
    ) -> web.StreamResponse:
        metrics.CALLS_ANSWERED.labels(call.service).inc()
        if isinstance(call_response.body, bytes):
            return self._buffered_response(call, call_response)
        response = web.StreamResponse(
            status=call_response.status, headers=call_response.headers
        )
        if self.closing:
            response.force_close()
        response.content_length = call_response.body_length
        if call_response.body_length is None:
            response.enable_chunked_encoding()
        await response.prepare(request)
        while True:
            part = await call_response.body.read()
            if part is None:
                break
            if isinstance(part, Refusal):
                metrics.CALLS_REFUSED.labels(
                    part.reason.value, part.executed.value
                ).inc()
                # Status and headers are already sent. Closing the connection is the
                # only way to show the caller that the response is truncated.
                _abort_connection(request)
                return response
            await response.write(part)
        await response.write_eof()
        return response

    def _buffered_response(
        self, call: Call, call_response: CallResponse
    ) -> web.StreamResponse:
        assert isinstance(call_response.body, bytes)
        response = web.Response(
            status=call_response.status,
            headers=call_response.headers,
            body=call_response.body or None,
        )
        if call.method == "HEAD" and call_response.body_length is not None:
            response.headers["Content-Length"] = str(call_response.body_length)
        if self.closing:
            response.force_close()
        return response

    async def _handle_heartbeat(self, request: web.BaseRequest) -> web.Response:
        target = request.path[len(HEARTBEAT_PATH_PREFIX) :]
        if request.method != "PUT" or not target:
            return self._refuse(_malformed(f"use PUT {HEARTBEAT_PATH_PREFIX}ID"))
        try:
            body = json.loads(await request.read())
        except web.HTTPRequestEntityTooLarge:
            return self._refuse(_too_large(MAX_BUFFERED_BODY_BYTES))
        except (ValueError, RecursionError):
            return self._refuse(_malformed("the heartbeat is not JSON"))
        if not isinstance(body, dict):
            return self._refuse(_malformed("the heartbeat is not a JSON object"))
        refusal = self._apply_heartbeat(target, body)
        return web.Response(status=204) if refusal is None else self._refuse(refusal)


def _abort_connection(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()


def _abort_slow_body(request: web.BaseRequest) -> None:
    """Close the connection of a call whose body holds memory that others need."""
    metrics.MESH_CLIENTS_DROPPED.labels("slow_body").inc()
    _abort_connection(request)


def _is_utf8(path: str, headers: Headers) -> bool:
    """Return whether path and header values can be encoded as UTF-8.

    The parser turns bytes that are not UTF-8 into lone surrogates, which can't.
    """
    if path.isascii() and all(value.isascii() for _, value in headers):
        return True
    try:
        path.encode()
        for _, value in headers:
            value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _body_digest(body: Body) -> bytes | None:
    if not isinstance(body, bytes):
        return None
    return hashlib.blake2b(body, digest_size=16).digest()


def _declared_length(request: web.BaseRequest) -> int | None:
    return request.content_length


def _malformed(detail: str) -> Refusal:
    return Refusal(reason=RefusalReason.MALFORMED, executed=Executed.NO, detail=detail)


def _too_large(limit: int) -> Refusal:
    return Refusal(
        reason=RefusalReason.BODY_TOO_LARGE,
        executed=Executed.NO,
        detail=f"the limit is {limit} bytes",
    )
