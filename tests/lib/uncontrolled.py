"""Clients that keep to no limit, and daemons with lowered limits for them."""

import asyncio
import resource
import socket
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from pathlib import Path

from cassiasail._internal.protocol.exchanges import Address
from cassiasail._internal.protocol.http1 import HttpResponse
from devtools.platform_stand_in import PlatformStore, Sidecar
from tests.lib.sidecar_mesh import memory_kb, sidecar_mesh

# Limit in the settings of the daemon, far below that of the smallest VM.
MEMORY_MB = 128
# The crowd has done its worst once nothing has changed for this long.
QUIET_SECONDS = 1.0
# Longest wait for a state that is due at once, far above what a busy machine needs.
PATIENCE_SECONDS = 30.0


@asynccontextmanager
async def daemon(directory: Path, *, max_fds: int = 4100) -> AsyncIterator[Sidecar]:
    """Run a daemon; afterwards it lives within its memory and serves a request."""

    def small_sidecar(store: PlatformStore) -> list[Sidecar]:
        sidecar = Sidecar(store=store, name="vm-1", service="one")
        sidecar.memory_mb, sidecar.max_fds = MEMORY_MB, max_fds
        return [sidecar]

    async with sidecar_mesh(directory, small_sidecar) as (_, (sidecar,)):
        yield sidecar
        assert sidecar.process is not None and sidecar.process.returncode is None
        assert memory_kb(sidecar, "VmHWM") < MEMORY_MB << 10
        result = await sidecar.get("/one/ordinary")
        assert isinstance(result, HttpResponse) and result.status == 200


async def connect(
    sidecar: Sidecar, *, receive_bytes: int = 0, address: Address | None = None
) -> socket.socket:
    """Return a connection of a client, by default to the listener for clients.

    Its receive buffer has that size if one is given.
    """
    client = socket.socket()
    client.setblocking(False)
    if receive_bytes:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    await asyncio.get_running_loop().sock_connect(
        client, tuple(address or sidecar.address_by_use["outbound"])
    )
    return client


async def send(client: socket.socket, data: bytes) -> bool:
    """Send ``data``; false if the daemon has closed the connection or reads no more."""
    try:
        async with asyncio.timeout(QUIET_SECONDS):
            await asyncio.get_running_loop().sock_sendall(client, data)
    except (OSError, TimeoutError):
        return False
    return True


async def until_quiet(sidecar: Sidecar) -> None:
    """Wait until the daemon sends its target no more requests and takes no memory."""
    before = (-1, -1)
    async with asyncio.timeout(2 * PATIENCE_SECONDS):
        while True:
            now = (len(sidecar.received), memory_kb(sidecar, "VmHWM"))
            if now == before:
                return
            before = now
            await asyncio.sleep(QUIET_SECONDS)


def request(number: int, *more: str, end: str = "\r\n") -> bytes:
    lines = (
        "GET /one/large HTTP/1.1",
        "Host: h",
        f"X-Cassiasail-Attempt-Id: a{number}",
        "X-Cassiasail-Deadline-Ms: 30000",
        *more,
        end,
    )
    return "\r\n".join(lines).encode()


def close(clients: Iterable[socket.socket]) -> None:
    for client in clients:
        client.close()


def descriptors(pid: int) -> int:
    """Return the number of descriptors that a process has open."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


def limit_descriptors(pid: int, number: int) -> None:
    """Lower the limit of a process that was started by a test."""
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (number, number))


class DescriptorPeak:
    """The most descriptors that a process had open, as seen in short intervals."""

    def __init__(self, pid: int) -> None:
        self.most = 0
        self._pid = pid
        self._task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        while True:
            self.most = max(self.most, descriptors(self._pid))
            await asyncio.sleep(0.02)

    def stop(self) -> int:
        """End the observation and return the result."""
        self._task.cancel()
        return self.most
