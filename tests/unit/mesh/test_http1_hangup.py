"""Clients that close a connection on which the server reads no more for now."""

import asyncio
import socket
import struct

import pytest

from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.transport.http1.exchange_queue import MAX_PIPELINED
from cassiasail._internal.transport.http1.server import HttpServer
from tests.unit.mesh.test_http1_server import GET, LIMITS, listening_port

# Far below the time for which the handlers would run.
NOTICE_SECONDS = 2.0


class HeldServer:
    """Holds all requests; counts those that run and those that were started."""

    def __init__(self) -> None:
        self.running = self.started = 0
        self.release = asyncio.Event()
        self.server = HttpServer(handler=self._hold, limits=lambda: LIMITS)

    async def _hold(self, request: HttpRequest) -> HttpResponse:
        self.started += 1
        self.running += 1
        try:
            await self.release.wait()
        finally:
            self.running -= 1
        return HttpResponse(status=200)

    async def connect(self, requests: int) -> socket.socket:
        """Open a connection and send ``requests`` on it."""
        await self.server.start("127.0.0.1", 0)
        client = socket.create_connection(("127.0.0.1", listening_port(self.server)))
        read_at_once = min(requests, MAX_PIPELINED)
        client.sendall(GET * read_at_once)
        async with asyncio.timeout(NOTICE_SECONDS):
            while self.running < read_at_once:
                await asyncio.sleep(0.01)
        client.sendall(GET * (requests - read_at_once))
        await asyncio.sleep(0.05)
        return client


@pytest.mark.parametrize("requests", [1, 15, 16, 17, 40])
@pytest.mark.parametrize("reset", [False, True])
def test_requests_are_dropped_when_the_client_hangs_up(
    requests: int, reset: bool
) -> None:
    """Guards against work for clients that have left.

    At 16 requests reading is paused, and the close of the client is not read.
    """

    async def main() -> None:
        held = HeldServer()
        client = await held.connect(requests)
        if reset:
            linger = struct.pack("ii", 1, 0)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        client.close()
        async with asyncio.timeout(NOTICE_SECONDS):
            while held.running:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        assert held.started == min(requests, MAX_PIPELINED)
        assert not held.server.connections
        await held.server.stop()

    asyncio.run(main())


def test_paused_connection_of_a_waiting_client_is_read_again() -> None:
    """Guards against a watch that closes connections in use, or is left behind."""

    async def main() -> None:
        held = HeldServer()
        client = await held.connect(3 * MAX_PIPELINED)
        client.setblocking(False)
        held.release.set()
        data = b""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(NOTICE_SECONDS):
            while data.count(b"HTTP/1.1 200") < 3 * MAX_PIPELINED:
                data += await loop.sock_recv(client, 1 << 16)
        assert held.started == 3 * MAX_PIPELINED
        client.close()
        async with asyncio.timeout(NOTICE_SECONDS):
            while held.server.connections:
                await asyncio.sleep(0.01)
        await held.server.stop()

    asyncio.run(main())


def test_request_of_a_client_that_left_before_it_was_accepted_does_not_run() -> None:
    """Guards against work for clients that gave up while the daemon was busy."""

    async def main() -> list[bytes]:
        handled: list[bytes] = []

        async def handle(request: HttpRequest) -> HttpResponse:
            handled.append(request.target)
            return HttpResponse(status=200)

        server = HttpServer(handler=handle, limits=lambda: LIMITS)
        await server.start("127.0.0.1", 0)
        # The loop accepts nothing meanwhile.
        for path in (b"/left", b"/stayed"):
            client = socket.create_connection(("127.0.0.1", server.port))
            client.sendall(b"GET " + path + b" HTTP/1.1\r\nHost: h\r\n\r\n")
            if path == b"/left":
                client.close()
        await asyncio.sleep(0.2)
        client.close()
        await server.stop()
        return handled

    assert asyncio.run(main()) == [b"/stayed"]
