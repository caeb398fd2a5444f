"""Clients that keep to no limit, against a real daemon with lowered limits.

Each test checks that the daemon lives, that its memory or its descriptors stay under
the limits in its settings, and that one ordinary request is answered afterwards.
"""

import asyncio
import socket
from pathlib import Path

from aiohttp import web

from cassiasail._internal.protocol.http1 import HttpResponse
from devtools.platform_stand_in import Sidecar
from tests.lib.sidecar_mesh import run
from tests.lib.uncontrolled import (
    close,
    connect,
    daemon,
    descriptors,
    request,
    send,
    until_quiet,
)

# Limit in the settings of the daemon, far below that of the smallest VM.
MAX_FDS = 128
# Many times what the daemon may hold for all clients together.
CLIENTS, REQUESTS_PER_CLIENT, ANSWER_BYTES = 12, 40, 1 << 20
# Longer than what the kernel holds for a connection.
SLOW_CLIENTS, LONG_ANSWER_BYTES = 30, 8 << 20
# Heads of 16 kB, just within the limit, and a multiple of that as objects.
HEADS, LINES_PER_HEAD = 400, 2600
IDLE_CLIENTS = 300
BLANK_BYTES = 8 << 20


def serve_answers_of(sidecar: Sidecar, size: int) -> None:
    text = "x" * size

    async def handle(received: web.Request) -> web.StreamResponse:
        return sidecar.platform_response(received, text)

    sidecar.handle_request = handle


def test_clients_that_never_read_their_answers(tmp_path: Path) -> None:
    """Guards against answers that pile up in memory until the process is ended."""

    async def main() -> None:
        async with daemon(tmp_path) as sidecar:
            serve_answers_of(sidecar, ANSWER_BYTES)
            clients = [
                await connect(sidecar, receive_bytes=4096) for _ in range(CLIENTS)
            ]
            requests = b"".join(request(each) for each in range(REQUESTS_PER_CLIENT))
            await asyncio.gather(*(send(client, requests) for client in clients))
            await until_quiet(sidecar)
            close(clients)

    run(main)


def test_clients_that_read_long_answers_slowly(tmp_path: Path) -> None:
    """Guards against memory for answers that many clients take a little at a time."""

    async def main() -> None:
        async with daemon(tmp_path) as sidecar:
            serve_answers_of(sidecar, LONG_ANSWER_BYTES)
            clients = [
                await connect(sidecar, receive_bytes=4096) for _ in range(SLOW_CLIENTS)
            ]
            loop = asyncio.get_running_loop()

            async def read_slowly(client: socket.socket) -> None:
                await send(client, request(1))
                try:
                    while await loop.sock_recv(client, 1024):
                        await asyncio.sleep(0.5)
                except OSError:
                    pass  # The daemon closed the connection.

            readers = [asyncio.create_task(read_slowly(each)) for each in clients]
            await until_quiet(sidecar)
            for reader in readers:
                reader.cancel()
            await asyncio.wait(readers)
            close(clients)

    run(main)


def test_heads_of_many_lines_that_never_end(tmp_path: Path) -> None:
    """Guards against memory for heads within the limit, each line an object."""

    async def main() -> None:
        async with daemon(tmp_path) as sidecar:
            clients = [await connect(sidecar) for _ in range(HEADS)]
            head = request(1, *("ab:" for _ in range(LINES_PER_HEAD)), end="c:")
            await asyncio.gather(*(send(client, head) for client in clients))
            await until_quiet(sidecar)
            close(clients)

    run(main)


def test_empty_lines_without_end_before_a_request(tmp_path: Path) -> None:
    """Guards against a connection that keeps a processor busy and is never closed."""

    async def main() -> None:
        async with daemon(tmp_path) as sidecar:
            client = await connect(sidecar)
            lines = b"\r\n" * (32 << 10)
            sent = 0
            while sent < BLANK_BYTES and await send(client, lines):
                sent += len(lines)
            assert sent < BLANK_BYTES
            close([client])

    run(main)


def test_more_connections_than_descriptors(tmp_path: Path) -> None:
    """Guards against a daemon without descriptors for other daemons and the store."""

    async def main() -> None:
        async with daemon(tmp_path, max_fds=MAX_FDS) as sidecar:
            clients = [await connect(sidecar) for _ in range(IDLE_CLIENTS)]
            assert sidecar.process is not None
            await until_quiet(sidecar)
            assert descriptors(sidecar.process.pid) <= MAX_FDS
            result = await sidecar.get("/one/ordinary")
            assert isinstance(result, HttpResponse) and result.status == 200
            close(clients)

    run(main)
