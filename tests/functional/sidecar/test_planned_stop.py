"""Clients that pipeline requests to a sidecar process that is stopped by SIGTERM."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from aiohttp import web

from cassiasail._internal.sidecar.runtime import ACCEPT_WHILE_STOPPING_SECONDS
from devtools.platform_stand_in import PlatformStore, Sidecar, route
from tests.functional.sidecar.test_sidecar import mesh, run

GRACE_SECONDS = 4
# No route ends a request before the grace is over.
ROUTES = {name: route(name, timeoutMs=30000) for name in ("one", "two")}


@asynccontextmanager
async def patient_mesh(
    directory: Path,
) -> AsyncIterator[tuple[PlatformStore, list[Sidecar]]]:
    async with mesh(
        directory, "one", "two", grace_seconds=GRACE_SECONDS, routes=ROUTES
    ) as running:
        yield running


def pipelined(*paths: str) -> bytes:
    """Return requests for ``paths``, the last part of each being the attempt id."""
    return b"".join(
        f"GET {path} HTTP/1.1\r\nHost: h\r\n"
        f"X-Cassiasail-Attempt-Id: {path.rpartition('/')[2]}\r\n"
        "X-Cassiasail-Deadline-Ms: 30000\r\n\r\n".encode()
        for path in paths
    )


def responses(data: bytes) -> list[tuple[int, bool]]:
    """Return the status of each response and whether it closes the connection."""
    return [
        (int(part[:3]), b"connection: close" in part)
        for part in data.split(b"HTTP/1.1 ")[1:]
    ]


def hold_slow_requests(sidecar: Sidecar, seconds: float) -> None:
    """Make the target answer requests for ``/slow`` after ``seconds``."""

    async def respond(request: web.Request) -> web.StreamResponse:
        if request.path.endswith("/slow"):
            await asyncio.sleep(seconds)
        return sidecar.platform_response(request, request.path)

    sidecar.handle_request = respond


async def wait_until_received(sidecar: Sidecar, *attempts: str) -> None:
    async with asyncio.timeout(5):
        while not set(attempts) <= {attempt for attempt, _ in sidecar.received}:
            await asyncio.sleep(0.01)


def test_finished_response_behind_an_unfinished_one_survives_sigterm(
    tmp_path: Path,
) -> None:
    """Guards against a served request whose connection closes without an answer."""

    async def main() -> None:
        async with patient_mesh(tmp_path) as (_, (one, two)):
            hold_slow_requests(one, 30)
            outbound = two.address_by_use["outbound"]
            reader, writer = await asyncio.open_connection(outbound.host, outbound.port)
            writer.write(pipelined("/one/slow", "/one/fast"))
            await wait_until_received(one, "slow", "fast")
            two.signal(signal.SIGTERM)
            data = await asyncio.wait_for(reader.read(), GRACE_SECONDS + 1)
            writer.close()
            # No promise is made about the request that the target still runs.
            assert responses(data) == [(502, False), (200, True)]
            assert data.endswith(b"/one/fast")
            assert two.process is not None
            assert await asyncio.wait_for(two.process.wait(), 1) == 0

    run(main)


def test_request_behind_an_unfinished_one_is_served_after_sigterm(
    tmp_path: Path,
) -> None:
    """Guards against a client that has to send a request again that was received."""

    async def main() -> None:
        async with patient_mesh(tmp_path) as (_, (one, two)):
            hold_slow_requests(one, 1)
            outbound = two.address_by_use["outbound"]
            reader, writer = await asyncio.open_connection(outbound.host, outbound.port)
            writer.write(pipelined("/one/slow"))
            await wait_until_received(one, "slow")
            two.signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            writer.write(pipelined("/one/late"))
            data = await asyncio.wait_for(reader.read(), GRACE_SECONDS + 1)
            writer.close()
            assert responses(data) == [(200, False), (200, True)]
            assert [attempt for attempt, _ in one.received] == ["slow", "late"]

    run(main)


def test_request_late_in_the_grace_is_refused_and_not_passed_on(
    tmp_path: Path,
) -> None:
    """Guards against requests that are taken shortly before the end and then cut."""

    async def main() -> None:
        async with patient_mesh(tmp_path) as (_, (one, two)):
            hold_slow_requests(one, 30)
            outbound = two.address_by_use["outbound"]
            connections = [
                await asyncio.open_connection(outbound.host, outbound.port)
                for _ in range(3)
            ]
            _, busy = connections[0]
            busy.write(pipelined("/one/slow"))
            # Both connections were used and are kept open by their clients.
            for number, (reader, writer) in enumerate(connections[1:]):
                writer.write(pipelined(f"/one/early{number}"))
                await reader.readuntil(f"/one/early{number}".encode())
            await wait_until_received(one, "slow")
            two.signal(signal.SIGTERM)
            await asyncio.sleep(ACCEPT_WHILE_STOPPING_SECONDS + 0.2)
            for number, (_, writer) in enumerate(connections):
                if not writer.is_closing():
                    writer.write(pipelined(f"/one/late{number}"))
            received = []
            for reader, writer in connections:
                data = await asyncio.wait_for(reader.read(), GRACE_SECONDS + 1)
                received.append([status for status, _ in responses(data)])
                writer.close()
            # A closed connection with no response means that the request wasn't read.
            assert received[0] in ([502, 503], [502])
            assert all(each in ([503], []) for each in received[1:])
            attempts = {attempt for attempt, _ in one.received}
            assert attempts == {"slow", "early0", "early1"}

    run(main)
