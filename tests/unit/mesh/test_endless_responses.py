"""Servers that send bytes without end, in a head or a body, until the client closes."""

import asyncio
import tracemalloc
from collections.abc import Iterator

import pytest

from cassiasail._internal.protocol.exchanges import (
    Address,
    ExchangeFailed,
    FailureReason,
)
from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.state.mesh_config import ClientLimits
from cassiasail._internal.transport.http1.client import MAX_RESPONSE_BYTES
from cassiasail._internal.transport.http1.memory import BodyMemory
from cassiasail._internal.transport.http1.pool import ConnectionPool
from cassiasail._internal.transport.http1.server import HttpServer
from tests.lib.endless import ENDLESS_BODIES, ENDLESS_HEADS, FILLER, OK_HEAD

REQUEST = HttpRequest(method=b"GET", target=b"/", headers=((b"host", b"h"),))
HEAD_LIMIT_BYTES = 1 << 20


def endless(start: bytes, part: bytes) -> Iterator[bytes]:
    yield start
    while True:
        yield part


class EndlessServer:
    """Sends ``parts`` to each client until the client closes the connection."""

    def __init__(self, start: bytes, part: bytes) -> None:
        self._parts = (start, part)
        self.sent_bytes = 0
        self.open_connections = 0

    async def __aenter__(self) -> Address:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Address(*self._server.sockets[0].getsockname())

    async def __aexit__(self, *error: object) -> None:
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.open_connections += 1
        try:
            for part in endless(*self._parts):
                writer.write(part)
                await writer.drain()
                self.sent_bytes += len(part)
        except ConnectionError:
            pass
        finally:
            self.open_connections -= 1
            writer.transport.abort()


def pool_with(memory: BodyMemory | None = None) -> ConnectionPool:
    return ConnectionPool(
        connect_timeout=1, ack_timeout=1, idle_timeout=1, memory=memory
    )


@pytest.mark.parametrize("name", ENDLESS_HEADS)
def test_endless_head_ends_the_exchange_at_once(name: str) -> None:
    """Guards against a head that fills the memory of a daemon until the timeout.

    One exchange of 3 s took 55 to 244 MB, and a VM has 200 MB.
    """

    async def main() -> None:
        server = EndlessServer(*ENDLESS_HEADS[name])
        async with server as address:
            tracemalloc.start()
            result = await pool_with().exchange(address, REQUEST, timeout=10)
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert isinstance(result, ExchangeFailed)
            assert result.sent
            assert result.reason in (FailureReason.TOO_LARGE, FailureReason.MALFORMED)
            assert peak_bytes < HEAD_LIMIT_BYTES
            async with asyncio.timeout(1):
                while server.open_connections:
                    await asyncio.sleep(0.01)

    asyncio.run(main())


@pytest.mark.parametrize("name", ENDLESS_BODIES)
def test_endless_bodies_share_a_bounded_memory(name: str) -> None:
    """Guards against twenty targets whose endless bodies end the daemon together.

    A response of normal size that arrives meanwhile is not the one dropped.
    """

    async def main() -> None:
        memory = BodyMemory(limit=4 << 20)
        most = 0
        async with (
            EndlessServer(*ENDLESS_BODIES[name]) as address,
            EndlessServer(OK_HEAD + b"content-length: 8194\r\n\r\nok", FILLER) as sound,
        ):
            pool = pool_with(memory)
            exchanges = [
                asyncio.create_task(pool.exchange(address, REQUEST, timeout=10))
                for _ in range(20)
            ]
            exchanges.append(
                asyncio.create_task(pool.exchange(sound, REQUEST, timeout=10))
            )
            while not all(each.done() for each in exchanges):
                most = max(most, memory.held)
                await asyncio.sleep(0)
            *failed, answered = [each.result() for each in exchanges]
            assert isinstance(answered, HttpResponse)
            assert len(answered.body) == 8194
            for each in failed:
                assert isinstance(each, ExchangeFailed)
                assert each.reason is FailureReason.TOO_LARGE
            # One response alone may exceed the limit, up to its own.
            assert most <= MAX_RESPONSE_BYTES
            assert memory.held == 0

    asyncio.run(main())


def post(body_length: int) -> bytes:
    return b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % body_length


def test_request_bodies_share_a_bounded_memory() -> None:
    """Guards against uploads that end a daemon on a small VM.

    A request without room is refused before it is handled, which makes the 503 true,
    and its client may come back. The memory is free again afterwards.
    """

    async def main() -> None:
        handled: list[int] = []

        async def handle(request: HttpRequest) -> HttpResponse:
            handled.append(len(request.body))
            return HttpResponse(status=200)

        memory = BodyMemory(limit=100_000)
        server = HttpServer(
            handler=handle, limits=lambda: ClientLimits(), memory=memory
        )
        await server.start("127.0.0.1", 0)
        port = server.port
        slow_reader, slow_writer = await asyncio.open_connection("127.0.0.1", port)
        slow_writer.write(post(90_000) + b"x" * 1000)
        await slow_writer.drain()
        await asyncio.sleep(0.05)

        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(post(60_000))
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503") and b"retry-after" in head
        writer.close()

        slow_writer.write(b"x" * 89_000)
        assert (await slow_reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(post(60_000) + b"x" * 60_000)
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
        assert handled == [90_000, 60_000]
        assert memory.held == 0
        for each in (writer, slow_writer):
            each.close()
        await server.stop()

    asyncio.run(main())


def test_one_body_above_the_limit_is_held_alone() -> None:
    """Guards against a permitted upload that is refused whenever it comes."""
    memory = BodyMemory(limit=10)
    assert memory.try_hold("large", 25)
    assert not memory.try_hold("other", 1)
    memory.release("large")
    assert memory.try_hold("other", 1)
    assert memory.held == 1
