"""Clients that use descriptors and time without end, against real daemons.

Each test checks that the daemon lives, that its descriptors stay under the limit in its
settings, that its log has no tracebacks, and that ordinary requests are answered while
the crowd is there and afterwards.
"""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

from aiohttp import web

from devtools.platform_stand_in import PlatformStore, Sidecar
from tests.lib.sidecar_mesh import plain_sidecars, run, sidecar_mesh

# Limit in the settings of the daemons, a sixteenth of that of the smallest VM.
MAX_FDS = 256
PIPELINING_CLIENTS, PIPELINED, ANSWER_BYTES = 60, 16, 540_000
CLIENTS_WITHOUT_A_HEAD = 400
SCRAPING_CLIENTS, SCRAPES = 100, 400
CHUNKING_CLIENTS, CHUNKS_AT_ONCE = 60, 20_000
IDLE_CLIENTS = 300


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
