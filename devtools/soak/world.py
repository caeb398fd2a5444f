"""The parts of a soak: the store, VMs with their links, clients and targets."""

import asyncio
import hashlib
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from aiohttp import web

from cassiasail._internal.protocol.exchanges import (
    Address,
    ExchangeFailed,
    FailureReason,
)
from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.transport.http1.pool import ConnectionPool

from ..platform_stand_in import (
    PlatformStore,
    Sidecar,
    configuration,
    free_port,
    route,
)
from .ledger import Ledger, Run, Sent
from .proxy import LoopbackProxy

# Another address of the loopback range, where the proxies listen.
PROXY_HOST = "127.0.0.2"
SERVICES = ("one", "two")
CLIENTS_PER_VM = 3
# Pause of a client between two requests, and of the probe of the version in force.
THINK_SECONDS = 0.08
PROBE_SECONDS = 0.25
SUPERVISE_SECONDS = 0.1
CLIENT_SECONDS = 4.0
# A fault is over for planned work this long after its end, as for the users.
SETTLE_SECONDS = 3.0
MAX_BODY_PARTS = 400


def body_of(attempt: str) -> str:
    """Return the whole body that a target sends for ``attempt``."""
    parts = hashlib.blake2b(attempt.encode(), digest_size=2).digest()
    return f"{attempt};" * (1 + int.from_bytes(parts) % MAX_BODY_PARTS)


class SoakVm:
    """One VM: daemon process, target, and the proxied links between them."""

    def __init__(self, *, store: PlatformStore, name: str, service: str) -> None:
        self.sidecar = Sidecar(store=store, name=name, service=service)
        self.name = name
        self.incarnation = 0
        self.seen_version = 0
        self.stopping_since: float | None = None
        self.behaviour = ""
        self.busy = False
        # The daemon was asked to end, or killed, by a fault.
        self.ending = False
        addresses = self.sidecar.address_by_use
        self.link_by_use = {
            use: self._proxied(addresses[use]) for use in ("inbound", "target")
        }
        for use in self.link_by_use:
            addresses[use] = Address(PROXY_HOST, addresses[use].port)
        entrance = Address(PROXY_HOST, free_port())
        self.link_by_use["store"] = LoopbackProxy(listen=entrance, server=store.address)
        self.sidecar.store_address = entrance

    @property
    def life(self) -> str:
        """The present life of the target."""
        return f"{self.sidecar.target_id}/{self.sidecar.born}"

    @staticmethod
    def _proxied(server: Address) -> LoopbackProxy:
        return LoopbackProxy(listen=Address(PROXY_HOST, server.port), server=server)


class SoakWorld:
    """Everything that runs; faults change it from outside."""

    def __init__(self, *, vms: int, seed: int, directory: Path) -> None:
        # Traffic draws as often as time allows; faults of a seed must not depend on it.
        self.random = Random(f"traffic {seed}")
        self.fault_random = Random(seed)
        self.directory = directory
        self.ledger = Ledger()
        self.store = PlatformStore()
        self.version = 0
        self.vms = [
            SoakVm(
                store=self.store,
                name=f"vm-{number}",
                service=SERVICES[number % len(SERVICES)],
            )
            for number in range(vms)
        ]
        self._loop = asyncio.get_running_loop()
        self._unplanned = 0
        self._unplanned_ended = float("-inf")
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the store, targets, daemons and clients."""
        self.change_configuration()
        await self.store.start()
        for vm in self.vms:
            for link in vm.link_by_use.values():
                await link.start()
            vm.sidecar.answer = partial(self._answer, vm)
            await vm.sidecar.start_target()
            await self.start_daemon(vm)
        for vm in self.vms:
            await vm.sidecar.until_ready(20)
            await vm.sidecar.until_known(len(self.vms), 20)
        for vm in self.vms:
            self._tasks.append(asyncio.create_task(self._probe(vm)))
            self._tasks.append(asyncio.create_task(self._supervise(vm)))
            for number in range(CLIENTS_PER_VM):
                self._tasks.append(asyncio.create_task(self._client(vm, number)))

    async def stop(self) -> None:
        """End all that was started."""
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            await vm.sidecar.stop()
            for link in vm.link_by_use.values():
                await link.stop()
        await self.store.stop()

    async def start_daemon(self, vm: SoakVm) -> None:
        """Start a new life of the daemon of ``vm``."""
        vm.incarnation += 1
        vm.seen_version = 0
        vm.stopping_since = None
        await vm.sidecar.start_daemon(self.directory)
        vm.ending = False

    def change_configuration(self) -> None:
        """Write the next version; each one adds a route."""
        self.version += 1
        routes: dict[str, Any] = {service: route(service) for service in SERVICES}
        routes["orders"] = route("one", prefix="/orders/", kind="unsafe")
        for version in range(1, self.version + 1):
            routes[f"only-{version}"] = route("one", prefix=f"/only-{version}/")
        self.store.put("op", "config", configuration(self.version, routes))

    @contextmanager
    def unplanned(self) -> Iterator[None]:
        """Mark the time of a fault that is not planned work."""
        self._unplanned += 1
        try:
            yield
        finally:
            self._unplanned -= 1
            self._unplanned_ended = self._loop.time()

    def is_calm_since(self, time: float) -> bool:
        """Return whether nothing unplanned happened near or after ``time``."""
        return not self._unplanned and self._unplanned_ended + SETTLE_SECONDS < time

    async def _supervise(self, vm: SoakVm) -> None:
        """Start the daemon of ``vm`` again if it ends by itself."""
        while True:
            await asyncio.sleep(SUPERVISE_SECONDS)
            process = vm.sidecar.process
            assert process is not None
            if process.returncode is not None and not vm.ending:
                self.ledger.exits.append(f"{vm.name} with {process.returncode}")
                await self.start_daemon(vm)

    # Clients.

    async def _client(self, vm: SoakVm, number: int) -> None:
        pool = ConnectionPool(connect_timeout=1, ack_timeout=3, idle_timeout=10)
        count = 0
        while True:
            await asyncio.sleep(self.random.uniform(0, 2 * THINK_SECONDS))
            count += 1
            service = self.random.choice((*SERVICES, "orders"))
            sent = Sent(
                attempt=f"{vm.name}-{number}-{count}",
                service="one" if service == "orders" else service,
                safe=service != "orders",
                vm=vm.name,
                at=self._loop.time(),
            )
            await self._send(vm, pool, sent, f"/{service}/x")

    async def _send(
        self, vm: SoakVm, pool: ConnectionPool, sent: Sent, path: str
    ) -> None:
        self.ledger.sent[sent.attempt] = sent
        method = b"GET" if sent.safe else b"POST"
        headers = (
            (b"host", b"h"),
            (b"x-cassiasail-attempt-id", sent.attempt.encode()),
            (b"x-cassiasail-deadline-ms", b"3000"),
        )
        request = HttpRequest(method=method, target=path.encode(), headers=headers)
        address = vm.sidecar.address_by_use["outbound"]
        result = await pool.exchange(address, request, timeout=CLIENT_SECONDS)
        if isinstance(result, HttpResponse):
            sent.status = result.status
            if result.status == 200:
                stamped = result.header(b"x-cassiasail-server-stamp") is not None
                whole = result.body == body_of(sent.attempt).encode()
                sent.whole = stamped and whole
            return
        sent.lost = _is_cut(result)
        stopping = vm.stopping_since is not None
        sent.planned_stop = stopping and self.is_calm_since(sent.at)

    async def _probe(self, vm: SoakVm) -> None:
        """Watch that the daemon of ``vm`` never goes back to an older version."""
        pool = ConnectionPool(connect_timeout=1, ack_timeout=3, idle_timeout=10)
        count = 0
        while True:
            await asyncio.sleep(PROBE_SECONDS)
            count += 1
            wanted = max(vm.seen_version, self.random.choice((self.version, 1)))
            incarnation = vm.incarnation
            sent = Sent(
                attempt=f"{vm.name}-probe-{count}",
                service="one",
                safe=True,
                vm=vm.name,
                at=self._loop.time(),
                probe=True,
            )
            await self._send(vm, pool, sent, f"/only-{wanted}/x")
            if incarnation != vm.incarnation or sent.status in (0, 503):
                continue
            if sent.status != 404:
                vm.seen_version = max(vm.seen_version, wanted)
            elif wanted <= vm.seen_version:
                self.ledger.reverts.append(f"{vm.name} from version {wanted}")

    # Targets.

    async def _answer(self, vm: SoakVm, request: web.Request) -> web.StreamResponse:
        attempt = request.headers.get("X-Cassiasail-Attempt-Id", "")
        meant = request.headers.get("X-Cassiasail-Target-Instance", "")
        if meant != vm.sidecar.target_id:
            return web.Response(status=421, headers={"X-Cassiasail-Not-Run": "1"})
        service = vm.sidecar.service
        now = self._loop.time()
        self.ledger.runs.append(
            Run(attempt=attempt, service=service, life=vm.life, at=now)
        )
        slow = 1.0 if vm.behaviour == "slow" else 0.0
        await asyncio.sleep(self.random.uniform(0.005, 0.06) + slow)
        whole = vm.sidecar.stamped(request, body_of(attempt))
        if vm.behaviour == "fails" and self.random.random() < 0.3:
            return web.Response(status=500, headers=whole.headers)
        if vm.behaviour == "loses" and self.random.random() < 0.3:
            _abort(request)
        if vm.behaviour == "truncates" and self.random.random() < 0.3:
            return await _truncated(request, whole)
        return whole


def _is_cut(result: ExchangeFailed) -> bool:
    return result.sent and result.reason is not FailureReason.TIMED_OUT


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


async def _truncated(request: web.Request, whole: web.Response) -> web.StreamResponse:
    body = whole.body
    assert isinstance(body, bytes)
    part = web.StreamResponse(headers=whole.headers)
    part.content_length = len(body)
    await part.prepare(request)
    await part.write(body[: len(body) // 2])
    _abort(request)
    return part
