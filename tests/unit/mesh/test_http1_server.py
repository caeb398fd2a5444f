"""HTTP/1.1 server with well-formed and malformed requests."""

import asyncio
import tracemalloc
from collections.abc import Awaitable, Callable

import pytest

from cassiasail._internal import metrics
from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.state.mesh_config import ClientLimits
from cassiasail._internal.transport.http1.server import HttpServer

LIMITS = ClientLimits(
    header_bytes=1000, body_bytes=2000, header_seconds=0.2, idle_seconds=0.4
)
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


async def echo(request: HttpRequest) -> HttpResponse:
    host = request.header(b"host") or b""
    body = b"|".join((request.method, request.target, host, request.body))
    return HttpResponse(status=200, body=body)


def send(
    payload: bytes,
    *,
    handler: Callable[[HttpRequest], Awaitable[HttpResponse | None]] = echo,
    drain: bool = False,
) -> bytes:
    """Send ``payload`` and return all bytes received until the server closes."""

    async def main() -> bytes:
        server = HttpServer(handler=handler, limits=lambda: LIMITS)
        await server.start("127.0.0.1", 0)
        if drain:
            server.drain()
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", listening_port(server)
        )
        writer.write(payload)
        data = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        await server.stop()
        return data

    return asyncio.run(main())


def listening_port(server: HttpServer) -> int:
    return server.port


def statuses(data: bytes) -> list[int]:
    return [int(part[:3]) for part in data.split(b"HTTP/1.1 ")[1:]]


def test_pipelined_responses_keep_the_order_of_the_requests() -> None:
    """Guards against a response that the client assigns to the wrong request."""

    async def slower_first(request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(0.1 if request.target == b"/1" else 0)
        return HttpResponse(status=200, body=b"<" + request.target + b">")

    payload = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
    data = send(payload, handler=slower_first)
    assert data.index(b"</1>") < data.index(b"</2>")


def test_requests_after_connection_close_are_not_run() -> None:
    """Guards against running a request that its client considers unread."""
    started = []

    async def record(request: HttpRequest) -> HttpResponse:
        started.append(request.target)
        return HttpResponse(status=200)

    first = b"GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    data = send(first + GET, handler=record)
    assert statuses(data) == [200]
    assert started == [b"/1"]


def test_unsafe_request_waits_for_earlier_requests() -> None:
    """Guards against running an unsafe request after a response that closes."""
    running = 0

    async def assert_alone(request: HttpRequest) -> HttpResponse:
        nonlocal running
        running += 1
        assert running == 1
        await asyncio.sleep(0.02)
        running -= 1
        return HttpResponse(status=200)

    post = b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
    assert statuses(send(GET + post, handler=assert_alone)) == [200, 200]


@pytest.mark.parametrize(
    ("payload", "status"),
    [
        (b"GET /a HTTP/1.1\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\nabc",
            400,
        ),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd",
            400,
        ),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            400,
        ),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\n"
            b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            501,
        ),
        (b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 1500 + b"\r\n\r\n", 431),
        (b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 5000, 431),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2001\r\n\r\n", 413),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"bb8\r\n" + b"x" * 3000,
            413,
        ),
        (b"GET /a HTTP/1.1\r\nHost: h\r\n", 408),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab", 408),
    ],
)
def test_invalid_input_is_rejected_and_closes_the_connection(
    payload: bytes, status: int
) -> None:
    """Guards against request smuggling, endless headers and oversized input."""
    assert statuses(send(payload)) == [status]


def test_absolute_form_is_converted_to_origin_form() -> None:
    """Guards against a 404 for a request target that servers have to accept."""
    data = send(b"GET http://other.example/x?y=1 HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"GET|/x?y=1|other.example|" in data


def test_chunked_and_plain_bodies_are_complete() -> None:
    """Guards against lost or reordered parts of a body."""
    data = send(
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nfg"
    )
    assert b"POST|/a|h|abcde" in data
    assert b"POST|/b|h|fg" in data


def test_draining_server_closes_after_its_response() -> None:
    """Guards against kept-alive connections that delay a shutdown."""
    data = send(GET, drain=True)
    assert statuses(data) == [200]
    assert b"connection: close" in data


def test_draining_server_answers_pipelined_requests() -> None:
    """Guards against a client that has to send a request again that was received."""
    data = send(GET + GET.replace(b"/a", b"/b"), drain=True)
    assert statuses(data) == [200, 200]
    assert data.count(b"connection: close") == 1


def test_unfinished_requests_do_not_hold_back_finished_responses() -> None:
    """Guards against finished responses that are lost with an unfinished one."""
    cancelled = []

    async def slow_or_fast(request: HttpRequest) -> HttpResponse:
        if request.target != b"/fast":
            try:
                await asyncio.sleep(10)
            except asyncio.CancelledError:
                cancelled.append(request.target)
                raise
        return HttpResponse(status=200, body=b"done")

    async def main() -> bytes:
        server = HttpServer(handler=slow_or_fast, limits=lambda: LIMITS)
        await server.start("127.0.0.1", 0)
        port = listening_port(server)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        paths = (b"/slow", b"/fast", b"/slower")
        writer.write(b"".join(GET.replace(b"/a", path) for path in paths))
        async with asyncio.timeout(5):
            while sum(each.has_response for each in server.unanswered()) < 1:
                await asyncio.sleep(0.01)
        server.drain()
        server.answer_unfinished(lambda request: HttpResponse(status=502))
        data = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        await server.stop()
        return data

    data = asyncio.run(main())
    assert statuses(data) == [502, 200, 502]
    assert data.count(b"connection: close") == 1
    assert sorted(cancelled) == [b"/slow", b"/slower"]


def test_response_to_head_has_no_body() -> None:
    """Guards against body bytes after the response to HEAD."""
    data = send(b"HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n")
    assert data.endswith(b"\r\n\r\n")


def test_disconnect_of_the_client_cancels_its_request() -> None:
    """Guards against work for clients that have disconnected."""

    async def main() -> bool:
        cancelled = asyncio.Event()

        async def slow(request: HttpRequest) -> HttpResponse:
            try:
                await asyncio.sleep(5)
            except asyncio.CancelledError:
                cancelled.set()
                raise
            return HttpResponse(status=200)

        server = HttpServer(handler=slow, limits=lambda: LIMITS)
        await server.start("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", listening_port(server))
        writer.write(GET)
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.wait_for(cancelled.wait(), 0.5)
        await server.stop()
        return True

    assert asyncio.run(main())


def trickle(
    *, parts: int, pause: float, time_limit: float | None
) -> tuple[bytes, float, list[bytes]]:
    """Send a body in ``parts`` of one byte, ``pause`` seconds apart.

    ``time_limit`` is what the server knows of the request's deadline, in seconds.
    Returns the bytes received until the server closes, the seconds until then, and the
    bodies that were handled.
    """
    handled: list[bytes] = []

    async def record(request: HttpRequest) -> HttpResponse:
        handled.append(request.body)
        return HttpResponse(status=200)

    async def main() -> tuple[bytes, float]:
        loop = asyncio.get_running_loop()
        server = HttpServer(
            handler=record, limits=lambda: LIMITS, time_limit=lambda _: time_limit
        )
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", listening_port(server)
        )
        started_at = loop.time()
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % parts
        writer.write(head)
        received = asyncio.create_task(reader.read())
        for _ in range(parts):
            await asyncio.sleep(pause)
            if received.done():
                break
            writer.write(b"x")
        data = await asyncio.wait_for(received, 5)
        seconds = loop.time() - started_at
        writer.close()
        await server.stop()
        return data, seconds

    return *asyncio.run(main()), handled


def test_body_that_arrives_beyond_the_deadline_is_rejected() -> None:
    """Guards against a client that holds a connection by a body sent byte by byte.

    Nothing of the request has run, so that 408 is true.
    """
    late_bodies = metrics.MESH_REQUESTS_TIMED_OUT.labels("body")
    before = late_bodies.value
    data, seconds, handled = trickle(parts=60, pause=0.05, time_limit=0.3)
    assert late_bodies.value == before + 1
    assert statuses(data) == [408]
    assert 0.3 <= seconds < 2
    assert handled == []


def test_body_without_a_deadline_gets_one_idle_timeout() -> None:
    """Guards against the same for requests whose deadline is unknown."""
    data, seconds, handled = trickle(parts=60, pause=0.05, time_limit=None)
    assert statuses(data) == [408]
    assert LIMITS.idle_seconds <= seconds < 2
    assert handled == []


def test_slow_body_within_its_deadline_is_handled() -> None:
    """Guards against rejecting an upload that is slow but arrives in time."""
    data, seconds, handled = trickle(parts=12, pause=0.05, time_limit=4.0)
    assert statuses(data) == [200]
    assert seconds > LIMITS.idle_seconds
    assert handled == [b"x" * 12]


def test_body_that_stops_is_rejected_before_its_deadline() -> None:
    """Guards against a connection that is idle for the whole time of a request."""
    data, seconds, handled = trickle(parts=2, pause=0.6, time_limit=4.0)
    assert statuses(data) == [408]
    assert seconds < 2
    assert handled == []


def test_body_in_tiny_parts_takes_little_more_memory_than_its_bytes() -> None:
    """Guards against a body whose parts take 22 times the memory held for it."""
    parts = 1 << 16
    limits = ClientLimits()

    async def main() -> int:
        server = HttpServer(handler=echo, limits=lambda: limits)
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", listening_port(server)
        )
        writer.write(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        await asyncio.sleep(0.05)
        tracemalloc.start()
        for _ in range(16):
            writer.write(b"2\r\nab\r\n" * (parts // 16))
            await writer.drain()
        while server.memory.held < 2 * parts:
            await asyncio.sleep(0.01)
        growth, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        writer.write(b"0\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        assert statuses(head) == [200]
        writer.close()
        await server.stop()
        return growth

    assert asyncio.run(main()) < 4 * 2 * parts


def test_interim_response_waits_for_the_response_before_it() -> None:
    """Guards against 100 (Continue) in the middle of the body of another response."""
    body = bytes(range(256)) * 40_000

    async def answer(request: HttpRequest) -> HttpResponse:
        return HttpResponse(status=200, body=request.body or body)

    async def main() -> bytes:
        server = HttpServer(handler=answer, limits=lambda: LIMITS)
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", listening_port(server), limit=4096
        )
        writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        # The client takes nothing, so that most of the body is still to be sent.
        await asyncio.sleep(0.3)
        head = (
            b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\nExpect: 100-continue"
        )
        writer.write(head + b"\r\n\r\n")
        await asyncio.sleep(0.1)
        await reader.readuntil(b"\r\n\r\n")
        assert await reader.readexactly(len(body)) == body
        interim = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
        writer.write(b"spring")
        final = await asyncio.wait_for(reader.readuntil(b"spring"), 5)
        writer.close()
        await server.stop()
        return interim + final

    assert statuses(asyncio.run(main())) == [100, 200]
