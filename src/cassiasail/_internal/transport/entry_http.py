"""HTTP server for callers and for the announcements of the target beside.

It uses aiohttp's low-level server: routing by service and path is done from the
route table, so aiohttp's own router would only add time to each call.
"""

import asyncio
import hashlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from .. import metrics
from ..coordination.calls import Call
from ..protocol import headers as names
from ..protocol.frames import Headers
from ..protocol.problems import PROBLEM_CONTENT_TYPE, problem_body, status_of
from ..protocol.responses import Body, CallResponse, close_body
from ..state.refusals import Executed, Refusal, RefusalReason
from .http_server import HttpServer

ANNOUNCE_PREFIX = "/_cassiasail/targets/"
# Bodies up to this size are read before the call is routed, so that the call can be
# sent again and its digest is known. Longer bodies are streamed once.
BUFFERED_BODY = 1024 * 1024
MAX_HEADER_FIELD = 16 * 1024

HandleCall = Callable[[Call], Awaitable[CallResponse | Refusal]]
Announce = Callable[[str, dict[str, Any]], Refusal | None]


class RequestBody:
    """The body of a caller's request, read as it arrives and bounded in size."""

    def __init__(self, *, request: web.BaseRequest, limit: int) -> None:
        self._request = request
        self._left = limit

    async def read(self) -> bytes | None | Refusal:
        try:
            part = await self._request.content.readany()
        except (OSError, web.HTTPException, ValueError):
            return Refusal(reason=RefusalReason.CANCELLED, executed=Executed.UNKNOWN)
        self._left -= len(part)
        if self._left < 0:
            return Refusal(
                reason=RefusalReason.BODY_TOO_LARGE, executed=Executed.UNKNOWN
            )
        return part or None

    def close(self) -> None:
        """Nothing to stop: aiohttp drops what is not read."""


class EntryServer:
    """Listener for callers; ``closing`` asks callers to connect elsewhere."""

    def __init__(
        self, *, handle_call: HandleCall, announce: Announce, max_body: int
    ) -> None:
        self._handle_call = handle_call
        self._announce = announce
        self._max_body = max_body
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None
        self.closing = False

    async def start(self, address: str) -> None:
        """Listen on ``address`` (``host:port``)."""
        server = HttpServer(
            self._handle,
            refuse=self._refuse,
            access_log=None,
            max_line_size=MAX_HEADER_FIELD,
            max_field_size=MAX_HEADER_FIELD,
            # A caller that goes away must not leave its call running.
            handler_cancellation=True,
        )
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        host, _, port = address.partition(":")
        self._site = web.TCPSite(self._runner, host, int(port), backlog=1024)
        await self._site.start()

    async def stop_listening(self) -> None:
        """Accept no further connections; those that are open go on."""
        if self._site is not None:
            await self._site.stop()

    async def close(self) -> None:
        """Stop listening and wait for open connections to finish."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path.startswith(ANNOUNCE_PREFIX):
            return await self._handle_announcement(request)
        executed = Executed.NO
        try:
            call = await self._read_call(request)
            if isinstance(call, Refusal):
                return self._refuse(call)
            executed = Executed.UNKNOWN
            answer = await self._handle_call(call)
        except asyncio.CancelledError:
            # The caller has gone away: nobody is told, so it is only counted.
            reason = RefusalReason.CANCELLED.value
            metrics.CALLS_REFUSED.labels(reason, executed.value).inc()
            raise
        if isinstance(answer, Refusal):
            return self._refuse(answer)
        try:
            return await self._pass_on(request, call, answer)
        finally:
            close_body(answer.body)

    async def _read_call(self, request: web.BaseRequest) -> Call | Refusal:
        service, _, rest = request.raw_path[1:].partition("/")
        if not service:
            return _malformed("the path must be /SERVICE/path")
        headers = names.end_to_end(request.headers.items())
        if not _is_encodable(request.raw_path, headers):
            return _malformed("path and headers must be UTF-8")
        body = await self._read_body(request)
        if isinstance(body, Refusal):
            return body
        return Call(
            customer=request.headers.get(names.CUSTOMER, ""),
            service=service,
            method=request.method,
            path=f"/{rest}",
            headers=headers,
            body=body,
            body_length=len(body) if isinstance(body, bytes) else _length(request),
            body_digest=_digest(body),
            idempotency_key=request.headers.get(names.IDEMPOTENCY_KEY),
            deadline_ms=request.headers.get(names.DEADLINE),
            attempt=request.headers.get(names.ATTEMPT),
            depth=request.headers.get(names.DEPTH),
        )

    async def _read_body(self, request: web.BaseRequest) -> Body | Refusal:
        if not request.can_read_body:
            return b""
        length = request.content_length
        if length is not None and length > self._max_body:
            return _too_large(self._max_body)
        if length is None or length > BUFFERED_BODY:
            return RequestBody(request=request, limit=self._max_body)
        try:
            return await request.content.read(-1)
        except (OSError, web.HTTPException, ValueError):
            return _malformed("the body ended before its announced length")

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

    async def _pass_on(
        self, request: web.BaseRequest, call: Call, answer: CallResponse
    ) -> web.StreamResponse:
        metrics.CALLS_ANSWERED.labels(call.service).inc()
        if isinstance(answer.body, bytes):
            return self._whole_response(call, answer)
        response = web.StreamResponse(status=answer.status, headers=answer.headers)
        if self.closing:
            response.force_close()
        response.content_length = answer.body_length
        if answer.body_length is None:
            response.enable_chunked_encoding()
        await response.prepare(request)
        while True:
            part = await answer.body.read()
            if part is None:
                break
            if isinstance(part, Refusal):
                metrics.CALLS_REFUSED.labels(
                    part.reason.value, part.executed.value
                ).inc()
                # The head is already out: only a broken connection tells the
                # caller that the answer is not whole.
                _abort(request)
                return response
            await response.write(part)
        await response.write_eof()
        return response

    def _whole_response(self, call: Call, answer: CallResponse) -> web.StreamResponse:
        assert isinstance(answer.body, bytes)
        response = web.Response(
            status=answer.status, headers=answer.headers, body=answer.body or None
        )
        if call.method == "HEAD" and answer.body_length is not None:
            response.headers["Content-Length"] = str(answer.body_length)
        if self.closing:
            response.force_close()
        return response

    async def _handle_announcement(self, request: web.BaseRequest) -> web.Response:
        target = request.path[len(ANNOUNCE_PREFIX) :]
        if request.method != "PUT" or not target:
            return self._refuse(_malformed(f"use PUT {ANNOUNCE_PREFIX}ID"))
        try:
            body = json.loads(await request.read())
        except web.HTTPRequestEntityTooLarge:
            return self._refuse(_too_large(BUFFERED_BODY))
        except (ValueError, RecursionError):
            return self._refuse(_malformed("the announcement is not JSON"))
        if not isinstance(body, dict):
            return self._refuse(_malformed("the announcement is not a JSON object"))
        refusal = self._announce(target, body)
        return web.Response(status=204) if refusal is None else self._refuse(refusal)


def _abort(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()


def _is_encodable(path: str, headers: Headers) -> bool:
    """Return whether neither holds bytes that the parser could not decode."""
    if path.isascii() and all(value.isascii() for _, value in headers):
        return True
    try:
        path.encode()
        for _, value in headers:
            value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _digest(body: Body) -> bytes | None:
    if not isinstance(body, bytes):
        return None
    return hashlib.blake2b(body, digest_size=16).digest()


def _length(request: web.BaseRequest) -> int | None:
    return request.content_length


def _malformed(detail: str) -> Refusal:
    return Refusal(reason=RefusalReason.MALFORMED, executed=Executed.NO, detail=detail)


def _too_large(limit: int) -> Refusal:
    return Refusal(
        reason=RefusalReason.BODY_TOO_LARGE,
        executed=Executed.NO,
        detail=f"the limit is {limit} bytes",
    )
