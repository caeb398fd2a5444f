"""Responses of the HTTP/1.1 server that must reach the client before the close."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable

import pytest

from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.transport.http1.server import HttpServer
from tests.unit.mesh.test_http1_server import GET, LIMITS, listening_port, statuses

# More than the kernel buffers of a connection hold.
LARGE_BYTES = 12_000_000
SECOND_GET = GET.replace(b"/a", b"/b")

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
Client = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bytes]]


def converse(handler: Handler, client: Client, *, drain: bool = False) -> bytes:
    """Run ``client`` on a connection with a small receive buffer."""

    async def main() -> bytes:
        server = HttpServer(handler=handler, limits=lambda: LIMITS)
        await server.start("127.0.0.1", 0)
        if drain:
            server.drain()
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
        connection.setblocking(False)
        address = ("127.0.0.1", listening_port(server))
        await asyncio.get_running_loop().sock_connect(connection, address)
        reader, writer = await asyncio.open_connection(sock=connection)
        try:
            return await asyncio.wait_for(client(reader, writer), 10)
        finally:
            writer.close()
            await server.stop()

    return asyncio.run(main())


async def read_slowly(reader: asyncio.StreamReader, size: int, seconds: float) -> bytes:
    """Read ``size`` bytes in about ``seconds``, fewer if the connection ends."""
    data = bytearray()
    with contextlib.suppress(ConnectionError):
        while len(data) < size and (chunk := await reader.read(size - len(data))):
            data += chunk
            await asyncio.sleep(seconds * len(chunk) / LARGE_BYTES)
    return bytes(data)


async def large_or_small(request: HttpRequest) -> HttpResponse:
    size = LARGE_BYTES if request.target == b"/a" else 1
    return HttpResponse(status=200, body=b"x" * size)


@pytest.mark.parametrize(
    ("start", "end", "status"),
    [
        (b"GET /b HTTP/1.1\r\nHost: h\r\n", b"X: y\r\n\r\n", 408),
        (b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na", b"b", 408),
        (b"GET /b HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 3000, b"\r\n\r\n", 431),
    ],
)
def test_rest_of_a_rejected_request_does_not_lose_earlier_responses(
    start: bytes, end: bytes, status: int
) -> None:
    """Guards against a served request whose connection breaks before its answer."""

    async def slow(request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(1.0)
        return HttpResponse(status=200)

    async def send_the_rest_late(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        writer.write(GET + start)
        # Longer than both timeouts of a partial request.
        await asyncio.sleep(0.6)
        writer.write(end)
        return await reader.read()

    assert statuses(converse(slow, send_the_rest_late)) == [200, status]


@pytest.mark.parametrize("drain", [False, True])
def test_request_behind_a_response_that_is_read_slowly_does_not_cut_it_off(
    drain: bool,
) -> None:
    """Guards against bytes of a client that reset a connection with unsent bytes."""

    async def pipeline_late(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        writer.write(GET)
        # Longer than the idle timeout and the lingering close together.
        data = await read_slowly(reader, LARGE_BYTES * 2 // 3, 2.6)
        writer.write(SECOND_GET)
        return data + await read_slowly(reader, 2 * LARGE_BYTES, 0.1)

    data = converse(large_or_small, pipeline_late, drain=drain)
    assert data.count(b"x") >= LARGE_BYTES


def test_idle_timeout_does_not_start_before_the_response_is_sent() -> None:
    """Guards against a connection that is closed within its announced idle time."""

    async def reuse_at_once(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        writer.write(GET)
        head = await reader.readuntil(b"\r\n\r\n")
        body = await read_slowly(reader, LARGE_BYTES, 1.5)
        assert len(body) == LARGE_BYTES and b"connection: close" not in head
        writer.write(SECOND_GET)
        return await reader.read(1000)

    assert statuses(converse(large_or_small, reuse_at_once)) == [200]


def test_client_that_takes_nothing_does_not_keep_its_connection() -> None:
    """Guards against connections and responses held without end for dead clients."""

    async def main() -> None:
        server = HttpServer(handler=large_or_small, limits=lambda: LIMITS)
        await server.start("127.0.0.1", 0)
        client = socket.create_connection(("127.0.0.1", listening_port(server)))
        client.sendall(GET)
        async with asyncio.timeout(5):
            while not server.connections:
                await asyncio.sleep(0.01)
            while server.connections:
                await asyncio.sleep(0.05)
        client.close()
        await server.stop()

    asyncio.run(main())
