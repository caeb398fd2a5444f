"""Creates and connects the components of one sidecar daemon."""

import asyncio
import itertools
import logging
import os
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random

from ...exceptions import SettingsError
from ...platform import readiness, requests
from ...platform.settings import SidecarSettings
from ...platform.table_store import TableStore
from .. import metrics
from ..awake_clock import AwakeClock
from ..background import BackgroundTasks
from ..clock import SystemClock
from ..coordination.mesh import peers
from ..coordination.mesh.balancing import Fleet, HostView
from ..coordination.mesh.budget import RetryBudget
from ..coordination.mesh.crashes import CrashHistory
from ..coordination.mesh.entry import RequestRouter
from ..coordination.mesh.final_responses import OutcomeUnknown
from ..coordination.mesh.hosting import TargetDispatcher
from ..coordination.mesh.probing import SuspectProber
from ..coordination.mesh.pruning import RecordPruner
from ..coordination.mesh.publishing import RecordPublisher
from ..coordination.mesh.quotas.exchange import AccountQuotas
from ..events import EventLog
from ..ids import DaemonStart
from ..protocol import peer_calls, table_sync, token_calls
from ..protocol.exchanges import Address
from ..protocol.http1 import HttpRequest, HttpResponse
from ..state.calls import (
    ClientRequest,
    HostedRequest,
    HostReason,
    HostReply,
    RequestNumber,
)
from ..state.client_accounts import ClientAccounts
from ..state.hosts import TargetState
from ..state.mesh_config import ClientLimits, MeshConfig
from ..transport.connection_table import SERVICE_HELD_UP_SECONDS
from ..transport.descriptors import shares_of
from ..transport.http1.link_pacer import LinkPacer
from ..transport.http1.memory import (
    MAX_REQUEST_BODIES_BYTES,
    MAX_RESPONSE_BODIES_BYTES,
    MAX_UNSENT_BYTES,
    BodyMemory,
    UnsentResponses,
    limit_for,
)
from ..transport.http1.pool import ConnectionPool
from ..transport.http1.server import HttpServer
from ..transport.http1.service import Handler
from ..transport.rationed_page import RationedPage
from ..transport.reading_turns import ReadingTurns
from .own_target import OwnTarget
from .store_view import HOSTS_TABLE, StoreView

logger = logging.getLogger(__name__)

METRICS_PATH = b"/metrics"

# Opening a connection takes one round trip, 24 ms between regions. The rest allows for
# a lost packet or a busy machine.
PEER_CONNECT_TIMEOUT_SECONDS = 0.4
# A peer that acknowledges no sent bytes for this long counts as unreachable. Several
# lost packets in a row don't reach this limit.
PEER_ACK_TIMEOUT_SECONDS = 1.2
# Shorter than the time after which the other daemon closes an idle connection.
PEER_IDLE_TIMEOUT_SECONDS = 20.0
# The target runs on the same VM, so only a full accept queue delays a connection for
# longer.
TARGET_CONNECT_TIMEOUT_SECONDS = 0.5
TARGET_ACK_TIMEOUT_SECONDS = 1.0
# Applies to targets that send no idle timeout of their own in the Keep-Alive header.
TARGET_IDLE_TIMEOUT_SECONDS = 60.0
# Covers one round trip to another region and a slow store.
STORE_CONNECT_TIMEOUT_SECONDS = 0.5
# Well below the time within which a new configuration must be applied.
STORE_ACK_TIMEOUT_SECONDS = 1.0
# Long polls for changes follow each other closely, so a connection that is idle for
# longer is no longer needed.
STORE_IDLE_TIMEOUT_SECONDS = 5.0
# The daemon stops this long before SIGKILL is due, even with requests in flight. The
# last responses take up to 0.15 s, and process exit up to 0.3 s on a VM with 0.4 cores.
KILL_MARGIN_SECONDS = 0.5
# How long the daemon waits before it exits for clients to receive their last responses
# and to close the connections. Unread bytes of a client at the exit would reset its
# connection, and responses on the way would be lost.
LAST_RESPONSES_SECONDS = 0.15
# A stopping daemon accepts clients for this long. Clients stop using it after two
# failed readiness checks, one a second, and may connect until then. A request that
# arrives later might not finish before the process exits.
ACCEPT_WHILE_STOPPING_SECONDS = 2.6
# How often a stopping daemon checks whether requests are still in flight.
IN_FLIGHT_POLL_SECONDS = 0.05
# Limits of the listeners for the target, the platform and operators, and of those for
# clients and other daemons until a configuration is loaded. Other daemons close idle
# connections before this one does.
DEFAULT_LIMITS = ClientLimits()
# Random bytes that identify a start of the daemon: enough for no two starts of a fleet
# to be the same in its life.
DAEMON_START_BYTES = 8
BYTES_PER_MB = 1 << 20
BYTES_PER_MEGABIT = 125_000
# Requests behind others may use this share of the connections to hosts.
PIPELINED_SHARE = 0.5
# Memory for requests of the platform and operators, and as much for their responses.
MAX_SERVICE_BYTES = 4 << 20
# Requests of the platform or of an operator that one connection may have unanswered.
MAX_SERVICE_REQUESTS = 16
# The text of the metrics is made again only if that takes at most this share of the
# time; a scrape that comes earlier gets the last text.
SCRAPE_SHARE = 0.05
# Delay before background work that ended or failed is restarted.
RESTART_DELAY_SECONDS = 1.0


def _default_limits() -> ClientLimits:
    return DEFAULT_LIMITS


class SidecarRuntime:
    """One sidecar daemon: listeners, connection pools, components, background tasks."""

    def __init__(self, *, settings: SidecarSettings, events: EventLog) -> None:
        self._settings = settings
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._random = Random()
        self._clock = SystemClock()
        self._awake = AwakeClock()
        self._daemon_start = DaemonStart(os.urandom(DAEMON_START_BYTES).hex())
        self._request_numbers = itertools.count(1)
        self._stopping = False
        self._refusing_clients = False
        self._build_pools()
        tables = TableStore(address=settings.store_address, pool=self._store_pool)
        self._crashes = CrashHistory(
            events=events,
            answered=lambda request: self._own_target.acquit(request),
        )
        self._dispatcher = TargetDispatcher(
            pool=self._target_pool,
            codec=requests.TARGET_CODEC,
            crashes=self._crashes,
            on_crash=lambda crash: self._own_target.record_crash(crash),
            on_leaving=lambda target: self._own_target.mark_leaving(target),
            daemon_start=self._daemon_start,
            awake=self._awake,
            events=events,
            link=self._pacer,
        )
        self._fleet = Fleet(
            data_centre=settings.data_centre,
            region=settings.region,
            own_host=settings.host,
            own_address=settings.peers_address,
            own_link_mbps=int(settings.link_mbps),
            random=self._random,
        )
        self._prober = SuspectProber(
            pool=self._peer_pool, events=events, random=self._random
        )
        self._budget = RetryBudget(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
            window=settings.retry_window_seconds,
            first_start=settings.first_start,
        )
        self._quotas = AccountQuotas(
            own_host=settings.host,
            views=lambda: self._fleet.view_by_host,
            accounts=self._client_accounts,
            pool=self._peer_pool,
            first_start=settings.first_start,
            random=self._random,
        )
        self._router = RequestRouter(
            config=lambda: self._store_view.config,
            fleet=self._fleet,
            budget=self._budget,
            forward=self._forward,
            suspect=self._prober.suspect,
            target_retry_share=lambda: self._dispatcher.retry_share,
            crashes=self._crashes,
            awake=self._awake,
            events=events,
            random=self._random,
            quotas=self._quotas,
        )
        self._build_store_components(tables)
        self._build_servers()
        self._background = BackgroundTasks(failed=self._background_failed)

    def _memory_limit(self, limit: int) -> int:
        """Return ``limit``, or less on a VM with little memory."""
        return limit_for(self._settings.memory_mb * BYTES_PER_MB, limit)

    def _build_pools(self) -> None:
        memory = BodyMemory(limit=self._memory_limit(MAX_RESPONSE_BODIES_BYTES))
        self._descriptors = shares_of(self._settings.max_descriptors)
        link_bytes = self._settings.link_mbps * BYTES_PER_MEGABIT
        self._pacer = LinkPacer(bytes_per_second=link_bytes) if link_bytes else None
        self._peer_pool = ConnectionPool(
            connect_timeout=PEER_CONNECT_TIMEOUT_SECONDS,
            ack_timeout=PEER_ACK_TIMEOUT_SECONDS,
            idle_timeout=PEER_IDLE_TIMEOUT_SECONDS,
            memory=memory,
            pacer=self._pacer,
            max_connections=self._descriptors.hosts,
            use="hosts",
        )
        self._target_pool = ConnectionPool(
            connect_timeout=TARGET_CONNECT_TIMEOUT_SECONDS,
            ack_timeout=TARGET_ACK_TIMEOUT_SECONDS,
            idle_timeout=TARGET_IDLE_TIMEOUT_SECONDS,
            memory=memory,
            max_connections=self._descriptors.target,
            use="target",
        )
        self._store_pool = ConnectionPool(
            connect_timeout=STORE_CONNECT_TIMEOUT_SECONDS,
            ack_timeout=STORE_ACK_TIMEOUT_SECONDS,
            idle_timeout=STORE_IDLE_TIMEOUT_SECONDS,
            memory=memory,
        )

    def _build_store_components(self, tables: TableStore) -> None:
        """Create the components that read or write the tables of the store."""
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
        self._own_target = OwnTarget(
            settings=settings,
            config_once_loaded=self._config_once_loaded,
            dispatcher=self._dispatcher,
            fleet=self._fleet,
            publisher=self._publisher,
            pool=self._target_pool,
            daemon_start=self._daemon_start,
            awake=self._awake,
            events=self._events,
        )
        self._store_view = StoreView(
            host=settings.host,
            config_apply_seconds=settings.config_apply_seconds,
            first_start=settings.first_start,
            tables=tables,
            pool=self._peer_pool,
            fleet=self._fleet,
            crashes=self._crashes,
            own_row_changed=self._publisher.observe,
            records_restored=self._publisher.observe_restore,
            previous_record_found=self._own_target.apply_stored_record,
            peer_unreachable=self._peer_unreachable,
            awake=self._awake,
            events=self._events,
            random=self._random,
        )

    def _build_servers(self) -> None:
        memory = BodyMemory(limit=self._memory_limit(MAX_REQUEST_BODIES_BYTES))
        unsent_limit = self._memory_limit(MAX_UNSENT_BYTES)
        descriptors = self._descriptors
        turns = ReadingTurns()
        self._clients_server = HttpServer(
            handler=self._serve_client,
            limits=self._client_limits,
            memory=memory,
            time_limit=self._client_time_limit,
            unsent=UnsentResponses(limit=unsent_limit),
            max_connections=descriptors.clients,
            max_refused=descriptors.refused,
            max_pipelined=int(PIPELINED_SHARE * descriptors.hosts),
            outcome_unknown=self._unfinished_response,
            turns=turns,
        )
        self._peers_server = HttpServer(
            handler=self._serve_peer,
            limits=self._peer_limits,
            memory=memory,
            unsent=UnsentResponses(limit=unsent_limit),
            pacer=self._pacer,
            max_connections=descriptors.peers,
            max_refused=descriptors.refused,
            turns=turns,
        )

        service_memory = BodyMemory(limit=MAX_SERVICE_BYTES)
        service_unsent = UnsentResponses(limit=MAX_SERVICE_BYTES)

        def service_server(handler: Handler) -> HttpServer:
            return HttpServer(
                handler=handler,
                limits=_default_limits,
                memory=service_memory,
                unsent=service_unsent,
                max_connections=descriptors.service,
                max_refused=descriptors.refused,
                max_pipelined=0,
                max_unanswered=MAX_SERVICE_REQUESTS,
                held_up_seconds=SERVICE_HELD_UP_SECONDS,
                turns=turns,
            )

        self._heartbeats_server = service_server(self._own_target.serve_heartbeat)
        self._metrics_server = service_server(self._serve_metrics)
        self._readiness_server = service_server(self._serve_readiness)
        self._metrics_page = RationedPage(
            render=self._render_metrics, share=SCRAPE_SHARE
        )

    @property
    def ready(self) -> bool:
        """Whether the platform should route clients to this daemon."""
        return not self._stopping and self._store_view.loaded

    async def start(self, metrics_port: int | None) -> None:
        """Open the listeners and start the background tasks."""
        settings = self._settings
        if metrics_port is not None:
            await self._metrics_server.start(settings.vm_address, metrics_port)
        for server, address in (
            (self._readiness_server, settings.readiness_address),
            (self._heartbeats_server, settings.heartbeats_address),
            (self._peers_server, settings.peers_address),
            (self._clients_server, settings.clients_address),
        ):
            await server.start(settings.vm_address, address.port)
        for work in (
            self._awake.run,
            self._store_view.run,
            self._publisher.run,
            self._own_target.monitor_heartbeats,
            self._pruner.run,
            self._quotas.run,
        ):
            self._background.start(self._keep_running(work))
        self._events.write(
            "started",
            host=settings.host,
            data_centre=settings.data_centre,
            service=settings.service,
            daemon_start=self._daemon_start,
        )

    async def stop(self) -> None:
        """Shut down gracefully within the grace period.

        Marks the target as suspended and accepts clients a little longer, because they
        notice the shutdown late. Then refuses new requests and waits for those in
        flight, but not beyond the deadline of the grace period: clients whose requests
        are not finished by then get a response that promises nothing.
        """
        started_at = self._loop.time()
        self._stopping = True
        self._events.write("stopping", in_flight=self._in_flight())
        self._dispatcher.stop_admitting()
        self._own_target.publish_suspended()
        self._store_view.stop_serving()
        self._clients_server.drain()
        self._peers_server.drain()
        deadline = (
            started_at + self._settings.shutdown_grace_seconds - KILL_MARGIN_SECONDS
        )
        await asyncio.sleep(min(ACCEPT_WHILE_STOPPING_SECONDS, deadline - started_at))
        self._refusing_clients = True
        self._clients_server.close_listener()
        while self._has_unsent_responses() and self._loop.time() < deadline:
            await asyncio.sleep(
                min(IN_FLIGHT_POLL_SECONDS, deadline - self._loop.time())
            )
        self._log_unanswered()
        self._events.write(
            "stopped",
            in_flight=self._in_flight(),
            took_ms=int((self._loop.time() - started_at) * 1000),
        )
        self._clients_server.answer_unfinished(self._unfinished_response)
        for server in (self._clients_server, self._peers_server):
            await server.stop()
        self._background.cancel()
        self._prober.stop()
        await self._wait_for_last_responses()

    async def _wait_for_last_responses(self) -> None:
        """Wait until all clients have closed their connections, for a limited time."""
        deadline = self._loop.time() + LAST_RESPONSES_SECONDS
        await asyncio.sleep(IN_FLIGHT_POLL_SECONDS)
        while self._clients_server.connections and self._loop.time() < deadline:
            await asyncio.sleep(IN_FLIGHT_POLL_SECONDS)

    @staticmethod
    def _unfinished_response(request: HttpRequest) -> HttpResponse:
        """Return the response to a request that a target may be running."""
        return requests.encode_client_response(
            OutcomeUnknown(reason=HostReason.LEAVING), requests.attempt_id_of(request)
        )

    def _log_unanswered(self) -> None:
        """Log each request of a client that is not answered when the daemon stops."""
        for unanswered in self._clients_server.unanswered():
            request = unanswered.request
            self._events.write(
                "unanswered_at_stop",
                attempt=requests.attempt_id_of(request),
                has_response=unanswered.has_response,
                position=unanswered.position,
                age_ms=int((self._loop.time() - request.arrived) * 1000),
            )

    def reload(self, settings: SidecarSettings) -> None:
        """Apply changed settings that don't require a restart.

        Raises SettingsError if the client address changed.
        """
        if settings.clients_address != self._settings.clients_address:
            raise SettingsError(["the address for clients changed; restart the daemon"])
        self._settings = settings
        self._budget.configure(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
            window=settings.retry_window_seconds,
        )
        self._events.write("reloaded", service=settings.service)

    def _background_failed(self, error: BaseException) -> None:
        logger.error("a background task ended unexpectedly", exc_info=error)
        self._events.write("background_failed", work="keep_running")

    async def _keep_running(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run ``work`` until cancelled; log a failure and restart it after a delay."""
        while True:
            try:
                await work()
            except Exception:
                logger.exception("background work failed; restarting it")
                self._events.write("background_failed", work=work.__qualname__)
            await asyncio.sleep(RESTART_DELAY_SECONDS)

    def _has_unsent_responses(self) -> bool:
        """Return whether a request has no response yet or one that is being sent."""
        return bool(
            self._in_flight()
            or self._clients_server.sending
            or self._peers_server.sending
        )

    def _in_flight(self) -> int:
        return self._clients_server.in_flight + self._peers_server.in_flight

    def _config_once_loaded(self) -> MeshConfig | None:
        """Return the configuration, None until the table of VMs was read as well."""
        return self._store_view.config if self._store_view.loaded else None

    def _client_accounts(self) -> ClientAccounts | None:
        config = self._store_view.config
        return None if config is None else config.accounts

    def _client_limits(self) -> ClientLimits:
        config = self._store_view.config
        return DEFAULT_LIMITS if config is None else config.limits

    def _peer_limits(self) -> ClientLimits:
        """Return limits that no request exceeds which another daemon has accepted."""
        limits = self._client_limits()
        return ClientLimits(
            header_bytes=peer_calls.max_header_bytes(limits.header_bytes),
            body_bytes=max(DEFAULT_LIMITS.body_bytes, limits.body_bytes),
        )

    def _client_time_limit(self, request: HttpRequest) -> float | None:
        """Return the seconds from the arrival of a client's request to its deadline."""
        return self._router.time_limit(self._decode_client_request(request))

    def _decode_client_request(self, request: HttpRequest) -> ClientRequest:
        return requests.decode_request(
            request,
            client_service=self._settings.service,
            takes_keys=self._client_accounts() is not None,
        )

    # Requests.

    async def _serve_client(self, request: HttpRequest) -> HttpResponse:
        """Serve a request of a client, or refuse it late in a shutdown."""
        decoded = self._decode_client_request(request)
        if self._refusing_clients:
            return requests.encode_client_response(
                self._router.refuse(decoded), decoded.attempt_id
            )
        return requests.encode_client_response(
            await self._router.serve(decoded), decoded.attempt_id
        )

    async def _serve_peer(self, request: HttpRequest) -> HttpResponse:
        """Serve a poll, a call for tokens or a forwarded request of another daemon."""
        query = table_sync.decode_query(request)
        if query is not None:
            return await self._store_view.serve_sync(query)
        if token_calls.is_token_call(request):
            return self._quotas.serve(request)
        hosted = peer_calls.decode_request(request)
        if hosted is None:
            metrics.MESH_ENTRIES_REFUSED.labels("peer_request").inc()
            self._events.write("peer_request_malformed")
            return HttpResponse(status=400)
        reply = await self._dispatcher.execute(replace(hosted, over_link=True))
        return peer_calls.encode_reply(reply, attempt_id=hosted.request.attempt_id)

    async def _forward(self, host_view: HostView, hosted: HostedRequest) -> HostReply:
        """Dispatch ``hosted`` to this VM's target or forward it to its host daemon."""
        if host_view.record.host == self._settings.host:
            return await self._dispatcher.execute(hosted)
        return await peers.forward(
            self._peer_pool,
            host_view.address,
            hosted,
            host_start=host_view.record.daemon_start,
            next_number=self._next_request_number,
            clock=self._clock,
        )

    def _next_request_number(self) -> RequestNumber:
        return RequestNumber(self._daemon_start, next(self._request_numbers))

    def _peer_unreachable(self, address: Address) -> None:
        """Mark the VMs with this address as suspect."""
        for host_view in self._fleet.view_by_host.values():
            if host_view.address == address:
                self._prober.suspect(host_view, "peer_unreachable")

    async def _serve_readiness(self, request: HttpRequest) -> HttpResponse:
        return readiness.encode_readiness(request, ready=self.ready)

    async def _serve_metrics(self, request: HttpRequest) -> HttpResponse:
        if request.target.partition(b"?")[0] != METRICS_PATH:
            return HttpResponse(status=404)
        body, content_type = self._metrics_page.get()
        headers = ((b"content-type", content_type.encode()),)
        return HttpResponse(status=200, headers=headers, body=body)

    def _render_metrics(self) -> tuple[bytes, str]:
        self._set_gauges()
        return metrics.REGISTRY.text()

    def _set_gauges(self) -> None:
        config = self._store_view.config
        if config is not None:
            metrics.VERSION.set(config.version)
            for service in config.service_by_name:
                remaining = self._budget.remaining(
                    service, len(self._fleet.view_by_host)
                )
                metrics.MESH_RETRY_BUDGET.labels(service).set(remaining)
        load = self._dispatcher.load()
        for use in ("running", "waiting", "slots"):
            metrics.MESH_TARGET_SLOTS.labels(use).set(getattr(load, use))
        limit = load.rate_limit
        metrics.MESH_TARGET_LIMIT.set(-1.0 if limit is None else limit)
        for table, age in self._store_view.age_by_table().items():
            metrics.MESH_TABLE_AGE.labels(table).set(age)
        for table, version in self._store_view.version_by_table().items():
            metrics.MESH_TABLE_ERA.labels(table).set(version.era)
            metrics.MESH_TABLE_VERSION.labels(table).set(version.number)
        states = Counter(
            host_view.record.state for host_view in self._fleet.view_by_host.values()
        )
        for state in TargetState:
            metrics.MESH_HOSTS.labels(state.value).set(states[state])
