"""Large responses that are still being sent when a sidecar process gets SIGTERM."""

import asyncio
import signal
import socket
from pathlib import Path

from aiohttp import web

from cassiasail._internal.ids import ServiceName
from cassiasail._internal.protocol import peer_calls
from cassiasail._internal.protocol.exchanges import Address
from cassiasail._internal.protocol.http1 import encode_request
from cassiasail._internal.state.calls import ClientRequest, HostedRequest
from devtools.platform_stand_in import Sidecar
from tests.functional.sidecar.test_planned_stop import pipelined, wait_until_received
from tests.functional.sidecar.test_sidecar import mesh, run

# More than the kernel buffers of a connection hold, less than the limit of a response.
BODY_BYTES = 15_000_000
# Beyond the time for which a stopping daemon accepts clients, within the grace of 6 s.
TRANSFER_SECONDS = 4.5


def send_large_responses(sidecar: Sidecar) -> None:
    async def respond(request: web.Request) -> web.StreamResponse:
        return sidecar.platform_response(request, "x" * BODY_BYTES)

    sidecar.handle_request = respond


async def connect(
    address: Address,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect with a small receive buffer, so that the daemon has to wait."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client, (address.host, address.port))
    return await asyncio.open_connection(sock=client)


async def read_slowly(reader: asyncio.StreamReader) -> int:
    """Read all and return the number of bytes of the body."""
    await reader.readuntil(b"\r\n\r\n")
    received = 0
    while received < BODY_BYTES and (chunk := await reader.read(50_000)):
        received += len(chunk)
        await asyncio.sleep(TRANSFER_SECONDS * len(chunk) / BODY_BYTES)
    return received


def test_response_that_is_being_sent_survives_sigterm(tmp_path: Path) -> None:
    """Guards against an exit that cuts off a response long before the grace is over."""

    async def main() -> None:
        async with mesh(tmp_path, "one", "two") as (_, (one, two)):
            send_large_responses(one)
            reader, writer = await connect(two.address_by_use["outbound"])
            writer.write(pipelined("/one/large"))
            await wait_until_received(one, "large")
            two.signal(signal.SIGTERM)
            assert await read_slowly(reader) == BODY_BYTES
            writer.close()

    run(main)


def test_late_request_does_not_reset_a_response_after_the_exit(tmp_path: Path) -> None:
    """Guards against an exit while the kernel still sends a response."""
    # Fits into the kernel buffers of the daemon.
    body_bytes = 2_000_000

    async def main() -> None:
        async with mesh(tmp_path, "one", "two") as (_, (one, two)):

            async def respond(request: web.Request) -> web.StreamResponse:
                return one.platform_response(request, "x" * body_bytes)

            one.handle_request = respond
            reader, writer = await connect(two.address_by_use["outbound"])
            writer.write(pipelined("/one/large"))
            await wait_until_received(one, "large")
            two.signal(signal.SIGTERM)
            # Beyond the time for which a stopping daemon accepts clients.
            await asyncio.sleep(3)
            writer.write(pipelined("/one/late"))
            await reader.readuntil(b"\r\n\r\n")
            assert len(await reader.readexactly(body_bytes)) == body_bytes
            writer.close()

    run(main)


def test_reply_to_a_daemon_that_is_being_sent_survives_sigterm(tmp_path: Path) -> None:
    """Guards against a served unsafe request whose result is cut off on its way."""
    request = ClientRequest(
        attempt_id="large",
        method=b"POST",
        host="h",
        request_target=b"/one/large",
        headers=(),
        body=b"",
        client_service=ServiceName("two"),
        arrived_at=0.0,
        remaining_time=20.0,
    )
    hosted = HostedRequest(
        request=request,
        service=ServiceName("one"),
        priority=0,
        route="one",
        safe=False,
        late=False,
        remaining_time=20.0,
        max_wait=5.0,
    )

    async def main() -> None:
        async with mesh(tmp_path, "one") as (_, (one,)):
            send_large_responses(one)
            reader, writer = await connect(one.address_by_use["inbound"])
            writer.write(encode_request(peer_calls.encode_request(hosted)))
            await wait_until_received(one, "large")
            one.signal(signal.SIGTERM)
            assert await read_slowly(reader) == BODY_BYTES
            writer.close()

    run(main)
