"""A fleet of entry and host daemons on virtual time that counts arrivals at targets.

The routers, dispatchers and budgets are the real ones; connections, targets and clients
are simulated. Targets of ``FRONT`` make ``CALLS_PER_RUN`` calls to ``BACK`` for each
request that they run, through the daemon of their own VM. A run of a retry makes its
calls again, so these calls count as retries at ``BACK``. A run fails if a call fails.
"""

import asyncio
from bisect import bisect_right
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from random import Random

from cassiasail._internal.awake_clock import AwakeClock
from cassiasail._internal.coordination.mesh.balancing import Fleet, HostView
from cassiasail._internal.coordination.mesh.budget import RetryBudget
from cassiasail._internal.coordination.mesh.crashes import CrashHistory
from cassiasail._internal.coordination.mesh.entry import RequestRouter
from cassiasail._internal.coordination.mesh.hosting import TargetDispatcher
from cassiasail._internal.coordination.mesh.registration import TargetHeartbeat
from cassiasail._internal.ids import (
    DaemonStart,
    DataCentre,
    Region,
    ServiceName,
    TargetId,
)
from cassiasail._internal.protocol.exchanges import (
    Address,
    ExchangeFailed,
    ResponseMatch,
)
from cassiasail._internal.protocol.http1 import HttpRequest, HttpResponse
from cassiasail._internal.state.calls import (
    ClientRequest,
    HostedRequest,
    HostReply,
    TargetResponse,
)
from cassiasail._internal.state.hosts import HostRecord, TargetState
from cassiasail._internal.state.mesh_config import MeshConfig, WeightedService
from cassiasail._internal.state.table_mirror import StoreVersion
from cassiasail.platform.requests import TARGET_CODEC
from tests.lib.events import null_event_log
from tests.lib.meshes import ONE, ROUTE, TWO, config_of

FRONT, BACK = ONE, TWO
CALLS_PER_RUN = 2
SLOTS = 6
RUN_SECONDS = {FRONT: 0.2, BACK: 0.05}
# Marks the calls of a run that was itself a retry.
CALL_OF_RETRY = "retry-"
SERVICES = (FRONT, BACK)
STAMP = (b"x-cassiasail-server-stamp", b"stamp")
SHED = HttpResponse(status=503, headers=((b"x-cassiasail-not-run", b"1"),))


@dataclass(slots=True)
class Arrivals:
    """Times of the requests for one service and of the repeats that reached targets."""

    requests: list[float] = field(default_factory=list)
    repeats: list[float] = field(default_factory=list)

    def excess(self, *, ratio: float, slack: float, window: float) -> float:
        """Return by how much a sliding window exceeds the limit; negative if none does.

        The limit follows the requests of the same window, the one before it or the
        one half a window before it, whichever has most.
        """

        requests, repeats = sorted(self.requests), sorted(self.repeats)

        def count(times: list[float], end: float) -> int:
            return bisect_right(times, end) - bisect_right(times, end - window)

        def limit(end: float) -> float:
            shifts = (0.0, window / 2, window)
            most = max(count(requests, end - shift) for shift in shifts)
            return slack + ratio * most

        return max((count(repeats, end) - limit(end) for end in repeats), default=0.0)


class RetryWorld:
    """``daemons`` VMs, half of them with a target of each service.

    ``sheds(service, now)`` is the share of its arrivals that a target sheds. A share
    ``skew`` of all client requests arrive at the first tenth of the VMs.
    """

    def __init__(
        self,
        *,
        daemons: int,
        slack: float,
        sheds: Callable[[ServiceName, float], float],
        skew: float = 0.1,
        seed: int = 1,
    ) -> None:
        self.random = Random(seed)
        self.daemons = daemons
        self.slack = slack
        self.sheds = sheds
        self.skew = skew
        self.arrivals_by_service = {service: Arrivals() for service in SERVICES}
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        back = replace(
            ROUTE,
            name="back",
            prefix="/back/",
            split=(WeightedService(service=BACK, weight=1),),
        )
        self.config = config_of(replace(ROUTE, max_attempts=3), back)
        self.records = [self._record(number) for number in range(daemons)]
        self.dispatchers: list[TargetDispatcher] = []
        self.routers: list[RequestRouter] = []
        self._tasks: set[asyncio.Task[object]] = set()
        self._number = 0
        self._seen: set[str] = set()
        for number in range(daemons):
            self.dispatchers.append(self._dispatcher(number))
            self.routers.append(self._router(number))

    @property
    def now(self) -> float:
        return self.loop.time() - self.started_at

    def restart(self, number: int) -> None:
        """Restart the daemon of one VM; it forgets what it has counted."""
        self.dispatchers[number] = self._dispatcher(number)
        self.routers[number] = self._router(number)

    async def play(
        self,
        *,
        seconds: float,
        per_second: float,
        restarts: Mapping[float, list[int]] | None = None,
    ) -> None:
        """Send client requests to ``FRONT`` and ``BACK`` at even intervals."""
        waiting = dict(restarts or {})
        while self.now < seconds:
            for at in [at for at in waiting if at <= self.now]:
                for number in waiting.pop(at):
                    self.restart(number)
            for path in (b"/a/x", b"/back/x"):
                request = self._request(self._entry_vm(), path, "")
                task: asyncio.Task[object] = self.loop.create_task(request)
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / per_second)
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _entry_vm(self) -> int:
        if self.random.random() < self.skew:
            return self.random.randrange(max(1, self.daemons // 10))
        return self.random.randrange(self.daemons)

    async def _request(self, number: int, path: bytes, mark: str) -> bool:
        """Send one request to the daemon of a VM and return whether it was served."""
        self._number += 1
        service = FRONT if path.startswith(b"/a/") else BACK
        self.arrivals_by_service[service].requests.append(self.now)
        response = await self.routers[number].serve(
            ClientRequest(
                attempt_id=f"{mark}{self._number}",
                method=b"GET",
                host="h",
                request_target=path,
                headers=(),
                body=b"",
                client_service=self.records[number].service,
                arrived_at=self.loop.time(),
                remaining_time=1.5,
            )
        )
        return isinstance(response, TargetResponse) and response.status == 200

    async def run_on_target(self, number: int, request: HttpRequest) -> HttpResponse:
        """Run or shed one request on the target of a VM, and count its arrival."""
        service = self.records[number].service
        attempt = (request.header(b"x-cassiasail-attempt-id") or b"").decode()
        repeat = attempt in self._seen or attempt.startswith(CALL_OF_RETRY)
        self._seen.add(attempt)
        if repeat:
            self.arrivals_by_service[service].repeats.append(self.now)
        if self.random.random() < self.sheds(service, self.now):
            await asyncio.sleep(0.002)
            return SHED
        await asyncio.sleep(RUN_SECONDS[service])
        if service == BACK:
            return HttpResponse(status=200, headers=(STAMP,))
        mark = CALL_OF_RETRY if repeat else ""
        calls = [self._request(number, b"/back/x", mark) for _ in range(CALLS_PER_RUN)]
        served = all(await asyncio.gather(*calls))
        return HttpResponse(status=200 if served else 500, headers=(STAMP,))

    def _record(self, number: int) -> HostRecord:
        return HostRecord(
            host=f"vm-{number}",
            address=Address(f"10.0.{number // 250}.{number % 250}", 80),
            data_centre=DataCentre("dc"),
            region=Region("r"),
            service=SERVICES[number % 2],
            target=TargetId(f"i-{number}"),
            start_time_ms=1,
            slots=SLOTS,
            state=TargetState.READY,
            link_mbps=100,
        )

    def _dispatcher(self, number: int) -> TargetDispatcher:
        record = self.records[number]
        dispatcher = TargetDispatcher(
            pool=_TargetPool(world=self, number=number),
            codec=TARGET_CODEC,
            crashes=CrashHistory(events=null_event_log()),
            on_crash=lambda crash: None,
            on_leaving=lambda incarnation: None,
            daemon_start=DaemonStart(record.host),
            awake=AwakeClock(),
            events=null_event_log(),
        )
        dispatcher.set_target(
            TargetHeartbeat(
                target=record.target,
                start_time_ms=1,
                sequence=1,
                service=record.service,
                address=record.address,
                slots=SLOTS,
                leaving=False,
                cold_seconds=0,
            )
        )
        return dispatcher

    def _router(self, number: int) -> RequestRouter:
        fleet = Fleet(
            data_centre=DataCentre("dc"),
            region=Region("r"),
            own_host=self.records[number].host,
            own_address=self.records[number].address,
            own_link_mbps=100,
            random=self.random,
        )
        for version, record in enumerate(self.records, 1):
            fleet.update(record, StoreVersion(era=0, number=version))
        return RequestRouter(
            config=self._config,
            fleet=fleet,
            budget=RetryBudget(ratio=0.2, slack=self.slack, window=10),
            forward=self._forward,
            suspect=lambda view, reason: None,
            target_retry_share=lambda: self.dispatchers[number].retry_share,
            crashes=CrashHistory(events=null_event_log()),
            awake=AwakeClock(),
            events=null_event_log(),
            random=self.random,
        )

    def _config(self) -> MeshConfig:
        return self.config

    async def _forward(self, view: HostView, hosted: HostedRequest) -> HostReply:
        await asyncio.sleep(0.002)
        number = int(view.record.host.removeprefix("vm-"))
        return await self.dispatchers[number].execute(hosted)


@dataclass(frozen=True, slots=True, kw_only=True)
class _TargetPool:
    """The connections of one host daemon to its simulated target."""

    world: RetryWorld
    number: int

    async def exchange(
        self,
        address: Address,
        request: HttpRequest,
        *,
        timeout: float,
        match: Callable[[HttpResponse], ResponseMatch] | None = None,
        max_idle: float | None = None,
        grace: float = 0.0,
    ) -> HttpResponse | ExchangeFailed:
        return await self.world.run_on_target(self.number, request)

    def close_idle(self, address: Address) -> None:
        pass
