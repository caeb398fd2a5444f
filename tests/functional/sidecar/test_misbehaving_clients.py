"""Clients that use descriptors and time without end, against real daemons.

Each test checks that the daemon lives, that its descriptors stay under the limit in its
settings, that its log has no tracebacks, and that ordinary requests are answered while
the crowd is there and afterwards.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

from aiohttp import web

from cassiasail._internal.protocol.exchanges import Address
from cassiasail._internal.protocol.http1 import HttpResponse
from devtools.platform_stand_in import HOST, PlatformStore, Sidecar
from tests.lib.sidecar_mesh import plain_sidecars, run, sidecar_mesh
from tests.lib.uncontrolled import (
    PATIENCE_SECONDS,
    QUIET_SECONDS,
    DescriptorPeak,
    close,
    connect,
    daemon,
    descriptors,
    limit_descriptors,
    request,
    send,
    until_quiet,
)

# Limit in the settings of the daemons, a sixteenth of that of the smallest VM.
MAX_FDS = 256
PIPELINING_CLIENTS, PIPELINED, ANSWER_BYTES = 60, 16, 540_000
CLIENTS_WITHOUT_A_HEAD = 400
SCRAPING_CLIENTS, SCRAPES = 100, 400
CHUNKING_CLIENTS, CHUNKS_AT_ONCE = 60, 20_000
IDLE_CLIENTS = 300


async def ordinary_status(sidecar: Sidecar, path: str = "/one/ordinary") -> int:
    """Return the status of an ordinary request on a new connection, 0 without one."""
    sidecar.pool.close()
    result = await sidecar.get(path, timeout=5, deadline=4)
    return result.status if isinstance(result, HttpResponse) else 0


def log_of(directory: Path, sidecar: Sidecar) -> str:
    return (directory / f"{sidecar.name}.log").read_text()


def process_id(sidecar: Sidecar) -> int:
    assert sidecar.process is not None
    return sidecar.process.pid


def test_clients_that_pipeline_and_never_read(tmp_path: Path) -> None:
    """Guards against requests that take the descriptors for hosts and other clients."""

    def sidecars(store: PlatformStore) -> list[Sidecar]:
        created = list(plain_sidecars("one", "two")(store))
        for each in created:
            each.max_fds = MAX_FDS
        return created

    async def main() -> None:
        async with sidecar_mesh(tmp_path, sidecars) as (_, (one, two)):
            two.handle_request = answer_after(two, 0.1, ANSWER_BYTES)
            peaks = [DescriptorPeak(process_id(each)) for each in (one, two)]
            clients = [
                await connect(one, receive_bytes=4096)
                for _ in range(PIPELINING_CLIENTS)
            ]
            requests = b"".join(
                request(each).replace(b"/one/", b"/two/") for each in range(PIPELINED)
            )
            await asyncio.gather(*(send(client, requests) for client in clients))
            await asyncio.sleep(QUIET_SECONDS)
            assert await ordinary_status(one) == 200
            await until_quiet(one)
            assert [peak.stop() <= MAX_FDS for peak in peaks] == [True, True]
            close(clients)
            assert await ordinary_status(one) == 200
            assert await ordinary_status(one, "/two/ordinary") == 200
            for each in (one, two):
                assert "Traceback" not in log_of(tmp_path, each)

    run(main)


def test_heads_of_one_byte_that_never_go_on(tmp_path: Path) -> None:
    """Guards against unfinished heads that keep all new connections out."""

    async def main() -> None:
        async with daemon(tmp_path, max_fds=MAX_FDS) as sidecar:
            limit_descriptors(process_id(sidecar), MAX_FDS)
            clients = []
            for _ in range(CLIENTS_WITHOUT_A_HEAD):
                clients.append(await connect(sidecar))
                await send(clients[-1], b"G")
            for _ in range(5):
                assert await ordinary_status(sidecar) == 200
            close(clients)
            assert "Traceback" not in log_of(tmp_path, sidecar)

    run(main)


def test_scrapes_that_are_never_read(tmp_path: Path) -> None:
    """Guards against pages for operators that keep the daemon from its requests."""

    async def main() -> None:
        async with daemon(tmp_path) as sidecar:
            address = Address(HOST, sidecar.metrics_port)
            scrape = b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
            clients = [
                await connect(sidecar, receive_bytes=4096, address=address)
                for _ in range(SCRAPING_CLIENTS)
            ]
            await asyncio.gather(*(send(each, scrape * SCRAPES) for each in clients))
            assert await ordinary_status(sidecar) == 200
            assert "cassiasail_mesh_hosts" in await sidecar.metrics()
            close(clients)

    run(main)


async def send_chunks_of_one_byte(client: socket.socket) -> None:
    """Send bodies in chunks of one byte until the connection is closed."""
    head = request(1, "Transfer-Encoding: chunked")
    head = head.replace(b"GET /one/large", b"POST /one/chunked")
    while await send(client, head + b"1\r\nx\r\n" * CHUNKS_AT_ONCE + b"0\r\n\r\n"):
        pass


def test_bodies_in_chunks_of_one_byte(tmp_path: Path) -> None:
    """Guards against bodies whose parsing keeps the daemon from other clients."""

    async def main() -> None:
        async with daemon(tmp_path) as sidecar:
            clients = [await connect(sidecar) for _ in range(CHUNKING_CLIENTS)]
            senders = [
                asyncio.create_task(send_chunks_of_one_byte(each)) for each in clients
            ]
            await asyncio.sleep(QUIET_SECONDS)
            for _ in range(5):
                assert await ordinary_status(sidecar) == 200
            for sender in senders:
                sender.cancel()
            await asyncio.wait(senders)
            close(clients)

    run(main)


def test_idle_connections_to_each_listener(tmp_path: Path) -> None:
    """Guards against a listener without a limit that takes the descriptors of all."""

    async def main() -> None:
        async with daemon(tmp_path, max_fds=MAX_FDS) as sidecar:
            addresses = [
                sidecar.address_by_use[use]
                for use in ("inbound", "outbound", "readiness", "admin")
            ]
            for address in (*addresses, Address(HOST, sidecar.metrics_port)):
                clients = [
                    await connect(sidecar, address=address) for _ in range(IDLE_CLIENTS)
                ]
                await until_quiet(sidecar)
                assert descriptors(process_id(sidecar)) <= MAX_FDS
                assert await ordinary_status(sidecar) == 200
                sidecar.pool.close()
                await sidecar.wait_until_ready(PATIENCE_SECONDS)
                heartbeat = await sidecar.send_heartbeat()
                assert isinstance(heartbeat, HttpResponse) and heartbeat.status == 200
                assert "cassiasail_mesh_hosts" in await sidecar.metrics()
                close(clients)

    run(main)


def test_answers_that_wait_for_a_slow_order(tmp_path: Path) -> None:
    """Guards against the loss of an order whose client takes all answers at once.

    Large answers that waited behind it on their connections counted like ones that
    their clients don't take.
    """
    clients, downloads = 6, 15

    def sidecars(store: PlatformStore) -> list[Sidecar]:
        slow, fast = plain_sidecars("one", "two")(store)
        # All of them run at once.
        slow.slots, fast.slots = clients, clients * downloads
        return [slow, fast]

    async def exchange_all(sidecar: Sidecar, name: str) -> list[int]:
        """Send an order and the downloads behind it; return the statuses."""
        reader, writer = await asyncio.open_connection(
            *sidecar.address_by_use["outbound"]
        )
        for number in range(downloads + 1):
            line = f"GET /two/{number}" if number else "POST /orders/new"
            writer.write(
                f"{line} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
                f"X-Cassiasail-Attempt-Id: {name}-{number}\r\n"
                "X-Cassiasail-Deadline-Ms: 6000\r\n\r\n".encode()
            )
        statuses = []
        try:
            for _ in range(downloads + 1):
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length: ")[2].split()[0]
                await reader.readexactly(int(length))
                statuses.append(int(head[9:12]))
        except (OSError, asyncio.IncompleteReadError):
            pass  # The daemon closed the connection.
        writer.close()
        return statuses

    async def main() -> None:
        async with sidecar_mesh(tmp_path, sidecars) as (_, (slow, fast)):
            slow.handle_request = answer_after(slow, 3.0, 10)
            fast.handle_request = answer_after(fast, 0.25, ANSWER_BYTES)
            results = await asyncio.gather(
                *(exchange_all(slow, f"c{number}") for number in range(clients))
            )
            assert [len(each) for each in results] == [downloads + 1] * clients
            assert [each[0] for each in results] == [200] * clients

    run(main)


def answer_after(
    sidecar: Sidecar, seconds: float, size: int
) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
    """Return a handler whose answers of ``size`` bytes take some seconds."""

    async def handle(received: web.Request) -> web.StreamResponse:
        await asyncio.sleep(seconds)
        return sidecar.platform_response(received, "x" * size)

    return handle
