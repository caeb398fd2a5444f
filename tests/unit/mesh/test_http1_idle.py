"""The idle time of a connection whose last response takes long to be received."""

import asyncio

import pytest

from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.transport.http1 import response_sender
from cassiasail._internal.transport.http1.memory import BodyMemory
from cassiasail._internal.transport.http1.server_connection import ServerConnection
from cassiasail._internal.transport.http1.service import HttpService
from devtools.virtual_loop import VirtualLoop
from tests.unit.mesh.test_http1_server import GET, LIMITS


class FakeTransport(asyncio.Transport):
    """Accepts all bytes; ``closing`` is set when the connection ends its side."""

    def __init__(self) -> None:
        super().__init__()
        self.closing = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        pass

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.closing = True

    def close(self) -> None:
        self.closing = True


@pytest.mark.parametrize("received_after", [0.1, 0.39, 0.7, 1.9])
def test_idle_time_starts_when_the_client_has_received_the_response(
    received_after: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a connection that is closed within its announced idle time.

    The client acknowledges the end of the response between two checks.
    """
    idle = LIMITS.idle_seconds

    async def respond(request: HttpRequest) -> HttpResponse:
        return HttpResponse(status=200)

    async def main() -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()

        def unacknowledged_bytes(transport: asyncio.Transport) -> int:
            remaining = received_after - (loop.time() - started_at)
            return max(0, int(remaining * 1e6))

        monkeypatch.setattr(
            response_sender, "unacknowledged_bytes", unacknowledged_bytes
        )
        connection = ServerConnection(
            service=HttpService(
                handler=respond,
                limits=lambda: LIMITS,
                time_limit=lambda request: None,
                memory=BodyMemory(limit=1000),
            ),
            closed=lambda connection: None,
        )
        transport = FakeTransport()
        connection.connection_made(transport)
        connection.data_received(GET)
        await asyncio.sleep(received_after + idle * 0.95)
        assert not transport.closing
        await asyncio.sleep(2 * idle)
        assert transport.closing

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main())
