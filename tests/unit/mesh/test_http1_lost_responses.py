"""Responses of the HTTP/1.1 server that must reach the client before the close."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.transport.http1.server import HttpServer
from tests.unit.mesh.test_http1_server import GET, LIMITS, listening_port, statuses

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
