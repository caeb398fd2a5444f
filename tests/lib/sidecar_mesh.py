"""Sidecar processes with targets, peer daemons and links that misbehave on request."""

import asyncio
import re
from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol

from aiohttp import web

from cassiasail._internal.ids import DataCentre, Region, ServiceName, TargetId
from cassiasail._internal.protocol import peer_calls
from cassiasail._internal.protocol.exchanges import Address, ExchangeFailed
from cassiasail._internal.protocol.http1 import HttpResponse, encode_response
from cassiasail._internal.state.calls import HostOutcome, HostReply, TargetResponse
from cassiasail._internal.state.hosts import HostRecord, TargetState, encode_record
from devtools.platform_stand_in import (
    HOST,
    PlatformStore,
    Sidecar,
    configuration,
    route,
)
from devtools.reservations import reserve_port
from devtools.soak.proxy import LoopbackProxy

# Daemons listen on their port of ``HOST``, a proxy on the same port of this address.
PROXY_HOST = "127.0.0.2"
ROUTES = {
    "orders": route("one", prefix="/orders/", kind="unsafe", timeoutMs=4000),
    "one": route("one", timeoutMs=4000),
    "two": route("two"),
}


@asynccontextmanager
async def sidecar_mesh(
    directory: Path,
    sidecars: Callable[[PlatformStore], Sequence[Sidecar]],
    *,
    links: Sequence[LoopbackProxy] = (),
    routes: dict[str, Any] | None = None,
    ready_targets: int | None = None,
) -> AsyncIterator[tuple[PlatformStore, list[Sidecar]]]:
    """Run the processes of ``sidecars`` with their targets; yield when all are ready.

    ``links`` are proxies to run; ``sidecars`` may still add some. ``ready_targets`` is
    the number of targets that each daemon has to know by then, by default that of the
    sidecars.
    """
    store = PlatformStore()
    store.put("op", "config", configuration(1, routes or ROUTES))
    await store.start()
    started = list(sidecars(store))
    for link in links:
        await link.start()
    try:
        for sidecar in started:
            await sidecar.start_target()
        await asyncio.gather(*(each.start_daemon(directory) for each in started))
        for sidecar in started:
            await sidecar.wait_until_ready()
            await sidecar.wait_for_ready_targets(ready_targets or len(started))
        yield store, started
    finally:
        await asyncio.gather(*(each.stop() for each in started))
        await asyncio.gather(*(each.stop() for each in links))
        await store.stop()


def plain_sidecars(*services: str) -> Callable[[PlatformStore], list[Sidecar]]:
    """Return a function that creates one sidecar per service, from ``vm-1`` on."""
    return lambda store: [
        Sidecar(store=store, name=f"vm-{number}", service=service)
        for number, service in enumerate(services, 1)
    ]


def status_of(result: HttpResponse | ExchangeFailed) -> int:
    """Return the status; 0 if nothing was sent, -1 without a complete response."""
    if isinstance(result, HttpResponse):
        return result.status
    return -1 if result.sent else 0


def process_memory_kb(pid: int, field: str) -> int:
    """Return ``VmRSS`` or ``VmHWM`` (its highest value) of a process in kilobytes."""
    status = Path(f"/proc/{pid}/status").read_text()
    match = re.search(rf"^{field}:\s+(\d+) kB", status, re.MULTILINE)
    assert match is not None
    return int(match.group(1))


def memory_kb(sidecar: Sidecar, field: str) -> int:
    """Return ``process_memory_kb`` of the daemon."""
    assert sidecar.process is not None
    return process_memory_kb(sidecar.process.pid, field)


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Run ``main`` in an event loop of its own."""
    asyncio.run(main())  # type: ignore[arg-type]


async def until(condition: Callable[[], bool], seconds: float = 5) -> None:
    """Wait until ``condition`` holds; raise TimeoutError if it takes longer."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


class HeldRequests:
    """A handler of targets that holds each request until ``release`` is set.

    ``runs_by_attempt_id`` has the targets that began to run each request, and
    ``most_running`` the most requests that one target ran at the same time.
    """

    def __init__(self) -> None:
        self.release = asyncio.Event()
        self.runs_by_attempt_id: defaultdict[str, list[str]] = defaultdict(list)
        self.most_running = 0

    def serve_targets_of(self, *sidecars: Sidecar) -> None:
        """Handle the requests of the targets of ``sidecars`` from now on."""
        for sidecar in sidecars:
            sidecar.handle_request = self._handler_for(sidecar)

    def _handler_for(
        self, sidecar: Sidecar
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        running = 0

        async def handle(request: web.Request) -> web.StreamResponse:
            nonlocal running
            attempt_id = request.headers.get("X-Cassiasail-Attempt-Id", "")
            self.runs_by_attempt_id[attempt_id].append(sidecar.name)
            running += 1
            self.most_running = max(self.most_running, running)
            try:
                await self.release.wait()
            finally:
                running -= 1
            return sidecar.platform_response(request, f"ran {request.path}")

        return handle


def put_proxy_before(sidecar: Sidecar) -> LoopbackProxy:
    """Return a proxy at the address that ``sidecar`` publishes to other daemons."""
    address = sidecar.address_by_use["inbound"]
    published = Address(PROXY_HOST, address.port)
    sidecar.address_by_use["inbound"] = published
    return LoopbackProxy(listen=published, server=address)


@dataclass(frozen=True, slots=True, kw_only=True)
class RawRequest:
    """A request as read by a raw server: its path, headers and body."""

    method: str
    path: str
    header_by_name: dict[str, str]
    body: bytes = field(repr=False)

    @property
    def attempt_id(self) -> str:
        return self.header_by_name.get("x-cassiasail-attempt-id", "")


async def read_request(reader: asyncio.StreamReader) -> RawRequest:
    """Return the next request; raise IncompleteReadError when the client closes."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    method, path, _ = first.split(" ")
    pairs = (line.partition(":") for line in lines if line)
    header_by_name = {name.lower(): value.strip() for name, _, value in pairs}
    length = int(header_by_name.get("content-length", 0))
    return RawRequest(
        method=method,
        path=path,
        header_by_name=header_by_name,
        body=await reader.readexactly(length),
    )


RawHandler = Callable[[RawRequest, asyncio.StreamWriter], Awaitable[None]]


class RawServer:
    """Reads requests and lets ``handle`` write any bytes as the response."""

    def __init__(self, *, address: Address, handle: RawHandler) -> None:
        self._address = address
        self._handle = handle
        self._server: asyncio.Server | None = None
        self.open_connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self._address)

    async def stop(self) -> None:
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self.open_connections):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open_connections.add(writer)
        try:
            while True:
                await self._handle(await read_request(reader), writer)
        except (OSError, asyncio.IncompleteReadError):
            pass  # The daemon closed the connection.
        finally:
            self.open_connections.discard(writer)
            writer.transport.abort()


class RawTargetSidecar(Sidecar):
    """A sidecar whose target sends the bytes that ``handle`` writes.

    Its health checks are answered as by other targets.
    """

    def __init__(self, *, handle: RawHandler, **more: Any) -> None:
        super().__init__(**more)
        self._handle = handle
        self.server = RawServer(
            address=self.address_by_use["target"], handle=self._handle_or_check
        )

    async def start_target(self) -> None:
        await self.server.start()
        self.start_heartbeats()

    async def stop(self) -> None:
        await super().stop()
        await self.server.stop()

    async def _handle_or_check(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.path != "/healthz":
            await self._handle(request, writer)
            return
        header = f"X-Cassiasail-Instance-Id: {self.target_id}"
        writer.write(
            f"HTTP/1.1 200 OK\r\n{header}\r\ncontent-length: 0\r\n\r\n".encode()
        )


def raw_target_sidecars(
    *handlers: RawHandler,
) -> Callable[[PlatformStore], list[Sidecar]]:
    """Return a function that creates one sidecar of service one per handler."""
    return lambda store: [
        RawTargetSidecar(store=store, name=f"vm-{number}", service="one", handle=handle)
        for number, handle in enumerate(handlers)
    ]


class RawPeer:
    """A VM whose daemon sends the bytes that ``handle`` writes, beside one target."""

    def __init__(self, *, name: str, service: str, handle: RawHandler) -> None:
        self.name = name
        self._service = service
        self._handle = handle
        self.address = Address(HOST, reserve_port())
        self.server = RawServer(address=self.address, handle=self._handle_or_refuse)

    def publish(self, store: PlatformStore, *, slots: int = 4) -> None:
        """Write the record of this VM with a ready target."""
        record = HostRecord(
            host=self.name,
            address=self.address,
            data_centre=DataCentre("dc"),
            region=Region("region"),
            service=ServiceName(self._service),
            target=TargetId(f"i-{self.name}"),
            start_time_ms=1,
            slots=slots,
            state=TargetState.READY,
            # The slowest link, so that no daemon takes this VM as its sync source.
            link_mbps=1,
        )
        store.put("hosts", self.name, encode_record(record))

    async def _handle_or_refuse(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if "cs-call" in request.header_by_name:
            await self._handle(request, writer)
        else:
            writer.write(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n")


class AnswerEncoder(Protocol):
    """Returns the bytes of the answer to a request."""

    def __call__(self, request: RawRequest, *, echo: bool) -> bytes: ...


def answer_of_target(request: RawRequest, *, echo: bool) -> bytes:
    """Return the response of a target to ``request``, whose body is the path."""
    return encode_response(
        HttpResponse(
            status=200,
            headers=(
                (b"x-cassiasail-server-stamp", b"stamp"),
                *(((b"x-cassiasail-attempt-id", request.attempt_id.encode()),) * echo),
            ),
            body=request.path.encode(),
        ),
        method=request.method.encode(),
        close=False,
        idle_seconds=10,
    )


def answer_of_peer(request: RawRequest, *, echo: bool) -> bytes:
    """Return the reply of a host daemon whose target returned the path as its body.

    With ``echo`` it names its request, as daemons do.
    """
    attempt_id = request.header_by_name["cs-call"].rpartition(",")[2]
    reply = HostReply(
        outcome=HostOutcome.ANSWERED,
        response=TargetResponse(
            status=200,
            reason=b"OK",
            headers=((b"x-cassiasail-server-stamp", b"stamp"),),
            body=request.path.encode(),
        ),
    )
    response = peer_calls.encode_reply(reply, attempt_id=attempt_id if echo else "")
    return encode_response(
        response, method=request.method.encode(), close=False, idle_seconds=10
    )
