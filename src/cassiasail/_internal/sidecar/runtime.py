"""Parts of one sidecar daemon and how they are connected."""

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

from ...exceptions import SettingsError
from ...platform import readiness, requests
from ...platform.settings import SidecarSettings
from ...platform.table_store import TableStore
from .. import metrics
from ..background import BackgroundTasks
from ..coordination.mesh import peers
from ..coordination.mesh.balancing import Fleet, HostView
from ..coordination.mesh.budget import RetryBudget
from ..coordination.mesh.crashes import CrashHistory
from ..coordination.mesh.entry import RequestRouter
from ..coordination.mesh.hosting import TargetDispatcher
from ..coordination.mesh.probing import SuspectProber
from ..coordination.mesh.pruning import RecordPruner
from ..coordination.mesh.publishing import RecordPublisher
from ..events import EventLog
from ..protocol import peer_calls, table_sync
from ..protocol.exchanges import Address
from ..protocol.http1 import HttpRequest, HttpResponse
from ..state.calls import HostedRequest, HostReply
from ..state.hosts import TargetState
from ..state.mesh_config import ClientLimits
from ..transport.http1.pool import ConnectionPool
from ..transport.http1.server import HttpServer
from .own_target import OwnTarget
from .store_view import HOSTS_TABLE, StoreView

logger = logging.getLogger(__name__)

METRICS_PATH = b"/metrics"

# Opening a connection takes one round trip, 24 ms between regions; the rest is for a
# lost packet or a busy machine.
PEER_CONNECT_SECONDS = 0.4
# A peer that acknowledges nothing for this long is taken for lost; several lost
# packets in a row stay below it.
PEER_SILENCE_SECONDS = 1.2
# Below the idle time at which the other daemon closes the connection.
PEER_IDLE_SECONDS = 20.0
# The target is on the same VM; only a full queue of new connections takes longer.
TARGET_CONNECT_SECONDS = 0.5
TARGET_SILENCE_SECONDS = 1.0
# Targets say themselves how long they keep an idle connection; this bounds the others.
TARGET_IDLE_SECONDS = 60.0
# One round trip to another region and the time of a slow store.
STORE_CONNECT_SECONDS = 0.5
# Well inside the time in which a configuration must be in force.
STORE_SILENCE_SECONDS = 1.0
# Calls that wait for changes follow each other closely; an older connection is spare.
STORE_IDLE_SECONDS = 5.0
# The daemon stops this long before it would be killed, even with requests in flight:
# on a VM with 0.4 cores the end of the process itself takes up to 0.3 s.
KILL_MARGIN_SECONDS = 0.5
# Clients learn of the end from two missed questions, one a second; until then they may
# still connect. Whoever comes later could not be served to the end.
LINGER_SECONDS = 2.6
# How often a stopping daemon looks whether requests are still in flight.
POLL_SECONDS = 0.05
# Other daemons close idle connections before this one does.
DEFAULT_LIMITS = ClientLimits()
# Pause before background work that failed is started again.
RESTART_SECONDS = 1.0


def _own_limits() -> ClientLimits:
    return DEFAULT_LIMITS


class SidecarRuntime:
    """One daemon: its listeners, beliefs and background tasks."""

    def __init__(self, *, settings: SidecarSettings, events: EventLog) -> None:
        self._settings = settings
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._random = Random()
        self._stopping = False
        self._refusing = False
        self._build_pools()
        tables = TableStore(address=settings.store, pool=self._store_pool)
        self._crashes = CrashHistory(events=events)
        self._host = TargetDispatcher(
            pool=self._target_pool,
            codec=requests.TARGET_CODEC,
            crashes=self._crashes,
            on_crash=lambda death: self._target.target_died(death),
            events=events,
        )
        self._fleet = Fleet(
            data_centre=settings.data_centre,
            region=settings.region,
            own_host=settings.host,
            own_address=str(settings.peers),
            own_link_mbps=int(settings.link_mbps),
            random=self._random,
        )
        self._prober = SuspectProber(
            pool=self._peer_pool, events=events, random=self._random
        )
        self._budget = RetryBudget(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
            window=settings.retry_window,
        )
        self._entry = RequestRouter(
            config=lambda: self._view.config,
            fleet=self._fleet,
            budget=self._budget,
            forward=self._ask,
            suspect=self._prober.suspect,
            crashes=self._crashes,
            events=events,
            random=self._random,
        )
        self._build_beliefs(tables)
        self._build_servers()
        self._background = BackgroundTasks(failed=self._background_failed)

    def _build_pools(self) -> None:
        self._peer_pool = ConnectionPool(
            connect_timeout=PEER_CONNECT_SECONDS,
            silence=PEER_SILENCE_SECONDS,
            idle=PEER_IDLE_SECONDS,
        )
        self._target_pool = ConnectionPool(
            connect_timeout=TARGET_CONNECT_SECONDS,
            silence=TARGET_SILENCE_SECONDS,
            idle=TARGET_IDLE_SECONDS,
        )
        self._store_pool = ConnectionPool(
            connect_timeout=STORE_CONNECT_SECONDS,
            silence=STORE_SILENCE_SECONDS,
            idle=STORE_IDLE_SECONDS,
        )

    def _build_beliefs(self, tables: TableStore) -> None:
        settings = self._settings
        self._publisher = RecordPublisher(
            tables=tables,
            table=HOSTS_TABLE,
            key=settings.host,
            events=self._events,
            random=self._random,
        )
        self._pruner = RecordPruner(
            fleet=self._fleet,
            tables=tables,
            table=HOSTS_TABLE,
            pool=self._peer_pool,
            events=self._events,
        )
        self._target = OwnTarget(
            settings=settings,
            config=lambda: self._view.config,
            host=self._host,
            fleet=self._fleet,
            publisher=self._publisher,
            pool=self._target_pool,
            events=self._events,
        )
        self._view = StoreView(
            host=settings.host,
            config_apply=settings.config_apply,
            tables=tables,
            pool=self._peer_pool,
            fleet=self._fleet,
            crashes=self._crashes,
            own_row=self._publisher.observe,
            former_record=self._target.recall,
            unreachable=self._peer_unreachable,
            events=self._events,
            random=self._random,
        )

    def _build_servers(self) -> None:
        self._clients_server = HttpServer(
            handler=self._serve_client, limits=self._client_limits
        )
        self._peers_server = HttpServer(handler=self._serve_peer, limits=_own_limits)
        self._reports_server = HttpServer(
            handler=self._target.serve_report, limits=_own_limits
        )
        self._metrics_server = HttpServer(
            handler=self._serve_metrics, limits=_own_limits
        )
        self._readiness_server = HttpServer(
            handler=self._serve_readiness, limits=_own_limits
        )

    @property
    def ready(self) -> bool:
        """Whether clients should come to this daemon."""
        return not self._stopping and self._view.complete

    async def start(self, metrics_port: int | None) -> None:
        """Open the listeners and follow the store."""
        settings = self._settings
        if metrics_port is not None:
            await self._metrics_server.start(settings.address, metrics_port)
        for server, address in (
            (self._readiness_server, settings.readiness),
            (self._reports_server, settings.reports),
            (self._peers_server, settings.peers),
            (self._clients_server, settings.clients),
        ):
            await server.start(settings.address, address.port)
        for work in (
            self._view.run,
            self._publisher.run,
            self._target.watch,
            self._pruner.run,
        ):
            self._background.start(self._keep_running(work))
        self._events.write(
            "started",
            host=settings.host,
            data_centre=settings.data_centre,
            service=settings.service,
        )

    async def stop(self) -> None:
        """Take nothing new, finish what is in flight, and close everything."""
        started = self._loop.time()
        self._stopping = True
        self._events.write("stopping", in_flight=self._in_flight())
        self._host.stop_admitting()
        self._target.suspend()
        self._view.stop_serving()
        self._clients_server.drain()
        self._peers_server.drain()
        ends = started + self._settings.grace - KILL_MARGIN_SECONDS
        await asyncio.sleep(min(LINGER_SECONDS, ends - started))
        self._refusing = True
        self._clients_server.close_listener()
        while self._in_flight() and self._loop.time() < ends:
            await asyncio.sleep(POLL_SECONDS)
        self._events.write(
            "stopped",
            in_flight=self._in_flight(),
            took_ms=int((self._loop.time() - started) * 1000),
        )
        for server in (self._clients_server, self._peers_server):
            await server.stop()
        self._background.cancel()
        self._prober.stop()
        # What was written last needs a moment to leave.
        await asyncio.sleep(POLL_SECONDS)

    def reload(self, settings: SidecarSettings) -> None:
        """Take over changed settings as far as a running daemon can."""
        if settings.clients != self._settings.clients:
            raise SettingsError(["the listening addresses changed; restart the daemon"])
        self._settings = settings
        self._budget.configure(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
            window=settings.retry_window,
        )
        self._events.write("reloaded", service=settings.service)

    def _background_failed(self, error: BaseException) -> None:
        logger.error("background work ended", exc_info=error)
        self._events.write("background_failed", work="keep_running")

    async def _keep_running(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run background work until cancelled; a fault in it must not stay unseen."""
        while True:
            try:
                await work()
            except Exception:
                logger.exception("background work failed; it starts again")
                self._events.write("background_failed", work=work.__qualname__)
            await asyncio.sleep(RESTART_SECONDS)

    def _in_flight(self) -> int:
        return self._clients_server.active + self._peers_server.active

    def _client_limits(self) -> ClientLimits:
        config = self._view.config
        return DEFAULT_LIMITS if config is None else config.limits

    # Requests.

    async def _serve_client(self, request: HttpRequest) -> HttpResponse:
        call = requests.decode_request(request, caller=self._settings.service)
        if self._refusing:
            return requests.encode_answer(self._entry.refuse(call), call.attempt_id)
        return requests.encode_answer(await self._entry.serve(call), call.attempt_id)

    async def _serve_peer(self, request: HttpRequest) -> HttpResponse:
        query = table_sync.decode_query(request)
        if query is not None:
            return await self._view.serve(query)
        hosted = peer_calls.decode_request(request)
        if hosted is None:
            return HttpResponse(status=400)
        return peer_calls.encode_reply(await self._host.execute(hosted))

    async def _ask(self, view: HostView, hosted: HostedRequest) -> HostReply:
        if view.record.host == self._settings.host:
            return await self._host.execute(hosted)
        return await peers.forward(self._peer_pool, view.address, hosted)

    def _peer_unreachable(self, address: Address) -> None:
        for view in self._fleet.view_by_host.values():
            if view.address == address:
                self._prober.suspect(view, "peer_unreachable")

    async def _serve_readiness(self, request: HttpRequest) -> HttpResponse:
        return readiness.answer_readiness(request, ready=self.ready)

    async def _serve_metrics(self, request: HttpRequest) -> HttpResponse:
        if request.target.partition(b"?")[0] != METRICS_PATH:
            return HttpResponse(status=404)
        self._set_gauges()
        body, content_type = metrics.REGISTRY.text()
        headers = ((b"content-type", content_type.encode()),)
        return HttpResponse(status=200, headers=headers, body=body)

    def _set_gauges(self) -> None:
        config = self._view.config
        if config is not None:
            metrics.VERSION.set(config.version)
            for service in config.service_by_name:
                left = self._budget.remaining(service, len(self._fleet.view_by_host))
                metrics.MESH_RETRY_BUDGET.labels(service).set(left)
        load = self._host.load()
        for use in ("running", "waiting", "slots"):
            metrics.MESH_TARGET_SLOTS.labels(use).set(getattr(load, use))
        for table, age in self._view.age_by_table().items():
            metrics.MESH_TABLE_AGE.labels(table).set(age)
        states = Counter(
            view.record.state for view in self._fleet.view_by_host.values()
        )
        for state in TargetState:
            metrics.MESH_HOSTS.labels(state.value).set(states[state])
