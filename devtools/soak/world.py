"""The parts of a soak: the store, and VMs with links, clients and targets."""

import asyncio
import hashlib
from collections.abc import Iterator
from contextlib import closing, contextmanager
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
    route,
)
from ..reservations import reserve_port
from . import pipelining
from .ledger import Attempt, Ledger, Run
from .proxy import LoopbackProxy

# Loopback address on which the proxies listen, apart from that of the servers.
PROXY_HOST = "127.0.0.2"
SERVICES = ("one", "two")
CLIENTS_PER_VM = 3
# Mean pause of a client between two requests, and interval of the version probes.
MEAN_CLIENT_PAUSE_SECONDS = 0.08
# With more VMs clients pause for longer, since one process plays all of them.
VMS_AT_FULL_RATE = 8
PROBE_INTERVAL_SECONDS = 0.25
# Few enough that the connections of hostile clients reach the limit.
MAX_FDS = 256
SUPERVISION_INTERVAL_SECONDS = 0.1
CLIENT_TIMEOUT_SECONDS = 4.0
# Planned work counts as undisturbed when the last unplanned fault ended this long
# before it.
SETTLE_SECONDS = 3.0
MAX_BODY_PARTS = 400
# The first of some pipelined requests runs for longer than the grace of a stop.
LONG_SECONDS = 7.0
LONG_TIMEOUT_MS = 20000
LONG_SHARE = 0.1


def body_of(attempt_id: str) -> str:
    """Return the complete body that a target sends for ``attempt_id``."""
    parts = hashlib.blake2b(attempt_id.encode(), digest_size=2).digest()
    return f"{attempt_id};" * (1 + int.from_bytes(parts) % MAX_BODY_PARTS)


class SoakVm:
    """One VM: daemon process, target, and the proxied links between them."""

    def __init__(self, *, store: PlatformStore, name: str, service: str) -> None:
        self.sidecar = Sidecar(store=store, name=name, service=service)
        self.sidecar.max_fds = MAX_FDS
        self.name = name
        self.daemon_incarnation = 0
        self.seen_version = 0
        self.stopping_since: float | None = None
        self.behaviour = ""
        # Held while a fault concerns this VM.
        self.fault_lock = asyncio.Lock()
        # A fault has stopped or killed the daemon.
        self.exit_expected = False
        addresses = self.sidecar.address_by_use
        self.link_by_use = {
            use: self._proxy_for(addresses[use]) for use in ("inbound", "target")
        }
        for use in self.link_by_use:
            addresses[use] = Address(PROXY_HOST, addresses[use].port)
        proxy_address = Address(PROXY_HOST, reserve_port())
        self.link_by_use["store"] = LoopbackProxy(
            listen=proxy_address, server=store.address
        )
        self.sidecar.store_address = proxy_address

    @property
    def target_incarnation(self) -> str:
        """Identifier of the current incarnation of the target."""
        return f"{self.sidecar.target_id}/{self.sidecar.start_time_ms}"

    @staticmethod
    def _proxy_for(server: Address) -> LoopbackProxy:
        return LoopbackProxy(listen=Address(PROXY_HOST, server.port), server=server)


class SoakWorld:
    """Everything that runs in a soak; faults change it from outside."""

    def __init__(self, *, vms: int, seed: int, directory: Path) -> None:
        # Traffic draws as often as timing allows; the faults are drawn before it.
        self.traffic_random = Random(f"traffic {seed}")
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
        self._unplanned_faults = 0
        self._last_unplanned_end = float("-inf")
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the store, targets, daemons and clients."""
        self.change_configuration()
        await self.store.start()
        for vm in self.vms:
            for link in vm.link_by_use.values():
                await link.start()
            vm.sidecar.handle_request = partial(self._handle_request, vm)
            await vm.sidecar.start_target()
            await self.start_daemon(vm)
        for vm in self.vms:
            await vm.sidecar.wait_until_ready(20)
            await vm.sidecar.wait_for_ready_targets(len(self.vms), 20)
        for vm in self.vms:
            self._tasks.append(asyncio.create_task(self._probe_version(vm)))
            self._tasks.append(asyncio.create_task(self._supervise(vm)))
            for number in range(CLIENTS_PER_VM):
                self._tasks.append(asyncio.create_task(self._run_client(vm, number)))
            self._tasks.append(asyncio.create_task(self._run_pipelining_client(vm)))
            self._tasks.append(asyncio.create_task(self._run_persistent_client(vm)))

    async def stop(self) -> None:
        """Stop everything that was started."""
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            await vm.sidecar.stop()
            for link in vm.link_by_use.values():
                await link.stop()
        await self.store.stop()

    async def start_daemon(self, vm: SoakVm) -> None:
        """Start a new incarnation of the daemon of ``vm``."""
        vm.daemon_incarnation += 1
        vm.seen_version = 0
        vm.stopping_since = None
        await vm.sidecar.start_daemon(self.directory)
        vm.exit_expected = False

    def change_configuration(self) -> None:
        """Write the next version; each one adds a route."""
        self.version += 1
        self.write_configuration()

    def write_configuration(self) -> None:
        """Write the newest version, also if the store had it before."""
        routes: dict[str, Any] = {service: route(service) for service in SERVICES}
        routes["orders"] = route("one", prefix="/orders/", kind="unsafe")
        routes["long"] = route("one", prefix="/long/", timeoutMs=LONG_TIMEOUT_MS)
        for version in range(1, self.version + 1):
            routes[f"only-{version}"] = route("one", prefix=f"/only-{version}/")
        self.store.put("op", "config", configuration(self.version, routes))

    @contextmanager
    def unplanned_fault(self) -> Iterator[None]:
        """Mark the time of a fault that is not a planned operation."""
        self._unplanned_faults += 1
        try:
            yield
        finally:
            self._unplanned_faults -= 1
            self._last_unplanned_end = self._loop.time()

    def no_unplanned_fault_since(self, time: float) -> bool:
        """Return whether no unplanned fault ran shortly before or after ``time``."""
        return (
            not self._unplanned_faults
            and self._last_unplanned_end + SETTLE_SECONDS < time
        )

    async def _supervise(self, vm: SoakVm) -> None:
        """Restart the daemon of ``vm`` and record its exit if no fault caused it."""
        while True:
            await asyncio.sleep(SUPERVISION_INTERVAL_SECONDS)
            process = vm.sidecar.process
            assert process is not None
            if process.returncode is not None and not vm.exit_expected:
                self.ledger.unexpected_exits.append(
                    f"{vm.name} with {process.returncode}"
                )
                await self.start_daemon(vm)

    # Clients.

    async def _run_client(self, vm: SoakVm, number: int) -> None:
        pool = ConnectionPool(connect_timeout=1, ack_timeout=3, idle_timeout=10)
        count = 0
        while True:
            await self._pause()
            count += 1
            service = self.traffic_random.choice((*SERVICES, "orders"))
            sent = Attempt(
                attempt_id=f"{vm.name}-{number}-{count}",
                service="one" if service == "orders" else service,
                safe=service != "orders",
                vm=vm.name,
                sent_at=self._loop.time(),
            )
            await self._send(vm, pool, sent, f"/{service}/x")

    async def _send(
        self, vm: SoakVm, pool: ConnectionPool, sent: Attempt, path: str
    ) -> None:
        self.ledger.sent[sent.attempt_id] = sent
        method = b"GET" if sent.safe else b"POST"
        headers = (
            (b"host", b"h"),
            (b"x-cassiasail-attempt-id", sent.attempt_id.encode()),
            (b"x-cassiasail-deadline-ms", b"3000"),
        )
        request = HttpRequest(method=method, target=path.encode(), headers=headers)
        address = vm.sidecar.address_by_use["outbound"]
        result = await pool.exchange(address, request, timeout=CLIENT_TIMEOUT_SECONDS)
        if isinstance(result, HttpResponse):
            sent.status = result.status
            if result.status == 200:
                has_stamp = result.header(b"x-cassiasail-server-stamp") is not None
                body_matches = result.body == body_of(sent.attempt_id).encode()
                sent.response_valid = has_stamp and body_matches
            return
        if _connection_lost_after_send(result):
            self._record_lost(vm, sent)

    def _record_lost(self, vm: SoakVm, sent: Attempt) -> None:
        sent.lost = True
        daemon_stopping = vm.stopping_since is not None
        sent.during_planned_stop = daemon_stopping and self.no_unplanned_fault_since(
            sent.sent_at
        )

    async def _run_pipelining_client(self, vm: SoakVm) -> None:
        """Send safe requests without waiting for the responses to earlier ones."""
        count = 0
        while True:
            await self._pause()
            connection = await pipelining.connect(vm.sidecar.address_by_use["outbound"])
            if connection is None:
                continue
            for _ in range(pipelining.BATCHES_PER_CONNECTION):
                for position in range(self.traffic_random.randint(2, 4)):
                    count += 1
                    is_long = not position and self._draws_long_request()
                    service = "long" if is_long else "two"
                    sent = Attempt(
                        attempt_id=f"{vm.name}-pipelined-{count}-{service}",
                        service="one" if is_long else service,
                        safe=True,
                        vm=vm.name,
                        sent_at=self._loop.time(),
                    )
                    self.ledger.sent[sent.attempt_id] = sent
                    connection.send(sent.attempt_id, f"/{service}/x", LONG_TIMEOUT_MS)
                await self._receive(connection)
                if connection.unanswered or connection.closing:
                    break
            for attempt_id in connection.unanswered:
                self._record_lost(vm, self.ledger.sent[attempt_id])
            connection.close()

    async def _receive(self, connection: pipelining.PipeliningConnection) -> None:
        """Record the responses to all requests of ``connection``."""
        async for attempt_id, status, body in connection.responses():
            sent = self.ledger.sent[attempt_id]
            sent.status = status
            sent.response_valid = status != 200 or body == body_of(attempt_id).encode()

    async def _run_persistent_client(self, vm: SoakVm) -> None:
        """Use each connection until the daemon ends it, whatever it announces."""
        count = 0
        while True:
            await self._pause()
            connection = await pipelining.connect(vm.sidecar.address_by_use["outbound"])
            if connection is None:
                continue
            with closing(connection):
                while not connection.unanswered:
                    await self._pause()
                    count += 1
                    sent = Attempt(
                        attempt_id=f"{vm.name}-persistent-{count}",
                        service="two",
                        safe=True,
                        vm=vm.name,
                        sent_at=self._loop.time(),
                        # The daemon need not answer behind its last response.
                        is_probe=connection.closing,
                    )
                    self.ledger.sent[sent.attempt_id] = sent
                    connection.send(sent.attempt_id, "/two/x", 3000)
                    await self._receive(connection)
                    if not sent.status:
                        self._record_lost(vm, sent)

    async def _pause(self) -> None:
        mean = MEAN_CLIENT_PAUSE_SECONDS * max(1.0, len(self.vms) / VMS_AT_FULL_RATE)
        await asyncio.sleep(self.traffic_random.uniform(0, 2 * mean))

    def _draws_long_request(self) -> bool:
        """Draw a long request; none is sent when requests are judged at the end."""
        judged = self.ledger.judged_from != float("inf")
        return not judged and self.traffic_random.random() < LONG_SHARE

    async def _probe_version(self, vm: SoakVm) -> None:
        """Check that the daemon of ``vm`` never returns to an older version."""
        pool = ConnectionPool(connect_timeout=1, ack_timeout=3, idle_timeout=10)
        count = 0
        while True:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            count += 1
            wanted = max(vm.seen_version, self.traffic_random.choice((self.version, 1)))
            daemon_incarnation = vm.daemon_incarnation
            sent = Attempt(
                attempt_id=f"{vm.name}-probe-{count}",
                service="one",
                safe=True,
                vm=vm.name,
                sent_at=self._loop.time(),
                is_probe=True,
            )
            await self._send(vm, pool, sent, f"/only-{wanted}/x")
            if daemon_incarnation != vm.daemon_incarnation or sent.status in (0, 503):
                continue
            if sent.status != 404:
                vm.seen_version = max(vm.seen_version, wanted)
            elif wanted <= vm.seen_version:
                self.ledger.version_reverts.append(f"{vm.name} from version {wanted}")

    # Targets.

    async def _handle_request(
        self, vm: SoakVm, request: web.Request
    ) -> web.StreamResponse:
        attempt_id = request.headers.get("X-Cassiasail-Attempt-Id", "")
        addressed_target = request.headers.get("X-Cassiasail-Target-Instance", "")
        if addressed_target != vm.sidecar.target_id:
            return web.Response(status=421, headers={"X-Cassiasail-Not-Run": "1"})
        service = vm.sidecar.service
        now = self._loop.time()
        self.ledger.runs.append(
            Run(
                attempt_id=attempt_id,
                service=service,
                target_incarnation=vm.target_incarnation,
                started_at=now,
            )
        )
        delay = 1.0 if vm.behaviour == "slow" else 0.0
        if request.path.startswith("/long/"):
            delay += LONG_SECONDS
        await asyncio.sleep(self.traffic_random.uniform(0.005, 0.06) + delay)
        response = vm.sidecar.platform_response(request, body_of(attempt_id))
        if vm.behaviour == "fails" and self.traffic_random.random() < 0.3:
            return web.Response(status=500, headers=response.headers)
        if vm.behaviour == "loses" and self.traffic_random.random() < 0.3:
            _abort(request)
        if vm.behaviour == "truncates" and self.traffic_random.random() < 0.3:
            return await _truncated_response(request, response)
        return response


def _connection_lost_after_send(result: ExchangeFailed) -> bool:
    return result.sent and result.reason is not FailureReason.TIMED_OUT


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


async def _truncated_response(
    request: web.Request, response: web.Response
) -> web.StreamResponse:
    body = response.body
    assert isinstance(body, bytes)
    truncated = web.StreamResponse(headers=response.headers)
    truncated.content_length = len(body)
    await truncated.prepare(request)
    await truncated.write(body[: len(body) // 2])
    _abort(request)
    return truncated
